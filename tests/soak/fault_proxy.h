/* A TCP proxy on loopback that can delay, silence one way or both, reset and
   refuse what passes.  */
#ifndef FAULT_PROXY_H
#define FAULT_PROXY_H

#include <glib.h>

#include "base/err.h"

/* X (NAME, "name") */
#define FAULT_PROXY_MODES(X)                                                   \
  X (NONE, "none")                                                             \
  X (DELAY, "delay")     /* 80 ms each way */                                  \
  X (SILENT, "silent")   /* bytes of both ways are held */                     \
  X (ONE_WAY, "one way") /* bytes back are held */                             \
  X (REFUSE, "refuse")   /* new connections are reset */

enum fault_proxy_mode
{
#define FAULT_PROXY_ENUM(id, name) FAULT_PROXY_##id,
  FAULT_PROXY_MODES (FAULT_PROXY_ENUM)
#undef FAULT_PROXY_ENUM
      FAULT_PROXY_MODE_N
};

struct fault_proxy;

struct fault_proxy *fault_proxy_new (const char *target);
void fault_proxy_free (struct fault_proxy *proxy);
guint fault_proxy_port (const struct fault_proxy *proxy);
void fault_proxy_set_mode (struct fault_proxy *proxy,
                           enum fault_proxy_mode mode);
void fault_proxy_reset (struct fault_proxy *proxy);
const char *fault_proxy_mode_name (enum fault_proxy_mode mode);

#endif
