/* How long tickets will wait, and when refused ones should come back.  */
#include "cell/cel_int.h"

#define CEL_RETRY_MAX_US (30 * CLK_S)
#define CEL_RETRY_JITTER 0.5         /* share added at most */
#define CEL_BEYOND_FACTOR 2          /* times the longest wait, */
#define CEL_BEYOND_US (500 * CLK_MS) /* and so much: clearly beyond it */

/* Returns the tickets waiting in the cell.  */
guint
cel_n_waiting (const struct cel *cel)
{
  return (guint)g_sequence_get_length (cel->deadlines);
}

/* Estimate of the wait of a new ticket of TEAM in CLS: what starts before it
   in its tier and above by the drain rate, or in its class by the class's
   minimum share of it, if that is less; 0 if there are free slots or the rate
   is not known.  */
static gint64
expected_wait (const struct cel *cel, const struct cls *cls,
               const struct tem *team)
{
  double rate = rate_window_drain_per_s (&cel->rate);
  if (rate <= 0 || !cel->rate.backlogged)
    return 0;
  guint own = cls_ahead (cls, team);
  guint ahead = own;
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *other = cel->classes->pdata[i];
      if (other->cfg.tier < cls->cfg.tier)
        ahead += cls_ahead (other, NULL);
      else if (other->cfg.tier == cls->cfg.tier && other != cls)
        ahead += MIN (cls_ahead (other, NULL), own + 1);
    }
  double wait = ahead / rate;
  if (cls->cfg.min_share > 0)
    wait = MIN (wait, own / (rate * cls->cfg.min_share));
  return (gint64)(wait * CLK_S);
}

/* Tells whether a new ticket of TEAM in CLS that can wait WAIT_US would
   clearly wait longer, so that it is better refused now.  */
gboolean
cel_is_hopeless (const struct cel *cel, const struct cls *cls,
                 const struct tem *team, gint64 wait_us)
{
  return expected_wait (cel, cls, team)
         > CEL_BEYOND_FACTOR * CLAMP (wait_us, 0, CEL_WAIT_MAX_US)
               + CEL_BEYOND_US;
}

/* Returns when a refused ticket of TEAM in CLS, NULL if unknown, should come
   back; spread at random, so that the refused do not come back together.  */
gint64
cel_retry_after (struct cel *cel, const struct cls *cls, const struct tem *team)
{
  gint64 wait = cls ? expected_wait (cel, cls, team) : 0;
  wait = CLAMP (wait, CEL_RETRY_MIN_US, CEL_RETRY_MAX_US);
  double jitter = g_rand_double_range (cel->rand, 0, CEL_RETRY_JITTER);
  return wait + (gint64)((double)wait * jitter);
}
