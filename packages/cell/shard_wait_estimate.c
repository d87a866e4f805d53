/* Estimates waiting times, and when a rejected request should be retried.  */
#include "cell/shard_internal.h"

#define SHARD_RETRY_MAX_US (30 * CLK_S)
/* Largest random addition, as a share of the time. */
#define SHARD_RETRY_JITTER 0.5
/* A new request is rejected if its expected wait exceeds the wait that it
   allows by this factor and margin. */
#define SHARD_WAIT_FACTOR 2
#define SHARD_WAIT_MARGIN_US (500 * CLK_MS)

/* Returns the number of requests waiting in the shard.  */
guint
shard_n_waiting (const struct shard_owner *shard)
{
  return (guint)g_sequence_get_length (shard->deadlines);
}

/* Estimates the wait of a new request of TEAM in CLASS, microseconds: the
   number of requests that start before it in its tier and above, divided by the
   drain rate. If the class has a minimum share, its own queue at that share of
   the rate is used if it gives less. Returns 0 if there are free slots or the
   rate is unknown.  */
static gint64
expected_wait (const struct shard_owner *shard, const struct class_queue *class,
               const struct team_state *team)
{
  double rate = rate_window_drain_per_s (&shard->rate);
  if (rate <= 0 || !shard->rate.backlogged)
    return 0;
  guint own = class_n_ahead (class, team);
  guint ahead = own;
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *other = shard->classes->pdata[i];
      if (other->cfg.tier < class->cfg.tier)
        ahead += class_n_ahead (other, NULL);
      else if (other->cfg.tier == class->cfg.tier && other != class)
        ahead += MIN (class_n_ahead (other, NULL), own + 1);
    }
  double wait = ahead / rate;
  if (class->cfg.min_share > 0)
    wait = MIN (wait, own / (rate * class->cfg.min_share));
  return (gint64)(wait * CLK_S);
}

/* Returns whether a new request of TEAM in CLASS that may wait WAIT_US would
   clearly wait longer, so that it is better rejected now.  */
gboolean
shard_is_wait_too_long (const struct shard_owner *shard,
                        const struct class_queue *class,
                        const struct team_state *team, gint64 wait_us)
{
  return expected_wait (shard, class, team)
         > SHARD_WAIT_FACTOR * CLAMP (wait_us, 0, SHARD_WAIT_MAX_US)
               + SHARD_WAIT_MARGIN_US;
}

/* Returns the time in microseconds after which a rejected request of TEAM in
   CLASS (NULL: unknown) should be retried. A random addition keeps rejected
   requests from coming back together.  */
gint64
shard_retry_after (struct shard_owner *shard, const struct class_queue *class,
                   const struct team_state *team)
{
  gint64 wait = class ? expected_wait (shard, class, team) : 0;
  wait = CLAMP (wait, SHARD_RETRY_MIN_US, SHARD_RETRY_MAX_US);
  double jitter = g_rand_double_range (shard->rand, 0, SHARD_RETRY_JITTER);
  return wait + (gint64)((double)wait * jitter);
}
