/* Simulated clients and backend servers of the soak, which check the guarantees
   for each request. Each request carries an id that the server repeats in its
   response, so that a response to another request is detected.  */
#ifndef SOAK_TRAFFIC_H
#define SOAK_TRAFFIC_H

#include <glib.h>

#define SOAK_SERVERS 4

/* X (NAME, "path"): routes, by their type */
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

/* Outcomes of the requests, and violations of the guarantees.  */
struct soak_counts
{
  guint sent;
  guint served;
  guint rejected;   /* 408, 429, 503: the request has not run */
  guint unknown;    /* 502, 504, no response or an incomplete one */
  guint denied;     /* 401, 404 */
  guint violations; /* of the guarantees */
  GString *report;  /* a line for each violation */
};

struct soak_traffic;

/* Starts the servers, each on a free port of 127.0.0.1. SEED determines their
   delays and failures. The result is freed by soak_traffic_free.  */
struct soak_traffic *soak_traffic_new (guint32 seed);
void soak_traffic_free (struct soak_traffic *traffic);
/* Returns the port of server number SERVER.  */
guint soak_traffic_port (const struct soak_traffic *traffic, guint server);
/* Drops the connections of SERVER. If DOWN it refuses new ones, else it accepts
   them.  */
void soak_traffic_set_down (struct soak_traffic *traffic, guint server,
                            gboolean down);
/* Sends a request on a new connection to the instance at ADDRESS. KEY is also
   the name of the team that it belongs to.  */
void soak_traffic_send (struct soak_traffic *traffic, const char *address,
                        enum soak_route route, const char *key);
/* Requests with KEY that are sent after AT (monotonic microseconds) must not
   run.  */
void soak_traffic_revoke_key (struct soak_traffic *traffic, const char *key,
                              gint64 at);
/* Returns the number of requests in progress.  */
guint soak_traffic_pending (const struct soak_traffic *traffic);
struct soak_counts *soak_traffic_counts (struct soak_traffic *traffic);

#endif
