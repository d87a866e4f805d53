#include "unit/unit.h"

#include "chart/statechart.h"

#include <glib/gstdio.h>
#include <string.h>

enum
{
  IDLE,
  BUSY,
  DONE,
  STATE_N
};

enum
{
  START,
  STOP,
  EVENT_N
};

static const char *const states[] = { "idle", "busy", "done" };
static const char *const events[] = { "start", "stop" };
static const struct statechart_binding binding
    = { states, STATE_N, events, EVENT_N };

#define IDLE_GROUP "[state:idle]\nstart=busy\n"
#define BUSY_GROUP "[state:busy]\nstop=done\n"
#define DONE_GROUP "[state:done]\nfinal=true\n"
#define HEAD "[chart]\ninitial=idle\n"

/* Loads the chart TEXT from a temporary file.  */
static int
load (const char *text, struct statechart **chart, struct err *err)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("chart-XXXXXX", &path, NULL);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  g_close (fd, NULL);
  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
  int r = statechart_load (path, &binding, chart, err);
  g_unlink (path);
  g_free (path);
  return r;
}

static void
test_valid_chart (void)
{
  struct statechart *chart;
  struct err err;
  CU_ASSERT_EQUAL_FATAL (
      load (HEAD IDLE_GROUP BUSY_GROUP DONE_GROUP, &chart, &err), 0);
  CU_ASSERT_EQUAL (statechart_initial (chart), IDLE);
  CU_ASSERT_EQUAL (statechart_next (chart, IDLE, START), BUSY);
  CU_ASSERT_EQUAL (statechart_next (chart, BUSY, STOP), DONE);
  CU_ASSERT_EQUAL (statechart_next (chart, IDLE, STOP), STATECHART_NONE);
  CU_ASSERT_EQUAL (statechart_next (chart, STATECHART_NONE, STOP),
                   STATECHART_NONE);
  CU_ASSERT_EQUAL (statechart_next (chart, DONE, EVENT_N), STATECHART_NONE);
  CU_ASSERT_FALSE (statechart_is_final (chart, BUSY));
  CU_ASSERT_TRUE (statechart_is_final (chart, DONE));
  CU_ASSERT_STRING_EQUAL (statechart_state_name (chart, BUSY), "busy");
  statechart_free (chart);
}

/* Invalid charts, and the place and problem that each error must name.  */
static const struct
{
  const char *text;
  const char *where;
  const char *what;
} invalid_charts[] = {
  { IDLE_GROUP BUSY_GROUP DONE_GROUP, "[chart] initial", "missing" },
  { "[chart]\ninitial=off\n" IDLE_GROUP BUSY_GROUP DONE_GROUP,
    "[chart] initial", "unknown state" },
  { HEAD "other=1\n" IDLE_GROUP BUSY_GROUP DONE_GROUP, "[chart] other",
    "unknown key" },
  { HEAD IDLE_GROUP BUSY_GROUP DONE_GROUP "[state:off]\n", "[state:off]",
    "unknown state" },
  { HEAD IDLE_GROUP BUSY_GROUP DONE_GROUP "[other]\n", "[other]",
    "unknown group" },
  { HEAD IDLE_GROUP BUSY_GROUP "jump=done\n" DONE_GROUP, "[state:busy] jump",
    "unknown event" },
  { HEAD IDLE_GROUP BUSY_GROUP "start=off\n" DONE_GROUP, "[state:busy] start",
    "unknown state" },
  { HEAD IDLE_GROUP BUSY_GROUP "[state:done]\nfinal=maybe\n",
    "[state:done] final", "not a boolean" },
  { HEAD "[state:idle]\nstart=done\nstop=done\n" DONE_GROUP, "[state:busy]",
    "missing state" },
  { HEAD IDLE_GROUP "[state:busy]\nstart=done\n" DONE_GROUP, "[state:*] stop",
    "event that no state takes" },
  { HEAD "[state:idle]\nstart=done\n" BUSY_GROUP DONE_GROUP, "[state:busy]",
    "unreachable state" },
  { HEAD "[state:idle]\nstart=busy\nstop=done\n[state:busy]\nstart="
         "busy\n" DONE_GROUP,
    "[state:busy]", "no way to a final state" },
  { HEAD IDLE_GROUP BUSY_GROUP "[state:done]\n", "[state:idle]",
    "no way to a final state" },
  { "no chart", "chart-", "" },
};

static void
test_invalid_charts (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (invalid_charts); i++)
    {
      struct statechart *chart;
      struct err err = { 0 };
      CU_ASSERT_EQUAL (load (invalid_charts[i].text, &chart, &err),
                       ERR_INVALID);
      CU_ASSERT_PTR_NULL (chart);
      CU_ASSERT_STRING_EQUAL (err.step, "chart.load");
      CU_ASSERT_PTR_NOT_NULL (strstr (err.text, "chart-"));
      CU_ASSERT_PTR_NOT_NULL (strstr (err.text, invalid_charts[i].where));
      CU_ASSERT_PTR_NOT_NULL (strstr (err.text, invalid_charts[i].what));
    }
}

static void
test_missing_file (void)
{
  struct statechart *chart;
  struct err err;
  CU_ASSERT_EQUAL (
      statechart_load ("/nonexistent/a.chart", &binding, &chart, &err), ERR_IO);
}

static CU_TestInfo tests[] = {
  { "a valid chart is loaded and interpreted", test_valid_chart },
  { "errors in a chart are reported with file, group and key",
    test_invalid_charts },
  { "a missing file is an error", test_missing_file },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "chart", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
