/* Tests of the platform adapter: decoding of valid, invalid and corrupted
   input, and failures of the object store.  */
#include "unit/proxy_fixture.h"

#include "platform/adapter.h"

#define CONFIG                                                                 \
  "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"A.example\","        \
  "\"path_prefix\":\"/a/\",\"route_type\":\"streaming\",\"timeout_ms\":5000,"  \
  "\"target_latency_ms\":2000,\"priority\":2,\"backends\":[{\"service\":"      \
  "\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"                 \
  "\"max_attempts\":2,\"public\":false,\"session_affinity\":true,"             \
  "\"resumable\":true,\"gap_aim_ms\":1200},{\"name\":\"r2\",\"host\":"         \
  "\"a.example\",\"path_prefix\":\"/a/b/\",\"route_type\":\"non_idempotent\"," \
  "\"timeout_ms\":1000,\"service\":\"s2\",\"max_attempts\":1,"                 \
  "\"public\":true}],\"services\":[{\"name\":\"s1\",\"max_conns\":360,"        \
  "\"inference_engine\":{\"max_batch\":64,\"kv_capacity\":243776,"             \
  "\"kv_bytes\":163840,\"stride\":5}},{\"name\":\"s2\"}],\"limits\":"          \
  "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"                    \
  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":"         \
  "[{\"name\":\"crew\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1}],"         \
  "\"a_new_field\":{\"x\":[1,null]}}"

#define SERVER                                                                 \
  "{\"service\":\"s1\",\"address\":\"10.128.0.9:8080\",\"zone\":\"a-1\","      \
  "\"version\":\"v1\",\"max_batch\":64,\"state\":\"ready\","                   \
  "\"cold_left_ms\":0,\"sequence\":4,\"born\":1700000000000}"

/* Of lists without end. */
#define PAGE_MS 150      /* until a slow page arrives; less than a time-out */
#define LIST_MAX_MS 6600 /* 33 time-outs of a request */
#define MARGIN_MS 1000   /* for a busy machine */
#define PAGES_MAX 64
#define PAGE_ITEMS 500
#define ENTRIES_MAX 16384
#define LONG_LIST_PAGES 20 /* 10,000 servers */

static struct routing_table *
decode (const char *text, struct err *err)
{
  g_autofree char *object = g_strdup_printf ("{\"spec\":%s}", text);
  return adapter_decode_text (str_of (object), err);
}

static void
test_config (void)
{
  struct err err = { 0 };
  struct routing_table *routing_table = decode (CONFIG, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (routing_table);
  CU_ASSERT_EQUAL (routing_table_version (routing_table), 7);
  const struct routing_route *route = routing_table_find (
      routing_table, STR_LIT ("a.EXAMPLE:80"), STR_LIT ("/a/x?q"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  if (route == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (route->name, "r1");
  CU_ASSERT_EQUAL (route->kind, ROUTING_STREAM);
  CU_ASSERT_TRUE (routing_may_repeat (route));
  CU_ASSERT_EQUAL (route->event_gap_us, 1200 * CLK_MS);
  guint second = 0;
  for (guint64 i = 0; i < 1000; i++)
    second += g_str_equal (routing_pick (route, i), "s2");
  CU_ASSERT_EQUAL (second, 100);
  route = routing_table_find (routing_table, STR_LIT ("a.example"),
                              STR_LIT ("/a/b/c"));
  CU_ASSERT_STRING_EQUAL (route->name, "r2"); /* the longest prefix */
  CU_ASSERT_FALSE (routing_may_repeat (route));
  CU_ASSERT_TRUE (route->is_public);
  CU_ASSERT_PTR_NULL (routing_table_find (routing_table, STR_LIT ("a.example"),
                                          STR_LIT ("/ab/")));
  CU_ASSERT_PTR_NULL (routing_table_find (routing_table, STR_LIT ("b.example"),
                                          STR_LIT ("/a/")));
  CU_ASSERT_STRING_EQUAL (
      routing_table_team_of (routing_table, STR_LIT ("k2"))->name, "crew");
  CU_ASSERT_EQUAL (
      routing_table_team_of (routing_table, STR_LIT ("k2"))->priority, 1);
  CU_ASSERT_PTR_NULL (routing_table_team_of (routing_table, STR_LIT ("k")));
  /* The team's priority counts first; the route's priority orders the requests
     of one team. */
  const struct routing_team *crew
      = routing_table_team_of (routing_table, STR_LIT ("k2"));
  const struct routing_route *r1 = routing_table_find (
      routing_table, STR_LIT ("a.example"), STR_LIT ("/a/"));
  CU_ASSERT_EQUAL (routing_tier (r1, crew), 5);
  CU_ASSERT_EQUAL (routing_tier (route, crew), 3);
  CU_ASSERT_EQUAL (routing_tier (r1, NULL), 8);
  CU_ASSERT_EQUAL (routing_tier (route, NULL), 0);
  CU_ASSERT_EQUAL (routing_service (routing_table, "s1")->engine.memory,
                   243776);
  CU_ASSERT_FALSE (routing_service (routing_table, "s2")->has_engine);
  CU_ASSERT_EQUAL (routing_limits (routing_table)->idle_timeout_us, 15 * CLK_S);
  routing_table_unref (routing_table);
}

#define SCALING                                                                \
  "{\"min_instances\":1,\"max_instances\":30,\"startup_s\":4.0,"               \
  "\"spot_price\":0.15,\"zone_prices\":{\"a-1\":0.8,\"b-1\":1.25,"             \
  "\"not an id\":1,\"c-1\":-1,\"d-1\":\"x\"}}"

/* A service is ordered only within limits that can be read: with a wrong one,
   all of its servers might be given up, or any number paid for.  */
static void
test_scaling (void)
{
  static const char *const invalid[]
      = { "{}",
          "5",
          "{\"max_instances\":0}",
          "{\"max_instances\":\"30\"}",
          "{\"max_instances\":3,\"min_instances\":4}",
          "{\"max_instances\":1e9}" };
  struct err err = { 0 };
  const char *format = "{\"version\":7,\"routes\":[],\"services\":["
                       "{\"name\":\"s1\",\"scaling\":%s}]}";
  g_autofree char *text = g_strdup_printf (format, SCALING);
  struct routing_table *routing_table = decode (text, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (routing_table);
  const struct routing_service *service = routing_service (routing_table, "s1");
  CU_ASSERT_TRUE (service->has_scaling);
  CU_ASSERT_EQUAL (service->scaling.min_servers, 1);
  CU_ASSERT_EQUAL (service->scaling.max_servers, 30);
  CU_ASSERT_EQUAL (service->scaling.startup_us, 4 * CLK_S);
  CU_ASSERT_DOUBLE_EQUAL (service->scaling.spot_share, 0.15, 1e-9);
  CU_ASSERT_EQUAL (service->scaling.prices->len, 2);
  CU_ASSERT_DOUBLE_EQUAL (routing_domain_price (&service->scaling, "b-1"), 1.25,
                          1e-9);
  CU_ASSERT_DOUBLE_EQUAL (routing_domain_price (&service->scaling, "c-1"), 1,
                          1e-9);
  routing_table_unref (routing_table);
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_autofree char *changed = g_strdup_printf (format, invalid[i]);
      routing_table = decode (changed, &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (routing_table);
      CU_ASSERT_FALSE (routing_service (routing_table, "s1")->has_scaling);
      routing_table_unref (routing_table);
    }
  routing_table = decode (CONFIG, &err);
  CU_ASSERT_FALSE (routing_service (routing_table, "s1")->has_scaling);
  routing_table_unref (routing_table);
}

/* Returns CONFIG with its first OLD replaced by TEXT; freed by the caller.  */
static char *
changed_config (const char *old, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (CONFIG, old, 2);
  CU_ASSERT_EQUAL (g_strv_length (parts), 2);
  return g_strjoinv (text, parts);
}

/* Numbers that are written with a fraction or an exponent mean what they say:
   weights of less than 1 must not send all requests to one service.  */
static void
test_number_forms (void)
{
  static const struct
  {
    const char *old;
    const char *text;
    guint second; /* of 1000 requests, those to the second service */
    gint64 timeout_us;
  } forms[] = {
    { "\"weight\":90},{\"service\":\"s2\",\"weight\":10}",
      "\"weight\":0.9},{\"service\":\"s2\",\"weight\":0.1}", 100, 5 * CLK_S },
    { "\"weight\":90},{\"service\":\"s2\",\"weight\":10}",
      "\"weight\":62.5},{\"service\":\"s2\",\"weight\":3.75e1}", 375,
      5 * CLK_S },
    { "\"weight\":90}", "\"weight\":0}", 1000, 5 * CLK_S },
    { "\"weight\":10}", "\"weight\":0.0}", 0, 5 * CLK_S },
    { "\"timeout_ms\":5000", "\"timeout_ms\":5000.0", 100, 5 * CLK_S },
    { "\"timeout_ms\":5000", "\"timeout_ms\":4.9995e3", 100, 4999500 },
    { "\"version\":7", "\"version\":7.0", 100, 5 * CLK_S },
  };
  for (guint i = 0; i < G_N_ELEMENTS (forms); i++)
    {
      struct err err = { 0 };
      guint second = 0;
      g_autofree char *text = changed_config (forms[i].old, forms[i].text);
      struct routing_table *routing_table = decode (text, &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (routing_table);
      CU_ASSERT_EQUAL (routing_table_version (routing_table), 7);
      const struct routing_route *route = routing_table_find (
          routing_table, STR_LIT ("a.example"), STR_LIT ("/a/x"));
      for (guint64 draw = 0; draw < 1000; draw++)
        second += g_str_equal (routing_pick (route, draw), "s2");
      CU_ASSERT_EQUAL (second, forms[i].second);
      CU_ASSERT_EQUAL (route->timeout_us, forms[i].timeout_us);
      routing_table_unref (routing_table);
    }
}

static void
test_invalid_configs (void)
{
  static const char *const texts[] = {
    "{}",
    "{\"version\":0,\"routes\":[]}",
    "{\"version\":\"7\",\"routes\":[]}",
    "{\"version\":7}",
    "{\"version\":7,\"routes\":{}}",
    "{\"version\":7,\"routes\":[5]}",
    "{\"version\":7,\"routes\":[{\"host\":\"a\",\"path_prefix\":\"/\","
    "\"route_type\":\"other\",\"service\":\"s\"}],\"services\":[{\"name\":"
    "\"s\"}]}",
    "{\"version\":7,\"routes\":[{\"host\":\"a\",\"path_prefix\":\"/\","
    "\"route_type\":\"idempotent\",\"service\":\"unknown\"}]}",
    "{\"version\":7,\"routes\":[{\"host\":\"a\",\"path_prefix\":\"/\","
    "\"route_type\":\"idempotent\",\"backends\":[{\"weight\":1}]}]}",
    "{\"version\":7,\"routes\":[],\"tenants\":[{\"api_keys\":[]}]}",
  };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct err err = { 0 };
      CU_ASSERT_PTR_NULL (decode (texts[i], &err));
      CU_ASSERT_EQUAL (err.code, ERR_INVALID);
      CU_ASSERT_STRING_NOT_EQUAL (err.text, "");
    }
}

static gboolean
decode_server (const char *text, struct registry_entry *entry)
{
  JsonNode *root = json_from_string (text, NULL);
  gboolean ok = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
                && adapter_decode_server ("i-1", json_node_get_object (root),
                                          CLK_S, entry);
  g_clear_pointer (&root, json_node_unref);
  return ok;
}

static void
test_servers (void)
{
  struct registry_entry entry = { 0 };
  CU_ASSERT_TRUE_FATAL (decode_server (SERVER, &entry));
  CU_ASSERT_STRING_EQUAL (entry.id, "i-1");
  CU_ASSERT_STRING_EQUAL (entry.domain, "a-1");
  CU_ASSERT_EQUAL (entry.start_time_ms, G_GINT64_CONSTANT (1700000000000));
  CU_ASSERT_EQUAL (entry.slots, 64);
  CU_ASSERT_STRING_EQUAL (entry.version, "v1");
  CU_ASSERT_FALSE (entry.leaving);
  CU_ASSERT_FALSE (entry.is_spot);
  CU_ASSERT_EQUAL (entry.leaving_at, 0);
  CU_ASSERT_TRUE_FATAL (decode_server (
      "{\"service\":\"s1\",\"address\":\"10.128.0.9:8080\",\"zone\":\"a-1\","
      "\"max_batch\":64,\"state\":\"draining\",\"use_spot\":true,"
      "\"leaves_ms\":2500}",
      &entry));
  CU_ASSERT_TRUE (entry.leaving && entry.is_spot);
  CU_ASSERT_EQUAL (entry.leaving_at, CLK_S + 2500 * CLK_MS);
  static const char *const invalid[][2] = {
    { "\"ready\"", "\"asleep\"" },
    { "\"ready\"", "5" },
    { "10.128.0.9:8080", "nowhere" },
    { "10.128.0.9:8080", "10.128.0.9:0" },
    { "\"max_batch\":64", "\"max_batch\":\"64\"" },
    { "\"max_batch\":64", "\"max_batch\":0" },
    { "\"zone\":\"a-1\",", "" },
    { "\"v1\"", "1" },
    { "\"s1\"", "{}" },
    { "\"s1\"", "\"\"" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      char **parts = g_strsplit (SERVER, invalid[i][0], 2);
      char *text = g_strjoinv (invalid[i][1], parts);
      CU_ASSERT_FALSE (decode_server (text, &entry));
      g_strfreev (parts);
      g_free (text);
    }
}

/* Corrupted input must neither crash the decoders nor pass their checks.  */
static void
test_random_corruption (void)
{
  static const char *const texts[] = { CONFIG, SERVER };
  GRand *rand = g_rand_new_with_seed (5);
  for (guint i = 0; i < 20000; i++)
    {
      char *text = g_strdup (texts[i % 2]);
      gint n = (gint)strlen (text);
      for (guint k = 0; k < 1 + i % 4; k++)
        {
          gint at = g_rand_int_range (rand, 0, n);
          text[at] = (char)g_rand_int_range (rand, 1, 127);
        }
      struct err err = { 0 };
      struct registry_entry entry;
      if (i % 2 == 0)
        routing_table_unref (decode (text, &err));
      else if (decode_server (text, &entry))
        CU_ASSERT_TRUE (entry.slots > 0 && entry.id[0] != '\0');
      g_free (text);
    }
  g_rand_free (rand);
}

static struct
{
  guint configs;
  guint lists;
  int code;
  guint n;
  gint64 requested_at;
  guint64 version;
  guint64 era;
  char last[STR_ID_MAX + 1];
} observed;

static void
on_config (void *ctx, const struct adapter_config *config)
{
  (void)ctx;
  observed.configs++;
  observed.code = config->code;
  observed.requested_at = config->requested_at;
  observed.era = config->era;
  if (config->code == 0)
    observed.version = config->decoded.version;
}

static void
on_servers (void *ctx, const struct adapter_servers *servers)
{
  (void)ctx;
  observed.lists++;
  observed.code = servers->code;
  observed.n = servers->n;
  observed.era = servers->era;
  if (servers->n > 0)
    g_strlcpy (observed.last, servers->entries[servers->n - 1].id,
               sizeof observed.last);
}

static gboolean
has_result (void *ctx)
{
  (void)ctx;
  return observed.configs + observed.lists > 0;
}

static struct platform_adapter *
open_store (proxy_test_script script)
{
  proxy_test_start (0);
  proxy_test.servers[0].script = script;
  const struct adapter_options options
      = { .address = proxy_test.servers[0].address,
          .clk = &proxy_test.clk,
          .counter_set = &proxy_test.counter_set,
          .timeout_ms = 200 };
  return adapter_new (&options);
}

static int
read_config (struct platform_adapter *adapter)
{
  memset (&observed, 0, sizeof observed);
  adapter_read_config (adapter, on_config, NULL);
  CU_ASSERT_TRUE (proxy_test_wait_until (has_result, NULL, PROXY_TEST_WAIT_MS));
  CU_ASSERT_EQUAL (observed.configs, 1);
  return observed.code;
}

static int
read_servers (struct platform_adapter *adapter)
{
  memset (&observed, 0, sizeof observed);
  adapter_read_servers (adapter, on_servers, NULL);
  CU_ASSERT_TRUE (proxy_test_wait_until (has_result, NULL, PROXY_TEST_WAIT_MS));
  CU_ASSERT_EQUAL (observed.lists, 1);
  return observed.code;
}

static void
respond_normally (struct proxy_test_link *link,
                  struct proxy_test_request *request)
{
  const char *body = "{\"metadata\":{\"name\":\"main\"},\"spec\":" CONFIG "}";
  if (g_str_equal (request->target, "/-/objects/servers"))
    body = "{\"items\":[{\"metadata\":{\"name\":\"i-1\"},\"spec\":" SERVER
           "},{\"metadata\":{\"name\":\"i-2\"},\"spec\":{\"state\":1}},"
           "{\"metadata\":{\"name\":\"i-3\"},\"spec\":null},7],"
           "\"has_more\":true,\"at\":9}";
  else if (g_str_equal (request->target, "/-/objects/servers?after_rev=i-3"))
    body = "{\"items\":[{\"metadata\":{\"name\":\"i-4\"},\"spec\":" SERVER
           "}],\"has_more\":false,\"at\":9}";
  proxy_test_respond (link, request, "200 OK", "", body);
}

/* All pages are read in order; entries that describe no usable server are
   skipped without affecting the others.  */
static void
test_store_reads (void)
{
  struct platform_adapter *adapter = open_store (respond_normally);
  gint64 before = proxy_test_now (NULL);
  CU_ASSERT_EQUAL (read_config (adapter), 0);
  CU_ASSERT_EQUAL (observed.version, 7);
  CU_ASSERT_TRUE (observed.requested_at >= before);
  CU_ASSERT_EQUAL (read_servers (adapter), 0);
  CU_ASSERT_EQUAL (observed.n, 2);
  CU_ASSERT_STRING_EQUAL (observed.last, "i-4");
  CU_ASSERT_EQUAL (proxy_test.servers[0].connections, 1);
  adapter_free (adapter);
  proxy_test_stop ();
}

static const char *era_fields; /* of further pages, if they differ */
static const char *first_era_fields;

static void
respond_with_era (struct proxy_test_link *link,
                  struct proxy_test_request *request)
{
  const char *body = "{\"metadata\":{\"name\":\"main\"},\"spec\":" CONFIG "}";
  const char *fields = first_era_fields;
  if (g_str_equal (request->target, "/-/objects/servers"))
    body = "{\"items\":[{\"metadata\":{\"name\":\"i-1\"},\"spec\":" SERVER
           "}],\"has_more\":true,\"at\":9}";
  else if (g_str_equal (request->target, "/-/objects/servers?after_rev=i-1"))
    {
      body = "{\"items\":[],\"has_more\":false,\"at\":9}";
      fields = era_fields;
    }
  proxy_test_respond (link, request, "200 OK", fields, body);
}

/* The era of the store is read from each answer. Pages of different eras are
   not put together to one list, and an unreadable era counts as unknown.  */
static void
test_store_eras (void)
{
  struct platform_adapter *adapter = open_store (respond_with_era);
  first_era_fields = era_fields = "Store-Era: 12\r\n";
  CU_ASSERT_EQUAL (read_config (adapter), 0);
  CU_ASSERT_EQUAL (observed.era, 12);
  CU_ASSERT_EQUAL (read_servers (adapter), 0);
  CU_ASSERT_EQUAL (observed.era, 12);
  era_fields = "Store-Era: 13\r\n";
  CU_ASSERT_EQUAL (read_servers (adapter), ERR_UNAVAILABLE);
  first_era_fields = era_fields = "Store-Era: -1\r\n";
  CU_ASSERT_EQUAL (read_config (adapter), 0);
  CU_ASSERT_EQUAL (observed.era, 0);
  first_era_fields = "";
  CU_ASSERT_EQUAL (read_config (adapter), 0);
  CU_ASSERT_EQUAL (observed.era, 0);
  adapter_free (adapter);
  proxy_test_stop ();
}

static guint page_items;      /* in a page of the scripted store */
static gboolean page_repeats; /* the store ignores which page is wanted */
static guint page_delay_ms;
static guint pages_in_list; /* 0: without end */
static guint pages;

static void
send_page (struct proxy_test_link *link, struct proxy_test_request *request)
{
  GString *body = g_string_new ("{\"items\":[");
  guint first = page_repeats ? 0 : pages * page_items;
  pages++;
  for (guint i = first; i < first + page_items; i++)
    g_string_append_printf (body,
                            "%s{\"metadata\":{\"name\":\"i-%u\"},\"spec\":%s}",
                            i > first ? "," : "", i, SERVER);
  g_string_append_printf (body, "],\"has_more\":%s,\"at\":9}",
                          pages == pages_in_list ? "false" : "true");
  proxy_test_respond (link, request, "200 OK", "", body->str);
  g_string_free (body, TRUE);
}

struct delayed_page
{
  struct proxy_test_link *link;
  struct proxy_test_request *request;
};

static gboolean
on_page_due (gpointer data)
{
  struct delayed_page *page = data;
  /* The adapter may have closed the connection. */
  if (g_ptr_array_find (proxy_test.servers[0].links, page->link, NULL))
    send_page (page->link, page->request);
  return G_SOURCE_REMOVE;
}

static void
respond_with_page (struct proxy_test_link *link,
                   struct proxy_test_request *request)
{
  const struct delayed_page page = { link, request };
  if (page_delay_ms == 0)
    send_page (link, request);
  else
    g_timeout_add_full (G_PRIORITY_DEFAULT, page_delay_ms, on_page_due,
                        g_memdup2 (&page, sizeof page), g_free);
}

/* Reads the list. The read must end with CODE within MS and after PAGES_LIMIT
   pages at most.  */
static void
expect_list_ends (int code, gint64 ms, guint pages_limit)
{
  pages = 0;
  struct platform_adapter *adapter = open_store (respond_with_page);
  memset (&observed, 0, sizeof observed);
  adapter_read_servers (adapter, on_servers, NULL);
  CU_ASSERT_TRUE (proxy_test_wait_until (has_result, NULL, ms));
  CU_ASSERT_EQUAL (observed.lists, 1);
  CU_ASSERT_EQUAL (observed.code, code);
  CU_ASSERT_TRUE (pages <= pages_limit);
  proxy_test_run_for (2 * PAGE_MS); /* no page is requested after that */
  CU_ASSERT_TRUE (pages <= pages_limit);
  CU_ASSERT_EQUAL (observed.lists, 1);
  adapter_free (adapter);
  proxy_test_stop ();
}

static void
test_list_of_small_pages (void)
{
  page_items = 1;
  page_repeats = FALSE;
  page_delay_ms = 0;
  expect_list_ends (ERR_PROTOCOL, PROXY_TEST_WAIT_MS, PAGES_MAX);
}

static void
test_list_repeats_page (void)
{
  page_items = PAGE_ITEMS;
  page_repeats = TRUE;
  page_delay_ms = 0;
  expect_list_ends (ERR_PROTOCOL, PROXY_TEST_WAIT_MS, 2);
}

static void
test_list_too_long (void)
{
  page_items = PAGE_ITEMS;
  page_repeats = FALSE;
  page_delay_ms = 0;
  expect_list_ends (ERR_TOO_LARGE, PROXY_TEST_WAIT_MS,
                    ENTRIES_MAX / PAGE_ITEMS + 1);
}

/* A list that ends was refused, because it is longer than what instances pass
   on to each other.  */
static void
test_long_list (void)
{
  page_items = PAGE_ITEMS;
  page_repeats = FALSE;
  page_delay_ms = 0;
  pages_in_list = LONG_LIST_PAGES;
  expect_list_ends (0, PROXY_TEST_WAIT_MS, LONG_LIST_PAGES);
  pages_in_list = 0;
}

/* Each page arrives within the time-out of its request.  */
static void
test_list_slow (void)
{
  page_items = 1;
  page_repeats = FALSE;
  page_delay_ms = PAGE_MS;
  expect_list_ends (ERR_TIMEOUT, LIST_MAX_MS + MARGIN_MS, PAGES_MAX);
}

static const char *status_line;

static void
respond_with_status (struct proxy_test_link *link,
                     struct proxy_test_request *request)
{
  proxy_test_respond (link, request, status_line, "", "{}");
}

#define NESTED 200000 /* arrays inside each other */

static const char *odd_spec;

/* Responds with a list whose middle item has ODD_SPEC.  */
static void
respond_with_odd_item (struct proxy_test_link *link,
                       struct proxy_test_request *request)
{
  char *body = g_strdup_printf (
      "{\"items\":[{\"metadata\":{\"name\":\"i-1\"},\"spec\":%s},"
      "{\"metadata\":{\"name\":\"i-2\"},\"spec\":%s},"
      "{\"metadata\":{\"name\":\"i-3\"},\"spec\":%s}],\"at\":9,"
      " \"has_more\": false }",
      SERVER, odd_spec, SERVER);
  proxy_test_respond (link, request, "200 OK", "", body);
  g_free (body);
}

/* Returns SERVER with NEW instead of OLD, to be freed by the caller.  */
static char *
replace (const char *old, const char *new)
{
  char **parts = g_strsplit (SERVER, old, 2);
  char *text = g_strjoinv (new, parts);
  g_strfreev (parts);
  return text;
}

/* One entry that cannot be read, left by another writer, must neither end the
   process nor hide the others.  */
static void
test_odd_entries (void)
{
  struct platform_adapter *adapter = open_store (respond_with_odd_item);
  char *open = g_strnfill (NESTED, '[');
  char *close = g_strnfill (NESTED, ']');
  char *nested = g_strconcat (open, close, NULL);
  char *member = g_strconcat ("{\"service\":", nested, "}", NULL);
  char *port = replace ("10.128.0.9:8080", "10.128.0.9:70000");
  char *number = replace ("\"max_batch\":64", "\"max_batch\":1e999");
  char *long_number = replace ("\"max_batch\":64",
                               "\"max_batch\":99999999999999999999999999");
  const char *const odd[] = { nested,
                              member,
                              port,
                              number,
                              long_number,
                              "{\"state\":\"\xff\"}",
                              "{\"state\":\"\\ud800\"}",
                              "{\"state\":NaN}",
                              "{state}",
                              "\"\"",
                              "{\"state\":\"]}\"}",
                              "-" };
  for (guint i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      odd_spec = odd[i];
      CU_ASSERT_EQUAL (read_servers (adapter), 0);
      CU_ASSERT_EQUAL (observed.n, 2);
      CU_ASSERT_STRING_EQUAL (observed.last, "i-3");
    }
  odd_spec = "{";
  CU_ASSERT_TRUE (read_servers (adapter) < 0);
  g_free (open);
  g_free (close);
  g_free (nested);
  g_free (member);
  g_free (port);
  g_free (number);
  g_free (long_number);
  adapter_free (adapter);
  proxy_test_stop ();
}

/* The operator's configuration: a nested one is rejected.  */
static void
test_nested_config (void)
{
  struct err err = { 0 };
  char *open = g_strnfill (NESTED, '[');
  char *text = g_strconcat ("{\"spec\":{\"routes\":", open, NULL);
  char *close = g_strnfill (NESTED, ']');
  char *whole = g_strconcat (text, close, "}}", NULL);
  CU_ASSERT_PTR_NULL (adapter_decode_text (str_of (whole), &err));
  CU_ASSERT_EQUAL (err.code, ERR_INVALID);
  g_free (open);
  g_free (text);
  g_free (close);
  g_free (whole);
}

static void
respond_with_invalid_json (struct proxy_test_link *link,
                           struct proxy_test_request *request)
{
  proxy_test_respond (link, request, "200 OK", "", "no json");
}

static void
respond_truncated (struct proxy_test_link *link,
                   struct proxy_test_request *request)
{
  proxy_test_write (
      link, request,
      "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"spec\":{");
  tcp_conn_finish (g_steal_pointer (&link->tcp_conn));
  link->request = NULL;
}

static void
test_store_failures (void)
{
  struct platform_adapter *adapter = open_store (respond_with_status);
  status_line = "503 Service Unavailable";
  CU_ASSERT_EQUAL (read_config (adapter), ERR_UNAVAILABLE);
  CU_ASSERT_EQUAL (read_servers (adapter), ERR_UNAVAILABLE);
  status_line = "429 Too Many Requests";
  CU_ASSERT_EQUAL (read_config (adapter), ERR_LIMIT);
  status_line = "404 Not Found";
  CU_ASSERT_EQUAL (read_config (adapter), ERR_NOT_FOUND);
  proxy_test.servers[0].script = respond_with_invalid_json;
  CU_ASSERT_EQUAL (read_config (adapter), ERR_INVALID);
  CU_ASSERT_TRUE (read_servers (adapter) < 0);
  proxy_test.servers[0].script = respond_truncated;
  CU_ASSERT_TRUE (read_config (adapter) < 0);
  proxy_test.servers[0].script = proxy_test_reset_link;
  CU_ASSERT_TRUE (read_servers (adapter) < 0);
  proxy_test.servers[0].script = proxy_test_never_respond;
  CU_ASSERT_EQUAL (read_config (adapter), ERR_TIMEOUT);
  proxy_test.servers[0].script = respond_normally;
  CU_ASSERT_EQUAL (read_config (adapter), 0);
  tcp_listener_free (g_steal_pointer (&proxy_test.servers[0].listener));
  g_ptr_array_set_size (proxy_test.servers[0].links, 0);
  CU_ASSERT_TRUE (read_config (adapter) < 0);
  adapter_free (adapter);
  proxy_test_stop ();
}

/* The age counts from when the request was sent: counting from the response
   would make data look fresher than it is after a slow response.  */
static void
test_age_counts_from_request (void)
{
  struct platform_adapter *adapter = open_store (respond_normally);
  memset (&observed, 0, sizeof observed);
  adapter_read_config (adapter, on_config, NULL);
  gint64 sent = proxy_test_now (NULL);
  proxy_test.skew = 5 * CLK_S; /* the response takes long to arrive */
  CU_ASSERT_TRUE (proxy_test_wait_until (has_result, NULL, PROXY_TEST_WAIT_MS));
  CU_ASSERT_TRUE (observed.requested_at <= sent);
  adapter_free (adapter);
  proxy_test_stop ();
}

/* The name that servers use on the wire; with another one their word would be
   missed, and no other test would show it.  */
static void
test_leaving_header (void)
{
  CU_ASSERT_STRING_EQUAL (adapter_header_names ()->leaving, "Server-Leaving");
}

static CU_TestInfo tests[] = {
  { "decoding a configuration", test_config },
  { "numbers in each form", test_number_forms },
  { "scaling of a service", test_scaling },
  { "rejecting invalid configurations", test_invalid_configs },
  { "decoding server entries", test_servers },
  { "the header of a server that is leaving", test_leaving_header },
  { "randomly corrupted input", test_random_corruption },
  { "reading the store", test_store_reads },
  { "eras of the store", test_store_eras },
  { "a list of small pages without end", test_list_of_small_pages },
  { "a list that repeats a page", test_list_repeats_page },
  { "a list of too many servers", test_list_too_long },
  { "a long list", test_long_list },
  { "a list of slow pages without end", test_list_slow },
  { "failures of the store", test_store_failures },
  { "entries that cannot be read", test_odd_entries },
  { "a nested configuration", test_nested_config },
  { "age counts from the request", test_age_counts_from_request },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "adapter", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
