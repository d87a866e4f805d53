/* make bench-policy: compares the routing decisions of the product with two
   baseline policies on the same arrivals, under load and faults. Each scenario
   runs in a simulation once for each policy and seed.  */
#include "policy/trial.h"

#include <stdlib.h>
#include <string.h>

#define SEEDS 5

static const struct policy *const policies[]
    = { &policy_round_robin, &policy_two_choices, &policy_routed };

static const struct scenario scenarios[] = {
  { "authority", 0.7, FAULT_NONE },
  { "authority", 1.0, FAULT_NONE },
  { "authority", 1.3, FAULT_NONE },
  { "authority", 2.0, FAULT_NONE },
  { "authority", 1.0, FAULT_BURST },
  { "authority", 1.0, FAULT_STRAGGLER },
  { "authority", 1.0, FAULT_CRASH },
  { "authority", 1.0, FAULT_FREEZE },
  { "authority", 1.0, FAULT_PARTITION },
  { "authority", 1.0, FAULT_PLATFORM },
  { "cooperative", 0.7, FAULT_NONE },
  { "cooperative", 1.0, FAULT_NONE },
  { "cooperative", 1.3, FAULT_NONE },
  { "cooperative", 2.0, FAULT_NONE },
  { "cooperative", 1.0, FAULT_BURST },
  { "cooperative", 1.0, FAULT_STRAGGLER },
  { "cooperative", 1.0, FAULT_CRASH },
  { "cooperative", 1.0, FAULT_FREEZE },
  { "cooperative", 1.0, FAULT_PARTITION },
  { "cooperative", 1.0, FAULT_PLATFORM },
};

/* Runs SCENARIO under POLICY with seeds 1 to SEEDS and prints the measures.  */
static void
run (const struct scenario *scenario, const struct policy *policy, guint seeds)
{
  struct result *results = g_new0 (struct result, seeds);
  struct cluster_config *cfg = NULL;
  for (guint i = 0; i < seeds; i++)
    {
      struct trial trial;
      trial_run (&trial, scenario, policy, i + 1);
      report_measure (&trial, &results[i]);
      cluster_unref (cfg);
      cfg = cluster_ref (trial.cfg);
      trial_clear (&trial);
    }
  report_print (scenario, policy->name, cfg, results, seeds);
  cluster_unref (cfg);
  g_free (results);
}

/* Arguments, all optional: index of a scenario (-1: all), name of a policy,
   number of seeds.  */
int
main (int argc, char **argv)
{
  int only = argc > 1 ? atoi (argv[1]) : -1;
  guint seeds = argc > 3 ? (guint)MAX (1, atoi (argv[3])) : SEEDS;
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (guint k = 0; k < G_N_ELEMENTS (policies); k++)
      {
        if (only >= 0 && (guint)only != i)
          continue;
        if (argc > 2 && strcmp (argv[2], policies[k]->name) != 0)
          continue;
        run (&scenarios[i], policies[k], seeds);
      }
  return 0;
}
