/* A TCP proxy on loopback that injects network faults: it can delay or withhold
   what it forwards, reset connections and refuse new ones.  */
#ifndef FAULT_PROXY_H
#define FAULT_PROXY_H

#include <glib.h>

#include "base/err.h"

/* X (NAME, "name") */
#define FAULT_PROXY_MODES(X)                                                   \
  X (NONE, "none")                                                             \
  X (DELAY, "delay")     /* forwards after 80 ms */                            \
  X (SILENT, "silent")   /* withholds both directions */                       \
  X (ONE_WAY, "one way") /* withholds server to client */                      \
  X (REFUSE, "refuse")   /* resets new connections */

enum fault_proxy_mode
{
#define FAULT_PROXY_ENUM(id, name) FAULT_PROXY_##id,
  FAULT_PROXY_MODES (FAULT_PROXY_ENUM)
#undef FAULT_PROXY_ENUM
      FAULT_PROXY_MODE_N
};

struct fault_proxy;

/* Listens on a free port of 127.0.0.1 and forwards connections to TARGET
   (IP:PORT). The result is freed by fault_proxy_free.  */
struct fault_proxy *fault_proxy_new (const char *target);
void fault_proxy_free (struct fault_proxy *proxy);
/* Returns the port on which the proxy listens.  */
guint fault_proxy_port (const struct fault_proxy *proxy);
/* Starts or ends a fault for present and new connections. Bytes that were
   withheld are forwarded unless MODE withholds them too.  */
void fault_proxy_set_mode (struct fault_proxy *proxy,
                           enum fault_proxy_mode mode);
/* Resets all connections; new ones are accepted.  */
void fault_proxy_reset (struct fault_proxy *proxy);
const char *fault_proxy_mode_name (enum fault_proxy_mode mode);

#endif
