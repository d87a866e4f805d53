#include "http/server.h"

#include "http/reader.h"
#include "net/tcp_conn.h"

#define HEAD_BYTES_MAX 8192 /* of a request */
#define CALLERS_MAX 100     /* connections */
#define IDLE_MS 30000       /* a connection without a request ends */
#define SILENCE_MS 5000     /* a caller that acknowledges nothing is gone */

struct caller
{
  struct http_server *http_server;
  struct tcp_conn *tcp_conn;       /* owned */
  struct http_reader *http_reader; /* owned */
  GList link;
  guint timer;    /* GLib source */
  gboolean whole; /* a request is */
};

struct http_server
{
  struct tcp_listener *listener;
  http_server_handler handler;
  void *ctx;
  GQueue callers; /* of struct caller */
};

static void
caller_free (struct caller *caller)
{
  g_clear_handle_id (&caller->timer, g_source_remove);
  g_queue_unlink (&caller->http_server->callers, &caller->link);
  tcp_conn_close (caller->tcp_conn);
  http_reader_free (caller->http_reader);
  g_free (caller);
}

static void
finish (struct caller *caller)
{
  tcp_conn_finish (g_steal_pointer (&caller->tcp_conn));
  caller_free (caller);
}

static gboolean
on_idle (gpointer data)
{
  struct caller *caller = data;
  caller->timer = 0;
  finish (caller);
  return G_SOURCE_REMOVE;
}

static void
wait_for_request (struct caller *caller)
{
  g_clear_handle_id (&caller->timer, g_source_remove);
  caller->timer = g_timeout_add (IDLE_MS, on_idle, caller);
}

static void
on_end (void *ctx)
{
  ((struct caller *)ctx)->whole = TRUE;
}

static const struct http_reader_handler reader = { NULL, NULL, on_end };

static void
answer (struct caller *caller, const struct http_server_response *reply,
        gboolean keep)
{
  GString *out = g_string_new (NULL);
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", reply->status,
                          http_reason_phrase (reply->status));
  if (reply->type != NULL)
    http_put_field (out, "Content-Type", "%s", reply->type);
  http_put_field (out, "Content-Length", "%" G_GSIZE_FORMAT, reply->body->len);
  if (!keep)
    http_put_field (out, "Connection", "close");
  g_string_append (out, "\r\n");
  g_string_append_len (out, reply->body->str, (gssize)reply->body->len);
  tcp_conn_write (caller->tcp_conn, out->str, out->len);
  g_string_free (out, TRUE);
}

/* Answers a request; returns FALSE if the connection has ended with it.  */
static gboolean
serve (struct caller *caller)
{
  const struct http_head *head = http_reader_head (caller->http_reader);
  struct http_server_response reply
      = { .status = 404, .body = g_string_new (NULL) };
  gboolean keep = head->keep_alive;
  caller->http_server->handler (caller->http_server->ctx, head, &reply);
  answer (caller, &reply, keep);
  g_string_free (reply.body, TRUE);
  if (!keep)
    {
      finish (caller);
      return FALSE;
    }
  http_reader_next (caller->http_reader, FALSE);
  wait_for_request (caller);
  return TRUE;
}

static void
on_data (void *ctx, struct str data)
{
  struct caller *caller = ctx;
  while (data.n > 0)
    {
      struct err err = { 0 };
      caller->whole = FALSE;
      gssize n = http_reader_feed (caller->http_reader, data, &err);
      if (n < 0)
        {
          struct http_server_response bad
              = { .status = 400, .body = g_string_new (NULL) };
          answer (caller, &bad, FALSE);
          g_string_free (bad.body, TRUE);
          finish (caller);
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
      if (caller->whole && !serve (caller))
        return;
    }
}

static void
on_ended (void *ctx)
{
  caller_free (ctx);
}

static void
on_failed (void *ctx, const struct err *err)
{
  (void)err;
  caller_free (ctx);
}

static const struct tcp_conn_handler connection
    = { .data = on_data, .ended = on_ended, .failed = on_failed };

static void
on_accepted (void *ctx, int fd, const char *peer)
{
  struct http_server *http_server = ctx;
  struct caller *caller = g_new0 (struct caller, 1);
  const struct tcp_conn_options options
      = { .handler = &connection, .ctx = caller, .silence_ms = SILENCE_MS };
  (void)peer;
  caller->http_server = http_server;
  caller->http_reader = http_reader_new (FALSE, &reader, caller);
  http_reader_limit_head (caller->http_reader, HEAD_BYTES_MAX);
  caller->tcp_conn = tcp_conn_adopt (fd, &options);
  caller->link.data = caller;
  g_queue_push_tail_link (&http_server->callers, &caller->link);
  wait_for_request (caller);
  if (http_server->callers.length > CALLERS_MAX)
    finish (http_server->callers.head->data);
}

/* Listens on ADDRESS (IP:PORT; port 0: the kernel's choice).  */
struct http_server *
http_server_new (const char *address, http_server_handler handler, void *ctx,
                 struct err *err)
{
  struct http_server *http_server = g_new0 (struct http_server, 1);
  http_server->handler = handler;
  http_server->ctx = ctx;
  g_queue_init (&http_server->callers);
  http_server->listener
      = tcp_listener_new (address, on_accepted, http_server, err);
  if (http_server->listener == NULL)
    g_clear_pointer (&http_server, g_free);
  return http_server;
}

void
http_server_free (struct http_server *http_server)
{
  if (http_server == NULL)
    return;
  struct caller *caller;
  while ((caller = g_queue_peek_head (&http_server->callers)) != NULL)
    caller_free (caller);
  tcp_listener_free (http_server->listener);
  g_free (http_server);
}

guint
http_server_port (const struct http_server *http_server)
{
  return tcp_listener_port (http_server->listener);
}
