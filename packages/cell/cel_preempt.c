/* Preemption: a running request makes room for a higher tier's ticket that
   would otherwise miss its target for the first token.  */
#include "cell/cel_int.h"

#define CEL_PREEMPT_GAP_US (100 * CLK_MS)  /* between preemptions */
#define CEL_PREEMPT_CHECK_US (10 * CLK_MS) /* between looks for one */
#define CEL_PREEMPT_SAVED_MAX 4  /* tickets whose saved waiting counts */
#define CEL_PREEMPT_RUN_US CLK_S /* a victim ran at least so long */
#define CEL_PREEMPT_TAKES_US (50 * CLK_MS) /* until the slot is free */
#define CEL_SLOT_WAIT_US (500 * CLK_MS)    /* for a slot, if no rate is known */

static gboolean
always (void *ctx, const struct tkt *tkt)
{
  (void)ctx;
  return !tkt->rescued;
}

/* Estimate of the time between two slots that come free.  */
static double
slot_interval (const struct cel *cel)
{
  double rate = rate_window_drain_per_s (&cel->rate);
  return rate > 0 ? CLK_S / rate : CEL_SLOT_WAIT_US;
}

/* Returns the tickets that wait for a slot in the tier of CLS and above.  */
static guint
queue_of (const struct cel *cel, const struct cls *cls)
{
  guint n = 0;
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *other = cel->classes->pdata[i];
      if (other->cfg.tier <= cls->cfg.tier)
        n += cls_ahead (other, NULL);
    }
  return n;
}

/* Estimate of the time until all that waits in the tier of CLS and above has
   a slot without preemption.  */
static gint64
queue_wait (const struct cel *cel, const struct cls *cls)
{
  return (gint64)(queue_of (cel, cls) * slot_interval (cel));
}

/* Estimate of the waiting that one more slot saves: one interval for each
   ticket of the queue.  */
static double
saving (const struct cel *cel, const struct cls *cls)
{
  guint n = MIN (queue_of (cel, cls), CEL_PREEMPT_SAVED_MAX);
  return n * slot_interval (cel);
}

/* Tells whether TKT misses its target if it waits and meets it if not.  */
static gboolean
needs_rescue (const struct cel *cel, const struct tkt *tkt)
{
  gint64 due = tkt->arrived + tkt->cls->cfg.ttft_us;
  gint64 start = clk_now (cel->clk) + (gint64)cel_prefill_us (cel, tkt);
  return start + queue_wait (cel, tkt->cls) > due
         && start + CEL_PREEMPT_TAKES_US <= due;
}

/* Returns the next ticket of the highest tier that needs a rescue.  */
static struct tkt *
find_needy (const struct cel *cel)
{
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *cls = cel->classes->pdata[i];
      struct tkt *tkt = cls->cfg.ttft_us > 0
                            ? cls_pick (cls, clk_now (cel->clk), always, NULL)
                            : NULL;
      if (tkt && needs_rescue (cel, tkt))
        return tkt;
    }
  return NULL;
}

static guint
count_running (const struct cel *cel)
{
  guint n = 0;
  for (guint i = 0; i < cel->classes->len; i++)
    n += ((const struct cls *)cel->classes->pdata[i])->n_running;
  return n;
}

/* Tells whether CLS keeps its minimum share of the RUNNING requests with one
   less.  */
static gboolean
can_spare (const struct cls *cls, guint running)
{
  return cls->n_running > cls->n_preempted
         && cls->n_running - cls->n_preempted - 1
                >= cls->cfg.min_share * running;
}

static gboolean
may_preempt (const struct cel *cel, const struct tkt *tkt,
             const struct tkt *needy, guint running)
{
  return tkt->state == TKT_RUNNING && tkt->resumable && !tkt->preempted
         && tkt->cls && tkt->cls->cfg.tier > needy->cls->cfg.tier
         && clk_now (cel->clk) - tkt->granted >= CEL_PREEMPT_RUN_US
         && can_spare (tkt->cls, running)
         && cel_prefill_us (cel, tkt) < saving (cel, needy->cls);
}

/* Tells whether A is the better victim: of a lower tier, then with less work
   thrown away.  */
static gboolean
is_better_victim (const struct cel *cel, const struct tkt *a,
                  const struct tkt *b)
{
  if (a->cls->cfg.tier != b->cls->cfg.tier)
    return a->cls->cfg.tier > b->cls->cfg.tier;
  return cel_prefill_us (cel, a) < cel_prefill_us (cel, b);
}

static struct tkt *
find_victim_on (const struct cel *cel, const struct srv *srv,
                const struct tkt *needy, struct tkt *best)
{
  guint running = count_running (cel);
  for (GList *l = srv->in_flight.head; l; l = l->next)
    {
      struct tkt *tkt = l->data;
      if (may_preempt (cel, tkt, needy, running)
          && (!best || is_better_victim (cel, tkt, best)))
        best = tkt;
    }
  return best;
}

/* Returns the request to preempt for NEEDY, or NULL. Its slot must be one
   that NEEDY can take.  */
static struct tkt *
find_victim (const struct cel *cel, const struct tkt *needy)
{
  struct tkt *best = NULL;
  for (guint i = 0; i < cel->servers->len; i++)
    {
      const struct srv *srv = cel->servers->pdata[i];
      if (srv_takes_work (srv) && srv->server_health.state == SERVER_HEALTH_OK
          && srv->in_flight.length <= srv_limit (srv)
          && !cel_avoids (needy, srv))
        best = find_victim_on (cel, srv, needy, best);
    }
  return best;
}

/* Preempts at most one request if a waiting ticket needs it.  */
void
cel_preempt (struct cel *cel)
{
  gint64 now = clk_now (cel->clk);
  if (!cel->rate.backlogged || now - cel->preempted < CEL_PREEMPT_GAP_US
      || now - cel->preempt_checked < CEL_PREEMPT_CHECK_US)
    return;
  cel->preempt_checked = now;
  struct tkt *needy = find_needy (cel);
  struct tkt *victim = needy ? find_victim (cel, needy) : NULL;
  if (!victim)
    return;
  struct msg msg = { .kind = MSG_PREEMPT };
  msg.preempt.ticket = victim->id;
  victim->preempted = TRUE;
  victim->cls->n_preempted++;
  needy->rescued = TRUE;
  cel->preempted = now;
  counter_add (cel->counter_set, COUNTER_PREEMPTED, 1);
  cel->send (cel->ctx, victim->ent->id.s, &msg);
}
