#include "backend/engine_poller.h"
#include "backend/json_get.h"
#include "base/log.h"
#include "base/json_text.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define RESPONSE_MAX (256 * 1024) /* bytes */
#define CONNECTIONS_MAX 64        /* to all engines */

struct engine_poller
{
  struct engine_poller_options options;
  SoupSession *session;
  GHashTable *engines; /* name -> struct engine *, owned */
};

struct engine
{
  struct engine_poller *poller;
  struct str_id name;
  gint64 next_event;   /* number of the first event not yet received */
  gboolean pending;    /* a request is under way */
  gboolean events_due; /* the next request is for cache events */
  gboolean failing;    /* the last request failed, which has been logged */
  guint timeout_timer; /* GLib source; 0: none */
  GCancellable *cancellable;
};

static void
free_engine (void *data)
{
  struct engine *engine = data;
  g_clear_handle_id (&engine->timeout_timer, g_source_remove);
  g_object_set_data (G_OBJECT (engine->cancellable), "engine", NULL);
  g_cancellable_cancel (engine->cancellable);
  g_object_unref (engine->cancellable);
  g_free (engine);
}

struct engine_poller *
engine_poller_new (const struct engine_poller_options *options)
{
  struct engine_poller *poller = g_new0 (struct engine_poller, 1);
  poller->options = *options;
  poller->session = soup_session_new_with_options (
      "max-conns", CONNECTIONS_MAX, "max-conns-per-host", 1, "idle-timeout", 2,
      "proxy-resolver", NULL, "user-agent", "jacinthward", NULL);
  poller->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_engine);
  return poller;
}

void
engine_poller_free (struct engine_poller *poller)
{
  if (poller == NULL)
    return;
  g_hash_table_unref (poller->engines);
  g_object_unref (poller->session);
  g_free (poller);
}

static void
report_load (struct engine *engine, JsonObject *object)
{
  const struct engine_poller_options *options = &engine->poller->options;
  struct shard_load load = { 0 };
  /* Clamped, so that a wrong report cannot overflow the sums made of it. */
  load.running = (guint)CLAMP (json_get_int (object, "running"), 0, 1000000);
  load.waiting = (guint)CLAMP (json_get_int (object, "waiting"), 0, 1000000);
  load.kv_used = CLAMP (json_get_number (object, "kv_used"), 0.0, 1.0);
  load.age_us
      = CLAMP (json_get_int (object, "age_ms"), 0, 3600 * 1000) * CLK_MS;
  options->load (options->ctx, engine->name.s, &load,
                 json_get_bool (object, "leaving"));
}

/* Reports one event: {"prefix": hash in hexadecimal, "held": cached or not}.
   Ignores an event of another form.  */
static void
report_event (struct engine *engine, JsonNode *node)
{
  const struct engine_poller_options *options = &engine->poller->options;
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return;
  JsonObject *object = json_node_get_object (node);
  JsonNode *prefix = json_object_get_member (object, "prefix");
  JsonNode *cached = json_object_get_member (object, "held");
  if (prefix == NULL || json_node_get_value_type (prefix) != G_TYPE_STRING
      || cached == NULL || !JSON_NODE_HOLDS_VALUE (cached))
    return;
  options->cache (options->ctx, engine->name.s,
                  g_ascii_strtoull (json_node_get_string (prefix), NULL, 16),
                  json_node_get_boolean (cached));
}

static void
report_events (struct engine *engine, JsonObject *object)
{
  JsonNode *events = json_object_get_member (object, "events");
  engine->next_event = json_get_int (object, "next");
  if (events == NULL || !JSON_NODE_HOLDS_ARRAY (events))
    return;
  JsonArray *array = json_node_get_array (events);
  for (guint i = 0; i < json_array_get_length (array); i++)
    report_event (engine, json_array_get_element (array, i));
}

/* Reports the events or the load in a response. Returns FALSE if it is not a
   JSON object.  */
static gboolean
parse_response (struct engine *engine, struct str text)
{
  JsonParser *parser = json_parser_new_immutable ();
  gboolean ok = json_text_load (parser, text)
                && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser));
  if (ok)
    {
      JsonObject *object = json_node_get_object (json_parser_get_root (parser));
      if (json_object_has_member (object, "events"))
        report_events (engine, object);
      else
        report_load (engine, object);
    }
  g_object_unref (parser);
  return ok;
}

/* Ends the request. CAUSE, NULL if it succeeded, is logged unless the one
   before failed too. A request that failed is cancelled, which closes its
   connection, and what still comes of it is ignored.  */
static void
finish_request (struct engine *engine, const char *cause)
{
  engine->pending = FALSE;
  g_clear_handle_id (&engine->timeout_timer, g_source_remove);
  if (cause != NULL && !engine->failing)
    log_write (&(struct log_entry){ .level = LOG_WARN,
                                    .event = "engine.poll_failed",
                                    .step = "backend.poll",
                                    .peer = engine->name.s },
               "%s", cause);
  engine->failing = cause != NULL;
  if (cause == NULL)
    return;
  g_object_set_data (G_OBJECT (engine->cancellable), "engine", NULL);
  g_cancellable_cancel (engine->cancellable);
  g_object_unref (engine->cancellable);
  engine->cancellable = g_cancellable_new ();
  g_object_set_data (G_OBJECT (engine->cancellable), "engine", engine);
}

/* The body has been read to its end or over RESPONSE_MAX.  */
static void
on_body (GObject *source, GAsyncResult *result, gpointer data)
{
  GCancellable *cancellable = data;
  struct engine *engine = g_object_get_data (G_OBJECT (cancellable), "engine");
  const char *buffer = g_object_get_data (G_OBJECT (cancellable), "buffer");
  GError *error = NULL;
  gsize n = 0;
  g_input_stream_read_all_finish (G_INPUT_STREAM (source), result, &n, &error);
  if (engine != NULL && error != NULL)
    finish_request (engine, error->message);
  else if (engine != NULL && n > RESPONSE_MAX)
    finish_request (engine, "response too large");
  else if (engine != NULL)
    finish_request (engine, parse_response (engine, (struct str){ buffer, n })
                                ? NULL
                                : "the response is not a JSON object");
  g_clear_error (&error);
  g_object_set_data (G_OBJECT (cancellable), "buffer", NULL);
  g_object_unref (cancellable);
}

/* Reads the body that follows the response head, one byte over RESPONSE_MAX at
   most.  */
static void
on_head (GObject *source, GAsyncResult *result, gpointer data)
{
  GCancellable *cancellable = data;
  struct engine *engine = g_object_get_data (G_OBJECT (cancellable), "engine");
  SoupMessage *message
      = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  GError *error = NULL;
  GInputStream *stream
      = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  if (engine != NULL && stream == NULL)
    finish_request (engine, error->message);
  else if (engine != NULL && soup_message_get_status (message) != 200)
    finish_request (engine, "status other than 200");
  else if (engine != NULL)
    {
      char *buffer = g_malloc (RESPONSE_MAX + 1);
      g_object_set_data_full (G_OBJECT (cancellable), "buffer", buffer, g_free);
      g_input_stream_read_all_async (stream, buffer, RESPONSE_MAX + 1,
                                     G_PRIORITY_DEFAULT, cancellable, on_body,
                                     g_object_ref (cancellable));
    }
  g_clear_object (&stream);
  g_clear_error (&error);
  g_object_unref (cancellable);
}

static gboolean
on_timeout (gpointer data)
{
  struct engine *engine = data;
  engine->timeout_timer = 0;
  finish_request (engine, "no complete response in time");
  return G_SOURCE_REMOVE;
}

static struct engine *
get_engine (struct engine_poller *poller, const struct cluster_backend *backend)
{
  struct engine *engine
      = g_hash_table_lookup (poller->engines, backend->name.s);
  if (engine != NULL)
    return engine;
  engine = g_new0 (struct engine, 1);
  engine->poller = poller;
  engine->name = backend->name;
  engine->cancellable = g_cancellable_new ();
  g_object_set_data (G_OBJECT (engine->cancellable), "engine", engine);
  g_hash_table_insert (poller->engines, engine->name.s, engine);
  return engine;
}

/* Requests the load of BACKEND, on every second call its cache events instead.
   Does nothing while the previous request is pending.  */
void
engine_poller_poll (struct engine_poller *poller,
                    const struct cluster_backend *backend)
{
  struct engine *engine = get_engine (poller, backend);
  char *uri;
  if (engine->pending)
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
  engine->pending = TRUE;
  engine->timeout_timer = g_timeout_add (
      (guint)(ENGINE_POLLER_TIMEOUT_US / CLK_MS), on_timeout, engine);
  soup_session_send_async (poller->session, message, G_PRIORITY_DEFAULT,
                           engine->cancellable, on_head,
                           g_object_ref (engine->cancellable));
  g_object_unref (message);
}
