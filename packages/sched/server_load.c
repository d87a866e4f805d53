#include "sched/server_load.h"

#include "base/str.h"

/* Addresses this load pattern: several instances that send to the same servers
   at the same time. The load that an instance itself has placed is exact; that
   of the others arrives with the delay of their reports.  */

/* Set in the key under which the load of a complete domain is stored among the
   loads of single peers, which have their IP addresses as keys. The addresses
   from 240.0.0.0 on are reserved, so no instance has such a key.  */
#define DOMAIN_PEER_FLAG 0xf0000000u
/* A peer's report expires after this time. */
#define REPORT_VALID_US (2000 * CLK_MS)

/* The last report of a peer.  */
struct peer_report
{
  gint64 received_at; /* clock time */
  gboolean summary;   /* of a complete failure domain, not of one instance */
  GHashTable *loads;  /* server number: struct server_load, owned */
};

struct server_load_table
{
  GHashTable *own;     /* server number: struct server_load, owned */
  GHashTable *reports; /* peer: struct peer_report, owned */
};

static void
peer_report_free (gpointer data)
{
  struct peer_report *report = data;
  g_hash_table_unref (report->loads);
  g_free (report);
}

struct server_load_table *
server_load_table_new (void)
{
  struct server_load_table *table = g_new0 (struct server_load_table, 1);
  table->own
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  table->reports = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                          peer_report_free);
  return table;
}

void
server_load_table_free (struct server_load_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->own);
  g_hash_table_unref (table->reports);
  g_free (table);
}

/* Returns the load that this instance has at SERVER; the caller updates it.  */
struct server_load *
server_load_own (struct server_load_table *table, guint server)
{
  gpointer key = GUINT_TO_POINTER (server);
  struct server_load *load = g_hash_table_lookup (table->own, key);
  if (load == NULL)
    {
      load = g_new0 (struct server_load, 1);
      g_hash_table_insert (table->own, key, load);
    }
  return load;
}

/* Begins a report of PEER that replaces its previous one. SUMMARY: the report
   covers all instances of another failure domain.  */
void
server_load_report_begin (struct server_load_table *table, guint32 peer,
                          gboolean summary, gint64 now)
{
  struct peer_report *report
      = g_hash_table_lookup (table->reports, GUINT_TO_POINTER (peer));
  if (report == NULL)
    {
      report = g_new0 (struct peer_report, 1);
      report->loads
          = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
      g_hash_table_insert (table->reports, GUINT_TO_POINTER (peer), report);
    }
  g_hash_table_remove_all (report->loads);
  report->summary = summary;
  report->received_at = now;
}

/* Adds one server to the report of PEER. Does nothing unless
   server_load_report_begin was called for PEER.  */
void
server_load_report_add (struct server_load_table *table, guint32 peer,
                        guint server, const struct server_load *load)
{
  struct peer_report *report
      = g_hash_table_lookup (table->reports, GUINT_TO_POINTER (peer));
  if (report != NULL)
    g_hash_table_replace (report->loads, GUINT_TO_POINTER (server),
                          g_memdup2 (load, sizeof *load));
}

/* Begins changes to the report of PEER, which is as recent as they are from
   then on. Returns FALSE if there is no report.  */
gboolean
server_load_report_continue (struct server_load_table *table, guint32 peer,
                             gint64 now)
{
  struct peer_report *report
      = g_hash_table_lookup (table->reports, GUINT_TO_POINTER (peer));
  if (report == NULL)
    return FALSE;
  report->received_at = now;
  return TRUE;
}

/* Removes one server from the report of PEER.  */
void
server_load_report_remove (struct server_load_table *table, guint32 peer,
                           guint server)
{
  struct peer_report *report
      = g_hash_table_lookup (table->reports, GUINT_TO_POINTER (peer));
  if (report != NULL)
    g_hash_table_remove (report->loads, GUINT_TO_POINTER (server));
}

/* Drops the reports of peers that have not sent one within REPORT_VALID_US.  */
void
server_load_expire (struct server_load_table *table, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((struct peer_report *)value)->received_at > REPORT_VALID_US)
      g_hash_table_iter_remove (&iter);
}

static void
add_load (struct server_load *sum, const struct server_load *load)
{
  if (load == NULL)
    return;
  sum->requests += load->requests;
  sum->sensitive += load->sensitive;
  sum->isolated += load->isolated;
  sum->paced += load->paced;
  sum->prefill_tokens += load->prefill_tokens;
  sum->memory += load->memory;
}

static struct server_load
sum_loads (const struct server_load_table *table, guint server,
           gboolean with_summaries)
{
  struct server_load sum = { 0 };
  gpointer key = GUINT_TO_POINTER (server);
  GHashTableIter iter;
  gpointer value;
  add_load (&sum, g_hash_table_lookup (table->own, key));
  g_hash_table_iter_init (&iter, table->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer_report *report = value;
      if (with_summaries || !report->summary)
        add_load (&sum, g_hash_table_lookup (report->loads, key));
    }
  return sum;
}

/* Returns the estimated load of SERVER from all instances.  */
struct server_load
server_load_total (const struct server_load_table *table, guint server)
{
  return sum_loads (table, server, TRUE);
}

static void
add_loads (GHashTable *totals, GHashTable *loads)
{
  GHashTableIter iter;
  gpointer server;
  gpointer load;
  g_hash_table_iter_init (&iter, loads);
  while (g_hash_table_iter_next (&iter, &server, &load))
    {
      struct server_load *total = g_hash_table_lookup (totals, server);
      if (total == NULL)
        {
          total = g_new0 (struct server_load, 1);
          g_hash_table_insert (totals, server, total);
        }
      add_load (total, load);
    }
}

/* Returns the results of server_load_total for all servers that have load, by
   number, as a new table. Calls for each of them would look up each in every
   report, although most reports have few.  */
GHashTable *
server_load_totals (const struct server_load_table *table)
{
  GHashTable *totals
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;
  add_loads (totals, table->own);
  g_hash_table_iter_init (&iter, table->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_loads (totals, ((const struct peer_report *)value)->loads);
  return totals;
}

/* Returns the load of SERVER from this instance and from those that report to
   it directly, not through a summary.  */
struct server_load
server_load_direct (const struct server_load_table *table, guint server)
{
  return sum_loads (table, server, FALSE);
}

/* Returns the key under which the summary of DOMAIN is reported.  */
guint32
server_load_domain_peer (const char *domain)
{
  return DOMAIN_PEER_FLAG
         | (guint32)(str_hash (str_of (domain), 0) & 0xfffffff);
}

/* Returns the clock time of the last report of PEER; 0: there is none that has
   not expired.  */
gint64
server_load_reported_at (const struct server_load_table *table, guint32 peer)
{
  const struct peer_report *report
      = g_hash_table_lookup (table->reports, GUINT_TO_POINTER (peer));
  return report != NULL ? report->received_at : 0;
}

/* Drops all load of SERVER, which was removed.  */
void
server_load_forget (struct server_load_table *table, guint server)
{
  gpointer key = GUINT_TO_POINTER (server);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_remove (table->own, key);
  g_hash_table_iter_init (&iter, table->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_remove (((struct peer_report *)value)->loads, key);
}
