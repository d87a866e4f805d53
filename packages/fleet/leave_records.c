#include "fleet/leave_records.h"

#include "fleet/registry.h"

#include <string.h>

/* A record is kept for this time after the server was last listed or said that
   it is leaving. An older copy of the list is not read after so long. */
#define KEPT_US (3600 * CLK_S)

struct leave_record
{
  gint64 start_time_ms; /* of the life that ends; 0: unknown */
  char service[STR_ID_MAX + 1];
  char address[ERR_PEER_MAX];
  gint64 said_at; /* clock time of the first response that says so */
  gint64 last_at; /* of the last one, also of an attempt at an earlier life */
  gint64 used_at; /* clock time of the last use of the record */
  gint64 next_start_time_ms; /* of the life that was last compared with this
                                one; 0: none */
  gint64 next_from;          /* its first response came then at the earliest */
};

struct leave_records
{
  GHashTable *by_id; /* server id: struct leave_record, both owned */
};

struct leave_records *
leave_records_new (void)
{
  struct leave_records *leave_records = g_new0 (struct leave_records, 1);
  leave_records->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return leave_records;
}

void
leave_records_free (struct leave_records *leave_records)
{
  if (leave_records == NULL)
    return;
  g_hash_table_unref (leave_records->by_id);
  g_free (leave_records);
}

/* Returns whether ENTRY describes the life of RECORD or an earlier one. Without
   start times, another service or address means another server.  */
static gboolean
covers (const struct leave_record *record, const struct registry_entry *entry)
{
  if (record->start_time_ms != 0 && entry->start_time_ms != 0)
    return entry->start_time_ms <= record->start_time_ms;
  return strcmp (record->service, entry->service) == 0
         && strcmp (record->address, entry->address) == 0;
}

/* Records that the server of ENTRY has said at NOW that it is leaving, and
   before that at FIRST_AT.  */
void
leave_records_add (struct leave_records *leave_records,
                   const struct registry_entry *entry, gint64 first_at,
                   gint64 now)
{
  struct leave_record *record
      = g_hash_table_lookup (leave_records->by_id, entry->id);
  if (record == NULL || !covers (record, entry))
    {
      record = g_new0 (struct leave_record, 1);
      record->start_time_ms = entry->start_time_ms;
      g_strlcpy (record->service, entry->service, sizeof record->service);
      g_strlcpy (record->address, entry->address, sizeof record->address);
      record->said_at = first_at;
      g_hash_table_replace (leave_records->by_id, g_strdup (entry->id), record);
    }
  record->last_at = record->used_at = now;
}

/* Returns the clock time at which the server of ENTRY first said, in this life,
   that it is leaving; 0: it has not.  */
gint64
leave_records_find (struct leave_records *leave_records,
                    const struct registry_entry *entry, gint64 now)
{
  struct leave_record *record
      = g_hash_table_lookup (leave_records->by_id, entry->id);
  if (record == NULL || !covers (record, entry))
    return 0;
  record->used_at = now;
  return record->said_at;
}

/* Returns the clock time before which no response can have been of the life of
   ENTRY: FROM, or what it was when that life was listed before.  */
gint64
leave_records_first_response (const struct leave_records *leave_records,
                              const struct registry_entry *entry, gint64 from)
{
  const struct leave_record *record
      = g_hash_table_lookup (leave_records->by_id, entry->id);
  return record != NULL && from != 0
                 && record->next_start_time_ms == entry->start_time_ms
             ? record->next_from
             : from;
}

/* Returns the clock time, FROM at the earliest, at which a response to an
   attempt at an earlier life of ENTRY may first have said that the server is
   leaving; 0: none has at FROM or later. Such a response is of the life of
   ENTRY if that began before it. An attempt at another address or service
   cannot have reached that life.  */
gint64
leave_records_find_earlier (struct leave_records *leave_records,
                            const struct registry_entry *entry, gint64 from,
                            gint64 now)
{
  struct leave_record *record
      = g_hash_table_lookup (leave_records->by_id, entry->id);
  if (record == NULL || covers (record, entry)
      || strcmp (record->service, entry->service) != 0
      || strcmp (record->address, entry->address) != 0)
    return 0;
  record->next_start_time_ms = entry->start_time_ms;
  record->next_from = from;
  record->used_at = now;
  return record->last_at >= from ? MAX (record->said_at, from) : 0;
}

/* Removes the records that were not used for KEPT_US.  */
void
leave_records_expire (struct leave_records *leave_records, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, leave_records->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((const struct leave_record *)value)->used_at > KEPT_US)
      g_hash_table_iter_remove (&iter);
}
