#include "capacity/fit.h"

#include <math.h>

/* Adds a point; the caller keeps to FIT_POINTS_MAX.  */
void
fit_add (struct fit *fit, double x, double y)
{
  g_assert (fit->n < FIT_POINTS_MAX);
  fit->x[fit->n] = x;
  fit->y[fit->n++] = y;
}

struct line
{
  double base;
  double slope;
  double slope_error; /* standard error of the slope */
};

/* Returns the line of least squares.  */
static struct line
least_squares (const struct fit *fit)
{
  double mx = 0, my = 0, sxx = 0, sxy = 0, residual = 0;
  for (guint i = 0; i < fit->n; i++)
    {
      mx += fit->x[i] / fit->n;
      my += fit->y[i] / fit->n;
    }
  for (guint i = 0; i < fit->n; i++)
    {
      sxx += (fit->x[i] - mx) * (fit->x[i] - mx);
      sxy += (fit->x[i] - mx) * (fit->y[i] - my);
    }
  struct line line = { .slope = sxx > 0 ? sxy / sxx : 0 };
  line.base = my - line.slope * mx;
  for (guint i = 0; i < fit->n; i++)
    {
      double deviation = fit->y[i] - line.base - line.slope * fit->x[i];
      residual += deviation * deviation;
    }
  if (fit->n > 2 && sxx > 0)
    line.slope_error = sqrt (residual / (fit->n - 2) / sxx);
  return line;
}

/* Returns the value of the fitted line at X.  */
double
fit_at (const struct fit *fit, double x)
{
  struct line line = least_squares (fit);
  return line.base + line.slope * x;
}

void
fit_print_value (const char *name, double value, const char *unit)
{
  g_print ("%s %.4g %s\n", name, value, unit);
}

/* Prints a value of NAME measured at SIZE.  */
void
fit_print_point (const char *name, guint size, double value, const char *unit)
{
  g_print ("%s_%u %.4g %s\n", name, size, value, unit);
}

/* Prints the slope, its standard error, the base and the value at TARGET.  */
void
fit_print (const struct fit *fit, const char *name, const char *unit,
           const char *per, double target)
{
  struct line line = least_squares (fit);
  g_print ("%s_slope %.4g %s/%s\n", name, line.slope, unit, per);
  g_print ("%s_spread %.2g %s/%s\n", name, line.slope_error, unit, per);
  g_print ("%s_base %.4g %s\n", name, line.base, unit);
  g_print ("%s_target %.4g %s\n", name, line.base + line.slope * target, unit);
}
