/* Splits the bytes of an event stream (server-sent events) into complete
   events.  */
#ifndef EVENT_SPLITTER_H
#define EVENT_SPLITTER_H

#include <glib.h>

#include "base/str.h"

#define SPLITTER_EVENT_MAX (1024 * 1024) /* bytes of one event */

struct event_splitter
{
  GString *text;     /* received bytes; owned */
  gsize taken;       /* bytes of TEXT that were returned */
  gsize scanned;     /* bytes of TEXT that were searched for the event's end */
  gsize line;        /* offset of the current line in TEXT */
  gboolean after_cr; /* the last byte searched is a CR */
  gsize between;     /* bytes without an id or data since the last event */
};

/* X (NAME): what an event says of its id */
#define STREAM_IDS(X)                                                          \
  X (ABSENT)                                                                   \
  X (VALUE)                                                                    \
  X (EMPTY) /* resets the id of the stream */

enum stream_id_kind
{
#define STREAM_ID_ENUM(id) STREAM_ID_##id,
  STREAM_IDS (STREAM_ID_ENUM)
#undef STREAM_ID_ENUM
};

/* Bytes up to an empty line, included. Comments and empty lines come as events
   without id and data.  */
struct stream_event
{
  struct str text; /* borrowed until the next call of the splitter */
  enum stream_id_kind id_kind;
  struct str id; /* part of TEXT, if ID_KIND is STREAM_ID_VALUE */
  gboolean has_data;
};

void splitter_init (struct event_splitter *event_splitter);
void splitter_clear (struct event_splitter *event_splitter);
void splitter_add (struct event_splitter *event_splitter, struct str bytes);
gboolean splitter_next (struct event_splitter *event_splitter,
                        struct stream_event *event);
gboolean splitter_is_over_limit (const struct event_splitter *event_splitter);
gboolean splitter_is_at_boundary (const struct event_splitter *event_splitter);
void splitter_restart (struct event_splitter *event_splitter);

#endif
