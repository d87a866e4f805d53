/* Pool of idle connections to backend servers. The most recently used one is
   taken first. Bytes that arrive on an idle connection belong to no request, so
   it is closed.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#include <string.h>

#define PEEK_BYTES 16 /* of what has arrived on an idle connection */
#define IDLE_MAX 32   /* idle connections to one server */

struct idle_connection
{
  struct backend_pool *backend_pool;
  GQueue *queue;                  /* of the server, borrowed */
  struct registry_server *server; /* referenced */
  GList link;
  struct tcp_conn *tcp_conn; /* owned */
  gint64 idle_since;         /* clock time of the return to the pool */
  gint64 reuse_until; /* clock time from which on the server may close it */
};

struct backend_pool
{
  const struct clk *clk;
  GHashTable *servers; /* server number: GQueue of struct
                          idle_connection, most recent first; owned */
};

static void
idle_connection_free (struct idle_connection *idle_connection)
{
  g_queue_unlink (idle_connection->queue, &idle_connection->link);
  tcp_conn_close (idle_connection->tcp_conn);
  registry_server_unref (idle_connection->server);
  g_free (idle_connection);
}

static void
queue_free (gpointer data)
{
  GQueue *queue = data;
  struct idle_connection *idle_connection;
  while ((idle_connection = g_queue_peek_head (queue)) != NULL)
    idle_connection_free (idle_connection);
  g_queue_free (queue);
}

struct backend_pool *
backend_pool_new (const struct clk *clk)
{
  struct backend_pool *backend_pool = g_new0 (struct backend_pool, 1);
  backend_pool->clk = clk;
  backend_pool->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, queue_free);
  return backend_pool;
}

void
backend_pool_free (struct backend_pool *backend_pool)
{
  if (backend_pool == NULL)
    return;
  g_hash_table_unref (backend_pool->servers);
  g_free (backend_pool);
}

/* Records that SERVER has sent bytes after the complete response to a request.
   REQUEST_ID is NULL if the connection was idle.  */
void
backend_pool_record_extra (struct registry_server *server,
                           const char *request_id)
{
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "answer.extra",
                                  .request_id = request_id,
                                  .peer = server->entry.id },
             "bytes after a complete response; connection=%s",
             request_id != NULL ? "used" : "idle");
  server_health_add_result (&server->server_health, SERVER_HEALTH_FAILURE);
}

/* Records DATA of an idle connection, unless it is a 408, with which a server
   may announce that it closes the connection (RFC 9110, section 15.5.9).  */
static void
record_idle_data (const struct idle_connection *idle_connection,
                  struct str data)
{
  static const char announcement[] = "HTTP/1.1 408";
  gsize n = sizeof announcement - 1;
  if (data.n == 0 || (data.n >= n && memcmp (data.p, announcement, n) == 0))
    return;
  backend_pool_record_extra (idle_connection->server, NULL);
}

static void
on_data (void *ctx, struct str data)
{
  struct idle_connection *idle_connection = ctx;
  record_idle_data (idle_connection, data);
  idle_connection_free (idle_connection);
}

static void
on_ended (void *ctx)
{
  idle_connection_free (ctx);
}

static void
on_failed (void *ctx, const struct err *err)
{
  (void)err;
  idle_connection_free (ctx);
}

static const struct tcp_conn_handler idle_handler
    = { .data = on_data, .ended = on_ended, .failed = on_failed };

static GQueue *
queue_of (const struct backend_pool *backend_pool,
          const struct registry_server *server)
{
  return g_hash_table_lookup (backend_pool->servers,
                              GUINT_TO_POINTER (server->number));
}

/* Takes a connection to SERVER that has been idle for MAX_IDLE_US at most.
   Returns NULL if there is none; else the caller owns the connection and sets
   its handler.  */
struct tcp_conn *
backend_pool_take (struct backend_pool *backend_pool,
                   const struct registry_server *server, gint64 max_idle_us)
{
  GQueue *queue = queue_of (backend_pool, server);
  gint64 now = clk_now (backend_pool->clk);
  struct idle_connection *idle_connection;
  while (queue != NULL && (idle_connection = g_queue_peek_head (queue)) != NULL)
    {
      if (now >= idle_connection->reuse_until
          || !tcp_conn_is_idle (idle_connection->tcp_conn))
        {
          char bytes[PEEK_BYTES];
          gsize n
              = tcp_conn_peek (idle_connection->tcp_conn, bytes, sizeof bytes);
          record_idle_data (idle_connection, (struct str){ bytes, n });
          idle_connection_free (idle_connection);
          continue;
        }
      if (now - idle_connection->idle_since > max_idle_us)
        return NULL; /* the others have been idle for longer */
      struct tcp_conn *tcp_conn = g_steal_pointer (&idle_connection->tcp_conn);
      idle_connection_free (idle_connection);
      return tcp_conn;
    }
  return NULL;
}

/* Puts TCP_CONN, which SERVER keeps open for KEEP_US, into the pool. Takes
   ownership, and closes TCP_CONN if the pool cannot keep it.  */
void
backend_pool_put (struct backend_pool *backend_pool,
                  struct registry_server *server, struct tcp_conn *tcp_conn,
                  gint64 keep_us)
{
  GQueue *queue = queue_of (backend_pool, server);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (backend_pool->servers,
                           GUINT_TO_POINTER (server->number), queue);
    }
  if (keep_us <= 0 || queue->length >= IDLE_MAX
      || server->state == REGISTRY_REMOVED || registry_is_leaving (server))
    {
      tcp_conn_close (tcp_conn);
      return;
    }
  struct idle_connection *idle_connection = g_new0 (struct idle_connection, 1);
  idle_connection->backend_pool = backend_pool;
  idle_connection->queue = queue;
  idle_connection->server = registry_server_ref (server);
  idle_connection->tcp_conn = tcp_conn;
  idle_connection->idle_since = clk_now (backend_pool->clk);
  idle_connection->reuse_until = idle_connection->idle_since + keep_us;
  idle_connection->link.data = idle_connection;
  g_queue_push_head_link (queue, &idle_connection->link);
  tcp_conn_set_handler (tcp_conn, &idle_handler, idle_connection);
  tcp_conn_pause (tcp_conn, FALSE);
}

/* Closes all idle connections to SERVER.  */
void
backend_pool_drop_server (struct backend_pool *backend_pool,
                          const struct registry_server *server)
{
  g_hash_table_remove (backend_pool->servers,
                       GUINT_TO_POINTER (server->number));
}

/* Returns the number of idle connections to all servers.  */
guint
backend_pool_idle_count (const struct backend_pool *backend_pool)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer queue;
  g_hash_table_iter_init (&iter, backend_pool->servers);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    n += ((GQueue *)queue)->length;
  return n;
}
