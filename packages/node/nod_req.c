/* Requests that this instance took as an entry: their tickets, attempts,
   retries and final answers. The life cycle is charts/request.chart.  */
#include "node/nod_int.h"

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

static const struct cfg_class *
class_of (const struct nod_req *req)
{
  return &req->cfg->classes[req->spec.class_index];
}

static const struct cfg_pool *
pool_of (const struct nod_req *req)
{
  return &req->cfg->pools[req->spec.pool];
}

static gboolean
is_resumable (const struct nod_req *req)
{
  return pool_of (req)->kind == CFG_ENGINE && req->spec.streamed
         && req->spec.repeatable && !req->fixed;
}

/* Moves REQ on by EVENT. Returns FALSE, changing nothing, if its state does
   not take the event.  */
static gboolean
step (struct nod *nod, struct nod_req *req, enum req_event event)
{
  int next = chr_next (nod->chart, req->state, (int)event);
  if (next == CHR_NONE)
    return FALSE;
  req->state = next;
  return TRUE;
}

static void
drop_ticket (struct nod *nod, struct nod_req *req)
{
  if (req->ticket != 0)
    g_hash_table_remove (nod->tickets, &req->ticket);
  req->ticket = 0;
}

static void
forget (struct nod *nod, struct nod_req *req)
{
  drop_ticket (nod, req);
  g_hash_table_remove (nod->requests, &req->spec.id);
}

/* Ends REQ's hold on its idempotency key: ANSWER is stored; without one the
   key is freed if the call was never sent, else its outcome stays unknown.  */
static void
end_record (struct nod *nod, struct nod_req *req,
            const struct msg_ledger_result *answer)
{
  static const struct msg_ledger_result unsent = { .did_not_run = TRUE };
  if (!req->recorded)
    return;
  req->recorded = FALSE;
  if (answer == NULL && req->sent_attempts == 0)
    answer = &unsent;
  lec_end (nod->lec, req->spec.id, answer);
}

struct failure
{
  guint32 status;
  const char *code;
  gint64 retry_after_us;
  const char *step;
  const char *peer;
};

static enum nod_ran
ran_of (const struct nod_req *req)
{
  if (req->generated > 0)
    return NOD_RAN_YES;
  return req->sent_attempts > 0 ? NOD_RAN_UNKNOWN : NOD_RAN_NO;
}

/* Gives REQ its final error and forgets it. The state was stepped to a final
   one before.  */
static void
fail (struct nod *nod, struct nod_req *req, const struct failure *failure)
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
  end_record (nod, req, NULL);
  ctr_add (nod->ctr,
           ran == NOD_RAN_NO                      ? CTR_REFUSED
           : failure->code == nod_outcome_unknown ? CTR_OUTCOME_UNKNOWN
                                                  : CTR_FAILED,
           1);
  nod->act (nod->ctx, &action);
  forget (nod, req);
}

/* Mean time between the tokens of the running attempt, 0 if unknown.  */
static guint32
mean_tbt (const struct nod_req *req)
{
  if (req->attempt_tokens < 2)
    return 0;
  return (guint32)((req->last_token - req->first_token)
                   / (req->attempt_tokens - 1));
}

/* Ends the grant of REQ's attempt at its owner with what was seen.  */
static void
send_release (struct nod *nod, struct nod_req *req, enum msg_result result)
{
  struct msg msg = { .kind = MSG_RELEASE };
  msg.release.ticket = req->ticket;
  msg.release.backend = req->backend;
  msg.release.result = result;
  if (req->first_token != 0)
    msg.release.ttft_us = (guint32)(req->first_token - req->opened);
  msg.release.tbt_us = mean_tbt (req);
  msg.release.tokens = req->unreported;
  req->unreported = 0;
  nod_send (nod, req->owner.s, &msg);
}

/* Gives back a grant that is not used.  */
static void
send_unused (struct nod *nod, const char *to, const struct msg_grant *grant)
{
  struct msg msg = { .kind = MSG_RELEASE };
  msg.release.ticket = grant->ticket;
  msg.release.backend = grant->backend;
  msg.release.result = MSG_RESULT_UNUSED;
  nod_send (nod, to, &msg);
}

static void
send_withdraw (struct nod *nod, const char *to, guint64 ticket)
{
  struct msg msg = { .kind = MSG_WITHDRAW };
  msg.withdraw.ticket = ticket;
  nod_send (nod, to, &msg);
}

/* Sends REQ's ticket to its owner; a running request is offered as such.  */
static void
send_offer (struct nod *nod, struct nod_req *req)
{
  gint64 now = clk_now (nod->clk);
  struct msg msg = { .kind = MSG_OFFER };
  struct msg_offer *offer = &msg.offer;
  offer->ticket = req->ticket;
  offer->cell = req->cell;
  offer->class_name = class_of (req)->name;
  offer->team = req->cfg->teams[req->spec.team_index].name;
  offer->wait_us = MAX (0, req->deadline - now);
  offer->waited_us = now - req->arrived;
  offer->prefix = req->spec.prefix;
  offer->prompt_tokens = req->spec.prompt_tokens;
  offer->max_tokens = req->spec.max_tokens;
  offer->generated = req->generated;
  offer->resumable = is_resumable (req);
  if (req->state != REQ_WAITING)
    offer->running = req->backend;
  offer->sent_us = now;
  memcpy (offer->avoid, req->avoid, sizeof offer->avoid);
  req->offer_at = 0;
  ctr_add (nod->ctr, CTR_OFFERS, 1);
  nod_send (nod, req->owner.s, &msg);
}

/* Chooses a cell for REQ and offers it there under a new ticket. Returns
   FALSE if no cell is left to try.  */
static gboolean
offer_anew (struct nod *nod, struct nod_req *req)
{
  drop_ticket (nod, req);
  if (!nod_route (nod, req))
    return FALSE;
  req->ticket = ++nod->next_ticket;
  g_hash_table_insert (nod->tickets, &req->ticket, req);
  send_offer (nod, req);
  return TRUE;
}

static void
refuse_for (struct nod *nod, struct nod_req *req, enum msg_reason reason,
            gint64 retry_after_us, const char *peer)
{
  const struct failure failure = {
    .status = refusal_status[reason],
    .code = msg_reason_name (reason),
    .retry_after_us = retry_after_us,
    .step = "schedule",
    .peer = peer,
  };
  if (step (nod, req, REQ_EV_REFUSE))
    fail (nod, req, &failure);
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
  req->deadline = now + class_of (req)->deadline_us;
  g_hash_table_insert (nod->requests, &req->spec.id, req);
  ctr_add (nod->ctr, CTR_REQUESTS, 1);
  nod_budget_first_try (nod, spec->class_index);
  if (g_hash_table_size (nod->requests) > NOD_REQUESTS_MAX)
    refuse_for (nod, req, MSG_REASON_OVERLOAD, CLK_S, nod->self.s);
  else if (!offer_anew (nod, req))
    refuse_for (nod, req, req->no_route, CLK_S, nod->self.s);
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
static void
let_go (struct nod *nod, struct nod_req *req)
{
  if (req->state == REQ_RUNNING)
    {
      cancel_attempt (nod, req);
      req->sent_attempts++;
      send_release (nod, req, MSG_RESULT_CANCELLED);
    }
  else if (req->ticket != 0)
    send_withdraw (nod, req->owner.s, req->ticket);
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
  let_go (nod, req);
  if (req->state == REQ_RECORDING)
    lec_withdraw (nod->lec, id);
  end_record (nod, req, NULL);
  step (nod, req, REQ_EV_CALLER_GONE);
  ctr_add (nod->ctr, CTR_CALLER_GONE, 1);
  ctr_add (nod->ctr, CTR_TOKENS_WASTED, req->generated);
  forget (nod, req);
}

static void
charge_link (struct nod *nod, const struct nod_req *req, gsize bytes)
{
  if (req->crosses)
    nod_budget_charge_link (nod, req->spec.class_index, bytes);
}

/* Starts an attempt on the granted server.  */
static void
open_attempt (struct nod *nod, struct nod_req *req)
{
  int i = cfg_find_backend (nod->cfg, str_of (req->backend.s));
  struct nod_action action = { .kind = NOD_DO_OPEN };
  req->attempt++;
  req->opened = clk_now (nod->clk);
  req->first_token = 0;
  req->attempt_tokens = 0;
  action.open.request = req->spec.id;
  action.open.attempt = req->attempt;
  action.open.backend = &nod->cfg->backends[i];
  action.open.priority = req->priority;
  action.open.resume = req->generated > 0;
  action.open.fresh = !req->spec.repeatable;
  action.open.timeout_us = MAX (0, req->deadline - clk_now (nod->clk));
  req->crosses = nod_crosses_link (nod, nod->cfg, nod->cfg->backends[i].domain);
  charge_link (nod, req, req->spec.bytes);
  ctr_add (nod->ctr, CTR_ATTEMPTS, 1);
  if (req->attempt > 1)
    ctr_add (nod->ctr, action.open.resume ? CTR_RESUMES : CTR_RETRIES, 1);
  nod->act (nod->ctx, &action);
}

/* Whether a grant of BACKEND may be used: a late one may name a server that
   has begun to leave since. It is at most as old as ECHO_US, the entry's own
   clock time that the owner sends back with it.  */
static gboolean
is_usable (const struct nod *nod, gint64 echo_us, const char *backend)
{
  return clk_now (nod->clk) - echo_us <= NOD_GRANT_AGE_US && !nod_is_held (nod)
         && cfg_find_backend (nod->cfg, str_of (backend)) >= 0;
}

/* A cell's owner granted a server. A grant that is no longer wanted is
   given back at once.  */
void
nod_req_grant (struct nod *nod, const char *from, const struct msg_grant *grant)
{
  struct nod_req *req = g_hash_table_lookup (nod->tickets, &grant->ticket);
  gboolean current = req != NULL && strcmp (req->owner.s, from) == 0;
  if (current && req->state != REQ_WAITING)
    return; /* the grant in use, sent again */
  if (!current || !is_usable (nod, grant->echo_us, grant->backend.s))
    {
      send_unused (nod, from, grant);
      if (current)
        req->offer_at = clk_now (nod->clk) + NOD_REQUEUE_US;
      return;
    }
  req->backend = grant->backend;
  req->priority = grant->priority;
  req->grant_echo = grant->echo_us;
  req->offer_at = 0;
  if (req->spec.keyed && !req->recorded)
    {
      if (step (nod, req, REQ_EV_GRANT_KEYED))
        lec_ask (nod->lec, req->spec.id, req->spec.key, req->spec.body);
    }
  else if (step (nod, req, REQ_EV_GRANT))
    open_attempt (nod, req);
}

/* Every server was tried or avoided. A server that failed once may be well by
   now, so all are open once more; attempts are bounded by the retry budget.
   Returns FALSE if this was done before.  */
static gboolean
forgive_servers (struct nod_req *req)
{
  if (req->n_avoid == 0 || req->forgiven)
    return FALSE;
  memset (req->avoid, 0, sizeof req->avoid);
  req->n_avoid = 0;
  req->n_tried = 0;
  req->forgiven = TRUE;
  return TRUE;
}

static void
mark_tried (struct nod_req *req)
{
  if (req->n_tried < NOD_CELLS_TRIED_MAX)
    req->tried[req->n_tried++] = req->cell;
}

/* A cell's owner refused REQ's ticket: another cell is tried where the
   reason allows, else the refusal is final.  */
void
nod_req_refuse (struct nod *nod, const char *from,
                const struct msg_refuse *refuse)
{
  struct nod_req *req = g_hash_table_lookup (nod->tickets, &refuse->ticket);
  if (req == NULL || strcmp (req->owner.s, from) != 0
      || req->state != REQ_WAITING)
    return;
  switch (refuse->reason)
    {
    case MSG_REASON_NOT_OWNER:
    case MSG_REASON_DRAINING:
    case MSG_REASON_NO_CONFIG:
      req->offer_at = clk_now (nod->clk) + NOD_REQUEUE_US;
      return;
    case MSG_REASON_OVERLOAD:
    case MSG_REASON_DISPLACED:
    case MSG_REASON_DEADLINE:
    case MSG_REASON_NO_SERVER:
      mark_tried (req);
      if (req->n_tried < NOD_CELLS_TRIED_MAX
          && clk_now (nod->clk) < req->deadline && offer_anew (nod, req))
        return;
      if (refuse->reason == MSG_REASON_NO_SERVER && forgive_servers (req)
          && offer_anew (nod, req))
        return;
      break;
    default:
      break;
    }
  refuse_for (nod, req, refuse->reason, refuse->retry_after_us, from);
}

/* A cell's owner takes a running server back for a higher tier: the attempt
   is cancelled and the request waits to be resumed.  */
void
nod_req_preempt (struct nod *nod, const char *from,
                 const struct msg_preempt *preempt)
{
  struct nod_req *req = g_hash_table_lookup (nod->tickets, &preempt->ticket);
  if (req == NULL || strcmp (req->owner.s, from) != 0
      || req->state != REQ_RUNNING || !is_resumable (req))
    return;
  let_go (nod, req);
  if (step (nod, req, REQ_EV_REQUEUE) && !offer_anew (nod, req))
    refuse_for (nod, req, req->no_route, CLK_S, from);
}

/* Notes COUNT tokens, in BYTES of the stream, that went to the caller.  */
void
nod_req_tokens (struct nod *nod, guint64 id, guint32 attempt, guint32 count,
                gsize bytes, gboolean resumable)
{
  struct nod_req *req = g_hash_table_lookup (nod->requests, &id);
  if (req == NULL || req->attempt != attempt || req->state != REQ_RUNNING)
    return;
  gint64 now = clk_now (nod->clk);
  if (req->first_token == 0)
    req->first_token = now;
  req->last_token = now;
  req->fixed = !resumable;
  charge_link (nod, req, bytes);
  req->attempt_tokens += count;
  req->generated += count;
  req->unreported += count;
  ctr_add (nod->ctr, CTR_TOKENS, count);
}

/* An answer that is too large is recorded without its content.  */
static void
record_answer (struct nod *nod, struct nod_req *req,
               const struct nod_attempt_end *end)
{
  struct msg_ledger_result result = { 0 };
  if (end->answer.n <= MSG_ANSWER_MAX)
    {
      result.status = end->status;
      result.content_type = end->content_type;
      result.answer = end->answer;
    }
  end_record (nod, req, &result);
}

static void
complete (struct nod *nod, struct nod_req *req,
          const struct nod_attempt_end *end)
{
  struct nod_action action = { .kind = NOD_DO_FINISH };
  if (!step (nod, req, REQ_EV_COMPLETE))
    return;
  record_answer (nod, req, end);
  ctr_add (nod->ctr, CTR_ANSWERED, 1);
  action.finish = req->spec.id;
  nod->act (nod->ctx, &action);
  forget (nod, req);
}

static void
avoid_backend (struct nod_req *req)
{
  guint i = req->n_avoid < MSG_AVOID_MAX ? req->n_avoid++ : MSG_AVOID_MAX - 1;
  req->avoid[i] = req->backend;
}

/* Whether a failed attempt may be followed by another.  */
static gboolean
may_retry (struct nod *nod, const struct nod_req *req,
           const struct nod_attempt_end *end)
{
  gboolean did_not_run = end->result == MSG_RESULT_NOT_SENT
                         || end->result == MSG_RESULT_BUSY
                         || end->result == MSG_RESULT_LEAVING;
  if (!did_not_run && !req->spec.repeatable)
    return FALSE;
  if (end->delivered && !(is_resumable (req) && end->resumable))
    return FALSE;
  if (clk_now (nod->clk) >= req->deadline)
    return FALSE;
  return nod_budget_retry (nod, req->spec.class_index);
}

static void
fail_attempt (struct nod *nod, struct nod_req *req,
              const struct nod_attempt_end *end)
{
  struct failure failure = {
    .status = 502,
    .code = nod_backend_failed,
    .step = "attempt",
    .peer = req->backend.s,
  };
  if (!req->spec.repeatable && req->sent_attempts > 0)
    failure.code = nod_outcome_unknown;
  else if (end->result == MSG_RESULT_TIMED_OUT
           && clk_now (nod->clk) >= req->deadline)
    {
      failure.status = 504;
      failure.code = msg_reason_name (MSG_REASON_DEADLINE);
    }
  else if (req->sent_attempts == 0)
    {
      failure.status = 503;
      failure.code = msg_reason_name (MSG_REASON_NO_SERVER);
      failure.retry_after_us = CLK_S;
    }
  if (step (nod, req, REQ_EV_FAIL))
    fail (nod, req, &failure);
}

/* The shell saw an attempt end. Late ends of earlier attempts are
   ignored.  */
void
nod_req_attempt_end (struct nod *nod, const struct nod_attempt_end *end)
{
  struct nod_req *req = g_hash_table_lookup (nod->requests, &end->request);
  if (req == NULL || req->attempt != end->attempt || req->state != REQ_RUNNING)
    return;
  if (end->tokens > 0)
    {
      req->generated += end->tokens;
      req->unreported += end->tokens;
      ctr_add (nod->ctr, CTR_TOKENS, end->tokens);
    }
  charge_link (nod, req, end->bytes);
  send_release (nod, req, end->result);
  switch (end->result)
    {
    case MSG_RESULT_OK:
    case MSG_RESULT_REJECTED:
      drop_ticket (nod, req);
      complete (nod, req, end);
      return;
    case MSG_RESULT_BROKEN:
    case MSG_RESULT_TIMED_OUT:
    case MSG_RESULT_CANCELLED:
      if (end->sent)
        req->sent_attempts++;
      break;
    default:
      break;
    }
  avoid_backend (req);
  if (!may_retry (nod, req, end))
    {
      drop_ticket (nod, req);
      fail_attempt (nod, req, end);
      return;
    }
  step (nod, req, REQ_EV_REQUEUE);
  if (!offer_anew (nod, req))
    refuse_for (nod, req, req->no_route, CLK_S, nod->self.s);
}

static void
replay (struct nod *nod, struct nod_req *req,
        const struct msg_ledger_verdict *verdict)
{
  struct nod_action action = { .kind = NOD_DO_REPLAY };
  action.replay.request = req->spec.id;
  action.replay.status = verdict->status;
  action.replay.content_type = verdict->content_type;
  action.replay.answer = verdict->answer;
  ctr_add (nod->ctr, CTR_LEDGER_REPLAYS, 1);
  nod->act (nod->ctx, &action);
  forget (nod, req);
}

/* X (VERDICT, HTTP status, code, ran) of verdicts that end a request with
   an error */
#define VERDICT_FAILURES(X)                                                    \
  X (IN_PROGRESS, 409, "in_progress", UNKNOWN)                                 \
  X (UNKNOWN, 502, "outcome_unknown", UNKNOWN)                                 \
  X (MISMATCH, 422, "key_mismatch", NO)                                        \
  X (AWAY, 503, "ledger_away", NO)

static void
fail_by_verdict (struct nod *nod, struct nod_req *req, enum msg_verdict verdict)
{
  static const struct
  {
    guint32 status;
    const char *code;
    enum nod_ran ran;
  } failures[MSG_VERDICT_N] = {
#define VERDICT_FAILURE(id, status, code, ran)                                 \
  [MSG_VERDICT_##id] = { (status), (code), NOD_RAN_##ran },
    VERDICT_FAILURES (VERDICT_FAILURE)
#undef VERDICT_FAILURE
  };
  struct nod_action action = { .kind = NOD_DO_FAIL };
  action.fail.request = req->spec.id;
  action.fail.status = failures[verdict].status;
  action.fail.code = failures[verdict].code;
  action.fail.ran = failures[verdict].ran;
  action.fail.retry_after_us = CLK_S;
  err_set (&action.fail.err, ERR_CONFLICT, "ledger", nod->self.s, "%s",
           failures[verdict].code);
  ctr_add (nod->ctr,
           failures[verdict].ran == NOD_RAN_NO ? CTR_REFUSED
                                               : CTR_OUTCOME_UNKNOWN,
           1);
  nod->act (nod->ctx, &action);
  forget (nod, req);
}

/* The ledger holds REQ's intent: its attempt starts, or waits for another
   grant if the one it has grew old meanwhile.  */
static void
start_recorded (struct nod *nod, struct nod_req *req)
{
  req->recorded = TRUE;
  if (is_usable (nod, req->grant_echo, req->backend.s))
    {
      if (step (nod, req, REQ_EV_FRESH))
        open_attempt (nod, req);
      return;
    }
  send_release (nod, req, MSG_RESULT_UNUSED);
  step (nod, req, REQ_EV_REQUEUE);
  if (!offer_anew (nod, req))
    refuse_for (nod, req, MSG_REASON_NO_SERVER, CLK_S, nod->self.s);
}

/* The ledger's word on request ID, which comes once. Only FRESH starts an
   attempt.  */
void
nod_req_verdict (struct nod *nod, guint64 id,
                 const struct msg_ledger_verdict *verdict)
{
  struct nod_req *req = g_hash_table_lookup (nod->requests, &id);
  if (req == NULL || req->state != REQ_RECORDING)
    return;
  if (verdict->verdict == MSG_VERDICT_FRESH)
    {
      start_recorded (nod, req);
      return;
    }
  send_withdraw (nod, req->owner.s, req->ticket);
  if (verdict->verdict == MSG_VERDICT_DONE)
    {
      step (nod, req, REQ_EV_REPLAY);
      replay (nod, req, verdict);
      return;
    }
  step (nod, req, REQ_EV_REFUSE);
  fail_by_verdict (nod, req, verdict->verdict);
}

static void
reoffer (struct nod *nod, struct nod_req *req, const char *lost)
{
  const char *owner = nod_owner (nod, str_of (req->cell.s));
  gboolean restarted = lost != NULL && strcmp (req->owner.s, lost) == 0;
  if (owner == NULL && req->state == REQ_WAITING)
    {
      /* The other failure domain cannot be heard any more. */
      mark_tried (req);
      if (!offer_anew (nod, req))
        refuse_for (nod, req, req->no_route, CLK_S, nod->self.s);
      return;
    }
  if (owner == NULL || (strcmp (owner, req->owner.s) == 0 && !restarted))
    return;
  if (!restarted)
    send_withdraw (nod, req->owner.s, req->ticket);
  str_id_set (&req->owner, str_of (owner));
  ctr_add (nod->ctr, CTR_REOFFERS, 1);
  send_offer (nod, req);
}

/* The view of the instances changed; LOST (may be NULL) went or was
   restarted, so that its tickets are gone. Offers what it had, waiting or
   running, to the owners of now.  */
void
nod_req_view_changed (struct nod *nod, const char *lost)
{
  GList *all = g_hash_table_get_values (nod->tickets);
  for (GList *l = all; l != NULL; l = l->next)
    reoffer (nod, l->data, lost);
  g_list_free (all);
}

/* The connection to instance ID went, and with it what was under way, or a new
   one stands: ID's tickets are offered again in DELAY microseconds, which the
   owner takes as a repetition.  */
void
nod_req_reconnect (struct nod *nod, const char *id, gint64 delay)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, nod->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct nod_req *req = value;
      if (strcmp (req->owner.s, id) == 0)
        req->offer_at = clk_now (nod->clk) + delay;
    }
}

static void
offer_again (struct nod *nod, struct nod_req *req)
{
  const char *owner = nod_owner (nod, str_of (req->cell.s));
  if (owner != NULL)
    str_id_set (&req->owner, str_of (owner));
  send_offer (nod, req);
}

static void
expire (struct nod *nod, struct nod_req *req, gint64 now)
{
  if (req->state == REQ_WAITING && now >= req->deadline)
    {
      send_withdraw (nod, req->owner.s, req->ticket);
      refuse_for (nod, req, MSG_REASON_DEADLINE, CLK_S, nod->self.s);
    }
  else if (req->offer_at != 0 && now >= req->offer_at)
    offer_again (nod, req);
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

/* Sends one progress report to each owner: it charges the tokens and keeps
   the tickets alive.  */
void
nod_req_progress (struct nod *nod)
{
  GHashTable *by_owner = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                                (GDestroyNotify)g_array_unref);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, nod->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct nod_req *req = value;
      struct msg_progress_item item
          = { req->ticket, req->unreported,
              req->state == REQ_RUNNING ? mean_tbt (req) : 0 };
      GArray *items = g_hash_table_lookup (by_owner, req->owner.s);
      if (items == NULL)
        {
          items = g_array_new (FALSE, FALSE, sizeof item);
          g_hash_table_insert (by_owner, req->owner.s, items);
        }
      g_array_append_val (items, item);
      req->unreported = 0;
    }
  gpointer owner;
  g_hash_table_iter_init (&iter, by_owner);
  while (g_hash_table_iter_next (&iter, &owner, &value))
    {
      GArray *items = value;
      struct msg msg = { .kind = MSG_PROGRESS };
      msg.progress.sent_us = clk_now (nod->clk);
      msg.progress.items = (struct msg_progress_item *)items->data;
      msg.progress.n_items = items->len;
      nod_send (nod, owner, &msg);
    }
  g_hash_table_unref (by_owner);
}

static gint
by_tier_and_age (gconstpointer a, gconstpointer b)
{
  const struct nod_req *x = *(struct nod_req *const *)a;
  const struct nod_req *y = *(struct nod_req *const *)b;
  guint tier_x = class_of (x)->tier;
  guint tier_y = class_of (y)->tier;
  if (tier_x != tier_y)
    return tier_x < tier_y ? -1 : 1;
  return x->arrived < y->arrived ? -1 : x->arrived > y->arrived;
}

/* Returns the requests that have waited long enough to move, the highest tier
   and the oldest first.  */
static GPtrArray *
find_movable (const struct nod *nod)
{
  GPtrArray *found = g_ptr_array_new ();
  gint64 now = clk_now (nod->clk);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, nod->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct nod_req *req = value;
      if (req->state == REQ_WAITING && now - req->arrived >= NOD_MOVE_US)
        g_ptr_array_add (found, req);
    }
  g_ptr_array_sort (found, by_tier_and_age);
  return found;
}

/* Moves waiting requests from crowded cells to those with free slots, so that
   no server idles while work for it waits elsewhere in the region.  */
void
nod_req_rebalance (struct nod *nod)
{
  GPtrArray *movable = find_movable (nod);
  for (guint i = 0; i < movable->len; i++)
    {
      struct nod_req *req = movable->pdata[i];
      struct str_id owner = req->owner;
      guint64 ticket = req->ticket;
      if (!nod_route_move (nod, req))
        continue;
      send_withdraw (nod, owner.s, ticket);
      drop_ticket (nod, req);
      req->ticket = ++nod->next_ticket;
      g_hash_table_insert (nod->tickets, &req->ticket, req);
      ctr_add (nod->ctr, CTR_MOVED, 1);
      send_offer (nod, req);
    }
  g_ptr_array_unref (movable);
}

static void
dump_int (JsonBuilder *json, const char *name, gint64 value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_int_value (json, value);
}

static void
dump_str (JsonBuilder *json, const char *name, const char *value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_string_value (json, value);
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
      dump_int (json, "id", (gint64)req->spec.id);
      dump_str (json, "state", chr_state_name (nod->chart, req->state));
      dump_str (json, "class", class_of (req)->name.s);
      dump_str (json, "team", req->cfg->teams[req->spec.team_index].name.s);
      dump_str (json, "cell", req->cell.s);
      dump_str (json, "owner", req->owner.s);
      dump_str (json, "backend", req->backend.s);
      dump_int (json, "age_ms", (now - req->arrived) / CLK_MS);
      dump_int (json, "attempt", req->attempt);
      dump_int (json, "tokens", req->generated);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
