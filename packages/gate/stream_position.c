#include "gate/stream_position.h"

#include "http/head.h"

static const char *const state_names[] = {
#define STREAM_POSITION_NAME(id, name) name,
  STREAM_POSITION_STATES (STREAM_POSITION_NAME)
#undef STREAM_POSITION_NAME
};

const char *
stream_position_state_name (const struct stream_position *stream_position)
{
  return state_names[stream_position->state];
}

/* Sets the position to the event ID, which the client has named; empty: the
   start of the stream.  */
void
stream_position_init (struct stream_position *stream_position, struct str id)
{
  *stream_position
      = (struct stream_position){ .id = g_string_new_len (id.p, (gssize)id.n),
                                  .unchecked = TRUE };
}

void
stream_position_clear (struct stream_position *stream_position)
{
  if (stream_position->id != NULL)
    g_string_free (stream_position->id, TRUE);
  *stream_position = (struct stream_position){ 0 };
}

/* Begins an attempt. CHECKED: its server is to go on at the position; without
   that a server may begin anew whatever the client names.  */
void
stream_position_begin_attempt (struct stream_position *stream_position,
                               gboolean checked)
{
  stream_position->unchecked = checked;
}

/* Returns the id of the last event that the client has.  */
struct str
stream_position_id (const struct stream_position *stream_position)
{
  return (struct str){ stream_position->id->str, stream_position->id->len };
}

/* Returns whether an event ID can follow the position. Ids that are numbers
   increase; of others only equal ones are known not to.  */
static gboolean
follows (const struct stream_position *stream_position, struct str id)
{
  struct str last = stream_position_id (stream_position);
  guint64 number;
  guint64 last_number;
  if (http_parse_number (id, &number) && http_parse_number (last, &last_number))
    return number > last_number;
  return last.n == 0 || !str_eq (id, last);
}

/* Returns whether a header can carry ID unchanged.  */
static gboolean
is_sendable (struct str id)
{
  for (gsize i = 0; i < id.n; i++)
    if ((guchar)id.p[i] < ' ' || id.p[i] == 0x7f)
      return FALSE;
  return http_trim (id).n == id.n && id.n <= STREAM_POSITION_ID_MAX;
}

/* Moves the position to EVENT, which is relayed next. Returns FALSE, and stays,
   if EVENT is the first one of an attempt that goes on at a position and is not
   known to follow: the server has not gone on there.  */
gboolean
stream_position_advance (struct stream_position *stream_position,
                         const struct stream_event *event)
{
  if (event->id_kind == STREAM_ID_ABSENT && !event->has_data)
    return TRUE;
  if (event->id_kind != STREAM_ID_VALUE && stream_position->unchecked
      && stream_position->id->len > 0)
    return FALSE;
  if (event->id_kind == STREAM_ID_VALUE)
    {
      gboolean in_order = follows (stream_position, event->id);
      if (!in_order && stream_position->unchecked)
        return FALSE;
      stream_position->unchecked = FALSE;
      if (!in_order)
        stream_position->state = STREAM_POSITION_UNORDERED;
    }
  if (stream_position->state == STREAM_POSITION_UNORDERED)
    return TRUE;
  if (event->id_kind == STREAM_ID_VALUE && is_sendable (event->id))
    {
      g_string_truncate (stream_position->id, 0);
      g_string_append_len (stream_position->id, event->id.p,
                           (gssize)event->id.n);
      stream_position->state = STREAM_POSITION_KNOWN;
      stream_position->relayed = TRUE;
    }
  else
    stream_position->state = STREAM_POSITION_UNNAMED;
  return TRUE;
}
