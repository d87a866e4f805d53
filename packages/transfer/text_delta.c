#include "transfer/text_delta.h"

#include "base/msgpack_check.h"

#include "peer/peer_msgpack.h"

#include <gio/gio.h>

/* Texts are compared by parts that end with this character, or are so long. */
#define PART_END '}'
#define PART_MAX 4096
#define FIELDS 3 /* of a delta: digest of the text, its length, operations */
#define COPY_FIELDS 2 /* of an operation: begin and length in the base */
/* Operations that are encoded; a delta with more is none. */
#define OPERATIONS_MAX 16000
#define COMPRESSION_LEVEL 1
#define CONVERT_BYTES 65536

static struct str
next_part (struct str *text)
{
  gsize limit = MIN (text->n, PART_MAX);
  const char *end = memchr (text->p, PART_END, limit);
  struct str part = { text->p, end ? (gsize)(end - text->p) + 1 : limit };
  text->p += part.n;
  text->n -= part.n;
  return part;
}

static guint
part_hash (gconstpointer key)
{
  return (guint)str_hash (*(const struct str *)key, 0);
}

static gboolean
part_equal (gconstpointer a, gconstpointer b)
{
  return str_eq (*(const struct str *)a, *(const struct str *)b);
}

/* A part of the new text: bytes of the base, or of its own.  */
struct operation
{
  struct str bytes;
  gboolean is_copy;
};

/* Returns whether the bytes of the base that follow OPERATION are PART.  */
static gboolean
continues (const struct operation *operation, struct str base, struct str part)
{
  const char *next = operation->bytes.p + operation->bytes.n;
  return operation->is_copy && part.n <= (gsize)(base.p + base.n - next)
         && memcmp (next, part.p, part.n) == 0;
}

/* Appends PART of the new text to OPERATIONS. FOUND is where the base has it;
   NULL: nowhere.  */
static void
add_part (GArray *operations, struct str base, struct str part,
          const struct str *found)
{
  struct operation *last
      = operations->len > 0
            ? &g_array_index (operations, struct operation, operations->len - 1)
            : NULL;
  if (last != NULL
      && (last->is_copy ? continues (last, base, part) : found == NULL))
    {
      last->bytes.n += part.n;
      return;
    }
  struct operation operation
      = { .bytes = found != NULL ? *found : part, .is_copy = found != NULL };
  g_array_append_val (operations, operation);
}

/* Returns BYTES after CONVERTER; NULL if that fails or takes more than MAX
   bytes.  */
static GBytes *
convert (GConverter *converter, struct str bytes, gsize max)
{
  GByteArray *out = g_byte_array_new ();
  guint8 buffer[CONVERT_BYTES];
  GConverterResult result = G_CONVERTER_CONVERTED;
  while (result != G_CONVERTER_FINISHED)
    {
      gsize n_read = 0;
      gsize n_written = 0;
      result = g_converter_convert (converter, bytes.p, bytes.n, buffer,
                                    sizeof buffer, G_CONVERTER_INPUT_AT_END,
                                    &n_read, &n_written, NULL);
      if (result == G_CONVERTER_ERROR || n_written > max - out->len)
        {
          g_byte_array_unref (out);
          return NULL;
        }
      bytes.p += n_read;
      bytes.n -= n_read;
      g_byte_array_append (out, buffer, (guint)n_written);
    }
  return g_byte_array_free_to_bytes (out);
}

static void
pack_operations (const GArray *operations, struct str base, struct str text,
                 GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, peer_msgpack_append);
  msgpack_pack_array (&pk, FIELDS);
  msgpack_pack_uint64 (&pk, str_hash (text, 0));
  msgpack_pack_uint64 (&pk, text.n);
  msgpack_pack_array (&pk, operations->len);
  for (guint i = 0; i < operations->len; i++)
    {
      const struct operation *operation
          = &g_array_index (operations, struct operation, i);
      if (operation->is_copy)
        {
          msgpack_pack_array (&pk, COPY_FIELDS);
          msgpack_pack_uint64 (&pk, (guint64)(operation->bytes.p - base.p));
          msgpack_pack_uint64 (&pk, operation->bytes.n);
          continue;
        }
      msgpack_pack_bin (&pk, operation->bytes.n);
      msgpack_pack_bin_body (&pk, operation->bytes.p, operation->bytes.n);
    }
}

/* Returns what changes BASE to TEXT, owned by the caller; NULL if that is too
   much.  */
GBytes *
text_delta_encode (struct str base, struct str text)
{
  GHashTable *parts
      = g_hash_table_new_full (part_hash, part_equal, g_free, NULL);
  GArray *operations = g_array_new (FALSE, FALSE, sizeof (struct operation));
  GByteArray *packed = g_byte_array_new ();
  GBytes *delta = NULL;
  struct str rest = base;
  while (rest.n > 0)
    {
      struct str part = next_part (&rest);
      g_hash_table_add (parts, g_memdup2 (&part, sizeof part));
    }
  for (rest = text; rest.n > 0 && operations->len <= OPERATIONS_MAX;)
    {
      struct str part = next_part (&rest);
      add_part (operations, base, part, g_hash_table_lookup (parts, &part));
    }
  if (operations->len <= OPERATIONS_MAX)
    {
      g_autoptr (GZlibCompressor) compressor = g_zlib_compressor_new (
          G_ZLIB_COMPRESSOR_FORMAT_RAW, COMPRESSION_LEVEL);
      pack_operations (operations, base, text, packed);
      delta = convert (G_CONVERTER (compressor),
                       (struct str){ (const char *)packed->data, packed->len },
                       G_MAXUINT32);
    }
  g_byte_array_unref (packed);
  g_array_unref (operations);
  g_hash_table_unref (parts);
  return delta;
}

/* Appends the bytes of OPERATION to OUT, MAX at most.  */
static gboolean
apply_operation (const msgpack_object *operation, struct str base, gsize max,
                 GByteArray *out)
{
  struct str bytes;
  if (operation->type == MSGPACK_OBJECT_BIN)
    bytes = (struct str){ operation->via.bin.ptr, operation->via.bin.size };
  else
    {
      const msgpack_object *fields = operation->via.array.ptr;
      if (operation->type != MSGPACK_OBJECT_ARRAY
          || operation->via.array.size != COPY_FIELDS
          || fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
          || fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER
          || fields[0].via.u64 > base.n
          || fields[1].via.u64 > base.n - fields[0].via.u64)
        return FALSE;
      bytes = (struct str){ base.p + fields[0].via.u64, fields[1].via.u64 };
    }
  if (bytes.n > max - out->len)
    return FALSE;
  g_byte_array_append (out, (const guint8 *)bytes.p, (guint)bytes.n);
  return TRUE;
}

/* Applies an unpacked delta to BASE. Returns the text, or NULL.  */
static GBytes *
apply_fields (const msgpack_object *root, struct str base, gsize max)
{
  const msgpack_object *fields = root->via.array.ptr;
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != FIELDS
      || fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || fields[1].via.u64 > max || fields[2].type != MSGPACK_OBJECT_ARRAY)
    return NULL;
  gsize n = fields[1].via.u64;
  const msgpack_object_array *operations = &fields[2].via.array;
  GByteArray *out = g_byte_array_sized_new ((guint)n);
  gboolean ok = TRUE;
  for (guint i = 0; ok && i < operations->size; i++)
    ok = apply_operation (&operations->ptr[i], base, n, out);
  ok = ok && out->len == n
       && str_hash ((struct str){ (const char *)out->data, out->len }, 0)
              == fields[0].via.u64;
  if (ok)
    return g_byte_array_free_to_bytes (out);
  g_byte_array_unref (out);
  return NULL;
}

/* Applies DELTA to BASE. Returns the text, MAX bytes long at most and owned by
   the caller, or NULL with ERR set, also if DELTA was made for another base. */
GBytes *
text_delta_apply (struct str base, struct str delta, gsize max, struct err *err)
{
  g_autoptr (GZlibDecompressor) decompressor
      = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_RAW);
  g_autoptr (GBytes) packed = convert (G_CONVERTER (decompressor), delta, max);
  GBytes *text = NULL;
  if (packed != NULL)
    {
      msgpack_unpacked unpacked;
      size_t at = 0;
      gsize n;
      const char *p = g_bytes_get_data (packed, &n);
      msgpack_unpacked_init (&unpacked);
      if (msgpack_check ((struct str){ p, n }) == n
          && msgpack_unpack_next (&unpacked, p, n, &at)
                 == MSGPACK_UNPACK_SUCCESS)
        text = apply_fields (&unpacked.data, base, max);
      msgpack_unpacked_destroy (&unpacked);
    }
  if (text == NULL)
    err_set (err, ERR_PROTOCOL, "peer.delta", "",
             "changes that are malformed, or not to the text that is known");
  return text;
}
