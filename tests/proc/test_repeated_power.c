/* All instances lose what they know of a request that ends servers, while it
   comes again and again: what was learned once must not be paid for twice.  */
#include "proc/repeat_testbed.h"

SCENARIO_TEST (test_power, "all instances killed half way", .path = "/again/x",
               .other = "/again/y", .servers = 3, .crashing = 1,
               .crashing_per_s = 6, .power = TRUE)

static CU_TestInfo tests[] = {
  { "all instances killed half way", test_power },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "repeated, power", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
