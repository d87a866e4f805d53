#include "jacinthward/order_view.h"

static double
measured_prefill_us (const void *ctx, const char *service)
{
  return scheduler_us_per_token (ctx, service);
}

/* Returns what SOURCES know of the fleet; it is valid until they change. The
   caller adds the callback for the demand.  */
struct server_orders_view
order_view_of (const struct order_view_sources *sources)
{
  struct server_orders_view view
      = { .routing_table = sources->routing_table,
          .server_load_table = scheduler_loads (sources->scheduler),
          .prefill_us = measured_prefill_us,
          .prefill_ctx = sources->scheduler,
          .counter_set = sources->counter_set };
  view.servers = registry_servers (sources->registry, &view.n_servers);
  return view;
}
