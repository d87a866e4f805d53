/* Adaptive limit of requests in flight at one engine, driven by the measured
   time between tokens (tbt) against the tightest target served there.  */
#ifndef CONCURRENCY_LIMIT_H
#define CONCURRENCY_LIMIT_H

#include "base/clk.h"

#define CONCURRENCY_LIMIT_WINDOW_US CLK_S /* between adjustments */

struct concurrency_limit
{
  double limit;          /* requests */
  gint64 window_start;   /* clock time */
  double tokens;         /* tokens sampled in the window */
  double tbt_sum;        /* of tbt * tokens, microseconds */
  double tbt_square_sum; /* of tbt * tbt * tokens */
  double in_flight_sum;  /* of requests in flight * tokens */
  guint peak_in_flight;  /* most requests in flight in the window */
};

/* What an adjustment goes by besides the samples. */
struct concurrency_limit_input
{
  gint64 now;
  gint64 target_us;   /* tightest tbt target; 0: none */
  double scale;       /* of the limit, by the preset */
  guint max;          /* hard limit */
  gboolean saturated; /* the engine reports a full KV cache or queue */
};

void concurrency_limit_init (struct concurrency_limit *concurrency_limit,
                             guint max, gint64 now);
void
concurrency_limit_add_in_flight (struct concurrency_limit *concurrency_limit,
                                 guint in_flight);
void concurrency_limit_add_sample (struct concurrency_limit *concurrency_limit,
                                   gint64 tbt_us, guint tokens,
                                   guint in_flight);
gboolean concurrency_limit_adjust (struct concurrency_limit *concurrency_limit,
                                   const struct concurrency_limit_input *input);
guint
concurrency_limit_value (const struct concurrency_limit *concurrency_limit,
                         double scale, guint max);

#endif
