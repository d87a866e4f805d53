#include "unit/unit.h"

#include "config/cfg.h"

#include <string.h>

/* Parses file NAME of the examples. Prints its problems.  */
static struct cfg *
parse_example (const char *name)
{
  g_autofree char *path
      = g_build_filename (JW_SOURCE_DIR, "examples", name, "config.ini", NULL);
  char *text = NULL;
  gsize n = 0;
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, &n, NULL));
  g_autoptr (GBytes) body = g_bytes_new_take (text, n);
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  struct cfg *cfg = cfg_parse (body, 7, problems);
  for (guint i = 0; i < problems->len; i++)
    g_print ("%s\n", (char *)problems->pdata[i]);
  return cfg;
}

static void
test_examples (void)
{
  static const char *const names[] = { "authority", "cooperative" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct cfg *cfg = parse_example (names[i]);
      CU_ASSERT_PTR_NOT_NULL (cfg);
      if (cfg == NULL)
        return;
      CU_ASSERT_EQUAL (cfg->version, 7);
      CU_ASSERT_EQUAL (cfg->n_domains, 3);
      CU_ASSERT_EQUAL (cfg->n_teams, 10);
      CU_ASSERT_EQUAL (cfg->n_backends, 15);
      CU_ASSERT_EQUAL (cfg->n_cells, 6);
      cfg_unref (cfg);
    }
}

static CU_TestInfo tests[] = {
  { "the examples are valid", test_examples },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "cfg", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
