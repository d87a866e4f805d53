/* Seeded event queue with a fake clock.  */
#ifndef QUEUE_H
#define QUEUE_H

#include "base/clock.h"

struct queue
{
  struct clk_fake clk;
  GSequence *events; /* struct queue_event, by time and order of entry */
  guint64 next;
};

void queue_init (struct queue *queue);
void queue_clear (struct queue *queue);
/* Calls FIRE (CTX, DATA) in DELAY microseconds of the fake clock. */
void queue_add (struct queue *queue, gint64 delay,
                void (*fire) (void *ctx, void *data), void *ctx, void *data);
/* Runs all events up to time T. */
void queue_run (struct queue *queue, gint64 t);

#endif
