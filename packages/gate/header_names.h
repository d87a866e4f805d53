/* The dialect that a gate speaks: the names of the fields by which callers,
   gate and backend servers tell each other more than HTTP does.  */
#ifndef DIA_H
#define DIA_H

/* X (member): one field name each; see the comments in dia.c. */
#define DIA_FIELDS(X)                                                          \
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

struct dia
{
#define DIA_MEMBER(name) const char *name;
  DIA_FIELDS (DIA_MEMBER)
#undef DIA_MEMBER
  const char *key_scheme;      /* of the Authorization field */
  const char *ready_path;      /* readiness for the platform's balancer */
  const char *const *reserved; /* fields that callers may not set; ends with
                                  NULL */
};

const struct dia *dia_own (void);

#endif
