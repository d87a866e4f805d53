#include "cell/queued_request.h"

#include <string.h>

static guint
queued_hash (gconstpointer p)
{
  const struct queued_request *queued_request = p;
  guint64 h = queued_request->id * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  return (guint)(h >> 32) ^ g_direct_hash (queued_request->ent);
}

static gboolean
queued_equal (gconstpointer a, gconstpointer b)
{
  const struct queued_request *x = a;
  const struct queued_request *y = b;
  return x->id == y->id && x->ent == y->ent;
}

void
queued_table_init (struct queued_table *table)
{
  table->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->tickets
      = g_hash_table_new_full (queued_hash, queued_equal, NULL, g_free);
  g_queue_init (&table->by_heard);
}

/* Frees all tickets; the queues that held them must be gone before.  */
void
queued_table_clear (struct queued_table *table)
{
  g_hash_table_destroy (table->tickets);
  g_hash_table_destroy (table->entries);
}

/* Returns the entry instance FROM, or NULL if it has no tickets.  */
struct ent *
queued_find_ingress (const struct queued_table *table, const char *from)
{
  return g_hash_table_lookup (table->entries, from);
}

/* Returns the ticket ID of instance FROM, or NULL.  */
struct queued_request *
queued_find (const struct queued_table *table, const char *from, guint64 id)
{
  struct queued_request key
      = { .ent = queued_find_ingress (table, from), .id = id };
  return key.ent ? g_hash_table_lookup (table->tickets, &key) : NULL;
}

/* Tells whether queued_add can take one more ticket of instance FROM.  */
gboolean
queued_has_room (const struct queued_table *table, const char *from)
{
  return strlen (from) <= STR_ID_MAX
         && g_hash_table_size (table->tickets) < QUEUED_MAX
         && (queued_find_ingress (table, from)
             || g_hash_table_size (table->entries) < QUEUED_INGRESSES_MAX);
}

static struct ent *
entry_add (struct queued_table *table, const char *from)
{
  struct ent *ent = queued_find_ingress (table, from);
  if (ent)
    return ent;
  ent = g_new0 (struct ent, 1);
  str_id_set (&ent->id, str_of (from));
  g_queue_init (&ent->tickets);
  g_hash_table_insert (table->entries, ent->id.s, ent);
  return ent;
}

/* Adds ticket ID of instance FROM, which must not be there yet. Returns NULL
   if a limit is reached or FROM is too long.  */
struct queued_request *
queued_add (struct queued_table *table, const char *from, guint64 id,
            gint64 now)
{
  if (!queued_has_room (table, from))
    return NULL;
  struct ent *ent = entry_add (table, from);
  struct queued_request *queued_request = g_new0 (struct queued_request, 1);
  queued_request->ent = ent;
  queued_request->id = id;
  queued_request->heard = now;
  queued_request->heard_link.data = queued_request;
  queued_request->ent_link.data = queued_request;
  queued_request->server_link.data = queued_request;
  g_hash_table_add (table->tickets, queued_request);
  g_queue_push_tail_link (&table->by_heard, &queued_request->heard_link);
  g_queue_push_tail_link (&ent->tickets, &queued_request->ent_link);
  return queued_request;
}

/* Notes that TKT's entry spoke of it.  */
void
queued_touch (struct queued_table *table, struct queued_request *queued_request,
              gint64 now)
{
  queued_request->heard = now;
  g_queue_unlink (&table->by_heard, &queued_request->heard_link);
  g_queue_push_tail_link (&table->by_heard, &queued_request->heard_link);
}

/* Frees TKT, and its entry instance with its last ticket.  */
void
queued_remove (struct queued_table *table,
               struct queued_request *queued_request)
{
  struct ent *ent = queued_request->ent;
  g_queue_unlink (&table->by_heard, &queued_request->heard_link);
  g_queue_unlink (&ent->tickets, &queued_request->ent_link);
  g_hash_table_remove (table->tickets, queued_request);
  if (g_queue_is_empty (&ent->tickets))
    g_hash_table_remove (table->entries, ent->id.s);
}
