/* Baselines: every entry decides alone, by round robin or by power of two
   choices on lagged load, among the engines of its region. A failed attempt
   is repeated on another engine at most twice.  */
#include "policy/world.h"

#include <string.h>

#define ATTEMPTS_MAX 3

struct alone
{
  gboolean two_choices;
  guint next[WORLD_ENTRIES];
};

static void try_engine (struct job *job);

static guint
engines_of_region (const struct world *world, guint domain, guint *found)
{
  guint n = 0;
  for (guint i = 0; i < world->n_engines; i++)
    {
      guint there = world->cfg->backends[world->engine_backend[i]].domain;
      if (!world_crosses (world, domain, there))
        found[n++] = i;
    }
  return n;
}

static guint
choose (struct world *world, const struct job *job)
{
  struct alone *alone = world->policy;
  guint found[WORLD_ENGINES_MAX];
  guint n = engines_of_region (world, world->entries[job->entry].domain, found);
  g_assert (n > 0);
  if (!alone->two_choices)
    return found[alone->next[job->entry]++ % n];
  guint a = found[g_rand_int_range (world->rand, 0, (gint32)n)];
  guint b = found[g_rand_int_range (world->rand, 0, (gint32)n)];
  return engine_load (&world->engines[b]) < engine_load (&world->engines[a])
             ? b
             : a;
}

static void
on_token (void *ctx)
{
  world_note_token (ctx);
}

static void
on_end (void *ctx, gboolean complete)
{
  struct job *job = ctx;
  if (complete)
    world_finish (job, OUTCOME_COMPLETE);
  else if (job->got == 0 && job->attempts < ATTEMPTS_MAX)
    try_engine (job);
  else
    world_finish (job, OUTCOME_FAILED);
}

static void
try_engine (struct job *job)
{
  while (job->attempts < ATTEMPTS_MAX)
    if (world_start (job, choose (job->world, job), world_class (job)->tier,
                     on_token, on_end))
      return;
  world_finish (job, OUTCOME_REFUSED);
}

static void
arrive (struct world *world, struct job *job)
{
  (void)world;
  try_engine (job);
}

static void
start (struct world *world, gboolean two_choices)
{
  struct alone *alone = g_new0 (struct alone, 1);
  alone->two_choices = two_choices;
  world->policy = alone;
}

static void
start_round_robin (struct world *world)
{
  start (world, FALSE);
}

static void
start_two_choices (struct world *world)
{
  start (world, TRUE);
}

static void
stop (struct world *world)
{
  g_free (world->policy);
}

const struct policy policy_round_robin
    = { "round_robin", start_round_robin, arrive, stop };
const struct policy policy_two_choices
    = { "two_choices", start_two_choices, arrive, stop };
