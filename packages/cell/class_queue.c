#include "cell/class_queue.h"

/* Tickets of a team tried when the first ones avoid all free servers. */
#define CLASS_LOOK_AHEAD 4
/* Starts that may go before a team's oldest ticket in a row. */
#define CLASS_PASSED_OVER_MAX 7

static void
flow_free (gpointer p)
{
  struct team_flow *flow = p;
  g_sequence_free (flow->waiting);
  g_free (flow);
}

/* Returns an empty queue for class CFG; freed by class_free.  */
struct class_queue *
class_new (const struct cfg_class *cfg)
{
  struct class_queue *class_queue = g_new0 (struct class_queue, 1);
  class_queue->flows = g_hash_table_new_full (NULL, NULL, NULL, flow_free);
  class_queue->active = g_ptr_array_new ();
  class_queue->waiting = g_sequence_new (NULL);
  dfq_flow_init (&class_queue->own, 1);
  class_set_config (class_queue, cfg);
  return class_queue;
}

/* Frees CLS but not its tickets.  */
void
class_free (struct class_queue *class_queue)
{
  g_ptr_array_free (class_queue->active, TRUE);
  g_hash_table_destroy (class_queue->flows);
  g_sequence_free (class_queue->waiting);
  g_free (class_queue);
}

/* Takes over the class's settings and its teams' weights.  */
void
class_set_config (struct class_queue *class_queue, const struct cfg_class *cfg)
{
  GHashTableIter iter;
  gpointer value;
  class_queue->cfg = *cfg;
  class_queue->shr.share = cfg->min_share;
  g_hash_table_iter_init (&iter, class_queue->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct team_flow *flow = value;
      double tag = flow->dfq.tag;
      dfq_flow_init (&flow->dfq, flow->team->weight);
      flow->dfq.tag = tag;
    }
}

/* Returns TEAM's flow, made on first use.  */
struct team_flow *
class_team_flow (struct class_queue *class_queue, struct team_state *team)
{
  struct team_flow *flow = g_hash_table_lookup (class_queue->flows, team);
  if (flow)
    return flow;
  flow = g_new0 (struct team_flow, 1);
  flow->team = team;
  flow->waiting = g_sequence_new (NULL);
  dfq_flow_init (&flow->dfq, team->weight);
  g_hash_table_insert (class_queue->flows, team, flow);
  return flow;
}

/* Frees the flow of TEAM, which has no tickets.  */
void
class_remove_team (struct class_queue *class_queue, struct team_state *team)
{
  g_hash_table_remove (class_queue->flows, team);
}

static gint
by_age (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct queued_request *x = a;
  const struct queued_request *y = b;
  return (x->arrived > y->arrived) - (x->arrived < y->arrived);
}

/* Queues TKT, whose cls and flw are set, by its age.  */
void
class_push (struct class_queue *class_queue,
            struct queued_request *queued_request)
{
  struct team_flow *flow = queued_request->team_flow;
  if (g_sequence_is_empty (flow->waiting))
    {
      dfq_wake (&class_queue->dfq, &flow->dfq);
      g_ptr_array_add (class_queue->active, flow);
    }
  queued_request->in_flow
      = g_sequence_insert_sorted (flow->waiting, queued_request, by_age, NULL);
  queued_request->in_class = g_sequence_insert_sorted (
      class_queue->waiting, queued_request, by_age, NULL);
  class_queue->n_waiting++;
}

/* Takes TKT out of the queue; it stays a ticket of the class.  */
void
class_remove (struct class_queue *class_queue,
              struct queued_request *queued_request)
{
  g_sequence_remove (queued_request->in_flow);
  g_sequence_remove (queued_request->in_class);
  queued_request->in_flow = NULL;
  queued_request->in_class = NULL;
  class_queue->n_waiting--;
  if (g_sequence_is_empty (queued_request->team_flow->waiting))
    g_ptr_array_remove_fast (class_queue->active, queued_request->team_flow);
}

/* Returns the ticket that has waited longest, or NULL.  */
struct queued_request *
class_oldest (const struct class_queue *class_queue)
{
  if (class_queue->n_waiting == 0)
    return NULL;
  return g_sequence_get (g_sequence_get_begin_iter (class_queue->waiting));
}

/* Returns the ticket that has waited least, or NULL.  */
struct queued_request *
class_youngest (const struct class_queue *class_queue)
{
  if (class_queue->n_waiting == 0)
    return NULL;
  GSequenceIter *end = g_sequence_get_end_iter (class_queue->waiting);
  return g_sequence_get (g_sequence_iter_prev (end));
}

/* Returns the first ticket of FLOW in turn: the oldest that can still meet
   its target for the first token, so that an overload does not make all of
   them late; the oldest of all if there is none or it was passed over too
   often.  */
static GSequenceIter *
first_in_turn (const struct class_queue *class_queue,
               const struct team_flow *flow, gint64 now)
{
  GSequenceIter *first = g_sequence_get_begin_iter (flow->waiting);
  if (class_queue->cfg.ttft_us == 0
      || flow->passed_over >= CLASS_PASSED_OVER_MAX)
    return first;
  struct queued_request late = { .arrived = now - class_queue->cfg.ttft_us };
  GSequenceIter *iter = g_sequence_search (flow->waiting, &late, by_age, NULL);
  return g_sequence_iter_is_end (iter) ? first : iter;
}

static struct queued_request *
pick_in_flow (const struct class_queue *class_queue,
              const struct team_flow *flow, gint64 now,
              class_startable startable, void *ctx)
{
  GSequenceIter *iter = first_in_turn (class_queue, flow, now);
  for (guint i = 0; i < CLASS_LOOK_AHEAD && !g_sequence_iter_is_end (iter); i++)
    {
      struct queued_request *queued_request = g_sequence_get (iter);
      if (startable (ctx, queued_request))
        return queued_request;
      iter = g_sequence_iter_next (iter);
    }
  return NULL;
}

/* Returns the next ticket in fair order whose team is below its limit and
   which is STARTABLE, or NULL.  */
struct queued_request *
class_pick (const struct class_queue *class_queue, gint64 now,
            class_startable startable, void *ctx)
{
  const struct team_flow *best = NULL;
  struct queued_request *picked = NULL;
  for (guint i = 0; i < class_queue->active->len; i++)
    {
      const struct team_flow *flow = class_queue->active->pdata[i];
      if (team_is_at_limit (flow->team)
          || (best && !dfq_before (&flow->dfq, &best->dfq)))
        continue;
      struct queued_request *queued_request
          = pick_in_flow (class_queue, flow, now, startable, ctx);
      if (!queued_request)
        continue;
      best = flow;
      picked = queued_request;
    }
  return picked;
}

/* Estimate of the waiting tickets that start before a new one of TEAM, or
   with NULL all that wait for a slot and not for their team's limit.  */
guint
class_n_ahead (const struct class_queue *class_queue,
               const struct team_state *team)
{
  guint flows = 0;
  guint all = 0;
  guint own = 0;
  for (guint i = 0; i < class_queue->active->len; i++)
    {
      const struct team_flow *flow = class_queue->active->pdata[i];
      guint n = (guint)g_sequence_get_length (flow->waiting);
      if (flow->team == team)
        own = n;
      if (flow->team != team && team_is_at_limit (flow->team))
        continue;
      flows++;
      all += n;
    }
  return team ? MIN (all, (own + 1) * flows) : all;
}

/* Notes that TKT, which still waits, starts.  */
void
class_count_start (struct class_queue *class_queue,
                   const struct queued_request *queued_request)
{
  struct team_flow *flow = queued_request->team_flow;
  gboolean oldest
      = queued_request->in_flow == g_sequence_get_begin_iter (flow->waiting);
  flow->passed_over = oldest ? 0 : flow->passed_over + 1;
  dfq_serve (&class_queue->dfq, &queued_request->team_flow->dfq);
}

/* Charges TOKENS, prompt or generated, to TKT's team and to the class.  */
void
class_charge (struct class_queue *class_queue,
              const struct queued_request *queued_request, double tokens)
{
  dfq_charge (&queued_request->team_flow->dfq, tokens);
  dfq_charge (&class_queue->own, tokens);
}
