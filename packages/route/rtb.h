/* The routing table of one configuration version: routes by host and longest
   path prefix, the services that they lead to, teams by key, limits.  */
#ifndef RTB_H
#define RTB_H

#include "base/clock.h"
#include "base/err.h"
#include "base/str.h"

#define RTB_TEAM_PRIORITY_NONE (-1)
#define RTB_RANKS 10         /* of urgency; 0 goes first */
#define RTB_ROUTES_MAX 20000 /* of one configuration */

/* X (NAME, "name"): what may be repeated */
#define RTB_KINDS(X)                                                           \
  X (IDEMPOTENT, "idempotent") /* may run more than once */                    \
  X (ONCE, "once")             /* runs at most once */                         \
  X (STREAM, "stream")         /* events; once, unless it may be resumed */

enum rtb_kind
{
#define RTB_KIND_ENUM(id, name) RTB_##id,
  RTB_KINDS (RTB_KIND_ENUM)
#undef RTB_KIND_ENUM
};

/* One of the services of a route. */
struct rtb_share
{
  char *service; /* owned */
  guint weight;
};

struct rtb_route
{
  char *name;   /* owned */
  char *host;   /* owned, lower case, without a port */
  char *prefix; /* owned; begins and ends with a slash */
  enum rtb_kind kind;
  gboolean resumable; /* streams: another server may go on */
  gboolean open;      /* needs no key */
  gboolean affinity;  /* requests name the parts of their prompt */
  gint64 timeout_us;  /* longest time that a caller is kept waiting */
  gint64 target_us;   /* to the answer or to the first event */
  gint64 gap_us;      /* streams: longest pause between events; 0: none */
  guint attempts;     /* most servers that one request is sent to */
  guint priority;     /* 0: the most urgent */
  GArray *shares;     /* of struct rtb_share */
};

/* Model engines of a service. */
struct rtb_engine
{
  guint batch;      /* requests at once */
  guint64 memory;   /* tokens */
  guint stride;     /* tokens of an event */
  gboolean fetches; /* servers take parts of prompts from each other */
};

struct rtb_service
{
  char *name;          /* owned */
  guint connections;   /* that one server accepts from all callers; 0: any */
  gboolean has_engine; /* ENGINE holds */
  struct rtb_engine engine;
};

struct rtb_team
{
  char *name;   /* owned */
  int priority; /* goes before the route's; RTB_TEAM_PRIORITY_NONE: none */
};

/* What a caller may send. */
struct rtb_limits
{
  gsize header_bytes;
  gsize body_bytes;
  gint64 header_us; /* for a head to arrive */
  gint64 idle_us;   /* between requests of a connection */
};

struct rtb; /* a table; unchanging once built; counted references */

struct rtb *rtb_new (guint64 version);
struct rtb *rtb_ref (struct rtb *rtb);
void rtb_unref (struct rtb *rtb);

/* Building. The tables take over the strings of ROUTE, SERVICE and TEAM. */
void rtb_add_route (struct rtb *rtb, struct rtb_route *route);
void rtb_add_service (struct rtb *rtb, struct rtb_service *service);
void rtb_add_team (struct rtb *rtb, struct rtb_team *team,
                   const struct str *keys, guint n_keys);
void rtb_set_limits (struct rtb *rtb, const struct rtb_limits *limits);
int rtb_check (const struct rtb *rtb, struct err *err);
void rtb_route_clear (struct rtb_route *route);

guint64 rtb_version (const struct rtb *rtb);
const struct rtb_limits *rtb_limits (const struct rtb *rtb);
const struct rtb_route *rtb_find (const struct rtb *rtb, struct str host,
                                  struct str path);
const struct rtb_service *rtb_service (const struct rtb *rtb, const char *name);
gboolean rtb_has_teams (const struct rtb *rtb);
const struct rtb_team *rtb_team_of (const struct rtb *rtb, struct str key);
const char *rtb_pick (const struct rtb_route *route, guint64 draw);
guint rtb_rank (const struct rtb_route *route, const struct rtb_team *team);
gboolean rtb_may_repeat (const struct rtb_route *route);
guint rtb_n_routes (const struct rtb *rtb);

#endif
