/* Parts of prompts that end servers, beside other faults. A part that is sound
   must not be held for crashes of chance, and one that is not must be held
   though the instances that know of it are killed.  */
#include "proc/crash_testbed.h"

static void
test_seldom (void)
{
  static const struct scenario scenario = {
    .path = "/feed1/x", .middle = "first:300,", .parts = 1, .crashing_per_s = 1
  };
  check_scenario (&scenario);
}

static void
test_turns (void)
{
  static const struct scenario scenario = { .path = "/feed2/x",
                                            .middle = "first:300,",
                                            .parts = 1,
                                            .crashing_per_s = CRASHING_PER_S,
                                            .turns = TRUE };
  check_scenario (&scenario);
}

static void
test_instances_killed (void)
{
  static const struct scenario scenario = { .path = "/feed1/x",
                                            .middle = "first:300,",
                                            .parts = 1,
                                            .crashing_per_s = CRASHING_PER_S,
                                            .kill_ms = 3000 };
  check_scenario (&scenario);
}

/* Servers that end by chance: no part is held.  */
static void
test_innocent (void)
{
  static const struct scenario scenario = {
    .path = "/feed2/x", .middle = "first:300,", .parts = 1, .end_ms = 400
  };
  check_scenario (&scenario);
}

static CU_TestInfo tests[] = {
  { "once a second", test_seldom },
  { "a part that was sound before", test_turns },
  { "instances killed meanwhile", test_instances_killed },
  { "servers that end by chance", test_innocent },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "crash_suspects", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
