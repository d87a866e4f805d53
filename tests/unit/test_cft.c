#include "unit/unit.h"

#include "config/follower.h"

#include <string.h>

/* One follower; the test supplies the responses to its calls. */
struct fixture
{
  struct clk_fake clk;
  struct counter_set counter_set;
  struct follower *follower;
  guint64 token; /* of the last call */
  struct storage_request call;
  guint n_calls;
  guint n_requests; /* to peers */
  guint64 version;  /* last applied */
  guint n_results;
  struct follower_result result;
};

static void
fixture_store (void *ctx, guint64 token, const struct storage_request *call)
{
  struct fixture *fix = ctx;
  fix->token = token;
  fix->call = *call;
  fix->n_calls++;
}

/* Bodies that start with '!' are invalid.  */
static gboolean
fixture_accept (void *ctx, guint64 version, GBytes *body,
                enum follower_source source)
{
  struct fixture *fix = ctx;
  (void)source;
  if (g_bytes_get_size (body) > 0
      && *(const char *)g_bytes_get_data (body, NULL) == '!')
    return FALSE;
  fix->version = version;
  return TRUE;
}

static void
fixture_request (void *ctx, const char *peer, guint64 version)
{
  struct fixture *fix = ctx;
  (void)peer;
  (void)version;
  fix->n_requests++;
}

static void
fixture_done (void *ctx, const struct follower_result *result)
{
  struct fixture *fix = ctx;
  fix->result = *result;
  fix->n_results++;
}

static void
fixture_init (struct fixture *fix, guint32 seed)
{
  memset (fix, 0, sizeof *fix);
  clk_fake_init (&fix->clk, 10 * CLK_S);
  struct follower_options o = { .clk = &fix->clk.clk,
                                .seed = seed,
                                .counter_set = &fix->counter_set };
  o.object = "config";
  o.store = fixture_store;
  o.accept = fixture_accept;
  o.request = fixture_request;
  o.ctx = fix;
  fix->follower = follower_new (&o);
}

static void
fixture_respond (struct fixture *fix, int code, guint64 version,
                 const char *text)
{
  g_autoptr (GBytes) body = text ? g_bytes_new (text, strlen (text)) : NULL;
  struct storage_response response = { .code = code, .version = version };
  response.body = body;
  follower_complete (fix->follower, fix->token, &response);
}

static void
fixture_run (struct fixture *fix, gint64 time)
{
  for (gint64 end = fix->clk.t + time; fix->clk.t < end;)
    {
      fix->clk.t += FOLLOWER_TICK_US;
      follower_tick (fix->follower);
    }
}

static gboolean
fixture_receive (struct fixture *fix, guint64 version, const char *text)
{
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  return follower_receive (fix->follower, version, body);
}

static void
fixture_update (struct fixture *fix, guint64 expected, const char *text)
{
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  CU_ASSERT_EQUAL (
      follower_update (fix->follower, expected, body, fixture_done, fix), 0);
}

static void
test_versions_never_decrease (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  CU_ASSERT_TRUE (fixture_receive (&fix, 5, "five"));
  CU_ASSERT_FALSE (fixture_receive (&fix, 5, "five again"));
  CU_ASSERT_FALSE (fixture_receive (&fix, 4, "four"));
  CU_ASSERT_EQUAL (follower_version (fix.follower), 5);
  CU_ASSERT_EQUAL (fix.counter_set.v[COUNTER_CONFIG_STALE], 2);
  CU_ASSERT_TRUE (fixture_receive (&fix, 7, "seven"));
  CU_ASSERT_EQUAL (follower_version (fix.follower), 7);
  follower_free (fix.follower);
}

static void
test_invalid_body_is_rejected (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  CU_ASSERT_TRUE (fixture_receive (&fix, 3, "three"));
  CU_ASSERT_FALSE (fixture_receive (&fix, 5, "!bad"));
  CU_ASSERT_EQUAL (follower_version (fix.follower), 3);
  CU_ASSERT_EQUAL (fix.counter_set.v[COUNTER_CONFIG_REJECTED], 1);
  CU_ASSERT_EQUAL (
      memcmp (g_bytes_get_data (follower_body (fix.follower), NULL), "three",
              5),
      0);
  follower_peer_has (fix.follower, "p", 5);
  CU_ASSERT_EQUAL (fix.n_requests, 0);
  follower_peer_has (fix.follower, "p", 4);
  CU_ASSERT_EQUAL (fix.n_requests, 1);
  CU_ASSERT_TRUE (fixture_receive (&fix, 4, "four"));
  follower_free (fix.follower);
}

static void
test_only_watchers_call_platform (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  fixture_receive (&fix, 3, "three");
  fixture_run (&fix, 60 * CLK_S);
  CU_ASSERT_EQUAL (fix.n_calls, 0);
  follower_set_watcher (fix.follower, TRUE);
  fixture_run (&fix, CLK_S);
  CU_ASSERT_EQUAL (fix.n_calls, 1);
  CU_ASSERT_EQUAL (fix.call.op, STORAGE_WATCH);
  CU_ASSERT_EQUAL (fix.call.expected, 3);
  fix.clk.t += FOLLOWER_WATCH_US;
  fixture_respond (&fix, ERR_TIMEOUT, 0, NULL);
  CU_ASSERT_EQUAL (fix.n_calls, 2);
  fixture_respond (&fix, 0, 4, "four");
  CU_ASSERT_EQUAL (fix.version, 4);
  CU_ASSERT_EQUAL (fix.call.expected, 4);
  follower_set_watcher (fix.follower, FALSE);
  fixture_respond (&fix, 0, 5, "five");
  CU_ASSERT_EQUAL (fix.version, 5);
  fixture_run (&fix, 60 * CLK_S);
  CU_ASSERT_EQUAL (fix.n_calls, 3);
  follower_free (fix.follower);
}

static void
test_isolated_instance_reads (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  fixture_run (&fix, FOLLOWER_ISOLATED_US - FOLLOWER_TICK_US);
  CU_ASSERT_EQUAL (fix.n_calls, 0);
  follower_peer_has (fix.follower, "p", 3);
  CU_ASSERT_EQUAL (fix.n_requests, 1);
  fixture_run (&fix, FOLLOWER_ISOLATED_US - FOLLOWER_TICK_US);
  CU_ASSERT_EQUAL (fix.n_calls, 0);
  fixture_run (&fix, FOLLOWER_TICK_US);
  CU_ASSERT_EQUAL (fix.n_calls, 1);
  CU_ASSERT_EQUAL (fix.call.op, STORAGE_GET);
  fixture_respond (&fix, 0, 4, "four");
  CU_ASSERT_EQUAL (fix.version, 4);
  fixture_run (&fix, 60 * CLK_S);
  CU_ASSERT_EQUAL (fix.n_calls, 1);
  follower_free (fix.follower);
}

static void
test_requests_are_rate_limited (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  for (guint i = 0; i < 100; i++)
    {
      follower_peer_has (fix.follower, "p", 9);
      fix.clk.t += 10 * CLK_MS;
    }
  CU_ASSERT_EQUAL (fix.n_requests, 4);
  follower_free (fix.follower);
}

/* Counts the calls of each of 100 watchers during an outage of 60 s, and checks
   that their first calls after it are spread over time.  */
static void
test_backoff_is_spread (void)
{
  enum
  {
    WATCHERS = 100
  };
  guint per_bucket[(FOLLOWER_BACKOFF_MAX_US / (100 * CLK_MS)) + 1] = { 0 };
  guint calls = 0;
  for (guint32 seed = 1; seed <= WATCHERS; seed++)
    {
      struct fixture fix;
      fixture_init (&fix, seed);
      follower_set_watcher (fix.follower, TRUE);
      gint64 end = fix.clk.t + 60 * CLK_S;
      fixture_run (&fix, FOLLOWER_TICK_US);
      while (fix.clk.t < end)
        {
          guint before = fix.n_calls;
          fixture_respond (&fix, ERR_UNAVAILABLE, 0, NULL);
          while (fix.n_calls == before)
            fixture_run (&fix, FOLLOWER_TICK_US);
        }
      calls += fix.n_calls;
      guint bucket = (guint)((fix.clk.t - end) / (100 * CLK_MS));
      per_bucket[MIN (bucket, G_N_ELEMENTS (per_bucket) - 1)]++;
      follower_free (fix.follower);
    }
  guint most = 0;
  for (guint i = 0; i < G_N_ELEMENTS (per_bucket); i++)
    most = MAX (most, per_bucket[i]);
  g_print ("calls per watcher in 60 s of outage: %.1f; of %d first calls after "
           "it, at most %u within 100 ms\n",
           (double)calls / WATCHERS, WATCHERS, most);
  CU_ASSERT_TRUE (calls < 25 * WATCHERS);
  CU_ASSERT_TRUE (most < WATCHERS / 8);
}

static void
test_retry_after_is_honoured (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  follower_set_watcher (fix.follower, TRUE);
  follower_tick (fix.follower);
  struct storage_response response
      = { .code = ERR_LIMIT, .retry_after_us = 7 * CLK_S };
  follower_complete (fix.follower, fix.token, &response);
  fixture_run (&fix, 7 * CLK_S - FOLLOWER_TICK_US);
  CU_ASSERT_EQUAL (fix.n_calls, 1);
  fixture_run (&fix, CLK_S);
  CU_ASSERT_EQUAL (fix.n_calls, 2);
  follower_free (fix.follower);
}

/* Ten instances, two of them watchers, and no object on the platform.  */
static void
test_missing_object_is_polled_slowly (void)
{
  guint calls[2] = { 0 };
  for (guint32 seed = 1; seed <= 10; seed++)
    {
      struct fixture fix;
      gboolean watcher = seed <= 2;
      fixture_init (&fix, seed);
      follower_set_watcher (fix.follower, watcher);
      for (gint64 end = fix.clk.t + 60 * CLK_S; fix.clk.t < end;)
        {
          guint before = fix.n_calls;
          fixture_run (&fix, FOLLOWER_TICK_US);
          if (fix.n_calls > before)
            fixture_respond (&fix, ERR_NOT_FOUND, 0, NULL);
        }
      calls[watcher] += fix.n_calls;
      guint before = fix.n_calls;
      follower_set_watcher (fix.follower, TRUE);
      fixture_run (&fix, FOLLOWER_BACKOFF_MAX_US * 3 / 2);
      CU_ASSERT_TRUE (fix.n_calls > before);
      follower_free (fix.follower);
    }
  g_print (
      "reads in 60 s without an object: watcher %.1f, other instance %.1f\n",
      calls[TRUE] / 2.0, calls[FALSE] / 8.0);
  CU_ASSERT_TRUE (calls[TRUE] <= 2 * 13);
  CU_ASSERT_TRUE (calls[FALSE] <= 8 * 2);
}

static void
test_update_accepted (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  fixture_receive (&fix, 3, "three");
  fixture_update (&fix, 3, "four");
  CU_ASSERT_EQUAL (fix.call.op, STORAGE_PUT);
  CU_ASSERT_EQUAL (fix.call.expected, 3);
  CU_ASSERT_EQUAL (fix.n_results, 0);
  fixture_respond (&fix, 0, 4, NULL);
  CU_ASSERT_EQUAL (fix.n_results, 1);
  CU_ASSERT_EQUAL (fix.result.outcome, FOLLOWER_ACCEPTED);
  CU_ASSERT_EQUAL (fix.result.version, 4);
  CU_ASSERT_EQUAL (fix.version, 4);
  follower_free (fix.follower);
}

static void
test_lost_response_is_resolved (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  fixture_update (&fix, 3, "mine");
  fixture_respond (&fix, ERR_TIMEOUT, 0, NULL);
  CU_ASSERT_EQUAL (fix.call.op, STORAGE_GET);
  fixture_respond (&fix, 0, 4, "mine");
  CU_ASSERT_EQUAL (fix.result.outcome, FOLLOWER_ACCEPTED);
  CU_ASSERT_EQUAL (fix.result.version, 4);

  fixture_update (&fix, 4, "next");
  fixture_respond (&fix, ERR_IO, 0, NULL);
  fixture_respond (&fix, 0, 4, "mine");
  fixture_run (&fix, CLK_S);
  CU_ASSERT_EQUAL (fix.call.op, STORAGE_PUT);
  /* The first PUT took effect after the object was read back. */
  fixture_respond (&fix, ERR_CONFLICT, 5, NULL);
  CU_ASSERT_EQUAL (fix.call.op, STORAGE_GET);
  fixture_respond (&fix, 0, 5, "next");
  CU_ASSERT_EQUAL (fix.result.outcome, FOLLOWER_ACCEPTED);
  CU_ASSERT_EQUAL (fix.result.version, 5);

  fixture_update (&fix, 5, "last");
  fixture_respond (&fix, ERR_IO, 0, NULL);
  fixture_respond (&fix, 0, 7, "another");
  CU_ASSERT_EQUAL (fix.result.outcome, FOLLOWER_CONFLICT);
  CU_ASSERT_EQUAL (fix.result.version, 7);
  CU_ASSERT_TRUE (fix.result.may_have_run);
  CU_ASSERT_EQUAL (fix.n_results, 3);
  follower_free (fix.follower);
}

static void
test_failed_update_outcomes (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  fixture_update (&fix, 3, "mine");
  fixture_respond (&fix, ERR_CONFLICT, 9, NULL);
  CU_ASSERT_EQUAL (fix.result.outcome, FOLLOWER_CONFLICT);
  CU_ASSERT_FALSE (fix.result.may_have_run);

  fixture_update (&fix, 3, "mine");
  for (gint64 end = fix.clk.t + FOLLOWER_UPDATE_US + CLK_S; fix.clk.t < end;)
    {
      fixture_respond (&fix, ERR_UNAVAILABLE, 0, NULL);
      fixture_run (&fix, FOLLOWER_TICK_US);
    }
  CU_ASSERT_EQUAL (fix.n_results, 2);
  CU_ASSERT_EQUAL (fix.result.outcome, FOLLOWER_REJECTED);
  CU_ASSERT_EQUAL (fix.result.err.code, ERR_UNAVAILABLE);

  fixture_update (&fix, 3, "mine");
  fixture_run (&fix, FOLLOWER_UPDATE_US + FOLLOWER_TICK_US);
  CU_ASSERT_EQUAL (fix.n_results, 3);
  CU_ASSERT_EQUAL (fix.result.outcome, FOLLOWER_UNKNOWN);
  CU_ASSERT_STRING_EQUAL (fix.result.err.step, "config.update");
  follower_free (fix.follower);
}

static void
test_updates_are_bounded (void)
{
  struct fixture fix;
  fixture_init (&fix, 1);
  for (guint i = 0; i < FOLLOWER_UPDATES_MAX; i++)
    fixture_update (&fix, 3, "mine");
  g_autoptr (GBytes) body = g_bytes_new ("x", 1);
  CU_ASSERT_EQUAL (follower_update (fix.follower, 3, body, fixture_done, &fix),
                   ERR_LIMIT);
  CU_ASSERT_EQUAL (fix.n_results, 0);
  follower_free (fix.follower);
  CU_ASSERT_EQUAL (fix.n_results, FOLLOWER_UPDATES_MAX);
  CU_ASSERT_EQUAL (fix.result.outcome, FOLLOWER_UNKNOWN);
}

static CU_TestInfo tests[] = {
  { "versions never decrease", test_versions_never_decrease },
  { "an invalid body is rejected", test_invalid_body_is_rejected },
  { "only watchers call the platform", test_only_watchers_call_platform },
  { "an instance without peers reads the object",
    test_isolated_instance_reads },
  { "requests to peers are rate limited", test_requests_are_rate_limited },
  { "backoff is bounded and randomized", test_backoff_is_spread },
  { "Retry-After is honoured", test_retry_after_is_honoured },
  { "a missing object is polled slowly", test_missing_object_is_polled_slowly },
  { "an update is accepted once the store has it", test_update_accepted },
  { "a lost response is resolved by reading back",
    test_lost_response_is_resolved },
  { "a failed update reports what is known", test_failed_update_outcomes },
  { "updates in progress are bounded", test_updates_are_bounded },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "follower", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
