/* Asks engines for their load and their cache events.  */
#ifndef PRB_H
#define PRB_H

#include "base/str.h"
#include "cell/shard.h"
#include "config/cluster_config.h"

#define PRB_ASK_US (500 * CLK_MS) /* between calls to one engine */
#define PRB_TIMEOUT_US (400 * CLK_MS)

struct prb;

struct prb_options
{
  /* The engine's report; LEAVING is its own word. */
  void (*load) (void *ctx, const char *backend, const struct shard_load *load,
                gboolean leaving);
  void (*cache) (void *ctx, const char *backend, guint64 prefix, gboolean held);
  void *ctx;
};

struct prb *prb_new (const struct prb_options *options);
void prb_free (struct prb *prb);
/* Asks BACKEND now; nothing happens while an earlier call is under way. */
void prb_ask (struct prb *prb, const struct cluster_backend *backend);

#endif
