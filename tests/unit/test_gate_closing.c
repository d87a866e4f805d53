/* Connections of clients that the reverse proxy closes. A request that has
   arrived by then must be served. What is kept for clients that do not read is
   bounded.  */
#include "unit/proxy_fixture.h"

#define IDLE_CLOSE_MS 2400 /* 1.2 times the time-out of the configuration */
#define BLOCKED_BEFORE_MS 200
#define DRAIN_MS 2700  /* idle connections are closed before, after SIGTERM */
#define PROMPT_MS 1000 /* less than the wait for the FIN of the client */
#define STALLED_CLIENTS 10
#define OUTPUT_MAX (16 * 1024 * 1024)       /* bytes kept for all of them */
#define KERNEL_BUFFER_MAX (4 * 1024 * 1024) /* bytes that the kernel takes */

static gboolean
send_request (gpointer data)
{
  proxy_test_send_request (data, "/open/x", "");
  return G_SOURCE_REMOVE;
}

/* The main loop finds the idle timer due and nothing to read, and the request
   arrives before the timer is dispatched, as it does while the process is
   paused. The request is sent by a timer that is dispatched in the same
   iteration, before the idle timer, which is younger.  */
static void
test_request_at_idle_timeout (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  struct proxy_test_client *client = proxy_test_open_client ();
  g_timeout_add (IDLE_CLOSE_MS, send_request, client);
  proxy_test_send_request (client, "/open/x", "");
  struct proxy_test_response response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, 200);
  proxy_test_response_clear (&response);
  proxy_test_run_for (IDLE_CLOSE_MS - BLOCKED_BEFORE_MS);
  g_usleep (2 * BLOCKED_BEFORE_MS * CLK_MS);
  response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, 200);
  CU_ASSERT_TRUE (response.complete);
  proxy_test_response_clear (&response);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 2);
  proxy_test_close_client (client);
  proxy_test_stop ();
}

/* Sends a request on a connection that the proxy has closed, unnoticed by the
   client so far. The client must see the end of the connection at once, without
   a byte and without a reset, which could destroy a response before it; and no
   server gets the request.  */
static void
check_crossing_request (struct proxy_test_client *client)
{
  guint before = proxy_test_n_requests ();
  proxy_test_send_request (client, "/open/x", "");
  proxy_test_run_for (50);
  tcp_conn_pause (client->tcp_conn, FALSE);
  CU_ASSERT_TRUE (
      proxy_test_wait_until (proxy_test_has_ended, client, PROMPT_MS));
  CU_ASSERT_FALSE (client->reset);
  CU_ASSERT_EQUAL (client->in->len, 0);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), before);
  proxy_test_close_client (client);
}

/* Returns a client with one answered request, which notices nothing until its
   connection is resumed.  */
static struct proxy_test_client *
open_kept_client (void)
{
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, "/open/x", "");
  struct proxy_test_response response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, 200);
  CU_ASSERT_FALSE (response.closes);
  proxy_test_response_clear (&response);
  tcp_conn_pause (client->tcp_conn, TRUE);
  return client;
}

static void
test_request_crosses_idle_close (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  struct proxy_test_client *client = open_kept_client ();
  proxy_test_run_for (IDLE_CLOSE_MS + 100);
  check_crossing_request (client);
  proxy_test_stop ();
}

static void
test_request_crosses_shutdown (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  proxy_shut_down (proxy_test.reverse_proxy, proxy_test_now (NULL));
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_run_for (50);
  tcp_conn_pause (client->tcp_conn, TRUE);
  proxy_test_run_for (DRAIN_MS);
  check_crossing_request (client);
  proxy_test_stop ();
}

/* A request that follows the last response of a connection is discarded; the
   response still arrives.  */
static void
test_request_after_last_response (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_run_for (50);
  tcp_conn_pause (client->tcp_conn, TRUE);
  proxy_test_send_request (client, "/open/x", "Connection: close\r\n");
  proxy_test_run_for (50);
  proxy_test_send_request (client, "/open/x", "");
  proxy_test_run_for (50);
  tcp_conn_pause (client->tcp_conn, FALSE);
  struct proxy_test_response response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, 200);
  CU_ASSERT_TRUE (response.complete);
  CU_ASSERT_TRUE (response.closes);
  proxy_test_response_clear (&response);
  check_crossing_request (client);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 1);
  proxy_test_stop ();
}

static gboolean
all_answered (void *ctx)
{
  const guint *n = ctx;
  return proxy_test.counter_set.v[COUNTER_ANSWERED] == *n;
}

/* Responses for clients that do not read stay in the proxy's memory after the
   close of their connections. Beyond a total of OUTPUT_MAX the oldest are
   dropped, the others still arrive.  */
static void
test_output_of_closed_connections_is_bounded (void)
{
  struct proxy_test_client *clients[STALLED_CLIENTS];
  guint complete = 0;
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  proxy_test_script_all (proxy_test_respond_long);
  for (guint i = 0; i < STALLED_CLIENTS; i++)
    {
      guint n = i + 1;
      clients[i] = proxy_test_open_stalled_client ();
      proxy_test_send_request (clients[i], "/open/x", "Connection: close\r\n");
      CU_ASSERT_TRUE_FATAL (
          proxy_test_wait_until (all_answered, &n, PROXY_TEST_WAIT_MS));
    }
  for (guint i = 0; i < STALLED_CLIENTS; i++)
    {
      tcp_conn_pause (clients[i]->tcp_conn, FALSE);
      CU_ASSERT_TRUE (proxy_test_wait_until (proxy_test_has_ended, clients[i],
                                             PROXY_TEST_WAIT_MS));
      struct proxy_test_response response
          = proxy_test_parse_response (clients[i]);
      CU_ASSERT_TRUE (response.complete || complete == 0);
      complete += response.complete;
      proxy_test_response_clear (&response);
      proxy_test_close_client (clients[i]);
    }
  CU_ASSERT_TRUE (complete >= OUTPUT_MAX / (PROXY_TEST_LONG_BYTES + 1024));
  CU_ASSERT_TRUE (complete
                  <= OUTPUT_MAX / (PROXY_TEST_LONG_BYTES - KERNEL_BUFFER_MAX));
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_UNSENT],
                   STALLED_CLIENTS - complete);
  proxy_test_stop ();
}

static CU_TestInfo tests[] = {
  { "a request at the idle time-out", test_request_at_idle_timeout },
  { "a request that crosses the idle close", test_request_crosses_idle_close },
  { "a request that crosses a shutdown", test_request_crosses_shutdown },
  { "a request after the last response", test_request_after_last_response },
  { "the output of closed connections is bounded",
    test_output_of_closed_connections_is_bounded },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gate closing", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
