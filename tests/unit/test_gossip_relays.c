/* What instances tell each other of reaching servers. One that is cut off from
   all servers would take them for down, or pass requests on to instances that
   are cut off too.  */
#include "unit/gossip_world.h"
#include "unit/unit.h"

#define PORT 8000
#define NOTICE_US (4 * CLK_S) /* from the cut on */

static gboolean cut[NODES_MAX];

/* Runs the network for US, while all instances but those that are cut off reach
   servers.  */
static void
run (gint64 us)
{
  for (gint64 end = net.now + us; net.now < end;)
    {
      for (guint i = 0; i < net.n; i++)
        {
          struct gossip_local_state *state = &net.nodes[i].state;
          state->client_port = PORT + i;
          if (!cut[i])
            state->servers_reached_at = net.now;
        }
      step (STEP_US);
    }
}

static void
begin (guint n, guint domains)
{
  memset (cut, 0, sizeof cut);
  start (n, domains, 1);
  run (6 * CLK_S);
}

/* Returns to how many instances NODE can pass requests on. Sets N_CUT to how
   many of them are cut off, and N_LOCAL to how many are in its domain.  */
static guint
count_relays (guint node, guint *n_cut, guint *n_local)
{
  GArray *relays = g_array_new (FALSE, FALSE, sizeof (struct gossip_relay));
  gossip_relays (net.nodes[node].gossip, net.now, relays);
  guint n = relays->len;
  *n_cut = *n_local = 0;
  for (guint i = 0; i < n; i++)
    {
      const struct gossip_relay *relay
          = &g_array_index (relays, struct gossip_relay, i);
      guint index = relay->ip - ip_of (0);
      CU_ASSERT_TRUE_FATAL (index < net.n);
      CU_ASSERT_EQUAL (relay->port, PORT + index);
      *n_cut += cut[index];
      *n_local += relay->is_local;
    }
  g_array_unref (relays);
  return n;
}

/* Checks an instance that is cut off since CUT_AT.  */
static void
check_informed (guint node, gint64 cut_at, guint expected_min, gboolean local)
{
  guint n_cut;
  guint n_local;
  guint n = count_relays (node, &n_cut, &n_local);
  CU_ASSERT_TRUE (gossip_servers_reached_at (net.nodes[node].gossip) > cut_at);
  CU_ASSERT_TRUE (n >= expected_min);
  CU_ASSERT_EQUAL (n_cut, 0);
  CU_ASSERT_EQUAL (n_local, local ? n : 0);
}

static void
test_one_of_seven (void)
{
  begin (7, 3);
  gint64 at = net.now;
  cut[0] = TRUE;
  run (CLK_S);
  check_informed (0, at, 2, TRUE);
  stop ();
}

static void
test_domain_of_seven (void)
{
  begin (7, 3);
  gint64 at = net.now;
  cut[0] = cut[3] = cut[6] = TRUE;
  run (NOTICE_US);
  for (guint i = 0; i < 7; i += 3)
    check_informed (i, at, 4, FALSE);
  stop ();
}

static void
test_six_of_seven (void)
{
  begin (7, 3);
  gint64 at = net.now;
  for (guint i = 0; i < 6; i++)
    cut[i] = TRUE;
  run (NOTICE_US);
  for (guint i = 0; i < 6; i++)
    check_informed (i, at, 1, i % 3 == 0);
  stop ();
}

/* The instances of a large domain hear of the others by their leader only.  */
static void
test_large_domain (void)
{
  begin (60, 6);
  gint64 at = net.now;
  for (guint i = 0; i < 60; i += 6)
    cut[i] = TRUE;
  run (NOTICE_US);
  for (guint i = 0; i < 60; i += 6)
    check_informed (i, at, 3, FALSE);
  run (10 * CLK_S);
  for (guint i = 0; i < 60; i += 6)
    check_informed (i, at, 3, FALSE);
  stop ();
}

/* If nobody reaches a server any more, that is not told as news for ever.  */
static void
test_all_cut (guint n, guint domains)
{
  guint n_cut;
  guint n_local;
  begin (n, domains);
  gint64 at = net.now;
  for (guint i = 0; i < n; i++)
    cut[i] = TRUE;
  run (NOTICE_US);
  for (guint i = 0; i < n; i++)
    {
      CU_ASSERT_TRUE (gossip_servers_reached_at (net.nodes[i].gossip) <= at);
      CU_ASSERT_EQUAL (count_relays (i, &n_cut, &n_local), 0);
    }
  stop ();
}

static void
test_servers_down (void)
{
  test_all_cut (7, 3);
  test_all_cut (60, 6);
}

/* A frozen instance, messages that get lost.  */
static void
test_disturbed (void)
{
  begin (7, 3);
  net.loss = 0.3;
  gint64 at = net.now;
  cut[0] = TRUE;
  net.nodes[3].stopped = TRUE;
  cut[3] = TRUE;
  run (NOTICE_US);
  check_informed (0, at, 1, TRUE);
  stop ();
}

static CU_TestInfo tests[] = {
  { "one of seven instances", test_one_of_seven },
  { "a domain of seven instances", test_domain_of_seven },
  { "six of seven instances", test_six_of_seven },
  { "a domain of sixty instances", test_large_domain },
  { "no instance reaches a server", test_servers_down },
  { "a frozen instance and lost messages", test_disturbed },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gossip_relays", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
