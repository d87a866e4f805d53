/* Keyed requests through a whole node: the entry, the cell and the ledger
   shard in one instance.  */
#include "unit/sim.h"
#include "unit/unit.h"

#include "node/nod.h"

struct rig
{
  struct sim sim;
  struct sim_store store;
  struct ctr ctr;
  struct nod *nod;
  const struct cfg *cfg;
  guint opens;          /* attempts started */
  guint64 open_request; /* of the last one */
  guint32 open_attempt;
  guint fails;
  enum nod_ran ran; /* of the last failure */
};

struct token
{
  struct rig *rig;
  guint64 token;
};

static void
on_answer (void *ctx, const struct storage_response *answer)
{
  struct token *t = ctx;
  struct nod_event event = { .kind = NOD_STORE_ANSWER };
  event.store_answer.token = t->token;
  event.store_answer.answer = answer;
  if (t->rig->nod)
    nod_handle (t->rig->nod, &event);
  g_free (t);
}

static void
on_act (void *ctx, const struct nod_action *action)
{
  struct rig *rig = ctx;
  struct token *t;
  switch (action->kind)
    {
    case NOD_DO_OPEN:
      rig->opens++;
      rig->open_request = action->open.request;
      rig->open_attempt = action->open.attempt;
      break;
    case NOD_DO_FAIL:
      rig->fails++;
      rig->ran = action->fail.ran;
      break;
    case NOD_DO_STORE:
      t = g_new (struct token, 1);
      *t = (struct token){ rig, action->store.token };
      sim_store_start (&rig->store, action->store.call, on_answer, t);
      break;
    default:
      break;
    }
}

static void
rig_run (struct rig *rig, gint64 us)
{
  for (gint64 end = rig->sim.clk.t + us; rig->sim.clk.t < end;)
    {
      sim_run (&rig->sim, rig->sim.clk.t + NOD_TICK_US);
      nod_handle (rig->nod, &(struct nod_event){ .kind = NOD_TICK });
    }
}

static struct rig *
rig_new (void)
{
  static const char *const no_peers[] = { NULL };
  struct rig *rig = g_new0 (struct rig, 1);
  struct err err;
  char *text = NULL;
  gsize n = 0;
  sim_init (&rig->sim, 1);
  sim_store_init (&rig->store, &rig->sim);
  struct nod_options options = { .clk = &rig->sim.clk.clk,
                                 .seed = 1,
                                 .ctr = &rig->ctr,
                                 .self = { "kgn-1-a" },
                                 .domain = { "kgn-1" },
                                 .region = { "kgn" },
                                 .address = "127.0.0.1:1",
                                 .peers = no_peers,
                                 .incarnation = 1,
                                 .chart_folder = JW_SOURCE_DIR "/charts",
                                 .act = on_act,
                                 .ctx = rig };
  CU_ASSERT_EQUAL_FATAL (nod_new (&options, &rig->nod, &err), 0);
  g_file_get_contents (JW_SOURCE_DIR "/examples/authority/config.ini", &text,
                       &n, NULL);
  GBytes *body = g_bytes_new_take (text, n);
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  struct cfg *cfg = cfg_parse (body, 1, problems);
  nod_set_config (rig->nod, cfg);
  cfg_unref (cfg);
  g_bytes_unref (body);
  g_ptr_array_unref (problems);
  rig->cfg = nod_config (rig->nod);
  CU_ASSERT_PTR_NOT_NULL_FATAL (rig->cfg);
  rig_run (rig, CLK_S);
  return rig;
}

static void
rig_free (struct rig *rig)
{
  nod_free (rig->nod);
  rig->nod = NULL;
  sim_run (&rig->sim, rig->sim.clk.t + 100 * CLK_S);
  sim_store_clear (&rig->store);
  sim_clear (&rig->sim);
  g_free (rig);
}

/* A caller's keyed call of the account service. */
static void
request (struct rig *rig, guint64 id)
{
  struct nod_event event = { .kind = NOD_REQUEST };
  event.request = (struct nod_request){
    .id = id,
    .class_index = (guint)cfg_find_class (rig->cfg, STR_LIT ("account")),
    .pool = (guint)cfg_find_pool (rig->cfg, CFG_SERVICE, STR_LIT ("account")),
    .keyed = TRUE,
    .key = { 1, 2, 3 },
  };
  nod_handle (rig->nod, &event);
}

static void
caller_gone (struct rig *rig, guint64 id)
{
  nod_handle (rig->nod, &(struct nod_event){ .kind = NOD_CALLER_GONE,
                                             .caller_gone = id });
}

/* The call was sent when its caller hung up: it may run, so a second try of
   the key must not.  */
static void
test_caller_gone_while_running (void)
{
  struct rig *rig = rig_new ();
  request (rig, 1);
  rig_run (rig, 2 * CLK_S);
  CU_ASSERT_EQUAL_FATAL (rig->opens, 1);
  caller_gone (rig, 1);
  rig_run (rig, 5 * CLK_S);
  request (rig, 2);
  rig_run (rig, 5 * CLK_S);
  CU_ASSERT_EQUAL (rig->opens, 1);
  CU_ASSERT_EQUAL (rig->fails, 1);
  CU_ASSERT_EQUAL (rig->ran, NOD_RAN_UNKNOWN);
  rig_free (rig);
}

/* The call was not sent when its caller hung up: the key is free again.  */
static void
test_caller_gone_before_sending (void)
{
  struct rig *rig = rig_new ();
  rig->store.delay = 200 * CLK_MS;
  request (rig, 1);
  rig_run (rig, 2 * NOD_TICK_US);
  CU_ASSERT_EQUAL_FATAL (rig->opens, 0);
  caller_gone (rig, 1);
  rig_run (rig, 20 * CLK_S);
  CU_ASSERT_EQUAL (rig->opens, 0);
  request (rig, 2);
  rig_run (rig, 5 * CLK_S);
  CU_ASSERT_EQUAL (rig->opens, 1);
  rig_free (rig);
}

/* Connecting failed: another server may be tried under the same record.  */
static void
test_not_sent (void)
{
  struct rig *rig = rig_new ();
  request (rig, 1);
  rig_run (rig, 2 * CLK_S);
  CU_ASSERT_EQUAL_FATAL (rig->opens, 1);
  struct nod_event event = { .kind = NOD_ATTEMPT_END };
  event.attempt_end = (struct nod_attempt_end){ .request = 1,
                                                .attempt = rig->open_attempt,
                                                .result = MSG_RESULT_NOT_SENT };
  nod_handle (rig->nod, &event);
  rig_run (rig, 5 * CLK_S);
  guint opens = rig->opens;
  CU_ASSERT_TRUE (opens == 2 || rig->ran == NOD_RAN_NO);
  rig_free (rig);
}

static CU_TestInfo tests[] = {
  { "a caller gone while its call runs", test_caller_gone_while_running },
  { "a caller gone before its call is sent", test_caller_gone_before_sending },
  { "a call that was not sent", test_not_sent },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "keyed requests", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
