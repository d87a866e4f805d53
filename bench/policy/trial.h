/* What all policies of the bench share: the deployment, its engines, the
   requests that arrive and the faults.  */
#ifndef TRIAL_H
#define TRIAL_H

#include "config/cluster_config.h"
#include "policy/engine.h"

#define TRIAL_ENGINES_MAX 32
#define TRIAL_INSTANCES 7
#define TRIAL_ARRIVALS_US (60 * CLK_S) /* requests arrive for this long */
#define TRIAL_END_US (90 * CLK_S)      /* and may end until then */
#define TRIAL_FAULT_US (20 * CLK_S)
#define TRIAL_RECOVERY_US (3 * CLK_S) /* that the top tier may need */
#define TRIAL_START_US (3 * CLK_S)    /* first arrivals, on the fake clock */

enum outcome
{
  OUTCOME_PENDING,
  OUTCOME_COMPLETE,
  OUTCOME_REJECTED,
  OUTCOME_FAILED
};

/* One caller's request. */
struct job
{
  struct trial *trial;
  guint index;
  guint class_index;
  guint team_index;
  guint instance;
  guint prompt; /* tokens */
  guint output; /* tokens */
  guint64 prefix;
  gint64 arrived_at;     /* arrival, microseconds */
  gint64 first_token_at; /* 0: none */
  gint64 last_token_at;
  gint64 ended_at;
  guint received;       /* tokens that reached the caller */
  guint received_early; /* of these, while requests arrived */
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
  X (PARTITION, "domain_cut")                                                  \
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

struct instance
{
  struct str_id id;
  guint domain; /* index in cfg */
};

struct trial
{
  struct event_queue events;
  GRand *rand;
  const struct scenario *scenario;
  struct cluster_config *cfg;
  struct instance instances[TRIAL_INSTANCES];
  struct engine engines[TRIAL_ENGINES_MAX];
  guint engine_backend[TRIAL_ENGINES_MAX]; /* index in cfg->backends */
  guint n_engines;
  struct job *jobs;
  guint n_jobs;
  double token_bound;    /* that any policy could make in that time */
  guint64 control_bytes; /* between instances */
  guint64 link_bytes;    /* of requests, over the paid link */
  guint64 wasted_tokens; /* tokens thrown away */
  guint first_attempts;
  guint retries;                        /* attempts after a failed one */
  guint preemptions;                    /* attempts after a preempted one */
  gint64 frozen_until[TRIAL_INSTANCES]; /* microseconds */
  guint freeze_target;                  /* entry; set by the policy */
  gint64 partitioned_until;             /* domain 1 is cut off until then */
  void *policy;                         /* owned by the policy */
};

/* How requests are routed; one of these runs in a world. */
struct policy
{
  const char *name;
  void (*start) (struct trial *trial);
  void (*submit) (struct trial *trial, struct job *job);
  void (*stop) (struct trial *trial);
};

extern const struct policy policy_round_robin;
extern const struct policy policy_two_choices;
extern const struct policy policy_routed;

void trial_run (struct trial *trial, const struct scenario *scenario,
                const struct policy *policy, guint32 seed);
void trial_clear (struct trial *trial);
gint64 trial_now (const struct trial *trial);
gboolean trial_is_partitioned (const struct trial *trial, guint domain_a,
                               guint domain_b);
/* One-way delay between failure domains, microseconds. */
gint64 trial_delay (struct trial *trial, guint domain_a, guint domain_b);
gboolean trial_crosses_regions (const struct trial *trial, guint domain_a,
                                guint domain_b);
const struct cluster_class *trial_class (const struct job *job);
gint64 trial_frozen_for (const struct trial *trial, guint instance);
/* Starts JOB on engine I; FALSE if it refuses or cannot be reached. */
gboolean trial_start_attempt (struct job *job, guint i, guint priority,
                              void (*on_token) (void *ctx),
                              void (*on_end) (void *ctx, gboolean complete));
void trial_record_token (struct job *job);
void trial_finish_job (struct job *job, enum outcome outcome);

/* arrive.c */
void arrivals_generate (struct trial *trial);

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

void report_measure (const struct trial *trial, struct result *result);
void report_print (const struct scenario *scenario, const char *policy,
                   const struct cluster_config *cfg,
                   const struct result *results, guint n);

#endif
