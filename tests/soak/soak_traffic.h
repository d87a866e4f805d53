/* Simulated clients and backend servers of the soak, which check the guarantees
   for each request. Each request carries an id that the server repeats in its
   response, so that a response to another request is detected. Most clients
   send request after request on a connection until the instance closes it.
   Clients resume streams that have broken off.  */
#ifndef SOAK_TRAFFIC_H
#define SOAK_TRAFFIC_H

#include <glib.h>

#include "base/err.h"
#include "harness/server_hints.h"

#define SOAK_SERVERS 4

/* Returns the version of the software of server I. Two serve side by side.  */
static inline guint
soak_server_version (guint i)
{
  return 1 + i / (SOAK_SERVERS / 2);
}
#define SOAK_INSTANCES_MAX 40
/* Settings grace_ms and drain_ms of the instances.  */
#define SOAK_GRACE_MS 8000
#define SOAK_DRAIN_MS 1000

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

/* X (NAME, "name"): why an instance may close a connection without a complete
   response to a request that it got */
#define SOAK_EXCUSES(X)                                                        \
  X (NONE, "no excuse")                                                        \
  X (INSTANCE, "instance killed or paused")                                    \
  X (SERVER, "server failed")                                                  \
  X (TIMEOUT, "time-out")                                                      \
  X (CROSSING, "not passed on")                                                \
  X (GRACE, "end of the grace time")

enum soak_excuse
{
#define SOAK_EXCUSE_ENUM(id, name) SOAK_EXCUSE_##id,
  SOAK_EXCUSES (SOAK_EXCUSE_ENUM)
#undef SOAK_EXCUSE_ENUM
      SOAK_EXCUSE_N
};

/* Outcomes of the requests, and violations of the guarantees.  */
struct soak_counts
{
  guint sent;
  guint reused; /* of SENT: on a connection that was open already */
  guint served;
  guint rejected; /* 408, 429, 503: the request has not run */
  guint unknown;  /* 502, 504, no response or an incomplete one */
  /* Of UNKNOWN: the instance closed the connection.  */
  guint cut[SOAK_EXCUSE_N];
  guint denied;     /* 401, 404 */
  guint refused;    /* not sent: no instance accepts connections */
  guint violations; /* of the guarantees */
  guint broken;     /* streams, by a server as part of a fault */
  guint begun_anew; /* by a server that was told to go on */
  guint resumed;    /* attempts at streams that a client has a part of */
  guint finished;   /* of RESUMED: served */
  struct server_hints_counts hints;
  GString *report; /* a line for each violation */
};

/* A process of an instance, and what was done to it from outside. Times are
   monotonic microseconds.  */
struct soak_process
{
  guint instance;
  char address[ERR_PEER_MAX]; /* for clients */
  /* Time until which it was killed or paused; G_MAXINT64: it still is.  */
  gint64 disturbed_until;
  gint64 stopped_at; /* it got the first SIGTERM; 0: none */
  guint stops;       /* SIGTERMs sent */
  guint reloads;     /* SIGHUPs sent */
  guint pauses;
  gboolean paused;
  gboolean killed;
  gboolean accepted; /* a connection */
};

/* Faults of a server or of the network before it.  */
enum soak_server_fault
{
  SOAK_SERVER_DOWN = 1,
  SOAK_SERVER_UNREACHABLE = 2
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
/* Records the start of FAULT of SERVER if PRESENT, else its end. A fault
   without duration is recorded by its end alone.  */
void soak_traffic_server_fault (struct soak_traffic *traffic, guint server,
                                enum soak_server_fault fault, gboolean present);
/* Until time UNTIL SERVER breaks off most of its streams.  */
void soak_traffic_break_streams (struct soak_traffic *traffic, guint server,
                                 gint64 until);
/* Returns what SERVER says in its responses, borrowed.  */
struct server_hints *soak_traffic_hints (const struct soak_traffic *traffic,
                                         guint server);
/* To be called when a process of INSTANCE has been started. It accepts clients
   at ADDRESS.  */
void soak_traffic_started (struct soak_traffic *traffic, guint instance,
                           const char *address);
/* To be called before SIGNAL is sent to the present process of INSTANCE. A
   SIGKILL at the end of the grace time belongs to the stop.  */
void soak_traffic_signalled (struct soak_traffic *traffic, guint instance,
                             int signal);
/* Returns the present or last process of INSTANCE.  */
const struct soak_process *
soak_traffic_process (const struct soak_traffic *traffic, guint instance);
/* Sends a request, or the first one of a stream, to INSTANCE, on an idle
   connection or on a new one. KEY is also the name of the team that it belongs
   to. Returns FALSE if the instance refuses new connections.  */
gboolean soak_traffic_send (struct soak_traffic *traffic, guint instance,
                            enum soak_route route, const char *key);
/* Requests with KEY that are sent after AT (monotonic microseconds) must not
   run.  */
void soak_traffic_revoke_key (struct soak_traffic *traffic, const char *key,
                              gint64 at);
/* The routes have the time-out MS from now on.  */
void soak_traffic_set_timeout (struct soak_traffic *traffic, guint ms);
/* Returns the number of requests in progress, with streams that a client is
   about to resume.  */
guint soak_traffic_pending (const struct soak_traffic *traffic);
struct soak_counts *soak_traffic_counts (struct soak_traffic *traffic);
/* Records a violation that was observed outside the traffic.  */
void soak_traffic_violation (struct soak_traffic *traffic, const char *text);

#endif
