/* Decides what follows an attempt that did not bring a complete response:
   another attempt, the server's own response, or a response of this
   instance.  */
#ifndef RETRY_H
#define RETRY_H

#include "base/clock.h"

/* X (NAME, "name") */
#define RETRY_RESULTS(X)                                                       \
  X (NOT_SENT, "not_sent") /* no byte was sent: certainly not executed */      \
  X (REJECTED, "rejected") /* the server reports that it did not execute it */ \
  X (MISDIRECTED, "misdirected") /* another server now has the address */      \
  X (FAILED, "failed") /* the server's own failure: it was executed */         \
  X (LOST, "lost")     /* no complete response: may have run */

enum retry_result
{
#define RETRY_RESULT_ENUM(id, name) RETRY_RESULT_##id,
  RETRY_RESULTS (RETRY_RESULT_ENUM)
#undef RETRY_RESULT_ENUM
};

/* X (NAME, "name") */
#define RETRY_ACTIONS(X)                                                       \
  X (RESEND, "again")  /* send to another server */                            \
  X (FORWARD, "pass")  /* forward the server's failure response */             \
  X (REJECT, "refuse") /* not executed; respond with a time to retry */        \
  X (REPORT_UNKNOWN, "unknown") /* report that the outcome is unknown */       \
  X (ABORT, "cut")              /* abort the response, which was partly sent */

enum retry_action
{
#define RETRY_ACTION_ENUM(id, name) RETRY_ACTION_##id,
  RETRY_ACTIONS (RETRY_ACTION_ENUM)
#undef RETRY_ACTION_ENUM
};

/* The state of a request after a failed attempt.  */
struct retry_case
{
  enum retry_result result;
  gboolean repeatable;     /* may be executed more than once */
  gboolean may_have_run;   /* an earlier attempt may have been executed */
  gboolean response_begun; /* part of the response was sent to the client */
  gboolean can_resume;     /* by continuing at another server */
  gboolean has_response;   /* the server's failure response is complete */
  guint sent; /* number of servers that the request was sent to so far */
  guint attempts_max;
  gboolean within_budget;
  gboolean has_server; /* there is a server that it was not sent to */
  gint64 left_us;      /* until the client's deadline */
};

enum retry_action retry_decide (const struct retry_case *c);
const char *retry_result_name (enum retry_result result);
const char *retry_action_name (enum retry_action action);

#endif
