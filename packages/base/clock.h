/* The clock interface. All time in the core comes through it, in
   microseconds as gint64.  */
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

/* A clock that only moves when its owner sets it. */
struct clk_fake
{
  struct clk clk;
  gint64 t;           /* monotonic, microseconds */
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
