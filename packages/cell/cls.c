#include "cell/cls.h"

/* Tickets of a team tried when the first ones avoid all free servers. */
#define CLS_LOOK_AHEAD 4
/* Starts that may go before a team's oldest ticket in a row. */
#define CLS_PASSED_OVER_MAX 7

static void
flow_free (gpointer p)
{
  struct flw *flow = p;
  g_sequence_free (flow->waiting);
  g_free (flow);
}

/* Returns an empty queue for class CFG; freed by cls_free.  */
struct cls *
cls_new (const struct cluster_class *cfg)
{
  struct cls *cls = g_new0 (struct cls, 1);
  cls->flows = g_hash_table_new_full (NULL, NULL, NULL, flow_free);
  cls->active = g_ptr_array_new ();
  cls->waiting = g_sequence_new (NULL);
  fair_queue_flow_init (&cls->own, 1);
  cls_set_config (cls, cfg);
  return cls;
}

/* Frees CLS but not its tickets.  */
void
cls_free (struct cls *cls)
{
  g_ptr_array_free (cls->active, TRUE);
  g_hash_table_destroy (cls->flows);
  g_sequence_free (cls->waiting);
  g_free (cls);
}

/* Takes over the class's settings and its teams' weights.  */
void
cls_set_config (struct cls *cls, const struct cluster_class *cfg)
{
  GHashTableIter iter;
  gpointer value;
  cls->cfg = *cfg;
  cls->share_credit.share = cfg->min_share;
  g_hash_table_iter_init (&iter, cls->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct flw *flow = value;
      double tag = flow->fair_queue.tag;
      fair_queue_flow_init (&flow->fair_queue, flow->team->weight);
      flow->fair_queue.tag = tag;
    }
}

/* Returns TEAM's flow, made on first use.  */
struct flw *
cls_flow (struct cls *cls, struct tem *team)
{
  struct flw *flow = g_hash_table_lookup (cls->flows, team);
  if (flow)
    return flow;
  flow = g_new0 (struct flw, 1);
  flow->team = team;
  flow->waiting = g_sequence_new (NULL);
  fair_queue_flow_init (&flow->fair_queue, team->weight);
  g_hash_table_insert (cls->flows, team, flow);
  return flow;
}

/* Frees the flow of TEAM, which has no tickets.  */
void
cls_forget_team (struct cls *cls, struct tem *team)
{
  g_hash_table_remove (cls->flows, team);
}

static gint
by_age (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct tkt *x = a;
  const struct tkt *y = b;
  return (x->arrived > y->arrived) - (x->arrived < y->arrived);
}

/* Queues TKT, whose cls and flw are set, by its age.  */
void
cls_push (struct cls *cls, struct tkt *tkt)
{
  struct flw *flow = tkt->flw;
  if (g_sequence_is_empty (flow->waiting))
    {
      fair_queue_activate (&cls->fair_queue, &flow->fair_queue);
      g_ptr_array_add (cls->active, flow);
    }
  tkt->in_flow = g_sequence_insert_sorted (flow->waiting, tkt, by_age, NULL);
  tkt->in_class = g_sequence_insert_sorted (cls->waiting, tkt, by_age, NULL);
  cls->n_waiting++;
}

/* Takes TKT out of the queue; it stays a ticket of the class.  */
void
cls_remove (struct cls *cls, struct tkt *tkt)
{
  g_sequence_remove (tkt->in_flow);
  g_sequence_remove (tkt->in_class);
  tkt->in_flow = NULL;
  tkt->in_class = NULL;
  cls->n_waiting--;
  if (g_sequence_is_empty (tkt->flw->waiting))
    g_ptr_array_remove_fast (cls->active, tkt->flw);
}

/* Returns the ticket that has waited longest, or NULL.  */
struct tkt *
cls_oldest (const struct cls *cls)
{
  if (cls->n_waiting == 0)
    return NULL;
  return g_sequence_get (g_sequence_get_begin_iter (cls->waiting));
}

/* Returns the ticket that has waited least, or NULL.  */
struct tkt *
cls_youngest (const struct cls *cls)
{
  if (cls->n_waiting == 0)
    return NULL;
  GSequenceIter *end = g_sequence_get_end_iter (cls->waiting);
  return g_sequence_get (g_sequence_iter_prev (end));
}

/* Returns the first ticket of FLOW in turn: the oldest that can still meet
   its target for the first token, so that an overload does not make all of
   them late; the oldest of all if there is none or it was passed over too
   often.  */
static GSequenceIter *
first_in_turn (const struct cls *cls, const struct flw *flow, gint64 now)
{
  GSequenceIter *first = g_sequence_get_begin_iter (flow->waiting);
  if (cls->cfg.ttft_us == 0 || flow->passed_over >= CLS_PASSED_OVER_MAX)
    return first;
  struct tkt late = { .arrived = now - cls->cfg.ttft_us };
  GSequenceIter *iter = g_sequence_search (flow->waiting, &late, by_age, NULL);
  return g_sequence_iter_is_end (iter) ? first : iter;
}

static struct tkt *
pick_in_flow (const struct cls *cls, const struct flw *flow, gint64 now,
              cls_startable startable, void *ctx)
{
  GSequenceIter *iter = first_in_turn (cls, flow, now);
  for (guint i = 0; i < CLS_LOOK_AHEAD && !g_sequence_iter_is_end (iter); i++)
    {
      struct tkt *tkt = g_sequence_get (iter);
      if (startable (ctx, tkt))
        return tkt;
      iter = g_sequence_iter_next (iter);
    }
  return NULL;
}

/* Returns the next ticket in fair order whose team is below its limit and
   which is STARTABLE, or NULL.  */
struct tkt *
cls_pick (const struct cls *cls, gint64 now, cls_startable startable, void *ctx)
{
  const struct flw *best = NULL;
  struct tkt *picked = NULL;
  for (guint i = 0; i < cls->active->len; i++)
    {
      const struct flw *flow = cls->active->pdata[i];
      if (tem_at_limit (flow->team)
          || (best
              && !fair_queue_precedes (&flow->fair_queue, &best->fair_queue)))
        continue;
      struct tkt *tkt = pick_in_flow (cls, flow, now, startable, ctx);
      if (!tkt)
        continue;
      best = flow;
      picked = tkt;
    }
  return picked;
}

/* Estimate of the waiting tickets that start before a new one of TEAM, or
   with NULL all that wait for a slot and not for their team's limit.  */
guint
cls_ahead (const struct cls *cls, const struct tem *team)
{
  guint flows = 0;
  guint all = 0;
  guint own = 0;
  for (guint i = 0; i < cls->active->len; i++)
    {
      const struct flw *flow = cls->active->pdata[i];
      guint n = (guint)g_sequence_get_length (flow->waiting);
      if (flow->team == team)
        own = n;
      if (flow->team != team && tem_at_limit (flow->team))
        continue;
      flows++;
      all += n;
    }
  return team ? MIN (all, (own + 1) * flows) : all;
}

/* Notes that TKT, which still waits, starts.  */
void
cls_serve (struct cls *cls, const struct tkt *tkt)
{
  struct flw *flow = tkt->flw;
  gboolean oldest = tkt->in_flow == g_sequence_get_begin_iter (flow->waiting);
  flow->passed_over = oldest ? 0 : flow->passed_over + 1;
  fair_queue_serve (&cls->fair_queue, &tkt->flw->fair_queue);
}

/* Charges TOKENS, prompt or generated, to TKT's team and to the class.  */
void
cls_charge (struct cls *cls, const struct tkt *tkt, double tokens)
{
  fair_queue_charge (&tkt->flw->fair_queue, tokens);
  fair_queue_charge (&cls->own, tokens);
}
