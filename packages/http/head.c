#include "http/head.h"

#include <string.h>

#define TEXT_KEPT_MAX 4096 /* bytes of room for the next head */

/* X (status, "reason") */
#define HTTP_HEAD_STATUSES(X)                                                  \
  X (100, "Continue")                                                          \
  X (200, "OK")                                                                \
  X (204, "No Content")                                                        \
  X (304, "Not Modified")                                                      \
  X (400, "Bad Request")                                                       \
  X (401, "Unauthorized")                                                      \
  X (403, "Forbidden")                                                         \
  X (404, "Not Found")                                                         \
  X (405, "Method Not Allowed")                                                \
  X (408, "Request Timeout")                                                   \
  X (413, "Content Too Large")                                                 \
  X (421, "Misdirected Request")                                               \
  X (429, "Too Many Requests")                                                 \
  X (431, "Request Header Fields Too Large")                                   \
  X (500, "Internal Server Error")                                             \
  X (501, "Not Implemented")                                                   \
  X (502, "Bad Gateway")                                                       \
  X (503, "Service Unavailable")                                               \
  X (504, "Gateway Timeout")                                                   \
  X (505, "HTTP Version Not Supported")

/* Fields that apply to one connection only (RFC 9110, section 7.6.1), and
   fields that the framing on the next connection replaces.  */
static const char *const hop_by_hop[]
    = { "connection",          "keep-alive", "proxy-connection",
        "proxy-authorization", "te",         "trailer",
        "transfer-encoding",   "upgrade",    "proxy-authenticate",
        "content-length",      "expect" };

void
http_head_init (struct http_head *head)
{
  *head = (struct http_head){ 0 };
  head->text = g_string_new (NULL);
  head->fields = g_array_new (FALSE, FALSE, sizeof (struct http_head_field));
}

void
http_head_clear (struct http_head *head)
{
  if (head->text != NULL)
    g_string_free (head->text, TRUE);
  if (head->fields != NULL)
    g_array_free (head->fields, TRUE);
  *head = (struct http_head){ 0 };
}

/* Clears the head but keeps its buffers for reuse.  */
void
http_head_reset (struct http_head *head)
{
  GString *text = head->text;
  GArray *fields = head->fields;
  if (text->allocated_len > TEXT_KEPT_MAX)
    {
      g_string_free (text, TRUE);
      text = g_string_new (NULL);
    }
  *head = (struct http_head){ .text = text, .fields = fields };
  g_string_truncate (text, 0);
  g_array_set_size (fields, 0);
}

struct str
http_head_text (const struct http_head *head, struct http_head_span span)
{
  return (struct str){ head->text->str + span.offset, span.n };
}

struct str
http_head_target (const struct http_head *head)
{
  return http_head_text (head, head->target);
}

static const struct http_head_field *
field (const struct http_head *head, guint i)
{
  return &g_array_index (head->fields, struct http_head_field, i);
}

struct str
http_head_field_name (const struct http_head *head, guint i)
{
  return http_head_text (head, field (head, i)->name);
}

struct str
http_head_field_value (const struct http_head *head, guint i)
{
  return http_head_text (head, field (head, i)->value);
}

gboolean
http_equals_ignore_case (struct str a, const char *b)
{
  return strlen (b) == a.n && g_ascii_strncasecmp (a.p, b, a.n) == 0;
}

/* Sets VALUE to the value of the first field NAME. Returns FALSE if there is
   none.  */
gboolean
http_head_get (const struct http_head *head, const char *name,
               struct str *value)
{
  for (guint i = 0; i < head->fields->len; i++)
    if (http_equals_ignore_case (http_head_field_name (head, i), name))
      {
        *value = http_head_field_value (head, i);
        return TRUE;
      }
  return FALSE;
}

/* Returns the number of fields NAME.  */
guint
http_head_count (const struct http_head *head, const char *name)
{
  guint n = 0;
  for (guint i = 0; i < head->fields->len; i++)
    n += http_equals_ignore_case (http_head_field_name (head, i), name);
  return n;
}

/* Returns S without the spaces and tabs around it.  */
struct str
http_trim (struct str s)
{
  while (s.n > 0 && (*s.p == ' ' || *s.p == '\t'))
    s.p++, s.n--;
  while (s.n > 0 && (s.p[s.n - 1] == ' ' || s.p[s.n - 1] == '\t'))
    s.n--;
  return s;
}

static gboolean
list_has (struct str list, struct str token)
{
  while (list.n > 0)
    {
      const char *comma = memchr (list.p, ',', list.n);
      gsize n = comma ? (gsize)(comma - list.p) : list.n;
      struct str item = http_trim ((struct str){ list.p, n });
      if (item.n == token.n
          && g_ascii_strncasecmp (item.p, token.p, token.n) == 0)
        return TRUE;
      n += comma != NULL;
      list.p += n;
      list.n -= n;
    }
  return FALSE;
}

/* Returns whether a field NAME contains TOKEN in its comma-separated list.  */
gboolean
http_head_lists (const struct http_head *head, const char *name,
                 struct str token)
{
  for (guint i = 0; i < head->fields->len; i++)
    if (http_equals_ignore_case (http_head_field_name (head, i), name)
        && list_has (http_head_field_value (head, i), token))
      return TRUE;
  return FALSE;
}

/* Returns whether the field NAME must not be forwarded: it is hop-by-hop by
   definition, or the Connection field lists it.  */
gboolean
http_head_is_hop_by_hop (const struct http_head *head, struct str name)
{
  for (guint i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (http_equals_ignore_case (name, hop_by_hop[i]))
      return TRUE;
  return http_head_lists (head, "connection", name);
}

/* Parses an unsigned decimal number. Returns FALSE if TEXT is anything
   else or has more than 18 digits.  */
gboolean
http_parse_number (struct str text, guint64 *number)
{
  guint64 value = 0;
  text = http_trim (text);
  if (text.n == 0 || text.n > 18)
    return FALSE;
  for (gsize i = 0; i < text.n; i++)
    {
      if (!g_ascii_isdigit (text.p[i]))
        return FALSE;
      value = value * 10 + (guint64)(text.p[i] - '0');
    }
  *number = value;
  return TRUE;
}

/* Parses a decimal number without sign or exponent. Returns FALSE if TEXT is
   anything else.  */
gboolean
http_parse_decimal (struct str text, double *number)
{
  char copy[32];
  text = http_trim (text);
  if (text.n == 0 || text.n >= sizeof copy || !g_ascii_isdigit (text.p[0]))
    return FALSE;
  for (gsize i = 0; i < text.n; i++)
    if (!g_ascii_isdigit (text.p[i]) && text.p[i] != '.')
      return FALSE;
  memcpy (copy, text.p, text.n);
  copy[text.n] = '\0';
  char *end;
  *number = g_ascii_strtod (copy, &end);
  return *end == '\0';
}

/* Parses seconds with an optional fraction, of less than 1e6, into
   microseconds. Returns FALSE if TEXT is anything else.  */
gboolean
http_parse_seconds (struct str text, gint64 *us)
{
  double seconds;
  if (!http_parse_decimal (text, &seconds) || seconds >= 1e6)
    return FALSE;
  *us = (gint64)(seconds * 1e6);
  return TRUE;
}

/* Appends a field line with a formatted value.  */
void
http_put_field (GString *out, const char *name, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_string_append (out, name);
  g_string_append (out, ": ");
  g_string_append_vprintf (out, format, args);
  g_string_append (out, "\r\n");
  va_end (args);
}

void
http_put_field_str (GString *out, struct str name, struct str value)
{
  g_string_append_len (out, name.p, (gssize)name.n);
  g_string_append (out, ": ");
  g_string_append_len (out, value.p, (gssize)value.n);
  g_string_append (out, "\r\n");
}

const char *
http_reason_phrase (guint status)
{
  switch (status)
    {
#define HTTP_HEAD_REASON(number, text)                                         \
  case number:                                                                 \
    return text;
      HTTP_HEAD_STATUSES (HTTP_HEAD_REASON)
#undef HTTP_HEAD_REASON
    default:
      return "Status";
    }
}
