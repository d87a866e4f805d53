/* The settings file of an instance changes while it runs. Guards against an
   instance that ends, or does not start again, because a number in the file is
   written in another form than before or cannot be read.  */
#include "harness/proxy_fleet.h"
#include "unit/unit.h"

#include <signal.h>
#include <string.h>

#define CONFIG JW_SOURCE_DIR "/platform/test_crash_config.json"
#define START_MS 1500
#define REACTION_MS 5000

struct awaited
{
  const struct proxy_fleet *fleet;
  const char *text;
};

static gboolean
is_logged (void *ctx)
{
  const struct awaited *awaited = ctx;
  g_autofree char *log = proxy_fleet_log (awaited->fleet, 0);
  return strstr (log, awaited->text) != NULL;
}

/* Waits until the present process of the first instance has logged TEXT.  */
static gboolean
wait_logged (const struct proxy_fleet *fleet, const char *text)
{
  struct awaited awaited = { fleet, text };
  return harness_wait_until (is_logged, &awaited, REACTION_MS);
}

/* Replaces OLD by TEXT in the settings of the first instance.  */
static void
change_settings (const struct proxy_fleet *fleet, const char *old,
                 const char *text)
{
  const char *path = fleet->instances[0].settings;
  g_autofree char *before = NULL;
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &before, NULL, NULL));
  g_auto (GStrv) parts = g_strsplit (before, old, -1);
  CU_ASSERT_EQUAL (g_strv_length (parts), 2);
  g_autofree char *after = g_strjoinv (text, parts);
  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, after, -1, NULL));
}

static struct proxy_fleet *
start_fleet (void)
{
  struct proxy_fleet *fleet = proxy_fleet_new (CONFIG);
  proxy_fleet_launch (fleet);
  proxy_fleet_run_for (START_MS);
  return fleet;
}

/* The limits of the changed file are in force at once and after a restart.  */
static void
test_fractions (void)
{
  struct proxy_fleet *fleet = start_fleet ();
  change_settings (fleet, "grace_ms=4000", "grace_s=7.5");
  change_settings (fleet, "drain_ms=3000", "drain_ms=2.5005e3");
  harness_signal (fleet->instances[0].proc, SIGHUP);
  CU_ASSERT_TRUE (
      wait_logged (fleet, "\"grace_us\":7500000,\"drain_us\":2500500"));
  proxy_fleet_kill_instance (fleet);
  CU_ASSERT_TRUE (
      wait_logged (fleet, "\"grace_us\":7500000,\"drain_us\":2500500"));
  CU_ASSERT_TRUE (wait_logged (fleet, "peer.joined"));
  proxy_fleet_free (fleet);
}

/* A file that cannot be read changes nothing; an instance that starts with it
   uses the default.  */
static void
test_unreadable (void)
{
  struct proxy_fleet *fleet = start_fleet ();
  change_settings (fleet, "grace_ms=4000", "grace_ms=6000");
  change_settings (fleet, "drain_ms=3000", "drain_ms=soon");
  harness_signal (fleet->instances[0].proc, SIGHUP);
  CU_ASSERT_TRUE (wait_logged (fleet, "\"event\":\"settings.rejected\""));
  g_autofree char *log = proxy_fleet_log (fleet, 0);
  CU_ASSERT_PTR_NULL (strstr (log, "\"grace_us\":6000000"));
  proxy_fleet_kill_instance (fleet);
  CU_ASSERT_TRUE (wait_logged (fleet, "\"event\":\"settings.replaced\""));
  CU_ASSERT_TRUE (
      wait_logged (fleet, "\"grace_us\":6000000,\"drain_us\":3000000"));
  CU_ASSERT_TRUE (wait_logged (fleet, "peer.joined"));
  proxy_fleet_free (fleet);
}

static CU_TestInfo tests[] = {
  { "numbers with a fraction", test_fractions },
  { "a number that cannot be read", test_unreadable },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "settings change", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
