#include "admin/adm.h"

#include <string.h>

#include "admin/adm_int.h"
#include "config/ini.h"

#define BEARER "Bearer "

enum access
{
  ACCESS_OPEN, /* no operator is needed */
  ACCESS_READ,
  ACCESS_WRITE
};

struct route
{
  const char *method;
  const char *path; /* "*" stands for one segment, the request's name */
  enum access access;
  gsize body_max; /* bytes */
  void (*handle) (const struct adm_request *request);
};

static void
get_health (const struct adm_request *request)
{
  soup_server_message_set_status (request->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (request->message, "text/plain",
                                    SOUP_MEMORY_STATIC, "ok\n", 3);
}

static void
get_ready (const struct adm_request *request)
{
  const struct adm_options *o = &request->adm->options;
  gboolean ready = o->ready (o->ctx);
  const char *text = ready ? "ready\n" : "not ready\n";
  soup_server_message_set_status (
      request->message,
      ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
  soup_server_message_set_response (request->message, "text/plain",
                                    SOUP_MEMORY_STATIC, text, strlen (text));
}

static void
get_metrics (const struct adm_request *request)
{
  GString *text = g_string_new (NULL);
  ctr_prometheus (request->adm->options.ctr, text);
  gsize n = text->len;
  soup_server_message_set_status (request->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (
      request->message, "text/plain; version=0.0.4", SOUP_MEMORY_TAKE,
      g_string_free (text, FALSE), n);
}

static void
get_stats (const struct adm_request *request)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  ctr_dump (request->adm->options.ctr, json);
  adm_reply_json (request->message, SOUP_STATUS_OK, json);
}

static void
get_dump (const struct adm_request *request)
{
  const struct adm_options *o = &request->adm->options;
  g_autoptr (JsonBuilder) json = json_builder_new ();
  o->dump (o->ctx, json);
  adm_reply_json (request->message, SOUP_STATUS_OK, json);
}

static void
get_config (const struct adm_request *request)
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

static const struct route routes[] = {
  { "GET", "/healthz", ACCESS_OPEN, 0, get_health },
  { "GET", "/readyz", ACCESS_OPEN, 0, get_ready },
  { "GET", "/metrics", ACCESS_OPEN, 0, get_metrics },
  { "GET", "/stats", ACCESS_READ, 0, get_stats },
  { "GET", "/dump", ACCESS_READ, 0, get_dump },
  { "GET", "/config", ACCESS_READ, 0, get_config },
  { "PUT", "/config", ACCESS_WRITE, CLUSTER_BODY_MAX, adm_put_config },
  { "GET", "/config/status", ACCESS_READ, 0, adm_get_status },
  { "PUT", "/preset", ACCESS_WRITE, ADM_SMALL_BODY_MAX, adm_put_preset },
  { "GET", "/presets", ACCESS_READ, 0, adm_get_presets },
  { "GET", "/classes", ACCESS_READ, 0, adm_get_classes },
  { "GET", "/teams", ACCESS_READ, 0, adm_get_teams },
  { "GET", "/backends", ACCESS_READ, 0, adm_get_backends },
  { "GET", "/instances", ACCESS_READ, 0, adm_get_instances },
  { "PUT", "/backends/*/drain", ACCESS_WRITE, ADM_SMALL_BODY_MAX,
    adm_put_drain },
  { "PUT", "/backends/*/undrain", ACCESS_WRITE, ADM_SMALL_BODY_MAX,
    adm_put_undrain },
};

/* Matches PATH with PATTERN. Sets *NAME to what stands for "*", g_free.  */
static gboolean
path_matches (const char *pattern, const char *path, char **name)
{
  const char *star = strchr (pattern, '*');
  if (star == NULL)
    return strcmp (pattern, path) == 0;
  gsize head = (gsize)(star - pattern);
  if (strncmp (pattern, path, head) != 0)
    return FALSE;
  gsize n = strcspn (path + head, "/");
  if (n == 0 || strcmp (star + 1, path + head + n) != 0)
    return FALSE;
  *name = g_strndup (path + head, n);
  return TRUE;
}

/* Finds the route of METHOD and PATH. Returns NULL with *STATUS set if there
   is none.  */
static const struct route *
find_route (const char *method, const char *path, char **name, guint *status)
{
  *status = SOUP_STATUS_NOT_FOUND;
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      g_autofree char *found = NULL;
      if (!path_matches (routes[i].path, path, &found))
        continue;
      if (strcmp (routes[i].method, method) == 0)
        {
          *name = g_steal_pointer (&found);
          return &routes[i];
        }
      *status = SOUP_STATUS_METHOD_NOT_ALLOWED;
    }
  return NULL;
}

/* Returns the index of the operator whose token MESSAGE carries; < 0 if there
   is none.  */
static int
find_operator (const struct cluster_config *cfg, SoupServerMessage *message)
{
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "Authorization");
  if (value == NULL || !g_str_has_prefix (value, BEARER))
    return ERR_AUTH;
  struct str token = str_of (value + strlen (BEARER));
  if (token.n > ADM_TOKEN_MAX)
    return ERR_AUTH;
  return cluster_find_operator_by_token (cfg, token);
}

static void
refuse (struct adm *adm, SoupServerMessage *message, guint status,
        const char *code, const char *text)
{
  struct err err = { 0 };
  err_set (&err, ERR_INVALID, "admin.request", adm->options.self, "%s", text);
  adm_reply_error (message, status, code, &err);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), "Connection",
      "close");
}

/* Checks that the operator of REQUEST may use ROUTE. Returns FALSE with the
   answer set if not.  */
static gboolean
authorize (struct adm_request *request, const struct route *route)
{
  struct adm *adm = request->adm;
  if (route->access == ACCESS_OPEN)
    return TRUE;
  if (request->cfg == NULL)
    {
      refuse (adm, request->message, SOUP_STATUS_SERVICE_UNAVAILABLE,
              "no_config", "no configuration is in force yet");
      return FALSE;
    }
  int index = find_operator (request->cfg, request->message);
  if (index < 0)
    {
      ctr_add (adm->options.ctr, CTR_ADMIN_DENIED, 1);
      soup_message_headers_replace (
          soup_server_message_get_response_headers (request->message),
          "WWW-Authenticate", "Bearer");
      refuse (adm, request->message, SOUP_STATUS_UNAUTHORIZED, "bad_token",
              "no operator has this token");
      return FALSE;
    }
  const struct cluster_operator *op = &request->cfg->operators[index];
  request->operator_name = op->name.s;
  if (route->access == ACCESS_WRITE && !op->may_write)
    {
      ctr_add (adm->options.ctr, CTR_ADMIN_DENIED, 1);
      refuse (adm, request->message, SOUP_STATUS_FORBIDDEN, "read_only",
              "the operator may only read");
      return FALSE;
    }
  return TRUE;
}

/* Checks the length of the body before it is read. Returns FALSE with the
   answer set if it is not allowed.  */
static gboolean
check_length (struct adm *adm, SoupServerMessage *message, gsize max)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  SoupEncoding encoding = soup_message_headers_get_encoding (headers);
  if (encoding != SOUP_ENCODING_CONTENT_LENGTH
      && encoding != SOUP_ENCODING_NONE)
    {
      refuse (adm, message, SOUP_STATUS_LENGTH_REQUIRED, "length_missing",
              "a body needs the header Content-Length");
      return FALSE;
    }
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH
      && (guint64)soup_message_headers_get_content_length (headers) > max)
    {
      ctr_add (adm->options.ctr, CTR_TOO_LARGE, 1);
      refuse (adm, message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "too_large",
              "the body is too large");
      return FALSE;
    }
  return TRUE;
}

/* Finds the route of MESSAGE and fills REQUEST, whose name the caller frees.
   Returns NULL with the answer set if the request may not be made.  */
static const struct route *
admit (struct adm *adm, SoupServerMessage *message, const char *path,
       struct adm_request *request)
{
  guint status;
  *request = (struct adm_request){ .adm = adm, .message = message };
  request->cfg = adm->options.config (adm->options.ctx);
  const struct route *route = find_route (
      soup_server_message_get_method (message), path, &request->name, &status);
  if (route == NULL)
    {
      refuse (adm, message, status,
              status == SOUP_STATUS_NOT_FOUND ? "unknown_path" : "wrong_method",
              "no such request");
      return NULL;
    }
  if (!authorize (request, route)
      || !check_length (adm, message, route->body_max))
    return NULL;
  return route;
}

static void
on_refused_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  adm_drop_bytes (data, message, g_bytes_get_size (chunk));
}

/* Looks at the head of a request before its body is read. libsoup answers a
   refused request only behind its body, which is not kept.  */
static void
on_head (SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
  struct adm *adm = data;
  struct adm_request request;
  (void)server;
  (void)query;
  ctr_add (adm->options.ctr, CTR_ADMIN_REQUESTS, 1);
  adm_touch (adm, message);
  if (admit (adm, message, path, &request) == NULL)
    {
      soup_message_body_set_accumulate (
          soup_server_message_get_request_body (message), FALSE);
      g_signal_connect (message, "got-chunk", G_CALLBACK (on_refused_chunk),
                        adm);
    }
  g_free (request.name);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct adm_request request;
  (void)server;
  (void)query;
  adm_touch (data, message);
  if (soup_server_message_get_status (message) != 0)
    return;
  const struct route *route = admit (data, message, path, &request);
  if (route != NULL)
    route->handle (&request);
  g_free (request.name);
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *connection,
               GObject *source, gpointer data)
{
  (void)service;
  (void)source;
  adm_accept (data, connection);
  return TRUE;
}

static void
on_step (SoupServer *server, SoupServerMessage *message, gpointer data)
{
  (void)server;
  adm_touch (data, message);
}

/* Makes the socket address of TEXT, "IP:PORT". Returns NULL if it is none.  */
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
listen_on (struct adm *adm, struct err *err)
{
  const char *listen = adm->options.listen;
  g_autoptr (GSocketAddress) address = parse_address (listen);
  g_autoptr (GSocketAddress) effective = NULL;
  g_autoptr (GError) error = NULL;
  if (address == NULL)
    return err_set (err, ERR_INVALID, "admin.listen", listen,
                    "IP:PORT expected");
  if (!g_socket_listener_add_address (
          G_SOCKET_LISTENER (adm->service), address, G_SOCKET_TYPE_STREAM,
          G_SOCKET_PROTOCOL_TCP, NULL, &effective, &error))
    return err_set (err, ERR_IO, "admin.listen", listen, "%s", error->message);
  adm->port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (effective));
  return 0;
}

/* Listens for operators. Returns 0 with *RESULT set, which the caller frees by
   adm_free, or < 0 with ERR set.  */
int
adm_new (const struct adm_options *options, struct adm **result,
         struct err *err)
{
  struct adm *adm = g_new0 (struct adm, 1);
  adm->options = *options;
  adm->options.listen = g_strdup (options->listen);
  adm->options.self = g_strdup (options->self);
  if (adm->options.idle_us == 0)
    adm->options.idle_us = ADM_IDLE_US;
  adm->changes = g_ptr_array_new ();
  adm->connections
      = g_hash_table_new_full (NULL, NULL, NULL, adm_connection_free);
  adm->service = g_socket_service_new ();
  adm->server = soup_server_new ("server-header", "jacinthward", NULL);
  soup_server_add_early_handler (adm->server, NULL, on_head, adm, NULL);
  soup_server_add_handler (adm->server, NULL, on_request, adm, NULL);
  g_signal_connect (adm->server, "request-started", G_CALLBACK (on_step), adm);
  g_signal_connect (adm->server, "request-finished", G_CALLBACK (on_step), adm);
  g_signal_connect (adm->service, "incoming", G_CALLBACK (on_connection), adm);
  int code = listen_on (adm, err);
  if (code < 0)
    {
      adm_free (adm);
      return code;
    }
  adm->sweep = g_timeout_add (ADM_SWEEP_MS, adm_sweep, adm);
  *result = adm;
  return 0;
}

/* Stops listening, closes all connections and frees ADM; NULL is allowed.
   Updates in progress go on without an answer.  */
void
adm_free (struct adm *adm)
{
  if (adm == NULL)
    return;
  g_clear_handle_id (&adm->sweep, g_source_remove);
  g_socket_service_stop (adm->service);
  g_socket_listener_close (G_SOCKET_LISTENER (adm->service));
  g_signal_handlers_disconnect_by_data (adm->server, adm);
  adm_forget_changes (adm);
  soup_server_disconnect (adm->server);
  g_object_unref (adm->server);
  g_object_unref (adm->service);
  g_hash_table_unref (adm->connections);
  g_ptr_array_unref (adm->changes);
  g_free ((char *)adm->options.listen);
  g_free ((char *)adm->options.self);
  g_free (adm);
}

/* Returns the port that ADM listens on.  */
guint
adm_port (const struct adm *adm)
{
  return adm->port;
}
