#include "capacity/fit.h"

#include <math.h>

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
  double slope_error; /* standard error */
};

/* Returns the least-squares line; the error needs at least three points.  */
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

void
fit_print_point (const char *name, guint size, double value, const char *unit)
{
  g_print ("%s_%u %.4g %s\n", name, size, value, unit);
}

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
