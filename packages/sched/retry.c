#include "sched/retry.h"

#define RESEND_TIME_MIN_US                                                     \
  (60 * CLK_MS) /* minimum time left for another attempt */

static const char *const result_names[] = {
#define RETRY_NAME(id, name) name,
  RETRY_RESULTS (RETRY_NAME)
};
static const char *const action_names[] = { RETRY_ACTIONS (RETRY_NAME) };
#undef RETRY_NAME

const char *
retry_result_name (enum retry_result result)
{
  return result_names[result];
}

const char *
retry_action_name (enum retry_action action)
{
  return action_names[action];
}

/* Returns whether no attempt of the request can have been executed.  */
static gboolean
certainly_not_executed (const struct retry_case *c)
{
  return !c->may_have_run
         && (c->result == RETRY_RESULT_NOT_SENT
             || c->result == RETRY_RESULT_REJECTED
             || c->result == RETRY_RESULT_MISDIRECTED);
}

/* Returns whether the request may be sent to another server.  */
static gboolean
may_resend (const struct retry_case *c)
{
  if (!c->has_server || c->left_us < RESEND_TIME_MIN_US
      || (c->response_begun && !c->can_resume))
    return FALSE;
  if (!certainly_not_executed (c) && !c->repeatable)
    return FALSE;
  /* An attempt that reached no server does not use up the service's budget. */
  if (c->result == RETRY_RESULT_NOT_SENT)
    return TRUE;
  return c->sent < c->attempts_max && c->within_budget;
}

/* Decides how to continue. A request that may have been executed is never
   reported as not executed, and one that must be executed at most once is
   never sent again once it may have been.  */
enum retry_action
retry_decide (const struct retry_case *c)
{
  if (may_resend (c))
    return RETRY_ACTION_RESEND;
  if (c->response_begun)
    return RETRY_ACTION_ABORT;
  if (certainly_not_executed (c))
    return RETRY_ACTION_REJECT;
  if (c->result == RETRY_RESULT_FAILED && c->has_response)
    return RETRY_ACTION_FORWARD;
  return RETRY_ACTION_REPORT_UNKNOWN;
}
