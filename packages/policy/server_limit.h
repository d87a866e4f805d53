/* The limit that a backend server names in its responses: the requests a second
   that it takes from all instances together, for as long as it says so. Does no
   I/O; times are of the caller's clock.  */
#ifndef SERVER_LIMIT_H
#define SERVER_LIMIT_H

#include "base/clock.h"

#define SERVER_LIMIT_MAX_PER_S 1e6 /* higher ones are not valid */

/* X (NAME, "name"): which instance has had the response */
#define SERVER_LIMIT_SOURCES(X)                                                \
  X (OWN, "own")       /* this one */                                          \
  X (DOMAIN, "domain") /* a peer of the own failure domain */                  \
  X (REMOTE, "remote") /* one of another failure domain */

enum server_limit_source
{
#define SERVER_LIMIT_ENUM(id, name) SERVER_LIMIT_##id,
  SERVER_LIMIT_SOURCES (SERVER_LIMIT_ENUM)
#undef SERVER_LIMIT_ENUM
};

/* What one response says. The server has written it between AFTER and
   BEFORE.  */
struct server_limit_report
{
  double per_s;  /* 0: no limit */
  gint64 after;  /* clock time */
  gint64 before; /* clock time */
  enum server_limit_source source;
};

/* What is known of one life of a server; all zero: no response yet.  */
struct server_limit
{
  struct server_limit_report report; /* the newest one */
  gint64 ended_at; /* clock time at which the last limit ended; 0: never */
};

gboolean server_limit_update (struct server_limit *limit,
                              const struct server_limit_report *report,
                              gint64 now);
guint64 server_limit_to_micro (double per_s);
double server_limit_of_micro (guint64 micro);
const char *server_limit_source_name (enum server_limit_source source);

#endif
