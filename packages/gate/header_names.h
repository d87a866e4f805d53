/* Names of the HTTP headers with which clients, the reverse proxy and backend
   servers exchange what standard headers do not cover. A deployment may use
   other names than the default ones.  */
#ifndef HEADER_NAMES_H
#define HEADER_NAMES_H

/* X (member): one header name each; header_names.c describes them. */
#define HEADER_NAMES_LIST(X)                                                   \
  X (request_id)                                                               \
  X (deadline_ms)                                                              \
  X (team)                                                                     \
  X (priority)                                                                 \
  X (expect_server)                                                            \
  X (server_id)                                                                \
  X (not_run)                                                                  \
  X (signature)                                                                \
  X (leaving)                                                                  \
  X (relayed)                                                                  \
  X (software)                                                                 \
  X (brittle)                                                                  \
  X (limit)                                                                    \
  X (last_event)                                                               \
  X (resumes)                                                                  \
  X (model)                                                                    \
  X (token_counts)                                                             \
  X (prefix_blocks)                                                            \
  X (length_hint)                                                              \
  X (fetch_from)

struct header_names
{
#define HEADER_NAMES_MEMBER(name) const char *name;
  HEADER_NAMES_LIST (HEADER_NAMES_MEMBER)
#undef HEADER_NAMES_MEMBER
  const char *key_scheme; /* scheme of the Authorization header for team keys */
  const char *ready_path; /* path of the readiness check of the load
                             balancer */
  const char *const *reserved; /* headers not forwarded from clients, which
                                  must not set them; ends with NULL */
};

const struct header_names *header_names_default (void);

#endif
