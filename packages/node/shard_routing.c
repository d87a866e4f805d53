/* Choice of the scheduling shard for a request, and of the shard's owner.  */
#include "node/core_internal.h"

#include <string.h>

/* A request may overflow to another failure domain if its expected wait in
   this one is longer than this share of its time-to-first-token target. */
#define OVERFLOW_WAIT_SHARE 0.5
#define OVERFLOW_WAIT_DEFAULT_US (1 * CLK_S) /* classes without a target */
#define OVERFLOW_FRACTION_MAX 0.5            /* of eligible requests, at most */
#define WAIT_UNKNOWN_US (3600 * CLK_S)
#define CANDIDATES_MAX 64

/* Distance of a shard from this instance. */
enum distance
{
  DISTANCE_DOMAIN,
  DISTANCE_REGION,
  DISTANCE_LINK,
  DISTANCE_N
};

struct candidates
{
  const struct cluster_shard *shards[CANDIDATES_MAX];
  guint n;
};

/* Whether work for failure domain DOMAIN of CFG crosses the link between
   regions.  */
gboolean
core_crosses_link (const struct core *core, const struct cluster_config *cfg,
                   guint domain)
{
  return strcmp (cfg->domains[domain].region.s, core->region.s) != 0;
}

static enum distance
distance_to (const struct core *core, const struct cluster_config *cfg,
             guint domain)
{
  if (strcmp (cfg->domains[domain].name.s, core->domain.s) == 0)
    return DISTANCE_DOMAIN;
  return core_crosses_link (core, cfg, domain) ? DISTANCE_LINK
                                               : DISTANCE_REGION;
}

static const struct core_shard_info *
recent_info (const struct core *core, const char *shard)
{
  const struct core_shard_info *info
      = g_hash_table_lookup (core->shard_infos, shard);
  if (info == NULL
      || clk_now (core->clk) - info->received_at > CORE_SUMMARY_MAX_AGE_US)
    return NULL;
  return info;
}

/* Fills SUMMARY for SHARD: the exact state if it is served here, otherwise the
   last summary received. Returns FALSE if there is no recent one.  */
static gboolean
find_summary (const struct core *core, const char *shard,
              struct msg_shard_summary *summary)
{
  const struct shard_owner *shard_owner
      = g_hash_table_lookup (core->shards, shard);
  if (shard_owner != NULL)
    {
      shard_summary (shard_owner, summary);
      return TRUE;
    }
  const struct core_shard_info *info = recent_info (core, shard);
  if (info == NULL)
    return FALSE;
  *summary = info->summary;
  return TRUE;
}

/* Returns the id of the instance that owns SHARD, valid until the next event,
   or NULL if none is known.  */
const char *
core_shard_owner (struct core *core, struct str shard)
{
  const struct cluster_config *cfg = core->cfg;
  int i = cfg ? cluster_find_shard (cfg, shard) : -1;
  if (i < 0)
    return NULL;
  if (distance_to (core, cfg, cfg->shards[i].domain) == DISTANCE_DOMAIN)
    {
      const struct member_instance *owner
          = member_owner (core->membership, shard, 0);
      return owner ? owner->id.s : core->self.s;
    }
  const struct core_shard_info *info
      = recent_info (core, cfg->shards[i].name.s);
  const struct member_instance *owner
      = info ? member_find (core->membership, info->summary.owner.s) : NULL;
  gboolean down = owner != NULL && !owner->live;
  return info != NULL && !down ? info->summary.owner.s : NULL;
}

/* Returns the expected wait of a request of TIER in SHARD, in
   microseconds.  */
static gint64
expected_wait (const struct core *core, const struct cluster_shard *shard,
               guint tier)
{
  struct msg_shard_summary summary;
  if (!find_summary (core, shard->name.s, &summary))
    return distance_to (core, core->cfg, shard->domain) == DISTANCE_DOMAIN
               ? 0
               : WAIT_UNKNOWN_US;
  if (summary.servers == 0)
    return WAIT_UNKNOWN_US;
  if (summary.free_slots > 0)
    return 0;
  guint ahead = 1;
  for (guint t = 0; t <= tier && t < G_N_ELEMENTS (summary.waiting); t++)
    ahead += summary.waiting[t];
  return ahead * CLK_S / MAX (1, summary.starts_per_s);
}

static gboolean
was_shard_tried (const struct core_request *req, const char *shard)
{
  for (guint i = 0; i < req->n_tried_shards; i++)
    if (strcmp (req->tried_shards[i].s, shard) == 0)
      return TRUE;
  return FALSE;
}

static void
find_candidates (struct core *core, const struct core_request *req, guint pool,
                 struct candidates found[DISTANCE_N])
{
  const struct cluster_config *cfg = core->cfg;
  for (guint i = 0; i < cfg->n_shards; i++)
    {
      const struct cluster_shard *shard = &cfg->shards[i];
      if (shard->pool != pool || was_shard_tried (req, shard->name.s))
        continue;
      enum distance d = distance_to (core, cfg, shard->domain);
      if (d != DISTANCE_DOMAIN
          && core_shard_owner (core, str_of (shard->name.s)) == NULL)
        continue;
      if (found[d].n < CANDIDATES_MAX)
        found[d].shards[found[d].n++] = shard;
    }
}

/* Returns the one with the shorter expected wait of two random shards of C,
   or NULL if C is empty.  */
static const struct cluster_shard *
pick_of_two (struct core *core, const struct candidates *c, guint tier)
{
  if (c->n == 0)
    return NULL;
  guint a = (guint)g_rand_int_range (core->rand, 0, (gint32)c->n);
  guint b = (guint)g_rand_int_range (core->rand, 0, (gint32)c->n);
  gint64 wait_a = expected_wait (core, c->shards[a], tier);
  gint64 wait_b = expected_wait (core, c->shards[b], tier);
  return wait_b < wait_a ? c->shards[b] : c->shards[a];
}

static gint64
acceptable_wait (const struct cluster_class *class)
{
  if (class->ttft_us == 0)
    return OVERFLOW_WAIT_DEFAULT_US;
  return (gint64)(OVERFLOW_WAIT_SHARE * class->ttft_us);
}

/* Whether a request goes to a shard nearby instead of one in this failure
   domain. Summaries are delayed, so only a fraction of the requests goes,
   larger with a larger difference in waits. Otherwise all instances would
   alternate between the same two shards.  */
static gboolean
should_overflow (struct core *core, gint64 own_wait, gint64 nearby_wait)
{
  if (nearby_wait == 0 || own_wait == WAIT_UNKNOWN_US)
    return TRUE;
  double saved = 1.0 - (double)nearby_wait / (double)own_wait;
  return saved > 0
         && g_rand_double (core->rand) < saved * OVERFLOW_FRACTION_MAX;
}

/* Picks one of the found shards: in this failure domain first, then in the
   region, then over the link between regions.  */
static const struct cluster_shard *
pick (struct core *core, const struct candidates found[DISTANCE_N],
      const struct cluster_class *class, enum cluster_overflow overflow,
      gboolean may_cross)
{
  const struct cluster_shard *own
      = pick_of_two (core, &found[DISTANCE_DOMAIN], class->tier);
  gint64 own_wait
      = own ? expected_wait (core, own, class->tier) : WAIT_UNKNOWN_US;
  if (own != NULL && own_wait <= acceptable_wait (class))
    return own;
  const struct cluster_shard *nearby = NULL;
  if (overflow >= CLUSTER_OVERFLOW_REGION)
    nearby = pick_of_two (core, &found[DISTANCE_REGION], class->tier);
  gint64 nearby_wait
      = nearby ? expected_wait (core, nearby, class->tier) : WAIT_UNKNOWN_US;
  if (nearby != NULL && should_overflow (core, own_wait, nearby_wait))
    return nearby;
  if (own != NULL && own_wait < WAIT_UNKNOWN_US)
    return own;
  if (nearby != NULL)
    return nearby;
  const struct cluster_shard *remote = NULL;
  if (overflow >= CLUSTER_OVERFLOW_ANYWHERE && may_cross)
    remote = pick_of_two (core, &found[DISTANCE_LINK], class->tier);
  if (remote != NULL
      && expected_wait (core, remote, class->tier) < WAIT_UNKNOWN_US)
    return remote;
  return own;
}

/* Whether this instance may still use one of the free slots in the last
   summary of SHARD; if so, counts it as used. The instances of the failure
   domain share the slots until the next summary.  */
static gboolean
claim_slot (struct core *core, const char *shard)
{
  struct core_shard_info *info = g_hash_table_lookup (core->shard_infos, shard);
  if (info == NULL || recent_info (core, shard) == NULL)
    return FALSE;
  guint ingresses
      = MAX (1, member_live_count (core->membership)); /* 0: all are leaving */
  guint quota = info->summary.free_slots / ingresses;
  if (info->summary.free_slots == 0 || info->claimed_slots >= MAX (1, quota))
    return FALSE;
  info->claimed_slots++;
  return TRUE;
}

/* Finds a shard with free slots for REQ, which waits in an overloaded one: in
   this failure domain or, if its class may overflow, in the region. Sets REQ's
   shard and owner. Returns FALSE, without a change, if there is none.  */
gboolean
core_route_move (struct core *core, struct core_request *req)
{
  const struct cluster_config *cfg = core->cfg;
  const struct cluster_class *class = &req->cfg->classes[req->spec.class_index];
  int from = cluster_find_shard (cfg, str_of (req->shard.s));
  enum distance farthest
      = MIN (class->overflow, req->cfg->overflow) >= CLUSTER_OVERFLOW_REGION
            ? DISTANCE_REGION
            : DISTANCE_DOMAIN;
  if (from < 0
      || expected_wait (core, &cfg->shards[from], class->tier)
             <= acceptable_wait (class))
    return FALSE;
  for (guint i = 0; i < cfg->n_shards; i++)
    {
      const struct cluster_shard *shard = &cfg->shards[i];
      if ((int)i == from || shard->pool != cfg->shards[from].pool
          || distance_to (core, cfg, shard->domain) > farthest
          || was_shard_tried (req, shard->name.s)
          || !claim_slot (core, shard->name.s))
        continue;
      const char *owner = core_shard_owner (core, str_of (shard->name.s));
      if (owner == NULL)
        continue;
      req->shard = shard->name;
      str_id_set (&req->owner, str_of (owner));
      return TRUE;
    }
  return FALSE;
}

/* Chooses REQ's shard and owner. Returns FALSE, with the reason in REQ, if
   there is none to try.  */
gboolean
core_route (struct core *core, struct core_request *req)
{
  const struct cluster_pool *pool = &req->cfg->pools[req->spec.pool];
  const struct cluster_class *class = &req->cfg->classes[req->spec.class_index];
  req->no_route_reason = MSG_REASON_NO_SERVER;
  int pool_now
      = cluster_find_pool (core->cfg, pool->kind, str_of (pool->name.s));
  if (pool_now < 0)
    return FALSE;
  struct candidates found[DISTANCE_N] = { 0 };
  find_candidates (core, req, (guint)pool_now, found);
  enum cluster_overflow overflow = MIN (class->overflow, req->cfg->overflow);
  gboolean may_cross = core_budget_may_cross (core, req->spec.class_index);
  const struct cluster_shard *shard
      = pick (core, found, class, overflow, may_cross);
  req->no_route_reason = overflow >= CLUSTER_OVERFLOW_ANYWHERE && !may_cross
                                 && found[DISTANCE_LINK].n > 0
                             ? MSG_REASON_LINK_BUDGET
                             : MSG_REASON_NO_SERVER;
  if (shard == NULL)
    return FALSE;
  const char *owner = core_shard_owner (core, str_of (shard->name.s));
  if (owner == NULL)
    return FALSE;
  req->shard = shard->name;
  str_id_set (&req->owner, str_of (owner));
  return TRUE;
}
