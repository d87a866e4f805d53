/* The router daemon: connects one node to its network and HTTP components, on
   one main loop.  */
#ifndef ROUTER_DAEMON_H
#define ROUTER_DAEMON_H

#include "base/err.h"
#include "settings/router_settings.h"

struct router_daemon;

/* Opens all listeners. SETTINGS are borrowed until router_daemon_free. */
int router_daemon_new (const struct router_settings *settings,
                       struct router_daemon **result, struct err *err);
void router_daemon_free (struct router_daemon *daemon);
/* Prints a line for the supervisor: all listeners are open, and their ports. */
void router_daemon_announce (const struct router_daemon *daemon);
/* Runs until a graceful shutdown has completed. */
void router_daemon_run (struct router_daemon *daemon);
/* Begins a graceful shutdown: accepts connections for shutdown_grace_us, until
   the load balancer has noticed that the instance is not ready; then closes the
   client listener and ends when no request is in progress. Further calls are
   only logged. */
void router_daemon_shut_down (struct router_daemon *daemon);
gboolean router_daemon_is_stopping (const struct router_daemon *daemon);
/* Ends at once, with what is in progress. */
void router_daemon_quit (struct router_daemon *daemon);

#endif
