#include "admin/admin_server.h"

#include <string.h>

#include "admin/admin_internal.h"
#include "config/ini.h"

#define BEARER "Bearer "

enum access_level
{
  ACCESS_OPEN, /* without a token */
  ACCESS_READ, /* any operator */
  ACCESS_WRITE /* an operator with write=yes */
};

struct endpoint
{
  const char *method;
  const char *path; /* "*" matches one segment, admin_request.name */
  enum access_level access_level;
  gsize body_max; /* bytes; largest Content-Length accepted */
  void (*handle) (const struct admin_request *request);
};

static void
get_healthz (const struct admin_request *request)
{
  soup_server_message_set_status (request->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (request->message, "text/plain",
                                    SOUP_MEMORY_STATIC, "ok\n", 3);
}

static void
get_readyz (const struct admin_request *request)
{
  const struct admin_server_options *o = &request->admin_server->options;
  gboolean ready = o->ready (o->ctx);
  const char *text = ready ? "ready\n" : "not ready\n";
  soup_server_message_set_status (
      request->message,
      ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
  soup_server_message_set_response (request->message, "text/plain",
                                    SOUP_MEMORY_STATIC, text, strlen (text));
}

static void
get_metrics (const struct admin_request *request)
{
  GString *text = g_string_new (NULL);
  counter_set_prometheus (request->admin_server->options.counter_set, text);
  gsize n = text->len;
  soup_server_message_set_status (request->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (
      request->message, "text/plain; version=0.0.4", SOUP_MEMORY_TAKE,
      g_string_free (text, FALSE), n);
}

static void
get_stats (const struct admin_request *request)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  counter_set_dump (request->admin_server->options.counter_set, json);
  admin_respond_json (request->message, SOUP_STATUS_OK, json);
}

static void
get_dump (const struct admin_request *request)
{
  const struct admin_server_options *o = &request->admin_server->options;
  g_autoptr (JsonBuilder) json = json_builder_new ();
  o->dump (o->ctx, json);
  admin_respond_json (request->message, SOUP_STATUS_OK, json);
}

static void
get_config (const struct admin_request *request)
{
  gsize n;
  const char *text = g_bytes_get_data (request->cfg->body, &n);
  g_autofree char *tag
      = g_strdup_printf ("\"%" G_GUINT64_FORMAT "\"", request->cfg->version);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (request->message), "ETag", tag);
  soup_server_message_set_status (request->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (request->message, "text/plain",
                                    SOUP_MEMORY_COPY, text, n);
}

static const struct endpoint endpoints[] = {
  { "GET", "/healthz", ACCESS_OPEN, 0, get_healthz },
  { "GET", "/readyz", ACCESS_OPEN, 0, get_readyz },
  { "GET", "/metrics", ACCESS_OPEN, 0, get_metrics },
  { "GET", "/stats", ACCESS_READ, 0, get_stats },
  { "GET", "/dump", ACCESS_READ, 0, get_dump },
  { "GET", "/config", ACCESS_READ, 0, get_config },
  { "PUT", "/config", ACCESS_WRITE, CLUSTER_BODY_MAX, admin_put_config },
  { "GET", "/config/status", ACCESS_READ, 0, admin_get_status },
  { "PUT", "/preset", ACCESS_WRITE, ADMIN_SMALL_BODY_MAX, admin_put_preset },
  { "GET", "/presets", ACCESS_READ, 0, admin_get_presets },
  { "GET", "/classes", ACCESS_READ, 0, admin_get_classes },
  { "GET", "/teams", ACCESS_READ, 0, admin_get_teams },
  { "GET", "/backends", ACCESS_READ, 0, admin_get_backends },
  { "GET", "/instances", ACCESS_READ, 0, admin_get_instances },
  { "PUT", "/backends/*/drain", ACCESS_WRITE, ADMIN_SMALL_BODY_MAX,
    admin_put_drain },
  { "PUT", "/backends/*/undrain", ACCESS_WRITE, ADMIN_SMALL_BODY_MAX,
    admin_put_undrain },
};

/* Matches PATH with PATTERN, which has at most one "*". On a match, sets *NAME
   to the segment that matches "*", if there is one; free it with g_free.  */
static gboolean
path_matches (const char *pattern, const char *path, char **name)
{
  const char *star = strchr (pattern, '*');
  if (star == NULL)
    return strcmp (pattern, path) == 0;
  gsize prefix = (gsize)(star - pattern);
  if (strncmp (pattern, path, prefix) != 0)
    return FALSE;
  gsize n = strcspn (path + prefix, "/");
  if (n == 0 || strcmp (star + 1, path + prefix + n) != 0)
    return FALSE;
  *name = g_strndup (path + prefix, n);
  return TRUE;
}

/* Finds the endpoint for METHOD and PATH, and sets *NAME to its path parameter
   (see path_matches). Returns NULL with *STATUS set to 404 or 405 if there is
   none.  */
static const struct endpoint *
find_endpoint (const char *method, const char *path, char **name, guint *status)
{
  *status = SOUP_STATUS_NOT_FOUND;
  for (guint i = 0; i < G_N_ELEMENTS (endpoints); i++)
    {
      g_autofree char *found = NULL;
      if (!path_matches (endpoints[i].path, path, &found))
        continue;
      if (strcmp (endpoints[i].method, method) == 0)
        {
          *name = g_steal_pointer (&found);
          return &endpoints[i];
        }
      *status = SOUP_STATUS_METHOD_NOT_ALLOWED;
    }
  return NULL;
}

/* Returns the index in CFG of the operator whose bearer token is in MESSAGE, or
   < 0 if no operator has it.  */
static int
find_operator (const struct cluster_config *cfg, SoupServerMessage *message)
{
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "Authorization");
  if (value == NULL || !g_str_has_prefix (value, BEARER))
    return ERR_AUTH;
  struct str token = str_of (value + strlen (BEARER));
  if (token.n > ADMIN_TOKEN_MAX)
    return ERR_AUTH;
  return cluster_find_operator_by_token (cfg, token);
}

/* Responds to MESSAGE with an error and closes the connection after it.  */
static void
reject (struct admin_server *admin_server, SoupServerMessage *message,
        guint status, const char *code, const char *text)
{
  struct err err = { 0 };
  err_set (&err, ERR_INVALID, "admin.request", admin_server->options.self, "%s",
           text);
  admin_respond_error (message, status, code, &err);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), "Connection",
      "close");
}

/* Checks that the sender of REQUEST may use ENDPOINT, and sets operator_name.
   Returns FALSE with the response set if not.  */
static gboolean
authorize (struct admin_request *request, const struct endpoint *endpoint)
{
  struct admin_server *admin_server = request->admin_server;
  if (endpoint->access_level == ACCESS_OPEN)
    return TRUE;
  if (request->cfg == NULL)
    {
      reject (admin_server, request->message, SOUP_STATUS_SERVICE_UNAVAILABLE,
              "no_config", "no configuration is in force yet");
      return FALSE;
    }
  int index = find_operator (request->cfg, request->message);
  if (index < 0)
    {
      counter_add (admin_server->options.counter_set, COUNTER_ADMIN_DENIED, 1);
      soup_message_headers_replace (
          soup_server_message_get_response_headers (request->message),
          "WWW-Authenticate", "Bearer");
      reject (admin_server, request->message, SOUP_STATUS_UNAUTHORIZED,
              "bad_token", "unknown operator token");
      return FALSE;
    }
  const struct cluster_operator *op = &request->cfg->operators[index];
  request->operator_name = op->name.s;
  if (endpoint->access_level == ACCESS_WRITE && !op->may_write)
    {
      counter_add (admin_server->options.counter_set, COUNTER_ADMIN_DENIED, 1);
      reject (admin_server, request->message, SOUP_STATUS_FORBIDDEN,
              "read_only", "the operator has read access only");
      return FALSE;
    }
  return TRUE;
}

/* Checks the declared length of the request body against MAX bytes. A chunked
   body is rejected because its length is not known before it is read. Returns
   FALSE with the response set if it is not allowed.  */
static gboolean
check_body_length (struct admin_server *admin_server,
                   SoupServerMessage *message, gsize max)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  SoupEncoding encoding = soup_message_headers_get_encoding (headers);
  if (encoding != SOUP_ENCODING_CONTENT_LENGTH
      && encoding != SOUP_ENCODING_NONE)
    {
      reject (admin_server, message, SOUP_STATUS_LENGTH_REQUIRED,
              "length_missing", "a request body needs a Content-Length header");
      return FALSE;
    }
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH
      && (guint64)soup_message_headers_get_content_length (headers) > max)
    {
      counter_add (admin_server->options.counter_set, COUNTER_TOO_LARGE, 1);
      reject (admin_server, message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
              "too_large", "the request body is too large");
      return FALSE;
    }
  return TRUE;
}

/* Routes and authorizes MESSAGE and fills REQUEST; the caller frees its name in
   any case. Returns NULL with the response set if the request is rejected.  */
static const struct endpoint *
check_request (struct admin_server *admin_server, SoupServerMessage *message,
               const char *path, struct admin_request *request)
{
  guint status;
  *request = (struct admin_request){ .admin_server = admin_server,
                                     .message = message };
  request->cfg = admin_server->options.config (admin_server->options.ctx);
  const struct endpoint *endpoint = find_endpoint (
      soup_server_message_get_method (message), path, &request->name, &status);
  if (endpoint == NULL)
    {
      reject (admin_server, message, status,
              status == SOUP_STATUS_NOT_FOUND ? "unknown_path" : "wrong_method",
              "unknown path or method");
      return NULL;
    }
  if (!authorize (request, endpoint)
      || !check_body_length (admin_server, message, endpoint->body_max))
    return NULL;
  return endpoint;
}

static void
on_discarded_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  admin_count_discarded (data, message, g_bytes_get_size (chunk));
}

/* Checks a request when its headers are complete, before its body is read.
   libsoup sends the response to a rejected request only after it has read the
   body, so that the body is discarded as it arrives.  */
static void
on_headers (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct admin_server *admin_server = data;
  struct admin_request request;
  (void)server;
  (void)query;
  counter_add (admin_server->options.counter_set, COUNTER_ADMIN_REQUESTS, 1);
  admin_note_progress (admin_server, message);
  if (check_request (admin_server, message, path, &request) == NULL)
    {
      soup_message_body_set_accumulate (
          soup_server_message_get_request_body (message), FALSE);
      g_signal_connect (message, "got-chunk", G_CALLBACK (on_discarded_chunk),
                        admin_server);
    }
  g_free (request.name);
}

/* Handles a complete request. The status is set already if on_headers rejected
   it. Otherwise the request is checked again, with the configuration that is in
   force now.  */
static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct admin_request request;
  (void)server;
  (void)query;
  admin_note_progress (data, message);
  if (soup_server_message_get_status (message) != 0)
    return;
  const struct endpoint *endpoint
      = check_request (data, message, path, &request);
  if (endpoint != NULL)
    endpoint->handle (&request);
  g_free (request.name);
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *connection,
               GObject *source, gpointer data)
{
  (void)service;
  (void)source;
  admin_accept (data, connection);
  return TRUE;
}

static void
on_progress (SoupServer *server, SoupServerMessage *message, gpointer data)
{
  (void)server;
  admin_note_progress (data, message);
}

/* Parses TEXT, "IP:PORT" or "[IPv6]:PORT". Returns NULL if it is malformed.  */
static GSocketAddress *
parse_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  if (!ini_address_ok (text, TRUE))
    return NULL;
  gboolean brackets = text[0] == '[';
  g_autofree char *host
      = g_strndup (text + brackets, (gsize)(colon - text) - 2 * brackets);
  guint port = (guint)g_ascii_strtoull (colon + 1, NULL, 10);
  return g_inet_socket_address_new_from_string (host, port);
}

static int
listen_on (struct admin_server *admin_server, struct err *err)
{
  const char *listen = admin_server->options.listen;
  g_autoptr (GSocketAddress) address = parse_address (listen);
  g_autoptr (GSocketAddress) effective = NULL;
  g_autoptr (GError) error = NULL;
  if (address == NULL)
    return err_set (err, ERR_INVALID, "admin.listen", listen,
                    "IP:PORT expected");
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (admin_server->service),
                                      address, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &effective,
                                      &error))
    return err_set (err, ERR_IO, "admin.listen", listen, "%s", error->message);
  admin_server->port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (effective));
  return 0;
}

/* Starts listening. Returns 0 with *RESULT set, to be freed by
   admin_server_free, or < 0 with ERR set.  */
int
admin_server_new (const struct admin_server_options *options,
                  struct admin_server **result, struct err *err)
{
  struct admin_server *admin_server = g_new0 (struct admin_server, 1);
  admin_server->options = *options;
  admin_server->options.listen = g_strdup (options->listen);
  admin_server->options.self = g_strdup (options->self);
  if (admin_server->options.idle_us == 0)
    admin_server->options.idle_us = ADMIN_IDLE_US;
  admin_server->changes = g_ptr_array_new ();
  admin_server->connections
      = g_hash_table_new_full (NULL, NULL, NULL, admin_connection_free);
  admin_server->service = g_socket_service_new ();
  admin_server->server = soup_server_new ("server-header", "jacinthward", NULL);
  soup_server_add_early_handler (admin_server->server, NULL, on_headers,
                                 admin_server, NULL);
  soup_server_add_handler (admin_server->server, NULL, on_request, admin_server,
                           NULL);
  g_signal_connect (admin_server->server, "request-started",
                    G_CALLBACK (on_progress), admin_server);
  g_signal_connect (admin_server->server, "request-finished",
                    G_CALLBACK (on_progress), admin_server);
  g_signal_connect (admin_server->service, "incoming",
                    G_CALLBACK (on_connection), admin_server);
  int code = listen_on (admin_server, err);
  if (code < 0)
    {
      admin_server_free (admin_server);
      return code;
    }
  admin_server->idle_timer
      = g_timeout_add (ADMIN_IDLE_CHECK_MS, admin_close_idle, admin_server);
  *result = admin_server;
  return 0;
}

/* Stops listening, closes all connections and frees ADMIN_SERVER; NULL is
   allowed. Updates in progress continue, but no response is sent.  */
void
admin_server_free (struct admin_server *admin_server)
{
  if (admin_server == NULL)
    return;
  g_clear_handle_id (&admin_server->idle_timer, g_source_remove);
  g_socket_service_stop (admin_server->service);
  g_socket_listener_close (G_SOCKET_LISTENER (admin_server->service));
  g_signal_handlers_disconnect_by_data (admin_server->server, admin_server);
  admin_abandon_changes (admin_server);
  soup_server_disconnect (admin_server->server);
  g_object_unref (admin_server->server);
  g_object_unref (admin_server->service);
  g_hash_table_unref (admin_server->connections);
  g_ptr_array_unref (admin_server->changes);
  g_free ((char *)admin_server->options.listen);
  g_free ((char *)admin_server->options.self);
  g_free (admin_server);
}

/* Returns the port that ADMIN_SERVER listens on.  */
guint
admin_server_port (const struct admin_server *admin_server)
{
  return admin_server->port;
}
