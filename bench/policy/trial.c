#include "policy/trial.h"

#include <string.h>

/* One-way network delays without jitter. */
#define DELAY_SAME_US 200     /* within a failure domain */
#define DELAY_DOMAIN_US 1000  /* between failure domains of a region */
#define DELAY_REGION_US 30000 /* between regions */
#define STRAGGLER_SLOWDOWN 5.0
#define FREEZE_US (5 * CLK_S) /* time that the instance stands still */
/* Time until the load balancer in front of the instances skips a frozen one. */
#define BALANCER_REACTION_US (2 * CLK_S)
#define PARTITION_US (15 * CLK_S)
#define CRASH_US (15 * CLK_S)
#define LINK_BYTES_PER_PROMPT_TOKEN 4
#define LINK_BYTES_PER_TOKEN 180 /* one event of the stream */

gint64
trial_now (const struct trial *trial)
{
  return trial->events.clk.t;
}

/* The partition separates failure domain 1 from all others.  */
gboolean
trial_is_partitioned (const struct trial *trial, guint a, guint b)
{
  return a != b && (a == 1 || b == 1)
         && trial_now (trial) < trial->partitioned_until;
}

gboolean
trial_crosses_regions (const struct trial *trial, guint a, guint b)
{
  return strcmp (trial->cfg->domains[a].region.s,
                 trial->cfg->domains[b].region.s)
         != 0;
}

/* Adds up to 20 % of jitter to the delay between A and B.  */
gint64
trial_delay (struct trial *trial, guint a, guint b)
{
  gint64 base = a == b                                ? DELAY_SAME_US
                : trial_crosses_regions (trial, a, b) ? DELAY_REGION_US
                                                      : DELAY_DOMAIN_US;
  return base + g_rand_int_range (trial->rand, 0, (gint32)base / 5 + 1);
}

const struct cluster_class *
trial_class (const struct job *job)
{
  return &job->trial->cfg->classes[job->class_index];
}

static guint
domain_of_engine (const struct trial *trial, guint i)
{
  return trial->cfg->backends[trial->engine_backend[i]].domain;
}

gboolean
trial_start_attempt (struct job *job, guint i, guint priority,
                     void (*on_token) (void *ctx),
                     void (*on_end) (void *ctx, gboolean complete))
{
  struct trial *trial = job->trial;
  struct sequence *s = &job->sequence;
  guint instance_domain = trial->instances[job->instance].domain;
  guint engine_domain = domain_of_engine (trial, i);
  if (job->attempts++ == 0)
    trial->first_attempts++;
  else if (job->preempted)
    trial->preemptions++;
  else
    trial->retries++;
  job->preempted = FALSE;
  if (trial_is_partitioned (trial, instance_domain, engine_domain))
    return FALSE;
  memset (s, 0, sizeof *s);
  s->priority = priority;
  s->prompt = job->prompt;
  s->output = job->output;
  s->generated = job->received;
  s->prefix = job->prefix;
  s->on_token = on_token;
  s->on_end = on_end;
  s->ctx = job;
  job->engine = i;
  if (!engine_start (&trial->engines[i], s))
    return FALSE;
  if (!job->started)
    job->started_at = trial_now (trial);
  job->started = TRUE;
  if (trial_crosses_regions (trial, instance_domain, engine_domain))
    trial->link_bytes += (guint64)job->prompt * LINK_BYTES_PER_PROMPT_TOKEN;
  return TRUE;
}

void
trial_record_token (struct job *job)
{
  struct trial *trial = job->trial;
  guint instance_domain = trial->instances[job->instance].domain;
  job->last_token_at = trial_now (trial);
  if (job->first_token_at == 0)
    job->first_token_at = job->last_token_at;
  job->received = MAX (job->received, job->sequence.generated);
  if (job->last_token_at < TRIAL_START_US + TRIAL_ARRIVALS_US)
    job->received_early = job->received;
  if (trial_crosses_regions (trial, instance_domain,
                             domain_of_engine (trial, job->engine)))
    trial->link_bytes += LINK_BYTES_PER_TOKEN;
}

void
trial_finish_job (struct job *job, enum outcome outcome)
{
  if (job->outcome != OUTCOME_PENDING)
    return;
  job->outcome = outcome;
  job->ended_at = trial_now (job->trial);
  if (outcome != OUTCOME_COMPLETE)
    job->trial->wasted_tokens += job->received;
}

gint64
trial_frozen_for (const struct trial *trial, guint instance)
{
  return MAX (0, trial->frozen_until[instance] - trial_now (trial));
}

/* Gives the request to its instance. If the instance is frozen, the request
   waits there until the load balancer has noticed; then the next instance gets
   it.  */
static void
on_arrival (void *ctx, void *data)
{
  const struct policy *policy = ctx;
  struct job *job = data;
  struct trial *trial = job->trial;
  gint64 frozen = trial_frozen_for (trial, job->instance);
  if (frozen == 0)
    policy->submit (trial, job);
  else if (frozen < FREEZE_US - BALANCER_REACTION_US)
    {
      job->instance = (job->instance + 1) % TRIAL_INSTANCES;
      policy->submit (trial, job);
    }
  else
    event_queue_add (&trial->events, frozen, on_arrival, ctx, job);
}

/* Injects the fault of the scenario.  */
static void
on_fault (void *ctx, void *data)
{
  struct trial *trial = ctx;
  (void)data;
  switch (trial->scenario->fault)
    {
    case FAULT_STRAGGLER:
      trial->engines[0].slowdown = STRAGGLER_SLOWDOWN;
      trial->engines[0].reports_idle = TRUE;
      break;
    case FAULT_CRASH:
      engine_set_down (&trial->engines[0], TRUE);
      engine_set_down (&trial->engines[1], TRUE);
      break;
    case FAULT_FREEZE:
      trial->frozen_until[trial->freeze_target] = trial_now (trial) + FREEZE_US;
      break;
    case FAULT_PARTITION:
      trial->partitioned_until = trial_now (trial) + PARTITION_US;
      break;
    default:
      break;
    }
}

/* Restarts crashed engines.  */
static void
on_repair (void *ctx, void *data)
{
  struct trial *trial = ctx;
  (void)data;
  if (trial->scenario->fault == FAULT_CRASH)
    {
      engine_set_down (&trial->engines[0], FALSE);
      engine_set_down (&trial->engines[1], FALSE);
    }
}

static struct cluster_config *
read_config (const char *deployment)
{
  char *path = g_build_filename (JW_SOURCE_DIR, "examples", deployment,
                                 "config.ini", NULL);
  char *text;
  gsize n;
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  if (!g_file_get_contents (path, &text, &n, NULL))
    g_error ("cannot read %s", path);
  GBytes *body = g_bytes_new_take (text, n);
  struct cluster_config *cfg = cluster_parse (body, 1, problems);
  if (cfg == NULL)
    g_error ("%s: %s", path, (char *)g_ptr_array_index (problems, 0));
  g_ptr_array_unref (problems);
  g_bytes_unref (body);
  g_free (path);
  return cfg;
}

/* Puts three instances into the first failure domain, two into each other.  */
static void
place_instances (struct trial *trial)
{
  static const guint domains[TRIAL_INSTANCES] = { 0, 0, 0, 1, 1, 2, 2 };
  for (guint i = 0; i < TRIAL_INSTANCES; i++)
    {
      struct instance *instance = &trial->instances[i];
      instance->domain = domains[i];
      g_snprintf (instance->id.s, sizeof instance->id.s, "%s-%c",
                  trial->cfg->domains[domains[i]].name.s, 'a' + (char)i);
    }
}

/* Makes an engine for each backend server of a model.  */
static void
place_engines (struct trial *trial)
{
  for (guint i = 0; i < trial->cfg->n_backends; i++)
    {
      if (trial->cfg->pools[trial->cfg->backends[i].pool].kind
          != CLUSTER_ENGINE)
        continue;
      trial->engine_backend[trial->n_engines] = i;
      engine_init (&trial->engines[trial->n_engines++], &trial->events);
    }
}

void
trial_run (struct trial *trial, const struct scenario *scenario,
           const struct policy *policy, guint32 seed)
{
  memset (trial, 0, sizeof *trial);
  event_queue_init (&trial->events);
  trial->rand = g_rand_new_with_seed (seed);
  trial->scenario = scenario;
  trial->cfg = read_config (scenario->deployment);
  place_instances (trial);
  place_engines (trial);
  arrivals_generate (trial);
  policy->start (trial);
  event_queue_run (&trial->events, TRIAL_START_US);
  for (guint i = 0; i < trial->n_jobs; i++)
    event_queue_add (&trial->events, trial->jobs[i].arrived_at - TRIAL_START_US,
                     on_arrival, (void *)policy, &trial->jobs[i]);
  event_queue_add (&trial->events, TRIAL_FAULT_US, on_fault, trial, NULL);
  event_queue_add (&trial->events, TRIAL_FAULT_US + CRASH_US, on_repair, trial,
                   NULL);
  event_queue_run (&trial->events, TRIAL_START_US + TRIAL_END_US);
  policy->stop (trial);
}

void
trial_clear (struct trial *trial)
{
  for (guint i = 0; i < trial->n_engines; i++)
    engine_clear (&trial->engines[i]);
  cluster_unref (trial->cfg);
  g_free (trial->jobs);
  g_rand_free (trial->rand);
  event_queue_clear (&trial->events);
}
