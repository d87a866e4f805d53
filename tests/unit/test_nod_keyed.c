/* Requests with an idempotency key in one instance that receives them and owns
   the scheduling shard and the ledger shard.  */
#include "unit/sim.h"
#include "unit/unit.h"

#include "node/core.h"

struct fixture
{
  struct sim sim;
  struct sim_store store;
  struct counter_set counter_set;
  struct core *core;
  const struct cluster_config *cfg;
  guint attempts;       /* number of attempts started */
  guint64 last_request; /* of the last attempt */
  guint32 last_attempt;
  gint64 send_within_us; /* of the last attempt */
  guint fails;
  enum core_ran ran; /* of the last failure */
};

struct store_call
{
  struct fixture *fixture;
  guint64 token;
};

static void
on_store_response (void *ctx, const struct storage_response *response)
{
  struct store_call *call = ctx;
  struct core_event event = { .kind = CORE_STORE_RESPONSE };
  event.store_response.token = call->token;
  event.store_response.response = response;
  if (call->fixture->core)
    core_handle (call->fixture->core, &event);
  g_free (call);
}

static void
on_act (void *ctx, const struct core_action *action)
{
  struct fixture *fixture = ctx;
  struct store_call *call;
  switch (action->kind)
    {
    case CORE_DO_OPEN:
      fixture->attempts++;
      fixture->last_request = action->open.request;
      fixture->last_attempt = action->open.attempt;
      fixture->send_within_us = action->open.send_within_us;
      break;
    case CORE_DO_FAIL:
      fixture->fails++;
      fixture->ran = action->fail.ran;
      break;
    case CORE_DO_STORE:
      call = g_new (struct store_call, 1);
      *call = (struct store_call){ fixture, action->store.token };
      sim_store_start (&fixture->store, action->store.call, on_store_response,
                       call);
      break;
    default:
      break;
    }
}

static void
fixture_run (struct fixture *fixture, gint64 us)
{
  for (gint64 end = fixture->sim.clk.t + us; fixture->sim.clk.t < end;)
    {
      sim_run (&fixture->sim, fixture->sim.clk.t + CORE_TICK_US);
      core_handle (fixture->core, &(struct core_event){ .kind = CORE_TICK });
    }
}

static struct fixture *
fixture_new (void)
{
  static const char *const no_peers[] = { NULL };
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct err err;
  char *text = NULL;
  gsize n = 0;
  sim_init (&fixture->sim, 1);
  sim_store_init (&fixture->store, &fixture->sim);
  struct core_options options = { .clk = &fixture->sim.clk.clk,
                                  .seed = 1,
                                  .counter_set = &fixture->counter_set,
                                  .self = { "kgn-1-a" },
                                  .domain = { "kgn-1" },
                                  .region = { "kgn" },
                                  .address = "127.0.0.1:1",
                                  .peers = no_peers,
                                  .incarnation = 1,
                                  .chart_folder = JW_SOURCE_DIR "/charts",
                                  .act = on_act,
                                  .ctx = fixture };
  CU_ASSERT_EQUAL_FATAL (core_new (&options, &fixture->core, &err), 0);
  g_file_get_contents (JW_SOURCE_DIR "/examples/authority/config.ini", &text,
                       &n, NULL);
  GBytes *body = g_bytes_new_take (text, n);
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  struct cluster_config *cfg = cluster_parse (body, 1, problems);
  core_set_config (fixture->core, cfg);
  cluster_unref (cfg);
  g_bytes_unref (body);
  g_ptr_array_unref (problems);
  fixture->cfg = core_config (fixture->core);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->cfg);
  fixture_run (fixture, CLK_S);
  return fixture;
}

static void
fixture_free (struct fixture *fixture)
{
  core_free (fixture->core);
  fixture->core = NULL;
  sim_run (&fixture->sim, fixture->sim.clk.t + 100 * CLK_S);
  sim_store_clear (&fixture->store);
  sim_clear (&fixture->sim);
  g_free (fixture);
}

/* Sends a keyed request to the account service. All have the same key. */
static void
request (struct fixture *fixture, guint64 id)
{
  struct core_event event = { .kind = CORE_REQUEST };
  event.request = (struct core_request_spec){
    .id = id,
    .class_index
    = (guint)cluster_find_class (fixture->cfg, STR_LIT ("account")),
    .pool = (guint)cluster_find_pool (fixture->cfg, CLUSTER_SERVICE,
                                      STR_LIT ("account")),
    .keyed = TRUE,
    .key = { 1, 2, 3 },
  };
  core_handle (fixture->core, &event);
}

static void
disconnect_client (struct fixture *fixture, guint64 id)
{
  core_handle (fixture->core,
               &(struct core_event){ .kind = CORE_CLIENT_DISCONNECTED,
                                     .client_disconnected = id });
}

/* The client disconnects after its call was sent. The call may run, so a
   second request with the key must not.  */
static void
test_disconnect_while_running (void)
{
  struct fixture *fixture = fixture_new ();
  request (fixture, 1);
  fixture_run (fixture, 2 * CLK_S);
  CU_ASSERT_EQUAL_FATAL (fixture->attempts, 1);
  disconnect_client (fixture, 1);
  fixture_run (fixture, 5 * CLK_S);
  request (fixture, 2);
  fixture_run (fixture, 5 * CLK_S);
  CU_ASSERT_EQUAL (fixture->attempts, 1);
  CU_ASSERT_EQUAL (fixture->fails, 1);
  CU_ASSERT_EQUAL (fixture->ran, CORE_RAN_UNKNOWN);
  fixture_free (fixture);
}

/* The client disconnects before its call was sent. The key must be free
   again.  */
static void
test_disconnect_before_sending (void)
{
  struct fixture *fixture = fixture_new ();
  fixture->store.delay = 200 * CLK_MS;
  request (fixture, 1);
  fixture_run (fixture, 2 * CORE_TICK_US);
  CU_ASSERT_EQUAL_FATAL (fixture->attempts, 0);
  disconnect_client (fixture, 1);
  fixture_run (fixture, 20 * CLK_S);
  CU_ASSERT_EQUAL (fixture->attempts, 0);
  request (fixture, 2);
  fixture_run (fixture, 5 * CLK_S);
  CU_ASSERT_EQUAL (fixture->attempts, 1);
  fixture_free (fixture);
}

/* The connection to the server failed. Another server may be tried with the
   same write-ahead record.  */
static void
test_not_sent (void)
{
  struct fixture *fixture = fixture_new ();
  request (fixture, 1);
  fixture_run (fixture, 2 * CLK_S);
  CU_ASSERT_EQUAL_FATAL (fixture->attempts, 1);
  struct core_event event = { .kind = CORE_ATTEMPT_END };
  event.attempt_end
      = (struct core_attempt_end){ .request = 1,
                                   .attempt = fixture->last_attempt,
                                   .result = MSG_RESULT_NOT_SENT };
  core_handle (fixture->core, &event);
  fixture_run (fixture, 5 * CLK_S);
  guint attempts = fixture->attempts;
  CU_ASSERT_TRUE (attempts == 2 || fixture->ran == CORE_RAN_NO);
  fixture_free (fixture);
}

/* The process was suspended before it sent the attempt, until the grant was too
   old. The request gets another grant each time, also from the only server and
   more often than the class may retry, and keeps its write-ahead record.  */
static void
test_unused (void)
{
  struct fixture *fixture = fixture_new ();
  struct core_event event = { .kind = CORE_ATTEMPT_END };
  request (fixture, 1);
  for (guint n = 1; n <= 20; n++)
    {
      fixture_run (fixture, 2 * CLK_S);
      CU_ASSERT_EQUAL_FATAL (fixture->attempts, n);
      CU_ASSERT_TRUE (fixture->send_within_us > 0);
      CU_ASSERT_TRUE (fixture->send_within_us <= 2500 * CLK_MS);
      event.attempt_end
          = (struct core_attempt_end){ .request = 1,
                                       .attempt = fixture->last_attempt,
                                       .result = MSG_RESULT_UNUSED };
      core_handle (fixture->core, &event);
    }
  fixture_run (fixture, CLK_S);
  CU_ASSERT_EQUAL (fixture->attempts, 21);
  CU_ASSERT_EQUAL (fixture->fails, 0);
  CU_ASSERT_EQUAL (fixture->counter_set.v[COUNTER_OUTCOME_UNKNOWN], 0);
  fixture_free (fixture);
}

/* As above, but the server got the head of the call. The call is not sent
   again, although it has hardly run.  */
static void
test_unused_after_head (void)
{
  struct fixture *fixture = fixture_new ();
  struct core_event event = { .kind = CORE_ATTEMPT_END };
  request (fixture, 1);
  fixture_run (fixture, 2 * CLK_S);
  CU_ASSERT_EQUAL_FATAL (fixture->attempts, 1);
  event.attempt_end
      = (struct core_attempt_end){ .request = 1,
                                   .attempt = fixture->last_attempt,
                                   .result = MSG_RESULT_UNUSED,
                                   .sent = TRUE };
  core_handle (fixture->core, &event);
  fixture_run (fixture, 5 * CLK_S);
  CU_ASSERT_EQUAL (fixture->attempts, 1);
  CU_ASSERT_EQUAL (fixture->fails, 1);
  CU_ASSERT_EQUAL (fixture->ran, CORE_RAN_UNKNOWN);
  fixture_free (fixture);
}

static CU_TestInfo tests[] = {
  { "client disconnects while its call runs", test_disconnect_while_running },
  { "client disconnects before its call is sent",
    test_disconnect_before_sending },
  { "attempt that was not sent", test_not_sent },
  { "attempts that were not sent in time", test_unused },
  { "attempt of which only the head was sent", test_unused_after_head },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "keyed requests", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
