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

/* Tells whether A has the lower share of its limit in use. Half a request
   on top prefers the greater limit among idle servers, yet tries one with a
   small limit before the others are full, so that its limit can grow.  */
static gboolean
is_better (const struct srv *a, const struct srv *b)
{
  guint64 a_used = 2 * (a->in_flight.length + a->foreign) + 1;
  guint64 b_used = 2 * (b->in_flight.length + b->foreign) + 1;
  return a_used * srv_limit (b) < b_used * srv_limit (a);
}

static gboolean
is_highest_tier (const struct cel *cel, const struct tkt *tkt)
{
  const struct cls *first = cel->classes->pdata[0];
  return tkt->cls->cfg.tier == first->cfg.tier;
}

/* Tells whether TKT may start on SRV now. One on probation takes a request
   now and then; the highest tier is spared while another server is well.  */
static gboolean
is_open (const struct cel *cel, const struct srv *srv, const struct tkt *tkt)
{
  if (srv_free_slots (srv) == 0 || avoids (tkt, srv))
    return FALSE;
  if (srv->hea.state == HEA_OK)
    return TRUE;
  gboolean spare = cel->any_well && is_highest_tier (cel, tkt);
  return hea_wants_probe (&srv->hea, clk_now (cel->clk), spare);
}

/* Returns the server for TKT, NULL if none is open to it. A due probe goes
   first. Starts at a random one, so that equals share.  */
static struct srv *
choose_server (struct cel *cel, const struct tkt *tkt)
{
  struct srv *best = NULL;
  guint n = cel->servers->len;
  guint first = (guint)g_rand_int_range (cel->rand, 0, (gint32)MAX (n, 1));
  for (guint i = 0; i < n; i++)
    {
      struct srv *srv = cel->servers->pdata[(first + i) % n];
      if (!is_open (cel, srv, tkt))
        continue;
      if (srv->hea.state != HEA_OK)
        return srv;
      if (!best || is_better (srv, best))
        best = srv;
    }
  return best;
}

static gboolean
startable (void *ctx, const struct tkt *tkt)
{
  const struct cel *cel = ctx;
  for (guint i = 0; i < cel->servers->len; i++)
    if (is_open (cel, cel->servers->pdata[i], tkt))
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
      cel->any_well |= srv_takes_work (srv) && srv->hea.state == HEA_OK;
    }
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
      struct srv *srv = choose_server (cel, tkt);
      hea_probe (&srv->hea, clk_now (cel->clk));
      cel_start (cel, tkt, srv);
    }
}
