/* Requests in progress at an instance that gets SIGTERM more than once, or
   SIGHUP before, during and after SIGTERM: none of them is lost, and the
   process ends as after a single SIGTERM. Signals to an instance that is
   starting: SIGHUP does not end it, SIGTERM does.  */
#include "proc/proxy_testbed.h"

#include <string.h>
#include <sys/inotify.h>
#include <unistd.h>

#define SEQUENCE_CLIENTS 40
#define SEQUENCE_SEND_BEFORE_MS 300
#define SIGNALS_MAX 6

#define LATE_END_MS 1000 /* more than the check allows */

#define START_EVENT_MS 10000
#define START_COMMENT_LINES 100000 /* settings have 256 KiB at most */

struct timed_signal
{
  struct proxy_site_instance *instance;
  int signal;
  int at_ms; /* relative to the first SIGTERM */
};

static void
send_timed_signal (gpointer data)
{
  const struct timed_signal *timed = data;
  if (timed->instance->ended_at == 0)
    proxy_site_signal (timed->instance, timed->signal);
}

/* Sends SIGNALS, which end with signal 0, to one instance each, all at the same
   time, with requests in progress.  */
static void
run_sequences (const struct timed_signal (*signals)[SIGNALS_MAX], guint n)
{
  proxy_testbed_start (&proxy_testbed_config, 0, FALSE);
  for (guint i = 0; i < n; i++)
    proxy_testbed_add ();
  gint64 stop_at
      = g_get_monotonic_time () + (gint64)SEQUENCE_SEND_BEFORE_MS * 1000;
  guint span_ms = SEQUENCE_SEND_BEFORE_MS + PROXY_TESTBED_LATEST_SEND_MS;
  for (guint i = 0; i < n; i++)
    {
      for (guint k = 0; signals[i][k].signal != 0; k++)
        {
          struct timed_signal *timed
              = g_memdup2 (&signals[i][k], sizeof *timed);
          timed->instance = &site->instances[i];
          proxy_site_at (site, stop_at + (gint64)timed->at_ms * 1000,
                         send_timed_signal, timed, g_free);
        }
      for (guint k = 0; k < SEQUENCE_CLIENTS; k++)
        {
          struct proxy_site_call call
              = proxy_testbed_call (k, 50 + k * 41 % 1300);
          gint64 at = stop_at - (gint64)SEQUENCE_SEND_BEFORE_MS * 1000
                      + (gint64)k * span_ms * 1000 / SEQUENCE_CLIENTS;
          proxy_site_send_at (proxy_site_open (&site->instances[i]), &call, at);
        }
    }
  proxy_site_run_for (site, span_ms);
  for (guint i = 0; i < n; i++)
    proxy_testbed_check_stopped (&site->instances[i]);
  proxy_testbed_finish ();
  proxy_site_free (site);
}

static void
test_sighup_around_sigterm (void)
{
  static const struct timed_signal signals[][SIGNALS_MAX] = {
    { { NULL, SIGHUP, -100 }, { NULL, SIGHUP, -1 }, { NULL, SIGTERM, 0 } },
    { { NULL, SIGTERM, 0 }, { NULL, SIGHUP, 1 }, { NULL, SIGHUP, 300 } },
    { { NULL, SIGTERM, 0 },
      { NULL, SIGHUP, 2490 },
      { NULL, SIGHUP, 2530 },
      { NULL, SIGHUP, 3000 } },
  };
  run_sequences (signals, G_N_ELEMENTS (signals));
}

static void
test_repeated_sigterm (void)
{
  static const struct timed_signal signals[][SIGNALS_MAX] = {
    { { NULL, SIGTERM, 0 }, { NULL, SIGTERM, 1 } },
    { { NULL, SIGTERM, 0 }, { NULL, SIGTERM, 300 }, { NULL, SIGTERM, 2600 } },
    { { NULL, SIGTERM, 0 }, { NULL, SIGHUP, 200 }, { NULL, SIGTERM, 400 } },
  };
  run_sequences (signals, G_N_ELEMENTS (signals));
}

/* Delays of a signal after the process has opened its settings, which is the
   first that it does. Before, the dynamic linker runs, and a signal has its
   default action whatever the program does.  */
static const gint64 start_delays_us[]
    = { 0,     0,     1000,  2000,  3000,  5000,   7500,   10000,
        15000, 20000, 30000, 40000, 60000, 100000, 150000, 200000 };

/* Starts a site whose instances take some ms to read their settings.  */
static void
start_site_of_slow_starts (void)
{
  const struct proxy_site_options options
      = { .config = proxy_testbed_config,
          .key_limit_ms = PROXY_TESTBED_KEY_LIMIT_MS,
          .comment_lines = START_COMMENT_LINES };
  site = proxy_site_new (&options);
}

struct opening
{
  int watch;        /* inotify, of the folder */
  const char *file; /* name without the folder */
};

/* Condition: a process has opened the file.  */
static gboolean
is_opened (void *ctx)
{
  const struct opening *opening = ctx;
  char buffer[4096];
  gssize n;
  while ((n = read (opening->watch, buffer, sizeof buffer)) > 0)
    for (gssize at = 0; at + (gssize)sizeof (struct inotify_event) <= n;)
      {
        struct inotify_event event;
        memcpy (&event, buffer + at, sizeof event);
        at += (gssize)sizeof event;
        if (event.len > 0 && strcmp (buffer + at, opening->file) == 0)
          return TRUE;
        at += event.len;
      }
  return FALSE;
}

static gboolean
has_passed (void *ctx)
{
  return g_get_monotonic_time () >= *(const gint64 *)ctx;
}

/* Starts the process of INSTANCE and sends it SIGNAL DELAY after it has opened
   its settings, and a request just before that. The main loop runs meanwhile,
   so that the ends of other connections are observed when they happen.  */
static void
start_and_signal (struct proxy_site_instance *instance, int signal,
                  gint64 delay)
{
  const struct proxy_site_call call = { .path = "/open/x", .respond_ms = 5 };
  char *file = g_path_get_basename (instance->settings);
  struct opening opening
      = { .watch = inotify_init1 (IN_CLOEXEC | IN_NONBLOCK), .file = file };
  CU_ASSERT_TRUE_FATAL (opening.watch >= 0);
  CU_ASSERT_TRUE_FATAL (
      inotify_add_watch (opening.watch, harness_dir (site->harness), IN_OPEN)
      >= 0);
  CU_ASSERT_TRUE_FATAL (proxy_site_launch (instance));
  CU_ASSERT_TRUE (
      proxy_site_run_until (site, is_opened, &opening, START_EVENT_MS));
  gint64 signal_at = g_get_monotonic_time () + delay;
  close (opening.watch);
  g_free (file);
  proxy_site_run_until (site, has_passed, &signal_at, START_EVENT_MS);
  proxy_site_send (proxy_site_open (instance), &call);
  proxy_site_signal (instance, signal);
}

/* Starts one instance for each delay, one after the other.  */
static void
start_and_signal_all (int signal)
{
  for (guint i = 0; i < G_N_ELEMENTS (start_delays_us); i++)
    CU_ASSERT_PTR_NOT_NULL_FATAL (proxy_site_prepare (site));
  for (guint i = 0; i < G_N_ELEMENTS (start_delays_us); i++)
    start_and_signal (&site->instances[i], signal, start_delays_us[i]);
}

static gboolean
is_ready_or_ended (void *ctx)
{
  struct proxy_site_instance *instance = ctx;
  return instance->ended_at != 0 || proxy_site_is_ready (instance);
}

/* SIGHUP does not end a process that is starting.  */
static void
test_sighup_during_start (void)
{
  const struct proxy_site_call call = { .path = "/open/x", .respond_ms = 5 };
  start_site_of_slow_starts ();
  start_and_signal_all (SIGHUP);
  for (guint i = 0; i < site->n_instances; i++)
    {
      struct proxy_site_instance *instance = &site->instances[i];
      CU_ASSERT_TRUE (proxy_site_run_until (site, is_ready_or_ended, instance,
                                            START_EVENT_MS));
      CU_ASSERT_EQUAL (instance->ended_at, 0);
      if (instance->ended_at != 0)
        {
          g_print ("%s ended, status %d: SIGHUP %" G_GINT64_FORMAT
                   " us after it has opened its settings\n",
                   instance->proc->name, harness_reap (instance->proc, 0),
                   start_delays_us[i]);
          harness_explain (site->harness);
        }
      else
        proxy_site_send (proxy_site_open (instance), &call);
    }
  proxy_testbed_finish ();
  proxy_site_free (site);
}

static gboolean
has_accepted (const struct proxy_site_instance *instance)
{
  for (guint i = 0; i < site->clients->len; i++)
    {
      const struct proxy_site_client *client = site->clients->pdata[i];
      if (client->instance == instance && client->opened)
        return TRUE;
    }
  return FALSE;
}

/* SIGTERM ends a process that is starting. Once it accepts connections it must
   shut down in order; before, the signal may have its default action.  */
static void
test_sigterm_during_start (void)
{
  start_site_of_slow_starts ();
  start_and_signal_all (SIGTERM);
  for (guint i = 0; i < site->n_instances; i++)
    {
      struct proxy_site_instance *instance = &site->instances[i];
      int status = proxy_site_wait_ended (instance, 2 * instance->grace_ms);
      gboolean in_order
          = status == 0
            || (status == 128 + SIGTERM && !has_accepted (instance));
      CU_ASSERT_TRUE (in_order);
      if (!in_order)
        {
          g_print ("%s ended, status %d, connection %s\n", instance->proc->name,
                   status, has_accepted (instance) ? "accepted" : "refused");
          harness_explain (site->harness);
        }
      CU_ASSERT_TRUE (instance->ended_at - instance->terminated_at
                      < (gint64)instance->grace_ms * 1000);
    }
  CU_ASSERT_TRUE (proxy_site_settle (site, PROXY_TESTBED_SETTLE_MS));
  CU_ASSERT_EQUAL (proxy_site_check (site).violations, 0);
  proxy_site_free (site);
}

/* Condition: the process is stopped. GLib sends signals from a thread of its
   own, so they take effect a little later.  */
static gboolean
is_stopped (void *ctx)
{
  const struct proxy_site_instance *stopped = ctx;
  char *path = g_strdup_printf ("/proc/%d/status", harness_pid (stopped->proc));
  char *text = NULL;
  gboolean yes = g_file_get_contents (path, &text, NULL, NULL)
                 && strstr (text, "State:\tT") != NULL;
  g_free (text);
  g_free (path);
  return yes;
}

/* The check that all tests rely on notices a connection that ends late and
   without a response.  */
static void
test_late_end_is_noticed (void)
{
  const struct proxy_site_call call = { .path = "/open/x", .respond_ms = 5 };
  proxy_testbed_start (&proxy_testbed_config, 0, FALSE);
  struct proxy_site_instance *instance = proxy_testbed_add ();
  proxy_site_signal (instance, SIGSTOP);
  CU_ASSERT_TRUE (
      proxy_site_run_until (site, is_stopped, instance, START_EVENT_MS));
  proxy_site_send (proxy_site_open (instance), &call);
  proxy_site_run_for (site, LATE_END_MS);
  proxy_site_signal (instance, SIGKILL);
  CU_ASSERT_TRUE (proxy_site_settle (site, PROXY_TESTBED_SETTLE_MS));
  CU_ASSERT_EQUAL (proxy_site_check (site).violations, 1);
  proxy_site_free (site);
}

static CU_TestInfo tests[] = {
  { "SIGHUP before, during and after SIGTERM", test_sighup_around_sigterm },
  { "SIGTERM is repeated", test_repeated_sigterm },
  { "SIGHUP during the start", test_sighup_during_start },
  { "SIGTERM during the start", test_sigterm_during_start },
  { "a late end is noticed", test_late_end_is_noticed },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "unanswered signals", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
