/* Adaptive limit of requests in flight at one engine, driven by the measured
   time between tokens (tbt) against the tightest target served there.  */
#ifndef LIM_H
#define LIM_H

#include "base/clock.h"

#define LIM_WINDOW_US CLK_S /* between adjustments */

struct lim
{
  double limit;         /* requests */
  gint64 window_start;  /* clock time */
  double weight;        /* tokens sampled in the window */
  double sum;           /* of tbt * tokens, microseconds */
  double sum_squares;   /* of tbt * tbt * tokens */
  double sum_in_flight; /* of requests in flight * tokens */
  guint peak;           /* most requests in flight in the window */
};

/* What an adjustment goes by besides the samples. */
struct lim_state
{
  gint64 now;
  gint64 target_us; /* tightest tbt target; 0: none */
  double scale;     /* of the limit, by the preset */
  guint max;        /* hard limit */
  gboolean pressed; /* the engine reports a full KV cache or queue */
};

void lim_init (struct lim *lim, guint max, gint64 now);
void lim_count (struct lim *lim, guint in_flight);
void lim_sample (struct lim *lim, gint64 tbt_us, guint tokens, guint in_flight);
gboolean lim_adjust (struct lim *lim, const struct lim_state *state);
guint lim_value (const struct lim *lim, double scale, guint max);

#endif
