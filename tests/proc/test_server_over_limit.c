/* A server names the requests a second that it takes from all instances
   together, and gets far more: no instance reads it, or each one takes the
   limit for its own.  */
#include "proc/limit_testbed.h"

static void
test_one (void)
{
  static const struct scenario scenario = {
    .name = "one server", .path = "/feed2/x", .n_limited = 1, .per_s = 1
  };
  check_scenario (&scenario);
}

static void
test_half (void)
{
  static const struct scenario scenario = { .name = "half of the servers",
                                            .path = "/again/x",
                                            .n_limited = SERVERS / 2,
                                            .per_s = 1.3 };
  check_scenario (&scenario);
}

static void
test_all (void)
{
  static const struct scenario scenario = { .name = "all servers",
                                            .path = "/feed2/x",
                                            .n_limited = SERVERS,
                                            .per_s = 1.3 };
  check_scenario (&scenario);
}

static void
test_killed (void)
{
  static const struct scenario scenario
      = { .name = "all servers, instances killed",
          .path = "/feed2/x",
          .n_limited = SERVERS,
          .per_s = 1,
          .kill_ms = 3000 };
  check_scenario (&scenario);
}

static CU_TestInfo tests[] = {
  { "one server", test_one },  { "half of the servers", test_half },
  { "all servers", test_all }, { "all servers, instances killed", test_killed },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "server_over_limit", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
