#include "policy/concurrency_limit.h"

#include <math.h>

#define LIM_START_SHARE 0.5 /* of the hard limit */
#define LIM_START_MIN 4.0
#define LIM_DEVIATIONS 1.5 /* above the mean: a request outlasts a window */
#define LIM_GROWTH_MAX 1.5 /* factor per window */
#define LIM_SHRINK_MAX 0.5 /* factor per window */
#define LIM_LOW 0.90       /* of the target: below it the limit grows */
#define LIM_AIM 0.95       /* of the target: where adjustments lead */
#define LIM_USED 0.8       /* share of the limit in use that allows growth */
#define LIM_SAMPLE_MIN 8.0 /* tokens that make a window count */

/* Starts at half the hard limit MAX.  */
void
lim_init (struct lim *lim, guint max, gint64 now)
{
  *lim = (struct lim){ .window_start = now };
  lim->limit = MIN ((double)max, MAX (LIM_START_MIN, max * LIM_START_SHARE));
}

/* Notes that IN_FLIGHT requests are in flight.  */
void
lim_count (struct lim *lim, guint in_flight)
{
  lim->peak = MAX (lim->peak, in_flight);
}

/* Takes a mean of TBT_US over TOKENS tokens, seen with IN_FLIGHT requests in
   flight.  */
void
lim_sample (struct lim *lim, gint64 tbt_us, guint tokens, guint in_flight)
{
  double weight = MAX (tokens, 1);
  double tbt = (double)tbt_us;
  if (tbt_us <= 0)
    return;
  lim->weight += weight;
  lim->sum += tbt * weight;
  lim->sum_squares += tbt * tbt * weight;
  lim->sum_in_flight += in_flight * weight;
}

/* Estimate of the tbt that 95 in 100 requests stay below: their own means
   vary less than the means over a window.  */
static double
high_tbt (const struct lim *lim)
{
  double mean = lim->sum / lim->weight;
  double variance = lim->sum_squares / lim->weight - mean * mean;
  return mean + LIM_DEVIATIONS * sqrt (MAX (variance, 0));
}

/* Grows towards AIM requests.  */
static void
grow (struct lim *lim, const struct lim_state *state, double aim)
{
  double most = MAX (lim->limit + 1, lim->limit * LIM_GROWTH_MAX);
  if (!state->pressed)
    lim->limit = MAX (lim->limit, MIN (aim, most));
}

/* Shrinks towards what the requests in flight bore, so that a limit below
   the number in flight is not lowered again while that number drains.  */
static void
shrink (struct lim *lim, double factor)
{
  double in_flight = lim->sum_in_flight / lim->weight;
  double aim = in_flight * MAX (factor, LIM_SHRINK_MAX);
  lim->limit = MIN (lim->limit, aim);
}

/* Adjusts the limit once a window is over. Returns TRUE if it was.  */
gboolean
lim_adjust (struct lim *lim, const struct lim_state *state)
{
  if (state->now - lim->window_start < LIM_WINDOW_US)
    return FALSE;
  guint value = lim_value (lim, state->scale, state->max);
  if (state->target_us <= 0)
    {
      if (lim->peak >= value * LIM_USED)
        grow (lim, state, state->max);
    }
  else if (lim->weight >= LIM_SAMPLE_MIN)
    {
      double target = (double)state->target_us;
      double tbt = high_tbt (lim);
      if (tbt > target)
        shrink (lim, LIM_AIM * target / tbt);
      else if (tbt < LIM_LOW * target)
        grow (lim, state, lim->peak * LIM_AIM * target / tbt);
    }
  lim->limit = CLAMP (lim->limit, 1, (double)MAX (state->max, 1));
  double limit = lim->limit;
  *lim = (struct lim){ .limit = limit, .window_start = state->now };
  return TRUE;
}

/* Returns the limit in whole requests, scaled; from 1 to MAX.  */
guint
lim_value (const struct lim *lim, double scale, guint max)
{
  double value = floor (lim->limit * scale);
  return (guint)CLAMP (value, 1, (double)MAX (max, 1));
}
