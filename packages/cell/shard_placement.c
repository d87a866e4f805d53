/* Chooses the server on which a request starts.  */
#include "cell/shard_internal.h"

#include <string.h>

/* Bound for requests gathered by prefix affinity, in times the even share of
   the requests in flight. */
#define SHARD_AFFINITY_BOUND 1.25
/* Generated tokens whose time is assumed to depend on the load at the start. */
#define SHARD_AFFINITY_TOKENS 32

/* Returns whether REQUEST lists SERVER among the servers to avoid.  */
gboolean
shard_avoids (const struct queued_request *request,
              const struct shard_server *server)
{
  for (guint i = 0; i < MSG_AVOID_MAX && request->avoid[i].s[0]; i++)
    if (strcmp (request->avoid[i].s, server->cfg.name.s) == 0)
      return TRUE;
  return FALSE;
}

/* Returns whether A uses a lower share of its limit than B. Half a request is
   added to the use: among idle servers this prefers the greater limit, and it
   still tries a server with a small limit before the others are full, so that
   its limit can grow.  */
static gboolean
is_less_loaded (const struct shard_server *a, const struct shard_server *b)
{
  guint64 a_used = 2 * (a->in_flight.length + a->foreign) + 1;
  guint64 b_used = 2 * (b->in_flight.length + b->foreign) + 1;
  return a_used * server_limit (b) < b_used * server_limit (a);
}

static gboolean
is_highest_tier (const struct shard_owner *shard,
                 const struct queued_request *request)
{
  const struct class_queue *first = shard->classes->pdata[0];
  return request->class->cfg.tier == first->cfg.tier;
}

/* Returns whether REQUEST may start on SERVER now. A server on probation gets a
   request now and then, rarely one of the highest tier while another server is
   healthy.  */
gboolean
shard_may_start (const struct shard_owner *shard,
                 const struct shard_server *server,
                 const struct queued_request *request)
{
  if (server_free_slots (server) == 0 || shard_avoids (request, server))
    return FALSE;
  if (server->health.state == SERVER_HEALTH_OK)
    return shard_reservation_allows (shard, server, request);
  gboolean avoid_probe = shard->any_healthy && is_highest_tier (shard, request);
  return server_health_probe_due (&server->health, clk_now (shard->clk),
                                  avoid_probe);
}

/* Returns the permitted server with the lowest used share of its limit, or one
   that is due for a probe; NULL if none is permitted. The search starts at a
   random server to spread the load over equal ones.  */
static struct shard_server *
least_loaded (struct shard_owner *shard, const struct queued_request *request)
{
  struct shard_server *best = NULL;
  gboolean uses_reservation
      = shard->reservation.target_us > 0
        && request->class->cfg.tbt_us == shard->reservation.target_us;
  guint n = shard->servers->len;
  guint first = (guint)g_rand_int_range (shard->rand, 0, (gint32)MAX (n, 1));
  for (guint i = 0; i < n; i++)
    {
      struct shard_server *server = shard->servers->pdata[(first + i) % n];
      if (!shard_may_start (shard, server, request))
        continue;
      if (server->health.state != SERVER_HEALTH_OK)
        return server;
      if (!best
          || (uses_reservation ? server->reserved > best->reserved
                               : is_less_loaded (server, best)))
        best = server;
    }
  return best;
}

/* Returns the least loaded permitted server among those that probably have
   REQUEST's prefix in their cache, or NULL.  */
static struct shard_server *
least_loaded_with_prefix (const struct shard_owner *shard,
                          const struct queued_request *request)
{
  guint64 servers_with_prefix
      = request->prefix == 0
            ? 0
            : affinity_cached_slots (shard->affinity, request->prefix,
                                     clk_now (shard->clk));
  struct shard_server *best = NULL;
  for (guint i = 0; servers_with_prefix && i < shard->servers->len; i++)
    {
      struct shard_server *server = shard->servers->pdata[i];
      if ((servers_with_prefix >> server->affinity_index & 1)
          && server->health.state == SERVER_HEALTH_OK
          && shard_may_start (shard, server, request)
          && (!best || is_less_loaded (server, best)))
        best = server;
    }
  return best;
}

/* Limits how many requests one prefix can gather on SERVER: a quarter more than
   its even share of the requests in flight, plus one.  */
static gboolean
is_within_bound (const struct shard_owner *shard,
                 const struct shard_server *server)
{
  guint in_flight = 0;
  guint limit = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const struct shard_server *other = shard->servers->pdata[i];
      if (!server_accepts (other) || other->health.state != SERVER_HEALTH_OK)
        continue;
      in_flight += other->in_flight.length;
      limit += server_limit (other);
    }
  double even_share
      = (double)in_flight * server_limit (server) / MAX (limit, 1);
  return server->in_flight.length <= even_share * SHARD_AFFINITY_BOUND + 1;
}

/* Estimates how much longer a request takes on A than on B because of A's
   higher load, microseconds.  */
static double
extra_time_us (const struct shard_server *a, const struct shard_server *b)
{
  double share_a = (double)a->in_flight.length / server_limit (a);
  double share_b = (double)b->in_flight.length / server_limit (b);
  double full_load_us = MAX (a->health.ttft.value, b->health.ttft.value)
                        + MAX (a->health.tbt.value, b->health.tbt.value)
                              * SHARD_AFFINITY_TOKENS;
  return MAX (0, share_a - share_b) * full_load_us;
}

/* Estimates the prefill time of REQUEST, microseconds, including the tokens
   generated before a preemption.  */
double
shard_prefill_us (const struct shard_owner *shard,
                  const struct queued_request *request)
{
  double us_per_token = shard->prefill_us_per_token.n > 0
                            ? shard->prefill_us_per_token.value
                            : SHARD_PREFILL_DEFAULT_US;
  return us_per_token * (request->prompt_tokens + request->generated);
}

/* Returns the server for REQUEST, or NULL if none is permitted: one that has
   its prefix in the cache if the saved prefill outweighs the higher load, else
   the least loaded.  */
struct shard_server *
shard_place (struct shard_owner *shard, const struct queued_request *request)
{
  struct shard_server *best = least_loaded (shard, request);
  struct shard_server *with_prefix = least_loaded_with_prefix (shard, request);
  if (!best || best->health.state != SERVER_HEALTH_OK || !with_prefix
      || with_prefix == best)
    return best;
  return is_within_bound (shard, with_prefix)
                 && extra_time_us (with_prefix, best)
                        <= shard_prefill_us (shard, request)
             ? with_prefix
             : best;
}
