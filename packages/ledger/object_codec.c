#include "ledger/object_codec.h"

#include <msgpack.h>
#include <string.h>

#define FORMAT 1
#define VALUE_ITEMS 7    /* of a value */
#define RECORD_ITEMS 6   /* of a record without a response */
#define RESPONSE_ITEMS 3 /* that a response adds */
#define INGRESS_ITEMS 2
#define BUFFER_BYTES (8 * (gsize)1024) /* initial size of an encoding */

/* An encoding in progress. Its list of ingresses has the ones that its records
   use, in the order of their first use. */
struct encoder
{
  struct ledger_table *table;
  msgpack_packer pk;
  /* By the table's ingress index, guint32: the index in USED plus 1, or 0. */
  GArray *used_index;
  GArray *used; /* guint32, ingress indices of the table */
};

struct ledger_object
{
  GBytes *value;
  msgpack_unpacked unpacked;
  struct ledger_object_header header;
  const msgpack_object_array *records;
  const msgpack_object_array *ingresses;
};

static void
pack_bin (msgpack_packer *pk, const void *p, gsize n)
{
  msgpack_pack_bin (pk, n);
  msgpack_pack_bin_body (pk, p, n);
}

static void
pack_str (msgpack_packer *pk, struct str s)
{
  msgpack_pack_str (pk, s.n);
  msgpack_pack_str_body (pk, s.p, s.n);
}

/* Returns the index of INGRESS, a number of the table, in the encoded list, and
   adds it if needed.  */
static guint32
index_of_ingress (struct encoder *e, guint32 ingress)
{
  if (ingress >= e->used_index->len)
    g_array_set_size (e->used_index, e->table->ingresses->len);
  guint32 *used_index = &g_array_index (e->used_index, guint32, ingress);
  if (*used_index == 0)
    {
      g_array_append_val (e->used, ingress);
      *used_index = e->used->len;
    }
  return *used_index - 1;
}

static void
pack_record (struct encoder *e, const struct ledger_key_record *rec)
{
  msgpack_packer *pk = &e->pk;
  msgpack_pack_array (pk, rec->response ? RECORD_ITEMS + RESPONSE_ITEMS
                                        : RECORD_ITEMS);
  pack_bin (pk, rec->key, MSG_KEY_BYTES);
  pack_bin (pk, rec->body_digest, MSG_KEY_BYTES);
  msgpack_pack_uint8 (pk, rec->state);
  msgpack_pack_uint32 (pk, index_of_ingress (e, rec->ingress));
  msgpack_pack_uint64 (pk, rec->record_id);
  msgpack_pack_uint32 (pk, rec->time);
  if (!rec->response)
    return;
  msgpack_pack_uint32 (pk, rec->response->status);
  pack_str (pk, rec->response->content_type);
  pack_bin (pk, rec->response->body.p, rec->response->body.n);
}

static void
pack_ingresses (struct encoder *e)
{
  msgpack_pack_array (&e->pk, e->used->len);
  for (guint i = 0; i < e->used->len; i++)
    {
      const struct ledger_ingress *ingress = ledger_table_ingress_at (
          e->table, g_array_index (e->used, guint32, i));
      msgpack_pack_array (&e->pk, INGRESS_ITEMS);
      pack_str (&e->pk, str_of (ingress->id.s));
      msgpack_pack_uint64 (&e->pk, ingress->incarnation);
    }
}

/* Returns whether REC, of the base (OF_BASE) or the head, is replaced by a
   record from a later source.  */
static gboolean
is_replaced (const struct encoder *e, const struct ledger_object_parts *parts,
             const struct ledger_key_record *rec, gboolean of_base)
{
  if (parts->writes && g_hash_table_contains (parts->writes, rec))
    return TRUE;
  if (!of_base || !parts->head)
    return FALSE;
  const struct ledger_key_record *newer
      = ledger_table_find (e->table, rec->key);
  return newer && newer->seq == LEDGER_IN_HEAD;
}

/* Encodes a record of the base.  */
static void
pack_base_record (struct encoder *e, struct ledger_object_record *record)
{
  struct ledger_key_record *rec = &record->rec;
  rec->ingress = ledger_table_ingress_index (e->table, record->ingress,
                                             record->incarnation);
  if (rec->state == LEDGER_DONE)
    rec->response = ledger_response_new (record->status, record->content_type,
                                         record->body);
  pack_record (e, rec);
  g_free (rec->response);
}

/* Encodes the records of the base and of the head that are not replaced, or
   only counts them. Returns their number.  */
static guint
pack_older (struct encoder *e, const struct ledger_object_parts *parts,
            gboolean count_only)
{
  const GPtrArray *head = e->table->head;
  struct ledger_object_record record;
  guint n = 0;
  for (guint i = 0; parts->base && i < ledger_object_record_count (parts->base);
       i++)
    {
      ledger_object_record (parts->base, i, &record);
      if (is_replaced (e, parts, &record.rec, TRUE))
        continue;
      n++;
      if (!count_only)
        pack_base_record (e, &record);
    }
  for (guint i = 0; parts->head && i < head->len; i++)
    {
      if (is_replaced (e, parts, g_ptr_array_index (head, i), FALSE))
        continue;
      n++;
      if (!count_only)
        pack_record (e, g_ptr_array_index (head, i));
    }
  return n;
}

static void
pack_records (struct encoder *e, const struct ledger_object_parts *parts)
{
  guint n = parts->writes ? g_hash_table_size (parts->writes) : 0;
  msgpack_pack_array (&e->pk, n + pack_older (e, parts, TRUE));
  pack_older (e, parts, FALSE);
  if (!parts->writes)
    return;
  GHashTableIter iter;
  gpointer rec;
  g_hash_table_iter_init (&iter, parts->writes);
  while (g_hash_table_iter_next (&iter, &rec, NULL))
    pack_record (e, rec);
}

/* Returns the value with the records of PARTS; the caller unrefs it. Ingresses
   of the base are added to TABLE.  */
GBytes *
ledger_object_encode (const struct ledger_object_header *header,
                      struct ledger_table *table,
                      const struct ledger_object_parts *parts)
{
  msgpack_sbuffer buffer = { 0, g_malloc (BUFFER_BYTES), BUFFER_BYTES };
  struct encoder e = {
    .table = table,
    .used_index = g_array_new (FALSE, TRUE, sizeof (guint32)),
    .used = g_array_new (FALSE, FALSE, sizeof (guint32)),
  };
  msgpack_packer_init (&e.pk, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&e.pk, VALUE_ITEMS);
  msgpack_pack_uint8 (&e.pk, FORMAT);
  msgpack_pack_uint32 (&e.pk, header->first_segment);
  msgpack_pack_uint32 (&e.pk, header->next_segment);
  msgpack_pack_uint64 (&e.pk, header->rotated_version);
  msgpack_pack_uint32 (&e.pk, header->time);
  pack_records (&e, parts);
  pack_ingresses (&e);
  g_array_unref (e.used_index);
  g_array_unref (e.used);
  return g_bytes_new_with_free_func (buffer.data, buffer.size, g_free,
                                     buffer.data);
}

static gboolean
is_uint (const msgpack_object *o, guint64 max)
{
  return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= max;
}

static gboolean
is_bin (const msgpack_object *o, gsize min, gsize max)
{
  return o->type == MSGPACK_OBJECT_BIN && o->via.bin.size >= min
         && o->via.bin.size <= max;
}

static gboolean
is_str (const msgpack_object *o, gsize max)
{
  return o->type == MSGPACK_OBJECT_STR && o->via.str.size <= max;
}

static struct str
str_at (const msgpack_object *o)
{
  return (struct str){ o->via.str.ptr, o->via.str.size };
}

static gboolean
is_valid_ingress (const msgpack_object *o)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != INGRESS_ITEMS)
    return FALSE;
  const msgpack_object *v = o->via.array.ptr;
  return is_str (&v[0], STR_ID_MAX) && is_uint (&v[1], G_MAXUINT64);
}

static gboolean
is_valid_record (const msgpack_object *o, guint n_ingresses)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < RECORD_ITEMS)
    return FALSE;
  const msgpack_object *v = o->via.array.ptr;
  if (!is_bin (&v[0], MSG_KEY_BYTES, MSG_KEY_BYTES)
      || !is_bin (&v[1], MSG_KEY_BYTES, MSG_KEY_BYTES)
      || !is_uint (&v[2], LEDGER_RELEASED) || !is_uint (&v[3], G_MAXUINT32)
      || !is_uint (&v[4], G_MAXUINT64) || !is_uint (&v[5], G_MAXUINT32))
    return FALSE;
  if (v[3].via.u64 >= n_ingresses || v[2].via.u64 == LEDGER_NONE)
    return FALSE;
  if (v[2].via.u64 != LEDGER_DONE)
    return o->via.array.size == RECORD_ITEMS;
  return o->via.array.size == RECORD_ITEMS + RESPONSE_ITEMS
         && is_uint (&v[6], G_MAXUINT32) && is_str (&v[7], G_MAXUINT8)
         && is_bin (&v[8], 0, MSG_RESPONSE_MAX);
}

static gboolean
is_valid_header (const msgpack_object *o)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != VALUE_ITEMS)
    return FALSE;
  const msgpack_object *v = o->via.array.ptr;
  return is_uint (&v[0], FORMAT) && v[0].via.u64 == FORMAT
         && is_uint (&v[1], G_MAXUINT32 - 1) && is_uint (&v[2], G_MAXUINT32 - 1)
         && is_uint (&v[3], G_MAXUINT64) && is_uint (&v[4], G_MAXUINT32)
         && v[1].via.u64 <= v[2].via.u64 && v[5].type == MSGPACK_OBJECT_ARRAY
         && v[6].type == MSGPACK_OBJECT_ARRAY;
}

/* Validates the complete value and sets the header and arrays of OBJ.  */
static gboolean
read_value (struct ledger_object *obj)
{
  const msgpack_object *root = &obj->unpacked.data;
  if (!is_valid_header (root))
    return FALSE;
  const msgpack_object *v = root->via.array.ptr;
  obj->header
      = (struct ledger_object_header){ (guint32)v[1].via.u64,
                                       (guint32)v[2].via.u64, v[3].via.u64,
                                       (guint32)v[4].via.u64 };
  obj->records = &v[5].via.array;
  obj->ingresses = &v[6].via.array;
  for (guint i = 0; i < obj->ingresses->size; i++)
    if (!is_valid_ingress (&obj->ingresses->ptr[i]))
      return FALSE;
  for (guint i = 0; i < obj->records->size; i++)
    if (!is_valid_record (&obj->records->ptr[i], obj->ingresses->size))
      return FALSE;
  return TRUE;
}

/* Decodes VALUE into *OBJ, which the caller frees by ledger_object_free.
   Returns ERR_PROTOCOL, with *OBJ NULL, if it is not the value of a ledger
   object.  */
int
ledger_object_decode (GBytes *value, struct ledger_object **obj)
{
  gsize n = 0;
  const char *p = value ? g_bytes_get_data (value, &n) : NULL;
  *obj = NULL;
  if (!p)
    return ERR_PROTOCOL;
  struct ledger_object *o = g_new0 (struct ledger_object, 1);
  o->value = g_bytes_ref (value);
  msgpack_unpacked_init (&o->unpacked);
  if (msgpack_unpack_next (&o->unpacked, p, n, NULL) != MSGPACK_UNPACK_SUCCESS
      || !read_value (o))
    {
      ledger_object_free (o);
      return ERR_PROTOCOL;
    }
  *obj = o;
  return 0;
}

void
ledger_object_free (struct ledger_object *obj)
{
  if (!obj)
    return;
  msgpack_unpacked_destroy (&obj->unpacked);
  g_bytes_unref (obj->value);
  g_free (obj);
}

const struct ledger_object_header *
ledger_object_header (const struct ledger_object *obj)
{
  return &obj->header;
}

guint
ledger_object_record_count (const struct ledger_object *obj)
{
  return obj->records->size;
}

/* Reads record I of OBJ into RECORD, whose strings borrow from OBJ.  */
void
ledger_object_record (const struct ledger_object *obj, guint i,
                      struct ledger_object_record *record)
{
  const msgpack_object_array *a = &obj->records->ptr[i].via.array;
  const msgpack_object *v = a->ptr;
  const msgpack_object *ingress
      = obj->ingresses->ptr[v[3].via.u64].via.array.ptr;
  memset (record, 0, sizeof *record);
  memcpy (record->rec.key, v[0].via.bin.ptr, MSG_KEY_BYTES);
  memcpy (record->rec.body_digest, v[1].via.bin.ptr, MSG_KEY_BYTES);
  record->rec.state = (guint8)v[2].via.u64;
  record->rec.record_id = v[4].via.u64;
  record->rec.time = (guint32)v[5].via.u64;
  record->ingress = str_at (&ingress[0]);
  record->incarnation = ingress[1].via.u64;
  if (a->size == RECORD_ITEMS)
    return;
  record->status = (guint32)v[6].via.u64;
  record->content_type = str_at (&v[7]);
  record->body = (struct str){ v[8].via.bin.ptr, v[8].via.bin.size };
}
