/* Instances and backend servers that leave. A shutdown interrupts no request in
   progress, a rolling replacement of all instances loses no request, and a
   leaving server gets no new requests, not even from an instance that was
   frozen meanwhile.  */
#include "proc/testbed.h"

/* An instance accepts requests for this long after SIGTERM.  */
#define SHUTDOWN_GRACE_MS "1000"
#define STREAM_TOKENS 60
/* A server that has left for this long must not get requests any more.  */
#define OBSERVE_LEFT_US (HISTORY_LEAVE_US + G_USEC_PER_SEC)

static const char *const engine_args[]
    = { "--base-us", "8000", "--max-batch", "64", NULL };

/* Seven instances, as in both examples.  */
static const struct deployment_options options = {
  .domains = {
    { "kgn-1", "kgn", 3, 2, 1 },
    { "kgn-2", "kgn", 2, 2, 1 },
    { "mbj-1", "mbj", 2, 1, 1 },
  },
  .engine_args = engine_args,
  .max_running = 8,
  .limits = "shutdown_grace_ms=" SHUTDOWN_GRACE_MS "\n",
};

static int
start (void)
{
  return testbed_start (&options);
}

static void
start_clients (enum workload_kind kind, guint threads, guint instance,
               const char *prefix)
{
  const struct workload_clients load = { .kind = kind,
                                         .threads = threads,
                                         .tokens = STREAM_TOKENS,
                                         .threads_per_key = 2,
                                         .instance = instance,
                                         .prefix = prefix };
  workload_start (workload, &load);
}

/* Checks that no call was cut off or rejected, except with 409 because another
   call with the same key was in progress. Prints the errors by code.  */
static void
check_nothing_lost (void)
{
  static const char *const codes[]
      = { "overload",    "displaced",      "no_server",
          "deadline",    "backend_failed", "outcome_unknown",
          "ledger_away", "draining",       "no_config" };
  guint errors = history_count (history, HISTORY_ERROR, NULL)
                 - history_count (history, HISTORY_ERROR, "in_progress");
  CU_ASSERT_EQUAL (errors, 0);
  for (guint i = 0; errors > 0 && i < G_N_ELEMENTS (codes); i++)
    g_print ("%s: %u\n", codes[i],
             history_count (history, HISTORY_ERROR, codes[i]));
  CU_ASSERT_EQUAL (history_count (history, HISTORY_CUT, NULL), 0);
  CU_ASSERT_TRUE (workload_check (workload));
}

/* Returns how many objects in instance I's dump are in STATE.  */
static gint64
count_requests (guint i, const char *state)
{
  struct harness_response *reply = testbed_admin (i, NULL, "/dump", NULL, NULL);
  char *pattern = g_strdup_printf ("\"state\":\"%s\"", state);
  gint64 n = 0;
  for (const char *at = reply->body->str; (at = strstr (at, pattern)) != NULL;
       at++)
    n++;
  g_free (pattern);
  harness_response_free (reply);
  return n;
}

struct state_wait
{
  guint instance;
  const char *state;
  gint64 min_requests;
};

static gboolean
has_state (void *ctx)
{
  const struct state_wait *state_wait = ctx;
  return count_requests (state_wait->instance, state_wait->state)
         >= state_wait->min_requests;
}

/* An instance that gets SIGTERM completes its running streams and its queued
   requests.  */
static void
test_graceful_shutdown (void)
{
  struct state_wait state_wait = { 5, "waiting", 4 };
  start_clients (WORKLOAD_STREAM, 24, 5, "shut");
  CU_ASSERT_TRUE (
      harness_wait_until (has_state, &state_wait, HARNESS_TIMEOUT_MS));
  harness_signal (deployment->instances[5].proc, SIGTERM);
  workload_stop (workload);
  CU_ASSERT_EQUAL (
      harness_reap (deployment->instances[5].proc, HARNESS_TIMEOUT_MS), 0);
  CU_ASSERT_TRUE (testbed_restart (5));
  check_nothing_lost ();
}

/* Replaces one instance of each failure domain at a time. Each new instance has
   another peer address than the one before it.  */
static void
test_rolling_replacement (void)
{
  static const guint rounds[][3] = { { 0, 3, 5 }, { 1, 4, 6 }, { 2, 2, 2 } };
  start_clients (WORKLOAD_STREAM, 6, WORKLOAD_ANY, "roll-stream");
  start_clients (WORKLOAD_BUFFERED, 3, WORKLOAD_ANY, "roll-whole");
  start_clients (WORKLOAD_ONCE, 2, WORKLOAD_ANY, "roll-once");
  start_clients (WORKLOAD_KEYED, 4, WORKLOAD_ANY, "roll-key");
  for (guint r = 0; r < G_N_ELEMENTS (rounds); r++)
    {
      guint n = r + 1 < G_N_ELEMENTS (rounds) ? 3 : 1;
      for (guint i = 0; i < n; i++)
        {
          workload_set_live (workload, rounds[r][i], FALSE);
          harness_signal (deployment->instances[rounds[r][i]].proc, SIGTERM);
        }
      for (guint i = 0; i < n; i++)
        {
          struct deployment_process *node
              = &deployment->instances[rounds[r][i]];
          CU_ASSERT_EQUAL (harness_reap (node->proc, HARNESS_TIMEOUT_MS), 0);
          node->peer_port = harness_free_port ();
          CU_ASSERT_TRUE (deployment_start_instance (deployment, rounds[r][i]));
        }
      for (guint i = 0; i < n; i++)
        {
          CU_ASSERT_TRUE (deployment_wait_ready (deployment, rounds[r][i]));
          workload_set_live (workload, rounds[r][i], TRUE);
        }
      CU_ASSERT_TRUE (workload_wait_completed (workload, 10));
    }
  workload_stop (workload);
  check_nothing_lost ();
}

/* The server itself announces that it is leaving.  */
static void
leave_by_engine (const char *server)
{
  guint i = testbed_find (deployment->engines, deployment->n_engines, server);
  CU_ASSERT_TRUE (harness_set_faults (deployment->engines[i].proc->port,
                                      "{\"leaving\":true}"));
}

/* An operator drains the server through the administration API.  */
static void
leave_by_operator (const char *server)
{
  char *path = g_strdup_printf ("/backends/%s/drain", server);
  struct harness_response *reply = testbed_admin (0, "PUT", path, NULL, "{}");
  CU_ASSERT_EQUAL (reply->status, 200);
  harness_response_free (reply);
  g_free (path);
}

/* The platform's list of servers marks the server as leaving.  */
static void
leave_by_platform (const char *server)
{
  static const char *const headers[] = { "If-None-Match", "*", NULL };
  char *body = g_strdup_printf ("[%s]\nstate=leaving\n", server);
  const struct harness_request call = { .method = "PUT",
                                        .port = deployment->platform->port,
                                        .path = "/objects/fleet",
                                        .headers = headers,
                                        .body = body };
  struct harness_response *reply = harness_request (&call);
  CU_ASSERT_EQUAL (reply->status, 200);
  harness_response_free (reply);
  g_free (body);
}

static void
start_leaving (const char *server, void (*leave) (const char *server))
{
  leave (server);
  testbed_record (HISTORY_LEAVING, server, 0);
}

static gboolean
have_served (void *ctx)
{
  const char *const *servers = ctx;
  for (guint i = 0; servers[i] != NULL; i++)
    {
      guint at = testbed_find (deployment->engines, deployment->n_engines,
                               servers[i]);
      if (harness_get_int (deployment->engines[at].proc->port, "/counts",
                           "started")
          < 5)
        return FALSE;
    }
  return TRUE;
}

static void
test_leaving_servers_get_no_requests (void)
{
  static const char *const servers[]
      = { "kgn-1-engine-1", "kgn-2-engine-1", "kgn-2-engine-2", NULL };
  start_clients (WORKLOAD_STREAM, 12, WORKLOAD_ANY, "leave");
  CU_ASSERT_TRUE (
      harness_wait_until (have_served, (void *)servers, HARNESS_TIMEOUT_MS));
  start_leaving (servers[0], leave_by_engine);
  start_leaving (servers[1], leave_by_operator);
  start_leaving (servers[2], leave_by_platform);
  g_usleep (OBSERVE_LEFT_US);
  gint64 refused = harness_get_int (deployment->engines[0].proc->port,
                                    "/counts", "refused");
  CU_ASSERT_TRUE (workload_wait_completed (workload, 20));
  workload_stop (workload);
  CU_ASSERT_EQUAL (
      harness_get_int (deployment->engines[0].proc->port, "/counts", "refused"),
      refused);
  check_nothing_lost ();
}

/* Two instances are frozen: one while granted calls wait for their write-ahead
   record in the ledger, one that owns a shard while requests are queued there.
   A server that each of them uses leaves meanwhile. After they resume, neither
   old grants nor grants of an owner that was frozen may send requests to these
   servers.  */
static void
test_grants_expire_while_frozen (void)
{
  const guint frozen[] = { 1, testbed_shard_owner ("mbj-1:assistant:") };
  struct state_wait recording = { frozen[0], "recording", 4 };
  struct state_wait waiting = { frozen[1], "waiting", 4 };
  CU_ASSERT_TRUE (
      harness_set_faults (deployment->platform->port, "{\"slow_ms\":700}"));
  /* Use up the slots of the other engines.  */
  start_clients (WORKLOAD_STREAM, 24, 2, "fill");
  start_clients (WORKLOAD_STREAM, 24, frozen[1], "late");
  CU_ASSERT_TRUE (harness_wait_until (has_state, &waiting, HARNESS_TIMEOUT_MS));
  start_clients (WORKLOAD_KEYED, 12, frozen[0], "grant");
  CU_ASSERT_TRUE (
      harness_wait_until (has_state, &recording, HARNESS_TIMEOUT_MS));
  testbed_take_down (frozen[0], SIGSTOP);
  testbed_take_down (frozen[1], SIGSTOP);
  CU_ASSERT_TRUE (
      harness_set_faults (deployment->platform->port, "{\"slow_ms\":0}"));
  start_leaving ("kgn-1-service-1", leave_by_operator);
  start_leaving ("mbj-1-engine-1", leave_by_operator);
  g_usleep (OBSERVE_LEFT_US);
  testbed_resume (frozen[0]);
  testbed_resume (frozen[1]);
  CU_ASSERT_TRUE (workload_wait_completed (workload, 36));
  workload_stop (workload);
  CU_ASSERT_TRUE (workload_check (workload));
}

static CU_TestInfo tests[] = {
  { "a shutdown completes all requests", test_graceful_shutdown },
  { "a rolling replacement loses no request", test_rolling_replacement },
  { "leaving servers get nothing new", test_leaving_servers_get_no_requests },
  { "grants expire while instances are frozen",
    test_grants_expire_while_frozen },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "leave", start, testbed_stop, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
