/* Placement: which backend server a request goes to.  */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include "fleet/registry.h"
#include "fleet/topology.h"
#include "route/rtb.h"
#include "sched/prefix_directory.h"
#include "sched/server_load.h"

#define PLACEMENT_TRIED_MAX 8
#define PLACEMENT_SLICE_US                                                     \
  (250 * CLK_MS) /* in which what one instance sends becomes known in its      \
                    domain */

/* What placement needs to know of a request.  */
struct placement_request
{
  struct prefix_prompt prompt; /* n is 0 for plain requests */
  guint prompt_tokens;
  guint output_tokens; /* expected */
  gsize body_bytes;
  gint64 gap_us;         /* longest pause between events; 0: any */
  gint64 left_us;        /* until the first event is due; 0: not told */
  guint64 affinity_hash; /* hash that spreads requests over servers */
  guint tried[PLACEMENT_TRIED_MAX]; /* numbers of servers not to use again */
  guint n_tried;
};

/* How much a stream minds pauses between its events.  */
enum placement_pace
{
  PLACEMENT_UNPACED,  /* bears any that engines make */
  PLACEMENT_PACED,    /* bears a few long prompts in a row */
  PLACEMENT_SENSITIVE /* bears hardly one */
};

/* This instance among the others, which place at the same time.  */
struct placement_self
{
  guint domain_instances; /* instances of the own domain, this one among them */
  guint domain_rank;      /* of this one among them, from 0 */
  guint all_instances;    /* instances of all domains, this one among them */
  guint64 hash;           /* of this one's name */
  gboolean has_direct_reports; /* the others tell it their load themselves, not
                         one of each domain */
};

/* The state that placement goes by, all borrowed.  */
struct placement_view
{
  struct registry_server *const *servers; /* all of the fleet */
  guint n_servers;
  const char *service;
  const struct rtb_engine *engine; /* NULL: plain servers */
  const struct topology *topology;
  struct server_load_table *server_load_table;
  const struct prefix_directory *prefix_directory;
  double reuse_share; /* share of shared parts that were in use lately */
  struct placement_self self; /* this instance among the others */
  guint64 time_slice;         /* number of the present turn, the same at all */
  gboolean contended;  /* requests wait, and probably at other instances too */
  double us_per_token; /* that engines take to read a prompt, as learned */
  gint64 now;
};

struct placement_choice
{
  struct registry_server *server;     /* NULL: no server may be used */
  struct registry_server *fetch_from; /* holds more of the prompt; NULL: none */
  struct server_load load;            /* of SERVER, as known */
  guint cached_tokens;                /* tokens that SERVER is known to hold */
  guint prefill_tokens;               /* tokens that SERVER has to read */
  gint64 first_event_us;              /* predicted time to the first event */
  gint64 capacity_wait_us; /* until some server has room, predicted */
  gboolean full;           /* no server has room; work should wait */
  guint usable;            /* servers that may be used and were not tried */
  double busy;             /* share of all slots that are taken */
};

enum placement_pace placement_pace (gint64 gap_us);
void placement_choose (const struct placement_view *view,
                       const struct placement_request *request,
                       struct placement_choice *choice);

#endif
