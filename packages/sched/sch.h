/* The scheduler of one instance: admits requests, keeps them waiting while no
   server has room, and says when to come back. Without I/O.  */
#ifndef SCH_H
#define SCH_H

#include "policy/rate_window.h"
#include "sched/spl.h"

#define SCH_TIERS 10 /* priorities beyond count as the last */

/* X (NAME, "name"): why a request is refused */
#define SCH_REASONS(X)                                                         \
  X (NONE, "none")                                                             \
  X (NO_SERVER, "no_server") /* none of the service may be used */             \
  X (OVERLOAD, "overload")   /* would not be served in time */                 \
  X (QUEUE_FULL, "queue_full")

enum sch_reason
{
#define SCH_REASON_ENUM(id, name) SCH_##id,
  SCH_REASONS (SCH_REASON_ENUM)
#undef SCH_REASON_ENUM
};

enum sch_verdict
{
  SCH_START, /* send to the choice's server */
  SCH_WAIT,  /* queued; sch_poll tells more */
  SCH_REFUSE
};

/* A request at the scheduler. The owner fills in the first part, keeps the
   ticket in place and withdraws it before it goes.  */
struct sch_ticket
{
  struct spl_request request;
  char service[STR_ID_MAX + 1];
  guint tier;      /* 0: the most urgent */
  gint64 arrived;  /* clock time */
  gint64 target;   /* clock time at which the first event is due */
  gint64 deadline; /* clock time */
  void *owner;     /* borrowed */

  /* The scheduler's own. */
  GList link;
  gboolean waiting;
  gint64 queued_at;          /* clock time */
  struct flt_server *server; /* where it runs, referenced; NULL: nowhere */
  struct sld_load load;      /* what it counts for there */
  guint64 unread_ahead; /* tokens to be read there when it was sent, its own
                           among them */
  gboolean begun;       /* its first event has come */
};

struct sch_decision
{
  enum sch_verdict verdict;
  struct spl_choice choice;
  enum sch_reason reason;
  gint64 retry_after_us; /* SCH_REFUSE: when to come back */
  gint64 wait_us;        /* predicted wait until a start */
  guint ahead;           /* waiting requests that go first */
};

struct sch_options
{
  struct flt *flt;       /* borrowed */
  const struct top *top; /* borrowed */
  guint32 seed;
};

typedef void (*sch_decided) (void *ctx, struct sch_ticket *ticket,
                             const struct sch_decision *decision);

struct sch;

struct sch *sch_new (const struct sch_options *options, gint64 now);
void sch_free (struct sch *sch);
void sch_set_self (struct sch *sch, const struct spl_self *self,
                   gint64 shared_clock);
void sch_set_table (struct sch *sch, struct routing_table *routing_table);
void sch_offer (struct sch *sch, struct sch_ticket *ticket, gint64 now,
                struct sch_decision *decision);
gboolean sch_has_server (struct sch *sch, struct sch_ticket *ticket,
                         gint64 now);
void sch_withdraw (struct sch *sch, struct sch_ticket *ticket);
void sch_poll (struct sch *sch, gint64 now, sch_decided decided, void *ctx);
void sch_started (struct sch *sch, struct sch_ticket *ticket,
                  const struct spl_choice *choice, gint64 now);
gint64 sch_expected_us (struct sch *sch, const struct sch_ticket *ticket);
void sch_begun (struct sch *sch, struct sch_ticket *ticket, gint64 elapsed_us);
void sch_ended (struct sch *sch, struct sch_ticket *ticket);
struct sld *sch_loads (struct sch *sch);
struct pdr *sch_directory (struct sch *sch);
guint sch_waiting (const struct sch *sch);
const char *sch_reason_name (enum sch_reason reason);

#endif
