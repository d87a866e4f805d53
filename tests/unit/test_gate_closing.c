/* Connections of clients that the reverse proxy closes. A request that has
   arrived by then must be served.  */
#include "unit/proxy_fixture.h"

#define IDLE_CLOSE_MS 2400 /* 1.2 times the time-out of the configuration */
#define BLOCKED_BEFORE_MS 200

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

static CU_TestInfo tests[] = {
  { "a request at the idle time-out", test_request_at_idle_timeout },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gate closing", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
