/* Which waiting ticket starts next.  */
#include "cell/cel_int.h"

static gboolean
startable (void *ctx, const struct tkt *tkt)
{
  const struct cel *cel = ctx;
  for (guint i = 0; i < cel->servers->len; i++)
    if (cel_is_open (cel, cel->servers->pdata[i], tkt))
      return TRUE;
  return FALSE;
}

static gboolean
any_free_slot (struct cel *cel)
{
  gboolean free_slot = FALSE;
  cel->any_well = FALSE;
  for (guint i = 0; i < cel->servers->len; i++)
    {
      const struct srv *srv = cel->servers->pdata[i];
      free_slot |= srv_free_slots (srv) > 0;
      cel->any_well |= srv_takes_work (srv)
                       && srv->server_health.state == SERVER_HEALTH_OK;
    }
  cel_pack_update (cel);
  return free_slot;
}

/* Returns the next ticket of the highest tier that has a startable one. Within
   a tier, classes share by cost.  */
static struct tkt *
pick_by_tier (struct cel *cel)
{
  const struct cls *best = NULL;
  struct tkt *picked = NULL;
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *cls = cel->classes->pdata[i];
      if (best && cls->cfg.tier > best->cfg.tier)
        break;
      if (best && !fair_queue_precedes (&cls->own, &best->own))
        continue;
      struct tkt *tkt = cls_pick (cls, clk_now (cel->clk), startable, cel);
      if (!tkt)
        continue;
      best = cls;
      picked = tkt;
    }
  return picked;
}

/* Returns the next ticket of the class to which most is due of its minimum
   share of starts, or NULL. Equal dues go by tier.  */
static struct tkt *
pick_by_share (struct cel *cel)
{
  const struct cls *best = NULL;
  struct tkt *picked = NULL;
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *cls = cel->classes->pdata[i];
      if (!share_credit_due (&cls->share_credit)
          || (best && cls->share_credit.credit <= best->share_credit.credit))
        continue;
      struct tkt *tkt = cls_pick (cls, clk_now (cel->clk), startable, cel);
      if (!tkt)
        continue;
      best = cls;
      picked = tkt;
    }
  return picked;
}

static struct tkt *
pick (struct cel *cel)
{
  if (cel_n_waiting (cel) == 0 || !any_free_slot (cel))
    return NULL;
  struct tkt *tkt = pick_by_share (cel);
  return tkt ? tkt : pick_by_tier (cel);
}

/* Starts waiting tickets as long as there are slots for them.  */
void
cel_pump (struct cel *cel)
{
  gint64 now = clk_now (cel->clk);
  struct tkt *tkt;
  rate_window_update (&cel->rate, now, cel->rate.backlogged);
  while ((tkt = pick (cel)))
    cel_start (cel, tkt, cel_place (cel, tkt));
  rate_window_update (&cel->rate, now,
                      cel_n_waiting (cel) > 0 && !any_free_slot (cel));
}
