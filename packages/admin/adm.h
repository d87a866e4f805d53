/* The administration API on a listener of its own; docs/INTERFACES.md gives
   the requests. The rest of the instance is reached by the functions in the
   options.  */
#ifndef ADM_H
#define ADM_H

#include <json-glib/json-glib.h>

#include "base/ctr.h"
#include "base/err.h"
#include "config/cfg.h"
#include "config/cft.h"
#include "member/membership.h"

#define ADM_SMALL_BODY_MAX 4096            /* bytes, but for PUT /config */
#define ADM_DROPPED_MAX (2 * CFG_BODY_MAX) /* bytes of refused bodies */
#define ADM_CONNECTIONS_MAX 128            /* open at a time */
#define ADM_IDLE_US (30 * CLK_S)           /* without progress, then closed */
#define ADM_SWEEP_MS 200  /* between looks for idle connections */
#define ADM_TOKEN_MAX 512 /* bytes of an operator's token */

struct adm;

typedef void (*adm_visit) (void *ctx, const struct member_instance *instance);

struct adm_options
{
  const char *listen;    /* IP:PORT, port 0: the kernel's choice; copied */
  const char *self;      /* id of this instance, copied */
  const struct clk *clk; /* borrowed */
  struct ctr *ctr;       /* borrowed */
  gint64 idle_us;        /* 0: ADM_IDLE_US */

  /* The configuration in force, borrowed; NULL: none yet. */
  const struct cfg *(*config) (void *ctx);
  gboolean (*ready) (void *ctx);
  /* Adds the state of the process as one value. */
  void (*dump) (void *ctx, JsonBuilder *json);
  /* Calls VISIT for each known instance, self included. */
  void (*each_instance) (void *ctx, adm_visit visit, void *visit_ctx);
  /* Starts a conditional update; as cft_update. */
  int (*update) (void *ctx, guint64 expected, GBytes *body, cft_done done,
                 void *done_ctx);
  void *ctx;
};

int adm_new (const struct adm_options *options, struct adm **result,
             struct err *err);
void adm_free (struct adm *adm);
guint adm_port (const struct adm *adm);

#endif
