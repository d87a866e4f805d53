/* Placement: chooses the backend server that a request goes to.  */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include "fleet/registry.h"
#include "fleet/topology.h"
#include "policy/prompt_parts.h"
#include "route/routing_table.h"
#include "sched/domain_exit.h"
#include "sched/prefix_directory.h"
#include "sched/server_load.h"
#include "sched/stream_pool.h"

#define PLACEMENT_TRIED_MAX 8
/* Length of a time slice. Within it, the other instances of the domain learn
   what one instance has sent. */
#define PLACEMENT_SLICE_US (250 * CLK_MS)

/* What placement needs to know about a request.  */
struct placement_request
{
  struct prefix_prompt prompt; /* n is 0 for requests without a prompt */
  struct prompt_parts parts;
  guint prompt_tokens;
  guint output_tokens; /* estimated */
  gsize body_bytes;
  gint64 gap_us;                /* longest tolerated inter-event gap; 0: any */
  gint64 left_us;               /* until the first event is due; 0: unknown */
  guint64 affinity_hash;        /* determines the preferred server */
  gboolean may_break_isolation; /* would be rejected otherwise: it may use the
                                   pools of isolated streams */
  guint tried[PLACEMENT_TRIED_MAX]; /* numbers of servers that must not be used
                                       again */
  guint n_tried;
  /* Only servers of this version of the software may be used; borrowed. NULL:
     any. */
  const char *version;
};

/* How sensitive a stream is to gaps between its events.  */
enum placement_pace
{
  PLACEMENT_UNPACED,   /* tolerates any gap that engines cause */
  PLACEMENT_PACED,     /* tolerates a few long prompts in a row */
  PLACEMENT_SENSITIVE, /* latency-sensitive: tolerates hardly one */
  PLACEMENT_ISOLATED   /* latency-sensitive, and tolerates none */
};

/* Another instance of the own domain that has requests queued. */
struct placement_contender
{
  guint64 hash;    /* of the instance */
  guint n_waiting; /* queued requests, at least 1 */
};

/* This instance's position among all instances that place at the same time.  */
struct placement_self
{
  guint domain_instances; /* instances in the own domain, including this */
  guint domain_rank;      /* position of this instance among them, from 0 */
  guint all_instances;    /* instances in all domains, including this */
  guint64 hash;           /* of this instance, as in struct
                             placement_contender at its peers */
  /* The other contenders in the own domain, borrowed; NULL: unknown. */
  const struct placement_contender *contenders;
  guint n_contenders;
  struct limit_members limit_members;
  gboolean has_direct_reports; /* all instances report their load to this one
                                  directly, instead of one for each domain */
};

/* The state that placement decisions are based on; all pointers are
   borrowed.  */
struct placement_view
{
  struct registry_server *const *servers; /* all servers of the registry */
  guint n_servers;
  const char *service;
  const struct routing_engine *engine; /* NULL: servers without engines */
  const struct topology *topology;
  struct server_load_table *server_load_table;
  const struct prefix_directory *prefix_directory;
  struct stream_pools *stream_pools; /* NULL: no pools */
  double reuse_share; /* share of shared prefixes that were used recently */
  struct placement_self self;
  gint64 shared_now;   /* microseconds of a clock that is about the same at all
                          instances */
  guint64 time_slice;  /* number of the current time slice, the same at all
                          instances */
  guint n_waiting;     /* requests queued here; if there are any, then probably
                          at other instances too */
  double us_per_token; /* measured prefill time per token */
  gint64 now;
  /* What decides on leaving the domain; NULL: the fixed costs alone. */
  const struct domain_exit *domain_exit;
  const struct domain_exit_budget *exit_budget;
  gboolean may_leave_freely; /* would be rejected otherwise: only the budget of
                                the link between regions keeps it at home */
};

/* The result of placement.  */
struct placement_choice
{
  struct registry_server *server;     /* NULL: no server may be used */
  struct registry_server *fetch_from; /* caches more; NULL: none */
  struct server_load load;            /* estimated load of SERVER */
  guint cached_tokens;     /* estimated tokens that SERVER has cached */
  guint prefill_tokens;    /* tokens that SERVER has to prefill */
  gint64 first_event_us;   /* predicted time to the first event */
  gint64 capacity_wait_us; /* predicted time until some server has capacity */
  gboolean at_home;        /* SERVER is the preferred one of the prompt's shared
                              prefix,        which all instances of the region can
                              compute */
  gboolean full;           /* no server has capacity; the request should wait */
  gboolean in_isolated_pool; /* SERVER is */
  gboolean breaks_isolation; /* an isolated stream that is not in a pool of the
                                region or will be late there, or another long
                                prompt in a pool */
  gboolean must_stay;        /* a server of another domain has capacity, but the
                                request may not leave for it */
  gboolean over_budget;      /* likewise, because of the link between regions */
  guint usable; /* number of usable servers that the request was not sent to */
  /* Time until the first of the servers may be used that have asked this
     instance to send nothing; G_MAXINT64: there is none. */
  gint64 backoff_us;
  double busy; /* share of all slots that are in use */
  /* Requests a second that this instance may send to the usable servers, if all
     of them have named limits; 0: not all have.  */
  double limited_per_s;
};

enum placement_pace placement_pace (gint64 gap_us);
gboolean placement_excludes (const struct placement_request *request,
                             const struct registry_server *server);
gboolean placement_is_restricted (const struct placement_request *request);
void placement_record_sent (const struct placement_view *view,
                            struct registry_server *server);
void placement_choose (const struct placement_view *view,
                       const struct placement_request *request,
                       struct placement_choice *choice);
void placement_update_pools (const struct placement_view *view);

#endif
