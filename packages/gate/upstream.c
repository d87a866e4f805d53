/* One attempt at one backend server: sends the request, reads the response and
   checks that the response belongs to the request.  */
#include "gate/exchange_internal.h"

#include "base/log.h"

#include <string.h>

#define CONNECT_TIMEOUT_MS                                                     \
  400 /* a server that does not accept within this time is unreachable */
#define ACK_TIMEOUT_MS                                                         \
  2000 /* a connection without TCP acknowledgements for this time has failed   \
        */
#define IDLE_MAX_REPEATABLE_US                                                 \
  (20 * CLK_S) /* longest idle time of a reused connection, for requests that  \
                  may be repeated */
#define IDLE_MAX_ONCE_US                                                       \
  (800 * CLK_MS) /* for requests that must not be repeated: if the server      \
                    closes the connection meanwhile, the outcome is unknown */
#define KEEP_ALIVE_DEFAULT_US                                                  \
  (4 * CLK_S) /* if the response has no Keep-Alive time-out */
#define KEEP_ALIVE_MARGIN_US                                                   \
  (700 * CLK_MS) /* subtracted from the server's time-out, so that no request  \
                    is sent while the server closes the connection */
#define STRAY_RESPONSES_MAX                                                    \
  8 /* responses to other requests that an attempt skips */
#define STRAY_BODY_MAX                                                         \
  UPSTREAM_BUFFERED_BODY_MAX /* bytes of all their bodies */

/* From here on a response is relayed before it is complete, if memory is
   short. */
#define RELAYED_BODY_MIN (64 * 1024)
/* A response of unknown length that is longer than this at the deadline of its
   request counts as one without end. */
#define ENDLESS_BODY_MIN (1024 * 1024)

struct upstream
{
  struct exchange *exchange;
  struct reverse_proxy *reverse_proxy;
  struct registry_server *server;  /* referenced */
  struct tcp_conn *tcp_conn;       /* owned */
  struct http_reader *http_reader; /* owned */
  GString *body; /* of a buffered response; of one that is relayed, the bytes
                    of the present read */
  guint64 sent_before; /* bytes sent on the connection before this request */
  gint64 started;      /* clock time */
  gboolean is_relay;   /* another instance serves the request */
  gboolean new_connection;   /* the connection was opened for this attempt */
  gboolean out_of_sync;      /* the connection has carried a response to another
                                request */
  gboolean discarding;       /* the response being read belongs to another
                                request */
  gboolean has_bytes;        /* bytes have arrived for the attempt */
  gboolean response_started; /* the head of the response has arrived */
  gboolean relaying;         /* the response is relayed, not buffered */
  gboolean complete;         /* the end of a response has been read */
  gboolean has_extra;        /* bytes have arrived after the response */
  guint stray_responses;     /* that were skipped */
  gsize stray_bytes;         /* of their bodies */
  const char *error_text;    /* why the response is unusable, static text;
                                NULL: the reader says it, or nothing is wrong */
  gboolean charged;          /* the server's health has the failure */
  gboolean is_trial;         /* the server's first request after a backoff */
};

/* Returns why the response may belong to another request, as static text; NULL
   if it belongs to this one. The server should echo the request id; without it
   only the first response on a new connection is certain.  */
static const char *
request_id_mismatch (const struct upstream *upstream,
                     const struct http_head *head)
{
  struct str id;
  if (!http_head_get (head, upstream->reverse_proxy->header_names->request_id,
                      &id))
    return upstream->new_connection && !upstream->out_of_sync
               ? NULL
               : "response without a request id on a reused connection";
  return str_eq (id, str_of (upstream->exchange->id))
             ? NULL
             : "response has the id of another request";
}

static gboolean
is_success (const struct http_head *head)
{
  return head->status >= 200 && head->status < 300;
}

/* Returns whether the response comes from the server itself. A successful
   response without the server's signature, or with a content encoding, was
   generated or changed on the way.  */
static gboolean
is_authentic (const struct upstream *upstream, const struct http_head *head)
{
  return !is_success (head)
         || (http_head_count (head,
                              upstream->reverse_proxy->header_names->signature)
                 == 1
             && http_head_count (head, "content-encoding") == 0);
}

/* Returns whether a server other than SERVER may have generated the response,
   because it has SERVER's address now. One with status 421 speaks for SERVER
   only if it has its id.  */
static gboolean
may_be_of_other_server (const struct upstream *upstream,
                        const struct http_head *head)
{
  struct str id;
  if (!http_head_get (head, upstream->reverse_proxy->header_names->server_id,
                      &id))
    return head->status == 421;
  return !str_eq (id, str_of (upstream->server->entry.id));
}

/* Records whether the response says that the server is leaving. Other values of
   the header than 1 mean nothing.  */
static void
check_leaving (struct upstream *upstream, const struct http_head *head)
{
  struct reverse_proxy *reverse_proxy = upstream->reverse_proxy;
  struct registry *registry = reverse_proxy->options.registry;
  gint64 now = clk_now (reverse_proxy->options.clk);
  const char *name = reverse_proxy->header_names->leaving;
  gboolean leaving = FALSE;
  if (may_be_of_other_server (upstream, head))
    return;
  for (guint i = 0; i < head->fields->len; i++)
    leaving |= http_equals_ignore_case (http_head_field_name (head, i), name)
               && str_eq (http_trim (http_head_field_value (head, i)),
                          STR_LIT ("1"));
  if (leaving)
    registry_mark_leaving (registry, upstream->server, now);
  else
    registry_mark_not_leaving (registry, upstream->server, upstream->started,
                               now);
}

/* Returns whether a response to the request of EXCHANGE has a body.  */
gboolean
upstream_has_body (const struct exchange *exchange,
                   const struct http_head *head)
{
  return !g_str_equal (exchange->head->method, "HEAD") && head->status != 204
         && head->status != 304;
}

/* Ends the reading of the response because of ERROR_TEXT. Returns FALSE.  */
static gboolean
refuse (struct upstream *upstream, const char *error_text)
{
  upstream->error_text = error_text;
  return FALSE;
}

static const char stray_too_long[] = "responses to other requests too long";

/* Begins to skip a response that belongs to another request; MISMATCH says how
   that shows, as static text. Returns FALSE if the response to this request is
   not waited for any longer.  */
static gboolean
skip_stray (struct upstream *upstream, const struct http_head *head,
            const char *mismatch)
{
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "answer.stray",
                                  .request_id = upstream->exchange->id,
                                  .peer = upstream->server->entry.id },
             "%s; status=%u", mismatch, head->status);
  upstream->out_of_sync = TRUE;
  upstream->discarding = TRUE;
  if (g_str_equal (upstream->exchange->head->method, "HEAD"))
    return refuse (upstream, "response to another request, of unknown length");
  if (!head->chunked && !head->has_length
      && upstream_has_body (upstream->exchange, head))
    return refuse (upstream,
                   "response to another request, ends with the connection");
  if (++upstream->stray_responses > STRAY_RESPONSES_MAX)
    return refuse (upstream, "too many responses to other requests");
  if (head->has_length && head->length > STRAY_BODY_MAX)
    return refuse (upstream, stray_too_long);
  return TRUE;
}

static gboolean
on_head (void *ctx, const struct http_head *head)
{
  struct upstream *upstream = ctx;
  upstream->discarding = FALSE;
  const char *mismatch = request_id_mismatch (upstream, head);
  if (mismatch != NULL)
    return skip_stray (upstream, head, mismatch);
  if (!is_authentic (upstream, head))
    return refuse (upstream, "response without a signature, or encoded");
  if (!upstream->is_relay)
    check_leaving (upstream, head);
  upstream->response_started = TRUE;
  if (head->status != 421 && !upstream->is_relay)
    response_hints_record (upstream->reverse_proxy, upstream->server,
                           upstream->exchange->id, head, upstream->started);
  upstream->relaying
      = is_success (head)
        && (upstream->exchange->head_sent
            || (upstream_has_body (upstream->exchange, head)
                && (upstream->exchange->route->kind == ROUTING_STREAM
                    || (head->has_length
                        && head->length > UPSTREAM_BUFFERED_BODY_MAX))));
  if (!upstream->relaying || exchange_begin_response (upstream->exchange, head))
    {
      if (is_success (head) && !upstream->exchange->is_sse)
        exchange_usage_started (upstream->exchange);
      return TRUE;
    }
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "stream.mismatch",
                                  .request_id = upstream->exchange->id,
                                  .peer = upstream->server->entry.id },
             "response cannot continue the stream; status=%u", head->status);
  return refuse (upstream, "response cannot continue the stream");
}

/* Returns whether the response, which has been buffered so far, is to be
   relayed from now on: memory is short, and it says how long it is.  */
static gboolean
needs_relay (const struct upstream *upstream)
{
  const struct http_head *head = http_reader_head (upstream->http_reader);
  return !upstream->relaying && upstream->body->len >= RELAYED_BODY_MIN
         && is_success (head) && head->has_length
         && memory_relief_is_tight (upstream->reverse_proxy);
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct upstream *upstream = ctx;
  if (upstream->discarding)
    {
      upstream->stray_bytes += bytes.n;
      return upstream->stray_bytes <= STRAY_BODY_MAX
             || refuse (upstream, stray_too_long);
    }
  g_string_append_len (upstream->body, bytes.p, (gssize)bytes.n);
  if (needs_relay (upstream))
    {
      upstream->relaying = TRUE;
      exchange_begin_response (upstream->exchange,
                               http_reader_head (upstream->http_reader));
    }
  return upstream->relaying || upstream->body->len <= UPSTREAM_BUFFERED_BODY_MAX
         || refuse (upstream, "body too long to be buffered");
}

/* Relays the body that a read has brought, in one piece: for each chunk of it
   alone, the writes to the client would cost far more than the bytes. Returns
   FALSE if it cannot be relayed any further.  */
static gboolean
relay_read (struct upstream *upstream)
{
  struct str bytes = { upstream->body->str, upstream->body->len };
  gboolean ok = bytes.n == 0 || exchange_relay (upstream->exchange, bytes)
                || refuse (upstream, "body cannot be relayed any further");
  g_string_truncate (upstream->body, 0);
  return ok;
}

static void
on_end (void *ctx)
{
  ((struct upstream *)ctx)->complete = TRUE;
}

static const struct http_reader_handler reader = { on_head, on_body, on_end };

/* Returns whether any byte of the request has been sent.  */
gboolean
upstream_request_was_sent (const struct upstream *upstream)
{
  return upstream->tcp_conn != NULL
         && tcp_conn_sent (upstream->tcp_conn) > upstream->sent_before;
}

/* Returns whether another instance serves the request.  */
gboolean
upstream_is_relay (const struct upstream *upstream)
{
  return upstream->is_relay;
}

/* Returns whether the head of the response has arrived.  */
gboolean
upstream_response_started (const struct upstream *upstream)
{
  return upstream->response_started;
}

/* Reads what has arrived from the server, so that nothing is given up that is
   only waiting to be read because the process was stalled. Returns FALSE if the
   exchange is over and has been freed. Not to be called by a handler of a
   connection.  */
gboolean
upstream_read_arrived (struct exchange *exchange)
{
  gboolean freed = FALSE;
  if (exchange->upstream == NULL || exchange->upstream->tcp_conn == NULL)
    return TRUE;
  exchange->freed = &freed;
  tcp_conn_read_arrived (exchange->upstream->tcp_conn);
  if (freed)
    return FALSE;
  exchange->freed = NULL;
  return TRUE;
}

/* Ends the attempt without a response. The request counts as not sent only if
   no byte of it was sent. May free UPSTREAM.  */
static void
fail_attempt (struct upstream *upstream, const struct err *err)
{
  struct err copy = *err;
  enum retry_result result = upstream_request_was_sent (upstream)
                                 ? RETRY_RESULT_LOST
                                 : RETRY_RESULT_NOT_SENT;
  const struct str none = { "", 0 };
  upstream->charged = TRUE;
  g_strlcpy (copy.peer, upstream->server->entry.id, sizeof copy.peer);
  server_health_add_result (&upstream->server->server_health,
                            result == RETRY_RESULT_NOT_SENT
                                ? SERVER_HEALTH_UNREACHABLE
                                : SERVER_HEALTH_FAILURE);
  exchange_attempt_failed (upstream->exchange, result, NULL, none, &copy);
}

/* Returns the text after NAME, whatever its case, in VALUE; empty if VALUE does
   not contain NAME.  */
static struct str
text_after (struct str value, struct str name)
{
  for (gsize i = 0; i + name.n <= value.n; i++)
    if (g_ascii_strncasecmp (value.p + i, name.p, name.n) == 0)
      return (struct str){ value.p + i + name.n, value.n - i - name.n };
  return (struct str){ "", 0 };
}

/* Returns for how many microseconds the connection may stay idle, by the
   Keep-Alive header of the response; 0 or less: not at all.  */
static gint64
server_keep_alive_us (const struct http_head *head)
{
  struct str value;
  guint64 seconds;
  if (!http_head_get (head, "keep-alive", &value))
    return KEEP_ALIVE_DEFAULT_US;
  struct str timeout = text_after (value, STR_LIT ("timeout="));
  gsize n = 0;
  if (timeout.n == 0)
    return KEEP_ALIVE_DEFAULT_US;
  while (n < timeout.n && g_ascii_isdigit (timeout.p[n]))
    n++;
  if (!http_parse_number ((struct str){ timeout.p, n }, &seconds))
    return 0;
  return (gint64)seconds * CLK_S - KEEP_ALIVE_MARGIN_US;
}

/* Returns the connection to the pool if it can carry another request, else
   closes it. It cannot if the server has responded before the complete request
   was sent.  */
static void
keep_connection (struct upstream *upstream, gboolean reusable)
{
  struct tcp_conn *tcp_conn = g_steal_pointer (&upstream->tcp_conn);
  if (reusable && !upstream->out_of_sync && tcp_conn_queued (tcp_conn) == 0)
    backend_pool_put (
        upstream->reverse_proxy->backend_pool, upstream->server, tcp_conn,
        server_keep_alive_us (http_reader_head (upstream->http_reader)));
  else
    tcp_conn_close (tcp_conn);
}

/* Hands the complete response over to the exchange: success, or failure by its
   status code. Bytes after it change nothing for the request, but count as a
   failure of the server. Frees UPSTREAM.  */
static void
deliver (struct upstream *upstream, gboolean reusable)
{
  struct exchange *exchange = upstream->exchange;
  const struct http_head *head = http_reader_head (upstream->http_reader);
  const struct header_names *header_names
      = upstream->reverse_proxy->header_names;
  struct str body = { upstream->body->str, upstream->body->len };
  struct err err = { 0 };
  const char *incomplete = upstream->relaying ? exchange_response_incomplete (
                               exchange, head->chunked || head->has_length)
                                              : NULL;
  if (incomplete != NULL)
    {
      err_set (&err, ERR_CLOSED, "backend.answer", "", "%s", incomplete);
      fail_attempt (upstream, &err);
      return;
    }
  keep_connection (upstream, reusable && head->keep_alive);
  if (is_success (head))
    {
      server_health_add_result (&upstream->server->server_health,
                                SERVER_HEALTH_SUCCESS);
      if (upstream->has_extra)
        backend_pool_record_extra (upstream->server, exchange->id);
      if (upstream->relaying)
        exchange_end_response (exchange);
      else
        exchange_send_buffered_response (exchange, head, body);
      return;
    }
  if (upstream->is_relay && !exchange->head_sent)
    {
      /* The other instance knows nothing of the attempts made here. */
      if (exchange->may_have_run
          && (head->status == 503 || head->status == 429))
        exchange_send_outcome_unknown (exchange, 502, "outcome_unknown");
      else
        exchange_send_buffered_response (exchange, head, body);
      return;
    }
  enum retry_result result = head->status == 421 ? RETRY_RESULT_MISDIRECTED
                             : http_head_count (head, header_names->not_run) > 0
                                 ? RETRY_RESULT_REJECTED
                                 : RETRY_RESULT_FAILED;
  if (upstream->has_extra)
    backend_pool_record_extra (upstream->server, exchange->id);
  else if (result == RETRY_RESULT_FAILED && head->status >= 500)
    server_health_add_result (&upstream->server->server_health,
                              SERVER_HEALTH_FAILURE);
  err_set (&err, ERR_UNAVAILABLE, "backend.answer", upstream->server->entry.id,
           "status %u", head->status);
  exchange_attempt_failed (exchange, result, head, body, &err);
}

/* Returns whether DATA is the last chunk of a response that has no body but
   says that it is chunked: some servers send it all the same.  */
static gboolean
is_needless_last_chunk (const struct http_reader *http_reader, struct str data)
{
  static const char last_chunk[] = "0\r\n\r\n";
  const struct http_head *head = http_reader_head (http_reader);
  return (head->status == 204 || head->status == 304) && head->chunked
         && data.n < sizeof last_chunk
         && memcmp (data.p, last_chunk, data.n) == 0;
}

static void
on_data (void *ctx, struct str data)
{
  struct upstream *upstream = ctx;
  registry_mark_reached (upstream->server,
                         clk_now (upstream->reverse_proxy->options.clk));
  if (!upstream->is_relay)
    reachability_heard (upstream->reverse_proxy);
  upstream->has_bytes = TRUE;
  while (data.n > 0)
    {
      struct err err = { 0 };
      upstream->complete = FALSE;
      gssize n = http_reader_feed (upstream->http_reader, data, &err);
      if ((upstream->relaying && !relay_read (upstream)) || n < 0)
        {
          if (upstream->error_text != NULL)
            err_set (&err, ERR_PROTOCOL, "backend.answer", "", "%s",
                     upstream->error_text);
          fail_attempt (upstream, &err);
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
      if (!upstream->complete)
        {
          memory_relief_note (upstream->exchange->downstream);
          return;
        }
      if (!upstream->discarding)
        {
          upstream->has_extra
              = data.n > 0
                && !is_needless_last_chunk (upstream->http_reader, data);
          deliver (upstream, data.n == 0);
          return;
        }
      http_reader_next (upstream->http_reader, FALSE);
    }
}

static void
on_ended (void *ctx)
{
  struct upstream *upstream = ctx;
  struct err err = { 0 };
  upstream->complete = FALSE;
  if (http_reader_finish (upstream->http_reader, &err) == 0
      && upstream->complete && !upstream->discarding)
    {
      deliver (upstream, FALSE);
      return;
    }
  if (err.code == 0)
    err_set (&err, ERR_CLOSED, "backend.answer", "",
             "connection closed before a complete response");
  fail_attempt (upstream, &err);
}

static void
on_failed (void *ctx, const struct err *err)
{
  struct upstream *upstream = ctx;
  if (!upstream->is_relay && !upstream->has_bytes)
    reachability_failed (upstream->reverse_proxy, upstream->server);
  fail_attempt (upstream, err);
}

static void
on_opened (void *ctx)
{
  const struct upstream *upstream = ctx;
  if (!upstream->is_relay)
    reachability_accepted (upstream->reverse_proxy);
  downstream_end_if_left (upstream->exchange->downstream);
}

static void
on_stalled (void *ctx)
{
  const struct upstream *upstream = ctx;
  if (!upstream->is_relay)
    reachability_failed (upstream->reverse_proxy, upstream->server);
}

static const struct tcp_conn_handler connection = { .opened = on_opened,
                                                    .data = on_data,
                                                    .ended = on_ended,
                                                    .failed = on_failed,
                                                    .stalled = on_stalled };

/* Sends the request of EXCHANGE to SERVER, on an idle connection of the pool or
   on a new one. With CHOICE NULL, SERVER stands for another instance. The
   caller owns the result. Returns NULL if no connection can be started.  */
struct upstream *
upstream_start (struct exchange *exchange, struct registry_server *server,
                const struct placement_choice *choice)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  struct err err = { 0 };
  gboolean repeatable = routing_may_repeat (exchange->route);
  struct upstream *upstream = g_new0 (struct upstream, 1);
  const struct tcp_conn_options options = { .handler = &connection,
                                            .ctx = upstream,
                                            .silence_ms = ACK_TIMEOUT_MS,
                                            .connect_ms = CONNECT_TIMEOUT_MS };
  upstream->exchange = exchange;
  upstream->reverse_proxy = reverse_proxy;
  upstream->started = clk_now (reverse_proxy->options.clk);
  upstream->server = registry_server_ref (server);
  upstream->is_relay = choice == NULL;
  upstream->is_trial = server->backoff.trial;
  server->backoff.trials += upstream->is_trial;
  upstream->body = g_string_new (NULL);
  upstream->http_reader = http_reader_new (TRUE, &reader, upstream);
  upstream->tcp_conn = backend_pool_take (reverse_proxy->backend_pool, server,
                                          repeatable ? IDLE_MAX_REPEATABLE_US
                                                     : IDLE_MAX_ONCE_US);
  upstream->new_connection = upstream->tcp_conn == NULL;
  if (upstream->tcp_conn != NULL)
    tcp_conn_set_handler (upstream->tcp_conn, &connection, upstream);
  else
    upstream->tcp_conn
        = tcp_conn_connect (server->entry.address, &options, &err);
  if (upstream->tcp_conn == NULL)
    {
      log_write (&(struct log_entry){ .level = LOG_WARN,
                                      .event = "backend.connect",
                                      .request_id = exchange->id,
                                      .step = err.step,
                                      .peer = server->entry.id },
                 "%s", err.text);
      server_health_add_result (&server->server_health,
                                SERVER_HEALTH_UNREACHABLE);
      upstream_free (upstream);
      return NULL;
    }
  upstream->sent_before = tcp_conn_sent (upstream->tcp_conn);
  if (g_str_equal (exchange->head->method, "HEAD"))
    http_reader_next (upstream->http_reader, TRUE);
  GString *request = g_string_new (NULL);
  upstream_build_request_head (exchange, choice, request);
  tcp_conn_write (upstream->tcp_conn, request->str, request->len);
  tcp_conn_write (upstream->tcp_conn, exchange->body->data,
                  exchange->body->len);
  g_string_free (request, TRUE);
  memory_relief_note (exchange->downstream);
  return upstream;
}

/* Counts an attempt that ends at the request's deadline as a failure of the
   server, if the server has sent bytes, but not the head of its response, or a
   body that does not seem to end. A server that has sent nothing may only be
   busy.  */
static void
charge_no_response (struct upstream *upstream)
{
  gboolean is_endless
      = upstream->body->len >= ENDLESS_BODY_MIN
        && !http_reader_head (upstream->http_reader)->has_length;
  if (!upstream->has_bytes || (upstream->response_started && !is_endless)
      || upstream->charged
      || clk_now (upstream->reverse_proxy->options.clk)
             < upstream->exchange->deadline)
    return;
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "answer.none",
                                  .request_id = upstream->exchange->id,
                                  .peer = upstream->server->entry.id },
             "bytes until the deadline, but no response; stray=%u "
             "body=%" G_GSIZE_FORMAT,
             upstream->stray_responses, upstream->body->len);
  server_health_add_result (&upstream->server->server_health,
                            SERVER_HEALTH_FAILURE);
}

/* Ends the attempt. If the server is still processing the request, the reset of
   the connection cancels it.  */
void
upstream_free (struct upstream *upstream)
{
  if (upstream == NULL)
    return;
  charge_no_response (upstream);
  tcp_conn_reset (upstream->tcp_conn);
  http_reader_free (upstream->http_reader);
  g_string_free (upstream->body, TRUE);
  upstream->server->backoff.trials -= upstream->is_trial;
  registry_server_unref (upstream->server);
  g_free (upstream);
}

/* Returns the bytes of memory that the attempt takes.  */
gsize
upstream_kept (const struct upstream *upstream)
{
  gsize n = upstream->body->allocated_len
            + http_reader_head (upstream->http_reader)->text->allocated_len;
  return upstream->tcp_conn != NULL ? n + tcp_conn_kept (upstream->tcp_conn)
                                    : n;
}

/* Returns the bytes of the response that are buffered.  */
gsize
upstream_buffered (const struct upstream *upstream)
{
  return upstream->body->len;
}

/* Ends the attempt, whose response takes more memory than there is. It counts
   as a failure of the server: the response did not say how long it is. May free
   UPSTREAM and its exchange.  */
void
upstream_give_up (struct upstream *upstream)
{
  struct err err = { 0 };
  err_set (&err, ERR_TOO_LARGE, "backend.answer", "",
           "response too long for the memory that is left");
  fail_attempt (upstream, &err);
}

/* Pauses or resumes reading the response.  */
void
upstream_pause (struct upstream *upstream, gboolean paused)
{
  if (upstream->tcp_conn != NULL)
    tcp_conn_pause (upstream->tcp_conn, paused);
}

const struct registry_server *
upstream_server (const struct upstream *upstream)
{
  return upstream->server;
}
