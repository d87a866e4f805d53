/* Leases: seeded schedules of instances whose clocks run at different rates,
   that pause and restart, before a store with lost answers and outages.

   LSE_SEED=N runs one schedule, LSE_SEEDS=N as many instead of 300.  */
#include "unit/sim.h"
#include "unit/unit.h"

#include "lease/lse.h"

#include <stdlib.h>

#define SEEDS 300
#define NODES 3
#define FAULTY_US (120 * CLK_S)
#define HEALING_US (40 * CLK_S)
#define OBJECT "lease/orders"

struct world;

/* A clock at its own rate. */
struct drift
{
  struct clk clk;
  const struct sim *sim;
  double rate;
};

struct node
{
  struct world *w;
  struct drift drift;
  guint64 incarnation;
  gint64 paused_until;
  struct lse *lse;
};

struct world
{
  struct sim sim;
  struct sim_store store;
  struct chr *chart;
  struct node nodes[NODES];
  gboolean faulty;
  gboolean stopped;
  guint64 fence;  /* highest in force so far */
  gint64 holder;  /* node and incarnation that had it */
  guint64 landed; /* fence of the last order that landed unchecked */
  guint orders;
  guint acquired;
  guint errors;
  guint32 seed;
};

static void
fault (struct world *w, const char *what)
{
  w->errors++;
  g_print ("\nseed %u: %s at %.3f s; repeat: LSE_SEED=%u "
           "build/tests/test_lse\n",
           w->seed, what, (double)w->sim.clk.t / (double)CLK_S, w->seed);
}

static gint64
drift_now (const struct clk *clk)
{
  const struct drift *drift = (const struct drift *)clk;
  return (gint64)((double)drift->sim->clk.t * drift->rate);
}

/* An event of one incarnation of a node. */
struct arrival
{
  struct node *node;
  guint64 incarnation;
  gboolean tick;
  guint64 token;
  struct sto_answer answer; /* body owned */
};

static void
arrival_free (struct arrival *a)
{
  if (a->answer.body)
    g_bytes_unref (a->answer.body);
  g_free (a);
}

/* An order to an engine that ignores fencing numbers, on its way. */
struct order
{
  struct world *w;
  guint64 fence;
};

static void
on_order (void *ctx)
{
  struct order *order = ctx;
  if (order->fence < order->w->landed)
    fault (order->w, "an older holder's order landed after a newer one's");
  order->w->landed = MAX (order->w->landed, order->fence);
  g_free (order);
}

/* At most one instance may order at a time, and numbers only grow.  */
static void
check_holders (struct world *w)
{
  guint holders = 0;
  for (guint i = 0; i < NODES; i++)
    {
      const struct node *node = &w->nodes[i];
      guint64 fence = node->lse ? lse_order_fence (node->lse, TRUE) : 0;
      gint64 holder = (gint64)(i + NODES * node->incarnation);
      if (fence == 0)
        continue;
      holders++;
      if (fence < w->fence || (fence == w->fence && holder != w->holder))
        fault (w, "a fencing number came again or fell");
      w->acquired += fence > w->fence;
      w->fence = fence;
      w->holder = holder;
    }
  if (holders > 1)
    fault (w, "two holders");
}

static void
node_orders (struct node *node)
{
  struct world *w = node->w;
  check_holders (w);
  guint64 fence = lse_order_fence (node->lse, FALSE);
  if (fence == 0)
    return;
  struct order *order = g_new (struct order, 1);
  *order = (struct order){ w, fence };
  w->orders++;
  sim_after (&w->sim,
             g_rand_int_range (w->sim.rand, 0, (gint32)LSE_ORDER_FLIGHT_US),
             on_order, order);
}

static struct arrival *
arrival_new (struct node *node)
{
  struct arrival *a = g_new0 (struct arrival, 1);
  a->node = node;
  a->incarnation = node->incarnation;
  return a;
}

static void
arrive (void *ctx)
{
  struct arrival *a = ctx;
  struct node *node = a->node;
  struct sim *sim = &node->w->sim;
  gint64 pause = node->paused_until - sim->clk.t;
  if (node->incarnation != a->incarnation || node->w->stopped)
    arrival_free (a);
  else if (pause > 0)
    sim_after (sim, pause + sim_delay (sim, LSE_TICK_US), arrive, a);
  else if (a->tick)
    {
      lse_tick (node->lse);
      node_orders (node);
      sim_after (sim, LSE_TICK_US, arrive, a);
    }
  else
    {
      lse_answer (node->lse, a->token, &a->answer);
      node_orders (node);
      arrival_free (a);
    }
}

static void
store_done (void *ctx, const struct sto_answer *answer)
{
  struct arrival *a = ctx;
  a->answer = *answer;
  if (answer->body)
    g_bytes_ref (answer->body);
  arrive (a);
}

static void
on_store (void *ctx, guint64 token, const struct sto_call *call)
{
  struct node *node = ctx;
  struct arrival *a = arrival_new (node);
  a->token = token;
  CU_ASSERT_STRING_EQUAL (call->name, OBJECT);
  sim_store_start (&node->w->store, call, store_done, a);
}

static void
node_start (struct node *node)
{
  struct world *w = node->w;
  struct lse_options options = { .clk = &node->drift.clk,
                                 .seed = g_rand_int (w->sim.rand),
                                 .chart = w->chart,
                                 .incarnation = ++node->incarnation,
                                 .object = OBJECT,
                                 .store = on_store,
                                 .ctx = node };
  g_snprintf (options.self.s, sizeof options.self.s, "n%d",
              (int)(node - w->nodes));
  lse_free (node->lse);
  node->lse = lse_new (&options);
  lse_want (node->lse, TRUE);
  struct arrival *tick = arrival_new (node);
  tick->tick = TRUE;
  arrive (tick);
}

static void
on_fault (void *ctx)
{
  struct world *w = ctx;
  struct node *node = &w->nodes[g_rand_int_range (w->sim.rand, 0, NODES)];
  if (!w->faulty)
    return;
  switch (g_rand_int_range (w->sim.rand, 0, 8))
    {
    case 0:
    case 1:
      node->paused_until = w->sim.clk.t + sim_delay (&w->sim, 40 * CLK_S);
      break;
    case 2:
      node_start (node);
      break;
    case 3:
      w->store.refusing = TRUE;
      break;
    case 4:
      w->store.silent = TRUE;
      break;
    case 5:
      lse_want (node->lse, sim_chance (&w->sim, 0.5));
      break;
    default:
      w->store.refusing = w->store.silent = FALSE;
      break;
    }
  sim_after (&w->sim, sim_delay (&w->sim, 12 * CLK_S), on_fault, w);
}

static void
world_start (struct world *w, guint32 seed)
{
  struct err err;
  w->seed = seed;
  sim_init (&w->sim, seed);
  sim_store_init (&w->store, &w->sim);
  w->store.lost_before = 0.1 * g_rand_double (w->sim.rand);
  w->store.lost_after = 0.2 * g_rand_double (w->sim.rand);
  w->store.late = 0.1 * g_rand_double (w->sim.rand);
  w->store.limited = 0.1 * g_rand_double (w->sim.rand);
  w->faulty = TRUE;
  CU_ASSERT_EQUAL_FATAL (
      lse_chart_load (JW_SOURCE_DIR "/charts", &w->chart, &err), 0);
  for (guint i = 0; i < NODES; i++)
    {
      struct node *node = &w->nodes[i];
      double rate = g_rand_double_range (w->sim.rand, 0.98, 1.02);
      node->w = w;
      node->drift = (struct drift){ { drift_now, drift_now }, &w->sim, rate };
      node_start (node);
    }
  on_fault (w);
}

static guint
world_run (guint32 seed, guint *orders, guint *acquired)
{
  struct world *w = g_new0 (struct world, 1);
  world_start (w, seed);
  sim_run (&w->sim, w->sim.clk.t + FAULTY_US);
  w->faulty = FALSE;
  sim_store_clear_faults (&w->store);
  for (guint i = 0; i < NODES; i++)
    {
      w->nodes[i].paused_until = 0;
      lse_want (w->nodes[i].lse, TRUE);
    }
  sim_run (&w->sim, w->sim.clk.t + HEALING_US);
  guint held = 0;
  for (guint i = 0; i < NODES; i++)
    held += lse_state (w->nodes[i].lse) == LSE_HELD;
  if (held != 1)
    fault (w, "not one holder in peace");
  w->stopped = TRUE;
  sim_run (&w->sim, w->sim.clk.t + 1000 * CLK_S);
  for (guint i = 0; i < NODES; i++)
    lse_free (w->nodes[i].lse);
  sim_store_clear (&w->store);
  sim_clear (&w->sim);
  chr_free (w->chart);
  *orders += w->orders;
  *acquired += w->acquired;
  guint errors = w->errors;
  g_free (w);
  return errors;
}

static void
test_schedules (void)
{
  const char *one = g_getenv ("LSE_SEED");
  const char *many = g_getenv ("LSE_SEEDS");
  guint32 first = one ? (guint32)strtoul (one, NULL, 10) : 1;
  guint32 n = one ? 1 : many ? (guint32)strtoul (many, NULL, 10) : SEEDS;
  guint errors = 0;
  guint orders = 0;
  guint acquired = 0;
  for (guint32 seed = first; seed < first + n && errors < 10; seed++)
    errors += world_run (seed, &orders, &acquired);
  CU_ASSERT_EQUAL (errors, 0);
  CU_ASSERT_TRUE (one || (orders > 10 * n && acquired > 2 * n));
}

/* One instance alone, with a clock that the test moves. */
struct rig
{
  struct world w;
  struct node *node;
};

static struct rig *
rig_new (void)
{
  struct rig *rig = g_new0 (struct rig, 1);
  struct err err;
  rig->w.seed = 1;
  sim_init (&rig->w.sim, 1);
  sim_store_init (&rig->w.store, &rig->w.sim);
  lse_chart_load (JW_SOURCE_DIR "/charts", &rig->w.chart, &err);
  rig->node = &rig->w.nodes[0];
  for (guint i = 0; i < NODES; i++)
    {
      rig->w.nodes[i].w = &rig->w;
      rig->w.nodes[i].drift
          = (struct drift){ { drift_now, drift_now }, &rig->w.sim, 1 };
    }
  node_start (rig->node);
  return rig;
}

static void
rig_run (struct rig *rig, gint64 us)
{
  sim_run (&rig->w.sim, rig->w.sim.clk.t + us);
}

static void
rig_free (struct rig *rig)
{
  CU_ASSERT_EQUAL (rig->w.errors, 0);
  rig->w.stopped = TRUE;
  sim_run (&rig->w.sim, rig->w.sim.clk.t + 100 * CLK_S);
  lse_free (rig->node->lse);
  sim_store_clear (&rig->w.store);
  sim_clear (&rig->w.sim);
  chr_free (rig->w.chart);
  g_free (rig);
}

static void
test_holder_paused (void)
{
  struct rig *rig = rig_new ();
  struct lse *lse = rig->node->lse;
  rig_run (rig, 2 * CLK_S);
  guint64 fence = lse_order_fence (lse, TRUE);
  CU_ASSERT_NOT_EQUAL (fence, 0);
  CU_ASSERT_EQUAL (lse_order_fence (lse, FALSE), 0);
  rig_run (rig, LSE_ORDER_FLIGHT_US + LSE_MARGIN_US);
  CU_ASSERT_EQUAL (lse_order_fence (lse, FALSE), fence);
  rig->node->paused_until = rig->w.sim.clk.t + LSE_TERM_US;
  rig_run (rig, LSE_TERM_US - LSE_MARGIN_US);
  CU_ASSERT_EQUAL (lse_order_fence (lse, TRUE), 0);
  rig_run (rig, 4 * CLK_S);
  CU_ASSERT_TRUE (lse_order_fence (lse, TRUE) > fence);
  rig_free (rig);
}

static void
test_renewals_keep_the_fence (void)
{
  struct rig *rig = rig_new ();
  rig_run (rig, 2 * CLK_S);
  guint64 fence = lse_order_fence (rig->node->lse, TRUE);
  rig_run (rig, 10 * LSE_RENEW_US);
  CU_ASSERT_EQUAL (lse_order_fence (rig->node->lse, TRUE), fence);
  CU_ASSERT_TRUE (rig->w.store.puts >= 10);
  rig->w.store.lost_after = 1;
  rig_run (rig, LSE_RENEW_US + CLK_S);
  rig->w.store.lost_after = 0;
  rig_run (rig, 3 * CLK_S);
  CU_ASSERT_EQUAL (lse_order_fence (rig->node->lse, TRUE), fence);
  CU_ASSERT_EQUAL (lse_state (rig->node->lse), LSE_HELD);
  rig_free (rig);
}

static void
test_release (void)
{
  struct rig *rig = rig_new ();
  rig_run (rig, 2 * CLK_S);
  guint64 fence = lse_order_fence (rig->node->lse, TRUE);
  lse_want (rig->node->lse, FALSE);
  CU_ASSERT_EQUAL (lse_order_fence (rig->node->lse, TRUE), 0);
  rig_run (rig, CLK_S);
  CU_ASSERT_EQUAL (lse_state (rig->node->lse), LSE_IDLE);
  node_start (rig->node); /* another incarnation need not wait for the term */
  rig_run (rig, 2 * CLK_S);
  CU_ASSERT_TRUE (lse_order_fence (rig->node->lse, TRUE) > fence);
  CU_ASSERT_EQUAL (lse_order_fence (rig->node->lse, FALSE), 0);
  rig_free (rig);
}

static CU_TestInfo tests[] = {
  { "seeded schedules: one holder, growing numbers", test_schedules },
  { "a paused holder gives no order", test_holder_paused },
  { "renewals keep the fencing number", test_renewals_keep_the_fence },
  { "release", test_release },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "lease", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
