#include "gate/event_splitter.h"

#include <string.h>

void
splitter_init (struct event_splitter *event_splitter)
{
  *event_splitter = (struct event_splitter){ .text = g_string_new (NULL) };
}

void
splitter_clear (struct event_splitter *event_splitter)
{
  if (event_splitter->text != NULL)
    g_string_free (event_splitter->text, TRUE);
  *event_splitter = (struct event_splitter){ 0 };
}

/* Adds the next BYTES of the stream.  */
void
splitter_add (struct event_splitter *event_splitter, struct str bytes)
{
  if (event_splitter->taken
      > 0) /* g_string_erase copies the rest in any case */
    g_string_erase (event_splitter->text, 0, (gssize)event_splitter->taken);
  event_splitter->scanned -= event_splitter->taken;
  event_splitter->line -= event_splitter->taken;
  event_splitter->taken = 0;
  g_string_append_len (event_splitter->text, bytes.p, (gssize)bytes.n);
}

/* Searches for the end of the current event. A line ends with LF, CR or CR LF;
   each byte is looked at once. Returns whether an event ends before
   SCANNED.  */
static gboolean
find_end (struct event_splitter *event_splitter)
{
  const GString *text = event_splitter->text;
  while (event_splitter->scanned < text->len)
    {
      gsize at = event_splitter->scanned++;
      char byte = text->str[at];
      gboolean joined = byte == '\n' && event_splitter->after_cr;
      event_splitter->after_cr = byte == '\r';
      if (byte != '\r' && byte != '\n')
        continue;
      gboolean empty = at == event_splitter->line;
      event_splitter->line = at + 1;
      if (joined)
        {
          /* The LF of an empty line whose CR has ended an event.  */
          if (at == event_splitter->taken)
            return TRUE;
          continue;
        }
      if (!empty)
        continue;
      if (byte == '\r' && event_splitter->scanned < text->len
          && text->str[event_splitter->scanned] == '\n')
        {
          event_splitter->scanned++;
          event_splitter->line++;
          event_splitter->after_cr = FALSE;
        }
      return TRUE;
    }
  return FALSE;
}

/* Reads one line of an event into EVENT.  */
static void
read_field (struct stream_event *event, struct str line)
{
  const char *colon = memchr (line.p, ':', line.n);
  struct str name = { line.p, colon ? (gsize)(colon - line.p) : line.n };
  struct str value = { line.p + name.n, line.n - name.n };
  if (value.n > 0)
    value = (struct str){ value.p + 1, value.n - 1 };
  if (value.n > 0 && value.p[0] == ' ')
    value = (struct str){ value.p + 1, value.n - 1 };
  if (str_eq (name, STR_LIT ("data")))
    event->has_data = TRUE;
  if (!str_eq (name, STR_LIT ("id")))
    return;
  event->id_kind = value.n > 0 ? STREAM_ID_VALUE : STREAM_ID_EMPTY;
  event->id = value;
}

static void
read_fields (struct stream_event *event)
{
  struct str text = event->text;
  gsize from = 0;
  for (gsize i = 0; i < text.n; i++)
    if (text.p[i] == '\n' || text.p[i] == '\r')
      {
        if (i > from)
          read_field (event, (struct str){ text.p + from, i - from });
        from = i + 1;
      }
}

/* Returns the next complete event in EVENT, FALSE if there is none.  */
gboolean
splitter_next (struct event_splitter *event_splitter,
               struct stream_event *event)
{
  gsize from = event_splitter->taken;
  if (!find_end (event_splitter))
    return FALSE;
  event_splitter->taken = event_splitter->scanned;
  *event = (struct stream_event){ .text = { event_splitter->text->str + from,
                                            event_splitter->taken - from } };
  read_fields (event);
  if (event->has_data || event->id_kind != STREAM_ID_ABSENT)
    event_splitter->between = 0;
  else
    event_splitter->between += event->text.n;
  return TRUE;
}

/* Returns whether an event, or what has come between two, is longer than
   SPLITTER_EVENT_MAX.  */
gboolean
splitter_is_over_limit (const struct event_splitter *event_splitter)
{
  return event_splitter->text->len - event_splitter->taken > SPLITTER_EVENT_MAX
         || event_splitter->between > SPLITTER_EVENT_MAX;
}

/* Returns whether the bytes so far end with a complete event.  */
gboolean
splitter_is_at_boundary (const struct event_splitter *event_splitter)
{
  return event_splitter->taken == event_splitter->text->len;
}

/* Discards an incomplete event: bytes of another response follow.  */
void
splitter_restart (struct event_splitter *event_splitter)
{
  GString *text = event_splitter->text;
  g_string_truncate (text, 0);
  *event_splitter = (struct event_splitter){ .text = text };
}
