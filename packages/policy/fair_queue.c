#include "policy/fair_queue.h"

#define FAIR_QUEUE_WEIGHT_MIN 0.001

/* Prepares FLOW without debt; a weight of 0 or less counts as the least.  */
void
fair_queue_flow_init (struct fair_queue_flow *flow, double weight)
{
  flow->tag = 0;
  flow->weight = MAX (weight, FAIR_QUEUE_WEIGHT_MIN);
}

/* Notes that FLOW has work again after none: time spent idle earns nothing,
   debt from running work stays.  */
void
fair_queue_activate (const struct fair_queue *fair_queue,
                     struct fair_queue_flow *flow)
{
  flow->tag = MAX (flow->tag, fair_queue->vtime);
}

/* Notes that the next work of FLOW starts.  */
void
fair_queue_serve (struct fair_queue *fair_queue,
                  const struct fair_queue_flow *flow)
{
  fair_queue->vtime = MAX (fair_queue->vtime, flow->tag);
}

/* Charges COST (tokens) to FLOW.  */
void
fair_queue_charge (struct fair_queue_flow *flow, double cost)
{
  flow->tag += cost / flow->weight;
}

/* Tells whether A is to be served before B.  */
gboolean
fair_queue_precedes (const struct fair_queue_flow *a,
                     const struct fair_queue_flow *b)
{
  return a->tag < b->tag;
}
