/* The JSON form of objects in the API that the users' platform publishes:
   kinds, names, revisions and events. Without I/O.  */
#ifndef PUBLISHED_H
#define PUBLISHED_H

#include "standin/datastore.h"

/* The store has objects of this kind under their bare names, all others as
   KIND/NAME. */
#define PUBLISHED_OWN_KIND "jacinthward"

char *published_store_name (const char *kind, const char *name);
char *published_object (const struct datastore_object *stored, const char *kind,
                        const char *name);
char *published_list (struct datastore *store, const char *kind,
                      guint64 last_version);
char *published_events (struct datastore *store, const char *kind,
                        guint64 after_version, guint64 last_version);
/* Reads the body of a write. Returns FALSE if it has no valid spec; VALUE is
   NULL then. NAME and VALUE are owned by the caller in any case; NAME is NULL
   and EXPECTED 0 if the body does not give them.  */
gboolean published_read (const char *kind, const char *body, gsize n,
                         char **name, guint64 *expected, GBytes **value);

#endif
