/* A configuration grows by thousands of routes of one host. While it was
   decoded, an instance served nothing for seconds, and then it was read whole
   from the store again and again.  */
#include "harness/fleet_clients.h"
#include "harness/scripted_server.h"
#include "unit/unit.h"

#include <string.h>

#define ROUTES 5200 /* the store takes 1 MB */
#define SERVERS 2
#define REQUESTS_PER_S 200
#define SETTLED_MS 3000
/* The users' bounds: from the acknowledgement of a version until it is in
   force, and for the response to a request. */
#define APPLY_MS 3000
#define TARGET_MS 500
#define UNCHANGED_MS 6000
/* Whole reads of an unchanged configuration in that time. */
#define WHOLE_READS_MAX 1
#define BEFORE "/again/x"

struct testbed
{
  struct proxy_fleet *fleet;
  struct fleet_clients clients;
  struct scripted_server *servers[SERVERS];
  guint seen;        /* requests of which the latency is known */
  gint64 slowest_us; /* latency of a request */
};

static void
on_received (void *ctx, struct scripted_connection *connection,
             const struct http_head *head)
{
  struct testbed *testbed = ctx;
  struct fleet_request *request = fleet_clients_find (&testbed->clients, head);
  const struct scripted_response response
      = { .request = request, .id = request->id };
  request->executions++;
  scripted_server_respond (connection, &response);
}

static void
append_part (gconstpointer request, guint part, GString *out)
{
  (void)request;
  (void)part;
  g_string_append (out, "ok");
}

static guint
delay_ms (void *ctx, gconstpointer request)
{
  (void)ctx;
  (void)request;
  return 0;
}

static void
on_ended (void *ctx, gpointer request, gboolean complete)
{
  (void)ctx;
  (void)request;
  (void)complete;
}

static void
on_unexpected (void *ctx, const char *what)
{
  (void)ctx;
  g_printerr ("%s\n", what);
  CU_FAIL ("not a proper request");
}

static struct fleet_request *
send_to (struct testbed *testbed, const char *path, int instance)
{
  const struct fleet_message message = { .path = path,
                                         .key = "key-steady",
                                         .timeout_ms = APPLY_MS,
                                         .instance = instance };
  return fleet_clients_send (&testbed->clients, &message);
}

/* Sends requests to all instances in turn for MS, and records their latency. */
static void
run_traffic (struct testbed *testbed, guint ms)
{
  gint64 start = g_get_monotonic_time ();
  guint sent = 0;
  gint64 us;
  GPtrArray *requests = testbed->clients.requests;
  while ((us = g_get_monotonic_time () - start) < (gint64)ms * 1000
         || testbed->seen < requests->len)
    {
      for (; us < (gint64)ms * 1000 && sent < us * REQUESTS_PER_S / 1000000;
           sent++)
        send_to (testbed, BEFORE, (int)(sent % PROXY_FLEET_INSTANCES));
      if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (200);
      for (guint i = testbed->seen; i < requests->len; i++)
        {
          const struct fleet_request *request = requests->pdata[i];
          gint64 age = g_get_monotonic_time () - request->sent_at;
          if (request->status == 0 && request->tcp_conn != NULL
              && age < APPLY_MS * 1000)
            break;
          testbed->slowest_us = MAX (testbed->slowest_us, age);
          testbed->seen++;
        }
    }
}

/* Appends route NUMBER, made of the text ROUTE.  */
static void
append_route (GString *config, const char *route, guint number)
{
  g_autofree char *name = g_strdup_printf ("r%u", number);
  GString *text = g_string_new (route);
  g_string_replace (text, "@NAME@", name, 0);
  g_string_replace (text, "@HOST@", "a.example", 0);
  g_string_replace (text, "@PREFIX@", name, 0);
  g_string_replace (text, "@TIMEOUT_MS@", "3000", 0);
  g_string_append_printf (config, ",%s", g_strchomp (text->str));
  g_string_free (text, TRUE);
}

/* Writes version VERSION of the configuration, with N routes more.  */
static void
write_config (struct testbed *testbed, guint version, guint n)
{
  g_autofree char *text = NULL;
  g_assert (g_file_get_contents (
      JW_SOURCE_DIR "/platform/test_crash_config.json", &text, NULL, NULL));
  g_autofree char *route = NULL;
  g_assert (g_file_get_contents (JW_SOURCE_DIR "/platform/test_route.json",
                                 &route, NULL, NULL));
  GString *config = g_string_new (text);
  g_autofree char *number = g_strdup_printf ("\"version\": %u", version);
  g_string_replace (config, "\"version\": 1", number, 1);
  g_string_truncate (config, (gsize)(strrchr (config->str, ']') - config->str));
  for (guint i = 0; i < n; i++)
    append_route (config, route, i);
  g_string_append (config, "]}");
  struct harness_request request
      = { .port = testbed->fleet->store->port, .path = "/objects/config/main" };
  struct harness_response *before = harness_request (&request);
  const char *headers[]
      = { "If-Match", g_hash_table_lookup (before->headers, "etag"), NULL };
  request.method = "PUT";
  request.headers = headers;
  request.body = config->str;
  struct harness_response *response = harness_request (&request);
  CU_ASSERT_EQUAL (response->status, 200);
  harness_response_free (response);
  harness_response_free (before);
  g_string_free (config, TRUE);
}

static struct testbed *
testbed_new (void)
{
  static const struct scripted_server_script script
      = { .received = on_received,
          .append_part = append_part,
          .delay_ms = delay_ms,
          .ended = on_ended,
          .unexpected = on_unexpected };
  struct testbed *testbed = g_new0 (struct testbed, 1);
  testbed->fleet
      = proxy_fleet_new (JW_SOURCE_DIR "/platform/test_crash_config.json");
  fleet_clients_init (&testbed->clients, testbed->fleet, BEFORE, APPLY_MS, 0,
                      42);
  for (guint i = 0; i < SERVERS; i++)
    {
      testbed->servers[i]
          = scripted_server_new (&script, testbed, server_hints_new (i, 3000));
      proxy_fleet_list_server (testbed->fleet, i, 0,
                               scripted_server_port (testbed->servers[i]));
    }
  proxy_fleet_launch (testbed->fleet);
  proxy_fleet_run_for (SETTLED_MS);
  return testbed;
}

static void
testbed_free (struct testbed *testbed, guint failures)
{
  if (CU_get_number_of_failures () > failures)
    harness_explain (testbed->fleet->harness);
  for (guint i = 0; i < SERVERS; i++)
    scripted_server_free (testbed->servers[i]);
  fleet_clients_clear (&testbed->clients);
  proxy_fleet_free (testbed->fleet);
  g_free (testbed);
}

/* Checks that all instances have route NUMBER.  */
static void
check_route (struct testbed *testbed, guint number)
{
  guint first = testbed->clients.requests->len;
  g_autofree char *path = g_strdup_printf ("/r%u/x", number);
  for (int i = 0; i < PROXY_FLEET_INSTANCES; i++)
    send_to (testbed, path, i);
  run_traffic (testbed, 100);
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    CU_ASSERT_TRUE (
        fleet_request_is_served (testbed->clients.requests->pdata[first + i]));
}

/* All instances answer during the change, and have the last route in time.  */
static void
test_growth (void)
{
  struct testbed *testbed = testbed_new ();
  guint failures = CU_get_number_of_failures ();
  run_traffic (testbed, 500);
  testbed->slowest_us = 0;
  write_config (testbed, 2, ROUTES);
  run_traffic (testbed, APPLY_MS);
  g_print ("slowest of %u responses: %" G_GINT64_FORMAT " ms\n",
           testbed->clients.requests->len, testbed->slowest_us / 1000);
  CU_ASSERT_TRUE (testbed->slowest_us <= TARGET_MS * 1000);
  check_route (testbed, ROUTES - 1);
  testbed_free (testbed, failures);
}

/* That a large configuration has not changed is confirmed without reading it
   whole, and a change is still seen.  */
static void
test_unchanged (void)
{
  struct testbed *testbed = testbed_new ();
  guint failures = CU_get_number_of_failures ();
  write_config (testbed, 2, ROUTES);
  proxy_fleet_run_for (2 * APPLY_MS);
  int port = testbed->fleet->store->port;
  gint64 before = harness_get_int (port, "/counts", "get");
  proxy_fleet_run_for (UNCHANGED_MS);
  gint64 reads = harness_get_int (port, "/counts", "get") - before;
  g_print ("%" G_GINT64_FORMAT " whole reads\n", reads);
  CU_ASSERT_TRUE (reads <= WHOLE_READS_MAX);
  write_config (testbed, 3, ROUTES + 1);
  run_traffic (testbed, APPLY_MS);
  check_route (testbed, ROUTES);
  testbed_free (testbed, failures);
}

static CU_TestInfo tests[] = {
  { "thousands of routes more", test_growth },
  { "thousands of routes that do not change", test_unchanged },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "large_config", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
