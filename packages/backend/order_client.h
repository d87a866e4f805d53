/* Sends orders to engines by POST /orders and reads their state by GET /orders.
   A request is sent once, on a connection of its own and with a time limit.  */
#ifndef ORDER_CLIENT_H
#define ORDER_CLIENT_H

#include "config/cluster_config.h"
#include "lease/reconciler.h"

struct order_client;

struct order_client_options
{
  /* Called once for each request, from the main loop, never before
     order_client_start returns. RESPONSE is valid during the call. */
  void (*response) (void *ctx, guint64 token,
                    const struct reconciler_response *response);
  void *ctx;
};

struct order_client *
order_client_new (const struct order_client_options *options);
void order_client_free (struct order_client *client);
void order_client_start (struct order_client *client, guint64 token,
                         const struct cluster_backend *backend,
                         const struct reconciler_request *order);

#endif
