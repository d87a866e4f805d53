/* Checks that at most one instance holds a lease and that fencing numbers only
   grow: seeded schedules of instances that pause, restart and have clocks with
   different rates, and of an object store with lost responses and outages.

   LSE_SEED=N runs one schedule, LSE_SEEDS=N runs N schedules instead of 300. */
#include "unit/sim.h"
#include "unit/unit.h"

#include "lease/lease.h"

#include <stdlib.h>

#define SEEDS 300
#define NODES 3
#define FAULTS_US (120 * CLK_S)
#define RECOVERY_US (40 * CLK_S)
#define OBJECT "lease/orders"

struct world;

/* A clock that runs at RATE times the simulated time. */
struct drifting_clock
{
  struct clk clk;
  const struct sim *sim;
  double rate;
};

struct node
{
  struct world *w;
  struct drifting_clock drifting_clock;
  guint64 incarnation;
  gint64 paused_until;
  struct lease_lock *lock;
};

struct world
{
  struct sim sim;
  struct sim_store store;
  struct statechart *chart;
  struct node nodes[NODES];
  gboolean faulty;
  gboolean stopped;
  guint64 fence;           /* highest fencing number so far */
  gint64 holder;           /* node and incarnation with that number */
  guint64 delivered_fence; /* highest of the delivered orders */
  guint orders;
  guint acquired;
  guint errors;
  guint32 seed;
};

static void
report_error (struct world *w, const char *what)
{
  w->errors++;
  g_print ("\nseed %u: %s at %.3f s; repeat: LSE_SEED=%u "
           "build/tests/test_lse\n",
           w->seed, what, (double)w->sim.clk.t / (double)CLK_S, w->seed);
}

static gint64
drifting_now (const struct clk *clk)
{
  const struct drifting_clock *drifting_clock
      = (const struct drifting_clock *)clk;
  return (gint64)((double)drifting_clock->sim->clk.t * drifting_clock->rate);
}

/* An event for one incarnation of a node. */
struct arrival
{
  struct node *node;
  guint64 incarnation;
  gboolean tick;
  guint64 token;
  struct storage_response response; /* body owned */
};

static void
arrival_free (struct arrival *a)
{
  if (a->response.body)
    g_bytes_unref (a->response.body);
  g_free (a);
}

/* An order on its way to an engine that ignores fencing numbers. */
struct order
{
  struct world *w;
  guint64 fence;
};

static void
on_order_delivered (void *ctx)
{
  struct order *order = ctx;
  if (order->fence < order->w->delivered_fence)
    report_error (
        order->w,
        "order of an older holder delivered after one of a newer holder");
  order->w->delivered_fence = MAX (order->w->delivered_fence, order->fence);
  g_free (order);
}

/* Checks that at most one instance may send orders, and that fencing numbers
   only grow.  */
static void
check_holders (struct world *w)
{
  guint holders = 0;
  for (guint i = 0; i < NODES; i++)
    {
      const struct node *node = &w->nodes[i];
      guint64 fence = node->lock ? lease_order_fence (node->lock, TRUE) : 0;
      gint64 holder = (gint64)(i + NODES * node->incarnation);
      if (fence == 0)
        continue;
      holders++;
      if (fence < w->fence || (fence == w->fence && holder != w->holder))
        report_error (w, "fencing number reused or lower than before");
      w->acquired += fence > w->fence;
      w->fence = fence;
      w->holder = holder;
    }
  if (holders > 1)
    report_error (w, "two holders");
}

static void
node_send_order (struct node *node)
{
  struct world *w = node->w;
  check_holders (w);
  guint64 fence = lease_order_fence (node->lock, FALSE);
  if (fence == 0)
    return;
  struct order *order = g_new (struct order, 1);
  *order = (struct order){ w, fence };
  w->orders++;
  sim_after (
      &w->sim,
      g_rand_int_range (w->sim.rand, 0, (gint32)LEASE_ORDER_DELIVERY_MAX_US),
      on_order_delivered, order);
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
deliver (void *ctx)
{
  struct arrival *a = ctx;
  struct node *node = a->node;
  struct sim *sim = &node->w->sim;
  gint64 pause = node->paused_until - sim->clk.t;
  if (node->incarnation != a->incarnation || node->w->stopped)
    arrival_free (a);
  else if (pause > 0)
    sim_after (sim, pause + sim_delay (sim, LEASE_TICK_US), deliver, a);
  else if (a->tick)
    {
      lease_tick (node->lock);
      node_send_order (node);
      sim_after (sim, LEASE_TICK_US, deliver, a);
    }
  else
    {
      lease_store_response (node->lock, a->token, &a->response);
      node_send_order (node);
      arrival_free (a);
    }
}

static void
store_done (void *ctx, const struct storage_response *response)
{
  struct arrival *a = ctx;
  a->response = *response;
  if (response->body)
    g_bytes_ref (response->body);
  deliver (a);
}

static void
on_store_request (void *ctx, guint64 token, const struct storage_request *call)
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
  struct lease_options options = { .clk = &node->drifting_clock.clk,
                                   .seed = g_rand_int (w->sim.rand),
                                   .chart = w->chart,
                                   .incarnation = ++node->incarnation,
                                   .object = OBJECT,
                                   .start_request = on_store_request,
                                   .ctx = node };
  g_snprintf (options.self.s, sizeof options.self.s, "n%d",
              (int)(node - w->nodes));
  lease_free (node->lock);
  node->lock = lease_new (&options);
  lease_want (node->lock, TRUE);
  struct arrival *tick = arrival_new (node);
  tick->tick = TRUE;
  deliver (tick);
}

static void
inject_fault (void *ctx)
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
      lease_want (node->lock, sim_chance (&w->sim, 0.5));
      break;
    default:
      w->store.refusing = w->store.silent = FALSE;
      break;
    }
  sim_after (&w->sim, sim_delay (&w->sim, 12 * CLK_S), inject_fault, w);
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
      lease_chart_load (JW_SOURCE_DIR "/charts", &w->chart, &err), 0);
  for (guint i = 0; i < NODES; i++)
    {
      struct node *node = &w->nodes[i];
      double rate = g_rand_double_range (w->sim.rand, 0.98, 1.02);
      node->w = w;
      node->drifting_clock = (struct drifting_clock){
        { drifting_now, drifting_now }, &w->sim, rate
      };
      node_start (node);
    }
  inject_fault (w);
}

static guint
world_run (guint32 seed, guint *orders, guint *acquired)
{
  struct world *w = g_new0 (struct world, 1);
  world_start (w, seed);
  sim_run (&w->sim, w->sim.clk.t + FAULTS_US);
  w->faulty = FALSE;
  sim_store_clear_faults (&w->store);
  for (guint i = 0; i < NODES; i++)
    {
      w->nodes[i].paused_until = 0;
      lease_want (w->nodes[i].lock, TRUE);
    }
  sim_run (&w->sim, w->sim.clk.t + RECOVERY_US);
  guint held = 0;
  for (guint i = 0; i < NODES; i++)
    held += lease_state (w->nodes[i].lock) == LEASE_HELD;
  if (held != 1)
    report_error (w, "not exactly one holder after the faults ended");
  w->stopped = TRUE;
  sim_run (&w->sim, w->sim.clk.t + 1000 * CLK_S);
  for (guint i = 0; i < NODES; i++)
    lease_free (w->nodes[i].lock);
  sim_store_clear (&w->store);
  sim_clear (&w->sim);
  statechart_free (w->chart);
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

/* One instance alone, without faults but those that the test sets. */
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
  lease_chart_load (JW_SOURCE_DIR "/charts", &rig->w.chart, &err);
  rig->node = &rig->w.nodes[0];
  for (guint i = 0; i < NODES; i++)
    {
      rig->w.nodes[i].w = &rig->w;
      rig->w.nodes[i].drifting_clock = (struct drifting_clock){
        { drifting_now, drifting_now }, &rig->w.sim, 1
      };
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
  lease_free (rig->node->lock);
  sim_store_clear (&rig->w.store);
  sim_clear (&rig->w.sim);
  statechart_free (rig->w.chart);
  g_free (rig);
}

static void
test_holder_paused (void)
{
  struct rig *rig = rig_new ();
  struct lease_lock *lock = rig->node->lock;
  rig_run (rig, 2 * CLK_S);
  guint64 fence = lease_order_fence (lock, TRUE);
  CU_ASSERT_NOT_EQUAL (fence, 0);
  CU_ASSERT_EQUAL (lease_order_fence (lock, FALSE), 0);
  rig_run (rig, LEASE_ORDER_DELIVERY_MAX_US + LEASE_CLOCK_MARGIN_US);
  CU_ASSERT_EQUAL (lease_order_fence (lock, FALSE), fence);
  rig->node->paused_until = rig->w.sim.clk.t + LEASE_TERM_US;
  rig_run (rig, LEASE_TERM_US - LEASE_CLOCK_MARGIN_US);
  CU_ASSERT_EQUAL (lease_order_fence (lock, TRUE), 0);
  rig_run (rig, 4 * CLK_S);
  CU_ASSERT_TRUE (lease_order_fence (lock, TRUE) > fence);
  rig_free (rig);
}

static void
test_renewals_keep_the_fence (void)
{
  struct rig *rig = rig_new ();
  rig_run (rig, 2 * CLK_S);
  guint64 fence = lease_order_fence (rig->node->lock, TRUE);
  rig_run (rig, 10 * LEASE_RENEW_US);
  CU_ASSERT_EQUAL (lease_order_fence (rig->node->lock, TRUE), fence);
  CU_ASSERT_TRUE (rig->w.store.puts >= 10);
  rig->w.store.lost_after = 1;
  rig_run (rig, LEASE_RENEW_US + CLK_S);
  rig->w.store.lost_after = 0;
  rig_run (rig, 3 * CLK_S);
  CU_ASSERT_EQUAL (lease_order_fence (rig->node->lock, TRUE), fence);
  CU_ASSERT_EQUAL (lease_state (rig->node->lock), LEASE_HELD);
  rig_free (rig);
}

static void
test_release (void)
{
  struct rig *rig = rig_new ();
  rig_run (rig, 2 * CLK_S);
  guint64 fence = lease_order_fence (rig->node->lock, TRUE);
  lease_want (rig->node->lock, FALSE);
  CU_ASSERT_EQUAL (lease_order_fence (rig->node->lock, TRUE), 0);
  rig_run (rig, CLK_S);
  CU_ASSERT_EQUAL (lease_state (rig->node->lock), LEASE_IDLE);
  node_start (rig->node); /* a new incarnation need not wait for the term */
  rig_run (rig, 2 * CLK_S);
  CU_ASSERT_TRUE (lease_order_fence (rig->node->lock, TRUE) > fence);
  CU_ASSERT_EQUAL (lease_order_fence (rig->node->lock, FALSE), 0);
  rig_free (rig);
}

static CU_TestInfo tests[] = {
  { "seeded schedules: one holder, growing fencing numbers", test_schedules },
  { "a paused holder may not send orders", test_holder_paused },
  { "renewals keep the fencing number", test_renewals_keep_the_fence },
  { "release", test_release },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "lease", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
