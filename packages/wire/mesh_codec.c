#include "wire/mesh_codec.h"

#include "base/msgpack_check.h"
#include "wire/mesh.h"

#include <msgpack.h>
#include <stddef.h>
#include <string.h>

#define STEP "wire.decode"

enum field_type
{
  FIELD_U64,
  FIELD_I64,
  FIELD_U32,
  FIELD_BOOL,
  FIELD_ENUM,    /* less than limit */
  FIELD_ID,      /* struct str_id */
  FIELD_ADDRESS, /* char[ADDRESS_BYTES] */
  FIELD_DIGEST,  /* guint8[MSG_KEY_BYTES] */
  FIELD_STR,     /* struct str of at most limit bytes */
  FIELD_IDS,     /* struct str_id[limit]; trailing empty ids are not sent */
  FIELD_COUNTS,  /* guint32[limit] */
  FIELD_LIST     /* pointer to an array and its guint count */
};

#define ADDRESS_BYTES 64 /* with the NUL */

struct record;

struct field
{
  enum field_type type;
  guint limit;               /* as enum field_type says */
  gsize offset;              /* in the struct of the record */
  gsize count_offset;        /* of the count of a list */
  const struct record *item; /* items of a list */
};

struct record
{
  const struct field *fields;
  guint n_fields;
  gsize size; /* of the struct */
};

#define FIELD(name, type, member, limit)                                       \
  {                                                                            \
    FIELD_##type, (limit), offsetof (struct msg_##name, member), 0, NULL       \
  }
#define FIELD_OF_LIST(name, member, count, record)                             \
  {                                                                            \
    FIELD_LIST, MESH_LIST_ITEMS_MAX, offsetof (struct msg_##name, member),     \
        offsetof (struct msg_##name, count), &(record)                         \
  }
#define RECORD(name)                                                           \
  static const struct record name##_record                                     \
      = { name##_fields, G_N_ELEMENTS (name##_fields),                         \
          sizeof (struct msg_##name) }

/* The fields of each record in their order on the wire, used by both encoder
   and decoder. New fields are added at the end: a decoder of an older release
   ignores them. */
static const struct field heartbeat_fields[] = {
  FIELD (heartbeat, U64, incarnation, 0),
  FIELD (heartbeat, U64, sequence, 0),
  FIELD (heartbeat, ID, domain, 0),
  FIELD (heartbeat, ID, region, 0),
  FIELD (heartbeat, ADDRESS, address, 0),
  FIELD (heartbeat, BOOL, leaving, 0),
  FIELD (heartbeat, U64, config_version, 0),
  FIELD (heartbeat, U64, registry_version, 0),
};
RECORD (heartbeat);

static const struct field enqueue_fields[] = {
  FIELD (enqueue, U64, queue_entry, 0),
  FIELD (enqueue, ID, shard, 0),
  FIELD (enqueue, ID, class_name, 0),
  FIELD (enqueue, ID, team, 0),
  FIELD (enqueue, I64, wait_us, 0),
  FIELD (enqueue, I64, waited_us, 0),
  FIELD (enqueue, U64, prefix, 0),
  FIELD (enqueue, U32, prompt_tokens, 0),
  FIELD (enqueue, U32, max_tokens, 0),
  FIELD (enqueue, U32, generated, 0),
  FIELD (enqueue, BOOL, resumable, 0),
  FIELD (enqueue, ID, running, 0),
  FIELD (enqueue, IDS, avoid, MSG_AVOID_MAX),
  FIELD (enqueue, I64, sent_us, 0),
};
RECORD (enqueue);

static const struct field withdraw_fields[] = {
  FIELD (withdraw, U64, queue_entry, 0),
};
RECORD (withdraw);

static const struct field grant_fields[] = {
  FIELD (grant, U64, queue_entry, 0), FIELD (grant, ID, backend, 0),
  FIELD (grant, U32, priority, 0),    FIELD (grant, I64, use_within_us, 0),
  FIELD (grant, I64, echo_us, 0),
};
RECORD (grant);

static const struct field reject_fields[] = {
  FIELD (reject, U64, queue_entry, 0),
  FIELD (reject, ENUM, reason, MSG_REASON_N),
  FIELD (reject, I64, retry_after_us, 0),
};
RECORD (reject);

static const struct field preempt_fields[] = {
  FIELD (preempt, U64, queue_entry, 0),
};
RECORD (preempt);

static const struct field progress_item_fields[] = {
  FIELD (progress_item, U64, queue_entry, 0),
  FIELD (progress_item, U32, tokens, 0),
  FIELD (progress_item, U32, tbt_us, 0),
};
RECORD (progress_item);

static const struct field progress_fields[] = {
  FIELD (progress, I64, sent_us, 0),
  FIELD_OF_LIST (progress, items, n_items, progress_item_record),
};
RECORD (progress);

static const struct field release_fields[] = {
  FIELD (release, U64, queue_entry, 0),
  FIELD (release, ID, backend, 0),
  FIELD (release, ENUM, result, MSG_RESULT_N),
  FIELD (release, U32, ttft_us, 0),
  FIELD (release, U32, tbt_us, 0),
  FIELD (release, U32, tokens, 0),
};
RECORD (release);

static const struct field member_fields[] = {
  FIELD (member, ID, id, 0),
  FIELD (member, ID, domain, 0),
  FIELD (member, ADDRESS, address, 0),
};
RECORD (member);

static const struct field members_fields[] = {
  FIELD_OF_LIST (members, items, n_items, member_record),
};
RECORD (members);

#define SHARD_TIERS 8 /* tiers in msg_shard_summary */
static const struct field shard_summary_fields[] = {
  FIELD (shard_summary, ID, shard, 0),
  FIELD (shard_summary, ID, owner, 0),
  FIELD (shard_summary, ADDRESS, owner_address, 0),
  FIELD (shard_summary, U32, free_slots, 0),
  FIELD (shard_summary, U32, servers, 0),
  FIELD (shard_summary, COUNTS, waiting, SHARD_TIERS),
  FIELD (shard_summary, U32, starts_per_s, 0),
};
RECORD (shard_summary);

static const struct field summary_fields[] = {
  FIELD (summary, ID, domain, 0),
  FIELD_OF_LIST (summary, shards, n_shards, shard_summary_record),
};
RECORD (summary);

static const struct field object_request_fields[] = {
  FIELD (object_request, ID, object, 0),
  FIELD (object_request, U64, version, 0),
};
RECORD (object_request);

static const struct field object_body_fields[] = {
  FIELD (object_body, ID, object, 0),
  FIELD (object_body, U64, version, 0),
  FIELD (object_body, STR, body, MESH_OBJECT_BODY_MAX),
};
RECORD (object_body);

static const struct field ledger_record_fields[] = {
  FIELD (ledger_record, U64, incarnation, 0),
  FIELD (ledger_record, U64, record_id, 0),
  FIELD (ledger_record, DIGEST, key, 0),
  FIELD (ledger_record, DIGEST, body_digest, 0),
};
RECORD (ledger_record);

static const struct field ledger_reply_fields[] = {
  FIELD (ledger_reply, U64, incarnation, 0),
  FIELD (ledger_reply, U64, record_id, 0),
  FIELD (ledger_reply, ENUM, verdict, MSG_VERDICT_N),
  FIELD (ledger_reply, BOOL, replies_to_result, 0),
  FIELD (ledger_reply, BOOL, unresolved, 0),
  FIELD (ledger_reply, U32, status, 0),
  FIELD (ledger_reply, STR, content_type, MESH_CONTENT_TYPE_MAX),
  FIELD (ledger_reply, STR, response_body, MSG_RESPONSE_MAX),
};
RECORD (ledger_reply);

static const struct field ledger_result_fields[] = {
  FIELD (ledger_result, U64, incarnation, 0),
  FIELD (ledger_result, U64, record_id, 0),
  FIELD (ledger_result, DIGEST, key, 0),
  FIELD (ledger_result, BOOL, did_not_run, 0),
  FIELD (ledger_result, U32, status, 0),
  FIELD (ledger_result, STR, content_type, MESH_CONTENT_TYPE_MAX),
  FIELD (ledger_result, STR, response_body, MSG_RESPONSE_MAX),
};
RECORD (ledger_result);

#define RECORD_OF_KIND(id, member, name) [MSG_##id] = &member##_record,
static const struct record *const record_of_kind[]
    = { MSG_KINDS (RECORD_OF_KIND) };
#undef RECORD_OF_KIND

G_STATIC_ASSERT (sizeof (enum msg_reason) == sizeof (guint32));
G_STATIC_ASSERT (sizeof (enum msg_result) == sizeof (guint32));
G_STATIC_ASSERT (sizeof (enum msg_verdict) == sizeof (guint32));
G_STATIC_ASSERT (sizeof (((struct msg_shard_summary *)0)->waiting)
                 == SHARD_TIERS * sizeof (guint32));
G_STATIC_ASSERT (sizeof (((struct msg_heartbeat *)0)->address)
                 == ADDRESS_BYTES);

static int
append (void *out, const char *bytes, size_t n)
{
  g_byte_array_append (out, (const guint8 *)bytes, (guint)n);
  return 0;
}

static void
pack_str (msgpack_packer *pk, struct str s)
{
  msgpack_pack_str (pk, s.n);
  msgpack_pack_str_body (pk, s.p ? s.p : "", s.n);
}

static void
pack_ids (msgpack_packer *pk, const struct str_id *ids, guint limit)
{
  guint n = limit;
  while (n > 0 && ids[n - 1].s[0] == '\0')
    n--;
  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    pack_str (pk, str_of (ids[i].s));
}

static void
pack_counts (msgpack_packer *pk, const guint32 *counts, guint limit)
{
  msgpack_pack_array (pk, limit);
  for (guint i = 0; i < limit; i++)
    msgpack_pack_uint32 (pk, counts[i]);
}

static void pack_record (msgpack_packer *pk, const struct record *record,
                         const void *data);

static void
pack_list (msgpack_packer *pk, const struct field *field, const char *data)
{
  const char *items = *(const char *const *)(data + field->offset);
  guint n = *(const guint *)(data + field->count_offset);
  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    {
      msgpack_pack_array (pk, field->item->n_fields);
      pack_record (pk, field->item, items + i * field->item->size);
    }
}

static void
pack_field (msgpack_packer *pk, const struct field *field, const char *data)
{
  const void *at = data + field->offset;
  switch (field->type)
    {
    case FIELD_U64:
      msgpack_pack_uint64 (pk, *(const guint64 *)at);
      break;
    case FIELD_I64:
      msgpack_pack_int64 (pk, *(const gint64 *)at);
      break;
    case FIELD_U32:
    case FIELD_ENUM:
      msgpack_pack_uint32 (pk, *(const guint32 *)at);
      break;
    case FIELD_BOOL:
      *(const gboolean *)at ? msgpack_pack_true (pk) : msgpack_pack_false (pk);
      break;
    case FIELD_ID:
    case FIELD_ADDRESS:
      pack_str (pk, str_of (at));
      break;
    case FIELD_DIGEST:
      msgpack_pack_bin_with_body (pk, at, MSG_KEY_BYTES);
      break;
    case FIELD_STR:
      pack_str (pk, *(const struct str *)at);
      break;
    case FIELD_IDS:
      pack_ids (pk, at, field->limit);
      break;
    case FIELD_COUNTS:
      pack_counts (pk, at, field->limit);
      break;
    case FIELD_LIST:
      pack_list (pk, field, data);
      break;
    }
}

static void
pack_record (msgpack_packer *pk, const struct record *record, const void *data)
{
  for (guint i = 0; i < record->n_fields; i++)
    pack_field (pk, &record->fields[i], data);
}

/* Appends the encoded message MSG, [kind, fields...], to OUT. Strings and lists
   that exceed the limits of the tables are encoded all the same; the decoder
   rejects them.  */
void
mesh_encode (const struct msg *msg, GByteArray *out)
{
  const struct record *record = record_of_kind[msg->kind];
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, append);
  msgpack_pack_array (&pk, 1 + record->n_fields);
  msgpack_pack_uint32 (&pk, (guint32)msg->kind);
  pack_record (&pk, record, &msg->heartbeat);
}

struct mesh_arena
{
  msgpack_zone zone;
};

struct mesh_arena *
mesh_arena_new (void)
{
  struct mesh_arena *arena = g_new0 (struct mesh_arena, 1);
  if (!msgpack_zone_init (&arena->zone, MSGPACK_ZONE_CHUNK_SIZE))
    g_error ("out of memory");
  return arena;
}

void
mesh_arena_free (struct mesh_arena *arena)
{
  if (arena == NULL)
    return;
  msgpack_zone_destroy (&arena->zone);
  g_free (arena);
}

static gboolean
read_number (const msgpack_object *object, guint64 max, guint64 *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return FALSE;
  *value = object->via.u64;
  return TRUE;
}

static gboolean
read_signed (const msgpack_object *object, gint64 *value)
{
  if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    {
      *value = object->via.i64;
      return TRUE;
    }
  guint64 positive;
  if (!read_number (object, G_MAXINT64, &positive))
    return FALSE;
  *value = (gint64)positive;
  return TRUE;
}

static gboolean
read_u32 (const msgpack_object *object, guint64 max, guint32 *value)
{
  guint64 number;
  if (!read_number (object, max, &number))
    return FALSE;
  *value = (guint32)number;
  return TRUE;
}

static gboolean
read_bool (const msgpack_object *object, gboolean *value)
{
  if (object->type != MSGPACK_OBJECT_BOOLEAN)
    return FALSE;
  *value = object->via.boolean;
  return TRUE;
}

static gboolean
read_str (const msgpack_object *object, guint limit, struct str *value)
{
  if (object->type != MSGPACK_OBJECT_STR || object->via.str.size > limit)
    return FALSE;
  *value = (struct str){ object->via.str.ptr, object->via.str.size };
  return TRUE;
}

/* Reads a string of printable ASCII without spaces into TEXT, of SIZE bytes,
   and fills the rest with zeros.  */
static gboolean
read_text (const msgpack_object *object, char *text, gsize size)
{
  struct str s;
  if (!read_str (object, (guint)size - 1, &s))
    return FALSE;
  for (gsize i = 0; i < s.n; i++)
    if (!g_ascii_isgraph (s.p[i]))
      return FALSE;
  memset (text, 0, size);
  if (s.n > 0)
    memcpy (text, s.p, s.n);
  return TRUE;
}

static gboolean
read_digest (const msgpack_object *object, guint8 *digest)
{
  if (object->type != MSGPACK_OBJECT_BIN
      || object->via.bin.size != MSG_KEY_BYTES)
    return FALSE;
  memcpy (digest, object->via.bin.ptr, MSG_KEY_BYTES);
  return TRUE;
}

static gboolean
read_ids (const msgpack_object *object, guint limit, struct str_id *ids)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > limit)
    return FALSE;
  memset (ids, 0, limit * sizeof *ids);
  for (guint i = 0; i < object->via.array.size; i++)
    if (!read_text (&object->via.array.ptr[i], ids[i].s, sizeof ids[i].s))
      return FALSE;
  return TRUE;
}

static gboolean
read_counts (const msgpack_object *object, guint limit, guint32 *counts)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != limit)
    return FALSE;
  for (guint i = 0; i < limit; i++)
    if (!read_u32 (&object->via.array.ptr[i], G_MAXUINT32, &counts[i]))
      return FALSE;
  return TRUE;
}

static gboolean read_record (const msgpack_object *objects, guint n,
                             const struct record *record, char *data,
                             msgpack_zone *zone);

static gboolean
read_list (const msgpack_object *object, const struct field *field, char *data,
           msgpack_zone *zone)
{
  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size > field->limit)
    return FALSE;
  guint n = object->via.array.size;
  gsize size = field->item->size;
  char *items = n ? msgpack_zone_malloc (zone, n * size) : NULL;
  if (n > 0 && items == NULL)
    return FALSE;
  for (guint i = 0; i < n; i++)
    {
      const msgpack_object *item = &object->via.array.ptr[i];
      memset (items + i * size, 0, size);
      if (item->type != MSGPACK_OBJECT_ARRAY
          || !read_record (item->via.array.ptr, item->via.array.size,
                           field->item, items + i * size, zone))
        return FALSE;
    }
  *(const char **)(data + field->offset) = items;
  *(guint *)(data + field->count_offset) = n;
  return TRUE;
}

static gboolean
read_field (const msgpack_object *object, const struct field *field, char *data,
            msgpack_zone *zone)
{
  void *at = data + field->offset;
  switch (field->type)
    {
    case FIELD_U64:
      return read_number (object, G_MAXUINT64, at);
    case FIELD_I64:
      return read_signed (object, at);
    case FIELD_U32:
      return read_u32 (object, G_MAXUINT32, at);
    case FIELD_ENUM:
      return read_u32 (object, field->limit - 1, at);
    case FIELD_BOOL:
      return read_bool (object, at);
    case FIELD_ID:
      return read_text (object, at, sizeof (struct str_id));
    case FIELD_ADDRESS:
      return read_text (object, at, ADDRESS_BYTES);
    case FIELD_DIGEST:
      return read_digest (object, at);
    case FIELD_STR:
      return read_str (object, field->limit, at);
    case FIELD_IDS:
      return read_ids (object, field->limit, at);
    case FIELD_COUNTS:
      return read_counts (object, field->limit, at);
    case FIELD_LIST:
      return read_list (object, field, data, zone);
    }
  return FALSE;
}

/* Reads the N OBJECTS into DATA, the struct of RECORD. Objects after the last
   field come from a newer release and are ignored.  */
static gboolean
read_record (const msgpack_object *objects, guint n,
             const struct record *record, char *data, msgpack_zone *zone)
{
  if (n < record->n_fields)
    return FALSE;
  for (guint i = 0; i < record->n_fields; i++)
    if (!read_field (&objects[i], &record->fields[i], data, zone))
      return FALSE;
  return TRUE;
}

/* Decodes DATA, one complete message. MSG borrows from DATA and from ARENA
   until ARENA is used again or freed. Returns 0, or ERR_PROTOCOL for anything
   but one complete message of a known kind within the limits.  */
int
mesh_decode (struct str data, struct msg *msg, struct mesh_arena *arena,
             struct err *err)
{
  msgpack_object root;
  size_t end = 0;
  guint64 kind;
  msgpack_zone_clear (&arena->zone);
  if (data.n == 0 || msgpack_check (data) != data.n
      || msgpack_unpack (data.p, data.n, &end, &arena->zone, &root)
             != MSGPACK_UNPACK_SUCCESS)
    return err_set (err, ERR_PROTOCOL, STEP, "",
                    "%" G_GSIZE_FORMAT " bytes are not one msgpack value",
                    data.n);
  if (root.type != MSGPACK_OBJECT_ARRAY || root.via.array.size == 0
      || !read_number (&root.via.array.ptr[0], MSG_N - 1, &kind))
    return err_set (err, ERR_PROTOCOL, STEP, "", "unknown message kind");
  memset (msg, 0, sizeof *msg);
  msg->kind = (enum msg_kind)kind;
  if (!read_record (root.via.array.ptr + 1, root.via.array.size - 1,
                    record_of_kind[kind], (char *)&msg->heartbeat,
                    &arena->zone))
    return err_set (err, ERR_PROTOCOL, STEP, "",
                    "invalid or missing field in %s",
                    msg_kind_name (msg->kind));
  return 0;
}
