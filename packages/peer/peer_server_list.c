#include "peer/peer_server_list.h"

#include "base/msgpack_check.h"

#include "peer/peer_msgpack.h"

#include <string.h>

#define FIELDS 8 /* of an encoded entry of a regular server */
/* The entries of spot servers, and of servers with a stated end, have two more
   fields, which older instances ignore. */
#define FIELDS_SPOT 10
/* The entries of servers that state the version of their software have a
   further one. */
#define FIELDS_VERSION 11
#define LEAVING_MAX_US (G_GINT64_CONSTANT (1000000) * CLK_S)
#define CHANGES_NAME "changes"
#define CHANGES_FIELDS 4 /* of encoded changes */
#define HISTORY_KEPT 32  /* changes kept */

/* Returns a digest of the servers and their states. It is equal at instances
   that have read the same list.  */
guint64
server_list_digest (const struct registry_entry *entries, guint n)
{
  guint64 digest = 0;
  for (guint i = 0; i < n; i++)
    {
      guint64 seed = (guint64)entries[i].start_time_ms * 2 + entries[i].leaving;
      /* Otherwise a version lasts as long as the life. */
      if (entries[i].start_time_ms == 0 && entries[i].version[0] != '\0')
        seed = str_hash (str_of (entries[i].version), seed);
      digest ^= str_hash (str_of (entries[i].id), seed);
    }
  return digest;
}

/* Times are sent as ages or remaining times, because the clocks of instances
   differ. start_time_ms is sent unchanged, because the server itself reported
   it.  */
static void
pack_entry (msgpack_packer *pk, const struct registry_entry *entry, gint64 now)
{
  gboolean versioned = entry->version[0] != '\0';
  gboolean extended = versioned || entry->is_spot || entry->leaving_at != 0;
  msgpack_pack_array (pk, versioned  ? FIELDS_VERSION
                          : extended ? FIELDS_SPOT
                                     : FIELDS);
  peer_msgpack_pack_text (pk, entry->id);
  peer_msgpack_pack_text (pk, entry->service);
  peer_msgpack_pack_text (pk, entry->address);
  peer_msgpack_pack_text (pk, entry->domain);
  msgpack_pack_int64 (pk, entry->start_time_ms);
  msgpack_pack_uint32 (pk, entry->slots);
  msgpack_pack_int64 (pk, MAX (entry->warming_until - now, 0));
  entry->leaving ? msgpack_pack_true (pk) : msgpack_pack_false (pk);
  if (!extended)
    return;
  entry->is_spot ? msgpack_pack_true (pk) : msgpack_pack_false (pk);
  /* 0: not stated; an end that is due is 1 microsecond ahead. */
  msgpack_pack_int64 (
      pk, entry->leaving_at != 0 ? MAX (entry->leaving_at - now, 1) : 0);
  if (versioned)
    peer_msgpack_pack_text (pk, entry->version);
}

/* Appends LIST to OUT.  */
void
server_list_encode (const struct peer_server_list *list, gint64 now,
                    GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, peer_msgpack_append);
  msgpack_pack_array (&pk, 1 + (size_t)list->entries->len);
  msgpack_pack_int64 (&pk, now - list->requested_at);
  for (guint i = 0; i < list->entries->len; i++)
    pack_entry (&pk, &g_array_index (list->entries, struct registry_entry, i),
                now);
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

/* Reads the fields of an entry that older instances do not send.  */
static gboolean
read_extension (const msgpack_object_array *fields, gint64 requested_at,
                struct registry_entry *entry)
{
  gint64 left;
  if (fields->size < FIELDS_SPOT)
    return TRUE;
  if (fields->ptr[FIELDS].type != MSGPACK_OBJECT_BOOLEAN
      || !read_number (&fields->ptr[FIELDS + 1], &left)
      || left > LEAVING_MAX_US)
    return FALSE;
  entry->is_spot = fields->ptr[FIELDS].via.boolean;
  entry->leaving_at = left > 0 ? requested_at + left : 0;
  return fields->size < FIELDS_VERSION
         || (read_text (&fields->ptr[FIELDS_SPOT], entry->version,
                        sizeof entry->version)
             && str_id_ok (str_of (entry->version)));
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
  if (!read_extension (&object->via.array, requested_at, entry))
    return FALSE;
  return entry->id[0] != '\0' && str_id_ok (str_of (entry->id));
}

/* Appends the entries of ARRAY from index FROM on.  */
static gboolean
read_entries (const msgpack_object_array *array, guint from,
              gint64 requested_at, GArray *entries)
{
  for (guint i = from; i < array->size; i++)
    {
      struct registry_entry entry;
      if (!read_entry (&array->ptr[i], requested_at, &entry))
        return FALSE;
      g_array_append_val (entries, entry);
    }
  return TRUE;
}

/* Reads a whole list: its age and the entries.  */
static gboolean
read_list (const msgpack_object_array *array, gint64 requested_at,
           struct peer_server_list *list)
{
  gint64 age;
  if (array->size > 1 + SERVER_LIST_ENTRIES_MAX
      || !read_number (&array->ptr[0], &age))
    return FALSE;
  list->requested_at = requested_at - age;
  return read_entries (array, 1, requested_at, list->entries);
}

/* Appends to ENTRIES those of BASE whose ids are not in IDS.  */
static void
append_others (const GArray *base, GHashTable *ids, GArray *entries)
{
  for (guint i = 0; i < base->len; i++)
    {
      const struct registry_entry *entry
          = &g_array_index (base, struct registry_entry, i);
      if (!g_hash_table_contains (ids, entry->id))
        g_array_append_val (entries, *entry);
    }
}

/* Reads changes, a CHANGES_FIELDS array: the name, the age of the list, the new
   and changed entries, and the ids of the removed ones. BASE is the list
   without the changes.  */
static gboolean
read_changes (const msgpack_object_array *array, gint64 requested_at,
              const struct peer_server_list *base,
              struct peer_server_list *list)
{
  gint64 age;
  char name[sizeof CHANGES_NAME];
  if (base == NULL || base->entries == NULL || array->size != CHANGES_FIELDS
      || !read_text (&array->ptr[0], name, sizeof name)
      || strcmp (name, CHANGES_NAME) != 0 || !read_number (&array->ptr[1], &age)
      || array->ptr[2].type != MSGPACK_OBJECT_ARRAY
      || array->ptr[3].type != MSGPACK_OBJECT_ARRAY
      || array->ptr[2].via.array.size > SERVER_LIST_ENTRIES_MAX
      || array->ptr[3].via.array.size > SERVER_LIST_ENTRIES_MAX)
    return FALSE;
  const msgpack_object_array *removed = &array->ptr[3].via.array;
  list->requested_at = requested_at - age;
  if (!read_entries (&array->ptr[2].via.array, 0, requested_at, list->entries))
    return FALSE;
  GHashTable *ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gboolean ok = TRUE;
  for (guint i = 0; i < list->entries->len; i++)
    g_hash_table_add (
        ids,
        g_strdup (g_array_index (list->entries, struct registry_entry, i).id));
  for (guint i = 0; ok && i < removed->size; i++)
    {
      char id[STR_ID_MAX + 1];
      ok = read_text (&removed->ptr[i], id, sizeof id);
      if (ok)
        g_hash_table_add (ids, g_strdup (id));
    }
  append_others (base->entries, ids, list->entries);
  g_hash_table_unref (ids);
  return ok && list->entries->len <= SERVER_LIST_ENTRIES_MAX;
}

/* Decodes a list, or changes to BASE, that was requested from a peer at
   REQUESTED_AT. BASE may be NULL. Returns 0, and the user of LIST unrefs its
   entries, or ERR_PROTOCOL.  */
int
server_list_decode (struct str bytes, gint64 requested_at,
                    const struct peer_server_list *base,
                    struct peer_server_list *list, struct err *err)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  list->entries = g_array_new (FALSE, FALSE, sizeof (struct registry_entry));
  msgpack_unpacked_init (&unpacked);
  gboolean ok = msgpack_check (bytes) == bytes.n
                && msgpack_unpack_next (&unpacked, bytes.p, bytes.n, &at)
                       == MSGPACK_UNPACK_SUCCESS
                && at == bytes.n && unpacked.data.type == MSGPACK_OBJECT_ARRAY
                && unpacked.data.via.array.size > 0;
  if (ok)
    {
      const msgpack_object_array *array = &unpacked.data.via.array;
      ok = array->ptr[0].type == MSGPACK_OBJECT_STR
               ? read_changes (array, requested_at, base, list)
               : read_list (array, requested_at, list);
    }
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    {
      list->digest = server_list_digest (
          (const struct registry_entry *)list->entries->data,
          list->entries->len);
      return 0;
    }
  g_clear_pointer (&list->entries, g_array_unref);
  return err_set (err, ERR_PROTOCOL, "peer.list", "",
                  "malformed list of servers");
}

/* What has changed from one list to the next.  */
struct list_change
{
  guint64 base_digest; /* of the list before */
  GArray *entries;     /* new and changed ones, owned */
  GPtrArray *removed;  /* ids, owned */
};

struct server_list_history
{
  struct list_change changes[HISTORY_KEPT];
  guint64 n; /* added in total; the next goes to n % HISTORY_KEPT */
};

static void
change_clear (struct list_change *change)
{
  g_clear_pointer (&change->entries, g_array_unref);
  g_clear_pointer (&change->removed, g_ptr_array_unref);
}

struct server_list_history *
server_list_history_new (void)
{
  return g_new0 (struct server_list_history, 1);
}

void
server_list_history_free (struct server_list_history *history)
{
  if (history == NULL)
    return;
  for (guint i = 0; i < HISTORY_KEPT; i++)
    change_clear (&history->changes[i]);
  g_free (history);
}

/* Returns whether two entries of one id describe the same server in the same
   state. The remaining time of slowness after a start changes with each read
   and is left out.  */
static gboolean
same_entry (const struct registry_entry *a, const struct registry_entry *b)
{
  return a->start_time_ms == b->start_time_ms && a->leaving == b->leaving
         && a->slots == b->slots && a->is_spot == b->is_spot
         && strcmp (a->service, b->service) == 0
         && strcmp (a->address, b->address) == 0
         && strcmp (a->domain, b->domain) == 0;
}

/* Records that the list BEFORE was replaced by AFTER.  */
void
server_list_history_add (struct server_list_history *history,
                         const struct peer_server_list *before,
                         const struct peer_server_list *after)
{
  struct list_change *change = &history->changes[history->n % HISTORY_KEPT];
  GHashTable *old = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer id;
  change_clear (change);
  change->base_digest = before->digest;
  change->entries = g_array_new (FALSE, FALSE, sizeof (struct registry_entry));
  change->removed = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < before->entries->len; i++)
    {
      struct registry_entry *entry
          = &g_array_index (before->entries, struct registry_entry, i);
      g_hash_table_insert (old, entry->id, entry);
    }
  for (guint i = 0; i < after->entries->len; i++)
    {
      const struct registry_entry *entry
          = &g_array_index (after->entries, struct registry_entry, i);
      const struct registry_entry *was = g_hash_table_lookup (old, entry->id);
      if (was == NULL || !same_entry (was, entry))
        g_array_append_val (change->entries, *entry);
      if (was != NULL)
        g_hash_table_remove (old, entry->id);
    }
  g_hash_table_iter_init (&iter, old);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    g_ptr_array_add (change->removed, g_strdup (id));
  g_hash_table_unref (old);
  history->n++;
}

/* Collects in CHANGED the ids of all entries that changed from the list FROM
   on.  */
static void
collect_changes (const struct server_list_history *history, guint64 from,
                 GHashTable *changed)
{
  for (guint64 i = from; i < history->n; i++)
    {
      const struct list_change *change = &history->changes[i % HISTORY_KEPT];
      for (guint k = 0; k < change->entries->len; k++)
        g_hash_table_add (
            changed,
            g_array_index (change->entries, struct registry_entry, k).id);
      for (guint k = 0; k < change->removed->len; k++)
        g_hash_table_add (changed, g_ptr_array_index (change->removed, k));
    }
}

/* Appends to OUT what changed from the list with BASE_DIGEST to LIST, the
   newest one. Returns FALSE if the history does not go back to that list.  */
gboolean
server_list_history_encode (const struct server_list_history *history,
                            guint64 base_digest,
                            const struct peer_server_list *list, gint64 now,
                            GByteArray *out)
{
  guint64 oldest = history->n > HISTORY_KEPT ? history->n - HISTORY_KEPT : 0;
  guint64 from = history->n;
  if (base_digest != list->digest)
    do
      {
        if (from == oldest)
          return FALSE;
        from--;
      }
    while (history->changes[from % HISTORY_KEPT].base_digest != base_digest);
  GHashTable *changed = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *present = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer id;
  msgpack_packer pk;
  collect_changes (history, from, changed);
  for (guint i = 0; i < list->entries->len; i++)
    {
      struct registry_entry *entry
          = &g_array_index (list->entries, struct registry_entry, i);
      if (g_hash_table_remove (changed, entry->id))
        g_ptr_array_add (present, entry);
    }
  msgpack_packer_init (&pk, out, peer_msgpack_append);
  msgpack_pack_array (&pk, CHANGES_FIELDS);
  peer_msgpack_pack_text (&pk, CHANGES_NAME);
  msgpack_pack_int64 (&pk, now - list->requested_at);
  msgpack_pack_array (&pk, present->len);
  for (guint i = 0; i < present->len; i++)
    pack_entry (&pk, g_ptr_array_index (present, i), now);
  msgpack_pack_array (&pk, g_hash_table_size (changed));
  g_hash_table_iter_init (&iter, changed);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    peer_msgpack_pack_text (&pk, id);
  g_ptr_array_unref (present);
  g_hash_table_unref (changed);
  return TRUE;
}
