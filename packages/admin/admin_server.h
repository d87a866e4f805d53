/* The HTTP server of the administration API, on a listener of its own.
   docs/INTERFACES.md documents the requests. It reaches the rest of the
   instance only through the callbacks in the options.  */
#ifndef ADMIN_SERVER_H
#define ADMIN_SERVER_H

#include <json-glib/json-glib.h>

#include "base/counter.h"
#include "base/err.h"
#include "config/cluster_config.h"
#include "config/follower.h"
#include "member/membership.h"

#define ADMIN_SMALL_BODY_MAX 4096 /* bytes; all but PUT /config */
/* Bytes of rejected bodies on one connection; above that it is closed. */
#define ADMIN_DISCARD_MAX (2 * CLUSTER_BODY_MAX)
#define ADMIN_CONNECTIONS_MAX 128  /* open at the same time */
#define ADMIN_IDLE_US (30 * CLK_S) /* without progress, until closing */
#define ADMIN_IDLE_CHECK_MS 200    /* interval of checks for idle connections */
#define ADMIN_TOKEN_MAX 512        /* bytes of an operator's token */

struct admin_server;

typedef void (*admin_visit) (void *ctx, const struct member_instance *instance);

struct admin_server_options
{
  const char *listen;              /* IP:PORT; port 0: any free port; copied */
  const char *self;                /* id of this instance; copied */
  const struct clk *clk;           /* borrowed */
  struct counter_set *counter_set; /* borrowed */
  gint64 idle_us;                  /* 0: ADMIN_IDLE_US */

  /* Returns the configuration in force, borrowed; NULL if there is none
     yet. */
  const struct cluster_config *(*config) (void *ctx);
  /* Returns whether the instance is ready, for GET /readyz. */
  gboolean (*ready) (void *ctx);
  /* Adds the state of the process to JSON as one value. */
  void (*dump) (void *ctx, JsonBuilder *json);
  /* Calls VISIT with VISIT_CTX for each known instance, this one included. */
  void (*each_instance) (void *ctx, admin_visit visit, void *visit_ctx);
  /* Starts an update of the configuration from version EXPECTED to BODY, with
     the contract of follower_update. Returns 0 if DONE will be called later, or
     < 0 if the update was not started. */
  int (*update) (void *ctx, guint64 expected, GBytes *body, follower_done done,
                 void *done_ctx);
  void *ctx;
};

int admin_server_new (const struct admin_server_options *options,
                      struct admin_server **result, struct err *err);
void admin_server_free (struct admin_server *admin_server);
guint admin_server_port (const struct admin_server *admin_server);

#endif
