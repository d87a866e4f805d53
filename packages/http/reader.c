#include "http/reader.h"

#include <http_parser.h>
#include <string.h>

#define HEAD_BYTES_DEFAULT (64 * 1024) /* of a head, if no limit is set */
#define FIELDS_MAX 200                 /* of a head */

enum position
{
  BETWEEN, /* nothing of a message has come */
  IN_HEAD,
  IN_BODY,
  WHOLE /* waits for http_reader_next */
};

struct http_reader
{
  http_parser parser;
  struct http_reader_handler handler;
  void *ctx;
  struct http_head head;
  enum position position;
  gboolean no_body;  /* the next response has none, whatever it says */
  gboolean in_value; /* the last piece of a field was of its value */
  gboolean stopped;  /* the owner has stopped the reading */
  gboolean responses;
  gsize head_limit; /* bytes */
  gsize head_bytes; /* of this head so far */
  const char *fault;
};

static struct http_reader *
of (http_parser *parser)
{
  return parser->data;
}

static int
refuse (struct http_reader *http_reader, const char *fault)
{
  http_reader->fault = fault;
  return -1;
}

static int
on_begin (http_parser *parser)
{
  struct http_reader *http_reader = of (parser);
  http_head_reset (&http_reader->head);
  http_reader->position = IN_HEAD;
  http_reader->in_value = FALSE;
  return 0;
}

static void
extend (struct http_reader *http_reader, struct http_head_span *span,
        const char *at, size_t n)
{
  if (span->n == 0)
    span->at = (guint)http_reader->head.text->len;
  g_string_append_len (http_reader->head.text, at, (gssize)n);
  span->n += (guint)n;
}

static int
on_target (http_parser *parser, const char *at, size_t n)
{
  struct http_reader *http_reader = of (parser);
  extend (http_reader, &http_reader->head.target, at, n);
  return 0;
}

static struct http_head_field *
last_field (struct http_reader *http_reader)
{
  guint n = http_reader->head.fields->len;
  return n ? &g_array_index (http_reader->head.fields, struct http_head_field,
                             n - 1)
           : NULL;
}

static int
on_name (http_parser *parser, const char *at, size_t n)
{
  struct http_reader *http_reader = of (parser);
  if (http_reader->position != IN_HEAD)
    return 0; /* trailers are dropped */
  if (last_field (http_reader) == NULL || http_reader->in_value)
    {
      if (http_reader->head.fields->len >= FIELDS_MAX)
        return refuse (http_reader, "too many fields");
      const struct http_head_field empty = { { 0, 0 }, { 0, 0 } };
      g_array_append_val (http_reader->head.fields, empty);
      http_reader->in_value = FALSE;
    }
  extend (http_reader, &last_field (http_reader)->name, at, n);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t n)
{
  struct http_reader *http_reader = of (parser);
  struct http_head_field *field = last_field (http_reader);
  if (http_reader->position != IN_HEAD || field == NULL)
    return 0;
  http_reader->in_value = TRUE;
  extend (http_reader, &field->value, at, n);
  return 0;
}

static gboolean
is_token (struct str s)
{
  for (gsize i = 0; i < s.n; i++)
    if (!g_ascii_isalnum (s.p[i]) && strchr ("!#$%&'*+-.^_`|~", s.p[i]) == NULL)
      return FALSE;
  return s.n > 0;
}

static gboolean
value_is_clean (struct str s)
{
  for (gsize i = 0; i < s.n; i++)
    if ((guchar)s.p[i] < ' ' && s.p[i] != '\t')
      return FALSE;
  return memchr (s.p, 0x7f, s.n) == NULL;
}

/* What the parser lets pass but two readers might frame differently.  */
static const char *
find_fault (const struct http_reader *http_reader)
{
  const struct http_head *head = &http_reader->head;
  for (guint i = 0; i < head->fields->len; i++)
    if (!is_token (http_head_field_name (head, i))
        || !value_is_clean (http_head_field_value (head, i)))
      return "malformed field";
  guint codings = http_head_count (head, "transfer-encoding");
  guint lengths = http_head_count (head, "content-length");
  struct str coding;
  struct str length;
  guint64 number;
  if (codings > 1 || lengths > 1 || (codings > 0 && lengths > 0))
    return "ambiguous length";
  if (http_head_get (head, "transfer-encoding", &coding)
      && !http_equals_ignore_case (coding, "chunked"))
    return "unknown transfer coding";
  if (http_head_get (head, "content-length", &length)
      && !http_parse_number (length, &number))
    return "malformed length";
  if (head->http_1_0 && codings > 0)
    return "transfer coding in HTTP/1.0";
  if (!http_reader->responses && http_head_count (head, "host") != 1)
    return "not exactly one Host";
  return NULL;
}

static int
on_head (http_parser *parser)
{
  struct http_reader *http_reader = of (parser);
  struct http_head *head = &http_reader->head;
  struct str length;
  head->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
  if (parser->http_major != 1 || parser->http_minor > 1)
    return refuse (http_reader, "unknown version");
  head->keep_alive = http_should_keep_alive (parser) != 0;
  if (http_reader->responses)
    {
      head->status = parser->status_code;
      /* Only the framing decides this of a response without a length. */
      head->keep_alive
          = !http_head_lists (head, "connection", STR_LIT ("close"))
            && (!head->http_1_0
                || http_head_lists (head, "connection",
                                    STR_LIT ("keep-alive")));
    }
  else
    head->method = http_method_str ((enum http_method)parser->method);
  head->chunked = http_head_count (head, "transfer-encoding") > 0;
  head->has_length = http_head_get (head, "content-length", &length)
                     && http_parse_number (length, &head->length);
  const char *fault = find_fault (http_reader);
  if (fault != NULL)
    return refuse (http_reader, fault);
  if (!http_reader->responses && parser->method == HTTP_CONNECT)
    return refuse (http_reader, "CONNECT is not served");
  http_reader->position = IN_BODY;
  if (http_reader->handler.head != NULL
      && !http_reader->handler.head (http_reader->ctx, head))
    {
      http_reader->stopped = TRUE;
      return refuse (http_reader, "stopped");
    }
  /* 1: the parser skips the body; upgrades are never taken up. */
  return http_reader->no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t n)
{
  struct http_reader *http_reader = of (parser);
  if (http_reader->handler.body != NULL
      && !http_reader->handler.body (http_reader->ctx, (struct str){ at, n }))
    {
      http_reader->stopped = TRUE;
      return refuse (http_reader, "stopped");
    }
  return 0;
}

static int
on_end (http_parser *parser)
{
  of (parser)->position = WHOLE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_target,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_end,
};

static void
restart (struct http_reader *http_reader)
{
  http_parser_init (&http_reader->parser,
                    http_reader->responses ? HTTP_RESPONSE : HTTP_REQUEST);
  http_reader->parser.data = http_reader;
  http_reader->position = BETWEEN;
  http_reader->head_bytes = 0;
  http_reader->fault = NULL;
  http_reader->stopped = FALSE;
}

/* Makes a reader of responses or requests.  */
struct http_reader *
http_reader_new (gboolean responses, const struct http_reader_handler *handler,
                 void *ctx)
{
  struct http_reader *http_reader = g_new0 (struct http_reader, 1);
  http_reader->responses = responses;
  http_reader->handler = *handler;
  http_reader->ctx = ctx;
  http_reader->head_limit = HEAD_BYTES_DEFAULT;
  http_head_init (&http_reader->head);
  restart (http_reader);
  return http_reader;
}

void
http_reader_free (struct http_reader *http_reader)
{
  if (http_reader == NULL)
    return;
  http_head_clear (&http_reader->head);
  g_free (http_reader);
}

/* Limits heads to HEAD_BYTES.  */
void
http_reader_limit_head (struct http_reader *http_reader, gsize head_bytes)
{
  http_reader->head_limit = head_bytes;
}

/* A head must not be folded, nor end its lines by a bare LF: both are read in
   two ways by others. Looks at bytes of a head only.  */
static const char *
find_raw_fault (struct str bytes)
{
  const char *p = bytes.p;
  const char *end = bytes.p + bytes.n;
  while ((p = memchr (p, '\n', (gsize)(end - p))) != NULL)
    {
      if (p > bytes.p && p[-1] != '\r')
        return "bare line feed";
      if (p + 1 < end && (p[1] == ' ' || p[1] == '\t'))
        return "folded field";
      p++;
    }
  return NULL;
}

static gsize
head_part (struct str bytes)
{
  const char *end = g_strstr_len (bytes.p, (gssize)bytes.n, "\r\n\r\n");
  return end ? (gsize)(end - bytes.p) + 4 : bytes.n;
}

static int
reader_error (struct http_reader *http_reader, struct err *err)
{
  const char *text = http_reader->fault;
  if (text == NULL)
    text = http_errno_description (HTTP_PARSER_ERRNO (&http_reader->parser));
  return err_set (err, ERR_PROTOCOL, "http.read", "", "%s", text);
}

gssize
http_reader_feed (struct http_reader *http_reader, struct str bytes,
                  struct err *err)
{
  if (http_reader->position == WHOLE || bytes.n == 0)
    return 0;
  if (http_reader->position == BETWEEN || http_reader->position == IN_HEAD)
    {
      gsize n = head_part (bytes);
      const char *fault = find_raw_fault ((struct str){ bytes.p, n });
      http_reader->head_bytes += n;
      if (http_reader->head_bytes > http_reader->head_limit)
        return err_set (err, ERR_TOO_LARGE, "http.read", "",
                        "head of more than %" G_GSIZE_FORMAT " bytes",
                        http_reader->head_limit);
      if (fault != NULL)
        return err_set (err, ERR_PROTOCOL, "http.read", "", "%s", fault);
    }
  size_t taken = http_parser_execute (&http_reader->parser, &callbacks, bytes.p,
                                      bytes.n);
  enum http_errno error = HTTP_PARSER_ERRNO (&http_reader->parser);
  if (error == HPE_PAUSED && http_reader->position == WHOLE)
    {
      if (http_reader->handler.end != NULL)
        http_reader->handler.end (http_reader->ctx);
      return (gssize)taken;
    }
  if (error != HPE_OK || http_reader->parser.upgrade)
    return reader_error (http_reader, err);
  return (gssize)taken;
}

int
http_reader_finish (struct http_reader *http_reader, struct err *err)
{
  if (http_reader->position == BETWEEN || http_reader->position == WHOLE)
    return 0;
  http_parser_execute (&http_reader->parser, &callbacks, NULL, 0);
  if (http_reader->position != WHOLE)
    return err_set (err, ERR_CLOSED, "http.read", "",
                    "the connection ended inside a message");
  if (http_reader->handler.end != NULL)
    http_reader->handler.end (http_reader->ctx);
  return 0;
}

void
http_reader_next (struct http_reader *http_reader, gboolean no_body)
{
  http_reader->no_body = no_body;
  restart (http_reader);
}

const struct http_head *
http_reader_head (const struct http_reader *http_reader)
{
  return &http_reader->head;
}

/* Tells whether part of a message has come and the rest is due.  */
gboolean
http_reader_in_message (const struct http_reader *http_reader)
{
  return http_reader->position == IN_HEAD || http_reader->position == IN_BODY;
}

gboolean
http_reader_in_head (const struct http_reader *http_reader)
{
  return http_reader->position == IN_HEAD;
}

/* Tells whether the body ends with the connection, as it has no length.  */
gboolean
http_reader_ends_with_connection (const struct http_reader *http_reader)
{
  return http_reader->position == IN_BODY && !http_reader->head.chunked
         && !http_reader->head.has_length && http_reader->responses
         && !http_reader->no_body;
}
