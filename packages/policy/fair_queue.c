#include "policy/fair_queue.h"

#define FAIR_QUEUE_WEIGHT_MIN 0.001

/* Initialises FLOW with no cost charged. WEIGHT is raised to
   FAIR_QUEUE_WEIGHT_MIN if it is less.  */
void
fair_queue_flow_init (struct fair_queue_flow *flow, double weight)
{
  flow->tag = 0;
  flow->weight = MAX (weight, FAIR_QUEUE_WEIGHT_MIN);
}

/* Called when FLOW has waiting requests again after none. Its tag is raised to
   the virtual time, so that it gains no advantage from idle time, but is never
   lowered, so that the cost of requests that still run remains charged.  */
void
fair_queue_activate (const struct fair_queue *fair_queue,
                     struct fair_queue_flow *flow)
{
  flow->tag = MAX (flow->tag, fair_queue->vtime);
}

/* Advances the virtual time when the next request of FLOW starts.  */
void
fair_queue_serve (struct fair_queue *fair_queue,
                  const struct fair_queue_flow *flow)
{
  fair_queue->vtime = MAX (fair_queue->vtime, flow->tag);
}

/* Charges COST, in tokens, to FLOW.  */
void
fair_queue_charge (struct fair_queue_flow *flow, double cost)
{
  flow->tag += cost / flow->weight;
}

/* Returns whether A is served before B.  */
gboolean
fair_queue_precedes (const struct fair_queue_flow *a,
                     const struct fair_queue_flow *b)
{
  return a->tag < b->tag;
}
