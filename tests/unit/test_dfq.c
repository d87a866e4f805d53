#include "unit/unit.h"

#include "policy/fair_queue.h"

static void
test_idle_time_earns_nothing (void)
{
  struct fair_queue fair_queue = { 0 };
  struct fair_queue_flow busy;
  struct fair_queue_flow idle;
  fair_queue_flow_init (&busy, 1);
  fair_queue_flow_init (&idle, 1);
  for (guint i = 0; i < 100; i++)
    {
      fair_queue_serve (&fair_queue, &busy);
      fair_queue_charge (&busy, 10);
    }
  fair_queue_activate (&fair_queue, &idle);
  CU_ASSERT_TRUE (fair_queue_precedes (&idle, &busy));
  fair_queue_charge (&idle, 20);
  CU_ASSERT_TRUE (fair_queue_precedes (&busy, &idle));
}

static void
test_debt_survives_idle_time (void)
{
  struct fair_queue fair_queue = { 0 };
  struct fair_queue_flow heavy;
  struct fair_queue_flow light;
  fair_queue_flow_init (&heavy, 1);
  fair_queue_flow_init (&light, 1);
  fair_queue_charge (&heavy, 1000);
  fair_queue_activate (&fair_queue, &heavy);
  fair_queue_activate (&fair_queue, &light);
  CU_ASSERT_TRUE (fair_queue_precedes (&light, &heavy));
}

static void
test_weight_scales_cost (void)
{
  struct fair_queue_flow a;
  struct fair_queue_flow b;
  fair_queue_flow_init (&a, 1);
  fair_queue_flow_init (&b, 4);
  fair_queue_charge (&a, 10);
  fair_queue_charge (&b, 39);
  CU_ASSERT_TRUE (fair_queue_precedes (&b, &a));
  fair_queue_flow_init (&a, 0);
  CU_ASSERT_TRUE (a.weight > 0);
}

static CU_TestInfo tests[] = {
  { "idle time gives no advantage", test_idle_time_earns_nothing },
  { "charged cost survives idle time", test_debt_survives_idle_time },
  { "cost is divided by the weight", test_weight_scales_cost },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "fair_queue", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
