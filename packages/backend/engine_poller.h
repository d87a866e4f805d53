/* Polls engines for their load and for the events of their prefix caches.  */
#ifndef ENGINE_POLLER_H
#define ENGINE_POLLER_H

#include "base/str.h"
#include "cell/shard.h"
#include "config/cluster_config.h"

/* Between requests to one engine. */
#define ENGINE_POLLER_INTERVAL_US (500 * CLK_MS)
#define ENGINE_POLLER_TIMEOUT_US (400 * CLK_MS) /* of a request */

struct engine_poller;

struct engine_poller_options
{
  /* The engine reported LOAD. LEAVING: it is shutting down. */
  void (*load) (void *ctx, const char *backend, const struct shard_load *load,
                gboolean leaving);
  /* PREFIX, the hash of a prompt prefix, was added to the prefix cache of the
     engine if CACHED, else evicted from it. */
  void (*cache) (void *ctx, const char *backend, guint64 prefix,
                 gboolean cached);
  void *ctx;
};

struct engine_poller *
engine_poller_new (const struct engine_poller_options *options);
void engine_poller_free (struct engine_poller *poller);
void engine_poller_poll (struct engine_poller *poller,
                         const struct cluster_backend *backend);

#endif
