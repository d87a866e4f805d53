/* Callers of a deployment on threads of their own, and single calls; all that
   they see goes to a history.  */
#ifndef WORKLOAD_H
#define WORKLOAD_H

#include "harness/deployment.h"
#include "harness/history.h"

#define WORKLOAD_ANY G_MAXUINT /* any live instance */

/* X (NAME, "name") */
#define WORKLOAD_KINDS(X)                                                      \
  X (STREAM, "stream")  /* a streamed completion */                            \
  X (BUFFERED, "whole") /* a completion */                                     \
  X (ONCE, "once")      /* a call that may not be repeated */                  \
  X (KEYED, "keyed")    /* the same under an idempotency key */

enum workload_kind
{
#define WORKLOAD_ENUM(id, name) WORKLOAD_##id,
  WORKLOAD_KINDS (WORKLOAD_ENUM)
#undef WORKLOAD_ENUM
      WORKLOAD_KIND_N
};

struct workload_call
{
  enum workload_kind kind;
  guint instance;         /* number, or WORKLOAD_ANY */
  const char *id;         /* unique to the call; tries share it */
  const char *key;        /* KEYED */
  const char *class_name; /* NULL: urgent */
  guint tokens;           /* STREAM and WHOLE */
};

struct workload_outcome
{
  enum history_kind kind; /* HISTORY_RESPONSE, HISTORY_ERROR or HISTORY_CUT */
  guint status;
  char code[32]; /* of an error */
  char ran[16];
  gint64 us; /* until the end */
};

struct workload; /* the callers' list of instances, as a balancer has it */

struct workload *workload_new (struct deployment *deployment,
                               struct history *history);
void workload_free (struct workload *workload);
/* Instance I takes calls at its port of now, or no more. */
void workload_set_live (struct workload *workload, guint i, gboolean live);
/* Makes one call and records it. A refused connection is tried elsewhere. */
struct workload_outcome workload_execute (struct workload *workload,
                                          const struct workload_call *call);
/* Tries CALL, which has a key, until there is an answer or the outcome is
   unknown. */
struct workload_outcome workload_settle (struct workload *workload,
                                         const struct workload_call *call);

struct workload_clients
{
  enum workload_kind kind;
  guint threads;
  guint tokens;
  guint threads_per_key; /* KEYED: so many threads use the same keys; 0: 1 */
  guint instance;        /* as in struct workload_call */
  const char *prefix;    /* of ids and keys, unique in the run */
};

/* Starts callers that go on until workload_stop. */
void workload_start (struct workload *workload,
                     const struct workload_clients *clients);
/* Ends calls so far. */
guint workload_completed (struct workload *workload);
/* Waits for N more ends. */
gboolean workload_wait_completed (struct workload *workload, guint n);
/* Lets all callers end their calls and joins them. */
void workload_stop (struct workload *workload);
/* Checks the history joined with the files of the run; prints what is broken.
   Returns whether nothing is. */
gboolean workload_check (struct workload *workload);

#endif
