#include "capacity/platform.h"

#include <string.h>

#define ANSWER_US (3 * CLK_MS) /* each way */

struct object
{
  guint64 version;
  GBytes *body;
};

/* A call on its way. */
struct visit
{
  struct platform *platform;
  guint id; /* of a watch */
  gboolean severed;
  struct storage_request call; /* body owned */
  struct storage_response answer;
  storage_callback done;
  void *ctx;
};

static void
object_free (gpointer data)
{
  struct object *object = data;
  g_clear_pointer (&object->body, g_bytes_unref);
  g_free (object);
}

void
platform_init (struct platform *platform, struct queue *queue)
{
  memset (platform, 0, sizeof *platform);
  platform->queue = queue;
  platform->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  platform->watches = g_ptr_array_new ();
}

static void
visit_free (struct visit *visit)
{
  g_clear_pointer (&visit->call.body, g_bytes_unref);
  g_clear_pointer (&visit->answer.body, g_bytes_unref);
  g_free (visit);
}

/* Frees what waits; calls on their way must be over.  */
void
platform_clear (struct platform *platform)
{
  for (guint i = 0; i < platform->watches->len; i++)
    visit_free (g_ptr_array_index (platform->watches, i));
  g_ptr_array_unref (platform->watches);
  g_hash_table_unref (platform->objects);
}

static struct object *
find (struct platform *platform, const char *name)
{
  struct object *object = g_hash_table_lookup (platform->objects, name);
  if (object == NULL)
    {
      object = g_new0 (struct object, 1);
      g_hash_table_insert (platform->objects, g_strdup (name), object);
    }
  return object;
}

static void
answer (void *ctx, void *data)
{
  struct visit *visit = ctx;
  (void)data;
  visit->done (visit->ctx, &visit->answer);
  visit_free (visit);
}

static void
reply (struct visit *visit, int code)
{
  struct object *object = find (visit->platform, visit->call.name);
  visit->answer.code = code;
  visit->answer.version = object->version;
  if (code == 0 && visit->call.op != STORAGE_PUT)
    visit->answer.body = g_bytes_ref (object->body);
  queue_add (visit->platform->queue, ANSWER_US, answer, visit, NULL);
}

static void
end_watch (void *ctx, void *data)
{
  GPtrArray *watches = ((struct platform *)ctx)->watches;
  for (guint i = 0; i < watches->len; i++)
    {
      struct visit *visit = g_ptr_array_index (watches, i);
      if (visit->id != GPOINTER_TO_UINT (data))
        continue;
      g_ptr_array_remove_index_fast (watches, i);
      reply (visit, ERR_TIMEOUT);
      return;
    }
}

/* Takes over a new value and wakes its watches.  */
void
platform_put (struct platform *platform, const char *name, GBytes *body)
{
  struct object *object = find (platform, name);
  object->version = ++platform->last;
  g_clear_pointer (&object->body, g_bytes_unref);
  object->body = g_bytes_ref (body);
  for (guint i = platform->watches->len; i-- > 0;)
    {
      struct visit *visit = g_ptr_array_index (platform->watches, i);
      if (strcmp (visit->call.name, name) != 0)
        continue;
      g_ptr_array_remove_index_fast (platform->watches, i);
      reply (visit, 0);
    }
}

static void
put (struct visit *visit)
{
  struct platform *platform = visit->platform;
  if (find (platform, visit->call.name)->version != visit->call.expected)
    {
      reply (visit, ERR_CONFLICT);
      return;
    }
  platform->put_bytes += g_bytes_get_size (visit->call.body);
  platform_put (platform, visit->call.name, visit->call.body);
  reply (visit, 0);
}

static void
carry_out (void *ctx, void *data)
{
  struct visit *visit = ctx;
  struct platform *platform = visit->platform;
  guint64 version = find (platform, visit->call.name)->version;
  (void)data;
  if (platform->down || visit->severed)
    reply (visit, ERR_UNAVAILABLE);
  else if (visit->call.op == STORAGE_PUT)
    put (visit);
  else if (version == 0)
    reply (visit, ERR_NOT_FOUND);
  else if (visit->call.op == STORAGE_GET || version > visit->call.expected)
    reply (visit, 0);
  else
    {
      visit->id = ++platform->last_watch;
      g_ptr_array_add (platform->watches, visit);
      queue_add (platform->queue, visit->call.timeout_us, end_watch, platform,
                 GUINT_TO_POINTER (visit->id));
    }
}

void
platform_start (struct platform *platform, const struct storage_request *call,
                gboolean severed, storage_callback done, void *ctx)
{
  struct visit *visit = g_new0 (struct visit, 1);
  visit->platform = platform;
  visit->call = *call;
  visit->severed = severed;
  if (call->body != NULL)
    g_bytes_ref (call->body);
  visit->done = done;
  visit->ctx = ctx;
  platform->calls[call->op]++;
  queue_add (platform->queue, ANSWER_US, carry_out, visit, NULL);
}

/* Sets the counts to nothing.  */
void
platform_reset (struct platform *platform)
{
  memset (platform->calls, 0, sizeof platform->calls);
  platform->put_bytes = 0;
}
