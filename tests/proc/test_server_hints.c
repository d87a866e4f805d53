/* Backend servers that say in their responses that they are leaving, or that
   they want nothing for a while. An instance that missed it, or believed the
   store instead, would send requests to a server that is about to end, or add
   to the load of one that is too busy to reject them. What reaches the servers
   is checked by server_hints_arrived, for each instance by itself.  */
#include "proc/proxy_testbed.h"

#define DRAIN_MS 800
#define CLIENTS 12
#define ROUND_MS 120 /* between two requests of a client */
#define RESPOND_MS 16
#define TRAFFIC_MS 2600
#define HINT_AT_MS 300 /* from the first request to the first hint */
/* Responses, and what an instance sends after it has read one, may take so
   long.  */
#define LATENCY_US (300 * 1000)
#define MAX_ATTEMPTS 2 /* of the routes */
/* An instance leaves a server alone for up to a fifth longer than it asks. */
#define SPREAD_PART 5

static gint64 hint_at; /* monotonic microseconds */

static void
start (void)
{
  const struct proxy_site_options options
      = { .config = proxy_testbed_config,
          .key_limit_ms = PROXY_TESTBED_KEY_LIMIT_MS,
          .drain_ms = DRAIN_MS,
          .one_service = TRUE };
  site = proxy_site_new (&options);
}

/* Schedules requests to all instances for TRAFFIC_MS, so many that each server
   gets some from each instance within the first HINT_AT_MS.  */
static void
schedule_traffic (void)
{
  static const struct proxy_site_call calls[] = {
    { .path = "/open/x", .respond_ms = RESPOND_MS },
    { .path = "/openfeed/x",
      .response = PROXY_SITE_STREAM,
      .respond_ms = RESPOND_MS },
    { .path = "/open/x", .response = PROXY_SITE_LONG, .respond_ms = RESPOND_MS }
  };
  gint64 from = g_get_monotonic_time () + LATENCY_US;
  hint_at = from + HINT_AT_MS * 1000;
  for (guint i = 0; i < CLIENTS * site->n_instances; i++)
    {
      struct proxy_site_client *client
          = proxy_site_open (&site->instances[i % site->n_instances]);
      guint offset = i * ROUND_MS / (CLIENTS * site->n_instances);
      for (guint ms = offset; ms < TRAFFIC_MS; ms += ROUND_MS)
        proxy_site_send_at (client,
                            &calls[(i + ms / ROUND_MS) % G_N_ELEMENTS (calls)],
                            from + (gint64)ms * 1000);
    }
}

static struct server_hints *
hints_of (guint server)
{
  return scripted_server_hints (site->servers[server]);
}

static void
begin_leave (gpointer data)
{
  for (guint i = 0; i < GPOINTER_TO_UINT (data); i++)
    server_hints_set_leaving (hints_of (i), TRUE);
}

static void
schedule_leave (guint n_servers)
{
  proxy_site_at (site, hint_at, begin_leave, GUINT_TO_POINTER (n_servers),
                 NULL);
}

static struct server_hints_counts
count_hints (void)
{
  struct server_hints_counts counts = { 0 };
  for (guint i = 0; i < PROXY_SITE_SERVERS; i++)
    server_hints_add_counts (hints_of (i), &counts);
  g_print ("Retry-After sent %u, requests meanwhile %u; leaving passed on %u, "
           "requests after that %u\n",
           counts.backoffs, counts.in_backoff, counts.passed_on,
           counts.after_leave);
  return counts;
}

/* Checks that all requests were served, except those that MAX_ATTEMPTS servers
   have rejected. Prints the first one that was not, and keeps the logs.  */
static void
check_served (void)
{
  guint n = 0;
  for (guint i = 0; i < site->requests->len; i++)
    {
      const struct proxy_site_request *request = site->requests->pdata[i];
      gboolean served
          = request->status == 200
            || (request->status == 503 && request->arrivals == MAX_ATTEMPTS);
      CU_ASSERT_TRUE (served);
      if (!served && n++ == 0)
        {
          g_print ("%s: status %u, %u servers reached: %s\n", request->id,
                   request->status, request->arrivals, request->body->str);
          harness_explain (site->harness);
        }
    }
}

/* Returns how many requests that were sent between FROM and TO have STATUS, and
   puts the others into OTHERS.  */
static guint
count_status (gint64 from, gint64 to, guint status, guint *others)
{
  guint n = 0;
  *others = 0;
  for (guint i = 0; i < site->requests->len; i++)
    {
      const struct proxy_site_request *request = site->requests->pdata[i];
      if (request->begun_at <= from || request->begun_at >= to)
        continue;
      if (request->status == status)
        n++;
      else
        ++*others;
    }
  return n;
}

/* Checks that at least one request was sent between FROM and TO, and that all
   of them have STATUS.  */
static void
check_status (gint64 from, gint64 to, guint status)
{
  guint others;
  CU_ASSERT_TRUE (count_status (from, to, status, &others) > 0);
  CU_ASSERT_EQUAL (others, 0);
}

static void
stop_site (void)
{
  proxy_site_free (site);
  site = NULL;
}

static void
reload (gpointer data)
{
  struct proxy_site_config config = proxy_testbed_config;
  config.other_key = 1;
  CU_ASSERT_TRUE (proxy_site_put (data, &config));
  proxy_site_signal (data, SIGHUP);
}

/* N_SERVERS of four say that they are leaving, one or some. From then on the
   others get all requests of both instances, although the list says that all of
   them are ready.  */
static void
check_some_leave (guint n_servers)
{
  start ();
  struct proxy_site_instance *instance = proxy_testbed_add ();
  proxy_testbed_add ();
  schedule_traffic ();
  schedule_leave (n_servers);
  proxy_site_at (site, hint_at + DRAIN_MS * 1000 / 2, reload, instance, NULL);
  struct proxy_site_counts counts = proxy_testbed_finish ();
  CU_ASSERT_EQUAL (counts.served, counts.sent);
  struct server_hints_counts hints = count_hints ();
  CU_ASSERT_TRUE (hints.passed_on >= 2 * n_servers);
  CU_ASSERT_EQUAL (hints.after_leave, 0);
  stop_site ();
}

static void
test_one_leaves (void)
{
  check_some_leave (1);
}

static void
test_some_leave (void)
{
  check_some_leave (3);
}

/* All servers say that they are leaving. Within the drain time requests are
   served by them all the same, after it they are rejected.  */
static void
check_all_leave (gboolean cut_off)
{
  start ();
  struct proxy_site_instance *instance = proxy_testbed_add ();
  if (cut_off)
    harness_signal (instance->store, SIGSTOP);
  schedule_traffic ();
  schedule_leave (PROXY_SITE_SERVERS);
  struct proxy_site_counts counts = proxy_testbed_finish ();
  struct server_hints_counts hints = count_hints ();
  gint64 drained_at = hint_at + DRAIN_MS * 1000;
  check_status (0, drained_at - LATENCY_US / 10, 200);
  check_status (drained_at + 2 * LATENCY_US, G_MAXINT64, 503);
  CU_ASSERT_TRUE (hints.after_leave > 0);
  CU_ASSERT_EQUAL (counts.served + counts.rejected, counts.sent);
  if (cut_off)
    harness_signal (instance->store, SIGCONT);
  stop_site ();
}

static void
test_all_leave (void)
{
  check_all_leave (FALSE);
}

static void
test_all_leave_cut_off (void)
{
  check_all_leave (TRUE);
}

struct backoff
{
  guint servers;
  guint ms;
};

static void
begin_backoff (gpointer data)
{
  const struct backoff *backoff = data;
  for (guint i = 0; i < backoff->servers; i++)
    server_hints_set_backoff (hints_of (i), backoff->ms);
}

static void
end_backoff (gpointer data)
{
  (void)data;
  for (guint i = 0; i < PROXY_SITE_SERVERS; i++)
    server_hints_set_backoff (hints_of (i), 0);
}

/* Servers ask for BACKOFF in all their responses, for LATENCY_US.  */
static struct server_hints_counts
run_backoff (const struct backoff *backoff)
{
  start ();
  proxy_testbed_add ();
  proxy_testbed_add ();
  schedule_traffic ();
  proxy_site_at (site, hint_at, begin_backoff, (gpointer)backoff, NULL);
  proxy_site_at (site, hint_at + LATENCY_US, end_backoff, NULL, NULL);
  proxy_testbed_finish ();
  struct server_hints_counts hints = count_hints ();
  CU_ASSERT_TRUE (hints.backoffs >= 2 * backoff->servers);
  return hints;
}

/* One or some of the servers ask for it, for times from shorter to much longer
   than the traffic. The others serve all requests.  */
static void
test_some_back_off (void)
{
  static const struct backoff backoffs[]
      = { { 1, 200 }, { 1, 20000 }, { 3, 1250 }, { 2, 1000 } };
  for (guint i = 0; i < G_N_ELEMENTS (backoffs); i++)
    {
      run_backoff (&backoffs[i]);
      check_served ();
      stop_site ();
    }
}

/* All servers ask for it. Requests are rejected meanwhile, and served again
   afterwards.  */
static void
test_all_back_off (void)
{
  static const struct backoff backoff = { PROXY_SITE_SERVERS, 1200 };
  run_backoff (&backoff);
  gint64 us = (gint64)backoff.ms * 1000;
  check_status (0, hint_at - LATENCY_US / 2, 200);
  check_status (hint_at + LATENCY_US / 2, hint_at + us, 503);
  check_status (hint_at + us + us / SPREAD_PART + 2 * LATENCY_US, G_MAXINT64,
                200);
  stop_site ();
}

static CU_TestInfo tests[] = {
  { "one server leaves", test_one_leaves },
  { "some servers leave", test_some_leave },
  { "all servers leave", test_all_leave },
  { "all servers leave an instance that is cut off", test_all_leave_cut_off },
  { "one server or some back off", test_some_back_off },
  { "all servers back off", test_all_back_off },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "server_hints", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
