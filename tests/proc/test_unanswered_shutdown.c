/* Requests in progress at an instance that gets SIGTERM: queued, at servers or
   half relayed. Each gets the complete response of its server, or at the end of
   the grace time a response that says what is known of it. The process ends
   with status 0 within the grace time, also if it is busy.  */
#include "proc/proxy_testbed.h"

#define SLOW_CLIENTS 150
#define FEW_SLOTS 8 /* of a server; it is full with twice as many requests */
#define SLOW_SEND_BEFORE_MS 1000
#define BUSY_CLIENTS 300
#define NEVER_MS 10000 /* a server's time beyond the grace time */

static void
send_signal_now (gpointer data)
{
  proxy_site_signal (data, SIGTERM);
}

/* Requests that wait in the queue, are at servers or half relayed when SIGTERM
   comes, or arrive before the connections are closed, with servers that take
   0.1 to 10 s.  */
static void
test_slow_servers (void)
{
  proxy_testbed_start (&proxy_testbed_config, FEW_SLOTS, TRUE);
  struct proxy_site_instance *instance = proxy_testbed_add ();
  gint64 stop_at = g_get_monotonic_time () + (gint64)SLOW_SEND_BEFORE_MS * 1000;
  guint span_ms = SLOW_SEND_BEFORE_MS + PROXY_TESTBED_LATEST_SEND_MS;
  proxy_site_at (site, stop_at, send_signal_now, instance, NULL);
  for (guint i = 0; i < SLOW_CLIENTS; i++)
    {
      gint64 at = stop_at - (gint64)SLOW_SEND_BEFORE_MS * 1000
                  + (gint64)i * span_ms * 1000 / SLOW_CLIENTS;
      /* Three of four within the grace time, the others beyond it. */
      guint ms = i % 4 == 3 ? 6000 + i * 53 % 4000 : 100 + i * 29 % 1200;
      struct proxy_site_call call = proxy_testbed_call (i, ms);
      proxy_site_send_at (proxy_site_open (instance), &call, at);
    }
  CU_ASSERT_TRUE (proxy_site_settle (site, 2 * instance->grace_ms));
  proxy_testbed_check_stopped (instance);
  struct proxy_site_counts counts = proxy_testbed_finish ();
  CU_ASSERT_TRUE (counts.cut > 0);
  CU_ASSERT_TRUE (counts.rejected > 0); /* those still queued at the end */
  proxy_site_free (site);
}

/* Sends another request on a new connection, as long as some are accepted.  */
static void
reconnect (struct proxy_site_client *client, struct proxy_site_request *request)
{
  struct proxy_site_instance *instance = client->instance;
  gint64 until
      = instance->terminated_at + (gint64)PROXY_TESTBED_LATEST_SEND_MS * 1000;
  (void)request;
  if (g_get_monotonic_time () >= until)
    return;
  struct proxy_site_client *next = proxy_site_open (instance);
  struct proxy_site_call call
      = proxy_testbed_call (next->number, 20 + next->number % 200);
  next->answered = reconnect;
  proxy_site_send (next, &call);
}

/* All clients send a request in the moment of the signal, half of them just
   before it; a third of the servers' responses never comes, and clients with a
   response come back at once.  */
static void
test_busy_at_sigterm (void)
{
  proxy_testbed_start (&proxy_testbed_config, 0, TRUE);
  struct proxy_site_instance *instance = proxy_testbed_add ();
  const struct proxy_site_call first = { .path = "/open/x", .respond_ms = 5 };
  for (guint i = 0; i < BUSY_CLIENTS; i++)
    proxy_site_send (proxy_site_open (instance), &first);
  CU_ASSERT_TRUE (proxy_site_settle (site, PROXY_TESTBED_SETTLE_MS));
  for (guint i = 0; i < BUSY_CLIENTS; i++)
    {
      struct proxy_site_client *client = site->clients->pdata[i];
      guint ms = i % 3 == 0 ? NEVER_MS : 50 + i * 31 % 1500;
      struct proxy_site_call call = proxy_testbed_call (i, ms);
      client->answered = reconnect;
      proxy_site_send (client, &call);
      if (i == BUSY_CLIENTS / 2)
        proxy_site_signal (instance, SIGTERM);
    }
  proxy_testbed_check_stopped (instance);
  struct proxy_site_counts counts = proxy_testbed_finish ();
  CU_ASSERT_TRUE (counts.cut > 0);
  CU_ASSERT_TRUE (counts.sent > 2 * BUSY_CLIENTS);
  proxy_site_free (site);
}

static CU_TestInfo tests[] = {
  { "slow servers", test_slow_servers },
  { "a busy instance", test_busy_at_sigterm },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "unanswered shutdown", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
