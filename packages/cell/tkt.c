#include "cell/tkt.h"

#include <string.h>

static guint
tkt_hash (gconstpointer p)
{
  const struct tkt *tkt = p;
  guint64 h = tkt->id * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  return (guint)(h >> 32) ^ g_direct_hash (tkt->ent);
}

static gboolean
tkt_equal (gconstpointer a, gconstpointer b)
{
  const struct tkt *x = a;
  const struct tkt *y = b;
  return x->id == y->id && x->ent == y->ent;
}

void
tkt_table_init (struct tkt_table *table)
{
  table->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->tickets = g_hash_table_new_full (tkt_hash, tkt_equal, NULL, g_free);
  g_queue_init (&table->by_heard);
}

/* Frees all tickets; the queues that held them must be gone before.  */
void
tkt_table_clear (struct tkt_table *table)
{
  g_hash_table_destroy (table->tickets);
  g_hash_table_destroy (table->entries);
}

/* Returns the entry instance FROM, or NULL if it has no tickets.  */
struct ent *
tkt_entry (const struct tkt_table *table, const char *from)
{
  return g_hash_table_lookup (table->entries, from);
}

/* Returns the ticket ID of instance FROM, or NULL.  */
struct tkt *
tkt_find (const struct tkt_table *table, const char *from, guint64 id)
{
  struct tkt key = { .ent = tkt_entry (table, from), .id = id };
  return key.ent ? g_hash_table_lookup (table->tickets, &key) : NULL;
}

/* Tells whether tkt_add can take one more ticket of instance FROM.  */
gboolean
tkt_room (const struct tkt_table *table, const char *from)
{
  return strlen (from) <= STR_ID_MAX
         && g_hash_table_size (table->tickets) < TKT_MAX
         && (tkt_entry (table, from)
             || g_hash_table_size (table->entries) < TKT_ENTRIES_MAX);
}

static struct ent *
entry_add (struct tkt_table *table, const char *from)
{
  struct ent *ent = tkt_entry (table, from);
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
struct tkt *
tkt_add (struct tkt_table *table, const char *from, guint64 id, gint64 now)
{
  if (!tkt_room (table, from))
    return NULL;
  struct ent *ent = entry_add (table, from);
  struct tkt *tkt = g_new0 (struct tkt, 1);
  tkt->ent = ent;
  tkt->id = id;
  tkt->heard = now;
  tkt->heard_link.data = tkt;
  tkt->ent_link.data = tkt;
  tkt->srv_link.data = tkt;
  g_hash_table_add (table->tickets, tkt);
  g_queue_push_tail_link (&table->by_heard, &tkt->heard_link);
  g_queue_push_tail_link (&ent->tickets, &tkt->ent_link);
  return tkt;
}

/* Notes that TKT's entry spoke of it.  */
void
tkt_touch (struct tkt_table *table, struct tkt *tkt, gint64 now)
{
  tkt->heard = now;
  g_queue_unlink (&table->by_heard, &tkt->heard_link);
  g_queue_push_tail_link (&table->by_heard, &tkt->heard_link);
}

/* Frees TKT, and its entry instance with its last ticket.  */
void
tkt_remove (struct tkt_table *table, struct tkt *tkt)
{
  struct ent *ent = tkt->ent;
  g_queue_unlink (&table->by_heard, &tkt->heard_link);
  g_queue_unlink (&ent->tickets, &tkt->ent_link);
  g_hash_table_remove (table->tickets, tkt);
  if (g_queue_is_empty (&ent->tickets))
    g_hash_table_remove (table->entries, ent->id.s);
}
