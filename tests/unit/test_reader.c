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

static CU_TestInfo tests[] = {
  { "messages that arrive in pieces", test_split_messages },
  { "malformed heads that arrive in pieces", test_split_malformed_heads },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "reader", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
