/* The backend servers of one cell as its owner knows them.  */
#ifndef SRV_H
#define SRV_H

#include "cell/cel.h"
#include "cell/tkt.h"
#include "config/cluster_config.h"
#include "policy/server_health.h"
#include "policy/concurrency_limit.h"

struct srv
{
  struct cluster_backend cfg; /* copy of the configuration's entry */
  guint slot;                 /* its number in the table of prefixes */
  double scale;               /* of the limit, by the preset */
  gboolean engine;            /* streams tokens; otherwise a plain service */
  gboolean gone;              /* left the configuration; drops when idle */
  gboolean leaving;           /* by the list of servers or its own word */
  guint reserved;             /* slots kept for the tightest target */
  GQueue in_flight;           /* of struct tkt, granted or running */
  struct concurrency_limit concurrency_limit;
  struct server_health server_health;
  gint64 active; /* clock time of the last token, or of the first start */

  gint64 target_us;      /* tightest tbt target served; 0: none */
  gint64 target_seen;    /* clock time it was last served */
  guint peak;            /* most in flight in this and the last peak window */
  guint peak_before;     /* most in flight in the last peak window */
  gint64 peak_start;     /* clock time */
  struct cel_load load;  /* last report */
  gint64 load_at;        /* clock time that its figures describe */
  guint foreign_at_load; /* requests of others that it shows */
  guint foreign;         /* the same, discounted by age */
};

struct srv *srv_new (const struct cluster_backend *cfg, gboolean engine,
                     gint64 now);
void srv_free (struct srv *srv);
gboolean srv_takes_work (const struct srv *srv);
guint srv_limit (const struct srv *srv);
guint srv_free_slots (const struct srv *srv);
void srv_take (struct srv *srv, struct tkt *tkt, gint64 now);
void srv_drop (struct srv *srv, struct tkt *tkt);
void srv_tokens (struct srv *srv, gint64 tbt_us, guint tokens, gint64 now);
void srv_result (struct srv *srv, const struct tkt *tkt,
                 const struct msg_release *release);
void srv_load (struct srv *srv, const struct cel_load *load, gint64 now);
void srv_tick (struct srv *srv, gint64 now);

#endif
