/* Life cycle of a request at an instance: the decisions of gate/exchange.c and
   gate/upstream.c, without connections.  */
#include "policy/proxy_model.h"

/* As in gate/exchange.c and gate/exchange_response.c. */
#define DEFAULT_RETRY_US (500 * CLK_MS)
#define REJECTED_PAUSE_US (150 * CLK_MS)
#define HEALTH_PROMPT_TOKENS 500

/* Network delays, one way. */
#define DOMAIN_DELAY_US 500
#define REGION_DELAY_US 1500
#define REMOTE_DELAY_US (35 * CLK_MS)

/* Part of a response on its way to the instance.  */
struct delivery
{
  struct proxy_attempt *attempt;
  struct proxy_answer answer;
  gboolean has_answer;
  gboolean is_event;
  gboolean complete;
  enum retry_result result; /* if it is no event and not complete */
  guint tokens;
};

static gint64
now_of (const struct proxy_request *request)
{
  return request->world->events.clk.t;
}

static gint64
delay_of (const struct proxy_attempt *attempt)
{
  char domain[16];
  g_snprintf (domain, sizeof domain, "d%u", attempt->server->domain);
  switch (topology_distance (attempt->instance->topology, domain))
    {
    case TOPOLOGY_SAME_DOMAIN:
      return DOMAIN_DELAY_US;
    case TOPOLOGY_SAME_REGION:
      return REGION_DELAY_US;
    case TOPOLOGY_OTHER_REGION:
      break;
    }
  return REMOTE_DELAY_US;
}

static void
on_reset (void *ctx, void *data)
{
  (void)ctx;
  proxy_server_cancel (data);
}

/* Ends the attempt in progress, if any. The server notices the reset of the
   connection when the network has carried it there.  */
static void
end_attempt (struct proxy_request *request)
{
  struct proxy_attempt *attempt = request->attempt;
  scheduler_ended (request->instance->scheduler, &request->entry);
  proxy_instance_schedule_poll (request->instance);
  if (attempt == NULL)
    return;
  request->attempt = NULL;
  attempt->request = NULL;
  proxy_hints_end (attempt->listed, attempt->is_trial);
  registry_server_unref (attempt->listed);
  event_queue_add (&request->world->events, delay_of (attempt), on_reset, NULL,
                   attempt);
}

/* Ends the present try, and with OUTCOME other than PROXY_PENDING the
   request.  */
static void
end_try (struct proxy_request *request, enum proxy_outcome outcome)
{
  end_attempt (request);
  scheduler_withdraw (request->instance->scheduler, &request->entry);
  request->instance = NULL;
  request->outcome = outcome;
}

/* The client is told to return after RETRY_AFTER_US, and does so as often as it
   has instances left to try.  */
static void
refuse (struct proxy_request *request, gint64 retry_after_us)
{
  request->refusals++;
  gboolean returns = request->tries < G_N_ELEMENTS (request->instances);
  end_try (request, returns ? PROXY_PENDING : PROXY_REFUSED);
  if (returns)
    event_queue_add (&request->world->events, retry_after_us,
                     proxy_exchange_arrive, NULL, request);
}

static void
on_deadline (void *ctx, void *data)
{
  struct proxy_request *request = ctx;
  if (request->instance == NULL || request->tries != GPOINTER_TO_UINT (data))
    return;
  end_try (request, request->may_have_run || request->attempt != NULL
                        ? PROXY_FAILED
                        : PROXY_REFUSED);
}

static void
on_arrival_at_server (void *ctx, void *data)
{
  struct proxy_attempt *attempt = data;
  (void)ctx;
  if (attempt->request != NULL)
    proxy_server_submit (attempt);
}

static void
start_attempt (struct proxy_request *request,
               const struct placement_choice *choice)
{
  struct proxy_instance *instance = request->instance;
  struct proxy_attempt *attempt = g_new0 (struct proxy_attempt, 1);
  gint64 now = now_of (request);
  g_ptr_array_add (request->world->attempts, attempt);
  scheduler_started (instance->scheduler, &request->entry, choice, now);
  if (request->prompt.n > 0)
    gossip_add_placement (instance->gossip, choice->server, &request->prompt,
                          choice->at_home);
  attempt->request = request;
  attempt->instance = instance;
  attempt->listed = registry_server_ref (choice->server);
  attempt->server = choice->server->owner_data;
  attempt->fetch_from
      = choice->fetch_from ? choice->fetch_from->owner_data : NULL;
  attempt->is_trial = proxy_hints_start (choice->server);
  attempt->tier = request->entry.tier;
  attempt->prompt = request->prompt;
  attempt->output_left = request->output - request->received;
  attempt->service_us = request->service_us;
  request->attempt = attempt;
  request->attempt_started = now;
  request->world->counts.attempts++;
  event_queue_add (&request->world->events, delay_of (attempt),
                   on_arrival_at_server, NULL, attempt);
}

/* Acts on the scheduler's decision about a request.  */
void
proxy_exchange_decided (void *ctx, struct scheduler_entry *entry,
                        const struct scheduler_decision *decision)
{
  struct proxy_request *request = entry->owner;
  (void)ctx;
  if (decision->verdict == SCHEDULER_START)
    start_attempt (request, &decision->choice);
  else if (decision->verdict == SCHEDULER_REJECT
           && (request->head_sent || request->may_have_run))
    end_try (request, PROXY_FAILED);
  else if (decision->verdict == SCHEDULER_REJECT)
    refuse (request, decision->retry_after_us);
}

static void
submit (struct proxy_request *request)
{
  struct scheduler_decision decision;
  scheduler_submit (request->instance->scheduler, &request->entry,
                    now_of (request), &decision);
  proxy_exchange_decided (NULL, &request->entry, &decision);
}

static struct retry_budget *
budget_of (const struct proxy_request *request)
{
  return &request->instance->retry_budgets[request->proxy_class->service];
}

/* The client of the request DATA sends it to its next instance.  */
void
proxy_exchange_arrive (void *ctx, void *data)
{
  struct proxy_request *request = data;
  const struct proxy_class *class = request->proxy_class;
  struct scheduler_entry *entry = &request->entry;
  gint64 now = now_of (request);
  (void)ctx;
  request->instance
      = &request->world->instances[request->instances[request->tries++]];
  request->sent = 0;
  *entry = (struct scheduler_entry){
    .tier = routing_tier (&class->route, NULL),
    .arrived = now,
    .target = now + MIN (class->route.target_us, class->route.timeout_us),
    .deadline = now + class->route.timeout_us,
    .owner = request,
    .request = { .prompt = request->prompt,
                 .prompt_tokens = prefix_prompt_tokens (&request->prompt),
                 .output_tokens = class->output,
                 .gap_us = class->route.event_gap_us,
                 .affinity_hash = prefix_shared_key (&request->prompt) },
  };
  if (request->prompt.n == 0)
    entry->request.affinity_hash = str_hash (
        (struct str){ (const char *)&request->number, sizeof request->number },
        request->tries);
  g_strlcpy (entry->service, proxy_service_names[class->service],
             sizeof entry->service);
  event_queue_add (&request->world->events, class->route.timeout_us,
                   on_deadline, request, GUINT_TO_POINTER (request->tries));
  retry_budget_count_request (budget_of (request), now);
  submit (request);
}

/* Excludes the server of a failed attempt, as gate/exchange.c does.  */
static void
record_server_result (struct proxy_request *request, enum retry_result result)
{
  struct placement_request *placement = &request->entry.request;
  struct registry_server *server = request->attempt->listed;
  gint64 now = now_of (request);
  if (placement->n_tried < PLACEMENT_TRIED_MAX)
    placement->tried[placement->n_tried++] = server->number;
  if (result == RETRY_RESULT_NOT_SENT)
    registry_mark_unreachable (server, now);
  if (result == RETRY_RESULT_REJECTED)
    server->avoid_until = MAX (server->avoid_until, now + REJECTED_PAUSE_US);
  if (result == RETRY_RESULT_NOT_SENT || result == RETRY_RESULT_LOST)
    server_health_add_result (&server->server_health,
                              result == RETRY_RESULT_NOT_SENT
                                  ? SERVER_HEALTH_UNREACHABLE
                                  : SERVER_HEALTH_FAILURE);
}

/* Submits the request for an attempt at another server.  */
static void
retry (struct proxy_request *request, enum retry_result result)
{
  if (result != RETRY_RESULT_NOT_SENT)
    {
      retry_budget_count_retry (budget_of (request), now_of (request));
      request->world->counts.retries++;
    }
  if (request->head_sent)
    {
      request->entry.tier = 0;
      request->entry.target = request->entry.deadline;
    }
  submit (request);
}

/* The attempt has ended without a complete successful response.  */
static void
attempt_failed (struct proxy_request *request, enum retry_result result)
{
  struct proxy_instance *instance = request->instance;
  const struct routing_route *route = &request->proxy_class->route;
  gint64 now = now_of (request);
  request->sent += result != RETRY_RESULT_NOT_SENT;
  record_server_result (request, result);
  const struct retry_case c = {
    .result = result,
    .repeatable = routing_may_repeat (route),
    .may_have_run = request->may_have_run,
    .response_begun = request->head_sent,
    .can_resume = route->resumable,
    .sent = request->sent,
    .attempts_max = route->attempts,
    .within_budget
    = retry_budget_allows (budget_of (request), instance->count, now),
    .has_server
    = scheduler_has_server (instance->scheduler, &request->entry, now),
    .left_us = request->entry.deadline - now,
  };
  enum retry_action action = retry_decide (&c);
  request->may_have_run |= result == RETRY_RESULT_LOST;
  end_attempt (request);
  if (action == RETRY_ACTION_RESEND)
    {
      retry (request, result);
      return;
    }
  if (action != RETRY_ACTION_REJECT)
    {
      end_try (request, PROXY_FAILED);
      return;
    }
  gint64 retry_us
      = proxy_hints_retry_after (instance->scheduler, &request->entry, now);
  refuse (request, retry_us > 0 ? retry_us : DEFAULT_RETRY_US);
}

/* Takes note of what a response says of its server.  */
static void
record_answer (struct proxy_attempt *attempt, const struct proxy_answer *answer)
{
  struct proxy_instance *instance = attempt->instance;
  struct proxy_counts *counts = &instance->world->counts;
  struct proxy_told *told = &instance->told[attempt->server->index];
  gint64 now = instance->world->events.clk.t;
  registry_mark_reached (attempt->listed, now);
  proxy_hints_record (instance->registry, attempt->listed, answer,
                      instance->world->rand, now);
  if (answer->leaving && told->leaving_from == 0)
    told->leaving_from = now;
  if (answer->backoff_us == 0)
    return;
  counts->backoff_responses++;
  if (now < told->backoff_until)
    return;
  counts->windows++;
  told->early = 0;
  told->backoff_from = now;
  told->backoff_until = now + answer->backoff_us;
}

/* The client gets an event of TOKENS.  */
static void
record_event (struct proxy_request *request, guint tokens)
{
  struct scheduler *scheduler = request->instance->scheduler;
  struct registry_server *server = request->attempt->listed;
  gint64 now = now_of (request);
  if (request->first_event_at == 0)
    request->first_event_at = now;
  else
    request->longest_gap_us
        = MAX (request->longest_gap_us, now - request->last_event_at);
  if (!request->entry.first_event_seen)
    {
      gint64 gap = now - request->attempt_started;
      gint64 expected
          = scheduler_expected_prefill_us (scheduler, &request->entry);
      server_health_add_ttft (&server->server_health, MAX (gap - expected, 0),
                              HEALTH_PROMPT_TOKENS);
      scheduler_first_event (scheduler, &request->entry, gap);
    }
  else if (server_load_total (scheduler_loads (scheduler), server->number)
               .prefill_tokens
           == 0)
    server_health_add_tbt (
        &server->server_health, now - request->last_event_at,
        server_load_own (scheduler_loads (scheduler), server->number)
            ->requests);
  request->last_event_at = now;
  request->received += tokens;
  request->head_sent = TRUE;
}

static void
on_delivery (void *ctx, void *data)
{
  struct delivery delivery = *(struct delivery *)data;
  struct proxy_request *request = delivery.attempt->request;
  (void)ctx;
  g_free (data);
  if (request == NULL)
    return;
  if (delivery.has_answer)
    record_answer (delivery.attempt, &delivery.answer);
  if (delivery.is_event)
    {
      record_event (request, delivery.tokens);
      return;
    }
  if (!delivery.complete)
    {
      attempt_failed (request, delivery.result);
      return;
    }
  server_health_add_result (&delivery.attempt->listed->server_health,
                            SERVER_HEALTH_SUCCESS);
  if (request->first_event_at == 0)
    request->first_event_at = now_of (request);
  end_try (request, PROXY_ANSWERED);
}

/* Sends DELIVERY, copied, to the instance of its attempt.  */
static void
deliver (const struct delivery *delivery, const struct proxy_answer *answer)
{
  struct delivery *copy = g_memdup2 (delivery, sizeof *delivery);
  copy->has_answer = answer != NULL;
  if (answer != NULL)
    copy->answer = *answer;
  event_queue_add (&delivery->attempt->instance->world->events,
                   delay_of (delivery->attempt), on_delivery, NULL, copy);
}

/* The server of ATTEMPT sends an event of TOKENS.  */
void
proxy_exchange_event (struct proxy_attempt *attempt, guint tokens,
                      const struct proxy_answer *answer)
{
  const struct delivery delivery
      = { .attempt = attempt, .is_event = TRUE, .tokens = tokens };
  deliver (&delivery, answer);
}

/* The server of ATTEMPT sends the end of its successful response.  */
void
proxy_exchange_complete (struct proxy_attempt *attempt,
                         const struct proxy_answer *answer)
{
  const struct delivery delivery = { .attempt = attempt, .complete = TRUE };
  deliver (&delivery, answer);
}

/* ATTEMPT ends without a successful response; ANSWER is NULL if there is no
   response at all.  */
void
proxy_exchange_failed (struct proxy_attempt *attempt, enum retry_result result,
                       const struct proxy_answer *answer)
{
  const struct delivery delivery = { .attempt = attempt, .result = result };
  deliver (&delivery, answer);
}
