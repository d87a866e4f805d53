/* Admission to the queue. The shard's queue has room for the sum of all
   classes' max_waiting. A class may use its own max_waiting, unless that would
   take room that other classes have reserved and not filled. Beyond that, a new
   request must evict a waiting one of a lower tier.  */
#include "cell/shard_internal.h"

static guint
unfilled_reserve (const struct class_queue *class)
{
  guint reserved = class->cfg.reserved_waiting;
  return class->n_waiting < reserved ? reserved - class->n_waiting : 0;
}

/* Returns whether CLASS may queue one more request without an eviction.  */
static gboolean
has_room (const struct shard_owner *shard, const struct class_queue *class)
{
  guint64 room = 0;
  guint64 used = 0;
  if (class->n_waiting < class->cfg.reserved_waiting)
    return TRUE;
  if (class->n_waiting >= class->cfg.max_waiting)
    return FALSE;
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *other = shard->classes->pdata[i];
      room += other->cfg.max_waiting;
      used += other->n_waiting + unfilled_reserve (other);
    }
  return used < room;
}

/* Returns the request to evict in favour of one of TIER, or NULL. It is the one
   that arrived last in the lowest tier below TIER, skipping classes that do not
   exceed their reserved room.  */
static struct queued_request *
find_victim (const struct shard_owner *shard, guint tier)
{
  struct queued_request *victim = NULL;
  for (guint i = shard->classes->len; i-- > 0;)
    {
      const struct class_queue *class = shard->classes->pdata[i];
      if (class->cfg.tier <= tier
          || (victim && class->cfg.tier < victim->class->cfg.tier))
        break;
      if (class->n_waiting <= class->cfg.reserved_waiting)
        continue;
      struct queued_request *request = class_youngest (class);
      if (!victim || request->arrived > victim->arrived)
        victim = request;
    }
  return victim;
}

/* Makes room for one more waiting request of CLASS. Returns FALSE if there is
   none and no request of a lower tier can be evicted.  */
gboolean
shard_make_room (struct shard_owner *shard, const struct class_queue *class)
{
  if (has_room (shard, class))
    return TRUE;
  struct queued_request *victim = find_victim (shard, class->cfg.tier);
  if (!victim)
    return FALSE;
  counter_add (shard->counter_set, COUNTER_EVICTED, 1);
  shard_reject (shard, victim, MSG_REASON_EVICTED);
  return TRUE;
}

/* Returns whether any server accepts new requests.  */
gboolean
shard_has_server (const struct shard_owner *shard)
{
  for (guint i = 0; i < shard->servers->len; i++)
    if (server_accepts (shard->servers->pdata[i]))
      return TRUE;
  return FALSE;
}

/* Rejects all waiting requests if no server accepts new ones, so that their
   ingress instances try another shard at once.  */
void
shard_reject_if_unserved (struct shard_owner *shard)
{
  if (shard_has_server (shard))
    return;
  while (!g_sequence_is_empty (shard->deadlines))
    shard_reject (shard,
                  g_sequence_get (g_sequence_get_begin_iter (shard->deadlines)),
                  MSG_REASON_NO_SERVER);
}
