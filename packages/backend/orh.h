/* Orders to engines over HTTP: POST /orders and GET /orders, each once, on a
   connection of its own and within its time limit.  */
#ifndef ORH_H
#define ORH_H

#include "config/cluster_config.h"
#include "lease/reconciler.h"

struct orh;

struct orh_options
{
  /* Comes once for each call, from the loop, never before orh_start returns.
     ANSWER is borrowed for the call. */
  void (*answer) (void *ctx, guint64 token,
                  const struct reconciler_response *answer);
  void *ctx;
};

struct orh *orh_new (const struct orh_options *options);
/* Cancels what is open; no answer comes any more. */
void orh_free (struct orh *orh);
void orh_start (struct orh *orh, guint64 token,
                const struct cluster_backend *backend,
                const struct reconciler_request *call);

#endif
