#include "policy/event_queue.h"

struct timed_event
{
  gint64 due; /* microseconds */
  guint64 order;
  void (*callback) (void *ctx, void *data);
  void *ctx;
  void *data;
};

static gint
by_time (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct timed_event *x = a;
  const struct timed_event *y = b;
  (void)unused;
  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

void
event_queue_init (struct event_queue *queue)
{
  clk_fake_init (&queue->clk, CLK_S);
  queue->events = g_sequence_new (g_free);
  queue->next_order = 0;
}

void
event_queue_clear (struct event_queue *queue)
{
  g_sequence_free (queue->events);
}

void
event_queue_add (struct event_queue *queue, gint64 delay,
                 void (*callback) (void *ctx, void *data), void *ctx,
                 void *data)
{
  struct timed_event *event = g_new (struct timed_event, 1);
  event->due = queue->clk.t + MAX (0, delay);
  event->order = queue->next_order++;
  event->callback = callback;
  event->ctx = ctx;
  event->data = data;
  g_sequence_insert_sorted (queue->events, event, by_time, NULL);
}

void
event_queue_run (struct event_queue *queue, gint64 t)
{
  while (!g_sequence_is_empty (queue->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (queue->events);
      struct timed_event event = *(struct timed_event *)g_sequence_get (first);
      if (event.due > t)
        break;
      g_sequence_remove (first);
      queue->clk.t = event.due;
      event.callback (event.ctx, event.data);
    }
  queue->clk.t = t;
}
