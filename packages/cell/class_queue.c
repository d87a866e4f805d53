#include "cell/class_queue.h"

/* Requests of a team that are tried when the first ones avoid all servers with
   free slots. */
#define CLASS_LOOK_AHEAD 4
/* Consecutive starts of a team that may skip its oldest request, so that late
   requests are not starved. */
#define CLASS_PASSED_OVER_MAX 7
/* The same for a request that has used up half of the time until its deadline,
   so that enough is left for its run.  */
#define CLASS_DUE_PASSED_OVER_MAX 1

static void
flow_free (gpointer p)
{
  struct team_flow *flow = p;
  g_sequence_free (flow->waiting);
  g_free (flow);
}

/* Returns an empty queue for class CFG. The caller frees it with
   class_free.  */
struct class_queue *
class_new (const struct cluster_class *cfg)
{
  struct class_queue *class = g_new0 (struct class_queue, 1);
  class->flows = g_hash_table_new_full (NULL, NULL, NULL, flow_free);
  class->active = g_ptr_array_new ();
  class->waiting = g_sequence_new (NULL);
  fair_queue_flow_init (&class->tier_flow, 1);
  class_set_config (class, cfg);
  return class;
}

/* Frees CLASS but not its requests.  */
void
class_free (struct class_queue *class)
{
  g_ptr_array_free (class->active, TRUE);
  g_hash_table_destroy (class->flows);
  g_sequence_free (class->waiting);
  g_free (class);
}

/* Applies new settings of the class and the current weights of its teams.  */
void
class_set_config (struct class_queue *class, const struct cluster_class *cfg)
{
  GHashTableIter iter;
  gpointer value;
  class->cfg = *cfg;
  class->start_share.share = cfg->min_share;
  g_hash_table_iter_init (&iter, class->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct team_flow *flow = value;
      double tag = flow->fair_flow.tag;
      fair_queue_flow_init (&flow->fair_flow, flow->team->weight);
      flow->fair_flow.tag = tag;
    }
}

/* Returns TEAM's flow, creating it on first use.  */
struct team_flow *
class_team_flow (struct class_queue *class, struct team_state *team)
{
  struct team_flow *flow = g_hash_table_lookup (class->flows, team);
  if (flow)
    return flow;
  flow = g_new0 (struct team_flow, 1);
  flow->team = team;
  flow->waiting = g_sequence_new (NULL);
  fair_queue_flow_init (&flow->fair_flow, team->weight);
  g_hash_table_insert (class->flows, team, flow);
  return flow;
}

/* Frees the flow of TEAM, which must have no requests.  */
void
class_remove_team (struct class_queue *class, struct team_state *team)
{
  g_hash_table_remove (class->flows, team);
}

static gint
by_arrival (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct queued_request *x = a;
  const struct queued_request *y = b;
  return (x->arrived > y->arrived) - (x->arrived < y->arrived);
}

/* Queues REQUEST, whose class and flow are set, by its arrival time.  */
void
class_push (struct class_queue *class, struct queued_request *request)
{
  struct team_flow *flow = request->flow;
  if (g_sequence_is_empty (flow->waiting))
    {
      fair_queue_activate (&class->fair_queue, &flow->fair_flow);
      g_ptr_array_add (class->active, flow);
    }
  request->in_flow
      = g_sequence_insert_sorted (flow->waiting, request, by_arrival, NULL);
  request->in_class
      = g_sequence_insert_sorted (class->waiting, request, by_arrival, NULL);
  class->n_waiting++;
}

/* Takes REQUEST out of the queue; it still belongs to the class.  */
void
class_remove (struct class_queue *class, struct queued_request *request)
{
  g_sequence_remove (request->in_flow);
  g_sequence_remove (request->in_class);
  request->in_flow = NULL;
  request->in_class = NULL;
  class->n_waiting--;
  if (g_sequence_is_empty (request->flow->waiting))
    g_ptr_array_remove_fast (class->active, request->flow);
}

/* Returns the waiting request that arrived first, or NULL.  */
struct queued_request *
class_oldest (const struct class_queue *class)
{
  if (class->n_waiting == 0)
    return NULL;
  return g_sequence_get (g_sequence_get_begin_iter (class->waiting));
}

/* Returns the waiting request that arrived last, or NULL.  */
struct queued_request *
class_youngest (const struct class_queue *class)
{
  if (class->n_waiting == 0)
    return NULL;
  GSequenceIter *end = g_sequence_get_end_iter (class->waiting);
  return g_sequence_get (g_sequence_iter_prev (end));
}

/* Returns how many consecutive starts may skip REQUEST, the oldest.  */
static guint
passed_over_max (const struct queued_request *request, gint64 now)
{
  return now - request->arrived > request->deadline - now
             ? CLASS_DUE_PASSED_OVER_MAX
             : CLASS_PASSED_OVER_MAX;
}

/* Returns the request of FLOW to start first: the oldest that can still meet
   its target for the time to first token, so that an overload does not make all
   requests late. Returns the oldest of all if none can meet it or the oldest
   was skipped often enough.  */
static GSequenceIter *
first_to_start (const struct class_queue *class, const struct team_flow *flow,
                gint64 now)
{
  GSequenceIter *first = g_sequence_get_begin_iter (flow->waiting);
  if (class->cfg.ttft_us == 0
      || flow->passed_over >= passed_over_max (g_sequence_get (first), now))
    return first;
  struct queued_request late = { .arrived = now - class->cfg.ttft_us };
  GSequenceIter *iter
      = g_sequence_search (flow->waiting, &late, by_arrival, NULL);
  return g_sequence_iter_is_end (iter) ? first : iter;
}

static struct queued_request *
pick_in_flow (const struct class_queue *class, const struct team_flow *flow,
              gint64 now, class_startable startable, void *ctx)
{
  GSequenceIter *iter = first_to_start (class, flow, now);
  for (guint i = 0; i < CLASS_LOOK_AHEAD && !g_sequence_iter_is_end (iter); i++)
    {
      struct queued_request *request = g_sequence_get (iter);
      if (startable (ctx, request))
        return request;
      iter = g_sequence_iter_next (iter);
    }
  return NULL;
}

/* Returns the next request in fair order whose team is below its limit and for
   which STARTABLE returns TRUE, or NULL.  */
struct queued_request *
class_pick (const struct class_queue *class, gint64 now,
            class_startable startable, void *ctx)
{
  const struct team_flow *best = NULL;
  struct queued_request *picked = NULL;
  for (guint i = 0; i < class->active->len; i++)
    {
      const struct team_flow *flow = class->active->pdata[i];
      if (team_is_at_limit (flow->team)
          || (best
              && !fair_queue_precedes (&flow->fair_flow, &best->fair_flow)))
        continue;
      struct queued_request *request
          = pick_in_flow (class, flow, now, startable, ctx);
      if (!request)
        continue;
      best = flow;
      picked = request;
    }
  return picked;
}

/* Estimates the number of waiting requests that start before a new one of TEAM.
   With TEAM NULL, returns the number that wait for a slot rather than for their
   team's limit.  */
guint
class_n_ahead (const struct class_queue *class, const struct team_state *team)
{
  guint flows = 0;
  guint all = 0;
  guint own = 0;
  for (guint i = 0; i < class->active->len; i++)
    {
      const struct team_flow *flow = class->active->pdata[i];
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

/* Updates fair queueing for the start of REQUEST, which is still in the
   queue.  */
void
class_count_start (struct class_queue *class,
                   const struct queued_request *request)
{
  struct team_flow *flow = request->flow;
  gboolean oldest
      = request->in_flow == g_sequence_get_begin_iter (flow->waiting);
  flow->passed_over = oldest ? 0 : flow->passed_over + 1;
  fair_queue_serve (&class->fair_queue, &request->flow->fair_flow);
}

/* Charges TOKENS, of the prompt or generated, to REQUEST's team and to the
   class.  */
void
class_charge (struct class_queue *class, const struct queued_request *request,
              double tokens)
{
  fair_queue_charge (&request->flow->fair_flow, tokens);
  fair_queue_charge (&class->tier_flow, tokens);
}
