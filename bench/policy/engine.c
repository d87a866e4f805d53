#include "policy/engine.h"

#include <string.h>

static void start_step (struct engine *engine);

static void
on_snapshot (void *ctx, void *data)
{
  struct engine *engine = ctx;
  (void)data;
  memmove (engine->reports, engine->reports + 1,
           sizeof engine->reports - sizeof engine->reports[0]);
  engine->reports[G_N_ELEMENTS (engine->reports) - 1]
      = engine->running->len + engine->waiting->len;
  queue_add (engine->queue, ENGINE_SNAPSHOT_US, on_snapshot, engine, NULL);
}

void
engine_init (struct engine *engine, struct queue *queue)
{
  memset (engine, 0, sizeof *engine);
  engine->queue = queue;
  engine->slow = 1.0;
  engine->running = g_ptr_array_new ();
  engine->waiting = g_ptr_array_new ();
  g_queue_init (&engine->prefixes);
  queue_add (queue, ENGINE_SNAPSHOT_US, on_snapshot, engine, NULL);
}

void
engine_clear (struct engine *engine)
{
  g_ptr_array_unref (engine->running);
  g_ptr_array_unref (engine->waiting);
  g_queue_clear_full (&engine->prefixes, g_free);
}

guint
engine_load (const struct engine *engine)
{
  guint back = ENGINE_LAG_US / ENGINE_SNAPSHOT_US;
  return engine->lies ? 2
                      : engine->reports[G_N_ELEMENTS (engine->reports) - back];
}

/* Notes that PREFIX is used; returns whether it was cached.  */
static gboolean
use_prefix (struct engine *engine, guint64 prefix)
{
  gboolean hit = FALSE;
  for (GList *l = engine->prefixes.head; l != NULL && !hit; l = l->next)
    if (*(guint64 *)l->data == prefix)
      {
        g_free (l->data);
        g_queue_delete_link (&engine->prefixes, l);
        hit = TRUE;
      }
  g_queue_push_head (&engine->prefixes, g_memdup2 (&prefix, sizeof prefix));
  if (engine->prefixes.length > ENGINE_PREFIXES_MAX)
    g_free (g_queue_pop_tail (&engine->prefixes));
  return hit;
}

static struct sequence *
take_first (struct engine *engine)
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

/* Fills the batch; returns the time for the prompts that came in.  */
static gint64
fill_batch (struct engine *engine)
{
  double tokens = 0;
  while (engine->waiting->len > 0 && engine->running->len < ENGINE_BATCH_MAX)
    {
      struct sequence *s = take_first (engine);
      double share = use_prefix (engine, s->prefix) ? ENGINE_CACHED_SHARE : 0;
      tokens += s->prompt * (1.0 - share) + s->made;
      s->running = TRUE;
      g_ptr_array_add (engine->running, s);
    }
  return (gint64)(tokens * CLK_S / ENGINE_PREFILL_PER_S);
}

static void
finish (struct engine *engine, struct sequence *s, gboolean complete)
{
  g_ptr_array_remove (engine->running, s);
  g_ptr_array_remove (engine->waiting, s);
  s->engine = NULL;
  s->end (s->ctx, complete);
}

static void
on_step (void *ctx, void *data)
{
  struct engine *engine = ctx;
  (void)data;
  engine->stepping = FALSE;
  GPtrArray *batch = g_ptr_array_copy (engine->running, NULL, NULL);
  for (guint i = 0; i < batch->len && !engine->down; i++)
    {
      struct sequence *s = g_ptr_array_index (batch, i);
      if (!g_ptr_array_find (engine->running, s, NULL))
        continue;
      s->made++;
      engine->made++;
      s->token (s->ctx);
      if (s->engine == engine && s->made >= s->output)
        finish (engine, s, TRUE);
    }
  g_ptr_array_unref (batch);
  start_step (engine);
}

static void
start_step (struct engine *engine)
{
  if (engine->stepping || engine->down)
    return;
  gint64 prefill = fill_batch (engine);
  if (engine->running->len == 0)
    return;
  gint64 step
      = prefill + ENGINE_BASE_US + ENGINE_SEQUENCE_US * engine->running->len;
  engine->stepping = TRUE;
  queue_add (engine->queue, (gint64)(step * engine->slow), on_step, engine,
             NULL);
}

gboolean
engine_start (struct engine *engine, struct sequence *s)
{
  if (engine->down || engine->waiting->len >= ENGINE_WAITING_MAX)
    return FALSE;
  s->engine = engine;
  s->running = FALSE;
  s->arrived = engine->queue->clk.t;
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
    finish (engine, g_ptr_array_index (engine->running, 0), FALSE);
  while (down && engine->waiting->len > 0)
    finish (engine, g_ptr_array_index (engine->waiting, 0), FALSE);
}
