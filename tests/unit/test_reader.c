/* The reader of HTTP messages, with messages that arrive in pieces.  */
#include "unit/unit.h"

#include "http/reader.h"

#include <string.h>

struct received
{
  guint heads;
  GString *body;
  gboolean complete;
};

static gboolean
on_head (void *ctx, const struct http_head *head)
{
  (void)head;
  ((struct received *)ctx)->heads++;
  return TRUE;
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  g_string_append_len (((struct received *)ctx)->body, bytes.p,
                       (gssize)bytes.n);
  return TRUE;
}

static void
on_end (void *ctx)
{
  ((struct received *)ctx)->complete = TRUE;
}

static const struct http_reader_handler handler = { on_head, on_body, on_end };

/* Reads TEXT, which arrives in three pieces that end at FIRST and SECOND.
   Returns whether it was accepted as one complete message with BODY.  */
static gboolean
read_pieces (gboolean responses, const char *text, gsize first, gsize second,
             const char *body)
{
  const gsize ends[] = { first, second, strlen (text) };
  struct received received = { .body = g_string_new (NULL) };
  struct http_reader *reader = http_reader_new (responses, &handler, &received);
  struct err err = { 0 };
  gboolean ok = TRUE;
  gsize at = 0;
  for (guint i = 0; ok && i < G_N_ELEMENTS (ends); i++)
    while (ok && at < ends[i])
      {
        gssize n = http_reader_feed (
            reader, (struct str){ text + at, ends[i] - at }, &err);
        ok = n > 0;
        at += ok ? (gsize)n : 0;
      }
  ok = ok && received.complete && received.heads == 1
       && strcmp (received.body->str, body) == 0;
  http_reader_free (reader);
  g_string_free (received.body, TRUE);
  return ok;
}

static guint
count_accepted (gboolean responses, const char *text, const char *body)
{
  guint accepted = 0;
  for (gsize first = 0; first <= strlen (text); first++)
    for (gsize second = first; second <= strlen (text); second++)
      accepted += read_pieces (responses, text, first, second, body);
  return accepted;
}

static guint
count_splits (const char *text)
{
  guint n = (guint)strlen (text) + 1;
  return n * (n + 1) / 2;
}

/* Wherever a message is split, also inside the empty line that ends its head,
   line feeds in its body are no part of the head. A response was thrown away
   for them although it was complete, and a request answered 400.  */
static void
test_split_messages (void)
{
  static const char response[] = "HTTP/1.1 200 OK\r\n"
                                 "Content-Length: 16\r\n"
                                 "A: b\r\n\r\n"
                                 "id: 1\n\ndata: x\n\n";
  static const char request[] = "POST /a HTTP/1.1\r\n"
                                "Host: a\r\n"
                                "Content-Length: 4\r\n\r\n"
                                "\na\n ";
  CU_ASSERT_EQUAL (count_accepted (TRUE, response, "id: 1\n\ndata: x\n\n"),
                   count_splits (response));
  CU_ASSERT_EQUAL (count_accepted (FALSE, request, "\na\n "),
                   count_splits (request));
}

/* A bare line feed or a folded field is rejected wherever the head is split. */
static void
test_split_malformed_heads (void)
{
  CU_ASSERT_EQUAL (
      count_accepted (FALSE, "GET /a HTTP/1.1\r\nHost: a\nB: c\r\n\r\n", ""),
      0);
  CU_ASSERT_EQUAL (
      count_accepted (FALSE, "GET /a HTTP/1.1\nHost: a\r\n\r\n", ""), 0);
  CU_ASSERT_EQUAL (
      count_accepted (FALSE, "GET /a HTTP/1.1\r\nHost: a\r\n c\r\n\r\n", ""),
      0);
  CU_ASSERT_EQUAL (
      count_accepted (FALSE, "GET /a HTTP/1.1\r\nHost: a\r\n\tc\r\n\r\n", ""),
      0);
}

#define ENDLESS_BYTES                                                          \
  (4 * 1024 * 1024)             /* what a test of endless bytes sends          \
                                 */
#define PIECE_BYTES (16 * 1024) /* of one call of http_reader_feed */
#define HEAD_LIMIT (64 * 1024)  /* the reader's default */

/* How a reader took a long input.  */
struct outcome
{
  gssize code;  /* 0, or of the error */
  gsize taken;  /* bytes */
  guint heads;  /* that were reported */
  gsize body;   /* bytes */
  gboolean end; /* the message was complete */
};

/* Feeds a response reader BEGIN, then REPEATED over and over, at least N bytes
   of it, then END, and stops at the first error.  */
static struct outcome
read_long (const char *begin, const char *repeated, gsize n, const char *end)
{
  GString *text = g_string_new (begin);
  struct received received = { .body = g_string_new (NULL) };
  struct http_reader *reader = http_reader_new (TRUE, &handler, &received);
  struct outcome outcome = { 0 };
  while (text->len < n)
    g_string_append (text, repeated);
  g_string_append (text, end);
  while (outcome.code == 0 && outcome.taken < text->len)
    {
      struct err err = { 0 };
      gssize taken = http_reader_feed (
          reader,
          (struct str){ text->str + outcome.taken,
                        MIN (text->len - outcome.taken, PIECE_BYTES) },
          &err);
      if (taken == 0)
        break; /* complete */
      outcome.code = MIN (taken, 0);
      outcome.taken += (gsize)MAX (taken, 0);
    }
  outcome.heads = received.heads;
  outcome.body = received.body->len;
  outcome.end = received.complete;
  http_reader_free (reader);
  g_string_free (received.body, TRUE);
  g_string_free (text, TRUE);
  return outcome;
}

/* Checks that the input of read_long is rejected within the limit of a head, or
   PIECE_BYTES later.  */
static void
check_endless (const char *begin, const char *repeated, gssize code)
{
  struct outcome outcome = read_long (begin, repeated, ENDLESS_BYTES, "");
  CU_ASSERT_EQUAL (outcome.code, code);
  CU_ASSERT_TRUE (outcome.taken <= HEAD_LIMIT + PIECE_BYTES);
  CU_ASSERT_FALSE (outcome.end);
}

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

/* Informational responses are skipped wherever they are split. A reader that
   reports one as the response fails a call that succeeded.  */
static void
test_interim (void)
{
  static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n"
                             "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  CU_ASSERT_EQUAL (count_accepted (TRUE, text, "ok"), count_splits (text));
}

/* Informational responses without end must not occupy the process for as long
   as the peer likes, also if each is short.  */
static void
test_endless_interim (void)
{
  check_endless ("", "HTTP/1.1 100 Continue\r\n\r\n", ERR_TOO_LARGE);
  check_endless ("", "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n", ERR_TOO_LARGE);
  check_endless ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n"
                 "Connection: upgrade\r\n\r\n",
                 "x", ERR_PROTOCOL);
}

/* A connection that closes after an informational response has not brought the
   response.  */
static void
test_closed_after_interim (void)
{
  struct received received = { .body = g_string_new (NULL) };
  struct http_reader *reader = http_reader_new (TRUE, &handler, &received);
  struct err err = { 0 };
  struct str interim = STR_LIT ("HTTP/1.1 100 Continue\r\n\r\n");
  CU_ASSERT_EQUAL (http_reader_feed (reader, interim, &err), interim.n);
  CU_ASSERT_TRUE (http_reader_in_message (reader));
  CU_ASSERT_EQUAL (http_reader_finish (reader, &err), ERR_CLOSED);
  CU_ASSERT_FALSE (received.complete);
  http_reader_free (reader);
  g_string_free (received.body, TRUE);
}

/* Chunk extensions, chunk sizes and trailers without end, and many chunks with
   a long extension around each byte of the body.  */
static void
test_endless_framing (void)
{
  char *extension = g_strnfill (2000, 'e');
  char *chunk = g_strdup_printf ("1;%s\r\nx\r\n", extension);
  check_endless (CHUNKED "1;", "e", ERR_PROTOCOL);
  check_endless (CHUNKED, "0", ERR_PROTOCOL);
  check_endless (CHUNKED, chunk, ERR_PROTOCOL);
  check_endless (CHUNKED "1\r\nx\r\n0\r\n", "A: b\r\n", ERR_PROTOCOL);
  check_endless (CHUNKED "1\r\nx\r\n0\r\nA: ", "b", ERR_PROTOCOL);
  g_free (chunk);
  g_free (extension);
}

/* A long body must not pay for trailers without end.  */
static void
test_endless_trailers_after_body (void)
{
  char *body = g_strnfill (0x100000, 'x');
  char *begin = g_strdup_printf (CHUNKED "100000\r\n%s\r\n0\r\n", body);
  struct outcome outcome = read_long (begin, "A: b\r\n", ENDLESS_BYTES, "");
  CU_ASSERT_EQUAL (outcome.code, ERR_PROTOCOL);
  CU_ASSERT_TRUE (outcome.taken <= strlen (begin) + HEAD_LIMIT + PIECE_BYTES);
  g_free (begin);
  g_free (body);
}

/* The limit of framing leaves room for chunks of one byte, for a signature in
   the extension of a chunk as long as a short event, and for trailers.  */
static void
test_framing_within_limit (void)
{
  static const char signed_chunk[]
      = "20;chunk-signature=0123456789abcdef0123456789abcdef0123456789abcdef"
        "0123456789abcdef\r\ndata: 0123456789abcdef01234567\n\n\r\n";
  static const char end[] = "0\r\nA: b\r\n\r\n";
  struct outcome outcome
      = read_long (CHUNKED, "1\r\nx\r\n", ENDLESS_BYTES, end);
  CU_ASSERT_TRUE (outcome.end);
  CU_ASSERT_TRUE (outcome.body >= ENDLESS_BYTES / 6 - PIECE_BYTES);
  CU_ASSERT_TRUE (read_long (CHUNKED, signed_chunk, ENDLESS_BYTES, end).end);
}

/* Whether framing is within the limit does not depend on how it is split.  */
static void
test_split_framing (void)
{
  static const char text[] = CHUNKED "1;a=b\r\nx\r\n0\r\nA: b\r\n\r\n";
  CU_ASSERT_EQUAL (count_accepted (TRUE, text, "x"), count_splits (text));
}

/* A head, its first line, one field and the blank lines before it must have an
   end, and so must bytes that are no HTTP.  */
static void
test_endless_head (void)
{
  check_endless ("", "\r\n", ERR_TOO_LARGE);
  check_endless ("", "\n", ERR_PROTOCOL);
  check_endless ("HTTP/1.1 200 ", "x", ERR_TOO_LARGE);
  check_endless ("HTTP/1.1 200 OK\r\nA: ", "x", ERR_TOO_LARGE);
  check_endless ("HTTP/1.1 200 OK\r\n", "x", ERR_TOO_LARGE);
  check_endless ("HTTP/1.1 200 OK\r\n", "A: b\r\n", ERR_PROTOCOL);
  check_endless ("", "x", ERR_PROTOCOL);
}

/* Blank lines before a message do not end its head: the rest was not checked,
   and messages that implementations read differently were accepted.  */
static void
test_blank_lines (void)
{
  static const char good[] = "\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n";
  CU_ASSERT_EQUAL (count_accepted (FALSE, good, ""), count_splits (good));
  CU_ASSERT_EQUAL (
      count_accepted (FALSE, "\r\n\r\nGET /a HTTP/1.1\nHost: a\n\n", ""), 0);
  CU_ASSERT_EQUAL (
      count_accepted (FALSE, "\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n c\r\n\r\n",
                      ""),
      0);
}

/* Responses without a body are complete after their head. A reader that waits
   for the body that a Content-Length describes waits until the deadline.  */
static void
test_no_body (void)
{
  static const char not_modified[]
      = "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n";
  static const char no_content[]
      = "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n";
  CU_ASSERT_EQUAL (count_accepted (TRUE, not_modified, ""),
                   count_splits (not_modified));
  CU_ASSERT_EQUAL (count_accepted (TRUE, no_content, ""),
                   count_splits (no_content));
}

/* An informational response before the response to a HEAD request does not make
   the reader wait for a body.  */
static void
test_head_after_interim (void)
{
  struct received received = { .body = g_string_new (NULL) };
  struct http_reader *reader = http_reader_new (TRUE, &handler, &received);
  struct err err = { 0 };
  struct str text = STR_LIT ("HTTP/1.1 100 Continue\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  http_reader_next (reader, TRUE);
  CU_ASSERT_EQUAL (http_reader_feed (reader, text, &err), text.n);
  CU_ASSERT_TRUE (received.complete);
  http_reader_free (reader);
  g_string_free (received.body, TRUE);
}

static CU_TestInfo tests[] = {
  { "messages that arrive in pieces", test_split_messages },
  { "malformed heads that arrive in pieces", test_split_malformed_heads },
  { "informational responses", test_interim },
  { "informational responses without end", test_endless_interim },
  { "closed after an informational response", test_closed_after_interim },
  { "chunk framing without end", test_endless_framing },
  { "trailers without end after a body", test_endless_trailers_after_body },
  { "chunk framing within the limit", test_framing_within_limit },
  { "chunk framing that arrives in pieces", test_split_framing },
  { "heads without end", test_endless_head },
  { "blank lines before a message", test_blank_lines },
  { "responses without a body", test_no_body },
  { "HEAD and an informational response", test_head_after_interim },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "reader", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
