/* One try at one backend server: the request out, the answer back, and whose
   answer it is.  */
#include "gate/gat_int.h"

#include "base/log.h"

#include <string.h>

#define CONNECT_MS 400  /* no answer to a connect in this time: unreachable */
#define SILENCE_MS 2000 /* a server that acknowledges nothing is lost */
#define KEPT_IDLE_US (20 * CLK_S)        /* for requests that may be repeated */
#define KEPT_IDLE_ONCE_US (800 * CLK_MS) /* for those that may not */
#define KEEP_DEFAULT_US (4 * CLK_S)      /* if the server names no time */
#define KEEP_MARGIN_US (700 * CLK_MS)    /* to be back before it closes */

struct att
{
  struct exc *exc;
  struct gat *gat;
  struct flt_server *server;       /* referenced */
  struct tcp_conn *tcp_conn;       /* owned */
  struct http_reader *http_reader; /* owned */
  GString *body;                   /* of an answer that is kept whole */
  guint64 sent_before; /* bytes of earlier requests on the connection */
  gint64 started;      /* clock time */
  gboolean fresh;      /* the connection has carried nothing else */
  gboolean tainted;    /* the connection has carried a stray answer */
  gboolean skipping;   /* this answer is not ours, or only informs */
  gboolean seen_head;  /* the head of our answer has come */
  gboolean relaying;   /* our answer goes to the caller as it comes */
  gboolean whole;      /* an answer has come in full */
  gboolean refused;    /* the answer cannot be ours */
};

static const char *
echoed_id_fault (const struct att *att, const struct http_head *head)
{
  struct str id;
  if (!http_head_get (head, att->gat->dia->request_id, &id))
    return att->fresh && !att->tainted ? NULL : "no id on a used connection";
  return str_eq (id, str_of (att->exc->id)) ? NULL : "id of another request";
}

static gboolean
is_success (const struct http_head *head)
{
  return head->status >= 200 && head->status < 300;
}

/* A success without the server's signature, or encoded on the way, is not the
   server's answer.  */
static gboolean
is_genuine (const struct att *att, const struct http_head *head)
{
  return !is_success (head)
         || (http_head_count (head, att->gat->dia->signature) == 1
             && http_head_count (head, "content-encoding") == 0);
}

static gboolean
on_head (void *ctx, const struct http_head *head)
{
  struct att *att = ctx;
  att->skipping = FALSE;
  if (head->status < 200)
    {
      att->skipping = TRUE;
      att->refused = head->status == 101;
      return !att->refused;
    }
  const char *fault = echoed_id_fault (att, head);
  if (fault != NULL)
    {
      log_write (&(struct log_entry){ .level = LOG_WARN,
                                      .event = "answer.stray",
                                      .request_id = att->exc->id,
                                      .peer = att->server->entry.id },
                 "%s; status=%u", fault, head->status);
      att->tainted = TRUE;
      att->skipping = TRUE;
      /* One that ends with the connection hides ours for good. */
      att->refused = !head->chunked && !head->has_length;
      return !att->refused;
    }
  if (!is_genuine (att, head))
    {
      att->refused = TRUE;
      return FALSE;
    }
  att->seen_head = TRUE;
  att->relaying = is_success (head)
                  && (att->exc->route->kind == RTB_STREAM
                      || (head->has_length && head->length > GAT_BODY_KEPT));
  if (att->relaying)
    exc_begin (att->exc, head);
  return TRUE;
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct att *att = ctx;
  if (att->skipping)
    return TRUE;
  if (att->relaying)
    {
      exc_relay (att->exc, bytes);
      return TRUE;
    }
  g_string_append_len (att->body, bytes.p, (gssize)bytes.n);
  return att->body->len <= GAT_BODY_KEPT;
}

static void
on_end (void *ctx)
{
  ((struct att *)ctx)->whole = TRUE;
}

static const struct http_reader_handler reader = { on_head, on_body, on_end };

static gboolean
bytes_have_left (const struct att *att)
{
  return att->tcp_conn != NULL
         && tcp_conn_sent (att->tcp_conn) > att->sent_before;
}

/* The attempt has ended without an answer.  */
static void
lose (struct att *att, const struct err *err)
{
  struct err copy = *err;
  enum rty_result result = bytes_have_left (att) ? RTY_LOST : RTY_NOT_SENT;
  const struct str none = { "", 0 };
  g_strlcpy (copy.peer, att->server->entry.id, sizeof copy.peer);
  hea_result (&att->server->hea,
              result == RTY_NOT_SENT ? HEA_UNREACHABLE : HEA_FAILED);
  exc_lost (att->exc, result, NULL, none, &copy);
}

static gint64
keep_time (const struct http_head *head)
{
  struct str value;
  guint64 seconds;
  if (!http_head_get (head, "keep-alive", &value))
    return KEEP_DEFAULT_US;
  const char *timeout = g_strstr_len (value.p, (gssize)value.n, "timeout=");
  if (timeout == NULL)
    return KEEP_DEFAULT_US;
  timeout += strlen ("timeout=");
  gsize n = 0;
  gsize left = value.n - (gsize)(timeout - value.p);
  while (n < left && g_ascii_isdigit (timeout[n]))
    n++;
  if (!http_parse_number ((struct str){ timeout, n }, &seconds))
    return 0;
  return (gint64)seconds * CLK_S - KEEP_MARGIN_US;
}

/* Gives the connection back if it can serve another request.  */
static void
keep_connection (struct att *att, gboolean reusable)
{
  struct tcp_conn *tcp_conn = g_steal_pointer (&att->tcp_conn);
  if (reusable && !att->tainted && tcp_conn_queued (tcp_conn) == 0)
    bkp_put (att->gat->bkp, att->server, tcp_conn,
             keep_time (http_reader_head (att->http_reader)));
  else
    tcp_conn_close (tcp_conn);
}

/* Our answer is whole.  */
static void
deliver (struct att *att, gboolean reusable)
{
  struct exc *exc = att->exc;
  const struct http_head *head = http_reader_head (att->http_reader);
  const struct dia *dia = att->gat->dia;
  struct str body = { att->body->str, att->body->len };
  struct err err = { 0 };
  keep_connection (att, reusable && head->keep_alive);
  if (is_success (head))
    {
      hea_result (&att->server->hea, HEA_PASSED);
      if (att->relaying)
        exc_complete (exc);
      else
        exc_answer_whole (exc, head, body);
      return;
    }
  enum rty_result result = head->status == 421 ? RTY_MISDIRECTED
                           : http_head_count (head, dia->not_run) > 0
                               ? RTY_REJECTED
                               : RTY_FAILED;
  if (result == RTY_FAILED && head->status >= 500)
    hea_result (&att->server->hea, HEA_FAILED);
  err_set (&err, ERR_UNAVAILABLE, "backend.answer", att->server->entry.id,
           "status %u", head->status);
  exc_lost (exc, result, head, body, &err);
}

static void
on_data (void *ctx, struct str data)
{
  struct att *att = ctx;
  flt_reached (att->server, clk_now (att->gat->options.clk));
  while (data.n > 0)
    {
      struct err err = { 0 };
      att->whole = FALSE;
      gssize n = http_reader_feed (att->http_reader, data, &err);
      if (n < 0)
        {
          lose (att, &err);
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
      if (!att->whole)
        return;
      if (!att->skipping)
        {
          deliver (att, data.n == 0);
          return;
        }
      http_reader_next (att->http_reader, FALSE);
    }
}

static void
on_ended (void *ctx)
{
  struct att *att = ctx;
  struct err err = { 0 };
  att->whole = FALSE;
  if (http_reader_finish (att->http_reader, &err) == 0 && att->whole
      && !att->skipping)
    {
      deliver (att, FALSE);
      return;
    }
  if (err.code == 0)
    err_set (&err, ERR_CLOSED, "backend.answer", "", "closed before an answer");
  lose (att, &err);
}

static void
on_failed (void *ctx, const struct err *err)
{
  lose (ctx, err);
}

static void
on_opened (void *ctx)
{
  (void)ctx;
}

static const struct tcp_conn_handler connection = {
  .opened = on_opened, .data = on_data, .ended = on_ended, .failed = on_failed
};

/* Connects to the server of CHOICE, or takes a kept connection, and sends the
   request of EXC. Returns NULL if no connection can be started.  */
struct att *
att_start (struct exc *exc, const struct spl_choice *choice)
{
  struct gat *gat = exc->gat;
  struct flt_server *server = choice->server;
  struct err err = { 0 };
  gboolean repeatable = rtb_may_repeat (exc->route);
  struct att *att = g_new0 (struct att, 1);
  const struct tcp_conn_options options = { .handler = &connection,
                                            .ctx = att,
                                            .silence_ms = SILENCE_MS,
                                            .connect_ms = CONNECT_MS };
  att->exc = exc;
  att->gat = gat;
  att->started = clk_now (gat->options.clk);
  att->server = flt_server_ref (server);
  att->body = g_string_new (NULL);
  att->http_reader = http_reader_new (TRUE, &reader, att);
  att->tcp_conn = bkp_take (gat->bkp, server,
                            repeatable ? KEPT_IDLE_US : KEPT_IDLE_ONCE_US);
  att->fresh = att->tcp_conn == NULL;
  if (att->tcp_conn != NULL)
    tcp_conn_set_handler (att->tcp_conn, &connection, att);
  else
    att->tcp_conn = tcp_conn_connect (server->entry.address, &options, &err);
  if (att->tcp_conn == NULL)
    {
      log_write (&(struct log_entry){ .level = LOG_WARN,
                                      .event = "backend.connect",
                                      .request_id = exc->id,
                                      .step = err.step,
                                      .peer = server->entry.id },
                 "%s", err.text);
      hea_result (&server->hea, HEA_UNREACHABLE);
      att_free (att);
      return NULL;
    }
  att->sent_before = tcp_conn_sent (att->tcp_conn);
  if (g_str_equal (exc->head->method, "HEAD"))
    http_reader_next (att->http_reader, TRUE);
  GString *request = g_string_new (NULL);
  att_request (exc, choice, request);
  tcp_conn_write (att->tcp_conn, request->str, request->len);
  tcp_conn_write (att->tcp_conn, exc->body->data, exc->body->len);
  g_string_free (request, TRUE);
  return att;
}

/* Ends the attempt. A server that is still at work notices by the close of
   the connection.  */
void
att_free (struct att *att)
{
  if (att == NULL)
    return;
  tcp_conn_reset (att->tcp_conn);
  http_reader_free (att->http_reader);
  g_string_free (att->body, TRUE);
  flt_server_unref (att->server);
  g_free (att);
}

/* Stops or resumes reading the answer.  */
void
att_pause (struct att *att, gboolean paused)
{
  if (att->tcp_conn != NULL)
    tcp_conn_pause (att->tcp_conn, paused);
}

const struct flt_server *
att_server (const struct att *att)
{
  return att->server;
}

static gboolean
is_reserved (const struct dia *dia, struct str name)
{
  for (const char *const *field = dia->reserved; *field != NULL; field++)
    if (http_equals_ignore_case (name, *field))
      return TRUE;
  return FALSE;
}

/* Fields that the gate writes itself, or that the server must not see.  */
static gboolean
is_replaced (const struct exc *exc, struct str name)
{
  const struct dia *dia = exc->gat->dia;
  struct str value;
  if (is_reserved (dia, name) || http_equals_ignore_case (name, dia->team)
      || http_equals_ignore_case (name, dia->deadline_ms)
      || http_equals_ignore_case (name, "host"))
    return TRUE;
  if (exc->head_sent && http_equals_ignore_case (name, dia->last_event))
    return TRUE;
  return http_equals_ignore_case (name, "authorization")
         && (exc->team != NULL
             || (http_head_get (exc->head, "authorization", &value)
                 && value.n > strlen (dia->key_scheme)
                 && g_ascii_strncasecmp (value.p, dia->key_scheme,
                                         strlen (dia->key_scheme))
                        == 0));
}

/* End-to-end fields that a caller cannot take out by naming them in its
   Connection field.  */
static gboolean
is_kept (const struct dia *dia, struct str name)
{
  return http_equals_ignore_case (name, dia->request_id)
         || http_equals_ignore_case (name, dia->model)
         || http_equals_ignore_case (name, dia->token_counts)
         || http_equals_ignore_case (name, dia->prompt_parts)
         || http_equals_ignore_case (name, dia->last_event)
         || http_equals_ignore_case (name, dia->length_hint);
}

/* Appends the head of the request as the server of CHOICE gets it.  */
void
att_request (struct exc *exc, const struct spl_choice *choice, GString *out)
{
  const struct http_head *head = exc->head;
  const struct dia *dia = exc->gat->dia;
  struct str target = http_head_target (head);
  struct str host;
  gint64 left = exc->deadline - clk_now (exc->gat->options.clk);
  g_string_append_printf (out, "%s " STR_FMT " HTTP/1.1\r\n", head->method,
                          STR_ARG (target));
  if (http_head_get (head, "host", &host))
    http_put_field_str (out, STR_LIT ("Host"), host);
  for (guint i = 0; i < head->fields->len; i++)
    {
      struct str name = http_head_field_name (head, i);
      if (is_replaced (exc, name)
          || (!is_kept (dia, name) && http_head_is_hop_by_hop (head, name)))
        continue;
      http_put_field_str (out, name, http_head_field_value (head, i));
    }
  http_put_field (out, dia->deadline_ms, "%" G_GINT64_FORMAT,
                  MAX (left / CLK_MS, 1));
  http_put_field (out, dia->expect_server, "%s", choice->server->entry.id);
  if (exc->team != NULL)
    http_put_field (out, dia->team, "%s", exc->team->name);
  if (exc->ticket.request.prompt.n > 0)
    http_put_field (out, dia->priority, "%u", exc->tier);
  if (choice->fetch_from != NULL)
    http_put_field (out, dia->fetch_from, "%s",
                    choice->fetch_from->entry.address);
  if (exc->head_sent && exc->ses.last[0] != '\0')
    http_put_field (out, dia->last_event, "%s", exc->ses.last);
  if (exc->body->len > 0 || head->chunked || head->has_length)
    http_put_field (out, "Content-Length", "%u", exc->body->len);
  g_string_append (out, "\r\n");
}
