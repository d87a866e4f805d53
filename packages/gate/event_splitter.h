/* Splits an event stream into whole events and reads their ids, so that a
   broken stream can go on after the last whole one.  */
#ifndef EVENT_SPLITTER_H
#define EVENT_SPLITTER_H

#include <glib.h>

#include "base/str.h"

#define EVENT_SPLITTER_ID_MAX 127              /* bytes of an id */
#define EVENT_SPLITTER_EVENT_MAX (1024 * 1024) /* bytes of one event */

struct event_splitter
{
  GString *partial; /* the start of an event that is not whole */
  char last_id[EVENT_SPLITTER_ID_MAX
               + 1]; /* id of the last whole event; "" if none */
  guint events;      /* whole ones so far */
};

void event_splitter_init (struct event_splitter *event_splitter);
void event_splitter_clear (struct event_splitter *event_splitter);
gboolean event_splitter_feed (struct event_splitter *event_splitter,
                              struct str bytes, GString *complete);
gboolean
event_splitter_is_at_boundary (const struct event_splitter *event_splitter);
void event_splitter_drop_partial (struct event_splitter *event_splitter);

#endif
