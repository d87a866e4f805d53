/* All instances lose what they know of a request that ends servers, while it
   comes again and again: what was learned once must not be paid for twice.  */
#include "proc/repeat_testbed.h"

SCENARIO_TEST (test_power, "all instances killed half way", .path = "/again/x",
               .other = "/again/y", .servers = 3, .crashing = 1,
               .crashing_per_s = 6, .power = TRUE)

SCENARIO_TEST (test_plain_twice, "all instances lose power twice",
               .path = "/again/x", .other = "/again/y", .servers = 3,
               .crashing = 1, .crashing_per_s = 6,
               .losses = { .at_ms = { 5000, 10000 } })

SCENARIO_TEST (test_streams_twice, "streams, all lose power twice",
               .path = "/feed1/x", .other = "/feed1/y", .servers = 12,
               .crashing = 1, .crashing_per_s = 12,
               .losses = { .at_ms = { 5000, 10000 } })

SCENARIO_TEST (test_two_thrice, "two such requests, all lose power three times",
               .path = "/again/x", .other = "/again/y", .servers = 6,
               .crashing = 2, .crashing_per_s = 12,
               .losses = { .at_ms = { 3000, 7000, 11000 } })

/* The first crashes cannot be saved before the store is back.  */
SCENARIO_TEST (test_store_away, "the store away before each loss",
               .path = "/again/x", .other = "/again/y", .servers = 3,
               .crashing = 1, .crashing_per_s = 6,
               .losses = { .at_ms = { 5000, 11000 }, .store_away_ms = 4000 })

/* The losses come while the request is still being found out.  */
SCENARIO_TEST (test_early, "all instances lose power again and again at first",
               .path = "/again/x", .other = "/again/y", .servers = 6,
               .crashing = 1, .crashing_per_s = 6,
               .losses = { .at_ms = { 300, 2500, 4700, 6900, 9100 } })

static CU_TestInfo tests[] = {
  { "all instances killed half way", test_power },
  { "all instances lose power twice", test_plain_twice },
  { "streams", test_streams_twice },
  { "two such requests, three losses", test_two_thrice },
  { "the store away before each loss", test_store_away },
  { "five losses from the first crash on", test_early },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "repeated, power", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
