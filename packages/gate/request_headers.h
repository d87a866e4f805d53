/* Extracts the team key, the information for placement and the fingerprints
   from a request.  */
#ifndef REQUEST_HEADERS_H
#define REQUEST_HEADERS_H

#include "gate/header_names.h"
#include "http/head.h"
#include "route/routing_table.h"
#include "sched/placement.h"

gboolean request_headers_key (const struct http_head *head,
                              const struct header_names *header_names,
                              struct str *key);
void request_headers_prompt (const struct http_head *head,
                             const struct header_names *header_names,
                             const struct routing_route *route,
                             struct placement_request *request);
guint request_headers_fingerprint (const struct http_head *head,
                                   const struct header_names *header_names,
                                   struct str body, guint64 *keys);

#endif
