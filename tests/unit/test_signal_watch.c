/* Signals and the time of their arrival.  */
#include "unit/unit.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "net/signal_watch.h"

#define BUSY_US (300 * CLK_MS) /* how long the main loop does not run */
#define PROMPT_US (100 * CLK_MS)

static struct
{
  guint terminates;
  guint reloads;
  gint64 arrived_at; /* of the last signal */
} seen;

static void
on_signal (void *ctx, int signal, gint64 arrived_at)
{
  (void)ctx;
  seen.terminates += signal == SIGTERM;
  seen.reloads += signal == SIGHUP;
  seen.arrived_at = arrived_at;
}

static struct signal_watch *
watch (void)
{
  static const int signals[] = { SIGTERM, SIGHUP, 0 };
  const struct signal_watch_options options
      = { .signals = signals, .clk = clk_boottime (), .handler = on_signal };
  struct err err = { 0 };
  memset (&seen, 0, sizeof seen);
  struct signal_watch *signal_watch = signal_watch_new (&options, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (signal_watch);
  return signal_watch;
}

static void
dispatch_all (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

/* A signal that a busy main loop handles late is reported with the time of its
   arrival; several of one number are reported once, with the first time.  */
static void
test_time_of_arrival (void)
{
  struct signal_watch *signal_watch = watch ();
  gint64 sent_at = clk_now (clk_boottime ());
  kill (getpid (), SIGTERM);
  g_usleep (BUSY_US);
  kill (getpid (), SIGTERM);
  CU_ASSERT_EQUAL (seen.terminates, 0);
  dispatch_all ();
  CU_ASSERT_EQUAL (seen.terminates, 1);
  CU_ASSERT_TRUE (seen.arrived_at >= sent_at);
  CU_ASSERT_TRUE (seen.arrived_at - sent_at < PROMPT_US);
  signal_watch_free (signal_watch);
}

static void
test_different_signals (void)
{
  struct signal_watch *signal_watch = watch ();
  kill (getpid (), SIGHUP);
  kill (getpid (), SIGTERM);
  dispatch_all ();
  CU_ASSERT_EQUAL (seen.terminates, 1);
  CU_ASSERT_EQUAL (seen.reloads, 1);
  kill (getpid (), SIGHUP);
  dispatch_all ();
  CU_ASSERT_EQUAL (seen.terminates, 1);
  CU_ASSERT_EQUAL (seen.reloads, 2);
  signal_watch_free (signal_watch);
}

static CU_TestInfo tests[] = {
  { "the time of arrival", test_time_of_arrival },
  { "signals of different numbers", test_different_signals },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "signal watch", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
