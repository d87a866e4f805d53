/* Chooses the waiting request that starts next.  */
#include "cell/shard_internal.h"

static gboolean
startable (void *ctx, const struct queued_request *request)
{
  const struct shard_owner *shard = ctx;
  for (guint i = 0; i < shard->servers->len; i++)
    if (shard_may_start (shard, shard->servers->pdata[i], request))
      return TRUE;
  return FALSE;
}

static gboolean
any_free_slot (struct shard_owner *shard)
{
  gboolean free_slot = FALSE;
  shard->any_healthy = FALSE;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const struct shard_server *server = shard->servers->pdata[i];
      free_slot |= server_free_slots (server) > 0;
      shard->any_healthy |= server_accepts (server)
                            && server->health.state == SERVER_HEALTH_OK;
    }
  shard_reserve (shard);
  return free_slot;
}

/* Returns the next request of the highest tier that has one that can start, or
   NULL. Within a tier, classes share by the tokens charged.  */
static struct queued_request *
pick_by_tier (struct shard_owner *shard)
{
  const struct class_queue *best = NULL;
  struct queued_request *picked = NULL;
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *class = shard->classes->pdata[i];
      if (best && class->cfg.tier > best->cfg.tier)
        break;
      if (best && !fair_queue_precedes (&class->tier_flow, &best->tier_flow))
        continue;
      struct queued_request *request
          = class_pick (class, clk_now (shard->clk), startable, shard);
      if (!request)
        continue;
      best = class;
      picked = request;
    }
  return picked;
}

/* Returns the next request of the class that is furthest behind its minimum
   share of starts, or NULL if none is behind. Among equals the higher tier
   wins.  */
static struct queued_request *
pick_by_share (struct shard_owner *shard)
{
  const struct class_queue *best = NULL;
  struct queued_request *picked = NULL;
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *class = shard->classes->pdata[i];
      if (!share_credit_due (&class->start_share)
          || (best && class->start_share.credit <= best->start_share.credit))
        continue;
      struct queued_request *request
          = class_pick (class, clk_now (shard->clk), startable, shard);
      if (!request)
        continue;
      best = class;
      picked = request;
    }
  return picked;
}

static struct queued_request *
pick (struct shard_owner *shard)
{
  if (shard_n_waiting (shard) == 0 || !any_free_slot (shard))
    return NULL;
  struct queued_request *request = pick_by_share (shard);
  return request ? request : pick_by_tier (shard);
}

/* Starts waiting requests as long as servers have free slots for them.  */
void
shard_dispatch (struct shard_owner *shard)
{
  gint64 now = clk_now (shard->clk);
  struct queued_request *request;
  rate_window_update (&shard->rate, now, shard->rate.backlogged);
  while ((request = pick (shard)))
    shard_grant (shard, request, shard_place (shard, request));
  rate_window_update (&shard->rate, now,
                      shard_n_waiting (shard) > 0 && !any_free_slot (shard));
}
