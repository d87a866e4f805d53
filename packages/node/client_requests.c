/* Requests received from clients: arrival, deadlines and final errors. Their
   states are defined by charts/request.chart; queue_entries.c and attempts.c
   handle them between arrival and end.  */
#include "node/core_internal.h"
#include "base/json_add.h"

#include <string.h>

/* Rejections that end a request. X (REASON, HTTP status) */
#define REJECTION_STATUSES(X)                                                  \
  X (OVERLOAD, 429)                                                            \
  X (EVICTED, 429)                                                             \
  X (DEADLINE, 504)                                                            \
  X (NO_SERVER, 503)                                                           \
  X (NOT_OWNER, 503)                                                           \
  X (TEAM_LIMIT, 429)                                                          \
  X (DRAINING, 503)                                                            \
  X (NO_CONFIG, 503)                                                           \
  X (LEDGER_UNAVAILABLE, 503)                                                  \
  X (LINK_BUDGET, 429)

static const guint32 rejection_status[MSG_REASON_N] = {
#define REJECTION_STATUS(id, status) [MSG_REASON_##id] = (status),
  REJECTION_STATUSES (REJECTION_STATUS)
#undef REJECTION_STATUS
};

static const char *const state_names[REQUEST_STATE_N] = {
#define STATE_NAME(id, name) name,
  REQUEST_STATES (STATE_NAME)
#undef STATE_NAME
};

static const char *const event_names[REQUEST_EVENT_N] = {
#define EVENT_NAME(id, name) name,
  REQUEST_EVENTS (EVENT_NAME)
#undef EVENT_NAME
};

/* Loads request.chart from CHART_FOLDER. Returns < 0 with ERR set on
   error.  */
int
core_request_init (struct core *core, const char *chart_folder, struct err *err)
{
  const struct statechart_binding binding = {
    .states = state_names,
    .n_states = REQUEST_STATE_N,
    .events = event_names,
    .n_events = REQUEST_EVENT_N,
  };
  char *path = g_build_filename (chart_folder, "request.chart", NULL);
  int code = statechart_load (path, &binding, &core->chart, err);
  g_free (path);
  return code;
}

/* Frees DATA, a struct core_request; a GDestroyNotify.  */
void
core_request_free (void *data)
{
  struct core_request *req = data;
  cluster_unref (req->cfg);
  g_free (req);
}

/* Returns REQ's class in the configuration of its arrival, borrowed from
   REQ.  */
const struct cluster_class *
core_request_class (const struct core_request *req)
{
  return &req->cfg->classes[req->spec.class_index];
}

static const struct cluster_pool *
pool_of (const struct core_request *req)
{
  return &req->cfg->pools[req->spec.pool];
}

/* Whether REQ's stream could continue on another server.  */
gboolean
core_request_is_resumable (const struct core_request *req)
{
  return pool_of (req)->kind == CLUSTER_ENGINE && req->spec.streamed
         && req->spec.repeatable && !req->not_resumable;
}

/* Changes REQ's state by EVENT. Returns FALSE, without a change, if the chart
   has no such transition.  */
gboolean
core_request_step (struct core *core, struct core_request *req,
                   enum request_event event)
{
  int next = statechart_next (core->chart, req->state, (int)event);
  if (next == STATECHART_NONE)
    return FALSE;
  req->state = next;
  return TRUE;
}

/* Removes and frees REQ. Its final response must have been sent before.  */
void
core_request_remove (struct core *core, struct core_request *req)
{
  core_queue_remove (core, req);
  g_hash_table_remove (core->requests, &req->spec.id);
}

/* Completes REQ's record in the ledger, if it has one. RESPONSE is stored as
   the response for its idempotency key. If RESPONSE is NULL, the key is
   released when no attempt was sent; otherwise its outcome stays unknown.  */
void
core_request_end_record (struct core *core, struct core_request *req,
                         const struct msg_ledger_result *response)
{
  static const struct msg_ledger_result unsent = { .did_not_run = TRUE };
  if (!req->recorded)
    return;
  req->recorded = FALSE;
  if (response == NULL && req->sent_attempts == 0)
    response = &unsent;
  claims_end (core->claims, req->spec.id, response);
}

static enum core_ran
ran_of (const struct core_request *req)
{
  if (req->generated > 0)
    return CORE_RAN_YES;
  return req->sent_attempts > 0 ? CORE_RAN_UNKNOWN : CORE_RAN_NO;
}

/* Ends REQ with an error response and frees it. REQ must be in a final state
   already.  */
void
core_request_fail (struct core *core, struct core_request *req,
                   const struct core_failure *failure)
{
  struct core_action action = { .kind = CORE_DO_FAIL };
  enum core_ran ran = ran_of (req);
  action.fail.request = req->spec.id;
  action.fail.status = failure->status;
  action.fail.code = failure->code;
  action.fail.ran = ran;
  action.fail.retry_after_us = failure->retry_after_us;
  err_set (&action.fail.err, ERR_UNAVAILABLE, failure->step, failure->peer,
           "%s", failure->code);
  core_request_end_record (core, req, NULL);
  counter_add (core->counter_set,
               ran == CORE_RAN_NO                      ? COUNTER_REJECTED
               : failure->code == core_outcome_unknown ? COUNTER_OUTCOME_UNKNOWN
                                                       : COUNTER_FAILED,
               1);
  core->act (core->ctx, &action);
  core_request_remove (core, req);
}

/* Ends REQ, which is freed, with a rejection for REASON by instance PEER.  */
void
core_request_reject (struct core *core, struct core_request *req,
                     enum msg_reason reason, gint64 retry_after_us,
                     const char *peer)
{
  const struct core_failure failure = {
    .status = rejection_status[reason],
    .code = msg_reason_name (reason),
    .retry_after_us = retry_after_us,
    .step = "schedule",
    .peer = peer,
  };
  if (core_request_step (core, req, REQUEST_EV_REJECT))
    core_request_fail (core, req, &failure);
}

/* Accepts a client request. It ends with CORE_DO_FAIL, CORE_DO_REPLAY or
   CORE_DO_FINISH.  */
void
core_request_arrive (struct core *core, const struct core_request_spec *spec)
{
  struct core_request *req = g_new0 (struct core_request, 1);
  gint64 now = clk_now (core->clk);
  req->spec = *spec;
  req->cfg = cluster_ref (core->cfg);
  req->state = statechart_initial (core->chart);
  req->arrived = now;
  req->deadline = now + core_request_class (req)->deadline_us;
  g_hash_table_insert (core->requests, &req->spec.id, req);
  counter_add (core->counter_set, COUNTER_REQUESTS, 1);
  core_budget_first_attempt (core, spec->class_index);
  if (g_hash_table_size (core->requests) > CORE_REQUESTS_MAX)
    core_request_reject (core, req, MSG_REASON_OVERLOAD, CLK_S, core->self.s);
  else if (!core_queue_enqueue (core, req))
    core_request_reject (core, req, req->no_route_reason, CLK_S, core->self.s);
}

static void
cancel_attempt (struct core *core, struct core_request *req)
{
  struct core_action action = { .kind = CORE_DO_CANCEL };
  action.cancel.request = req->spec.id;
  action.cancel.attempt = req->attempt;
  counter_add (core->counter_set, COUNTER_CANCELS, 1);
  core->act (core->ctx, &action);
}

/* Cancels REQ's attempt or withdraws its queue entry at the shard owner. A
   cancelled attempt may have run, so it counts as sent.  */
void
core_request_cancel_work (struct core *core, struct core_request *req)
{
  if (req->state == REQUEST_RUNNING)
    {
      cancel_attempt (core, req);
      req->sent_attempts++;
      core_queue_release (core, req, MSG_RESULT_CANCELLED);
    }
  else if (req->queue_entry != 0)
    core_queue_withdraw (core, req->owner.s, req->queue_entry);
}

/* The client of request ID disconnected: cancels all work for it.  */
void
core_request_client_disconnected (struct core *core, guint64 id)
{
  struct core_request *req = g_hash_table_lookup (core->requests, &id);
  if (req == NULL)
    return;
  if (req->state == REQUEST_RUNNING)
    req->sent_attempts++;
  core_request_cancel_work (core, req);
  if (req->state == REQUEST_RECORDING)
    claims_withdraw (core->claims, id);
  core_request_end_record (core, req, NULL);
  core_request_step (core, req, REQUEST_EV_CLIENT_DISCONNECTED);
  counter_add (core->counter_set, COUNTER_CLIENT_DISCONNECTED, 1);
  counter_add (core->counter_set, COUNTER_TOKENS_WASTED, req->generated);
  core_request_remove (core, req);
}

static void
expire (struct core *core, struct core_request *req, gint64 now)
{
  if (req->state == REQUEST_WAITING && now >= req->deadline)
    {
      core_queue_withdraw (core, req->owner.s, req->queue_entry);
      core_request_reject (core, req, MSG_REASON_DEADLINE, CLK_S, core->self.s);
    }
  else if (req->enqueue_at != 0 && now >= req->enqueue_at)
    core_queue_reenqueue (core, req);
}

/* Rejects queued requests after their deadline and enqueues again those that
   are due.  */
void
core_request_tick (struct core *core)
{
  gint64 now = clk_now (core->clk);
  GList *all = g_hash_table_get_values (core->requests);
  for (GList *l = all; l != NULL; l = l->next)
    expire (core, l->data, now);
  g_list_free (all);
}

/* Adds the requests in progress to JSON as an array, without keys and
   content.  */
void
core_request_dump (const struct core *core, JsonBuilder *json)
{
  gint64 now = clk_now (core->clk);
  GHashTableIter iter;
  gpointer value;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct core_request *req = value;
      json_builder_begin_object (json);
      json_add_int (json, "id", (gint64)req->spec.id);
      json_add_str (json, "state",
                    statechart_state_name (core->chart, req->state));
      json_add_str (json, "class", core_request_class (req)->name.s);
      json_add_str (json, "team", req->cfg->teams[req->spec.team_index].name.s);
      json_add_str (json, "cell", req->shard.s);
      json_add_str (json, "owner", req->owner.s);
      json_add_str (json, "backend", req->backend.s);
      json_add_int (json, "age_ms", (now - req->arrived) / CLK_MS);
      json_add_int (json, "attempt", req->attempt);
      json_add_int (json, "tokens", req->generated);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
