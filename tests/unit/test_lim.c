#include "unit/unit.h"

#include "policy/concurrency_limit.h"

/* An engine model: the time between tokens grows linearly with the requests in
   flight. */
struct engine
{
  gint64 base_us;
  gint64 slope_us; /* per request */
};

/* Runs WINDOWS windows with as many requests as the limit admits, at most
   DEMAND. Returns the limit after them.  */
static guint
run (struct concurrency_limit *concurrency_limit, struct limiter_input *state,
     struct engine engine, guint windows, guint demand)
{
  for (guint i = 0; i < windows; i++)
    {
      guint n = MIN (
          limiter_value (concurrency_limit, state->scale, state->max), demand);
      gint64 tbt = engine.base_us + engine.slope_us * n;
      limiter_record_in_flight (concurrency_limit, n);
      for (guint j = 0; j < n; j++)
        limiter_add_sample (concurrency_limit, tbt + (j % 2 ? 500 : -500), 20,
                            n);
      state->now += LIMITER_WINDOW_US;
      limiter_adjust (concurrency_limit, state);
    }
  return limiter_value (concurrency_limit, state->scale, state->max);
}

static const struct engine normal = { 10 * CLK_MS, CLK_MS };

static struct limiter_input
state_of (guint max, gint64 target_us)
{
  return (
      struct limiter_input){ .target_us = target_us, .scale = 1, .max = max };
}

static void
test_settles_below_the_target (void)
{
  for (guint max = 8; max <= 128; max *= 2)
    {
      struct concurrency_limit concurrency_limit;
      struct limiter_input state = state_of (max, 30 * CLK_MS);
      limiter_init (&concurrency_limit, max, 0);
      guint limit = run (&concurrency_limit, &state, normal, 20, 1000);
      /* With 20 requests the mean is 30 ms. */
      CU_ASSERT_TRUE (limit >= MIN (max, 15) && limit <= 19);
    }
}

static void
test_follows_a_slowdown (void)
{
  struct concurrency_limit concurrency_limit;
  struct limiter_input state = state_of (64, 30 * CLK_MS);
  limiter_init (&concurrency_limit, 64, 0);
  run (&concurrency_limit, &state, normal, 20, 1000);
  struct engine slow = { 20 * CLK_MS, 2 * CLK_MS };
  guint limit = run (&concurrency_limit, &state, slow, 5, 1000);
  CU_ASSERT_TRUE (limit >= 2 && limit <= 4);
  limit = run (&concurrency_limit, &state, normal, 10, 1000);
  CU_ASSERT_TRUE (limit >= 15 && limit <= 19);
}

static void
test_bounds (void)
{
  struct concurrency_limit concurrency_limit;
  struct limiter_input state = state_of (16, 30 * CLK_MS);
  limiter_init (&concurrency_limit, 16, 0);
  struct engine overloaded = { 500 * CLK_MS, 0 };
  CU_ASSERT_EQUAL (run (&concurrency_limit, &state, overloaded, 20, 1000), 1);
  state.target_us = 0;
  CU_ASSERT_EQUAL (run (&concurrency_limit, &state, overloaded, 20, 1000), 16);
  state.scale = 2;
  CU_ASSERT_EQUAL (limiter_value (&concurrency_limit, state.scale, state.max),
                   16);
  CU_ASSERT_EQUAL (limiter_value (&concurrency_limit, 0.5, state.max), 8);
}

static void
test_idle_limit_stays (void)
{
  struct concurrency_limit concurrency_limit;
  struct limiter_input state = state_of (64, 30 * CLK_MS);
  limiter_init (&concurrency_limit, 64, 0);
  guint before = run (&concurrency_limit, &state, normal, 20, 1000);
  CU_ASSERT_EQUAL (run (&concurrency_limit, &state, normal, 20, 3), before);
}

static void
test_draining_does_not_compound (void)
{
  struct concurrency_limit concurrency_limit;
  struct limiter_input state = state_of (64, 30 * CLK_MS);
  limiter_init (&concurrency_limit, 64, 0);
  for (guint i = 0; i < 5; i++)
    {
      limiter_record_in_flight (&concurrency_limit,
                                40); /* long responses: still in flight */
      limiter_add_sample (&concurrency_limit, 50 * CLK_MS, 100, 40);
      state.now += LIMITER_WINDOW_US;
      limiter_adjust (&concurrency_limit, &state);
    }
  CU_ASSERT_TRUE (limiter_value (&concurrency_limit, 1, 64) >= 20);
}

static CU_TestInfo tests[] = {
  { "the limit settles just below the target", test_settles_below_the_target },
  { "the limit follows a slowdown and the recovery", test_follows_a_slowdown },
  { "the limit stays within its bounds", test_bounds },
  { "an unused limit does not change", test_idle_limit_stays },
  { "draining requests do not lower the limit repeatedly",
    test_draining_does_not_compound },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "concurrency_limit", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
