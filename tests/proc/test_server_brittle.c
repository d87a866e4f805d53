/* Servers that say that they are brittle: one that has to turn more than so
   many requests away in a second, of all instances together, falls over, and
   its load makes others fall. Seconds after the first word their room shrinks.
 */
#include "harness/fleet_clients.h"
#include "harness/scripted_server.h"
#include "unit/unit.h"

#include <string.h>

#define SERVERS 12
#define TIMEOUT_MS 3000 /* of the requests */
#define RESPOND_MIN_MS 30
#define RESPOND_MAX_MS 80
#define EVENTS 6
#define ROOM 16      /* requests in progress at a sound server */
#define SMALL_ROOM 6 /* at one that is brittle */
#define REJECTIONS 3 /* a second that a brittle server bears */
#define DOWN_MS 3000 /* after a fall */
#define WARM_UP_MS 4000
#define NOTICE_MS 4000 /* from the first word until the room shrinks */
#define BRITTLE_MS 12000
#define AFTER_MS 5000
#define FALLS_MAX (2 + SERVERS / 10)

struct server
{
  guint number;
  struct scripted_server *scripted;
  guint in_progress;
  gint64 rejected_at[REJECTIONS + 1]; /* the last ones, in turn */
  guint n_rejected;
  guint falls;
};

struct scenario
{
  const char *name;
  guint requests_per_s;
  double served_min; /* share, while the servers are brittle */
};

static struct
{
  struct proxy_fleet *fleet;
  struct fleet_clients clients;
  struct server servers[SERVERS];
  gboolean brittle;
  guint room;
  guint rejected; /* while brittle, by all servers */
  guint in_progress_most;
} testbed;

static gboolean
on_back (gpointer data)
{
  struct server *server = data;
  scripted_server_set_down (server->scripted, FALSE);
  return G_SOURCE_REMOVE;
}

static gboolean
on_fall (gpointer data)
{
  struct server *server = data;
  server->falls++;
  server->n_rejected = 0;
  memset (server->rejected_at, 0, sizeof server->rejected_at);
  scripted_server_set_down (server->scripted, TRUE);
  g_timeout_add (DOWN_MS, on_back, server);
  return G_SOURCE_REMOVE;
}

/* Turns a request away. A brittle server falls if it has done so too often in
   the last second.  */
static void
reject (struct server *server, struct scripted_connection *connection,
        const struct fleet_request *request)
{
  gint64 now = g_get_monotonic_time ();
  scripted_server_reject (connection, request->id, NULL);
  if (!testbed.brittle)
    return;
  testbed.rejected++;
  guint slot = server->n_rejected++ % G_N_ELEMENTS (server->rejected_at);
  server->rejected_at[slot] = now;
  gint64 oldest = server->rejected_at[server->n_rejected
                                      % G_N_ELEMENTS (server->rejected_at)];
  if (oldest != 0 && now - oldest <= G_USEC_PER_SEC)
    g_idle_add (on_fall, server);
}

static void
on_received (void *ctx, struct scripted_connection *connection,
             const struct http_head *head)
{
  struct server *server = ctx;
  struct fleet_request *request = fleet_clients_find (&testbed.clients, head);
  if (server->in_progress >= testbed.room)
    {
      reject (server, connection, request);
      return;
    }
  server->in_progress++;
  testbed.in_progress_most
      = MAX (testbed.in_progress_most, server->in_progress);
  request->executions++;
  const struct scripted_response response = { .request = request,
                                              .id = request->id,
                                              .stream = TRUE,
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
  g_string_append_printf (out, "id: %u\ndata: %s\n\n", part, request->id);
}

static void
on_ended (void *ctx, gpointer request, gboolean complete)
{
  struct server *server = ctx;
  (void)request;
  (void)complete;
  server->in_progress--;
}

static void
on_unexpected (void *ctx, const char *what)
{
  (void)ctx;
  g_printerr ("%s\n", what);
  CU_FAIL ("not a proper request");
}

static void
set_brittle (gboolean brittle)
{
  testbed.brittle = brittle;
  for (guint i = 0; i < SERVERS; i++)
    server_hints_set_brittle (
        scripted_server_hints (testbed.servers[i].scripted),
        brittle ? (int)REJECTIONS : -1);
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
  testbed.room = ROOM;
  testbed.fleet
      = proxy_fleet_new (JW_SOURCE_DIR "/platform/test_crash_config.json");
  testbed.fleet->slots = ROOM;
  fleet_clients_init (&testbed.clients, testbed.fleet, "/feed2/x", TIMEOUT_MS,
                      scenario->requests_per_s, 38);
  for (guint i = 0; i < SERVERS; i++)
    {
      struct server *server = &testbed.servers[i];
      server->number = i;
      server->scripted = scripted_server_new (&script, server,
                                              server_hints_new (i, TIMEOUT_MS));
      proxy_fleet_list_server (testbed.fleet, i, 0,
                               scripted_server_port (server->scripted));
    }
  proxy_fleet_launch (testbed.fleet);
  proxy_fleet_run_for (2500); /* until all know all */
}

static void
close_testbed (void)
{
  proxy_fleet_run_for (DOWN_MS);
  for (guint i = 0; i < SERVERS; i++)
    scripted_server_free (testbed.servers[i].scripted);
  fleet_clients_clear (&testbed.clients);
  proxy_fleet_free (testbed.fleet);
}

/* Returns the share of the requests sent between FROM and TO that were served.
   A 503 for a request that has run breaks a promise.  */
static double
share_served (gint64 from, gint64 to)
{
  guint n = 0;
  guint served = 0;
  for (guint i = 0; i < testbed.clients.requests->len; i++)
    {
      const struct fleet_request *request = testbed.clients.requests->pdata[i];
      if (request->sent_at < from || request->sent_at >= to)
        continue;
      n++;
      served += fleet_request_is_served (request);
      CU_ASSERT_TRUE (request->status != 503 || request->executions == 0);
    }
  return n > 0 ? (double)served / n : 0;
}

static void
check_scenario (const struct scenario *scenario)
{
  guint failures = CU_get_number_of_failures ();
  open_testbed (scenario);
  fleet_clients_run (&testbed.clients, WARM_UP_MS);
  guint most_before = testbed.in_progress_most;
  gint64 begin = g_get_monotonic_time ();
  set_brittle (TRUE);
  fleet_clients_run (&testbed.clients, NOTICE_MS);
  testbed.room = SMALL_ROOM;
  fleet_clients_run (&testbed.clients, BRITTLE_MS);
  gint64 end = g_get_monotonic_time ();
  set_brittle (FALSE);
  testbed.room = ROOM;
  fleet_clients_run (&testbed.clients, AFTER_MS);
  gint64 stop = g_get_monotonic_time ();
  proxy_fleet_run_for (TIMEOUT_MS);
  guint falls = 0;
  for (guint i = 0; i < SERVERS; i++)
    falls += testbed.servers[i].falls;
  double brittle = share_served (begin, end);
  double after = share_served (end + G_USEC_PER_SEC, stop);
  g_print ("%s: %u falls, %u rejections, served %.3f, after %.3f; at most %u "
           "in progress at a server before; noticed %u times\n",
           scenario->name, falls, testbed.rejected, brittle, after, most_before,
           proxy_fleet_count_logged (testbed.fleet, "server.brittle"));
  CU_ASSERT_TRUE (falls <= FALLS_MAX);
  CU_ASSERT_TRUE (brittle >= scenario->served_min);
  CU_ASSERT_TRUE (after >= 0.99);
  if (CU_get_number_of_failures () > failures)
    harness_explain (testbed.fleet->harness);
  close_testbed ();
}

/* Half of the small room suffices: all that fits is served.  */
static void
test_half (void)
{
  static const struct scenario scenario = { .name = "half of the room",
                                            .requests_per_s = 100,
                                            .served_min = 0.95 };
  check_scenario (&scenario);
}

static void
test_most (void)
{
  static const struct scenario scenario = { .name = "most of the room",
                                            .requests_per_s = 150,
                                            .served_min = 0.85 };
  check_scenario (&scenario);
}

/* More than fits: the room is used, and the rest is rejected by the instances.
 */
static void
test_overload (void)
{
  static const struct scenario scenario
      = { .name = "twice the room", .requests_per_s = 400, .served_min = 0.4 };
  check_scenario (&scenario);
}

static CU_TestInfo tests[] = {
  { "half of the room is used", test_half },
  { "most of the room is used", test_most },
  { "twice the room is wanted", test_overload },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "server_brittle", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
