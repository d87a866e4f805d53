#include "cell/queued_request.h"

#include <string.h>

static guint
queued_hash (gconstpointer p)
{
  const struct queued_request *request = p;
  guint64 h = request->id * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  return (guint)(h >> 32) ^ g_direct_hash (request->ingress);
}

static gboolean
queued_equal (gconstpointer a, gconstpointer b)
{
  const struct queued_request *x = a;
  const struct queued_request *y = b;
  return x->id == y->id && x->ingress == y->ingress;
}

void
queued_table_init (struct queued_table *table)
{
  table->ingresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->all = g_hash_table_new_full (queued_hash, queued_equal, NULL, g_free);
  g_queue_init (&table->by_last_heard);
}

/* Frees all requests; the queues that contain them must be freed before.  */
void
queued_table_clear (struct queued_table *table)
{
  g_hash_table_destroy (table->all);
  g_hash_table_destroy (table->ingresses);
}

/* Returns the ingress instance FROM, or NULL if it has no requests.  */
struct ingress_instance *
queued_find_ingress (const struct queued_table *table, const char *from)
{
  return g_hash_table_lookup (table->ingresses, from);
}

/* Returns request ID of instance FROM, or NULL.  */
struct queued_request *
queued_find (const struct queued_table *table, const char *from, guint64 id)
{
  struct queued_request key
      = { .ingress = queued_find_ingress (table, from), .id = id };
  return key.ingress ? g_hash_table_lookup (table->all, &key) : NULL;
}

/* Returns whether queued_add can take one more request of instance FROM.  */
gboolean
queued_has_room (const struct queued_table *table, const char *from)
{
  return strlen (from) <= STR_ID_MAX
         && g_hash_table_size (table->all) < QUEUED_MAX
         && (queued_find_ingress (table, from)
             || g_hash_table_size (table->ingresses) < QUEUED_INGRESSES_MAX);
}

static struct ingress_instance *
ingress_add (struct queued_table *table, const char *from)
{
  struct ingress_instance *ingress = queued_find_ingress (table, from);
  if (ingress)
    return ingress;
  ingress = g_new0 (struct ingress_instance, 1);
  str_id_set (&ingress->id, str_of (from));
  g_queue_init (&ingress->requests);
  g_hash_table_insert (table->ingresses, ingress->id.s, ingress);
  return ingress;
}

/* Adds request ID of instance FROM, which must not exist yet. Returns NULL if a
   limit is reached or FROM is too long.  */
struct queued_request *
queued_add (struct queued_table *table, const char *from, guint64 id,
            gint64 now)
{
  if (!queued_has_room (table, from))
    return NULL;
  struct ingress_instance *ingress = ingress_add (table, from);
  struct queued_request *request = g_new0 (struct queued_request, 1);
  request->ingress = ingress;
  request->id = id;
  request->last_heard = now;
  request->heard_link.data = request;
  request->ingress_link.data = request;
  request->server_link.data = request;
  g_hash_table_add (table->all, request);
  g_queue_push_tail_link (&table->by_last_heard, &request->heard_link);
  g_queue_push_tail_link (&ingress->requests, &request->ingress_link);
  return request;
}

/* Records a message on REQUEST at time NOW.  */
void
queued_touch (struct queued_table *table, struct queued_request *request,
              gint64 now)
{
  request->last_heard = now;
  g_queue_unlink (&table->by_last_heard, &request->heard_link);
  g_queue_push_tail_link (&table->by_last_heard, &request->heard_link);
}

/* Frees REQUEST, and its ingress instance if this was its last request.  */
void
queued_remove (struct queued_table *table, struct queued_request *request)
{
  struct ingress_instance *ingress = request->ingress;
  g_queue_unlink (&table->by_last_heard, &request->heard_link);
  g_queue_unlink (&ingress->requests, &request->ingress_link);
  g_hash_table_remove (table->all, request);
  if (g_queue_is_empty (&ingress->requests))
    g_hash_table_remove (table->ingresses, ingress->id.s);
}
