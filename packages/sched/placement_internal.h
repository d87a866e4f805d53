/* Shared by the files of placement only: spl.c chooses, spl_cost.c tells what
   each server would cost.  */
#ifndef PLACEMENT_INTERNAL_H
#define PLACEMENT_INTERNAL_H

#include "sched/placement.h"

#define FIRST_EVENT_SLACK_SHARE                                                \
  0.5 /* share of the time left that may go by before                          \
         the first event at no further cost */
#define PREFERRED_CACHED_SHARE                                                 \
  0.7 /* of a prompt's shared tokens that its home is taken to hold when       \
         nothing is known */

/* Which engines a request is compared over first and last, by what suits it.
   Those of one class are taken in the order of their draws.  */
enum placement_preference
{
  PLACEMENT_NEAR_MATCH,   /* of the right kind, near */
  PLACEMENT_NEAR,         /* near */
  PLACEMENT_REGION_MATCH, /* of the right kind, elsewhere in the region */
  PLACEMENT_REGION,       /* elsewhere in the region */
  PLACEMENT_REMOTE        /* in another region */
};

struct placement_candidate
{
  struct registry_server *server;
  struct server_load load;
  enum topology_distance distance;
  guint64 rank;          /* order of engines that all instances share */
  guint cached_tokens;   /* tokens of the prompt, as known */
  gboolean adds_copy;    /* neither home nor known holder: one more copy */
  gboolean is_preferred; /* of the shared part, in the own region */
  gboolean takes_over;   /* no server of the own domain may be used */
  gboolean reserved;     /* among the first of its domain, which the tight pool
                            takes as it grows */
  guint expected_cached; /* the same, or what a home is taken to hold */
  gboolean in_sensitive_pool;
  enum placement_preference preference;
  guint64 rendezvous_score; /* by the request's home and the engine */
};

struct placement_estimate
{
  double first_event_us; /* to the first event */
  double cost;           /* microseconds */
  guint prefill_tokens;  /* tokens to be read at the engine */
  guint fetched_tokens;  /* tokens to be fetched */
  gboolean full;
  double capacity_wait_us; /* until it has room, predicted; 0: it has */
  gboolean delays_streams; /* tight streams there would be held up */
};

guint64 placement_mix_bits (guint64 x);
struct placement_estimate
placement_estimate_plain (const struct placement_request *request,
                          const struct placement_candidate *c);
struct placement_estimate placement_estimate_engine (
    const struct placement_view *view, const struct placement_request *request,
    const struct placement_candidate *c, guint best_cached);

#endif
