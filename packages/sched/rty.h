/* What follows an attempt that did not bring a whole answer: another attempt,
   the server's own answer, or an answer of this instance.  */
#ifndef RTY_H
#define RTY_H

#include "base/clock.h"

/* X (NAME, "name") */
#define RTY_RESULTS(X)                                                         \
  X (NOT_SENT, "not_sent")       /* no byte left: it has certainly not run */  \
  X (REJECTED, "rejected")       /* the server says that it did not run */     \
  X (MISDIRECTED, "misdirected") /* another server has the address */          \
  X (FAILED, "failed")           /* the server's own failure: it has run */    \
  X (LOST, "lost") /* no answer or a broken one: it may have run */

enum rty_result
{
#define RTY_RESULT_ENUM(id, name) RTY_##id,
  RTY_RESULTS (RTY_RESULT_ENUM)
#undef RTY_RESULT_ENUM
};

/* X (NAME, "name") */
#define RTY_STEPS(X)                                                           \
  X (AGAIN, "again")     /* send to another server */                          \
  X (PASS, "pass")       /* pass the server's failure on */                    \
  X (REFUSE, "refuse")   /* say that it has not run, and when to return */     \
  X (UNKNOWN, "unknown") /* say that the outcome is not known */               \
  X (CUT, "cut")         /* break the answer off: part of it has left */

enum rty_step
{
#define RTY_STEP_ENUM(id, name) RTY_##id,
  RTY_STEPS (RTY_STEP_ENUM)
#undef RTY_STEP_ENUM
};

struct rty_case
{
  enum rty_result result;
  gboolean repeatable;   /* may run more than once */
  gboolean may_have_run; /* an earlier attempt may have */
  gboolean answer_begun; /* part of the answer has gone to the caller */
  gboolean can_resume;   /* a begun answer can go on elsewhere */
  gboolean has_answer;   /* the server's failure is whole */
  guint sent;            /* servers that the request was sent to so far */
  guint attempts_max;
  gboolean within_budget;
  gboolean has_server; /* there is one that it was not sent to */
  gint64 left_us;      /* until the caller's deadline */
};

enum rty_step rty_decide (const struct rty_case *c);
const char *rty_result_name (enum rty_result result);
const char *rty_step_name (enum rty_step step);

#endif
