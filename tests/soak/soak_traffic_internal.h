/* What the clients (soak_client.c) and the servers (soak_traffic.c) of the soak
   share.  */
#ifndef SOAK_TRAFFIC_INTERNAL_H
#define SOAK_TRAFFIC_INTERNAL_H

#include "harness/scripted_server.h"
#include "soak/soak_traffic.h"

#define SOAK_STREAM_EVENTS 8 /* in a stream */
/* The deadline that clients ask for; then they disconnect.  */
#define SOAK_CLIENT_TIMEOUT_MS 6000

/* What a client has of a stream. Each attempt at it is a request of its own
   that goes on after the last event of the attempts before.  */
struct stream
{
  struct soak_traffic *traffic;
  char key[32];
  guint attempts;
  guint last_event;   /* that the client has; 0: none */
  char first_id[32];  /* of the request that brought the first one; "": none */
  guint version;      /* of the server that sent the first one; 0: none */
  gint64 deadline_at; /* of all attempts; monotonic microseconds */
  guint patience_ms;  /* longest wait for bytes */
  guint timer;        /* GLib source of the next attempt; 0: none */
  GString *trace;     /* what client and servers did, for a violation */
};

/* A request and what client and servers have observed of it. Times are
   monotonic microseconds.  */
struct request
{
  char id[32];
  enum soak_route route;
  struct stream *stream; /* that it is an attempt at; NULL: none */
  guint after;           /* the event that its Last-Event-Id names; 0: none */
  guint deadline_ms;     /* that it states; then the client disconnects */
  guint version;         /* of the server that began the stream anew; 0: none */
  guint parts[SOAK_SERVERS];          /* that each server has sent */
  const struct soak_process *process; /* that it was sent to */
  char key[32];
  guint padding;       /* bytes that make each part of the response longer */
  gint64 sent_at;      /* last byte */
  guint passed_on;     /* times that it reached a server */
  guint servers;       /* bit mask of the servers that it reached */
  guint executions;    /* begun */
  guint running;       /* executions in progress */
  gint64 worked_until; /* end of the last execution */
  gboolean broken_off; /* a server has broken off or spoilt the response */
  gboolean rejected;   /* the client was told that it has not run */
};

struct server
{
  struct soak_traffic *traffic;
  struct scripted_server *scripted; /* owned */
  guint faults;                     /* enum soak_server_fault, bit mask */
  gint64 faulty_until;              /* G_MAXINT64: it still is */
  gint64 breaks_until;              /* it breaks off streams */
};

struct soak_traffic
{
  GRand *rand;
  GRand *stream_rand; /* for streams that break off and are resumed */
  struct server servers[SOAK_SERVERS];
  GPtrArray *processes; /* of struct soak_process, owned; also ended ones */
  struct soak_process *present[SOAK_INSTANCES_MAX]; /* of each instance */
  GHashTable *requests; /* id -> struct request, owned */
  GHashTable *revoked;  /* key -> gint64 (time), owned */
  GPtrArray *clients;   /* of struct client, owned */
  GPtrArray *streams;   /* of struct stream, owned; also ended ones */
  struct soak_counts counts;
  guint next_id;
  gint64 shortest_timeout_us; /* of a route, or the clients' */
};

const char *soak_route_path (enum soak_route route);
void request_append_part (gconstpointer data, guint event, GString *out);
void record_violation (struct soak_traffic *traffic,
                       const struct request *request, const char *violation);
struct server_hints_sender sender_of (const struct soak_process *process);
void client_free (gpointer data);
gboolean client_resume (struct stream *stream);
struct stream *stream_new (struct soak_traffic *traffic, const char *key);
void stream_free (gpointer data);
void stream_trace (const struct request *request, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void stream_plan (const struct server *server, struct request *request,
                  struct scripted_response *response);
void stream_attempt_ended (const struct request *request, guint status,
                           gboolean complete, gint64 retry_after_us);
void stream_check_version (const struct server *server, struct request *request,
                           guint position);
guint stream_check_part (struct soak_traffic *traffic,
                         const struct request *request, const GString *body);
void stream_trace_ids (const struct request *request, const GString *body);

#endif
