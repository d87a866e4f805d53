/* Room to wait. The cell has room for the sum of all classes' max_waiting. A
   class may fill its own max_waiting, less what other classes have reserved
   and not filled; beyond that it takes the place of a lower tier's ticket.  */
#include "cell/shard_internal.h"

static guint
unfilled (const struct class_queue *class_queue)
{
  guint reserved = class_queue->cfg.reserved_waiting;
  return class_queue->n_waiting < reserved ? reserved - class_queue->n_waiting
                                           : 0;
}

/* Tells whether CLS may queue one more ticket without displacing any.  */
static gboolean
has_room (const struct shard_owner *shard_owner,
          const struct class_queue *class_queue)
{
  guint64 room = 0;
  guint64 used = 0;
  if (class_queue->n_waiting < class_queue->cfg.reserved_waiting)
    return TRUE;
  if (class_queue->n_waiting >= class_queue->cfg.max_waiting)
    return FALSE;
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *other = shard_owner->classes->pdata[i];
      room += other->cfg.max_waiting;
      used += other->n_waiting + unfilled (other);
    }
  return used < room;
}

/* Returns the ticket to displace for one of TIER: of the lowest tier below it
   the youngest that is not within its class's reserved room, or NULL.  */
static struct queued_request *
find_victim (const struct shard_owner *shard_owner, guint tier)
{
  struct queued_request *victim = NULL;
  for (guint i = shard_owner->classes->len; i-- > 0;)
    {
      const struct class_queue *class_queue = shard_owner->classes->pdata[i];
      if (class_queue->cfg.tier <= tier
          || (victim && class_queue->cfg.tier < victim->class_queue->cfg.tier))
        break;
      if (class_queue->n_waiting <= class_queue->cfg.reserved_waiting)
        continue;
      struct queued_request *queued_request = class_youngest (class_queue);
      if (!victim || queued_request->arrived > victim->arrived)
        victim = queued_request;
    }
  return victim;
}

/* Makes room for one more waiting ticket of CLS. Returns FALSE if there is
   none and no ticket of a lower tier can be displaced.  */
gboolean
shard_make_room (struct shard_owner *shard_owner,
                 const struct class_queue *class_queue)
{
  if (has_room (shard_owner, class_queue))
    return TRUE;
  struct queued_request *victim
      = find_victim (shard_owner, class_queue->cfg.tier);
  if (!victim)
    return FALSE;
  ctr_add (shard_owner->ctr, CTR_DISPLACED, 1);
  shard_reject (shard_owner, victim, MSG_REASON_DISPLACED);
  return TRUE;
}

/* Tells whether any server takes new work.  */
gboolean
shard_has_server (const struct shard_owner *shard_owner)
{
  for (guint i = 0; i < shard_owner->servers->len; i++)
    if (server_accepts (shard_owner->servers->pdata[i]))
      return TRUE;
  return FALSE;
}

/* Refuses all waiting tickets if no server takes new work, so that their
   entries try another cell at once.  */
void
shard_reject_if_unserved (struct shard_owner *shard_owner)
{
  if (shard_has_server (shard_owner))
    return;
  while (!g_sequence_is_empty (shard_owner->deadlines))
    shard_reject (
        shard_owner,
        g_sequence_get (g_sequence_get_begin_iter (shard_owner->deadlines)),
        MSG_REASON_NO_SERVER);
}
