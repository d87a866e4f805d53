/* Complete decision cores under random faults, checked by the rules of
   core_rules.h. JW_SEED=N runs seed N only.  */
#include "unit/unit.h"

#include "unit/core_rules.h"

#include <stdlib.h>

#define SEEDS 300
#define LOSS_SEEDS 100
#define START_US (3 * CLK_S)
#define FAULTS_US (12 * CLK_S)
#define STEP_US (20 * CLK_MS)
#define DRAWS_HASH G_GUINT64_CONSTANT (0x972289a7b482e1d5) /* of seed 1 */
#define IDLE_US (15 * CLK_S) /* until owners have dropped all entries */

static void
new_job (struct world *world, struct instance *instance, enum job_kind kind,
         guint key)
{
  const struct cluster_config *cfg
      = instance->core ? core_config (instance->core) : NULL;
  if (cfg == NULL || world->n_jobs == JOBS_MAX)
    return;
  struct job *job = &world->jobs[world->n_jobs++];
  struct delivery *delivery = delivery_new (instance, CORE_REQUEST);
  struct core_request_spec *request = &delivery->event.request;
  gboolean stream = kind == JOB_STREAM;
  *job = (struct job){ .kind = kind, .key = key };
  job->instance = instance->index;
  job->generation = instance->generation;
  job->other_body = kind == JOB_KEYED && sim_chance (&world->sim, 0.05);
  request->id = world->n_jobs;
  request->class_index = pick (world, 2);
  request->pool = (guint)cluster_find_pool (
      cfg, stream ? CLUSTER_ENGINE : CLUSTER_SERVICE,
      str_of (stream ? "m" : "s"));
  request->prompt_tokens = 100;
  request->bytes = 400;
  request->streamed = request->repeatable = stream;
  request->keyed = kind == JOB_KEYED;
  request->key[0] = (guint8)key;
  request->body_digest[0] = (guint8)job->other_body;
  sim_after (&world->sim, 0, deliver, delivery);
}

/* Sends a request to a random instance that the load balancer may still
   choose: one that is not shutting down or is within its grace period. A keyed
   request is also sent up to twice to some of the first three instances.  */
static void
send_requests (struct world *world)
{
  struct instance *instance = &world->instances[pick (world, INSTANCES)];
  enum job_kind kind = pick (world, JOB_KINDS);
  if (instance->shutdown_at != 0
      && world->sim.clk.t - instance->shutdown_at >= GRACE_US)
    return;
  guint key = pick (world, KEYS);
  for (guint n = kind == JOB_KEYED ? 1 + pick (world, 3) : 1; n > 0; n--)
    new_job (world, n == 1 ? instance : &world->instances[pick (world, 3)],
             kind, key);
}

static void
disconnect_client (struct world *world)
{
  guint index = world->n_jobs ? pick (world, world->n_jobs) : 0;
  struct job *job = &world->jobs[index];
  struct instance *instance = &world->instances[job->instance];
  struct core_event event = { .kind = CORE_CLIENT_DISCONNECTED };
  if (world->n_jobs == 0 || job->over || !job->accepted || is_frozen (instance))
    return;
  event.client_disconnected = index + 1;
  job->over = TRUE;
  record (world, REC_DISCONNECT, job->instance, index);
  core_handle (instance->core, &event);
}

static void
on_updated (void *ctx, const struct follower_result *result)
{
  (void)ctx;
  (void)result;
}

/* An operator drains SERVER, or ends that, through a random instance.  */
static void
drain (struct world *world, guint server, gboolean on)
{
  char name[] = { 'b', (char)('0' + server), '\0' };
  struct instance *instance = &world->instances[pick (world, INSTANCES)];
  const struct cluster_config *cfg
      = instance->core ? core_config (instance->core) : NULL;
  struct err err;
  if (cfg == NULL || is_frozen (instance))
    return;
  g_autoptr (GBytes) body = cluster_with_drain (cfg->body, name, on, &err);
  core_update_config (instance->core, cfg->version, body, on_updated, NULL);
}

/* A server leaves or returns, by its own reports or by the operator.  */
static void
leave_or_return (struct world *world, guint server)
{
  struct server *leaver = &world->servers[server];
  if (server >= SERVERS / 2 || sim_chance (&world->sim, 0.5))
    {
      drain (world, server, sim_chance (&world->sim, 0.6));
      return;
    }
  leaver->leaving = !leaver->leaving;
  record (world, leaver->leaving ? REC_LEAVE : REC_RETURN, 0, 0)->server
      = server;
}

static void
resume (void *ctx)
{
  struct instance *instance = ctx;
  if (instance->core != NULL && !is_frozen (instance))
    record (instance->world, REC_RESUME, instance->index, 0);
}

static void
freeze (struct instance *instance, gint64 for_us)
{
  struct world *world = instance->world;
  if (instance->core == NULL || is_frozen (instance))
    return;
  instance->frozen_until = world->sim.clk.t + for_us;
  record (world, REC_FREEZE, instance->index, 0);
  sim_after (&world->sim, for_us, resume, instance);
}

/* Freezes an instance that waits for grants or for the ledger, and makes a
   server leave meanwhile. The instance must not use its old grants.  */
static void
freeze_with_requests (struct world *world, struct instance *instance)
{
  guint server = instance->index % DOMAINS + DOMAINS * pick (world, 4);
  enum job_kind kind = server < SERVERS / 2            ? JOB_STREAM
                       : sim_chance (&world->sim, 0.5) ? JOB_ONCE
                                                       : JOB_KEYED;
  for (guint i = 0; i < 6; i++)
    new_job (world, instance, kind, pick (world, KEYS));
  sim_run (&world->sim, world->sim.clk.t + between (world, 0, 200 * CLK_MS));
  freeze (instance, between (world, 3200 * CLK_MS, 7 * CLK_S));
  leave_or_return (world, server);
}

static void
shut_down (struct instance *instance)
{
  const struct core_event event = { .kind = CORE_SHUTDOWN };
  if (instance->core == NULL || instance->shutdown_at != 0
      || is_frozen (instance))
    return;
  instance->shutdown_at = instance->world->sim.clk.t;
  record (instance->world, REC_SHUTDOWN, instance->index, 0);
  core_handle (instance->core, &event);
}

static void
disturb_store (struct world *world)
{
  struct sim_store *store = &world->store;
  guint domain;
  sim_store_clear_faults (store);
  switch (pick (world, 5))
    {
    case 0:
      store->refusing = TRUE;
      break;
    case 1:
      store->silent = TRUE;
      break;
    case 2:
      store->lost_before = 0.2;
      store->lost_after = 0.3;
      store->late = 0.1;
      break;
    case 3:
      domain = pick (world, DOMAINS);
      world->store_unreachable_until[domain]
          = world->sim.clk.t + between (world, CLK_S, 6 * CLK_S);
      break;
    default:
      break;
    }
}

static void
start_fault (struct world *world)
{
  struct instance *instance = &world->instances[pick (world, INSTANCES)];
  gint64 until = world->sim.clk.t + between (world, CLK_S, 8 * CLK_S);
  guint a = pick (world, INSTANCES);
  switch (pick (world, 9))
    {
    case 0:
      stop_instance (instance);
      sim_after (&world->sim, between (world, 50 * CLK_MS, 4 * CLK_S),
                 start_instance, instance);
      break;
    case 1:
      freeze (instance, between (world, 300 * CLK_MS, 8 * CLK_S));
      break;
    case 2:
      freeze_with_requests (world, instance);
      break;
    case 3:
      shut_down (instance);
      break;
    case 4:
      world->partitioned_until = until;
      break;
    case 5:
      break_link (world, a, (a + 1 + pick (world, INSTANCES - 1)) % INSTANCES,
                  50 * CLK_MS);
      break;
    case 6:
      disturb_store (world);
      break;
    case 7:
      world->servers[pick (world, SERVERS)].down_until = until;
      break;
    default:
      leave_or_return (world, pick (world, SERVERS));
      break;
    }
}

static void
run_with_faults (struct world *world)
{
  world->faults = TRUE;
  for (gint64 end = world->sim.clk.t + FAULTS_US; world->sim.clk.t < end;)
    {
      if (sim_chance (&world->sim, 0.3))
        send_requests (world);
      if (sim_chance (&world->sim, 0.01))
        disconnect_client (world);
      if (sim_chance (&world->sim, 0.04))
        start_fault (world);
      sim_run (&world->sim, world->sim.clk.t + STEP_US);
    }
}

static void
end_faults (struct report *report)
{
  struct world *world = report->world;
  report->faults_ended = world->sim.clk.t;
  world->faults = FALSE;
  world->partitioned_until = 0;
  memset (world->store_unreachable_until, 0,
          sizeof world->store_unreachable_until);
  sim_store_clear_faults (&world->store);
  for (guint i = 0; i < SERVERS; i++)
    world->servers[i].down_until = 0;
  for (guint i = 0; i < INSTANCES; i++)
    if (is_frozen (&world->instances[i]))
      world->instances[i].frozen_until = world->sim.clk.t + CLK_S;
}

static guint
unfinished (const struct world *world)
{
  guint n = 0;
  for (guint i = 0; i < world->n_jobs; i++)
    n += !world->jobs[i].over;
  return n;
}

/* Waits until all requests have ended and owners have dropped their queue
   entries, then shuts down all instances at once. Each must be idle.  */
static void
finish_and_shut_down (struct world *world)
{
  gint64 due = world->sim.clk.t + END_WITHIN_US;
  while (unfinished (world) > 0 && world->sim.clk.t < due)
    sim_run (&world->sim, world->sim.clk.t + 500 * CLK_MS);
  sim_run (&world->sim, world->sim.clk.t + IDLE_US);
  for (guint i = 0; i < INSTANCES; i++)
    shut_down (&world->instances[i]);
  sim_run (&world->sim, world->sim.clk.t + 200 * CLK_MS);
}

struct totals
{
  guint records[REC_DRAINED + 1];
  guint jobs;
  guint rejected;
};

static void
add_totals (struct totals *totals, const struct report *report)
{
  totals->jobs += report->world->n_jobs;
  for (guint i = 0; i < report->world->history->len; i++)
    {
      const struct rec *rec = rec_at (report, i);
      totals->records[rec->kind]++;
      totals->rejected += rec->kind == REC_FAIL && rec->ran == CORE_RAN_NO;
    }
}

static struct report *
open_report (guint32 seed)
{
  struct report *report = g_new0 (struct report, 1);
  report->world = g_new (struct world, 1);
  world_init (report->world, seed);
  sim_run (&report->world->sim, report->world->sim.clk.t + START_US);
  return report;
}

/* Prints a violation, frees REPORT and returns whether no rule was
   violated.  */
static gboolean
close_report (struct report *report, guint32 seed, struct totals *totals)
{
  gboolean passed = report->violation == NULL;
  add_totals (totals, report);
  if (!passed)
    g_print ("\nseed %u: %s (%u, %s); repeat: JW_SEED=%u "
             "build/tests/test_nod\n",
             seed, report->violation, report->subject,
             report->code ? report->code : "-", seed);
  world_clear (report->world);
  g_free (report->world);
  g_free (report);
  return passed;
}

static gboolean
run_faults (guint32 seed, struct totals *totals)
{
  struct report *report = open_report (seed);
  run_with_faults (report->world);
  end_faults (report);
  finish_and_shut_down (report->world);
  check_all (report);
  return close_report (report, seed, totals);
}

/* Runs the seeds from 1 to N, or JW_SEED only, until 5 have failed. Returns
   the number of failed seeds.  */
static guint
run_seeds (gboolean (*run) (guint32 seed, struct totals *totals), guint32 n,
           struct totals *totals)
{
  const char *only = g_getenv ("JW_SEED");
  guint32 first = only ? (guint32)strtoul (only, NULL, 10) : 1;
  guint32 last = only ? first : n;
  guint failed = 0;
  for (guint32 seed = first; seed <= last && failed < 5; seed++)
    failed += !run (seed, totals);
  return failed;
}

static void
test_schedules (void)
{
  struct totals totals = { 0 };
  guint failed = run_seeds (run_faults, SEEDS, &totals);
  CU_ASSERT_EQUAL (failed, 0);
  g_print ("%u requests: %u completed, %u replayed, %u failed (%u not run); "
           "%u attempts, %u runs; %u stops, %u freezes, %u drained\n",
           totals.jobs, totals.records[REC_FINISH], totals.records[REC_REPLAY],
           totals.records[REC_FAIL], totals.rejected, totals.records[REC_OPEN],
           totals.records[REC_RUN], totals.records[REC_STOP],
           totals.records[REC_FREEZE], totals.records[REC_DRAINED]);
  for (guint i = 0; i <= REC_DRAINED; i++)
    CU_ASSERT_TRUE (g_getenv ("JW_SEED") || totals.records[i] > 0);
}

/* Shuts down, kills and freezes an instance and breaks connections under
   load.  */
static void
run_with_losses (struct world *world)
{
  guint first = pick (world, INSTANCES);
  for (guint step = 0; step < 450; step++)
    {
      struct instance *instance
          = &world->instances[(first + step / 150) % INSTANCES];
      if (sim_chance (&world->sim, 0.35))
        {
          guint index = pick (world, INSTANCES);
          gboolean stream = sim_chance (&world->sim, 0.6);
          new_job (world, &world->instances[index],
                   stream ? JOB_STREAM : JOB_ONCE, 0);
        }
      if (step == 50)
        shut_down (instance);
      if (step == 200)
        {
          stop_instance (instance);
          sim_after (&world->sim, CLK_S, start_instance, instance);
        }
      if (sim_chance (&world->sim, 0.02))
        break_link (world, instance->index, (instance->index + 1) % INSTANCES,
                    50 * CLK_MS);
      if (step == 350)
        freeze (instance, between (world, CLK_S, 6 * CLK_S));
      sim_run (&world->sim, world->sim.clk.t + STEP_US);
    }
}

static gboolean
run_losses (guint32 seed, struct totals *totals)
{
  struct report *report = open_report (seed);
  run_with_losses (report->world);
  end_faults (report);
  finish_and_shut_down (report->world);
  check_all (report);
  check_responses (report);
  return close_report (report, seed, totals);
}

/* Without faults of servers and the store, the loss of shard owners must not
   fail any request.  */
static void
test_losses (void)
{
  struct totals totals = { 0 };
  guint failed = run_seeds (run_losses, LOSS_SEEDS, &totals);
  CU_ASSERT_EQUAL (failed, 0);
  CU_ASSERT_TRUE (totals.jobs > 0);
}

/* Of the two instances of a domain one leaves and the other one is frozen,
   while requests of another domain wait at the frozen one.  */
static void
test_last_owner_leaves (void)
{
  struct report *report = open_report (1);
  struct world *world = report->world;
  struct totals totals = { 0 };
  for (guint step = 0; step < 150; step++)
    {
      guint index = step % 3 * 2; /* of domain d0 */
      new_job (world, &world->instances[index], JOB_STREAM, 0);
      if (step % 8 == 0)
        new_job (world, &world->instances[1], JOB_STREAM, 0);
      if (step == 30)
        shut_down (&world->instances[1]);
      if (step == 60)
        freeze (&world->instances[3], 8 * CLK_S);
      sim_run (&world->sim, world->sim.clk.t + 4 * STEP_US);
    }
  end_faults (report);
  finish_and_shut_down (world);
  check_all (report);
  check_responses (report);
  CU_ASSERT_TRUE (close_report (report, 1, &totals));
}

/* A shard owner is restarted and frozen before its first event, for longer than
   an instance warms up. It must not grant slots of a server that has begun to
   leave meanwhile.  */
static void
test_frozen_at_start (void)
{
  for (guint phase = 0; phase < 5; phase++)
    {
      struct report *report = open_report (1);
      struct world *world = report->world;
      struct instance *owner = &world->instances[2];
      struct totals totals = { 0 };
      stop_instance (owner);
      world->servers[2].leaving = TRUE;
      record (world, REC_LEAVE, 0, 0)->server = 2;
      sim_run (&world->sim, world->sim.clk.t + CLK_S);
      start_instance (owner);
      freeze (owner, 5 * CLK_S + phase * 100 * CLK_MS);
      for (guint step = 0; step < 400; step++)
        {
          new_job (world, &world->instances[step % 2 * 4], JOB_STREAM, 0);
          sim_run (&world->sim, world->sim.clk.t + STEP_US);
        }
      end_faults (report);
      finish_and_shut_down (world);
      check_all (report);
      CU_ASSERT_TRUE (close_report (report, 1, &totals));
    }
}

/* A request that ends each server which runs it must not be taken from server
   to server.  */
static void
test_crashing_request (void)
{
  struct report *report = open_report (1);
  struct world *world = report->world;
  guint arrived = 0;
  struct totals totals = { 0 };
  world->crashes = TRUE;
  new_job (world, &world->instances[0], JOB_STREAM, 0);
  sim_run (&world->sim, world->sim.clk.t + IDLE_US);
  for (guint i = 0; i < SERVERS; i++)
    arrived += world->servers[i].down_until > 0;
  g_print ("%u servers ended ", arrived);
  CU_ASSERT_TRUE (arrived > 0);
  CU_ASSERT_TRUE (arrived <= 2);
  CU_ASSERT_TRUE (world->jobs[0].over);
  CU_ASSERT_TRUE (close_report (report, 1, &totals));
}

/* A seed draws the same faults on every machine.  */
static void
test_same_draws (void)
{
  struct world world = { 0 };
  guint64 hash = 0;
  sim_init (&world.sim, 1);
  for (guint i = 0; i < 1000; i++)
    {
      gint64 at = between (&world, 0, 7 * CLK_S);
      guint kind = pick (&world, 9);
      gboolean happens = sim_chance (&world.sim, 0.3);
      const gint64 draws[] = { at, kind, happens };
      hash = str_hash ((struct str){ (const char *)draws, sizeof draws }, hash);
    }
  g_print ("%016" G_GINT64_MODIFIER "x ", hash);
  CU_ASSERT_EQUAL (hash, DRAWS_HASH);
  sim_clear (&world.sim);
}

static CU_TestInfo tests[] = {
  { "a seed gives the same draws everywhere", test_same_draws },
  { "random faults violate no rule", test_schedules },
  { "lost shard owners fail no request", test_losses },
  { "the last owner of a domain leaves", test_last_owner_leaves },
  { "an instance is frozen at its start", test_frozen_at_start },
  { "a request that ends servers", test_crashing_request },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "decision core", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
