/* Fair queueing by virtual time (start-time fair queueing) over flows whose
   costs are charged as they appear, since output lengths are unknown.  */
#ifndef DFQ_H
#define DFQ_H

#include <glib.h>

struct dfq
{
  double vtime; /* virtual time: the greatest tag served, cost per weight */
};

struct dfq_flow
{
  double tag;    /* virtual start time of its next work */
  double weight; /* share of the service relative to other flows; > 0 */
};

void dfq_flow_init (struct dfq_flow *flow, double weight);
void dfq_wake (const struct dfq *dfq, struct dfq_flow *flow);
void dfq_serve (struct dfq *dfq, const struct dfq_flow *flow);
void dfq_charge (struct dfq_flow *flow, double cost);
gboolean dfq_before (const struct dfq_flow *a, const struct dfq_flow *b);

#endif
