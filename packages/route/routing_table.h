/* The routing table of one configuration version: routes by host and longest
   path prefix, the services to which they lead, teams by API key, and limits
   for clients.  */
#ifndef ROUTING_TABLE_H
#define ROUTING_TABLE_H

#include "base/clock.h"
#include "base/err.h"
#include "base/str.h"

#define ROUTING_TEAM_PRIORITY_NONE (-1)
#define ROUTING_TIERS 10         /* of requests; 0 is served first */
#define ROUTING_ROUTES_MAX 50000 /* in one configuration */

/* X (NAME, "name"): whether a request may be executed more than once */
#define ROUTING_KINDS(X)                                                       \
  X (IDEMPOTENT, "idempotent") /* may be executed more than once */            \
  X (ONCE, "once")             /* executed at most once */                     \
  X (STREAM, "stream")         /* event stream; at most once unless resumable */

enum routing_kind
{
#define ROUTING_KIND_ENUM(id, name) ROUTING_##id,
  ROUTING_KINDS (ROUTING_KIND_ENUM)
#undef ROUTING_KIND_ENUM
};

/* A service of a route, and its share of the requests. */
struct routing_share
{
  char *service; /* owned */
  guint weight;  /* relative to the other services of the route */
};

struct routing_route
{
  char *name;   /* owned */
  char *host;   /* owned, lower case, without a port */
  char *prefix; /* owned, begins and ends with a slash */
  enum routing_kind kind;
  gboolean resumable;  /* streams: another server may continue one */
  gboolean is_public;  /* requests need no API key */
  gint64 timeout_us;   /* longest time for which a client waits */
  gint64 target_us;    /* to the response or to the first event */
  gint64 event_gap_us; /* streams: longest acceptable inter-event gap; 0: any */
  guint attempts;      /* maximum number of servers tried for a request */
  guint priority;      /* 0: served first */
  GArray *shares;      /* of struct routing_share */
  guint refs; /* of a route that tables share; 0 before it is added to one */
};

/* Inference engines of a service. */
struct routing_engine
{
  guint batch;                 /* requests processed at the same time */
  guint64 memory;              /* KV cache capacity in tokens */
  guint stride;                /* tokens per event */
  gboolean can_fetch_prefixes; /* from the KV caches of other servers */
};

/* What a server costs in a failure domain. */
struct routing_domain_price
{
  char domain[STR_ID_MAX + 1];
  double price; /* of a regular server, relative to other domains */
};

/* How many servers of a service may be ordered, and what they cost. */
struct routing_scaling
{
  guint min_servers; /* in each domain, regular and spot ones together */
  guint max_servers; /* likewise */
  gint64 startup_us; /* from an order until a server serves */
  double spot_share; /* price of a spot server as a share of that of a regular
                        one; 1: there are none */
  GArray *prices;    /* of struct routing_domain_price; NULL: none stated */
};

struct routing_service
{
  char *name;           /* owned */
  guint connections;    /* accepted by one server in total; 0: no limit */
  gboolean has_engine;  /* ENGINE is valid */
  gboolean has_scaling; /* SCALING is valid; if not, no server is ordered */
  struct routing_engine engine;
  struct routing_scaling scaling;
};

struct routing_team
{
  char *name; /* owned */
  /* Decides before the priority of the route. */
  int priority; /* or ROUTING_TEAM_PRIORITY_NONE */
};

/* Limits for what clients send. */
struct routing_limits
{
  gsize header_bytes;
  gsize body_bytes;
  gint64 header_timeout_us; /* for the header of a request to arrive */
  gint64 idle_timeout_us;   /* between the requests on a connection */
};

struct routing_table; /* reference counted, immutable once built */

struct routing_table *routing_table_new (guint64 version);
struct routing_table *routing_table_ref (struct routing_table *routing_table);
void routing_table_unref (struct routing_table *routing_table);

/* Functions to build a table. It takes ownership of the strings of ROUTE,
   SERVICE and TEAM, and of the arrays of ROUTE and SERVICE, but not of the
   structs. routing_table_share_route instead adds a route of another table. */
struct routing_route *
routing_table_add_route (struct routing_table *routing_table,
                         struct routing_route *route);
void routing_table_share_route (struct routing_table *routing_table,
                                struct routing_route *route);
void routing_table_add_service (struct routing_table *routing_table,
                                struct routing_service *service);
void routing_table_add_team (struct routing_table *routing_table,
                             struct routing_team *team, const struct str *keys,
                             guint n_keys);
void routing_table_set_limits (struct routing_table *routing_table,
                               const struct routing_limits *limits);
int routing_table_check_route (const struct routing_table *routing_table,
                               const struct routing_route *route,
                               struct err *err);
void routing_route_clear (struct routing_route *route);
struct routing_route *routing_route_ref (struct routing_route *route);
void routing_route_unref (gpointer data);

guint64 routing_table_version (const struct routing_table *routing_table);
const struct routing_limits *
routing_limits (const struct routing_table *routing_table);
const struct routing_route *
routing_table_find (const struct routing_table *routing_table, struct str host,
                    struct str path);
const struct routing_service *
routing_service (const struct routing_table *routing_table, const char *name);
double routing_domain_price (const struct routing_scaling *scaling,
                             const char *domain);
gboolean routing_table_has_teams (const struct routing_table *routing_table);
const struct routing_team *
routing_table_team_of (const struct routing_table *routing_table,
                       struct str key);
const char *routing_pick (const struct routing_route *route, guint64 draw);
guint routing_tier (const struct routing_route *route,
                    const struct routing_team *team);
gboolean routing_may_repeat (const struct routing_route *route);
guint routing_table_n_routes (const struct routing_table *routing_table);

/* Call VISIT for each entry, in no particular order. N_KEYS is the number of
   API keys that lead to the team.  */
void routing_table_each_route (const struct routing_table *routing_table,
                               void (*visit) (void *ctx,
                                              const struct routing_route *),
                               void *ctx);
void routing_table_each_service (const struct routing_table *routing_table,
                                 void (*visit) (void *ctx,
                                                const struct routing_service *),
                                 void *ctx);
void routing_table_each_team (const struct routing_table *routing_table,
                              void (*visit) (void *ctx,
                                             const struct routing_team *,
                                             guint n_keys),
                              void *ctx);

#endif
