/* Owner of one shard: a priority queue of requests for up to CLUSTER_SHARD_SIZE
   backend servers of one pool. It decides when and on which server each request
   starts. It does no I/O: messages and load reports are passed in by function
   calls, time comes from the clock, and replies to ingress instances leave
   through the SEND callback.  */
#ifndef SHARD_H
#define SHARD_H

#include "base/clock.h"
#include "base/counter.h"
#include "config/cluster_config.h"
#include "msg/msg.h"

struct shard_owner;

struct shard_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct counter_set *counter_set; /* borrowed */
  struct cluster_config *cfg;      /* a reference is taken */
  struct str_id name;              /* of the shard; must be in cfg */
  /* Sends a GRANT, REJECT or PREEMPT message to instance TO. */
  void (*send) (void *ctx, const char *to, const struct msg *msg);
  void *ctx;
};

struct shard_owner *shard_new (const struct shard_options *options);
void shard_free (struct shard_owner *shard);

/* Messages from ingress instance FROM. */
void shard_enqueue (struct shard_owner *shard, const char *from,
                    const struct msg_enqueue *entry);
void shard_withdraw (struct shard_owner *shard, const char *from, guint64 id);
void shard_progress (struct shard_owner *shard, const char *from,
                     const struct msg_progress *progress);
void shard_release (struct shard_owner *shard, const char *from,
                    const struct msg_release *release);
void shard_ingress_lost (struct shard_owner *shard, const char *from);
void shard_set_config (struct shard_owner *shard, struct cluster_config *cfg);
/* Marks BACKEND as leaving or back, by the server registry or by its own
   response. */
void shard_set_leaving (struct shard_owner *shard, const char *backend,
                        gboolean leaving);

/* A server's own load report. AGE_US is the age of its values when the report
   is passed in. */
struct shard_load
{
  guint running;
  guint waiting;
  double kv_used; /* used share of the KV cache, 0 to 1 */
  gint64 age_us;
};
void shard_load_report (struct shard_owner *shard, const char *backend,
                        const struct shard_load *load);
/* Reports that the server has, or no longer has, PREFIX in its prefix cache.
   Only a hint for placement. */
void shard_cache_event (struct shard_owner *shard, const char *backend,
                        guint64 prefix, gboolean cached);

/* Expires deadlines, grants and silent requests, updates server limits and
   health, and starts what can start. Call it at least every SHARD_TICK_US. */
#define SHARD_TICK_US (50 * CLK_MS)
void shard_tick (struct shard_owner *shard);

/* Returns whether no request waits or runs, so that the owner may be freed. */
gboolean shard_is_idle (const struct shard_owner *shard);

void shard_summary (const struct shard_owner *shard,
                    struct msg_shard_summary *summary);
void shard_dump (const struct shard_owner *shard, JsonBuilder *json);

#endif
