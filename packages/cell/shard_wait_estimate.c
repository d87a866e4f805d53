/* How long tickets will wait, and when refused ones should come back.  */
#include "cell/shard_internal.h"

#define SHARD_RETRY_MAX_US (30 * CLK_S)
#define SHARD_RETRY_JITTER 0.5 /* share added at most */
#define SHARD_WAIT_FACTOR 2    /* times the longest wait, */
#define SHARD_WAIT_MARGIN_US                                                   \
  (500 * CLK_MS) /* and so much: clearly beyond it                             \
                  */

/* Returns the tickets waiting in the cell.  */
guint
shard_n_waiting (const struct shard_owner *shard_owner)
{
  return (guint)g_sequence_get_length (shard_owner->deadlines);
}

/* Estimate of the wait of a new ticket of TEAM in CLS: what starts before it
   in its tier and above by the drain rate, or in its class by the class's
   minimum share of it, if that is less; 0 if there are free slots or the rate
   is not known.  */
static gint64
expected_wait (const struct shard_owner *shard_owner,
               const struct class_queue *class_queue,
               const struct team_state *team)
{
  double rate = rte_drain_per_s (&shard_owner->rate);
  if (rate <= 0 || !shard_owner->rate.busy)
    return 0;
  guint own = class_n_ahead (class_queue, team);
  guint ahead = own;
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *other = shard_owner->classes->pdata[i];
      if (other->cfg.tier < class_queue->cfg.tier)
        ahead += class_n_ahead (other, NULL);
      else if (other->cfg.tier == class_queue->cfg.tier && other != class_queue)
        ahead += MIN (class_n_ahead (other, NULL), own + 1);
    }
  double wait = ahead / rate;
  if (class_queue->cfg.min_share > 0)
    wait = MIN (wait, own / (rate * class_queue->cfg.min_share));
  return (gint64)(wait * CLK_S);
}

/* Tells whether a new ticket of TEAM in CLS that can wait WAIT_US would
   clearly wait longer, so that it is better refused now.  */
gboolean
shard_is_wait_too_long (const struct shard_owner *shard_owner,
                        const struct class_queue *class_queue,
                        const struct team_state *team, gint64 wait_us)
{
  return expected_wait (shard_owner, class_queue, team)
         > SHARD_WAIT_FACTOR * CLAMP (wait_us, 0, SHARD_WAIT_MAX_US)
               + SHARD_WAIT_MARGIN_US;
}

/* Returns when a refused ticket of TEAM in CLS, NULL if unknown, should come
   back; spread at random, so that the refused do not come back together.  */
gint64
shard_retry_after (struct shard_owner *shard_owner,
                   const struct class_queue *class_queue,
                   const struct team_state *team)
{
  gint64 wait
      = class_queue ? expected_wait (shard_owner, class_queue, team) : 0;
  wait = CLAMP (wait, SHARD_RETRY_MIN_US, SHARD_RETRY_MAX_US);
  double jitter
      = g_rand_double_range (shard_owner->rand, 0, SHARD_RETRY_JITTER);
  return wait + (gint64)((double)wait * jitter);
}
