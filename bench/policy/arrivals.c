/* Generates the arriving requests of both deployments, and an upper bound on
   the tokens that any policy can deliver for them.  */
#include "policy/trial.h"

#include <math.h>
#include <string.h>

#define BURST_FACTOR 5.0 /* on the rate of the bursting class */
#define BURST_START_US (20 * CLK_S)
#define BURST_END_US (40 * CLK_S)
/* Peaks repeat with this period. A trial has two, like the peaks at dawn and in
   the afternoon of a day. */
#define PEAK_PERIOD_US (30 * CLK_S)
#define PEAK_US (10 * CLK_S)
#define PEAK_FACTOR 1.5  /* rate during a peak, relative to the mean */
#define LENGTH_SIGMA 0.7 /* standard deviation of the log of lengths */

/* The share of a class in the requests and its mean lengths in tokens. */
struct class_mix
{
  const char *deployment;
  const char *class_name;
  double share; /* of requests */
  double prompt;
  double output;
};

static const struct class_mix class_mixes[] = {
  { "authority", "urgent", 0.35, 300, 100 },
  { "authority", "interactive", 0.35, 500, 180 },
  { "authority", "reports", 0.18, 900, 450 },
  { "authority", "batch", 0.12, 1200, 400 },
  { "cooperative", "haul", 0.35, 250, 120 },
  { "cooperative", "summary", 0.30, 900, 300 },
  { "cooperative", "inspection", 0.15, 600, 150 },
  { "cooperative", "weekly", 0.20, 1200, 500 },
};

/* Samples the standard normal distribution (Box-Muller).  */
static double
sample_normal (GRand *rand)
{
  double u = 1.0 - g_rand_double (rand);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
}

/* Samples a length in tokens from a log-normal distribution of mean MEAN.  */
static guint
sample_length (GRand *rand, double mean)
{
  double mu = log (mean) - LENGTH_SIGMA * LENGTH_SIGMA / 2;
  double n = exp (mu + LENGTH_SIGMA * sample_normal (rand));
  return (guint)CLAMP (n, 2, 4000);
}

/* Returns the engine time that a request takes, in seconds of one engine with a
   full batch whose prefixes are all cached.  */
static double
engine_seconds (double prompt, double output)
{
  double step
      = ENGINE_STEP_BASE_US + ENGINE_STEP_SEQUENCE_US * ENGINE_BATCH_MAX;
  return prompt * (1 - ENGINE_PREFIX_SHARE) / ENGINE_PREFILL_TOKENS_PER_S
         + output * step / ENGINE_BATCH_MAX / CLK_S;
}

/* Returns the requests per second that use the complete capacity of the
   engines.  */
static double
capacity_rate (const struct trial *trial)
{
  double seconds = 0;
  for (guint i = 0; i < G_N_ELEMENTS (class_mixes); i++)
    if (strcmp (class_mixes[i].deployment, trial->scenario->deployment) == 0)
      seconds
          += class_mixes[i].share
             * engine_seconds (class_mixes[i].prompt, class_mixes[i].output);
  return trial->n_engines / seconds;
}

/* Returns the rate at time T relative to the mean rate, which it keeps over a
   period.  */
static double
rate_factor (gint64 t)
{
  double low = (PEAK_PERIOD_US - PEAK_FACTOR * PEAK_US)
               / (double)(PEAK_PERIOD_US - PEAK_US);
  return t % PEAK_PERIOD_US < PEAK_US ? PEAK_FACTOR : low;
}

/* The class of tier 1 bursts.  */
static gboolean
is_burst_class (const struct cluster_class *class)
{
  return class->tier == 1;
}

/* Returns the arrival rate of a class at time T, requests per second.  */
static double
rate_of (const struct trial *trial, const struct class_mix *class_mix, gint64 t)
{
  const struct scenario *scenario = trial->scenario;
  int i = cluster_find_class (trial->cfg, str_of (class_mix->class_name));
  double rate = capacity_rate (trial) * scenario->demand * class_mix->share;
  if (scenario->fault != FAULT_BURST)
    return rate * rate_factor (t);
  if (is_burst_class (&trial->cfg->classes[i]) && t >= BURST_START_US
      && t < BURST_END_US)
    rate *= BURST_FACTOR;
  return rate;
}

/* Picks a team that may use the class. The distribution is skewed: a few teams
   send most of the requests.  */
static guint
pick_team (const struct trial *trial, guint class_index)
{
  guint teams[CLUSTER_TEAMS_MAX];
  guint n = 0;
  for (guint i = 0; i < trial->cfg->n_teams; i++)
    if (trial->cfg->teams[i].classes >> class_index & 1)
      teams[n++] = i;
  double u = g_rand_double (trial->rand);
  return teams[(guint)(u * u * n)];
}

/* Adds a request that arrives at T. Each team has three prompt prefixes.  */
static void
add_job (struct trial *trial, GArray *jobs, const struct class_mix *class_mix,
         gint64 t)
{
  struct job job = { .trial = trial };
  job.class_index
      = (guint)cluster_find_class (trial->cfg, str_of (class_mix->class_name));
  job.team_index = pick_team (trial, job.class_index);
  job.instance = (guint)g_rand_int_range (trial->rand, 0, TRIAL_INSTANCES);
  job.prompt = sample_length (trial->rand, class_mix->prompt);
  job.output = sample_length (trial->rand, class_mix->output);
  job.prefix
      = 1 + job.team_index * 4 + (guint64)g_rand_int_range (trial->rand, 0, 3);
  job.arrived_at = TRIAL_START_US + t;
  g_array_append_val (jobs, job);
}

/* Generates a Poisson process of varying rate by thinning: candidates come at
   the highest rate and are kept with probability rate / highest rate.  */
static void
generate_class (struct trial *trial, GArray *jobs,
                const struct class_mix *class_mix)
{
  double max_rate = capacity_rate (trial) * trial->scenario->demand
                    * class_mix->share * BURST_FACTOR;
  double t = 0;
  while (TRUE)
    {
      t += -log (1.0 - g_rand_double (trial->rand)) / max_rate * CLK_S;
      if (t >= TRIAL_ARRIVALS_US)
        return;
      if (g_rand_double (trial->rand) * max_rate
          < rate_of (trial, class_mix, (gint64)t))
        add_job (trial, jobs, class_mix, (gint64)t);
    }
}

static gint
by_tokens_per_work (gconstpointer a, gconstpointer b)
{
  const struct job *x = *(struct job *const *)a;
  const struct job *y = *(struct job *const *)b;
  double rx = x->output / engine_seconds (x->prompt, x->output);
  double ry = y->output / engine_seconds (y->prompt, y->output);
  return rx < ry ? 1 : rx > ry ? -1 : 0;
}

/* Returns an upper bound on the tokens that a policy with full knowledge could
   generate while requests arrive: the engines' time, full batches and cached
   prefixes throughout, spent on the requests with the most tokens for their
   engine time as if all had arrived at the start. The capacity that crashed and
   slow engines lose is not subtracted, so the bound holds for every fault.  */
static double
compute_token_bound (const struct trial *trial)
{
  GPtrArray *sorted = g_ptr_array_new ();
  double seconds_left = trial->n_engines * (double)TRIAL_ARRIVALS_US / CLK_S;
  double tokens = 0;
  for (guint i = 0; i < trial->n_jobs; i++)
    g_ptr_array_add (sorted, &trial->jobs[i]);
  g_ptr_array_sort (sorted, by_tokens_per_work);
  for (guint i = 0; i < sorted->len && seconds_left > 0; i++)
    {
      const struct job *job = g_ptr_array_index (sorted, i);
      double seconds = engine_seconds (job->prompt, job->output);
      tokens += job->output * MIN (1.0, seconds_left / seconds);
      seconds_left -= seconds;
    }
  g_ptr_array_unref (sorted);
  return tokens;
}

void
arrivals_generate (struct trial *trial)
{
  GArray *jobs = g_array_new (FALSE, FALSE, sizeof (struct job));
  for (guint i = 0; i < G_N_ELEMENTS (class_mixes); i++)
    if (strcmp (class_mixes[i].deployment, trial->scenario->deployment) == 0)
      generate_class (trial, jobs, &class_mixes[i]);
  trial->n_jobs = jobs->len;
  trial->jobs = (struct job *)g_array_free (jobs, FALSE);
  for (guint i = 0; i < trial->n_jobs; i++)
    trial->jobs[i].index = i;
  trial->token_bound = compute_token_bound (trial);
}
