/* The log of a stand-in engine's cache events, which is read late and has
   gaps.  */
#ifndef EVENTLOG_H
#define EVENTLOG_H

#include <glib.h>

struct eventlog /* all zero: empty */
{
  gint64 delay_ms;     /* until an event can be read */
  gint64 drop_every;   /* each event with a number that it divides is lost; 0:
                          none */
  guint64 last_number; /* number of the last event */
  GQueue events;       /* struct event, owned; oldest first */
};

void eventlog_add (struct eventlog *eventlog, gint64 now, guint64 prefix_hash,
                   gboolean cached);
char *eventlog_to_json (const struct eventlog *eventlog, guint64 after,
                        gint64 now);

#endif
