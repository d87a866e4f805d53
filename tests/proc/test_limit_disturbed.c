/* Limits of servers that change while they are named, and instances that are
   frozen meanwhile: a share of the former limit, or what was saved up while an
   instance stood still, would be sent on top.  */
#include "proc/limit_testbed.h"

static void
test_falls (void)
{
  static const struct scenario scenario = { .name = "half, 2.5 and then 0.3",
                                            .path = "/once/x",
                                            .n_limited = SERVERS / 2,
                                            .per_s = 2.5,
                                            .later_per_s = 0.3 };
  check_scenario (&scenario);
}

static void
test_rises (void)
{
  static const struct scenario scenario = { .name = "all, 1 and then 40",
                                            .path = "/again/x",
                                            .n_limited = SERVERS,
                                            .per_s = 1,
                                            .later_per_s = 40 };
  check_scenario (&scenario);
}

static void
test_frozen (void)
{
  static const struct scenario scenario
      = { .name = "all servers, instances frozen",
          .path = "/feed2/x",
          .n_limited = SERVERS,
          .per_s = 1.3,
          .freeze_ms = 2500 };
  check_scenario (&scenario);
}

static CU_TestInfo tests[] = {
  { "a limit that falls", test_falls },
  { "a limit that rises", test_rises },
  { "instances are frozen", test_frozen },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "limit_disturbed", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
