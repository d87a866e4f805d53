/* One try at one backend server: the request out, the answer back, and whose
   answer it is.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#include <string.h>

#define CONNECT_TIMEOUT_MS                                                     \
  400 /* no answer to a connect in this time: unreachable */
#define ACK_TIMEOUT_MS 2000 /* a server that acknowledges nothing is lost */
#define IDLE_MAX_REPEATABLE_US                                                 \
  (20 * CLK_S)                          /* for requests that may be repeated */
#define IDLE_MAX_ONCE_US (800 * CLK_MS) /* for those that may not */
#define KEEP_ALIVE_DEFAULT_US (4 * CLK_S)   /* if the server names no time */
#define KEEP_ALIVE_MARGIN_US (700 * CLK_MS) /* to be back before it closes */

struct upstream
{
  struct exchange *exchange;
  struct reverse_proxy *reverse_proxy;
  struct flt_server *server; /* referenced */
  struct cnx *cnx;           /* owned */
  struct htr *htr;           /* owned */
  GString *body;             /* of an answer that is kept whole */
  guint64 sent_before;       /* bytes of earlier requests on the connection */
  gint64 started;            /* clock time */
  gboolean new_connection;   /* the connection has carried nothing else */
  gboolean out_of_sync;      /* the connection has carried a stray answer */
  gboolean discarding;       /* this answer is not ours, or only informs */
  gboolean response_started; /* the head of our answer has come */
  gboolean relaying;         /* our answer goes to the caller as it comes */
  gboolean complete;         /* an answer has come in full */
  gboolean invalid;          /* the answer cannot be ours */
};

static const char *
request_id_mismatch (const struct upstream *upstream,
                     const struct htm_head *head)
{
  struct str id;
  if (!htm_get (head, upstream->reverse_proxy->header_names->request_id, &id))
    return upstream->new_connection && !upstream->out_of_sync
               ? NULL
               : "no id on a used connection";
  return str_eq (id, str_of (upstream->exchange->id)) ? NULL
                                                      : "id of another request";
}

static gboolean
is_success (const struct htm_head *head)
{
  return head->status >= 200 && head->status < 300;
}

/* A success without the server's signature, or encoded on the way, is not the
   server's answer.  */
static gboolean
is_authentic (const struct upstream *upstream, const struct htm_head *head)
{
  return !is_success (head)
         || (htm_count (head, upstream->reverse_proxy->header_names->signature)
                 == 1
             && htm_count (head, "content-encoding") == 0);
}

static gboolean
on_head (void *ctx, const struct htm_head *head)
{
  struct upstream *upstream = ctx;
  upstream->discarding = FALSE;
  if (head->status < 200)
    {
      upstream->discarding = TRUE;
      upstream->invalid = head->status == 101;
      return !upstream->invalid;
    }
  const char *fault = request_id_mismatch (upstream, head);
  if (fault != NULL)
    {
      log_write (&(struct log_entry){ .level = LOG_WARN,
                                      .event = "answer.stray",
                                      .request_id = upstream->exchange->id,
                                      .peer = upstream->server->entry.id },
                 "%s; status=%u", fault, head->status);
      upstream->out_of_sync = TRUE;
      upstream->discarding = TRUE;
      /* One that ends with the connection hides ours for good. */
      upstream->invalid = !head->chunked && !head->has_length;
      return !upstream->invalid;
    }
  if (!is_authentic (upstream, head))
    {
      upstream->invalid = TRUE;
      return FALSE;
    }
  upstream->response_started = TRUE;
  upstream->relaying
      = is_success (head)
        && (upstream->exchange->route->kind == RTB_STREAM
            || (head->has_length && head->length > UPSTREAM_BUFFERED_BODY_MAX));
  if (upstream->relaying)
    exchange_begin_response (upstream->exchange, head);
  return TRUE;
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct upstream *upstream = ctx;
  if (upstream->discarding)
    return TRUE;
  if (upstream->relaying)
    {
      exchange_relay (upstream->exchange, bytes);
      return TRUE;
    }
  g_string_append_len (upstream->body, bytes.p, (gssize)bytes.n);
  return upstream->body->len <= UPSTREAM_BUFFERED_BODY_MAX;
}

static void
on_end (void *ctx)
{
  ((struct upstream *)ctx)->complete = TRUE;
}

static const struct htr_handler reader = { on_head, on_body, on_end };

static gboolean
request_was_sent (const struct upstream *upstream)
{
  return upstream->cnx != NULL
         && cnx_sent (upstream->cnx) > upstream->sent_before;
}

/* The attempt has ended without an answer.  */
static void
fail_attempt (struct upstream *upstream, const struct err *err)
{
  struct err copy = *err;
  enum rty_result result
      = request_was_sent (upstream) ? RTY_LOST : RTY_NOT_SENT;
  const struct str none = { "", 0 };
  g_strlcpy (copy.peer, upstream->server->entry.id, sizeof copy.peer);
  hea_result (&upstream->server->hea,
              result == RTY_NOT_SENT ? HEA_UNREACHABLE : HEA_FAILED);
  exchange_attempt_failed (upstream->exchange, result, NULL, none, &copy);
}

static gint64
server_keep_alive_us (const struct htm_head *head)
{
  struct str value;
  guint64 seconds;
  if (!htm_get (head, "keep-alive", &value))
    return KEEP_ALIVE_DEFAULT_US;
  const char *timeout = g_strstr_len (value.p, (gssize)value.n, "timeout=");
  if (timeout == NULL)
    return KEEP_ALIVE_DEFAULT_US;
  timeout += strlen ("timeout=");
  gsize n = 0;
  gsize left = value.n - (gsize)(timeout - value.p);
  while (n < left && g_ascii_isdigit (timeout[n]))
    n++;
  if (!htm_number ((struct str){ timeout, n }, &seconds))
    return 0;
  return (gint64)seconds * CLK_S - KEEP_ALIVE_MARGIN_US;
}

/* Gives the connection back if it can serve another request.  */
static void
keep_connection (struct upstream *upstream, gboolean reusable)
{
  struct cnx *cnx = g_steal_pointer (&upstream->cnx);
  if (reusable && !upstream->out_of_sync && cnx_queued (cnx) == 0)
    backend_pool_put (upstream->reverse_proxy->backend_pool, upstream->server,
                      cnx, server_keep_alive_us (htr_head (upstream->htr)));
  else
    cnx_close (cnx);
}

/* Our answer is whole.  */
static void
deliver (struct upstream *upstream, gboolean reusable)
{
  struct exchange *exchange = upstream->exchange;
  const struct htm_head *head = htr_head (upstream->htr);
  const struct header_names *header_names
      = upstream->reverse_proxy->header_names;
  struct str body = { upstream->body->str, upstream->body->len };
  struct err err = { 0 };
  keep_connection (upstream, reusable && head->keep_alive);
  if (is_success (head))
    {
      hea_result (&upstream->server->hea, HEA_PASSED);
      if (upstream->relaying)
        exchange_end_response (exchange);
      else
        exchange_send_buffered_response (exchange, head, body);
      return;
    }
  enum rty_result result = head->status == 421 ? RTY_MISDIRECTED
                           : htm_count (head, header_names->not_run) > 0
                               ? RTY_REJECTED
                               : RTY_FAILED;
  if (result == RTY_FAILED && head->status >= 500)
    hea_result (&upstream->server->hea, HEA_FAILED);
  err_set (&err, ERR_UNAVAILABLE, "backend.answer", upstream->server->entry.id,
           "status %u", head->status);
  exchange_attempt_failed (exchange, result, head, body, &err);
}

static void
on_data (void *ctx, struct str data)
{
  struct upstream *upstream = ctx;
  flt_reached (upstream->server,
               clk_now (upstream->reverse_proxy->options.clk));
  while (data.n > 0)
    {
      struct err err = { 0 };
      upstream->complete = FALSE;
      gssize n = htr_feed (upstream->htr, data, &err);
      if (n < 0)
        {
          fail_attempt (upstream, &err);
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
      if (!upstream->complete)
        return;
      if (!upstream->discarding)
        {
          deliver (upstream, data.n == 0);
          return;
        }
      htr_next (upstream->htr, FALSE);
    }
}

static void
on_ended (void *ctx)
{
  struct upstream *upstream = ctx;
  struct err err = { 0 };
  upstream->complete = FALSE;
  if (htr_finish (upstream->htr, &err) == 0 && upstream->complete
      && !upstream->discarding)
    {
      deliver (upstream, FALSE);
      return;
    }
  if (err.code == 0)
    err_set (&err, ERR_CLOSED, "backend.answer", "", "closed before an answer");
  fail_attempt (upstream, &err);
}

static void
on_failed (void *ctx, const struct err *err)
{
  fail_attempt (ctx, err);
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
struct upstream *
upstream_start (struct exchange *exchange, const struct spl_choice *choice)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  struct flt_server *server = choice->server;
  struct err err = { 0 };
  gboolean repeatable = rtb_may_repeat (exchange->route);
  struct upstream *upstream = g_new0 (struct upstream, 1);
  const struct cnx_options options = { .handler = &connection,
                                       .ctx = upstream,
                                       .silence_ms = ACK_TIMEOUT_MS,
                                       .connect_ms = CONNECT_TIMEOUT_MS };
  upstream->exchange = exchange;
  upstream->reverse_proxy = reverse_proxy;
  upstream->started = clk_now (reverse_proxy->options.clk);
  upstream->server = flt_server_ref (server);
  upstream->body = g_string_new (NULL);
  upstream->htr = htr_new (TRUE, &reader, upstream);
  upstream->cnx = backend_pool_take (reverse_proxy->backend_pool, server,
                                     repeatable ? IDLE_MAX_REPEATABLE_US
                                                : IDLE_MAX_ONCE_US);
  upstream->new_connection = upstream->cnx == NULL;
  if (upstream->cnx != NULL)
    cnx_set_handler (upstream->cnx, &connection, upstream);
  else
    upstream->cnx = cnx_connect (server->entry.address, &options, &err);
  if (upstream->cnx == NULL)
    {
      log_write (&(struct log_entry){ .level = LOG_WARN,
                                      .event = "backend.connect",
                                      .request_id = exchange->id,
                                      .step = err.step,
                                      .peer = server->entry.id },
                 "%s", err.text);
      hea_result (&server->hea, HEA_UNREACHABLE);
      upstream_free (upstream);
      return NULL;
    }
  upstream->sent_before = cnx_sent (upstream->cnx);
  if (g_str_equal (exchange->head->method, "HEAD"))
    htr_next (upstream->htr, TRUE);
  GString *request = g_string_new (NULL);
  upstream_build_request_head (exchange, choice, request);
  cnx_write (upstream->cnx, request->str, request->len);
  cnx_write (upstream->cnx, exchange->body->data, exchange->body->len);
  g_string_free (request, TRUE);
  return upstream;
}

/* Ends the attempt. A server that is still at work notices by the close of
   the connection.  */
void
upstream_free (struct upstream *upstream)
{
  if (upstream == NULL)
    return;
  cnx_reset (upstream->cnx);
  htr_free (upstream->htr);
  g_string_free (upstream->body, TRUE);
  flt_server_unref (upstream->server);
  g_free (upstream);
}

/* Stops or resumes reading the answer.  */
void
upstream_pause (struct upstream *upstream, gboolean paused)
{
  if (upstream->cnx != NULL)
    cnx_pause (upstream->cnx, paused);
}

const struct flt_server *
upstream_server (const struct upstream *upstream)
{
  return upstream->server;
}

static gboolean
is_reserved (const struct header_names *header_names, struct str name)
{
  for (const char *const *field = header_names->reserved; *field != NULL;
       field++)
    if (htm_same (name, *field))
      return TRUE;
  return FALSE;
}

/* Fields that the gate writes itself, or that the server must not see.  */
static gboolean
is_omitted (const struct exchange *exchange, struct str name)
{
  const struct header_names *header_names
      = exchange->reverse_proxy->header_names;
  struct str value;
  if (is_reserved (header_names, name) || htm_same (name, header_names->team)
      || htm_same (name, header_names->deadline_ms) || htm_same (name, "host"))
    return TRUE;
  if (exchange->head_sent && htm_same (name, header_names->last_event))
    return TRUE;
  return htm_same (name, "authorization")
         && (exchange->team != NULL
             || (htm_get (exchange->head, "authorization", &value)
                 && value.n > strlen (header_names->key_scheme)
                 && g_ascii_strncasecmp (value.p, header_names->key_scheme,
                                         strlen (header_names->key_scheme))
                        == 0));
}

/* End-to-end fields that a caller cannot take out by naming them in its
   Connection field.  */
static gboolean
is_protected (const struct header_names *header_names, struct str name)
{
  return htm_same (name, header_names->request_id)
         || htm_same (name, header_names->model)
         || htm_same (name, header_names->token_counts)
         || htm_same (name, header_names->prompt_parts)
         || htm_same (name, header_names->last_event)
         || htm_same (name, header_names->length_hint);
}

/* Appends the head of the request as the server of CHOICE gets it.  */
void
upstream_build_request_head (struct exchange *exchange,
                             const struct spl_choice *choice, GString *out)
{
  const struct htm_head *head = exchange->head;
  const struct header_names *header_names
      = exchange->reverse_proxy->header_names;
  struct str target = htm_target (head);
  struct str host;
  gint64 left
      = exchange->deadline - clk_now (exchange->reverse_proxy->options.clk);
  g_string_append_printf (out, "%s " STR_FMT " HTTP/1.1\r\n", head->method,
                          STR_ARG (target));
  if (htm_get (head, "host", &host))
    htm_put_str (out, STR_LIT ("Host"), host);
  for (guint i = 0; i < head->fields->len; i++)
    {
      struct str name = htm_name (head, i);
      if (is_omitted (exchange, name)
          || (!is_protected (header_names, name)
              && htm_is_hop_by_hop (head, name)))
        continue;
      htm_put_str (out, name, htm_value (head, i));
    }
  htm_put (out, header_names->deadline_ms, "%" G_GINT64_FORMAT,
           MAX (left / CLK_MS, 1));
  htm_put (out, header_names->expect_server, "%s", choice->server->entry.id);
  if (exchange->team != NULL)
    htm_put (out, header_names->team, "%s", exchange->team->name);
  if (exchange->queue_entry.request.prompt.n > 0)
    htm_put (out, header_names->priority, "%u", exchange->tier);
  if (choice->fetch_from != NULL)
    htm_put (out, header_names->fetch_from, "%s",
             choice->fetch_from->entry.address);
  if (exchange->head_sent && exchange->event_splitter.last_id[0] != '\0')
    htm_put (out, header_names->last_event, "%s",
             exchange->event_splitter.last_id);
  if (exchange->body->len > 0 || head->chunked || head->has_length)
    htm_put (out, "Content-Length", "%u", exchange->body->len);
  g_string_append (out, "\r\n");
}
