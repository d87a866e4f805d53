#include "backend/prb.h"
#include "backend/jsn.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define ANSWER_MAX (256 * 1024) /* bytes */
#define CONNECTIONS_MAX 64

struct prb
{
  struct prb_options options;
  SoupSession *session;
  GHashTable *engines; /* name -> struct engine *, owned */
};

struct engine
{
  struct prb *prb;
  struct str_id name;
  gint64 next_event;   /* first number not yet seen */
  gboolean asking;     /* a call is under way */
  gboolean events_due; /* the next call asks for cache events */
  guint timer;         /* GLib source; 0: none */
  GCancellable *cancellable;
};

static void
free_engine (void *data)
{
  struct engine *engine = data;
  g_clear_handle_id (&engine->timer, g_source_remove);
  g_object_set_data (G_OBJECT (engine->cancellable), "engine", NULL);
  g_cancellable_cancel (engine->cancellable);
  g_object_unref (engine->cancellable);
  g_free (engine);
}

struct prb *
prb_new (const struct prb_options *options)
{
  struct prb *prb = g_new0 (struct prb, 1);
  prb->options = *options;
  prb->session = soup_session_new_with_options (
      "max-conns", CONNECTIONS_MAX, "max-conns-per-host", 1, "idle-timeout", 2,
      "proxy-resolver", NULL, "user-agent", "jacinthward", NULL);
  prb->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_engine);
  return prb;
}

void
prb_free (struct prb *prb)
{
  if (prb == NULL)
    return;
  g_hash_table_unref (prb->engines);
  g_object_unref (prb->session);
  g_free (prb);
}

static void
take_load (struct engine *engine, JsonObject *object)
{
  const struct prb_options *options = &engine->prb->options;
  struct shard_load load = { 0 };
  load.running = (guint)CLAMP (jsn_int (object, "running"), 0, 1000000);
  load.waiting = (guint)CLAMP (jsn_int (object, "waiting"), 0, 1000000);
  load.kv_used = CLAMP (jsn_number (object, "kv_used"), 0.0, 1.0);
  load.age_us = CLAMP (jsn_int (object, "age_ms"), 0, 3600 * 1000) * CLK_MS;
  options->load (options->ctx, engine->name.s, &load,
                 jsn_bool (object, "leaving"));
}

static void
take_event (struct engine *engine, JsonNode *node)
{
  const struct prb_options *options = &engine->prb->options;
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return;
  JsonObject *object = json_node_get_object (node);
  JsonNode *prefix = json_object_get_member (object, "prefix");
  JsonNode *held = json_object_get_member (object, "held");
  if (prefix == NULL || json_node_get_value_type (prefix) != G_TYPE_STRING
      || held == NULL || !JSON_NODE_HOLDS_VALUE (held))
    return;
  options->cache (options->ctx, engine->name.s,
                  g_ascii_strtoull (json_node_get_string (prefix), NULL, 16),
                  json_node_get_boolean (held));
}

static void
take_events (struct engine *engine, JsonObject *object)
{
  JsonNode *events = json_object_get_member (object, "events");
  engine->next_event = jsn_int (object, "next");
  if (events == NULL || !JSON_NODE_HOLDS_ARRAY (events))
    return;
  JsonArray *array = json_node_get_array (events);
  for (guint i = 0; i < json_array_get_length (array); i++)
    take_event (engine, json_array_get_element (array, i));
}

static void
take_answer (struct engine *engine, GBytes *bytes)
{
  JsonParser *parser = json_parser_new_immutable ();
  gsize n;
  const char *text = g_bytes_get_data (bytes, &n);
  if (n > 0 && n <= ANSWER_MAX
      && json_parser_load_from_data (parser, text, (gssize)n, NULL)
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    {
      JsonObject *object = json_node_get_object (json_parser_get_root (parser));
      if (json_object_has_member (object, "events"))
        take_events (engine, object);
      else
        take_load (engine, object);
    }
  g_object_unref (parser);
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  GCancellable *cancellable = data;
  struct engine *engine = g_object_get_data (G_OBJECT (cancellable), "engine");
  SoupMessage *message
      = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  GBytes *bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  if (engine != NULL)
    {
      engine->asking = FALSE;
      g_clear_handle_id (&engine->timer, g_source_remove);
      if (bytes != NULL && soup_message_get_status (message) == 200)
        take_answer (engine, bytes);
    }
  g_clear_pointer (&bytes, g_bytes_unref);
  g_object_unref (cancellable);
}

/* Gives the call up; its answer is ignored.  */
static gboolean
on_timeout (gpointer data)
{
  struct engine *engine = data;
  engine->timer = 0;
  engine->asking = FALSE;
  g_object_set_data (G_OBJECT (engine->cancellable), "engine", NULL);
  g_cancellable_cancel (engine->cancellable);
  g_object_unref (engine->cancellable);
  engine->cancellable = g_cancellable_new ();
  g_object_set_data (G_OBJECT (engine->cancellable), "engine", engine);
  return G_SOURCE_REMOVE;
}

static struct engine *
get_engine (struct prb *prb, const struct cluster_backend *backend)
{
  struct engine *engine = g_hash_table_lookup (prb->engines, backend->name.s);
  if (engine != NULL)
    return engine;
  engine = g_new0 (struct engine, 1);
  engine->prb = prb;
  engine->name = backend->name;
  engine->cancellable = g_cancellable_new ();
  g_object_set_data (G_OBJECT (engine->cancellable), "engine", engine);
  g_hash_table_insert (prb->engines, engine->name.s, engine);
  return engine;
}

/* Asks for the load and for cache events by turns.  */
void
prb_ask (struct prb *prb, const struct cluster_backend *backend)
{
  struct engine *engine = get_engine (prb, backend);
  char *uri;
  if (engine->asking)
    return;
  if (engine->events_due)
    uri = g_strdup_printf ("http://%s/events?after=%" G_GINT64_FORMAT,
                           backend->address, engine->next_event);
  else
    uri = g_strdup_printf ("http://%s/load", backend->address);
  SoupMessage *message = soup_message_new ("GET", uri);
  g_free (uri);
  if (message == NULL)
    return;
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  engine->events_due = !engine->events_due;
  engine->asking = TRUE;
  engine->timer
      = g_timeout_add ((guint)(PRB_TIMEOUT_US / CLK_MS), on_timeout, engine);
  soup_session_send_and_read_async (prb->session, message, G_PRIORITY_DEFAULT,
                                    engine->cancellable, on_answer,
                                    g_object_ref (engine->cancellable));
  g_object_unref (message);
}
