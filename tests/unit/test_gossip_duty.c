/* What instances hear of the holder of the duties, and who takes its place. A
   word that ages too fast on its way makes candidates read the store all the
   time; one that instances keep young among themselves after the holder's end
   leaves the duties undone.  */
#include "unit/gossip_world.h"
#include "unit/unit.h"

#define TERM_US (3 * CLK_S)
#define HOLDER 200
#define DOMAINS 11

static gint64
age_at (guint node)
{
  return net.now - gossip_duty (net.nodes[node].gossip).held_at;
}

/* Returns the age of the oldest word of FENCE, or G_MAXINT64 if an instance has
   not heard of it.  */
static gint64
oldest_age (guint64 fence)
{
  gint64 oldest = 0;
  for (guint i = 0; i < net.n; i++)
    if (!net.nodes[i].stopped)
      oldest = MAX (oldest, gossip_duty (net.nodes[i].gossip).fence == fence
                                ? age_at (i)
                                : G_MAXINT64);
  return oldest;
}

static void
run (gint64 us)
{
  for (gint64 end = net.now + us; net.now < end;)
    step (STEP_US);
}

/* Returns which instance is the first whose turn it is; it comes within US.  */
static guint
first_due (gint64 us)
{
  for (gint64 end = net.now + us; net.now < end; step (STEP_US))
    for (guint i = 0; i < net.n; i++)
      if (!net.nodes[i].stopped
          && gossip_duty_is_due (net.nodes[i].gossip, net.now))
        return i;
  return G_MAXUINT;
}

static void
test_large (void)
{
  guint32 ips[4];
  gint64 oldest = 0;
  start (NODES_MAX, DOMAINS, 1);
  net.loss = 0.01;
  run (6 * CLK_S);
  net.nodes[HOLDER].state.duty_fence = 7;
  run (5 * CLK_S);
  for (guint i = 0; i < 60; i++)
    {
      run (STEP_US);
      oldest = MAX (oldest, oldest_age (7));
    }
  g_print ("%u instances: the oldest word is %" G_GINT64_FORMAT " ms old\n",
           net.n, oldest / CLK_MS);
  CU_ASSERT_TRUE (oldest < TERM_US);
  CU_ASSERT_EQUAL (first_due (CLK_S), G_MAXUINT);
  for (guint i = 0; i < net.n; i++)
    {
      guint n = gossip_collectors (net.nodes[i].gossip, net.now, ips, 4);
      CU_ASSERT_TRUE (n >= 3);
      CU_ASSERT_EQUAL (ips[0], ip_of (HOLDER));
    }
  /* The first domain by name is d0, then d1 and d10; each has its first
     instance. */
  gossip_collectors (net.nodes[0].gossip, net.now, ips, 4);
  CU_ASSERT_EQUAL (ips[1], ip_of (0));
  CU_ASSERT_EQUAL (ips[2], ip_of (1));
  CU_ASSERT_EQUAL (ips[3], ip_of (10));
  net.nodes[HOLDER].stopped = TRUE;
  gint64 stopped_at = net.now;
  CU_ASSERT_EQUAL (first_due (2 * TERM_US), 0);
  CU_ASSERT_TRUE (net.now - stopped_at <= TERM_US + STEP_US);
  stop ();
}

/* The first domain is cut off with the holder: the next one's first instance
   has its turn half a second later, once the domain counts as gone.  */
static void
test_domain_gone (void)
{
  start (44, DOMAINS, 2);
  run (6 * CLK_S);
  net.nodes[11].state.duty_fence = 7;
  run (5 * CLK_S);
  for (guint i = 0; i < net.n; i += DOMAINS)
    net.nodes[i].stopped = TRUE;
  gint64 stopped_at = net.now;
  CU_ASSERT_EQUAL (first_due (2 * TERM_US), 1);
  CU_ASSERT_TRUE (net.now - stopped_at
                  <= TERM_US + GOSSIP_DUTY_TURN_US + STEP_US);
  stop ();
}

/* A higher token replaces a lower one, whoever hears of it first.  */
static void
test_higher (void)
{
  start (6, 2, 3);
  net.nodes[1].state.duty_fence = 7;
  run (5 * CLK_S);
  net.nodes[4].state.duty_fence = 9;
  run (5 * CLK_S);
  CU_ASSERT_TRUE (oldest_age (9) < TERM_US);
  CU_ASSERT_EQUAL (gossip_duty (net.nodes[1].gossip).ip, ip_of (4));
  stop ();
}

static CU_TestInfo tests[] = {
  { "390 instances", test_large },
  { "the first domain is gone", test_domain_gone },
  { "two holders", test_higher },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "what is heard of the holder of the duties", NULL, NULL, NULL, NULL,
    tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
