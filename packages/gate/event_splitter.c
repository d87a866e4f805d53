#include "gate/event_splitter.h"

#include <string.h>

void
splitter_init (struct event_splitter *event_splitter)
{
  *event_splitter = (struct event_splitter){ .partial = g_string_new (NULL) };
}

void
splitter_clear (struct event_splitter *event_splitter)
{
  if (event_splitter->partial != NULL)
    g_string_free (event_splitter->partial, TRUE);
  *event_splitter = (struct event_splitter){ 0 };
}

/* Returns the length of the first complete event in TEXT, including the empty
   line that ends it; 0 if there is none.  */
static gsize
event_length (struct str text)
{
  gsize line = 0; /* start of the current line */
  for (gsize i = 0; i < text.n; i++)
    {
      if (text.p[i] != '\n')
        continue;
      gsize n = i - line;
      if (n == 0 || (n == 1 && text.p[line] == '\r'))
        return i + 1;
      line = i + 1;
    }
  return 0;
}

/* Stores the id of EVENT, if it has one.  */
static void
read_id (struct event_splitter *event_splitter, struct str event)
{
  while (event.n > 0)
    {
      const char *end = memchr (event.p, '\n', event.n);
      gsize n = end ? (gsize)(end - event.p) : event.n;
      gsize line = n > 0 && event.p[n - 1] == '\r' ? n - 1 : n;
      if (line > 3 && memcmp (event.p, "id:", 3) == 0)
        {
          gsize skip = event.p[3] == ' ' ? 4 : 3;
          gsize length = MIN (line - skip, SPLITTER_ID_MAX);
          memcpy (event_splitter->last_id, event.p + skip, length);
          event_splitter->last_id[length] = '\0';
          if (event_splitter->first_id[0] == '\0')
            memcpy (event_splitter->first_id, event_splitter->last_id,
                    length + 1);
        }
      n += end != NULL;
      event.p += n;
      event.n -= n;
    }
}

/* Takes the next BYTES of the stream and appends the events that are complete
   now to COMPLETE. Returns FALSE if an incomplete event is longer than
   SPLITTER_EVENT_MAX.  */
gboolean
splitter_feed (struct event_splitter *event_splitter, struct str bytes,
               GString *complete)
{
  gsize done = 0;
  gsize n;
  g_string_append_len (event_splitter->partial, bytes.p, (gssize)bytes.n);
  while (
      (n = event_length ((struct str){ event_splitter->partial->str + done,
                                       event_splitter->partial->len - done }))
      > 0)
    {
      struct str event = { event_splitter->partial->str + done, n };
      read_id (event_splitter, event);
      g_string_append_len (complete, event.p, (gssize)event.n);
      event_splitter->events++;
      done += n;
    }
  g_string_erase (event_splitter->partial, 0, (gssize)done);
  return event_splitter->partial->len <= SPLITTER_EVENT_MAX;
}

/* Returns whether the bytes so far end with a complete event.  */
gboolean
splitter_is_at_boundary (const struct event_splitter *event_splitter)
{
  return event_splitter->partial->len == 0;
}

/* Begins the bytes of another attempt: discards an incomplete event.  */
void
splitter_begin_attempt (struct event_splitter *event_splitter)
{
  g_string_truncate (event_splitter->partial, 0);
  event_splitter->first_id[0] = '\0';
}
