#include "http/server.h"

#include "base/log.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "net/tcp_listener.h"

#define HEAD_BYTES_MAX 8192 /* of a request */
#define BODY_BYTES_MAX 8192 /* of a request; they are ignored */
#define CONNS_MAX 100   /* default limit; at one more, the oldest is closed */
#define IDLE_MS 30000   /* default limit for the next complete request */
#define SILENCE_MS 5000 /* longest time without a TCP acknowledgement */

struct server_conn
{
  struct http_server *server;
  struct tcp_conn *tcp;       /* owned */
  struct http_reader *reader; /* owned */
  GList link;
  char peer[ERR_PEER_MAX]; /* IP number, for the log */
  guint timer;             /* GLib source that closes an idle connection */
  gsize body_bytes;        /* of the request, received so far */
  gboolean complete;       /* the request has been read */
  gboolean body_too_long;
  gboolean finishing; /* the last response is being sent */
};

struct http_server
{
  struct tcp_listener *listener;
  http_server_handler handler;
  void *ctx;
  guint idle_ms;
  guint conns_max;
  GQueue conns;     /* of struct server_conn, oldest first */
  GQueue finishing; /* the same, of those that are being closed */
};

static void
conn_free (struct server_conn *conn)
{
  g_clear_handle_id (&conn->timer, g_source_remove);
  g_queue_unlink (conn->finishing ? &conn->server->finishing
                                  : &conn->server->conns,
                  &conn->link);
  tcp_conn_close (conn->tcp);
  http_reader_free (conn->reader);
  g_free (conn);
}

static void
log_unsent (const struct server_conn *conn, gsize unsent)
{
  if (unsent > 0)
    log_write (&(struct log_entry){ .level = LOG_INFO,
                                    .event = "client.closed",
                                    .step = "http.serve",
                                    .peer = conn->peer },
               "unsent=%" G_GSIZE_FORMAT, unsent);
}

static void
on_finished (void *ctx, const struct tcp_conn_remainder *remainder)
{
  struct server_conn *conn = ctx;
  log_unsent (conn, remainder->unsent);
  conn->tcp = NULL; /* it frees itself */
  conn_free (conn);
}

static const struct tcp_conn_handler finishing_callbacks
    = { .finished = on_finished };

/* Closes CONN once its output has been sent. If too many are waiting for that,
   the oldest is closed at once.  */
static void
finish_conn (struct server_conn *conn)
{
  struct http_server *server = conn->server;
  g_clear_handle_id (&conn->timer, g_source_remove);
  g_queue_unlink (&server->conns, &conn->link);
  conn->finishing = TRUE;
  g_queue_push_tail_link (&server->finishing, &conn->link);
  tcp_conn_set_handler (conn->tcp, &finishing_callbacks, conn);
  tcp_conn_finish (conn->tcp);
  if (server->finishing.length <= server->conns_max)
    return;
  struct server_conn *oldest = server->finishing.head->data;
  log_unsent (oldest, tcp_conn_queued (oldest->tcp));
  conn_free (oldest);
}

static void
send_response (struct server_conn *conn,
               const struct http_server_response *response, gboolean keep)
{
  GString *out = g_string_new (NULL);
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", response->status,
                          http_reason_phrase (response->status));
  if (response->type != NULL)
    http_put_field (out, "Content-Type", "%s", response->type);
  http_put_field (out, "Content-Length", "%" G_GSIZE_FORMAT,
                  response->body->len);
  if (!keep)
    http_put_field (out, "Connection", "close");
  g_string_append (out, "\r\n");
  g_string_append_len (out, response->body->str, (gssize)response->body->len);
  tcp_conn_write (conn->tcp, out->str, out->len);
  g_string_free (out, TRUE);
}

/* Responds with STATUS to what is no valid request, logs CAUSE and closes the
   connection.  */
static void
reject (struct server_conn *conn, guint status, const char *cause)
{
  const struct http_server_response response
      = { .status = status, .body = g_string_new (NULL) };
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "request.rejected",
                                  .step = "http.serve",
                                  .peer = conn->peer },
             "status=%u cause=\"%s\"", status, cause);
  send_response (conn, &response, FALSE);
  g_string_free (response.body, TRUE);
  finish_conn (conn);
}

static void
reject_error (struct server_conn *conn, const struct err *err)
{
  if (conn->body_too_long)
    reject (conn, 413, "body too long");
  else
    reject (conn, err->code == ERR_TOO_LARGE ? 431 : 400, err->text);
}

static gboolean
on_idle (gpointer data)
{
  struct server_conn *conn = data;
  conn->timer = 0;
  if (http_reader_in_message (conn->reader))
    reject (conn, 408, "no complete request in time");
  else
    finish_conn (conn);
  return G_SOURCE_REMOVE;
}

static void
wait_for_request (struct server_conn *conn)
{
  g_clear_handle_id (&conn->timer, g_source_remove);
  conn->timer = g_timeout_add (conn->server->idle_ms, on_idle, conn);
}

static gboolean
on_head (void *ctx, const struct http_head *head)
{
  struct server_conn *conn = ctx;
  conn->body_bytes = 0;
  conn->body_too_long = head->has_length && head->length > BODY_BYTES_MAX;
  return !conn->body_too_long;
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct server_conn *conn = ctx;
  conn->body_bytes += bytes.n;
  conn->body_too_long = conn->body_bytes > BODY_BYTES_MAX;
  return !conn->body_too_long;
}

static void
on_end (void *ctx)
{
  ((struct server_conn *)ctx)->complete = TRUE;
}

static const struct http_reader_handler reader_callbacks
    = { on_head, on_body, on_end };

/* Responds to a complete request. LAST: the connection is closed after it. Else
   reading pauses until the response has been sent, so that a client that does
   not read cannot queue more.  */
static void
serve_request (struct server_conn *conn, gboolean last)
{
  const struct http_head *head = http_reader_head (conn->reader);
  struct http_server_response response
      = { .status = 404, .body = g_string_new (NULL) };
  gboolean keep = head->keep_alive && !last;
  conn->server->handler (conn->server->ctx, head, &response);
  send_response (conn, &response, keep);
  g_string_free (response.body, TRUE);
  if (!keep)
    {
      finish_conn (conn);
      return;
    }
  http_reader_next (conn->reader, FALSE);
  wait_for_request (conn);
  tcp_conn_pause (conn->tcp, tcp_conn_queued (conn->tcp) > 0);
}

/* Reads a request. A pipelined one after it is not served: a client must not
   make this process write responses faster than it takes them.  */
static void
on_data (void *ctx, struct str data)
{
  struct server_conn *conn = ctx;
  struct err err = { 0 };
  conn->complete = FALSE;
  gssize n = http_reader_feed (conn->reader, data, &err);
  if (n < 0)
    reject_error (conn, &err);
  else if (conn->complete)
    serve_request (conn, (gsize)n < data.n);
}

static void
on_drained (void *ctx)
{
  tcp_conn_pause (((struct server_conn *)ctx)->tcp, FALSE);
}

static void
on_ended (void *ctx)
{
  conn_free (ctx);
}

static void
on_failed (void *ctx, const struct err *err)
{
  (void)err;
  conn_free (ctx);
}

static const struct tcp_conn_handler tcp_callbacks = {
  .data = on_data, .ended = on_ended, .failed = on_failed, .drained = on_drained
};

static void
on_accepted (void *ctx, int fd, const char *peer)
{
  struct http_server *server = ctx;
  struct server_conn *conn = g_new0 (struct server_conn, 1);
  const struct tcp_conn_options options
      = { .handler = &tcp_callbacks, .ctx = conn, .silence_ms = SILENCE_MS };
  g_strlcpy (conn->peer, peer, sizeof conn->peer);
  conn->server = server;
  conn->reader = http_reader_new (FALSE, &reader_callbacks, conn);
  http_reader_limit_head (conn->reader, HEAD_BYTES_MAX);
  conn->tcp = tcp_conn_adopt (fd, &options);
  conn->link.data = conn;
  g_queue_push_tail_link (&server->conns, &conn->link);
  wait_for_request (conn);
  if (server->conns.length > server->conns_max)
    finish_conn (server->conns.head->data);
}

/* Listens on the address of OPTIONS. Returns NULL and sets ERR if it cannot. */
struct http_server *
http_server_new (const struct http_server_options *options, struct err *err)
{
  struct http_server *server = g_new0 (struct http_server, 1);
  server->handler = options->handler;
  server->ctx = options->ctx;
  server->idle_ms = options->idle_ms ? options->idle_ms : IDLE_MS;
  server->conns_max = options->conns_max ? options->conns_max : CONNS_MAX;
  g_queue_init (&server->conns);
  g_queue_init (&server->finishing);
  server->listener
      = tcp_listener_new (options->address, on_accepted, server, err);
  if (server->listener == NULL)
    g_clear_pointer (&server, g_free);
  return server;
}

void
http_server_free (struct http_server *server)
{
  if (server == NULL)
    return;
  struct server_conn *conn;
  while ((conn = g_queue_peek_head (&server->conns)) != NULL
         || (conn = g_queue_peek_head (&server->finishing)) != NULL)
    conn_free (conn);
  tcp_listener_free (server->listener);
  g_free (server);
}

guint
http_server_port (const struct http_server *server)
{
  return tcp_listener_port (server->listener);
}
