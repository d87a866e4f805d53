/* Life cycle of a request: routing, queueing, attempts at backend servers and
   the errors that the client gets. The states follow charts/exchange.chart.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"
#include "gate/exchange_internal.h"
#include "gate/request_headers.h"

#include <string.h>

#define STALE_CONFIG_RETRY_US                                                  \
  (700 * CLK_MS) /* the configuration is normally confirmed again within a     \
                    second */
/* Bytes; longer requests are identified only if a server may have ended. */
#define IDENTIFIED_BODY_MAX (16 * 1024)
#define SHUTDOWN_RETRY_US                                                      \
  (50 * CLK_MS) /* other instances can serve the request at once */

static const char *const state_names[] = {
#define EXCHANGE_NAME(id, name) name,
  EXCHANGE_STATES (EXCHANGE_NAME)
#undef EXCHANGE_NAME
};

const char *
exchange_state_name (enum exchange_state state)
{
  return state_names[state];
}

gint64
exchange_now (const struct exchange *exchange)
{
  return clk_now (exchange->reverse_proxy->options.clk);
}

/* Changes the state as the chart says. An event that the chart does not allow
   in the present state is a bug: it is logged and the state stays.  */
void
exchange_transition (struct exchange *exchange, enum exchange_event event)
{
  int next = statechart_next (exchange->reverse_proxy->chart, exchange->state,
                              (int)event);
  if (next == STATECHART_NONE)
    log_write (&(struct log_entry){ .level = LOG_ERROR,
                                    .event = "request.state",
                                    .request_id = exchange->id },
               "event %d not allowed in state %s", (int)event,
               exchange_state_name (exchange->state));
  else
    exchange->state = (enum exchange_state)next;
}

/* Creates the exchange of a request whose head has been parsed. HEAD is
   borrowed and must outlive the exchange.  */
struct exchange *
exchange_new (struct downstream *downstream, const struct http_head *head)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);
  struct str id;
  exchange->reverse_proxy = downstream->reverse_proxy;
  exchange->downstream = downstream;
  exchange->head = head;
  exchange->body = g_byte_array_new ();
  exchange->arrived = exchange_now (exchange);
  exchange->queue_entry.owner = exchange;
  struct str last_event = { "", 0 };
  splitter_init (&exchange->event_splitter);
  http_head_get (head, downstream->reverse_proxy->header_names->last_event,
                 &last_event);
  stream_position_init (&exchange->position, last_event);
  exchange->is_continuation = last_event.n > 0;
  if (http_head_get (head, downstream->reverse_proxy->header_names->request_id,
                     &id)
      && id.n <= EXCHANGE_ID_MAX)
    memcpy (exchange->id, id.p, id.n);
  downstream->reverse_proxy->exchanges++;
  return exchange;
}

/* Frees the exchange. Withdraws a queued request and cancels an attempt in
   progress.  */
void
exchange_free (struct exchange *exchange)
{
  if (exchange->freed != NULL)
    *exchange->freed = TRUE;
  config_wait_cancel (exchange);
  part_trial_cancel (exchange);
  stream_version_cancel (exchange);
  part_trial_end (exchange);
  g_clear_handle_id (&exchange->timer, g_source_remove);
  scheduler_withdraw (exchange->reverse_proxy->options.scheduler,
                      &exchange->queue_entry);
  scheduler_ended (exchange->reverse_proxy->options.scheduler,
                   &exchange->queue_entry);
  upstream_free (exchange->upstream);
  splitter_clear (&exchange->event_splitter);
  stream_position_clear (&exchange->position);
  g_free (exchange->media_type);
  routing_table_unref (exchange->routing_table);
  g_byte_array_unref (exchange->body);
  exchange->reverse_proxy->exchanges--;
  proxy_schedule_poll (exchange->reverse_proxy);
  g_free (exchange);
}

/* Appends BYTES to the request body. Always returns TRUE.  */
gboolean
exchange_append_body (struct exchange *exchange, struct str bytes)
{
  g_byte_array_append (exchange->body, (const guint8 *)bytes.p, (guint)bytes.n);
  return TRUE;
}

/* Frees the attempt in progress, if any, and its slot at the server.  */
void
exchange_end_attempt (struct exchange *exchange)
{
  part_trial_end (exchange);
  scheduler_ended (exchange->reverse_proxy->options.scheduler,
                   &exchange->queue_entry);
  g_clear_pointer (&exchange->upstream, upstream_free);
  proxy_schedule_poll (exchange->reverse_proxy);
}

/* Ends the request with a response of the proxy itself. Frees EXCHANGE.  */
static void
send_local_response (struct exchange *exchange,
                     const struct local_response *local_response)
{
  struct downstream *downstream = exchange->downstream;
  part_trial_cancel (exchange);
  stream_version_cancel (exchange);
  exchange_end_attempt (exchange);
  scheduler_withdraw (exchange->reverse_proxy->options.scheduler,
                      &exchange->queue_entry);
  exchange_transition (exchange, EXCHANGE_ON_RESPONSE_END);
  exchange->status = local_response->status;
  exchange_log_end (exchange, local_response->code);
  counter_add (exchange->reverse_proxy->options.counter_set,
               g_str_equal (local_response->ran, "no") ? COUNTER_REJECTED
                                                       : COUNTER_FAILED,
               1);
  local_response_send (downstream, exchange->id, local_response);
  downstream_end_exchange (
      downstream, !local_response->close && exchange->head->keep_alive
                      && exchange->reverse_proxy->shutdown_started == 0);
}

/* Ends a request that may have been executed or not. Frees EXCHANGE.  */
void
exchange_send_outcome_unknown (struct exchange *exchange, guint status,
                               const char *code)
{
  const struct local_response local_response
      = { .status = status, .code = code, .ran = "unknown" };
  counter_add (exchange->reverse_proxy->options.counter_set,
               COUNTER_OUTCOME_UNKNOWN, 1);
  send_local_response (exchange, &local_response);
}

/* Rejects a request. RETRY_AFTER_US is sent to the client as the time to retry;
   0: none is sent. If an earlier attempt may have been executed, the client is
   told that instead. Frees EXCHANGE.  */
void
exchange_reject (struct exchange *exchange, guint status, const char *code,
                 gint64 retry_after_us)
{
  const struct local_response local_response
      = { .status = status,
          .code = code,
          .ran = "no",
          .retry_after_us = retry_after_us };
  if (exchange->may_have_run)
    {
      exchange_send_outcome_unknown (exchange, 502, code);
      return;
    }
  send_local_response (exchange, &local_response);
}

/* Resets the client's connection in the middle of a response, so that the
   client cannot take the response for complete. Frees EXCHANGE.  */
void
exchange_abort (struct exchange *exchange, const char *why)
{
  struct downstream *downstream = exchange->downstream;
  exchange_dropped (exchange, why);
  exchange_transition (exchange, EXCHANGE_ON_ABORT);
  exchange_log_end (exchange, why);
  counter_add (exchange->reverse_proxy->options.counter_set, COUNTER_FAILED, 1);
  downstream_reset (downstream);
}

/* Returns whether a server may have executed the request.  */
static gboolean
may_have_run (const struct exchange *exchange)
{
  return exchange->may_have_run
         || (exchange->upstream != NULL
             && upstream_request_was_sent (exchange->upstream));
}

static gboolean
on_deadline (gpointer data)
{
  struct exchange *exchange = data;
  exchange->timer = 0;
  if (!upstream_read_arrived (exchange))
    return G_SOURCE_REMOVE;
  if (exchange->head_sent)
    exchange_abort (exchange, "deadline");
  else if (may_have_run (exchange))
    exchange_send_outcome_unknown (exchange, 504, "timeout");
  else
    exchange_reject (exchange, 503, "timeout_waiting", DEFAULT_RETRY_US);
  return G_SOURCE_REMOVE;
}

/* The shutdown limit is reached: ends the request with a response, or resets
   the connection if one has begun. Frees EXCHANGE.  */
void
exchange_end_at_limit (struct exchange *exchange)
{
  static const char why[] = "shutdown_limit";
  if (!upstream_read_arrived (exchange))
    return;
  if (exchange->head_sent)
    exchange_abort (exchange, why);
  else if (may_have_run (exchange))
    exchange_send_outcome_unknown (exchange, 502, why);
  else
    exchange_reject (exchange, 503, why, SHUTDOWN_RETRY_US);
}

/* Sets the deadline to the route's time-out or, if it is earlier, the one that
   the client asks for.  */
static void
set_deadline (struct exchange *exchange)
{
  struct str text;
  double ms;
  gint64 us = exchange->route->timeout_us;
  if (http_head_get (exchange->head,
                     exchange->reverse_proxy->header_names->deadline_ms, &text)
      && http_parse_decimal (text, &ms) && ms < G_MAXINT32)
    us = MIN (us, (gint64)(ms * (double)CLK_MS));
  exchange->deadline = exchange->arrived + us;
  gint64 left = MAX (exchange->deadline - exchange_now (exchange), 0);
  g_clear_handle_id (&exchange->timer, g_source_remove);
  exchange->timer = g_timeout_add ((guint)((left + CLK_MS - 1) / CLK_MS),
                                   on_deadline, exchange);
}

static gboolean
config_is_fresh (const struct exchange *exchange)
{
  const struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  return reverse_proxy->options.limits.key_freshness_limit_us == 0
         || freshness_is_within (
             &reverse_proxy->freshness, exchange_now (exchange),
             reverse_proxy->options.limits.key_freshness_limit_us);
}

/* Finds route and team in the newest routing table. Returns FALSE if the
   request was rejected, and EXCHANGE may have been freed, or if it waits for
   the first configuration. Without a fresh configuration also an unknown route
   is 503 rather than 404, because a newer configuration may have it.  */
static gboolean
resolve_route (struct exchange *exchange)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  struct str host = { "", 0 };
  struct str key;
  if (reverse_proxy->routing_table == NULL)
    {
      if (!config_wait_begin (exchange))
        exchange_reject (exchange, 503, "no_configuration", DEFAULT_RETRY_US);
      return FALSE;
    }
  if (exchange->routing_table != reverse_proxy->routing_table)
    {
      routing_table_unref (exchange->routing_table);
      exchange->routing_table
          = routing_table_ref (reverse_proxy->routing_table);
    }
  http_head_get (exchange->head, "host", &host);
  exchange->route = routing_table_find (exchange->routing_table, host,
                                        http_head_target (exchange->head));
  exchange->team = NULL;
  if (exchange->route != NULL && exchange->route->is_public)
    return TRUE;
  if (!config_is_fresh (exchange))
    {
      if (!config_wait_begin (exchange))
        exchange_reject (exchange, 503, "configuration_unproved",
                         STALE_CONFIG_RETRY_US);
      return FALSE;
    }
  if (exchange->route == NULL)
    {
      exchange_reject (exchange, 404, "no_route", 0);
      return FALSE;
    }
  if (!routing_table_has_teams (exchange->routing_table))
    return TRUE;
  if (request_headers_key (exchange->head, reverse_proxy->header_names, &key))
    exchange->team = routing_table_team_of (exchange->routing_table, key);
  if (exchange->team != NULL)
    return TRUE;
  counter_add (reverse_proxy->options.counter_set, COUNTER_UNKNOWN_KEY, 1);
  exchange_reject (exchange, 401, "unknown_key", 0);
  return FALSE;
}

/* Returns the retry budget of the request's service; creates it on first
   use.  */
struct retry_budget *
exchange_retry_budget (struct exchange *exchange)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  struct retry_budget *retry_budget = g_hash_table_lookup (
      reverse_proxy->retry_budgets, exchange->queue_entry.service);
  if (retry_budget == NULL)
    {
      retry_budget = g_new0 (struct retry_budget, 1);
      retry_budget_init (retry_budget, &reverse_proxy->options.limits.budget,
                         exchange_now (exchange));
      g_hash_table_insert (reverse_proxy->retry_budgets,
                           g_strdup (exchange->queue_entry.service),
                           retry_budget);
    }
  return retry_budget;
}

/* Adds the fingerprints of the request to its parts, if they are not there.  */
void
exchange_identify (struct exchange *exchange)
{
  struct prompt_parts *parts = &exchange->queue_entry.request.parts;
  const struct str body
      = { (const char *)exchange->body->data, exchange->body->len };
  if (exchange->n_fingerprints == 0)
    exchange->n_fingerprints = request_headers_fingerprint (
        exchange->head, exchange->reverse_proxy->header_names, body,
        exchange->fingerprints);
  if (parts->n > 0 && prompt_part_is_request (parts->keys[parts->n - 1]))
    return;
  for (guint i = 0; i < exchange->n_fingerprints; i++)
    parts->keys[parts->n++] = exchange->fingerprints[i];
}

/* Fills in what the scheduler needs. A route with several services picks one by
   the hash of the request id, so that all attempts of a request with the same
   table get the same one.  */
static void
fill_queue_entry (struct exchange *exchange)
{
  struct scheduler_entry *queue_entry = &exchange->queue_entry;
  const struct routing_route *route = exchange->route;
  guint64 id_hash = str_hash (stream_version_first_id (exchange), 0);
  g_strlcpy (queue_entry->service, routing_pick (route, id_hash),
             sizeof queue_entry->service);
  exchange->tier = routing_tier (route, exchange->team);
  queue_entry->tier = exchange->tier;
  queue_entry->arrived = exchange->arrived;
  queue_entry->deadline = exchange->deadline;
  queue_entry->target
      = MIN (exchange->deadline, exchange->arrived + route->target_us);
  request_headers_prompt (exchange->head, exchange->reverse_proxy->header_names,
                          route, &queue_entry->request);
  if (exchange->body->len <= IDENTIFIED_BODY_MAX || exchange->n_fingerprints > 0
      || part_trial_is_active (exchange->reverse_proxy))
    exchange_identify (exchange);
  queue_entry->request.body_bytes = exchange->body->len;
  if (queue_entry->request.prompt.n == 0)
    queue_entry->request.affinity_hash = id_hash;
}

/* Routes and enqueues the request, or rejects it. May free EXCHANGE.  */
void
exchange_route_request (struct exchange *exchange)
{
  if (!registry_is_loaded (exchange->reverse_proxy->options.registry)
      && config_wait_begin (exchange))
    return;
  if (!resolve_route (exchange))
    return;
  set_deadline (exchange);
  fill_queue_entry (exchange);
  if (!stream_version_admit (exchange))
    return;
  /* The instance that it is passed on to counts it. */
  if (exchange->attempts == 0 && exchange->sent == 0
      && !relay_is_wanted (exchange))
    retry_budget_count_request (exchange_retry_budget (exchange),
                                exchange_now (exchange));
  exchange_enqueue (exchange);
}

/* Handles a request that has arrived completely. May free EXCHANGE.  */
void
exchange_request_complete (struct exchange *exchange)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  counter_add (reverse_proxy->options.counter_set, COUNTER_REQUESTS, 1);
  exchange_transition (exchange, EXCHANGE_ON_REQUEST_END);
  relay_read_header (exchange);
  if (exchange->id[0] == '\0'
      || http_head_count (exchange->head,
                          reverse_proxy->header_names->request_id)
             != 1)
    {
      counter_add (reverse_proxy->options.counter_set, COUNTER_INVALID_REQUEST,
                   1);
      exchange_reject (exchange, 400, "no_request_id", 0);
      return;
    }
  if (http_head_count (exchange->head, reverse_proxy->header_names->last_event)
      > 1)
    {
      counter_add (reverse_proxy->options.counter_set, COUNTER_INVALID_REQUEST,
                   1);
      exchange_reject (exchange, 400, "repeated_last_event_id", 0);
      return;
    }
  struct str begun_by;
  if (!stream_version_resumes (exchange, &begun_by))
    {
      counter_add (reverse_proxy->options.counter_set, COUNTER_INVALID_REQUEST,
                   1);
      exchange_reject (exchange, 400, "repeated_resumes", 0);
      return;
    }
  exchange_route_request (exchange);
}

/* Returns whether the route, which may have changed since the attempts before,
   allows another one.  */
static gboolean
route_allows_attempt (const struct exchange *exchange)
{
  return exchange->attempts == 0
         || (exchange->sent < exchange->route->attempts
             && (!exchange->may_have_run
                 || routing_may_repeat (exchange->route)));
}

/* Begins an attempt at SERVER, or at another instance if CHOICE is NULL. May
   free EXCHANGE.  */
void
exchange_start_upstream (struct exchange *exchange,
                         struct registry_server *server,
                         const struct placement_choice *choice)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  gint64 now = exchange_now (exchange);
  exchange_transition (exchange, EXCHANGE_ON_PLACE);
  if (exchange->attempts++ == 0)
    histogram_add (reverse_proxy->options.histogram_set, HISTOGRAM_WAIT,
                   now - exchange->arrived);
  exchange->attempt_started = now;
  counter_add (reverse_proxy->options.counter_set, COUNTER_ATTEMPTS, 1);
  exchange->last_event_at = now;
  stream_position_begin_attempt (&exchange->position,
                                 exchange->route->resumable);
  exchange->upstream = upstream_start (exchange, server, choice);
  if (exchange->upstream != NULL)
    return;
  struct err err = { 0 };
  const struct str none = { "", 0 };
  err_set (&err, ERR_UNAVAILABLE, "backend.connect", server->entry.id,
           "cannot connect");
  exchange_attempt_failed (exchange, RETRY_RESULT_NOT_SENT, NULL, none, &err);
}

/* Counts an attempt that concerns the pools for isolated streams.  */
static void
count_isolation (struct counter_set *counter_set,
                 const struct placement_request *request,
                 const struct placement_choice *choice)
{
  gboolean is_isolated = placement_pace (request->gap_us) == PLACEMENT_ISOLATED;
  if (is_isolated)
    counter_add (counter_set,
                 choice->in_isolated_pool ? COUNTER_ISOLATED_STREAMS
                                          : COUNTER_ISOLATED_OUTSIDE,
                 1);
  else if (choice->breaks_isolation)
    counter_add (counter_set, COUNTER_POOL_PROMPTS, 1);
}

/* Sends the request to the server that the scheduler has chosen. While it was
   queued the configuration may have changed, so route, key and freshness are
   checked again. A response that has begun is continued under the route and
   team with which it began. May free EXCHANGE.  */
static void
start_attempt (struct exchange *exchange, const struct placement_choice *choice)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  gint64 now = exchange_now (exchange);
  char service[sizeof exchange->queue_entry.service];
  if (downstream_end_if_left (exchange->downstream))
    return;
  g_strlcpy (service, exchange->queue_entry.service, sizeof service);
  if (!exchange->head_sent)
    {
      if (!resolve_route (exchange))
        return;
      if (!route_allows_attempt (exchange))
        {
          exchange_reject (exchange, 503, "route_changed", DEFAULT_RETRY_US);
          return;
        }
      fill_queue_entry (exchange);
      if (!stream_version_admit (exchange))
        return;
      if (!g_str_equal (service, exchange->queue_entry.service)
          || placement_excludes (&exchange->queue_entry.request,
                                 choice->server))
        {
          exchange_enqueue (exchange);
          return;
        }
    }
  else if (exchange->team != NULL && !config_is_fresh (exchange))
    {
      exchange_abort (exchange, "configuration_unproved");
      return;
    }
  if (!exchange->head_sent
      && proxy_ends_before (reverse_proxy, exchange->deadline))
    {
      exchange_reject (exchange, 503, "shutting_down", SHUTDOWN_RETRY_US);
      return;
    }
  if (!part_trial_allows (exchange, choice->server))
    return;
  const struct prefix_prompt *prompt = &exchange->queue_entry.request.prompt;
  struct logged_id position = exchange_logged_position (exchange);
  struct log_entry e = exchange_log_record (exchange, "request.placed",
                                            choice->server->entry.id);
  log_write (
      &e,
      "service=%s tier=%u version=%" G_GUINT64_FORMAT
      " proof_age_ms=%" G_GINT64_FORMAT
      " attempt=%u prompt=%u shared=%u held=%u unread=%u"
      " running=%u tight=%u unread_ahead=%" G_GUINT64_FORMAT
      " shared_key=%08x parts=%s fingerprints=%s"
      " predicted_ms=%" G_GINT64_FORMAT " fetch=%s waited_ms=%" G_GINT64_FORMAT
      " resume_after=\"%s\" resume_from=%s resumes=\"%s\""
      " software=\"%s\"",
      exchange->queue_entry.service, exchange->tier,
      routing_table_version (exchange->routing_table),
      proxy_config_age (reverse_proxy, now) / CLK_MS, exchange->attempts + 1,
      prefix_prompt_tokens (prompt), prefix_shared_tokens (prompt),
      choice->cached_tokens, choice->prefill_tokens, choice->load.requests,
      choice->load.sensitive, choice->load.prefill_tokens,
      prefix_shared_key (prompt), exchange_logged_parts (exchange).text,
      exchange_logged_fingerprints (exchange).text,
      choice->first_event_us / CLK_MS,
      choice->fetch_from ? choice->fetch_from->entry.id : "",
      (now - exchange->arrived) / CLK_MS, position.text,
      exchange->position.relayed ? "events"
      : position.text[0] != '\0' ? "client"
                                 : "none",
      exchange_logged_resumes (exchange).text, choice->server->entry.version);
  scheduler_started (reverse_proxy->options.scheduler, &exchange->queue_entry,
                     choice, now);
  exchange->uncached_tokens = choice->prefill_tokens;
  count_isolation (reverse_proxy->options.counter_set,
                   &exchange->queue_entry.request, choice);
  part_trial_begin (exchange, choice->server);
  if (reverse_proxy->options.request_sent != NULL && prompt->n > 0)
    reverse_proxy->options.request_sent (
        reverse_proxy->options.ctx, choice->server, prompt, choice->at_home);
  exchange_start_upstream (exchange, choice->server, choice);
}

/* Acts on the scheduler's decision about a request. May free the exchange.  */
void
exchange_on_decision (void *ctx, struct scheduler_entry *queue_entry,
                      const struct scheduler_decision *decision)
{
  (void)ctx;
  struct exchange *exchange = queue_entry->owner;
  if (decision->verdict != SCHEDULER_WAIT
      && relay_start (exchange, decision->verdict == SCHEDULER_REJECT
                                    && decision->choice.usable == 0))
    return;
  switch (decision->verdict)
    {
    case SCHEDULER_START:
      start_attempt (exchange, &decision->choice);
      return;
    case SCHEDULER_WAIT:
      {
        struct log_entry e
            = exchange_log_record (exchange, "request.queued", NULL);
        log_write (&e,
                   "service=%s tier=%u ahead=%u usable=%u busy=%.2f"
                   " wait_ms=%" G_GINT64_FORMAT,
                   queue_entry->service, queue_entry->tier, decision->ahead,
                   decision->choice.usable, decision->choice.busy,
                   decision->wait_us / CLK_MS);
        return;
      }
    case SCHEDULER_REJECT:
      break;
    }
  struct log_entry e = exchange_log_record (exchange, "request.refused", NULL);
  log_write (&e,
             "reason=%s service=%s tier=%u ahead=%u usable=%u busy=%.2f"
             " wait_ms=%" G_GINT64_FORMAT " retry_after_ms=%" G_GINT64_FORMAT,
             scheduler_reason_name (decision->reason), queue_entry->service,
             queue_entry->tier, decision->ahead, decision->choice.usable,
             decision->choice.busy, decision->wait_us / CLK_MS,
             decision->retry_after_us / CLK_MS);
  if (decision->reason == SCHEDULER_OVERLOAD
      || decision->reason == SCHEDULER_QUEUE_FULL)
    exchange_usage_rejected (exchange);
  if (exchange->head_sent)
    exchange_abort (exchange, scheduler_reason_name (decision->reason));
  else if (exchange->may_have_run)
    exchange_send_outcome_unknown (exchange, 502,
                                   scheduler_reason_name (decision->reason));
  else
    exchange_reject (exchange, 503, scheduler_reason_name (decision->reason),
                     decision->retry_after_us);
}

void
exchange_enqueue (struct exchange *exchange)
{
  struct scheduler_decision decision;
  if (relay_start (exchange, FALSE))
    return;
  scheduler_submit (exchange->reverse_proxy->options.scheduler,
                    &exchange->queue_entry, exchange_now (exchange), &decision);
  exchange_on_decision (NULL, &exchange->queue_entry, &decision);
}

/* The client has closed its connection: cancels the request.  */
void
exchange_client_disconnected (struct exchange *exchange)
{
  if (statechart_is_final (exchange->reverse_proxy->chart, exchange->state))
    return;
  config_wait_cancel (exchange);
  part_trial_cancel (exchange);
  stream_version_cancel (exchange);
  exchange_transition (exchange, EXCHANGE_ON_DISCONNECT);
  exchange_log_end (exchange, "caller_gone");
  counter_add (exchange->reverse_proxy->options.counter_set,
               COUNTER_CLIENT_DISCONNECTED, 1);
  scheduler_withdraw (exchange->reverse_proxy->options.scheduler,
                      &exchange->queue_entry);
  exchange_end_attempt (exchange);
}
