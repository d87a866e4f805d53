#include "base/msgpack_check.h"
#include "unit/unit.h"

#include "wire/mesh.h"
#include "wire/mesh_codec.h"
#include "wire/mesh_handshake.h"

#include <stddef.h>
#include <string.h>

#define MUTATIONS 10000
#define SEED 7

static const struct msg_progress_item items[] = { { 1, 2, 3 }, { 4, 5, 6 } };
static const struct msg_shard_summary shard_summaries[] = {
  { .shard = { "kgn-a.chat.0" },
    .owner = { "kgn-a-1" },
    .owner_address = "127.0.0.1:7000",
    .free_slots = 3,
    .servers = 2,
    .waiting = { 1, 2, 3, 4, 5, 6, 7, 8 },
    .starts_per_s = 9 },
};

static const struct msg_member members[] = {
  { { "kgn-a-1" }, { "kgn-a" }, "127.0.0.1:7000" },
  { { "kgn-a-2" }, { "kgn-a" }, "127.0.0.1:7001" },
};

#define KEY_AB                                                                 \
  {                                                                            \
    0xab, 0xab, 0xab, 0xab, 0xab, 0xab, 0xab, 0xab, 0xab, 0xab, 0xab, 0xab,    \
        0xab, 0xab, 0xab, 0xab                                                 \
  }

/* Values chosen so that a missing or swapped field shows. The table is static,
   so that padding bytes are zero and messages can be compared by bytes.  */
static const struct msg samples[MSG_N] = {
  { MSG_HEARTBEAT, .heartbeat = { 1,
                                  G_MAXUINT64,
                                  { "kgn-a" },
                                  { "kgn" },
                                  "127.0.0.1:7000",
                                  TRUE,
                                  5,
                                  6 } },
  { MSG_ENQUEUE, .enqueue = { 1,
                              { "kgn-a.chat.0" },
                              { "urgent" },
                              { "crew" },
                              -5,
                              G_MAXINT64,
                              G_MAXUINT64,
                              7,
                              8,
                              G_MAXUINT32,
                              TRUE,
                              { "engine-1" },
                              { { "engine-2" }, { "engine-3" } },
                              12 } },
  { MSG_WITHDRAW, .withdraw = { 2 } },
  { MSG_GRANT, .grant = { 1, { "engine-1" }, 2, 2000000, 13 } },
  { MSG_REJECT, .reject = { 1, MSG_REASON_N - 1, 5 } },
  { MSG_PREEMPT, .preempt = { 2 } },
  { MSG_PROGRESS, .progress = { items, G_N_ELEMENTS (items), 14 } },
  { MSG_RELEASE, .release = { 1, { "engine-1" }, MSG_RESULT_BROKEN, 2, 3, 4 } },
  { MSG_MEMBERS, .members = { members, G_N_ELEMENTS (members) } },
  { MSG_SUMMARY,
    .summary
    = { { "kgn-a" }, shard_summaries, G_N_ELEMENTS (shard_summaries) } },
  { MSG_OBJECT_REQUEST, .object_request = { { "config" }, 9 } },
  { MSG_OBJECT_BODY, .object_body = { { "config" }, 9, { "[class:a]", 9 } } },
  { MSG_LEDGER_RECORD,
    .ledger_record = { 2, 3, KEY_AB, { 1, 2, 3, [15] = 4 } } },
  { MSG_LEDGER_REPLY, .ledger_reply = { 2,
                                        3,
                                        MSG_VERDICT_DONE,
                                        TRUE,
                                        TRUE,
                                        200,
                                        { "text/plain", 10 },
                                        { "a\0b", 3 } } },
  { MSG_LEDGER_RESULT,
    .ledger_result
    = { 2, 3, KEY_AB, TRUE, 200, { "text/plain", 10 }, { "b", 1 } } },
};

static struct str
encode (const struct msg *msg, GByteArray *out)
{
  g_byte_array_set_size (out, 0);
  mesh_encode (msg, out);
  return (struct str){ (const char *)out->data, out->len };
}

static gboolean
same_bytes (const void *a, const void *b, gsize n)
{
  return memcmp (a, b, n) == 0;
}

static gboolean
same_ledger_response (const struct msg *a, const struct msg *b)
{
  if (a->kind == MSG_LEDGER_REPLY)
    return same_bytes (&a->ledger_reply, &b->ledger_reply,
                       offsetof (struct msg_ledger_reply, content_type))
           && str_eq (a->ledger_reply.content_type,
                      b->ledger_reply.content_type)
           && str_eq (a->ledger_reply.response_body,
                      b->ledger_reply.response_body);
  return same_bytes (&a->ledger_result, &b->ledger_result,
                     offsetof (struct msg_ledger_result, content_type))
         && str_eq (a->ledger_result.content_type,
                    b->ledger_result.content_type)
         && str_eq (a->ledger_result.response_body,
                    b->ledger_result.response_body);
}

static gboolean
same_message (const struct msg *a, const struct msg *b)
{
  switch (a->kind)
    {
    case MSG_PROGRESS:
      return a->progress.sent_us == b->progress.sent_us
             && b->progress.n_items == G_N_ELEMENTS (items)
             && same_bytes (b->progress.items, items, sizeof items);
    case MSG_MEMBERS:
      return b->members.n_items == G_N_ELEMENTS (members)
             && same_bytes (b->members.items, members, sizeof members);
    case MSG_SUMMARY:
      return same_bytes (&a->summary.domain, &b->summary.domain,
                         sizeof a->summary.domain)
             && b->summary.n_shards == G_N_ELEMENTS (shard_summaries)
             && same_bytes (b->summary.shards, shard_summaries,
                            sizeof shard_summaries);
    case MSG_OBJECT_BODY:
      return same_bytes (&a->object_body, &b->object_body,
                         offsetof (struct msg_object_body, body))
             && str_eq (a->object_body.body, b->object_body.body);
    case MSG_LEDGER_REPLY:
    case MSG_LEDGER_RESULT:
      return same_ledger_response (a, b);
    default:
      return same_bytes (a, b, sizeof *a);
    }
}

static void
test_round_trip (void)
{
  GByteArray *out = g_byte_array_new ();
  struct mesh_arena *arena = mesh_arena_new ();
  for (int kind = 0; kind < MSG_N; kind++)
    {
      struct msg copy;
      CU_ASSERT_EQUAL (samples[kind].kind, kind);
      struct str body = encode (&samples[kind], out);
      CU_ASSERT_EQUAL (msgpack_check (body), body.n);
      CU_ASSERT_EQUAL_FATAL (mesh_decode (body, &copy, arena, NULL), 0);
      CU_ASSERT_EQUAL (copy.kind, kind);
      CU_ASSERT_TRUE (same_message (&samples[kind], &copy));
    }
  mesh_arena_free (arena);
  g_byte_array_unref (out);
}

static int
decode_bytes (const char *bytes, gsize n)
{
  struct mesh_arena *arena = mesh_arena_new ();
  struct msg msg;
  struct err err = { 0 };
  int r = mesh_decode ((struct str){ bytes, n }, &msg, arena, &err);
  CU_ASSERT_EQUAL (err.code, r);
  mesh_arena_free (arena);
  return r;
}
#define DECODE(bytes) decode_bytes ((bytes), sizeof (bytes) - 1)

static void
test_versions (void)
{
  CU_ASSERT_EQUAL (DECODE ("\x92\x02\x07"), 0);         /* withdraw 7 */
  CU_ASSERT_EQUAL (DECODE ("\x94\x02\x07\xc0\x90"), 0); /* of a newer release */
  CU_ASSERT_EQUAL (DECODE ("\x91\x02"), ERR_PROTOCOL);  /* field missing */
  CU_ASSERT_EQUAL (DECODE ("\x92\x7f\x07"), ERR_PROTOCOL);
  CU_ASSERT_EQUAL (DECODE ("\x92\xff\x07"), ERR_PROTOCOL);
  CU_ASSERT_EQUAL (DECODE ("\x90"), ERR_PROTOCOL);
  CU_ASSERT_EQUAL (DECODE (""), ERR_PROTOCOL);
  CU_ASSERT_EQUAL (DECODE ("\x92\x02\x07\x00"), ERR_PROTOCOL); /* two values */
  CU_ASSERT_EQUAL (DECODE ("\x94\x04\x01\x7f\x05"),
                   ERR_PROTOCOL); /* invalid reason */
}

/* A count or size beyond the data is rejected before memory is allocated for
   it, and so is deep nesting.  */
static void
test_bounds (void)
{
  CU_ASSERT_EQUAL (DECODE ("\xdd\xff\xff\xff\xff"), ERR_PROTOCOL);
  CU_ASSERT_EQUAL (DECODE ("\xdf\xff\xff\xff\xff\x01\x01"), ERR_PROTOCOL);
  CU_ASSERT_EQUAL (DECODE ("\x92\x02\xdb\xff\xff\xff\xff"), ERR_PROTOCOL);
  CU_ASSERT_EQUAL (DECODE ("\x92\x02\xc6\xff\xff\xff\xff"), ERR_PROTOCOL);
  CU_ASSERT_EQUAL (msgpack_check (STR_LIT ("\xc1")), 0);
  CU_ASSERT_EQUAL (msgpack_check (STR_LIT ("\xc9\x00\x00")), 0);
  char nested[1000];
  memset (nested, 0x91, sizeof nested - 1);
  nested[sizeof nested - 1] = 0x02;
  CU_ASSERT_EQUAL (decode_bytes (nested, sizeof nested), ERR_PROTOCOL);
  char *wide = g_malloc0 (MSGPACK_CHECK_VALUES_MAX + 5);
  wide[0] = (char)0xdd;
  wide[2] = 0x01;
  CU_ASSERT_EQUAL (
      msgpack_check ((struct str){ wide, MSGPACK_CHECK_VALUES_MAX + 5 }), 0);
  wide[2] = 0;
  wide[3] = wide[4] = (char)0xff;
  CU_ASSERT_EQUAL (
      msgpack_check ((struct str){ wide, MSGPACK_CHECK_VALUES_MAX + 5 }),
      MSGPACK_CHECK_VALUES_MAX + 4);
  g_free (wide);
}

static int
decode_msg (const struct msg *msg)
{
  GByteArray *out = g_byte_array_new ();
  struct str body = encode (msg, out);
  int r = decode_bytes (body.p, body.n);
  g_byte_array_unref (out);
  return r;
}

static void
test_limits_of_fields (void)
{
  struct msg msg;
  struct msg_progress_item *many
      = g_new0 (struct msg_progress_item, MESH_LIST_ITEMS_MAX + 1);
  msg = samples[MSG_PROGRESS];
  msg.progress = (struct msg_progress){ many, MESH_LIST_ITEMS_MAX };
  CU_ASSERT_EQUAL (decode_msg (&msg), 0);
  msg.progress.n_items++;
  CU_ASSERT_EQUAL (decode_msg (&msg), ERR_PROTOCOL);
  g_free (many);
  char response_body[MSG_RESPONSE_MAX + 1] = { 0 };
  msg = samples[MSG_LEDGER_RESULT];
  msg.ledger_result.response_body
      = (struct str){ response_body, MSG_RESPONSE_MAX };
  CU_ASSERT_EQUAL (decode_msg (&msg), 0);
  msg.ledger_result.response_body.n++;
  CU_ASSERT_EQUAL (decode_msg (&msg), ERR_PROTOCOL);
  msg = samples[MSG_OBJECT_REQUEST];
  g_strlcpy (msg.object_request.object.s, "a\nb",
             sizeof msg.object_request.object.s);
  CU_ASSERT_EQUAL (decode_msg (&msg), ERR_PROTOCOL);
}

static void
mutate (GRand *rand, GByteArray *body)
{
  gint32 changes = g_rand_int_range (rand, 1, 5);
  for (gint32 i = 0; i < changes && body->len > 0; i++)
    {
      guint at = (guint)g_rand_int_range (rand, 0, (gint32)body->len);
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          body->data[at] = (guint8)g_rand_int (rand);
          break;
        case 1:
          body->data[at] = (guint8)g_rand_int_range (rand, 0xc0, 0xe0);
          break;
        case 2:
          g_byte_array_set_size (body, at);
          break;
        default:
          g_byte_array_remove_index (body, at);
        }
    }
}

/* Each message is copied to a heap block of its exact size, so that
   AddressSanitizer detects reads beyond the end.  */
static void
test_mutations (void)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  GByteArray *body = g_byte_array_new ();
  struct mesh_arena *arena = mesh_arena_new ();
  guint n_invalid = 0;
  for (int i = 0; i < MUTATIONS; i++)
    {
      struct msg msg;
      struct mesh_hello hello;
      encode (&samples[i % MSG_N], body);
      mutate (rand, body);
      char *exact = g_memdup2 (body->data, body->len);
      struct str data = { exact, body->len };
      int r = mesh_decode (data, &msg, arena, NULL);
      n_invalid += r != 0;
      CU_ASSERT_TRUE (r == 0 || r == ERR_PROTOCOL);
      CU_ASSERT_EQUAL (mesh_decode_hello (data, &hello, NULL), ERR_PROTOCOL);
      g_free (exact);
    }
  CU_ASSERT_TRUE (n_invalid > MUTATIONS / 2);
  CU_ASSERT_TRUE (n_invalid < MUTATIONS);
  mesh_arena_free (arena);
  g_byte_array_unref (body);
  g_rand_free (rand);
}

static CU_TestInfo tests[] = {
  { "every kind survives a round trip", test_round_trip },
  { "unknown fields are ignored, missing ones rejected", test_versions },
  { "counts are checked before memory is allocated", test_bounds },
  { "strings and lists are bounded", test_limits_of_fields },
  { "mutated messages never crash the decoder", test_mutations },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "wire codec", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
