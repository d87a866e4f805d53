/* Clients that send requests to the instances of a proxy fleet at a constant
   rate, each on a connection of its own.  */
#ifndef FLEET_CLIENTS_H
#define FLEET_CLIENTS_H

#include "harness/proxy_fleet.h"
#include "http/reader.h"
#include "net/tcp_conn.h"

/* What a request says. Strings are borrowed while it is being sent.  */
struct fleet_message
{
  const char *path;
  const char *key;     /* of the caller */
  const char *prompt;  /* its parts; NULL: none */
  const char *resumes; /* id of the request whose stream goes on; NULL: none */
  guint last_event;    /* after which it goes on */
  struct str body;
  gboolean chunked; /* the body is sent in chunks */
  guint timeout_ms;
  guint kind;   /* for the test */
  int instance; /* number of the one that gets it; -1: drawn at random */
};

struct fleet_request
{
  char id[32];
  guint kind;        /* of its message */
  guint instance;    /* number of the one that it was sent to */
  gint64 sent_at;    /* monotonic microseconds */
  guint executions;  /* by servers; for the test to count */
  guint status;      /* of the response; 0: none */
  gboolean answered; /* the response is complete */
  GString *body;     /* of the response */
  struct tcp_conn *tcp_conn;
  struct http_reader *http_reader;
};

struct fleet_clients
{
  struct proxy_fleet *fleet; /* borrowed */
  const char *path;          /* of all requests; static */
  guint timeout_ms;          /* of the requests */
  guint requests_per_s;
  GRand *rand;
  GPtrArray *requests; /* of struct fleet_request, owned */
  GHashTable *by_id;
};

/* FLEET is borrowed. The result is cleared by fleet_clients_clear.  */
void fleet_clients_init (struct fleet_clients *clients,
                         struct proxy_fleet *fleet, const char *path,
                         guint timeout_ms, guint requests_per_s, guint32 seed);
void fleet_clients_clear (struct fleet_clients *clients);
/* Sends requests to instances drawn at random, for MS.  */
void fleet_clients_run (struct fleet_clients *clients, guint ms);
/* Sends a request. The result is owned by CLIENTS.  */
struct fleet_request *fleet_clients_send (struct fleet_clients *clients,
                                          const struct fleet_message *message);
/* Returns the request that a server has received with HEAD.  */
struct fleet_request *fleet_clients_find (const struct fleet_clients *clients,
                                          const struct http_head *head);
gboolean fleet_request_is_served (const struct fleet_request *request);

#endif
