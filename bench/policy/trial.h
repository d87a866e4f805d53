/* A trial: one simulated run of a scenario under one routing policy with one
   seed. It holds what all policies share: the deployment and its engines, the
   arriving requests and the injected fault. Time is simulated.  */
#ifndef TRIAL_H
#define TRIAL_H

#include "config/cluster_config.h"
#include "policy/engine.h"

#define TRIAL_ENGINES_MAX 32
#define TRIAL_INSTANCES 7
#define TRIAL_ARRIVALS_US (60 * CLK_S) /* requests arrive during this time */
#define TRIAL_END_US (90 * CLK_S)      /* and may end within this time */
#define TRIAL_FAULT_US (20 * CLK_S) /* from the first arrivals to the fault */
/* Time after the fault in which missed targets of the top tier do not count in
   result.top_after_fault. */
#define TRIAL_RECOVERY_US (3 * CLK_S)
#define TRIAL_START_US (3 * CLK_S) /* first arrivals, on the fake clock */

/* How a request ended, as seen by its client. */
enum outcome
{
  OUTCOME_PENDING,
  OUTCOME_COMPLETE,
  OUTCOME_REJECTED, /* not run, or rejected in its last attempt */
  OUTCOME_FAILED    /* the response is incomplete */
};

/* One client request. Times are in microseconds on the fake clock. */
struct job
{
  struct trial *trial;
  guint index;
  guint class_index;
  guint team_index;
  guint instance; /* index of the instance that received it */
  guint prompt;   /* tokens */
  guint output;   /* tokens */
  guint64 prefix; /* identifies the shared prefix of the prompt */
  gint64 arrived_at;
  gint64 first_token_at; /* 0: no token yet */
  gint64 last_token_at;
  gint64 ended_at;
  guint received;       /* tokens that the client received */
  guint received_early; /* of these, before arrivals stopped */
  guint attempts;
  enum outcome outcome;
  gboolean preempted;       /* the shard owner cancelled its last attempt */
  gboolean started;         /* an engine has accepted it (queued or running) */
  gint64 started_at;        /* when an engine first accepted it */
  struct sequence sequence; /* of the current attempt */
  guint engine;             /* index of the current attempt's engine */
  guint32 attempt;          /* number that the decision core gave the attempt */
};

/* The straggler is an engine that is slow and reports a low load. PLATFORM has
   no handler: the simulation has no platform in any scenario, the instances get
   their configuration at the start. BURST only changes the arrivals.
   X (NAME, "name") */
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
  double demand;          /* arrival rate as a share of the engines' capacity */
  enum fault fault;
};

/* One instance, which receives a share of the client requests. */
struct instance
{
  struct str_id id;
  guint domain; /* index in cfg->domains */
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
  /* No policy can generate more tokens while requests arrive. */
  double token_bound;
  guint64 control_bytes; /* messages between instances */
  guint64 link_bytes;    /* prompts and tokens between regions (paid link) */
  guint64 wasted_tokens; /* received in requests that did not complete */
  guint first_attempts;  /* one for each request that was tried */
  guint retries;         /* attempts after a failed one */
  guint preemptions;     /* attempts after a preempted one */
  gint64 frozen_until[TRIAL_INSTANCES]; /* microseconds, fake clock */
  guint freeze_target;      /* index of the instance; set by the policy */
  gint64 partitioned_until; /* domain 1 reaches no other domain until then */
  void *policy;             /* state of the policy, owned by it */
};

/* A routing policy under test. SUBMIT is called for each arriving request. */
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

/* Initializes TRIAL, runs SCENARIO under POLICY and stops the policy. The
   arrivals depend on the scenario and SEED, not on the policy. */
void trial_run (struct trial *trial, const struct scenario *scenario,
                const struct policy *policy, guint32 seed);
/* Frees what trial_run allocated. */
void trial_clear (struct trial *trial);
/* Returns the simulated time, microseconds. */
gint64 trial_now (const struct trial *trial);
/* Whether a network partition separates two failure domains. */
gboolean trial_is_partitioned (const struct trial *trial, guint domain_a,
                               guint domain_b);
/* Returns a random one-way network delay between two failure domains,
   microseconds. */
gint64 trial_delay (struct trial *trial, guint domain_a, guint domain_b);
/* Whether two failure domains are in different regions. */
gboolean trial_crosses_regions (const struct trial *trial, guint domain_a,
                                guint domain_b);
const struct cluster_class *trial_class (const struct job *job);
/* Returns how long INSTANCE stays frozen, microseconds; 0: not frozen. */
gint64 trial_frozen_for (const struct trial *trial, guint instance);
/* Starts an attempt of JOB on engine I and counts it. Returns FALSE if the
   engine rejects it or a partition separates it from the instance. */
gboolean trial_start_attempt (struct job *job, guint i, guint priority,
                              void (*on_token) (void *ctx),
                              void (*on_end) (void *ctx, gboolean complete));
/* Records that the client of JOB received the latest token of its attempt. */
void trial_record_token (struct job *job);
/* Sets the outcome of JOB; later calls have no effect. */
void trial_finish_job (struct job *job, enum outcome outcome);

/* arrivals.c: fills in the jobs and the token bound of TRIAL. */
void arrivals_generate (struct trial *trial);

/* report.c: the measures of one trial. The names of the fields are printed. */
struct result
{
  /* Attainment: share of requests that completed within the latency targets and
     the deadline of their class; "top" is tier 0. */
  double top_attainment;
  double top_after_fault; /* of arrivals after fault and recovery */
  /* Tokens per second that clients received while requests arrived, without
     those of failed requests. */
  double goodput;
  double goodput_share;   /* of the upper bound */
  double wasted_share;    /* of all generated tokens */
  double retry_share;     /* relative to first attempts */
  double preempted_share; /* relative to first attempts */
  double control_bytes;   /* per second and instance */
  double link_bytes;      /* per second */
  double attainment[CLUSTER_CLASSES_MAX];
  /* Share of all starts while requests arrive. */
  double starts[CLUSTER_CLASSES_MAX];
  double completed[CLUSTER_CLASSES_MAX];
};

void report_measure (const struct trial *trial, struct result *result);
/* Prints a line "name median unit (lowest to highest)" for each measure of N
   trials with different seeds. */
void report_print (const struct scenario *scenario, const char *policy,
                   const struct cluster_config *cfg,
                   const struct result *results, guint n);

#endif
