/* How many requests this instance may have in progress at a brittle backend
   server: one that falls over if it has to turn too many away, of all instances
   together. Does no I/O; times are of the caller's clock.  */
#ifndef BRITTLE_SHARE_H
#define BRITTLE_SHARE_H

#include "policy/limit_share.h"

/* What is known of the room of a brittle server; all zero: it is not brittle.
 */
struct brittle_share
{
  guint room;       /* requests that all instances together may have there */
  gint64 raised_at; /* clock time at which ROOM has last changed */
  gint64 hold_us;   /* from then on until ROOM grows */
  gboolean grows;   /* it has grown since it was last lowered */
  gint64 full_at;   /* clock time at which the server has last turned a request
                       away; 0: never */
  gint64 resume_at; /* clock time from which on it gets requests again */
  gboolean reopens; /* from then on its places open one after the other */
  guint64 version;  /* of the members and domains for which OWN is */
  guint n_known;    /* places of which it is known whose they are */
  guint64 own;      /* bit set of the places of this instance */
};

/* A brittle server.  */
struct brittle_query
{
  struct limit_query limit; /* without PER_S */
  guint slots;              /* requests that it runs at once */
  guint rejections_per_s;   /* that it bears */
  guint in_progress;        /* of all instances, as far as known */
  guint own_in_progress;    /* of this instance */
  gint64 now;
};

void brittle_share_begin (struct brittle_share *share, guint slots, gint64 now);
gint64 brittle_share_wait (struct brittle_share *share,
                           const struct brittle_query *query);
void brittle_share_full (struct brittle_share *share, guint in_progress,
                         gint64 at);
void brittle_share_lower (struct brittle_share *share, guint room);

#endif
