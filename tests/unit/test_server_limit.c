/* What is known of a server's limit from responses that cross each other. If an
   older one counted, the instances would send too much again, or keep to a
   limit that has ended.  */
#include "policy/server_limit.h"
#include "unit/unit.h"

/* Reports that the server named PER_S between AFTER and BEFORE, in seconds.  */
static gboolean
report (struct server_limit *limit, double per_s, gint64 after, gint64 before)
{
  const struct server_limit_report r = { .per_s = per_s,
                                         .after = after * CLK_S,
                                         .before = before * CLK_S,
                                         .source = SERVER_LIMIT_OWN };
  return server_limit_update (limit, &r, before * CLK_S);
}

static void
test_newer (void)
{
  struct server_limit limit = { 0 };
  CU_ASSERT_FALSE (report (&limit, 0, 1, 2));
  CU_ASSERT_TRUE (report (&limit, 1, 3, 4));
  CU_ASSERT_FALSE (report (&limit, 1, 5, 6));
  CU_ASSERT_TRUE (report (&limit, 2.5, 6, 7));
  CU_ASSERT_TRUE (report (&limit, 0, 8, 9));
  CU_ASSERT_EQUAL (limit.report.per_s, 0);
  CU_ASSERT_EQUAL (limit.ended_at, 9 * CLK_S);
}

/* A response that was long on its way, to a request from before the limit.  */
static void
test_old_response (void)
{
  struct server_limit limit = { 0 };
  report (&limit, 1, 3, 4);
  CU_ASSERT_FALSE (report (&limit, 0, 1, 6));
  CU_ASSERT_FALSE (report (&limit, 40, 1, 6));
  CU_ASSERT_EQUAL (limit.report.per_s, 1);
  CU_ASSERT_TRUE (report (&limit, 0, 6, 7));
  CU_ASSERT_FALSE (report (&limit, 1, 2, 5));
  CU_ASSERT_EQUAL (limit.report.per_s, 0);
}

/* If the order is unknown, the lower limit counts.  */
static void
test_stricter (void)
{
  struct server_limit limit = { 0 };
  report (&limit, 2, 3, 6);
  CU_ASSERT_TRUE (report (&limit, 1, 4, 5));
  CU_ASSERT_FALSE (report (&limit, 2, 4, 6));
  CU_ASSERT_EQUAL (limit.report.per_s, 1);
}

/* Requests that overlap all the time do not keep a limit that has ended.  */
static void
test_overlapping_end (void)
{
  struct server_limit limit = { 0 };
  report (&limit, 1, 0, 20);
  for (gint64 s = 1; s < 20; s++)
    CU_ASSERT_FALSE (report (&limit, 0, s, 20 + s));
  CU_ASSERT_TRUE (report (&limit, 0, 20, 40));
}

/* A peer that repeats what this instance has told it does not renew it.  */
static void
test_peer_repeats (void)
{
  struct server_limit limit = { 0 };
  report (&limit, 1, 3, 4);
  const struct server_limit_report r = { .per_s = 1,
                                         .after = 3 * CLK_S,
                                         .before = 8 * CLK_S,
                                         .source = SERVER_LIMIT_DOMAIN };
  CU_ASSERT_FALSE (server_limit_update (&limit, &r, 8 * CLK_S));
  CU_ASSERT_EQUAL (limit.report.before, 4 * CLK_S);
  CU_ASSERT_EQUAL (limit.report.source, SERVER_LIMIT_OWN);
  CU_ASSERT_TRUE (report (&limit, 0, 5, 6));
}

static CU_TestInfo tests[] = {
  { "newer responses", test_newer },
  { "an old response", test_old_response },
  { "unknown order", test_stricter },
  { "overlapping requests", test_overlapping_end },
  { "a peer repeats it", test_peer_repeats },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "server_limit", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
