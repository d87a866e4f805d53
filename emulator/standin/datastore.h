/* The object store of the stand-in platform, without I/O: versioned objects,
   conditional updates, the return to an older state, and a token bucket that
   limits the request rate.  */
#ifndef DATASTORE_H
#define DATASTORE_H

#include <glib.h>

#define DATASTORE_VALUE_MAX (1024 * 1024) /* bytes */

struct datastore_object
{
  char *name;
  GBytes *value;
  guint64 version;
};

struct datastore;

enum datastore_result
{
  DATASTORE_OK,
  DATASTORE_CONFLICT
};

struct datastore *datastore_new (void);
void datastore_free (struct datastore *store);
const struct datastore_object *datastore_get (struct datastore *store,
                                              const char *name);
enum datastore_result datastore_put (struct datastore *store, const char *name,
                                     guint64 expected, GBytes *value,
                                     gint64 now);
enum datastore_result datastore_delete (struct datastore *store,
                                        const char *name, guint64 expected,
                                        gint64 now);
guint datastore_go_back (struct datastore *store, gint64 time);
guint64 datastore_last_version (const struct datastore *store);
GPtrArray *datastore_list (struct datastore *store, const char *prefix);

/* A rate limit: per_s requests per second, with bursts of at most one second's
   worth.  */
struct datastore_bucket
{
  double per_s; /* 0: no limit */
  double tokens;
  gint64 refilled_us; /* time of the last refill; 0: never used */
};

gboolean datastore_bucket_take (struct datastore_bucket *bucket, gint64 now);

#endif
