/* Decides whether requests of one service leave the own failure domain, for
   which other domain, and how many. Each instance decides for itself, from its
   own queue and from what gossip tells of the others. Does no I/O.  */
#ifndef DOMAIN_EXIT_H
#define DOMAIN_EXIT_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "base/str.h"
#include "fleet/topology.h"

#define DOMAIN_EXIT_DOMAINS_MAX 32
#define DOMAIN_EXIT_UPDATE_US (100 * CLK_MS) /* between two updates */
#define DOMAIN_EXIT_AGE_UNKNOWN (-1)

/* Load of the usable servers of the service in one domain.  */
struct domain_exit_load
{
  guint n_servers;
  double busy; /* sum of the shares, 0 to 1, of each server that are in use */
  double prefill_us; /* pending work of all of them */
};

/* What is known of another domain.  */
struct domain_exit_domain
{
  const char *name; /* borrowed */
  enum topology_distance distance;
  struct domain_exit_load load;
  gint64 age_us; /* of LOAD, or DOMAIN_EXIT_AGE_UNKNOWN */
};

struct domain_exit_inputs
{
  struct domain_exit_load home;
  guint n_waiting;      /* requests queued in the own domain */
  guint n_waiters;      /* instances of the domain that have any, or that may
                           have if this is not known; at least 1 */
  gint64 queue_wait_us; /* predicted wait in the queue of this instance */
  struct domain_exit_domain domains[DOMAIN_EXIT_DOMAINS_MAX]; /* other ones */
  guint n_domains;
};

/* The state for one other domain. Work is prefill time in microseconds; a rate
   of 1 keeps one server busy.  */
struct domain_exit_target
{
  char name[STR_ID_MAX + 1];
  enum topology_distance distance;
  gboolean leaving;  /* requests leave the own domain for it */
  gint64 pays_since; /* clock time since which leaving pays; 0: it does not */
  gint64 recovered_since; /* clock time since which the own domain has clearly
                         recovered; 0: it has not */
  gint64 age_us;          /* as in struct domain_exit_domain */
  double wait_us;         /* predicted wait there */
  double busy;            /* smoothed */
  double free;            /* servers' worth of capacity, less the reserve */
  guint n_senders;  /* domains that may send there, including the own one */
  double rate;      /* that this instance may send */
  double sent;      /* rate that it has sent lately */
  double bucket_us; /* work that it may send now */
  double bucket_max_us;
};

/* A request at a server of another domain.  */
struct domain_exit_query
{
  const char *domain;
  double work_us;  /* prefill time there */
  double saved_us; /* prefill time less than in the own domain, as
                      blocks of the prefix are cached there; negative:
                      more */
  gsize body_bytes;
  gint64 left_us;            /* until the first event is due; 0: unknown */
  gboolean keeps_prefix;     /* SAVED_US is that of a large shared prefix */
  gboolean may_leave_freely; /* the request would be rejected otherwise */
};

/* Shares the link between two regions among all instances.  */
struct domain_exit_budget
{
  double bytes_per_s; /* of this instance; 0: no limit */
  double bytes;       /* may be sent now; negative after a large request */
  gint64 updated_at;  /* clock time; 0: never */
};

enum domain_exit_verdict
{
  DOMAIN_EXIT_LEAVE,
  DOMAIN_EXIT_STAY,
  DOMAIN_EXIT_OVER_BUDGET
};

/* TARGET has begun or ceased to get requests of the own domain.  */
typedef void (*domain_exit_changed) (void *ctx,
                                     const struct domain_exit_target *target,
                                     const struct domain_exit_inputs *inputs);

struct domain_exit;

struct domain_exit *domain_exit_new (void);
void domain_exit_free (struct domain_exit *domain_exit);
gboolean domain_exit_is_due (const struct domain_exit *domain_exit, gint64 now);
void domain_exit_update (struct domain_exit *domain_exit,
                         const struct domain_exit_inputs *inputs, gint64 now,
                         domain_exit_changed changed, void *ctx);
enum domain_exit_verdict
domain_exit_decide (const struct domain_exit *domain_exit,
                    const struct domain_exit_budget *budget,
                    const struct domain_exit_query *query);
void domain_exit_record (struct domain_exit *domain_exit, const char *domain,
                         double work_us);
void domain_exit_dump (const struct domain_exit *domain_exit,
                       JsonBuilder *json);

void domain_exit_budget_refill (struct domain_exit_budget *budget, double mbps,
                                guint instances, gint64 now);
void domain_exit_budget_charge (struct domain_exit_budget *budget, gsize bytes);

double domain_exit_price_us (enum topology_distance distance, gsize bytes);
double domain_exit_round_trip_us (enum topology_distance distance);

#endif
