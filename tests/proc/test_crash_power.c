/* All instances lose what they know of a part of a prompt that ends servers:
   what was learned once must not be paid for again.  */
#include "proc/crash_testbed.h"

static void
test_twice (void)
{
  static const struct scenario scenario
      = { .path = "/feed1/x",
          .middle = "first:300,",
          .parts = 1,
          .crashing_per_s = CRASHING_PER_S,
          .losses = { .at_ms = { 4000, 9000 } } };
  check_scenario (&scenario);
}

static void
test_store_away (void)
{
  static const struct scenario scenario
      = { .path = "/feed1/x",
          .middle = "first:300,",
          .parts = 1,
          .crashing_per_s = CRASHING_PER_S,
          .losses = { .at_ms = { 4500, 10000 }, .store_away_ms = 4000 } };
  check_scenario (&scenario);
}

static CU_TestInfo tests[] = {
  { "all instances lose power twice", test_twice },
  { "the store away before each loss", test_store_away },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "crash_power", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
