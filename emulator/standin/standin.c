#include "standin/standin.h"

#include <sys/socket.h>
#include <string.h>

#define LISTEN_DEFAULT "127.0.0.1:0"
#define LISTEN_BACKLOG 1024 /* connections */

/* A request that waits until the stand-in is no longer frozen or its delay has
   elapsed.  */
struct deferred
{
  struct standin *standin;
  SoupServerMessage *msg; /* ref */
  char *path;
  GHashTable *query; /* ref; may be NULL */
};

/* Returns the value of request header NAME, or NULL.  */
const char *
standin_header (SoupServerMessage *msg, const char *name)
{
  return soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), name);
}

/* Responds to the paused MSG with STATUS and a JSON text.  */
void
standin_respond (SoupServerMessage *msg, guint status, const char *json)
{
  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    json, strlen (json));
  soup_server_message_unpause (msg);
}

/* Responds to the paused MSG with STATUS and an error body with CODE.  */
void
standin_error (SoupServerMessage *msg, guint status, const char *code)
{
  char *json = g_strdup_printf ("{\"error\": {\"message\": \"%s\", "
                                "\"code\": \"%s\"}}",
                                code, code);
  standin_respond (msg, status, json);
  g_free (json);
}

/* Shuts down the connection of the paused MSG; what is not written yet is
   lost.  */
void
standin_drop (SoupServerMessage *msg)
{
  GSocket *socket = soup_server_message_get_socket (msg);
  if (socket != NULL)
    shutdown (g_socket_get_fd (socket), SHUT_RDWR);
  if (soup_server_message_get_status (msg) == 0)
    soup_server_message_set_status (msg, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                    NULL);
  soup_message_body_append (soup_server_message_get_response_body (msg),
                            SOUP_MEMORY_STATIC, "\n", 1);
  soup_server_message_unpause (msg);
}

/* Returns the JSON object in the request body, freed by json_node_unref, or
   NULL if there is none.  */
JsonNode *
standin_body (SoupServerMessage *msg)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  if (body->data == NULL || body->length == 0)
    return NULL;
  JsonParser *parser = json_parser_new ();
  JsonNode *node = NULL;
  if (json_parser_load_from_data (parser, body->data, (gssize)body->length,
                                  NULL))
    node = json_parser_steal_root (parser);
  g_object_unref (parser);
  if (node != NULL && !JSON_NODE_HOLDS_OBJECT (node))
    g_clear_pointer (&node, json_node_unref);
  return node;
}

/* Returns the text that JSON has built, freed by the caller, and frees JSON. */
char *
standin_json_end (JsonBuilder *json)
{
  JsonNode *root = json_builder_get_root (json);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (json);
  return text;
}

static void
add_string (JsonBuilder *json, const char *name, const char *value)
{
  if (value == NULL)
    return;
  json_builder_set_member_name (json, name);
  json_builder_add_string_value (json, value);
}

static void
add_int (JsonBuilder *json, const char *name, gint64 value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_int_value (json, value);
}

/* Writes EVENT to the history as one line of JSON.  */
void
standin_history (struct standin *standin, const struct standin_event *event)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  add_int (json, "t_us", g_get_real_time ());
  add_string (json, "process", standin->name);
  add_string (json, "kind", event->kind);
  add_string (json, "id", event->id);
  add_string (json, "attempt", event->attempt);
  add_string (json, "name", event->name);
  add_int (json, "n", event->n);
  if (event->version != 0)
    add_int (json, "version", (gint64)event->version);
  json_builder_end_object (json);
  char *line = standin_json_end (json);
  fprintf (standin->history, "%s\n", line);
  g_free (line);
}

static const struct standin_field *
find_field (struct standin *standin, const char *name)
{
  for (guint i = 0; i < standin->options.n_fields; i++)
    if (strcmp (standin->options.fields[i].name, name) == 0)
      return &standin->options.fields[i];
  return NULL;
}

static void
set_field (void *faults, const struct standin_field *field, JsonNode *node)
{
  char *at = (char *)faults + field->offset;
  switch (field->type)
    {
    case STANDIN_INT:
      *(gint64 *)(void *)at = json_node_get_int (node);
      break;
    case STANDIN_DOUBLE:
      *(double *)(void *)at = json_node_get_double (node);
      break;
    case STANDIN_BOOL:
      *(gboolean *)(void *)at = json_node_get_boolean (node);
      break;
    }
}

static void
set_fault (JsonObject *object, const char *name, JsonNode *node, void *ctx)
{
  (void)object;
  struct standin *standin = ctx;
  const struct standin_field *field = find_field (standin, name);
  if (strcmp (name, "frozen") == 0)
    standin->frozen = json_node_get_boolean (node);
  else if (strcmp (name, "slow_ms") == 0)
    standin->slow_ms = json_node_get_int (node);
  else if (field != NULL)
    set_field (standin->options.faults, field, node);
}

static gboolean
is_known_fault (struct standin *standin, JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return JSON_NODE_HOLDS_VALUE (node)
         && (strcmp (name, "frozen") == 0 || strcmp (name, "slow_ms") == 0
             || find_field (standin, name) != NULL);
}

static void
deferred_free (struct deferred *deferred)
{
  g_object_unref (deferred->msg);
  g_free (deferred->path);
  if (deferred->query != NULL)
    g_hash_table_unref (deferred->query);
  g_free (deferred);
}

/* Handles the request, or queues it if the stand-in is frozen.  */
static void
handle_deferred (struct deferred *deferred)
{
  struct standin *standin = deferred->standin;
  if (standin->frozen)
    {
      g_queue_push_tail (&standin->deferred, deferred);
      return;
    }
  standin->options.handler (standin, deferred->msg, deferred->path,
                            deferred->query);
  deferred_free (deferred);
}

static gboolean
on_delay_elapsed (void *ctx)
{
  handle_deferred (ctx);
  return G_SOURCE_REMOVE;
}

static void
resume_deferred (struct standin *standin)
{
  while (!standin->frozen && !g_queue_is_empty (&standin->deferred))
    handle_deferred (g_queue_pop_head (&standin->deferred));
}

/* Sets the faults that the body names. If one of them is unknown or its value
   is not a number, boolean or string, none is set.  */
static void
handle_fault (struct standin *standin, SoupServerMessage *msg)
{
  JsonNode *body = standin_body (msg);
  gboolean ok = body != NULL;
  GList *names
      = ok ? json_object_get_members (json_node_get_object (body)) : NULL;
  for (GList *l = names; l != NULL && ok; l = l->next)
    ok = is_known_fault (standin, json_node_get_object (body), l->data);
  if (ok)
    json_object_foreach_member (json_node_get_object (body), set_fault,
                                standin);
  g_list_free (names);
  if (body != NULL)
    json_node_unref (body);
  if (!ok)
    {
      standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_fault");
      return;
    }
  if (standin->options.changed != NULL)
    standin->options.changed (standin);
  standin_respond (msg, SOUP_STATUS_OK, "{}");
  resume_deferred (standin);
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer ctx)
{
  (void)server;
  struct standin *standin = ctx;
  soup_server_message_pause (msg);
  if (strcmp (path, "/fault") == 0)
    {
      handle_fault (standin, msg);
      return;
    }
  if (strcmp (path, "/counts") == 0)
    {
      char *json = standin->options.counts (standin);
      standin_respond (msg, SOUP_STATUS_OK, json);
      g_free (json);
      return;
    }
  struct deferred *deferred = g_new0 (struct deferred, 1);
  deferred->standin = standin;
  deferred->msg = g_object_ref (msg);
  deferred->path = g_strdup (path);
  deferred->query = query == NULL ? NULL : g_hash_table_ref (query);
  if (standin->slow_ms > 0)
    g_timeout_add ((guint)standin->slow_ms, on_delay_elapsed, deferred);
  else
    handle_deferred (deferred);
}

static int
parse_options (struct standin *standin, int *argc, char ***argv)
{
  GOptionEntry common[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &standin->listen,
      "Address to listen on; port 0: chosen by the kernel", "IP:PORT" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &standin->name,
      "Name of the process in its history", "NAME" },
    { "history", 0, 0, G_OPTION_ARG_FILENAME, &standin->history_path,
      "File that history lines are appended to", "FILE" },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, common, NULL);
  if (standin->options.entries != NULL)
    g_option_context_add_main_entries (context, standin->options.entries, NULL);
  gboolean ok = g_option_context_parse (context, argc, argv, &error);
  if (!ok)
    fprintf (stderr, "%s\n", error->message);
  g_clear_error (&error);
  g_option_context_free (context);
  return ok ? 0 : -1;
}

static int
open_history (struct standin *standin)
{
  standin->history = stderr;
  if (standin->history_path == NULL)
    return 0;
  standin->history = fopen (standin->history_path, "a");
  if (standin->history == NULL)
    return -1;
  setvbuf (standin->history, NULL, _IOLBF, 0);
  return 0;
}

/* Creates the listener by hand because libsoup's own has a backlog of 10, with
   which connections are reset when many clients connect at once.  */
static GSocket *
make_listener (GSocketAddress *at, GError **error)
{
  GSocket *socket
      = g_socket_new (g_socket_address_get_family (at), G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, error);
  if (socket == NULL)
    return NULL;
  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (!g_socket_bind (socket, at, TRUE, error)
      || !g_socket_listen (socket, error))
    g_clear_object (&socket);
  return socket;
}

/* Parses TEXT of the form IP:PORT. Returns NULL if it is malformed.  */
static GSocketAddress *
parse_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  if (colon == NULL)
    return NULL;
  char *ip = g_strndup (text, (gsize)(colon - text));
  guint64 port;
  GSocketAddress *at = NULL;
  if (g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port, NULL))
    at = g_inet_socket_address_new_from_string (ip, (guint)port);
  g_free (ip);
  return at;
}

static int
bound_port (GSocket *socket)
{
  GSocketAddress *at = g_socket_get_local_address (socket, NULL);
  int port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (at));
  g_object_unref (at);
  return port;
}

/* Listens on standin->listen. Returns the port, < 0 on error.  */
static int
listen_on (struct standin *standin)
{
  const char *text = standin->listen != NULL ? standin->listen : LISTEN_DEFAULT;
  GError *error = NULL;
  int port = -1;
  GSocketAddress *at = parse_address (text);
  GSocket *socket = at != NULL ? make_listener (at, &error) : NULL;
  if (socket != NULL
      && soup_server_listen_socket (standin->server, socket, 0, &error))
    port = bound_port (socket);
  if (port < 0)
    fprintf (stderr, "cannot listen on %s: %s\n", text,
             error != NULL ? error->message : "expected IP:PORT");
  g_clear_error (&error);
  g_clear_object (&socket);
  g_clear_object (&at);
  return port;
}

/* Runs a stand-in until it is killed. Prints "ready PORT" once it listens.
   Returns exit status 2 if the command line is wrong or it cannot listen.  */
int
standin_main (struct standin *standin, const struct standin_options *options,
              int argc, char **argv)
{
  standin->options = *options;
  g_queue_init (&standin->deferred);
  if (parse_options (standin, &argc, &argv) < 0 || open_history (standin) < 0)
    return 2;
  if (standin->name == NULL)
    standin->name = g_strdup (options->kind);
  standin->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (standin->server, NULL, on_request, standin, NULL);
  if (options->prepare != NULL && !options->prepare (standin))
    {
      fprintf (stderr, "option out of range\n");
      return 2;
    }
  int port = listen_on (standin);
  if (port < 0)
    return 2;
  printf ("ready %d\n", port);
  fflush (stdout);
  standin->loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (standin->loop);
  return 0;
}
