#include "base/clock.h"

#include <time.h>

static gint64
system_now (const struct clk *clk)
{
  (void)clk;
  return g_get_monotonic_time ();
}

static gint64
system_wall (const struct clk *clk)
{
  (void)clk;
  return g_get_real_time ();
}

/* Returns the machine's clock; it lives as long as the process.  */
const struct clk *
clk_system (void)
{
  static const struct clk clk = { system_now, system_wall };
  return &clk;
}

static gint64
boottime_now (const struct clk *clk)
{
  struct timespec t;
  (void)clk;
  if (clock_gettime (CLOCK_BOOTTIME, &t) < 0)
    return g_get_monotonic_time ();
  return (gint64)t.tv_sec * CLK_S + t.tv_nsec / 1000;
}

/* Returns the machine's clock that also counts the time in which the machine
   was suspended.  */
const struct clk *
clk_boottime (void)
{
  static const struct clk clk = { boottime_now, system_wall };
  return &clk;
}

static gint64
fake_now (const struct clk *clk)
{
  return ((const struct clk_fake *)clk)->t;
}

static gint64
fake_wall (const struct clk *clk)
{
  const struct clk_fake *fake = (const struct clk_fake *)clk;
  return fake->t + fake->wall_offset;
}

/* Makes FAKE a clock that stands at T microseconds until its owner sets
   another time.  */
void
clk_fake_init (struct clk_fake *fake, gint64 t)
{
  fake->clk.now = fake_now;
  fake->clk.wall = fake_wall;
  fake->t = t;
  fake->wall_offset = G_GINT64_CONSTANT (1700000000) * CLK_S;
}
