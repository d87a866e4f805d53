/* Log lines about a request.  */
#include "gate/exchange_internal.h"

/* Returns the common part of a log line of the request.  */
struct log_entry
exchange_log_record (const struct exchange *exchange, const char *event,
                     const char *peer)
{
  return (struct log_entry){
    .level = LOG_INFO, .event = event, .request_id = exchange->id, .peer = peer
  };
}

/* Returns ID for the log: cut, and with '?' for what could end the member that
   it stands in.  */
struct logged_id
exchange_logged_id (struct str id)
{
  struct logged_id logged = { "" };
  for (gsize i = 0; i < MIN (id.n, LOGGED_ID_MAX); i++)
    logged.text[i]
        = g_ascii_isgraph (id.p[i]) && id.p[i] != '"' ? id.p[i] : '?';
  return logged;
}

/* Returns the position in the stream for the log.  */
struct logged_id
exchange_logged_position (const struct exchange *exchange)
{
  return exchange_logged_id (stream_position_id (&exchange->position));
}

/* Returns the id of the request whose stream this one resumes for the log.  */
struct logged_id
exchange_logged_resumes (const struct exchange *exchange)
{
  struct str id = { "", 0 };
  http_head_get (exchange->head, exchange->reverse_proxy->header_names->resumes,
                 &id);
  return exchange_logged_id (id);
}

/* Returns the shared parts of the prompt for the log, the first ones.  */
struct logged_parts
exchange_logged_parts (const struct exchange *exchange)
{
  struct logged_parts logged;
  struct prompt_parts shared = exchange->queue_entry.request.parts;
  while (shared.n > 0 && prompt_part_is_request (shared.keys[shared.n - 1]))
    shared.n--;
  prompt_parts_print (&shared, logged.text, sizeof logged.text);
  return logged;
}

/* Returns the fingerprints of the request for the log, the broadest first; none
   if they have not been needed.  */
struct logged_parts
exchange_logged_fingerprints (const struct exchange *exchange)
{
  struct logged_parts logged;
  struct prompt_parts keys = { .n = exchange->n_fingerprints };
  for (guint i = 0; i < keys.n; i++)
    keys.keys[i] = exchange->fingerprints[i];
  prompt_parts_print (&keys, logged.text, sizeof logged.text);
  return logged;
}

/* Writes the log line and the latency sample of the complete request.  */
void
exchange_log_end (const struct exchange *exchange, const char *outcome)
{
  histogram_add (exchange->reverse_proxy->options.histogram_set,
                 HISTOGRAM_REQUEST,
                 exchange_now (exchange) - exchange->arrived);
  struct log_entry e = exchange_log_record (exchange, "request.end", NULL);
  log_write (&e,
             "outcome=%s status=%u attempts=%u elapsed_ms=%" G_GINT64_FORMAT
             " bytes=%" G_GUINT64_FORMAT " events=%u"
             " first_event_ms=%" G_GINT64_FORMAT
             " longest_pause_ms=%" G_GINT64_FORMAT " last_id=\"%s\" route=%s",
             outcome, exchange->status, exchange->attempts,
             (exchange_now (exchange) - exchange->arrived) / CLK_MS,
             exchange->response_bytes, exchange->events,
             exchange->first_event_us / CLK_MS,
             exchange->longest_gap_us / CLK_MS,
             exchange_logged_position (exchange).text,
             exchange->route ? exchange->route->name : "");
}

/* Records that the client's connection is closed without a complete response to
   its request, if the request has arrived completely. WHY is static text.  */
void
exchange_dropped (const struct exchange *exchange, const char *why)
{
  const struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  if (exchange->state == EXCHANGE_RECEIVING
      || statechart_is_final (reverse_proxy->chart, exchange->state))
    return;
  gint64 now = exchange_now (exchange);
  counter_add (reverse_proxy->options.counter_set, COUNTER_UNANSWERED, 1);
  struct log_entry e = exchange_log_record (exchange, "request.unanswered",
                                            exchange->downstream->peer);
  log_write (&e,
             "reason=%s state=%s number=%u attempts=%u bytes=%" G_GUINT64_FORMAT
             " elapsed_ms=%" G_GINT64_FORMAT " shutdown_ms=%" G_GINT64_FORMAT,
             why, exchange_state_name (exchange->state),
             exchange->downstream->served, exchange->attempts,
             exchange->response_bytes, (now - exchange->arrived) / CLK_MS,
             reverse_proxy->shutdown_started
                 ? (now - reverse_proxy->shutdown_started) / CLK_MS
                 : -1);
}
