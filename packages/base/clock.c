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

/* Returns the system's monotonic and real-time clock, which has static
   lifetime.  */
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

/* Like clk_system, but monotonic time also advances while the machine is
   suspended.  */
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

/* Initializes FAKE with monotonic time T in microseconds. The wall clock starts
   in November 2023.  */
void
clk_fake_init (struct clk_fake *fake, gint64 t)
{
  fake->clk.now = fake_now;
  fake->clk.wall = fake_wall;
  fake->t = t;
  fake->wall_offset = G_GINT64_CONSTANT (1700000000) * CLK_S;
}
