/* Orders to engines over HTTP: POST /orders and GET /orders, each once, on a
   connection of its own and within its time limit.  */
#ifndef ORDER_CLIENT_H
#define ORDER_CLIENT_H

#include "config/cfg.h"
#include "lease/ord.h"

struct order_client;

struct order_client_options
{
  /* Comes once for each call, from the loop, never before order_client_start
     returns. ANSWER is borrowed for the call. */
  void (*response) (void *ctx, guint64 token, const struct ord_answer *reply);
  void *ctx;
};

struct order_client *
order_client_new (const struct order_client_options *options);
/* Cancels what is open; no answer comes any more. */
void order_client_free (struct order_client *client);
void order_client_start (struct order_client *client, guint64 token,
                         const struct cfg_backend *backend,
                         const struct ord_call *order);

#endif
