/* Which waiting ticket starts next.  */
#include "cell/shard_internal.h"

static gboolean
startable (void *ctx, const struct queued_request *queued_request)
{
  const struct shard_owner *shard_owner = ctx;
  for (guint i = 0; i < shard_owner->servers->len; i++)
    if (shard_may_start (shard_owner, shard_owner->servers->pdata[i],
                         queued_request))
      return TRUE;
  return FALSE;
}

static gboolean
any_free_slot (struct shard_owner *shard_owner)
{
  gboolean free_slot = FALSE;
  shard_owner->any_well = FALSE;
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      const struct shard_server *shard_server = shard_owner->servers->pdata[i];
      free_slot |= server_free_slots (shard_server) > 0;
      shard_owner->any_well
          |= server_accepts (shard_server) && shard_server->hea.state == HEA_OK;
    }
  shard_reserve (shard_owner);
  return free_slot;
}

/* Returns the next ticket of the highest tier that has a startable one. Within
   a tier, classes share by cost.  */
static struct queued_request *
pick_by_tier (struct shard_owner *shard_owner)
{
  const struct class_queue *best = NULL;
  struct queued_request *picked = NULL;
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *class_queue = shard_owner->classes->pdata[i];
      if (best && class_queue->cfg.tier > best->cfg.tier)
        break;
      if (best && !dfq_before (&class_queue->own, &best->own))
        continue;
      struct queued_request *queued_request = class_pick (
          class_queue, clk_now (shard_owner->clk), startable, shard_owner);
      if (!queued_request)
        continue;
      best = class_queue;
      picked = queued_request;
    }
  return picked;
}

/* Returns the next ticket of the class to which most is due of its minimum
   share of starts, or NULL. Equal dues go by tier.  */
static struct queued_request *
pick_by_share (struct shard_owner *shard_owner)
{
  const struct class_queue *best = NULL;
  struct queued_request *picked = NULL;
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *class_queue = shard_owner->classes->pdata[i];
      if (!shr_due (&class_queue->shr)
          || (best && class_queue->shr.credit <= best->shr.credit))
        continue;
      struct queued_request *queued_request = class_pick (
          class_queue, clk_now (shard_owner->clk), startable, shard_owner);
      if (!queued_request)
        continue;
      best = class_queue;
      picked = queued_request;
    }
  return picked;
}

static struct queued_request *
pick (struct shard_owner *shard_owner)
{
  if (shard_n_waiting (shard_owner) == 0 || !any_free_slot (shard_owner))
    return NULL;
  struct queued_request *queued_request = pick_by_share (shard_owner);
  return queued_request ? queued_request : pick_by_tier (shard_owner);
}

/* Starts waiting tickets as long as there are slots for them.  */
void
shard_dispatch (struct shard_owner *shard_owner)
{
  gint64 now = clk_now (shard_owner->clk);
  struct queued_request *queued_request;
  rte_update (&shard_owner->rate, now, shard_owner->rate.busy);
  while ((queued_request = pick (shard_owner)))
    shard_grant (shard_owner, queued_request,
                 shard_place (shard_owner, queued_request));
  rte_update (&shard_owner->rate, now,
              shard_n_waiting (shard_owner) > 0
                  && !any_free_slot (shard_owner));
}
