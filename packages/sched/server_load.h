/* Load of backend servers: the exact load that this instance has placed there,
   and the load that its peers report.  */
#ifndef SERVER_LOAD_H
#define SERVER_LOAD_H

#include "base/clock.h"

struct server_load
{
  guint requests;         /* sent and not ended */
  guint sensitive;        /* of these, latency-sensitive streams */
  guint paced;            /* of these, paced streams */
  guint64 prefill_tokens; /* pending prefill: prompt tokens of requests without
                             a first event yet */
  guint64 memory; /* tokens that the requests occupy in the server's memory */
  guint isolated; /* of the latency-sensitive streams, the isolated ones */
};

struct server_load_table;

struct server_load_table *server_load_table_new (void);
void server_load_table_free (struct server_load_table *table);
struct server_load *server_load_own (struct server_load_table *table,
                                     guint server);
void server_load_report_add (struct server_load_table *table, guint32 peer,
                             guint server, const struct server_load *load);
void server_load_report_begin (struct server_load_table *table, guint32 peer,
                               gboolean summary, gint64 now);
gboolean server_load_report_continue (struct server_load_table *table,
                                      guint32 peer, gint64 now);
void server_load_report_remove (struct server_load_table *table, guint32 peer,
                                guint server);
void server_load_expire (struct server_load_table *table, gint64 now);
struct server_load server_load_total (const struct server_load_table *table,
                                      guint server);
GHashTable *server_load_totals (const struct server_load_table *table);
struct server_load server_load_direct (const struct server_load_table *table,
                                       guint server);
guint32 server_load_domain_peer (const char *domain);
gint64 server_load_reported_at (const struct server_load_table *table,
                                guint32 peer);
void server_load_forget (struct server_load_table *table, guint server);

#endif
