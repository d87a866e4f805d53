#include "policy/concurrency_limit.h"

#include <math.h>

#define CONCURRENCY_LIMIT_START_SHARE 0.5 /* of the hard limit */
#define CONCURRENCY_LIMIT_START_MIN 4.0
#define CONCURRENCY_LIMIT_DEVIATIONS                                           \
  1.5 /* above the mean: a request outlasts a window */
#define CONCURRENCY_LIMIT_GROWTH_MAX 1.5 /* factor per window */
#define CONCURRENCY_LIMIT_SHRINK_MAX 0.5 /* factor per window */
#define CONCURRENCY_LIMIT_GROW_BELOW                                           \
  0.90 /* of the target: below it the limit grows */
#define CONCURRENCY_LIMIT_TARGET_SHARE                                         \
  0.95 /* of the target: where adjustments lead */
#define CONCURRENCY_LIMIT_USED_SHARE                                           \
  0.8 /* share of the limit in use that allows growth */
#define CONCURRENCY_LIMIT_MIN_TOKENS 8.0 /* tokens that make a window count */

/* Starts at half the hard limit MAX.  */
void
concurrency_limit_init (struct concurrency_limit *concurrency_limit, guint max,
                        gint64 now)
{
  *concurrency_limit = (struct concurrency_limit){ .window_start = now };
  concurrency_limit->limit
      = MIN ((double)max, MAX (CONCURRENCY_LIMIT_START_MIN,
                               max * CONCURRENCY_LIMIT_START_SHARE));
}

/* Notes that IN_FLIGHT requests are in flight.  */
void
concurrency_limit_add_in_flight (struct concurrency_limit *concurrency_limit,
                                 guint in_flight)
{
  concurrency_limit->peak_in_flight
      = MAX (concurrency_limit->peak_in_flight, in_flight);
}

/* Takes a mean of TBT_US over TOKENS tokens, seen with IN_FLIGHT requests in
   flight.  */
void
concurrency_limit_add_sample (struct concurrency_limit *concurrency_limit,
                              gint64 tbt_us, guint tokens, guint in_flight)
{
  double weight = MAX (tokens, 1);
  double tbt = (double)tbt_us;
  if (tbt_us <= 0)
    return;
  concurrency_limit->tokens += weight;
  concurrency_limit->tbt_sum += tbt * weight;
  concurrency_limit->tbt_square_sum += tbt * tbt * weight;
  concurrency_limit->in_flight_sum += in_flight * weight;
}

/* Estimate of the tbt that 95 in 100 requests stay below: their own means
   vary less than the means over a window.  */
static double
high_tbt (const struct concurrency_limit *concurrency_limit)
{
  double mean = concurrency_limit->tbt_sum / concurrency_limit->tokens;
  double variance
      = concurrency_limit->tbt_square_sum / concurrency_limit->tokens
        - mean * mean;
  return mean + CONCURRENCY_LIMIT_DEVIATIONS * sqrt (MAX (variance, 0));
}

/* Grows towards AIM requests.  */
static void
grow (struct concurrency_limit *concurrency_limit,
      const struct concurrency_limit_input *input, double aim)
{
  double max_step
      = MAX (concurrency_limit->limit + 1,
             concurrency_limit->limit * CONCURRENCY_LIMIT_GROWTH_MAX);
  if (!input->saturated)
    concurrency_limit->limit
        = MAX (concurrency_limit->limit, MIN (aim, max_step));
}

/* Shrinks towards what the requests in flight bore, so that a limit below
   the number in flight is not lowered again while that number drains.  */
static void
shrink (struct concurrency_limit *concurrency_limit, double factor)
{
  double in_flight
      = concurrency_limit->in_flight_sum / concurrency_limit->tokens;
  double aim = in_flight * MAX (factor, CONCURRENCY_LIMIT_SHRINK_MAX);
  concurrency_limit->limit = MIN (concurrency_limit->limit, aim);
}

/* Adjusts the limit once a window is over. Returns TRUE if it was.  */
gboolean
concurrency_limit_adjust (struct concurrency_limit *concurrency_limit,
                          const struct concurrency_limit_input *input)
{
  if (input->now - concurrency_limit->window_start
      < CONCURRENCY_LIMIT_WINDOW_US)
    return FALSE;
  guint value
      = concurrency_limit_value (concurrency_limit, input->scale, input->max);
  if (input->target_us <= 0)
    {
      if (concurrency_limit->peak_in_flight
          >= value * CONCURRENCY_LIMIT_USED_SHARE)
        grow (concurrency_limit, input, input->max);
    }
  else if (concurrency_limit->tokens >= CONCURRENCY_LIMIT_MIN_TOKENS)
    {
      double target = (double)input->target_us;
      double tbt = high_tbt (concurrency_limit);
      if (tbt > target)
        shrink (concurrency_limit,
                CONCURRENCY_LIMIT_TARGET_SHARE * target / tbt);
      else if (tbt < CONCURRENCY_LIMIT_GROW_BELOW * target)
        grow (concurrency_limit, input,
              concurrency_limit->peak_in_flight * CONCURRENCY_LIMIT_TARGET_SHARE
                  * target / tbt);
    }
  concurrency_limit->limit
      = CLAMP (concurrency_limit->limit, 1, (double)MAX (input->max, 1));
  double limit = concurrency_limit->limit;
  *concurrency_limit = (struct concurrency_limit){ .limit = limit,
                                                   .window_start = input->now };
  return TRUE;
}

/* Returns the limit in whole requests, scaled; from 1 to MAX.  */
guint
concurrency_limit_value (const struct concurrency_limit *concurrency_limit,
                         double scale, guint max)
{
  double value = floor (concurrency_limit->limit * scale);
  return (guint)CLAMP (value, 1, (double)MAX (max, 1));
}
