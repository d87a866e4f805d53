/* Whether this instance can reach the backend servers at all. Does no I/O;
   times are of the caller's clock.  */
#ifndef SERVER_REACH_H
#define SERVER_REACH_H

#include "base/clock.h"

#define SERVER_REACH_FAILED_MAX 8

/* All zero: nothing is known yet.  */
struct server_reach
{
  gint64 heard_at;    /* clock time of the last byte of any server; 0: never */
  gint64 accepted_at; /* clock time at which any server has last accepted a
                         connection; 0: never */
  /* Servers that could not be reached since then, by the keys of their lives.
   */
  guint64 failed[SERVER_REACH_FAILED_MAX];
  guint n_failed;
  gint64 failing_since; /* clock time of the first of these failures */
  gboolean probing;     /* a connection is being opened to find out */
  gboolean cut_off;
  gint64 cut_off_at; /* clock time since which it is believed */
};

void server_reach_heard (struct server_reach *reach, gint64 now);
gboolean server_reach_accepted (struct server_reach *reach, gint64 now);
void server_reach_failed (struct server_reach *reach, guint64 server,
                          gint64 now);
gboolean server_reach_has_failed (const struct server_reach *reach,
                                  guint64 server);
gboolean server_reach_is_doubtful (const struct server_reach *reach);
gint64 server_reach_sure_at (const struct server_reach *reach);
gboolean server_reach_review (struct server_reach *reach, guint n_servers,
                              gint64 peers_sure_at, gint64 now);

#endif
