#include "peer/stream_inquiry.h"

#include "base/msgpack_check.h"
#include "peer/peer_msgpack.h"

#define FIELDS 4        /* kind, key, service, version */
#define REPORT_FIELDS 2 /* kind, text */
#define FIXARRAY 0x90   /* msgpack: an array of up to 15 elements */

/* Returns whether a datagram is such a message, by its first element. It may
   still be malformed.  */
gboolean
stream_inquiry_is (struct str bytes)
{
  return bytes.n > 2 && ((guint8)bytes.p[0] & 0xf0) == FIXARRAY
         && (bytes.p[1] == STREAM_INQUIRY_QUESTION
             || bytes.p[1] == STREAM_INQUIRY_ANSWER
             || bytes.p[1] == STREAM_INQUIRY_REPORT);
}

/* Appends INQUIRY to OUT. An answer without a service says that the stream is
   unknown; one whose service is empty, that its place is ambiguous.  */
void
stream_inquiry_encode (const struct stream_inquiry *inquiry, GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, peer_msgpack_append);
  if (inquiry->kind == STREAM_INQUIRY_REPORT)
    {
      msgpack_pack_array (&pk, REPORT_FIELDS);
      msgpack_pack_int (&pk, inquiry->kind);
      msgpack_pack_str (&pk, inquiry->report.n);
      msgpack_pack_str_body (&pk, inquiry->report.p, inquiry->report.n);
      return;
    }
  gboolean has_place
      = inquiry->kind == STREAM_INQUIRY_ANSWER && inquiry->is_known;
  msgpack_pack_array (&pk, has_place ? FIELDS : FIELDS - 2);
  msgpack_pack_int (&pk, inquiry->kind);
  msgpack_pack_uint64 (&pk, inquiry->key);
  if (!has_place)
    return;
  peer_msgpack_pack_text (&pk, inquiry->place.service);
  peer_msgpack_pack_text (&pk, inquiry->place.version);
}

static gboolean
read_text (const msgpack_object *object, char text[STR_ID_MAX + 1])
{
  if (object->type != MSGPACK_OBJECT_STR)
    return FALSE;
  struct str s = { object->via.str.ptr, object->via.str.size };
  text[0] = '\0';
  if (s.n == 0)
    return TRUE;
  if (!str_id_ok (s))
    return FALSE;
  memcpy (text, s.p, s.n);
  text[s.n] = '\0';
  return TRUE;
}

static gboolean
read_inquiry (const msgpack_object *root, struct stream_inquiry *inquiry)
{
  const msgpack_object *f = root->via.array.ptr;
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < FIELDS - 2
      || f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return FALSE;
  inquiry->kind = (enum stream_inquiry_kind)f[0].via.u64;
  if (inquiry->kind == STREAM_INQUIRY_REPORT)
    {
      inquiry->report = (struct str){ f[1].via.str.ptr, f[1].via.str.size };
      return f[1].type == MSGPACK_OBJECT_STR;
    }
  if (f[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return FALSE;
  inquiry->key = f[1].via.u64;
  inquiry->is_known = root->via.array.size >= FIELDS;
  if (!inquiry->is_known)
    return TRUE;
  if (!read_text (&f[2], inquiry->place.service)
      || !read_text (&f[3], inquiry->place.version))
    return FALSE;
  inquiry->place.is_ambiguous = inquiry->place.service[0] == '\0';
  return TRUE;
}

/* Decodes a message, which must fill BYTES; a report is borrowed from these.
   Returns 0 or ERR_PROTOCOL.  */
int
stream_inquiry_decode (struct str bytes, struct stream_inquiry *inquiry,
                       struct err *err)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  *inquiry = (struct stream_inquiry){ 0 };
  msgpack_unpacked_init (&unpacked);
  gboolean ok = stream_inquiry_is (bytes) && msgpack_check (bytes) == bytes.n
                && msgpack_unpack_next (&unpacked, bytes.p, bytes.n, &at)
                       == MSGPACK_UNPACK_SUCCESS
                && at == bytes.n && read_inquiry (&unpacked.data, inquiry);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    return err_set (err, ERR_PROTOCOL, "peer.decode", "",
                    "malformed question or answer about a stream");
  return 0;
}
