/* Reserves slots for requests with the tightest target between tokens. One such
   request lowers the limit of its server for all requests there, so they are
   gathered on as few servers as their measured demand needs. Those servers keep
   slots free for them; the others run full batches.  */
#include "cell/shard_internal.h"

#include <math.h>

/* A target is binding if it is lower than this many times the measured time
   between tokens. */
#define RESERVE_TBT_FACTOR 1.5
/* Time constant of the demand's decay. */
#define RESERVE_DECAY_US (10 * CLK_S)
/* Factor on the demand for the slots to reserve. */
#define RESERVE_MARGIN 1.2
#define RESERVE_DEMAND_MIN 0.5 /* requests; below it nothing is reserved */
/* While a server uses less than 1/RESERVE_OPEN_DIVISOR of its slots, it takes
   any request. */
#define RESERVE_OPEN_DIVISOR 2
#define RESERVE_SPARE 2.0 /* slots reserved in addition */

/* Returns the tightest target of any class, microseconds between tokens; 0 if
   no class has one or if full batches meet it.  */
static gint64
tightest_binding_target (const struct shard_owner *shard)
{
  gint64 tightest = 0;
  double slowest = 0;
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *class = shard->classes->pdata[i];
      gint64 target = class->cfg.tbt_us;
      if (target > 0 && (tightest == 0 || target < tightest))
        tightest = target;
    }
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const struct shard_server *server = shard->servers->pdata[i];
      if (server->health.state == SERVER_HEALTH_OK)
        slowest = MAX (slowest, server->health.tbt.value);
    }
  return slowest * RESERVE_TBT_FACTOR < (double)tightest ? 0 : tightest;
}

static guint
count_tightest (const struct shard_owner *shard)
{
  guint n = 0;
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *class = shard->classes->pdata[i];
      if (class->cfg.tbt_us == shard->reservation.target_us)
        n += class->n_running + class->n_waiting;
    }
  return n;
}

/* Updates the demand for the tightest target, a maximum that decays.  */
static void
update_demand (struct shard_owner *shard)
{
  struct shard_reservation *reservation = &shard->reservation;
  gint64 now = clk_now (shard->clk);
  double passed = (double)(now - reservation->updated);
  reservation->demand *= exp (-passed / RESERVE_DECAY_US);
  reservation->demand = MAX (reservation->demand, count_tightest (shard));
  reservation->updated = now;
}

/* Distributes the slots to reserve over the healthy servers, one after the
   other.  */
void
shard_reserve (struct shard_owner *shard)
{
  shard->reservation.target_us = tightest_binding_target (shard);
  update_demand (shard);
  double left = 0;
  if (shard->reservation.target_us > 0
      && shard->reservation.demand >= RESERVE_DEMAND_MIN)
    left = shard->reservation.demand * RESERVE_MARGIN + RESERVE_SPARE;
  shard->reservation.has_free_slot = FALSE;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      struct shard_server *server = shard->servers->pdata[i];
      gboolean healthy
          = server_accepts (server) && server->health.state == SERVER_HEALTH_OK;
      server->reserved = healthy ? (guint)MIN (left, server_limit (server)) : 0;
      left -= server->reserved;
      shard->reservation.has_free_slot
          |= server->reserved > 0 && server_free_slots (server) > 0;
    }
}

static guint
count_others_on (const struct shard_owner *shard,
                 const struct shard_server *server)
{
  guint n = 0;
  for (const GList *l = server->in_flight.head; l; l = l->next)
    {
      const struct queued_request *request = l->data;
      n += !request->class
           || request->class->cfg.tbt_us != shard->reservation.target_us;
    }
  return n;
}

/* Returns whether the reservation lets REQUEST use a free slot of SERVER.
   Requests with the tightest target go to unreserved servers as soon as the
   reserved ones are full; otherwise a lower tier could start before them. A
   class that is several starts behind its minimum share may start anywhere.  */
gboolean
shard_reservation_allows (const struct shard_owner *shard,
                          const struct shard_server *server,
                          const struct queued_request *request)
{
  if (shard->reservation.target_us == 0
      || share_credit_overdue (&request->class->start_share))
    return TRUE;
  if (request->class->cfg.tbt_us == shard->reservation.target_us)
    return server->reserved > 0 || !shard->reservation.has_free_slot;
  return server->reserved == 0
         || server->in_flight.length * RESERVE_OPEN_DIVISOR
                < server_limit (server)
         || count_others_on (shard, server) + server->reserved
                < server_limit (server);
}
