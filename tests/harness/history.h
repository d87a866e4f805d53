/* The joined history of a run: what callers, stand-ins, instances and the test
   itself did, and the promises as rules over it.  */
#ifndef HISTORY_H
#define HISTORY_H

#include <glib.h>

#define HISTORY_LEAVE_US                                                       \
  (3 * G_USEC_PER_SEC)                   /* until a leaving server is quiet    \
                                          */
#define HISTORY_SKEW_US (G_USEC_PER_SEC) /* between a fault and its note */
#define HISTORY_SPREAD_US                                                      \
  (5 * G_USEC_PER_SEC) /* until a version is everywhere */

/* X (NAME, "name") */
#define HISTORY_KINDS(X)                                                       \
  X (CALL, "call")       /* a caller tries */                                  \
  X (REFUSED, "refused") /* its connection was refused */                      \
  X (RESPONSE, "answer") /* it got a whole answer */                           \
  X (ERROR, "error")     /* it got an error */                                 \
  X (CUT, "cut")         /* its answer ended early or never came */            \
  X (START, "start")     /* an engine starts a request */                      \
  X (EXECUTE, "execute") /* a service runs a call */                           \
  X (LEAVING, "leaving") /* a backend server has begun to leave */             \
  X (LIVE, "live")       /* and is back */                                     \
  X (ACCEPT, "accept")   /* an operator's update was accepted */               \
  X (CONFIG, "config")   /* an instance takes a version over */                \
  X (DOWN, "down")       /* the test kills or freezes an instance */           \
  X (UP, "up")           /* and it is started again or goes on */

enum history_kind
{
#define HISTORY_ENUM(id, name) HISTORY_##id,
  HISTORY_KINDS (HISTORY_ENUM)
#undef HISTORY_ENUM
      HISTORY_KIND_N
};

/* Members that do not fit the kind are NULL or 0. */
struct history_event
{
  gint64 t; /* microseconds since 1970; history_add: 0 for now */
  enum history_kind kind;
  const char *process;  /* instance or backend server */
  const char *id;       /* of the call; its tries share it */
  const char *key;      /* idempotency key */
  const char *request;  /* the instance's id of the try */
  const char *ran;      /* of an error */
  const char *text;     /* of an answer; code of an error */
  const char *expected; /* what the answer has to be */
  guint64 version;      /* of the configuration */
};

struct history;

struct history *history_new (void);
void history_free (struct history *history);
/* Adds a copy of EVENT. Any thread may call this. */
void history_add (struct history *history, const struct history_event *event);
/* Adds the histories and logs in folder DIR. */
void history_read_dir (struct history *history, const char *dir);
/* Returns a copy, freed by history_free. */
struct history *history_copy (struct history *history);
guint history_count (struct history *history, enum history_kind kind,
                     const char *text);

/* Returns how often the rule NAME is broken, all rules if it is NULL, and
   appends a line each to REPORT. */
guint history_check (struct history *history, const char *name,
                     GString *report);

#endif
