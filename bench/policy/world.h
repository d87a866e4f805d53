/* What all policies of the bench share: the deployment, its engines, the
   requests that arrive and the faults.  */
#ifndef WORLD_H
#define WORLD_H

#include "config/cluster_config.h"
#include "policy/engine.h"

#define WORLD_ENGINES_MAX 32
#define WORLD_ENTRIES 7
#define WORLD_ARRIVALS_US (60 * CLK_S) /* requests arrive for this long */
#define WORLD_END_US (90 * CLK_S)      /* and may end until then */
#define WORLD_FAULT_US (20 * CLK_S)
#define WORLD_RECOVERY_US (3 * CLK_S) /* that the top tier may need */
#define WORLD_START_US (3 * CLK_S)    /* first arrivals, on the fake clock */

enum outcome
{
  OUTCOME_PENDING,
  OUTCOME_COMPLETE,
  OUTCOME_REFUSED,
  OUTCOME_FAILED
};

/* One caller's request. */
struct job
{
  struct world *world;
  guint index;
  guint class_index;
  guint team_index;
  guint entry;
  guint prompt; /* tokens */
  guint output; /* tokens */
  guint64 prefix;
  gint64 at;          /* arrival, microseconds */
  gint64 first_token; /* 0: none */
  gint64 last_token;
  gint64 ended;
  guint got;       /* tokens that reached the caller */
  guint got_early; /* of these, while requests arrived */
  guint attempts;
  enum outcome outcome;
  gboolean preempted; /* its last attempt was cancelled by the owner */
  gboolean started;   /* by an engine or queued there */
  gint64 started_at;
  struct sequence sequence; /* of the running attempt */
  guint engine;             /* index of the running attempt's engine */
  guint32 attempt;
};

/* X (NAME, "name") */
#define FAULTS(X)                                                              \
  X (NONE, "none")                                                             \
  X (STRAGGLER, "straggler")                                                   \
  X (CRASH, "crash")                                                           \
  X (FREEZE, "owner_frozen")                                                   \
  X (CUT, "domain_cut")                                                        \
  X (PLATFORM, "platform_down")                                                \
  X (BURST, "class_burst")

enum fault
{
#define FAULT_ENUM(id, name) FAULT_##id,
  FAULTS (FAULT_ENUM)
#undef FAULT_ENUM
      FAULT_N
};

struct scenario
{
  const char *deployment; /* folder under examples/ */
  double demand;          /* as a share of capacity */
  enum fault fault;
};

struct entry
{
  struct str_id id;
  guint domain; /* index in cfg */
};

struct world
{
  struct queue queue;
  GRand *rand;
  const struct scenario *scenario;
  struct cluster_config *cfg;
  struct entry entries[WORLD_ENTRIES];
  struct engine engines[WORLD_ENGINES_MAX];
  guint engine_backend[WORLD_ENGINES_MAX]; /* index in cfg->backends */
  guint n_engines;
  struct job *jobs;
  guint n_jobs;
  double bound_tokens;   /* that any policy could make in that time */
  guint64 control_bytes; /* between instances */
  guint64 link_bytes;    /* of requests, over the paid link */
  guint64 wasted;        /* tokens thrown away */
  guint first_tries;
  guint retries;                      /* attempts after a failed one */
  guint preemptions;                  /* attempts after a preempted one */
  gint64 frozen_until[WORLD_ENTRIES]; /* microseconds */
  guint freeze_target;                /* entry; set by the policy */
  gint64 cut_until;                   /* domain 1 is cut off until then */
  void *policy;                       /* owned by the policy */
};

/* How requests are routed; one of these runs in a world. */
struct policy
{
  const char *name;
  void (*start) (struct world *world);
  void (*arrive) (struct world *world, struct job *job);
  void (*stop) (struct world *world);
};

extern const struct policy policy_round_robin;
extern const struct policy policy_two_choices;
extern const struct policy policy_routed;

void world_run (struct world *world, const struct scenario *scenario,
                const struct policy *policy, guint32 seed);
void world_clear (struct world *world);
gint64 world_now (const struct world *world);
gboolean world_is_cut (const struct world *world, guint domain_a,
                       guint domain_b);
/* One-way delay between failure domains, microseconds. */
gint64 world_delay (struct world *world, guint domain_a, guint domain_b);
gboolean world_crosses (const struct world *world, guint domain_a,
                        guint domain_b);
const struct cluster_class *world_class (const struct job *job);
gint64 world_frozen_for (const struct world *world, guint entry);
/* Starts JOB on engine I; FALSE if it refuses or cannot be reached. */
gboolean world_start (struct job *job, guint i, guint priority,
                      void (*token) (void *ctx),
                      void (*end) (void *ctx, gboolean complete));
void world_note_token (struct job *job);
void world_finish (struct job *job, enum outcome outcome);

/* arrive.c */
void arrive_make (struct world *world);

/* report.c */
struct result
{
  double top_attainment;
  double top_after_fault; /* attainment of the top tier after recovery */
  /* Tokens a second that reached callers while requests arrived, but for
     failed requests. */
  double goodput;
  double goodput_share;   /* of the bound */
  double wasted_share;    /* of all tokens */
  double retry_share;     /* of first tries */
  double preempted_share; /* of first tries */
  double control_bytes;   /* a second and instance */
  double link_bytes;      /* a second */
  double attainment[CLUSTER_CLASSES_MAX];
  double starts[CLUSTER_CLASSES_MAX]; /* share while overloaded */
  double completed[CLUSTER_CLASSES_MAX];
};

void report_measure (const struct world *world, struct result *result);
void report_print (const struct scenario *scenario, const char *policy,
                   const struct cluster_config *cfg,
                   const struct result *results, guint n);

#endif
