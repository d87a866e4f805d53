/* The age of the list of servers, as instances tell it each other. If it grew
   more slowly than time, because each message adds a little to the time at
   which the list was read, the instances would take an old list for new while
   nobody can read it, and send requests to servers that have left.  */
#include "unit/gossip_world.h"
#include "unit/unit.h"

#define UNREAD_US (4 * CLK_S)
#define ERROR_US (CLK_S / 2) /* by which an age may be too low */

/* Advances the clock; each instance tells the time at which it believes the
   list to have been read.  */
static void
run_for (gint64 us)
{
  for (gint64 end = net.now + us; net.now < end;)
    {
      for (guint i = 0; i < net.n; i++)
        if (net.nodes[i].list_read_at != 0)
          net.nodes[i].state.server_list_age_us
              = net.now - net.nodes[i].list_read_at;
      step (STEP_US);
    }
}

/* Lets instance 0 read the list for a while, and then nobody.  */
static void
check_age (guint n, guint domains, gint64 delay_max, gint64 spread_us)
{
  start (n, domains, 1);
  net.delay_max = delay_max;
  for (guint i = 0; i < 60; i++)
    {
      net.nodes[0].list_read_at = net.now;
      run_for (100 * CLK_MS);
    }
  gint64 read_at = net.nodes[0].list_read_at;
  for (guint i = 0; i < n; i++)
    CU_ASSERT_TRUE (net.now - net.nodes[i].list_read_at <= spread_us);
  run_for (UNREAD_US);
  for (guint i = 0; i < n; i++)
    CU_ASSERT_TRUE (net.nodes[i].list_read_at <= read_at + ERROR_US);
  stop ();
}

static void
test_small_fleet (void)
{
  check_age (7, 3, 60 * CLK_MS, CLK_S);
}

static void
test_slow_network (void)
{
  check_age (7, 3, 90 * CLK_MS, CLK_S);
}

static void
test_large_fleet (void)
{
  check_age (60, 6, 60 * CLK_MS, 4 * CLK_S);
}

/* Messages wait at instances that have too little of a core.  */
static void
test_starved_instances (void)
{
  check_age (7, 3, 250 * CLK_MS, 2 * CLK_S);
  check_age (7, 3, 450 * CLK_MS, 2 * CLK_S);
}

static void
test_starved_large_fleet (void)
{
  check_age (60, 6, 300 * CLK_MS, 5 * CLK_S);
}

/* An instance that was frozen handles messages that were sent before.  */
static void
test_resumed (void)
{
  start (7, 3, 1);
  for (guint i = 0; i < 40; i++)
    {
      net.nodes[0].list_read_at = net.now;
      run_for (100 * CLK_MS);
    }
  gint64 read_at = net.nodes[0].list_read_at;
  net.delay_max = 0;
  net.held = TRUE;
  run_for (3 * CLK_S);
  net.held = FALSE;
  run_for (CLK_S);
  for (guint i = 0; i < 7; i++)
    CU_ASSERT_TRUE (net.nodes[i].list_read_at <= read_at + ERROR_US);
  stop ();
}

static CU_TestInfo tests[] = {
  { "seven instances", test_small_fleet },
  { "a slow network", test_slow_network },
  { "sixty instances", test_large_fleet },
  { "starved instances", test_starved_instances },
  { "sixty starved instances", test_starved_large_fleet },
  { "messages held back", test_resumed },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gossip_list_age", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
