/* A store that sends without end: what is read of it and kept, and how long a
   read takes, is bounded, and the read fails, so that another source is used.
 */
#include "unit/endless_peer.h"
#include "unit/proxy_fixture.h"

#include "platform/adapter.h"

#define TIMEOUT_MS 200 /* of a request */
#define MARGIN_MS 1000 /* for a busy machine */
#define HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"

static struct
{
  guint results;
  int code;
} observed;

static void
on_config (void *ctx, const struct adapter_config *config)
{
  (void)ctx;
  observed.results++;
  observed.code = config->code;
}

static gboolean
has_result (void *ctx)
{
  (void)ctx;
  return observed.results > 0;
}

static struct platform_adapter *
open_adapter (const char *address)
{
  const struct adapter_options options
      = { .address = address,
          .clk = &proxy_test.clk,
          .counter_set = &proxy_test.counter_set,
          .timeout_ms = TIMEOUT_MS };
  memset (&observed, 0, sizeof observed);
  return adapter_new (&options);
}

/* Reads the configuration from a store that answers with BEGINNING and then
   repeats UNIT. The read must fail in time with CODE, without having read
   much, and the connection be closed.  */
static void
expect_read_fails (const char *beginning, const char *unit, gboolean drips,
                   int code)
{
  struct endless_peer peer;
  GString *piece = g_string_new (unit);
  while (!drips && piece->len < TCP_CONN_READ_MAX)
    g_string_append (piece, unit);
  proxy_test_start (0);
  endless_peer_start (&peer, beginning, (struct str){ piece->str, piece->len },
                      drips);
  struct platform_adapter *adapter = open_adapter (peer.address);
  adapter_read_config (adapter, on_config, NULL);
  CU_ASSERT_TRUE (endless_wait (&observed.results, 1, TIMEOUT_MS + MARGIN_MS));
  CU_ASSERT_EQUAL (observed.code, code);
  CU_ASSERT_TRUE (endless_wait (&peer.closed, 1, MARGIN_MS));
  CU_ASSERT_TRUE (endless_peer_sent (&peer) < 2 * ENDLESS_KERNEL_MAX);
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_PLATFORM_ERRORS], 1);
  adapter_free (adapter);
  endless_peer_stop (&peer);
  proxy_test_stop ();
  g_string_free (piece, TRUE);
}

static void
test_body (void)
{
  expect_read_fails (HEAD "\r\n{", " ", FALSE, ERR_PROTOCOL);
  expect_read_fails (HEAD "Content-Length: 1000000000000\r\n\r\n{", " ", FALSE,
                     ERR_PROTOCOL);
}

static void
test_body_slow (void)
{
  expect_read_fails (HEAD "\r\n{", " ", TRUE, ERR_TIMEOUT);
}

static void
test_head (void)
{
  expect_read_fails (HEAD "X-Long: ", "x", FALSE, ERR_TOO_LARGE);
  expect_read_fails (HEAD, "X-Field: x\r\n", FALSE, ERR_PROTOCOL);
}

static void
test_head_slow (void)
{
  expect_read_fails (HEAD "X-Long: ", "x", TRUE, ERR_TIMEOUT);
}

/* Interim responses are no answer, but may precede one.  */
static void
test_interim (void)
{
  expect_read_fails (INTERIM, INTERIM, FALSE, ERR_TOO_LARGE);
  expect_read_fails (INTERIM, INTERIM, TRUE, ERR_TIMEOUT);
}

static void
respond_after_interim (struct proxy_test_link *link,
                       struct proxy_test_request *request)
{
  tcp_conn_write (link->tcp_conn, INTERIM INTERIM, strlen (INTERIM INTERIM));
  proxy_test_run_for (ENDLESS_DRIP_MS);
  proxy_test_respond (link, request, "404 Not Found", "", "{}");
}

/* With an interim response taken for the answer, the answer itself would be
   taken for that to the next request.  */
static void
test_answer_after_interim (void)
{
  proxy_test_start (0);
  proxy_test.servers[0].script = respond_after_interim;
  struct platform_adapter *adapter
      = open_adapter (proxy_test.servers[0].address);
  for (guint i = 0; i < 3; i++)
    {
      observed.results = 0;
      adapter_read_config (adapter, on_config, NULL);
      CU_ASSERT_TRUE (
          proxy_test_wait_until (has_result, NULL, PROXY_TEST_WAIT_MS));
      CU_ASSERT_EQUAL (observed.code, ERR_NOT_FOUND);
    }
  CU_ASSERT_EQUAL (proxy_test.servers[0].connections, 1);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 3);
  adapter_free (adapter);
  proxy_test_stop ();
}

/* Bytes after a response, in the same segment or later, close the connection
   and do not harm the next read.  */
static void
test_bytes_after_response (void)
{
  struct endless_peer peer;
  proxy_test_start (0);
  for (guint drips = 0; drips < 2; drips++)
    {
      endless_peer_start (&peer,
                          "HTTP/1.1 404 Not Found\r\n"
                          "Content-Length: 0\r\n\r\n",
                          STR_LIT ("HTTP/1.1 200 OK\r\n\r\n"), drips);
      struct platform_adapter *adapter = open_adapter (peer.address);
      for (guint i = 1; i <= 2; i++)
        {
          adapter_read_config (adapter, on_config, NULL);
          CU_ASSERT_TRUE (
              endless_wait (&observed.results, i, TIMEOUT_MS + MARGIN_MS));
          CU_ASSERT_EQUAL (observed.code, ERR_NOT_FOUND);
          CU_ASSERT_TRUE (endless_wait (&peer.closed, i, MARGIN_MS));
        }
      CU_ASSERT_EQUAL (peer.connections, 2);
      CU_ASSERT_TRUE (endless_peer_sent (&peer) < 2 * ENDLESS_KERNEL_MAX);
      adapter_free (adapter);
      endless_peer_stop (&peer);
    }
  proxy_test_stop ();
}

static CU_TestInfo tests[] = {
  { "a body without end", test_body },
  { "a body byte by byte", test_body_slow },
  { "a head without end", test_head },
  { "a head byte by byte", test_head_slow },
  { "interim responses without end", test_interim },
  { "an answer after interim responses", test_answer_after_interim },
  { "bytes after a response", test_bytes_after_response },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "a store that sends without end", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
