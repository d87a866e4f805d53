/* The daemon: the shells around one node, on one loop.  */
#ifndef ROUTER_DAEMON_H
#define ROUTER_DAEMON_H

#include "base/err.h"
#include "settings/router_settings.h"

struct router_daemon;

/* Opens all listeners. SETTINGS are borrowed for the daemon's life. */
int router_daemon_new (const struct router_settings *settings,
                       struct router_daemon **result, struct err *err);
void router_daemon_free (struct router_daemon *daemon);
/* Prints the line by which a supervisor learns that the listeners stand. */
void router_daemon_announce (const struct router_daemon *daemon);
/* Runs until a graceful shutdown has ended. */
void router_daemon_run (struct router_daemon *daemon);
/* Begins a graceful shutdown: serves on for the balancer's lag, then takes no
   connections, ends when nothing is in progress. A second call ends now. */
void router_daemon_shut_down (struct router_daemon *daemon);

#endif
