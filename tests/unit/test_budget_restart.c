/* The retry budget when all instances start again within a window. What they
   have used before is forgotten; if it is used once more, a service gets more
   retries than all of them together may send.  */
#include "unit/unit.h"

#include "sched/retry_budget.h"

#define INSTANCES 7
#define SLACK 54

/* Uses up what the instances may retry at NOW, when they have just started.
   Returns how much that is.  */
static guint
use_up (gint64 now)
{
  const struct retry_budget_options options
      = { .ratio = 0.2, .slack = SLACK, .window_us = 10 * CLK_S };
  guint retries = 0;
  for (guint i = 0; i < INSTANCES; i++)
    {
      struct retry_budget budget;
      retry_budget_init (&budget, &options, now);
      for (; retry_budget_allows (&budget, INSTANCES, now); retries++)
        retry_budget_count_retry (&budget, now);
    }
  return retries;
}

static void
test_restart (void)
{
  guint before = use_up (100 * CLK_S);
  guint after = use_up (101 * CLK_S);
  g_print ("%u retries before and %u after, %d allowed in a window; ", before,
           after, SLACK);
  CU_ASSERT_TRUE (before + after <= SLACK);
}

static CU_TestInfo tests[] = {
  { "all instances start again within a window", test_restart },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "retry budget after a restart", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
