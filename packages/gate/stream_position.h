/* The position of an event stream: the last event that the client has. All
   attempts of a request are given it, whether the client has named it itself or
   it was relayed since.  */
#ifndef STREAM_POSITION_H
#define STREAM_POSITION_H

#include "gate/event_splitter.h"

struct stream_position
{
  GString *id; /* of the last event with one; owned; "": the stream's start */
};

void stream_position_init (struct stream_position *stream_position,
                           struct str id);
void stream_position_clear (struct stream_position *stream_position);
void stream_position_advance (struct stream_position *stream_position,
                              const struct stream_event *event);
struct str stream_position_id (const struct stream_position *stream_position);

#endif
