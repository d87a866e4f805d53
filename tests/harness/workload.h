/* Clients of a deployment, as threads that send calls until they are stopped or
   as single calls. Everything that they observe is recorded in a history.  */
#ifndef WORKLOAD_H
#define WORKLOAD_H

#include "harness/deployment.h"
#include "harness/history.h"

#define WORKLOAD_ANY G_MAXUINT /* any live instance, round-robin */

/* X (NAME, "name") */
#define WORKLOAD_KINDS(X)                                                      \
  X (STREAM, "stream")  /* a streamed completion */                            \
  X (BUFFERED, "whole") /* a completion without streaming */                   \
  X (ONCE, "once")      /* a service request that is not repeatable */         \
  X (KEYED, "keyed")    /* the same with an idempotency key */

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
  guint instance;         /* index, or WORKLOAD_ANY */
  const char *id;         /* unique to the call; its retries share it */
  const char *key;        /* KEYED: idempotency key */
  const char *class_name; /* NULL: urgent */
  guint tokens;           /* STREAM and BUFFERED: length of the response */
};

struct workload_outcome
{
  enum history_kind kind; /* HISTORY_RESPONSE, HISTORY_ERROR or HISTORY_CUT */
  guint status;
  char code[32]; /* "code" of an error response */
  char ran[16];  /* "ran" of an error response */
  gint64 us;     /* duration, with retries after refused connections */
};

struct workload; /* clients with their list of live instances, as a load
                    balancer keeps it */

/* Returns a workload that records in HISTORY, with all instances live. It is
   freed by workload_free; DEPLOYMENT and HISTORY are borrowed. */
struct workload *workload_new (struct deployment *deployment,
                               struct history *history);
/* Stops all clients and frees WORKLOAD. */
void workload_free (struct workload *workload);
/* Tells the clients whether instance I accepts calls, at its current port.
   Calls to WORKLOAD_ANY go to live instances only.  */
void workload_set_live (struct workload *workload, guint i, gboolean live);
/* Sends CALL and records it and its outcome. After a refused connection it is
   sent again, with WORKLOAD_ANY to the next live instance.  */
struct workload_outcome workload_execute (struct workload *workload,
                                          const struct workload_call *call);
/* Sends CALL, which has an idempotency key, until it succeeds, its outcome is
   reported as unknown or the retries are used up.  */
struct workload_outcome workload_settle (struct workload *workload,
                                         const struct workload_call *call);

/* A group of client threads. */
struct workload_clients
{
  enum workload_kind kind;
  guint threads;
  guint tokens;
  guint threads_per_key; /* KEYED: this many threads use the same keys; 0: 1 */
  guint instance;        /* as in struct workload_call */
  const char *prefix;    /* of ids and keys, unique in the run */
};

/* Starts clients that send calls until workload_stop.  */
void workload_start (struct workload *workload,
                     const struct workload_clients *clients);
/* Returns the number of calls of clients that have ended so far.  */
guint workload_completed (struct workload *workload);
/* Waits until N more calls have ended. Returns FALSE on time-out.  */
gboolean workload_wait_completed (struct workload *workload, guint n);
/* Waits until all clients have ended their current calls, and joins them.  */
void workload_stop (struct workload *workload);
/* Checks the history merged with the stand-ins' histories and the instances'
   logs in the folder of the run, and prints each violation. Returns whether
   there is none. A run without an applied configuration counts as one.  */
gboolean workload_check (struct workload *workload);

#endif
