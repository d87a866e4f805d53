/* The configuration object: its size, the time to parse it, its memory, and the
   distribution of a change to all nodes.  */
#include "capacity/benchmarks.h"
#include "capacity/fit.h"
#include "capacity/testbed.h"

#include <malloc.h>
#include <string.h>

#define PARSES 20 /* that the parse time is averaged over */
#define CHANGES 2 /* the slowest counts */
#define SETTLE_US (8 * CLK_S)
#define SPREAD_MAX_US (30 * CLK_S)
#define STEP_US (1 * CLK_MS)
#define CHANGE_GAP_US (3 * CLK_S) /* between two changes */

/* Measures size, parse time and heap of one configuration.  */
static void
measure_object (const struct generator_options *options, const char *name,
                guint size, struct fit fits[3])
{
  static const char *const measures[] = { "bytes", "parse", "heap" };
  static const char *const units[] = { "bytes", "us", "bytes" };
  GBytes *body = generator_body (options);
  gsize heap = mallinfo2 ().uordblks;
  struct cluster_config *parsed = generator_config (options);
  heap = mallinfo2 ().uordblks - heap;
  gint64 start = testbed_cpu_ns ();
  for (guint i = 0; i < PARSES; i++)
    {
      GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
      cluster_unref (cluster_parse (body, 1, problems));
      g_ptr_array_unref (problems);
    }
  const double values[]
      = { (double)g_bytes_get_size (body),
          (double)(testbed_cpu_ns () - start) / 1e3 / PARSES, (double)heap };
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    {
      char *full = g_strdup_printf ("config_%s_%s", name, measures[i]);
      fit_print_point (full, size, values[i], units[i]);
      fit_add (&fits[i], size, values[i]);
      g_free (full);
    }
  cluster_unref (parsed);
  g_bytes_unref (body);
}

static void
print_object (const char *name, const char *per, double target,
              const struct fit fits[3])
{
  static const char *const measures[] = { "bytes", "parse", "heap" };
  static const char *const units[] = { "bytes", "us", "bytes" };
  for (guint i = 0; i < G_N_ELEMENTS (measures); i++)
    {
      char *full = g_strdup_printf ("config_%s_%s", name, measures[i]);
      fit_print (&fits[i], full, units[i], per, target);
      g_free (full);
    }
}

static void
measure_objects (void)
{
  static const guint teams[] = { 10, 50, 100, 200, 300 };
  static const guint backends[] = { 50, 100, 200, 400, 700 };
  struct fit fits[3] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (teams); i++)
    {
      const struct generator_options options
          = { TARGET_DOMAINS, TARGET_BACKENDS, teams[i] };
      measure_object (&options, "teams", teams[i], fits);
    }
  print_object ("teams", "team", TARGET_TEAMS, fits);
  memset (fits, 0, sizeof fits);
  for (guint i = 0; i < G_N_ELEMENTS (backends); i++)
    {
      const struct generator_options options
          = { TARGET_DOMAINS, backends[i], TARGET_TEAMS };
      measure_object (&options, "servers", backends[i], fits);
    }
  print_object ("servers", "server", TARGET_BACKENDS, fits);
}

/* Stores a new version on the platform. Returns the time until all nodes have
   it, microseconds; at SPREAD_MAX_US some do not have it.  */
static gint64
apply_change (struct testbed *testbed)
{
  GBytes *body = generator_body (&testbed->options.config);
  gint64 start = testbed->events.clk.t;
  testbed_reset_counts (testbed);
  platform_put (&testbed->platform, "config", body);
  g_bytes_unref (body);
  while (testbed_count_outdated (testbed, testbed->platform.last_version) > 0
         && testbed->events.clk.t - start < SPREAD_MAX_US)
    testbed_run (testbed, STEP_US);
  gint64 took = testbed->events.clk.t - start;
  testbed_run (testbed, CHANGE_GAP_US);
  return took;
}

static void
print_change (struct testbed *testbed, const char *name, guint size,
              double longest)
{
  guint64 sent = 0, most_sent = 0, bodies = 0;
  for (guint i = 0; i < testbed->n; i++)
    {
      guint64 bytes = testbed->nodes[i].bytes_by_kind[MSG_OBJECT_BODY];
      bodies += testbed->nodes[i].messages_by_kind[MSG_OBJECT_BODY];
      sent += bytes;
      most_sent = MAX (most_sent, bytes);
    }
  char *base = g_strdup_printf ("%s_%u", name, size);
  g_print ("%s_worst_ms %.4g ms\n", base, longest / CLK_MS);
  g_print ("%s_bodies %.4g messages/node\n", base, (double)bodies / testbed->n);
  g_print ("%s_bytes %.4g bytes/node\n", base, (double)sent / testbed->n);
  g_print ("%s_most_sent %.4g bytes\n", base, (double)most_sent);
  g_print ("%s_reads %.4g calls\n", base,
           (double)testbed->platform.request_counts[STORAGE_GET]);
  g_print ("%s_watches %.4g calls\n", base,
           (double)testbed->platform.request_counts[STORAGE_WATCH]);
  g_free (base);
}

/* Measures the distribution of changes. NO_PLATFORM: failure domain 0 cannot
   reach the platform. FIT may be NULL.  */
static void
measure_spread (guint domains, guint per_domain, gboolean no_platform,
                const char *name, guint size, struct fit *fit)
{
  const struct testbed_options options
      = { .config = { domains, TARGET_BACKENDS * domains / TARGET_DOMAINS,
                      TARGET_TEAMS },
          .per_domain = per_domain };
  struct testbed *testbed = testbed_new (&options);
  double longest = 0;
  testbed->no_platform[0] = no_platform;
  testbed_run (testbed, SETTLE_US);
  for (guint i = 0; i < CHANGES; i++)
    longest = MAX (longest, (double)apply_change (testbed));
  print_change (testbed, name, size, longest);
  if (fit != NULL)
    fit_add (fit, size, longest / CLK_MS);
  testbed_free (testbed);
}

static void
measure_spreads (void)
{
  static const guint nodes[] = { 5, 10, 20, 36 };
  static const guint domains[] = { 2, 4, 7, TARGET_DOMAINS };
  struct fit fit = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (nodes); i++)
    measure_spread (1, nodes[i], FALSE, "spread_nodes", nodes[i], &fit);
  fit_print (&fit, "spread_nodes", "ms", "node", TARGET_DOMAIN_NODES);
  memset (&fit, 0, sizeof fit);
  for (guint i = 0; i < G_N_ELEMENTS (domains); i++)
    measure_spread (domains[i], TARGET_DOMAIN_NODES, FALSE, "spread_domains",
                    domains[i], &fit);
  fit_print (&fit, "spread_domains", "ms", "domain", TARGET_DOMAINS);
  measure_spread (TARGET_DOMAINS, TARGET_DOMAIN_NODES, TRUE,
                  "spread_severed_domains", TARGET_DOMAINS, NULL);
}

/* Measures the calls to the platform per second while nothing changes.  */
static void
measure_platform (void)
{
  static const guint domains[] = { 1, 4, 7, TARGET_DOMAINS };
  struct fit watches = { 0 }, reads = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (domains); i++)
    {
      const struct testbed_options options
          = { .config = { domains[i], 62 * domains[i], 10 }, .per_domain = 5 };
      struct testbed *testbed = testbed_new (&options);
      testbed_run (testbed, SETTLE_US);
      testbed_reset_counts (testbed);
      testbed_run (testbed, 120 * CLK_S);
      const guint64 *calls = testbed->platform.request_counts;
      fit_add (&watches, domains[i], (double)calls[STORAGE_WATCH] / 120);
      fit_add (&reads, domains[i], (double)calls[STORAGE_GET] / 120);
      fit_print_point ("platform_idle_waiting", domains[i],
                       testbed->platform.watches->len, "watches");
      testbed_free (testbed);
    }
  fit_print (&watches, "platform_idle_watches", "calls/s", "domain",
             TARGET_DOMAINS);
  fit_print (&reads, "platform_idle_reads", "calls/s", "domain",
             TARGET_DOMAINS);
}

void
config_object_run (void)
{
  measure_objects ();
  measure_spreads ();
  measure_platform ();
}
