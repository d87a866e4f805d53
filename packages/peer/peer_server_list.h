/* The list of backend servers in the form in which instances send it to each
   other.  */
#ifndef PEER_SERVER_LIST_H
#define PEER_SERVER_LIST_H

#include "fleet/registry.h"

#define SERVER_LIST_ENTRIES_MAX 4096

/* A list as read from the store, directly or by a peer. */
struct peer_server_list
{
  GArray *entries;     /* of struct registry_entry, owned */
  gint64 requested_at; /* clock time at which the query to the store was sent */
};

void server_list_encode (const struct peer_server_list *list, gint64 now,
                         GByteArray *out);
int server_list_decode (struct str bytes, gint64 requested_at,
                        struct peer_server_list *list, struct err *err);

#endif
