/* What becomes of a request when an attempt has failed.  */
#include "gate/exchange_internal.h"

#include "base/log.h"

#define REJECTED_PAUSE_US                                                      \
  (150 * CLK_MS) /* how long a server that rejected a request is not used */
#define MISDIRECTED_PAUSE_US                                                   \
  (3 * CLK_S) /* until the server registry has the address's new owner */

/* SERVER, which is brittle, has turned the request away.  */
static void
record_brittle_full (const struct exchange *exchange,
                     struct registry_server *server, gint64 now)
{
  const struct proxy_options *options = &exchange->reverse_proxy->options;
  struct server_load load = server_load_total (
      scheduler_loads (options->scheduler), server->number);
  counter_add (options->counter_set, COUNTER_BRITTLE_FULL, 1);
  registry_brittle_full (server, load.requests, TRUE, now);
  if (options->brittle_full != NULL)
    options->brittle_full (options->ctx);
}

/* Excludes the server of a failed attempt from further attempts of the request
   and, depending on RESULT, from all requests for a while.  */
static void
record_server_result (struct exchange *exchange, enum retry_result result)
{
  struct placement_request *request = &exchange->queue_entry.request;
  struct registry_server *server = exchange->queue_entry.server;
  gint64 now = exchange_now (exchange);
  if (server == NULL)
    return;
  if (request->n_tried < PLACEMENT_TRIED_MAX)
    request->tried[request->n_tried++] = server->number;
  gint64 pause = result == RETRY_RESULT_REJECTED      ? REJECTED_PAUSE_US
                 : result == RETRY_RESULT_MISDIRECTED ? MISDIRECTED_PAUSE_US
                                                      : 0;
  if (result == RETRY_RESULT_NOT_SENT)
    registry_mark_unreachable (server, now);
  if (result == RETRY_RESULT_REJECTED && server->brittle.report.per_s > 0)
    record_brittle_full (exchange, server, now);
  server->avoid_until = MAX (server->avoid_until, now + pause);
}

/* Enqueues the request for an attempt at another server. May free
   EXCHANGE.  */
static void
retry (struct exchange *exchange, enum retry_result result)
{
  if (result != RETRY_RESULT_NOT_SENT)
    {
      retry_budget_count_retry (exchange_retry_budget (exchange),
                                exchange_now (exchange));
      counter_add (exchange->reverse_proxy->options.counter_set,
                   COUNTER_RETRIES, 1);
    }
  if (exchange->head_sent)
    {
      counter_add (exchange->reverse_proxy->options.counter_set,
                   COUNTER_RESUMES, 1);
      exchange->began_event
          |= !splitter_is_at_boundary (&exchange->event_splitter);
      splitter_restart (&exchange->event_splitter);
      exchange->attempt_events = 0;
      /* The client is already reading the stream, so the request goes to the
         head of the queue. At the server it keeps its priority. */
      exchange->queue_entry.resumed = TRUE;
      exchange->queue_entry.target = exchange->deadline;
    }
  exchange_transition (exchange, EXCHANGE_ON_RETRY);
  exchange_enqueue (exchange);
}

/* Returns whether the error response HEAD of a server may go to the client.
   With these statuses the client would take the request for not run, which this
   server has not said.  */
static gboolean
may_forward (const struct exchange *exchange, const struct http_head *head)
{
  return routing_may_repeat (exchange->route)
         || (head->status != 408 && head->status != 421 && head->status != 429
             && head->status != 503);
}

/* The attempt has ended without a complete successful response. HEAD and BODY
   are the server's error response; HEAD is NULL if there is none. Retries the
   request or ends it. May free EXCHANGE.  */
void
exchange_attempt_failed (struct exchange *exchange, enum retry_result result,
                         const struct http_head *head, struct str body,
                         const struct err *err)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  gint64 now = exchange_now (exchange);
  if (result != RETRY_RESULT_NOT_SENT && result != RETRY_RESULT_MISDIRECTED)
    exchange->sent++;
  exchange->n_unreached += result == RETRY_RESULT_NOT_SENT
                           && exchange->queue_entry.server != NULL;
  record_server_result (exchange, result);
  struct retry_case c = {
    .result = result,
    .repeatable = routing_may_repeat (exchange->route),
    .may_have_run = exchange->may_have_run,
    .response_begun = exchange->head_sent,
    .can_resume = exchange->is_sse && exchange->route->resumable
                  && exchange->position.state == STREAM_POSITION_KNOWN
                  && stream_version_can_resume (exchange),
    .has_response = head != NULL && may_forward (exchange, head),
    .sent = exchange->sent,
    .attempts_max = exchange->route->attempts,
    .within_budget = retry_budget_allows (exchange_retry_budget (exchange),
                                          reverse_proxy->instances, now),
    .has_server = scheduler_has_server (reverse_proxy->options.scheduler,
                                        &exchange->queue_entry, now)
                  || relay_may_help (exchange),
    .left_us = exchange->deadline - now,
  };
  enum retry_action action = retry_decide (&c);
  if (result == RETRY_RESULT_LOST)
    exchange_identify (exchange);
  struct log_entry e
      = exchange_log_record (exchange, "attempt.lost", err->peer);
  log_write (&e,
             "result=%s step=%s cause=\"%s: %s\" sent=%u/%u budget=%s"
             " left_ms=%" G_GINT64_FORMAT
             " head=%s events=%u last_id=\"%s\" position=%s parts=%s"
             " fingerprints=%s attempt_ms=%" G_GINT64_FORMAT,
             retry_result_name (result), retry_action_name (action), err->step,
             err->text, exchange->sent, exchange->route->attempts,
             c.within_budget ? "yes" : "no", c.left_us / CLK_MS,
             exchange->upstream != NULL
                     && upstream_response_started (exchange->upstream)
                 ? "yes"
                 : "no",
             exchange->events, exchange_logged_position (exchange).text,
             stream_position_state_name (&exchange->position),
             exchange_logged_parts (exchange).text,
             exchange_logged_fingerprints (exchange).text,
             (now - exchange->attempt_started) / CLK_MS);
  if (result == RETRY_RESULT_FAILED || result == RETRY_RESULT_LOST)
    exchange->may_have_run = TRUE;
  if (result == RETRY_RESULT_LOST)
    part_trial_broke (exchange, err);
  if (action == RETRY_ACTION_FORWARD && head != NULL)
    {
      exchange_send_buffered_response (exchange, head, body);
      return;
    }
  exchange_end_attempt (exchange);
  switch (action)
    {
    case RETRY_ACTION_RESEND:
      retry (exchange, result);
      return;
    case RETRY_ACTION_REJECT:
      {
        gint64 retry_us = scheduler_retry_after_us (
            reverse_proxy->options.scheduler, &exchange->queue_entry, now);
        exchange_reject (exchange, 503, "not_run",
                         retry_us > 0 ? retry_us : DEFAULT_RETRY_US);
        return;
      }
    case RETRY_ACTION_REPORT_UNKNOWN:
      exchange_send_outcome_unknown (exchange, 502, "outcome_unknown");
      return;
    case RETRY_ACTION_ABORT:
      exchange_abort (exchange, "backend_lost");
      return;
    case RETRY_ACTION_FORWARD:
      return;
    }
}
