/* The adapter to the platform: what its store says, well-formed or not, and a
   store that misbehaves.  */
#include "unit/gate_world.h"

#include "platform/pfm.h"

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

static struct rtb *
decode (const char *text, struct err *err)
{
  JsonNode *root = json_from_string (text, NULL);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      g_clear_pointer (&root, json_node_unref);
      return NULL;
    }
  struct rtb *rtb = pfm_decode_config (json_node_get_object (root), err);
  json_node_unref (root);
  return rtb;
}

static void
test_config (void)
{
  struct err err = { 0 };
  struct rtb *rtb = decode (CONFIG, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (rtb);
  CU_ASSERT_EQUAL (rtb_version (rtb), 7);
  const struct rtb_route *route
      = rtb_find (rtb, STR_LIT ("a.EXAMPLE:80"), STR_LIT ("/a/x?q"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  if (route == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (route->name, "r1");
  CU_ASSERT_EQUAL (route->kind, RTB_STREAM);
  CU_ASSERT_TRUE (rtb_may_repeat (route));
  CU_ASSERT_EQUAL (route->gap_us, 1200 * CLK_MS);
  guint second = 0;
  for (guint64 i = 0; i < 1000; i++)
    second += g_str_equal (rtb_pick (route, i), "s2");
  CU_ASSERT_EQUAL (second, 100);
  route = rtb_find (rtb, STR_LIT ("a.example"), STR_LIT ("/a/b/c"));
  CU_ASSERT_STRING_EQUAL (route->name, "r2"); /* the longest prefix */
  CU_ASSERT_FALSE (rtb_may_repeat (route));
  CU_ASSERT_TRUE (route->open);
  CU_ASSERT_PTR_NULL (rtb_find (rtb, STR_LIT ("a.example"), STR_LIT ("/ab/")));
  CU_ASSERT_PTR_NULL (rtb_find (rtb, STR_LIT ("b.example"), STR_LIT ("/a/")));
  CU_ASSERT_STRING_EQUAL (rtb_team_of (rtb, STR_LIT ("k2"))->name, "crew");
  CU_ASSERT_EQUAL (rtb_team_of (rtb, STR_LIT ("k2"))->priority, 1);
  CU_ASSERT_PTR_NULL (rtb_team_of (rtb, STR_LIT ("k")));
  /* The team's priority goes first; among its requests the route's. */
  const struct rtb_team *crew = rtb_team_of (rtb, STR_LIT ("k2"));
  const struct rtb_route *r1
      = rtb_find (rtb, STR_LIT ("a.example"), STR_LIT ("/a/"));
  CU_ASSERT_EQUAL (rtb_rank (r1, crew), 5);
  CU_ASSERT_EQUAL (rtb_rank (route, crew), 3);
  CU_ASSERT_EQUAL (rtb_rank (r1, NULL), 8);
  CU_ASSERT_EQUAL (rtb_rank (route, NULL), 0);
  CU_ASSERT_EQUAL (rtb_service (rtb, "s1")->engine.memory, 243776);
  CU_ASSERT_FALSE (rtb_service (rtb, "s2")->has_engine);
  CU_ASSERT_EQUAL (rtb_limits (rtb)->idle_us, 15 * CLK_S);
  rtb_unref (rtb);
}

static void
test_broken_configs (void)
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
decode_server (const char *text, struct flt_entry *entry)
{
  JsonNode *root = json_from_string (text, NULL);
  gboolean ok
      = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
        && pfm_decode_server ("i-1", json_node_get_object (root), CLK_S, entry);
  g_clear_pointer (&root, json_node_unref);
  return ok;
}

static void
test_servers (void)
{
  struct flt_entry entry = { 0 };
  CU_ASSERT_TRUE_FATAL (decode_server (SERVER, &entry));
  CU_ASSERT_STRING_EQUAL (entry.id, "i-1");
  CU_ASSERT_STRING_EQUAL (entry.domain, "a-1");
  CU_ASSERT_EQUAL (entry.born, G_GINT64_CONSTANT (1700000000000));
  CU_ASSERT_EQUAL (entry.slots, 64);
  CU_ASSERT_FALSE (entry.leaving);
  static const char *const broken[][2] = {
    { "\"ready\"", "\"asleep\"" },
    { "\"ready\"", "5" },
    { "10.128.0.9:8080", "nowhere" },
    { "10.128.0.9:8080", "10.128.0.9:0" },
    { "\"max_batch\":64", "\"max_batch\":\"64\"" },
    { "\"max_batch\":64", "\"max_batch\":0" },
    { "\"zone\":\"a-1\",", "" },
    { "\"s1\"", "{}" },
    { "\"s1\"", "\"\"" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (broken); i++)
    {
      char **parts = g_strsplit (SERVER, broken[i][0], 2);
      char *text = g_strjoinv (broken[i][1], parts);
      CU_ASSERT_FALSE (decode_server (text, &entry));
      g_strfreev (parts);
      g_free (text);
    }
}

/* Damaged texts neither crash the decoders nor get through unchecked.  */
static void
test_damaged (void)
{
  static const char *const texts[] = { CONFIG, SERVER };
  GRand *rand = g_rand_new_with_seed (5);
  for (guint i = 0; i < 20000; i++)
    {
      char *text = g_strdup (texts[i % 2]);
      gint n = (gint)strlen (text);
      for (guint k = 0; k < 1 + i % 4; k++)
        text[g_rand_int_range (rand, 0, n)]
            = (char)g_rand_int_range (rand, 1, 127);
      struct err err = { 0 };
      struct flt_entry entry;
      if (i % 2 == 0)
        rtb_unref (decode (text, &err));
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
  gint64 asked;
  guint64 version;
  char last[STR_ID_MAX + 1];
} seen;

static void
on_config (void *ctx, const struct pfm_config *config)
{
  (void)ctx;
  seen.configs++;
  seen.code = config->code;
  seen.asked = config->asked;
  if (config->code == 0)
    seen.version = rtb_version (config->rtb);
}

static void
on_servers (void *ctx, const struct pfm_servers *servers)
{
  (void)ctx;
  seen.lists++;
  seen.code = servers->code;
  seen.n = servers->n;
  if (servers->n > 0)
    g_strlcpy (seen.last, servers->entries[servers->n - 1].id,
               sizeof seen.last);
}

static gboolean
has_seen (void *ctx)
{
  (void)ctx;
  return seen.configs + seen.lists > 0;
}

static struct pfm *
open_store (gw_script script)
{
  gw_start (0);
  gw.servers[0].script = script;
  const struct pfm_options options = { .address = gw.servers[0].address,
                                       .clk = &gw.clk,
                                       .counter_set = &gw.counter_set,
                                       .timeout_ms = 200 };
  return pfm_new (&options);
}

static int
read_config (struct pfm *pfm)
{
  memset (&seen, 0, sizeof seen);
  pfm_read_config (pfm, on_config, NULL);
  CU_ASSERT_TRUE (gw_until (has_seen, NULL, GW_WAIT_MS));
  CU_ASSERT_EQUAL (seen.configs, 1);
  return seen.code;
}

static int
read_servers (struct pfm *pfm)
{
  memset (&seen, 0, sizeof seen);
  pfm_read_servers (pfm, on_servers, NULL);
  CU_ASSERT_TRUE (gw_until (has_seen, NULL, GW_WAIT_MS));
  CU_ASSERT_EQUAL (seen.lists, 1);
  return seen.code;
}

static void
store_answers (struct gw_link *link, struct gw_request *request)
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
  gw_say_whole (link, request, "200 OK", "", body);
}

/* Pages follow each other; entries that name no server are left out, the
   others hold.  */
static void
test_store (void)
{
  struct pfm *pfm = open_store (store_answers);
  gint64 before = gw_now (NULL);
  CU_ASSERT_EQUAL (read_config (pfm), 0);
  CU_ASSERT_EQUAL (seen.version, 7);
  CU_ASSERT_TRUE (seen.asked >= before);
  CU_ASSERT_EQUAL (read_servers (pfm), 0);
  CU_ASSERT_EQUAL (seen.n, 2);
  CU_ASSERT_STRING_EQUAL (seen.last, "i-4");
  CU_ASSERT_EQUAL (gw.servers[0].connections, 1);
  pfm_free (pfm);
  gw_stop ();
}

static const char *status_line;

static void
store_refuses (struct gw_link *link, struct gw_request *request)
{
  gw_say_whole (link, request, status_line, "", "{}");
}

static void
store_lies (struct gw_link *link, struct gw_request *request)
{
  gw_say_whole (link, request, "200 OK", "", "no json");
}

static void
store_tears (struct gw_link *link, struct gw_request *request)
{
  gw_say (link, request,
          "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"spec\":{");
  tcp_conn_finish (g_steal_pointer (&link->tcp_conn));
  link->request = NULL;
}

static void
test_store_misbehaves (void)
{
  struct pfm *pfm = open_store (store_refuses);
  status_line = "503 Service Unavailable";
  CU_ASSERT_EQUAL (read_config (pfm), ERR_UNAVAILABLE);
  CU_ASSERT_EQUAL (read_servers (pfm), ERR_UNAVAILABLE);
  status_line = "429 Too Many Requests";
  CU_ASSERT_EQUAL (read_config (pfm), ERR_LIMIT);
  status_line = "404 Not Found";
  CU_ASSERT_EQUAL (read_config (pfm), ERR_NOT_FOUND);
  gw.servers[0].script = store_lies;
  CU_ASSERT_EQUAL (read_config (pfm), ERR_INVALID);
  CU_ASSERT_TRUE (read_servers (pfm) < 0);
  gw.servers[0].script = store_tears;
  CU_ASSERT_TRUE (read_config (pfm) < 0);
  gw.servers[0].script = gw_close_link;
  CU_ASSERT_TRUE (read_servers (pfm) < 0);
  gw.servers[0].script = gw_answer_nothing;
  CU_ASSERT_EQUAL (read_config (pfm), ERR_TIMEOUT);
  gw.servers[0].script = store_answers;
  CU_ASSERT_EQUAL (read_config (pfm), 0);
  tcp_listener_free (g_steal_pointer (&gw.servers[0].listener));
  g_ptr_array_set_size (gw.servers[0].links, 0);
  CU_ASSERT_TRUE (read_config (pfm) < 0);
  pfm_free (pfm);
  gw_stop ();
}

/* The age of what was read counts from the question, not from the answer.  */
static void
test_asked_before_the_wait (void)
{
  struct pfm *pfm = open_store (store_answers);
  memset (&seen, 0, sizeof seen);
  pfm_read_config (pfm, on_config, NULL);
  gint64 sent = gw_now (NULL);
  gw.skew = 5 * CLK_S; /* the answer is long under way */
  CU_ASSERT_TRUE (gw_until (has_seen, NULL, GW_WAIT_MS));
  CU_ASSERT_TRUE (seen.asked <= sent);
  pfm_free (pfm);
  gw_stop ();
}

static CU_TestInfo tests[] = {
  { "a configuration", test_config },
  { "broken configurations", test_broken_configs },
  { "entries of servers", test_servers },
  { "damaged texts", test_damaged },
  { "reads of the store", test_store },
  { "a store that misbehaves", test_store_misbehaves },
  { "age counts from the question", test_asked_before_the_wait },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "adapter", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
