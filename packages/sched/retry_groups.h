/* Queued requests that must not use all servers of their service, grouped by
   those that they must not use, in one pass over a queue. Does no I/O.  */
#ifndef RETRY_GROUPS_H
#define RETRY_GROUPS_H

#include "sched/backfill.h"
#include "sched/placement.h"

#define RETRY_GROUPS_MAX 8

struct retry_group
{
  const struct placement_request *request; /* of one of them */
  struct backfill backfill;
};

struct retry_groups
{
  struct retry_group groups[RETRY_GROUPS_MAX];
  guint n;
};

struct retry_group *retry_groups_find (struct retry_groups *retry_groups,
                                       const struct placement_request *request);
gboolean retry_groups_add (struct retry_groups *retry_groups,
                           const struct placement_request *request);
gboolean retry_groups_allow (const struct retry_groups *retry_groups,
                             const struct placement_request *request,
                             const struct registry_server *server);

#endif
