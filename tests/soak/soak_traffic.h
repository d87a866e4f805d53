/* Backend servers and callers of the soak, and the promises that they see kept
   or broken. Each request carries an id; a server answers with it, so that an
   answer shows whose it is.  */
#ifndef SOAK_TRAFFIC_H
#define SOAK_TRAFFIC_H

#include <glib.h>

#define SOAK_SERVERS 4

/* X (NAME, "path"): routes that the soak uses */
#define SOAK_ROUTES(X)                                                         \
  X (IDEMPOTENT, "again")                                                      \
  X (NON_IDEMPOTENT, "once")                                                   \
  X (STREAM, "resume")

enum soak_route
{
#define SOAK_ROUTE_ENUM(id, path) SOAK_ROUTE_##id,
  SOAK_ROUTES (SOAK_ROUTE_ENUM)
#undef SOAK_ROUTE_ENUM
      SOAK_ROUTE_N
};

/* What became of the requests, and how often a promise was broken. */
struct soak_counts
{
  guint sent;
  guint served;
  guint rejected;   /* with the word that it has not run */
  guint unknown;    /* 502, 504, no or a broken answer */
  guint denied;     /* 401, 404 */
  guint violations; /* promises */
  GString *report;  /* a line for each broken promise */
};

struct soak_traffic;

struct soak_traffic *soak_traffic_new (guint32 seed);
void soak_traffic_free (struct soak_traffic *traffic);
guint soak_traffic_port (const struct soak_traffic *traffic, guint server);
void soak_traffic_set_down (struct soak_traffic *traffic, guint server,
                            gboolean down);
void soak_traffic_send (struct soak_traffic *traffic, const char *address,
                        enum soak_route route, const char *key);
/* Requests with KEY must not run from AT (monotonic microseconds) on. */
void soak_traffic_revoke_key (struct soak_traffic *traffic, const char *key,
                              gint64 at);
guint soak_traffic_pending (const struct soak_traffic *traffic);
struct soak_counts *soak_traffic_counts (struct soak_traffic *traffic);

#endif
