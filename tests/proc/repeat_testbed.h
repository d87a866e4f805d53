/* Real instances before scripted servers that end under certain requests, which
   clients send again and again under new ids, shared by the test programs of
   repeated requests.  */
#ifndef REPEAT_TESTBED_H
#define REPEAT_TESTBED_H

#include "harness/fleet_clients.h"
#include "harness/scripted_server.h"
#include "proc/power_losses.h"
#include "unit/unit.h"

#include <string.h>

#define SERVERS_MAX 12
#define CRASHING_MAX 3 /* different requests that end servers */
#define TIMEOUT_MS 3000
#define RESPOND_MIN_MS 10
#define RESPOND_MAX_MS 30
#define EVENTS 4 /* of a stream */
#define WARM_UP_MS 3000
#define RUN_MS 16000
#define SETTLED_MS 8000 /* from the first crashing request */
#define SOUND_PER_S 40
#define SERVED_MIN 0.98
/* The users' rule: bounds from the third crash on.  */
#define STABLE_WINDOW_US (4 * G_USEC_PER_SEC)
#define CRASHES_KNOWN 3
#define LATE_MAX 3
#define CRASHES_MAX 4 /* under one request: three, seldom four */

/* X (NAME, "name"): sound requests that share something with a crashing one */
#define SOUND_KINDS(X)                                                         \
  X (BODY, "other body")                                                       \
  X (CALLER, "other caller")                                                   \
  X (PATH, "other path")                                                       \
  X (POPULAR, "always the same")

enum sound_kind
{
#define SOUND_ENUM(id, name) SOUND_##id,
  SOUND_KINDS (SOUND_ENUM)
#undef SOUND_ENUM
      SOUND_KINDS_N,
  CRASHING /* plus the number of the request */
};

/* What a server does under a crashing request.  */
enum crash_kind
{
  CRASH_ENDS,
  CRASH_ENDS_INSIDE, /* after it has sent a part of the response */
  CRASH_RESETS       /* it closes this connection only */
};

/* What varies between the tests.  */
struct scenario
{
  const char *name;
  const char *path;   /* of all requests but one kind */
  const char *other;  /* of that one */
  const char *prompt; /* parts of the prompt of all requests; NULL: none */
  guint servers;
  guint crashing; /* different requests */
  guint crashing_per_s;
  enum crash_kind kind;
  guint end_min_ms; /* from the arrival to the crash; 0: 30 to 120 */
  guint end_max_ms;
  guint back_min_ms; /* 0: 2 to 4 s */
  guint back_max_ms;
  guint body_bytes; /* 0: a few; else half of the bodies come in chunks */
  gboolean same_instance;
  guint kill_ms;   /* an instance is killed and restarted so often; 0: never */
  guint chance_ms; /* a server ends by chance so often; 0: never */
  gboolean power;  /* all instances are killed half way */
  struct power_plan losses;
};

struct testbed;

struct server
{
  struct testbed *testbed;
  struct scripted_server *scripted;
  guint number;
  guint life;
  guint timer;    /* until it ends, or until it is back */
  guint crashing; /* number of the request under which it is to end */
};

struct testbed
{
  const struct scenario *scenario;
  struct proxy_fleet *fleet;
  struct fleet_clients clients;
  struct server servers[SERVERS_MAX];
  GRand *rand;
  gboolean stream;
  char *padding;                 /* of the bodies */
  guint crashes[CRASHING_MAX];   /* servers that ended under each */
  gint64 known_at[CRASHING_MAX]; /* the last crash that needs to be */
  guint late[CRASHING_MAX];      /* arrivals after the bound */
  guint n_sound;
  guint n_crashing;
  guint n_by_chance;
  struct power_losses losses;
};

static gboolean
on_back (gpointer data)
{
  struct server *server = data;
  const struct proxy_fleet *fleet = server->testbed->fleet;
  server->timer = 0;
  proxy_fleet_unlist_server (fleet, server->number, server->life);
  server->life++;
  scripted_server_set_down (server->scripted, FALSE);
  proxy_fleet_list_server (fleet, server->number, server->life,
                           scripted_server_port (server->scripted));
  return G_SOURCE_REMOVE;
}

static guint
draw_ms (struct testbed *testbed, guint min, guint max, guint min_default,
         guint max_default)
{
  return max > 0 ? (guint)g_rand_int_range (testbed->rand, (gint32)min,
                                            (gint32)max + 1)
                 : (guint)g_rand_int_range (testbed->rand, (gint32)min_default,
                                            (gint32)max_default + 1);
}

static void
end_server (struct server *server)
{
  const struct scenario *scenario = server->testbed->scenario;
  g_clear_handle_id (&server->timer, g_source_remove);
  scripted_server_set_down (server->scripted, TRUE);
  server->timer
      = g_timeout_add (draw_ms (server->testbed, scenario->back_min_ms,
                                scenario->back_max_ms, 2000, 4000),
                       on_back, server);
}

static gboolean
on_crash (gpointer data)
{
  struct server *server = data;
  struct testbed *testbed = server->testbed;
  server->timer = 0;
  if (++testbed->crashes[server->crashing] == CRASHES_KNOWN)
    testbed->known_at[server->crashing] = g_get_monotonic_time ();
  end_server (server);
  return G_SOURCE_REMOVE;
}

static void
receive_crashing (struct server *server, struct fleet_request *request)
{
  struct testbed *testbed = server->testbed;
  const struct scenario *scenario = testbed->scenario;
  guint number = request->kind - CRASHING;
  gint64 now = g_get_monotonic_time ();
  testbed->late[number]
      += testbed->known_at[number] != 0
         && now > testbed->known_at[number] + STABLE_WINDOW_US;
  if (scenario->kind == CRASH_RESETS || server->timer != 0)
    return;
  server->crashing = number;
  server->timer = g_timeout_add (
      draw_ms (testbed, scenario->end_min_ms, scenario->end_max_ms, 30, 120),
      on_crash, server);
}

static void
on_received (void *ctx, struct scripted_connection *connection,
             const struct http_head *head)
{
  struct server *server = ctx;
  struct testbed *testbed = server->testbed;
  struct fleet_request *request = fleet_clients_find (&testbed->clients, head);
  struct str after;
  guint64 last = 0;
  request->executions++;
  if (http_head_get (head, "last-event-id", &after))
    CU_ASSERT_TRUE (http_parse_number (after, &last));
  struct scripted_response response = { .request = request,
                                        .id = request->id,
                                        .stream = testbed->stream,
                                        .first_event = (guint)last + 1,
                                        .last_event = EVENTS };
  if (request->kind >= CRASHING)
    {
      receive_crashing (server, request);
      if (testbed->scenario->kind == CRASH_ENDS)
        return;
      response.half_first = testbed->scenario->kind == CRASH_ENDS_INSIDE;
    }
  scripted_server_respond (connection, &response);
}

static guint
delay_ms (void *ctx, gconstpointer data)
{
  const struct server *server = ctx;
  const struct fleet_request *request = data;
  if (request->kind >= CRASHING
      && server->testbed->scenario->kind == CRASH_ENDS_INSIDE)
    return TIMEOUT_MS; /* the server ends before */
  return (guint)g_rand_int_range (server->testbed->rand, RESPOND_MIN_MS,
                                  RESPOND_MAX_MS);
}

static gboolean
drops (void *ctx, gpointer data)
{
  const struct server *server = ctx;
  const struct fleet_request *request = data;
  return request->kind >= CRASHING
         && server->testbed->scenario->kind == CRASH_RESETS;
}

static void
append_part (gconstpointer data, guint part, GString *out)
{
  const struct fleet_request *request = data;
  if (part > 0)
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

/* Sends the request with KIND and the body TEXT, padded.  */
static void
send_request (struct testbed *testbed, guint kind, const char *text)
{
  const struct scenario *scenario = testbed->scenario;
  char *body = g_strconcat (text, testbed->padding, NULL);
  guint n = testbed->clients.requests->len;
  const struct fleet_message message
      = { .path = kind == SOUND_PATH ? scenario->other : scenario->path,
          .key = kind == SOUND_CALLER ? "key-other" : "key-steady",
          .prompt = scenario->prompt,
          .body = str_of (body),
          .chunked = scenario->body_bytes > 0 && n % 2 == 0,
          .timeout_ms
          = kind >= CRASHING ? TIMEOUT_MS - n % 7 * 100 : TIMEOUT_MS,
          .kind = kind,
          .instance = kind >= CRASHING && scenario->same_instance ? 3 : -1 };
  fleet_clients_send (&testbed->clients, &message);
  g_free (body);
}

static void
send_sound (struct testbed *testbed)
{
  guint n = testbed->n_sound++;
  enum sound_kind kind = n % SOUND_KINDS_N;
  char *own = g_strdup_printf ("own-%u", n);
  switch (kind)
    {
    case SOUND_BODY:
      send_request (testbed, kind, own);
      break;
    case SOUND_CALLER:
    case SOUND_PATH:
      send_request (testbed, kind, "crash-0");
      break;
    default:
      send_request (testbed, kind, "popular");
      break;
    }
  g_free (own);
}

static void
send_crashing (struct testbed *testbed)
{
  guint number = testbed->n_crashing++ % testbed->scenario->crashing;
  char *text = g_strdup_printf ("crash-%u", number);
  send_request (testbed, CRASHING + number, text);
  g_free (text);
}

/* Ends a server, unless it is down or only one other runs: with none left
   nothing could be served.  */
static void
end_by_chance (struct testbed *testbed)
{
  guint n = testbed->scenario->servers;
  guint drawn = (guint)g_rand_int_range (testbed->rand, 0, (gint32)n);
  guint running = 0;
  for (guint i = 0; i < n; i++)
    running += i != drawn && testbed->servers[i].timer == 0;
  testbed->n_by_chance++;
  if (testbed->servers[drawn].timer == 0 && running > 1)
    end_server (&testbed->servers[drawn]);
}

static void
kill_all (struct testbed *testbed)
{
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    proxy_fleet_kill_instance (testbed->fleet);
}

/* Sends requests at constant rates for MS; without DISTURBED only sound ones,
   and nothing else happens.  */
static void
run_traffic (struct testbed *testbed, guint ms, gboolean disturbed)
{
  const struct scenario *scenario = testbed->scenario;
  gint64 start = g_get_monotonic_time ();
  gint64 sound = 0;
  gint64 crashing = 0;
  gint64 us;
  if (disturbed)
    testbed->losses
        = (struct power_losses){ .plan = &scenario->losses, .start = start };
  while ((us = g_get_monotonic_time () - start) < (gint64)ms * 1000)
    {
      if (disturbed)
        power_losses_run (&testbed->losses, testbed->fleet);
      for (; sound < us * SOUND_PER_S / G_USEC_PER_SEC; sound++)
        send_sound (testbed);
      for (; disturbed
             && crashing < us * scenario->crashing_per_s / G_USEC_PER_SEC;
           crashing++)
        send_crashing (testbed);
      if (disturbed && scenario->kill_ms > 0
          && us / 1000 / scenario->kill_ms > testbed->fleet->n_killed)
        proxy_fleet_kill_instance (testbed->fleet);
      if (disturbed && scenario->power && testbed->fleet->n_killed == 0
          && us > (gint64)ms * 500)
        kill_all (testbed);
      if (disturbed && scenario->chance_ms > 0
          && us / 1000 / scenario->chance_ms > testbed->n_by_chance)
        end_by_chance (testbed);
      if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (200);
    }
}

static struct testbed *
testbed_new (const struct scenario *scenario)
{
  static const struct scripted_server_script script
      = { .received = on_received,
          .append_part = append_part,
          .delay_ms = delay_ms,
          .drops = drops,
          .ended = on_ended,
          .unexpected = on_unexpected,
          .resets = TRUE };
  struct testbed *testbed = g_new0 (struct testbed, 1);
  testbed->scenario = scenario;
  testbed->fleet
      = proxy_fleet_new (JW_SOURCE_DIR "/platform/test_crash_config.json");
  testbed->rand = g_rand_new_with_seed (42);
  testbed->stream = g_str_has_prefix (scenario->path, "/feed");
  testbed->padding = g_strnfill (scenario->body_bytes, 'x');
  fleet_clients_init (&testbed->clients, testbed->fleet, scenario->path,
                      TIMEOUT_MS, 0, 42);
  for (guint i = 0; i < scenario->servers; i++)
    {
      struct server *server = &testbed->servers[i];
      server->testbed = testbed;
      server->number = i;
      server->scripted
          = scripted_server_new (&script, server, server_hints_new (i, 3000));
      proxy_fleet_list_server (testbed->fleet, i, 0,
                               scripted_server_port (server->scripted));
    }
  proxy_fleet_launch (testbed->fleet);
  proxy_fleet_run_for (2500); /* until all know all */
  return testbed;
}

static void
testbed_free (struct testbed *testbed)
{
  for (guint i = 0; i < testbed->scenario->servers; i++)
    {
      g_clear_handle_id (&testbed->servers[i].timer, g_source_remove);
      scripted_server_free (testbed->servers[i].scripted);
    }
  fleet_clients_clear (&testbed->clients);
  g_rand_free (testbed->rand);
  g_free (testbed->padding);
  proxy_fleet_free (testbed->fleet);
  g_free (testbed);
}

/* Returns the share of requests of KIND sent between FROM and TO, monotonic
   times, that were served.  */
static double
share_served (const struct testbed *testbed, guint kind, gint64 from, gint64 to)
{
  guint n = 0;
  guint served = 0;
  for (guint i = 0; i < testbed->clients.requests->len; i++)
    {
      const struct fleet_request *request = testbed->clients.requests->pdata[i];
      if (request->kind != kind || request->sent_at < from
          || request->sent_at >= to
          || power_losses_excuse (&testbed->losses, request->sent_at))
        continue;
      n++;
      served += fleet_request_is_served (request);
    }
  return n > 0 ? (double)served / n : 1;
}

/* Checks that no request that has reached a server is told that it has not run,
   and that none is told that it is not allowed.  */
static void
check_promises (const struct testbed *testbed)
{
  for (guint i = 0; i < testbed->clients.requests->len; i++)
    {
      const struct fleet_request *request = testbed->clients.requests->pdata[i];
      if (request->executions > 0)
        CU_ASSERT_TRUE (request->status != 503 && request->status != 429);
      CU_ASSERT_TRUE (request->status < 400 || request->status >= 500);
    }
}

static void
check_scenario (const struct scenario *scenario)
{
  static const char *const kinds[] = {
#define SOUND_NAME(id, name) name,
    SOUND_KINDS (SOUND_NAME)
#undef SOUND_NAME
  };
  struct testbed *testbed = testbed_new (scenario);
  guint failures = CU_get_number_of_failures ();
  run_traffic (testbed, WARM_UP_MS, FALSE);
  gint64 begin = g_get_monotonic_time ();
  run_traffic (testbed, RUN_MS, TRUE);
  gint64 end = g_get_monotonic_time ();
  proxy_fleet_run_for (TIMEOUT_MS);
  guint held = proxy_fleet_count_logged (testbed->fleet, "part.held");
  g_print ("%s:", scenario->name);
  for (guint i = 0; i < scenario->crashing; i++)
    {
      g_print (" %u servers ended, %u requests too late;", testbed->crashes[i],
               testbed->late[i]);
      CU_ASSERT_TRUE (testbed->crashes[i] <= CRASHES_MAX);
      CU_ASSERT_TRUE (testbed->late[i] <= LATE_MAX);
    }
  g_print (" sound ones served from %u s on, in the first seconds:",
           SETTLED_MS / 1000);
  for (guint i = 0; i < SOUND_KINDS_N; i++)
    {
      double served = share_served (testbed, i, begin + SETTLED_MS * 1000, end);
      g_print (" %s %.2f %.2f;", kinds[i], served,
               share_served (testbed, i, begin, begin + SETTLED_MS * 1000));
      CU_ASSERT_TRUE (served >= SERVED_MIN);
    }
  g_print (" %u ended by chance, %u instances killed, held %u times, cleared "
           "%u times\n",
           testbed->n_by_chance, testbed->fleet->n_killed, held,
           proxy_fleet_count_logged (testbed->fleet, "part.cleared"));
  if (scenario->crashing == 0 || scenario->kind == CRASH_RESETS)
    CU_ASSERT_EQUAL (held, 0);
  check_promises (testbed);
  if (CU_get_number_of_failures () > failures)
    harness_explain (testbed->fleet->harness);
  testbed_free (testbed);
}

#define SCENARIO_TEST(function_, name_, ...)                                   \
  static void function_ (void)                                                 \
  {                                                                            \
    static const struct scenario scenario = { .name = name_, __VA_ARGS__ };    \
    check_scenario (&scenario);                                                \
  }

#endif
