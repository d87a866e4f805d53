/* Requests to an instance that has just started and has no configuration yet.
 */
#include "unit/proxy_fixture.h"

#define CONFIG_AFTER_MS 150
#define WAIT_MAX_MS 800      /* a request waits no longer than about 600 ms */
#define PAST_STARTUP_MS 1600 /* then no request waits */
#define AT_ONCE_MS 100

static struct proxy_test_client *
send_on_new_connection (const char *path)
{
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, path, "");
  proxy_test_run_for (CONFIG_AFTER_MS);
  CU_ASSERT_EQUAL (client->in->len, 0);
  return client;
}

static void
check_status (struct proxy_test_client *client, guint status)
{
  struct proxy_test_response response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, status);
  proxy_test_response_clear (&response);
  proxy_test_close_client (client);
}

/* Requests that arrive before the configuration are handled by it.  */
static void
test_served_after_wait (void)
{
  proxy_test_start (1);
  struct proxy_test_client *known = send_on_new_connection ("/once/x");
  struct proxy_test_client *unknown = send_on_new_connection ("/nowhere/x");
  proxy_test_set_table (1, PROXY_TEST_KEY);
  check_status (known, 200);
  check_status (unknown, 404);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 1);
  proxy_test_stop ();
}

static void
test_waits_for_servers (void)
{
  proxy_test_start (0);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  struct proxy_test_client *client = send_on_new_connection ("/once/x");
  proxy_test_list_servers (0, 0, 0);
  check_status (client, 200);
  proxy_test_stop ();
}

static gint64
ms_until_rejected (void)
{
  gint64 sent_at = g_get_monotonic_time ();
  struct proxy_test_response response = proxy_test_request_once ("/once/x", "");
  CU_ASSERT_EQUAL (response.status, 503);
  CU_ASSERT_PTR_NOT_NULL (response.retry_after);
  proxy_test_response_clear (&response);
  return (g_get_monotonic_time () - sent_at) / CLK_MS;
}

/* If none comes, the wait is short, and there is none later on.  */
static void
test_wait_is_limited (void)
{
  proxy_test_start (1);
  CU_ASSERT_TRUE (ms_until_rejected () < WAIT_MAX_MS);
  proxy_test_run_for (PAST_STARTUP_MS);
  CU_ASSERT_TRUE (ms_until_rejected () < AT_ONCE_MS);
  proxy_test_stop ();
}

/* An instance that has had a configuration rejects at once when it is no longer
   confirmed.  */
static void
test_no_wait_once_configured (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  proxy_test_run_for (50);
  proxy_test.skew = 3 * CLK_S;
  CU_ASSERT_TRUE (ms_until_rejected () < AT_ONCE_MS);
  proxy_test_stop ();
}

static void
test_client_leaves (void)
{
  proxy_test_start (1);
  struct proxy_test_client *client = send_on_new_connection ("/once/x");
  proxy_test_close_client (client);
  proxy_test_run_for (50);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  proxy_test_run_for (100);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 0);
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_CLIENT_DISCONNECTED], 1);
  proxy_test_stop ();
}

static CU_TestInfo tests[] = {
  { "served after the wait", test_served_after_wait },
  { "the list of servers comes last", test_waits_for_servers },
  { "the wait is limited", test_wait_is_limited },
  { "no wait once configured", test_no_wait_once_configured },
  { "a client leaves meanwhile", test_client_leaves },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "config wait", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
