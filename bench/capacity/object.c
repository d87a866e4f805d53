/* The configuration object: its size, the time to read it, its memory, and
   the way of a change to all nodes.  */
#include "capacity/cap.h"
#include "capacity/fit.h"
#include "capacity/fleet.h"

#include <malloc.h>
#include <string.h>

#define PARSES 20
#define CHANGES 2
#define SETTLE_US (8 * CLK_S)
#define SPREAD_MAX_US (30 * CLK_S)
#define STEP_US (1 * CLK_MS)
#define CHANGE_GAP_US (3 * CLK_S)

static void
measure_object (const struct gen *gen, const char *name, guint size,
                struct fit fits[3])
{
  static const char *const whats[] = { "bytes", "parse", "heap" };
  static const char *const units[] = { "bytes", "us", "bytes" };
  GBytes *body = gen_body (gen);
  gsize heap = mallinfo2 ().uordblks;
  struct cluster_config *kept = gen_config (gen);
  heap = mallinfo2 ().uordblks - heap;
  gint64 start = fleet_cpu_ns ();
  for (guint i = 0; i < PARSES; i++)
    {
      GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
      cluster_unref (cluster_parse (body, 1, problems));
      g_ptr_array_unref (problems);
    }
  const double values[]
      = { (double)g_bytes_get_size (body),
          (double)(fleet_cpu_ns () - start) / 1e3 / PARSES, (double)heap };
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    {
      char *full = g_strdup_printf ("config_%s_%s", name, whats[i]);
      out_at (full, size, values[i], units[i]);
      fit_add (&fits[i], size, values[i]);
      g_free (full);
    }
  cluster_unref (kept);
  g_bytes_unref (body);
}

static void
print_object (const char *name, const char *per, double target,
              const struct fit fits[3])
{
  static const char *const whats[] = { "bytes", "parse", "heap" };
  static const char *const units[] = { "bytes", "us", "bytes" };
  for (guint i = 0; i < G_N_ELEMENTS (whats); i++)
    {
      char *full = g_strdup_printf ("config_%s_%s", name, whats[i]);
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
      const struct gen gen = { TARGET_DOMAINS, TARGET_BACKENDS, teams[i] };
      measure_object (&gen, "teams", teams[i], fits);
    }
  print_object ("teams", "team", TARGET_TEAMS, fits);
  memset (fits, 0, sizeof fits);
  for (guint i = 0; i < G_N_ELEMENTS (backends); i++)
    {
      const struct gen gen = { TARGET_DOMAINS, backends[i], TARGET_TEAMS };
      measure_object (&gen, "servers", backends[i], fits);
    }
  print_object ("servers", "server", TARGET_BACKENDS, fits);
}

/* Puts a change on the platform and returns the time until all have it, in
   microseconds; SPREAD_MAX_US: not all got it.  */
static gint64
change (struct fleet *fleet)
{
  GBytes *body = gen_body (&fleet->options.gen);
  gint64 start = fleet->queue.clk.t;
  fleet_reset (fleet);
  platform_put (&fleet->platform, "config", body);
  g_bytes_unref (body);
  while (fleet_behind (fleet, fleet->platform.last) > 0
         && fleet->queue.clk.t - start < SPREAD_MAX_US)
    fleet_run (fleet, STEP_US);
  gint64 took = fleet->queue.clk.t - start;
  fleet_run (fleet, CHANGE_GAP_US);
  return took;
}

static void
print_change (struct fleet *fleet, const char *name, guint size, double worst)
{
  guint64 sent = 0, most = 0, bodies = 0;
  for (guint i = 0; i < fleet->n; i++)
    {
      guint64 bytes = fleet->nodes[i].kind_bytes[MSG_OBJECT_BODY];
      bodies += fleet->nodes[i].kinds[MSG_OBJECT_BODY];
      sent += bytes;
      most = MAX (most, bytes);
    }
  char *base = g_strdup_printf ("%s_%u", name, size);
  g_print ("%s_worst_ms %.4g ms\n", base, worst / CLK_MS);
  g_print ("%s_bodies %.4g messages/node\n", base, (double)bodies / fleet->n);
  g_print ("%s_bytes %.4g bytes/node\n", base, (double)sent / fleet->n);
  g_print ("%s_most_sent %.4g bytes\n", base, (double)most);
  g_print ("%s_reads %.4g calls\n", base,
           (double)fleet->platform.calls[STORAGE_GET]);
  g_print ("%s_watches %.4g calls\n", base,
           (double)fleet->platform.calls[STORAGE_WATCH]);
  g_free (base);
}

/* SEVERED: one failure domain does not reach the platform.  */
static void
measure_spread (guint domains, guint per_domain, gboolean severed,
                const char *name, guint size, struct fit *fit)
{
  const struct fleet_options options
      = { .gen = { domains, TARGET_BACKENDS * domains / TARGET_DOMAINS,
                   TARGET_TEAMS },
          .per_domain = per_domain };
  struct fleet *fleet = fleet_new (&options);
  double worst = 0;
  fleet->severed[0] = severed;
  fleet_run (fleet, SETTLE_US);
  for (guint i = 0; i < CHANGES; i++)
    worst = MAX (worst, (double)change (fleet));
  print_change (fleet, name, size, worst);
  if (fit != NULL)
    fit_add (fit, size, worst / CLK_MS);
  fleet_free (fleet);
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

/* Calls to the platform without changes, a second.  */
static void
measure_platform (void)
{
  static const guint domains[] = { 1, 4, 7, TARGET_DOMAINS };
  struct fit watches = { 0 }, reads = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (domains); i++)
    {
      const struct fleet_options options
          = { .gen = { domains[i], 62 * domains[i], 10 }, .per_domain = 5 };
      struct fleet *fleet = fleet_new (&options);
      fleet_run (fleet, SETTLE_US);
      fleet_reset (fleet);
      fleet_run (fleet, 120 * CLK_S);
      const guint64 *calls = fleet->platform.calls;
      fit_add (&watches, domains[i], (double)calls[STORAGE_WATCH] / 120);
      fit_add (&reads, domains[i], (double)calls[STORAGE_GET] / 120);
      out_at ("platform_idle_waiting", domains[i], fleet->platform.watches->len,
              "watches");
      fleet_free (fleet);
    }
  fit_print (&watches, "platform_idle_watches", "calls/s", "domain",
             TARGET_DOMAINS);
  fit_print (&reads, "platform_idle_reads", "calls/s", "domain",
             TARGET_DOMAINS);
}

void
object_run (void)
{
  measure_objects ();
  measure_spreads ();
  measure_platform ();
}
