/* The administration API on a listener of its own; docs/INTERFACES.md gives
   the requests. The rest of the instance is reached by the functions in the
   options.  */
#ifndef ADMIN_SERVER_H
#define ADMIN_SERVER_H

#include <json-glib/json-glib.h>

#include "base/counter.h"
#include "base/err.h"
#include "config/cfg.h"
#include "config/cft.h"
#include "member/mem.h"

#define ADMIN_SMALL_BODY_MAX 4096            /* bytes, but for PUT /config */
#define ADMIN_DISCARD_MAX (2 * CFG_BODY_MAX) /* bytes of refused bodies */
#define ADMIN_CONNECTIONS_MAX 128            /* open at a time */
#define ADMIN_IDLE_US (30 * CLK_S)           /* without progress, then closed */
#define ADMIN_IDLE_CHECK_MS 200 /* between looks for idle connections */
#define ADMIN_TOKEN_MAX 512     /* bytes of an operator's token */

struct admin_server;

typedef void (*admin_visit) (void *ctx, const struct mem_instance *instance);

struct admin_server_options
{
  const char *listen;    /* IP:PORT, port 0: the kernel's choice; copied */
  const char *self;      /* id of this instance, copied */
  const struct clk *clk; /* borrowed */
  struct counter_set *counter_set; /* borrowed */
  gint64 idle_us;                  /* 0: ADMIN_IDLE_US */

  /* The configuration in force, borrowed; NULL: none yet. */
  const struct cfg *(*config) (void *ctx);
  gboolean (*ready) (void *ctx);
  /* Adds the state of the process as one value. */
  void (*dump) (void *ctx, JsonBuilder *json);
  /* Calls VISIT for each known instance, self included. */
  void (*each_instance) (void *ctx, admin_visit visit, void *visit_ctx);
  /* Starts a conditional update; as cft_update. */
  int (*update) (void *ctx, guint64 expected, GBytes *body, cft_done done,
                 void *done_ctx);
  void *ctx;
};

int admin_server_new (const struct admin_server_options *options,
                      struct admin_server **result, struct err *err);
void admin_server_free (struct admin_server *admin_server);
guint admin_server_port (const struct admin_server *admin_server);

#endif
