#include "capacity/platform.h"

#include <string.h>

#define ONE_WAY_US (3 * CLK_MS) /* delay of a request and of a response */

struct stored_object
{
  guint64 version; /* 0: the object does not exist */
  GBytes *body;
};

/* A request until its response is delivered. */
struct pending_request
{
  struct platform *platform;
  guint id;                       /* of a watch */
  gboolean unreachable;           /* the node cannot reach the platform */
  struct storage_request request; /* body owned */
  struct storage_response response;
  storage_callback done;
  void *ctx;
};

static void
object_free (gpointer data)
{
  struct stored_object *object = data;
  g_clear_pointer (&object->body, g_bytes_unref);
  g_free (object);
}

void
platform_init (struct platform *platform, struct event_queue *queue)
{
  memset (platform, 0, sizeof *platform);
  platform->events = queue;
  platform->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  platform->watches = g_ptr_array_new ();
}

static void
pending_free (struct pending_request *pending)
{
  g_clear_pointer (&pending->request.body, g_bytes_unref);
  g_clear_pointer (&pending->response.body, g_bytes_unref);
  g_free (pending);
}

/* Frees waiting watches. All other requests must have ended.  */
void
platform_clear (struct platform *platform)
{
  for (guint i = 0; i < platform->watches->len; i++)
    pending_free (g_ptr_array_index (platform->watches, i));
  g_ptr_array_unref (platform->watches);
  g_hash_table_unref (platform->objects);
}

/* Returns the object of that name, made with version 0 if there is none.  */
static struct stored_object *
find_object (struct platform *platform, const char *name)
{
  struct stored_object *object = g_hash_table_lookup (platform->objects, name);
  if (object == NULL)
    {
      object = g_new0 (struct stored_object, 1);
      g_hash_table_insert (platform->objects, g_strdup (name), object);
    }
  return object;
}

static void
deliver_response (void *ctx, void *data)
{
  struct pending_request *pending = ctx;
  (void)data;
  pending->done (pending->ctx, &pending->response);
  pending_free (pending);
}

/* Sends a response with the current version, and with the body if a read
   succeeded.  */
static void
respond (struct pending_request *pending, int code)
{
  struct stored_object *object
      = find_object (pending->platform, pending->request.name);
  pending->response.code = code;
  pending->response.version = object->version;
  if (code == 0 && pending->request.op != STORAGE_PUT)
    pending->response.body = g_bytes_ref (object->body);
  event_queue_add (pending->platform->events, ONE_WAY_US, deliver_response,
                   pending, NULL);
}

/* Ends the watch with the id DATA if it is still waiting.  */
static void
expire_watch (void *ctx, void *data)
{
  GPtrArray *watches = ((struct platform *)ctx)->watches;
  for (guint i = 0; i < watches->len; i++)
    {
      struct pending_request *pending = g_ptr_array_index (watches, i);
      if (pending->id != GPOINTER_TO_UINT (data))
        continue;
      g_ptr_array_remove_index_fast (watches, i);
      respond (pending, ERR_TIMEOUT);
      return;
    }
}

void
platform_put (struct platform *platform, const char *name, GBytes *body)
{
  struct stored_object *object = find_object (platform, name);
  object->version = ++platform->last_version;
  g_clear_pointer (&object->body, g_bytes_unref);
  object->body = g_bytes_ref (body);
  for (guint i = platform->watches->len; i-- > 0;)
    {
      struct pending_request *pending
          = g_ptr_array_index (platform->watches, i);
      if (strcmp (pending->request.name, name) != 0)
        continue;
      g_ptr_array_remove_index_fast (platform->watches, i);
      respond (pending, 0);
    }
}

/* Updates the object if its version is the expected one.  */
static void
handle_put (struct pending_request *pending)
{
  struct platform *platform = pending->platform;
  if (find_object (platform, pending->request.name)->version
      != pending->request.expected)
    {
      respond (pending, ERR_CONFLICT);
      return;
    }
  platform->put_bytes += g_bytes_get_size (pending->request.body);
  platform_put (platform, pending->request.name, pending->request.body);
  respond (pending, 0);
}

static void
handle_request (void *ctx, void *data)
{
  struct pending_request *pending = ctx;
  struct platform *platform = pending->platform;
  guint64 version = find_object (platform, pending->request.name)->version;
  (void)data;
  if (platform->down || pending->unreachable)
    respond (pending, ERR_UNAVAILABLE);
  else if (pending->request.op == STORAGE_PUT)
    handle_put (pending);
  else if (version == 0)
    respond (pending, ERR_NOT_FOUND);
  else if (pending->request.op == STORAGE_GET
           || version > pending->request.expected)
    respond (pending, 0);
  else
    {
      pending->id = ++platform->last_watch_id;
      g_ptr_array_add (platform->watches, pending);
      event_queue_add (platform->events, pending->request.timeout_us,
                       expire_watch, platform, GUINT_TO_POINTER (pending->id));
    }
}

void
platform_start_request (struct platform *platform,
                        const struct storage_request *request,
                        gboolean unreachable, storage_callback done, void *ctx)
{
  struct pending_request *pending = g_new0 (struct pending_request, 1);
  pending->platform = platform;
  pending->request = *request;
  pending->unreachable = unreachable;
  if (request->body != NULL)
    g_bytes_ref (request->body);
  pending->done = done;
  pending->ctx = ctx;
  platform->request_counts[request->op]++;
  event_queue_add (platform->events, ONE_WAY_US, handle_request, pending, NULL);
}

void
platform_reset_counts (struct platform *platform)
{
  memset (platform->request_counts, 0, sizeof platform->request_counts);
  platform->put_bytes = 0;
}
