/* Keyed requests: calls to the platform, conflicts and rejected requests as the
   rate and the number of failure domains grow.  */
#include "capacity/benchmarks.h"
#include "capacity/fit.h"
#include "capacity/testbed.h"

#include <string.h>

#define NODES 12
#define SETTLE_US (5 * CLK_S)  /* without load */
#define WARMUP_US (10 * CLK_S) /* under load */
#define MEASURE_S 20

/* Measures RATE keyed requests per second, divided among all nodes. The fits
   are writes, reads and conflicts.  */
static void
measure (guint domains, guint rate, const char *name, guint size,
         struct fit fits[3])
{
  const struct testbed_options options = {
    .config = { domains, 5 * domains, 10, TRUE },
    .per_domain = NODES / domains,
  };
  struct testbed *testbed = testbed_new (&options);
  testbed_run (testbed, SETTLE_US);
  testbed_start_load (testbed, (double)rate / testbed->n, 0);
  testbed_run (testbed, WARMUP_US);
  testbed_reset_counts (testbed);
  testbed_run (testbed, MEASURE_S * CLK_S);
  const guint64 *calls = testbed->platform.request_counts;
  guint64 conflicts = 0;
  for (guint i = 0; i < testbed->n; i++)
    conflicts += testbed->nodes[i].counter_set.v[COUNTER_LEDGER_CONFLICTS];
  char *base = g_strdup_printf ("%s_%u", name, size);
  g_print ("%s_done %.4g 1/s\n", base, (double)testbed->finished / MEASURE_S);
  g_print ("%s_refused %.4g 1/s\n", base, (double)testbed->failed / MEASURE_S);
  g_print ("%s_writes %.4g 1/s\n", base,
           (double)calls[STORAGE_PUT] / MEASURE_S);
  g_print ("%s_reads %.4g 1/s\n", base, (double)calls[STORAGE_GET] / MEASURE_S);
  g_print ("%s_conflicts %.4g 1/s\n", base, (double)conflicts / MEASURE_S);
  g_print ("%s_put_bytes %.4g bytes/s\n", base,
           (double)testbed->platform.put_bytes / MEASURE_S);
  fit_add (&fits[0], size, (double)calls[STORAGE_PUT] / MEASURE_S);
  fit_add (&fits[1], size, (double)calls[STORAGE_GET] / MEASURE_S);
  fit_add (&fits[2], size, (double)conflicts / MEASURE_S);
  g_free (base);
  testbed_free (testbed);
}

static void
print_fits (const struct fit fits[3], const char *name, const char *per,
            double target)
{
  static const char *const measures[] = { "writes", "reads", "conflicts" };
  for (guint i = 0; i < G_N_ELEMENTS (measures); i++)
    {
      char *full = g_strdup_printf ("%s_%s", name, measures[i]);
      fit_print (&fits[i], full, "1/s", per, target);
      g_free (full);
    }
}

void
keyed_requests_run (void)
{
  static const guint rates[] = { 14, 27, 55, 110 };
  static const guint domains[] = { 1, 2, 4, 6, 12 };
  struct fit fits[3] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    measure (1, rates[i], "ledger_rate", rates[i], fits);
  print_fits (fits, "ledger_rate", "(request/s)", 55);
  measure (1, 550, "ledger_rate", 550, fits);
  memset (fits, 0, sizeof fits);
  for (guint i = 0; i < G_N_ELEMENTS (domains); i++)
    measure (domains[i], 55, "ledger_domains", domains[i], fits);
  print_fits (fits, "ledger_domains", "domain", TARGET_DOMAINS);
  measure (12, 550, "ledger_domains_rate_550", 12, fits);
}
