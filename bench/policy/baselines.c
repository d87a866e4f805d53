/* Baseline policies: each instance chooses an engine of its region without
   coordination, by round robin or by the power of two choices on the reported
   (lagging) load. A failed attempt is repeated at most twice, unless the client
   has already received tokens.  */
#include "policy/trial.h"

#include <string.h>

#define ATTEMPTS_MAX 3

struct baseline
{
  gboolean two_choices;
  guint next_engine[TRIAL_INSTANCES];
};

static void start_attempt (struct job *job);

/* Writes the indices of the engines in the region of DOMAIN to FOUND; returns
   their number.  */
static guint
engines_of_region (const struct trial *trial, guint domain, guint *found)
{
  guint n = 0;
  for (guint i = 0; i < trial->n_engines; i++)
    {
      guint engine_domain
          = trial->cfg->backends[trial->engine_backend[i]].domain;
      if (!trial_crosses_regions (trial, domain, engine_domain))
        found[n++] = i;
    }
  return n;
}

static guint
choose_engine (struct trial *trial, const struct job *job)
{
  struct baseline *baseline = trial->policy;
  guint found[TRIAL_ENGINES_MAX];
  guint n = engines_of_region (trial, trial->instances[job->instance].domain,
                               found);
  g_assert (n > 0);
  if (!baseline->two_choices)
    return found[baseline->next_engine[job->instance]++ % n];
  guint a = found[g_rand_int_range (trial->rand, 0, (gint32)n)];
  guint b = found[g_rand_int_range (trial->rand, 0, (gint32)n)];
  return engine_load (&trial->engines[b]) < engine_load (&trial->engines[a])
             ? b
             : a;
}

static void
on_token (void *ctx)
{
  trial_record_token (ctx);
}

static void
on_end (void *ctx, gboolean complete)
{
  struct job *job = ctx;
  if (complete)
    trial_finish_job (job, OUTCOME_COMPLETE);
  else if (job->received == 0 && job->attempts < ATTEMPTS_MAX)
    start_attempt (job);
  else
    trial_finish_job (job, OUTCOME_FAILED);
}

/* Starts JOB on a chosen engine, trying again while engines reject it.  */
static void
start_attempt (struct job *job)
{
  while (job->attempts < ATTEMPTS_MAX)
    if (trial_start_attempt (job, choose_engine (job->trial, job),
                             trial_class (job)->tier, on_token, on_end))
      return;
  trial_finish_job (job, OUTCOME_REJECTED);
}

static void
submit (struct trial *trial, struct job *job)
{
  (void)trial;
  start_attempt (job);
}

static void
start (struct trial *trial, gboolean two_choices)
{
  struct baseline *baseline = g_new0 (struct baseline, 1);
  baseline->two_choices = two_choices;
  trial->policy = baseline;
}

static void
start_round_robin (struct trial *trial)
{
  start (trial, FALSE);
}

static void
start_two_choices (struct trial *trial)
{
  start (trial, TRUE);
}

static void
stop (struct trial *trial)
{
  g_free (trial->policy);
}

const struct policy policy_round_robin
    = { "round_robin", start_round_robin, submit, stop };
const struct policy policy_two_choices
    = { "two_choices", start_two_choices, submit, stop };
