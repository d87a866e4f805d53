/* Shared by the files of the gate daemon only.  */
#ifndef GWD_INT_H
#define GWD_INT_H

#include "base/counter.h"
#include "base/histogram.h"
#include "fleet/rdr.h"
#include "gate/gat.h"
#include "http/server.h"
#include "jacinthward/gwd.h"
#include "net/udp.h"
#include "peer/pfl.h"
#include "peer/prs.h"
#include "platform/pfm.h"

/* The names that this instance's callers and servers use. */
static inline const struct dia *
gwd_dialect (const struct gst_settings *settings)
{
  return settings->dialect == GST_PLATFORM ? pfm_dialect () : dia_own ();
}

struct fetch; /* something asked of a peer */

struct gwd
{
  const struct gst_settings *settings; /* borrowed */
  const struct clk *clk;
  GMainLoop *loop;
  struct counter_set counter_set;
  struct histogram_set histogram_set;
  struct top *top;
  struct flt *flt;
  struct sch *sch;
  struct gat *gat;
  struct prs *prs;
  struct udp *udp;
  struct pfm *pfm;
  struct http_server *ready_pages;   /* for the balancer */
  struct http_server *metrics_pages; /* for operators; NULL: none */
  struct http_server *peer_pages;    /* for other instances */
  GRand *rand;
  struct rdr config_reader;
  struct rdr servers_reader;
  struct fetch *config_fetch;  /* owned; NULL: none under way */
  struct fetch *servers_fetch; /* owned; NULL: none under way */
  GBytes *config_text; /* the configuration in force as it was read; or NULL */
  struct pfl servers;  /* the newest list; no entries: none has come */
  gint64 reviewed;     /* clock time */
  gint64 ticked;       /* clock time */
  guint peer_port;
  guint tick;          /* GLib source */
  gboolean store_lost; /* the last read of the store failed */
  gboolean stopping;
};

/* Reading the store, and peers instead of it. */
void gwd_read_step (struct gwd *gwd, gint64 now);
void gwd_take_news (struct gwd *gwd, guint32 ip, const struct prs_news *news,
                    gint64 now);
void gwd_read_free (struct gwd *gwd);

/* Pages for the balancer, operators and peers. */
int gwd_pages_open (struct gwd *gwd, struct err *err);
void gwd_pages_free (struct gwd *gwd);

#endif
