/* Real instances before scripted servers that end under requests with certain
   parts in their prompts, shared by the test programs of crashes.  */
#ifndef CRASH_TESTBED_H
#define CRASH_TESTBED_H

#include "harness/proxy_fleet.h"
#include "harness/scripted_server.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "proc/power_losses.h"
#include "unit/unit.h"

#include <string.h>

#define SERVERS 12
#define BACK_MIN_MS 2000
#define BACK_MAX_MS 5000
#define PREFILL_MIN_MS 20 /* from the head to the first event, or the crash */
#define PREFILL_MAX_MS 80
#define EVENTS 4
#define EVENT_MS 15
#define TIMEOUT_MS 3000
#define WARM_UP_MS 3000 /* sound requests only */
#define RUN_MS 14000    /* of the requests that end servers */
#define SOUND_PER_S 60
#define CRASHING_PER_S 20
/* The users' rule: bounds from the fifth crash on.  */
#define STABLE_WINDOW_US (4 * G_USEC_PER_SEC)
#define LATE_MAX 3
#define CRASHES_MAX 5 /* what the users' letter aims at */

struct testbed;

struct server
{
  struct testbed *testbed;
  struct scripted_server *scripted;
  guint number;
  guint life;
  guint timer;
};

/* What varies between the tests.  */
struct scenario
{
  const char *path;   /* of the route of the crashing requests */
  const char *middle; /* parts before the crashing one; "" or "NAME:TOKENS," */
  guint parts;        /* different crashing parts */
  gboolean plain;     /* their responses are no streams */
  guint crashing_per_s;
  gboolean turns; /* they are sound at first */
  guint kill_ms;  /* an instance is killed and restarted so often; 0: never */
  guint end_ms;   /* a server ends by chance so often; 0: never */
  struct power_plan losses;
};

struct request
{
  struct testbed *testbed;
  char id[32];
  gboolean crashing; /* holds a crashing part */
  gboolean same_key; /* sound, and shares the first part */
  gboolean stream;
  guint n_ended;    /* servers that ended under it */
  guint executions; /* arrivals at servers */
  gint64 sent_at;
  guint first_attempts; /* servers that it had reached before its first event */
  guint status;
  gboolean has_event;
  struct tcp_conn *tcp_conn;
  struct http_reader *http_reader;
};

struct testbed
{
  struct proxy_fleet *fleet;
  struct scenario scenario;
  struct server servers[SERVERS];
  GPtrArray *requests; /* of struct request, owned */
  GHashTable *by_id;
  GRand *rand;
  GArray *crashes;   /* of gint64, monotonic times */
  guint late;        /* arrivals of crashing requests after the bound */
  guint second;      /* servers ended by a request that had ended one */
  gboolean crashing; /* the parts crash servers */
  guint n_sent;
  guint n_crashing;  /* of these */
  guint n_by_chance; /* servers that ended so */
  struct power_losses losses;
};

static void
list_server (const struct server *server)
{
  proxy_fleet_list_server (server->testbed->fleet, server->number, server->life,
                           scripted_server_port (server->scripted));
}

static gboolean
on_back (gpointer data)
{
  struct server *server = data;
  server->timer = 0;
  proxy_fleet_unlist_server (server->testbed->fleet, server->number,
                             server->life);
  server->life++;
  scripted_server_set_down (server->scripted, FALSE);
  list_server (server);
  return G_SOURCE_REMOVE;
}

static void
end_server (struct server *server)
{
  guint ms = (guint)g_rand_int_range (server->testbed->rand, BACK_MIN_MS,
                                      BACK_MAX_MS);
  scripted_server_set_down (server->scripted, TRUE);
  server->timer = g_timeout_add (ms, on_back, server);
}

static gboolean
on_crash (gpointer data)
{
  struct server *server = data;
  gint64 now = g_get_monotonic_time ();
  g_array_append_val (server->testbed->crashes, now);
  end_server (server);
  return G_SOURCE_REMOVE;
}

static gint64
late_from (const struct testbed *testbed)
{
  return testbed->crashes->len < CRASHES_MAX
             ? G_MAXINT64
             : g_array_index (testbed->crashes, gint64, CRASHES_MAX - 1)
                   + STABLE_WINDOW_US;
}

static void
on_received (void *ctx, struct scripted_connection *connection,
             const struct http_head *head)
{
  struct server *server = ctx;
  struct testbed *testbed = server->testbed;
  struct str id;
  CU_ASSERT_TRUE_FATAL (http_head_get (head, "x-request-id", &id));
  char *text = str_dup (id);
  struct request *request = g_hash_table_lookup (testbed->by_id, text);
  g_free (text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (request);
  request->executions++;
  request->first_attempts += !request->has_event;
  if (request->crashing && testbed->crashing)
    {
      testbed->late += g_get_monotonic_time () > late_from (testbed);
      testbed->second += request->n_ended++ > 0;
      if (server->timer == 0)
        server->timer
            = g_timeout_add ((guint)g_rand_int_range (
                                 testbed->rand, PREFILL_MIN_MS, PREFILL_MAX_MS),
                             on_crash, server);
      if (!request->stream)
        return;
    }
  const struct scripted_response response = { .request = request,
                                              .id = request->id,
                                              .stream = request->stream,
                                              .first_event = 1,
                                              .last_event = EVENTS };
  scripted_server_respond (connection, &response);
}

static guint
delay_ms (void *ctx, gconstpointer data)
{
  const struct server *server = ctx;
  const struct request *request = data;
  if (request->crashing && server->testbed->crashing)
    return TIMEOUT_MS; /* the server ends before */
  return request->has_event
             ? EVENT_MS
             : (guint)g_rand_int_range (server->testbed->rand, PREFILL_MIN_MS,
                                        PREFILL_MAX_MS);
}

static void
append_part (gconstpointer data, guint part, GString *out)
{
  const struct request *request = data;
  if (request->stream)
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
on_client_head (void *ctx, const struct http_head *head)
{
  ((struct request *)ctx)->status = head->status;
  return TRUE;
}

static gboolean
on_client_body (void *ctx, struct str bytes)
{
  struct request *request = ctx;
  request->has_event |= request->status == 200 && bytes.n > 0;
  return TRUE;
}

static void
on_client_end (void *ctx)
{
  (void)ctx;
}

static const struct http_reader_handler response_handler
    = { on_client_head, on_client_body, on_client_end };

static void
on_client_data (void *ctx, struct str data)
{
  struct request *request = ctx;
  struct err err = { 0 };
  CU_ASSERT_TRUE (http_reader_feed (request->http_reader, data, &err) >= 0);
}

static void
on_client_gone (void *ctx)
{
  struct request *request = ctx;
  g_clear_pointer (&request->tcp_conn, tcp_conn_close);
}

static void
on_client_failed (void *ctx, const struct err *err)
{
  (void)err;
  on_client_gone (ctx);
}

static const struct tcp_conn_handler client_handler = {
  .data = on_client_data, .ended = on_client_gone, .failed = on_client_failed
};

/* Sends a request to an instance. Of the sound ones, half have the parts before
   the crashing one, or share nothing.  */
static void
send_request (struct testbed *testbed, gboolean crashing)
{
  guint n = testbed->n_sent++;
  const struct scenario *scenario = &testbed->scenario;
  struct request *request = g_new0 (struct request, 1);
  struct err err = { 0 };
  const struct tcp_conn_options options
      = { .handler = &client_handler, .ctx = request };
  request->testbed = testbed;
  request->crashing = crashing;
  request->same_key = !crashing && n % 2 == 0;
  request->stream = !crashing || !scenario->plain;
  request->sent_at = g_get_monotonic_time ();
  g_snprintf (request->id, sizeof request->id, "r-%u", n);
  request->http_reader = http_reader_new (TRUE, &response_handler, request);
  g_ptr_array_add (testbed->requests, request);
  g_hash_table_insert (testbed->by_id, request->id, request);
  GString *parts = g_string_new (NULL);
  if (crashing)
    g_string_append_printf (parts, "%sbad%u:200,", scenario->middle,
                            testbed->n_crashing++ % scenario->parts);
  else if (request->same_key)
    g_string_append (parts, scenario->middle);
  else
    g_string_append_printf (parts, "other%u:300,", n % 3);
  guint port
      = (guint)g_rand_int_range (testbed->rand, 0, PROXY_FLEET_INSTANCES);
  request->tcp_conn = tcp_conn_connect (testbed->fleet->instances[port].address,
                                        &options, &err);
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
      "Authorization: Bearer key-steady\r\nX-Prompt-Parts: %sown%u:100\r\n"
      "X-Tokens: 700,40\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n",
      crashing ? scenario->path : "/feed2/x", request->id, parts->str, n,
      TIMEOUT_MS);
  if (request->tcp_conn != NULL)
    tcp_conn_write (request->tcp_conn, text, strlen (text));
  g_free (text);
  g_string_free (parts, TRUE);
}

/* Ends a server that runs, if one does.  */
static void
end_by_chance (struct testbed *testbed)
{
  struct server *server
      = &testbed->servers[g_rand_int_range (testbed->rand, 0, SERVERS)];
  if (server->timer != 0)
    return;
  testbed->n_by_chance++;
  end_server (server);
}

/* Sends requests at constant rates for MS.  */
static void
run_traffic (struct testbed *testbed, guint ms, guint crashing_per_s)
{
  gint64 start = g_get_monotonic_time ();
  guint sound = 0;
  guint crashing = 0;
  gint64 us;
  if (testbed->crashing)
    testbed->losses = (struct power_losses){ .plan = &testbed->scenario.losses,
                                             .start = start };
  while ((us = g_get_monotonic_time () - start) < (gint64)ms * 1000)
    {
      if (testbed->crashing)
        power_losses_run (&testbed->losses, testbed->fleet);
      while (sound < us * SOUND_PER_S / G_USEC_PER_SEC)
        send_request (testbed, (sound++, FALSE));
      while (crashing < us * crashing_per_s / G_USEC_PER_SEC)
        send_request (testbed, (crashing++, TRUE));
      if (testbed->crashing && testbed->scenario.kill_ms > 0
          && us / 1000 / testbed->scenario.kill_ms > testbed->fleet->n_killed)
        proxy_fleet_kill_instance (testbed->fleet);
      if (testbed->crashing && testbed->scenario.end_ms > 0
          && us / 1000 / testbed->scenario.end_ms > testbed->n_by_chance)
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
          .ended = on_ended,
          .unexpected = on_unexpected };
  struct testbed *testbed = g_new0 (struct testbed, 1);
  testbed->fleet
      = proxy_fleet_new (JW_SOURCE_DIR "/platform/test_crash_config.json");
  testbed->scenario = *scenario;
  testbed->rand = g_rand_new_with_seed (34);
  testbed->requests = g_ptr_array_new ();
  testbed->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  testbed->crashes = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < SERVERS; i++)
    {
      struct server *server = &testbed->servers[i];
      server->testbed = testbed;
      server->number = i;
      server->scripted
          = scripted_server_new (&script, server, server_hints_new (i, 3000));
      list_server (server);
    }
  proxy_fleet_launch (testbed->fleet);
  proxy_fleet_run_for (2500); /* until all know all */
  return testbed;
}

static void
testbed_free (struct testbed *testbed)
{
  for (guint i = 0; i < SERVERS; i++)
    {
      g_clear_handle_id (&testbed->servers[i].timer, g_source_remove);
      scripted_server_free (testbed->servers[i].scripted);
    }
  for (guint i = 0; i < testbed->requests->len; i++)
    {
      struct request *request = testbed->requests->pdata[i];
      g_clear_pointer (&request->tcp_conn, tcp_conn_close);
      http_reader_free (request->http_reader);
      g_free (request);
    }
  g_ptr_array_unref (testbed->requests);
  g_hash_table_unref (testbed->by_id);
  g_array_unref (testbed->crashes);
  g_rand_free (testbed->rand);
  proxy_fleet_free (testbed->fleet);
  g_free (testbed);
}

/* Returns the share of sound requests sent between FROM and TO whose first
   event came from the first server that they reached. SAME_KEY: of those that
   share the first part.  */
static double
share_begun (const struct testbed *testbed, gint64 from, gint64 to,
             gboolean same_key)
{
  guint n = 0;
  guint begun = 0;
  for (guint i = 0; i < testbed->requests->len; i++)
    {
      const struct request *request = testbed->requests->pdata[i];
      if (request->crashing || request->same_key != same_key
          || request->sent_at < from || request->sent_at >= to
          || power_losses_excuse (&testbed->losses, request->sent_at))
        continue;
      n++;
      begun += request->has_event && request->first_attempts == 1;
    }
  return n > 0 ? (double)begun / n : 0;
}

/* Checks the responses to crashing requests: one that has reached a server is
   not told that it has not run.  */
static void
check_promises (const struct testbed *testbed)
{
  for (guint i = 0; i < testbed->requests->len; i++)
    {
      const struct request *request = testbed->requests->pdata[i];
      if (request->crashing && request->executions > 0)
        CU_ASSERT_TRUE (request->status != 503 && request->status != 429);
    }
}

static void
check_scenario (const struct scenario *scenario)
{
  struct testbed *testbed = testbed_new (scenario);
  guint failures = CU_get_number_of_failures ();
  gint64 warm_up = g_get_monotonic_time ();
  run_traffic (testbed, WARM_UP_MS,
               scenario->turns ? scenario->crashing_per_s : 0);
  gint64 begin = g_get_monotonic_time ();
  testbed->crashing = TRUE;
  run_traffic (testbed, RUN_MS, scenario->crashing_per_s);
  gint64 end = g_get_monotonic_time ();
  proxy_fleet_run_for (TIMEOUT_MS);
  gint64 settled = begin + 2 * STABLE_WINDOW_US;
  guint held = proxy_fleet_count_logged (testbed->fleet, "part.held");
  double before[2];
  double after[2];
  for (guint i = 0; i < 2; i++)
    {
      before[i] = share_begun (testbed, warm_up, begin, i > 0);
      after[i] = share_begun (testbed, settled, end, i > 0);
    }
  g_print ("%s: %u servers ended, %u by a request that had ended one, %u "
           "requests too late; begun at the first server: same first part "
           "%.2f, before %.2f; others %.2f, before %.2f; %u ended by chance, "
           "%u instances killed, parts held %u times, cleared %u times\n",
           scenario->path, testbed->crashes->len, testbed->second,
           testbed->late, after[1], before[1], after[0], before[0],
           testbed->n_by_chance, testbed->fleet->n_killed, held,
           proxy_fleet_count_logged (testbed->fleet, "part.cleared"));
  if (scenario->crashing_per_s == 0)
    CU_ASSERT_EQUAL (held, 0);
  CU_ASSERT_TRUE (testbed->crashes->len <= CRASHES_MAX * scenario->parts);
  CU_ASSERT_TRUE (testbed->late <= LATE_MAX);
  for (guint i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (before[i] > 0.9);
      CU_ASSERT_TRUE (after[i] >= before[i] / 2);
    }
  check_promises (testbed);
  if (CU_get_number_of_failures () > failures)
    harness_explain (testbed->fleet->harness);
  testbed_free (testbed);
}

#endif
