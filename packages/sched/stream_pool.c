#include "sched/stream_pool.h"

/* Decides how many engines of a domain are kept for isolated streams. Addresses
   this load pattern: streams whose events must never be more than some 200 ms
   apart, whose number doubles within a second or two, beside long prompts that
   stop an engine's streams for longer than that. Every instance computes the
   sizes from the loads that gossip carries anyway. The size grows at once, and
   shrinks to the peak of the last seconds, so that instances whose loads are
   of a slightly different age have the same sizes most of the time.  */

/* Streams side by side on one engine, as a target: with 24 a step takes 5 ms,
   and the short prompts of 24 streams of 1.5 s use a tenth of an engine. */
#define STREAMS_PER_ENGINE 24
/* Share of an engine's batch that the streams fill at most, as a target. */
#define BATCH_SHARE 0.75
/* Room for further streams, as a share of an engine's, that the guarded engines
   include: peers with newer loads may already use the next engine. */
#define SPARE_SHARE 0.5
/* Time for which a pool must be too large before it shrinks; longer than the
   calm between two bursts of seconds. */
#define SHRINK_AFTER_US (5 * CLK_S)
/* The same for the guarded engines; longer, so that no instance sends a long
   prompt to an engine that is still in the pool at another one. */
#define UNGUARD_AFTER_US (7 * CLK_S)
/* Age of loads that peers report. What the number of streams has grown by in
   this time is guarded for as well, as peers have started more since. */
#define REPORT_AGE_US (250 * CLK_MS)

/* A number of engines that grows at once and shrinks late.  */
struct held_size
{
  guint size;
  gint64 surplus_since; /* clock time since which fewer do; 0: they do not */
  guint surplus_peak;   /* engines needed at most since then */
};

struct stream_pool
{
  char service[STR_ID_MAX + 1];
  char domain[STR_ID_MAX + 1];
  struct held_size pool;
  struct held_size guard;
  gint64 sampled_at;                /* clock time of SAMPLE */
  guint sample;                     /* streams at that time */
  guint sample_before;              /* streams about REPORT_AGE_US earlier */
  struct stream_pool_demand demand; /* at the last update */
};

struct stream_pools
{
  GPtrArray *pools; /* of struct stream_pool, owned */
  stream_pool_resized resized;
  void *ctx;
};

/* Creates an empty table. RESIZED is called with CTX after each change of a
   size; it may be NULL.  */
struct stream_pools *
stream_pools_new (stream_pool_resized resized, void *ctx)
{
  struct stream_pools *pools = g_new0 (struct stream_pools, 1);
  pools->pools = g_ptr_array_new_with_free_func (g_free);
  pools->resized = resized;
  pools->ctx = ctx;
  return pools;
}

void
stream_pools_free (struct stream_pools *pools)
{
  if (pools == NULL)
    return;
  g_ptr_array_unref (pools->pools);
  g_free (pools);
}

static struct stream_pool *
find_pool (const struct stream_pools *pools, const char *service,
           const char *domain)
{
  for (guint i = 0; i < pools->pools->len; i++)
    {
      struct stream_pool *pool = g_ptr_array_index (pools->pools, i);
      if (g_str_equal (pool->domain, domain)
          && g_str_equal (pool->service, service))
        return pool;
    }
  return NULL;
}

/* Returns what STREAMS has grown by since about REPORT_AGE_US ago.  */
static guint
recent_growth (struct stream_pool *pool, guint streams, gint64 now)
{
  if (now - pool->sampled_at >= REPORT_AGE_US)
    {
      pool->sample_before
          = now - pool->sampled_at < 2 * REPORT_AGE_US ? pool->sample : streams;
      pool->sample = streams;
      pool->sampled_at = now;
    }
  return streams - MIN (streams, pool->sample_before);
}

/* Returns how many streams are to run side by side on an engine.  */
static guint
streams_per_engine (const struct stream_pool_demand *demand)
{
  return CLAMP ((guint)(BATCH_SHARE * demand->batch), 1, STREAMS_PER_ENGINE);
}

/* Returns how many engines are needed for STREAMS. At most half of a domain's
   engines form its pool; the others are for all other requests.  */
static guint
needed_size (guint streams, const struct stream_pool_demand *demand)
{
  guint each = streams_per_engine (demand);
  return MIN ((streams + each - 1) / each, demand->engines / 2);
}

/* Updates HELD for NEEDED engines: grows at once; shrinks after AFTER_US of
   surplus, to the most that was needed meanwhile.  */
static void
hold (struct held_size *held, guint needed, gint64 after_us, gint64 now)
{
  if (needed >= held->size)
    {
      *held = (struct held_size){ .size = needed };
      return;
    }
  if (held->surplus_since == 0)
    {
      held->surplus_since = now;
      held->surplus_peak = 0;
    }
  held->surplus_peak = MAX (held->surplus_peak, needed);
  if (now - held->surplus_since >= after_us)
    *held = (struct held_size){ .size = held->surplus_peak };
}

static void
report_change (const struct stream_pools *pools, const struct stream_pool *pool,
               guint before)
{
  const struct stream_pool_change change = { .service = pool->service,
                                             .domain = pool->domain,
                                             .before = before,
                                             .after = pool->pool.size,
                                             .demand = pool->demand };
  if (pools->resized != NULL && change.before != change.after)
    pools->resized (pools->ctx, &change);
}

/* Updates the pool of SERVICE in DOMAIN; DEMAND is NULL if it is not known.
   Returns no engines if there are no isolated streams, or too few engines.  */
struct stream_pool_size
stream_pools_update (struct stream_pools *pools, const char *service,
                     const char *domain,
                     const struct stream_pool_demand *demand, gint64 now)
{
  struct stream_pool *pool = find_pool (pools, service, domain);
  if (pool == NULL)
    {
      if (demand == NULL || demand->streams == 0)
        return (struct stream_pool_size){ 0, 0 };
      pool = g_new0 (struct stream_pool, 1);
      g_strlcpy (pool->service, service, sizeof pool->service);
      g_strlcpy (pool->domain, domain, sizeof pool->domain);
      g_ptr_array_add (pools->pools, pool);
    }
  if (demand != NULL)
    {
      guint before = pool->pool.size;
      guint growth = recent_growth (pool, demand->streams, now);
      guint spare = (guint)(SPARE_SHARE * streams_per_engine (demand));
      guint guarded
          = demand->streams > 0 ? demand->streams + growth + spare : 0;
      pool->demand = *demand;
      hold (&pool->pool, needed_size (demand->streams, demand), SHRINK_AFTER_US,
            now);
      hold (&pool->guard, needed_size (guarded, demand), UNGUARD_AFTER_US, now);
      report_change (pools, pool, before);
    }
  guint max = pool->demand.engines / 2;
  return (struct stream_pool_size){ MIN (pool->pool.size, max),
                                    MIN (pool->guard.size, max) };
}

/* Returns whether there is a pool.  */
gboolean
stream_pools_any (const struct stream_pools *pools)
{
  for (guint i = 0; i < pools->pools->len; i++)
    {
      const struct stream_pool *pool = g_ptr_array_index (pools->pools, i);
      if (pool->guard.size > 0)
        return TRUE;
    }
  return FALSE;
}

static void
add_number (JsonBuilder *json, const char *name, gint64 value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_int_value (json, value);
}

/* Writes the pools as a member of the open JSON object.  */
void
stream_pools_dump (const struct stream_pools *pools, JsonBuilder *json)
{
  json_builder_set_member_name (json, "stream_pools");
  json_builder_begin_array (json);
  for (guint i = 0; i < pools->pools->len; i++)
    {
      const struct stream_pool *pool = g_ptr_array_index (pools->pools, i);
      json_builder_begin_object (json);
      json_builder_set_member_name (json, "service");
      json_builder_add_string_value (json, pool->service);
      json_builder_set_member_name (json, "domain");
      json_builder_add_string_value (json, pool->domain);
      add_number (json, "size", pool->pool.size);
      add_number (json, "guarded", pool->guard.size);
      add_number (json, "engines", pool->demand.engines);
      add_number (json, "streams", pool->demand.streams);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
