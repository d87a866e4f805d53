#include "gate/event_splitter.h"

#include <string.h>

void
ses_init (struct ses *ses)
{
  *ses = (struct ses){ .partial = g_string_new (NULL) };
}

void
ses_clear (struct ses *ses)
{
  if (ses->partial != NULL)
    g_string_free (ses->partial, TRUE);
  *ses = (struct ses){ 0 };
}

/* Length of the first whole event in TEXT with its blank line; 0 if none is
   whole.  */
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

static void
read_id (struct ses *ses, struct str event)
{
  while (event.n > 0)
    {
      const char *end = memchr (event.p, '\n', event.n);
      gsize n = end ? (gsize)(end - event.p) : event.n;
      gsize line = n > 0 && event.p[n - 1] == '\r' ? n - 1 : n;
      if (line > 3 && memcmp (event.p, "id:", 3) == 0)
        {
          gsize skip = event.p[3] == ' ' ? 4 : 3;
          gsize length = MIN (line - skip, SES_ID_MAX);
          memcpy (ses->last, event.p + skip, length);
          ses->last[length] = '\0';
        }
      n += end != NULL;
      event.p += n;
      event.n -= n;
    }
}

/* Takes BYTES of a stream and appends the events that are now whole to WHOLE.
   Returns FALSE if an event is too long.  */
gboolean
ses_take (struct ses *ses, struct str bytes, GString *whole)
{
  gsize done = 0;
  gsize n;
  g_string_append_len (ses->partial, bytes.p, (gssize)bytes.n);
  while ((n = event_length ((struct str){ ses->partial->str + done,
                                          ses->partial->len - done }))
         > 0)
    {
      struct str event = { ses->partial->str + done, n };
      read_id (ses, event);
      g_string_append_len (whole, event.p, (gssize)event.n);
      ses->events++;
      done += n;
    }
  g_string_erase (ses->partial, 0, (gssize)done);
  return ses->partial->len <= SES_EVENT_MAX;
}

/* Tells whether the stream stands between two events.  */
gboolean
ses_is_between (const struct ses *ses)
{
  return ses->partial->len == 0;
}

/* Forgets the start of an event that its server did not finish.  */
void
ses_drop_partial (struct ses *ses)
{
  g_string_truncate (ses->partial, 0);
}
