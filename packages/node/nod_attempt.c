/* Attempts on backend servers and what follows their ends: retries, answers,
   the ledger's word on calls that may run once.  */
#include "node/nod_int.h"

#include <string.h>

/* Mean time between the tokens of the running attempt, 0 if unknown.  */
guint32
nod_attempt_mean_tbt (const struct nod_req *req)
{
  if (req->attempt_tokens < 2)
    return 0;
  return (guint32)((req->last_token - req->first_token)
                   / (req->attempt_tokens - 1));
}

static void
charge_link (struct nod *nod, const struct nod_req *req, gsize bytes)
{
  if (req->crosses)
    nod_budget_charge_link (nod, req->spec.class_index, bytes);
}

/* Starts an attempt on the granted server.  */
void
nod_attempt_open (struct nod *nod, struct nod_req *req)
{
  int i = cluster_find_backend (nod->cfg, str_of (req->backend.s));
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
gboolean
nod_attempt_may_use (const struct nod *nod, gint64 echo_us, const char *backend)
{
  return clk_now (nod->clk) - echo_us <= NOD_GRANT_AGE_US && !nod_is_held (nod)
         && cluster_find_backend (nod->cfg, str_of (backend)) >= 0;
}

/* Notes COUNT tokens, in BYTES of the stream, that went to the caller.  */
void
nod_attempt_tokens (struct nod *nod, guint64 id, guint32 attempt, guint32 count,
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
  nod_req_end_record (nod, req, &result);
}

static void
complete (struct nod *nod, struct nod_req *req,
          const struct nod_attempt_end *end)
{
  struct nod_action action = { .kind = NOD_DO_FINISH };
  if (!nod_req_step (nod, req, REQ_EV_COMPLETE))
    return;
  record_answer (nod, req, end);
  ctr_add (nod->ctr, CTR_ANSWERED, 1);
  action.finish = req->spec.id;
  nod->act (nod->ctx, &action);
  nod_req_forget (nod, req);
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
  if (end->delivered && !(nod_req_is_resumable (req) && end->resumable))
    return FALSE;
  if (clk_now (nod->clk) >= req->deadline)
    return FALSE;
  return nod_budget_retry (nod, req->spec.class_index);
}

static void
fail_attempt (struct nod *nod, struct nod_req *req,
              const struct nod_attempt_end *end)
{
  struct nod_failure failure = {
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
  if (nod_req_step (nod, req, REQ_EV_FAIL))
    nod_req_fail (nod, req, &failure);
}

/* The shell saw an attempt end. Late ends of earlier attempts are
   ignored.  */
void
nod_attempt_ended (struct nod *nod, const struct nod_attempt_end *end)
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
  nod_ticket_release (nod, req, end->result);
  switch (end->result)
    {
    case MSG_RESULT_OK:
    case MSG_RESULT_REJECTED:
      nod_ticket_drop (nod, req);
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
      nod_ticket_drop (nod, req);
      fail_attempt (nod, req, end);
      return;
    }
  nod_req_step (nod, req, REQ_EV_REQUEUE);
  if (!nod_ticket_offer_anew (nod, req))
    nod_req_end_refused (nod, req, req->no_route, CLK_S, nod->self.s);
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
  nod_req_forget (nod, req);
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
  nod_req_forget (nod, req);
}

/* The ledger holds REQ's intent: its attempt starts, or waits for another
   grant if the one it has grew old meanwhile.  */
static void
start_recorded (struct nod *nod, struct nod_req *req)
{
  req->recorded = TRUE;
  if (nod_attempt_may_use (nod, req->grant_echo, req->backend.s))
    {
      if (nod_req_step (nod, req, REQ_EV_FRESH))
        nod_attempt_open (nod, req);
      return;
    }
  nod_ticket_release (nod, req, MSG_RESULT_UNUSED);
  nod_req_step (nod, req, REQ_EV_REQUEUE);
  if (!nod_ticket_offer_anew (nod, req))
    nod_req_end_refused (nod, req, MSG_REASON_NO_SERVER, CLK_S, nod->self.s);
}

/* The ledger's word on request ID, which comes once. Only FRESH starts an
   attempt.  */
void
nod_attempt_verdict (struct nod *nod, guint64 id,
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
  nod_ticket_withdraw (nod, req->owner.s, req->ticket);
  if (verdict->verdict == MSG_VERDICT_DONE)
    {
      nod_req_step (nod, req, REQ_EV_REPLAY);
      replay (nod, req, verdict);
      return;
    }
  nod_req_step (nod, req, REQ_EV_REFUSE);
  fail_by_verdict (nod, req, verdict->verdict);
}
