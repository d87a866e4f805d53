/* Shared by the files of the gate daemon only.  */
#ifndef PROXY_DAEMON_INTERNAL_H
#define PROXY_DAEMON_INTERNAL_H

#include "base/ctr.h"
#include "base/hst.h"
#include "fleet/rdr.h"
#include "gate/gat.h"
#include "http/hsv.h"
#include "jacinthward/proxy_daemon.h"
#include "net/udp.h"
#include "peer/pfl.h"
#include "peer/prs.h"
#include "platform/adapter.h"

/* The names that this instance's callers and servers use. */
static inline const struct dia *
proxy_daemon_header_names (const struct proxy_settings *settings)
{
  return settings->header_names == PROXY_SETTINGS_HEADER_NAMES_PLATFORM
             ? platform_adapter_header_names ()
             : dia_own ();
}

struct fetch; /* something asked of a peer */

struct proxy_daemon
{
  const struct proxy_settings *settings; /* borrowed */
  const struct clk *clk;
  GMainLoop *loop;
  struct ctr ctr;
  struct hst hst;
  struct top *top;
  struct flt *flt;
  struct sch *sch;
  struct gat *gat;
  struct prs *prs;
  struct udp *udp;
  struct platform_adapter *adapter;
  struct hsv *ready_endpoints;   /* for the balancer */
  struct hsv *metrics_endpoints; /* for operators; NULL: none */
  struct hsv *peer_endpoints;    /* for other instances */
  GRand *rand;
  struct rdr config_schedule;
  struct rdr servers_schedule;
  struct fetch *config_fetch;  /* owned; NULL: none under way */
  struct fetch *servers_fetch; /* owned; NULL: none under way */
  GBytes *config_text; /* the configuration in force as it was read; or NULL */
  struct pfl server_list;    /* the newest list; no entries: none has come */
  gint64 health_reviewed_at; /* clock time */
  gint64 last_tick;          /* clock time */
  guint peer_port;
  guint tick_timer;           /* GLib source */
  gboolean store_unavailable; /* the last read of the store failed */
  gboolean stopping;
};

/* Reading the store, and peers instead of it. */
void proxy_daemon_sync_step (struct proxy_daemon *daemon, gint64 now);
void proxy_daemon_handle_peer_update (struct proxy_daemon *daemon, guint32 ip,
                                      const struct prs_news *news, gint64 now);
void proxy_daemon_sync_free (struct proxy_daemon *daemon);

/* Pages for the balancer, operators and peers. */
int proxy_daemon_endpoints_open (struct proxy_daemon *daemon, struct err *err);
void proxy_daemon_endpoints_free (struct proxy_daemon *daemon);

#endif
