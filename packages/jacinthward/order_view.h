/* What orders for servers are based on, collected from the parts of an
   instance.  */
#ifndef ORDER_VIEW_H
#define ORDER_VIEW_H

#include "fleet/registry.h"
#include "scale/server_orders.h"
#include "sched/scheduler.h"

struct order_view_sources
{
  const struct registry *registry;
  const struct routing_table *routing_table; /* NULL: none yet */
  struct scheduler *scheduler;
  struct counter_set *counter_set;
};

struct server_orders_view
order_view_of (const struct order_view_sources *sources);

#endif
