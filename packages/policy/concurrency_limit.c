#include "policy/concurrency_limit.h"

#include <math.h>

/* The initial limit: share of the configured maximum, and the minimum.  */
#define LIMITER_START_SHARE 0.5
#define LIMITER_START_MIN 4.0

/* Standard deviations above the mean at which the tbt is compared with its
   target.  */
#define LIMITER_DEVIATIONS 1.5

/* Bounds of the factor by which the limit changes in one window.  */
#define LIMITER_GROWTH_MAX 1.5
#define LIMITER_SHRINK_MAX 0.5

/* Shares of the target: the limit grows if the tbt is below the first, and an
   adjustment aims at the second.  */
#define LIMITER_GROW_BELOW 0.90
#define LIMITER_TARGET_SHARE 0.95

/* Without a target the limit grows only if at least this share of it was in
   use.  */
#define LIMITER_USED_SHARE 0.8

/* With a target, a window with fewer sampled tokens changes nothing.  */
#define LIMITER_MIN_TOKENS 8.0

/* Sets the initial limit. MAX is the configured maximum.  */
void
limiter_init (struct concurrency_limit *concurrency_limit, guint max,
              gint64 now)
{
  *concurrency_limit = (struct concurrency_limit){ .window_start = now };
  concurrency_limit->limit
      = MIN ((double)max, MAX (LIMITER_START_MIN, max * LIMITER_START_SHARE));
}

/* Records the number of requests in flight, for the peak of the window.  */
void
limiter_record_in_flight (struct concurrency_limit *concurrency_limit,
                          guint in_flight)
{
  concurrency_limit->peak_in_flight
      = MAX (concurrency_limit->peak_in_flight, in_flight);
}

/* Adds a mean tbt over TOKENS tokens, measured with IN_FLIGHT requests in
   flight. A value that is not positive is ignored.  */
void
limiter_add_sample (struct concurrency_limit *concurrency_limit, gint64 tbt_us,
                    guint tokens, guint in_flight)
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

/* Estimates the 95th percentile of the mean tbt of requests. The deviation over
   a window overestimates theirs, because requests last longer than a window and
   their means vary less.  */
static double
high_tbt (const struct concurrency_limit *concurrency_limit)
{
  double mean = concurrency_limit->tbt_sum / concurrency_limit->tokens;
  double variance
      = concurrency_limit->tbt_square_sum / concurrency_limit->tokens
        - mean * mean;
  return mean + LIMITER_DEVIATIONS * sqrt (MAX (variance, 0));
}

/* Raises the limit towards AIM requests, unless the engine is saturated.  */
static void
grow (struct concurrency_limit *concurrency_limit,
      const struct limiter_input *input, double aim)
{
  double max_step = MAX (concurrency_limit->limit + 1,
                         concurrency_limit->limit * LIMITER_GROWTH_MAX);
  if (!input->saturated)
    concurrency_limit->limit
        = MAX (concurrency_limit->limit, MIN (aim, max_step));
}

/* Lowers the limit to FACTOR times the number of requests that were in flight.
   With the limit itself as the base, it would be lowered again in each window
   while the requests beyond the new limit drain.  */
static void
shrink (struct concurrency_limit *concurrency_limit, double factor)
{
  double in_flight
      = concurrency_limit->in_flight_sum / concurrency_limit->tokens;
  double aim = in_flight * MAX (factor, LIMITER_SHRINK_MAX);
  concurrency_limit->limit = MIN (concurrency_limit->limit, aim);
}

/* Adjusts the limit at the end of a window and begins the next one. Returns
   FALSE if the window is not over yet.  */
gboolean
limiter_adjust (struct concurrency_limit *concurrency_limit,
                const struct limiter_input *input)
{
  if (input->now - concurrency_limit->window_start < LIMITER_WINDOW_US)
    return FALSE;
  guint value = limiter_value (concurrency_limit, input->scale, input->max);
  if (input->target_us <= 0)
    {
      if (concurrency_limit->peak_in_flight >= value * LIMITER_USED_SHARE)
        grow (concurrency_limit, input, input->max);
    }
  else if (concurrency_limit->tokens >= LIMITER_MIN_TOKENS)
    {
      double target = (double)input->target_us;
      double tbt = high_tbt (concurrency_limit);
      if (tbt > target)
        shrink (concurrency_limit, LIMITER_TARGET_SHARE * target / tbt);
      else if (tbt < LIMITER_GROW_BELOW * target)
        grow (concurrency_limit, input,
              concurrency_limit->peak_in_flight * LIMITER_TARGET_SHARE * target
                  / tbt);
    }
  concurrency_limit->limit
      = CLAMP (concurrency_limit->limit, 1, (double)MAX (input->max, 1));
  double limit = concurrency_limit->limit;
  *concurrency_limit = (struct concurrency_limit){ .limit = limit,
                                                   .window_start = input->now };
  return TRUE;
}

/* Returns the limit times SCALE, rounded down, from 1 to MAX.  */
guint
limiter_value (const struct concurrency_limit *concurrency_limit, double scale,
               guint max)
{
  double value = floor (concurrency_limit->limit * scale);
  return (guint)CLAMP (value, 1, (double)MAX (max, 1));
}
