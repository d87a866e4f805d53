/* Backend servers that answer 503 with a Retry-After.  */
#include "unit/proxy_fixture.h"

#define BACKOFF_MS 1000
/* After this time every server with a backoff of BACKOFF_MS may be used. */
#define PAST_BACKOFF_MS 1250
#define ROUNDING_S 0.1 /* the time between a rejection and its response */

static void
ask_for_backoff (struct proxy_test_link *link,
                 struct proxy_test_request *request)
{
  proxy_test_respond (link, request, "503 Service Unavailable",
                      "X-Not-Run: 1\r\nRetry-After: 1.0\r\n", "full");
}

static guint
count_at (guint server)
{
  guint n = 0;
  for (guint i = 0; i < proxy_test_n_requests (); i++)
    n += proxy_test_request_at (i)->server == &proxy_test.servers[server];
  return n;
}

static void
start (guint n_servers)
{
  proxy_test_start (n_servers);
  proxy_test_set_table (1, PROXY_TEST_KEY);
}

/* A server that asks for it gets nothing for that time; requests go to another
   one, also the one that it rejected.  */
static void
test_one_server (void)
{
  start (2);
  proxy_test.servers[0].script = ask_for_backoff;
  gint64 end = g_get_monotonic_time () + (BACKOFF_MS - 200) * CLK_MS;
  guint sent = 0;
  while (g_get_monotonic_time () < end)
    {
      CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 200);
      sent++;
      proxy_test_run_for (20);
    }
  CU_ASSERT_TRUE (sent > 10);
  CU_ASSERT_EQUAL (count_at (0), 1);
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_BACKOFFS], 1);
  proxy_test.servers[0].script = proxy_test_respond_ok;
  proxy_test_run_for (PAST_BACKOFF_MS - BACKOFF_MS + 250);
  for (guint i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 200);
  CU_ASSERT_TRUE (count_at (0) > 1);
  proxy_test_stop ();
}

/* If all servers have asked for it, requests are refused at once, with the time
   at which one of them may be used.  */
static void
test_all_servers (void)
{
  start (2);
  proxy_test_script_all (ask_for_backoff);
  CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 503);
  gint64 asked_at = g_get_monotonic_time ();
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 2);
  for (guint i = 0; i < 6; i++)
    {
      gint64 sent_at = g_get_monotonic_time ();
      struct proxy_test_response response
          = proxy_test_request_once ("/once/x", "");
      CU_ASSERT_EQUAL (response.status, 503);
      CU_ASSERT_TRUE (g_get_monotonic_time () - sent_at < 100 * CLK_MS);
      CU_ASSERT_PTR_NOT_NULL_FATAL (response.retry_after);
      double retry_s = g_ascii_strtod (response.retry_after, NULL);
      double left_s
          = (double)(BACKOFF_MS * CLK_MS - (sent_at - asked_at)) / 1e6;
      CU_ASSERT_TRUE (retry_s > left_s - ROUNDING_S && retry_s < 2.0);
      proxy_test_response_clear (&response);
      proxy_test_run_for (100);
    }
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 2);
  proxy_test_stop ();
}

/* The response to the request that was rejected itself has that time, too.  */
static void
test_rejected_request (void)
{
  start (1);
  proxy_test_script_all (ask_for_backoff);
  struct proxy_test_response response = proxy_test_request_once ("/once/x", "");
  CU_ASSERT_EQUAL (response.status, 503);
  CU_ASSERT_PTR_NOT_NULL_FATAL (response.retry_after);
  CU_ASSERT_TRUE (g_ascii_strtod (response.retry_after, NULL) > 0.9);
  proxy_test_response_clear (&response);
  proxy_test_stop ();
}

/* After the time one request tries the server. The others wait for it and
   follow if it is answered.  */
static void
test_one_trial (void)
{
  struct proxy_test_client *clients[5];
  start (1);
  proxy_test_script_all (ask_for_backoff);
  CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 503);
  proxy_test_script_all (proxy_test_never_respond);
  proxy_test_run_for (PAST_BACKOFF_MS);
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      clients[i] = proxy_test_open_client ();
      proxy_test_send_request (clients[i], "/again/x", "");
    }
  proxy_test_run_for (100);
  CU_ASSERT_EQUAL_FATAL (proxy_test_n_requests (), 2);
  proxy_test_script_all (proxy_test_respond_ok);
  struct proxy_test_link *link = g_ptr_array_index (
      proxy_test.servers[0].links, proxy_test.servers[0].links->len - 1);
  proxy_test_respond_ok (link, proxy_test_request_at (1));
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      struct proxy_test_response response
          = proxy_test_wait_response (clients[i]);
      CU_ASSERT_EQUAL (response.status, 200);
      proxy_test_response_clear (&response);
      proxy_test_close_client (clients[i]);
    }
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 1 + G_N_ELEMENTS (clients));
  proxy_test_stop ();
}

static const char *retry_after_fields;

static void
reject_with_fields (struct proxy_test_link *link,
                    struct proxy_test_request *request)
{
  char *fields = g_strdup_printf ("X-Not-Run: 1\r\n%s", retry_after_fields);
  proxy_test_respond (link, request, "503 Service Unavailable", fields, "full");
  g_free (fields);
}

/* Values that are no number of seconds are ignored; very long times are
   limited.  */
static void
test_values (void)
{
  static const struct
  {
    const char *fields;
    gint64 least_s; /* 0: ignored */
    gint64 most_s;
  } cases[] = {
    { "", 0, 0 },
    { "Retry-After: \r\n", 0, 0 },
    { "Retry-After: -1\r\n", 0, 0 },
    { "Retry-After: +1\r\n", 0, 0 },
    { "Retry-After: 1e3\r\n", 0, 0 },
    { "Retry-After: 0x10\r\n", 0, 0 },
    { "Retry-After: 1,5\r\n", 0, 0 },
    { "Retry-After: 1.5.1\r\n", 0, 0 },
    { "Retry-After: soon\r\n", 0, 0 },
    { "Retry-After: nan\r\n", 0, 0 },
    { "Retry-After: 1\r\nRetry-After: 2\r\n", 0, 0 },
    { "Retry-After: 99999999999999999999999999999999999999\r\n", 0, 0 },
    { "Retry-After: Fri, 04 Dec 2026 08:00:00 GMT\r\n", 0, 0 },
    { "Retry-After: 0\r\n", 0, 0 },
    { "Retry-After: 20\r\n", 20, 24 },
    { "Retry-After:   7.25 \r\n", 7, 9 },
    { "Retry-After: 999999\r\n", 300, 360 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      start (1);
      retry_after_fields = cases[i].fields;
      proxy_test_script_all (reject_with_fields);
      CU_ASSERT_EQUAL (proxy_test_request_status ("/once/x", ""), 503);
      CU_ASSERT_EQUAL (proxy_test_n_requests (), 1);
      const struct registry_server *server
          = registry_find (proxy_test.registry, proxy_test.servers[0].id);
      gint64 left = MAX (server->backoff.until - proxy_test_now (NULL), 0);
      CU_ASSERT_TRUE (left >= (cases[i].least_s * CLK_S) - 100 * CLK_MS);
      CU_ASSERT_TRUE (left <= cases[i].most_s * CLK_S);
      proxy_test_stop ();
    }
}

static void
respond_ok_with_retry_after (struct proxy_test_link *link,
                             struct proxy_test_request *request)
{
  proxy_test_respond (link, request, "200 OK",
                      PROXY_TEST_SIGNED "Retry-After: 20\r\n", "done");
}

/* Only a 503 asks for it.  */
static void
test_other_status (void)
{
  start (1);
  proxy_test_script_all (respond_ok_with_retry_after);
  for (guint i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 200);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 3);
  proxy_test_stop ();
}

static guint
n_queued (void)
{
  return scheduler_n_waiting (proxy_test.scheduler);
}

/* Requests that wait for the server are refused at once when it asks for it,
   not when their time is up.  */
static void
test_queued_requests (void)
{
  enum
  {
    CLIENTS = 24
  };
  struct proxy_test_client *clients[CLIENTS];
  start (1);
  proxy_test_script_all (proxy_test_never_respond);
  for (guint i = 0; i < CLIENTS; i++)
    clients[i] = proxy_test_open_client ();
  proxy_test_run_for (50);
  for (guint i = 0; i < CLIENTS; i++)
    proxy_test_send_request (clients[i], "/once/x", "");
  proxy_test_run_for (50);
  guint queued = n_queued ();
  guint refused = 0;
  CU_ASSERT_TRUE (queued > 0);
  struct proxy_test_link *link
      = g_ptr_array_index (proxy_test.servers[0].links, 0);
  ask_for_backoff (link, link->request);
  proxy_test_run_for (100);
  CU_ASSERT_EQUAL (n_queued (), 0);
  for (guint i = 0; i < CLIENTS; i++)
    {
      struct proxy_test_response response
          = proxy_test_parse_response (clients[i]);
      if (response.complete)
        {
          CU_ASSERT_EQUAL (response.status, 503);
          CU_ASSERT_PTR_NOT_NULL_FATAL (response.retry_after);
          CU_ASSERT_TRUE (g_ascii_strtod (response.retry_after, NULL)
                          > 1.0 - ROUNDING_S);
          refused++;
        }
      proxy_test_response_clear (&response);
      proxy_test_close_client (clients[i]);
    }
  CU_ASSERT_EQUAL (refused, queued + 1);
  proxy_test_stop ();
}

static CU_TestInfo tests[] = {
  { "one server asks to be sent nothing", test_one_server },
  { "all servers ask to be sent nothing", test_all_servers },
  { "the rejected request", test_rejected_request },
  { "one trial after the backoff", test_one_trial },
  { "values of Retry-After", test_values },
  { "a Retry-After with another status", test_other_status },
  { "queued requests", test_queued_requests },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gate backoff", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
