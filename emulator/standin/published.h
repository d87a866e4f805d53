/* The objects of the stand-in in the form that the users' platform publishes:
   kinds, names, revisions, events. Without I/O.  */
#ifndef PUBLISHED_H
#define PUBLISHED_H

#include "standin/datastore.h"

#define PUBLISHED_OWN_KIND                                                     \
  "jacinthward" /* its objects stand in the store by their                     \
                   bare names; others as KIND/NAME */

char *published_store_name (const char *kind, const char *name);
char *published_object (const struct datastore_object *stored, const char *kind,
                        const char *name);
char *published_list (struct datastore *store, const char *kind,
                      guint64 last_version);
char *published_events (struct datastore *store, const char *kind,
                        guint64 after_version, guint64 last_version);
/* Reads the body of a write. Returns FALSE if it is not one; NAME (owned by
   the caller) is NULL if the body has none, EXPECTED 0 likewise. */
gboolean published_read (const char *kind, const char *body, gsize n,
                         char **name, guint64 *expected, GBytes **value);

#endif
