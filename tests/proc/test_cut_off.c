/* Some instances cannot reach any backend server, while clients, the store and
   the other instances reach them. Clients of these instances must be served
   like the others. Each instance reaches the servers through fault proxies of
   its own.  */
#include "harness/fleet_clients.h"
#include "harness/scripted_server.h"
#include "soak/fault_proxy.h"
#include "unit/unit.h"

#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 12
#define REQUESTS_PER_S 60
#define TIMEOUT_MS 3000 /* of the requests */
#define RESPOND_MIN_MS 20
#define RESPOND_MAX_MS 80
#define EVENTS 4
#define WARM_UP_MS 3000
#define CUT_MS 12000
#define AFTER_MS 6000
#define NOTICE_US (4 * G_USEC_PER_SEC) /* after the cut begins or ends */
#define SHARE_MIN 0.95 /* served of the clients of a cut instance */
#define FILL_SOCKETS 8

enum cut_mode
{
  CUT_HANG,   /* connections are silent, new ones are not accepted */
  CUT_RESET,  /* connections are reset, new ones are refused */
  CUT_LIVE_ON /* new connections are refused */
};

struct scenario
{
  const char *name;
  const char *path; /* of the route */
  enum cut_mode mode;
  guint n_cut;  /* instances */
  guint stride; /* numbers of these instances: multiples of it */
  guint kill;   /* number of another instance, killed and started again during
                   the cut; 0: none */
};

static struct
{
  struct proxy_fleet *fleet;
  struct fleet_clients clients;
  struct scenario scenario;
  struct scripted_server *servers[SERVERS];
  struct fault_proxy *proxies[PROXY_FLEET_INSTANCES][SERVERS];
  guint hanging_port; /* never accepts */
  guint closed_port;
  int sockets[FILL_SOCKETS];
} testbed;

static void
on_received (void *ctx, struct scripted_connection *connection,
             const struct http_head *head)
{
  (void)ctx;
  struct fleet_request *request = fleet_clients_find (&testbed.clients, head);
  request->executions++;
  const struct scripted_response response
      = { .request = request,
          .id = request->id,
          .stream = g_str_has_prefix (testbed.scenario.path, "/feed"),
          .first_event = 1,
          .last_event = EVENTS };
  scripted_server_respond (connection, &response);
}

static guint
delay_ms (void *ctx, gconstpointer request)
{
  (void)ctx;
  (void)request;
  return (guint)g_rand_int_range (testbed.clients.rand, RESPOND_MIN_MS,
                                  RESPOND_MAX_MS);
}

static void
append_part (gconstpointer data, guint part, GString *out)
{
  const struct fleet_request *request = data;
  if (g_str_has_prefix (testbed.scenario.path, "/feed"))
    g_string_append_printf (out, "id: %u\ndata: %s\n\n", part, request->id);
  else
    g_string_append (out, request->id);
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

static gboolean
is_cut (guint instance)
{
  return instance % testbed.scenario.stride == 0
         && instance / testbed.scenario.stride < testbed.scenario.n_cut;
}

/* Lets connections of INSTANCE to the servers go to TO_PORT; 0: to its fault
   proxies.  */
static void
redirect (guint instance, guint to_port)
{
  GString *text = g_string_new (NULL);
  char *path = g_strdup_printf ("%s/redirects-%u",
                                harness_dir (testbed.fleet->harness), instance);
  for (guint s = 0; s < SERVERS; s++)
    g_string_append_printf (
        text, "%u %u\n", scripted_server_port (testbed.servers[s]),
        to_port ? to_port : fault_proxy_port (testbed.proxies[instance][s]));
  g_assert (g_file_set_contents (path, text->str, -1, NULL));
  g_string_free (text, TRUE);
  g_free (path);
}

static void
begin_cut (void)
{
  enum cut_mode mode = testbed.scenario.mode;
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    {
      if (!is_cut (i))
        continue;
      redirect (i,
                mode == CUT_HANG ? testbed.hanging_port : testbed.closed_port);
      for (guint s = 0; s < SERVERS; s++)
        if (mode == CUT_HANG)
          fault_proxy_set_mode (testbed.proxies[i][s], FAULT_PROXY_SILENT);
        else if (mode == CUT_RESET)
          fault_proxy_reset (testbed.proxies[i][s]);
    }
}

static void
end_cut (void)
{
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    for (guint s = 0; s < SERVERS && is_cut (i); s++)
      {
        fault_proxy_set_mode (testbed.proxies[i][s], FAULT_PROXY_NONE);
        redirect (i, 0);
      }
}

/* Opens a port whose queue of connections is full, and finds one that is
   closed.  */
static void
open_ports (void)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t size = sizeof at;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (guint k = 0; k < FILL_SOCKETS; k++)
    testbed.sockets[k] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  /* The port of a socket that does not listen refuses connections. */
  for (guint k = 0; k < 2; k++)
    {
      at.sin_port = 0;
      g_assert (bind (testbed.sockets[k], (struct sockaddr *)&at, sizeof at)
                == 0);
      g_assert (getsockname (testbed.sockets[k], (struct sockaddr *)&at, &size)
                == 0);
      if (k == 0)
        testbed.closed_port = ntohs (at.sin_port);
    }
  testbed.hanging_port = ntohs (at.sin_port);
  g_assert (listen (testbed.sockets[1], 0) == 0);
  for (guint k = 2; k < FILL_SOCKETS; k++)
    if (connect (testbed.sockets[k], (struct sockaddr *)&at, sizeof at) < 0)
      continue; /* in progress */
}

static void
open_testbed (const struct scenario *scenario)
{
  static const struct scripted_server_script script
      = { .received = on_received,
          .append_part = append_part,
          .delay_ms = delay_ms,
          .ended = on_ended,
          .unexpected = on_unexpected };
  memset (&testbed, 0, sizeof testbed);
  testbed.fleet
      = proxy_fleet_new (JW_SOURCE_DIR "/platform/test_crash_config.json");
  testbed.scenario = *scenario;
  fleet_clients_init (&testbed.clients, testbed.fleet, scenario->path,
                      TIMEOUT_MS, REQUESTS_PER_S, 38);
  open_ports ();
  for (guint s = 0; s < SERVERS; s++)
    {
      testbed.servers[s] = scripted_server_new (
          &script, NULL, server_hints_new (s, TIMEOUT_MS));
      guint port = scripted_server_port (testbed.servers[s]);
      char *target = g_strdup_printf ("127.0.0.1:%u", port);
      for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
        testbed.proxies[i][s] = fault_proxy_new (target);
      g_free (target);
      proxy_fleet_list_server (testbed.fleet, s, 0, port);
    }
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    redirect (i, 0);
  g_setenv ("LD_PRELOAD", JW_BUILD_DIR "/tests/harness/libredirect_connect.so",
            TRUE);
  proxy_fleet_launch (testbed.fleet);
  g_unsetenv ("LD_PRELOAD");
  proxy_fleet_run_for (2500); /* until all know all */
}

static void
close_testbed (void)
{
  for (guint s = 0; s < SERVERS; s++)
    {
      for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
        fault_proxy_free (testbed.proxies[i][s]);
      scripted_server_free (testbed.servers[s]);
    }
  for (guint k = 0; k < FILL_SOCKETS; k++)
    close (testbed.sockets[k]);
  fleet_clients_clear (&testbed.clients);
  proxy_fleet_free (testbed.fleet);
}

/* Returns the share of the requests sent to instances that are CUT, or to the
   others, between FROM and TO that were served.  */
static double
share_served (gboolean cut, gint64 from, gint64 to)
{
  guint n = 0;
  guint served = 0;
  for (guint i = 0; i < testbed.clients.requests->len; i++)
    {
      const struct fleet_request *request = testbed.clients.requests->pdata[i];
      if (request->sent_at < from || request->sent_at >= to
          || is_cut (request->instance) != cut)
        continue;
      n++;
      served += fleet_request_is_served (request);
    }
  return n > 0 ? (double)served / n : 0;
}

/* No request may run twice unless it may be repeated, and none that has run is
   rejected as not run.  */
static void
check_promises (void)
{
  gboolean once = g_str_has_prefix (testbed.scenario.path, "/once");
  for (guint i = 0; i < testbed.clients.requests->len; i++)
    {
      const struct fleet_request *request = testbed.clients.requests->pdata[i];
      CU_ASSERT_TRUE (!once || request->executions <= 1);
      CU_ASSERT_TRUE (!once || request->status != 503
                      || request->executions == 0);
    }
}

static void
check_scenario (const struct scenario *scenario)
{
  guint failures = CU_get_number_of_failures ();
  open_testbed (scenario);
  fleet_clients_run (&testbed.clients, WARM_UP_MS);
  gint64 begin = g_get_monotonic_time ();
  begin_cut ();
  fleet_clients_run (&testbed.clients, CUT_MS / 2);
  if (scenario->kill > 0)
    {
      testbed.fleet->n_killed = scenario->kill;
      proxy_fleet_kill_instance (testbed.fleet);
    }
  fleet_clients_run (&testbed.clients, CUT_MS / 2);
  gint64 end = g_get_monotonic_time ();
  end_cut ();
  fleet_clients_run (&testbed.clients, AFTER_MS);
  gint64 stop = g_get_monotonic_time ();
  proxy_fleet_run_for (TIMEOUT_MS);
  double before = share_served (TRUE, 0, begin);
  double first = share_served (TRUE, begin, begin + NOTICE_US);
  double cut = share_served (TRUE, begin + NOTICE_US, end);
  double others = share_served (FALSE, begin, end);
  double after = share_served (TRUE, end + NOTICE_US, stop);
  guint held = proxy_fleet_count_logged (testbed.fleet, "part.held");
  g_print ("%s: served at cut instances before %.3f, in the first 4 s %.3f, "
           "then %.3f, after %.3f; at the others %.3f; passed on %u, cut off "
           "noticed %u times\n",
           scenario->name, before, first, cut, after, others,
           proxy_fleet_count_logged (testbed.fleet, "request.relayed"),
           proxy_fleet_count_logged (testbed.fleet, "servers.cut_off"));
  CU_ASSERT_TRUE (cut >= SHARE_MIN * others);
  CU_ASSERT_TRUE (others >= SHARE_MIN || scenario->kill > 0);
  CU_ASSERT_TRUE (after >= SHARE_MIN);
  CU_ASSERT_EQUAL (held, 0);
  check_promises ();
  if (CU_get_number_of_failures () > failures)
    harness_explain (testbed.fleet->harness);
  close_testbed ();
}

static void
test_hanging (void)
{
  static const struct scenario scenario = { .name = "a domain hangs",
                                            .path = "/feed2/x",
                                            .mode = CUT_HANG,
                                            .n_cut = 3,
                                            .stride = 3 };
  check_scenario (&scenario);
}

static void
test_reset (void)
{
  static const struct scenario scenario = { .name = "three of seven are reset",
                                            .path = "/once/x",
                                            .mode = CUT_RESET,
                                            .n_cut = 3,
                                            .stride = 2 };
  check_scenario (&scenario);
}

static void
test_refused (void)
{
  static const struct scenario scenario
      = { .name = "three of seven are refused, plain service",
          .path = "/again/x",
          .mode = CUT_RESET,
          .n_cut = 3,
          .stride = 2 };
  check_scenario (&scenario);
}

static void
test_most (void)
{
  static const struct scenario scenario = { .name = "six of seven hang",
                                            .path = "/again/x",
                                            .mode = CUT_HANG,
                                            .n_cut = 6,
                                            .stride = 1 };
  check_scenario (&scenario);
}

static void
test_live_on (void)
{
  static const struct scenario scenario = { .name = "connections live on",
                                            .path = "/feed1/x",
                                            .mode = CUT_LIVE_ON,
                                            .n_cut = 3,
                                            .stride = 3 };
  check_scenario (&scenario);
}

static void
test_killed (void)
{
  static const struct scenario scenario
      = { .name = "a domain hangs, another instance is killed",
          .path = "/again/x",
          .mode = CUT_HANG,
          .n_cut = 3,
          .stride = 3,
          .kill = 1 };
  check_scenario (&scenario);
}

static CU_TestInfo tests[] = {
  { "a domain hangs", test_hanging },
  { "three of seven are reset", test_reset },
  { "three of seven are refused", test_refused },
  { "six of seven hang", test_most },
  { "connections live on", test_live_on },
  { "an instance is killed during a cut", test_killed },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "cut_off", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
