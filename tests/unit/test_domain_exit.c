/* Leaving the failure domain. Instances, servers and gossip of up to 6 domains
   are simulated in steps; each test is a load pattern and guards against a
   failure of many instances that decide alone, from old information.  */
#include "unit/unit.h"

#include <math.h>
#include <string.h>

#include "sched/scheduler.h"

#define DOMAINS 6
#define SERVERS 10       /* of a domain */
#define INSTANCES_MAX 14 /* of a domain */
#define STEP_US (20 * CLK_MS)
#define SNAPSHOTS 11 /* one each 100 ms; the oldest is what others know */
#define HOME_AGE 2   /* snapshots */
#define PENDING_MAX_US 450000.0
#define WORK_US 60000.0
#define BODY_BYTES 8000
#define QUEUE_MAX 256

static const char *const names[DOMAINS] = { "a", "b", "c", "d", "e", "f" };

struct snapshot
{
  struct domain_exit_load load;
  guint waiting;
  guint waiters;
};

struct instance
{
  struct domain_exit *domain_exit;
  struct domain_exit_budget budget;
  double queue[QUEUE_MAX]; /* work of each, the oldest first */
  gint64 queued_at[QUEUE_MAX];
  guint n;
};

struct domain
{
  struct instance instances[INSTANCES_MAX];
  guint n_servers;
  double pending[SERVERS];
  struct snapshot snapshots[SNAPSHOTS]; /* the newest first */
  double load;                          /* mean, as a share of SERVERS */
  double swing;
  guint exits;
  guint arrivals;
  double wait_us; /* of all requests that arrived here */
};

static struct
{
  struct domain domains[DOMAINS];
  GRand *rand;
  gint64 now;
  guint n_instances; /* of each domain */
  gboolean stays;    /* nobody leaves */
  double mbps;
  guint changes;
  guint denied;
  guint64 region_bytes;
  double worst_wait_us[DOMAINS]; /* mean of the servers, highest of all times */
} sim;

static enum topology_distance
distance_of (guint x, guint y)
{
  return x == y           ? TOPOLOGY_SAME_DOMAIN
         : x / 3 == y / 3 ? TOPOLOGY_SAME_REGION
                          : TOPOLOGY_OTHER_REGION;
}

static void
on_changed (void *ctx, const struct domain_exit_target *target,
            const struct domain_exit_inputs *inputs)
{
  (void)ctx;
  (void)target;
  (void)inputs;
  sim.changes++;
}

static void
set_up (guint n_instances, double load, double swing)
{
  memset (&sim, 0, sizeof sim);
  sim.rand = g_rand_new_with_seed (7);
  sim.now = 1000 * CLK_S;
  sim.n_instances = n_instances;
  for (guint d = 0; d < DOMAINS; d++)
    {
      struct domain *domain = &sim.domains[d];
      domain->n_servers = SERVERS;
      domain->load = load;
      domain->swing = swing;
      for (guint i = 0; i < n_instances; i++)
        domain->instances[i].domain_exit = domain_exit_new ();
    }
}

static void
tear_down (void)
{
  for (guint d = 0; d < DOMAINS; d++)
    for (guint i = 0; i < sim.n_instances; i++)
      domain_exit_free (sim.domains[d].instances[i].domain_exit);
  g_rand_free (sim.rand);
}

static void
take_snapshot (struct domain *domain)
{
  struct snapshot *newest = domain->snapshots;
  memmove (newest + 1, newest, (SNAPSHOTS - 1) * sizeof *newest);
  *newest = (struct snapshot){ .load.n_servers = domain->n_servers };
  for (guint s = 0; s < domain->n_servers; s++)
    {
      newest->load.busy += domain->pending[s] > 0;
      newest->load.prefill_us += domain->pending[s];
    }
  for (guint i = 0; i < sim.n_instances; i++)
    {
      newest->waiting += domain->instances[i].n;
      newest->waiters += domain->instances[i].n > 0;
    }
}

static void
update (guint d, struct instance *instance)
{
  struct domain_exit_inputs inputs = { 0 };
  const struct snapshot *home = &sim.domains[d].snapshots[HOME_AGE];
  inputs.home = home->load;
  inputs.n_waiting = MAX (home->waiting, instance->n);
  /* An instance asks for the others only while it has requests waiting. */
  inputs.n_waiters = instance->n > 0 ? MAX (home->waiters, 1) : sim.n_instances;
  inputs.queue_wait_us = instance->n > 0 ? sim.now - instance->queued_at[0] : 0;
  for (guint k = 0; k < DOMAINS; k++)
    if (k != d)
      inputs.domains[inputs.n_domains++] = (struct domain_exit_domain){
        names[k], distance_of (d, k),
        sim.domains[k].snapshots[SNAPSHOTS - 1].load, CLK_S
      };
  domain_exit_budget_refill (&instance->budget, sim.mbps,
                             DOMAINS * sim.n_instances, sim.now);
  domain_exit_update (instance->domain_exit, &inputs, sim.now, on_changed,
                      NULL);
}

/* Sends WORK to the least loaded of three servers of DOMAIN, unless PENDING_MAX
   is exceeded there. Returns the work before it, or -1.  */
static double
send (struct domain *domain, double work, double pending_max)
{
  double *best = NULL;
  for (guint i = 0; i < 3; i++)
    {
      double *pending = &domain->pending[g_rand_int_range (
          sim.rand, 0, (gint32)domain->n_servers)];
      if (best == NULL || *pending < *best)
        best = pending;
    }
  if (*best > pending_max)
    return -1;
  *best += work;
  return *best - work;
}

/* Sends a request of domain D to another domain if INSTANCE decides so. Returns
   the wait there, or -1.  */
static double
leave (guint d, struct instance *instance, double work)
{
  for (guint k = 0; k < DOMAINS && !sim.stays; k++)
    {
      /* Each instance tries the domains in another order, those of the own
         region first. */
      guint x = (k + (guint)(instance - sim.domains[d].instances)) % 3
                + 3 * ((k / 3 + d / 3) % 2);
      struct domain_exit_query query = { .domain = names[x],
                                         .work_us = work,
                                         .body_bytes = BODY_BYTES,
                                         .left_us = 2 * CLK_S };
      if (x == d)
        continue;
      enum domain_exit_verdict verdict = domain_exit_decide (
          instance->domain_exit, &instance->budget, &query);
      sim.denied += verdict == DOMAIN_EXIT_OVER_BUDGET;
      if (verdict != DOMAIN_EXIT_LEAVE)
        continue;
      domain_exit_record (instance->domain_exit, names[x], work);
      sim.domains[d].exits++;
      if (distance_of (d, x) == TOPOLOGY_OTHER_REGION)
        {
          domain_exit_budget_charge (&instance->budget, BODY_BYTES);
          sim.region_bytes += BODY_BYTES;
        }
      return send (&sim.domains[x], work, INFINITY)
             + domain_exit_round_trip_us (distance_of (d, x));
    }
  return -1;
}

/* Starts the first request in the queue of INSTANCE. Returns whether it
   could.  */
static gboolean
start_first (guint d, struct instance *instance)
{
  double work = instance->queue[0];
  double wait = leave (d, instance, work);
  if (wait < 0)
    {
      wait = send (&sim.domains[d], work, PENDING_MAX_US);
      if (wait >= 0)
        domain_exit_record (instance->domain_exit, names[d], work);
    }
  if (wait < 0)
    return FALSE;
  sim.domains[d].wait_us += wait + (double)(sim.now - instance->queued_at[0]);
  instance->n--;
  memmove (instance->queue, instance->queue + 1,
           instance->n * sizeof *instance->queue);
  memmove (instance->queued_at, instance->queued_at + 1,
           instance->n * sizeof *instance->queued_at);
  return TRUE;
}

static void
arrive (guint d)
{
  struct domain *domain = &sim.domains[d];
  double phase = 2 * G_PI * ((double)sim.now / (13.0 * CLK_S) + d / 6.0);
  double mean = domain->load * (1 + domain->swing * sin (phase)) * SERVERS
                * STEP_US / WORK_US;
  /* The gaps between arrivals are exponential. */
  double t = -log (1 - g_rand_double (sim.rand));
  while (t < mean)
    {
      struct instance *instance = &domain->instances[g_rand_int_range (
          sim.rand, 0, (gint32)sim.n_instances)];
      t -= log (1 - g_rand_double (sim.rand));
      if (instance->n == QUEUE_MAX)
        continue;
      instance->queue[instance->n]
          = WORK_US * g_rand_double_range (sim.rand, 0.2, 1.8);
      instance->queued_at[instance->n++] = sim.now;
      domain->arrivals++;
    }
}

static void
run (gint64 us)
{
  for (gint64 end = sim.now + us; sim.now < end; sim.now += STEP_US)
    for (guint d = 0; d < DOMAINS; d++)
      {
        struct domain *domain = &sim.domains[d];
        double sum = 0;
        if (sim.now % (100 * CLK_MS) == 0)
          take_snapshot (domain);
        arrive (d);
        for (guint i = 0; i < sim.n_instances; i++)
          {
            struct instance *instance = &domain->instances[i];
            if (domain_exit_is_due (instance->domain_exit, sim.now))
              update (d, instance);
            while (instance->n > 0 && start_first (d, instance))
              ;
          }
        for (guint s = 0; s < SERVERS; s++)
          {
            sum += domain->pending[s];
            domain->pending[s] = MAX (domain->pending[s] - STEP_US, 0);
          }
        sim.worst_wait_us[d]
            = MAX (sim.worst_wait_us[d], sum / domain->n_servers);
      }
}

static void
forget_counts (void)
{
  sim.changes = 0;
  memset (sim.worst_wait_us, 0, sizeof sim.worst_wait_us);
  for (guint d = 0; d < DOMAINS; d++)
    {
      sim.domains[d].exits = sim.domains[d].arrivals = 0;
      sim.domains[d].wait_us = 0;
    }
}

struct totals
{
  double wait_ms; /* mean */
  double exits;   /* share of the arrivals */
};

static struct totals
totals (void)
{
  double wait = 0;
  double exits = 0;
  double arrivals = 0;
  for (guint d = 0; d < DOMAINS; d++)
    {
      wait += sim.domains[d].wait_us;
      exits += sim.domains[d].exits;
      arrivals += sim.domains[d].arrivals;
    }
  return (struct totals){ wait / arrivals / CLK_MS, exits / arrivals };
}

static struct totals
run_waves (gboolean stays)
{
  set_up (INSTANCES_MAX, 0.7, 0.55);
  sim.stays = stays;
  run (300 * CLK_S);
  struct totals t = totals ();
  g_print ("waves: wait %.0f ms exits %.3f changes %u\n", t.wait_ms, t.exits,
           sim.changes);
  /* Per instance and target a start and an end in each of 23 waves at most. */
  CU_ASSERT_TRUE (sim.changes
                  <= 2 * 24 * DOMAINS * INSTANCES_MAX * (DOMAINS - 1));
  tear_down ();
  return t;
}

/* Peaks at different times: requests that stay wait although there is room
   elsewhere.  */
static void
test_waves (void)
{
  struct totals stays = run_waves (TRUE);
  struct totals leaves = run_waves (FALSE);
  CU_ASSERT_TRUE (leaves.wait_ms < stays.wait_ms / 2);
  CU_ASSERT_TRUE (leaves.exits > 0.02 && leaves.exits < 0.4);
}

/* A domain that loses half of its servers must not keep its excess, and must
   not go on sending it away once they are back.  */
static void
test_half_lost (void)
{
  set_up (INSTANCES_MAX, 0.6, 0);
  run (20 * CLK_S);
  sim.domains[0].n_servers = SERVERS / 2;
  run (20 * CLK_S);
  forget_counts ();
  run (40 * CLK_S);
  const struct domain *lost = &sim.domains[0];
  double wait_ms = lost->wait_us / lost->arrivals / CLK_MS;
  double share = (double)lost->exits / lost->arrivals;
  g_print ("half lost: wait %.0f ms exits %.3f\n", wait_ms, share);
  CU_ASSERT_TRUE (wait_ms < 400);
  CU_ASSERT_TRUE (share > 0.1 && share < 0.5);
  sim.domains[0].n_servers = SERVERS;
  run (10 * CLK_S);
  forget_counts ();
  run (20 * CLK_S);
  g_print ("back: exits %u of %u\n", lost->exits, lost->arrivals);
  CU_ASSERT_TRUE (lost->exits < lost->arrivals / 50);
  tear_down ();
}

/* When all domains are full, requests must not go round between them.  */
static void
test_all_full (void)
{
  set_up (INSTANCES_MAX, 1.3, 0);
  run (20 * CLK_S);
  forget_counts ();
  run (40 * CLK_S);
  g_print ("all full: exits %.4f\n", totals ().exits);
  CU_ASSERT_TRUE (totals ().exits < 0.005);
  tear_down ();
}

/* 82 instances of five overloaded domains must not fill the free one, which
   each of them sees as it was a second ago.  */
static void
test_one_free (void)
{
  set_up (INSTANCES_MAX, 1.2, 0);
  sim.domains[2].load = 0.3;
  run (10 * CLK_S);
  forget_counts ();
  run (60 * CLK_S);
  double received = totals ().exits;
  const struct domain *free = &sim.domains[2];
  double wait_ms = free->wait_us / free->arrivals / CLK_MS;
  g_print ("one free: worst %.0f ms own wait %.0f ms exits %.3f\n",
           sim.worst_wait_us[2] / CLK_MS, wait_ms, received);
  CU_ASSERT_TRUE (sim.worst_wait_us[2] < PENDING_MAX_US);
  CU_ASSERT_TRUE (wait_ms < 150);
  CU_ASSERT_EQUAL (free->exits, 0);
  /* At least half of the capacity that is free less the reserve. */
  CU_ASSERT_TRUE (received * (5 * 1.2 + 0.3) > 0.5 * (0.85 - 0.3));
  tear_down ();
}

/* A load at the border must not start and end leaving all the time.  */
static void
test_flapping (void)
{
  set_up (4, 0.92, 0);
  sim.domains[0].load = 0.3;
  run (300 * CLK_S);
  double per_target = (double)sim.changes / (DOMAINS * 4 * (DOMAINS - 1));
  g_print ("border: changes per target %.1f\n", per_target);
  CU_ASSERT_TRUE (per_target <= 20);
  tear_down ();
}

/* The instances together must not exceed the link between the regions, even if
   the whole other region is free.  */
static void
test_region_budget (void)
{
  set_up (INSTANCES_MAX, 1.3, 0);
  for (guint d = 3; d < DOMAINS; d++)
    sim.domains[d].load = 0.1;
  sim.mbps = 0.4;
  run (60 * CLK_S);
  double limit
      = 60 * sim.mbps * 1e6 / 8 + (double)BODY_BYTES * DOMAINS * INSTANCES_MAX;
  g_print ("budget: %.0f of %.0f bytes, %u denied\n", (double)sim.region_bytes,
           limit, sim.denied);
  CU_ASSERT_TRUE ((double)sim.region_bytes <= limit);
  CU_ASSERT_TRUE ((double)sim.region_bytes > limit / 3);
  CU_ASSERT_TRUE (sim.denied > 0);
  tear_down ();
}

/* The default takes its costs from here: they must stay what they were before
   leaving could be decided otherwise.  */
static void
test_fixed_prices (void)
{
  static const double prices[] = { 0, 8000 + 5000, 30000 + 5000 };
  static const double round_trips[] = { 1000, 3000, 70000 };
  for (guint d = TOPOLOGY_SAME_DOMAIN; d <= TOPOLOGY_OTHER_REGION; d++)
    {
      CU_ASSERT_EQUAL (domain_exit_price_us (d, 10000), prices[d]);
      CU_ASSERT_EQUAL (domain_exit_round_trip_us (d), round_trips[d]);
    }
}

static CU_TestInfo tests[] = {
  { "the fixed prices", test_fixed_prices },
  { "waves with spread phases share the capacity", test_waves },
  { "a domain that loses half of its servers", test_half_lost },
  { "nobody leaves when all domains are full", test_all_full },
  { "82 instances do not overload the free domain", test_one_free },
  { "no flapping at the border", test_flapping },
  { "the link between regions is kept in total", test_region_budget },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[]
    = { { "domain exit", NULL, NULL, NULL, NULL, tests }, CU_SUITE_INFO_NULL };

UNIT_MAIN (suites)
