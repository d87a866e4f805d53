#include "unit/unit.h"

#include "policy/rate_window.h"

/* Starts N times, EVERY microseconds apart. */
static void
starts (struct rte *rte, gint64 *now, guint n, gint64 every, gboolean busy)
{
  for (guint i = 0; i < n; i++)
    {
      *now += every;
      rte_update (rte, *now, busy);
      rte_start (rte);
    }
}

static void
test_drain_needs_waiting_work (void)
{
  struct rte rte;
  gint64 now = 0;
  rte_init (&rte, now);
  starts (&rte, &now, 8, CLK_S, FALSE);
  CU_ASSERT_EQUAL (rte_drain_per_s (&rte), 0);
  CU_ASSERT_TRUE (rte_starts_per_s (&rte) > 0.7);
  rte_update (&rte, now, TRUE);
  starts (&rte, &now, 300, 10 * CLK_MS, TRUE);
  CU_ASSERT_DOUBLE_EQUAL (rte_drain_per_s (&rte), 100, 1);
}

static void
test_window (void)
{
  struct rte rte;
  gint64 now = 0;
  rte_init (&rte, now);
  rte_update (&rte, now, TRUE);
  starts (&rte, &now, 300, 10 * CLK_MS, TRUE);
  starts (&rte, &now, 100, 100 * CLK_MS, TRUE);
  CU_ASSERT_DOUBLE_EQUAL (rte_drain_per_s (&rte), 10, 0.5);
  now += 60 * CLK_S;
  rte_update (&rte, now, FALSE);
  CU_ASSERT_EQUAL (rte_drain_per_s (&rte), 0);
  CU_ASSERT_EQUAL (rte_starts_per_s (&rte), 0);
}

static CU_TestInfo tests[] = {
  { "the drain rate needs waiting work", test_drain_needs_waiting_work },
  { "the window slides", test_window },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "rte", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
