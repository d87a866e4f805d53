/* Keeps work with the tightest target between tokens together. One such
   request lowers the limit of its server for all work there, so it is given
   as few servers as its measured demand needs; these keep room for it, the
   others run full batches.  */
#include "cell/cel_int.h"

#include <math.h>

#define PACK_BINDING 1.5 /* times the measured tbt: lower targets bind */
#define PACK_DECAY_US (10 * CLK_S) /* of the demand's maximum */
#define PACK_MARGIN 1.2            /* times the demand is kept free */
#define PACK_DEMAND_MIN 0.5        /* requests; below it nothing is reserved */
#define PACK_IDLE_PART 2           /* of the slots, a half, is never reserved */
#define PACK_SPARE 2.0             /* requests above that */

/* The tightest target of a class, microseconds between tokens; 0 if there is
   none or if full batches meet it.  */
static gint64
binding_target (const struct cel *cel)
{
  gint64 tightest = 0;
  double slowest = 0;
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *cls = cel->classes->pdata[i];
      gint64 target = cls->cfg.tbt_us;
      if (target > 0 && (tightest == 0 || target < tightest))
        tightest = target;
    }
  for (guint i = 0; i < cel->servers->len; i++)
    {
      const struct srv *srv = cel->servers->pdata[i];
      if (srv->server_health.state == SERVER_HEALTH_OK)
        slowest = MAX (slowest, srv->server_health.tbt.value);
    }
  return slowest * PACK_BINDING < (double)tightest ? 0 : tightest;
}

static guint
count_tight (const struct cel *cel)
{
  guint n = 0;
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *cls = cel->classes->pdata[i];
      if (cls->cfg.tbt_us == cel->pack.target_us)
        n += cls->n_running + cls->n_waiting;
    }
  return n;
}

/* Notes the demand of the tightest target, whose maximum fades.  */
static void
note_demand (struct cel *cel)
{
  struct cel_pack *pack = &cel->pack;
  gint64 now = clk_now (cel->clk);
  double passed = (double)(now - pack->noted);
  pack->demand *= exp (-passed / PACK_DECAY_US);
  pack->demand = MAX (pack->demand, count_tight (cel));
  pack->noted = now;
}

/* Reserves room for the tightest target, one server after the other.  */
void
cel_pack_update (struct cel *cel)
{
  cel->pack.target_us = binding_target (cel);
  note_demand (cel);
  double left = 0;
  if (cel->pack.target_us > 0 && cel->pack.demand >= PACK_DEMAND_MIN)
    left = cel->pack.demand * PACK_MARGIN + PACK_SPARE;
  cel->pack.room = FALSE;
  for (guint i = 0; i < cel->servers->len; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      gboolean well = srv_takes_work (srv)
                      && srv->server_health.state == SERVER_HEALTH_OK;
      srv->reserved = well ? (guint)MIN (left, srv_limit (srv)) : 0;
      left -= srv->reserved;
      cel->pack.room |= srv->reserved > 0 && srv_free_slots (srv) > 0;
    }
}

static guint
count_loose_on (const struct cel *cel, const struct srv *srv)
{
  guint n = 0;
  for (const GList *l = srv->in_flight.head; l; l = l->next)
    {
      const struct tkt *tkt = l->data;
      n += !tkt->cls || tkt->cls->cfg.tbt_us != cel->pack.target_us;
    }
  return n;
}

/* Tells whether SRV has room that is meant for TKT. Work of the tightest
   target goes elsewhere at once when its reserved servers are full, so that no
   lower tier starts before it. A class that is several starts below its minimum
   share starts anywhere.  */
gboolean
cel_pack_suits (const struct cel *cel, const struct srv *srv,
                const struct tkt *tkt)
{
  if (cel->pack.target_us == 0
      || share_credit_overdue (&tkt->cls->share_credit))
    return TRUE;
  if (tkt->cls->cfg.tbt_us == cel->pack.target_us)
    return srv->reserved > 0 || !cel->pack.room;
  return srv->reserved == 0
         || srv->in_flight.length * PACK_IDLE_PART < srv_limit (srv)
         || count_loose_on (cel, srv) + srv->reserved < srv_limit (srv);
}
