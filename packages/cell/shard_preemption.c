/* Preemption: a running request makes room for a higher tier's ticket that
   would otherwise miss its target for the first token.  */
#include "cell/shard_internal.h"

#define SHARD_PREEMPT_INTERVAL_US (100 * CLK_MS) /* between preemptions */
#define SHARD_PREEMPT_CHECK_US (10 * CLK_MS)     /* between looks for one */
#define SHARD_PREEMPT_SAVED_MAX 4      /* tickets whose saved waiting counts */
#define SHARD_PREEMPT_RUN_MIN_US CLK_S /* a victim ran at least so long */
#define SHARD_PREEMPT_DELAY_US (50 * CLK_MS) /* until the slot is free */
#define SHARD_SLOT_INTERVAL_US                                                 \
  (500 * CLK_MS) /* for a slot, if no rate is known */

static gboolean
always (void *ctx, const struct queued_request *queued_request)
{
  (void)ctx;
  return !queued_request->rescued;
}

/* Estimate of the time between two slots that come free.  */
static double
slot_interval (const struct shard_owner *shard_owner)
{
  double rate = rte_drain_per_s (&shard_owner->rate);
  return rate > 0 ? CLK_S / rate : SHARD_SLOT_INTERVAL_US;
}

/* Returns the tickets that wait for a slot in the tier of CLS and above.  */
static guint
queue_of (const struct shard_owner *shard_owner,
          const struct class_queue *class_queue)
{
  guint n = 0;
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *other = shard_owner->classes->pdata[i];
      if (other->cfg.tier <= class_queue->cfg.tier)
        n += class_n_ahead (other, NULL);
    }
  return n;
}

/* Estimate of the time until all that waits in the tier of CLS and above has
   a slot without preemption.  */
static gint64
queue_wait (const struct shard_owner *shard_owner,
            const struct class_queue *class_queue)
{
  return (gint64)(queue_of (shard_owner, class_queue)
                  * slot_interval (shard_owner));
}

/* Estimate of the waiting that one more slot saves: one interval for each
   ticket of the queue.  */
static double
saving (const struct shard_owner *shard_owner,
        const struct class_queue *class_queue)
{
  guint n = MIN (queue_of (shard_owner, class_queue), SHARD_PREEMPT_SAVED_MAX);
  return n * slot_interval (shard_owner);
}

/* Tells whether TKT misses its target if it waits and meets it if not.  */
static gboolean
needs_rescue (const struct shard_owner *shard_owner,
              const struct queued_request *queued_request)
{
  gint64 due
      = queued_request->arrived + queued_request->class_queue->cfg.ttft_us;
  gint64 start = clk_now (shard_owner->clk)
                 + (gint64)shard_prefill_us (shard_owner, queued_request);
  return start + queue_wait (shard_owner, queued_request->class_queue) > due
         && start + SHARD_PREEMPT_DELAY_US <= due;
}

/* Returns the next ticket of the highest tier that needs a rescue.  */
static struct queued_request *
find_needy (const struct shard_owner *shard_owner)
{
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *class_queue = shard_owner->classes->pdata[i];
      struct queued_request *queued_request
          = class_queue->cfg.ttft_us > 0 ? class_pick (
                class_queue, clk_now (shard_owner->clk), always, NULL)
                                         : NULL;
      if (queued_request && needs_rescue (shard_owner, queued_request))
        return queued_request;
    }
  return NULL;
}

static guint
count_running (const struct shard_owner *shard_owner)
{
  guint n = 0;
  for (guint i = 0; i < shard_owner->classes->len; i++)
    n += ((const struct class_queue *)shard_owner->classes->pdata[i])
             ->n_running;
  return n;
}

/* Tells whether CLS keeps its minimum share of the RUNNING requests with one
   less.  */
static gboolean
can_spare (const struct class_queue *class_queue, guint running)
{
  return class_queue->n_running > class_queue->n_preempted
         && class_queue->n_running - class_queue->n_preempted - 1
                >= class_queue->cfg.min_share * running;
}

static gboolean
may_preempt (const struct shard_owner *shard_owner,
             const struct queued_request *queued_request,
             const struct queued_request *needy, guint running)
{
  return queued_request->state == QUEUED_RUNNING && queued_request->resumable
         && !queued_request->preempted && queued_request->class_queue
         && queued_request->class_queue->cfg.tier > needy->class_queue->cfg.tier
         && clk_now (shard_owner->clk) - queued_request->granted
                >= SHARD_PREEMPT_RUN_MIN_US
         && can_spare (queued_request->class_queue, running)
         && shard_prefill_us (shard_owner, queued_request)
                < saving (shard_owner, needy->class_queue);
}

/* Tells whether A is the better victim: of a lower tier, then with less work
   thrown away.  */
static gboolean
is_better_victim (const struct shard_owner *shard_owner,
                  const struct queued_request *a,
                  const struct queued_request *b)
{
  if (a->class_queue->cfg.tier != b->class_queue->cfg.tier)
    return a->class_queue->cfg.tier > b->class_queue->cfg.tier;
  return shard_prefill_us (shard_owner, a) < shard_prefill_us (shard_owner, b);
}

static struct queued_request *
find_victim_on (const struct shard_owner *shard_owner,
                const struct shard_server *shard_server,
                const struct queued_request *needy, struct queued_request *best)
{
  guint running = count_running (shard_owner);
  for (GList *l = shard_server->in_flight.head; l; l = l->next)
    {
      struct queued_request *queued_request = l->data;
      if (may_preempt (shard_owner, queued_request, needy, running)
          && (!best || is_better_victim (shard_owner, queued_request, best)))
        best = queued_request;
    }
  return best;
}

/* Returns the request to preempt for NEEDY, or NULL. Its slot must be one
   that NEEDY can take.  */
static struct queued_request *
find_victim (const struct shard_owner *shard_owner,
             const struct queued_request *needy)
{
  struct queued_request *best = NULL;
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      const struct shard_server *shard_server = shard_owner->servers->pdata[i];
      if (server_accepts (shard_server) && shard_server->hea.state == HEA_OK
          && shard_server->in_flight.length <= server_limit (shard_server)
          && !shard_avoids (needy, shard_server))
        best = find_victim_on (shard_owner, shard_server, needy, best);
    }
  return best;
}

/* Preempts at most one request if a waiting ticket needs it.  */
void
shard_preempt (struct shard_owner *shard_owner)
{
  gint64 now = clk_now (shard_owner->clk);
  if (!shard_owner->rate.busy
      || now - shard_owner->preempted < SHARD_PREEMPT_INTERVAL_US
      || now - shard_owner->preempt_checked < SHARD_PREEMPT_CHECK_US)
    return;
  shard_owner->preempt_checked = now;
  struct queued_request *needy = find_needy (shard_owner);
  struct queued_request *victim
      = needy ? find_victim (shard_owner, needy) : NULL;
  if (!victim)
    return;
  struct msg msg = { .kind = MSG_PREEMPT };
  msg.preempt.ticket = victim->id;
  victim->preempted = TRUE;
  victim->class_queue->n_preempted++;
  needy->rescued = TRUE;
  shard_owner->preempted = now;
  ctr_add (shard_owner->ctr, CTR_PREEMPTED, 1);
  shard_owner->send (shard_owner->ctx, victim->ent->id.s, &msg);
}
