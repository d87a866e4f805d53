/* Event queue of a discrete-event simulation with a fake clock. Events of the
   same time run in the order in which they were added.  */
#ifndef EVENT_QUEUE_H
#define EVENT_QUEUE_H

#include "base/clock.h"

struct event_queue
{
  struct clk_fake clk;
  GSequence *events;  /* struct timed_event, by time and order of addition */
  guint64 next_order; /* of the next event that is added */
};

void event_queue_init (struct event_queue *queue);
/* Frees the queue; pending events do not run. */
void event_queue_clear (struct event_queue *queue);
/* Calls CALLBACK (CTX, DATA) in DELAY microseconds of the fake clock. */
void event_queue_add (struct event_queue *queue, gint64 delay,
                      void (*callback) (void *ctx, void *data), void *ctx,
                      void *data);
/* Runs all events up to time T and sets the clock to T, in microseconds. */
void event_queue_run (struct event_queue *queue, gint64 t);

#endif
