/* Servers of two software versions serve side by side while streams break off:
   no stream may hold events of both, also after all instances have lost power,
   and most of those that clients resume must go on.  */
#include "harness/fleet_clients.h"
#include "harness/scripted_server.h"
#include "proc/power_losses.h"
#include "unit/unit.h"

#include <string.h>

#define SERVERS 8
#define EVENTS 24
#define EVENT_MS 60
#define STREAMS_PER_S 30
#define TIMEOUT_MS 3000 /* of the route */
#define TRIES_MAX 4     /* of a client for one stream */
#define RETURN_MS 100   /* from the end of a response to the client's return */
#define SETTLED_MS 3000 /* until all instances know all */

/* When the store is away, from the begin of the traffic on. */
#define STORE_AWAY_MS 2500
#define STORE_BACK_MS 6500

/* How often clients leave for an instance that is frozen, the last time so long
   before its end. */
#define FROZEN_LEAVES 3
#define FROZEN_LEAVE_MS 400

/* The users' rule: of so many resumed streams, such a share goes on, relative
   to that of the streams that begin. */
#define RESUMED_COUNTED 12
#define RESUMED_MIN 0.5

/* What varies between the tests.  */
struct scenario
{
  guint old;          /* servers of v1 that stay; the others are replaced */
  guint joins_ms;     /* from the begin of the traffic to the first server of v2
                       */
  guint joins_gap_ms; /* between two of them */
  guint run_ms;
  guint crash_ms; /* the connections of a server are reset so often; 0: never */
  guint kill_ms;  /* an instance is killed and restarted so often; 0: never */
  gboolean store_away; /* from STORE_AWAY_MS to STORE_BACK_MS */
  /* An instance stands still in this span, and clients of streams in progress
     leave and come back to it. 0: none does. */
  guint freeze_ms;
  guint thaw_ms;
  struct power_plan losses;
};

/* A stream over all requests of its client.  */
struct stream
{
  char first_id[32];             /* of the one that brought its first event */
  struct fleet_request *request; /* the present one */
  guint last_event;
  guint tries;
  gint64 began_at;  /* monotonic microseconds */
  gint64 return_at; /* 0: a request is in progress */
  gboolean is_over;
  gboolean has[SERVERS + 1]; /* events of the version */
  gboolean was_resumed;      /* an instance has answered a request for more */
  gboolean went_on;          /* such a request has brought an event */
};

struct testbed;

struct server
{
  struct testbed *testbed;
  struct scripted_server *scripted;
  guint number;
  guint version;
};

struct testbed
{
  const struct scenario *scenario;
  struct proxy_fleet *fleet;
  struct fleet_clients clients;
  struct server servers[SERVERS];
  guint n_servers;
  GPtrArray *streams; /* of struct stream, owned */
  guint n_crashed;
  guint n_joined; /* servers of v2 */
  guint n_left;   /* times that clients left for the frozen instance */
  gboolean is_frozen;
  struct power_losses losses;
};

/* What a server keeps of a request in progress.  */
struct run
{
  char id[32];
  guint version;
};

static void
on_received (void *ctx, struct scripted_connection *connection,
             const struct http_head *head)
{
  struct server *server = ctx;
  struct fleet_request *request
      = fleet_clients_find (&server->testbed->clients, head);
  struct run *run = g_new0 (struct run, 1);
  struct str after;
  guint64 last = 0;
  request->executions++;
  g_strlcpy (run->id, request->id, sizeof run->id);
  run->version = server->version;
  if (http_head_get (head, "last-event-id", &after))
    CU_ASSERT_TRUE (http_parse_number (after, &last));
  const struct scripted_response response = { .request = run,
                                              .id = run->id,
                                              .stream = TRUE,
                                              .first_event = (guint)last + 1,
                                              .last_event = EVENTS };
  scripted_server_respond (connection, &response);
}

static guint
delay_ms (void *ctx, gconstpointer request)
{
  (void)ctx;
  (void)request;
  return EVENT_MS;
}

static void
append_part (gconstpointer request, guint part, GString *out)
{
  const struct run *run = request;
  g_string_append_printf (out, "id: %u\ndata: v%u\n\n", part, run->version);
}

static void
on_ended (void *ctx, gpointer request, gboolean complete)
{
  (void)ctx;
  (void)complete;
  g_free (request);
}

static void
on_unexpected (void *ctx, const char *what)
{
  (void)ctx;
  g_printerr ("%s\n", what);
  CU_FAIL ("not a proper request");
}

static void
add_server (struct testbed *testbed, guint version)
{
  static const struct scripted_server_script script
      = { .received = on_received,
          .append_part = append_part,
          .delay_ms = delay_ms,
          .ended = on_ended,
          .unexpected = on_unexpected,
          .resets = TRUE };
  struct server *server = &testbed->servers[testbed->n_servers];
  server->testbed = testbed;
  server->number = testbed->n_servers++;
  server->version = version;
  server->scripted = scripted_server_new (
      &script, server, server_hints_new (server->number, 3000));
  testbed->fleet->version = version == 1 ? "v1" : "v2";
  proxy_fleet_list_server (testbed->fleet, server->number, 0,
                           scripted_server_port (server->scripted));
}

static void
send_request (struct testbed *testbed, struct stream *stream)
{
  g_autofree char *prompt
      = g_strdup_printf ("shared:300,own%u:100", testbed->streams->len);
  const struct fleet_message message
      = { .path = "/feed2/x",
          .key = "key-steady",
          .prompt = prompt,
          .resumes = stream->last_event > 0 ? stream->first_id : NULL,
          .last_event = stream->last_event,
          .timeout_ms = TIMEOUT_MS,
          .instance
          = testbed->is_frozen && stream->last_event > 0
                ? (int)((testbed->fleet->n_frozen - 1) % PROXY_FLEET_INSTANCES)
                : -1 };
  stream->return_at = 0;
  stream->request = fleet_clients_send (&testbed->clients, &message);
}

/* Takes the complete events of the stream's request, which has ended.  */
static void
read_events (struct stream *stream)
{
  const char *at = stream->request->body->str;
  gboolean is_first = stream->last_event == 0;
  guint before = stream->last_event;
  guint id;
  guint version;
  while (stream->request->status == 200
         && sscanf (at, "id: %u\ndata: v%u\n", &id, &version) == 2
         && strstr (at, "\n\n") != NULL)
    {
      CU_ASSERT_EQUAL (id, stream->last_event + 1);
      CU_ASSERT_TRUE_FATAL (version <= SERVERS);
      stream->last_event = id;
      stream->has[version] = TRUE;
      at = strstr (at, "\n\n") + 2;
    }
  if (is_first && stream->last_event > 0)
    g_strlcpy (stream->first_id, stream->request->id, sizeof stream->first_id);
  stream->tries += stream->request->status != 0;
  stream->was_resumed |= !is_first && stream->request->status != 0;
  stream->went_on |= !is_first && stream->last_event > before;
}

/* Has the client of STREAM return if its request has ended too early.  */
static void
step_stream (struct testbed *testbed, struct stream *stream)
{
  gint64 now = g_get_monotonic_time ();
  if (stream->is_over)
    return;
  if (stream->return_at != 0)
    {
      if (now >= stream->return_at)
        send_request (testbed, stream);
      return;
    }
  if (stream->request->tcp_conn != NULL && !stream->request->answered)
    return;
  read_events (stream);
  stream->is_over = stream->last_event == EVENTS || stream->tries == TRIES_MAX
                    || now - stream->began_at > TIMEOUT_MS * 1000;
  stream->return_at = now + RETURN_MS * 1000;
}

/* Resets all connections of the next server.  */
static void
crash_next (struct testbed *testbed)
{
  struct server *server
      = &testbed->servers[testbed->n_crashed++ % testbed->n_servers];
  scripted_server_set_down (server->scripted, FALSE);
}

/* Lets the clients of all streams in progress leave and come back.  */
static void
leave_streams (struct testbed *testbed)
{
  for (guint i = 0; i < testbed->streams->len; i++)
    {
      struct stream *stream = testbed->streams->pdata[i];
      if (!stream->is_over && stream->return_at == 0
          && stream->request->status == 200 && !stream->request->answered)
        tcp_conn_close (g_steal_pointer (&stream->request->tcp_conn));
    }
}

/* Freezes and resumes an instance, and lets clients leave for it while it is
   frozen.  */
static void
step_freeze (struct testbed *testbed, guint ms)
{
  const struct scenario *scenario = testbed->scenario;
  gboolean freezes = ms >= scenario->freeze_ms && ms < scenario->thaw_ms;
  if (freezes != testbed->is_frozen)
    {
      if (freezes)
        proxy_fleet_freeze_next (testbed->fleet);
      else
        proxy_fleet_resume (testbed->fleet);
      testbed->is_frozen = freezes;
    }
  if (!freezes
      || ms + (FROZEN_LEAVES - testbed->n_left) * FROZEN_LEAVE_MS
             < scenario->thaw_ms)
    return;
  testbed->n_left++;
  leave_streams (testbed);
}

static void
run_traffic (struct testbed *testbed, guint ms)
{
  const struct scenario *scenario = testbed->scenario;
  gint64 start = g_get_monotonic_time ();
  gint64 us;
  gint64 begun = 0;
  testbed->losses
      = (struct power_losses){ .plan = &scenario->losses, .start = start };
  while ((us = g_get_monotonic_time () - start) < (gint64)ms * 1000)
    {
      power_losses_run (&testbed->losses, testbed->fleet);
      step_freeze (testbed, (guint)(us / 1000));
      gboolean is_away = scenario->store_away && us / 1000 >= STORE_AWAY_MS
                         && us / 1000 < STORE_BACK_MS;
      if (is_away != testbed->fleet->store_is_down && scenario->store_away)
        proxy_fleet_set_store_down (testbed->fleet, is_away);
      for (; begun < us * STREAMS_PER_S / G_USEC_PER_SEC; begun++)
        {
          struct stream *stream = g_new0 (struct stream, 1);
          stream->began_at = g_get_monotonic_time ();
          g_ptr_array_add (testbed->streams, stream);
          send_request (testbed, stream);
        }
      if (testbed->n_servers < SERVERS
          && us / 1000 >= scenario->joins_ms
                              + testbed->n_joined * scenario->joins_gap_ms)
        {
          add_server (testbed, 2);
          testbed->n_joined++;
        }
      if (scenario->crash_ms > 0
          && us / 1000 / scenario->crash_ms > testbed->n_crashed)
        crash_next (testbed);
      if (scenario->kill_ms > 0
          && us / 1000 / scenario->kill_ms > testbed->fleet->n_killed)
        proxy_fleet_kill_instance (testbed->fleet);
      for (guint i = 0; i < testbed->streams->len; i++)
        step_stream (testbed, testbed->streams->pdata[i]);
      if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (200);
    }
}

static void
check_scenario (const struct scenario *scenario)
{
  struct testbed testbed = { .scenario = scenario };
  guint joined = 0;
  guint begun = 0;
  guint resumed = 0;
  guint went_on = 0;
  testbed.fleet
      = proxy_fleet_new (JW_SOURCE_DIR "/platform/test_crash_config.json");
  testbed.streams = g_ptr_array_new_with_free_func (g_free);
  fleet_clients_init (&testbed.clients, testbed.fleet, "/feed2/x", TIMEOUT_MS,
                      0, 42);
  for (guint i = 0; i < scenario->old; i++)
    add_server (&testbed, 1);
  proxy_fleet_launch (testbed.fleet);
  proxy_fleet_run_for (SETTLED_MS);
  guint failures = CU_get_number_of_failures ();
  run_traffic (&testbed, scenario->run_ms);
  for (guint i = 0; i < testbed.streams->len; i++)
    {
      const struct stream *stream = testbed.streams->pdata[i];
      joined += stream->has[1] && stream->has[2];
      begun += stream->last_event > 0;
      resumed += stream->was_resumed;
      went_on += stream->went_on;
    }
  g_print ("%u streams, %u begun, %u joined from two versions; %u resumed by "
           "clients, %u went on\n",
           testbed.streams->len, begun, joined, resumed, went_on);
  CU_ASSERT_EQUAL (joined, 0);
  CU_ASSERT_TRUE (resumed >= RESUMED_COUNTED);
  CU_ASSERT_TRUE (went_on * testbed.streams->len
                  >= RESUMED_MIN * begun * resumed);
  if (CU_get_number_of_failures () > failures)
    harness_explain (testbed.fleet->harness);
  for (guint i = 0; i < testbed.n_servers; i++)
    scripted_server_free (testbed.servers[i].scripted);
  fleet_clients_clear (&testbed.clients);
  g_ptr_array_unref (testbed.streams);
  proxy_fleet_free (testbed.fleet);
}

static void
test_side_by_side (void)
{
  check_scenario (&(struct scenario){
      .old = 4, .joins_ms = 500, .run_ms = 8000, .crash_ms = 600 });
}

static void
test_store_away (void)
{
  check_scenario (&(struct scenario){ .old = 4,
                                      .joins_ms = 500,
                                      .run_ms = 8000,
                                      .crash_ms = 600,
                                      .store_away = TRUE });
}

static void
test_killed_instances (void)
{
  check_scenario (&(struct scenario){
      .old = 4, .joins_ms = 500, .run_ms = 8000, .kill_ms = 1200 });
}

static void
test_power (void)
{
  check_scenario (&(struct scenario){ .old = 4,
                                      .joins_ms = 1500,
                                      .joins_gap_ms = 100,
                                      .run_ms = 9000,
                                      .losses = { .at_ms = { 4500 } } });
}

static void
test_power_after_release (void)
{
  check_scenario (&(struct scenario){ .old = 4,
                                      .joins_ms = 1500,
                                      .joins_gap_ms = 300,
                                      .run_ms = 10000,
                                      .losses = { .at_ms = { 2900, 6000 } } });
}

/* An instance that stood still while servers of a new version joined said that
   all streams had begun at the one version that it knew.  */
static void
test_frozen_while_joining (void)
{
  check_scenario (&(struct scenario){ .old = 4,
                                      .joins_ms = 600,
                                      .run_ms = 6000,
                                      .freeze_ms = 300,
                                      .thaw_ms = 4000 });
}

static CU_TestInfo tests[] = {
  { "two versions side by side, servers break off", test_side_by_side },
  { "the same while the store is away", test_store_away },
  { "instances are killed one by one", test_killed_instances },
  { "an instance is frozen while a version joins", test_frozen_while_joining },
  { "all instances lose power", test_power },
  { "all instances lose power during a release", test_power_after_release },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "rejoined_streams", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
