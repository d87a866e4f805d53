/* The routing table of one configuration version: routes by host and longest
   path prefix, the services that they lead to, teams by key, limits.  */
#ifndef ROUTING_TABLE_H
#define ROUTING_TABLE_H

#include "base/clk.h"
#include "base/err.h"
#include "base/str.h"

#define ROUTING_TEAM_PRIORITY_NONE (-1)
#define ROUTING_RANKS 10         /* of urgency; 0 goes first */
#define ROUTING_ROUTES_MAX 20000 /* of one configuration */

/* X (NAME, "name"): what may be repeated */
#define ROUTING_KINDS(X)                                                       \
  X (IDEMPOTENT, "idempotent") /* may run more than once */                    \
  X (ONCE, "once")             /* runs at most once */                         \
  X (STREAM, "stream")         /* events; once, unless it may be resumed */

enum routing_kind
{
#define ROUTING_KIND_ENUM(id, name) ROUTING_##id,
  ROUTING_KINDS (ROUTING_KIND_ENUM)
#undef ROUTING_KIND_ENUM
};

/* One of the services of a route. */
struct routing_share
{
  char *service; /* owned */
  guint weight;
};

struct routing_route
{
  char *name;   /* owned */
  char *host;   /* owned, lower case, without a port */
  char *prefix; /* owned; begins and ends with a slash */
  enum routing_kind kind;
  gboolean resumable;  /* streams: another server may go on */
  gboolean is_public;  /* needs no key */
  gboolean affinity;   /* requests name the parts of their prompt */
  gint64 timeout_us;   /* longest time that a caller is kept waiting */
  gint64 target_us;    /* to the answer or to the first event */
  gint64 event_gap_us; /* streams: longest pause between events; 0: none */
  guint attempts;      /* most servers that one request is sent to */
  guint priority;      /* 0: the most urgent */
  GArray *shares;      /* of struct routing_share */
};

/* Model engines of a service. */
struct routing_engine
{
  guint batch;    /* requests at once */
  guint64 memory; /* tokens */
  guint stride;   /* tokens of an event */
  gboolean
      can_fetch_prefixes; /* servers take parts of prompts from each other */
};

struct routing_service
{
  char *name;          /* owned */
  guint connections;   /* that one server accepts from all callers; 0: any */
  gboolean has_engine; /* ENGINE holds */
  struct routing_engine engine;
};

struct routing_team
{
  char *name;   /* owned */
  int priority; /* goes before the route's; ROUTING_TEAM_PRIORITY_NONE: none */
};

/* What a caller may send. */
struct routing_limits
{
  gsize header_bytes;
  gsize body_bytes;
  gint64 header_timeout_us; /* for a head to arrive */
  gint64 idle_timeout_us;   /* between requests of a connection */
};

struct routing_table; /* a table; unchanging once built; counted references */

struct routing_table *routing_table_new (guint64 version);
struct routing_table *routing_table_ref (struct routing_table *routing_table);
void routing_table_unref (struct routing_table *routing_table);

/* Building. The tables take over the strings of ROUTE, SERVICE and TEAM. */
void routing_table_add_route (struct routing_table *routing_table,
                              struct routing_route *route);
void routing_table_add_service (struct routing_table *routing_table,
                                struct routing_service *service);
void routing_table_add_team (struct routing_table *routing_table,
                             struct routing_team *team, const struct str *keys,
                             guint n_keys);
void routing_table_set_limits (struct routing_table *routing_table,
                               const struct routing_limits *limits);
int routing_table_check (const struct routing_table *routing_table,
                         struct err *err);
void routing_route_clear (struct routing_route *route);

guint64 routing_table_version (const struct routing_table *routing_table);
const struct routing_limits *
routing_limits (const struct routing_table *routing_table);
const struct routing_route *
routing_table_find (const struct routing_table *routing_table, struct str host,
                    struct str path);
const struct routing_service *
routing_service (const struct routing_table *routing_table, const char *name);
gboolean routing_table_has_teams (const struct routing_table *routing_table);
const struct routing_team *
routing_table_team_of (const struct routing_table *routing_table,
                       struct str key);
const char *routing_pick (const struct routing_route *route, guint64 draw);
guint routing_rank (const struct routing_route *route,
                    const struct routing_team *team);
gboolean routing_may_repeat (const struct routing_route *route);
guint routing_table_n_routes (const struct routing_table *routing_table);

#endif
