/* Callers of a deployment on threads of their own, and single calls; all that
   they see goes to a history.  */
#ifndef CAL_H
#define CAL_H

#include "harness/dep.h"
#include "harness/his.h"

#define CAL_ANY G_MAXUINT /* any live instance */

/* X (NAME, "name") */
#define CAL_WHATS(X)                                                           \
  X (STREAM, "stream") /* a streamed completion */                             \
  X (WHOLE, "whole")   /* a completion */                                      \
  X (ONCE, "once")     /* a call that may not be repeated */                   \
  X (KEYED, "keyed")   /* the same under an idempotency key */

enum cal_what
{
#define CAL_ENUM(id, name) CAL_##id,
  CAL_WHATS (CAL_ENUM)
#undef CAL_ENUM
      CAL_WHAT_N
};

struct cal_call
{
  enum cal_what what;
  guint entry;            /* number, or CAL_ANY */
  const char *id;         /* unique to the call; tries share it */
  const char *key;        /* KEYED */
  const char *class_name; /* NULL: urgent */
  guint tokens;           /* STREAM and WHOLE */
};

struct cal_end
{
  enum his_kind kind; /* HIS_ANSWER, HIS_ERROR or HIS_CUT */
  guint status;
  char code[32]; /* of an error */
  char ran[16];
  gint64 us; /* until the end */
};

struct cal; /* the callers' list of instances, as a balancer has it */

struct cal *cal_new (struct dep *dep, struct his *his);
void cal_free (struct cal *cal);
/* Instance I takes calls at its port of now, or no more. */
void cal_set_live (struct cal *cal, guint i, gboolean live);
/* Makes one call and records it. A refused connection is tried elsewhere. */
struct cal_end cal_one (struct cal *cal, const struct cal_call *call);
/* Tries CALL, which has a key, until there is an answer or the outcome is
   unknown. */
struct cal_end cal_settle (struct cal *cal, const struct cal_call *call);

struct cal_load
{
  enum cal_what what;
  guint threads;
  guint tokens;
  guint sharing;      /* KEYED: so many threads use the same keys; 0: 1 */
  guint entry;        /* as in struct cal_call */
  const char *prefix; /* of ids and keys, unique in the run */
};

/* Starts callers that go on until cal_stop. */
void cal_start (struct cal *cal, const struct cal_load *load);
/* Ends calls so far. */
guint cal_ends (struct cal *cal);
/* Waits for N more ends. */
gboolean cal_wait_ends (struct cal *cal, guint n);
/* Lets all callers end their calls and joins them. */
void cal_stop (struct cal *cal);
/* Checks the history joined with the files of the run; prints what is broken.
   Returns whether nothing is. */
gboolean cal_check (struct cal *cal);

#endif
