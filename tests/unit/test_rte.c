#include "unit/unit.h"

#include "policy/rate_window.h"

/* Adds N starts at intervals of INTERVAL_US. */
static void
add_starts (struct rate_window *rate_window, gint64 *now, guint n,
            gint64 interval_us, gboolean backlogged)
{
  for (guint i = 0; i < n; i++)
    {
      *now += interval_us;
      rate_window_update (rate_window, *now, backlogged);
      rate_window_add_start (rate_window);
    }
}

static void
test_drain_rate_needs_backlog (void)
{
  struct rate_window rate_window;
  gint64 now = 0;
  rate_window_init (&rate_window, now);
  add_starts (&rate_window, &now, 8, CLK_S, FALSE);
  CU_ASSERT_EQUAL (rate_window_drain_per_s (&rate_window), 0);
  CU_ASSERT_TRUE (rate_window_starts_per_s (&rate_window) > 0.7);
  rate_window_update (&rate_window, now, TRUE);
  add_starts (&rate_window, &now, 300, 10 * CLK_MS, TRUE);
  CU_ASSERT_DOUBLE_EQUAL (rate_window_drain_per_s (&rate_window), 100, 1);
}

static void
test_window (void)
{
  struct rate_window rate_window;
  gint64 now = 0;
  rate_window_init (&rate_window, now);
  rate_window_update (&rate_window, now, TRUE);
  add_starts (&rate_window, &now, 300, 10 * CLK_MS, TRUE);
  add_starts (&rate_window, &now, 100, 100 * CLK_MS, TRUE);
  CU_ASSERT_DOUBLE_EQUAL (rate_window_drain_per_s (&rate_window), 10, 0.5);
  now += 60 * CLK_S;
  rate_window_update (&rate_window, now, FALSE);
  CU_ASSERT_EQUAL (rate_window_drain_per_s (&rate_window), 0);
  CU_ASSERT_EQUAL (rate_window_starts_per_s (&rate_window), 0);
}

static CU_TestInfo tests[] = {
  { "drain rate counts backlogged time only", test_drain_rate_needs_backlog },
  { "the window slides", test_window },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "rate_window", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
