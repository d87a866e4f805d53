#include "policy/fair_queue.h"

#define DFQ_WEIGHT_MIN 0.001

/* Prepares FLOW without debt; a weight of 0 or less counts as the least.  */
void
dfq_flow_init (struct dfq_flow *flow, double weight)
{
  flow->tag = 0;
  flow->weight = MAX (weight, DFQ_WEIGHT_MIN);
}

/* Notes that FLOW has work again after none: time spent idle earns nothing,
   debt from running work stays.  */
void
dfq_wake (const struct dfq *dfq, struct dfq_flow *flow)
{
  flow->tag = MAX (flow->tag, dfq->vtime);
}

/* Notes that the next work of FLOW starts.  */
void
dfq_serve (struct dfq *dfq, const struct dfq_flow *flow)
{
  dfq->vtime = MAX (dfq->vtime, flow->tag);
}

/* Charges COST (tokens) to FLOW.  */
void
dfq_charge (struct dfq_flow *flow, double cost)
{
  flow->tag += cost / flow->weight;
}

/* Tells whether A is to be served before B.  */
gboolean
dfq_before (const struct dfq_flow *a, const struct dfq_flow *b)
{
  return a->tag < b->tag;
}
