/* make bench-policy: the scheduler of the reverse proxy in fleets of several
   sizes, while servers refuse or leave. The same seeds give the same arrivals
   and faults to every version (CMake variable JW_POLICY_HINTS).  */
#include "policy/proxy_model.h"

#include <stdlib.h>

#define SEEDS 5

static const struct proxy_fleet fleets[] = {
  { 7, 2, 1, { [PROXY_ENGINES] = 10, [PROXY_PLAIN] = 5 } },
  { 60, 6, 2, { [PROXY_ENGINES] = 40, [PROXY_PLAIN] = 10 } },
  { 295, 11, 3, { [PROXY_ENGINES] = 160, [PROXY_PLAIN] = 30 } },
};

static void
run (enum proxy_scenario scenario, const struct proxy_fleet *fleet,
     guint first_seed, guint seeds)
{
  struct proxy_result *results = g_new0 (struct proxy_result, seeds);
  for (guint i = 0; i < seeds; i++)
    {
      struct proxy_world world;
      char seed[16];
      proxy_trial_run (&world, fleet, scenario, first_seed + i);
      proxy_report_measure (&world, &results[i]);
      proxy_trial_clear (&world);
      g_snprintf (seed, sizeof seed, "%u", first_seed + i);
      proxy_report_print (scenario, fleet, seed, &results[i]);
    }
  proxy_report_print_mean (scenario, fleet, results, seeds);
  g_free (results);
}

/* Arguments, all optional: number of instances (0, the default: 7), number of
   seeds, index of a scenario (-1: all), first seed.  */
int
main (int argc, char **argv)
{
  guint instances = argc > 1 ? (guint)MAX (0, atoi (argv[1])) : 0;
  guint seeds = argc > 2 ? (guint)MAX (1, atoi (argv[2])) : SEEDS;
  int only = argc > 3 ? atoi (argv[3]) : -1;
  guint first_seed = argc > 4 ? (guint)MAX (1, atoi (argv[4])) : 1;
  proxy_report_header ();
  for (guint i = 0; i < G_N_ELEMENTS (fleets); i++)
    for (guint k = 0; k < PROXY_SCENARIO_N; k++)
      if (fleets[i].instances == (instances ? instances : fleets[0].instances)
          && (only < 0 || (guint)only == k))
        run (k, &fleets[i], first_seed, seeds);
  return 0;
}
