/* Instances and backend servers that leave: a shutdown cuts off no request in
   progress, a rolling replacement of all instances loses none, and a leaving
   server gets no new work, also from an instance that was frozen.  */
#include "proc/fix.h"

#define GRACE "1000" /* ms that an instance serves on */
#define STREAM_TOKENS 60
#define LEFT_US                                                                \
  (HISTORY_LEAVE_US + G_USEC_PER_SEC) /* observed after leaving                \
                                       */

static const char *const engine_args[]
    = { "--base-us", "8000", "--max-batch", "64", NULL };

/* Seven instances, as at both users.  */
static const struct deployment_options options = {
  .domains = {
    { "kgn-1", "kgn", 3, 2, 1 },
    { "kgn-2", "kgn", 2, 2, 1 },
    { "mbj-1", "mbj", 2, 1, 1 },
  },
  .engine_args = engine_args,
  .max_running = 8,
  .limits = "shutdown_grace_ms=" GRACE "\n",
};

static int
start (void)
{
  return fix_start (&options);
}

static void
start_load (enum workload_kind what, guint threads, guint entry,
            const char *prefix)
{
  const struct workload_clients load = { .kind = what,
                                         .threads = threads,
                                         .tokens = STREAM_TOKENS,
                                         .threads_per_key = 2,
                                         .instance = entry,
                                         .prefix = prefix };
  workload_start (workload, &load);
}

/* No try was cut off or refused, but where another try of its key was under
   way.  */
static void
nothing_was_lost (void)
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

static gint64
waiting_at (guint i, const char *state)
{
  struct harness_response *reply = fix_admin (i, NULL, "/dump", NULL, NULL);
  char *what = g_strdup_printf ("\"state\":\"%s\"", state);
  gint64 n = 0;
  for (const char *at = reply->body->str; (at = strstr (at, what)) != NULL;
       at++)
    n++;
  g_free (what);
  harness_response_free (reply);
  return n;
}

struct wait
{
  guint entry;
  const char *state;
  gint64 at_least;
};

static gboolean
has_state (void *ctx)
{
  const struct wait *wait = ctx;
  return waiting_at (wait->entry, wait->state) >= wait->at_least;
}

/* Streams and waiting requests in progress end well at an instance that is
   told to go.  */
static void
test_shutdown_finishes_all (void)
{
  struct wait wait = { 5, "waiting", 4 };
  start_load (WORKLOAD_STREAM, 24, 5, "shut");
  CU_ASSERT_TRUE (harness_wait_until (has_state, &wait, HARNESS_TIMEOUT_MS));
  harness_signal (deployment->instances[5].proc, SIGTERM);
  workload_stop (workload);
  CU_ASSERT_EQUAL (
      harness_reap (deployment->instances[5].proc, HARNESS_TIMEOUT_MS), 0);
  CU_ASSERT_TRUE (fix_up (5));
  nothing_was_lost ();
}

/* One instance of each failure domain at a time; the new one has another
   address for its peers.  */
static void
test_rolling_replacement (void)
{
  static const guint rounds[][3] = { { 0, 3, 5 }, { 1, 4, 6 }, { 2, 2, 2 } };
  start_load (WORKLOAD_STREAM, 6, WORKLOAD_ANY, "roll-stream");
  start_load (WORKLOAD_BUFFERED, 3, WORKLOAD_ANY, "roll-whole");
  start_load (WORKLOAD_ONCE, 2, WORKLOAD_ANY, "roll-once");
  start_load (WORKLOAD_KEYED, 4, WORKLOAD_ANY, "roll-key");
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
  nothing_was_lost ();
}

/* X (how a server leaves) */
static void
leave_by_own_word (const char *server)
{
  guint i = fix_find (deployment->engines, deployment->n_engines, server);
  CU_ASSERT_TRUE (harness_set_faults (deployment->engines[i].proc->port,
                                      "{\"leaving\":true}"));
}

static void
leave_by_operator (const char *server)
{
  char *path = g_strdup_printf ("/backends/%s/drain", server);
  struct harness_response *reply = fix_admin (0, "PUT", path, NULL, "{}");
  CU_ASSERT_EQUAL (reply->status, 200);
  harness_response_free (reply);
  g_free (path);
}

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
begin_to_leave (const char *server, void (*leave) (const char *server))
{
  leave (server);
  fix_note (HISTORY_LEAVING, server, 0);
}

static gboolean
has_started (void *ctx)
{
  const char *const *servers = ctx;
  for (guint i = 0; servers[i] != NULL; i++)
    {
      guint at
          = fix_find (deployment->engines, deployment->n_engines, servers[i]);
      if (harness_get_int (deployment->engines[at].proc->port, "/counts",
                           "started")
          < 5)
        return FALSE;
    }
  return TRUE;
}

static void
test_leaving_servers_get_nothing (void)
{
  static const char *const servers[]
      = { "kgn-1-engine-1", "kgn-2-engine-1", "kgn-2-engine-2", NULL };
  start_load (WORKLOAD_STREAM, 12, WORKLOAD_ANY, "leave");
  CU_ASSERT_TRUE (
      harness_wait_until (has_started, (void *)servers, HARNESS_TIMEOUT_MS));
  begin_to_leave (servers[0], leave_by_own_word);
  begin_to_leave (servers[1], leave_by_operator);
  begin_to_leave (servers[2], leave_by_platform);
  g_usleep (LEFT_US);
  gint64 refused = harness_get_int (deployment->engines[0].proc->port,
                                    "/counts", "refused");
  CU_ASSERT_TRUE (workload_wait_completed (workload, 20));
  workload_stop (workload);
  CU_ASSERT_EQUAL (
      harness_get_int (deployment->engines[0].proc->port, "/counts", "refused"),
      refused);
  nothing_was_lost ();
}

/* Instances are frozen, one while granted calls wait for the ledger's leave,
   one while requests wait for a slot; meanwhile a server of each leaves. What
   was granted before, or by an owner that was frozen, is not used.  */
static void
test_frozen_past_its_grants (void)
{
  const guint entries[] = { 1, fix_owner ("mbj-1:assistant:") };
  struct wait recording = { entries[0], "recording", 4 };
  struct wait waiting = { entries[1], "waiting", 4 };
  CU_ASSERT_TRUE (
      harness_set_faults (deployment->platform->port, "{\"slow_ms\":700}"));
  start_load (WORKLOAD_STREAM, 24, 2, "fill"); /* no free slot elsewhere */
  start_load (WORKLOAD_STREAM, 24, entries[1], "late");
  CU_ASSERT_TRUE (harness_wait_until (has_state, &waiting, HARNESS_TIMEOUT_MS));
  start_load (WORKLOAD_KEYED, 12, entries[0], "grant");
  CU_ASSERT_TRUE (
      harness_wait_until (has_state, &recording, HARNESS_TIMEOUT_MS));
  fix_down (entries[0], SIGSTOP);
  fix_down (entries[1], SIGSTOP);
  CU_ASSERT_TRUE (
      harness_set_faults (deployment->platform->port, "{\"slow_ms\":0}"));
  begin_to_leave ("kgn-1-service-1", leave_by_operator);
  begin_to_leave ("mbj-1-engine-1", leave_by_operator);
  g_usleep (LEFT_US);
  fix_continue (entries[0]);
  fix_continue (entries[1]);
  CU_ASSERT_TRUE (workload_wait_completed (workload, 36));
  workload_stop (workload);
  CU_ASSERT_TRUE (workload_check (workload));
}

static CU_TestInfo tests[] = {
  { "a shutdown finishes all in progress", test_shutdown_finishes_all },
  { "a rolling replacement loses nothing", test_rolling_replacement },
  { "leaving servers get nothing new", test_leaving_servers_get_nothing },
  { "instances frozen past their grants", test_frozen_past_its_grants },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "leave", start, fix_stop, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
