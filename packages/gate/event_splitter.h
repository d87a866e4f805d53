/* Splits the bytes of an event stream (server-sent events) into complete events
   and keeps the id of the last one, so that an interrupted stream can be
   resumed after it.  */
#ifndef EVENT_SPLITTER_H
#define EVENT_SPLITTER_H

#include <glib.h>

#include "base/str.h"

#define SPLITTER_ID_MAX                                                        \
  127 /* bytes of an event id; longer ones are truncated */
#define SPLITTER_EVENT_MAX (1024 * 1024) /* bytes of one event */

struct event_splitter
{
  GString *partial; /* bytes after the last complete event; owned */
  char last_id[SPLITTER_ID_MAX + 1];  /* last event id; "" if none */
  char first_id[SPLITTER_ID_MAX + 1]; /* first event id of the attempt; "" if
                                         none */
  guint events;                       /* complete events so far */
};

void splitter_init (struct event_splitter *event_splitter);
void splitter_clear (struct event_splitter *event_splitter);
gboolean splitter_feed (struct event_splitter *event_splitter, struct str bytes,
                        GString *complete);
gboolean splitter_is_at_boundary (const struct event_splitter *event_splitter);
void splitter_begin_attempt (struct event_splitter *event_splitter);

#endif
