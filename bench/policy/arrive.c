/* Arrivals of both deployments and a bound on what any policy can do with
   them.  */
#include "policy/world.h"

#include <math.h>
#include <string.h>

#define BURST_FACTOR 5.0 /* of the bursting class */
#define BURST_START_US (20 * CLK_S)
#define BURST_END_US (40 * CLK_S)
#define WAVE_US (30 * CLK_S) /* a dawn and an afternoon in one run */
#define WAVE_HIGH_US (10 * CLK_S)
#define WAVE_HIGH 1.5    /* rate in the burst, of the mean */
#define LENGTH_SIGMA 0.7 /* of the log-normal lengths */

/* A class's part of the requests and its mean lengths in tokens. */
struct mix
{
  const char *deployment;
  const char *class_name;
  double share; /* of requests */
  double prompt;
  double output;
};

static const struct mix mixes[] = {
  { "authority", "urgent", 0.35, 300, 100 },
  { "authority", "interactive", 0.35, 500, 180 },
  { "authority", "reports", 0.18, 900, 450 },
  { "authority", "batch", 0.12, 1200, 400 },
  { "cooperative", "haul", 0.35, 250, 120 },
  { "cooperative", "summary", 0.30, 900, 300 },
  { "cooperative", "inspection", 0.15, 600, 150 },
  { "cooperative", "weekly", 0.20, 1200, 500 },
};

static double
normal (GRand *rand)
{
  double u = 1.0 - g_rand_double (rand);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
}

static guint
length_of (GRand *rand, double mean)
{
  double mu = log (mean) - LENGTH_SIGMA * LENGTH_SIGMA / 2;
  double n = exp (mu + LENGTH_SIGMA * normal (rand));
  return (guint)CLAMP (n, 2, 4000);
}

/* Engine time of a request, in engine seconds at a full batch whose prefixes
   are all cached.  */
static double
work_of (double prompt, double output)
{
  double step = ENGINE_BASE_US + ENGINE_SEQUENCE_US * ENGINE_BATCH_MAX;
  return prompt * (1 - ENGINE_CACHED_SHARE) / ENGINE_PREFILL_PER_S
         + output * step / ENGINE_BATCH_MAX / CLK_S;
}

/* Requests a second that use the engines' whole capacity.  */
static double
capacity_rate (const struct world *world)
{
  double work = 0;
  for (guint i = 0; i < G_N_ELEMENTS (mixes); i++)
    if (strcmp (mixes[i].deployment, world->scenario->deployment) == 0)
      work += mixes[i].share * work_of (mixes[i].prompt, mixes[i].output);
  return world->n_engines / work;
}

static double
wave (gint64 t)
{
  double low
      = (WAVE_US - WAVE_HIGH * WAVE_HIGH_US) / (double)(WAVE_US - WAVE_HIGH_US);
  return t % WAVE_US < WAVE_HIGH_US ? WAVE_HIGH : low;
}

static gboolean
is_burst_class (const struct cluster_class *class)
{
  return class->tier == 1;
}

static double
rate_of (const struct world *world, const struct mix *mix, gint64 t)
{
  const struct scenario *scenario = world->scenario;
  int i = cluster_find_class (world->cfg, str_of (mix->class_name));
  double rate = capacity_rate (world) * scenario->demand * mix->share;
  if (scenario->fault != FAULT_BURST)
    return rate * wave (t);
  if (is_burst_class (&world->cfg->classes[i]) && t >= BURST_START_US
      && t < BURST_END_US)
    rate *= BURST_FACTOR;
  return rate;
}

/* A few teams send most of a class's requests.  */
static guint
pick_team (const struct world *world, guint class_index)
{
  guint teams[CLUSTER_TEAMS_MAX];
  guint n = 0;
  for (guint i = 0; i < world->cfg->n_teams; i++)
    if (world->cfg->teams[i].classes >> class_index & 1)
      teams[n++] = i;
  double u = g_rand_double (world->rand);
  return teams[(guint)(u * u * n)];
}

static void
add_job (struct world *world, GArray *jobs, const struct mix *mix, gint64 t)
{
  struct job job = { .world = world };
  job.class_index
      = (guint)cluster_find_class (world->cfg, str_of (mix->class_name));
  job.team_index = pick_team (world, job.class_index);
  job.entry = (guint)g_rand_int_range (world->rand, 0, WORLD_ENTRIES);
  job.prompt = length_of (world->rand, mix->prompt);
  job.output = length_of (world->rand, mix->output);
  job.prefix
      = 1 + job.team_index * 4 + (guint64)g_rand_int_range (world->rand, 0, 3);
  job.at = WORLD_START_US + t;
  g_array_append_val (jobs, job);
}

static void
make_class (struct world *world, GArray *jobs, const struct mix *mix)
{
  double highest = capacity_rate (world) * world->scenario->demand * mix->share
                   * BURST_FACTOR;
  double t = 0;
  while (TRUE)
    {
      t += -log (1.0 - g_rand_double (world->rand)) / highest * CLK_S;
      if (t >= WORLD_ARRIVALS_US)
        return;
      if (g_rand_double (world->rand) * highest
          < rate_of (world, mix, (gint64)t))
        add_job (world, jobs, mix, (gint64)t);
    }
}

static gint
by_ratio (gconstpointer a, gconstpointer b)
{
  const struct job *x = *(struct job *const *)a;
  const struct job *y = *(struct job *const *)b;
  double rx = x->output / work_of (x->prompt, x->output);
  double ry = y->output / work_of (y->prompt, y->output);
  return rx < ry ? 1 : rx > ry ? -1 : 0;
}

/* Most tokens that could be made with full knowledge while requests arrive:
   the engines' time, full batches and cached prefixes throughout, spent on the
   requests with the most tokens for their engine time as if all were there
   from the start. Lost capacity of crashed and slow engines is not taken off,
   so the bound holds for every fault.  */
static double
bound_of (const struct world *world)
{
  GPtrArray *sorted = g_ptr_array_new ();
  double left = world->n_engines * (double)WORLD_ARRIVALS_US / CLK_S;
  double tokens = 0;
  for (guint i = 0; i < world->n_jobs; i++)
    g_ptr_array_add (sorted, &world->jobs[i]);
  g_ptr_array_sort (sorted, by_ratio);
  for (guint i = 0; i < sorted->len && left > 0; i++)
    {
      const struct job *job = g_ptr_array_index (sorted, i);
      double work = work_of (job->prompt, job->output);
      tokens += job->output * MIN (1.0, left / work);
      left -= work;
    }
  g_ptr_array_unref (sorted);
  return tokens;
}

/* Makes the requests of the scenario, which depend on the seed alone.  */
void
arrive_make (struct world *world)
{
  GArray *jobs = g_array_new (FALSE, FALSE, sizeof (struct job));
  for (guint i = 0; i < G_N_ELEMENTS (mixes); i++)
    if (strcmp (mixes[i].deployment, world->scenario->deployment) == 0)
      make_class (world, jobs, &mixes[i]);
  world->n_jobs = jobs->len;
  world->jobs = (struct job *)g_array_free (jobs, FALSE);
  for (guint i = 0; i < world->n_jobs; i++)
    world->jobs[i].index = i;
  world->bound_tokens = bound_of (world);
}
