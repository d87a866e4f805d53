#include "peer/pfl.h"

#include "base/msgpack_check.h"

#include "peer/pmp.h"

#include <string.h>

#define FIELDS 8 /* of an entry */

/* Appends LIST with its age, as instances' clocks differ.  */
void
pfl_encode (const struct pfl *list, gint64 now, GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, pmp_append);
  msgpack_pack_array (&pk, 1 + (size_t)list->entries->len);
  msgpack_pack_int64 (&pk, now - list->asked);
  for (guint i = 0; i < list->entries->len; i++)
    {
      const struct flt_entry *entry
          = &g_array_index (list->entries, struct flt_entry, i);
      msgpack_pack_array (&pk, FIELDS);
      pmp_text (&pk, entry->id);
      pmp_text (&pk, entry->service);
      pmp_text (&pk, entry->address);
      pmp_text (&pk, entry->domain);
      msgpack_pack_int64 (&pk, entry->born);
      msgpack_pack_uint32 (&pk, entry->slots);
      msgpack_pack_int64 (&pk, MAX (entry->cold_until - now, 0));
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
read_entry (const msgpack_object *object, gint64 asked, struct flt_entry *entry)
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
      || !read_number (&f[4], &entry->born) || !read_number (&f[5], &slots)
      || !read_number (&f[6], &cold) || f[7].type != MSGPACK_OBJECT_BOOLEAN
      || slots < 1 || slots > G_MAXINT32)
    return FALSE;
  entry->slots = (guint)slots;
  entry->cold_until = cold > 0 ? asked + cold : 0;
  entry->leaving = f[7].via.boolean;
  return entry->id[0] != '\0' && str_id_ok (str_of (entry->id));
}

static gboolean
read_list (const msgpack_object *root, gint64 asked, struct pfl *list)
{
  gint64 age;
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 1
      || root->via.array.size > 1 + PFL_ENTRIES_MAX
      || !read_number (&root->via.array.ptr[0], &age))
    return FALSE;
  list->asked = asked - age;
  for (guint i = 1; i < root->via.array.size; i++)
    {
      struct flt_entry entry;
      if (!read_entry (&root->via.array.ptr[i], asked, &entry))
        return FALSE;
      g_array_append_val (list->entries, entry);
    }
  return TRUE;
}

/* Reads a list for which a peer was asked at ASKED. Returns 0, and the caller
   unrefs the entries, or ERR_PROTOCOL.  */
int
pfl_decode (struct str bytes, gint64 asked, struct pfl *list, struct err *err)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  list->entries = g_array_new (FALSE, FALSE, sizeof (struct flt_entry));
  msgpack_unpacked_init (&unpacked);
  gboolean ok = msgpack_check (bytes) == bytes.n
                && msgpack_unpack_next (&unpacked, bytes.p, bytes.n, &at)
                       == MSGPACK_UNPACK_SUCCESS
                && at == bytes.n && read_list (&unpacked.data, asked, list);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return 0;
  g_clear_pointer (&list->entries, g_array_unref);
  return err_set (err, ERR_PROTOCOL, "peer.list", "", "not a list of servers");
}
