/* Shared by the source files of server orders only.  */
#ifndef SERVER_ORDERS_INTERNAL_H
#define SERVER_ORDERS_INTERNAL_H

#include "scale/load_forecast.h"
#include "scale/server_orders.h"
#include "scale/server_plan.h"

/* X (NAME, "name"): why an order was changed the last time */
#define ORDER_REASONS(X)                                                       \
  X (UNCHANGED, "none")                                                        \
  X (TAKEN_OVER, "taken_over") /* the last holder's, or more servers run */    \
  X (LOAD, "load")             /* more are needed */                           \
  X (SURPLUS, "surplus")       /* fewer are needed, or replaced ones */        \
  X (RECLAIMED, "reclaimed")   /* spot servers are being taken away */         \
  X (REFUSED, "refused")       /* no capacity */                               \
  X (REPEATED, "repeated")     /* fewer servers are listed than ordered */

enum order_reason
{
#define ORDER_REASON_ENUM(id, name) ORDER_##id,
  ORDER_REASONS (ORDER_REASON_ENUM)
#undef ORDER_REASON_ENUM
};

#define ORDER_NO_NUMBER                                                        \
  (-1) /* no number: nothing was ordered, or it is unknown */

/* The servers of one kind of a service in a domain. A decision changes WANTED;
   it is sent once it is in the stored section.  */
struct order_kind
{
  gint wanted;           /* decided on; ORDER_NO_NUMBER: what runs */
  gint given;            /* in the section that is being stored */
  gint stored;           /* in the stored section */
  gint accepted;         /* by the platform, in this term of the lease */
  guint told;            /* what the platform may have been told, at most */
  gint64 sent_at;        /* clock time of a call in progress; 0: none */
  gint refused;          /* number refused last; ORDER_NO_NUMBER: none */
  guint limit;           /* servers that can be had until REFUSED_UNTIL */
  gint64 refused_until;  /* clock time; 0: there is capacity */
  gint64 refusal_us;     /* length of the last refusal; 0: none */
  gboolean is_reclaimed; /* the refusal follows a reclaim */
  guint step_max;     /* added by one order at most, after a refusal; 0: any */
  gint64 short_since; /* clock time since which fewer are listed than ordered;
                         0: not short */
  guint repeats;      /* of the order since then */
  guint ready;        /* listed and not leaving */
  guint serving;      /* of these, listed for long enough to serve */
  guint leaving;
  guint reached; /* largest READY since the order last changed, up to it */
};

/* A service in a domain.  */
struct order_subject
{
  char *service;      /* owned */
  char *domain;       /* owned */
  gboolean is_scaled; /* the service has scaling in the configuration */
  guint max;          /* of the service: servers of both kinds */
  struct order_kind kinds[SERVER_KINDS];
  struct load_forecast forecast;
  double own_load;        /* measured last, in busy servers */
  double planned_load;    /* on which the plan is based */
  gint64 lower_since;     /* clock time since which less is predicted; 0: not */
  double lower_load;      /* largest prediction since then */
  gint64 surplus_since;   /* clock time since which more servers run than are
                             wanted; 0: not */
  gint64 reduced_at;      /* clock time of the last reduction; 0: none */
  guint running_at_start; /* servers when the history began */
  guint plan[SERVER_KINDS]; /* the last plan */
  enum order_reason reason;
  gint64 changed_at; /* clock time; 0: never */
};

struct server_orders
{
  GPtrArray *subjects;  /* of struct order_subject, by service and domain */
  gint64 observed_at;   /* clock time; 0: not yet */
  gint64 history_since; /* clock time since which loads are known */
  gboolean is_loaded;   /* a section was given: decisions may be made */
  gboolean adopt;       /* the first look at the fleet since then is due */
  gint64 retry_at;      /* clock time before which nothing is sent */
  gint64 retry_us;      /* length of the last wait; 0: none */
  struct counter_set *counter_set; /* borrowed; NULL: none */
};

/* What one look at the fleet is about.  */
struct order_round
{
  struct server_orders *orders;
  const struct server_orders_view *view;
  gint64 now;
};

struct order_subject *server_orders_subject (struct server_orders *orders,
                                             const char *service,
                                             const char *domain);
const char *server_orders_reason_name (enum order_reason reason);
guint server_orders_current (const struct order_kind *kind);
void server_orders_refuse (struct order_kind *kind, guint limit, gint64 now);
void server_orders_measure (const struct order_round *round);
void server_orders_share_demand (const struct order_round *round, guint from,
                                 guint n);
void server_orders_decide (const struct order_round *round, guint from, guint n,
                           const struct routing_scaling *scaling);
void server_orders_count (struct server_orders *orders, enum counter_id id);

#endif
