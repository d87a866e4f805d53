/* Attempts on backend servers and what follows them: retries, responses, and
   the ledger's verdict on calls that may run only once.  */
#include "node/core_internal.h"

#include <string.h>

/* Returns the mean time between tokens of the current attempt, in
   microseconds; 0 if it had fewer than two tokens.  */
guint32
core_attempt_mean_tbt (const struct core_request *req)
{
  if (req->attempt_tokens < 2)
    return 0;
  return (guint32)((req->last_token - req->first_token)
                   / (req->attempt_tokens - 1));
}

static void
charge_link (struct core *core, const struct core_request *req, gsize bytes)
{
  if (req->crosses_link)
    core_budget_charge_link (core, req->spec.class_index, bytes);
}

/* Starts an attempt of REQ on the granted server.  */
void
core_attempt_open (struct core *core, struct core_request *req)
{
  int i = cluster_find_backend (core->cfg, str_of (req->backend.s));
  struct core_action action = { .kind = CORE_DO_OPEN };
  gint64 now = clk_now (core->clk);
  req->attempt++;
  req->attempt_started = now;
  req->first_token = 0;
  req->attempt_tokens = 0;
  action.open.request = req->spec.id;
  action.open.attempt = req->attempt;
  action.open.backend = &core->cfg->backends[i];
  action.open.priority = req->priority;
  action.open.resume = req->generated > 0;
  action.open.timeout_us = MAX (0, req->deadline - now);
  action.open.send_within_us
      = MAX (1, req->grant_not_before + CORE_GRANT_MAX_AGE_US - now);
  req->crosses_link
      = core_crosses_link (core, core->cfg, core->cfg->backends[i].domain);
  charge_link (core, req, req->spec.bytes);
  counter_add (core->counter_set, COUNTER_ATTEMPTS, 1);
  if (req->attempt > 1)
    counter_add (core->counter_set,
                 action.open.resume ? COUNTER_RESUMES : COUNTER_RETRIES, 1);
  core->act (core->ctx, &action);
}

/* Whether a grant of BACKEND may be used. An old grant may name a server that
   has begun to shut down since. ECHO_US is a time on this instance's clock
   that the shard owner received earlier and returns with the grant, so the
   grant is not older than that.  */
gboolean
core_attempt_may_use (const struct core *core, gint64 echo_us,
                      const char *backend)
{
  return clk_now (core->clk) - echo_us <= CORE_GRANT_MAX_AGE_US
         && !core_is_warming_up (core)
         && cluster_find_backend (core->cfg, str_of (backend)) >= 0;
}

/* Records COUNT tokens, which may be 0, and BYTES bytes of the stream that were
   sent to the client.  */
void
core_attempt_tokens (struct core *core, guint64 id, guint32 attempt,
                     guint32 count, gsize bytes, gboolean resumable)
{
  struct core_request *req = g_hash_table_lookup (core->requests, &id);
  if (req == NULL || req->attempt != attempt || req->state != REQUEST_RUNNING)
    return;
  gint64 now = clk_now (core->clk);
  if (count > 0 && req->first_token == 0)
    req->first_token = now;
  if (count > 0)
    req->last_token = now;
  req->not_resumable = !resumable;
  charge_link (core, req, bytes);
  req->attempt_tokens += count;
  req->generated += count;
  req->unreported += count;
  counter_add (core->counter_set, COUNTER_TOKENS, count);
}

/* Stores the response in the ledger. One over MSG_RESPONSE_MAX bytes is stored
   without its content.  */
static void
record_response (struct core *core, struct core_request *req,
                 const struct core_attempt_end *end)
{
  struct msg_ledger_result result = { 0 };
  if (end->body.n <= MSG_RESPONSE_MAX)
    {
      result.status = end->status;
      result.content_type = end->content_type;
      result.response_body = end->body;
    }
  core_request_end_record (core, req, &result);
}

static void
complete (struct core *core, struct core_request *req,
          const struct core_attempt_end *end)
{
  struct core_action action = { .kind = CORE_DO_FINISH };
  if (!core_request_step (core, req, REQUEST_EV_COMPLETE))
    return;
  record_response (core, req, end);
  counter_add (core->counter_set, COUNTER_ANSWERED, 1);
  action.finish = req->spec.id;
  core->act (core->ctx, &action);
  core_request_remove (core, req);
}

static void
avoid_backend (struct core_request *req)
{
  guint i = req->n_avoid < MSG_AVOID_MAX ? req->n_avoid++ : MSG_AVOID_MAX - 1;
  req->avoid[i] = req->backend;
}

/* A request may itself be what ends its servers, so it is not sent to a further
   one after so many attempts in a row that broke off without a token.  */
#define BROKEN_MAX 2

/* Whether a failed attempt may be followed by another one. If so, takes a
   retry from the budget of the class.  */
static gboolean
may_retry (struct core *core, const struct core_request *req,
           const struct core_attempt_end *end)
{
  gboolean did_not_run = end->result == MSG_RESULT_NOT_SENT
                         || end->result == MSG_RESULT_BUSY
                         || end->result == MSG_RESULT_LEAVING;
  if (!did_not_run && !req->spec.repeatable)
    return FALSE;
  if (end->delivered && !(core_request_is_resumable (req) && end->resumable))
    return FALSE;
  if (clk_now (core->clk) >= req->deadline || req->n_broken >= BROKEN_MAX)
    return FALSE;
  return core_budget_retry (core, req->spec.class_index);
}

static void
fail_attempt (struct core *core, struct core_request *req,
              const struct core_attempt_end *end)
{
  struct core_failure failure = {
    .status = 502,
    .code = core_backend_failed,
    .step = "attempt",
    .peer = req->backend.s,
  };
  if (!req->spec.repeatable && req->sent_attempts > 0)
    failure.code = core_outcome_unknown;
  else if (end->result == MSG_RESULT_TIMED_OUT
           && clk_now (core->clk) >= req->deadline)
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
  if (core_request_step (core, req, REQUEST_EV_FAIL))
    core_request_fail (core, req, &failure);
}

/* Enqueues REQ again, whose grant was released unused.  */
static void
enqueue_unused (struct core *core, struct core_request *req)
{
  core_request_step (core, req, REQUEST_EV_REQUEUE);
  if (!core_queue_enqueue (core, req))
    core_request_reject (core, req, MSG_REASON_NO_SERVER, CLK_S, core->self.s);
}

/* Handles the end of an attempt: completes the request, enqueues it again or
   fails it. Late reports on earlier attempts are ignored.  */
void
core_attempt_ended (struct core *core, const struct core_attempt_end *end)
{
  struct core_request *req
      = g_hash_table_lookup (core->requests, &end->request);
  if (req == NULL || req->attempt != end->attempt
      || req->state != REQUEST_RUNNING)
    return;
  if (end->tokens > 0)
    {
      req->generated += end->tokens;
      req->unreported += end->tokens;
      counter_add (core->counter_set, COUNTER_TOKENS, end->tokens);
    }
  if (req->attempt_tokens > 0 || end->tokens > 0)
    req->n_broken = 0;
  else if (end->result == MSG_RESULT_BROKEN && end->sent)
    req->n_broken++;
  charge_link (core, req, end->bytes);
  core_queue_release (core, req, end->result);
  switch (end->result)
    {
    case MSG_RESULT_OK:
    case MSG_RESULT_REJECTED:
      core_queue_remove (core, req);
      complete (core, req, end);
      return;
    case MSG_RESULT_UNUSED:
      /* A server that got the head but not the body has hardly run the
         request, but this is not certain. */
      req->sent_attempts += end->sent;
      if (end->sent && !req->spec.repeatable)
        break;
      enqueue_unused (core, req);
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
  if (!may_retry (core, req, end))
    {
      core_queue_remove (core, req);
      fail_attempt (core, req, end);
      return;
    }
  core_request_step (core, req, REQUEST_EV_REQUEUE);
  if (!core_queue_enqueue (core, req))
    core_request_reject (core, req, req->no_route_reason, CLK_S, core->self.s);
}

static void
replay (struct core *core, struct core_request *req,
        const struct msg_ledger_reply *reply)
{
  struct core_action action = { .kind = CORE_DO_REPLAY };
  action.replay.request = req->spec.id;
  action.replay.status = reply->status;
  action.replay.content_type = reply->content_type;
  action.replay.body = reply->response_body;
  counter_add (core->counter_set, COUNTER_LEDGER_REPLAYS, 1);
  core->act (core->ctx, &action);
  core_request_remove (core, req);
}

/* Verdicts that end a request with an error.
   X (VERDICT, HTTP status, code, ran) */
#define VERDICT_FAILURES(X)                                                    \
  X (IN_PROGRESS, 409, "in_progress", UNKNOWN)                                 \
  X (UNKNOWN, 502, "outcome_unknown", UNKNOWN)                                 \
  X (MISMATCH, 422, "key_mismatch", NO)                                        \
  X (UNAVAILABLE, 503, "ledger_away", NO)

static void
fail_by_verdict (struct core *core, struct core_request *req,
                 enum msg_verdict verdict)
{
  static const struct
  {
    guint32 status;
    const char *code;
    enum core_ran ran;
  } failures[MSG_VERDICT_N] = {
#define VERDICT_FAILURE(id, status, code, ran)                                 \
  [MSG_VERDICT_##id] = { (status), (code), CORE_RAN_##ran },
    VERDICT_FAILURES (VERDICT_FAILURE)
#undef VERDICT_FAILURE
  };
  struct core_action action = { .kind = CORE_DO_FAIL };
  action.fail.request = req->spec.id;
  action.fail.status = failures[verdict].status;
  action.fail.code = failures[verdict].code;
  action.fail.ran = failures[verdict].ran;
  action.fail.retry_after_us = CLK_S;
  err_set (&action.fail.err, ERR_CONFLICT, "ledger", core->self.s, "%s",
           failures[verdict].code);
  counter_add (core->counter_set,
               failures[verdict].ran == CORE_RAN_NO ? COUNTER_REJECTED
                                                    : COUNTER_OUTCOME_UNKNOWN,
               1);
  core->act (core->ctx, &action);
  core_request_remove (core, req);
}

/* The ledger has stored REQ's write-ahead record. Starts the attempt, or
   enqueues REQ again if its grant is too old by now.  */
static void
start_recorded (struct core *core, struct core_request *req)
{
  req->recorded = TRUE;
  if (core_attempt_may_use (core, req->grant_not_before, req->backend.s))
    {
      if (core_request_step (core, req, REQUEST_EV_RECORDED))
        core_attempt_open (core, req);
      return;
    }
  core_queue_release (core, req, MSG_RESULT_UNUSED);
  enqueue_unused (core, req);
}

/* Handles the ledger's verdict on request ID, which arrives once. Only RECORDED
   starts an attempt.  */
void
core_attempt_ledger_verdict (struct core *core, guint64 id,
                             const struct msg_ledger_reply *reply)
{
  struct core_request *req = g_hash_table_lookup (core->requests, &id);
  if (req == NULL || req->state != REQUEST_RECORDING)
    return;
  if (reply->verdict == MSG_VERDICT_RECORDED)
    {
      start_recorded (core, req);
      return;
    }
  core_queue_withdraw (core, req->owner.s, req->queue_entry);
  if (reply->verdict == MSG_VERDICT_DONE)
    {
      core_request_step (core, req, REQUEST_EV_REPLAY);
      replay (core, req, reply);
      return;
    }
  core_request_step (core, req, REQUEST_EV_REJECT);
  fail_by_verdict (core, req, reply->verdict);
}
