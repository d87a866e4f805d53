/* How fast a backend server's streams have progressed in the last moments, as
   this instance sees them. Unlike server_health it keeps no history: it shows
   slowdowns of some hundred milliseconds.  */
#ifndef SERVER_PACE_H
#define SERVER_PACE_H

#include "base/clock.h"

/* All zero: nothing is known.  */
struct server_pace
{
  double gap_us; /* moving average of the time between events */
  gint64 at;     /* clock time of the last event */
};

void server_pace_add (struct server_pace *pace, gint64 gap_us, gint64 now);
double server_pace_recent (const struct server_pace *pace, gint64 now);
double server_pace_slow_from (double *gaps_us, guint n);

#endif
