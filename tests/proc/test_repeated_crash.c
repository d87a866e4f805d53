/* A request that ends each server that begins to run it, sent again and again
   under new ids. If only servers are charged with what breaks, each repeat ends
   the next one, and all callers of the service lose it.  */
#include "proc/repeat_testbed.h"

#define PLAIN .path = "/again/x", .other = "/again/y", .servers = 3
#define ONCE .path = "/once/x", .other = "/once/y", .servers = 3
#define ONE .crashing = 1, .crashing_per_s = 6

SCENARIO_TEST (test_repeatable, "repeatable, three attempts", PLAIN, ONE)
SCENARIO_TEST (test_once, "not repeatable", ONCE, ONE)
SCENARIO_TEST (test_large, "200 kB, half in chunks", ONCE, ONE,
               .body_bytes = 200000)
SCENARIO_TEST (test_three, "three requests, six servers", .path = "/again/x",
               .other = "/again/y", .servers = 6, .crashing = 3,
               .crashing_per_s = 9)
SCENARIO_TEST (test_engines, "streams without parts", .path = "/feed2/x",
               .other = "/feed2/y", .servers = 12, .crashing = 1,
               .crashing_per_s = 12)
SCENARIO_TEST (test_engines_parts, "streams with the same parts",
               .path = "/feed2/x", .other = "/feed2/y",
               .prompt = "first:300,second:40,own:100", .servers = 12,
               .crashing = 1, .crashing_per_s = 12)

static CU_TestInfo tests[] = {
  { "repeatable, three attempts", test_repeatable },
  { "not repeatable", test_once },
  { "long bodies, half in chunks", test_large },
  { "three requests", test_three },
  { "streams without parts", test_engines },
  { "streams with the same parts", test_engines_parts },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "repeated crash", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
