#include "standin/datastore.h"

#include <string.h>

#define US_PER_S 1e6
#define CHANGES_MAX 100000 /* that can be undone; older ones are forgotten */

struct datastore
{
  GTree *objects;       /* name -> struct datastore_object, owned */
  guint64 last_version; /* shared by all objects, so that a version is reused
                           only after datastore_go_back */
  GQueue changes;       /* of struct change, owned, the newest last */
};

/* What a write has replaced.  */
struct change
{
  gint64 time; /* of the write */
  char *name;
  struct datastore_object *before; /* NULL: the object did not exist */
  guint64 last_version;            /* before the write */
};

static void
object_free (gpointer data)
{
  struct datastore_object *object = data;
  g_free (object->name);
  g_bytes_unref (object->value);
  g_free (object);
}

static void
change_free (gpointer data)
{
  struct change *change = data;
  g_free (change->name);
  if (change->before != NULL)
    object_free (change->before);
  g_free (change);
}

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer ctx)
{
  (void)ctx;
  return strcmp (a, b);
}

struct datastore *
datastore_new (void)
{
  struct datastore *store = g_new0 (struct datastore, 1);
  store->objects = g_tree_new_full (compare_names, NULL, NULL, object_free);
  return store;
}

void
datastore_free (struct datastore *store)
{
  g_tree_unref (store->objects);
  g_queue_clear_full (&store->changes, change_free);
  g_free (store);
}

/* Returns the object, borrowed until the next change of the store, or NULL.  */
const struct datastore_object *
datastore_get (struct datastore *store, const char *name)
{
  return g_tree_lookup (store->objects, name);
}

static guint64
version_of (struct datastore *store, const char *name)
{
  const struct datastore_object *object = datastore_get (store, name);
  return object != NULL ? object->version : 0;
}

static struct datastore_object *
object_copy (const struct datastore_object *object)
{
  struct datastore_object *copy = g_new (struct datastore_object, 1);
  *copy = (struct datastore_object){ .name = g_strdup (object->name),
                                     .value = g_bytes_ref (object->value),
                                     .version = object->version };
  return copy;
}

/* Records the state of NAME before a write.  */
static void
record_change (struct datastore *store, const char *name, gint64 now)
{
  const struct datastore_object *object = datastore_get (store, name);
  struct change *change = g_new (struct change, 1);
  *change
      = (struct change){ .time = now,
                         .name = g_strdup (name),
                         .before = object != NULL ? object_copy (object) : NULL,
                         .last_version = store->last_version };
  g_queue_push_tail (&store->changes, change);
  if (store->changes.length > CHANGES_MAX)
    change_free (g_queue_pop_head (&store->changes));
}

/* Sets NAME to VALUE at time NOW, in microseconds, if its version is EXPECTED;
   0: if NAME does not exist.  */
enum datastore_result
datastore_put (struct datastore *store, const char *name, guint64 expected,
               GBytes *value, gint64 now)
{
  if (version_of (store, name) != expected)
    return DATASTORE_CONFLICT;
  record_change (store, name, now);
  struct datastore_object *object = g_new (struct datastore_object, 1);
  object->name = g_strdup (name);
  object->value = g_bytes_ref (value);
  object->version = ++store->last_version;
  g_tree_replace (store->objects, object->name, object);
  return DATASTORE_OK;
}

/* Returns the version given by the last datastore_put of any object.  */
guint64
datastore_last_version (const struct datastore *store)
{
  return store->last_version;
}

/* Removes NAME at time NOW if its version is EXPECTED; 0 is always a
   conflict.  */
enum datastore_result
datastore_delete (struct datastore *store, const char *name, guint64 expected,
                  gint64 now)
{
  if (expected == 0 || version_of (store, name) != expected)
    return DATASTORE_CONFLICT;
  record_change (store, name, now);
  g_tree_remove (store->objects, name);
  return DATASTORE_OK;
}

/* Restores the state that the store had at TIME, as if it came back from a
   backup of that moment: what was written later is gone, and its versions are
   used again. Returns the number of writes undone.  */
guint
datastore_go_back (struct datastore *store, gint64 time)
{
  const struct change *newest;
  guint n = 0;
  while ((newest = g_queue_peek_tail (&store->changes)) != NULL
         && newest->time > time)
    {
      struct change *change = g_queue_pop_tail (&store->changes);
      struct datastore_object *before = g_steal_pointer (&change->before);
      if (before != NULL)
        g_tree_replace (store->objects, before->name, before);
      else
        g_tree_remove (store->objects, change->name);
      store->last_version = change->last_version;
      change_free (change);
      n++;
    }
  return n;
}

struct listing
{
  const char *prefix;
  GPtrArray *found;
};

static gboolean
add_if_listed (gpointer name, gpointer object, gpointer ctx)
{
  struct listing *listing = ctx;
  if (g_str_has_prefix (name, listing->prefix))
    g_ptr_array_add (listing->found, object);
  return FALSE;
}

/* Returns the objects whose names begin with PREFIX, sorted by name. The
   caller unrefs the array; the objects are borrowed until the next change.  */
GPtrArray *
datastore_list (struct datastore *store, const char *prefix)
{
  struct listing listing = { prefix, g_ptr_array_new () };
  g_tree_foreach (store->objects, add_if_listed, &listing);
  return listing.found;
}

/* Takes a token at time NOW, in microseconds. Returns FALSE if there is none,
   which means that the rate limit is exceeded.  */
gboolean
datastore_bucket_take (struct datastore_bucket *bucket, gint64 now)
{
  if (bucket->per_s <= 0)
    return TRUE;
  if (bucket->refilled_us == 0)
    bucket->tokens = bucket->per_s;
  else
    bucket->tokens
        += bucket->per_s * (double)(now - bucket->refilled_us) / US_PER_S;
  bucket->tokens = MIN (bucket->tokens, MAX (bucket->per_s, 1));
  bucket->refilled_us = now;
  if (bucket->tokens < 1)
    return FALSE;
  bucket->tokens -= 1;
  return TRUE;
}
