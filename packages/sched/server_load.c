#include "sched/server_load.h"

/* Load pattern answered: several instances that send to the same servers at
   the same moment. Each knows its own part exactly and the others' parts with
   the delay of their reports.  */

#define PEER_SILENT_US (2000 * CLK_MS) /* a peer's report counts so long */

struct peer
{
  gint64 heard;      /* clock time */
  gboolean summary;  /* of a whole failure domain, not of one instance */
  GHashTable *loads; /* server: struct server_load, owned */
};

struct server_load_table
{
  GHashTable *own;   /* server: struct server_load, owned */
  GHashTable *peers; /* peer: struct peer, owned */
};

static void
peer_free (gpointer data)
{
  struct peer *peer = data;
  g_hash_table_unref (peer->loads);
  g_free (peer);
}

struct server_load_table *
server_load_table_new (void)
{
  struct server_load_table *server_load_table
      = g_new0 (struct server_load_table, 1);
  server_load_table->own
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  server_load_table->peers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, peer_free);
  return server_load_table;
}

void
server_load_table_free (struct server_load_table *server_load_table)
{
  if (server_load_table == NULL)
    return;
  g_hash_table_unref (server_load_table->own);
  g_hash_table_unref (server_load_table->peers);
  g_free (server_load_table);
}

/* What this instance has at SERVER; the caller keeps it true.  */
struct server_load *
server_load_own (struct server_load_table *server_load_table, guint server)
{
  gpointer key = GUINT_TO_POINTER (server);
  struct server_load *load = g_hash_table_lookup (server_load_table->own, key);
  if (load == NULL)
    {
      load = g_new0 (struct server_load, 1);
      g_hash_table_insert (server_load_table->own, key, load);
    }
  return load;
}

/* A report of PEER begins, which replaces its last one. SUMMARY: PEER stands
   for all instances of another failure domain.  */
void
server_load_report_begin (struct server_load_table *server_load_table,
                          guint32 peer, gboolean summary, gint64 now)
{
  struct peer *known
      = g_hash_table_lookup (server_load_table->peers, GUINT_TO_POINTER (peer));
  if (known == NULL)
    {
      known = g_new0 (struct peer, 1);
      known->loads
          = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
      g_hash_table_insert (server_load_table->peers, GUINT_TO_POINTER (peer),
                           known);
    }
  g_hash_table_remove_all (known->loads);
  known->summary = summary;
  known->heard = now;
}

/* A line of the report that server_load_report_begin began.  */
void
server_load_report_add (struct server_load_table *server_load_table,
                        guint32 peer, guint server,
                        const struct server_load *load)
{
  struct peer *known
      = g_hash_table_lookup (server_load_table->peers, GUINT_TO_POINTER (peer));
  if (known != NULL)
    g_hash_table_replace (known->loads, GUINT_TO_POINTER (server),
                          g_memdup2 (load, sizeof *load));
}

/* Drops the reports of peers that have fallen silent.  */
void
server_load_expire (struct server_load_table *server_load_table, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, server_load_table->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((struct peer *)value)->heard > PEER_SILENT_US)
      g_hash_table_iter_remove (&iter);
}

static void
add (struct server_load *sum, const struct server_load *load)
{
  if (load == NULL)
    return;
  sum->requests += load->requests;
  sum->tight += load->tight;
  sum->paced += load->paced;
  sum->unread += load->unread;
  sum->memory += load->memory;
}

static struct server_load
sum_loads (const struct server_load_table *server_load_table, guint server,
           gboolean summaries)
{
  struct server_load sum = { 0 };
  gpointer key = GUINT_TO_POINTER (server);
  GHashTableIter iter;
  gpointer value;
  add (&sum, g_hash_table_lookup (server_load_table->own, key));
  g_hash_table_iter_init (&iter, server_load_table->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (summaries || !peer->summary)
        add (&sum, g_hash_table_lookup (peer->loads, key));
    }
  return sum;
}

/* The load of SERVER from all instances, as known here.  */
struct server_load
server_load_total (const struct server_load_table *server_load_table,
                   guint server)
{
  return sum_loads (server_load_table, server, TRUE);
}

/* The load of SERVER from this instance and those that report to it
   themselves.  */
struct server_load
server_load_direct (const struct server_load_table *server_load_table,
                    guint server)
{
  return sum_loads (server_load_table, server, FALSE);
}

/* SERVER has gone; nothing is in flight there any more.  */
void
server_load_forget (struct server_load_table *server_load_table, guint server)
{
  gpointer key = GUINT_TO_POINTER (server);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_remove (server_load_table->own, key);
  g_hash_table_iter_init (&iter, server_load_table->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_remove (((struct peer *)value)->loads, key);
}
