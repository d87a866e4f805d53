#include "unit/unit.h"

#include "policy/concurrency_limit.h"

/* An engine whose time between tokens grows with the requests in flight. */
struct engine
{
  gint64 base_us;
  gint64 slope_us; /* per request */
};

/* Runs WINDOWS windows with as much work as the limit admits, at most DEMAND
   requests; returns the limit.  */
static guint
run (struct lim *lim, struct lim_state *state, struct engine engine,
     guint windows, guint demand)
{
  for (guint i = 0; i < windows; i++)
    {
      guint n = MIN (lim_value (lim, state->scale, state->max), demand);
      gint64 tbt = engine.base_us + engine.slope_us * n;
      lim_count (lim, n);
      for (guint j = 0; j < n; j++)
        lim_sample (lim, tbt + (j % 2 ? 500 : -500), 20, n);
      state->now += LIM_WINDOW_US;
      lim_adjust (lim, state);
    }
  return lim_value (lim, state->scale, state->max);
}

static const struct engine usual = { 10 * CLK_MS, CLK_MS };

static struct lim_state
state_of (guint max, gint64 target_us)
{
  return (struct lim_state){ .target_us = target_us, .scale = 1, .max = max };
}

static void
test_settles_below_the_target (void)
{
  for (guint max = 8; max <= 128; max *= 2)
    {
      struct lim lim;
      struct lim_state state = state_of (max, 30 * CLK_MS);
      lim_init (&lim, max, 0);
      guint limit = run (&lim, &state, usual, 20, 1000);
      /* 20 requests meet 30 ms on average. */
      CU_ASSERT_TRUE (limit >= MIN (max, 15) && limit <= 19);
    }
}

static void
test_follows_a_slowdown (void)
{
  struct lim lim;
  struct lim_state state = state_of (64, 30 * CLK_MS);
  lim_init (&lim, 64, 0);
  run (&lim, &state, usual, 20, 1000);
  struct engine slow = { 20 * CLK_MS, 2 * CLK_MS };
  guint limit = run (&lim, &state, slow, 5, 1000);
  CU_ASSERT_TRUE (limit >= 2 && limit <= 4);
  limit = run (&lim, &state, usual, 10, 1000);
  CU_ASSERT_TRUE (limit >= 15 && limit <= 19);
}

static void
test_bounds (void)
{
  struct lim lim;
  struct lim_state state = state_of (16, 30 * CLK_MS);
  lim_init (&lim, 16, 0);
  struct engine hopeless = { 500 * CLK_MS, 0 };
  CU_ASSERT_EQUAL (run (&lim, &state, hopeless, 20, 1000), 1);
  state.target_us = 0;
  CU_ASSERT_EQUAL (run (&lim, &state, hopeless, 20, 1000), 16);
  state.scale = 2;
  CU_ASSERT_EQUAL (lim_value (&lim, state.scale, state.max), 16);
  CU_ASSERT_EQUAL (lim_value (&lim, 0.5, state.max), 8);
}

static void
test_idle_limit_stays (void)
{
  struct lim lim;
  struct lim_state state = state_of (64, 30 * CLK_MS);
  lim_init (&lim, 64, 0);
  guint before = run (&lim, &state, usual, 20, 1000);
  CU_ASSERT_EQUAL (run (&lim, &state, usual, 20, 3), before);
}

static void
test_draining_does_not_compound (void)
{
  struct lim lim;
  struct lim_state state = state_of (64, 30 * CLK_MS);
  lim_init (&lim, 64, 0);
  for (guint i = 0; i < 5; i++)
    {
      lim_count (&lim, 40); /* long answers: still in flight */
      lim_sample (&lim, 50 * CLK_MS, 100, 40);
      state.now += LIM_WINDOW_US;
      lim_adjust (&lim, &state);
    }
  CU_ASSERT_TRUE (lim_value (&lim, 1, 64) >= 20);
}

static CU_TestInfo tests[] = {
  { "the limit settles just below the target", test_settles_below_the_target },
  { "the limit follows a slowdown and back", test_follows_a_slowdown },
  { "the limit keeps its bounds", test_bounds },
  { "an unused limit stays", test_idle_limit_stays },
  { "draining work lowers the limit once", test_draining_does_not_compound },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "lim", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
