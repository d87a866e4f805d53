/* Operators' connections: their number and their idle time are bounded.  */
#include "admin/adm_int.h"

#include "base/clock.h"

void
adm_connection_free (gpointer data)
{
  struct adm_connection *connection = data;
  g_object_unref (connection->remote);
  g_object_unref (connection->socket);
  g_free (connection);
}

static struct adm_connection *
find (struct adm *adm, SoupServerMessage *message)
{
  return g_hash_table_lookup (adm->connections,
                              soup_server_message_get_remote_address (message));
}

/* Serves CONNECTION, unless there are too many.  */
void
adm_accept (struct adm *adm, GSocketConnection *connection)
{
  g_autoptr (GSocketAddress) local
      = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote
      = g_socket_connection_get_remote_address (connection, NULL);
  if (local == NULL || remote == NULL
      || g_hash_table_size (adm->connections) >= ADM_CONNECTIONS_MAX)
    return;
  struct adm_connection *c = g_new0 (struct adm_connection, 1);
  c->remote = g_object_ref (remote);
  c->socket = g_object_ref (g_socket_connection_get_socket (connection));
  c->due = clk_now (adm->options.clk) + adm->options.idle_us;
  g_hash_table_insert (adm->connections, c->remote, c);
  soup_server_accept_iostream (adm->server, G_IO_STREAM (connection), local,
                               remote, NULL);
}

/* Notes that MESSAGE has come one step further.  */
void
adm_touch (struct adm *adm, SoupServerMessage *message)
{
  struct adm_connection *connection = find (adm, message);
  if (connection != NULL)
    connection->due = clk_now (adm->options.clk) + adm->options.idle_us;
}

/* Counts N bytes of a refused body, and ends the connection after too
   many.  */
void
adm_drop_bytes (struct adm *adm, SoupServerMessage *message, gsize n)
{
  struct adm_connection *connection = find (adm, message);
  if (connection == NULL)
    return;
  connection->dropped += n;
  if (connection->dropped > ADM_DROPPED_MAX)
    g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
}

/* Ends the connections on which nothing has happened for too long.  */
gboolean
adm_sweep (gpointer data)
{
  struct adm *adm = data;
  gint64 now = clk_now (adm->options.clk);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, adm->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct adm_connection *connection = value;
      gboolean closed = g_socket_is_closed (connection->socket);
      if (!closed && now < connection->due)
        continue;
      if (!closed)
        g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
      g_hash_table_iter_remove (&iter);
    }
  return G_SOURCE_CONTINUE;
}
