/* Splits a stream of server-sent events into complete events.  */
#ifndef SSE_H
#define SSE_H

#include "base/str.h"

#define SSE_EVENT_MAX (1024 * 1024) /* bytes of one event */

struct sse
{
  GString *buffer; /* bytes after the last complete event, owned */
  gsize consumed;  /* bytes of BUFFER that sse_next has returned */
  gboolean begun;  /* sse_next has returned an event */
  GString *data;   /* returned by sse_data, owned */
};

void sse_init (struct sse *sse);
void sse_clear (struct sse *sse);
int sse_add (struct sse *sse, struct str data);
gboolean sse_next (struct sse *sse, struct str *event);
struct str sse_data (struct sse *sse, struct str event);

#endif
