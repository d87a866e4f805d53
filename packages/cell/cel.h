/* A cell's owner: one priority queue of tickets before up to CLUSTER_SHARD_SIZE
   backend servers of one pool. A pure state machine: calls come in with the
   clock's time, messages to entries go out through the sink.  */
#ifndef CEL_H
#define CEL_H

#include "base/clock.h"
#include "base/counter.h"
#include "config/cluster_config.h"
#include "msg/msg.h"

struct cel;

struct cel_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct counter_set *counter_set; /* borrowed */
  struct cluster_config *cfg;      /* a reference is taken */
  struct str_id cell;              /* must be in cfg */
  /* Sends GRANT, REFUSE and PREEMPT to instance TO. */
  void (*send) (void *ctx, const char *to, const struct msg *msg);
  void *ctx;
};

struct cel *cel_new (const struct cel_options *options);
void cel_free (struct cel *cel);

/* Events. FROM is the sending instance's id. */
void cel_offer (struct cel *cel, const char *from,
                const struct msg_offer *offer);
void cel_withdraw (struct cel *cel, const char *from, guint64 ticket);
void cel_progress (struct cel *cel, const char *from,
                   const struct msg_progress *progress);
void cel_release (struct cel *cel, const char *from,
                  const struct msg_release *release);
void cel_entry_lost (struct cel *cel, const char *from);
void cel_set_config (struct cel *cel, struct cluster_config *cfg);
/* The list of servers or their own word says BACKEND is leaving or back. */
void cel_set_leaving (struct cel *cel, const char *backend, gboolean leaving);

/* A server's own load report; AGE_US is how old its figures are. */
struct cel_load
{
  guint running;
  guint waiting;
  double kv_used; /* share of the KV cache, 0 to 1 */
  gint64 age_us;
};
void cel_load_report (struct cel *cel, const char *backend,
                      const struct cel_load *load);
/* The server's cache holds, or no longer holds, PREFIX; only a hint. */
void cel_cache_event (struct cel *cel, const char *backend, guint64 prefix,
                      gboolean held);

/* Expires grants and deadlines, probes ejected servers. Due at least every
   CEL_TICK_US. */
#define CEL_TICK_US (50 * CLK_MS)
void cel_tick (struct cel *cel);

/* Has no tickets, waiting or running. */
gboolean cel_is_idle (const struct cel *cel);

void cel_summary (const struct cel *cel, struct msg_shard_summary *summary);
void cel_dump (const struct cel *cel, JsonBuilder *json);

#endif
