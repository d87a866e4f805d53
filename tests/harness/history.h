/* History of a test run: events observed by clients, stand-ins, instances and
   the test itself, and rules over them that check the guarantees.  */
#ifndef HISTORY_H
#define HISTORY_H

#include <glib.h>

/* After this time a leaving server gets no new work. */
#define HISTORY_LEAVE_US (3 * G_USEC_PER_SEC)
/* Maximum time between a fault and its event. */
#define HISTORY_SKEW_US (G_USEC_PER_SEC)
/* After this time an accepted configuration is in force at all instances. */
#define HISTORY_SPREAD_US (5 * G_USEC_PER_SEC)

/* X (NAME, "name") */
#define HISTORY_KINDS(X)                                                       \
  X (CALL, "call")       /* a client sends a call */                           \
  X (REFUSED, "refused") /* the connection was refused */                      \
  X (RESPONSE, "answer") /* the client got a complete response */              \
  X (ERROR, "error")     /* the client got an error response */                \
  X (CUT, "cut")         /* the response was cut off or missing */             \
  X (START, "start")     /* an engine starts a request */                      \
  X (EXECUTE, "execute") /* a service executes a call */                       \
  X (LEAVING, "leaving") /* a backend server begins to leave */                \
  X (LIVE, "live")       /* a backend server is back */                        \
  X (ACCEPT, "accept")   /* an operator's update was accepted */               \
  X (CONFIG, "config")   /* an instance applies a version */                   \
  X (DOWN, "down")       /* the test kills or freezes an instance */           \
  X (UP, "up")           /* the instance runs again */

enum history_kind
{
#define HISTORY_ENUM(id, name) HISTORY_##id,
  HISTORY_KINDS (HISTORY_ENUM)
#undef HISTORY_ENUM
      HISTORY_KIND_N
};

/* Members that do not apply to the kind are NULL or 0.  */
struct history_event
{
  gint64 t; /* microseconds since 1970; history_add replaces 0 by the current
               time */
  enum history_kind kind;
  const char *process;  /* instance or backend server */
  const char *id;       /* of the call; its retries share it */
  const char *key;      /* idempotency key */
  const char *request;  /* request id that the instance assigned */
  const char *ran;      /* of an error response: whether the request ran */
  const char *text;     /* of a response; code of an error */
  const char *expected; /* text of a correct response */
  guint64 version;      /* of the configuration */
};

struct history;

struct history *history_new (void);
void history_free (struct history *history);
/* Adds a copy of EVENT. Any thread may call this. */
void history_add (struct history *history, const struct history_event *event);
/* Adds the events in the stand-ins' histories (*.history) and the instances'
   logs (*.out) in folder DIR.  */
void history_read_dir (struct history *history, const char *dir);
/* Returns a copy, freed by history_free. */
struct history *history_copy (struct history *history);
/* Returns the number of events of KIND, with TEXT unless it is NULL. */
guint history_count (struct history *history, enum history_kind kind,
                     const char *text);

/* Checks the rule NAME, or all rules if it is NULL. Returns the number of
   violations and appends a line for each to REPORT.  */
guint history_check (struct history *history, const char *name,
                     GString *report);
/* Appends to REPORT what is recorded of the first violations that
   history_check found last: all events of the call and the lines of the logs
   and histories in folder DIR that name its request. Without a request id, the
   lines of the instance's log from around that time.  */
void history_explain (struct history *history, const char *dir,
                      GString *report);

#endif
