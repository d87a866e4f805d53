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
  struct flt_server *server; /* referenced */
  struct cnx *cnx;           /* owned */
  struct htr *htr;           /* owned */
  GString *body;             /* of an answer that is kept whole */
  guint64 sent_before;       /* bytes of earlier requests on the connection */
  gint64 started;            /* clock time */
  gboolean fresh;            /* the connection has carried nothing else */
  gboolean tainted;          /* the connection has carried a stray answer */
  gboolean skipping;         /* this answer is not ours, or only informs */
  gboolean seen_head;        /* the head of our answer has come */
  gboolean relaying;         /* our answer goes to the caller as it comes */
  gboolean whole;            /* an answer has come in full */
  gboolean refused;          /* the answer cannot be ours */
};

static const char *
echoed_id_fault (const struct att *att, const struct htm_head *head)
{
  struct str id;
  if (!htm_get (head, att->gat->dia->request_id, &id))
    return att->fresh && !att->tainted ? NULL : "no id on a used connection";
  return str_eq (id, str_of (att->exc->id)) ? NULL : "id of another request";
}

static gboolean
is_success (const struct htm_head *head)
{
  return head->status >= 200 && head->status < 300;
}

/* A success without the server's signature, or encoded on the way, is not the
   server's answer.  */
static gboolean
is_genuine (const struct att *att, const struct htm_head *head)
{
  return !is_success (head)
         || (htm_count (head, att->gat->dia->signature) == 1
             && htm_count (head, "content-encoding") == 0);
}

static gboolean
on_head (void *ctx, const struct htm_head *head)
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
                  && (att->exc->route->kind == ROUTING_STREAM
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

static const struct htr_handler reader = { on_head, on_body, on_end };

static gboolean
bytes_have_left (const struct att *att)
{
  return att->cnx != NULL && cnx_sent (att->cnx) > att->sent_before;
}

/* The attempt has ended without an answer.  */
static void
lose (struct att *att, const struct err *err)
{
  struct err copy = *err;
  enum rty_result result = bytes_have_left (att) ? RTY_LOST : RTY_NOT_SENT;
  const struct str none = { "", 0 };
  g_strlcpy (copy.peer, att->server->entry.id, sizeof copy.peer);
  server_health_add_result (&att->server->server_health,
                            result == RTY_NOT_SENT ? SERVER_HEALTH_UNREACHABLE
                                                   : SERVER_HEALTH_FAILURE);
  exc_lost (att->exc, result, NULL, none, &copy);
}

static gint64
keep_time (const struct htm_head *head)
{
  struct str value;
  guint64 seconds;
  if (!htm_get (head, "keep-alive", &value))
    return KEEP_DEFAULT_US;
  const char *timeout = g_strstr_len (value.p, (gssize)value.n, "timeout=");
  if (timeout == NULL)
    return KEEP_DEFAULT_US;
  timeout += strlen ("timeout=");
  gsize n = 0;
  gsize left = value.n - (gsize)(timeout - value.p);
  while (n < left && g_ascii_isdigit (timeout[n]))
    n++;
  if (!htm_number ((struct str){ timeout, n }, &seconds))
    return 0;
  return (gint64)seconds * CLK_S - KEEP_MARGIN_US;
}

/* Gives the connection back if it can serve another request.  */
static void
keep_connection (struct att *att, gboolean reusable)
{
  struct cnx *cnx = g_steal_pointer (&att->cnx);
  if (reusable && !att->tainted && cnx_queued (cnx) == 0)
    bkp_put (att->gat->bkp, att->server, cnx, keep_time (htr_head (att->htr)));
  else
    cnx_close (cnx);
}

/* Our answer is whole.  */
static void
deliver (struct att *att, gboolean reusable)
{
  struct exc *exc = att->exc;
  const struct htm_head *head = htr_head (att->htr);
  const struct dia *dia = att->gat->dia;
  struct str body = { att->body->str, att->body->len };
  struct err err = { 0 };
  keep_connection (att, reusable && head->keep_alive);
  if (is_success (head))
    {
      server_health_add_result (&att->server->server_health,
                                SERVER_HEALTH_SUCCESS);
      if (att->relaying)
        exc_complete (exc);
      else
        exc_answer_whole (exc, head, body);
      return;
    }
  enum rty_result result = head->status == 421 ? RTY_MISDIRECTED
                           : htm_count (head, dia->not_run) > 0 ? RTY_REJECTED
                                                                : RTY_FAILED;
  if (result == RTY_FAILED && head->status >= 500)
    server_health_add_result (&att->server->server_health,
                              SERVER_HEALTH_FAILURE);
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
      gssize n = htr_feed (att->htr, data, &err);
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
      htr_next (att->htr, FALSE);
    }
}

static void
on_ended (void *ctx)
{
  struct att *att = ctx;
  struct err err = { 0 };
  att->whole = FALSE;
  if (htr_finish (att->htr, &err) == 0 && att->whole && !att->skipping)
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

static const struct cnx_handler connection = {
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
  gboolean repeatable = routing_may_repeat (exc->route);
  struct att *att = g_new0 (struct att, 1);
  const struct cnx_options options = { .handler = &connection,
                                       .ctx = att,
                                       .silence_ms = SILENCE_MS,
                                       .connect_ms = CONNECT_MS };
  att->exc = exc;
  att->gat = gat;
  att->started = clk_now (gat->options.clk);
  att->server = flt_server_ref (server);
  att->body = g_string_new (NULL);
  att->htr = htr_new (TRUE, &reader, att);
  att->cnx = bkp_take (gat->bkp, server,
                       repeatable ? KEPT_IDLE_US : KEPT_IDLE_ONCE_US);
  att->fresh = att->cnx == NULL;
  if (att->cnx != NULL)
    cnx_set_handler (att->cnx, &connection, att);
  else
    att->cnx = cnx_connect (server->entry.address, &options, &err);
  if (att->cnx == NULL)
    {
      log_write (&(struct log_entry){ .level = LOG_WARN,
                                      .event = "backend.connect",
                                      .request_id = exc->id,
                                      .step = err.step,
                                      .peer = server->entry.id },
                 "%s", err.text);
      server_health_add_result (&server->server_health,
                                SERVER_HEALTH_UNREACHABLE);
      att_free (att);
      return NULL;
    }
  att->sent_before = cnx_sent (att->cnx);
  if (g_str_equal (exc->head->method, "HEAD"))
    htr_next (att->htr, TRUE);
  GString *request = g_string_new (NULL);
  att_request (exc, choice, request);
  cnx_write (att->cnx, request->str, request->len);
  cnx_write (att->cnx, exc->body->data, exc->body->len);
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
  cnx_reset (att->cnx);
  htr_free (att->htr);
  g_string_free (att->body, TRUE);
  flt_server_unref (att->server);
  g_free (att);
}

/* Stops or resumes reading the answer.  */
void
att_pause (struct att *att, gboolean paused)
{
  if (att->cnx != NULL)
    cnx_pause (att->cnx, paused);
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
    if (htm_same (name, *field))
      return TRUE;
  return FALSE;
}

/* Fields that the gate writes itself, or that the server must not see.  */
static gboolean
is_replaced (const struct exc *exc, struct str name)
{
  const struct dia *dia = exc->gat->dia;
  struct str value;
  if (is_reserved (dia, name) || htm_same (name, dia->team)
      || htm_same (name, dia->deadline_ms) || htm_same (name, "host"))
    return TRUE;
  if (exc->head_sent && htm_same (name, dia->last_event))
    return TRUE;
  return htm_same (name, "authorization")
         && (exc->team != NULL
             || (htm_get (exc->head, "authorization", &value)
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
  return htm_same (name, dia->request_id) || htm_same (name, dia->model)
         || htm_same (name, dia->token_counts)
         || htm_same (name, dia->prompt_parts)
         || htm_same (name, dia->last_event)
         || htm_same (name, dia->length_hint);
}

/* Appends the head of the request as the server of CHOICE gets it.  */
void
att_request (struct exc *exc, const struct spl_choice *choice, GString *out)
{
  const struct htm_head *head = exc->head;
  const struct dia *dia = exc->gat->dia;
  struct str target = htm_target (head);
  struct str host;
  gint64 left = exc->deadline - clk_now (exc->gat->options.clk);
  g_string_append_printf (out, "%s " STR_FMT " HTTP/1.1\r\n", head->method,
                          STR_ARG (target));
  if (htm_get (head, "host", &host))
    htm_put_str (out, STR_LIT ("Host"), host);
  for (guint i = 0; i < head->fields->len; i++)
    {
      struct str name = htm_name (head, i);
      if (is_replaced (exc, name)
          || (!is_kept (dia, name) && htm_is_hop_by_hop (head, name)))
        continue;
      htm_put_str (out, name, htm_value (head, i));
    }
  htm_put (out, dia->deadline_ms, "%" G_GINT64_FORMAT, MAX (left / CLK_MS, 1));
  htm_put (out, dia->expect_server, "%s", choice->server->entry.id);
  if (exc->team != NULL)
    htm_put (out, dia->team, "%s", exc->team->name);
  if (exc->ticket.request.prompt.n > 0)
    htm_put (out, dia->priority, "%u", exc->tier);
  if (choice->fetch_from != NULL)
    htm_put (out, dia->fetch_from, "%s", choice->fetch_from->entry.address);
  if (exc->head_sent && exc->ses.last[0] != '\0')
    htm_put (out, dia->last_event, "%s", exc->ses.last);
  if (exc->body->len > 0 || head->chunked || head->has_length)
    htm_put (out, "Content-Length", "%u", exc->body->len);
  g_string_append (out, "\r\n");
}
