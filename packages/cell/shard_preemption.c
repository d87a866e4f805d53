/* Preempts a running request for one of a higher tier that would otherwise miss
   its target for the time to first token.  */
#include "cell/shard_internal.h"

/* Least time between two preemptions. */
#define SHARD_PREEMPT_INTERVAL_US (100 * CLK_MS)
/* Least time between two checks whether a preemption is needed. */
#define SHARD_PREEMPT_CHECK_US (10 * CLK_MS)
/* Number of waiting requests whose saved wait counts for a preemption. */
#define SHARD_PREEMPT_SAVED_MAX 4
/* A request is not preempted before it has run for this long. */
#define SHARD_PREEMPT_RUN_MIN_US CLK_S
/* Assumed time until the victim's slot is free. */
#define SHARD_PREEMPT_DELAY_US (50 * CLK_MS)
/* Assumed time between two slots becoming free before a rate is measured. */
#define SHARD_SLOT_INTERVAL_US (500 * CLK_MS)

static gboolean
has_no_victim (void *ctx, const struct queued_request *request)
{
  (void)ctx;
  return !request->has_victim;
}

/* Estimates the time between two slots becoming free, microseconds.  */
static double
slot_interval (const struct shard_owner *shard)
{
  double rate = rate_window_drain_per_s (&shard->rate);
  return rate > 0 ? CLK_S / rate : SHARD_SLOT_INTERVAL_US;
}

/* Returns the number of requests that wait for a slot in the tier of CLASS and
   above.  */
static guint
queue_length (const struct shard_owner *shard, const struct class_queue *class)
{
  guint n = 0;
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *other = shard->classes->pdata[i];
      if (other->cfg.tier <= class->cfg.tier)
        n += class_n_ahead (other, NULL);
    }
  return n;
}

/* Estimates the time until all requests waiting in the tier of CLASS and above
   have got a slot without preemption, microseconds.  */
static gint64
queue_wait (const struct shard_owner *shard, const struct class_queue *class)
{
  return (gint64)(queue_length (shard, class) * slot_interval (shard));
}

/* Estimates the waiting time that one additional slot saves, microseconds: one
   interval for each of the first SHARD_PREEMPT_SAVED_MAX requests in the
   queue.  */
static double
saved_wait (const struct shard_owner *shard, const struct class_queue *class)
{
  guint n = MIN (queue_length (shard, class), SHARD_PREEMPT_SAVED_MAX);
  return n * slot_interval (shard);
}

/* Returns whether REQUEST misses its target if it waits for a slot, and meets
   it if a request is preempted for it now.  */
static gboolean
needs_preemption (const struct shard_owner *shard,
                  const struct queued_request *request)
{
  gint64 due = request->arrived + request->class->cfg.ttft_us;
  gint64 start
      = clk_now (shard->clk) + (gint64)shard_prefill_us (shard, request);
  return start + queue_wait (shard, request->class) > due
         && start + SHARD_PREEMPT_DELAY_US <= due;
}

/* Returns the next request of the highest tier that needs a preemption, or
   NULL.  */
static struct queued_request *
find_beneficiary (const struct shard_owner *shard)
{
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *class = shard->classes->pdata[i];
      struct queued_request *request
          = class->cfg.ttft_us > 0
                ? class_pick (class, clk_now (shard->clk), has_no_victim, NULL)
                : NULL;
      if (request && needs_preemption (shard, request))
        return request;
    }
  return NULL;
}

static guint
count_running (const struct shard_owner *shard)
{
  guint n = 0;
  for (guint i = 0; i < shard->classes->len; i++)
    n += ((const struct class_queue *)shard->classes->pdata[i])->n_running;
  return n;
}

/* Returns whether CLASS keeps its minimum share of the RUNNING requests with
   one fewer.  */
static gboolean
can_spare_one (const struct class_queue *class, guint running)
{
  return class->n_running > class->n_preempted
         && class->n_running - class->n_preempted - 1
                >= class->cfg.min_share * running;
}

static gboolean
may_preempt (const struct shard_owner *shard,
             const struct queued_request *request,
             const struct queued_request *beneficiary, guint running)
{
  return request->state == QUEUED_RUNNING && request->resumable
         && !request->preempted && request->class
         && request->class->cfg.tier > beneficiary->class->cfg.tier
         && clk_now (shard->clk) - request->granted >= SHARD_PREEMPT_RUN_MIN_US
         && can_spare_one (request->class, running)
         && shard_prefill_us (shard, request)
                < saved_wait (shard, beneficiary->class);
}

/* Returns whether A is the better victim: in a lower tier, or in the same tier
   with less prefill to repeat.  */
static gboolean
is_better_victim (const struct shard_owner *shard,
                  const struct queued_request *a,
                  const struct queued_request *b)
{
  if (a->class->cfg.tier != b->class->cfg.tier)
    return a->class->cfg.tier > b->class->cfg.tier;
  return shard_prefill_us (shard, a) < shard_prefill_us (shard, b);
}

static struct queued_request *
find_victim_on (const struct shard_owner *shard,
                const struct shard_server *server,
                const struct queued_request *beneficiary,
                struct queued_request *best)
{
  guint running = count_running (shard);
  for (GList *l = server->in_flight.head; l; l = l->next)
    {
      struct queued_request *request = l->data;
      if (may_preempt (shard, request, beneficiary, running)
          && (!best || is_better_victim (shard, request, best)))
        best = request;
    }
  return best;
}

/* Returns the request to preempt for BENEFICIARY, or NULL. Only servers on
   which BENEFICIARY may start are searched.  */
static struct queued_request *
find_victim (const struct shard_owner *shard,
             const struct queued_request *beneficiary)
{
  struct queued_request *best = NULL;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const struct shard_server *server = shard->servers->pdata[i];
      if (server_accepts (server) && server->health.state == SERVER_HEALTH_OK
          && server->in_flight.length <= server_limit (server)
          && !shard_avoids (beneficiary, server))
        best = find_victim_on (shard, server, beneficiary, best);
    }
  return best;
}

/* Preempts at most one request, if a waiting request needs it.  */
void
shard_preempt (struct shard_owner *shard)
{
  gint64 now = clk_now (shard->clk);
  if (!shard->rate.backlogged
      || now - shard->last_preemption < SHARD_PREEMPT_INTERVAL_US
      || now - shard->last_preempt_check < SHARD_PREEMPT_CHECK_US)
    return;
  shard->last_preempt_check = now;
  struct queued_request *beneficiary = find_beneficiary (shard);
  struct queued_request *victim
      = beneficiary ? find_victim (shard, beneficiary) : NULL;
  if (!victim)
    return;
  struct msg msg = { .kind = MSG_PREEMPT };
  msg.preempt.queue_entry = victim->id;
  victim->preempted = TRUE;
  victim->preempted_for = beneficiary->ingress->id;
  victim->preempted_for_id = beneficiary->id;
  victim->class->n_preempted++;
  beneficiary->has_victim = TRUE;
  shard->last_preemption = now;
  counter_add (shard->counter_set, COUNTER_PREEMPTED, 1);
  shard->send (shard->ctx, victim->ingress->id.s, &msg);
}

/* The ingress of REQUEST, which runs, has told that it can no longer be
   resumed. If it was to be preempted, it is not, and another one may be.  */
void
shard_preempt_refused (struct shard_owner *shard,
                       struct queued_request *request)
{
  request->resumable = FALSE;
  if (!request->preempted)
    return;
  struct queued_request *beneficiary = queued_find (
      &shard->requests, request->preempted_for.s, request->preempted_for_id);
  request->preempted = FALSE;
  if (request->class)
    request->class->n_preempted--;
  if (beneficiary)
    beneficiary->has_victim = FALSE;
}
