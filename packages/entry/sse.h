/* Splits a stream of server-sent events into whole events.  */
#ifndef SSE_H
#define SSE_H

#include "base/str.h"

#define SSE_EVENT_MAX (1024 * 1024) /* bytes of one event */

struct sse
{
  GString *buffer; /* bytes after the last whole event, owned */
  gsize consumed;  /* bytes of BUFFER that were handed out */
};

void sse_init (struct sse *sse);
void sse_clear (struct sse *sse);
/* Adds bytes. Returns < 0 if an event grows over SSE_EVENT_MAX. */
int sse_add (struct sse *sse, struct str data);
/* Takes the next whole event with its blank line, valid until the next call.
   Returns FALSE if there is none. */
gboolean sse_next (struct sse *sse, struct str *event);
/* The content of EVENT's first "data:" line; empty if it has none. */
struct str sse_data (struct str event);

#endif
