#include "entry/sse.h"

#include "base/err.h"

#include <string.h>

void
sse_init (struct sse *sse)
{
  sse->buffer = g_string_new (NULL);
  sse->data = g_string_new (NULL);
  sse->consumed = 0;
  sse->begun = FALSE;
}

void
sse_clear (struct sse *sse)
{
  if (sse->buffer != NULL)
    g_string_free (sse->buffer, TRUE);
  if (sse->data != NULL)
    g_string_free (sse->data, TRUE);
  sse->buffer = NULL;
  sse->data = NULL;
}

static void
drop_consumed (struct sse *sse)
{
  if (sse->consumed > 0)
    g_string_erase (sse->buffer, 0, (gssize)sse->consumed);
  sse->consumed = 0;
}

/* Adds bytes. Returns < 0 if more than SSE_EVENT_MAX bytes would be
   buffered.  */
int
sse_add (struct sse *sse, struct str data)
{
  drop_consumed (sse);
  if (sse->buffer->len + data.n > SSE_EVENT_MAX)
    return ERR_TOO_LARGE;
  g_string_append_len (sse->buffer, data.p, (gssize)data.n);
  return 0;
}

/* Returns the length of the complete event at the start of P, 0 if there is
   none. Lines end with LF or CR LF.  */
static gsize
event_length (const char *p, gsize n)
{
  for (const char *at = p;
       (at = memchr (at, '\n', n - (gsize)(at - p))) != NULL;)
    {
      at++;
      gsize left = n - (gsize)(at - p);
      if (left >= 1 && at[0] == '\n')
        return (gsize)(at - p) + 1;
      if (left >= 2 && at[0] == '\r' && at[1] == '\n')
        return (gsize)(at - p) + 2;
    }
  return 0;
}

/* Skips a byte order mark at the start of the stream and returns its length. In
   the middle of the client's stream it would hide the field after it.  */
static gsize
skip_byte_order_mark (struct sse *sse)
{
  static const char mark[] = "\xef\xbb\xbf";
  sse->begun = TRUE;
  if (!g_str_has_prefix (sse->buffer->str, mark))
    return 0;
  sse->consumed = sizeof mark - 1;
  return sizeof mark - 1;
}

/* Returns the next complete event in EVENT, with its blank line and valid until
   the next sse_add. Returns FALSE if there is none.  */
gboolean
sse_next (struct sse *sse, struct str *event)
{
  gsize n = event_length (sse->buffer->str + sse->consumed,
                          sse->buffer->len - sse->consumed);
  if (n == 0)
    return FALSE;
  if (!sse->begun)
    n -= skip_byte_order_mark (sse);
  const char *p = sse->buffer->str + sse->consumed;
  *event = (struct str){ p, n };
  sse->consumed += n;
  return TRUE;
}

/* Returns the data of EVENT, the values of its "data:" lines joined by LF;
   empty if it has none. Valid until the next call.  */
struct str
sse_data (struct sse *sse, struct str event)
{
  static const char field[] = "data:";
  gboolean joined = FALSE;
  gsize at = 0;
  g_string_truncate (sse->data, 0);
  while (at + sizeof field - 1 <= event.n)
    {
      const char *line = event.p + at;
      const char *end = memchr (line, '\n', event.n - at);
      gsize length = end ? (gsize)(end - line) : event.n - at;
      at += length + 1;
      if (length < sizeof field - 1
          || memcmp (line, field, sizeof field - 1) != 0)
        continue;
      struct str data
          = { line + sizeof field - 1, length - (sizeof field - 1) };
      if (data.n > 0 && data.p[0] == ' ')
        data = (struct str){ data.p + 1, data.n - 1 };
      if (data.n > 0 && data.p[data.n - 1] == '\r')
        data.n--;
      if (joined)
        g_string_append_c (sse->data, '\n');
      joined = TRUE;
      g_string_append_len (sse->data, data.p, (gssize)data.n);
    }
  return (struct str){ sse->data->str, sse->data->len };
}
