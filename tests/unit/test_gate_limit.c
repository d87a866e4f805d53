/* Backend servers that name a limit in their responses, well or badly formed.
   What can't be read must not stop requests, nor end a limit.  */
#include "unit/proxy_fixture.h"

static const char *fields; /* of the responses */

static void
respond (struct proxy_test_link *link, struct proxy_test_request *request)
{
  proxy_test_respond (link, request, "200 OK", fields, "text");
}

static double
named (void)
{
  guint n;
  return registry_servers (proxy_test.registry, &n)[0]->limit.report.per_s;
}

static void
start (void)
{
  proxy_test_start (1);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  proxy_test.servers[0].script = respond;
}

/* Sends a request whose response has FIELDS.  */
static void
get (const char *with_fields)
{
  fields = with_fields;
  CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 200);
}

static void
test_valid (void)
{
  start ();
  get (PROXY_TEST_SIGNED "X-Limit: 100000.5\r\n");
  CU_ASSERT_EQUAL (named (), 100000.5);
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_LIMITS_NAMED], 1);
  proxy_test_stop ();
}

static void
test_invalid (void)
{
  static const char *const invalid[] = { "X-Limit: \r\n",
                                         "X-Limit: 0\r\n",
                                         "X-Limit: 0.0000001\r\n",
                                         "X-Limit: -1\r\n",
                                         "X-Limit: 1e12\r\n",
                                         "X-Limit: 1000000000000\r\n",
                                         "X-Limit: nan\r\n",
                                         "X-Limit: inf\r\n",
                                         "X-Limit: 1 1\r\n",
                                         "X-Limit: 1.2.3\r\n",
                                         "X-Limit: 1\r\nX-Limit: 1\r\n" };
  start ();
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      char *text = g_strconcat (PROXY_TEST_SIGNED, invalid[i], NULL);
      get (text);
      CU_ASSERT_EQUAL (named (), 0);
      CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_LIMITS_INVALID], i + 1);
      g_free (text);
    }
  proxy_test_stop ();
}

/* Lets the instance be the only one of its deployment.  */
static void
set_self (void)
{
  static const struct limit_member self = { .hash = 1, .domain_key = 1 };
  const struct placement_self placement_self
      = { .all_instances = 1,
          .domain_instances = 1,
          .limit_members = { .members = &self, .n = 1, .self = 1 } };
  scheduler_set_self (proxy_test.scheduler, &placement_self,
                      g_get_real_time () - clk_now (&proxy_test.clk));
}

static const struct registry_server *
server (void)
{
  guint n;
  return registry_servers (proxy_test.registry, &n)[0];
}

static void
test_brittle (void)
{
  static const char *const invalid[]
      = { "X-Brittle: \r\n", "X-Brittle: -1\r\n", "X-Brittle: nan\r\n",
          "X-Brittle: 1e3\r\n", "X-Brittle: 1\r\nX-Brittle: 1\r\n" };
  start ();
  set_self ();
  get (PROXY_TEST_SIGNED "X-Brittle: 0\r\n");
  CU_ASSERT_EQUAL (server ()->brittle.report.per_s, 1);
  get (PROXY_TEST_SIGNED "X-Brittle: 3\r\n");
  CU_ASSERT_EQUAL (server ()->brittle.report.per_s, 4);
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      char *text = g_strconcat (PROXY_TEST_SIGNED, invalid[i], NULL);
      get (text);
      CU_ASSERT_EQUAL (server ()->brittle.report.per_s, 4);
      CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_LIMITS_INVALID], i + 1);
      g_free (text);
    }
  get (PROXY_TEST_SIGNED);
  CU_ASSERT_EQUAL (server ()->brittle.report.per_s, 0);
  CU_ASSERT_EQUAL (server ()->brittle_share.room, 0);
  proxy_test_stop ();
}

static void
reject (struct proxy_test_link *link, struct proxy_test_request *request)
{
  proxy_test_respond (link, request, "503 Service Unavailable",
                      "X-Not-Run: 1\r\nX-Brittle: 3\r\n", "");
}

/* A brittle server that has turned a request away gets none for a while.  */
static void
test_brittle_full (void)
{
  start ();
  set_self ();
  get (PROXY_TEST_SIGNED "X-Brittle: 3\r\n");
  proxy_test.servers[0].script = reject;
  CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 503);
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_BRITTLE_FULL], 1);
  guint n = proxy_test_n_requests ();
  gint64 full_at = server ()->brittle_share.full_at;
  proxy_test.servers[0].script = respond;
  proxy_test_request_status ("/again/x", "X-Deadline-Ms: 300\r\n");
  CU_ASSERT_EQUAL (proxy_test_n_requests (), n);
  proxy_test_run_for (1000);
  CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 200);
  CU_ASSERT_EQUAL (server ()->brittle_share.full_at, full_at);
  proxy_test_stop ();
}

#define CLIENTS 16
#define SLOTS 8 /* of each server */

/* Among brittle servers one that has come back under another id gets no more
   than a brittle one, although it has not responded yet: it would fall over
   again before its first response has said so.  */
static void
test_brittle_comes_back (void)
{
  struct proxy_test_client *clients[CLIENTS];
  guint n = 0;
  proxy_test_start (2);
  proxy_test_set_table (1, PROXY_TEST_KEY);
  proxy_test_list_servers (0, 0, 0);
  proxy_test.servers[0].script = respond;
  set_self ();
  get (PROXY_TEST_SIGNED "X-Brittle: 3\r\n");
  proxy_test_list_servers (0, 1, 0);
  proxy_test_script_all (proxy_test_never_respond);
  guint first = proxy_test_n_requests ();
  for (guint i = 0; i < CLIENTS; i++)
    {
      clients[i] = proxy_test_open_client ();
      proxy_test_send_request (clients[i], "/again/x",
                               "X-Deadline-Ms: 1000\r\n");
    }
  proxy_test_run_for (200);
  for (guint i = first; i < proxy_test_n_requests (); i++)
    n += g_strcmp0 (
             proxy_test_field (proxy_test_request_at (i), "x-expect-server"),
             "s-1")
         == 0;
  CU_ASSERT_TRUE (n > 0 && n <= SLOTS / 2);
  for (guint i = 0; i < CLIENTS; i++)
    proxy_test_close_client (clients[i]);
  proxy_test_stop ();
}

/* A server that takes one request in 64 s: the others go elsewhere, and without
   another server they are rejected at once, with a time to return.  */
static void
test_low_limit (void)
{
  start ();
  set_self ();
  get (PROXY_TEST_SIGNED "X-Limit: 0.01\r\n");
  gint64 before = g_get_monotonic_time ();
  CU_ASSERT_EQUAL (proxy_test_request_status ("/again/x", ""), 503);
  CU_ASSERT_TRUE (g_get_monotonic_time () - before < CLK_S / 4);
  CU_ASSERT_EQUAL (proxy_test_n_requests (), 1);
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_RETRIES], 0);
  CU_ASSERT_EQUAL (proxy_test.counter_set.v[COUNTER_EJECTIONS], 0);
  proxy_test_stop ();
}

static CU_TestInfo tests[] = {
  { "a limit", test_valid },
  { "not a limit", test_invalid },
  { "a limit that is used up", test_low_limit },
  { "a brittle server", test_brittle },
  { "a brittle server turns a request away", test_brittle_full },
  { "a brittle server comes back", test_brittle_comes_back },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gate_limit", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
