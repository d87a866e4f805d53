/* Repeated requests at other rates, and servers whose end looks otherwise: what
   is seen of a crash must lead to the request, and a connection that only one
   request loses must not.  */
#include "proc/repeat_testbed.h"

#define PLAIN .path = "/again/x", .other = "/again/y", .servers = 3
#define ONE .crashing = 1, .crashing_per_s = 6

SCENARIO_TEST (test_often, "60 a second", PLAIN, .crashing = 1,
               .crashing_per_s = 60)
SCENARIO_TEST (test_seldom, "once a second", PLAIN, .crashing = 1,
               .crashing_per_s = 1)
SCENARIO_TEST (test_one_instance, "at one instance", PLAIN, ONE,
               .same_instance = TRUE)
SCENARIO_TEST (test_inside, "ends inside the response", PLAIN, ONE,
               .kind = CRASH_ENDS_INSIDE)
SCENARIO_TEST (test_slowly, "ends after 2 s", PLAIN, .crashing = 1,
               .crashing_per_s = 2, .end_min_ms = 1800, .end_max_ms = 2200)
SCENARIO_TEST (test_quickly_back, "back within 100 ms", PLAIN, ONE,
               .back_min_ms = 60, .back_max_ms = 100)
SCENARIO_TEST (test_resets, "resets the connection only", PLAIN, ONE,
               .kind = CRASH_RESETS)

static CU_TestInfo tests[] = {
  { "60 a second", test_often },
  { "once a second", test_seldom },
  { "at one instance", test_one_instance },
  { "ends inside the response", test_inside },
  { "ends after 2 s", test_slowly },
  { "back within 100 ms", test_quickly_back },
  { "resets the connection only", test_resets },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "repeated, evidence", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
