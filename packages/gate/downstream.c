/* Client connections: parses requests one after the other and limits their size
   and the time that a client may take.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#define BODY_READ_TIMEOUT_US                                                   \
  (20 * CLK_S) /* from the head of a request to the end of its body */
#define IDLE_MARGIN                                                            \
  1.2 /* factor on the idle time-out, so that a client that keeps to the       \
         time-out does not send a request while the connection is closed */
#define ACK_TIMEOUT_MS                                                         \
  8000 /* a connection without TCP acknowledgements for this time has failed   \
        */
#define READ_AHEAD_KEPT_MAX 4096 /* bytes of room for the next request */
#define CLIENTS_MAX                                                            \
  3000 /* connections; below the process's limit of file descriptors */

/* Returns the configured limits; defaults while there is no configuration.  */
static const struct routing_limits *
limits_of (const struct downstream *downstream)
{
  static const struct routing_limits unconfigured
      = { .header_bytes = 16384,
          .body_bytes = 4 * 1024 * 1024,
          .header_timeout_us = 3 * CLK_S,
          .idle_timeout_us = 15 * CLK_S };
  return downstream->reverse_proxy->routing_table
             ? routing_limits (downstream->reverse_proxy->routing_table)
             : &unconfigured;
}

/* Closes the connection and cancels the request in progress.  */
void
downstream_free (struct downstream *downstream)
{
  g_clear_handle_id (&downstream->timer, g_source_remove);
  g_queue_unlink (&downstream->reverse_proxy->clients, &downstream->link);
  memory_relief_remove (downstream->reverse_proxy, &downstream->memory);
  if (downstream->exchange != NULL)
    {
      exchange_dropped (downstream->exchange, "process_end");
      exchange_free (downstream->exchange);
    }
  tcp_conn_close (downstream->tcp_conn);
  http_reader_free (downstream->http_reader);
  g_byte_array_unref (downstream->read_ahead);
  g_free (downstream);
}

/* Frees DOWNSTREAM now or, during downstream_parse, when that returns.  */
static void
release (struct downstream *downstream)
{
  if (downstream->parsing)
    downstream->release_pending = TRUE;
  else
    downstream_free (downstream);
}

/* Closes the connection once all queued bytes have been sent. May free
   DOWNSTREAM.  */
static void
finish (struct downstream *downstream)
{
  struct tcp_conn *tcp_conn = g_steal_pointer (&downstream->tcp_conn);
  if (tcp_conn != NULL)
    closing_start (downstream->reverse_proxy, tcp_conn, downstream->peer);
  release (downstream);
}

static void wait_for_request (struct downstream *downstream);

static gboolean
on_timer (gpointer data)
{
  struct downstream *downstream = data;
  downstream->timer = 0;
  if (!downstream->timer_limits_read
      && (downstream->read_ahead->len > 0
          || !tcp_conn_is_idle (downstream->tcp_conn)))
    {
      /* A request has arrived and is about to be read, at the latest when the
         client has taken the responses to those before. */
      wait_for_request (downstream);
      return G_SOURCE_REMOVE;
    }
  if (downstream->timer_limits_read
      && (http_reader_in_message (downstream->http_reader)))
    {
      const struct local_response late = {
        .status = 408, .code = "slow_request", .ran = "no", .close = TRUE
      };
      counter_add (downstream->reverse_proxy->options.counter_set,
                   COUNTER_CLIENT_SLOW, 1);
      local_response_send (
          downstream, downstream->exchange ? downstream->exchange->id : NULL,
          &late);
    }
  downstream_end_exchange (downstream, FALSE);
  return G_SOURCE_REMOVE;
}

/* Restarts the timer; US 0: none. LIMITS_READ: a request is being received, and
   its client gets a 408 when the time is up.  */
static void
set_timer (struct downstream *downstream, gint64 us, gboolean limits_read)
{
  g_clear_handle_id (&downstream->timer, g_source_remove);
  downstream->timer_limits_read = limits_read;
  if (us > 0)
    downstream->timer
        = g_timeout_add ((guint)(us / CLK_MS) + 1, on_timer, downstream);
}

static void
wait_for_request (struct downstream *downstream)
{
  set_timer (
      downstream,
      (gint64)((double)limits_of (downstream)->idle_timeout_us * IDLE_MARGIN),
      FALSE);
}

/* Rejects a request that cannot be parsed or is too large, and closes the
   connection. May free DOWNSTREAM.  */
static void
reject_and_close (struct downstream *downstream, guint status, const char *code)
{
  const struct local_response local_response
      = { .status = status, .code = code, .ran = "no", .close = TRUE };
  counter_add (downstream->reverse_proxy->options.counter_set,
               status == 400 ? COUNTER_INVALID_REQUEST : COUNTER_TOO_LARGE, 1);
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "request.rejected",
                                  .request_id = downstream->exchange
                                                    ? downstream->exchange->id
                                                    : NULL,
                                  .peer = downstream->peer },
             "status=%u code=%s", status, code);
  local_response_send (downstream,
                       downstream->exchange ? downstream->exchange->id : NULL,
                       &local_response);
  downstream_end_exchange (downstream, FALSE);
}

static gboolean
on_head (void *ctx, const struct http_head *head)
{
  struct downstream *downstream = ctx;
  downstream->exchange = exchange_new (downstream, head);
  downstream->body_too_long
      = head->has_length && head->length > limits_of (downstream)->body_bytes;
  if (downstream->body_too_long)
    return FALSE;
  if (http_head_lists (head, "expect", STR_LIT ("100-continue"))
      && (head->chunked || head->length > 0))
    tcp_conn_write (downstream->tcp_conn, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  set_timer (downstream, BODY_READ_TIMEOUT_US, TRUE);
  return TRUE;
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct downstream *downstream = ctx;
  gsize received = downstream->exchange->body->len + bytes.n;
  downstream->body_too_long = received > limits_of (downstream)->body_bytes;
  if (downstream->body_too_long)
    return FALSE;
  downstream->body_waits = !memory_relief_admits (downstream, received);
  return exchange_append_body (downstream->exchange, bytes);
}

static void
on_end (void *ctx)
{
  struct downstream *downstream = ctx;
  g_clear_handle_id (&downstream->timer, g_source_remove);
  downstream->body_waits = FALSE;
  memory_relief_body_ended (downstream);
}

static const struct http_reader_handler reader = { on_head, on_body, on_end };

static gboolean
is_busy (const struct downstream *downstream)
{
  return downstream->exchange != NULL
         && downstream->exchange->state != EXCHANGE_RECEIVING;
}

static void
on_parse_error (struct downstream *downstream, gssize code)
{
  if (downstream->body_too_long)
    reject_and_close (downstream, 413, "body_too_large");
  else if (code == ERR_TOO_LARGE)
    reject_and_close (downstream, 431, "head_too_large");
  else
    reject_and_close (downstream, 400, "malformed");
}

/* Whether the next request is not parsed yet, because the client has not taken
   the responses to those before.  */
static gboolean
output_is_full (const struct downstream *downstream)
{
  return downstream->exchange == NULL
         && tcp_conn_queued (downstream->tcp_conn) >= DOWNSTREAM_QUEUE_MAX;
}

/* Parses received bytes until a request is complete. Bytes of later pipelined
   requests stay in the buffer until it has got its response. Callbacks must not
   free DOWNSTREAM meanwhile, hence the flag PARSING. May free DOWNSTREAM at the
   end.  */
static void
downstream_parse (struct downstream *downstream)
{
  downstream->parsing = TRUE;
  while (!downstream->release_pending && !is_busy (downstream)
         && !downstream->body_waits && downstream->read_ahead->len > 0
         && !output_is_full (downstream))
    {
      struct err err = { 0 };
      struct str bytes = { (const char *)downstream->read_ahead->data,
                           downstream->read_ahead->len };
      gboolean at_start = !http_reader_in_message (downstream->http_reader)
                          && downstream->exchange == NULL;
      gssize n = http_reader_feed (downstream->http_reader, bytes, &err);
      if (n < 0)
        {
          g_byte_array_set_size (downstream->read_ahead, 0);
          on_parse_error (downstream, n);
          break;
        }
      g_byte_array_remove_range (downstream->read_ahead, 0, (guint)n);
      if (at_start && http_reader_in_head (downstream->http_reader))
        set_timer (downstream, limits_of (downstream)->header_timeout_us, TRUE);
      /* Blank lines before a request are no part of it: the idle time-out goes
         on. */
      if (http_reader_in_message (downstream->http_reader)
          || downstream->exchange == NULL)
        continue;
      downstream->served++;
      exchange_request_complete (downstream->exchange);
    }
  downstream->parsing = FALSE;
  if (downstream->release_pending)
    {
      downstream_free (downstream);
      return;
    }
  if (downstream->tcp_conn != NULL)
    tcp_conn_pause (downstream->tcp_conn,
                    downstream->body_waits
                        || downstream->read_ahead->len
                               >= DOWNSTREAM_READ_AHEAD_MAX);
  memory_relief_note (downstream);
}

/* Reads on, after the body has waited.  */
void
downstream_read_on (struct downstream *downstream)
{
  downstream->body_waits = FALSE;
  downstream_parse (downstream);
}

/* Ends a request whose body has not arrived completely, and closes the
   connection. Frees DOWNSTREAM.  */
void
downstream_give_up_body (struct downstream *downstream, guint status,
                         const char *code, gint64 retry_after_us)
{
  const struct local_response local_response
      = { .status = status,
          .code = code,
          .ran = "no",
          .retry_after_us = retry_after_us,
          .close = TRUE };
  counter_add (downstream->reverse_proxy->options.counter_set, COUNTER_REJECTED,
               1);
  local_response_send (downstream, downstream->exchange->id, &local_response);
  downstream_end_exchange (downstream, FALSE);
}

static void
on_data (void *ctx, struct str data)
{
  struct downstream *downstream = ctx;
  if (downstream->read_ahead->len == 0 && downstream->read_ahead_is_large)
    {
      g_byte_array_unref (downstream->read_ahead);
      downstream->read_ahead = g_byte_array_new ();
    }
  downstream->read_ahead_is_large = data.n > READ_AHEAD_KEPT_MAX;
  g_byte_array_append (downstream->read_ahead, (const guint8 *)data.p,
                       (guint)data.n);
  downstream_parse (downstream);
}

static void
client_disconnected (struct downstream *downstream)
{
  if (downstream->exchange != NULL)
    exchange_client_disconnected (downstream->exchange);
  release (downstream);
}

/* Ends the request in progress if the client has closed its connection, which
   may not have been read yet: after a pause of the process the request and the
   end of its connection arrive together. Returns whether it was ended; then
   DOWNSTREAM and its exchange may have been freed.  */
gboolean
downstream_end_if_left (struct downstream *downstream)
{
  if (downstream->tcp_conn == NULL
      || !tcp_conn_peer_has_ended (downstream->tcp_conn))
    return FALSE;
  client_disconnected (downstream);
  return TRUE;
}

static void
on_ended (void *ctx)
{
  client_disconnected (ctx);
}

static void
on_failed (void *ctx, const struct err *err)
{
  (void)err;
  client_disconnected (ctx);
}

static void
on_drained (void *ctx)
{
  struct downstream *downstream = ctx;
  memory_relief_note (downstream);
  if (is_busy (downstream))
    exchange_output_drained (downstream->exchange);
  else if (downstream->read_ahead->len > 0)
    downstream_parse (downstream);
}

static const struct tcp_conn_handler connection = {
  .data = on_data, .ended = on_ended, .failed = on_failed, .drained = on_drained
};

/* Takes over the socket FD of a new client connection from PEER. Above
   CLIENTS_MAX connections it is closed at once.  */
void
downstream_accept (struct reverse_proxy *reverse_proxy, int fd,
                   const char *peer)
{
  struct downstream *downstream = g_new0 (struct downstream, 1);
  const struct tcp_conn_options options = { .handler = &connection,
                                            .ctx = downstream,
                                            .silence_ms = ACK_TIMEOUT_MS };
  downstream->reverse_proxy = reverse_proxy;
  downstream->read_ahead = g_byte_array_new ();
  downstream->http_reader = http_reader_new (FALSE, &reader, downstream);
  http_reader_limit_head (downstream->http_reader,
                          limits_of (downstream)->header_bytes);
  g_strlcpy (downstream->peer, peer, sizeof downstream->peer);
  downstream->tcp_conn = tcp_conn_adopt (fd, &options);
  downstream->link.data = downstream;
  g_queue_push_tail_link (&reverse_proxy->clients, &downstream->link);
  downstream->memory.downstream = downstream;
  memory_relief_add (reverse_proxy, &downstream->memory);
  wait_for_request (downstream);
  if (reverse_proxy->clients.length + reverse_proxy->closing.length
      > CLIENTS_MAX)
    finish (downstream);
}

/* Ends the exchange after its response. KEEP: the connection may carry another
   request. Frees the exchange, and unless the connection stays open,
   DOWNSTREAM.  */
void
downstream_end_exchange (struct downstream *downstream, gboolean keep)
{
  g_clear_pointer (&downstream->exchange, exchange_free);
  if (!keep || downstream->closing)
    {
      finish (downstream);
      return;
    }
  http_reader_next (downstream->http_reader, FALSE);
  http_reader_limit_head (downstream->http_reader,
                          limits_of (downstream)->header_bytes);
  wait_for_request (downstream);
  if (!downstream->parsing && downstream->read_ahead->len > 0)
    downstream_parse (downstream);
}

/* Resets the connection, so that a partial response cannot look complete. Frees
   the exchange and DOWNSTREAM.  */
void
downstream_reset (struct downstream *downstream)
{
  g_clear_pointer (&downstream->exchange, exchange_free);
  tcp_conn_reset (g_steal_pointer (&downstream->tcp_conn));
  release (downstream);
}

/* Closes the connection after the request in progress; an idle connection at
   once. May free DOWNSTREAM.  */
void
downstream_drain (struct downstream *downstream)
{
  downstream->closing = TRUE;
  if (downstream->exchange == NULL
      && !http_reader_in_message (downstream->http_reader)
      && downstream->read_ahead->len == 0
      && tcp_conn_is_idle (downstream->tcp_conn))
    finish (downstream);
}

/* The shutdown limit is reached: ends the request in progress with a response,
   unless one has begun, and closes the connection. Frees DOWNSTREAM.  */
void
downstream_end_at_limit (struct downstream *downstream)
{
  const struct local_response partial
      = { .status = 503, .code = "shutdown_limit", .ran = "no", .close = TRUE };
  if (is_busy (downstream))
    {
      exchange_end_at_limit (downstream->exchange);
      return;
    }
  if (downstream->exchange != NULL
      || http_reader_in_message (downstream->http_reader)
      || !tcp_conn_is_idle (downstream->tcp_conn))
    {
      counter_add (downstream->reverse_proxy->options.counter_set,
                   COUNTER_REJECTED, 1);
      local_response_send (
          downstream, downstream->exchange ? downstream->exchange->id : NULL,
          &partial);
    }
  downstream_end_exchange (downstream, FALSE);
}
