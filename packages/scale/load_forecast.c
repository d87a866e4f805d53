#include "scale/load_forecast.h"

/* Addresses this load pattern: waves with periods of 11 to 13 s, on which
   bursts of 3 to 10 s are superimposed.  */

/* Covers two periods of the waves. */
#define PEAK_US (30 * CLK_S)
#define SMOOTHED 3 /* samples in a mean */
/* The trend counts above this multiple of the peaks before: a wave that rises
   ends at those, and their heights differ a little. */
#define TREND_FROM 1.1
/* A trend is the start of a burst at most, and bursts end. */
#define TREND_MAX 1.5 /* predicted load as a multiple of the present one */

static const struct load_sample *
sample (const struct load_forecast *forecast, guint back)
{
  return &forecast->samples[(forecast->n - 1 - back) % LOAD_FORECAST_SAMPLES];
}

static guint
n_kept (const struct load_forecast *forecast)
{
  return MIN (forecast->n, LOAD_FORECAST_SAMPLES);
}

/* Adds the load measured at NOW.  */
void
load_forecast_add (struct load_forecast *forecast, double load, gint64 now)
{
  struct load_sample *added
      = &forecast->samples[forecast->n % LOAD_FORECAST_SAMPLES];
  *added = (struct load_sample){ .at = now, .load = load };
  forecast->n++;
  guint n = MIN (n_kept (forecast), SMOOTHED);
  double sum = 0;
  for (guint i = 0; i < n; i++)
    sum += sample (forecast, i)->load;
  added->smooth = sum / n;
}

/* Returns the smoothed load of the last measurements; 0 without any.  */
double
load_forecast_present (const struct load_forecast *forecast)
{
  return forecast->n > 0 ? sample (forecast, 0)->smooth : 0;
}

/* Returns the load that is to be expected AHEAD_US from NOW.  */
double
load_forecast_predict (const struct load_forecast *forecast, gint64 ahead_us,
                       gint64 now)
{
  guint n = n_kept (forecast);
  double present = load_forecast_present (forecast);
  double peak = 0; /* before the last measurements */
  for (guint i = SMOOTHED; i < n; i++)
    if (now - sample (forecast, i)->at <= PEAK_US)
      peak = MAX (peak, sample (forecast, i)->smooth);
  double predicted = MAX (present, peak);
  for (guint i = 1; i < MIN (n, SMOOTHED); i++)
    predicted = MAX (predicted, sample (forecast, i)->smooth);
  if (n <= SMOOTHED || present <= TREND_FROM * peak)
    return predicted;
  const struct load_sample *before = sample (forecast, SMOOTHED);
  gint64 passed = sample (forecast, 0)->at - before->at;
  double rise = MAX (present - before->smooth, 0);
  if (passed <= 0)
    return predicted;
  return MAX (predicted,
              MIN (present + rise * (double)ahead_us / (double)passed,
                   TREND_MAX * present));
}
