/* Shared by the files of placement only: spl.c chooses, spl_cost.c tells what
   each server would cost.  */
#ifndef SPL_INT_H
#define SPL_INT_H

#include "sched/spl.h"

#define LATE_START                                                             \
  0.5 /* share of the time left that may go by before                          \
         the first event at no further cost */
#define HOME_SHARE                                                             \
  0.7 /* of a prompt's shared tokens that its home is taken to hold when       \
         nothing is known */

/* Which engines a request is compared over first and last, by what suits it.
   Those of one class are taken in the order of their draws.  */
enum spl_suit
{
  SPL_SUITED,     /* of the right kind, near */
  SPL_NEAR,       /* near */
  SPL_REGION,     /* of the right kind, elsewhere in the region */
  SPL_REGION_ANY, /* elsewhere in the region */
  SPL_FAR         /* in another region */
};

struct spl_candidate
{
  struct flt_server *server;
  struct sld_load load;
  enum top_distance distance;
  guint64 rank;       /* order of engines that all instances share */
  guint held;         /* tokens of the prompt, as known */
  gboolean strays;    /* neither home nor known holder: one more copy */
  gboolean is_home;   /* of the shared part, in the own region */
  gboolean stands_in; /* no server of the own domain may be used */
  gboolean reserved;  /* among the first of its domain, which the tight pool
                         takes as it grows */
  guint likely;       /* the same, or what a home is taken to hold */
  gboolean in_tight_pool;
  enum spl_suit suit;
  guint64 draw; /* by the request's home and the engine */
};

struct spl_estimate
{
  double first_us; /* to the first event */
  double cost;     /* microseconds */
  guint unread;    /* tokens to be read at the engine */
  guint fetched;   /* tokens to be fetched */
  gboolean full;
  double room_us;   /* until it has room, predicted; 0: it has */
  gboolean harmful; /* tight streams there would be held up */
};

guint64 spl_mix (guint64 x);
struct spl_estimate spl_estimate_plain (const struct spl_request *request,
                                        const struct spl_candidate *c);
struct spl_estimate spl_estimate_engine (const struct spl_view *view,
                                         const struct spl_request *request,
                                         const struct spl_candidate *c,
                                         guint best_held);

#endif
