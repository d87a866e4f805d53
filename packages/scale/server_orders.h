/* How many servers of each kind to order in each failure domain. No I/O.  */
#ifndef SERVER_ORDERS_H
#define SERVER_ORDERS_H

#include "base/counter.h"
#include "fleet/registry.h"
#include "route/routing_table.h"
#include "sched/server_load.h"

struct server_orders;

/* The state of the fleet that orders are based on; all pointers are
   borrowed. */
struct server_orders_view
{
  struct registry_server *const *servers;
  guint n_servers;
  const struct routing_table *routing_table;
  struct server_load_table *server_load_table;
  double us_per_token; /* prefill time; used if PREFILL_US is NULL */
  /* Measured prefill time per token of the engines of SERVICE; may be NULL. */
  double (*prefill_us) (const void *prefill_ctx, const char *service);
  const void *prefill_ctx;
  /* Demand for SERVICE from DOMAIN (NULL: all): uncached prompt tokens and
     output tokens a second. NULL: unknown, go by the loads. */
  gboolean (*demand) (void *ctx, const char *service, const char *domain,
                      double *uncached_tokens_per_s,
                      double *output_tokens_per_s);
  void *ctx;
  struct counter_set *counter_set; /* kept; NULL: none */
};

/* An order that is to be sent. */
struct server_order
{
  char service[STR_ID_MAX + 1];
  char domain[STR_ID_MAX + 1];
  gboolean is_spot;
  guint desired;
};

struct server_orders *server_orders_new (void);
void server_orders_free (struct server_orders *orders);
/* Looks at the fleet; called about once a second. */
void server_orders_observe (struct server_orders *orders,
                            const struct server_orders_view *view, gint64 now);
void server_orders_load (struct server_orders *orders, struct str section,
                         gboolean era_changed, gint64 now);
gboolean server_orders_prepare (struct server_orders *orders, gint64 now,
                                GString *section);
void server_orders_stored (struct server_orders *orders, gint64 now);
gboolean server_orders_next (struct server_orders *orders, gint64 now,
                             struct server_order *order);
void server_orders_done (struct server_orders *orders,
                         const struct server_order *order, int code,
                         gint64 now);
void server_orders_dump (const struct server_orders *orders, JsonBuilder *json);

#endif
