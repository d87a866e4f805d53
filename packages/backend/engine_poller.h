/* Asks engines for their load and their cache events.  */
#ifndef ENGINE_POLLER_H
#define ENGINE_POLLER_H

#include "base/str.h"
#include "cell/cel.h"
#include "config/cfg.h"

#define ENGINE_POLLER_INTERVAL_US                                              \
  (500 * CLK_MS) /* between calls to one engine */
#define ENGINE_POLLER_TIMEOUT_US (400 * CLK_MS)

struct engine_poller;

struct engine_poller_options
{
  /* The engine's report; LEAVING is its own word. */
  void (*load) (void *ctx, const char *backend, const struct cel_load *load,
                gboolean leaving);
  void (*cache) (void *ctx, const char *backend, guint64 prefix, gboolean held);
  void *ctx;
};

struct engine_poller *
engine_poller_new (const struct engine_poller_options *options);
void engine_poller_free (struct engine_poller *poller);
/* Asks BACKEND now; nothing happens while an earlier call is under way. */
void engine_poller_poll (struct engine_poller *poller,
                         const struct cfg_backend *backend);

#endif
