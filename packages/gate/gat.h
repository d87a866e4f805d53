/* The gate: takes callers' HTTP requests on routes by host and path, and
   forwards each to a backend server of the route's service.  */
#ifndef GAT_H
#define GAT_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/histogram.h"
#include "fleet/flt.h"
#include "fleet/frs.h"
#include "gate/dia.h"
#include "route/rtb.h"
#include "sched/bud.h"
#include "sched/sch.h"

struct gat;

struct gat_options
{
  const char *listen;                  /* callers, IP:PORT */
  const struct dia *dialect;           /* borrowed */
  const struct clk *clk;               /* counts suspension; borrowed */
  struct counter_set *counter_set;     /* borrowed */
  struct histogram_set *histogram_set; /* borrowed */
  const char *chart;                   /* file of the life cycle of requests */
  struct flt *flt;                     /* borrowed */
  struct sch *sch;                     /* borrowed */
  struct bud_options budget;           /* of attempts beyond the first */
  gint64 key_limit_us;      /* longest use of keys without a proof that the
                               configuration is the newest; 0: no limit */
  gint64 grace_us;          /* of a shutdown, until the process must be gone */
  void (*idle) (void *ctx); /* a shutdown has nothing left to wait for */
  /* A prompt has been sent to a server; NULL: not told. */
  void (*placed) (void *ctx, const struct flt_server *server,
                  const struct pdr_prompt *prompt);
  void *ctx;
};

int gat_new (const struct gat_options *options, struct gat **result,
             struct err *err);
void gat_free (struct gat *gat);
void gat_set_table (struct gat *gat, struct rtb *rtb);
void gat_proved (struct gat *gat, guint64 version, gint64 asked);
guint64 gat_version (const struct gat *gat);
gint64 gat_proof_age (const struct gat *gat, gint64 now);
void gat_set_instances (struct gat *gat, guint instances);
void gat_server_changed (struct gat *gat, const struct flt_change *change);
void gat_poll (struct gat *gat);
void gat_shut_down (struct gat *gat);
guint gat_port (const struct gat *gat);
gboolean gat_is_ready (const struct gat *gat);
void gat_dump (const struct gat *gat, JsonBuilder *json);
void gat_gauges (const struct gat *gat, GString *out);

#endif
