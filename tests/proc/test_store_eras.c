/* A store that comes back from an older copy, in a new era: what was written
   since is gone until the operator and the servers write it again, and its
   versions are given out again.  */
#include "proc/proxy_testbed.h"

#define CALL_EVERY_MS 20
#define IN_FORCE_MS 3000 /* limit for a configuration to be in force */
#define REWRITTEN_MS 800 /* until the operator writes again */
#define SERVERS_REWRITTEN_MS 1100
#define OBSERVED_MS 4000 /* after the store has come back */
#define AWAY_MS 500      /* the store, before it comes back */
#define GONE_MS 4000     /* servers without an entry count as gone by then */
#define PUBLIC_PATH "/open/x"
#define KEYED_PATH "/again/x"

static struct proxy_site_instance *instance;

/* Sends a request on a connection of its own and returns it. KEY may be
   NULL.  */
static struct proxy_site_request *
call (const char *path, const char *key)
{
  const struct proxy_site_call options
      = { .path = path, .key = key, .respond_ms = 5, .may_be_denied = TRUE };
  proxy_site_send (proxy_site_open (instance), &options);
  return g_ptr_array_index (site->requests, site->requests->len - 1);
}

/* Sends a public request and one with each key, every CALL_EVERY_MS for MS.  */
static void
call_for (guint ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)ms * 1000;
  while (g_get_monotonic_time () < end)
    {
      call (PUBLIC_PATH, NULL);
      call (KEYED_PATH, PROXY_SITE_KEY);
      call (KEYED_PATH, PROXY_SITE_OTHER_KEY);
      proxy_site_run_for (site, CALL_EVERY_MS);
    }
}

/* Sends requests with KEY until one gets STATUS.  */
static gboolean
wait_status (const char *key, guint status)
{
  gint64 end = g_get_monotonic_time () + (gint64)IN_FORCE_MS * 1000;
  while (g_get_monotonic_time () < end)
    {
      struct proxy_site_request *request = call (KEYED_PATH, key);
      CU_ASSERT_TRUE (proxy_site_settle (site, PROXY_TESTBED_SETTLE_MS));
      if (request->status == status)
        return TRUE;
      proxy_site_run_for (site, CALL_EVERY_MS);
    }
  return FALSE;
}

/* Counts the requests from FIRST on with PATH and KEY whose status is not
   STATUS.  */
static guint
count_others (guint first, const char *path, const char *key, guint status)
{
  guint n = 0;
  for (guint i = first; i < site->requests->len; i++)
    {
      const struct proxy_site_request *request = site->requests->pdata[i];
      if (g_strcmp0 (request->call.path, path) == 0
          && g_strcmp0 (request->call.key, key) == 0
          && request->status != status)
        n++;
    }
  return n;
}

static guint
count_served (guint first, const char *key)
{
  guint n = 0;
  for (guint i = first; i < site->requests->len; i++)
    {
      const struct proxy_site_request *request = site->requests->pdata[i];
      n += g_strcmp0 (request->call.key, key) == 0 && request->status == 200;
    }
  return n;
}

/* Starts an instance and replaces the second key. Returns the time between both
   configurations.  */
static gint64
start_with_key_removed (void)
{
  struct proxy_site_config config = proxy_testbed_config;
  proxy_testbed_start (&config, 0, FALSE);
  instance = proxy_testbed_add ();
  CU_ASSERT_TRUE (wait_status (PROXY_SITE_OTHER_KEY, 200));
  gint64 time = g_get_monotonic_time ();
  config.other_key = 1;
  CU_ASSERT_TRUE (proxy_site_put (instance, &config));
  CU_ASSERT_TRUE (wait_status (PROXY_SITE_OTHER_KEY, 401));
  return time;
}

static void
put_again (gpointer data)
{
  struct proxy_site_config config = proxy_testbed_config;
  (void)data;
  config.other_key = 1;
  CU_ASSERT_TRUE (proxy_site_put (instance, &config));
}

static void
put_servers_again (gpointer data)
{
  (void)data;
  CU_ASSERT_TRUE (proxy_site_put_servers (instance));
}

/* Settles, checks that the removed key was never accepted and that all public
   requests since FIRST were served, and frees the site.  */
static void
finish (guint first)
{
  proxy_testbed_finish ();
  CU_ASSERT_EQUAL (count_served (first, PROXY_SITE_OTHER_KEY), 0);
  CU_ASSERT_EQUAL (count_others (first, PUBLIC_PATH, NULL, 200), 0);
  proxy_site_free (site);
}

/* The copy still lists the removed key.  */
static void
test_removed_key (void)
{
  gint64 time = start_with_key_removed ();
  guint first = site->requests->len;
  CU_ASSERT_TRUE (proxy_site_go_back (instance, time));
  proxy_site_at (site, g_get_monotonic_time () + REWRITTEN_MS * 1000, put_again,
                 NULL, NULL);
  call_for (OBSERVED_MS);
  CU_ASSERT_EQUAL (count_others (first, KEYED_PATH, PROXY_SITE_KEY, 200), 0);
  finish (first);
}

/* The operator does not write the newest configuration again: keyed requests
   are rejected rather than served under the older one.  */
static void
test_removed_key_not_written_again (void)
{
  gint64 time = start_with_key_removed ();
  guint first = site->requests->len;
  CU_ASSERT_TRUE (proxy_site_go_back (instance, time));
  proxy_site_run_for (site, PROXY_TESTBED_KEY_LIMIT_MS);
  guint later = site->requests->len;
  call_for (OBSERVED_MS);
  CU_ASSERT_TRUE (proxy_site_settle (site, PROXY_TESTBED_SETTLE_MS));
  CU_ASSERT_EQUAL (count_others (later, KEYED_PATH, PROXY_SITE_KEY, 503), 0);
  put_again (NULL);
  CU_ASSERT_TRUE (wait_status (PROXY_SITE_KEY, 200));
  finish (first);
}

/* The copy is empty: it lacks the configuration and all servers.  */
static void
test_servers_missing (void)
{
  start_with_key_removed ();
  guint first = site->requests->len;
  CU_ASSERT_TRUE (proxy_site_go_back (instance, 0));
  gint64 now = g_get_monotonic_time ();
  proxy_site_at (site, now + REWRITTEN_MS * 1000, put_again, NULL, NULL);
  proxy_site_at (site, now + SERVERS_REWRITTEN_MS * 1000, put_servers_again,
                 NULL, NULL);
  call_for (OBSERVED_MS);
  CU_ASSERT_EQUAL (count_others (first, KEYED_PATH, PROXY_SITE_KEY, 200), 0);
  finish (first);
}

/* Servers that do not write their entries again count as gone, until they
   do.  */
static void
test_servers_gone (void)
{
  start_with_key_removed ();
  guint first = site->requests->len;
  CU_ASSERT_TRUE (proxy_site_go_back (instance, 0));
  put_again (NULL);
  proxy_site_run_for (site, GONE_MS);
  guint later = site->requests->len;
  call_for (CALL_EVERY_MS);
  CU_ASSERT_TRUE (proxy_site_settle (site, PROXY_TESTBED_SETTLE_MS));
  CU_ASSERT_EQUAL (count_others (later, PUBLIC_PATH, NULL, 503), 0);
  put_servers_again (NULL);
  CU_ASSERT_TRUE (wait_status (PROXY_SITE_KEY, 200));
  proxy_testbed_finish ();
  CU_ASSERT_EQUAL (count_served (first, PROXY_SITE_OTHER_KEY), 0);
  proxy_site_free (site);
}

/* The store is away before it comes back, twice in a row, and requests go on
   through all of it.  */
static void
test_drills_in_a_row (void)
{
  gint64 time = start_with_key_removed ();
  guint first = site->requests->len;
  for (guint i = 0; i < 2; i++)
    {
      int port = instance->store->port;
      CU_ASSERT_TRUE (harness_set_faults (port, "{\"down\": true}"));
      call_for (AWAY_MS);
      CU_ASSERT_TRUE (proxy_site_go_back (instance, time));
      CU_ASSERT_TRUE (harness_set_faults (port, "{\"down\": false}"));
      call_for (REWRITTEN_MS);
      put_again (NULL);
      call_for (REWRITTEN_MS);
    }
  CU_ASSERT_EQUAL (count_others (first, KEYED_PATH, PROXY_SITE_KEY, 200), 0);
  finish (first);
}

static CU_TestInfo tests[] = {
  { "a removed key that the copy still lists", test_removed_key },
  { "a removed key, not written again", test_removed_key_not_written_again },
  { "servers that the copy lacks", test_servers_missing },
  { "servers that do not write again", test_servers_gone },
  { "drills in a row", test_drills_in_a_row },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "store eras", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
