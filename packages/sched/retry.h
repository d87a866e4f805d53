/* What follows an attempt that did not bring a whole answer: another attempt,
   the server's own answer, or an answer of this instance.  */
#ifndef RETRY_H
#define RETRY_H

#include "base/clk.h"

/* X (NAME, "name") */
#define RETRY_RESULTS(X)                                                       \
  X (NOT_SENT, "not_sent")       /* no byte left: it has certainly not run */  \
  X (REJECTED, "rejected")       /* the server says that it did not run */     \
  X (MISDIRECTED, "misdirected") /* another server has the address */          \
  X (FAILED, "failed")           /* the server's own failure: it has run */    \
  X (LOST, "lost") /* no answer or a broken one: it may have run */

enum retry_result
{
#define RETRY_RESULT_ENUM(id, name) RETRY_RESULT_##id,
  RETRY_RESULTS (RETRY_RESULT_ENUM)
#undef RETRY_RESULT_ENUM
};

/* X (NAME, "name") */
#define RETRY_ACTIONS(X)                                                       \
  X (RESEND, "again")  /* send to another server */                            \
  X (FORWARD, "pass")  /* pass the server's failure on */                      \
  X (REJECT, "refuse") /* say that it has not run, and when to return */       \
  X (REPORT_UNKNOWN, "unknown") /* say that the outcome is not known */        \
  X (ABORT, "cut")              /* break the answer off: part of it has left */

enum retry_action
{
#define RETRY_ACTION_ENUM(id, name) RETRY_ACTION_##id,
  RETRY_ACTIONS (RETRY_ACTION_ENUM)
#undef RETRY_ACTION_ENUM
};

struct retry_case
{
  enum retry_result result;
  gboolean repeatable;     /* may run more than once */
  gboolean may_have_run;   /* an earlier attempt may have */
  gboolean response_begun; /* part of the answer has gone to the caller */
  gboolean can_resume;     /* a begun answer can go on elsewhere */
  gboolean has_response;   /* the server's failure is whole */
  guint sent;              /* servers that the request was sent to so far */
  guint attempts_max;
  gboolean within_budget;
  gboolean has_server; /* there is one that it was not sent to */
  gint64 left_us;      /* until the caller's deadline */
};

enum retry_action retry_decide (const struct retry_case *c);
const char *retry_result_name (enum retry_result result);
const char *retry_action_name (enum retry_action action);

#endif
