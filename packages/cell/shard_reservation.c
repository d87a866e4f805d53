/* Keeps work with the tightest target between tokens together. One such
   request lowers the limit of its server for all work there, so it is given
   as few servers as its measured demand needs; these keep room for it, the
   others run full batches.  */
#include "cell/shard_internal.h"

#include <math.h>

#define RESERVE_TBT_FACTOR                                                     \
  1.5 /* times the measured tbt: lower targets bind                            \
       */
#define RESERVE_DECAY_US (10 * CLK_S) /* of the demand's maximum */
#define RESERVE_MARGIN 1.2            /* times the demand is kept free */
#define RESERVE_DEMAND_MIN 0.5 /* requests; below it nothing is reserved */
#define RESERVE_OPEN_DIVISOR 2 /* of the slots, a half, is never reserved */
#define RESERVE_SPARE 2.0      /* requests above that */

/* The tightest target of a class, microseconds between tokens; 0 if there is
   none or if full batches meet it.  */
static gint64
binding_target (const struct shard_owner *shard_owner)
{
  gint64 tightest = 0;
  double slowest = 0;
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *class_queue = shard_owner->classes->pdata[i];
      gint64 target = class_queue->cfg.tbt_us;
      if (target > 0 && (tightest == 0 || target < tightest))
        tightest = target;
    }
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      const struct shard_server *shard_server = shard_owner->servers->pdata[i];
      if (shard_server->hea.state == HEA_OK)
        slowest = MAX (slowest, shard_server->hea.tbt.value);
    }
  return slowest * RESERVE_TBT_FACTOR < (double)tightest ? 0 : tightest;
}

static guint
count_tight (const struct shard_owner *shard_owner)
{
  guint n = 0;
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *class_queue = shard_owner->classes->pdata[i];
      if (class_queue->cfg.tbt_us == shard_owner->pack.target_us)
        n += class_queue->n_running + class_queue->n_waiting;
    }
  return n;
}

/* Notes the demand of the tightest target, whose maximum fades.  */
static void
note_demand (struct shard_owner *shard_owner)
{
  struct shard_reservation *pack = &shard_owner->pack;
  gint64 now = clk_now (shard_owner->clk);
  double passed = (double)(now - pack->noted);
  pack->demand *= exp (-passed / RESERVE_DECAY_US);
  pack->demand = MAX (pack->demand, count_tight (shard_owner));
  pack->noted = now;
}

/* Reserves room for the tightest target, one server after the other.  */
void
shard_reserve (struct shard_owner *shard_owner)
{
  shard_owner->pack.target_us = binding_target (shard_owner);
  note_demand (shard_owner);
  double left = 0;
  if (shard_owner->pack.target_us > 0
      && shard_owner->pack.demand >= RESERVE_DEMAND_MIN)
    left = shard_owner->pack.demand * RESERVE_MARGIN + RESERVE_SPARE;
  shard_owner->pack.room = FALSE;
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      struct shard_server *shard_server = shard_owner->servers->pdata[i];
      gboolean well
          = server_accepts (shard_server) && shard_server->hea.state == HEA_OK;
      shard_server->reserved
          = well ? (guint)MIN (left, server_limit (shard_server)) : 0;
      left -= shard_server->reserved;
      shard_owner->pack.room
          |= shard_server->reserved > 0 && server_free_slots (shard_server) > 0;
    }
}

static guint
count_loose_on (const struct shard_owner *shard_owner,
                const struct shard_server *shard_server)
{
  guint n = 0;
  for (const GList *l = shard_server->in_flight.head; l; l = l->next)
    {
      const struct queued_request *queued_request = l->data;
      n += !queued_request->class_queue
           || queued_request->class_queue->cfg.tbt_us
                  != shard_owner->pack.target_us;
    }
  return n;
}

/* Tells whether SRV has room that is meant for TKT. Work of the tightest
   target goes elsewhere at once when its reserved servers are full, so that no
   lower tier starts before it. A class that is several starts below its minimum
   share starts anywhere.  */
gboolean
shard_reservation_allows (const struct shard_owner *shard_owner,
                          const struct shard_server *shard_server,
                          const struct queued_request *queued_request)
{
  if (shard_owner->pack.target_us == 0
      || shr_overdue (&queued_request->class_queue->shr))
    return TRUE;
  if (queued_request->class_queue->cfg.tbt_us == shard_owner->pack.target_us)
    return shard_server->reserved > 0 || !shard_owner->pack.room;
  return shard_server->reserved == 0
         || shard_server->in_flight.length * RESERVE_OPEN_DIVISOR
                < server_limit (shard_server)
         || count_loose_on (shard_owner, shard_server) + shard_server->reserved
                < server_limit (shard_server);
}
