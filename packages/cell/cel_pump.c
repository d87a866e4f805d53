/* Which waiting ticket starts next, and where.  */
#include "cell/cel_int.h"

#include <string.h>

static gboolean
avoids (const struct tkt *tkt, const struct srv *srv)
{
  for (guint i = 0; i < MSG_AVOID_MAX && tkt->avoid[i].s[0]; i++)
    if (strcmp (tkt->avoid[i].s, srv->cfg.name.s) == 0)
      return TRUE;
  return FALSE;
}

static struct srv *
choose_server (const struct cel *cel, const struct tkt *tkt)
{
  struct srv *best = NULL;
  for (guint i = 0; i < cel->servers->len; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      if (srv_free_slots (srv) == 0 || avoids (tkt, srv))
        continue;
      if (!best || srv_free_slots (srv) > srv_free_slots (best))
        best = srv;
    }
  return best;
}

static gboolean
startable (void *ctx, const struct tkt *tkt)
{
  const struct cel *cel = ctx;
  for (guint i = 0; i < cel->servers->len; i++)
    {
      const struct srv *srv = cel->servers->pdata[i];
      if (srv_free_slots (srv) > 0 && !avoids (tkt, srv))
        return TRUE;
    }
  return FALSE;
}

static gboolean
any_free_slot (const struct cel *cel)
{
  for (guint i = 0; i < cel->servers->len; i++)
    if (srv_free_slots (cel->servers->pdata[i]) > 0)
      return TRUE;
  return FALSE;
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
      if (best && !dfq_before (&cls->own, &best->own))
        continue;
      struct tkt *tkt = cls_pick (cls, startable, cel);
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
      if (!shr_due (&cls->shr) || (best && cls->shr.credit <= best->shr.credit))
        continue;
      struct tkt *tkt = cls_pick (cls, startable, cel);
      if (!tkt)
        continue;
      best = cls;
      picked = tkt;
    }
  return picked;
}

/* Starts waiting tickets as long as there are slots for them.  */
void
cel_pump (struct cel *cel)
{
  while (any_free_slot (cel))
    {
      struct tkt *tkt = pick_by_share (cel);
      if (!tkt)
        tkt = pick_by_tier (cel);
      if (!tkt)
        return;
      cel_start (cel, tkt, choose_server (cel, tkt));
    }
}
