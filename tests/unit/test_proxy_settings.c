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

/* A key of the settings and the text that the template fills in for it.  */
struct figure
{
  const char *key;
  const char *text;
};

static const struct figure usual[] = {
  { "id", "edge-a-1" },
  { "domain", "a" },
  { "region", "r" },
  { "charts", JW_SOURCE_DIR "/charts" },
  { "callers", "127.0.0.1:8227" },
  { "ready", "127.0.0.1:8220" },
  { "metrics", "127.0.0.1:7355" },
  { "key_limit_ms", "5000" },
  { "grace_s", "8" },
  { "drain_ms", "3000" },
  { "retry_ratio", "0.2" },
  { "retry_slack", "54" },
  { "retry_window_s", "10" },
  { "memory_mb", "110" },
  { "listen", "127.0.0.1:7340" },
  { "seeds", "127.0.0.1:8229;" },
  { "address", "127.0.0.1:8223" },
  { "lease_ms", "3000" },
  { "usage_window_s", "5" },
  { "usage_late_s", "10" },
  { "calls_per_s", "50" },
};

static gboolean has_duties; /* the platform's API of the duties is there */

/* Returns the text of KEY; NULL: it is not filled in.  */
static const char *
text_of (const char *key, const struct figure *changed)
{
  if (changed != NULL && strcmp (changed->key, key) == 0)
    return changed->text;
  for (guint i = 0; i < G_N_ELEMENTS (usual); i++)
    if (strcmp (usual[i].key, key) == 0)
      return usual[i].text;
  return NULL;
}

/* Appends LINE of the template with what is filled in. Returns FALSE if a value
   is not known here.  */
static gboolean
append_line (GString *out, const char *line, const struct figure *changed)
{
  const char *equals = strchr (line, '=');
  const char *placeholder = strstr (line, "{{");
  if (equals == NULL
      || (placeholder == NULL && !g_str_has_prefix (line, "charts=")))
    {
      g_string_append_printf (out, "%s\n", line);
      return TRUE;
    }
  g_autofree char *key = g_strndup (line, (gsize)(equals - line));
  const char *text = text_of (key, changed);
  g_string_append_printf (out, "%s=%s\n", key, text != NULL ? text : "");
  return text != NULL;
}

/* Returns whether the section that LINE opens is shown.  */
static gboolean
shows (const char *line, gboolean strict)
{
  if (g_str_has_prefix (line, "{{#cloud_api"))
    return has_duties;
  if (strcmp (line, "{{#zones}}") == 0)
    return FALSE;
  return g_str_has_prefix (line, "{{#") == strict;
}

/* Stores the template as a.ini in the test folder, filled in with the usual
   figures except CHANGED. STRICT: sections for what is present are shown, not
   those for the opposite; there are no domains, and duties if HAS_DUTIES.  */
static void
write_settings (const struct figure *changed, gboolean strict)
{
  g_autofree char *template = NULL;
  g_autofree char *path = file_path ();
  GString *out = g_string_new (NULL);
  guint depth = 0;  /* of sections */
  guint hidden = 0; /* depth of the outermost one that is not shown; 0: none */
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (
      JW_SOURCE_DIR "/platform/settings.ini", &template, NULL, NULL));
  g_auto (GStrv) lines = g_strsplit (template, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      if (g_str_has_prefix (lines[i], "{{#")
          || g_str_has_prefix (lines[i], "{{^"))
        {
          depth++;
          if (hidden == 0 && !shows (lines[i], strict))
            hidden = depth;
        }
      else if (g_str_has_prefix (lines[i], "{{/"))
        hidden = depth-- == hidden ? 0 : hidden;
      else if (hidden == 0 && strcmp (lines[i], "{{.}}=1") == 0)
        g_string_append (out, "usage_report=1\nautoscale=1\n");
      else if (hidden == 0)
        CU_ASSERT_TRUE (append_line (out, lines[i], changed));
    }
  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, out->str, -1, NULL));
  g_string_free (out, TRUE);
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

/* X (field, key, text, value): microseconds, or the number itself  */
#define FORMS(X)                                                               \
  X (shutdown_limit_us, "grace_s", "8", 8000000)                               \
  X (shutdown_limit_us, "grace_s", "8.0", 8000000)                             \
  X (shutdown_limit_us, "grace_s", "7.5", 7500000)                             \
  X (shutdown_limit_us, "grace_s", "4.35", 4350000)                            \
  X (shutdown_limit_us, "grace_s", "8e0", 8000000)                             \
  X (shutdown_limit_us, "grace_s", "0.75E+1", 7500000)                         \
  X (shutdown_limit_us, "grace_s", "7.9999999", 7999999)                       \
  X (shutdown_limit_us, "grace_s", "", 8000000)                                \
  X (drain_us, "drain_ms", "3000.0", 3000000)                                  \
  X (drain_us, "drain_ms", "2999.9999", 2999999)                               \
  X (drain_us, "drain_ms", "3e3", 3000000)                                     \
  X (drain_us, "drain_ms", "0.7", 700)                                         \
  X (drain_us, "drain_ms", "", 3000000)                                        \
  X (key_freshness_limit_us, "key_limit_ms", "4999.5", 4999500)                \
  X (key_freshness_limit_us, "key_limit_ms", "5.0e3", 5000000)                 \
  X (key_freshness_limit_us, "key_limit_ms", "", 5000000)                      \
  X (key_freshness_limit_us, "key_limit_ms", "soon", 5000000)                  \
  X (retry_window_us, "retry_window_s", "10.0", 10000000)                      \
  X (retry_window_us, "retry_window_s", "7.25", 7250000)                       \
  X (retry_window_us, "retry_window_s", "", 10000000)                          \
  X (retry_slack, "retry_slack", "54.0", 54)                                   \
  X (retry_slack, "retry_slack", "54.5", 54.5)                                 \
  X (retry_slack, "retry_slack", "5.4e1", 54)                                  \
  X (retry_slack, "retry_slack", "0", 0)                                       \
  X (retry_slack, "retry_slack", "", 20)                                       \
  X (retry_ratio, "retry_ratio", "1", 1)                                       \
  X (retry_ratio, "retry_ratio", "2e-1", 0.2)                                  \
  X (retry_ratio, "retry_ratio", "", 0.1)

static void
check_form (const char *key, const char *text, double expected,
            const struct reading *reading, double found)
{
  gboolean is_number = *text != '\0' && strcmp (text, "soon") != 0;
  if (reading->code != 0 || found != expected)
    g_print ("%s = \"%s\": code %d, value %.9g instead of %.9g\n", key, text,
             reading->code, found, expected);
  CU_ASSERT_EQUAL (reading->code, 0);
  CU_ASSERT_EQUAL (reading->problems->len, 0);
  CU_ASSERT_EQUAL (reading->tolerated->len, is_number ? 0 : 1);
  CU_ASSERT_TRUE (found == expected);
}

static void
test_forms (void)
{
#define CHECK_FORM(field, key_, text_, value)                                  \
  {                                                                            \
    const struct figure changed = { key_, text_ };                             \
    struct reading reading = read_settings (&changed, TRUE);                   \
    check_form (key_, text_, value, &reading, (double)reading.settings.field); \
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
      const struct figure changed = { "drain_ms", texts[i] };
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
  const struct figure changed = { "address", "" };
  struct reading reading = read_settings (&changed, TRUE);
  CU_ASSERT_TRUE (reading.code < 0);
  CU_ASSERT_EQUAL (reading.problems->len, 1);
  reading_clear (&reading);
}

/* Without [duties] an instance has none and does not ask the store; with a duty
   that it does not know it has to serve all the same.  */
static void
test_duties (void)
{
  const struct figure other = { "calls_per_s", "50\nunheard_of=1" };
  struct reading none = read_settings (NULL, TRUE);
  has_duties = TRUE;
  struct reading all = read_settings (&other, TRUE);
  has_duties = FALSE;
  CU_ASSERT_EQUAL (none.settings.duties.address[0], '\0');
  CU_ASSERT_FALSE (none.settings.duties.reports);
  CU_ASSERT_EQUAL (all.code, 0);
  CU_ASSERT_EQUAL (all.tolerated->len, 1);
  CU_ASSERT_STRING_EQUAL (all.settings.duties.address, "127.0.0.1:8223");
  CU_ASSERT_TRUE (all.settings.duties.reports);
  CU_ASSERT_TRUE (all.settings.duties.orders);
  CU_ASSERT_EQUAL (all.settings.duties.lease_us, 3000000);
  CU_ASSERT_EQUAL (all.settings.duties.usage_window_us, 5000000);
  CU_ASSERT_EQUAL (all.settings.duties.usage_late_us, 10000000);
  CU_ASSERT_EQUAL (all.settings.duties.calls_per_s, 50);
  reading_clear (&none);
  reading_clear (&all);
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

/* A file without the keys, as all are that were written before there was a
   choice, must leave the decision as it was.  */
static void
test_leave_domain (void)
{
  /* The template has neither key: they follow the last of their group. */
  static const struct figure chosen
      = { "memory_mb", "110\nleave_domain=adaptive\nregion_mbps=0" };
  static const struct figure wrong
      = { "memory_mb", "110\nleave_domain=sometimes" };
  struct reading reading = read_settings (NULL, TRUE);
  CU_ASSERT_EQUAL (reading.code, 0);
  CU_ASSERT_EQUAL (reading.settings.leave_domain, PROXY_SETTINGS_LEAVE_FIXED);
  CU_ASSERT_EQUAL (reading.settings.region_mbps, 60);
  reading_clear (&reading);
  reading = read_settings (&chosen, TRUE);
  CU_ASSERT_EQUAL (reading.code, 0);
  CU_ASSERT_EQUAL (reading.settings.leave_domain,
                   PROXY_SETTINGS_LEAVE_ADAPTIVE);
  CU_ASSERT_EQUAL (reading.settings.region_mbps, 0);
  reading_clear (&reading);
  reading = read_settings (&wrong, TRUE);
  CU_ASSERT_TRUE (reading.code < 0);
  reading_clear (&reading);
}

static CU_TestInfo tests[] = {
  { "what decides on leaving the domain", test_leave_domain },
  { "numbers in each form", test_forms },
  { "keys that need no confirmation", test_not_strict },
  { "what is no number", test_wrong_numbers },
  { "a required setting is missing", test_required },
  { "a time in both units", test_both_units },
  { "duties", test_duties },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "settings of a reverse proxy", make_folder, remove_folder, NULL, NULL,
    tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
