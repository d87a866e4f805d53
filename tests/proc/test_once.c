/* Calls that are not repeatable, with and without an idempotency key. They run
   at most once, a call reported as not run has not run, and all responses to a
   key are the same, while services drop calls, instances are killed at random
   times and the platform loses requests and responses, is slow, hangs or is
   down.  */
#include "proc/testbed.h"

#define FAULT_SEED 11
#define ROUNDS 5
#define CALLS_PER_ROUND 12 /* calls that end before a round is over */
#define REJECTED_WITHIN_US (5 * G_USEC_PER_SEC)
#define INSTANCES_TRIED 2 /* while the platform is down or hangs */

static const struct deployment_options options = {
  .domains = {
    { "kgn-1", "kgn", 3, 1, 2 },
    { "kgn-2", "kgn", 2, 1, 1 },
  },
};

static int
start (void)
{
  return testbed_start (&options);
}

/* Sets the faults of all services.  */
static void
set_service_fault (const char *json)
{
  for (guint i = 0; i < deployment->n_services; i++)
    CU_ASSERT_TRUE (
        harness_set_faults (deployment->services[i].proc->port, json));
}

static void
set_platform_fault (const char *json)
{
  CU_ASSERT_TRUE (harness_set_faults (deployment->platform->port, json));
}

/* A service closes the connection before or after it runs the call. The
   instance must report an unknown outcome rather than send the call again, also
   when the client repeats the key.  */
static void
test_lost_calls_are_not_retried (void)
{
  static const struct
  {
    const char *id;
    const char *key;
    const char *fault;
    gint64 executions;
  } cases[] = {
    { "drop-before", NULL, "{\"drop_before\":1}", 0 },
    { "drop-after", NULL, "{\"drop_after\":1}", 1 },
    { "drop-before-keyed", "drop-before-keyed", "{\"drop_before\":1}", 0 },
    { "drop-after-keyed", "drop-after-keyed", "{\"drop_after\":1}", 1 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      enum workload_kind kind = cases[i].key ? WORKLOAD_KEYED : WORKLOAD_ONCE;
      gint64 executions = testbed_sum_counts (deployment->services,
                                              deployment->n_services, "total");
      set_service_fault (cases[i].fault);
      struct workload_outcome outcome
          = testbed_call (kind, i, cases[i].id, cases[i].key, 0);
      CU_ASSERT_EQUAL (outcome.status, 502);
      CU_ASSERT_STRING_EQUAL (outcome.code, "outcome_unknown");
      CU_ASSERT_STRING_EQUAL (outcome.ran, "unknown");
      set_service_fault ("{\"drop_before\":0,\"drop_after\":0}");
      if (cases[i].key != NULL)
        {
          outcome = testbed_call (kind, (i + 1) % deployment->n_instances,
                                  cases[i].id, cases[i].key, 0);
          CU_ASSERT_STRING_NOT_EQUAL (outcome.ran, "no");
          CU_ASSERT_EQUAL (outcome.kind, HISTORY_ERROR);
        }
      CU_ASSERT_EQUAL (testbed_sum_counts (deployment->services,
                                           deployment->n_services, "total"),
                       executions + cases[i].executions);
    }
  CU_ASSERT_TRUE (workload_check (workload));
}

static void
test_other_body_is_rejected (void)
{
  struct workload_outcome first
      = testbed_call (WORKLOAD_KEYED, 0, "body-1", "body", 0);
  struct workload_outcome other
      = testbed_call (WORKLOAD_KEYED, 3, "body-2", "body", 0);
  const struct workload_call same = {
    .kind = WORKLOAD_KEYED, .instance = 4, .id = "body-1", .key = "body"
  };
  struct workload_outcome repeated = workload_settle (workload, &same);
  CU_ASSERT_EQUAL (first.kind, HISTORY_RESPONSE);
  CU_ASSERT_EQUAL (other.status, 422);
  CU_ASSERT_STRING_EQUAL (other.ran, "no");
  CU_ASSERT_EQUAL (repeated.kind, HISTORY_RESPONSE);
  CU_ASSERT_TRUE (workload_check (workload));
}

/* Faults of the platform in each round; the rounds use them in turn.  */
static const char *const platform_faults[] = {
  "{\"lose_answer_after_put\":3}",
  "{\"slow_ms\":120}",
  "{\"lose_before_put\":2,\"slow_ms\":0}",
  "{\"down\":true}",
  "{\"down\":false,\"lose_answer_after_put\":2,\"slow_ms\":60}",
};
static const char no_platform_faults[]
    = "{\"down\":false,\"slow_ms\":0,\"lose_answer_after_put\":0,"
      "\"lose_before_put\":0}";

/* Sets a fault of the platform, kills a random instance after a random delay,
   ends the fault, restarts the instance and waits for further calls to end.  */
static void
run_fault_round (GRand *rand, guint round)
{
  guint victim
      = (guint)g_rand_int_range (rand, 0, (gint32)deployment->n_instances);
  set_platform_fault (platform_faults[round % G_N_ELEMENTS (platform_faults)]);
  g_usleep ((gulong)g_rand_int_range (rand, 0, 300) * 1000);
  testbed_terminate (victim, SIGKILL);
  set_platform_fault (no_platform_faults);
  CU_ASSERT_TRUE (deployment_start_instance (deployment, victim));
  workload_set_live (workload, victim, TRUE);
  CU_ASSERT_TRUE (workload_wait_completed (workload, CALLS_PER_ROUND));
}

/* Sends calls with settled keys once more, through all instances. A key that
   had a response must still have the same one.  */
static void
repeat_settled_calls (const char *prefix)
{
  for (guint n = 0; n < 5; n++)
    {
      char *key = g_strdup_printf ("%s-0-%u", prefix, n);
      const struct workload_call call
          = { .kind = WORKLOAD_KEYED,
              .instance = n % deployment->n_instances,
              .id = key,
              .key = key };
      workload_settle (workload, &call);
      g_free (key);
    }
}

static void
test_keys_under_faults (void)
{
  GRand *rand = g_rand_new_with_seed (FAULT_SEED);
  const struct workload_clients keyed = { .kind = WORKLOAD_KEYED,
                                          .threads = 9,
                                          .threads_per_key = 3,
                                          .instance = WORKLOAD_ANY,
                                          .prefix = "key" };
  const struct workload_clients plain = { .kind = WORKLOAD_ONCE,
                                          .threads = 2,
                                          .instance = WORKLOAD_ANY,
                                          .prefix = "plain" };
  workload_start (workload, &keyed);
  workload_start (workload, &plain);
  for (guint round = 0; round < ROUNDS; round++)
    run_fault_round (rand, round);
  workload_stop (workload);
  for (guint i = 0; i < deployment->n_instances; i++)
    CU_ASSERT_TRUE (deployment_wait_ready (deployment, i));
  repeat_settled_calls ("key");
  CU_ASSERT_TRUE (workload_check (workload));
  g_print ("responses %u, cut %u, ledger_away %u, in_progress %u, unknown %u, "
           "replays %d\n",
           history_count (history, HISTORY_RESPONSE, NULL),
           history_count (history, HISTORY_CUT, NULL),
           history_count (history, HISTORY_ERROR, "ledger_away"),
           history_count (history, HISTORY_ERROR, "in_progress"),
           history_count (history, HISTORY_ERROR, "outcome_unknown"),
           (int)testbed_sum_counters ("ledger_replays"));
  CU_ASSERT_TRUE (history_count (history, HISTORY_RESPONSE, NULL)
                  > ROUNDS * CALLS_PER_ROUND / 2);
  CU_ASSERT_TRUE (testbed_sum_counters ("ledger_replays") > 0);
  g_rand_free (rand);
}

/* Without the platform's store keyed calls are rejected, as nothing can be
   recorded in the ledger; completions do not need it.  */
static void
test_platform_down (void)
{
  static const char *const faults[]
      = { "{\"down\":true}", "{\"down\":false,\"frozen\":true}" };
  for (guint f = 0; f < G_N_ELEMENTS (faults); f++)
    {
      gint64 executions = testbed_sum_counts (deployment->services,
                                              deployment->n_services, "total");
      set_platform_fault (faults[f]);
      for (guint i = 0; i < INSTANCES_TRIED; i++)
        {
          char *id = g_strdup_printf ("down-%u-%u", f, i);
          struct workload_outcome outcome
              = testbed_call (WORKLOAD_KEYED, i, id, id, 0);
          CU_ASSERT_EQUAL (outcome.status, 503);
          CU_ASSERT_STRING_EQUAL (outcome.code, "ledger_away");
          CU_ASSERT_STRING_EQUAL (outcome.ran, "no");
          CU_ASSERT_TRUE (outcome.us <= REJECTED_WITHIN_US);
          outcome = testbed_call (WORKLOAD_STREAM, i, id, NULL, 8);
          CU_ASSERT_EQUAL (outcome.kind, HISTORY_RESPONSE);
          g_free (id);
        }
      CU_ASSERT_EQUAL (testbed_sum_counts (deployment->services,
                                           deployment->n_services, "total"),
                       executions);
      set_platform_fault ("{\"down\":false,\"frozen\":false}");
    }
  struct workload_outcome outcome
      = testbed_call (WORKLOAD_KEYED, 0, "up", "up", 0);
  CU_ASSERT_EQUAL (outcome.kind, HISTORY_RESPONSE);
  CU_ASSERT_TRUE (workload_check (workload));
}

static CU_TestInfo tests[] = {
  { "a lost call is not retried", test_lost_calls_are_not_retried },
  { "a key with another body is rejected", test_other_body_is_rejected },
  { "the platform is down: models go on", test_platform_down },
  { "keyed calls under kills and platform faults", test_keys_under_faults },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "once", start, testbed_stop, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
