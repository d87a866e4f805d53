/* Keyed requests: calls to the platform, conflicts and refusals against their
   rate and against the number of failure domains.  */
#include "capacity/cap.h"
#include "capacity/fit.h"
#include "capacity/fleet.h"

#include <string.h>

#define NODES 12
#define SETTLE_US (5 * CLK_S)
#define WARM_US (10 * CLK_S)
#define MEASURE_S 20

/* RATE keyed requests a second, over all nodes.  */
static void
measure (guint domains, guint rate, const char *name, guint size,
         struct fit fits[3])
{
  const struct fleet_options options = {
    .gen = { domains, 5 * domains, 10, TRUE },
    .per_domain = NODES / domains,
  };
  struct fleet *fleet = fleet_new (&options);
  fleet_run (fleet, SETTLE_US);
  fleet_load (fleet, (double)rate / fleet->n, 0);
  fleet_run (fleet, WARM_US);
  fleet_reset (fleet);
  fleet_run (fleet, MEASURE_S * CLK_S);
  const guint64 *calls = fleet->platform.calls;
  guint64 conflicts = 0;
  for (guint i = 0; i < fleet->n; i++)
    conflicts += fleet->nodes[i].counter_set.v[COUNTER_LEDGER_CONFLICTS];
  char *base = g_strdup_printf ("%s_%u", name, size);
  g_print ("%s_done %.4g 1/s\n", base, (double)fleet->finished / MEASURE_S);
  g_print ("%s_refused %.4g 1/s\n", base, (double)fleet->failed / MEASURE_S);
  g_print ("%s_writes %.4g 1/s\n", base,
           (double)calls[STORAGE_PUT] / MEASURE_S);
  g_print ("%s_reads %.4g 1/s\n", base, (double)calls[STORAGE_GET] / MEASURE_S);
  g_print ("%s_conflicts %.4g 1/s\n", base, (double)conflicts / MEASURE_S);
  g_print ("%s_put_bytes %.4g bytes/s\n", base,
           (double)fleet->platform.put_bytes / MEASURE_S);
  fit_add (&fits[0], size, (double)calls[STORAGE_PUT] / MEASURE_S);
  fit_add (&fits[1], size, (double)calls[STORAGE_GET] / MEASURE_S);
  fit_add (&fits[2], size, (double)conflicts / MEASURE_S);
  g_free (base);
  fleet_free (fleet);
}

static void
print (const struct fit fits[3], const char *name, const char *per,
       double target)
{
  static const char *const whats[] = { "writes", "reads", "conflicts" };
  for (guint i = 0; i < G_N_ELEMENTS (whats); i++)
    {
      char *full = g_strdup_printf ("%s_%s", name, whats[i]);
      fit_print (&fits[i], full, "1/s", per, target);
      g_free (full);
    }
}

void
ledger_run (void)
{
  static const guint rates[] = { 14, 27, 55, 110 };
  static const guint domains[] = { 1, 2, 4, 6, 12 };
  struct fit fits[3] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    measure (1, rates[i], "ledger_rate", rates[i], fits);
  print (fits, "ledger_rate", "(request/s)", 55);
  measure (1, 550, "ledger_rate", 550, fits);
  memset (fits, 0, sizeof fits);
  for (guint i = 0; i < G_N_ELEMENTS (domains); i++)
    measure (domains[i], 55, "ledger_domains", domains[i], fits);
  print (fits, "ledger_domains", "domain", TARGET_DOMAINS);
  measure (12, 550, "ledger_domains_rate_550", 12, fits);
}
