/* The log of a stand-in engine's prefix cache events. As faults, its events
   become readable late or are lost.  */
#ifndef EVENTLOG_H
#define EVENTLOG_H

#include <glib.h>

struct eventlog /* all zero: an empty log without faults */
{
  gint64 delay_ms;     /* until an event becomes readable */
  gint64 drop_every;   /* every Nth event is lost; 0: none */
  guint64 last_number; /* number of the newest event, lost or not */
  GQueue events;       /* struct event, owned; oldest first */
};

void eventlog_add (struct eventlog *eventlog, gint64 now, guint64 prefix_hash,
                   gboolean cached);
char *eventlog_to_json (const struct eventlog *eventlog, guint64 after,
                        gint64 now);

#endif
