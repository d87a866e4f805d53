/* Clients that have left while the process was paused: their requests and the
   ends of their connections are read together afterwards. No server may get
   such a request.  */
#include "unit/proxy_fixture.h"

#include <unistd.h>

#define CLIENTS 20
#define SETTLE_MS 300

static const char request_text[]
    = "POST /open/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: left%u\r\n"
      "Content-Length: 4\r\n\r\nbody";

/* Connects, sends request NUMBER and leaves, without running the proxy.  */
static void
send_and_leave (guint number)
{
  int fd = proxy_test_connect_socket (FALSE);
  char *text = g_strdup_printf (request_text, number);
  CU_ASSERT_EQUAL (write (fd, text, strlen (text)), (gssize)strlen (text));
  close (fd);
  g_free (text);
}

static void
test_new_connections (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  for (guint i = 0; i < CLIENTS; i++)
    send_and_leave (i);
  proxy_test_run_for (SETTLE_MS);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 0);
  CU_ASSERT_EQUAL (proxy_test_request_status ("/open/x", ""), 200);
  proxy_test_stop ();
}

static void
test_kept_connection (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, "/open/x", "");
  struct proxy_test_response response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, 200);
  proxy_test_response_clear (&response);
  proxy_test_send_request (client, "/open/x", "");
  proxy_test_close_client (client);
  proxy_test_run_for (SETTLE_MS);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 1);
  proxy_test_stop ();
}

static void
test_sound_clients_are_served (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  send_and_leave (0);
  struct proxy_test_client *first = proxy_test_open_client ();
  struct proxy_test_client *second = proxy_test_open_client ();
  proxy_test_send_request (first, "/open/x", "");
  proxy_test_send_request (second, "/open/x", "");
  proxy_test_run_for (SETTLE_MS);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 2);
  proxy_test_close_client (first);
  proxy_test_close_client (second);
  proxy_test_stop ();
}

static CU_TestInfo tests[] = {
  { "requests on new connections", test_new_connections },
  { "a request on a kept connection", test_kept_connection },
  { "sound clients beside them", test_sound_clients_are_served },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gate left behind", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
