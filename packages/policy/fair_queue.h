/* Fair queueing by virtual time (start-time fair queueing) over flows whose
   costs are charged as they appear, since output lengths are unknown.  */
#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include <glib.h>

struct fair_queue
{
  double vtime; /* virtual time: the greatest tag served, cost per weight */
};

struct fair_queue_flow
{
  double tag;    /* virtual start time of its next work */
  double weight; /* share of the service relative to other flows; > 0 */
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
