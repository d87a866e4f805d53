#include "policy/queue.h"

struct queue_event
{
  gint64 at; /* microseconds */
  guint64 order;
  void (*fire) (void *ctx, void *data);
  void *ctx;
  void *data;
};

static gint
by_time (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct queue_event *x = a;
  const struct queue_event *y = b;
  (void)unused;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

void
queue_init (struct queue *queue)
{
  clk_fake_init (&queue->clk, CLK_S);
  queue->events = g_sequence_new (g_free);
  queue->next = 0;
}

void
queue_clear (struct queue *queue)
{
  g_sequence_free (queue->events);
}

void
queue_add (struct queue *queue, gint64 delay,
           void (*fire) (void *ctx, void *data), void *ctx, void *data)
{
  struct queue_event *event = g_new (struct queue_event, 1);
  event->at = queue->clk.t + MAX (0, delay);
  event->order = queue->next++;
  event->fire = fire;
  event->ctx = ctx;
  event->data = data;
  g_sequence_insert_sorted (queue->events, event, by_time, NULL);
}

void
queue_run (struct queue *queue, gint64 t)
{
  while (!g_sequence_is_empty (queue->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (queue->events);
      struct queue_event event = *(struct queue_event *)g_sequence_get (first);
      if (event.at > t)
        break;
      g_sequence_remove (first);
      queue->clk.t = event.at;
      event.fire (event.ctx, event.data);
    }
  queue->clk.t = t;
}
