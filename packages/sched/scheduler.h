/* The scheduler of one instance: admits requests, queues them while no server
   has capacity, and tells clients when to retry. It does no I/O.  */
#ifndef SCHEDULER_H
#define SCHEDULER_H

#include "base/counter.h"
#include "policy/rate_window.h"
#include "sched/overload_hold.h"
#include "sched/placement.h"

#define SCHEDULER_TIERS 10 /* lower priorities use the last tier */

/* X (NAME, "name"): why a request is rejected */
#define SCHEDULER_REASONS(X)                                                   \
  X (NONE, "none")                                                             \
  X (NO_SERVER, "no_server") /* no server of the service may be used */        \
  X (BACKOFF, "backoff")     /* all servers have asked to send nothing */      \
  X (OVERLOAD, "overload")   /* would not be served in time */                 \
  X (QUEUE_FULL, "queue_full")

enum scheduler_reason
{
#define SCHEDULER_REASON_ENUM(id, name) SCHEDULER_##id,
  SCHEDULER_REASONS (SCHEDULER_REASON_ENUM)
#undef SCHEDULER_REASON_ENUM
};

enum scheduler_verdict
{
  SCHEDULER_START, /* send to the chosen server */
  SCHEDULER_WAIT,  /* queued; scheduler_poll will decide */
  SCHEDULER_REJECT
};

/* A request at the scheduler. The owner fills in the first part, must not move
   the entry while it is queued, and withdraws it before freeing it.  */
struct scheduler_entry
{
  struct placement_request request;
  char service[STR_ID_MAX + 1];
  guint tier;       /* 0: the most urgent */
  gboolean resumed; /* its client reads the response already: it goes to the
                       head of the queue, whatever its tier */
  gint64 arrived;   /* clock time */
  gint64 target;    /* clock time at which the first event is due */
  gint64 deadline;  /* clock time */
  void *owner;      /* borrowed */

  /* Private to the scheduler. */
  GList link;
  gboolean waiting;
  gint64 queued_at;               /* clock time */
  struct registry_server *server; /* referenced; NULL: not running */
  struct server_load load;        /* its share of the load of SERVER */
  /* Pending prefill tokens of SERVER when the request was sent, including its
     own. */
  guint64 prefill_ahead;
  gboolean first_event_seen;
  gboolean exit_denied; /* counted as denied by the budget */
};

/* What the scheduler decided for an entry.  */
struct scheduler_decision
{
  enum scheduler_verdict verdict;
  struct placement_choice choice;
  enum scheduler_reason reason;
  gint64 retry_after_us; /* SCHEDULER_REJECT: when to retry */
  gint64 wait_us;        /* predicted time until the start */
  guint ahead;           /* queued requests that go first */
};

struct scheduler_options
{
  struct registry *registry;       /* borrowed */
  const struct topology *topology; /* borrowed */
  guint32 seed;
  stream_pool_resized pool_resized; /* NULL: none */
  void *pool_resized_ctx;
  struct counter_set *counter_set; /* borrowed; NULL: nothing is counted */
  gboolean decides_exits; /* when and how much leaves the domain; otherwise the
                             fixed costs decide */
  double region_mbps;     /* of the link between two regions, shared by all
                             instances; 0: no limit */
};

/* Called by scheduler_poll for each entry that it starts or rejects. */
typedef void (*scheduler_decided) (void *ctx, struct scheduler_entry *entry,
                                   const struct scheduler_decision *decision);

struct scheduler;

struct scheduler *scheduler_new (const struct scheduler_options *options,
                                 gint64 now);
void scheduler_free (struct scheduler *scheduler);
void scheduler_set_self (struct scheduler *scheduler,
                         const struct placement_self *self,
                         gint64 shared_clock);
void scheduler_set_table (struct scheduler *scheduler,
                          struct routing_table *routing_table);
const struct routing_table *
scheduler_routing_table (const struct scheduler *scheduler);
void scheduler_submit (struct scheduler *scheduler,
                       struct scheduler_entry *entry, gint64 now,
                       struct scheduler_decision *decision);
gboolean scheduler_has_server (struct scheduler *scheduler,
                               struct scheduler_entry *entry, gint64 now);
gint64 scheduler_retry_after_us (struct scheduler *scheduler,
                                 struct scheduler_entry *entry, gint64 now);
void scheduler_withdraw (struct scheduler *scheduler,
                         struct scheduler_entry *entry);
void scheduler_poll (struct scheduler *scheduler, gint64 now,
                     scheduler_decided decided, void *ctx);
void scheduler_started (struct scheduler *scheduler,
                        struct scheduler_entry *entry,
                        const struct placement_choice *choice, gint64 now);
gint64 scheduler_expected_prefill_us (struct scheduler *scheduler,
                                      const struct scheduler_entry *entry);
double scheduler_us_per_token (const struct scheduler *scheduler,
                               const char *name);
void scheduler_first_event (struct scheduler *scheduler,
                            struct scheduler_entry *entry, gint64 elapsed_us);
void scheduler_ended (struct scheduler *scheduler,
                      struct scheduler_entry *entry);
struct server_load_table *scheduler_loads (struct scheduler *scheduler);
const struct stream_pools *
scheduler_stream_pools (const struct scheduler *scheduler);
struct prefix_directory *
scheduler_prefix_directory (struct scheduler *scheduler);
void scheduler_record_rejection (struct scheduler *scheduler,
                                 const struct overload_rejection *rejection);
guint scheduler_rejections (const struct scheduler *scheduler, gint64 now,
                            struct overload_rejection *rejections, guint max);
guint scheduler_n_contending (const struct scheduler *scheduler);
guint scheduler_n_waiting (const struct scheduler *scheduler);
void scheduler_dump_exits (const struct scheduler *scheduler,
                           JsonBuilder *json);
const char *scheduler_reason_name (enum scheduler_reason reason);

#endif
