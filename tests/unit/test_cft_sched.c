/* Each seed gives one schedule of concurrent operators, restarts, outages, lost
   responses and partitions. Applied versions and the outcomes of updates are
   checked against the platform's history.  */
#include "unit/unit.h"

#include "unit/follower_sim.h"

#define SEEDS 300
#define SCHEDULE_HASH G_GUINT64_CONSTANT (0x266a65eb59202ec9)
#define FAULTS_US (40 * CLK_S)
#define CONVERGE_US (15 * CLK_S) /* to converge after the last fault */

static void
on_update_done (void *ctx, const struct follower_result *result)
{
  struct attempt *attempt = ctx;
  struct sim *sim = attempt->sim;
  if (attempt->completed)
    report_violation (sim, "an update was completed twice");
  attempt->completed = TRUE;
  attempt->result = *result;
  sim->outcomes[result->outcome]++;
  if (result->outcome != FOLLOWER_ACCEPTED)
    return;
  if (result->version > newest (sim)
      || !g_bytes_equal (attempt->body, body_of (sim, result->version)))
    report_violation (sim,
                      "an accepted update is not in the platform's history");
}

/* Starts an operator's update through instance INDEX. It expects the version
   that this instance has applied or, at times, the newest one.  */
static void
start_update (struct sim *sim, guint index)
{
  struct follower *follower = sim->nodes[index].follower;
  struct attempt *attempt = g_new0 (struct attempt, 1);
  attempt->sim = sim;
  attempt->body = new_body (sim, 'b');
  guint64 expected
      = random_chance (sim, 0.8) ? follower_version (follower) : newest (sim);
  if (expected > 0
      && follower_update (follower, expected, attempt->body, on_update_done,
                          attempt)
             == 0)
    {
      g_ptr_array_add (sim->attempts, attempt);
      return;
    }
  g_bytes_unref (attempt->body);
  g_free (attempt);
}

static void
start_fault (struct sim *sim)
{
  gint64 until = sim->clk.t + random_between (sim, 200 * CLK_MS, 8 * CLK_S);
  guint a = (guint)g_rand_int_range (sim->rand, 0, DOMAINS);
  guint b = (guint)g_rand_int_range (sim->rand, 0, DOMAINS + 1);
  switch (g_rand_int_range (sim->rand, 0, 6))
    {
    case 0:
      sim->store_down_until = until;
      end_watches (sim, NODES, ERR_IO);
      break;
    case 1:
      sim->store_slow_until = until;
      break;
    case 2:
      sim->store_loses_until = until;
      break;
    case 3:
      sim->partitioned_until[a][b] = sim->partitioned_until[b][a] = until;
      break;
    case 4:
      node_start (sim, (guint)g_rand_int_range (sim->rand, 0, NODES));
      break;
    default:
      if (random_chance (sim, 0.3) && newest (sim) > 0)
        {
          g_autoptr (GBytes) bad = new_body (sim, '!');
          store_write (sim, bad);
        }
    }
}

static void
act_at_random (struct sim *sim)
{
  if (random_chance (sim, 0.015))
    {
      guint n = (guint)g_rand_int_range (sim->rand, 1, 4);
      while (n-- > 0)
        start_update (sim, (guint)g_rand_int_range (sim->rand, 0, NODES));
    }
  if (sim->faults && random_chance (sim, 0.012))
    start_fault (sim);
}

static gboolean
has_converged (const struct sim *sim)
{
  for (guint i = 0; i < NODES; i++)
    if (follower_version (sim->nodes[i].follower) != newest (sim))
      return FALSE;
  return TRUE;
}

/* Ends all faults and replaces an invalid body, as an operator would.  */
static void
end_faults (struct sim *sim)
{
  sim->faults = FALSE;
  sim->store_down_until = sim->store_slow_until = sim->store_loses_until = 0;
  memset (sim->partitioned_until, 0, sizeof sim->partitioned_until);
  if (*(const char *)g_bytes_get_data (body_of (sim, newest (sim)), NULL)
      == '!')
    {
      g_autoptr (GBytes) good = new_body (sim, 'b');
      store_write (sim, good);
    }
}

/* Checks that updates reported as not applied are not in the platform's
   history.  */
static void
check_attempts (struct sim *sim)
{
  for (guint i = 0; i < sim->attempts->len; i++)
    {
      const struct attempt *attempt = sim->attempts->pdata[i];
      gboolean must_be_absent
          = attempt->completed
            && (attempt->result.outcome == FOLLOWER_REJECTED
                || (attempt->result.outcome == FOLLOWER_CONFLICT
                    && !attempt->result.may_have_run));
      for (guint v = 0; v < sim->history->len && must_be_absent; v++)
        if (g_bytes_equal (sim->history->pdata[v], attempt->body))
          report_violation (
              sim, "an update reported as not applied is in the history");
    }
}

struct totals
{
  guint outcomes[4];
  guint restarts;
  gint64 slowest; /* to converge after the last fault, microseconds */
  guint64 stale;
  guint64 rejected;
};

static void
run_seed (guint32 seed, struct totals *totals)
{
  struct sim sim;
  sim_init (&sim, seed);
  sim.faults = TRUE;
  for (gint64 end = sim.clk.t + FAULTS_US; sim.clk.t < end;)
    {
      act_at_random (&sim);
      step (&sim);
    }
  end_faults (&sim);
  gint64 faults_ended = sim.clk.t;
  gint64 converged = faults_ended;
  while (sim.clk.t < faults_ended + CONVERGE_US)
    {
      step (&sim);
      if (!has_converged (&sim))
        converged = sim.clk.t;
    }
  if (!has_converged (&sim))
    report_violation (&sim, "the instances did not converge");
  check_attempts (&sim);
  CU_ASSERT_FALSE (sim.failed);
  if (sim.failed)
    g_print ("seed %u\n", seed);
  for (guint i = 0; i < G_N_ELEMENTS (totals->outcomes); i++)
    totals->outcomes[i] += sim.outcomes[i];
  totals->slowest = MAX (totals->slowest, converged - faults_ended);
  for (guint i = 0; i < NODES; i++)
    {
      totals->restarts += sim.nodes[i].incarnation - 1;
      totals->stale += sim.nodes[i].counter_set.v[COUNTER_CONFIG_STALE];
      totals->rejected += sim.nodes[i].counter_set.v[COUNTER_CONFIG_REJECTED];
    }
  sim_clear (&sim);
}

static void
test_schedules (void)
{
  struct totals totals = { 0 };
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, &totals);
  g_print ("%d seeds: %u accepted, %u conflicts, %u rejected, %u unknown; %u "
           "restarts, %" G_GUINT64_FORMAT " stale, %" G_GUINT64_FORMAT
           " invalid; longest time to converge %.2f s\n",
           SEEDS, totals.outcomes[FOLLOWER_ACCEPTED],
           totals.outcomes[FOLLOWER_CONFLICT],
           totals.outcomes[FOLLOWER_REJECTED],
           totals.outcomes[FOLLOWER_UNKNOWN], totals.restarts, totals.stale,
           totals.rejected, (double)totals.slowest / CLK_S);
  for (guint i = 0; i < G_N_ELEMENTS (totals.outcomes); i++)
    CU_ASSERT_TRUE (totals.outcomes[i] > 0);
  CU_ASSERT_TRUE (totals.stale > 0);
  CU_ASSERT_TRUE (totals.rejected > 0);
}

/* Without faults: checks the time until an accepted update is applied
   everywhere and the calls to the platform, with two watchers per failure
   domain.  */
static void
test_without_faults (void)
{
  gint64 slowest = 0;
  struct sim sim;
  sim_init (&sim, 1);
  while (!has_converged (&sim))
    step (&sim);
  for (gint64 end = sim.clk.t + 4 * CLK_S; sim.clk.t < end;)
    step (&sim);
  CU_ASSERT_EQUAL (sim.reads, 2 * DOMAINS);
  guint before = sim.watch_calls;
  for (gint64 end = sim.clk.t + 60 * CLK_S; sim.clk.t < end;)
    step (&sim);
  guint watches = sim.watch_calls - before;
  CU_ASSERT_EQUAL (watches, 60 * CLK_S / FOLLOWER_WATCH_US * 2 * DOMAINS);
  for (guint i = 0; i < 100; i++)
    {
      gint64 from = sim.clk.t;
      start_update (&sim, i % NODES);
      step (&sim);
      step (&sim);
      while (!has_converged (&sim))
        step (&sim);
      slowest = MAX (slowest, sim.clk.t - from);
      for (gint64 end = sim.clk.t + CLK_S; sim.clk.t < end;)
        step (&sim);
    }
  g_print (
      "no faults: %u reads at the start, %u watches in 60 s of %d domains; "
      "applied everywhere after at most %.0f ms\n",
      sim.reads, watches, DOMAINS, (double)slowest / CLK_MS);
  CU_ASSERT_EQUAL (sim.outcomes[FOLLOWER_ACCEPTED], sim.attempts->len);
  CU_ASSERT_EQUAL (sim.writes, sim.attempts->len);
  CU_ASSERT_EQUAL (sim.reads, 2 * DOMAINS);
  CU_ASSERT_TRUE (slowest < CLK_S);
  CU_ASSERT_FALSE (sim.failed);
  sim_clear (&sim);
}

/* All watches begin while the platform is partitioned off from all instances:
   nothing answers them. Once the faults are over, the configuration must reach
   all instances in time all the same.  */
static void
test_watches_into_partition (void)
{
  struct sim sim;
  sim_init (&sim, 1);
  while (!has_converged (&sim))
    step (&sim);
  for (guint i = 0; i < DOMAINS; i++)
    sim.partitioned_until[i][PLATFORM_SIDE]
        = sim.partitioned_until[PLATFORM_SIDE][i] = G_MAXINT64;
  end_watches (&sim, NODES, ERR_IO);
  for (gint64 end = sim.clk.t + 6 * CLK_S; sim.clk.t < end;)
    step (&sim);
  memset (sim.partitioned_until, 0, sizeof sim.partitioned_until);
  g_autoptr (GBytes) body = new_body (&sim, 'b');
  store_write (&sim, body);
  for (gint64 end = sim.clk.t + CONVERGE_US; sim.clk.t < end;)
    step (&sim);
  CU_ASSERT_TRUE (has_converged (&sim));
  CU_ASSERT_FALSE (sim.failed);
  sim_clear (&sim);
}

/* The schedule of a seed is the same on every machine.  */
static void
test_same_schedule (void)
{
  struct sim sim;
  sim_init (&sim, 202);
  sim.faults = TRUE;
  for (gint64 end = sim.clk.t + 2 * CLK_S; sim.clk.t < end;)
    {
      act_at_random (&sim);
      step (&sim);
    }
  g_print ("%016" G_GINT64_MODIFIER "x ", sim.schedule_hash);
  CU_ASSERT_EQUAL (sim.schedule_hash, SCHEDULE_HASH);
  sim_clear (&sim);
}

static CU_TestInfo tests[] = {
  { "watches that begin during a partition", test_watches_into_partition },
  { "a seed gives the same schedule everywhere", test_same_schedule },
  { "invariants hold on seeded schedules", test_schedules },
  { "without faults, two watches per failure domain", test_without_faults },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "follower schedules", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
