#include "sched/retry_groups.h"

#include <string.h>

/* Returns the group of requests that must not use the same servers as REQUEST,
   NULL if there is none.  */
struct retry_group *
retry_groups_find (struct retry_groups *retry_groups,
                   const struct placement_request *request)
{
  for (guint i = 0; i < retry_groups->n; i++)
    {
      const struct placement_request *other = retry_groups->groups[i].request;
      if (other->n_tried == request->n_tried
          && g_strcmp0 (other->version, request->version) == 0
          && memcmp (other->tried, request->tried,
                     request->n_tried * sizeof request->tried[0])
                 == 0)
        return &retry_groups->groups[i];
    }
  return NULL;
}

/* Adds REQUEST, which has to wait; it is borrowed. Returns FALSE if there are
   too many groups.  */
gboolean
retry_groups_add (struct retry_groups *retry_groups,
                  const struct placement_request *request)
{
  struct retry_group *group = retry_groups_find (retry_groups, request);
  if (group == NULL && retry_groups->n == RETRY_GROUPS_MAX)
    return FALSE;
  if (group == NULL)
    {
      group = &retry_groups->groups[retry_groups->n++];
      group->request = request;
      backfill_init (&group->backfill);
    }
  backfill_add_waiting (&group->backfill, request->prompt_tokens);
  return TRUE;
}

/* Returns whether REQUEST may start at SERVER before those added.  */
gboolean
retry_groups_allow (const struct retry_groups *retry_groups,
                    const struct placement_request *request,
                    const struct registry_server *server)
{
  for (guint i = 0; i < retry_groups->n; i++)
    if (!placement_excludes (retry_groups->groups[i].request, server)
        && !backfill_allows (&retry_groups->groups[i].backfill,
                             request->prompt_tokens))
      return FALSE;
  return TRUE;
}
