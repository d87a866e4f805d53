/* What the operator and the servers write to the store, in the platform's
   form.  */
#ifndef SOAK_CONFIG_H
#define SOAK_CONFIG_H

#include <glib.h>

char *soak_config_text (guint64 version, const gboolean *keys, guint n_keys);
char *soak_server_text (guint port, guint domain, gboolean leaving);

#endif
