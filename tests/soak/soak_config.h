/* Objects that the operator and the backend servers write to the store, in the
   platform's format.  */
#ifndef SOAK_CONFIG_H
#define SOAK_CONFIG_H

#include <glib.h>

/* Returns a configuration with a route of each type and teams k0, k1, ...,
   freed by g_free. The key of a team is the team's name; it is valid if its
   element of KEYS is set. TIMEOUT_MS is the time-out of the routes.  */
char *soak_config_text (guint64 version, const gboolean *keys, guint n_keys,
                        guint timeout_ms);
/* Returns the registration of a backend server, freed by g_free. A server that
   is ready gets a new start time ("born"), as one that was draining only
   becomes ready again after a restart. VERSION is that of its software.  */
char *soak_server_text (guint port, guint domain, guint version,
                        gboolean leaving);

#endif
