/* Start-time fair queueing. The cost of a request is charged to its flow while
   the request runs, because its output length is not known in advance.  */
#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include <glib.h>

struct fair_queue
{
  double vtime; /* virtual time: the greatest tag served so far */
};

struct fair_queue_flow
{
  double tag;    /* virtual start time of its next request, in cost per
                    weight */
  double weight; /* share of service relative to other flows; > 0 */
};

void fair_queue_flow_init (struct fair_queue_flow *flow, double weight);
void fair_queue_activate (const struct fair_queue *fair_queue,
                          struct fair_queue_flow *flow);
void fair_queue_serve (struct fair_queue *fair_queue,
                       const struct fair_queue_flow *flow);
void fair_queue_charge (struct fair_queue_flow *flow, double cost);
gboolean fair_queue_precedes (const struct fair_queue_flow *a,
                              const struct fair_queue_flow *b);

#endif
