#include "wire/mesh_handshake.h"

#include "base/msgpack_check.h"
#include "wire/mesh_codec.h"

#include <msgpack.h>
#include <string.h>

#define MAGIC "jacinthward"
#define HELLO_FIELDS 4 /* magic, version, id, nonce */
#define PROOF_FIELDS 1

static int
append (void *out, const char *bytes, size_t n)
{
  g_byte_array_append (out, (const guint8 *)bytes, (guint)n);
  return 0;
}

/* Appends the body of a HELLO frame to OUT.  */
void
mesh_encode_hello (const struct mesh_hello *hello, GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, append);
  msgpack_pack_array (&pk, HELLO_FIELDS);
  msgpack_pack_str_with_body (&pk, MAGIC, strlen (MAGIC));
  msgpack_pack_uint32 (&pk, MESH_PROTOCOL_VERSION);
  msgpack_pack_str_with_body (&pk, hello->id.s, strlen (hello->id.s));
  msgpack_pack_bin_with_body (&pk, hello->nonce, MESH_NONCE_BYTES);
}

/* Appends the body of a PROOF frame to OUT.  */
void
mesh_encode_proof (const guint8 proof[MESH_PROOF_BYTES], GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, append);
  msgpack_pack_array (&pk, PROOF_FIELDS);
  msgpack_pack_bin_with_body (&pk, proof, MESH_PROOF_BYTES);
}

/* Decodes DATA into ROOT, with memory of ZONE. Returns FALSE unless it is one
   array of at least N fields; further ones are ignored.  */
static gboolean
unpack_array (struct str data, guint n, msgpack_zone *zone,
              msgpack_object *root)
{
  size_t end = 0;
  return data.n > 0 && data.n <= MESH_HANDSHAKE_FRAME_MAX
         && msgpack_check (data) == data.n
         && msgpack_unpack (data.p, data.n, &end, zone, root)
                == MSGPACK_UNPACK_SUCCESS
         && root->type == MSGPACK_OBJECT_ARRAY && root->via.array.size >= n;
}

static struct str
get_str (const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_STR)
    return (struct str){ NULL, 0 };
  return (struct str){ object->via.str.ptr, object->via.str.size };
}

static gboolean
copy_bytes (const msgpack_object *object, guint8 *bytes, gsize n)
{
  if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != n)
    return FALSE;
  memcpy (bytes, object->via.bin.ptr, n);
  return TRUE;
}

static int
read_hello (const msgpack_object *fields, struct mesh_hello *hello,
            struct err *err)
{
  if (!str_eq (get_str (&fields[0]), STR_LIT (MAGIC)))
    return err_set (err, ERR_PROTOCOL, "wire.hello", "",
                    "the peer is not a Jacinthward instance");
  if (fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || fields[1].via.u64 != MESH_PROTOCOL_VERSION)
    return err_set (err, ERR_PROTOCOL, "wire.hello", "",
                    "unsupported protocol version, expected %d",
                    MESH_PROTOCOL_VERSION);
  struct str id = get_str (&fields[2]);
  if (!str_id_ok (id) || !str_id_set (&hello->id, id)
      || !copy_bytes (&fields[3], hello->nonce, MESH_NONCE_BYTES))
    return err_set (err, ERR_PROTOCOL, "wire.hello", "", "invalid id or nonce");
  return 0;
}

/* Decodes DATA, the body of a HELLO frame. Returns 0 or ERR_PROTOCOL.  */
int
mesh_decode_hello (struct str data, struct mesh_hello *hello, struct err *err)
{
  msgpack_zone zone;
  msgpack_object root;
  if (!msgpack_zone_init (&zone, MESH_HANDSHAKE_FRAME_MAX))
    g_error ("out of memory");
  int r = unpack_array (data, HELLO_FIELDS, &zone, &root)
              ? read_hello (root.via.array.ptr, hello, err)
              : err_set (err, ERR_PROTOCOL, "wire.hello", "",
                         "invalid HELLO frame");
  msgpack_zone_destroy (&zone);
  return r;
}

/* Decodes DATA, the body of a PROOF frame. Returns 0 or ERR_PROTOCOL.  */
int
mesh_decode_proof (struct str data, guint8 proof[MESH_PROOF_BYTES],
                   struct err *err)
{
  msgpack_zone zone;
  msgpack_object root;
  if (!msgpack_zone_init (&zone, MESH_HANDSHAKE_FRAME_MAX))
    g_error ("out of memory");
  gboolean ok = unpack_array (data, PROOF_FIELDS, &zone, &root)
                && copy_bytes (root.via.array.ptr, proof, MESH_PROOF_BYTES);
  msgpack_zone_destroy (&zone);
  return ok ? 0
            : err_set (err, ERR_PROTOCOL, "wire.proof", "",
                       "invalid PROOF frame");
}
