#include "gate/stream_position.h"

/* Sets the position to the event ID, which the client has named; empty: the
   start of the stream.  */
void
stream_position_init (struct stream_position *stream_position, struct str id)
{
  stream_position->id = g_string_new_len (id.p, (gssize)id.n);
}

void
stream_position_clear (struct stream_position *stream_position)
{
  if (stream_position->id != NULL)
    g_string_free (stream_position->id, TRUE);
  *stream_position = (struct stream_position){ 0 };
}

/* Moves the position to EVENT, which is relayed next.  */
void
stream_position_advance (struct stream_position *stream_position,
                         const struct stream_event *event)
{
  if (event->id_kind != STREAM_ID_VALUE)
    return;
  g_string_truncate (stream_position->id, 0);
  g_string_append_len (stream_position->id, event->id.p, (gssize)event->id.n);
}

/* Returns the id of the last event that the client has.  */
struct str
stream_position_id (const struct stream_position *stream_position)
{
  return (struct str){ stream_position->id->str, stream_position->id->len };
}
