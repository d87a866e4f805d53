#include "soak/fault_proxy.h"

#include "net/tcp_conn.h"
#include "net/tcp_listener.h"

#define FORWARD_DELAY_MS 80

/* One of the two TCP connections that make up a forwarded connection.  */
struct side
{
  struct connection *connection;
  struct tcp_conn *tcp_conn; /* owned; NULL once it has ended */
  GByteArray *buffered;      /* received here, not yet sent on the other side */
  gboolean eof; /* the other side is closed after BUFFERED is sent */
  guint timer;  /* GLib source of a delayed flush; 0: none */
  struct side *other;
};

/* A forwarded connection.  */
struct connection
{
  struct fault_proxy *proxy;
  struct side client;
  struct side server;
};

struct fault_proxy
{
  char *target;
  struct tcp_listener *listener;
  GPtrArray *connections; /* of struct connection, owned */
  enum fault_proxy_mode mode;
};

static const char *const mode_names[] = {
#define FAULT_PROXY_NAME(id, name) name,
  FAULT_PROXY_MODES (FAULT_PROXY_NAME)
#undef FAULT_PROXY_NAME
};

const char *
fault_proxy_mode_name (enum fault_proxy_mode mode)
{
  return mode_names[mode];
}

static void
side_clear (struct side *side)
{
  g_clear_handle_id (&side->timer, g_source_remove);
  tcp_conn_reset (g_steal_pointer (&side->tcp_conn));
  g_byte_array_unref (side->buffered);
}

static void
connection_free (gpointer data)
{
  struct connection *connection = data;
  side_clear (&connection->client);
  side_clear (&connection->server);
  g_free (connection);
}

/* Returns whether the present mode withholds what SIDE has received.  */
static gboolean
is_stalled (const struct side *side)
{
  enum fault_proxy_mode mode = side->connection->proxy->mode;
  return mode == FAULT_PROXY_SILENT
         || (mode == FAULT_PROXY_ONE_WAY && side == &side->connection->server);
}

/* Sends what SIDE has received to the other side, and closes the other side if
   SIDE has ended. Frees the connection once both sides have ended.  */
static void
flush (struct side *side)
{
  struct tcp_conn *to = side->other->tcp_conn;
  if (is_stalled (side))
    return;
  if (to != NULL)
    tcp_conn_write (to, side->buffered->data, side->buffered->len);
  g_byte_array_set_size (side->buffered, 0);
  if (!side->eof)
    return;
  if (to != NULL)
    tcp_conn_finish (g_steal_pointer (&side->other->tcp_conn));
  if (side->tcp_conn == NULL && side->other->tcp_conn == NULL)
    g_ptr_array_remove_fast (side->connection->proxy->connections,
                             side->connection);
}

static gboolean
on_delay_elapsed (gpointer data)
{
  struct side *side = data;
  side->timer = 0;
  flush (side);
  return G_SOURCE_REMOVE;
}

/* Flushes SIDE now, or after the delay in mode DELAY.  */
static void
forward (struct side *side)
{
  if (side->connection->proxy->mode != FAULT_PROXY_DELAY)
    flush (side);
  else if (side->timer == 0)
    side->timer = g_timeout_add (FORWARD_DELAY_MS, on_delay_elapsed, side);
}

static void
on_data (void *ctx, struct str data)
{
  struct side *side = ctx;
  g_byte_array_append (side->buffered, (const guint8 *)data.p, (guint)data.n);
  forward (side);
}

static void
on_eof (void *ctx)
{
  struct side *side = ctx;
  tcp_conn_close (g_steal_pointer (&side->tcp_conn));
  side->eof = TRUE;
  forward (side);
}

static void
on_failed (void *ctx, const struct err *err)
{
  struct side *side = ctx;
  (void)err;
  g_ptr_array_remove_fast (side->connection->proxy->connections,
                           side->connection);
}

static const struct tcp_conn_handler connection_handler
    = { .data = on_data, .ended = on_eof, .failed = on_failed };

static void
on_accepted (void *ctx, int fd, const char *peer)
{
  struct fault_proxy *proxy = ctx;
  struct connection *connection = g_new0 (struct connection, 1);
  struct err err = { 0 };
  struct tcp_conn_options options
      = { .handler = &connection_handler, .ctx = &connection->client };
  (void)peer;
  connection->proxy = proxy;
  connection->client
      = (struct side){ .connection = connection, .other = &connection->server };
  connection->server
      = (struct side){ .connection = connection, .other = &connection->client };
  connection->client.buffered = g_byte_array_new ();
  connection->server.buffered = g_byte_array_new ();
  connection->client.tcp_conn = tcp_conn_adopt (fd, &options);
  options.ctx = &connection->server;
  if (proxy->mode != FAULT_PROXY_REFUSE)
    connection->server.tcp_conn
        = tcp_conn_connect (proxy->target, &options, &err);
  if (connection->server.tcp_conn != NULL)
    g_ptr_array_add (proxy->connections, connection);
  else
    connection_free (connection);
}

struct fault_proxy *
fault_proxy_new (const char *target)
{
  struct fault_proxy *proxy = g_new0 (struct fault_proxy, 1);
  struct err err = { 0 };
  proxy->target = g_strdup (target);
  proxy->connections = g_ptr_array_new_with_free_func (connection_free);
  proxy->listener = tcp_listener_new ("127.0.0.1:0", on_accepted, proxy, &err);
  g_assert (proxy->listener != NULL);
  return proxy;
}

void
fault_proxy_free (struct fault_proxy *proxy)
{
  tcp_listener_free (proxy->listener);
  g_ptr_array_unref (proxy->connections);
  g_free (proxy->target);
  g_free (proxy);
}

guint
fault_proxy_port (const struct fault_proxy *proxy)
{
  return tcp_listener_port (proxy->listener);
}

void
fault_proxy_set_mode (struct fault_proxy *proxy, enum fault_proxy_mode mode)
{
  proxy->mode = mode;
  for (guint i = proxy->connections->len; i-- > 0;)
    {
      struct connection *connection = g_ptr_array_index (proxy->connections, i);
      guint n = proxy->connections->len;
      flush (&connection->client);
      /* flush may have freed the connection.  */
      if (proxy->connections->len == n)
        flush (&connection->server);
    }
}

void
fault_proxy_reset (struct fault_proxy *proxy)
{
  g_ptr_array_set_size (proxy->connections, 0);
}
