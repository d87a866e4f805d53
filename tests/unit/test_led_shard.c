/* The server of one ledger shard against an object store whose faults the test
   sets.  */
#include "unit/sim.h"
#include "unit/unit.h"

#include "ledger/ledger.h"

#include <stdio.h>

#define HEAD_BYTES 1000
#define SEGMENT_BYTES 1500
#define RETENTION_US (3600 * CLK_S)

struct rig
{
  /* The owner whose clock and store this one uses; NULL: its own. */
  struct rig *first_owner;
  /* The owner that uses the clock and store of this one, borrowed. */
  struct rig *second_owner;
  struct sim sim;
  struct sim_store store;
  struct counter_set counter_set;
  struct ledger_options options;
  struct ledger_shard *ledger;
  /* By record id: the last reply, its response body, the number of replies. */
  struct msg_ledger_reply last_reply[1000];
  char bodies[1000][32];
  guint reply_count[1000];
};

struct token
{
  struct rig *rig;
  struct ledger_shard *ledger;
  guint64 token;
};

static void
on_store_response (void *ctx, const struct storage_response *response)
{
  struct token *t = ctx;
  if (t->rig->ledger == t->ledger)
    ledger_store_response (t->ledger, t->token, response);
  g_free (t);
}

static void
on_store_request (void *ctx, guint64 token, const struct storage_request *call)
{
  struct rig *rig = ctx;
  struct token *t = g_new (struct token, 1);
  *t = (struct token){ rig, rig->ledger, token };
  struct rig *first_owner = rig->first_owner ? rig->first_owner : rig;
  sim_store_start (&first_owner->store, call, on_store_response, t);
}

static void
on_reply (void *ctx, const char *to, const struct msg_ledger_reply *reply)
{
  struct rig *rig = ctx;
  CU_ASSERT_STRING_EQUAL (to, "e1");
  rig->last_reply[reply->record_id] = *reply;
  rig->reply_count[reply->record_id]++;
  g_snprintf (rig->bodies[reply->record_id], sizeof rig->bodies[0], STR_FMT,
              STR_ARG (reply->response_body));
}

static void
rig_restart (struct rig *rig)
{
  ledger_free (rig->ledger);
  rig->ledger = ledger_new (&rig->options);
}

static struct rig *
rig_new (void)
{
  struct rig *rig = g_new0 (struct rig, 1);
  sim_init (&rig->sim, 1);
  sim_store_init (&rig->store, &rig->sim);
  rig->options = (struct ledger_options){ .clk = &rig->sim.clk.clk,
                                          .seed = 1,
                                          .counter_set = &rig->counter_set,
                                          .shard = 7,
                                          .head_max = HEAD_BYTES,
                                          .segment_max = SEGMENT_BYTES,
                                          .retention_us = RETENTION_US,
                                          .start_request = on_store_request,
                                          .send_reply = on_reply,
                                          .ctx = rig };
  rig_restart (rig);
  return rig;
}

static void
rig_run (struct rig *rig, gint64 us)
{
  for (gint64 end = rig->sim.clk.t + us; rig->sim.clk.t < end;)
    {
      sim_run (&rig->sim, MIN (end, rig->sim.clk.t + LEDGER_TICK_US));
      ledger_tick (rig->ledger);
      if (rig->second_owner)
        ledger_tick (rig->second_owner->ledger);
    }
}

static void
rig_free (struct rig *rig)
{
  ledger_free (rig->ledger);
  rig->ledger = NULL;
  sim_run (&rig->sim, rig->sim.clk.t + 100 * CLK_S);
  sim_store_clear (&rig->store);
  sim_clear (&rig->sim);
  g_free (rig);
}

static void
add_record (struct rig *rig, guint64 record_id, guint key, guint body)
{
  struct msg_ledger_record record
      = { .incarnation = 9, .record_id = record_id };
  record.key[1] = (guint8)key;
  record.key[2] = (guint8)(key >> 8);
  record.body_digest[0] = (guint8)body;
  ledger_add_record (rig->ledger, "e1", &record);
}

static void
add_result (struct rig *rig, guint64 record_id, guint key, const char *body)
{
  struct msg_ledger_result result = { .incarnation = 9,
                                      .record_id = record_id,
                                      .did_not_run = body == NULL,
                                      .status = 201,
                                      .content_type = STR_LIT ("text/plain"),
                                      .response_body = str_of (body) };
  result.key[1] = (guint8)key;
  result.key[2] = (guint8)(key >> 8);
  ledger_add_result (rig->ledger, "e1", &result);
}

/* Returns a second owner of RIG's shard; rig_run of RIG runs both.  */
static struct rig *
rig_new_second_owner (struct rig *rig)
{
  struct rig *second_owner = rig_new ();
  second_owner->first_owner = rig;
  second_owner->options.clk = &rig->sim.clk.clk;
  rig_restart (second_owner);
  rig->second_owner = second_owner;
  return second_owner;
}

/* Sends a record and returns the verdict, which must come within
   LEDGER_RECORD_TIMEOUT_US and a few ticks.  */
static enum msg_verdict
add_record_and_wait (struct rig *rig, guint64 record_id, guint key, guint body)
{
  guint n = rig->reply_count[record_id];
  add_record (rig, record_id, key, body);
  rig_run (rig->first_owner ? rig->first_owner : rig,
           LEDGER_RECORD_TIMEOUT_US + 4 * LEDGER_TICK_US);
  CU_ASSERT_EQUAL (rig->reply_count[record_id], n + 1);
  return rig->last_reply[record_id].verdict;
}

static void
test_verdicts (void)
{
  struct rig *rig = rig_new ();
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 1, 5, 0), MSG_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 1, 5, 0), MSG_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (rig->counter_set.v[COUNTER_LEDGER_WRITES], 1);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 2, 5, 0), MSG_VERDICT_IN_PROGRESS);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 3, 5, 1), MSG_VERDICT_MISMATCH);
  rig_run (rig, LEDGER_RUN_MAX_US);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 4, 5, 0), MSG_VERDICT_UNKNOWN);
  add_result (rig, 1, 5, "hello");
  rig_run (rig, 2 * LEDGER_RESULT_DELAY_US);
  CU_ASSERT_EQUAL (rig->last_reply[1].verdict, MSG_VERDICT_DONE);
  CU_ASSERT_TRUE (rig->last_reply[1].replies_to_result);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 5, 5, 0), MSG_VERDICT_DONE);
  CU_ASSERT_STRING_EQUAL (rig->bodies[5], "hello");
  CU_ASSERT_EQUAL (rig->last_reply[5].status, 201);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 6, 5, 1), MSG_VERDICT_MISMATCH);
  rig_free (rig);
}

static void
test_released_record (void)
{
  struct rig *rig = rig_new ();
  add_record_and_wait (rig, 1, 5, 0);
  add_result (rig, 2, 5, NULL); /* a result of another record has no effect */
  rig_run (rig, 2 * LEDGER_RESULT_DELAY_US);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 3, 5, 0), MSG_VERDICT_IN_PROGRESS);
  add_result (rig, 1, 5, NULL);
  rig_run (rig, 2 * LEDGER_RESULT_DELAY_US);
  CU_ASSERT_EQUAL (rig->last_reply[1].verdict, MSG_VERDICT_UNAVAILABLE);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 1, 5, 0), MSG_VERDICT_UNAVAILABLE);
  rig_restart (rig);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 1, 5, 0), MSG_VERDICT_UNAVAILABLE);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 4, 5, 1), MSG_VERDICT_RECORDED);
  rig_free (rig);
}

static void
test_group_commit (void)
{
  struct rig *rig = rig_new ();
  rig->options.head_max = 0;
  rig_restart (rig);
  add_record_and_wait (rig, 1, 1, 0);
  guint64 writes = rig->counter_set.v[COUNTER_LEDGER_WRITES];
  for (guint i = 2; i < 102; i++)
    add_record (rig, i, i, 0);
  rig_run (rig, CLK_S);
  for (guint i = 2; i < 102; i++)
    CU_ASSERT_EQUAL (rig->last_reply[i].verdict, MSG_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (rig->counter_set.v[COUNTER_LEDGER_WRITES], writes + 2);
  rig_free (rig);
}

static void
test_outage (void)
{
  struct rig *rig = rig_new ();
  rig->store.refusing = TRUE;
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 1, 1, 0), MSG_VERDICT_UNAVAILABLE);
  CU_ASSERT_FALSE (rig->last_reply[1].unresolved);
  for (guint i = 2; i < 602; i++)
    {
      add_record (rig, i, i, 0);
      rig_run (rig, 100 * CLK_MS);
    }
  rig_run (rig, LEDGER_RECORD_TIMEOUT_US);
  for (guint i = 1; i < 602; i++)
    CU_ASSERT_EQUAL (rig->last_reply[i].verdict, MSG_VERDICT_UNAVAILABLE);
  guint calls = rig->store.gets + rig->store.puts;
  CU_ASSERT_TRUE (calls < 30); /* 62 s of records */
  rig->store.refusing = FALSE;
  rig_run (rig, 10 * CLK_S);
  CU_ASSERT_EQUAL (rig->store.gets + rig->store.puts, calls);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 700, 1, 0), MSG_VERDICT_RECORDED);
  rig_free (rig);
}

static void
test_lost_response (void)
{
  struct rig *rig = rig_new ();
  add_record_and_wait (rig, 1, 1, 0);
  rig->store.lost_after = 1;
  add_record (rig, 2, 2, 0);
  rig_run (rig, 100 * CLK_MS);
  CU_ASSERT_EQUAL (rig->reply_count[2], 0);
  rig->store.lost_after = 0;
  rig_run (rig, 2 * LEDGER_STORE_TIMEOUT_US);
  CU_ASSERT_EQUAL (rig->last_reply[2].verdict, MSG_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (rig->counter_set.v[COUNTER_LEDGER_CONFLICTS], 1);
  rig_free (rig);
}

/* The store stops responding during a write, which takes effect long after its
   record was released.  */
static void
test_late_write (void)
{
  struct rig *rig = rig_new ();
  add_record_and_wait (rig, 1, 1, 0);
  rig->store.late = 1;
  rig->store.late_by = 30 * CLK_S;
  add_record (rig, 2, 2, 0);
  rig_run (rig, 100 * CLK_MS);
  rig->store.late = 0;
  rig->store.silent = TRUE;
  rig_run (rig, LEDGER_RECORD_TIMEOUT_US);
  CU_ASSERT_EQUAL (rig->reply_count[2], 0);
  rig_run (rig, LEDGER_RESOLVE_TIMEOUT_US);
  CU_ASSERT_EQUAL (rig->last_reply[2].verdict, MSG_VERDICT_UNAVAILABLE);
  CU_ASSERT_TRUE (rig->last_reply[2].unresolved);
  add_result (rig, 2, 2, NULL);
  rig_run (rig, 4 * CLK_S);
  CU_ASSERT_EQUAL (rig->reply_count[2], 1);
  rig->store.silent = FALSE;
  rig_run (rig, 12 * CLK_S);
  CU_ASSERT_EQUAL (rig->reply_count[2], 2);
  CU_ASSERT_EQUAL (rig->last_reply[2].verdict, MSG_VERDICT_UNAVAILABLE);
  rig_run (rig, 40 * CLK_S);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 3, 2, 0), MSG_VERDICT_RECORDED);
  rig_free (rig);
}

/* Takes N keys from FIRST through record and result. */
static void
complete_keys (struct rig *rig, guint first, guint n)
{
  for (guint i = first; i < first + n; i++)
    {
      char text[16];
      g_snprintf (text, sizeof text, "answer %u", i);
      CU_ASSERT_EQUAL (add_record_and_wait (rig, i, i, 0),
                       MSG_VERDICT_RECORDED);
      add_result (rig, i, i, text);
      rig_run (rig->first_owner ? rig->first_owner : rig,
               2 * LEDGER_RESULT_DELAY_US);
    }
}

static guint64
version_of (struct rig *rig, const char *name)
{
  struct sim_object *object = g_hash_table_lookup (rig->store.objects, name);
  return object ? object->version : 0;
}

static void
test_segments (void)
{
  struct rig *rig = rig_new ();
  complete_keys (rig, 1, 40);
  CU_ASSERT_TRUE (version_of (rig, "ledger/07/0001") > 0);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 101, 1, 0), MSG_VERDICT_DONE);
  CU_ASSERT_STRING_EQUAL (rig->bodies[101], "answer 1");
  rig_restart (rig);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 102, 2, 0), MSG_VERDICT_DONE);
  CU_ASSERT_STRING_EQUAL (rig->bodies[102], "answer 2");
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 103, 40, 1), MSG_VERDICT_MISMATCH);
  GHashTableIter iter;
  gpointer object;
  g_hash_table_iter_init (&iter, rig->store.objects);
  while (g_hash_table_iter_next (&iter, NULL, &object))
    CU_ASSERT_TRUE (g_bytes_get_size (((struct sim_object *)object)->body)
                    <= SEGMENT_BYTES);
  rig_free (rig);
}

static void
test_segment_unavailable (void)
{
  struct rig *rig = rig_new ();
  complete_keys (rig, 1, 20);
  rig->store.silent = TRUE;
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 101, 1, 0), MSG_VERDICT_UNKNOWN);
  rig_free (rig);
}

/* Stores VALUE, which is taken over, as the object NAME. */
static void
put_object (struct rig *rig, const char *name, GBytes *value)
{
  struct sim_object *object = sim_object_of (&rig->store, name);
  object->version = ++rig->store.last_version;
  g_clear_pointer (&object->body, g_bytes_unref);
  object->body = value;
}

static void
test_outdated_slot (void)
{
  struct rig *rig = rig_new ();
  put_object (rig, "ledger/07/0000", g_bytes_new_static ("garbage", 7));
  complete_keys (rig, 1, 12);
  struct sim_object *head = sim_object_of (&rig->store, "ledger/07/head");
  put_object (rig, "ledger/07/0001", g_bytes_ref (head->body));
  complete_keys (rig, 13, 28);
  rig_restart (rig);
  for (guint i = 1; i <= 40; i++)
    CU_ASSERT_EQUAL (add_record_and_wait (rig, 100 + i, i, 0),
                     MSG_VERDICT_DONE);
  rig_free (rig);
}

/* An owner whose memory is outdated rotates its head: the last segment has
   grown since, and must not get the outdated head's records.  */
static void
test_outdated_memory (void)
{
  struct rig *rig = rig_new ();
  struct rig *second_owner = rig_new_second_owner (rig);
  guint n = 17;
  rig->options.segment_max = second_owner->options.segment_max = 8 * HEAD_BYTES;
  rig_restart (rig);
  rig_restart (second_owner);
  complete_keys (rig, 1, 16);
  struct sim_object *head = sim_object_of (&rig->store, "ledger/07/head");
  for (; g_bytes_get_size (head->body) < HEAD_BYTES * 3 / 4; n++)
    complete_keys (rig, n, 1);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 90, 90, 0), MSG_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (add_record_and_wait (second_owner, 101, 1, 0),
                   MSG_VERDICT_DONE);
  add_result (rig, 90, 90, "late");
  rig_run (rig, 120 * CLK_S);
  complete_keys (rig, n, 12);
  rig_run (rig, 120 * CLK_S);
  rig->store.silent = TRUE; /* the first write is sent with one record */
  for (guint i = 200; i < 220; i++)
    add_record (second_owner, i, i, 0);
  rig->store.silent = FALSE;
  rig_run (rig, 3 * CLK_S);
  for (guint i = 200; i < 220; i++)
    CU_ASSERT_EQUAL (second_owner->last_reply[i].verdict, MSG_VERDICT_RECORDED);
  rig_restart (rig);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 91, 90, 0), MSG_VERDICT_DONE);
  for (guint i = 1; i < n + 12; i++)
    CU_ASSERT_EQUAL (add_record_and_wait (rig, 400 + i, i, 0),
                     MSG_VERDICT_DONE);
  rig->second_owner = NULL;
  ledger_free (second_owner->ledger);
  second_owner->ledger = NULL;
  rig_free (rig);
  rig_free (second_owner);
}

/* Owners that alternate read before they write, so that few writes conflict. */
static void
test_two_owners (void)
{
  struct rig *rig = rig_new ();
  struct rig *second_owner = rig_new_second_owner (rig);
  for (guint i = 1; i < 21; i++)
    CU_ASSERT_EQUAL (add_record_and_wait (i % 2 ? rig : second_owner, i, i, 0),
                     MSG_VERDICT_RECORDED);
  CU_ASSERT_TRUE (rig->counter_set.v[COUNTER_LEDGER_CONFLICTS] <= 1);
  CU_ASSERT_TRUE (second_owner->counter_set.v[COUNTER_LEDGER_CONFLICTS] <= 1);
  rig->second_owner = NULL;
  ledger_free (second_owner->ledger);
  second_owner->ledger = NULL;
  rig_free (rig);
  rig_free (second_owner);
}

static void
test_retention (void)
{
  struct rig *rig = rig_new ();
  complete_keys (rig, 1, 20);
  rig_run (rig, RETENTION_US);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 101, 1, 0), MSG_VERDICT_DONE);
  complete_keys (rig, 21, 20);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 102, 1, 0), MSG_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 103, 30, 0), MSG_VERDICT_DONE);
  guint gets = rig->store.gets;
  rig_restart (rig);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 104, 30, 0), MSG_VERDICT_DONE);
  CU_ASSERT_TRUE (rig->store.gets - gets < 8);
  rig_free (rig);
}

static void
test_limits (void)
{
  struct rig *rig = rig_new ();
  char *large = g_strnfill (MSG_RESPONSE_MAX + 1, 'x');
  rig->options.keys_max = 2;
  rig_restart (rig);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 1, 1, 0), MSG_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 2, 2, 0), MSG_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 3, 3, 0), MSG_VERDICT_UNAVAILABLE);
  add_result (rig, 1, 1, large);
  CU_ASSERT_EQUAL (rig->last_reply[1].verdict, MSG_VERDICT_UNKNOWN);
  large[MSG_RESPONSE_MAX] = '\0';
  add_result (rig, 2, 2, large);
  rig_run (rig, 2 * LEDGER_RESULT_DELAY_US);
  CU_ASSERT_EQUAL (rig->last_reply[2].verdict, MSG_VERDICT_DONE);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 4, 2, 0), MSG_VERDICT_DONE);
  CU_ASSERT_EQUAL (rig->last_reply[4].response_body.n, MSG_RESPONSE_MAX);
  g_free (large);
  rig_free (rig);
}

static void
test_unreadable_head (void)
{
  static const char *const values[] = { "", "garbage", "\x97\x01\x00", "\xc0" };
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    {
      struct rig *rig = rig_new ();
      put_object (rig, "ledger/07/head",
                  g_bytes_new_static (values[i], strlen (values[i])));
      CU_ASSERT_EQUAL (add_record_and_wait (rig, 1, 1, 0),
                       MSG_VERDICT_UNAVAILABLE);
      rig_free (rig);
    }
}

/* A head that is cut or has a changed byte, at any position, is rejected or
   read; it must not do any other harm.  */
static void
test_damaged_head (void)
{
  struct rig *rig = rig_new ();
  complete_keys (rig, 1, 2);
  struct sim_object *head = sim_object_of (&rig->store, "ledger/07/head");
  GBytes *good = g_bytes_ref (head->body);
  gsize n;
  const char *p = g_bytes_get_data (good, &n);
  for (gsize i = 0; i < n; i++)
    {
      char *copy = g_memdup2 (p, n);
      copy[i] ^= (char)0x80;
      put_object (rig, "ledger/07/head",
                  i % 2 ? g_bytes_new (p, i) : g_bytes_new (copy, n));
      g_free (copy);
      rig_restart (rig);
      add_record (rig, 3, 3, 0);
      rig_run (rig, 100 * CLK_MS);
    }
  put_object (rig, "ledger/07/head", good);
  rig_restart (rig);
  CU_ASSERT_EQUAL (add_record_and_wait (rig, 4, 1, 0), MSG_VERDICT_DONE);
  rig_free (rig);
}

static void
test_dump (void)
{
  struct rig *rig = rig_new ();
  add_record_and_wait (rig, 1, 1, 0);
  CU_ASSERT_TRUE (ledger_idle (rig->ledger));
  JsonBuilder *json = json_builder_new ();
  ledger_dump (rig->ledger, json);
  JsonNode *root = json_builder_get_root (json);
  CU_ASSERT_EQUAL (
      json_object_get_int_member (json_node_get_object (root), "keys"), 1);
  json_node_unref (root);
  g_object_unref (json);
  rig_free (rig);
}

static CU_TestInfo tests[] = {
  { "verdict by the state of the key", test_verdicts },
  { "a released record stays released", test_released_record },
  { "records that arrive during a write share the next one",
    test_group_commit },
  { "outage: unavailable, few requests, none from the backlog", test_outage },
  { "a lost response is resolved by reading the head", test_lost_response },
  { "a write that takes effect late", test_late_write },
  { "segments are closed, read and used for replays", test_segments },
  { "unknown if the segment cannot be read", test_segment_unavailable },
  { "outdated objects in the slots of segments", test_outdated_slot },
  { "an owner with outdated memory", test_outdated_memory },
  { "two owners that alternate", test_two_owners },
  { "retention", test_retention },
  { "limits of keys and responses", test_limits },
  { "unavailable if the head cannot be decoded", test_unreadable_head },
  { "damaged heads", test_damaged_head },
  { "dump", test_dump },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "ledger shard", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
