/* The list of backend servers in the form in which instances send it to each
   other: whole, or as the changes since a list that the receiver has.  */
#ifndef PEER_SERVER_LIST_H
#define PEER_SERVER_LIST_H

#include "fleet/registry.h"

#define SERVER_LIST_ENTRIES_MAX 4096

/* A list as read from the store, directly or by a peer. */
struct peer_server_list
{
  GArray *entries;     /* of struct registry_entry, owned; NULL: none */
  gint64 requested_at; /* clock time at which the query to the store was sent */
  guint64 digest;      /* server_list_digest of the entries */
};

/* The changes between recent lists, so that a peer that has one of them gets
   only what has changed since. */
struct server_list_history;

guint64 server_list_digest (const struct registry_entry *entries, guint n);
void server_list_encode (const struct peer_server_list *list, gint64 now,
                         GByteArray *out);
int server_list_decode (struct str bytes, gint64 requested_at,
                        const struct peer_server_list *base,
                        struct peer_server_list *list, struct err *err);

struct server_list_history *server_list_history_new (void);
void server_list_history_free (struct server_list_history *history);
void server_list_history_add (struct server_list_history *history,
                              const struct peer_server_list *before,
                              const struct peer_server_list *after);
gboolean server_list_history_encode (const struct server_list_history *history,
                                     guint64 base_digest,
                                     const struct peer_server_list *list,
                                     gint64 now, GByteArray *out);

#endif
