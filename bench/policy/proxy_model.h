/* A model of a fleet of reverse proxies: each instance has the registry, the
   scheduler, the retry rules and the gossip of the product, on one simulated
   clock and network. The life cycle of a request is that of packages/gate
   without its I/O.  */
#ifndef PROXY_MODEL_H
#define PROXY_MODEL_H

#include "peer/gossip.h"
#include "policy/event_queue.h"
#include "sched/retry.h"
#include "sched/retry_budget.h"
#include "sched/scheduler.h"

#define PROXY_INSTANCES_MAX 295
#define PROXY_SERVERS_MAX 190
#define PROXY_DOMAINS_MAX 11

#define PROXY_WARM_UP_US (4 * CLK_S)   /* gossip alone, before any request */
#define PROXY_ARRIVALS_US (20 * CLK_S) /* requests arrive during this time */
#define PROXY_FAULT_US (5 * CLK_S)     /* from the first arrivals */
#define PROXY_FAULT_END_US (15 * CLK_S)
#define PROXY_END_US (45 * CLK_S)
/* Time for which a refusing server asks to be sent nothing. */
#define PROXY_BACKOFF_US (3 * CLK_S)
/* After such a response, requests in transit are still excused for so long. */
#define PROXY_BACKOFF_NOTICE_US (500 * CLK_MS)
/* Time for which a server that says that it is leaving may get requests. */
#define PROXY_DRAIN_US (2 * CLK_S)

/* X (NAME, "name"): services of the model */
#define PROXY_SERVICES(X)                                                      \
  X (ENGINES, "llm")                                                           \
  X (PLAIN, "pool")

enum proxy_service
{
#define PROXY_SERVICE_ENUM(id, name) PROXY_##id,
  PROXY_SERVICES (PROXY_SERVICE_ENUM)
#undef PROXY_SERVICE_ENUM
      PROXY_SERVICE_N
};

/* X (NAME, "name"): what happens to the fleet from PROXY_FAULT_US on */
#define PROXY_SCENARIOS(X)                                                     \
  X (QUIET, "quiet")                                                           \
  X (REFUSING, "refusing") /* a fifth of the servers answer 503 for 10 s */    \
  X (LEAVING, "leaving") /* a fifth leave and say so before the store does */  \
  X (BURST_LEAVING, "burst_leaving") /* 30 % leave in a burst of 2.5 times the \
                                        load */

enum proxy_scenario
{
#define PROXY_SCENARIO_ENUM(id, name) PROXY_##id,
  PROXY_SCENARIOS (PROXY_SCENARIO_ENUM)
#undef PROXY_SCENARIO_ENUM
      PROXY_SCENARIO_N
};

/* A class of requests: its route, its load and its work. Lengths in tokens. */
struct proxy_class
{
  struct routing_route route;
  enum proxy_service service;
  double rate;     /* requests per second for each server of the service */
  double prefixes; /* shared ones, for each server of the service */
  guint shared_prompt;
  guint own_prompt;
  guint output;
  gint64 service_us; /* plain servers: mean time of one request */
};

/* Sizes of a fleet.  */
struct proxy_fleet
{
  guint instances;
  guint domains;
  guint regions;
  guint servers[PROXY_SERVICE_N];
};

/* How a request ended, as seen by its client. */
enum proxy_outcome
{
  PROXY_PENDING,
  PROXY_ANSWERED,
  PROXY_REFUSED, /* has not run */
  PROXY_FAILED   /* incomplete, or unknown whether it ran */
};

/* The kind of a server's response, for the instance that gets it. */
struct proxy_answer
{
  gint64 backoff_us; /* 503 with this Retry-After; 0: none */
  gboolean leaving;  /* it says that the server is leaving */
};

struct proxy_world;
struct proxy_instance;
struct proxy_attempt;

/* A client's request. A client that is refused returns at the stated time; each
   try is a new request to an instance. Times are clock times.  */
struct proxy_request
{
  struct proxy_world *world;
  const struct proxy_class *proxy_class;
  guint class_index;
  guint number;
  guint instances[3]; /* of the tries; index */
  struct prefix_prompt prompt;
  guint output;
  gint64 service_us;
  gint64 first_arrival;

  guint tries;
  struct proxy_instance *instance; /* of the present try */
  struct scheduler_entry entry;
  struct proxy_attempt *attempt; /* NULL: none in progress */
  gint64 attempt_started;
  guint sent; /* attempts that count towards the route's limit */
  gboolean may_have_run;
  gboolean head_sent;

  enum proxy_outcome outcome;
  guint refusals;
  gint64 first_event_at; /* 0: none yet */
  gint64 last_event_at;
  gint64 longest_gap_us;
  guint received; /* tokens */
};

/* One attempt of a request at a server. Freed with the world.  */
struct proxy_attempt
{
  struct proxy_request *request; /* NULL: abandoned by the instance */
  struct proxy_instance *instance;
  struct registry_server *listed; /* referenced until the attempt ends */
  struct proxy_server *server;
  struct proxy_server *fetch_from; /* NULL: none */
  gboolean is_trial;
  guint tier;
  struct prefix_prompt prompt;
  guint output_left;   /* tokens */
  double prefill_left; /* tokens that remain to be prefilled */
  gboolean prefilled;  /* before the present step */
  gint64 service_us;
};

/* What an instance has been told by a server, and what it sent after that.  */
struct proxy_told
{
  gint64 backoff_from; /* clock time of the response; 0: none */
  gint64 backoff_until;
  guint early;         /* requests after the notice time, before the end */
  gint64 leaving_from; /* clock time of the first response; 0: none */
};

/* A backend server.  */
struct proxy_server
{
  struct proxy_world *world;
  guint index;
  enum proxy_service service;
  guint domain;
  char id[16];
  guint slots;
  gint64 refuses_until; /* clock time */
  gboolean leaving;
  gboolean ended;
  GPtrArray *running; /* of struct proxy_attempt, borrowed */
  GPtrArray *waiting;
  GQueue cached; /* of keys of shared prefixes, most recently used first */
  gboolean in_step;
};

struct proxy_instance
{
  struct proxy_world *world;
  guint domain;
  guint32 ip;
  struct registry *registry;
  struct topology *topology;
  struct scheduler *scheduler;
  struct gossip *gossip;
  struct placement_self self;
  struct placement_contender contenders[PROXY_INSTANCES_MAX];
  gint64 waiting_since; /* clock time; 0: no request is queued */
  gint64 reviewed_at;   /* clock time of the last review of the servers */
  guint count;          /* of instances that share the retry budgets */
  struct retry_budget retry_budgets[PROXY_SERVICE_N];
  gboolean poll_scheduled;
  gboolean knows_leaving; /* by the store's list */
  gboolean knows_ended;
  struct proxy_told told[PROXY_SERVERS_MAX];
};

/* Counts of a trial. An early request is one that reaches a server between half
   a second after its request to be sent nothing and the end of that time. A
   window is one such time of a server at an instance.  */
struct proxy_counts
{
  guint attempts;
  guint retries;
  guint backoff_responses;
  guint early;
  guint windows;
  guint broken_windows;   /* with more than two early requests */
  guint leaving_attempts; /* to a server that is leaving */
  guint drain_broken;     /* later than the drain time after the instance had a
                             response of the server that says so */
  guint lost;             /* attempts that ended with their server */
};

struct proxy_world
{
  struct event_queue events;
  GRand *rand; /* of network, hints and instances; not of arrivals */
  const struct proxy_fleet *fleet;
  enum proxy_scenario scenario;
  struct proxy_instance *instances;
  struct proxy_server *servers;
  guint n_servers;
  struct routing_table *routing_table;
  GPtrArray *requests; /* of struct proxy_request, owned */
  GPtrArray *attempts; /* of struct proxy_attempt, owned */
  struct proxy_counts counts;
};

extern const struct proxy_class proxy_classes[];
extern const guint proxy_n_classes;

/* proxy_trial.c */
void proxy_trial_run (struct proxy_world *world,
                      const struct proxy_fleet *fleet,
                      enum proxy_scenario scenario, guint32 seed);
void proxy_trial_clear (struct proxy_world *world);

/* proxy_arrivals.c */
void proxy_arrivals_generate (struct proxy_world *world, GRand *rand);

/* proxy_instance.c */
void proxy_instance_init (struct proxy_instance *instance,
                          struct proxy_world *world, guint index);
void proxy_instance_clear (struct proxy_instance *instance);
void proxy_instance_list (struct proxy_instance *instance);
void proxy_instance_schedule_poll (struct proxy_instance *instance);

/* proxy_exchange.c */
void proxy_exchange_arrive (void *ctx, void *data);
void proxy_exchange_decided (void *ctx, struct scheduler_entry *entry,
                             const struct scheduler_decision *decision);
void proxy_exchange_event (struct proxy_attempt *attempt, guint tokens,
                           const struct proxy_answer *answer);
void proxy_exchange_complete (struct proxy_attempt *attempt,
                              const struct proxy_answer *answer);
void proxy_exchange_failed (struct proxy_attempt *attempt,
                            enum retry_result result,
                            const struct proxy_answer *answer);

/* proxy_server.c */
extern const char *const proxy_service_names[];
void proxy_server_init (struct proxy_server *server, struct proxy_world *world,
                        guint index);
void proxy_server_clear (struct proxy_server *server);
void proxy_server_submit (struct proxy_attempt *attempt);
void proxy_server_cancel (struct proxy_attempt *attempt);
void proxy_server_end (struct proxy_server *server);

/* proxy_hints.c, or proxy_hints_none.c for a version that takes no notice of
   what a response says of its server */
extern const char proxy_hints_name[];
void proxy_hints_set_up (struct registry *registry);
gboolean proxy_hints_start (struct registry_server *server);
void proxy_hints_end (struct registry_server *server, gboolean is_trial);
void proxy_hints_record (struct registry *registry,
                         struct registry_server *server,
                         const struct proxy_answer *answer, GRand *rand,
                         gint64 now);
gint64 proxy_hints_retry_after (struct scheduler *scheduler,
                                struct scheduler_entry *entry, gint64 now);

/* proxy_report.c */
struct proxy_result
{
  double in_time[8]; /* share of the class, of arrivals since the fault */
  double all_in_time;
  double answered;      /* share of all that any try answered */
  double refused;       /* refusals for each request */
  double refused_again; /* share of the returns that were refused */
  double attempts;      /* for each request */
  double early;         /* for each instance */
  double broken_windows;
  double windows;
  double leaving_attempts;
  double drain_broken;
  double lost;
};

void proxy_report_measure (const struct proxy_world *world,
                           struct proxy_result *result);
void proxy_report_header (void);
void proxy_report_print (enum proxy_scenario scenario,
                         const struct proxy_fleet *fleet, const char *seed,
                         const struct proxy_result *result);
void proxy_report_print_mean (enum proxy_scenario scenario,
                              const struct proxy_fleet *fleet,
                              const struct proxy_result *results, guint n);

#endif
