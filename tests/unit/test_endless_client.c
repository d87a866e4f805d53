/* Clients that send without end: what is kept for them, and for how long, is
   bounded, and each gets an error or the end of its connection.  */
#include "unit/proxy_fixture.h"

#define HEADER_TIMEOUT_MS 300 /* limits of the fixture's configuration */
#define IDLE_CLOSE_MS 2400    /* 1.2 times the time-out */
#define STEP_MS 20            /* between the pieces that a client sends */
#define MARGIN_MS 1000        /* for a busy machine */
#define LINGER_MAX_MS 4000    /* from the last response to the close */
#define FLOOD_BYTES (64 * 1024 * 1024)
#define FLOOD_MS 3000
/* Of them, what the kernel and the proxy may take while a response is sent. */
#define FLOOD_TAKEN_MAX (24 * 1024 * 1024)

static void
start (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
}

/* Sends TEXT every STEP_MS until the connection ends, for MS at most. Returns
   whether it ended.  */
static gboolean
send_until_closed (struct proxy_test_client *client, const char *text,
                   gint64 ms)
{
  gint64 end = g_get_monotonic_time () + ms * CLK_MS;
  while (!client->ended && g_get_monotonic_time () < end)
    {
      proxy_test_send_text (client, text);
      proxy_test_wait_until (proxy_test_has_ended, client, STEP_MS);
    }
  return client->ended;
}

/* Checks the first response that CLIENT has received and closes it.  */
static void
expect_status (struct proxy_test_client *client, guint status)
{
  struct proxy_test_response response = proxy_test_parse_response (client);
  CU_ASSERT_EQUAL (response.status, status);
  proxy_test_response_clear (&response);
  proxy_test_close_client (client);
}

static void
test_head_byte_by_byte (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_text (client, "GET /open/x HTTP/1.1\r\nX-Long: ");
  CU_ASSERT_TRUE (
      send_until_closed (client, "x", HEADER_TIMEOUT_MS + MARGIN_MS));
  expect_status (client, 408);
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_CLIENT_SLOW], 1);
  proxy_test_stop ();
}

static void
test_head_too_long (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_text (client, "GET /open/x HTTP/1.1\r\nX-Long: ");
  char *piece = g_strnfill (1000, 'x');
  CU_ASSERT_TRUE (
      send_until_closed (client, piece, HEADER_TIMEOUT_MS + MARGIN_MS));
  expect_status (client, 431);
  g_free (piece);
  proxy_test_stop ();
}

/* Blank lines are no request: they must neither keep the connection open nor
   be taken for one. A request after a few of them is served.  */
static void
test_blank_lines (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_text (client, "\r\n");
  proxy_test_run_for (STEP_MS);
  proxy_test_send_request (client, "/open/x", "");
  struct proxy_test_response response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, 200);
  proxy_test_response_clear (&response);
  CU_ASSERT_TRUE (
      send_until_closed (client, "\r\n", IDLE_CLOSE_MS + MARGIN_MS));
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_REQUESTS], 1);
  proxy_test_close_client (client);
  proxy_test_stop ();
}

static void
test_many_blank_lines (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_client ();
  GString *lines = g_string_new (NULL);
  for (guint i = 0; i < 10000; i++)
    g_string_append (lines, "\r\n");
  CU_ASSERT_TRUE (send_until_closed (client, lines->str, IDLE_CLOSE_MS));
  expect_status (client, 431);
  g_string_free (lines, TRUE);
  proxy_test_stop ();
}

static void
test_body_without_end (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_text (client, "POST /open/x HTTP/1.1\r\nHost: a.example\r\n"
                                "X-Request-Id: r\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n");
  CU_ASSERT_TRUE (send_until_closed (client,
                                     "4\r\nbody\r\n4\r\nbody\r\n"
                                     "4\r\nbody\r\n4\r\nbody\r\n"
                                     "4\r\nbody\r\n4\r\nbody\r\n"
                                     "4\r\nbody\r\n4\r\nbody\r\n"
                                     "4\r\nbody\r\n4\r\nbody\r\n",
                                     20000));
  expect_status (client, 413);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 0);
  proxy_test_stop ();
}

static void
test_trailers_without_end (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_client ();
  char *value = g_strnfill (1000, 'x');
  char *trailer = g_strdup_printf ("X-Trailer: %s\r\n", value);
  proxy_test_send_text (client, "POST /open/x HTTP/1.1\r\nHost: a.example\r\n"
                                "X-Request-Id: r\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n0\r\n");
  CU_ASSERT_TRUE (send_until_closed (client, trailer, 20000));
  expect_status (client, 400);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 0);
  g_free (trailer);
  g_free (value);
  proxy_test_stop ();
}

/* What a client sends after the response that closes its connection is
   discarded, for a bounded time.  */
static void
test_bytes_after_close (void)
{
  start ();
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_text (client, "no request\r\n\r\n");
  char *piece = g_strnfill (1000, 'x');
  proxy_test_run_for (STEP_MS);
  CU_ASSERT_TRUE (client->ended);
  client->ended = FALSE; /* that was the FIN; a reset shows the close */
  CU_ASSERT_TRUE (send_until_closed (client, piece, LINGER_MAX_MS + MARGIN_MS));
  CU_ASSERT_TRUE (client->reset);
  expect_status (client, 400);
  g_free (piece);
  proxy_test_stop ();
}

static gboolean
flood_is_taken (void *ctx)
{
  const struct proxy_test_client *client = ctx;
  return tcp_conn_sent (client->tcp_conn) > FLOOD_TAKEN_MAX;
}

static gboolean
has_responded (void *ctx)
{
  (void)ctx;
  return proxy_test.counter_set.v[COUNTER_ANSWERED] == 1;
}

/* The same while the last response waits for a client that does not read: that
   may take long, so the bytes are bounded. The response still arrives.  */
static void
test_bytes_during_close (void)
{
  start ();
  proxy_test_script_all (proxy_test_respond_long);
  struct proxy_test_client *client = proxy_test_open_stalled_client ();
  char *flood = g_strnfill (FLOOD_BYTES, 'x');
  proxy_test_send_request (client, "/open/x", "Connection: close\r\n");
  CU_ASSERT_TRUE_FATAL (
      proxy_test_wait_until (has_responded, NULL, PROXY_TEST_WAIT_MS));
  tcp_conn_write (client->tcp_conn, flood, FLOOD_BYTES);
  CU_ASSERT_FALSE (proxy_test_wait_until (flood_is_taken, client, FLOOD_MS));
  tcp_conn_pause (client->tcp_conn, FALSE);
  CU_ASSERT_TRUE (
      proxy_test_wait_until (proxy_test_has_ended, client, PROXY_TEST_WAIT_MS));
  struct proxy_test_response response = proxy_test_parse_response (client);
  CU_ASSERT_TRUE (response.complete);
  CU_ASSERT_EQUAL (response.body->len, PROXY_TEST_LONG_BYTES);
  proxy_test_response_clear (&response);
  proxy_test_close_client (client);
  g_free (flood);
  proxy_test_stop ();
}

static CU_TestInfo tests[] = {
  { "a head byte by byte", test_head_byte_by_byte },
  { "a head without end", test_head_too_long },
  { "blank lines before a request", test_blank_lines },
  { "blank lines without end", test_many_blank_lines },
  { "a body without end", test_body_without_end },
  { "trailers without end", test_trailers_without_end },
  { "bytes after the last response", test_bytes_after_close },
  { "bytes while the last response is sent", test_bytes_during_close },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "clients that send without end", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
