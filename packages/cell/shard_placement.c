/* Where a ticket starts.  */
#include "cell/shard_internal.h"

#include <string.h>

#define SHARD_AFFINITY_BOUND                                                   \
  1.25 /* times the even share of requests in flight */
#define SHARD_AFFINITY_TOKENS 32 /* tokens that feel the load of a start */

/* Tells whether TKT names SRV among the servers to avoid.  */
gboolean
shard_avoids (const struct queued_request *queued_request,
              const struct shard_server *shard_server)
{
  for (guint i = 0; i < MSG_AVOID_MAX && queued_request->avoid[i].s[0]; i++)
    if (strcmp (queued_request->avoid[i].s, shard_server->cfg.name.s) == 0)
      return TRUE;
  return FALSE;
}

/* Tells whether A has the lower share of its limit in use. Half a request
   on top prefers the greater limit among idle servers, yet tries one with a
   small limit before the others are full, so that its limit can grow.  */
static gboolean
is_better (const struct shard_server *a, const struct shard_server *b)
{
  guint64 a_used = 2 * (a->in_flight.length + a->foreign) + 1;
  guint64 b_used = 2 * (b->in_flight.length + b->foreign) + 1;
  return a_used * server_limit (b) < b_used * server_limit (a);
}

static gboolean
is_highest_tier (const struct shard_owner *shard_owner,
                 const struct queued_request *queued_request)
{
  const struct class_queue *first = shard_owner->classes->pdata[0];
  return queued_request->class_queue->cfg.tier == first->cfg.tier;
}

/* Tells whether TKT may start on SRV now. One on probation takes a request
   now and then; the highest tier is spared while another server is well.  */
gboolean
shard_may_start (const struct shard_owner *shard_owner,
                 const struct shard_server *shard_server,
                 const struct queued_request *queued_request)
{
  if (server_free_slots (shard_server) == 0
      || shard_avoids (queued_request, shard_server))
    return FALSE;
  if (shard_server->hea.state == HEA_OK)
    return shard_reservation_allows (shard_owner, shard_server, queued_request);
  gboolean spare
      = shard_owner->any_well && is_highest_tier (shard_owner, queued_request);
  return hea_wants_probe (&shard_server->hea, clk_now (shard_owner->clk),
                          spare);
}

/* Returns the open server with the lowest share of its limit in use, or one
   whose probe is due; NULL if none is open. Starts at a random one, so that
   equals share.  */
static struct shard_server *
least_used (struct shard_owner *shard_owner,
            const struct queued_request *queued_request)
{
  struct shard_server *best = NULL;
  gboolean packs = shard_owner->pack.target_us > 0
                   && queued_request->class_queue->cfg.tbt_us
                          == shard_owner->pack.target_us;
  guint n = shard_owner->servers->len;
  guint first
      = (guint)g_rand_int_range (shard_owner->rand, 0, (gint32)MAX (n, 1));
  for (guint i = 0; i < n; i++)
    {
      struct shard_server *shard_server
          = shard_owner->servers->pdata[(first + i) % n];
      if (!shard_may_start (shard_owner, shard_server, queued_request))
        continue;
      if (shard_server->hea.state != HEA_OK)
        return shard_server;
      if (!best
          || (packs ? shard_server->reserved > best->reserved
                    : is_better (shard_server, best)))
        best = shard_server;
    }
  return best;
}

/* Returns the open server with the lowest share among those that probably
   hold TKT's prefix, or NULL.  */
static struct shard_server *
least_used_holder (const struct shard_owner *shard_owner,
                   const struct queued_request *queued_request)
{
  guint64 holders = queued_request->prefix == 0
                        ? 0
                        : aff_holders (shard_owner->aff, queued_request->prefix,
                                       clk_now (shard_owner->clk));
  struct shard_server *best = NULL;
  for (guint i = 0; holders && i < shard_owner->servers->len; i++)
    {
      struct shard_server *shard_server = shard_owner->servers->pdata[i];
      if ((holders >> shard_server->slot & 1)
          && shard_server->hea.state == HEA_OK
          && shard_may_start (shard_owner, shard_server, queued_request)
          && (!best || is_better (shard_server, best)))
        best = shard_server;
    }
  return best;
}

/* Bounds what one prefix can gather: a quarter above the even share of the
   requests in flight, and one.  */
static gboolean
is_within_bound (const struct shard_owner *shard_owner,
                 const struct shard_server *shard_server)
{
  guint in_flight = 0;
  guint limit = 0;
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      const struct shard_server *other = shard_owner->servers->pdata[i];
      if (!server_accepts (other) || other->hea.state != HEA_OK)
        continue;
      in_flight += other->in_flight.length;
      limit += server_limit (other);
    }
  double even
      = (double)in_flight * server_limit (shard_server) / MAX (limit, 1);
  return shard_server->in_flight.length <= even * SHARD_AFFINITY_BOUND + 1;
}

/* Estimate of what a start on A takes longer than on B for its higher load,
   microseconds.  */
static double
extra_us (const struct shard_server *a, const struct shard_server *b)
{
  double share_a = (double)a->in_flight.length / server_limit (a);
  double share_b = (double)b->in_flight.length / server_limit (b);
  double full
      = MAX (a->hea.ttft.value, b->hea.ttft.value)
        + MAX (a->hea.tbt.value, b->hea.tbt.value) * SHARD_AFFINITY_TOKENS;
  return MAX (0, share_a - share_b) * full;
}

/* Estimate of the time that the prefill of TKT takes.  */
double
shard_prefill_us (const struct shard_owner *shard_owner,
                  const struct queued_request *queued_request)
{
  double each = shard_owner->prefill.n > 0 ? shard_owner->prefill.value
                                           : SHARD_PREFILL_DEFAULT_US;
  return each * (queued_request->prompt_tokens + queued_request->generated);
}

/* Returns the server for TKT, NULL if none is open to it: one that holds its
   prefix if the prefill saved outweighs its higher load, else the least
   used.  */
struct shard_server *
shard_place (struct shard_owner *shard_owner,
             const struct queued_request *queued_request)
{
  struct shard_server *best = least_used (shard_owner, queued_request);
  struct shard_server *holder = least_used_holder (shard_owner, queued_request);
  if (!best || best->hea.state != HEA_OK || !holder || holder == best)
    return best;
  return is_within_bound (shard_owner, holder)
                 && extra_us (holder, best)
                        <= shard_prefill_us (shard_owner, queued_request)
             ? holder
             : best;
}
