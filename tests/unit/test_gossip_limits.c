/* What instances tell each other of the limits that servers name. An instance
   that has not had a response lately would go on as if there were none, or keep
   to one that has ended.  */
#include "unit/gossip_world.h"
#include "unit/unit.h"

static struct registry_server *
server_of (guint node, guint server)
{
  char id[16];
  g_snprintf (id, sizeof id, "e-%u", server);
  return registry_find (net.nodes[node].registry, id);
}

/* Lets SERVER name PER_S to NODE, in response to a request that was sent AGE_US
   ago.  */
static void
name_limit (guint node, guint server, double per_s, gint64 age_us)
{
  const struct server_limit_report report = { .per_s = per_s,
                                              .after = net.now - age_us,
                                              .before = net.now,
                                              .source = SERVER_LIMIT_OWN };
  registry_report_limit (server_of (node, server), &report, "r-1", net.now);
}

/* Returns how many instances know that SERVER takes PER_S.  */
static guint
count_informed (guint server, double per_s)
{
  guint n = 0;
  for (guint i = 0; i < net.n; i++)
    n += server_of (i, server)->limit.report.per_s == per_s;
  return n;
}

static void
test_small_fleet (void)
{
  start (7, 3, 1);
  step (2 * CLK_S);
  name_limit (0, 0, 1.3, 20 * CLK_MS);
  step (CLK_S);
  CU_ASSERT_EQUAL (count_informed (0, 1.3), 7);
  CU_ASSERT_EQUAL (count_informed (1, 0), 7);
  name_limit (3, 0, 0, 20 * CLK_MS);
  step (CLK_S);
  CU_ASSERT_EQUAL (count_informed (0, 0), 7);
  CU_ASSERT_EQUAL (net.undecodable, 0);
  stop ();
}

/* The stated time: within the four seconds after which the rule holds.  */
static void
test_large_fleet (void)
{
  start (60, 6, 1);
  step (10 * CLK_S);
  name_limit (17, 0, 2.5, 20 * CLK_MS);
  step (4 * CLK_S);
  CU_ASSERT_EQUAL (count_informed (0, 2.5), 60);
  name_limit (44, 0, 0, 20 * CLK_MS);
  step (6 * CLK_S);
  CU_ASSERT_EQUAL (count_informed (0, 0), 60);
  stop ();
}

/* News of a peer that is older than what the server has said here changes
   nothing, also if it is told again.  */
static void
test_old_news (void)
{
  start (7, 3, 1);
  step (2 * CLK_S);
  name_limit (1, 0, 1, 20 * CLK_MS);
  step (2 * CLK_S);
  for (guint i = 0; i < 7; i++)
    if (i != 1)
      name_limit (i, 0, 0, 20 * CLK_MS);
  for (guint i = 0; i < 20; i++)
    {
      step (100 * CLK_MS);
      CU_ASSERT_TRUE (count_informed (0, 0) >= 6);
    }
  CU_ASSERT_EQUAL (count_informed (0, 0), 7);
  stop ();
}

/* A response that may be older than the limit does not end it anywhere.  */
static void
test_slow_response (void)
{
  start (7, 3, 1);
  step (4 * CLK_S);
  name_limit (0, 0, 1, 20 * CLK_MS);
  step (CLK_S);
  name_limit (2, 0, 0, 2 * CLK_S);
  step (2 * CLK_S);
  CU_ASSERT_EQUAL (count_informed (0, 1), 7);
  stop ();
}

/* Messages get lost, and many servers name limits.  */
static void
test_many_limits (void)
{
  net.servers = 0;
  start (7, 3, 1);
  net.loss = 0.3;
  step (2 * CLK_S);
  for (guint s = 0; s < 2; s++)
    name_limit (s, s, 1 + s, 20 * CLK_MS);
  step (3 * CLK_S);
  CU_ASSERT_EQUAL (count_informed (0, 1), 7);
  CU_ASSERT_EQUAL (count_informed (1, 2), 7);
  stop ();
}

/* Lets SERVER say to NODE that it is brittle.  */
static void
say_brittle (guint node, guint server)
{
  const struct server_limit_report report = { .per_s = 4,
                                              .after = net.now - 20 * CLK_MS,
                                              .before = net.now,
                                              .source = SERVER_LIMIT_OWN };
  registry_report_brittle (server_of (node, server), &report, "r-1", net.now);
}

/* Returns how many instances know that SERVER is brittle with ROOM.  */
static guint
count_room (guint server, guint room)
{
  guint n = 0;
  for (guint i = 0; i < net.n; i++)
    n += server_of (i, server)->brittle.report.per_s == 4
         && server_of (i, server)->brittle_share.room == room;
  return n;
}

static void
check_brittle (guint n, guint domains, gint64 us)
{
  start (n, domains, 1);
  step (10 * CLK_S);
  say_brittle (1, 0);
  step (us);
  registry_brittle_full (server_of (1, 0), 4, TRUE, net.now);
  gint64 full_at = net.now;
  step (us);
  CU_ASSERT_EQUAL (count_room (0, 3), n);
  step (10 * CLK_S);
  /* Nobody takes the same rejection for a new one. */
  for (guint i = 0; i < n; i++)
    CU_ASSERT_TRUE (server_of (i, 0)->brittle_share.full_at <= full_at + CLK_S);
  CU_ASSERT_EQUAL (count_room (0, 3), n);
  stop ();
}

static void
test_brittle (void)
{
  check_brittle (7, 3, CLK_S);
  check_brittle (60, 6, 4 * CLK_S);
}

static CU_TestInfo tests[] = {
  { "seven instances", test_small_fleet },
  { "sixty instances", test_large_fleet },
  { "old news", test_old_news },
  { "a slow response", test_slow_response },
  { "messages lost", test_many_limits },
  { "brittle servers", test_brittle },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gossip_limits", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
