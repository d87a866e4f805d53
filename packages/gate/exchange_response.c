/* Forwarding of a backend server's response to the client, either relayed as it
   arrives or buffered and sent when it is complete.  */
#include "gate/exchange_internal.h"

#include "base/log.h"

#include <string.h>

#define HEALTH_PROMPT_TOKENS                                                   \
  500 /* prompt length at which health statistics use a time to first token    \
         unscaled */

#define JOINED_BODY_MAX (64 * 1024) /* bytes, in one write with the head */

static void
append_response_head (const struct exchange *exchange,
                      const struct http_head *head, GString *out)
{
  const char *between_instances
      = exchange->reverse_proxy->header_names->software;
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", head->status,
                          http_reason_phrase (head->status));
  for (guint i = 0; i < head->fields->len; i++)
    {
      struct str name = http_head_field_name (head, i);
      if (!http_head_is_hop_by_hop (head, name)
          && !http_equals_ignore_case (name, between_instances))
        http_put_field_str (out, name, http_head_field_value (head, i));
    }
}

/* Returns whether the client's connection stays open after this response.  */
static gboolean
keeps_alive (const struct exchange *exchange)
{
  return exchange->head->keep_alive
         && exchange->reverse_proxy->shutdown_started == 0
         && !exchange->downstream->closing;
}

/* Returns the media type of a response without its parameters; empty if it has
   none. It is borrowed from HEAD.  */
static struct str
media_type (const struct http_head *head)
{
  struct str type = { "", 0 };
  if (!http_head_get (head, "content-type", &type))
    return type;
  const char *end = memchr (type.p, ';', type.n);
  return http_trim (
      (struct str){ type.p, end ? (gsize)(end - type.p) : type.n });
}

/* Begins to relay the server's response. When a stream is resumed at another
   server, the client has a head already and gets no second one. Returns FALSE
   if the response is not of the same kind as the one before: it cannot continue
   that.  */
gboolean
exchange_begin_response (struct exchange *exchange,
                         const struct http_head *head)
{
  struct str type = media_type (head);
  exchange_transition (exchange, EXCHANGE_ON_RESPONSE_START);
  stream_version_read_response (exchange, head);
  if (exchange->head_sent)
    return head->status == exchange->status
           && type.n == strlen (exchange->media_type)
           && g_ascii_strncasecmp (type.p, exchange->media_type, type.n) == 0;
  exchange->media_type = str_dup (type);
  GString *out = g_string_new (NULL);
  append_response_head (exchange, head, out);
  stream_version_put_response (exchange, out);
  exchange->status = head->status;
  exchange->is_sse
      = exchange->route->kind == ROUTING_STREAM
        && (type.n == 0 || http_equals_ignore_case (type, "text/event-stream"));
  exchange->chunked = !exchange->head->http_1_0;
  if (exchange->chunked)
    http_put_field (out, "Transfer-Encoding", "chunked");
  if (!keeps_alive (exchange) || !exchange->chunked)
    http_put_field (out, "Connection", "close");
  g_string_append (out, "\r\n");
  tcp_conn_write (exchange->downstream->tcp_conn, out->str, out->len);
  g_string_free (out, TRUE);
  exchange->head_sent = TRUE;
  return TRUE;
}

/* Records the time to the first event, or the inter-event gap before EVENTS
   events that arrived together, in the health statistics of the server. The
   time that an engine needs for prefill says nothing about its health: of the
   first event only the excess over the expected time counts, and gaps count
   only while no prefill is pending.  */
static void
record_event_time (struct exchange *exchange, gint64 gap, guint events)
{
  struct scheduler *scheduler = exchange->reverse_proxy->options.scheduler;
  if (exchange->queue_entry.server == NULL)
    return; /* another instance serves it */
  struct server_health *server_health
      = &exchange->queue_entry.server->server_health;
  guint number = exchange->queue_entry.server->number;
  if (!exchange->queue_entry.first_event_seen)
    {
      gint64 excess
          = gap
            - scheduler_expected_prefill_us (scheduler, &exchange->queue_entry);
      histogram_add (exchange->reverse_proxy->options.histogram_set,
                     HISTOGRAM_FIRST_EVENT, gap);
      server_health_add_ttft (server_health, MAX (excess, 0),
                              HEALTH_PROMPT_TOKENS);
      scheduler_first_event (scheduler, &exchange->queue_entry, gap);
      part_trial_wrote (exchange);
      return;
    }
  histogram_add (exchange->reverse_proxy->options.histogram_set, HISTOGRAM_GAP,
                 gap);
  server_pace_add (&exchange->queue_entry.server->server_pace, gap / events,
                   exchange_now (exchange));
  if (server_load_total (scheduler_loads (scheduler), number).prefill_tokens
      == 0)
    server_health_add_tbt (
        server_health, gap / events,
        server_load_own (scheduler_loads (scheduler), number)->requests);
}

/* Sends bytes of the response body to the client. Pauses reading from the
   server while more than DOWNSTREAM_QUEUE_MAX is queued for the client.  */
static void
write_to_client (struct exchange *exchange, struct str bytes)
{
  char size[32];
  if (bytes.n == 0)
    return;
  exchange->response_bytes += bytes.n;
  g_snprintf (size, sizeof size, "%" G_GSIZE_MODIFIER "x\r\n", bytes.n);
  if (exchange->chunked)
    tcp_conn_write (exchange->downstream->tcp_conn, size, strlen (size));
  tcp_conn_write (exchange->downstream->tcp_conn, bytes.p, bytes.n);
  if (exchange->chunked)
    tcp_conn_write (exchange->downstream->tcp_conn, "\r\n", 2);
  if (tcp_conn_queued (exchange->downstream->tcp_conn)
      > memory_relief_output_max (exchange->reverse_proxy))
    upstream_pause (exchange->upstream, TRUE);
}

/* Resumes reading from the server: all bytes queued for the client have been
   sent.  */
void
exchange_output_drained (struct exchange *exchange)
{
  if (exchange->upstream != NULL)
    upstream_pause (exchange->upstream, FALSE);
}

/* Records that N events have arrived together.  */
static void
record_events (struct exchange *exchange, guint n)
{
  gint64 now = exchange_now (exchange);
  gint64 gap = now - exchange->last_event_at;
  record_event_time (exchange, gap, n);
  if (exchange->events > 0)
    exchange->longest_gap_us = MAX (exchange->longest_gap_us, gap);
  else
    exchange->first_event_us = now - exchange->arrived;
  exchange->last_event_at = now;
  exchange->events += n;
  exchange_usage_events (exchange, n);
  exchange->began_event = FALSE;
  exchange->attempt_events += n;
}

/* The first event of the attempt, ID, does not follow the position.  */
static void
log_repeat (const struct exchange *exchange, struct str id)
{
  struct str position = stream_position_id (&exchange->position);
  counter_add (exchange->reverse_proxy->options.counter_set,
               COUNTER_STREAM_REPEATS, 1);
  log_write (
      &(struct log_entry){ .level = LOG_WARN,
                           .event = "stream.repeat",
                           .request_id = exchange->id,
                           .peer
                           = upstream_server (exchange->upstream)->entry.id },
      "resume_after=\"%s\" first_id=\"%s\"", exchange_logged_id (position).text,
      exchange_logged_id (id).text);
}

/* Relays bytes of the response body. Of an event stream only complete events
   are relayed, so that the stream can be resumed at another server. Returns
   FALSE if the response cannot be relayed any further: an event, or what comes
   between two, is longer than SPLITTER_EVENT_MAX, or the server has not gone on
   at the position that it was given.  */
gboolean
exchange_relay (struct exchange *exchange, struct str bytes)
{
  struct event_splitter *event_splitter = &exchange->event_splitter;
  struct stream_event event;
  guint n = 0;
  gboolean in_order = TRUE;
  if (!exchange->is_sse)
    {
      write_to_client (exchange, bytes);
      return TRUE;
    }
  GString *complete_events = g_string_new (NULL);
  splitter_add (event_splitter, bytes);
  while (splitter_next (event_splitter, &event))
    {
      in_order = stream_position_advance (&exchange->position, &event);
      if (!in_order)
        break;
      g_string_append_len (complete_events, event.text.p, (gssize)event.text.n);
      n += event.has_data || event.id_kind != STREAM_ID_ABSENT;
    }
  if (n > 0)
    {
      stream_version_began (exchange);
      record_events (exchange, n);
    }
  write_to_client (exchange,
                   (struct str){ complete_events->str, complete_events->len });
  g_string_free (complete_events, TRUE);
  if (!in_order)
    log_repeat (exchange, event.id_kind == STREAM_ID_VALUE
                              ? event.id
                              : (struct str){ "", 0 });
  return in_order && !splitter_is_over_limit (event_splitter);
}

/* Returns why a relayed response that has ended is not complete, as static
   text; NULL if it is. FRAMED: its head has said where it ends.  */
const char *
exchange_response_incomplete (const struct exchange *exchange, gboolean framed)
{
  if (!exchange->is_sse)
    return NULL;
  if (!splitter_is_at_boundary (&exchange->event_splitter))
    return "event stream ended inside an event";
  if (!framed && exchange->attempt_events == 0)
    return "event stream without a length ended before an event";
  if (exchange->began_event && exchange->attempt_events == 0)
    return "resumed event stream ended before the event that had begun";
  return NULL;
}

/* Ends a relayed response that is complete. Frees EXCHANGE.  */
void
exchange_end_response (struct exchange *exchange)
{
  struct downstream *downstream = exchange->downstream;
  gboolean keep = keeps_alive (exchange) && exchange->chunked;
  if (exchange->chunked)
    tcp_conn_write (downstream->tcp_conn, "0\r\n\r\n", 5);
  exchange_transition (exchange, EXCHANGE_ON_RESPONSE_END);
  exchange_log_end (exchange, "complete");
  part_trial_completed (exchange);
  counter_add (exchange->reverse_proxy->options.counter_set, COUNTER_ANSWERED,
               1);
  exchange_end_attempt (exchange);
  downstream_end_exchange (downstream, keep);
}

/* Returns whether a complete response with STATUS shows that its server has run
   the request and lives on. One that fails may have done so before it began.
 */
static gboolean
has_run (guint status)
{
  return status < 500 && status != 408 && status != 421 && status != 429;
}

/* Sends a buffered response of the server to the client. Frees EXCHANGE.  */
void
exchange_send_buffered_response (struct exchange *exchange,
                                 const struct http_head *head, struct str body)
{
  struct downstream *downstream = exchange->downstream;
  histogram_add (exchange->reverse_proxy->options.histogram_set,
                 HISTOGRAM_ATTEMPT,
                 exchange_now (exchange) - exchange->attempt_started);
  GString *out = g_string_new (NULL);
  gboolean no_body = !upstream_has_body (exchange, head);
  append_response_head (exchange, head, out);
  if (has_run (head->status))
    part_trial_completed (exchange);
  exchange->status = head->status;
  exchange->response_bytes = body.n;
  if (!no_body)
    http_put_field (out, "Content-Length", "%" G_GSIZE_FORMAT, body.n);
  else if (head->has_length && head->status != 204)
    http_put_field (out, "Content-Length", "%" G_GUINT64_FORMAT, head->length);
  gboolean keep = keeps_alive (exchange);
  if (!keep)
    http_put_field (out, "Connection", "close");
  g_string_append (out, "\r\n");
  /* A short body goes with the head, a long one is not copied once more. */
  gboolean is_long = !no_body && body.n > JOINED_BODY_MAX;
  if (!no_body && !is_long)
    g_string_append_len (out, body.p, (gssize)body.n);
  tcp_conn_write (downstream->tcp_conn, out->str, out->len);
  if (is_long)
    tcp_conn_write (downstream->tcp_conn, body.p, body.n);
  g_string_free (out, TRUE);
  exchange_transition (exchange, EXCHANGE_ON_RESPONSE_END);
  exchange_log_end (exchange,
                    head->status < 300 ? "complete" : "backend_failure");
  counter_add (exchange->reverse_proxy->options.counter_set,
               head->status < 300 ? COUNTER_ANSWERED : COUNTER_FAILED, 1);
  scheduler_ended (exchange->reverse_proxy->options.scheduler,
                   &exchange->queue_entry);
  downstream_end_exchange (downstream, keep);
}
