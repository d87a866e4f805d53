/* The list of backend servers as instances hand it to each other.  */
#ifndef PEER_SERVER_LIST_H
#define PEER_SERVER_LIST_H

#include "fleet/flt.h"

#define PEER_SERVER_LIST_ENTRIES_MAX 4096

/* A list as it was read from the store. */
struct peer_server_list
{
  GArray *entries;     /* of struct flt_entry, owned */
  gint64 requested_at; /* clock time at which the question was sent */
};

void peer_server_list_encode (const struct peer_server_list *list, gint64 now,
                              GByteArray *out);
int peer_server_list_decode (struct str bytes, gint64 requested_at,
                             struct peer_server_list *list, struct err *err);

#endif
