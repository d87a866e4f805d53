/* Adaptive limit of requests in flight at one inference engine. It is adjusted
   by the measured time between tokens (tbt) relative to the lowest tbt target
   of the requests there.  */
#ifndef CONCURRENCY_LIMIT_H
#define CONCURRENCY_LIMIT_H

#include "base/clock.h"

#define LIMITER_WINDOW_US CLK_S /* between adjustments */

struct concurrency_limit
{
  double limit;          /* requests in flight */
  gint64 window_start;   /* clock time */
  double tokens;         /* sampled in the window */
  double tbt_sum;        /* of tbt * tokens, microseconds */
  double tbt_square_sum; /* of tbt * tbt * tokens */
  double in_flight_sum;  /* of requests in flight * tokens */
  guint peak_in_flight;  /* most requests in flight in the window */
};

/* Input of an adjustment besides the samples. */
struct limiter_input
{
  gint64 now;
  gint64 target_us;   /* lowest tbt target; 0: none */
  double scale;       /* factor of the limit, set by the preset */
  guint max;          /* configured maximum of the limit */
  gboolean saturated; /* the engine reports a full KV cache or queue */
};

void limiter_init (struct concurrency_limit *concurrency_limit, guint max,
                   gint64 now);
void limiter_record_in_flight (struct concurrency_limit *concurrency_limit,
                               guint in_flight);
void limiter_add_sample (struct concurrency_limit *concurrency_limit,
                         gint64 tbt_us, guint tokens, guint in_flight);
gboolean limiter_adjust (struct concurrency_limit *concurrency_limit,
                         const struct limiter_input *input);
guint limiter_value (const struct concurrency_limit *concurrency_limit,
                     double scale, guint max);

#endif
