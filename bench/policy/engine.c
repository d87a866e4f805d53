#include "policy/engine.h"

#include <string.h>

static void start_step (struct engine *engine);

static void
on_report_due (void *ctx, void *data)
{
  struct engine *engine = ctx;
  (void)data;
  memmove (engine->load_reports, engine->load_reports + 1,
           sizeof engine->load_reports - sizeof engine->load_reports[0]);
  engine->load_reports[G_N_ELEMENTS (engine->load_reports) - 1]
      = engine->running->len + engine->waiting->len;
  event_queue_add (engine->events, ENGINE_REPORT_INTERVAL_US, on_report_due,
                   engine, NULL);
}

void
engine_init (struct engine *engine, struct event_queue *queue)
{
  memset (engine, 0, sizeof *engine);
  engine->events = queue;
  engine->slowdown = 1.0;
  engine->running = g_ptr_array_new ();
  engine->waiting = g_ptr_array_new ();
  g_queue_init (&engine->cached_prefixes);
  event_queue_add (queue, ENGINE_REPORT_INTERVAL_US, on_report_due, engine,
                   NULL);
}

void
engine_clear (struct engine *engine)
{
  g_ptr_array_unref (engine->running);
  g_ptr_array_unref (engine->waiting);
  g_queue_clear_full (&engine->cached_prefixes, g_free);
}

guint
engine_load (const struct engine *engine)
{
  guint reports_back = ENGINE_REPORT_LAG_US / ENGINE_REPORT_INTERVAL_US;
  return engine->reports_idle
             ? 2
             : engine->load_reports[G_N_ELEMENTS (engine->load_reports)
                                    - reports_back];
}

/* Makes PREFIX the most recently used one and evicts the least recently used
   one if the cache is full. Returns whether PREFIX was cached.  */
static gboolean
use_prefix (struct engine *engine, guint64 prefix)
{
  gboolean hit = FALSE;
  for (GList *l = engine->cached_prefixes.head; l != NULL && !hit; l = l->next)
    if (*(guint64 *)l->data == prefix)
      {
        g_free (l->data);
        g_queue_delete_link (&engine->cached_prefixes, l);
        hit = TRUE;
      }
  g_queue_push_head (&engine->cached_prefixes,
                     g_memdup2 (&prefix, sizeof prefix));
  if (engine->cached_prefixes.length > ENGINE_PREFIXES_MAX)
    g_free (g_queue_pop_tail (&engine->cached_prefixes));
  return hit;
}

/* Takes the oldest waiting sequence of the highest priority.  */
static struct sequence *
take_next (struct engine *engine)
{
  guint best = 0;
  for (guint i = 1; i < engine->waiting->len; i++)
    {
      const struct sequence *a = g_ptr_array_index (engine->waiting, i);
      const struct sequence *b = g_ptr_array_index (engine->waiting, best);
      if (a->priority < b->priority)
        best = i;
    }
  return g_ptr_array_remove_index (engine->waiting, best);
}

/* Admits waiting sequences to the batch. Returns the time for their prefill,
   microseconds; tokens of earlier attempts are prefilled again.  */
static gint64
fill_batch (struct engine *engine)
{
  double tokens = 0;
  while (engine->waiting->len > 0 && engine->running->len < ENGINE_BATCH_MAX)
    {
      struct sequence *s = take_next (engine);
      double cached = use_prefix (engine, s->prefix) ? ENGINE_PREFIX_SHARE : 0;
      tokens += s->prompt * (1.0 - cached) + s->generated;
      s->running = TRUE;
      g_ptr_array_add (engine->running, s);
    }
  return (gint64)(tokens * CLK_S / ENGINE_PREFILL_TOKENS_PER_S);
}

static void
end_sequence (struct engine *engine, struct sequence *s, gboolean complete)
{
  g_ptr_array_remove (engine->running, s);
  g_ptr_array_remove (engine->waiting, s);
  s->engine = NULL;
  s->on_end (s->ctx, complete);
}

static void
on_step (void *ctx, void *data)
{
  struct engine *engine = ctx;
  (void)data;
  engine->step_in_progress = FALSE;
  /* The callbacks can cancel sequences, so this iterates over a copy. */
  GPtrArray *batch = g_ptr_array_copy (engine->running, NULL, NULL);
  for (guint i = 0; i < batch->len && !engine->down; i++)
    {
      struct sequence *s = g_ptr_array_index (batch, i);
      if (!g_ptr_array_find (engine->running, s, NULL))
        continue;
      s->generated++;
      engine->generated++;
      s->on_token (s->ctx);
      if (s->engine == engine && s->generated >= s->output)
        end_sequence (engine, s, TRUE);
    }
  g_ptr_array_unref (batch);
  start_step (engine);
}

/* Schedules the end of the next step unless the engine has nothing to do.  */
static void
start_step (struct engine *engine)
{
  if (engine->step_in_progress || engine->down)
    return;
  gint64 prefill = fill_batch (engine);
  if (engine->running->len == 0)
    return;
  gint64 step = prefill + ENGINE_STEP_BASE_US
                + ENGINE_STEP_SEQUENCE_US * engine->running->len;
  engine->step_in_progress = TRUE;
  event_queue_add (engine->events, (gint64)(step * engine->slowdown), on_step,
                   engine, NULL);
}

gboolean
engine_start (struct engine *engine, struct sequence *s)
{
  if (engine->down || engine->waiting->len >= ENGINE_WAITING_MAX)
    return FALSE;
  s->engine = engine;
  s->running = FALSE;
  s->arrived = engine->events->clk.t;
  g_ptr_array_add (engine->waiting, s);
  start_step (engine);
  return TRUE;
}

void
engine_cancel (struct sequence *s)
{
  if (s->engine == NULL)
    return;
  g_ptr_array_remove (s->engine->running, s);
  g_ptr_array_remove (s->engine->waiting, s);
  s->engine = NULL;
}

void
engine_set_down (struct engine *engine, gboolean down)
{
  engine->down = down;
  while (down && engine->running->len > 0)
    end_sequence (engine, g_ptr_array_index (engine->running, 0), FALSE);
  while (down && engine->waiting->len > 0)
    end_sequence (engine, g_ptr_array_index (engine->waiting, 0), FALSE);
}
