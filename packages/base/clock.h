/* Clock interface, in microseconds as gint64. Core packages read time only
   through it, so that tests can set the time.  */
#ifndef CLOCK_H
#define CLOCK_H

#include <glib.h>

#define CLK_MS G_GINT64_CONSTANT (1000)   /* microseconds */
#define CLK_S G_GINT64_CONSTANT (1000000) /* microseconds */

struct clk
{
  gint64 (*now) (const struct clk *clk);  /* monotonic, microseconds */
  gint64 (*wall) (const struct clk *clk); /* since 1970 UTC, microseconds */
};

/* A clock for tests and simulations: time advances only when its owner sets it.
 */
struct clk_fake
{
  struct clk clk;
  gint64 t;           /* current monotonic time, microseconds */
  gint64 wall_offset; /* wall minus monotonic, microseconds */
};

const struct clk *clk_system (void);
const struct clk *clk_boottime (void);
void clk_fake_init (struct clk_fake *fake, gint64 t);

static inline gint64
clk_now (const struct clk *clk)
{
  return clk->now (clk);
}

static inline gint64
clk_wall (const struct clk *clk)
{
  return clk->wall (clk);
}

#endif
