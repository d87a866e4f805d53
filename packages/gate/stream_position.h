/* The position of an event stream: the last event that the client has. All
   attempts of a request are given it, whether the client has named it itself or
   it was relayed since.  */
#ifndef STREAM_POSITION_H
#define STREAM_POSITION_H

#include "gate/event_splitter.h"

#define STREAM_POSITION_ID_MAX 1024 /* bytes of an event id */

/* X (NAME, "name") */
#define STREAM_POSITION_STATES(X)                                              \
  X (KNOWN, "known")                                                           \
  X (UNNAMED, "unnamed")     /* the last event has no id that can be sent */   \
  X (UNORDERED, "unordered") /* the ids of the stream have not increased */

enum stream_position_state
{
#define STREAM_POSITION_ENUM(id, name) STREAM_POSITION_##id,
  STREAM_POSITION_STATES (STREAM_POSITION_ENUM)
#undef STREAM_POSITION_ENUM
};

struct stream_position
{
  GString *id; /* of the last event with one; owned; "": the stream's start */
  enum stream_position_state state;
  gboolean relayed;   /* ID is of a relayed event, not the client's */
  gboolean unchecked; /* the attempt has sent no event with an id yet */
};

void stream_position_init (struct stream_position *stream_position,
                           struct str id);
void stream_position_clear (struct stream_position *stream_position);
void stream_position_begin_attempt (struct stream_position *stream_position,
                                    gboolean checked);
gboolean stream_position_advance (struct stream_position *stream_position,
                                  const struct stream_event *event);
struct str stream_position_id (const struct stream_position *stream_position);
const char *
stream_position_state_name (const struct stream_position *stream_position);

#endif
