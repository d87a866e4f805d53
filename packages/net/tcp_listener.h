/* TCP listeners on the thread's main loop.  */
#ifndef TCP_LISTENER_H
#define TCP_LISTENER_H

#include <glib.h>

#include "base/err.h"

struct tcp_listener;

/* Called with an accepted socket FD, which the callee then owns. PEER is the IP
   address of the client.  */
typedef void (*tcp_listener_accepted) (void *ctx, int fd, const char *peer);

struct tcp_listener *tcp_listener_new (const char *address,
                                       tcp_listener_accepted accepted,
                                       void *ctx, struct err *err);
guint tcp_listener_port (const struct tcp_listener *listener);
void tcp_listener_accept_pending (struct tcp_listener *listener);
void tcp_listener_free (struct tcp_listener *listener);

#endif
