/* A part of a prompt that ends each server which begins to write on it,
   whatever else the request holds. Without a memory of what the requests of
   different crashes shared, the clients' requests take it from server to server
   until hardly one is left.  */
#include "proc/crash_testbed.h"

static void
test_second_of_three (void)
{
  static const struct scenario scenario = { .path = "/feed1/x",
                                            .middle = "first:300,",
                                            .parts = 1,
                                            .crashing_per_s = CRASHING_PER_S };
  check_scenario (&scenario);
}

static void
test_first_part (void)
{
  static const struct scenario scenario = { .path = "/feed3/x",
                                            .middle = "",
                                            .parts = 1,
                                            .crashing_per_s = CRASHING_PER_S };
  check_scenario (&scenario);
}

static void
test_ninth_part (void)
{
  static const struct scenario scenario
      = { .path = "/feed2/x",
          .middle = "p1:40,p2:40,p3:40,p4:40,p5:40,p6:40,p7:40,p8:40,",
          .parts = 1,
          .crashing_per_s = CRASHING_PER_S };
  check_scenario (&scenario);
}

static void
test_two_parts (void)
{
  static const struct scenario scenario = { .path = "/feed3/x",
                                            .middle = "first:300,",
                                            .parts = 2,
                                            .crashing_per_s = CRASHING_PER_S };
  check_scenario (&scenario);
}

static void
test_plain (void)
{
  static const struct scenario scenario = { .path = "/again/x",
                                            .middle = "first:300,",
                                            .parts = 1,
                                            .plain = TRUE,
                                            .crashing_per_s = CRASHING_PER_S };
  check_scenario (&scenario);
}

static void
test_plain_once (void)
{
  static const struct scenario scenario = { .path = "/once/x",
                                            .middle = "first:300,",
                                            .parts = 1,
                                            .plain = TRUE,
                                            .crashing_per_s = CRASHING_PER_S };
  check_scenario (&scenario);
}

static CU_TestInfo tests[] = {
  { "in second place of three", test_second_of_three },
  { "in first place, three attempts", test_first_part },
  { "in ninth place", test_ninth_part },
  { "two parts at once", test_two_parts },
  { "no stream, three attempts", test_plain },
  { "no stream, not idempotent", test_plain_once },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "crash_spread", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
