/* Requests of which no byte has reached a server when their time is up: the
   attempt is still connecting. They have not run, and only as "not run" may
   their clients send them again.  */
#include "unit/proxy_fixture.h"

#include <unistd.h>

#define BACKLOG_FILL 8 /* connections; more than the backlog takes */
#define SHUTDOWN_LIMIT_US (900 * CLK_MS)
/* Between the request and the end at the shutdown limit the connection must not
   time out, which takes 400 ms. */
#define BEFORE_LIMIT_MS                                                        \
  370 /* less than half of the limit, so that it is sent */

static int listener;
static int fillers[BACKLOG_FILL];

static struct sockaddr_in
loopback (guint16 port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                               .sin_port = port };
}

/* Starts a proxy whose only server has a full backlog, so that the kernel drops
   what connects to it.  */
static void
start_with_full_backlog (void)
{
  struct sockaddr_in at = loopback (0);
  socklen_t n = sizeof at;
  proxy_test_start (0);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  CU_ASSERT_EQUAL_FATAL (listen (listener, 0), 0);
  CU_ASSERT_EQUAL (getsockname (listener, (struct sockaddr *)&at, &n), 0);
  for (guint i = 0; i < BACKLOG_FILL; i++)
    {
      fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      (void)connect (fillers[i], (struct sockaddr *)&at, sizeof at);
    }
  g_snprintf (proxy_test.servers[0].address,
              sizeof proxy_test.servers[0].address, "127.0.0.1:%u",
              ntohs (at.sin_port));
  proxy_test_list_servers (0, 0, 0);
}

static void
stop (void)
{
  proxy_test_stop ();
  for (guint i = 0; i < BACKLOG_FILL; i++)
    close (fillers[i]);
  close (listener);
}

static void
check_not_run (struct proxy_test_client *client)
{
  struct proxy_test_response response = proxy_test_wait_response (client);
  CU_ASSERT_EQUAL (response.status, 503);
  CU_ASSERT_PTR_NOT_NULL (response.retry_after);
  CU_ASSERT_PTR_NOT_NULL (strstr (response.body->str, "\"ran\":\"no\""));
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_ATTEMPTS], 1);
  proxy_test_response_clear (&response);
  proxy_test_close_client (client);
}

static void
test_deadline_while_connecting (void)
{
  start_with_full_backlog ();
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, "/once/x", "X-Deadline-Ms: 200\r\n");
  check_not_run (client);
  stop ();
}

static void
test_shutdown_limit_while_connecting (void)
{
  proxy_test_shutdown_limit_us = SHUTDOWN_LIMIT_US;
  start_with_full_backlog ();
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_shut_down (proxy_test.reverse_proxy, proxy_test_now (NULL));
  proxy_test_run_for (BEFORE_LIMIT_MS);
  proxy_test_send_request (client, "/once/x", "");
  check_not_run (client);
  stop ();
}

static CU_TestInfo tests[] = {
  { "the deadline while an attempt connects", test_deadline_while_connecting },
  { "the shutdown limit while an attempt connects",
    test_shutdown_limit_while_connecting },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gate unsent", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
