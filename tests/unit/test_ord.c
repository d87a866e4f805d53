/* Checks that engines reach their targets and get orders of one instance only:
   seeded schedules of two instances that compete for a lease, and of engines
   that lose responses, restart, are slow or ignore fencing numbers.

   ORD_SEED=N runs one schedule, ORD_SEEDS=N runs N schedules instead of 300. */
#include "unit/sim.h"
#include "unit/unit.h"

#include "lease/reconciler.h"

#include <stdlib.h>

#define SEEDS 300
#define NODES 2
#define ENGINES 3 /* the last one ignores fencing numbers */
#define FAULTS_US (150 * CLK_S)
#define RECOVERY_US (120 * CLK_S)
#define CALLS_MAX 2000 /* of one schedule; more would mean a busy loop */

struct engine
{
  char name[8];
  gboolean checks_fence;
  guint64 fence; /* highest that was accepted */
  char last_id[RECONCILER_ID_MAX];
  char role[16];
  char adapter[16];
  gboolean has_model; /* "m1" is loaded */
  guint open_posts;   /* open, of one node */
};

struct node
{
  struct world *w;
  gint64 paused_until;
  struct lease_lock *lock;
  struct reconciler *reconciler;
};

struct world
{
  struct sim sim;
  struct sim_store store;
  struct statechart *lease_chart;
  struct statechart *order_chart;
  struct engine engines[ENGINES];
  struct node nodes[NODES];
  gboolean faulty;
  gboolean stopped;
  guint calls;
  guint errors;
  guint32 seed;
};

static void
report_error (struct world *w, const char *what)
{
  w->errors++;
  g_print ("\nseed %u: %s; repeat: ORD_SEED=%u build/tests/test_ord\n", w->seed,
           what, w->seed);
}

/* A call on its way to an engine and back, or a response of the store. */
struct arrival
{
  struct node *node;
  guint64 token;
  gboolean is_store_response;
  struct storage_response store_response; /* body owned */
  struct engine *engine;
  struct reconciler_request request;
  struct reconciler_response response;
  char last_id[RECONCILER_ID_MAX];
  char role[16];
  const char *models[2];
};

static void
deliver (void *ctx)
{
  struct arrival *a = ctx;
  struct sim *sim = &a->node->w->sim;
  gint64 pause = a->node->paused_until - sim->clk.t;
  if (!a->node->w->stopped && pause > 0)
    {
      sim_after (sim, pause, deliver, a);
      return;
    }
  if (a->node->w->stopped)
    ;
  else if (a->is_store_response)
    lease_store_response (a->node->lock, a->token, &a->store_response);
  else
    reconciler_response (a->node->reconciler, a->token, &a->response);
  if (a->store_response.body)
    g_bytes_unref (a->store_response.body);
  g_free (a);
}

static void
apply (struct engine *engine, const struct reconciler_request *request)
{
  g_strlcpy (engine->last_id, request->id, sizeof engine->last_id);
  switch (request->kind)
    {
    case RECONCILER_LOAD_MODEL:
      engine->has_model = TRUE;
      break;
    case RECONCILER_LOAD_ADAPTER:
      g_strlcpy (engine->adapter, request->name.s, sizeof engine->adapter);
      break;
    case RECONCILER_SET_ROLE:
      g_strlcpy (engine->role, request->name.s, sizeof engine->role);
      break;
    default:
      break;
    }
}

/* The request reaches its engine. */
static void
on_engine_request (void *ctx)
{
  struct arrival *a = ctx;
  struct engine *engine = a->engine;
  struct world *w = a->node->w;
  a->response.fence = engine->fence;
  if (a->request.post && engine->checks_fence
      && a->request.fence < engine->fence)
    a->response.code = ERR_CONFLICT;
  else if (a->request.post)
    {
      if (a->request.fence < engine->fence)
        report_error (
            w, "outdated order reached an engine that ignores fencing numbers");
      engine->fence = a->request.fence;
      apply (engine, &a->request);
    }
  else
    {
      g_strlcpy (a->last_id, engine->last_id, sizeof a->last_id);
      g_strlcpy (a->role, engine->role, sizeof a->role);
      a->response.last_id = a->last_id;
      a->response.role = a->role;
      a->models[0] = engine->has_model ? "m1" : NULL;
      a->response.models = a->models;
    }
  if (w->faulty && sim_chance (&w->sim, 0.15))
    a->response = (struct reconciler_response){ .code = ERR_TIMEOUT };
  sim_after (&w->sim, sim_delay (&w->sim, CLK_S), deliver, a);
}

static void
send_to_engine (void *ctx, guint64 token,
                const struct reconciler_request *request)
{
  struct node *node = ctx;
  struct world *w = node->w;
  struct arrival *a = g_new0 (struct arrival, 1);
  *a = (struct arrival){ .node = node, .token = token, .request = *request };
  w->calls++;
  a->engine = &w->engines[request->backend.s[1] - '0'];
  if (lease_order_fence (node->lock, a->engine->checks_fence) != request->fence)
    report_error (w, "call without the current fencing number");
  if (w->faulty && sim_chance (&w->sim, 0.15))
    {
      a->response.code
          = sim_chance (&w->sim, 0.5) ? ERR_UNAVAILABLE : ERR_TIMEOUT;
      sim_after (&w->sim, request->timeout_us, deliver, a);
      return;
    }
  sim_after (&w->sim, sim_delay (&w->sim, LEASE_ORDER_DELIVERY_MAX_US - CLK_S),
             on_engine_request, a);
}

static void
store_done (void *ctx, const struct storage_response *response)
{
  struct arrival *a = ctx;
  a->store_response = *response;
  if (response->body)
    g_bytes_ref (response->body);
  deliver (a);
}

static void
on_store_request (void *ctx, guint64 token,
                  const struct storage_request *request)
{
  struct node *node = ctx;
  struct arrival *a = g_new0 (struct arrival, 1);
  *a = (struct arrival){ .node = node,
                         .token = token,
                         .is_store_response = TRUE };
  sim_store_start (&node->w->store, request, store_done, a);
}

static void
on_tick (void *ctx)
{
  struct node *node = ctx;
  if (node->w->stopped)
    return;
  if (node->paused_until <= node->w->sim.clk.t)
    {
      lease_tick (node->lock);
      reconciler_tick (node->reconciler);
    }
  sim_after (&node->w->sim, RECONCILER_TICK_US, on_tick, node);
}

static void
inject_fault (void *ctx)
{
  struct world *w = ctx;
  struct node *node = &w->nodes[g_rand_int_range (w->sim.rand, 0, NODES)];
  struct engine *engine
      = &w->engines[g_rand_int_range (w->sim.rand, 0, ENGINES)];
  if (!w->faulty)
    return;
  switch (g_rand_int_range (w->sim.rand, 0, 4))
    {
    case 0:
      node->paused_until = w->sim.clk.t + sim_delay (&w->sim, 40 * CLK_S);
      break;
    case 1: /* it restarts with nothing loaded */
      engine->has_model = FALSE;
      engine->adapter[0] = engine->role[0] = engine->last_id[0] = '\0';
      break;
    case 2:
      lease_want (node->lock, sim_chance (&w->sim, 0.7));
      break;
    default:
      w->store.silent = !w->store.silent;
      break;
    }
  sim_after (&w->sim, sim_delay (&w->sim, 20 * CLK_S), inject_fault, w);
}

static void
set_targets (struct reconciler *reconciler, const struct engine *engine,
             const char *role)
{
  struct reconciler_target targets[] = { { RECONCILER_LOAD_MODEL, { "m1" } },
                                         { RECONCILER_LOAD_ADAPTER, { "a1" } },
                                         { RECONCILER_SET_ROLE, { "" } } };
  str_id_set (&targets[2].name, str_of (role));
  CU_ASSERT_EQUAL (reconciler_set_targets (reconciler, engine->name,
                                           engine->checks_fence, targets,
                                           G_N_ELEMENTS (targets)),
                   0);
}

static void
node_start (struct world *w, guint i)
{
  struct node *node = &w->nodes[i];
  struct lease_options lease = { .clk = &w->sim.clk.clk,
                                 .seed = i,
                                 .chart = w->lease_chart,
                                 .incarnation = 1,
                                 .object = "lease/orders",
                                 .start_request = on_store_request,
                                 .ctx = node };
  g_snprintf (lease.self.s, sizeof lease.self.s, "n%u", i);
  node->w = w;
  node->lock = lease_new (&lease);
  node->reconciler = reconciler_new (
      &(struct reconciler_options){ .clk = &w->sim.clk.clk,
                                    .seed = i,
                                    .chart = w->order_chart,
                                    .lease_lock = node->lock,
                                    .start_request = send_to_engine,
                                    .ctx = node });
  lease_want (node->lock, TRUE);
  for (guint e = 0; e < ENGINES; e++)
    set_targets (node->reconciler, &w->engines[e], "prefill");
  on_tick (node);
}

static struct world *
world_new (guint32 seed)
{
  struct world *w = g_new0 (struct world, 1);
  struct err err;
  w->seed = seed;
  sim_init (&w->sim, seed);
  sim_store_init (&w->store, &w->sim);
  lease_chart_load (JW_SOURCE_DIR "/charts", &w->lease_chart, &err);
  reconciler_chart_load (JW_SOURCE_DIR "/charts", &w->order_chart, &err);
  for (guint i = 0; i < ENGINES; i++)
    {
      w->engines[i].checks_fence = i < ENGINES - 1;
      g_snprintf (w->engines[i].name, sizeof w->engines[i].name, "e%u", i);
    }
  for (guint i = 0; i < NODES; i++)
    node_start (w, i);
  return w;
}

/* Frees W; returns the number of its errors. */
static guint
world_free (struct world *w)
{
  guint errors = w->errors;
  w->stopped = TRUE;
  sim_run (&w->sim, w->sim.clk.t + 1000 * CLK_S);
  for (guint i = 0; i < NODES; i++)
    {
      reconciler_free (w->nodes[i].reconciler);
      lease_free (w->nodes[i].lock);
    }
  statechart_free (w->lease_chart);
  statechart_free (w->order_chart);
  sim_store_clear (&w->store);
  sim_clear (&w->sim);
  g_free (w);
  return errors;
}

/* Checks that each engine has its targets, and that the holder knows it. */
static void
check_settled (struct world *w, const char *role)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      const struct engine *engine = &w->engines[i];
      gboolean known_settled = FALSE;
      if (!engine->has_model || strcmp (engine->adapter, "a1") != 0
          || strcmp (engine->role, role) != 0)
        report_error (w, "engine lacks a target after the faults ended");
      for (guint n = 0; n < NODES; n++)
        known_settled
            |= lease_state (w->nodes[n].lock) == LEASE_HELD
               && reconciler_settled (w->nodes[n].reconciler, engine->name);
      if (!known_settled)
        report_error (w, "holder does not know that an engine is settled");
    }
}

static guint
world_run (guint32 seed)
{
  struct world *w = world_new (seed);
  w->faulty = TRUE;
  inject_fault (w);
  sim_run (&w->sim, w->sim.clk.t + FAULTS_US / 2);
  for (guint n = 0; n < NODES; n++)
    for (guint i = 0; i < ENGINES; i++)
      set_targets (w->nodes[n].reconciler, &w->engines[i], "decode");
  sim_run (&w->sim, w->sim.clk.t + FAULTS_US / 2);
  w->faulty = FALSE;
  w->store.silent = FALSE;
  for (guint n = 0; n < NODES; n++)
    {
      w->nodes[n].paused_until = 0;
      lease_want (w->nodes[n].lock, TRUE);
    }
  sim_run (&w->sim, w->sim.clk.t + RECOVERY_US);
  check_settled (w, "decode");
  if (w->calls > CALLS_MAX)
    report_error (w, "too many calls");
  return world_free (w);
}

static void
test_schedules (void)
{
  const char *one = g_getenv ("ORD_SEED");
  const char *many = g_getenv ("ORD_SEEDS");
  guint32 first = one ? (guint32)strtoul (one, NULL, 10) : 1;
  guint32 n = one ? 1 : many ? (guint32)strtoul (many, NULL, 10) : SEEDS;
  guint errors = 0;
  for (guint32 seed = first; seed < first + n && errors < 10; seed++)
    errors += world_run (seed);
  CU_ASSERT_EQUAL (errors, 0);
}

static void
test_few_calls (void)
{
  struct world *w = world_new (1);
  sim_run (&w->sim, w->sim.clk.t + 25 * CLK_S);
  check_settled (w, "prefill");
  /* One read first, then an order and a read for each of three targets. */
  CU_ASSERT_EQUAL (w->calls, ENGINES * 7);
  sim_run (&w->sim, w->sim.clk.t + RECONCILER_REREAD_US);
  CU_ASSERT_EQUAL (w->calls, ENGINES * 8);
  CU_ASSERT_EQUAL (world_free (w), 0);
}

static void
test_superseded (void)
{
  struct world *w = world_new (1);
  w->engines[0].fence = 1000;
  sim_run (&w->sim, w->sim.clk.t + 25 * CLK_S);
  CU_ASSERT_FALSE (w->engines[0].has_model);
  CU_ASSERT_TRUE (w->engines[1].has_model);
  CU_ASSERT_FALSE (reconciler_settled (w->nodes[0].reconciler, "e0"));
  CU_ASSERT_FALSE (reconciler_settled (w->nodes[1].reconciler, "e0"));
  CU_ASSERT_EQUAL (world_free (w), 0);
}

static CU_TestInfo tests[] = {
  { "seeded schedules: engines reach their targets", test_schedules },
  { "as few calls as needed", test_few_calls },
  { "an engine with a higher fencing number", test_superseded },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "orders", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
