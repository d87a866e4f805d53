/* Tests the history checker (tests/harness/history.c): each rule on sample
   histories that satisfy it and that violate it.  */
#include "harness/history.h"
#include "unit.h"

#include <glib/gstdio.h>
#include <string.h>

#define SECOND G_USEC_PER_SEC
#define EVENTS_MAX 6

struct sample
{
  const char *rule;
  gboolean violates;
  struct history_event events[EVENTS_MAX]; /* t: seconds; 0: by position */
};

#define CALL_(...)                                                             \
  {                                                                            \
    .kind = HISTORY_CALL, __VA_ARGS__                                          \
  }
#define RESPONSE_(...)                                                         \
  {                                                                            \
    .kind = HISTORY_RESPONSE, __VA_ARGS__                                      \
  }
#define ERROR_(...)                                                            \
  {                                                                            \
    .kind = HISTORY_ERROR, __VA_ARGS__                                         \
  }
#define EXECUTE_(...)                                                          \
  {                                                                            \
    .kind = HISTORY_EXECUTE, __VA_ARGS__                                       \
  }
#define START_(...)                                                            \
  {                                                                            \
    .kind = HISTORY_START, __VA_ARGS__                                         \
  }
#define CONFIG_(p, v, at)                                                      \
  {                                                                            \
    .kind = HISTORY_CONFIG, .process = (p), .version = (v), .t = (at)          \
  }

static const struct sample samples[] = {
  { "at-most-once",
    FALSE,
    { CALL_ (.id = "a", .key = "k"), EXECUTE_ (.id = "a"),
      EXECUTE_ (.id = "b") } },
  { "at-most-once",
    TRUE,
    { CALL_ (.id = "a"), EXECUTE_ (.id = "a"), EXECUTE_ (.id = "a") } },
  { "at-most-once",
    TRUE,
    { CALL_ (.id = "a", .key = "k"), CALL_ (.id = "b", .key = "k"),
      EXECUTE_ (.id = "a"), EXECUTE_ (.id = "b") } },
  { "rejected-did-not-run",
    FALSE,
    { ERROR_ (.id = "a", .ran = "no", .request = "r-1"), RESPONSE_ (.id = "a"),
      EXECUTE_ (.id = "a", .request = "r-2") } },
  { "rejected-did-not-run",
    FALSE,
    { ERROR_ (.id = "a", .ran = "unknown", .request = "r-1"),
      EXECUTE_ (.id = "a", .request = "r-1") } },
  { "rejected-did-not-run",
    TRUE,
    { ERROR_ (.id = "a", .ran = "no"), EXECUTE_ (.id = "a") } },
  { "rejected-did-not-run",
    TRUE,
    { ERROR_ (.id = "a", .ran = "no", .request = "r-1"), RESPONSE_ (.id = "a"),
      EXECUTE_ (.id = "a", .request = "r-1") } },
  { "rejected-did-not-run",
    TRUE,
    { ERROR_ (.id = "a", .ran = "no", .request = "r-1"),
      START_ (.request = "r-1") } },
  { "rejected-did-not-run",
    TRUE,
    { { .kind = HISTORY_REFUSED, .id = "a" }, EXECUTE_ (.id = "a") } },
  { "responses-are-correct",
    FALSE,
    { RESPONSE_ (.id = "a", .text = "x y", .expected = "x y") } },
  { "responses-are-correct",
    TRUE,
    { RESPONSE_ (.id = "a", .text = "x", .expected = "x y") } },
  { "same-response-for-key",
    FALSE,
    { RESPONSE_ (.key = "k", .text = "x"), RESPONSE_ (.key = "l", .text = "y"),
      RESPONSE_ (.key = "k", .text = "x") } },
  { "same-response-for-key",
    TRUE,
    { RESPONSE_ (.key = "k", .text = "x"),
      RESPONSE_ (.key = "k", .text = "y") } },
  { "every-call-ends",
    FALSE,
    { CALL_ (.id = "a"),
      { .kind = HISTORY_REFUSED, .id = "a" },
      CALL_ (.id = "a"),
      RESPONSE_ (.id = "a") } },
  { "every-call-ends",
    TRUE,
    { CALL_ (.id = "a"), CALL_ (.id = "a"), RESPONSE_ (.id = "a") } },
  { "only-faults-cut-off",
    FALSE,
    { CALL_ (.id = "a", .t = 1),
      { .kind = HISTORY_DOWN, .process = "p", .t = 2 },
      { .kind = HISTORY_CUT, .id = "a", .process = "p", .t = 3 } } },
  { "only-faults-cut-off",
    TRUE,
    { { .kind = HISTORY_DOWN, .process = "p", .t = 1 },
      CALL_ (.id = "a", .t = 3),
      { .kind = HISTORY_CUT, .id = "a", .process = "p", .t = 4 } } },
  { "only-faults-cut-off",
    TRUE,
    { CALL_ (.id = "a"),
      { .kind = HISTORY_DOWN, .process = "q" },
      { .kind = HISTORY_CUT, .id = "a", .process = "p" } } },
  { "leaving-gets-no-work",
    FALSE,
    { { .kind = HISTORY_LEAVING, .process = "s", .t = 1 },
      START_ (.process = "s", .t = 4),
      START_ (.process = "other", .t = 9),
      { .kind = HISTORY_LIVE, .process = "s", .t = 10 },
      START_ (.process = "s", .t = 11) } },
  { "leaving-gets-no-work",
    TRUE,
    { { .kind = HISTORY_LEAVING, .process = "s", .t = 1 },
      START_ (.process = "s", .t = 5) } },
  { "versions-never-decrease",
    FALSE,
    { CONFIG_ ("p", 1, 1), CONFIG_ ("q", 3, 2), CONFIG_ ("p", 3, 3),
      CONFIG_ ("p", 3, 4) } },
  { "versions-never-decrease",
    TRUE,
    { CONFIG_ ("p", 3, 1), CONFIG_ ("p", 2, 2) } },
  { "accepted-is-applied",
    FALSE,
    { CONFIG_ ("p", 1, 1),
      CONFIG_ ("q", 1, 1),
      { .kind = HISTORY_ACCEPT, .version = 2, .t = 2 },
      CONFIG_ ("p", 2, 7),
      { .kind = HISTORY_DOWN, .process = "q", .t = 3 } } },
  { "accepted-is-applied",
    TRUE,
    { CONFIG_ ("p", 1, 1),
      { .kind = HISTORY_DOWN, .process = "p", .t = 2 },
      { .kind = HISTORY_UP, .process = "p", .t = 3 },
      { .kind = HISTORY_ACCEPT, .version = 2, .t = 4 } } },
  { "accepted-is-applied",
    TRUE,
    { CONFIG_ ("p", 1, 1),
      { .kind = HISTORY_ACCEPT, .version = 2, .t = 2 },
      CONFIG_ ("p", 2, 8) } },
};

static void
test_rules (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      const struct sample *s = &samples[i];
      struct history *history = history_new ();
      GString *report = g_string_new (NULL);
      for (guint k = 0; k < EVENTS_MAX; k++)
        {
          struct history_event event = s->events[k];
          event.t = event.t ? event.t * SECOND : k + 1;
          if (event.kind != HISTORY_CALL || event.id != NULL)
            history_add (history, &event);
        }
      CU_ASSERT_EQUAL (history_check (history, s->rule, report) > 0,
                       s->violates);
      CU_ASSERT_EQUAL (report->len > 0, s->violates);
      g_string_free (report, TRUE);
      history_free (history);
    }
}

static const char history_lines[]
    = "{\"t_us\": 5, \"process\": \"s\", \"kind\": \"execute\", "
      "\"id\": \"a\", \"attempt\": \"r-1-1\"}\n"
      "{\"t_us\": 6, \"process\": \"s\", \"kind\": \"execute\", "
      "\"id\": \"a\", \"attempt\": \"r-1-2\"}\n";
static const char log_lines[]
    = "not JSON\n"
      "{\"time\": \"2026-01-01T00:00:01.5Z\", \"instance\": \"p\", "
      "\"event\": \"config.applied\", \"text\": \"version 7, preset x\"}\n"
      "{\"time\": \"2026-01-01T00:00:02Z\", \"instance\": \"p\", "
      "\"event\": \"config.applied\", \"text\": \"version 6, preset x\"}\n"
      "{\"time\": \"2026-01-01T00:00:03Z\", \"instance\": \"p\", "
      "\"event\": \"attempt.end\", \"request\": \"r-1\"}\n"
      "{\"time\": \"2026-01-01T00:00:03Z\", \"instance\": \"p\", "
      "\"event\": \"attempt.end\", \"request\": \"r-12\"}\n";

/* Checks that the explanation of the violations in HISTORY has the call's
   events and the log lines of its request, and none of another request.  */
static void
check_explanation (struct history *history, const char *dir)
{
  GString *report = g_string_new (NULL);
  CU_ASSERT_EQUAL (history_check (history, "rejected-did-not-run", report), 2);
  g_string_truncate (report, 0);
  history_explain (history, dir, report);
  CU_ASSERT_PTR_NOT_NULL (strstr (report->str, "error at -, id a"));
  CU_ASSERT_PTR_NOT_NULL (strstr (report->str, "execute at s, id a"));
  CU_ASSERT_PTR_NOT_NULL (strstr (report->str, "s.history: {\"t_us\": 5"));
  CU_ASSERT_PTR_NOT_NULL (strstr (report->str, "\"request\": \"r-1\""));
  CU_ASSERT_PTR_NULL (strstr (report->str, "\"request\": \"r-12\""));
  g_string_free (report, TRUE);
}

static void
test_files (void)
{
  char *dir = g_dir_make_tmp ("his-XXXXXX", NULL);
  char *history_file = g_build_filename (dir, "s.history", NULL);
  char *log = g_build_filename (dir, "p.out", NULL);
  GString *report = g_string_new (NULL);
  struct history *history = history_new ();
  const struct history_event refusal
      = { .kind = HISTORY_ERROR, .id = "a", .ran = "no", .request = "r-1" };
  g_file_set_contents (history_file, history_lines, -1, NULL);
  g_file_set_contents (log, log_lines, -1, NULL);
  history_add (history, &refusal);
  history_read_dir (history, dir);
  struct history *copy = history_copy (history);
  CU_ASSERT_EQUAL (history_count (copy, HISTORY_EXECUTE, NULL), 2);
  CU_ASSERT_EQUAL (history_check (copy, "at-most-once", report), 1);
  CU_ASSERT_EQUAL (history_check (copy, "rejected-did-not-run", report), 2);
  CU_ASSERT_EQUAL (history_check (copy, "versions-never-decrease", report), 1);
  CU_ASSERT_EQUAL (history_check (copy, NULL, report), 4);
  check_explanation (copy, dir);
  history_free (copy);
  history_free (history);
  g_string_free (report, TRUE);
  g_unlink (history_file);
  g_unlink (log);
  g_rmdir (dir);
  g_free (log);
  g_free (history_file);
  g_free (dir);
}

static CU_TestInfo tests[] = {
  { "each rule finds what violates it", test_rules },
  { "histories and logs are read", test_files },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "his", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
