#include "unit/unit.h"

#include "policy/fair_queue.h"

static void
test_idle_time_earns_nothing (void)
{
  struct dfq dfq = { 0 };
  struct dfq_flow busy;
  struct dfq_flow idle;
  dfq_flow_init (&busy, 1);
  dfq_flow_init (&idle, 1);
  for (guint i = 0; i < 100; i++)
    {
      dfq_serve (&dfq, &busy);
      dfq_charge (&busy, 10);
    }
  dfq_wake (&dfq, &idle);
  CU_ASSERT_TRUE (dfq_before (&idle, &busy));
  dfq_charge (&idle, 20);
  CU_ASSERT_TRUE (dfq_before (&busy, &idle));
}

static void
test_debt_outlasts_idling (void)
{
  struct dfq dfq = { 0 };
  struct dfq_flow heavy;
  struct dfq_flow light;
  dfq_flow_init (&heavy, 1);
  dfq_flow_init (&light, 1);
  dfq_charge (&heavy, 1000);
  dfq_wake (&dfq, &heavy);
  dfq_wake (&dfq, &light);
  CU_ASSERT_TRUE (dfq_before (&light, &heavy));
}

static void
test_weight_divides_cost (void)
{
  struct dfq_flow a;
  struct dfq_flow b;
  dfq_flow_init (&a, 1);
  dfq_flow_init (&b, 4);
  dfq_charge (&a, 10);
  dfq_charge (&b, 39);
  CU_ASSERT_TRUE (dfq_before (&b, &a));
  dfq_flow_init (&a, 0);
  CU_ASSERT_TRUE (a.weight > 0);
}

static CU_TestInfo tests[] = {
  { "time spent idle earns nothing", test_idle_time_earns_nothing },
  { "debt outlasts idling", test_debt_outlasts_idling },
  { "a weight divides the cost", test_weight_divides_cost },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "dfq", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
