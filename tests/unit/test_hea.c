#include "unit/unit.h"

#include "policy/server_health.h"

#define PEERS 12

struct peers
{
  struct server_health server_health[PEERS];
  struct server_health *list[PEERS];
  GRand *rand;
  gint64 now;
};

static void
peers_init (struct peers *peers)
{
  peers->now = 1000 * CLK_S;
  peers->rand = g_rand_new_with_seed (1);
  for (guint i = 0; i < PEERS; i++)
    {
      server_health_init (&peers->server_health[i], peers->now);
      peers->list[i] = &peers->server_health[i];
    }
}

/* Adds TIMES samples to each of the first N servers; the first N_SLOW of them
   are slow.  */
static void
sample (struct peers *peers, guint n, guint n_slow, guint times)
{
  for (guint t = 0; t < times; t++)
    for (guint i = 0; i < n; i++)
      {
        if (peers->server_health[i].state == SERVER_HEALTH_EJECTED)
          continue;
        server_health_add_tbt (&peers->server_health[i],
                               (i < n_slow ? 90 : 30) * CLK_MS, 10);
        server_health_add_result (&peers->server_health[i],
                                  SERVER_HEALTH_SUCCESS);
      }
}

static guint
review (struct peers *peers, guint n)
{
  peers->now += 50 * CLK_MS;
  return server_health_review (peers->list, n, peers->now, peers->rand);
}

static void
test_outlier_ejection (void)
{
  struct peers peers;
  peers_init (&peers);
  sample (&peers, PEERS, 1, 10);
  CU_ASSERT_EQUAL (review (&peers, PEERS), 1);
  CU_ASSERT_EQUAL (peers.server_health[0].state, SERVER_HEALTH_EJECTED);
  CU_ASSERT_EQUAL (server_health_slots (&peers.server_health[0], 32), 0);
  CU_ASSERT_EQUAL (server_health_slots (&peers.server_health[1], 32), 32);
  peers.now += 3 * CLK_S;
  review (&peers, PEERS);
  CU_ASSERT_EQUAL (peers.server_health[0].state, SERVER_HEALTH_PROBING);
  CU_ASSERT_EQUAL (server_health_slots (&peers.server_health[0], 32),
                   SERVER_HEALTH_PROBE_SLOTS);
  sample (&peers, PEERS, 1, 4);
  review (&peers, PEERS);
  CU_ASSERT_EQUAL (peers.server_health[0].state, SERVER_HEALTH_EJECTED);
  gint64 ejection_us = peers.server_health[0].ejected_until - peers.now;
  CU_ASSERT_TRUE (ejection_us > 3 * CLK_S && ejection_us < 5 * CLK_S);
  peers.now += ejection_us;
  review (&peers, PEERS);
  sample (&peers, PEERS, 0, 4);
  review (&peers, PEERS);
  CU_ASSERT_EQUAL (peers.server_health[0].state, SERVER_HEALTH_OK);
  g_rand_free (peers.rand);
}

static void
test_slow_under_higher_load (void)
{
  struct peers peers;
  peers_init (&peers);
  for (guint t = 0; t < 10; t++)
    for (guint i = 0; i < 4; i++)
      server_health_add_tbt (&peers.server_health[i], (i ? 30 : 90) * CLK_MS,
                             i ? 10 : 40);
  CU_ASSERT_EQUAL (review (&peers, 4), 0);
  CU_ASSERT_EQUAL (peers.server_health[0].state, SERVER_HEALTH_OK);
  g_rand_free (peers.rand);
}

static void
test_consecutive_failures (void)
{
  struct peers peers;
  peers_init (&peers);
  for (guint i = 1; i < 4; i++)
    server_health_add_result (&peers.server_health[i], SERVER_HEALTH_SUCCESS);
  server_health_add_result (&peers.server_health[0], SERVER_HEALTH_FAILURE);
  server_health_add_result (&peers.server_health[0], SERVER_HEALTH_FAILURE);
  CU_ASSERT_EQUAL (review (&peers, 4), 0);
  server_health_add_result (&peers.server_health[0], SERVER_HEALTH_FAILURE);
  CU_ASSERT_EQUAL (review (&peers, 4), 1);
  g_rand_free (peers.rand);
}

static void
test_common_failures_are_no_outlier (void)
{
  struct peers peers;
  peers_init (&peers);
  for (guint t = 0; t < 20; t++)
    for (guint i = 0; i < 4; i++)
      server_health_add_result (&peers.server_health[i], SERVER_HEALTH_FAILURE);
  CU_ASSERT_EQUAL (review (&peers, 4), 0);
  g_rand_free (peers.rand);
}

static void
test_ejection_limit (void)
{
  struct peers peers;
  for (guint n = 1; n <= PEERS; n++)
    {
      peers_init (&peers);
      for (guint i = 0; i < n; i++)
        for (guint t = 0; t < 6; t++)
          server_health_add_result (&peers.server_health[i],
                                    SERVER_HEALTH_UNREACHABLE);
      guint ejected = review (&peers, n);
      CU_ASSERT_EQUAL (ejected, n == 1 ? 0 : MAX (1, n / 3));
      /* The others are not ejected, but limited to a few requests. */
      CU_ASSERT_EQUAL (peers.server_health[n - 1].state, SERVER_HEALTH_SUSPECT);
      CU_ASSERT_EQUAL (server_health_slots (&peers.server_health[n - 1], 32),
                       SERVER_HEALTH_PROBE_SLOTS);
      g_rand_free (peers.rand);
    }
}

static void
test_stall (void)
{
  struct peers peers;
  peers_init (&peers);
  sample (&peers, 3, 0, 10);
  peers.server_health[0].stalled = TRUE;
  CU_ASSERT_EQUAL (review (&peers, 3), 1);
  peers.server_health[1].stalled = peers.server_health[2].stalled = TRUE;
  CU_ASSERT_EQUAL (review (&peers, 3), 0);
  g_rand_free (peers.rand);
}

static void
test_probe_interval (void)
{
  struct server_health server_health;
  server_health_init (&server_health, 0);
  CU_ASSERT_FALSE (server_health_probe_due (&server_health, CLK_S, FALSE));
  server_health.state = SERVER_HEALTH_PROBING;
  CU_ASSERT_TRUE (server_health_probe_due (&server_health, CLK_S, FALSE));
  CU_ASSERT_FALSE (server_health_probe_due (&server_health, CLK_S, TRUE));
  server_health_probe_started (&server_health, CLK_S);
  CU_ASSERT_FALSE (server_health_probe_due (&server_health, CLK_S, FALSE));
  CU_ASSERT_TRUE (server_health_probe_due (
      &server_health, CLK_S + SERVER_HEALTH_URGENT_PROBE_INTERVAL_US, TRUE));
}

static CU_TestInfo tests[] = {
  { "a slow server is ejected and recovers by probes", test_outlier_ejection },
  { "a server with higher load may be slower", test_slow_under_higher_load },
  { "three consecutive failures eject", test_consecutive_failures },
  { "failures common to all servers eject none",
    test_common_failures_are_no_outlier },
  { "the share of ejected servers is limited", test_ejection_limit },
  { "a stalled server is ejected", test_stall },
  { "interval between probes", test_probe_interval },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "server_health", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
