/* This instance's share of the limit that a backend server has named for all
   instances together. Does no I/O.  */
#ifndef LIMIT_SHARE_H
#define LIMIT_SHARE_H

#include "base/clock.h"

#define LIMIT_SHARE_GRANTS 8
#define LIMIT_SHARE_DOMAINS 16

/* An instance.  */
struct limit_member
{
  guint64 hash;       /* of the instance */
  guint64 domain_key; /* hash of its failure domain */
};

/* The instances that share limits.  */
struct limit_members
{
  const struct limit_member *members; /* with this one; borrowed */
  guint n;                            /* 0: unknown, none may send */
  guint64 self;                       /* hash of this instance */
  guint version;                      /* changes with the members */
};

/* The failure domains that have servers of one service, by hash. If there are
   more than fit, the others count as domains without servers.  */
struct limit_domains
{
  guint64 keys[LIMIT_SHARE_DOMAINS];
  guint n;
  guint64 version; /* depends on which they are */
};

/* A server that has named a limit.  */
struct limit_query
{
  double per_s;                        /* the limit, above 0 */
  guint64 server_key;                  /* hash of the server */
  guint64 domain_key;                  /* hash of its failure domain */
  const struct limit_domains *domains; /* of its service */
  const struct limit_members *members;
  /* Microseconds of a clock that is about the same at all instances.  */
  gint64 shared_now;
};

/* What may still be sent on account of a time slot.  */
struct limit_grant
{
  gint64 slot;
  guint left; /* requests */
};

/* All zero: no limit is in force.  */
struct limit_share
{
  double per_s;     /* for which it was computed */
  gint64 slot_us;   /* length of the time slots */
  guint64 version;  /* of the members and domains */
  guint n_local;    /* instances to which most slots belong */
  double own_per_s; /* requests a second of this instance, on average */
  gint64 next;      /* slot from which on there may be more for this instance */
  gboolean is_next_own; /* it is one of this instance */
  struct limit_grant grants[LIMIT_SHARE_GRANTS]; /* by slot */
};

guint limit_share_count_local (const struct limit_query *query);
gboolean limit_share_owns (const struct limit_query *query, guint n_local,
                           gint64 slot);
void limit_domains_add (struct limit_domains *domains, guint64 key);
gint64 limit_share_wait (struct limit_share *share,
                         const struct limit_query *query);
void limit_share_spend (struct limit_share *share,
                        const struct limit_query *query);

#endif
