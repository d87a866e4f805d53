/* Recovery after the loss of a shard owner or of a failure domain, and cold
   starts while the platform is down.  */
#include "capacity/benchmarks.h"
#include "capacity/fit.h"
#include "capacity/testbed.h"

#include <string.h>

#define RATE 5.0 /* requests per second and node */
#define RESPONSE_TOKENS 320
#define SETTLE_US (15 * CLK_S)
#define AFTER_S 12 /* measured before and after the fault */
#define STEP_US (20 * CLK_MS)
#define WAIT_MAX_US (60 * CLK_S)

static guint64
sum_of (const struct testbed *testbed, enum counter_id id)
{
  guint64 sum = 0;
  for (guint i = 0; i < testbed->n; i++)
    sum += testbed->nodes[i].counter_set.v[id];
  return sum;
}

static guint64
messages_sent (const struct testbed *testbed)
{
  guint64 sum = 0;
  for (guint i = 0; i < testbed->n; i++)
    sum += testbed->nodes[i].sent.messages;
  return sum;
}

/* Returns a testbed under load whose counts cover the last AFTER_S seconds.  */
static struct testbed *
start (guint domains, guint per_domain, guint backends)
{
  const struct testbed_options options = {
    .config = { domains, backends * domains, TARGET_TEAMS },
    .per_domain = per_domain,
  };
  struct testbed *testbed = testbed_new (&options);
  testbed_run (testbed, 5 * CLK_S);
  testbed_start_load (testbed, RATE, RESPONSE_TOKENS);
  testbed_run (testbed, SETTLE_US);
  testbed_reset_counts (testbed);
  testbed_run (testbed, AFTER_S * CLK_S);
  return testbed;
}

static guint
owner_of_first_shard (const struct testbed *testbed)
{
  const struct core *core = testbed->nodes[0].core;
  const char *shard = core_config (core)->shards[0].name.s;
  const struct member_instance *owner
      = member_owner (core_members (core), str_of (shard), 0);
  for (guint i = 0; i < testbed->n; i++)
    if (strcmp (testbed->nodes[i].id.s, owner->id.s) == 0)
      return i;
  return 0;
}

/* Runs for AFTER_S after a fault. Returns the time from the fault until a queue
   entry was last enqueued again, microseconds.  */
static gint64
run_until_recovered (struct testbed *testbed)
{
  gint64 start_us = testbed->events.clk.t;
  gint64 last = 0;
  guint64 last_count = 0;
  while (testbed->events.clk.t < start_us + AFTER_S * CLK_S)
    {
      testbed_run (testbed, STEP_US);
      guint64 now = sum_of (testbed, COUNTER_REENQUEUED);
      if (now > last_count)
        last = testbed->events.clk.t - start_us;
      last_count = now;
    }
  return last;
}

static void
print_recovery (struct testbed *testbed, const char *name, guint size,
                guint64 messages_before, gint64 last, struct fit *fit)
{
  char *base = g_strdup_printf ("%s_%u", name, size);
  double reenqueued = (double)sum_of (testbed, COUNTER_REENQUEUED);
  g_print ("%s_time %.4g ms\n", base, (double)last / CLK_MS);
  g_print ("%s_reoffers %.4g tickets\n", base, reenqueued);
  g_print ("%s_messages_before %.4g messages\n", base, (double)messages_before);
  g_print ("%s_messages_after %.4g messages\n", base,
           (double)messages_sent (testbed));
  g_print ("%s_refused %.4g requests\n", base, (double)testbed->failed);
  fit_add (fit, size, reenqueued);
  g_free (base);
}

/* Stops the owner of the first shard. CRASH: its connections close at once.  */
static void
lose_owner (guint nodes, gboolean crash, const char *name, struct fit *fit)
{
  struct testbed *testbed = start (1, nodes, 2 * nodes);
  guint64 messages_before = messages_sent (testbed);
  guint owner = owner_of_first_shard (testbed);
  testbed_reset_counts (testbed);
  testbed_stop_node (testbed, owner, crash);
  gint64 last = run_until_recovered (testbed);
  print_recovery (testbed, name, nodes, messages_before, last, fit);
  testbed_free (testbed);
}

/* Runs until no running node regards a stopped one as live. Returns the time
   that it took, microseconds.  */
static gint64
run_until_detected (struct testbed *testbed)
{
  gint64 start_us = testbed->events.clk.t;
  gboolean still_live = TRUE;
  while (still_live && testbed->events.clk.t < start_us + WAIT_MAX_US)
    {
      testbed_run (testbed, STEP_US);
      still_live = FALSE;
      for (guint i = 0; i < testbed->n && !still_live; i++)
        for (guint k = 0; k < testbed->n && !still_live; k++)
          {
            if (testbed->nodes[i].core == NULL
                || testbed->nodes[k].core != NULL)
              continue;
            const struct member_instance *member = member_find (
                core_members (testbed->nodes[i].core), testbed->nodes[k].id.s);
            still_live = member != NULL && member->live;
          }
    }
  return testbed->events.clk.t - start_us;
}

/* Stops all nodes of failure domain 0 without closing their connections.  */
static void
lose_domain (guint per_domain, struct fit *fit)
{
  struct testbed *testbed = start (4, per_domain, 2 * per_domain);
  guint64 messages_before = messages_sent (testbed);
  guint lost = 0;
  for (guint i = 0; i < testbed->n; i++)
    if (testbed->nodes[i].domain == 0)
      lost += core_in_progress (testbed->nodes[i].core);
  for (guint i = 0; i < testbed->n; i++)
    if (testbed->nodes[i].domain == 0)
      testbed_stop_node (testbed, i, FALSE);
  testbed_reset_counts (testbed);
  fit_print_point ("lose_domain_requests_lost", per_domain, lost, "requests");
  fit_print_point ("lose_domain_seen", per_domain,
                   (double)run_until_detected (testbed) / CLK_MS, "ms");
  gint64 last = run_until_recovered (testbed);
  print_recovery (testbed, "lose_domain", per_domain, messages_before, last,
                  fit);
  testbed_free (testbed);
}

/* Starts failure domain 0 while the platform is down. PEERS: three other
   failure domains run and have the configuration; otherwise nothing has it.  */
static void
cold_start (guint per_domain, gboolean peers, const char *name)
{
  const struct testbed_options options = {
    .config = { peers ? 4 : 1, 60 * (peers ? 4 : 1), TARGET_TEAMS },
    .per_domain = per_domain,
  };
  struct testbed *testbed = testbed_new (&options);
  testbed->platform.down = !peers;
  testbed_run (testbed, SETTLE_US);
  testbed->platform.down = TRUE;
  for (guint i = 0; peers && i < testbed->n; i++)
    if (testbed->nodes[i].domain == 0)
      testbed_stop_node (testbed, i, TRUE);
  guint others = testbed_count_ready (testbed);
  testbed_reset_counts (testbed);
  for (guint i = 0; peers && i < testbed->n; i++)
    if (testbed->nodes[i].domain == 0)
      testbed_start_node (testbed, i);
  gint64 begin = testbed->events.clk.t;
  while (testbed_count_ready (testbed) - others < per_domain
         && testbed->events.clk.t < begin + WAIT_MAX_US)
    testbed_run (testbed, STEP_US);
  char *ready = g_strdup_printf ("%s_ready", name);
  char *time = g_strdup_printf ("%s_time", name);
  fit_print_point (ready, per_domain, testbed_count_ready (testbed) - others,
                   "nodes");
  fit_print_point (time, per_domain,
                   (double)(testbed->events.clk.t - begin) / CLK_MS, "ms");
  g_free (ready);
  g_free (time);
  guint64 most = 0;
  for (guint i = 0; i < testbed->n; i++)
    most = MAX (most, testbed->nodes[i].bytes_by_kind[MSG_OBJECT_BODY]);
  char *sent = g_strdup_printf ("%s_most_sent", name);
  fit_print_point (sent, per_domain, (double)most, "bytes");
  g_free (sent);
  testbed_free (testbed);
}

void
faults_run (void)
{
  static const guint nodes[] = { 5, 10, 20, 36 };
  static const guint domains[] = { 4, 8, 16 };
  struct fit crash = { 0 }, silent = { 0 }, domain = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (nodes); i++)
    lose_owner (nodes[i], TRUE, "lose_owner_crash", &crash);
  fit_print (&crash, "lose_owner_crash_reoffers", "tickets", "node",
             TARGET_DOMAIN_NODES);
  for (guint i = 0; i < G_N_ELEMENTS (nodes); i++)
    lose_owner (nodes[i], FALSE, "lose_owner_silent", &silent);
  fit_print (&silent, "lose_owner_silent_reoffers", "tickets", "node",
             TARGET_DOMAIN_NODES);
  for (guint i = 0; i < G_N_ELEMENTS (domains); i++)
    lose_domain (domains[i], &domain);
  fit_print (&domain, "lose_domain_reoffers", "tickets", "node",
             TARGET_DOMAIN_NODES);
  cold_start (5, FALSE, "cold_no_config");
  cold_start (TARGET_DOMAIN_NODES, FALSE, "cold_no_config");
  cold_start (5, TRUE, "cold_peers");
  cold_start (10, TRUE, "cold_peers");
  cold_start (20, TRUE, "cold_peers");
  cold_start (TARGET_DOMAIN_NODES, TRUE, "cold_peers");
}
