/* Seeded event queue with a fake clock.  */
#ifndef EVENT_QUEUE_H
#define EVENT_QUEUE_H

#include "base/clock.h"

struct event_queue
{
  struct clk_fake clk;
  GSequence *events; /* struct queue_event, by time and order of entry */
  guint64 next_order;
};

void event_queue_init (struct event_queue *queue);
void event_queue_clear (struct event_queue *queue);
/* Calls FIRE (CTX, DATA) in DELAY microseconds of the fake clock. */
void event_queue_add (struct event_queue *queue, gint64 delay,
                      void (*callback) (void *ctx, void *data), void *ctx,
                      void *data);
/* Runs all events up to time T. */
void event_queue_run (struct event_queue *queue, gint64 t);

#endif
