/* When an instance takes itself for cut off from all servers. If it did so
   wrongly, it would burden others; too late, its clients would wait for
   time-outs.  */
#include "policy/server_reach.h"
#include "unit/unit.h"

#define SERVERS 12

static void
test_cut_off (void)
{
  struct server_reach reach = { 0 };
  server_reach_accepted (&reach, CLK_S);
  server_reach_failed (&reach, 1, 2 * CLK_S);
  server_reach_failed (&reach, 1, 3 * CLK_S);
  CU_ASSERT_FALSE (server_reach_is_doubtful (&reach));
  CU_ASSERT_FALSE (server_reach_review (&reach, SERVERS, 4 * CLK_S, 4 * CLK_S));
  server_reach_failed (&reach, 2, 4 * CLK_S);
  CU_ASSERT_TRUE (server_reach_is_doubtful (&reach));
  CU_ASSERT_FALSE (server_reach_review (&reach, SERVERS, 4 * CLK_S, 4 * CLK_S));
  server_reach_failed (&reach, 3, 4 * CLK_S);
  /* What peers have heard before says nothing. */
  CU_ASSERT_FALSE (server_reach_review (&reach, SERVERS, 2 * CLK_S, 4 * CLK_S));
  CU_ASSERT_FALSE (reach.cut_off);
  CU_ASSERT_TRUE (server_reach_review (&reach, SERVERS, 3 * CLK_S, 4 * CLK_S));
  CU_ASSERT_TRUE (reach.cut_off);
  CU_ASSERT_FALSE (server_reach_review (&reach, SERVERS, 5 * CLK_S, 5 * CLK_S));
  server_reach_heard (&reach, 6 * CLK_S);
  CU_ASSERT_TRUE (reach.cut_off);
  CU_ASSERT_TRUE (server_reach_accepted (&reach, 6 * CLK_S));
  CU_ASSERT_FALSE (reach.cut_off);
  CU_ASSERT_FALSE (server_reach_accepted (&reach, 7 * CLK_S));
}

/* Connections live on, but no new one can be opened: the instance is not sure
   to reach servers, and must not say so.  */
static void
test_live_on (void)
{
  struct server_reach reach = { 0 };
  server_reach_accepted (&reach, CLK_S);
  server_reach_heard (&reach, 2 * CLK_S);
  CU_ASSERT_EQUAL (server_reach_sure_at (&reach), 2 * CLK_S);
  server_reach_failed (&reach, 1, 3 * CLK_S);
  server_reach_failed (&reach, 2, 3 * CLK_S);
  server_reach_heard (&reach, 4 * CLK_S);
  CU_ASSERT_EQUAL (server_reach_sure_at (&reach), CLK_S);
  server_reach_failed (&reach, 3, 4 * CLK_S);
  server_reach_heard (&reach, 5 * CLK_S);
  CU_ASSERT_TRUE (server_reach_review (&reach, SERVERS, 4 * CLK_S, 5 * CLK_S));
}

/* All servers of one service have ended, while a probe of another one is on its
   way: they alone do not show that the instance is cut off.  */
static void
test_probe (void)
{
  struct server_reach reach = { 0 };
  server_reach_accepted (&reach, CLK_S);
  for (guint i = 0; i < 3; i++)
    server_reach_failed (&reach, i, 2 * CLK_S);
  reach.probing = TRUE;
  CU_ASSERT_FALSE (server_reach_review (&reach, SERVERS, 3 * CLK_S, 3 * CLK_S));
  CU_ASSERT_TRUE (server_reach_is_doubtful (&reach));
  reach.probing = FALSE;
  CU_ASSERT_TRUE (server_reach_review (&reach, SERVERS, 3 * CLK_S, 3 * CLK_S));
}

/* One server that accepts a connection in between shows that the others have
   ended.  */
static void
test_servers_end (void)
{
  struct server_reach reach = { 0 };
  for (guint i = 0; i < 10; i++)
    {
      server_reach_failed (&reach, i, (2 + i) * CLK_S);
      server_reach_accepted (&reach, (2 + i) * CLK_S + 1);
      CU_ASSERT_FALSE (
          server_reach_review (&reach, SERVERS, 20 * CLK_S, 20 * CLK_S));
    }
}

/* Servers that end at different times, while there are no requests that others
   would answer.  */
static void
test_quiet (void)
{
  struct server_reach reach = { 0 };
  for (guint i = 0; i < 5; i++)
    {
      gint64 now = (1 + i) * 60 * CLK_S;
      server_reach_failed (&reach, i, now);
      CU_ASSERT_FALSE (server_reach_review (&reach, SERVERS, now, now));
    }
}

static void
test_only_server (void)
{
  struct server_reach reach = { 0 };
  server_reach_failed (&reach, 1, CLK_S);
  CU_ASSERT_FALSE (server_reach_review (&reach, 0, 0, 2 * CLK_S));
  CU_ASSERT_TRUE (server_reach_review (&reach, 1, 2 * CLK_S, 2 * CLK_S));
}

static CU_TestInfo tests[] = {
  { "a probe in progress", test_probe },
  { "cut off", test_cut_off },
  { "connections live on", test_live_on },
  { "servers that end", test_servers_end },
  { "servers that end in a quiet time", test_quiet },
  { "the only server", test_only_server },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "server_reach", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
