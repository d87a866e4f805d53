/* Predicts a load that comes in waves: the largest one of the last seconds, or
   the present one with its trend.  */
#ifndef LOAD_FORECAST_H
#define LOAD_FORECAST_H

#include "base/clock.h"

#define LOAD_FORECAST_SAMPLES 32

struct load_sample
{
  gint64 at;     /* clock time */
  double load;   /* as measured */
  double smooth; /* mean of the last measurements */
};

struct load_forecast
{
  struct load_sample samples[LOAD_FORECAST_SAMPLES];
  guint n; /* added in total; the next goes to n % LOAD_FORECAST_SAMPLES */
};

void load_forecast_add (struct load_forecast *forecast, double load,
                        gint64 now);
double load_forecast_present (const struct load_forecast *forecast);
double load_forecast_predict (const struct load_forecast *forecast,
                              gint64 ahead_us, gint64 now);

#endif
