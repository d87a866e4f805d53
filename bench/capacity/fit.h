/* Straight lines through measured points, and the bench's lines of output.  */
#ifndef FIT_H
#define FIT_H

#include <glib.h>

#define FIT_POINTS_MAX 16

struct fit
{
  double x[FIT_POINTS_MAX];
  double y[FIT_POINTS_MAX];
  guint n;
};

/* The size for which the page is worked out. */
#define TARGET_NODES 390
#define TARGET_DOMAINS 11
#define TARGET_DOMAIN_NODES 36
#define TARGET_BACKENDS 680
#define TARGET_TEAMS 260
#define TARGET_CHANGES_PER_DAY 390
#define TARGET_REQUESTS_PER_S (5500.0 / TARGET_NODES)  /* a node */
#define TARGET_TOKENS_PER_S (2500000.0 / TARGET_NODES) /* a node */
#define DAY_S 86400.0

void fit_add (struct fit *fit, double x, double y);
double fit_at (const struct fit *fit, double x);
void fit_print (const struct fit *fit, const char *name, const char *unit,
                const char *per, double target);
void fit_print_value (const char *name, double value, const char *unit);
void fit_print_point (const char *name, guint size, double value,
                      const char *unit);

#endif
