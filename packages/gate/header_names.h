/* The dialect that a gate speaks: the names of the fields by which callers,
   gate and backend servers tell each other more than HTTP does.  */
#ifndef HEADER_NAMES_H
#define HEADER_NAMES_H

/* X (member): one field name each; see the comments in dia.c. */
#define HEADER_NAMES_LIST(X)                                                   \
  X (request_id)                                                               \
  X (deadline_ms)                                                              \
  X (team)                                                                     \
  X (priority)                                                                 \
  X (expect_server)                                                            \
  X (server_id)                                                                \
  X (not_run)                                                                  \
  X (signature)                                                                \
  X (last_event)                                                               \
  X (model)                                                                    \
  X (token_counts)                                                             \
  X (prompt_parts)                                                             \
  X (length_hint)                                                              \
  X (fetch_from)

struct header_names
{
#define HEADER_NAMES_MEMBER(name) const char *name;
  HEADER_NAMES_LIST (HEADER_NAMES_MEMBER)
#undef HEADER_NAMES_MEMBER
  const char *key_scheme;      /* of the Authorization field */
  const char *ready_path;      /* readiness for the platform's balancer */
  const char *const *reserved; /* fields that callers may not set; ends with
                                  NULL */
};

const struct header_names *header_names_default (void);

#endif
