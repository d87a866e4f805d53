/* Updates of the configuration. Of concurrent updates of the same version one
   succeeds, also if the platform's response to the write is lost. An accepted
   update is in force at all instances within HISTORY_SPREAD_US and is never
   reverted, whichever instances are killed, frozen or restarted and while the
   platform is down.  */
#include "proc/testbed.h"

#define RACES 6
/* The platform's calls are counted for this long while it is down, and again
   after its return.  */
#define OBSERVE_US (2 * G_USEC_PER_SEC)
#define OBSERVED_CALLS_MAX 40 /* of all seven instances in that time */

static const struct deployment_options options = {
  .domains = {
    { "kgn-1", "kgn", 3, 1, 1 },
    { "kgn-2", "kgn", 2, 0, 0 },
    { "mbj-1", "mbj", 2, 0, 0 },
  },
};

static int
start (void)
{
  return testbed_start (&options);
}

static void
set_platform_fault (const char *json)
{
  CU_ASSERT_TRUE (harness_set_faults (deployment->platform->port, json));
}

/* Returns the configuration version that instance I has in force, or -1 if it
   reports none.  */
static gint64
version_at (guint i)
{
  struct harness_response *reply = testbed_admin (i, NULL, "/dump", NULL, NULL);
  const char *at = strstr (reply->body->str, "\"config_version\":");
  gint64 version = at ? g_ascii_strtoll (strchr (at, ':') + 1, NULL, 10) : -1;
  harness_response_free (reply);
  return version;
}

static gboolean
have_version (void *ctx)
{
  for (guint i = 0; i < deployment->n_instances; i++)
    if (version_at (i) < *(gint64 *)ctx)
      return FALSE;
  return TRUE;
}

struct update
{
  guint instance;
  const char *preset;
  gint64 base_version; /* sent in If-Match */
  guint status;
  gint64 version; /* that was accepted; 0: none */
};

/* Thread function: sends the update DATA, a struct update, and fills in its
   result.  */
static gpointer
send_preset_update (gpointer data)
{
  struct update *update = data;
  GMainContext *context = g_main_context_new ();
  g_main_context_push_thread_default (context);
  char *match
      = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", update->base_version);
  char *body = g_strdup_printf ("{\"preset\":\"%s\"}", update->preset);
  struct harness_response *reply
      = testbed_admin (update->instance, "PUT", "/preset", match, body);
  JsonNode *node = harness_response_json (reply);
  update->status = reply->status;
  if (reply->status == 200 && node != NULL)
    {
      update->version = json_object_get_int_member_with_default (
          json_node_get_object (node), "version", 0);
      testbed_record (HISTORY_ACCEPT,
                      deployment->instances[update->instance].name,
                      (guint64)update->version);
    }
  g_clear_pointer (&node, json_node_unref);
  harness_response_free (reply);
  g_free (body);
  g_free (match);
  g_main_context_pop_thread_default (context);
  g_main_context_unref (context);
  return NULL;
}

/* Switches to PRESET through instance I. Returns the accepted version, or 0 if
   the update was rejected.  */
static gint64
update_preset (guint i, const char *preset)
{
  struct update update
      = { .instance = i, .preset = preset, .base_version = version_at (i) };
  send_preset_update (&update);
  return update.version;
}

static void
test_concurrent_updates (void)
{
  static const char *const faults[]
      = { "{}", "{\"lose_answer_after_put\":1}", "{\"slow_ms\":150}" };
  for (guint r = 0; r < RACES; r++)
    {
      gint64 base_version = version_at (0);
      CU_ASSERT_TRUE (
          harness_wait_until (have_version, &base_version, HARNESS_TIMEOUT_MS));
      struct update a = { .instance = r % deployment->n_instances,
                          .preset = "peak",
                          .base_version = base_version };
      struct update b = { .instance = (r + 3) % deployment->n_instances,
                          .preset = "maintenance",
                          .base_version = base_version };
      set_platform_fault (faults[r % G_N_ELEMENTS (faults)]);
      GThread *thread = g_thread_new ("operator", send_preset_update, &a);
      send_preset_update (&b);
      g_thread_join (thread);
      set_platform_fault ("{\"lose_answer_after_put\":0,\"slow_ms\":0}");
      CU_ASSERT_TRUE ((a.status == 200 && b.status == 409)
                      || (a.status == 409 && b.status == 200));
      gint64 version = MAX (a.version, b.version);
      CU_ASSERT_TRUE (harness_wait_until (have_version, &version,
                                          HISTORY_SPREAD_US / 1000));
    }
  CU_ASSERT_TRUE (workload_check (workload));
}

/* Returns the number of calls that the platform got, with those that it
   rejected.  */
static gint64
platform_calls (void)
{
  static const char *const kinds[]
      = { "get", "put", "watch", "list", "limited", "down" };
  gint64 sum = 0;
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    sum += harness_get_int (deployment->platform->port, "/counts", kinds[i]);
  return sum;
}

/* An instance that restarts while the platform is down gets the newest version
   from its peers. When the platform is back, the instances must not overload it
   with calls.  */
static void
test_platform_down (void)
{
  gint64 version = update_preset (0, "ordinary");
  CU_ASSERT_TRUE (version > 0);
  CU_ASSERT_TRUE (
      harness_wait_until (have_version, &version, HISTORY_SPREAD_US / 1000));
  set_platform_fault ("{\"down\":true}");
  CU_ASSERT_EQUAL (testbed_terminate (1, SIGKILL), 128 + SIGKILL);
  CU_ASSERT_EQUAL (update_preset (4, "peak"), 0);
  CU_ASSERT_TRUE (testbed_restart (1));
  CU_ASSERT_EQUAL (version_at (1), version);
  struct workload_outcome outcome
      = testbed_call (WORKLOAD_STREAM, 1, "down", NULL, 8);
  CU_ASSERT_EQUAL (outcome.kind, HISTORY_RESPONSE);
  gint64 calls[2] = { platform_calls () };
  g_usleep (OBSERVE_US);
  calls[1] = platform_calls ();
  CU_ASSERT_TRUE (calls[1] - calls[0] <= OBSERVED_CALLS_MAX);
  set_platform_fault ("{\"down\":false}");
  g_usleep (OBSERVE_US);
  g_print ("%d calls while it was down, %d after ", (int)(calls[1] - calls[0]),
           (int)(platform_calls () - calls[1]));
  CU_ASSERT_TRUE (platform_calls () - calls[1] <= OBSERVED_CALLS_MAX);
  gint64 next = update_preset (4, "peak");
  CU_ASSERT_TRUE (next > version);
  CU_ASSERT_TRUE (
      harness_wait_until (have_version, &next, HISTORY_SPREAD_US / 1000));
  CU_ASSERT_TRUE (workload_check (workload));
}

/* All instances of failure domain mbj-1 are frozen while an update is accepted.
   They have it once they are resumed, and so does an instance that is killed
   and restarted meanwhile.  */
static void
test_frozen_domain (void)
{
  for (guint i = 5; i < 7; i++)
    testbed_take_down (i, SIGSTOP);
  gint64 version = update_preset (0, "maintenance");
  CU_ASSERT_TRUE (version > 0);
  g_usleep (2 * G_USEC_PER_SEC);
  testbed_terminate (3, SIGKILL);
  for (guint i = 5; i < 7; i++)
    testbed_resume (i);
  CU_ASSERT_TRUE (testbed_restart (3));
  CU_ASSERT_TRUE (
      harness_wait_until (have_version, &version, HISTORY_SPREAD_US / 1000));
  CU_ASSERT_TRUE (workload_check (workload));
}

static void
test_invalid_config_changes_nothing (void)
{
  gint64 version = version_at (2);
  char *match = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", version);
  struct harness_response *reply = testbed_admin (
      2, "PUT", "/config", match, "[jacinthward]\npreset=none\n");
  CU_ASSERT_EQUAL (reply->status, 422);
  CU_ASSERT_EQUAL (version_at (2), version);
  harness_response_free (reply);
  g_free (match);
}

static CU_TestInfo tests[] = {
  { "one of two concurrent updates succeeds", test_concurrent_updates },
  { "the platform is down and comes back", test_platform_down },
  { "a failure domain is frozen", test_frozen_domain },
  { "an invalid configuration changes nothing",
    test_invalid_config_changes_nothing },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "spread", start, testbed_stop, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
