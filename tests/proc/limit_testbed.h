/* Real instances before scripted servers that name limits, shared by the test
   programs of limits.  */
#ifndef LIMIT_TESTBED_H
#define LIMIT_TESTBED_H

#include "harness/proxy_fleet.h"
#include "harness/limit_check.h"
#include "harness/scripted_server.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "unit/unit.h"

#include <math.h>
#include <string.h>

#define SERVERS 12
#define REQUESTS_PER_S 60
#define TIMEOUT_MS 3000 /* of the requests */
#define RESPOND_MIN_MS 20
#define RESPOND_MAX_MS 80
#define EVENTS 4
#define WARM_UP_MS 6000
#define LIMITED_MS 12000
#define AFTER_MS 7000
#define RECOVER_US (3 * G_USEC_PER_SEC) /* until the old rate is back */
#define NOTICE_REQUESTS 2 /* at a limited server, until its end is noticed */
/* What is wanted of the instances, as shares.  */
#define USE_MIN 0.7      /* of a limit, with demand */
#define SUM_USE_MIN 0.8  /* of all limits together, with demand above them */
#define SERVED_MIN 0.99  /* of the requests, while other servers have room */
#define RETURNED_MIN 0.9 /* of the old rate, after the limit has ended */

struct testbed;

struct server
{
  struct testbed *testbed;
  guint number;
  struct scripted_server *scripted;
  struct limit_check *check;
};

/* What varies between the tests.  */
struct scenario
{
  const char *name;
  const char *path;   /* of the route */
  guint n_limited;    /* servers that name a limit, the first ones */
  double per_s;       /* the limit */
  double later_per_s; /* from half of the time on; 0: the same */
  guint freeze_ms;    /* another instance is frozen so often; 0: never */
  guint kill_ms; /* an instance is killed and restarted so often; 0: never */
};

struct request
{
  struct testbed *testbed;
  char id[32];
  gconstpointer process; /* of the instance that it was sent to */
  gint64 sent_at;
  guint executions; /* arrivals at servers */
  guint status;
  gboolean answered;
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
};

static void
on_received (void *ctx, struct scripted_connection *connection,
             const struct http_head *head)
{
  struct server *server = ctx;
  struct str id;
  CU_ASSERT_TRUE_FATAL (http_head_get (head, "x-request-id", &id));
  char *text = str_dup (id);
  struct request *request = g_hash_table_lookup (server->testbed->by_id, text);
  g_free (text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (request);
  request->executions++;
  limit_check_arrived (server->check, request->process,
                       g_get_monotonic_time ());
  const struct scripted_response response
      = { .request = request,
          .id = request->id,
          .stream = g_str_has_prefix (server->testbed->scenario.path, "/feed"),
          .first_event = 1,
          .last_event = EVENTS };
  scripted_server_respond (connection, &response);
}

static guint
delay_ms (void *ctx, gconstpointer request)
{
  const struct server *server = ctx;
  (void)request;
  return (guint)g_rand_int_range (server->testbed->rand, RESPOND_MIN_MS,
                                  RESPOND_MAX_MS);
}

static void
append_part (gconstpointer data, guint part, GString *out)
{
  const struct request *request = data;
  if (g_str_has_prefix (request->testbed->scenario.path, "/feed"))
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
  (void)ctx;
  (void)bytes;
  return TRUE;
}

static void
on_client_end (void *ctx)
{
  ((struct request *)ctx)->answered = TRUE;
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

static void
request_free (gpointer data)
{
  struct request *request = data;
  g_clear_pointer (&request->tcp_conn, tcp_conn_close);
  http_reader_free (request->http_reader);
  g_free (request);
}

/* Sends a request to an instance.  */
static void
send_request (struct testbed *testbed)
{
  struct request *request = g_new0 (struct request, 1);
  struct err err = { 0 };
  const struct tcp_conn_options options
      = { .handler = &client_handler, .ctx = request };
  struct proxy_fleet_instance *instance
      = &testbed->fleet->instances[g_rand_int_range (testbed->rand, 0,
                                                     PROXY_FLEET_INSTANCES)];
  guint n = testbed->requests->len;
  request->testbed = testbed;
  request->process = instance->proc;
  request->sent_at = g_get_monotonic_time ();
  g_snprintf (request->id, sizeof request->id, "r-%u", n);
  request->http_reader = http_reader_new (TRUE, &response_handler, request);
  g_ptr_array_add (testbed->requests, request);
  g_hash_table_insert (testbed->by_id, request->id, request);
  request->tcp_conn = tcp_conn_connect (instance->address, &options, &err);
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
      "Authorization: Bearer key-steady\r\nX-Prompt-Parts: "
      "p%u:300,own%u:100\r\n"
      "X-Tokens: 400,40\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n",
      testbed->scenario.path, request->id, n % 40, n, TIMEOUT_MS);
  if (request->tcp_conn != NULL)
    tcp_conn_write (request->tcp_conn, text, strlen (text));
  g_free (text);
}

/* Sends requests at a constant rate for MS. If DISTURB, instances are killed or
 * frozen.  */
static void
run_traffic (struct testbed *testbed, guint ms, gboolean disturb)
{
  gint64 start = g_get_monotonic_time ();
  guint sent = 0;
  guint frozen_before = testbed->fleet->n_frozen;
  gint64 us;
  while ((us = g_get_monotonic_time () - start) < (gint64)ms * 1000)
    {
      while (sent < us * REQUESTS_PER_S / G_USEC_PER_SEC)
        {
          send_request (testbed);
          sent++;
        }
      if (disturb && testbed->scenario.kill_ms > 0
          && us / 1000 / testbed->scenario.kill_ms > testbed->fleet->n_killed)
        proxy_fleet_kill_instance (testbed->fleet);
      if (disturb && testbed->scenario.freeze_ms > 0
          && us / 1000 / testbed->scenario.freeze_ms
                 > testbed->fleet->n_frozen - frozen_before)
        proxy_fleet_freeze_next (testbed->fleet);
      if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (200);
    }
}

static void
name_limit (struct testbed *testbed, double per_s)
{
  for (guint i = 0; i < testbed->scenario.n_limited; i++)
    {
      struct server *server = &testbed->servers[i];
      limit_check_name (server->check, per_s, g_get_monotonic_time ());
      server_hints_set_limit (scripted_server_hints (server->scripted), per_s);
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
  testbed->rand = g_rand_new_with_seed (37);
  testbed->requests = g_ptr_array_new_with_free_func (request_free);
  testbed->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < SERVERS; i++)
    {
      struct server *server = &testbed->servers[i];
      server->testbed = testbed;
      server->number = i;
      server->check = limit_check_new ();
      server->scripted = scripted_server_new (&script, server,
                                              server_hints_new (i, TIMEOUT_MS));
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
  for (guint i = 0; i < SERVERS; i++)
    {
      scripted_server_free (testbed->servers[i].scripted);
      limit_check_free (testbed->servers[i].check);
    }
  g_ptr_array_unref (testbed->requests);
  g_hash_table_unref (testbed->by_id);
  g_rand_free (testbed->rand);
  proxy_fleet_free (testbed->fleet);
  g_free (testbed);
}

/* Returns the requests a second that reached each limited server between FROM
   and TO, on average.  */
static double
rate_of_limited (const struct testbed *testbed, gint64 from, gint64 to)
{
  guint n = 0;
  for (guint i = 0; i < testbed->scenario.n_limited; i++)
    n += limit_check_count (testbed->servers[i].check, from, to);
  return (double)n * G_USEC_PER_SEC / (double)(to - from)
         / testbed->scenario.n_limited;
}

/* Returns the share of the requests sent between FROM and TO that were served.
   A 503 for a request that a server has received breaks a promise.  */
static double
share_served (const struct testbed *testbed, gint64 from, gint64 to)
{
  guint n = 0;
  guint served = 0;
  for (guint i = 0; i < testbed->requests->len; i++)
    {
      const struct request *request = testbed->requests->pdata[i];
      if (request->sent_at < from || request->sent_at >= to)
        continue;
      n++;
      served += request->status == 200 && request->answered;
      CU_ASSERT_TRUE (request->status != 503 || request->executions == 0);
    }
  return n > 0 ? (double)served / n : 0;
}

/* Returns how many times an instance still believes in a limit of a server, by
   the last line that it has logged of it.  */
static guint
count_believed (const struct testbed *testbed)
{
  guint n = 0;
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    {
      GHashTable *last
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      char *text = proxy_fleet_log (testbed->fleet, i);
      char **lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line != NULL; line++)
        {
          const char *peer = strstr (*line, "\"peer\":\"");
          if (strstr (*line, "\"event\":\"server.limit\"") == NULL
              || peer == NULL)
            continue;
          peer += strlen ("\"peer\":\"");
          g_hash_table_insert (
              last, g_strndup (peer, strcspn (peer, "\"")),
              GINT_TO_POINTER (strstr (*line, "\"per_s\":0,") == NULL));
        }
      GHashTableIter iter;
      gpointer believed;
      g_hash_table_iter_init (&iter, last);
      while (g_hash_table_iter_next (&iter, NULL, &believed))
        n += GPOINTER_TO_INT (believed) != 0;
      g_strfreev (lines);
      g_free (text);
      g_hash_table_unref (last);
    }
  return n;
}

/* Returns the least rate at each limited server that is the old one again, if
   it is measured for US: without three standard deviations of the number of
   requests, which the instances draw servers for.  */
static double
returned_per_s (const struct testbed *testbed, gint64 us)
{
  double per_s = (double)REQUESTS_PER_S / SERVERS;
  double expected
      = per_s * (double)us / G_USEC_PER_SEC * testbed->scenario.n_limited;
  return (RETURNED_MIN - 3 / sqrt (expected)) * per_s;
}

static void
check_scenario (const struct scenario *scenario)
{
  struct testbed *testbed = testbed_new (scenario);
  guint failures = CU_get_number_of_failures ();
  run_traffic (testbed, WARM_UP_MS / 2, FALSE);
  gint64 warm = g_get_monotonic_time ();
  run_traffic (testbed, WARM_UP_MS / 2, FALSE);
  gint64 begin = g_get_monotonic_time ();
  gboolean disturbed = scenario->kill_ms > 0 || scenario->freeze_ms > 0;
  gboolean changes = scenario->later_per_s > 0;
  name_limit (testbed, scenario->per_s);
  run_traffic (testbed, LIMITED_MS / 2, TRUE);
  if (changes)
    name_limit (testbed, scenario->later_per_s);
  run_traffic (testbed, LIMITED_MS / 2, TRUE);
  gint64 end = g_get_monotonic_time ();
  proxy_fleet_resume (testbed->fleet);
  name_limit (testbed, 0);
  double last_per_s
      = scenario->later_per_s > 0 ? scenario->later_per_s : scenario->per_s;
  double notice_us = RECOVER_US + NOTICE_REQUESTS * G_USEC_PER_SEC / last_per_s;
  guint notice_ms = (guint)(notice_us / 1000);
  run_traffic (testbed, notice_ms, FALSE);
  guint believed = count_believed (testbed);
  gint64 recovered = g_get_monotonic_time ();
  run_traffic (testbed, AFTER_MS, FALSE);
  gint64 stop = g_get_monotonic_time ();
  proxy_fleet_run_for (TIMEOUT_MS);
  gint64 settled = begin + LIMIT_CHECK_SETTLE_US;
  double before = rate_of_limited (testbed, warm, begin);
  double limited = rate_of_limited (testbed, settled, end);
  double after = rate_of_limited (testbed, recovered, stop);
  double served = share_served (testbed, settled, end);
  gboolean all = scenario->n_limited == SERVERS;
  guint excess = 0;
  guint most = 0;
  for (guint i = 0; i < scenario->n_limited; i++)
    {
      guint here;
      excess
          = MAX (excess, limit_check_excess (testbed->servers[i].check, &here));
      most = MAX (most, here);
    }
  g_print ("%s: at most %u requests in 4 s, %u too many; %.2f a second at each "
           "limited server, before %.2f, after %.2f; served %.3f; limits "
           "noticed %u times\n",
           scenario->name, most, excess, limited, before, after, served,
           proxy_fleet_count_logged (testbed->fleet, "server.limit"));
  CU_ASSERT_EQUAL (excess, 0);
  if (before > scenario->per_s && !disturbed && !changes)
    CU_ASSERT_TRUE (limited >= (all ? SUM_USE_MIN : USE_MIN) * scenario->per_s);
  if (!all && !disturbed)
    CU_ASSERT_TRUE (served >= SERVED_MIN);
  CU_ASSERT_EQUAL (believed, 0);
  CU_ASSERT_TRUE (after >= returned_per_s (testbed, stop - recovered));
  if (CU_get_number_of_failures () > failures)
    harness_explain (testbed->fleet->harness);
  testbed_free (testbed);
}

#endif
