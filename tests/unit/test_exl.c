/* The command explain, with the logs of two instances.  */
#include "unit/unit.h"

#include <glib/gstdio.h>
#include <string.h>

#include "jacinthctl/explain.h"

static const char log_a[]
    = "prefix {\"time\":\"1\",\"instance\":\"a\",\"event\":\"config.applied\","
      "\"version\":3}\n"
      "not a line\n"
      "{\"time\":\"2\",\"instance\":\"a\",\"event\":\"store.lost\"}\n"
      "{\"time\":\"3\",\"instance\":\"a\",\"event\":\"request.queued\","
      "\"request_id\":\"r1\",\"ahead\":4}\n"
      "{\"time\":\"4\",\"instance\":\"a\",\"event\":\"request.queued\","
      "\"request_id\":\"r2\"}\n"
      "{\"time\":\"6\",\"instance\":\"a\",\"event\":\"server.gone\","
      "\"peer\":\"s\"}\n"
      "{\"time\":\"7\",\"instance\":\"a\",\"event\":\"request.end\","
      "\"request_id\":\"r1\",\"outcome\":\"overload\"}\n";
static const char log_b[]
    = "{\"time\":\"5\",\"instance\":\"b\",\"event\":\"server.gone\"}\n";

/* Writes TEXT to file NAME in the directory for temporary files. Returns its
   path, to be freed with g_free.  */
static char *
write_file (const char *name, const char *text)
{
  char *path = g_build_filename (g_get_tmp_dir (), name, NULL);
  CU_ASSERT_TRUE (g_file_set_contents (path, text, -1, NULL));
  return path;
}

static void
test_explain_request (void)
{
  char *a = write_file ("jw-test-exl-a.log", log_a);
  char *b = write_file ("jw-test-exl-b.log", log_b);
  char *files[] = { b, a, NULL };
  GString *out = g_string_new (NULL);
  CU_ASSERT_EQUAL (explain_request ("r1", files, FALSE, out), 2);
  CU_ASSERT_STRING_EQUAL (out->str,
                          "1 a believed since: config.applied version=3\n"
                          "2 a believed since: store.lost\n"
                          "3 a request.queued ahead=4\n"
                          "6 a meanwhile: server.gone peer=\"s\"\n"
                          "7 a request.end outcome=\"overload\"\n");
  g_string_truncate (out, 0);
  CU_ASSERT_EQUAL (explain_request ("r9", files, FALSE, out), 0);
  CU_ASSERT_EQUAL (out->len, 0);
  CU_ASSERT_EQUAL (explain_request ("r2", files, TRUE, out), 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "\"request_id\":\"r2\"}\n"));
  char *missing[] = { "/nonexistent/log", NULL };
  CU_ASSERT_EQUAL (explain_request ("r1", missing, FALSE, out), -1);
  g_string_free (out, TRUE);
  g_remove (a);
  g_remove (b);
  g_free (a);
  g_free (b);
}

static CU_TestInfo tests[] = {
  { "explain a request", test_explain_request },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "explain", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
