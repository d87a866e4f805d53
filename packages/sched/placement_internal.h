/* Shared by the files of placement only: spl.c chooses, spl_cost.c tells what
   each server would cost.  */
#ifndef PLACEMENT_INTERNAL_H
#define PLACEMENT_INTERNAL_H

#include "sched/placement.h"

#define LATE_START                                                             \
  0.5 /* share of the time left that may go by before                          \
         the first event at no further cost */
#define HOME_SHARE                                                             \
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
  guint64 rank;       /* order of engines that all instances share */
  guint held;         /* tokens of the prompt, as known */
  gboolean strays;    /* neither home nor known holder: one more copy */
  gboolean is_home;   /* of the shared part, in the own region */
  gboolean stands_in; /* no server of the own domain may be used */
  gboolean reserved;  /* among the first of its domain, which the tight pool
                         takes as it grows */
  guint likely;       /* the same, or what a home is taken to hold */
  gboolean in_tight_pool;
  enum placement_preference suit;
  guint64 draw; /* by the request's home and the engine */
};

struct placement_estimate
{
  double first_us; /* to the first event */
  double cost;     /* microseconds */
  guint unread;    /* tokens to be read at the engine */
  guint fetched;   /* tokens to be fetched */
  gboolean full;
  double room_us;   /* until it has room, predicted; 0: it has */
  gboolean harmful; /* tight streams there would be held up */
};

guint64 placement_mix_bits (guint64 x);
struct placement_estimate
placement_estimate_plain (const struct placement_request *request,
                          const struct placement_candidate *c);
struct placement_estimate placement_estimate_engine (
    const struct placement_view *view, const struct placement_request *request,
    const struct placement_candidate *c, guint best_held);

#endif
