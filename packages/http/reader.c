#include "http/reader.h"

#include <http_parser.h>
#include <string.h>

#define HEAD_BYTES_DEFAULT (64 * 1024) /* default limit of a head */
#define FIELDS_MAX 200                 /* in a head */
#define HEAD_END_BYTES 4               /* CR LF CR LF */
#define FRAMING_PER_BODY_BYTE                                                  \
  16 /* bytes of chunk framing; a chunk of one byte needs 5, the rest is for   \
        extensions */

enum parse_state
{
  AT_START, /* no byte of a message received */
  IN_HEAD,
  IN_BODY,
  COMPLETE /* until http_reader_next */
};

struct http_reader
{
  http_parser parser;
  struct http_reader_handler handler;
  void *ctx;
  struct http_head head;
  enum parse_state state;
  gboolean no_body;       /* the message has none, whatever its head says */
  gboolean interim;       /* an informational response (1xx) came before */
  gboolean in_interim;    /* the response being read is one */
  gboolean in_value;      /* the last bytes of a field belong to its value */
  gboolean stopped;       /* a callback has returned FALSE */
  gboolean responses;     /* reads responses, else requests */
  gsize head_limit;       /* bytes */
  gsize head_bytes;       /* of the current head and of those of informational
                             responses before it, received so far */
  guint head_end_matched; /* bytes of the CR LF CR LF that ends it, received
                             last */
  gboolean head_begun;    /* a byte other than of blank lines was received */
  char last_head_byte;    /* NUL: none yet */
  const char *counted;    /* end of the received bytes in BODY_BYTES and
                             FRAMING_BYTES; valid during http_reader_feed */
  guint64 body_bytes;     /* of the current message */
  guint64 framing_bytes;  /* of its chunks and trailers */
  gsize framing_run;      /* framing bytes since the last byte of the body */
  const char *error_text; /* static text; NULL: none, or of the parser */
};

static struct http_reader *
reader_of (http_parser *parser)
{
  return parser->data;
}

static int
set_error (struct http_reader *reader, const char *error_text)
{
  reader->error_text = error_text;
  return -1;
}

static int
on_begin (http_parser *parser)
{
  struct http_reader *reader = reader_of (parser);
  http_head_reset (&reader->head);
  reader->state = IN_HEAD;
  reader->in_value = FALSE;
  return 0;
}

static void
append_to_span (struct http_reader *reader, struct http_head_span *span,
                const char *at, size_t n)
{
  if (span->n == 0)
    span->offset = (guint)reader->head.text->len;
  g_string_append_len (reader->head.text, at, (gssize)n);
  span->n += (guint)n;
}

static int
on_target (http_parser *parser, const char *at, size_t n)
{
  struct http_reader *reader = reader_of (parser);
  append_to_span (reader, &reader->head.target, at, n);
  return 0;
}

static struct http_head_field *
last_field (struct http_reader *reader)
{
  guint n = reader->head.fields->len;
  return n ? &g_array_index (reader->head.fields, struct http_head_field, n - 1)
           : NULL;
}

static int
on_field_name (http_parser *parser, const char *at, size_t n)
{
  struct http_reader *reader = reader_of (parser);
  if (reader->state != IN_HEAD)
    return 0; /* trailers are ignored */
  if (last_field (reader) == NULL || reader->in_value)
    {
      if (reader->head.fields->len >= FIELDS_MAX)
        return set_error (reader, "too many header fields");
      const struct http_head_field empty = { { 0, 0 }, { 0, 0 } };
      g_array_append_val (reader->head.fields, empty);
      reader->in_value = FALSE;
    }
  append_to_span (reader, &last_field (reader)->name, at, n);
  return 0;
}

static int
on_field_value (http_parser *parser, const char *at, size_t n)
{
  struct http_reader *reader = reader_of (parser);
  struct http_head_field *field = last_field (reader);
  if (reader->state != IN_HEAD || field == NULL)
    return 0;
  reader->in_value = TRUE;
  append_to_span (reader, &field->value, at, n);
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
is_valid_value (struct str s)
{
  for (gsize i = 0; i < s.n; i++)
    if ((guchar)s.p[i] < ' ' && s.p[i] != '\t')
      return FALSE;
  return memchr (s.p, 0x7f, s.n) == NULL;
}

/* Returns what is wrong with a head that the parser accepts, or NULL. Rejects
   heads that two implementations may frame differently, because such messages
   allow request smuggling.  */
static const char *
check_head (const struct http_reader *reader)
{
  const struct http_head *head = &reader->head;
  for (guint i = 0; i < head->fields->len; i++)
    if (!is_token (http_head_field_name (head, i))
        || !is_valid_value (http_head_field_value (head, i)))
      return "malformed header field";
  guint codings = http_head_count (head, "transfer-encoding");
  guint lengths = http_head_count (head, "content-length");
  struct str coding;
  struct str length;
  guint64 number;
  if (codings > 1 || lengths > 1 || (codings > 0 && lengths > 0))
    return "ambiguous message length";
  if (http_head_get (head, "transfer-encoding", &coding)
      && !http_equals_ignore_case (coding, "chunked"))
    return "unsupported transfer coding";
  if (http_head_get (head, "content-length", &length)
      && !http_parse_number (length, &number))
    return "malformed Content-Length";
  if (head->http_1_0 && codings > 0)
    return "transfer coding in HTTP/1.0";
  if (!reader->responses && http_head_count (head, "host") != 1)
    return "missing or repeated Host field";
  return NULL;
}

/* Returns whether the response has no body, whatever its fields say.  */
static gboolean
is_bodiless (const struct http_head *head)
{
  return head->status < 200 || head->status == 204 || head->status == 304;
}

static int
on_head (http_parser *parser)
{
  struct http_reader *reader = reader_of (parser);
  struct http_head *head = &reader->head;
  struct str length;
  gboolean no_body = reader->no_body;
  head->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
  if (parser->http_major != 1 || parser->http_minor > 1)
    return set_error (reader, "unsupported HTTP version");
  head->keep_alive = http_should_keep_alive (parser) != 0;
  if (reader->responses)
    {
      head->status = parser->status_code;
      reader->in_interim = head->status < 200;
      no_body |= is_bodiless (head);
      /* The parser also returns FALSE for a response that ends with the
         connection, so look at the fields alone. */
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
  const char *error_text = check_head (reader);
  if (error_text != NULL)
    return set_error (reader, error_text);
  if (!reader->responses && parser->method == HTTP_CONNECT)
    return set_error (reader, "CONNECT is not supported");
  /* Codes below 100 are not defined; skipped like interim responses, they
     would leave the request without an answer until its time-out. */
  if (reader->responses && head->status < 100)
    return set_error (reader, "status code below 100");
  if (reader->responses && head->status == 101)
    return set_error (reader, "switch to another protocol");
  reader->state = IN_BODY;
  if (!reader->in_interim && reader->handler.head != NULL
      && !reader->handler.head (reader->ctx, head))
    {
      reader->stopped = TRUE;
      return set_error (reader, "stopped by the receiver");
    }
  /* 1: the parser skips the body. Upgrades are not supported. */
  return no_body ? 1 : 0;
}

/* Counts the bytes of chunk framing and trailers up to TO. Returns whether
   there are no more of them than the body justifies: otherwise a peer could
   send framing without end and so occupy the process without a body.  */
static gboolean
count_framing (struct http_reader *reader, const char *to)
{
  gsize n = (gsize)(to - reader->counted);
  reader->counted = to;
  reader->framing_bytes += n;
  reader->framing_run += n;
  return reader->framing_run <= reader->head_limit
         && reader->framing_bytes
                <= reader->head_limit
                       + reader->body_bytes * FRAMING_PER_BODY_BYTE;
}

static const char framing_error[] = "too much chunk framing or trailers";

static int
on_body (http_parser *parser, const char *at, size_t n)
{
  struct http_reader *reader = reader_of (parser);
  if (!count_framing (reader, at))
    return set_error (reader, framing_error);
  reader->counted = at + n;
  reader->body_bytes += n;
  reader->framing_run = 0;
  if (reader->handler.body != NULL
      && !reader->handler.body (reader->ctx, (struct str){ at, n }))
    {
      reader->stopped = TRUE;
      return set_error (reader, "stopped by the receiver");
    }
  return 0;
}

static int
on_end (http_parser *parser)
{
  reader_of (parser)->state = COMPLETE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_target,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_end,
};

/* Gets ready for the head of the next message.  */
static void
restart_parser (struct http_reader *reader)
{
  http_parser_init (&reader->parser,
                    reader->responses ? HTTP_RESPONSE : HTTP_REQUEST);
  reader->parser.data = reader;
  reader->state = AT_START;
  reader->in_interim = FALSE;
  reader->head_end_matched = 0;
  reader->head_begun = FALSE;
  reader->last_head_byte = '\0';
  reader->error_text = NULL;
  reader->stopped = FALSE;
  reader->body_bytes = 0;
  reader->framing_bytes = 0;
  reader->framing_run = 0;
}

static void
restart (struct http_reader *reader)
{
  restart_parser (reader);
  reader->interim = FALSE;
  reader->head_bytes = 0;
}

/* Makes a reader of responses, or of requests if RESPONSES is FALSE.  */
struct http_reader *
http_reader_new (gboolean responses, const struct http_reader_handler *handler,
                 void *ctx)
{
  struct http_reader *reader = g_new0 (struct http_reader, 1);
  reader->responses = responses;
  reader->handler = *handler;
  reader->ctx = ctx;
  reader->head_limit = HEAD_BYTES_DEFAULT;
  http_head_init (&reader->head);
  restart (reader);
  return reader;
}

void
http_reader_free (struct http_reader *reader)
{
  if (reader == NULL)
    return;
  http_head_clear (&reader->head);
  g_free (reader);
}

/* Limits the heads of further messages to HEAD_BYTES.  */
void
http_reader_limit_head (struct http_reader *reader, gsize head_bytes)
{
  reader->head_limit = head_bytes;
}

/* Scans one byte of a head. Returns what is wrong with it, or NULL. Folded
   fields and lines that end in a bare LF are rejected, because implementations
   differ in reading them.  */
static const char *
scan_head_byte (struct http_reader *reader, char byte)
{
  static const char end[] = "\r\n\r\n";
  char last = reader->last_head_byte;
  reader->last_head_byte = byte;
  if (byte == '\n' && last != '\r' && last != '\0')
    return "bare line feed";
  if ((byte == ' ' || byte == '\t') && last == '\n')
    return "folded header field";
  /* Blank lines before a message are no end of its head. */
  reader->head_begun |= byte != '\r' && byte != '\n';
  if (!reader->head_begun)
    return NULL;
  if (byte == end[reader->head_end_matched])
    reader->head_end_matched++;
  else
    reader->head_end_matched = byte == '\r' ? 1 : 0;
  return NULL;
}

/* Scans the part of the head in BYTES, which may begin and end anywhere in it,
   and sets N to its length. Returns what is wrong with it, or NULL.  */
static const char *
scan_head (struct http_reader *reader, struct str bytes, gsize *n)
{
  for (*n = 0; *n < bytes.n && reader->head_end_matched < HEAD_END_BYTES;)
    {
      const char *error_text = scan_head_byte (reader, bytes.p[(*n)++]);
      reader->head_bytes++;
      if (error_text != NULL)
        return error_text;
    }
  return NULL;
}

static int
reader_error (struct http_reader *reader, struct err *err)
{
  const char *text = reader->error_text;
  if (text == NULL)
    text = http_errno_description (HTTP_PARSER_ERRNO (&reader->parser));
  return err_set (err, ERR_PROTOCOL, "http.read", "", "%s", text);
}

/* Parses BYTES up to the end of a message, also of an informational response.
   Returns how many were consumed, or a negative ERR_ code.  */
static gssize
feed_message (struct http_reader *reader, struct str bytes, struct err *err)
{
  gsize n = 0;
  if (reader->state == AT_START || reader->state == IN_HEAD)
    {
      const char *error_text = scan_head (reader, bytes, &n);
      if (reader->head_bytes > reader->head_limit)
        return err_set (err, ERR_TOO_LARGE, "http.read", "",
                        "message head longer than %" G_GSIZE_FORMAT " bytes",
                        reader->head_limit);
      if (error_text != NULL)
        return err_set (err, ERR_PROTOCOL, "http.read", "", "%s", error_text);
    }
  reader->counted = bytes.p + n;
  size_t taken
      = http_parser_execute (&reader->parser, &callbacks, bytes.p, bytes.n);
  enum http_errno error = HTTP_PARSER_ERRNO (&reader->parser);
  gboolean complete = error == HPE_PAUSED && reader->state == COMPLETE;
  if (!complete && (error != HPE_OK || reader->parser.upgrade))
    return reader_error (reader, err);
  if (!count_framing (reader, MAX (bytes.p + taken, reader->counted)))
    return err_set (err, ERR_PROTOCOL, "http.read", "", "%s", framing_error);
  return (gssize)taken;
}

gssize
http_reader_feed (struct http_reader *reader, struct str bytes, struct err *err)
{
  gsize taken = 0;
  while (reader->state != COMPLETE && taken < bytes.n)
    {
      gssize n = feed_message (
          reader, (struct str){ bytes.p + taken, bytes.n - taken }, err);
      if (n < 0)
        return n;
      taken += (gsize)n;
      if (reader->state != COMPLETE)
        continue;
      if (!reader->in_interim)
        {
          if (reader->handler.end != NULL)
            reader->handler.end (reader->ctx);
          break;
        }
      restart_parser (reader);
      reader->interim = TRUE;
    }
  return (gssize)taken;
}

int
http_reader_finish (struct http_reader *reader, struct err *err)
{
  if ((reader->state == AT_START && !reader->interim)
      || reader->state == COMPLETE)
    return 0;
  http_parser_execute (&reader->parser, &callbacks, NULL, 0);
  if (reader->state != COMPLETE)
    return err_set (err, ERR_CLOSED, "http.read", "",
                    "connection closed within a message");
  if (reader->handler.end != NULL)
    reader->handler.end (reader->ctx);
  return 0;
}

void
http_reader_next (struct http_reader *reader, gboolean no_body)
{
  reader->no_body = no_body;
  restart (reader);
}

const struct http_head *
http_reader_head (const struct http_reader *reader)
{
  return &reader->head;
}

/* Returns whether a message has begun and is not complete. An informational
   response begins the one that follows it.  */
gboolean
http_reader_in_message (const struct http_reader *reader)
{
  return reader->state == IN_HEAD || reader->state == IN_BODY
         || (reader->state == AT_START && reader->interim);
}

gboolean
http_reader_in_head (const struct http_reader *reader)
{
  return reader->state == IN_HEAD;
}

/* Returns whether the body has no length and so ends with the connection.  */
gboolean
http_reader_ends_with_connection (const struct http_reader *reader)
{
  return reader->state == IN_BODY && !reader->head.chunked
         && !reader->head.has_length && reader->responses && !reader->no_body;
}
