/* Requests on kept connections that arrive in the moment in which the instance
   closes idle connections, applies a configuration or loses its store. Each
   request that was read must get a complete and true response; one that crosses
   a close may end without a response, but then it has not run. The close and
   the request can meet anywhere between the kernel's socket buffer and the
   parser, so the requests are sent in small steps around the moment, and once
   while the instance is paused, so that it finds all of them at once.  */
#include "proc/proxy_testbed.h"

#define CLIENTS 120
#define ROUNDS_MAX 5
#define FIRST_RESPOND_MS 50
#define LAST_PIECE_MAX_MS 300 /* between a head and its body */

/* An instance closes an idle connection when 1.2 times the time-out of the
   configuration has passed.  */
#define IDLE_SHORT_MS 400
#define IDLE_CLOSE_US (480 * 1000)
/* An instance closes idle connections this long after SIGTERM, and looks for
   them every 50 ms then.  */
#define STOP_CLOSE_US (2500 * 1000)
#define SWEEP_BEFORE_US (60 * 1000) /* from the first request to the close */
#define SWEEP_US (170 * 1000)       /* from the first request to the last */
#define PAUSE_BEFORE_US (30 * 1000) /* from the pause to the close */
#define PAUSE_US (80 * 1000)
#define PAUSE_MAX_US (1000 * 1000) /* of a round that counts */

#define CLOSE_RESPOND_MS 40
#define CLOSE_SWEEP_US (8 * 1000) /* before and after the response */

#define RELOADS 16
#define RELOAD_STEP_MS 300
#define RELOAD_CLIENTS 36
#define RELOAD_SLOTS 3 /* of a server; some requests are queued */
#define STORE_CLIENTS 12
#define STORE_AWAY_MS 4500 /* longer than a key is used without the store */
#define RECOVERY_MS 6000   /* until keys are used again */

static gboolean traffic_stopped;
static guint skipped; /* clients whose connection ended before they sent */
static gint64 paused_at;
static gboolean pause_too_long;

static struct proxy_site_instance *
start_instance (const struct proxy_site_config *config, guint slots)
{
  traffic_stopped = FALSE;
  skipped = 0;
  pause_too_long = FALSE;
  proxy_testbed_start (config, slots, FALSE);
  return proxy_testbed_add ();
}

/* Returns the call of client NUMBER, with a varied time between the pieces of
   the request.  */
static struct proxy_site_call
varied_call (guint number)
{
  struct proxy_site_call call
      = proxy_testbed_call (number, 10 + number % 7 * 15);
  if (call.pieces == PROXY_SITE_BODY_LATER)
    call.piece_ms = number * 7 % (LAST_PIECE_MAX_MS + 1);
  return call;
}

/* Opens CLIENTS connections, each with one answered request.  */
static void
open_idle_clients (struct proxy_site_instance *instance)
{
  const struct proxy_site_call first
      = { .path = "/open/first", .respond_ms = FIRST_RESPOND_MS };
  for (guint i = 0; i < CLIENTS; i++)
    proxy_site_send (proxy_site_open (instance), &first);
  CU_ASSERT_TRUE (proxy_site_settle (site, PROXY_TESTBED_SETTLE_MS));
}

struct sweep_send
{
  struct proxy_site_client *client;
  struct proxy_site_call call;
};

static void
send_or_skip (gpointer data)
{
  const struct sweep_send *send = data;
  if (send->client->tcp_conn == NULL)
    skipped++;
  proxy_site_send (send->client, &send->call);
}

static void
schedule_send (guint i, gint64 at)
{
  struct sweep_send *send = g_new (struct sweep_send, 1);
  *send = (struct sweep_send){ site->clients->pdata[i], varied_call (i) };
  proxy_site_at (site, at, send_or_skip, send, g_free);
}

/* Spreads a request of each client over SWEEP_US around CLOSE_AT, the time at
   which the idle connections are expected to be closed.  */
static void
sweep_around (gint64 close_at)
{
  for (guint i = 0; i < CLIENTS; i++)
    schedule_send (i,
                   close_at - SWEEP_BEFORE_US + (gint64)i * SWEEP_US / CLIENTS);
}

static void
pause_instance (gpointer data)
{
  paused_at = g_get_monotonic_time ();
  proxy_site_signal (data, SIGSTOP);
}

/* Resumes the instance. If a busy machine has let this process run too late,
   the pause has taken the instance's grace time.  */
static void
resume_instance (gpointer data)
{
  proxy_site_signal (data, SIGCONT);
  pause_too_long = g_get_monotonic_time () - paused_at > PAUSE_MAX_US;
  site->options.outlasts_grace = pause_too_long;
}

/* Pauses the instance from shortly before CLOSE_AT until shortly after it, and
   sends all requests meanwhile.  */
static void
pause_around (struct proxy_site_instance *instance, gint64 close_at)
{
  gint64 from = close_at - PAUSE_BEFORE_US;
  proxy_site_at (site, from, pause_instance, instance, NULL);
  for (guint i = 0; i < CLIENTS; i++)
    schedule_send (i, from + (gint64)(i + 1) * PAUSE_US / (CLIENTS + 2));
  proxy_site_at (site, from + PAUSE_US, resume_instance, instance, NULL);
}

/* Ends a round. Returns whether it has met the close: if the instance was
   PAUSED, all requests were sent and the pause was short; of a sweep some were
   served and some came too late to be sent. On a busy machine a round may miss
   the moment.  */
static gboolean
finish_round (gboolean paused)
{
  struct proxy_site_counts counts = proxy_testbed_finish ();
  proxy_site_free (site);
  return paused ? skipped == 0 && !pause_too_long
                : skipped > 0 && counts.served > CLIENTS;
}

/* Runs rounds until one of them has met the moment. All are checked.  */
static void
run_rounds (gboolean (*run_round) (void))
{
  gboolean met = FALSE;
  for (guint i = 0; i < ROUNDS_MAX && !met; i++)
    met = run_round ();
  CU_ASSERT_TRUE (met);
}

static struct proxy_site_instance *
start_with_short_idle_time (void)
{
  const struct proxy_site_config short_idle
      = { .timeout_ms = PROXY_TESTBED_TIMEOUT_MS, .idle_ms = IDLE_SHORT_MS };
  return start_instance (&short_idle, 0);
}

static gint64
last_response_at (void)
{
  gint64 latest = 0;
  for (guint i = 0; i < site->requests->len; i++)
    {
      const struct proxy_site_request *request = site->requests->pdata[i];
      latest = MAX (latest, request->done_at);
    }
  return latest;
}

static gboolean
sweep_idle_timeout (void)
{
  struct proxy_site_instance *instance = start_with_short_idle_time ();
  open_idle_clients (instance);
  sweep_around (last_response_at () + IDLE_CLOSE_US);
  return finish_round (FALSE);
}

static void
test_idle_timeout (void)
{
  run_rounds (sweep_idle_timeout);
}

static gboolean
pause_at_idle_timeout (void)
{
  struct proxy_site_instance *instance = start_with_short_idle_time ();
  open_idle_clients (instance);
  pause_around (instance, last_response_at () + IDLE_CLOSE_US);
  return finish_round (TRUE);
}

static void
test_idle_timeout_while_paused (void)
{
  run_rounds (pause_at_idle_timeout);
}

static gboolean
sweep_close_after_sigterm (void)
{
  struct proxy_site_instance *instance
      = start_instance (&proxy_testbed_config, 0);
  open_idle_clients (instance);
  proxy_site_signal (instance, SIGTERM);
  sweep_around (instance->terminated_at + STOP_CLOSE_US);
  proxy_testbed_check_stopped (instance);
  return finish_round (FALSE);
}

static void
test_close_after_sigterm (void)
{
  run_rounds (sweep_close_after_sigterm);
}

static gboolean
pause_at_close_after_sigterm (void)
{
  struct proxy_site_instance *instance
      = start_instance (&proxy_testbed_config, 0);
  open_idle_clients (instance);
  proxy_site_signal (instance, SIGTERM);
  pause_around (instance, instance->terminated_at + STOP_CLOSE_US);
  proxy_testbed_check_stopped (instance);
  return finish_round (TRUE);
}

static void
test_close_after_sigterm_while_paused (void)
{
  run_rounds (pause_at_close_after_sigterm);
}

/* The response to a request says "Connection: close" after SIGTERM. The next
   request is sent while that response is on its way.  */
static void
test_connection_close (void)
{
  struct proxy_site_instance *instance
      = start_instance (&proxy_testbed_config, 0);
  open_idle_clients (instance);
  proxy_site_signal (instance, SIGTERM);
  gint64 now = g_get_monotonic_time ();
  const struct proxy_site_call last = { .path = "/once/x",
                                        .key = PROXY_SITE_KEY,
                                        .respond_ms = CLOSE_RESPOND_MS };
  for (guint i = 0; i < CLIENTS; i++)
    {
      gint64 at = now + (gint64)i * 1000;
      gint64 response_at = at + (gint64)CLOSE_RESPOND_MS * 1000;
      proxy_site_send_at (site->clients->pdata[i], &last, at);
      schedule_send (i, response_at - CLOSE_SWEEP_US
                            + (gint64)i * 2 * CLOSE_SWEEP_US / CLIENTS);
    }
  proxy_testbed_check_stopped (instance);
  proxy_testbed_finish ();
  proxy_site_free (site);
}

static guint
think_ms (const struct proxy_site_client *client)
{
  return 20 + client->number * 37 % 160;
}

static struct proxy_site_call (*next_call) (guint number);

/* Follows each response of a client with another request.  */
static void repeat (struct proxy_site_client *client,
                    struct proxy_site_request *request);

/* Sends the next request of a client, on a new connection if its own was
   closed.  */
static void
send_next (gpointer data)
{
  struct proxy_site_client *client = data;
  if (traffic_stopped)
    return;
  if (client->tcp_conn == NULL)
    {
      client = proxy_site_open (client->instance);
      client->answered = repeat;
    }
  struct proxy_site_call call = next_call (site->requests->len);
  proxy_site_send (client, &call);
}

static void
repeat (struct proxy_site_client *client, struct proxy_site_request *request)
{
  (void)request;
  proxy_site_at (site,
                 g_get_monotonic_time () + (gint64)think_ms (client) * 1000,
                 send_next, client, NULL);
}

/* Starts N clients that send requests until traffic_stopped.  */
static void
start_traffic (struct proxy_site_instance *instance, guint n,
               struct proxy_site_call (*call) (guint number))
{
  next_call = call;
  for (guint i = 0; i < n; i++)
    {
      struct proxy_site_client *client = proxy_site_open (instance);
      client->answered = repeat;
      send_next (client);
    }
}

/* Calls of which some go to a route that moves, or use a key that is revoked
   now and then.  */
static struct proxy_site_call
reload_call (guint number)
{
  struct proxy_site_call call = varied_call (number);
  call.respond_ms = 10 + number % 9 * 30;
  switch (number / 12 % 4)
    {
    case 0:
      call.path = "/moved/x";
      call.key = NULL;
      call.response = PROXY_SITE_PLAIN;
      break;
    case 1:
      call.path = "/renamed/x";
      call.key = NULL;
      call.response = PROXY_SITE_PLAIN;
      call.may_be_denied = TRUE;
      break;
    case 2:
      if (call.key != NULL)
        {
          call.key = PROXY_SITE_OTHER_KEY;
          call.may_be_denied = TRUE;
        }
      break;
    default:
      break;
    }
  return call;
}

/* SIGHUP and configurations with other time-outs, moved routes and a revoked
   key, beside requests on kept connections. The configuration is applied some
   time within a second after the write, so the traffic covers that time.  */
static void
test_reload (void)
{
  struct proxy_site_instance *instance
      = start_instance (&proxy_testbed_config, RELOAD_SLOTS);
  start_traffic (instance, RELOAD_CLIENTS, reload_call);
  proxy_site_run_for (site, RELOAD_STEP_MS);
  for (guint i = 0; i < RELOADS; i++)
    {
      const struct proxy_site_config next
          = { .timeout_ms = i % 3 == 0 ? PROXY_TESTBED_TIMEOUT_MS / 10
                                       : PROXY_TESTBED_TIMEOUT_MS,
              .idle_ms = i % 4 == 1 ? IDLE_SHORT_MS : PROXY_TESTBED_IDLE_MS,
              .other_key = i / 2 % 2,
              .moved = i % 2 == 0,
              .renamed = i / 4 % 2 == 1 };
      if (i % 3 != 1)
        proxy_site_signal (instance, SIGHUP);
      CU_ASSERT_TRUE (proxy_site_put (instance, &next));
      if (i % 3 != 0)
        proxy_site_signal (instance, SIGHUP);
      proxy_site_run_for (site, RELOAD_STEP_MS);
    }
  traffic_stopped = TRUE;
  struct proxy_site_counts counts = proxy_testbed_finish ();
  CU_ASSERT_TRUE (counts.denied > 0); /* the configurations were in force */
  CU_ASSERT_EQUAL (instance->ended_at, 0);
  proxy_site_free (site);
}

/* Returns how many requests with or without a key got STATUS.  */
static guint
count_status (gboolean with_key, guint status)
{
  guint n = 0;
  for (guint i = 0; i < site->requests->len; i++)
    {
      const struct proxy_site_request *request = site->requests->pdata[i];
      n += (request->call.key != NULL) == with_key && request->complete
           && request->status == status;
    }
  return n;
}

static gboolean
serves_keys (void *ctx)
{
  const guint *before = ctx;
  return count_status (TRUE, 200) > *before;
}

/* Puts the store out of reach by SIGNAL beside traffic with and without keys.
   Requests without a key do not depend on the store; those with a key are
   answered 503 once the configuration cannot be confirmed.  */
static struct proxy_site_instance *
run_without_store (int signal)
{
  struct proxy_site_instance *instance
      = start_instance (&proxy_testbed_config, 0);
  start_traffic (instance, STORE_CLIENTS, varied_call);
  proxy_site_run_for (site, RELOAD_STEP_MS);
  harness_signal (instance->store, signal);
  proxy_site_run_for (site, STORE_AWAY_MS);
  return instance;
}

static void
check_without_store (void)
{
  traffic_stopped = TRUE;
  struct proxy_site_counts counts = proxy_testbed_finish ();
  CU_ASSERT_EQUAL (counts.crossed, 0);
  CU_ASSERT_EQUAL (count_status (FALSE, 503), 0);
  CU_ASSERT_TRUE (count_status (TRUE, 200) > 0);
  CU_ASSERT_TRUE (count_status (TRUE, 503) > 0);
  proxy_site_free (site);
}

static void
test_store_paused (void)
{
  struct proxy_site_instance *instance = run_without_store (SIGSTOP);
  guint before = count_status (TRUE, 200);
  harness_signal (instance->store, SIGCONT);
  CU_ASSERT_TRUE (
      proxy_site_run_until (site, serves_keys, &before, RECOVERY_MS));
  check_without_store ();
}

static void
test_store_killed (void)
{
  run_without_store (SIGKILL);
  check_without_store ();
}

static CU_TestInfo tests[] = {
  { "requests around the idle time-out", test_idle_timeout },
  { "requests at the idle time-out of a paused instance",
    test_idle_timeout_while_paused },
  { "requests around the close after SIGTERM", test_close_after_sigterm },
  { "requests at the close after SIGTERM of a paused instance",
    test_close_after_sigterm_while_paused },
  { "requests around Connection: close", test_connection_close },
  { "SIGHUP and new configurations", test_reload },
  { "the store is paused", test_store_paused },
  { "the store is killed", test_store_killed },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "unanswered", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
