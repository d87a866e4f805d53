/* The reverse proxy daemon: one instance that forwards requests by host and
   path, on one main loop.  */
#ifndef PROXY_DAEMON_H
#define PROXY_DAEMON_H

#include "base/err.h"
#include "settings/proxy_settings.h"

struct proxy_daemon;

/* Opens all listeners. SETTINGS are borrowed until proxy_daemon_free. */
int proxy_daemon_new (const struct proxy_settings *settings,
                      struct proxy_daemon **result, struct err *err);
void proxy_daemon_free (struct proxy_daemon *daemon);
/* Runs until a graceful shutdown has completed. */
void proxy_daemon_run (struct proxy_daemon *daemon);
/* Begins a graceful shutdown, unless one has begun. REQUESTED_AT: arrival of
   the signal, time of clk_boottime. */
void proxy_daemon_shut_down (struct proxy_daemon *daemon, gint64 requested_at);
gboolean proxy_daemon_is_stopping (const struct proxy_daemon *daemon);
/* Ends at once, with what is in progress. */
void proxy_daemon_quit (struct proxy_daemon *daemon);
void proxy_daemon_reload (struct proxy_daemon *daemon, const char *path);

#endif
