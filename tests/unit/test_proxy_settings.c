/* The settings of a reverse proxy as the platform's template gives them.
   Guards against an instance that does not start, or runs with another value
   than the one meant, because of the form in which a number was written.  */
#include "unit/unit.h"

#include "settings/proxy_settings.h"

#include <glib/gstdio.h>
#include <string.h>

static char *folder; /* of this run, removed at its end */

static char *
file_path (void)
{
  return g_build_filename (folder, "a.ini", NULL);
}

static int
make_folder (void)
{
  folder = g_dir_make_tmp ("jw-settings-XXXXXX", NULL);
  return folder != NULL ? 0 : 1;
}

static int
remove_folder (void)
{
  g_autofree char *path = file_path ();
  g_remove (path);
  g_rmdir (folder);
  g_clear_pointer (&folder, g_free);
  return 0;
}

/* A figure of the platform's settings and the text that it is written as.  */
struct figure
{
  const char *placeholder;
  const char *text;
};

static const struct figure usual[] = {
  { "contract_params.revoke_timeout_ms", "5000" },
  { "contract_params.grace_period_s", "8" },
  { "contract_params.drain_timeout_ms", "3000" },
  { "contract_params.retry_budget_ratio", "0.2" },
  { "contract_params.budget_slack", "54" },
  { "contract_params.budget_window_s", "10" },
  { "node", "edge-a-1" },
  { "zone", "a" },
  { "region", "r" },
  { "bind_ip", "127.0.0.1" },
  { "bind_addrs.front", "127.0.0.1:8227" },
  { "bind_addrs.ready", "127.0.0.1:8220" },
  { "port_range.0", "7340" },
  { "port_range.1", "7355" },
  { "provider.address", "127.0.0.1:8223" },
  { "limits.memory_mb", "110" },
};

/* Renders the sections of TEXT with NAME if SHOWN, or removes them, and those
   for the opposite. Frees TEXT.  */
static char *
render_section (char *text, const char *name, gboolean shown)
{
  for (gboolean inverted = FALSE; inverted <= TRUE; inverted++)
    {
      g_autofree char *pattern
          = g_strdup_printf ("\\{\\{%s%s\\}\\}\n?(.*?)\\{\\{/%s\\}\\}\n?",
                             inverted ? "\\^" : "#", name, name);
      g_autoptr (GRegex) regex = g_regex_new (pattern, G_REGEX_DOTALL, 0, NULL);
      char *rendered = g_regex_replace (
          regex, text, -1, 0, shown != inverted ? "\\1" : "", 0, NULL);
      g_free (text);
      text = rendered;
    }
  return text;
}

/* Stores the template, filled in with the usual figures except CHANGED, as
   a.ini in the test folder.  */
static void
write_settings (const struct figure *changed, gboolean strict)
{
  g_autofree char *text = NULL;
  g_autofree char *path = file_path ();
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (
      JW_SOURCE_DIR "/platform/settings.ini", &text, NULL, NULL));
  text = render_section (text, "contract_params.strict_revoke", strict);
  text = render_section (text, "seed_nodes", FALSE);
  text = render_section (text, "zones", FALSE);
  for (guint i = 0; i < G_N_ELEMENTS (usual); i++)
    {
      gboolean is_changed
          = changed != NULL
            && strcmp (changed->placeholder, usual[i].placeholder) == 0;
      g_autofree char *name = g_strdup_printf ("{{%s}}", usual[i].placeholder);
      g_auto (GStrv) parts = g_strsplit (text, name, -1);
      g_free (text);
      text = g_strjoinv (is_changed ? changed->text : usual[i].text, parts);
    }
  CU_ASSERT_PTR_NULL (strstr (text, "{{"));
  g_autofree char *in_folder
      = g_strdup_printf ("charts=%s\n", JW_SOURCE_DIR "/charts");
  g_auto (GStrv) parts = g_strsplit (text, "charts=charts\n", -1);
  g_free (text);
  text = g_strjoinv (in_folder, parts);
  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
}

/* What the settings are read as.  */
struct reading
{
  int code;
  struct proxy_settings settings; /* texts are freed */
  GPtrArray *problems;            /* of char * */
  GPtrArray *tolerated;           /* of char * */
};

static struct reading
read_settings (const struct figure *changed, gboolean strict)
{
  struct reading reading
      = { .problems = g_ptr_array_new_with_free_func (g_free),
          .tolerated = g_ptr_array_new_with_free_func (g_free) };
  struct proxy_settings settings;
  g_autofree char *path = file_path ();
  write_settings (changed, strict);
  reading.code = proxy_settings_read (&settings, path, reading.problems,
                                      reading.tolerated);
  reading.settings = settings;
  proxy_settings_clear (&settings);
  return reading;
}

static void
reading_clear (struct reading *reading)
{
  g_ptr_array_unref (reading->problems);
  g_ptr_array_unref (reading->tolerated);
}

/* X (field, placeholder, text, value): microseconds, or the number itself  */
#define FORMS(X)                                                               \
  X (shutdown_limit_us, "contract_params.grace_period_s", "8", 8000000)        \
  X (shutdown_limit_us, "contract_params.grace_period_s", "8.0", 8000000)      \
  X (shutdown_limit_us, "contract_params.grace_period_s", "7.5", 7500000)      \
  X (shutdown_limit_us, "contract_params.grace_period_s", "4.35", 4350000)     \
  X (shutdown_limit_us, "contract_params.grace_period_s", "8e0", 8000000)      \
  X (shutdown_limit_us, "contract_params.grace_period_s", "0.75E+1", 7500000)  \
  X (shutdown_limit_us, "contract_params.grace_period_s", "7.9999999",         \
     7999999)                                                                  \
  X (shutdown_limit_us, "contract_params.grace_period_s", "", 8000000)         \
  X (drain_us, "contract_params.drain_timeout_ms", "3000.0", 3000000)          \
  X (drain_us, "contract_params.drain_timeout_ms", "2999.9999", 2999999)       \
  X (drain_us, "contract_params.drain_timeout_ms", "3e3", 3000000)             \
  X (drain_us, "contract_params.drain_timeout_ms", "0.7", 700)                 \
  X (drain_us, "contract_params.drain_timeout_ms", "", 3000000)                \
  X (key_freshness_limit_us, "contract_params.revoke_timeout_ms", "4999.5",    \
     4999500)                                                                  \
  X (key_freshness_limit_us, "contract_params.revoke_timeout_ms", "5.0e3",     \
     5000000)                                                                  \
  X (key_freshness_limit_us, "contract_params.revoke_timeout_ms", "", 5000000) \
  X (key_freshness_limit_us, "contract_params.revoke_timeout_ms", "soon",      \
     5000000)                                                                  \
  X (retry_window_us, "contract_params.budget_window_s", "10.0", 10000000)     \
  X (retry_window_us, "contract_params.budget_window_s", "7.25", 7250000)      \
  X (retry_window_us, "contract_params.budget_window_s", "", 10000000)         \
  X (retry_slack, "contract_params.budget_slack", "54.0", 54)                  \
  X (retry_slack, "contract_params.budget_slack", "54.5", 54.5)                \
  X (retry_slack, "contract_params.budget_slack", "5.4e1", 54)                 \
  X (retry_slack, "contract_params.budget_slack", "0", 0)                      \
  X (retry_slack, "contract_params.budget_slack", "", 20)                      \
  X (retry_ratio, "contract_params.retry_budget_ratio", "1", 1)                \
  X (retry_ratio, "contract_params.retry_budget_ratio", "2e-1", 0.2)           \
  X (retry_ratio, "contract_params.retry_budget_ratio", "", 0.1)

static void
check_form (const char *placeholder, const char *text, double expected,
            const struct reading *reading, double found)
{
  gboolean is_number = *text != '\0' && strcmp (text, "soon") != 0;
  if (reading->code != 0 || found != expected)
    g_print ("%s = \"%s\": code %d, value %.9g instead of %.9g\n", placeholder,
             text, reading->code, found, expected);
  CU_ASSERT_EQUAL (reading->code, 0);
  CU_ASSERT_EQUAL (reading->problems->len, 0);
  CU_ASSERT_EQUAL (reading->tolerated->len, is_number ? 0 : 1);
  CU_ASSERT_TRUE (found == expected);
}

static void
test_forms (void)
{
#define CHECK_FORM(field, placeholder_, text_, value)                          \
  {                                                                            \
    const struct figure changed = { placeholder_, text_ };                     \
    struct reading reading = read_settings (&changed, TRUE);                   \
    check_form (placeholder_, text_, value, &reading,                          \
                (double)reading.settings.field);                               \
    reading_clear (&reading);                                                  \
  }
  FORMS (CHECK_FORM)
#undef CHECK_FORM
}

static void
test_not_strict (void)
{
  struct reading reading = read_settings (NULL, FALSE);
  CU_ASSERT_EQUAL (reading.code, 0);
  CU_ASSERT_EQUAL (reading.settings.key_freshness_limit_us, 0);
  reading_clear (&reading);
}

/* What cannot be a number is told, and the default is in force.  */
static void
test_wrong_numbers (void)
{
  static const char *const texts[]
      = { "x",     "-3000",   "0x10", "nan",  "inf",
          "1e999", "3000 ms", "3,5",  "1e30", "." };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      const struct figure changed
          = { "contract_params.drain_timeout_ms", texts[i] };
      struct reading reading = read_settings (&changed, TRUE);
      CU_ASSERT_EQUAL (reading.code, 0);
      CU_ASSERT_EQUAL_FATAL (reading.tolerated->len, 1);
      CU_ASSERT_PTR_NOT_NULL (strstr (reading.tolerated->pdata[0],
                                      "group [gate], key drain_ms: \""));
      CU_ASSERT_EQUAL (reading.settings.drain_us, 3000000);
      reading_clear (&reading);
    }
}

/* Without an address of the store the instance can't serve: it does not
   start.  */
static void
test_required (void)
{
  const struct figure changed = { "provider.address", "" };
  struct reading reading = read_settings (&changed, TRUE);
  CU_ASSERT_TRUE (reading.code < 0);
  CU_ASSERT_EQUAL (reading.problems->len, 1);
  reading_clear (&reading);
}

static void
test_both_units (void)
{
  g_autofree char *path = file_path ();
  g_autofree char *text = NULL;
  struct proxy_settings settings;
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  write_settings (NULL, TRUE);
  CU_ASSERT_TRUE (g_file_get_contents (path, &text, NULL, NULL));
  g_auto (GStrv) parts = g_strsplit (text, "grace_s=", 2);
  g_autofree char *both = g_strjoinv ("grace_ms=8000\ngrace_s=", parts);
  CU_ASSERT_TRUE (g_file_set_contents (path, both, -1, NULL));
  CU_ASSERT_TRUE (proxy_settings_read (&settings, path, problems, problems)
                  < 0);
  CU_ASSERT_EQUAL_FATAL (problems->len, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (problems->pdata[0], "key grace_s: "));
  proxy_settings_clear (&settings);
  g_ptr_array_unref (problems);
}

static CU_TestInfo tests[] = {
  { "numbers in each form", test_forms },
  { "keys that need no confirmation", test_not_strict },
  { "what is no number", test_wrong_numbers },
  { "a required setting is missing", test_required },
  { "a time in both units", test_both_units },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "settings of a reverse proxy", make_folder, remove_folder, NULL, NULL,
    tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
