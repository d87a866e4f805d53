/* Where a ticket starts.  */
#include "cell/cel_int.h"

#include <string.h>

#define CEL_AFF_BOUND 1.25 /* times the even share of requests in flight */
#define CEL_AFF_TOKENS 32  /* tokens that feel the load of a start */

/* Tells whether TKT names SRV among the servers to avoid.  */
gboolean
cel_avoids (const struct tkt *tkt, const struct srv *srv)
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
gboolean
cel_is_open (const struct cel *cel, const struct srv *srv,
             const struct tkt *tkt)
{
  if (srv_free_slots (srv) == 0 || cel_avoids (tkt, srv))
    return FALSE;
  if (srv->server_health.state == SERVER_HEALTH_OK)
    return cel_pack_suits (cel, srv, tkt);
  gboolean spare = cel->any_well && is_highest_tier (cel, tkt);
  return server_health_probe_due (&srv->server_health, clk_now (cel->clk),
                                  spare);
}

/* Returns the open server with the lowest share of its limit in use, or one
   whose probe is due; NULL if none is open. Starts at a random one, so that
   equals share.  */
static struct srv *
least_used (struct cel *cel, const struct tkt *tkt)
{
  struct srv *best = NULL;
  gboolean packs
      = cel->pack.target_us > 0 && tkt->cls->cfg.tbt_us == cel->pack.target_us;
  guint n = cel->servers->len;
  guint first = (guint)g_rand_int_range (cel->rand, 0, (gint32)MAX (n, 1));
  for (guint i = 0; i < n; i++)
    {
      struct srv *srv = cel->servers->pdata[(first + i) % n];
      if (!cel_is_open (cel, srv, tkt))
        continue;
      if (srv->server_health.state != SERVER_HEALTH_OK)
        return srv;
      if (!best
          || (packs ? srv->reserved > best->reserved : is_better (srv, best)))
        best = srv;
    }
  return best;
}

/* Returns the open server with the lowest share among those that probably
   hold TKT's prefix, or NULL.  */
static struct srv *
least_used_holder (const struct cel *cel, const struct tkt *tkt)
{
  guint64 holders
      = tkt->prefix == 0
            ? 0
            : prefix_affinity_cached_slots (cel->prefix_affinity, tkt->prefix,
                                            clk_now (cel->clk));
  struct srv *best = NULL;
  for (guint i = 0; holders && i < cel->servers->len; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      if ((holders >> srv->slot & 1)
          && srv->server_health.state == SERVER_HEALTH_OK
          && cel_is_open (cel, srv, tkt) && (!best || is_better (srv, best)))
        best = srv;
    }
  return best;
}

/* Bounds what one prefix can gather: a quarter above the even share of the
   requests in flight, and one.  */
static gboolean
is_within_bound (const struct cel *cel, const struct srv *srv)
{
  guint in_flight = 0;
  guint limit = 0;
  for (guint i = 0; i < cel->servers->len; i++)
    {
      const struct srv *other = cel->servers->pdata[i];
      if (!srv_takes_work (other)
          || other->server_health.state != SERVER_HEALTH_OK)
        continue;
      in_flight += other->in_flight.length;
      limit += srv_limit (other);
    }
  double even = (double)in_flight * srv_limit (srv) / MAX (limit, 1);
  return srv->in_flight.length <= even * CEL_AFF_BOUND + 1;
}

/* Estimate of what a start on A takes longer than on B for its higher load,
   microseconds.  */
static double
extra_us (const struct srv *a, const struct srv *b)
{
  double share_a = (double)a->in_flight.length / srv_limit (a);
  double share_b = (double)b->in_flight.length / srv_limit (b);
  double full = MAX (a->server_health.ttft.value, b->server_health.ttft.value)
                + MAX (a->server_health.tbt.value, b->server_health.tbt.value)
                      * CEL_AFF_TOKENS;
  return MAX (0, share_a - share_b) * full;
}

/* Estimate of the time that the prefill of TKT takes.  */
double
cel_prefill_us (const struct cel *cel, const struct tkt *tkt)
{
  double each = cel->prefill.n > 0 ? cel->prefill.value : CEL_PREFILL_US;
  return each * (tkt->prompt_tokens + tkt->generated);
}

/* Returns the server for TKT, NULL if none is open to it: one that holds its
   prefix if the prefill saved outweighs its higher load, else the least
   used.  */
struct srv *
cel_place (struct cel *cel, const struct tkt *tkt)
{
  struct srv *best = least_used (cel, tkt);
  struct srv *holder = least_used_holder (cel, tkt);
  if (!best || best->server_health.state != SERVER_HEALTH_OK || !holder
      || holder == best)
    return best;
  return is_within_bound (cel, holder)
                 && extra_us (holder, best) <= cel_prefill_us (cel, tkt)
             ? holder
             : best;
}
