/* A cell's owner: one priority queue of tickets before up to CFG_CELL_SIZE
   backend servers of one pool. A pure state machine: calls come in with the
   clock's time, messages to entries go out through the sink.  */
#ifndef SHARD_H
#define SHARD_H

#include "base/clk.h"
#include "base/ctr.h"
#include "config/cfg.h"
#include "msg/msg.h"

struct shard_owner;

struct shard_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct ctr *ctr;    /* borrowed */
  struct cfg *cfg;    /* a reference is taken */
  struct str_id cell; /* must be in cfg */
  /* Sends GRANT, REFUSE and PREEMPT to instance TO. */
  void (*send) (void *ctx, const char *to, const struct msg *msg);
  void *ctx;
};

struct shard_owner *shard_new (const struct shard_options *options);
void shard_free (struct shard_owner *shard_owner);

/* Events. FROM is the sending instance's id. */
void shard_enqueue (struct shard_owner *shard_owner, const char *from,
                    const struct msg_offer *offer);
void shard_withdraw (struct shard_owner *shard_owner, const char *from,
                     guint64 ticket);
void shard_progress (struct shard_owner *shard_owner, const char *from,
                     const struct msg_progress *progress);
void shard_release (struct shard_owner *shard_owner, const char *from,
                    const struct msg_release *release);
void shard_ingress_lost (struct shard_owner *shard_owner, const char *from);
void shard_set_config (struct shard_owner *shard_owner, struct cfg *cfg);
/* The list of servers or their own word says BACKEND is leaving or back. */
void shard_set_leaving (struct shard_owner *shard_owner, const char *backend,
                        gboolean leaving);

/* A server's own load report; AGE_US is how old its figures are. */
struct shard_load
{
  guint running;
  guint waiting;
  double kv_used; /* share of the KV cache, 0 to 1 */
  gint64 age_us;
};
void shard_load_report (struct shard_owner *shard_owner, const char *backend,
                        const struct shard_load *load);
/* The server's cache holds, or no longer holds, PREFIX; only a hint. */
void shard_cache_event (struct shard_owner *shard_owner, const char *backend,
                        guint64 prefix, gboolean held);

/* Expires grants and deadlines, probes ejected servers. Due at least every
   SHARD_TICK_US. */
#define SHARD_TICK_US (50 * CLK_MS)
void shard_tick (struct shard_owner *shard_owner);

/* Has no tickets, waiting or running. */
gboolean shard_is_idle (const struct shard_owner *shard_owner);

void shard_summary (const struct shard_owner *shard_owner,
                    struct msg_cell_summary *summary);
void shard_dump (const struct shard_owner *shard_owner, JsonBuilder *json);

#endif
