/* Client connections. Their number, their idle time and the bytes of rejected
   bodies on each of them are limited.  */
#include "admin/admin_internal.h"

#include "base/clock.h"

void
admin_connection_free (gpointer data)
{
  struct admin_connection *connection = data;
  g_object_unref (connection->remote);
  g_object_unref (connection->socket);
  g_free (connection);
}

/* Returns the connection of MESSAGE; NULL if it was closed.  */
static struct admin_connection *
find_connection (struct admin_server *admin_server, SoupServerMessage *message)
{
  return g_hash_table_lookup (admin_server->connections,
                              soup_server_message_get_remote_address (message));
}

/* Hands CONNECTION over to the HTTP server, or drops it if
   ADMIN_CONNECTIONS_MAX are open.  */
void
admin_accept (struct admin_server *admin_server, GSocketConnection *connection)
{
  g_autoptr (GSocketAddress) local
      = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote
      = g_socket_connection_get_remote_address (connection, NULL);
  if (local == NULL || remote == NULL
      || g_hash_table_size (admin_server->connections) >= ADMIN_CONNECTIONS_MAX)
    return;
  struct admin_connection *c = g_new0 (struct admin_connection, 1);
  c->remote = g_object_ref (remote);
  c->socket = g_object_ref (g_socket_connection_get_socket (connection));
  c->idle_deadline
      = clk_now (admin_server->options.clk) + admin_server->options.idle_us;
  g_hash_table_insert (admin_server->connections, c->remote, c);
  soup_server_accept_iostream (admin_server->server, G_IO_STREAM (connection),
                               local, remote, NULL);
}

/* Restarts the idle time of the connection of MESSAGE. Called at the start and
   the end of a request, when its headers and when its body are complete; single
   pieces of a body do not count.  */
void
admin_note_progress (struct admin_server *admin_server,
                     SoupServerMessage *message)
{
  struct admin_connection *connection = find_connection (admin_server, message);
  if (connection != NULL)
    connection->idle_deadline
        = clk_now (admin_server->options.clk) + admin_server->options.idle_us;
}

/* Counts N discarded bytes of a rejected body. Closes the connection above
   ADMIN_DISCARD_MAX.  */
void
admin_count_discarded (struct admin_server *admin_server,
                       SoupServerMessage *message, gsize n)
{
  struct admin_connection *connection = find_connection (admin_server, message);
  if (connection == NULL)
    return;
  connection->discarded += n;
  if (connection->discarded > ADMIN_DISCARD_MAX)
    g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
}

/* Timer callback: closes connections without progress for the idle time, and
   forgets those that are closed.  */
gboolean
admin_close_idle (gpointer data)
{
  struct admin_server *admin_server = data;
  gint64 now = clk_now (admin_server->options.clk);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, admin_server->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct admin_connection *connection = value;
      gboolean closed = g_socket_is_closed (connection->socket);
      if (!closed && now < connection->idle_deadline)
        continue;
      if (!closed)
        g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
      g_hash_table_iter_remove (&iter);
    }
  return G_SOURCE_CONTINUE;
}
