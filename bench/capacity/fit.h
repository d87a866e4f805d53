/* Least-squares lines through measured points, and the lines of output.  */
#ifndef FIT_H
#define FIT_H

#include <glib.h>

#define FIT_POINTS_MAX 16

/* The measured points (x, y) of one fit. */
struct fit
{
  double x[FIT_POINTS_MAX];
  double y[FIT_POINTS_MAX];
  guint n;
};

/* The target size of a deployment, as used in docs/CAPACITY.md. */
#define TARGET_NODES 390
#define TARGET_DOMAINS 11
#define TARGET_DOMAIN_NODES 36 /* nodes of one failure domain */
#define TARGET_BACKENDS 680
#define TARGET_TEAMS 260
#define TARGET_CHANGES_PER_DAY 390
#define TARGET_REQUESTS_PER_S (5500.0 / TARGET_NODES)  /* per node */
#define TARGET_TOKENS_PER_S (2500000.0 / TARGET_NODES) /* per node */
#define DAY_S 86400.0

/* Adds a point, of which there can be FIT_POINTS_MAX. */
void fit_add (struct fit *fit, double x, double y);
/* Returns the value of the fitted line at X. */
double fit_at (const struct fit *fit, double x);
/* Prints the slope in UNIT per PER, its standard error ("spread"), the
   intercept ("base") and the value at TARGET. */
void fit_print (const struct fit *fit, const char *name, const char *unit,
                const char *per, double target);
void fit_print_value (const char *name, double value, const char *unit);
/* Prints the value of NAME measured at SIZE. */
void fit_print_point (const char *name, guint size, double value,
                      const char *unit);

#endif
