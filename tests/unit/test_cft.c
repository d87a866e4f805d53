#include "unit/unit.h"

#include "config/cft.h"

#include <string.h>

/* One follower whose calls the test answers by hand. */
struct hand
{
  struct clk_fake clk;
  struct ctr ctr;
  struct cft *cft;
  guint64 token; /* of the last call */
  struct storage_request call;
  guint n_calls;
  guint n_asks;
  guint64 version; /* last accepted */
  guint n_results;
  struct cft_result result;
};

static void
hand_store (void *ctx, guint64 token, const struct storage_request *call)
{
  struct hand *h = ctx;
  h->token = token;
  h->call = *call;
  h->n_calls++;
}

static gboolean
hand_accept (void *ctx, guint64 version, GBytes *body, enum cft_source source)
{
  struct hand *h = ctx;
  (void)source;
  if (g_bytes_get_size (body) > 0
      && *(const char *)g_bytes_get_data (body, NULL) == '!')
    return FALSE;
  h->version = version;
  return TRUE;
}

static void
hand_ask (void *ctx, const char *peer, guint64 version)
{
  struct hand *h = ctx;
  (void)peer;
  (void)version;
  h->n_asks++;
}

static void
hand_done (void *ctx, const struct cft_result *result)
{
  struct hand *h = ctx;
  h->result = *result;
  h->n_results++;
}

static void
hand_init (struct hand *h, guint32 seed)
{
  memset (h, 0, sizeof *h);
  clk_fake_init (&h->clk, 10 * CLK_S);
  struct cft_options o = { .clk = &h->clk.clk, .seed = seed, .ctr = &h->ctr };
  o.object = "config";
  o.store = hand_store;
  o.accept = hand_accept;
  o.ask = hand_ask;
  o.ctx = h;
  h->cft = cft_new (&o);
}

static void
hand_answer (struct hand *h, int code, guint64 version, const char *text)
{
  g_autoptr (GBytes) body = text ? g_bytes_new (text, strlen (text)) : NULL;
  struct storage_response answer = { .code = code, .version = version };
  answer.body = body;
  cft_answer (h->cft, h->token, &answer);
}

static void
hand_run (struct hand *h, gint64 time)
{
  for (gint64 end = h->clk.t + time; h->clk.t < end;)
    {
      h->clk.t += CFT_TICK_US;
      cft_tick (h->cft);
    }
}

static gboolean
hand_offer (struct hand *h, guint64 version, const char *text)
{
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  return cft_offer (h->cft, version, body);
}

static void
hand_update (struct hand *h, guint64 expected, const char *text)
{
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  CU_ASSERT_EQUAL (cft_update (h->cft, expected, body, hand_done, h), 0);
}

static void
test_versions_only_grow (void)
{
  struct hand h;
  hand_init (&h, 1);
  CU_ASSERT_TRUE (hand_offer (&h, 5, "five"));
  CU_ASSERT_FALSE (hand_offer (&h, 5, "five again"));
  CU_ASSERT_FALSE (hand_offer (&h, 4, "four"));
  CU_ASSERT_EQUAL (cft_version (h.cft), 5);
  CU_ASSERT_EQUAL (h.ctr.v[CTR_CONFIG_STALE], 2);
  CU_ASSERT_TRUE (hand_offer (&h, 7, "seven"));
  CU_ASSERT_EQUAL (cft_version (h.cft), 7);
  cft_free (h.cft);
}

static void
test_a_bad_body_changes_nothing (void)
{
  struct hand h;
  hand_init (&h, 1);
  CU_ASSERT_TRUE (hand_offer (&h, 3, "three"));
  CU_ASSERT_FALSE (hand_offer (&h, 5, "!bad"));
  CU_ASSERT_EQUAL (cft_version (h.cft), 3);
  CU_ASSERT_EQUAL (h.ctr.v[CTR_CONFIG_REJECTED], 1);
  CU_ASSERT_EQUAL (
      memcmp (g_bytes_get_data (cft_body (h.cft), NULL), "three", 5), 0);
  cft_peer_has (h.cft, "p", 5);
  CU_ASSERT_EQUAL (h.n_asks, 0);
  cft_peer_has (h.cft, "p", 4);
  CU_ASSERT_EQUAL (h.n_asks, 1);
  CU_ASSERT_TRUE (hand_offer (&h, 4, "four"));
  cft_free (h.cft);
}

static void
test_only_watchers_call (void)
{
  struct hand h;
  hand_init (&h, 1);
  hand_offer (&h, 3, "three");
  hand_run (&h, 60 * CLK_S);
  CU_ASSERT_EQUAL (h.n_calls, 0);
  cft_set_watcher (h.cft, TRUE);
  hand_run (&h, CLK_S);
  CU_ASSERT_EQUAL (h.n_calls, 1);
  CU_ASSERT_EQUAL (h.call.op, STORAGE_WATCH);
  CU_ASSERT_EQUAL (h.call.expected, 3);
  h.clk.t += CFT_WATCH_US;
  hand_answer (&h, ERR_TIMEOUT, 0, NULL);
  CU_ASSERT_EQUAL (h.n_calls, 2);
  hand_answer (&h, 0, 4, "four");
  CU_ASSERT_EQUAL (h.version, 4);
  CU_ASSERT_EQUAL (h.call.expected, 4);
  cft_set_watcher (h.cft, FALSE);
  hand_answer (&h, 0, 5, "five");
  CU_ASSERT_EQUAL (h.version, 5);
  hand_run (&h, 60 * CLK_S);
  CU_ASSERT_EQUAL (h.n_calls, 3);
  cft_free (h.cft);
}

static void
test_an_instance_alone_reads (void)
{
  struct hand h;
  hand_init (&h, 1);
  hand_run (&h, CFT_ALONE_US - CFT_TICK_US);
  CU_ASSERT_EQUAL (h.n_calls, 0);
  cft_peer_has (h.cft, "p", 3);
  CU_ASSERT_EQUAL (h.n_asks, 1);
  hand_run (&h, CFT_ALONE_US - CFT_TICK_US);
  CU_ASSERT_EQUAL (h.n_calls, 0);
  hand_run (&h, CFT_TICK_US);
  CU_ASSERT_EQUAL (h.n_calls, 1);
  CU_ASSERT_EQUAL (h.call.op, STORAGE_GET);
  hand_answer (&h, 0, 4, "four");
  CU_ASSERT_EQUAL (h.version, 4);
  hand_run (&h, 60 * CLK_S);
  CU_ASSERT_EQUAL (h.n_calls, 1);
  cft_free (h.cft);
}

static void
test_asks_are_limited (void)
{
  struct hand h;
  hand_init (&h, 1);
  for (guint i = 0; i < 100; i++)
    {
      cft_peer_has (h.cft, "p", 9);
      h.clk.t += 10 * CLK_MS;
    }
  CU_ASSERT_EQUAL (h.n_asks, 4);
  cft_free (h.cft);
}

/* Counts what one watcher calls during an outage of 60 s, and the spread of
   the first calls of 100 watchers after it.  */
static void
test_backoff_spreads (void)
{
  enum
  {
    WATCHERS = 100
  };
  guint per_slot[(CFT_BACKOFF_MAX_US / (100 * CLK_MS)) + 1] = { 0 };
  guint calls = 0;
  for (guint32 seed = 1; seed <= WATCHERS; seed++)
    {
      struct hand h;
      hand_init (&h, seed);
      cft_set_watcher (h.cft, TRUE);
      gint64 end = h.clk.t + 60 * CLK_S;
      hand_run (&h, CFT_TICK_US);
      while (h.clk.t < end)
        {
          guint before = h.n_calls;
          hand_answer (&h, ERR_UNAVAILABLE, 0, NULL);
          while (h.n_calls == before)
            hand_run (&h, CFT_TICK_US);
        }
      calls += h.n_calls;
      guint slot = (guint)((h.clk.t - end) / (100 * CLK_MS));
      per_slot[MIN (slot, G_N_ELEMENTS (per_slot) - 1)]++;
      cft_free (h.cft);
    }
  guint most = 0;
  for (guint i = 0; i < G_N_ELEMENTS (per_slot); i++)
    most = MAX (most, per_slot[i]);
  g_print ("calls a watcher in 60 s of outage: %.1f; most of %d back within "
           "100 ms: %u\n",
           (double)calls / WATCHERS, WATCHERS, most);
  CU_ASSERT_TRUE (calls < 25 * WATCHERS);
  CU_ASSERT_TRUE (most < WATCHERS / 8);
}

static void
test_retry_after_is_kept (void)
{
  struct hand h;
  hand_init (&h, 1);
  cft_set_watcher (h.cft, TRUE);
  cft_tick (h.cft);
  struct storage_response answer
      = { .code = ERR_LIMIT, .retry_after_us = 7 * CLK_S };
  cft_answer (h.cft, h.token, &answer);
  hand_run (&h, 7 * CLK_S - CFT_TICK_US);
  CU_ASSERT_EQUAL (h.n_calls, 1);
  hand_run (&h, CLK_S);
  CU_ASSERT_EQUAL (h.n_calls, 2);
  cft_free (h.cft);
}

/* Ten instances of which two watch, with no object on the platform.  */
static void
test_a_missing_object_costs_little (void)
{
  guint calls[2] = { 0 };
  for (guint32 seed = 1; seed <= 10; seed++)
    {
      struct hand h;
      gboolean watcher = seed <= 2;
      hand_init (&h, seed);
      cft_set_watcher (h.cft, watcher);
      for (gint64 end = h.clk.t + 60 * CLK_S; h.clk.t < end;)
        {
          guint before = h.n_calls;
          hand_run (&h, CFT_TICK_US);
          if (h.n_calls > before)
            hand_answer (&h, ERR_NOT_FOUND, 0, NULL);
        }
      calls[watcher] += h.n_calls;
      guint before = h.n_calls;
      cft_set_watcher (h.cft, TRUE);
      hand_run (&h, CFT_BACKOFF_MAX_US * 3 / 2);
      CU_ASSERT_TRUE (h.n_calls > before);
      cft_free (h.cft);
    }
  g_print ("reads in 60 s without an object: a watcher %.1f, another %.1f\n",
           calls[TRUE] / 2.0, calls[FALSE] / 8.0);
  CU_ASSERT_TRUE (calls[TRUE] <= 2 * 13);
  CU_ASSERT_TRUE (calls[FALSE] <= 8 * 2);
}

static void
test_update_accepted (void)
{
  struct hand h;
  hand_init (&h, 1);
  hand_offer (&h, 3, "three");
  hand_update (&h, 3, "four");
  CU_ASSERT_EQUAL (h.call.op, STORAGE_PUT);
  CU_ASSERT_EQUAL (h.call.expected, 3);
  CU_ASSERT_EQUAL (h.n_results, 0);
  hand_answer (&h, 0, 4, NULL);
  CU_ASSERT_EQUAL (h.n_results, 1);
  CU_ASSERT_EQUAL (h.result.outcome, CFT_ACCEPTED);
  CU_ASSERT_EQUAL (h.result.version, 4);
  CU_ASSERT_EQUAL (h.version, 4);
  cft_free (h.cft);
}

static void
test_lost_answer_is_settled (void)
{
  struct hand h;
  hand_init (&h, 1);
  hand_update (&h, 3, "mine");
  hand_answer (&h, ERR_TIMEOUT, 0, NULL);
  CU_ASSERT_EQUAL (h.call.op, STORAGE_GET);
  hand_answer (&h, 0, 4, "mine");
  CU_ASSERT_EQUAL (h.result.outcome, CFT_ACCEPTED);
  CU_ASSERT_EQUAL (h.result.version, 4);

  hand_update (&h, 4, "next");
  hand_answer (&h, ERR_IO, 0, NULL);
  hand_answer (&h, 0, 4, "mine");
  hand_run (&h, CLK_S);
  CU_ASSERT_EQUAL (h.call.op, STORAGE_PUT);
  /* The first try took effect late. */
  hand_answer (&h, ERR_CONFLICT, 5, NULL);
  CU_ASSERT_EQUAL (h.call.op, STORAGE_GET);
  hand_answer (&h, 0, 5, "next");
  CU_ASSERT_EQUAL (h.result.outcome, CFT_ACCEPTED);
  CU_ASSERT_EQUAL (h.result.version, 5);

  hand_update (&h, 5, "last");
  hand_answer (&h, ERR_IO, 0, NULL);
  hand_answer (&h, 0, 7, "another");
  CU_ASSERT_EQUAL (h.result.outcome, CFT_CONFLICT);
  CU_ASSERT_EQUAL (h.result.version, 7);
  CU_ASSERT_TRUE (h.result.may_have_run);
  CU_ASSERT_EQUAL (h.n_results, 3);
  cft_free (h.cft);
}

static void
test_update_that_fails_says_what_is_sure (void)
{
  struct hand h;
  hand_init (&h, 1);
  hand_update (&h, 3, "mine");
  hand_answer (&h, ERR_CONFLICT, 9, NULL);
  CU_ASSERT_EQUAL (h.result.outcome, CFT_CONFLICT);
  CU_ASSERT_FALSE (h.result.may_have_run);

  hand_update (&h, 3, "mine");
  for (gint64 end = h.clk.t + CFT_UPDATE_US + CLK_S; h.clk.t < end;)
    {
      hand_answer (&h, ERR_UNAVAILABLE, 0, NULL);
      hand_run (&h, CFT_TICK_US);
    }
  CU_ASSERT_EQUAL (h.n_results, 2);
  CU_ASSERT_EQUAL (h.result.outcome, CFT_REFUSED);
  CU_ASSERT_EQUAL (h.result.err.code, ERR_UNAVAILABLE);

  hand_update (&h, 3, "mine");
  hand_run (&h, CFT_UPDATE_US + CFT_TICK_US);
  CU_ASSERT_EQUAL (h.n_results, 3);
  CU_ASSERT_EQUAL (h.result.outcome, CFT_UNKNOWN);
  CU_ASSERT_STRING_EQUAL (h.result.err.step, "config.update");
  cft_free (h.cft);
}

static void
test_updates_are_bounded (void)
{
  struct hand h;
  hand_init (&h, 1);
  for (guint i = 0; i < CFT_UPDATES_MAX; i++)
    hand_update (&h, 3, "mine");
  g_autoptr (GBytes) body = g_bytes_new ("x", 1);
  CU_ASSERT_EQUAL (cft_update (h.cft, 3, body, hand_done, &h), ERR_LIMIT);
  CU_ASSERT_EQUAL (h.n_results, 0);
  cft_free (h.cft);
  CU_ASSERT_EQUAL (h.n_results, CFT_UPDATES_MAX);
  CU_ASSERT_EQUAL (h.result.outcome, CFT_UNKNOWN);
}

static CU_TestInfo tests[] = {
  { "versions only grow", test_versions_only_grow },
  { "a bad body changes nothing", test_a_bad_body_changes_nothing },
  { "only watchers call the platform", test_only_watchers_call },
  { "an instance without peers reads by itself", test_an_instance_alone_reads },
  { "asks of peers are limited", test_asks_are_limited },
  { "backoff is bounded and spread", test_backoff_spreads },
  { "Retry-After is kept", test_retry_after_is_kept },
  { "a missing object costs little", test_a_missing_object_costs_little },
  { "an update is accepted once the store has it", test_update_accepted },
  { "a lost answer is settled by reading back", test_lost_answer_is_settled },
  { "an update that fails says what is sure",
    test_update_that_fails_says_what_is_sure },
  { "updates in progress are bounded", test_updates_are_bounded },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "cft", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
