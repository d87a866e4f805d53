/* The daemon: the shells around one node, on one loop.  */
#ifndef DMN_H
#define DMN_H

#include "base/err.h"
#include "settings/set.h"

struct dmn;

/* Opens all listeners. SETTINGS are borrowed for the daemon's life. */
int dmn_new (const struct set_settings *settings, struct dmn **result,
             struct err *err);
void dmn_free (struct dmn *dmn);
/* Prints the line by which a supervisor learns that the listeners stand. */
void dmn_announce (const struct dmn *dmn);
/* Runs until a graceful shutdown has ended. */
void dmn_run (struct dmn *dmn);
/* Begins a graceful shutdown: serves on for the balancer's lag, then takes no
   connections, ends when nothing is in progress. A second call ends now. */
void dmn_shut_down (struct dmn *dmn);

#endif
