/* Repeated requests beside other faults. One that ends servers must be held
   whatever else fails; one that is sound must not be held for crashes of
   chance.  */
#include "proc/repeat_testbed.h"

#define PLAIN .path = "/again/x", .other = "/again/y", .servers = 3
#define ONE .crashing = 1, .crashing_per_s = 6

SCENARIO_TEST (test_killed, "an instance killed every 3 s", PLAIN, ONE,
               .kill_ms = 3000)
SCENARIO_TEST (test_beside_chance, "servers end by chance too",
               .path = "/again/x", .other = "/again/y", .servers = 6, ONE,
               .chance_ms = 1500)
SCENARIO_TEST (test_chance, "servers end by chance only", PLAIN,
               .chance_ms = 1500)

static CU_TestInfo tests[] = {
  { "an instance killed every 3 s", test_killed },
  { "servers end by chance too", test_beside_chance },
  { "servers end by chance only", test_chance },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "repeated, disturbed", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
