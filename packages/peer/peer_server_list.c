#include "peer/peer_server_list.h"

#include "base/msgpack_check.h"

#include "peer/peer_msgpack.h"

#include <string.h>

#define FIELDS 8 /* of an encoded entry */

/* Appends LIST to OUT. Times are sent as ages or remaining times, because the
   clocks of instances differ. start_time_ms is sent unchanged, because the
   server itself reported it.  */
void
server_list_encode (const struct peer_server_list *list, gint64 now,
                    GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, peer_msgpack_append);
  msgpack_pack_array (&pk, 1 + (size_t)list->entries->len);
  msgpack_pack_int64 (&pk, now - list->requested_at);
  for (guint i = 0; i < list->entries->len; i++)
    {
      const struct registry_entry *entry
          = &g_array_index (list->entries, struct registry_entry, i);
      msgpack_pack_array (&pk, FIELDS);
      peer_msgpack_pack_text (&pk, entry->id);
      peer_msgpack_pack_text (&pk, entry->service);
      peer_msgpack_pack_text (&pk, entry->address);
      peer_msgpack_pack_text (&pk, entry->domain);
      msgpack_pack_int64 (&pk, entry->start_time_ms);
      msgpack_pack_uint32 (&pk, entry->slots);
      msgpack_pack_int64 (&pk, MAX (entry->warming_until - now, 0));
      entry->leaving ? msgpack_pack_true (&pk) : msgpack_pack_false (&pk);
    }
}

static gboolean
read_text (const msgpack_object *object, char *text, gsize size)
{
  if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size
      || memchr (object->via.str.ptr, '\0', object->via.str.size) != NULL)
    return FALSE;
  memcpy (text, object->via.str.ptr, object->via.str.size);
  text[object->via.str.size] = '\0';
  return TRUE;
}

static gboolean
read_number (const msgpack_object *object, gint64 *number)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || object->via.u64 > G_MAXINT64)
    return FALSE;
  *number = (gint64)object->via.u64;
  return TRUE;
}

static gboolean
read_entry (const msgpack_object *object, gint64 requested_at,
            struct registry_entry *entry)
{
  const msgpack_object *f = object->via.array.ptr;
  gint64 slots;
  gint64 cold;
  memset (entry, 0, sizeof *entry);
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < FIELDS
      || !read_text (&f[0], entry->id, sizeof entry->id)
      || !read_text (&f[1], entry->service, sizeof entry->service)
      || !read_text (&f[2], entry->address, sizeof entry->address)
      || !read_text (&f[3], entry->domain, sizeof entry->domain)
      || !read_number (&f[4], &entry->start_time_ms)
      || !read_number (&f[5], &slots) || !read_number (&f[6], &cold)
      || f[7].type != MSGPACK_OBJECT_BOOLEAN || slots < 1 || slots > G_MAXINT32)
    return FALSE;
  entry->slots = (guint)slots;
  entry->warming_until = cold > 0 ? requested_at + cold : 0;
  entry->leaving = f[7].via.boolean;
  return entry->id[0] != '\0' && str_id_ok (str_of (entry->id));
}

static gboolean
read_list (const msgpack_object *root, gint64 requested_at,
           struct peer_server_list *list)
{
  gint64 age;
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 1
      || root->via.array.size > 1 + SERVER_LIST_ENTRIES_MAX
      || !read_number (&root->via.array.ptr[0], &age))
    return FALSE;
  list->requested_at = requested_at - age;
  for (guint i = 1; i < root->via.array.size; i++)
    {
      struct registry_entry entry;
      if (!read_entry (&root->via.array.ptr[i], requested_at, &entry))
        return FALSE;
      g_array_append_val (list->entries, entry);
    }
  return TRUE;
}

/* Decodes a list that was requested from a peer at REQUESTED_AT. Returns 0, and
   the user of LIST unrefs its entries, or ERR_PROTOCOL.  */
int
server_list_decode (struct str bytes, gint64 requested_at,
                    struct peer_server_list *list, struct err *err)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  list->entries = g_array_new (FALSE, FALSE, sizeof (struct registry_entry));
  msgpack_unpacked_init (&unpacked);
  gboolean ok = msgpack_check (bytes) == bytes.n
                && msgpack_unpack_next (&unpacked, bytes.p, bytes.n, &at)
                       == MSGPACK_UNPACK_SUCCESS
                && at == bytes.n
                && read_list (&unpacked.data, requested_at, list);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return 0;
  g_clear_pointer (&list->entries, g_array_unref);
  return err_set (err, ERR_PROTOCOL, "peer.list", "",
                  "malformed list of servers");
}
