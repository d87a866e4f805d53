#include "entry/ent_int.h"

#include "base/log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define SWEEP_MS 100
#define BACKLOG 1024
#define MODELS_PATH "/v1/models"

/* A caller's connection. */
struct ent_conn
{
  GSocketAddress *remote; /* a reference; libsoup hands the same object out */
  GSocket *socket;        /* a reference */
  gint64 due;             /* a whole request must be there, microseconds */
  gboolean started;       /* the first bytes of a request have come */
  gboolean busy;          /* a request is being answered */
};

static void
free_conn (gpointer data)
{
  struct ent_conn *conn = data;
  g_object_unref (conn->remote);
  g_object_unref (conn->socket);
  g_free (conn);
}

static struct ent_conn *
find_conn (struct ent *ent, SoupServerMessage *message)
{
  return g_hash_table_lookup (ent->conns,
                              soup_server_message_get_remote_address (message));
}

/* Returns the socket of MESSAGE's connection, borrowed; libsoup does not know
   it, since the connection was accepted here. NULL if it is closed.  */
GSocket *
ent_socket (struct ent *ent, SoupServerMessage *message)
{
  struct ent_conn *conn = find_conn (ent, message);
  return conn ? conn->socket : NULL;
}

static void
list_models (SoupServerMessage *message, const struct cfg *cfg)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "object");
  json_builder_add_string_value (json, "list");
  json_builder_set_member_name (json, "data");
  json_builder_begin_array (json);
  for (guint i = 0; cfg != NULL && i < cfg->n_pools; i++)
    {
      if (cfg->pools[i].kind != CFG_ENGINE)
        continue;
      json_builder_begin_object (json);
      json_builder_set_member_name (json, "id");
      json_builder_add_string_value (json, cfg->pools[i].name.s);
      json_builder_set_member_name (json, "object");
      json_builder_add_string_value (json, "model");
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
refuse_early (struct ent *ent, SoupServerMessage *message, guint status,
              const char *code, const char *text)
{
  const struct ent_error error = {
    .status = status,
    .code = code,
    .text = text,
    .ran = "no",
    .retry_after_us = status == 429 ? CLK_S : 0,
    .step = "request.read",
    .peer = ent->options.self.s,
  };
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), "Connection",
      "close");
  ent_reply_error (message, "", &error);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct ent *ent = data;
  struct ent_conn *conn = find_conn (ent, message);
  (void)server;
  (void)query;
  if (conn != NULL)
    conn->busy = TRUE;
  if (soup_server_message_get_status (message) != 0)
    return;
  if (strcmp (path, MODELS_PATH) == 0)
    list_models (message, nod_config (ent->options.nod));
  else if (g_hash_table_size (ent->calls) >= ent->options.limits.requests)
    {
      ctr_add (ent->options.ctr, CTR_REFUSED, 1);
      refuse_early (ent, message, 429, "overload",
                    "too many requests in progress");
    }
  else
    ent_call_start (ent, message);
}

static void
count_header (const char *name, const char *value, gpointer data)
{
  *(gsize *)data += strlen (name) + strlen (value);
}

static void
on_body_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct ent *ent = data;
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  (void)chunk;
  if ((gsize)body->length <= ent->options.limits.body_bytes)
    return;
  ctr_add (ent->options.ctr, CTR_TOO_LARGE, 1);
  g_socket_shutdown (soup_server_message_get_socket (message), TRUE, TRUE,
                     NULL);
}

/* Looks at the head of a request before its body is read.  */
static void
on_head (SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
  struct ent *ent = data;
  const struct ent_limits *limits = &ent->options.limits;
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  gsize bytes = 0;
  (void)server;
  (void)path;
  (void)query;
  soup_message_headers_foreach (headers, count_header, &bytes);
  if (bytes > limits->header_bytes)
    {
      ctr_add (ent->options.ctr, CTR_TOO_LARGE, 1);
      refuse_early (ent, message, 431, "too_large", "headers are too large");
      return;
    }
  if (soup_message_headers_get_encoding (headers)
          == SOUP_ENCODING_CONTENT_LENGTH
      && (guint64)soup_message_headers_get_content_length (headers)
             > limits->body_bytes)
    {
      ctr_add (ent->options.ctr, CTR_TOO_LARGE, 1);
      refuse_early (ent, message, 413, "too_large", "the body is too large");
      return;
    }
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_body_chunk), ent);
}

static void
on_request_started (SoupServer *server, SoupServerMessage *message,
                    gpointer data)
{
  struct ent *ent = data;
  struct ent_conn *conn = find_conn (ent, message);
  (void)server;
  if (conn == NULL)
    return;
  conn->started = TRUE;
  conn->due = g_get_monotonic_time () + ent->options.limits.arrival_us;
}

static void
on_request_done (SoupServer *server, SoupServerMessage *message, gpointer data)
{
  struct ent *ent = data;
  struct ent_conn *conn = find_conn (ent, message);
  (void)server;
  if (conn == NULL)
    return;
  conn->busy = FALSE;
  conn->started = FALSE;
  conn->due = g_get_monotonic_time () + ent->options.limits.arrival_us;
}

static void
accept_conn (struct ent *ent, GSocketConnection *connection,
             GSocketAddress *local, GSocketAddress *remote)
{
  struct ent_conn *conn = g_new0 (struct ent_conn, 1);
  conn->remote = g_object_ref (remote);
  conn->socket = g_object_ref (g_socket_connection_get_socket (connection));
  conn->due = g_get_monotonic_time () + ent->options.limits.arrival_us;
  g_socket_set_option (conn->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_hash_table_insert (ent->conns, conn->remote, conn);
  soup_server_accept_iostream (ent->server, G_IO_STREAM (connection), local,
                               remote, NULL);
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *connection,
               GObject *source, gpointer data)
{
  struct ent *ent = data;
  GSocketAddress *local
      = g_socket_connection_get_local_address (connection, NULL);
  GSocketAddress *remote
      = g_socket_connection_get_remote_address (connection, NULL);
  (void)service;
  (void)source;
  if (local != NULL && remote != NULL)
    accept_conn (ent, connection, local, remote);
  g_clear_object (&local);
  g_clear_object (&remote);
  return TRUE;
}

static void
sweep_conns (struct ent *ent, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ent->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ent_conn *conn = value;
      if (g_socket_is_closed (conn->socket))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (conn->busy || now < conn->due)
        continue;
      if (conn->started)
        {
          ctr_add (ent->options.ctr, CTR_CALLER_SLOW, 1);
          log_event (LOG_INFO, "caller.slow",
                     "no whole request within the time limit");
        }
      g_socket_shutdown (conn->socket, TRUE, TRUE, NULL);
      g_hash_table_iter_remove (&iter);
    }
}

static gboolean
on_sweep (gpointer data)
{
  struct ent *ent = data;
  gint64 now = g_get_monotonic_time ();
  sweep_conns (ent, now);
  GList *calls = g_hash_table_get_values (ent->calls);
  for (GList *l = calls; l != NULL; l = l->next)
    ent_call_sweep (l->data, now);
  g_list_free (calls);
  return G_SOURCE_CONTINUE;
}

static int
listen_on (struct ent *ent, struct err *err)
{
  GError *error = NULL;
  GSocketConnectable *where = g_network_address_parse (ent->listen, 0, &error);
  GInetAddress *address = NULL;
  if (where != NULL)
    address = g_inet_address_new_from_string (
        g_network_address_get_hostname (G_NETWORK_ADDRESS (where)));
  if (address == NULL)
    {
      g_clear_error (&error);
      g_clear_object (&where);
      return err_set (err, ERR_INVALID, "entry.listen", ent->listen,
                      "IP:PORT expected");
    }
  GSocketAddress *socket_address = g_inet_socket_address_new (
      address, g_network_address_get_port (G_NETWORK_ADDRESS (where)));
  GSocketAddress *effective = NULL;
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (ent->service), BACKLOG);
  gboolean ok = g_socket_listener_add_address (
      G_SOCKET_LISTENER (ent->service), socket_address, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, NULL, &effective, &error);
  if (ok)
    ent->port
        = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (effective));
  else
    err_set (err, ERR_IO, "entry.listen", ent->listen, "%s", error->message);
  g_clear_error (&error);
  g_clear_object (&effective);
  g_object_unref (socket_address);
  g_object_unref (address);
  g_object_unref (where);
  return ok ? 0 : ERR_IO;
}

/* Listens for callers. Returns 0 or < 0 with ERR set.  */
int
ent_new (const struct ent_options *options, struct ent **result,
         struct err *err)
{
  struct ent *ent = g_new0 (struct ent, 1);
  ent->options = *options;
  ent->listen = g_strdup (options->listen);
  ent->started = g_get_real_time ();
  ent->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                      ent_call_free);
  ent->conns = g_hash_table_new_full (NULL, NULL, NULL, free_conn);
  ent->service = g_socket_service_new ();
  ent->server = soup_server_new ("server-header", "jacinthward", NULL);
  soup_server_add_early_handler (ent->server, NULL, on_head, ent, NULL);
  soup_server_add_handler (ent->server, NULL, on_request, ent, NULL);
  g_signal_connect (ent->server, "request-started",
                    G_CALLBACK (on_request_started), ent);
  g_signal_connect (ent->server, "request-finished",
                    G_CALLBACK (on_request_done), ent);
  g_signal_connect (ent->server, "request-aborted",
                    G_CALLBACK (on_request_done), ent);
  g_signal_connect (ent->service, "incoming", G_CALLBACK (on_connection), ent);
  int code = listen_on (ent, err);
  if (code < 0)
    {
      ent_free (ent);
      return code;
    }
  ent->sweep = g_timeout_add (SWEEP_MS, on_sweep, ent);
  *result = ent;
  return 0;
}

void
ent_free (struct ent *ent)
{
  if (ent == NULL)
    return;
  g_clear_handle_id (&ent->sweep, g_source_remove);
  ent_stop_listening (ent);
  g_signal_handlers_disconnect_by_data (ent->server, ent);
  g_hash_table_unref (ent->calls);
  soup_server_disconnect (ent->server);
  g_object_unref (ent->server);
  g_object_unref (ent->service);
  g_hash_table_unref (ent->conns);
  g_free (ent->listen);
  g_free (ent);
}

guint
ent_port (const struct ent *ent)
{
  return ent->port;
}

void
ent_stop_listening (struct ent *ent)
{
  g_socket_service_stop (ent->service);
  g_socket_listener_close (G_SOCKET_LISTENER (ent->service));
}

guint
ent_unfinished (const struct ent *ent)
{
  return g_hash_table_size (ent->calls);
}

static struct ent_call *
find_call (struct ent *ent, guint64 id)
{
  return g_hash_table_lookup (ent->calls, &id);
}

/* Carries out one of the node's actions on callers' requests; others are
   ignored. A request whose caller has gone is no longer there.  */
void
ent_act (struct ent *ent, const struct nod_action *action)
{
  struct ent_call *call;
  switch (action->kind)
    {
    case NOD_DO_OPEN:
      if ((call = find_call (ent, action->open.request)) != NULL)
        ent_call_open (call, action);
      break;
    case NOD_DO_CANCEL:
      if ((call = find_call (ent, action->cancel.request)) != NULL)
        ent_call_cancel (call, action->cancel.attempt);
      break;
    case NOD_DO_FAIL:
      if ((call = find_call (ent, action->fail.request)) != NULL)
        ent_call_fail (call, action);
      break;
    case NOD_DO_REPLAY:
      if ((call = find_call (ent, action->replay.request)) != NULL)
        ent_call_replay (call, action);
      break;
    case NOD_DO_FINISH:
      if ((call = find_call (ent, action->finish)) != NULL)
        ent_call_finish (call);
      break;
    default:
      break;
    }
}
