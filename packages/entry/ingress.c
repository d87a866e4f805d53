#include "entry/ingress_internal.h"
#include "base/json_add.h"

#include "base/log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define CHECK_INTERVAL_MS 100
/* A check that runs this much too late shows that the process was frozen. A
   shorter delay comes from load, for which no time-out is extended. */
#define FREEZE_MIN_US (300 * CLK_MS)
#define LISTEN_BACKLOG 1024
#define REJECTED_BODY_MAX (2 * 1024 * 1024) /* bytes read and discarded */
#define MODELS_PATH "/v1/models"
/* A connection without a byte for this long has hardly a request on its way. */
#define NEW_CONNECTION_US (2 * CLK_S)

/* A client's connection.  */
struct ingress_connection
{
  GSocket *socket;  /* a reference */
  gint64 deadline;  /* for a complete request, monotonic microseconds */
  gboolean served;  /* had a complete request before */
  gboolean begun;   /* the head of a request has been read */
  gboolean busy;    /* a response is due */
  gsize body_bytes; /* bytes of the request's body */
};

static void
free_connection (gpointer data)
{
  struct ingress_connection *connection = data;
  g_object_unref (connection->socket);
  g_free (connection);
}

static struct ingress_connection *
find_connection (struct ingress *ingress, SoupServerMessage *message)
{
  return g_hash_table_lookup (ingress->connections,
                              soup_server_message_get_socket (message));
}

static void
send_model_list (SoupServerMessage *message, const struct cluster_config *cfg)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_str (json, "object", "list");
  json_builder_set_member_name (json, "data");
  json_builder_begin_array (json);
  for (guint i = 0; cfg != NULL && i < cfg->n_pools; i++)
    {
      if (cfg->pools[i].kind != CLUSTER_ENGINE)
        continue;
      json_builder_begin_object (json);
      json_add_str (json, "id", cfg->pools[i].name.s);
      json_add_str (json, "object", "model");
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *body = json_to_string (root, FALSE);
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_TAKE, body, strlen (body));
  json_node_unref (root);
  g_object_unref (json);
}

static void
reject_early (struct ingress *ingress, SoupServerMessage *message, guint status,
              const char *code, const char *text)
{
  const struct ingress_error error = {
    .status = status,
    .code = code,
    .text = text,
    .ran = "no",
    .retry_after_us = status == 429 ? CLK_S : 0,
    .step = "request.read",
    .peer = ingress->options.self.s,
  };
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), "Connection",
      "close");
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  ingress_set_error (message, "", &error);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct ingress *ingress = data;
  struct ingress_connection *connection = find_connection (ingress, message);
  (void)server;
  (void)query;
  if (connection != NULL)
    connection->busy = TRUE;
  ingress_close_if_stopped (ingress, message);
  if (soup_server_message_get_status (message) != 0)
    return;
  if (strcmp (path, MODELS_PATH) == 0)
    send_model_list (message, core_config (ingress->options.core));
  else if (g_hash_table_size (ingress->requests)
           >= ingress->options.limits.requests)
    {
      counter_add (ingress->options.counter_set, COUNTER_REJECTED, 1);
      reject_early (ingress, message, 429, "overload",
                    "too many requests in progress");
    }
  else
    ingress_request_start (ingress, message);
}

static void
add_header_bytes (const char *name, const char *value, gpointer data)
{
  *(gsize *)data += strlen (name) + strlen (value);
}

/* Limits a body without a Content-Length, and one that the client keeps sending
   although the request was rejected: libsoup writes the response only after it
   has read the body.  */
static void
on_body_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct ingress *ingress = data;
  struct ingress_connection *connection = find_connection (ingress, message);
  gboolean rejected = soup_server_message_get_status (message) != 0;
  if (connection == NULL)
    return;
  connection->body_bytes += g_bytes_get_size (chunk);
  if (connection->body_bytes
      <= (rejected ? REJECTED_BODY_MAX : ingress->options.limits.body_bytes))
    return;
  if (!rejected)
    counter_add (ingress->options.counter_set, COUNTER_TOO_LARGE, 1);
  g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
}

/* Checks the headers of a request before its body is read.  */
static void
on_request_head (SoupServer *server, SoupServerMessage *message,
                 const char *path, GHashTable *query, gpointer data)
{
  struct ingress *ingress = data;
  const struct ingress_limits *limits = &ingress->options.limits;
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  struct ingress_connection *connection = find_connection (ingress, message);
  gsize bytes = 0;
  if (connection != NULL)
    connection->begun = TRUE;
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_body_chunk), ingress);
  (void)server;
  (void)path;
  (void)query;
  soup_message_headers_foreach (headers, add_header_bytes, &bytes);
  if (bytes > limits->header_bytes)
    {
      counter_add (ingress->options.counter_set, COUNTER_TOO_LARGE, 1);
      reject_early (ingress, message, 431, "too_large",
                    "headers are too large");
      return;
    }
  if (soup_message_headers_get_encoding (headers)
          == SOUP_ENCODING_CONTENT_LENGTH
      && (guint64)soup_message_headers_get_content_length (headers)
             > limits->body_bytes)
    {
      counter_add (ingress->options.counter_set, COUNTER_TOO_LARGE, 1);
      reject_early (ingress, message, 413, "too_large",
                    "the body is too large");
    }
}

static struct ingress_connection *
add_connection (struct ingress *ingress, GSocket *socket)
{
  struct ingress_connection *connection = g_new0 (struct ingress_connection, 1);
  connection->socket = g_object_ref (socket);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_hash_table_insert (ingress->connections, socket, connection);
  return connection;
}

/* Signal handler: libsoup begins to wait for a request, the first or the next
   of its connection.  */
static void
on_request_started (SoupServer *server, SoupServerMessage *message,
                    gpointer data)
{
  struct ingress *ingress = data;
  GSocket *socket = soup_server_message_get_socket (message);
  (void)server;
  if (socket == NULL)
    return;
  struct ingress_connection *connection
      = g_hash_table_lookup (ingress->connections, socket);
  if (connection == NULL)
    connection = add_connection (ingress, socket);
  connection->served |= connection->busy;
  connection->begun = FALSE;
  connection->busy = FALSE;
  connection->body_bytes = 0;
  connection->deadline
      = g_get_monotonic_time () + ingress->options.limits.arrival_us;
}

/* Closes the connections without a complete request at their deadline. Only one
   that never had a request is counted and logged; an idle one is normal.  */
static void
close_idle_connections (struct ingress *ingress, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ingress->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ingress_connection *connection = value;
      if (g_socket_is_closed (connection->socket))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (connection->busy || now < connection->deadline)
        continue;
      if (!connection->served)
        {
          counter_add (ingress->options.counter_set, COUNTER_CLIENT_SLOW, 1);
          log_event (LOG_INFO, "caller.slow",
                     "no complete request within the time limit");
        }
      g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
      g_hash_table_iter_remove (&iter);
    }
}

/* Extends all deadlines by US microseconds in which this process did not run,
   so that its clients are not blamed for the time in which it could not read
   from them or write to them.  */
static void
extend_deadlines (struct ingress *ingress, gint64 us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ingress->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ingress_connection *)value)->deadline += us;
  g_hash_table_iter_init (&iter, ingress->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ingress_request_extend (value, us);
}

static gboolean
on_timer (gpointer data)
{
  struct ingress *ingress = data;
  gint64 now = g_get_monotonic_time ();
  gint64 frozen_us = now - ingress->last_check - CHECK_INTERVAL_MS * CLK_MS;
  if (frozen_us > FREEZE_MIN_US)
    extend_deadlines (ingress, frozen_us);
  ingress->last_check = now;
  close_idle_connections (ingress, now);
  GList *requests = g_hash_table_get_values (ingress->requests);
  for (GList *l = requests; l != NULL; l = l->next)
    ingress_request_check_stall (l->data, now);
  g_list_free (requests);
  return G_SOURCE_CONTINUE;
}

/* Returns a listening socket at ADDRESS (IP:PORT), or NULL with ERROR set.  */
static GSocket *
make_listener (const char *address, GError **error)
{
  GSocketConnectable *where = g_network_address_parse (address, 0, error);
  if (where == NULL)
    return NULL;
  GNetworkAddress *parsed = G_NETWORK_ADDRESS (where);
  GSocketAddress *at = g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (parsed),
      g_network_address_get_port (parsed));
  GSocket *socket = NULL;
  if (at == NULL)
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
                 "IP:PORT expected");
  else
    socket = g_socket_new (g_socket_address_get_family (at),
                           G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (socket != NULL)
    g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (socket != NULL
      && (!g_socket_bind (socket, at, TRUE, error)
          || !g_socket_listen (socket, error)))
    g_clear_object (&socket);
  g_clear_object (&at);
  g_object_unref (where);
  return socket;
}

/* Hands the listener to libsoup, which keeps connections alive only while it
   has a listener.  */
static int
listen_on (struct ingress *ingress, struct err *err)
{
  GError *error = NULL;
  ingress->listener = make_listener (ingress->listen, &error);
  if (ingress->listener != NULL
      && soup_server_listen_socket (ingress->server, ingress->listener, 0,
                                    &error))
    {
      GSocketAddress *at = g_socket_get_local_address (ingress->listener, NULL);
      ingress->port
          = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (at));
      g_object_unref (at);
      return 0;
    }
  err_set (err, ERR_IO, "entry.listen", ingress->listen, "%s", error->message);
  g_clear_error (&error);
  return ERR_IO;
}

/* Listens for clients. Returns 0, or < 0 with ERR set; RESULT is freed by
   ingress_free.  */
int
ingress_new (const struct ingress_options *options, struct ingress **result,
             struct err *err)
{
  struct ingress *ingress = g_new0 (struct ingress, 1);
  ingress->options = *options;
  ingress->listen = g_strdup (options->listen);
  ingress->start_time = g_get_real_time ();
  ingress->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                             ingress_request_free);
  ingress->connections
      = g_hash_table_new_full (NULL, NULL, NULL, free_connection);
  ingress->server = soup_server_new ("server-header", "jacinthward", NULL);
  soup_server_add_early_handler (ingress->server, NULL, on_request_head,
                                 ingress, NULL);
  soup_server_add_handler (ingress->server, NULL, on_request, ingress, NULL);
  g_signal_connect (ingress->server, "request-started",
                    G_CALLBACK (on_request_started), ingress);
  int code = listen_on (ingress, err);
  if (code < 0)
    {
      ingress_free (ingress);
      return code;
    }
  ingress->last_check = g_get_monotonic_time ();
  ingress->timer = g_timeout_add (CHECK_INTERVAL_MS, on_timer, ingress);
  *result = ingress;
  return 0;
}

/* Closes all connections, also those with unfinished responses.  */
void
ingress_free (struct ingress *ingress)
{
  if (ingress == NULL)
    return;
  g_clear_handle_id (&ingress->timer, g_source_remove);
  if (ingress->listener != NULL)
    ingress_close_listener (ingress);
  g_signal_handlers_disconnect_by_data (ingress->server, ingress);
  g_hash_table_unref (ingress->requests);
  soup_server_disconnect (ingress->server);
  g_object_unref (ingress->server);
  g_clear_object (&ingress->listener);
  g_hash_table_unref (ingress->connections);
  g_free (ingress->listen);
  g_free (ingress);
}

guint
ingress_port (const struct ingress *ingress)
{
  return ingress->port;
}

/* Closes the listener; connections that are open go on, each until its next
   response. Returns FALSE, and does nothing, if the kernel has queued
   connections: closing the listener would reset them, so they have to be
   accepted in further iterations of the main loop.  */
gboolean
ingress_stop_listening (struct ingress *ingress)
{
  if (g_socket_is_closed (ingress->listener))
    return TRUE;
  if (g_socket_condition_check (ingress->listener, G_IO_IN) & G_IO_IN)
    return FALSE;
  ingress_close_listener (ingress);
  return TRUE;
}

/* Closes the listener. Connections that the kernel has queued are reset.  */
void
ingress_close_listener (struct ingress *ingress)
{
  ingress->stopped = TRUE;
  g_socket_close (ingress->listener, NULL);
}

/* Whether a request may be on its way on CONNECTION: its head has been read,
   bytes have arrived, or the connection is new.  */
static gboolean
may_have_request (const struct ingress *ingress,
                  const struct ingress_connection *connection)
{
  if (connection->busy || g_socket_is_closed (connection->socket))
    return FALSE;
  gint64 opened = connection->deadline - ingress->options.limits.arrival_us;
  return connection->begun
         || (!connection->served
             && g_get_monotonic_time () - opened < NEW_CONNECTION_US)
         || g_socket_get_available_bytes (connection->socket) > 0;
}

/* Returns the number of requests whose response is not yet written completely,
   and of connections on which a request may be on its way.  */
guint
ingress_unfinished (const struct ingress *ingress)
{
  guint n = g_hash_table_size (ingress->requests);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ingress->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += may_have_request (ingress, value);
  return n;
}

/* Has libsoup close the connection of MESSAGE after its response once the
   listener is closed. The process ends when no request is left, and a client
   that sent its next request then would lose it.  */
void
ingress_close_if_stopped (const struct ingress *ingress,
                          SoupServerMessage *message)
{
  if (ingress->stopped)
    soup_message_headers_replace (
        soup_server_message_get_response_headers (message), "Connection",
        "close");
}

static struct ingress_request *
find_request (struct ingress *ingress, guint64 id)
{
  return g_hash_table_lookup (ingress->requests, &id);
}

/* Carries out OPEN, CANCEL, FAIL, REPLAY and FINISH; other actions are ignored,
   and so are those for a request whose client has disconnected.  */
void
ingress_execute (struct ingress *ingress, const struct core_action *action)
{
  struct ingress_request *request;
  switch (action->kind)
    {
    case CORE_DO_OPEN:
      if ((request = find_request (ingress, action->open.request)) != NULL)
        ingress_request_open (request, action);
      break;
    case CORE_DO_CANCEL:
      if ((request = find_request (ingress, action->cancel.request)) != NULL)
        ingress_request_cancel (request, action->cancel.attempt);
      break;
    case CORE_DO_FAIL:
      if ((request = find_request (ingress, action->fail.request)) != NULL)
        ingress_request_fail (request, action);
      break;
    case CORE_DO_REPLAY:
      if ((request = find_request (ingress, action->replay.request)) != NULL)
        ingress_request_replay (request, action);
      break;
    case CORE_DO_FINISH:
      if ((request = find_request (ingress, action->finish)) != NULL)
        ingress_request_finish (request);
      break;
    default:
      break;
    }
}
