/* Heads of HTTP/1.1 messages: start line and header fields.  */
#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <glib.h>

#include "base/str.h"

struct http_head_span
{
  guint offset; /* in the head's text, bytes */
  guint n;      /* bytes */
};

struct http_head_field
{
  struct http_head_span name;
  struct http_head_span value;
};

/* A parsed head, which owns its text. The strings that the functions return are
   borrowed and valid until the head changes.  */
struct http_head
{
  GString *text;
  GArray *fields; /* of struct http_head_field, in the order received */
  struct http_head_span target; /* of a request: path and query */
  const char *method;           /* of a request; static text */
  guint status;                 /* of a response; 0: a request */
  gboolean keep_alive;          /* the sender allows another message after it */
  gboolean chunked;
  gboolean has_length;
  guint64 length; /* Content-Length in bytes, if has_length */
  gboolean http_1_0;
};

void http_head_init (struct http_head *head);
void http_head_clear (struct http_head *head);
void http_head_reset (struct http_head *head);
struct str http_head_text (const struct http_head *head,
                           struct http_head_span span);
struct str http_head_target (const struct http_head *head);
struct str http_head_field_name (const struct http_head *head, guint i);
struct str http_head_field_value (const struct http_head *head, guint i);
gboolean http_head_get (const struct http_head *head, const char *name,
                        struct str *value);
guint http_head_count (const struct http_head *head, const char *name);
gboolean http_head_lists (const struct http_head *head, const char *name,
                          struct str token);
gboolean http_head_is_hop_by_hop (const struct http_head *head,
                                  struct str name);

gboolean http_equals_ignore_case (struct str a, const char *b);
struct str http_trim (struct str s);
gboolean http_parse_number (struct str text, guint64 *number);
gboolean http_parse_decimal (struct str text, double *number);
gboolean http_parse_seconds (struct str text, gint64 *us);

void http_put_field (GString *out, const char *name, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
void http_put_field_str (GString *out, struct str name, struct str value);
const char *http_reason_phrase (guint status);

#endif
