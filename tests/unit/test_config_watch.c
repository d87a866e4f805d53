/* Whether a large configuration has changed is asked of a watch. One that says
   so wrongly, or of another history, would leave an old version in force; a
   whole read each second fills the links.  */
#include "unit/proxy_fixture.h"

#include "platform/adapter.h"

#define ROUTES 400 /* some 45 kB */
#define MISSED_US (3 * CLK_S)

static struct
{
  guint version;
  guint revision; /* of the object */
  guint at;       /* of the store */
  guint era;
  guint forgotten;  /* revision up to which the history is dropped */
  gboolean is_deaf; /* watches hear nothing */
  guint reads;
  guint lists;
  guint watches;
  guint watched_from; /* by the last one */
} store;

static struct
{
  guint n;
  int code;
  guint64 version;
  struct routing_table *routing_table;
} observed;

/* Returns the object, or the event of it; owned by the caller.  */
static char *
object_text (void)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "{\"metadata\":{\"name\":\"main\",\"revision\":%u},\"spec\":{"
      "\"version\":%u,\"services\":[{\"name\":\"s\"}],\"routes\":[",
      store.revision, store.version);
  for (guint i = 0; i < ROUTES + store.version; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r%u\",\"host\":\"a.example\",\"path_prefix\":\"/r%u/\","
        "\"route_type\":\"idempotent\",\"service\":\"s\",\"timeout_ms\":3000}",
        i > 0 ? "," : "", i, i);
  g_string_append (text, "]}}");
  return g_string_free (text, FALSE);
}

static char *
events_text (void)
{
  if (store.is_deaf || store.watched_from >= store.revision)
    return g_strdup_printf ("{\"events\":[],\"at\":%u}", store.at);
  g_autofree char *object = object_text ();
  return g_strdup_printf (
      "{\"events\":[{\"deleted\":false,\"object\":%s}],\"at\":%u}", object,
      store.at);
}

static void
serve (struct proxy_test_link *link, struct proxy_test_request *request)
{
  static const char watch[] = "/-/objects/config?watch=";
  g_autofree char *fields = g_strdup_printf ("Store-Era: %u\r\n", store.era);
  g_autofree char *body = NULL;
  const char *status = "200 OK";
  if (g_str_equal (request->target, "/-/objects/config/main"))
    {
      store.reads++;
      body = object_text ();
    }
  else if (g_str_equal (request->target, "/-/objects/config?after_rev=main"))
    {
      store.lists++;
      body = g_strdup_printf ("{\"items\":[],\"has_more\":false,\"at\":%u}",
                              store.at);
    }
  else
    {
      CU_ASSERT_TRUE (g_str_has_prefix (request->target, watch));
      store.watches++;
      store.watched_from = (guint)g_ascii_strtoull (
          request->target + strlen (watch), NULL, 10);
      gboolean is_gone = store.watched_from < store.forgotten;
      status = is_gone ? "410 Gone" : status;
      body = is_gone ? g_strdup ("{}") : events_text ();
    }
  proxy_test_respond (link, request, status, fields, body);
}

static void
on_config (void *ctx, const struct adapter_config *config)
{
  (void)ctx;
  observed.n++;
  observed.code = config->code;
  observed.version = config->decoded.version;
  observed.routing_table = config->decoded.routing_table;
}

static gboolean
has_result (void *ctx)
{
  (void)ctx;
  return observed.n > 0;
}

/* Reads the configuration and checks its version, and by what calls that has
   become known.  */
static void
check_read (struct platform_adapter *adapter, guint version, guint watches,
            guint reads)
{
  memset (&observed, 0, sizeof observed);
  store.reads = store.lists = store.watches = 0;
  adapter_read_config (adapter, on_config, NULL);
  CU_ASSERT_TRUE (proxy_test_wait_until (has_result, NULL, PROXY_TEST_WAIT_MS));
  CU_ASSERT_EQUAL (observed.code, 0);
  CU_ASSERT_EQUAL (observed.version, version);
  CU_ASSERT_PTR_NOT_NULL_FATAL (observed.routing_table);
  CU_ASSERT_EQUAL (routing_table_version (observed.routing_table), version);
  CU_ASSERT_EQUAL (routing_table_n_routes (observed.routing_table),
                   ROUTES + version);
  CU_ASSERT_EQUAL (store.watches, watches);
  CU_ASSERT_EQUAL (store.reads, reads);
}

/* Starts a store that has version 1, which has been read.  */
static struct platform_adapter *
start (void)
{
  proxy_test_start (0);
  proxy_test.servers[0].script = serve;
  const struct adapter_options options
      = { .address = proxy_test.servers[0].address,
          .clk = &proxy_test.clk,
          .counter_set = &proxy_test.counter_set,
          .timeout_ms = 1000 };
  memset (&store, 0, sizeof store);
  store.version = 1;
  store.revision = 50;
  store.at = 60;
  store.era = 3;
  struct platform_adapter *adapter = adapter_new (&options);
  check_read (adapter, 1, 0, 1);
  return adapter;
}

static void
stop (struct platform_adapter *adapter)
{
  adapter_free (adapter);
  proxy_test_stop ();
}

static void
change (guint version)
{
  store.version = version;
  store.revision = ++store.at;
}

static void
test_watch (void)
{
  struct platform_adapter *adapter = start ();
  check_read (adapter, 1, 1, 0);
  check_read (adapter, 1, 1, 0);
  CU_ASSERT_EQUAL (store.watched_from, 50);
  change (2);
  check_read (adapter, 2, 1, 0);
  check_read (adapter, 2, 1, 0);
  CU_ASSERT_EQUAL (store.watched_from, store.revision);
  stop (adapter);
}

/* The revision from which to watch follows that of the store, so that the
   history since then is still kept, but not so closely that a change is left
   out which a watch has missed.  */
static void
test_missed_change (void)
{
  struct platform_adapter *adapter = start ();
  store.at = 70;
  check_read (adapter, 1, 1, 0);
  store.is_deaf = TRUE;
  change (2);
  check_read (adapter, 1, 1, 0);
  proxy_test.skew += MISSED_US / 2;
  store.is_deaf = FALSE;
  check_read (adapter, 2, 1, 0);
  store.at = 90;
  check_read (adapter, 2, 1, 0);
  proxy_test.skew += MISSED_US;
  check_read (adapter, 2, 1, 0);
  check_read (adapter, 2, 1, 0);
  CU_ASSERT_EQUAL (store.watched_from, 90);
  stop (adapter);
}

/* The configuration last changed before what is kept of the history.  */
static void
test_dropped_history (void)
{
  struct platform_adapter *adapter = start ();
  store.at = store.forgotten = 80;
  check_read (adapter, 1, 1, 1);
  CU_ASSERT_EQUAL (store.lists, 1);
  check_read (adapter, 1, 1, 0);
  CU_ASSERT_EQUAL (store.watched_from, 80);
  change (2);
  store.at = store.forgotten = 100;
  check_read (adapter, 2, 1, 1);
  check_read (adapter, 2, 1, 0);
  CU_ASSERT_EQUAL (store.watched_from, 100);
  stop (adapter);
}

/* The store comes back from an older copy, in a new era or without one, and
   then gets a further version.  */
static void
test_older_copy (void)
{
  struct platform_adapter *adapter = start ();
  store.era++;
  store.at = 300;
  check_read (adapter, 1, 1, 1);
  check_read (adapter, 1, 1, 0);
  store.at = store.revision + 10;
  check_read (adapter, 1, 1, 1);
  check_read (adapter, 1, 1, 0);
  change (5);
  store.era++;
  check_read (adapter, 5, 1, 1);
  check_read (adapter, 5, 1, 0);
  stop (adapter);
}

static CU_TestInfo tests[] = {
  { "a watch confirms, and names a change", test_watch },
  { "a change that a watch has missed", test_missed_change },
  { "the history is dropped", test_dropped_history },
  { "the store comes back from an older copy", test_older_copy },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "config_watch", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
