/* Requests that this instance took as an entry: arrival, deadlines and final
   errors. The life cycle is charts/request.chart; what is between stands in
   nod_ticket.c and nod_attempt.c.  */
#include "node/nod_int.h"
#include "base/jsb.h"

#include <string.h>

/* X (REASON, HTTP status) of refusals that end a request */
#define REFUSAL_STATUSES(X)                                                    \
  X (OVERLOAD, 429)                                                            \
  X (DISPLACED, 429)                                                           \
  X (DEADLINE, 504)                                                            \
  X (NO_SERVER, 503)                                                           \
  X (NOT_OWNER, 503)                                                           \
  X (TEAM_LIMIT, 429)                                                          \
  X (DRAINING, 503)                                                            \
  X (NO_CONFIG, 503)                                                           \
  X (LEDGER_AWAY, 503)                                                         \
  X (LINK_BUDGET, 429)

static const guint32 refusal_status[MSG_REASON_N] = {
#define REFUSAL_STATUS(id, status) [MSG_REASON_##id] = (status),
  REFUSAL_STATUSES (REFUSAL_STATUS)
#undef REFUSAL_STATUS
};

static const char *const state_names[REQ_STATE_N] = {
#define STATE_NAME(id, name) name,
  REQ_STATES (STATE_NAME)
#undef STATE_NAME
};

static const char *const event_names[REQ_EVENT_N] = {
#define EVENT_NAME(id, name) name,
  REQ_EVENTS (EVENT_NAME)
#undef EVENT_NAME
};

/* Loads request.chart from CHART_FOLDER. Returns < 0 on error.  */
int
nod_req_init (struct nod *nod, const char *chart_folder, struct err *err)
{
  const struct chr_binding binding = {
    .states = state_names,
    .n_states = REQ_STATE_N,
    .events = event_names,
    .n_events = REQ_EVENT_N,
  };
  char *path = g_build_filename (chart_folder, "request.chart", NULL);
  int code = chr_load (path, &binding, &nod->chart, err);
  g_free (path);
  return code;
}

/* Frees a struct nod_req; for hash tables.  */
void
nod_req_free (void *data)
{
  struct nod_req *req = data;
  cfg_unref (req->cfg);
  g_free (req);
}

/* Returns the class under which REQ was admitted, borrowed from it.  */
const struct cfg_class *
nod_req_class (const struct nod_req *req)
{
  return &req->cfg->classes[req->spec.class_index];
}

static const struct cfg_pool *
pool_of (const struct nod_req *req)
{
  return &req->cfg->pools[req->spec.pool];
}

/* Tells whether REQ's stream could go on at another server.  */
gboolean
nod_req_is_resumable (const struct nod_req *req)
{
  return pool_of (req)->kind == CFG_ENGINE && req->spec.streamed
         && req->spec.repeatable && !req->fixed;
}

/* Moves REQ on by EVENT. Returns FALSE, changing nothing, if its state does
   not take the event.  */
gboolean
nod_req_step (struct nod *nod, struct nod_req *req, enum req_event event)
{
  int next = chr_next (nod->chart, req->state, (int)event);
  if (next == CHR_NONE)
    return FALSE;
  req->state = next;
  return TRUE;
}

/* Ends REQ, which is freed; its final answer was given before.  */
void
nod_req_forget (struct nod *nod, struct nod_req *req)
{
  nod_ticket_drop (nod, req);
  g_hash_table_remove (nod->requests, &req->spec.id);
}

/* Ends REQ's hold on its idempotency key: ANSWER is stored; without one the
   key is freed if the call was never sent, else its outcome stays unknown.  */
void
nod_req_end_record (struct nod *nod, struct nod_req *req,
                    const struct msg_ledger_result *answer)
{
  static const struct msg_ledger_result unsent = { .did_not_run = TRUE };
  if (!req->recorded)
    return;
  req->recorded = FALSE;
  if (answer == NULL && req->sent_attempts == 0)
    answer = &unsent;
  claims_end (nod->claims, req->spec.id, answer);
}

static enum nod_ran
ran_of (const struct nod_req *req)
{
  if (req->generated > 0)
    return NOD_RAN_YES;
  return req->sent_attempts > 0 ? NOD_RAN_UNKNOWN : NOD_RAN_NO;
}

/* Gives REQ its final error and forgets it. The state was stepped to a final
   one before.  */
void
nod_req_fail (struct nod *nod, struct nod_req *req,
              const struct nod_failure *failure)
{
  struct nod_action action = { .kind = NOD_DO_FAIL };
  enum nod_ran ran = ran_of (req);
  action.fail.request = req->spec.id;
  action.fail.status = failure->status;
  action.fail.code = failure->code;
  action.fail.ran = ran;
  action.fail.retry_after_us = failure->retry_after_us;
  err_set (&action.fail.err, ERR_UNAVAILABLE, failure->step, failure->peer,
           "%s", failure->code);
  nod_req_end_record (nod, req, NULL);
  ctr_add (nod->ctr,
           ran == NOD_RAN_NO                      ? CTR_REFUSED
           : failure->code == nod_outcome_unknown ? CTR_OUTCOME_UNKNOWN
                                                  : CTR_FAILED,
           1);
  nod->act (nod->ctx, &action);
  nod_req_forget (nod, req);
}

/* Ends REQ with a refusal for REASON, told by PEER.  */
void
nod_req_end_refused (struct nod *nod, struct nod_req *req,
                     enum msg_reason reason, gint64 retry_after_us,
                     const char *peer)
{
  const struct nod_failure failure = {
    .status = refusal_status[reason],
    .code = msg_reason_name (reason),
    .retry_after_us = retry_after_us,
    .step = "schedule",
    .peer = peer,
  };
  if (nod_req_step (nod, req, REQ_EV_REFUSE))
    nod_req_fail (nod, req, &failure);
}

/* A caller's request arrived. Its final answer comes by NOD_DO_FAIL,
   NOD_DO_REPLAY or NOD_DO_FINISH.  */
void
nod_req_arrive (struct nod *nod, const struct nod_request *spec)
{
  struct nod_req *req = g_new0 (struct nod_req, 1);
  gint64 now = clk_now (nod->clk);
  req->spec = *spec;
  req->cfg = cfg_ref (nod->cfg);
  req->state = chr_initial (nod->chart);
  req->arrived = now;
  req->deadline = now + nod_req_class (req)->deadline_us;
  g_hash_table_insert (nod->requests, &req->spec.id, req);
  ctr_add (nod->ctr, CTR_REQUESTS, 1);
  nod_budget_first_try (nod, spec->class_index);
  if (g_hash_table_size (nod->requests) > NOD_REQUESTS_MAX)
    nod_req_end_refused (nod, req, MSG_REASON_OVERLOAD, CLK_S, nod->self.s);
  else if (!nod_ticket_offer_anew (nod, req))
    nod_req_end_refused (nod, req, req->no_route, CLK_S, nod->self.s);
}

static void
cancel_attempt (struct nod *nod, struct nod_req *req)
{
  struct nod_action action = { .kind = NOD_DO_CANCEL };
  action.cancel.request = req->spec.id;
  action.cancel.attempt = req->attempt;
  ctr_add (nod->ctr, CTR_CANCELS, 1);
  nod->act (nod->ctx, &action);
}

/* Ends REQ's hold on its owner, whatever its state. An attempt that is
   cancelled may have run.  */
void
nod_req_let_go (struct nod *nod, struct nod_req *req)
{
  if (req->state == REQ_RUNNING)
    {
      cancel_attempt (nod, req);
      req->sent_attempts++;
      nod_ticket_release (nod, req, MSG_RESULT_CANCELLED);
    }
  else if (req->ticket != 0)
    nod_ticket_withdraw (nod, req->owner.s, req->ticket);
}

/* The caller of request ID hung up: all its work is cancelled.  */
void
nod_req_caller_gone (struct nod *nod, guint64 id)
{
  struct nod_req *req = g_hash_table_lookup (nod->requests, &id);
  if (req == NULL)
    return;
  if (req->state == REQ_RUNNING)
    req->sent_attempts++;
  nod_req_let_go (nod, req);
  if (req->state == REQ_RECORDING)
    claims_withdraw (nod->claims, id);
  nod_req_end_record (nod, req, NULL);
  nod_req_step (nod, req, REQ_EV_CALLER_GONE);
  ctr_add (nod->ctr, CTR_CALLER_GONE, 1);
  ctr_add (nod->ctr, CTR_TOKENS_WASTED, req->generated);
  nod_req_forget (nod, req);
}

static void
expire (struct nod *nod, struct nod_req *req, gint64 now)
{
  if (req->state == REQ_WAITING && now >= req->deadline)
    {
      nod_ticket_withdraw (nod, req->owner.s, req->ticket);
      nod_req_end_refused (nod, req, MSG_REASON_DEADLINE, CLK_S, nod->self.s);
    }
  else if (req->offer_at != 0 && now >= req->offer_at)
    nod_ticket_offer_again (nod, req);
}

/* Ends requests whose time is over and offers again what is due.  */
void
nod_req_tick (struct nod *nod)
{
  gint64 now = clk_now (nod->clk);
  GList *all = g_hash_table_get_values (nod->requests);
  for (GList *l = all; l != NULL; l = l->next)
    expire (nod, l->data, now);
  g_list_free (all);
}

/* Adds the requests in progress to JSON as an array; no keys, no content.  */
void
nod_req_dump (const struct nod *nod, JsonBuilder *json)
{
  gint64 now = clk_now (nod->clk);
  GHashTableIter iter;
  gpointer value;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, nod->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct nod_req *req = value;
      json_builder_begin_object (json);
      jsb_int (json, "id", (gint64)req->spec.id);
      jsb_str (json, "state", chr_state_name (nod->chart, req->state));
      jsb_str (json, "class", nod_req_class (req)->name.s);
      jsb_str (json, "team", req->cfg->teams[req->spec.team_index].name.s);
      jsb_str (json, "cell", req->cell.s);
      jsb_str (json, "owner", req->owner.s);
      jsb_str (json, "backend", req->backend.s);
      jsb_int (json, "age_ms", (now - req->arrived) / CLK_MS);
      jsb_int (json, "attempt", req->attempt);
      jsb_int (json, "tokens", req->generated);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
