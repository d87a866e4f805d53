/* The joined history of a run: what callers, stand-ins, instances and the test
   itself did, and the promises as rules over it.  */
#ifndef HIS_H
#define HIS_H

#include <glib.h>

#define HIS_LEAVE_US                                                           \
  (3 * G_USEC_PER_SEC)                     /* until a leaving server is quiet  \
                                            */
#define HIS_SKEW_US (G_USEC_PER_SEC)       /* between a fault and its note */
#define HIS_SPREAD_US (5 * G_USEC_PER_SEC) /* until a version is everywhere */

/* X (NAME, "name") */
#define HIS_KINDS(X)                                                           \
  X (CALL, "call")       /* a caller tries */                                  \
  X (TURNED, "turned")   /* its connection was refused */                      \
  X (ANSWER, "answer")   /* it got a whole answer */                           \
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

enum his_kind
{
#define HIS_ENUM(id, name) HIS_##id,
  HIS_KINDS (HIS_ENUM)
#undef HIS_ENUM
      HIS_KIND_N
};

/* Members that do not fit the kind are NULL or 0. */
struct his_event
{
  gint64 t; /* microseconds since 1970; his_add: 0 for now */
  enum his_kind kind;
  const char *process;  /* instance or backend server */
  const char *id;       /* of the call; its tries share it */
  const char *key;      /* idempotency key */
  const char *request;  /* the instance's id of the try */
  const char *ran;      /* of an error */
  const char *text;     /* of an answer; code of an error */
  const char *expected; /* what the answer has to be */
  guint64 version;      /* of the configuration */
};

struct his;

struct his *his_new (void);
void his_free (struct his *his);
/* Adds a copy of EVENT. Any thread may call this. */
void his_add (struct his *his, const struct his_event *event);
/* Adds the histories and logs in folder DIR. */
void his_read_dir (struct his *his, const char *dir);
/* Returns a copy, freed by his_free. */
struct his *his_copy (struct his *his);
guint his_count (struct his *his, enum his_kind kind, const char *text);

/* Returns how often the rule NAME is broken, all rules if it is NULL, and
   appends a line each to REPORT. */
guint his_check (struct his *his, const char *name, GString *report);

#endif
