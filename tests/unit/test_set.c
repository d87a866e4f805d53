#include "unit/unit.h"

#include "settings/router_settings.h"

#include <glib/gstdio.h>
#include <string.h>

static const char valid[]
    = "[instance]\nid=d1-a\ndomain=d1\nregion=r1\ncharts=charts\n"
      "[listen]\ncallers=127.0.0.1:8000\nadmin=127.0.0.1:8001\n"
      "peers=127.0.0.1:0\n"
      "[peers]\naddresses=\nkey_file=peer.key\n"
      "[platform]\naddress=127.0.0.1:8300\n";

static char *folder; /* of this run, removed at its end */

static gboolean
write_file (const char *name, const char *text)
{
  g_autofree char *path = g_build_filename (folder, name, NULL);
  return g_file_set_contents (path, text, -1, NULL);
}

static int
make_folder (void)
{
  folder = g_dir_make_tmp ("jw-set-XXXXXX", NULL);
  if (folder == NULL)
    return 1;
  g_autofree char *charts = g_build_filename (folder, "charts", NULL);
  gboolean made = g_mkdir (charts, 0700) == 0
                  && write_file ("peer.key", "0123456789abcdef\n")
                  && write_file ("short.key", "0123456789abcde\n")
                  && write_file ("token", "platform-token\n");
  return made ? 0 : 1;
}

static int
remove_folder (void)
{
  static const char *const names[]
      = { "charts", "peer.key", "short.key", "token", "a.ini" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *path = g_build_filename (folder, names[i], NULL);
      g_remove (path);
    }
  g_rmdir (folder);
  g_clear_pointer (&folder, g_free);
  return 0;
}

/* Reads the settings from TEXT, stored as a.ini in the test folder.  */
static int
read_text (struct router_settings *settings, const char *text,
           GPtrArray *problems)
{
  g_autofree char *path = g_build_filename (folder, "a.ini", NULL);
  CU_ASSERT_TRUE (write_file ("a.ini", text));
  return router_settings_read (settings, path, problems);
}

static gboolean
has_problem (const GPtrArray *problems, const char *part)
{
  for (guint i = 0; i < problems->len; i++)
    if (strstr (problems->pdata[i], part) != NULL)
      return TRUE;
  return FALSE;
}

static void
test_values (void)
{
  struct router_settings s;
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *text
      = g_strconcat (valid,
                     "token_file=token\n[limits]\nmax_requests=5\n"
                     "caller_stall_ms=250\n",
                     NULL);
  CU_ASSERT_EQUAL (read_text (&s, text, problems), 0);
  CU_ASSERT_EQUAL (problems->len, 0);
  CU_ASSERT_STRING_EQUAL (s.id.s, "d1-a");
  CU_ASSERT_EQUAL (s.log_level, LOG_INFO);
  CU_ASSERT_STRING_EQUAL (s.listen_peers, "127.0.0.1:0");
  CU_ASSERT_PTR_NOT_NULL (s.peer_addresses);
  CU_ASSERT_EQUAL (g_strv_length (s.peer_addresses), 0);
  CU_ASSERT_EQUAL (g_bytes_get_size (s.peer_key), ROUTER_SETTINGS_KEY_MIN);
  CU_ASSERT_STRING_EQUAL (s.platform_token, "platform-token");
  CU_ASSERT_EQUAL (s.max_requests, 5);
  CU_ASSERT_EQUAL (s.client_stall_us, 250000);
  CU_ASSERT_EQUAL (s.max_body_bytes, 1024 * 1024);
  CU_ASSERT_TRUE (g_path_is_absolute (s.chart_folder));
  router_settings_clear (&s);
}

/* A change that makes the valid settings invalid, and the expected problem. */
struct bad_case
{
  const char *old;
  const char *replacement;
  const char *problem;
};

static const struct bad_case bad_cases[] = {
  { "[platform]", "[plattform]",
    "a.ini, group [plattform]: is unknown; allowed: instance, " },
  { "id=d1-a", "id=d1-a\nname=x", "group [instance], key name: is unknown" },
  { "id=d1-a\n", "", "group [instance], key id: is missing; allowed: 1 to 63" },
  { "id=d1-a", "id=d1 a", "key id: \"d1 a\" is wrong" },
  { "id=d1-a", "id=d1-a\nlog_level=loud",
    "key log_level: \"loud\" is wrong; allowed: error, warn, info, debug" },
  { "charts=charts", "charts=none", "key charts: " },
  { "127.0.0.1:8000", "host:8000", "key callers: \"host:8000\" is wrong" },
  { "127.0.0.1:8001", "127.0.0.1:8000", "key admin: 127.0.0.1:8000 is the" },
  { "127.0.0.1:0", "127.0.0.1:8001", "key peers: 127.0.0.1:8001 is the" },
  { "addresses=", "addresses=127.0.0.1:1;x",
    "group [peers], key addresses: \"x\" is wrong; allowed: IP:PORT" },
  { "addresses=", "addresses=127.0.0.1:1;127.0.0.1:2;127.0.0.1:1",
    "127.0.0.1:1 is listed twice" },
  { "addresses=", "addresses=127.0.0.1:1;127.0.0.1:1",
    "127.0.0.1:1 is listed twice" },
  { "peer.key", "short.key", "key key_file: the file " },
  { "peer.key", "none.key", "key key_file: Failed to open" },
  { "127.0.0.1:8300", "127.0.0.1:0", "group [platform], key address: " },
  { "[platform]", "[limits]\nmax_requests=0\n[platform]",
    "group [limits], key max_requests: \"0\" is wrong; allowed: a whole number "
    "from 1 to 100000" },
  { "[platform]", "[limits]\ncaller_stall_ms=1s\n[platform]",
    "key caller_stall_ms: \"1s\" is wrong" },
  { "[platform]", "[platform", "a.ini" },
};

static void
test_each_problem_is_named (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (bad_cases); i++)
    {
      const struct bad_case *c = &bad_cases[i];
      struct router_settings s;
      g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
      GString *text = g_string_new (valid);
      CU_ASSERT_EQUAL (g_string_replace (text, c->old, c->replacement, 1), 1);
      CU_ASSERT_TRUE (read_text (&s, text->str, problems) < 0);
      gboolean found = has_problem (problems, c->problem);
      CU_ASSERT_TRUE (found);
      if (!found)
        g_print ("missing: %s\n", c->problem);
      g_string_free (text, TRUE);
      router_settings_clear (&s);
    }
}

static void
test_all_problems_in_one_go (void)
{
  struct router_settings s;
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  CU_ASSERT_TRUE (read_text (&s, "[instance]\nid=\n[x]\n", problems) < 0);
  CU_ASSERT_EQUAL (problems->len, 11);
  router_settings_clear (&s);
}

static void
test_missing_file (void)
{
  struct router_settings s;
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  CU_ASSERT_TRUE (router_settings_read (&s, "/nonexistent/a.ini", problems)
                  < 0);
  CU_ASSERT_EQUAL (problems->len, 1);
  router_settings_clear (&s);
}

/* Reads every settings file of the example deployment NAME.  */
static guint
check_deployment (const char *name)
{
  g_autofree char *path
      = g_build_filename (JW_SOURCE_DIR, "examples", name, NULL);
  GDir *dir = g_dir_open (path, 0, NULL);
  guint n = 0;
  for (const char *file = g_dir_read_name (dir); file != NULL;
       file = g_dir_read_name (dir))
    {
      if (!g_str_has_suffix (file, ".ini") || strcmp (file, "config.ini") == 0)
        continue;
      struct router_settings s;
      g_autofree char *full = g_build_filename (path, file, NULL);
      g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
      CU_ASSERT_EQUAL (router_settings_read (&s, full, problems), 0);
      for (guint i = 0; i < problems->len; i++)
        g_print ("%s\n", (char *)problems->pdata[i]);
      router_settings_clear (&s);
      n++;
    }
  g_dir_close (dir);
  return n;
}

static void
test_examples (void)
{
  CU_ASSERT_EQUAL (check_deployment ("authority"), 7);
  CU_ASSERT_EQUAL (check_deployment ("cooperative"), 7);
}

static CU_TestInfo tests[] = {
  { "values are converted to their units", test_values },
  { "each problem states file, group, key and what is allowed",
    test_each_problem_is_named },
  { "all problems are reported at once", test_all_problems_in_one_go },
  { "a missing file is reported", test_missing_file },
  { "the example deployments are valid", test_examples },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "router_settings", make_folder, remove_folder, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
