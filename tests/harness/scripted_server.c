#include "harness/scripted_server.h"

#include <string.h>

#include "harness/reserved_port.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "net/tcp_listener.h"

struct scripted_server
{
  const struct scripted_server_script *script;
  void *ctx;
  struct server_hints *hints;    /* owned */
  struct tcp_listener *listener; /* NULL: down */
  char address[ERR_PEER_MAX];
  guint port;
  int reserved_fd; /* bound to the port, so that no other process takes it while
                      the server is down */
  GPtrArray *connections; /* of struct scripted_connection, owned */
};

struct scripted_connection
{
  struct scripted_server *server;
  struct tcp_conn *tcp_conn;
  struct http_reader *http_reader;
  struct scripted_response response; /* in progress; request NULL: none */
  guint next_event;
  guint timer;
  gboolean closes; /* when it is dropped; FALSE: as the script says */
};

/* Ends the response in progress, if any.  */
static void
end_response (struct scripted_connection *connection, gboolean complete)
{
  const struct scripted_server *server = connection->server;
  gpointer request = g_steal_pointer (&connection->response.request);
  if (request != NULL)
    server->script->ended (server->ctx, request, complete);
}

static void
connection_free (gpointer data)
{
  struct scripted_connection *connection = data;
  end_response (connection, FALSE);
  g_clear_handle_id (&connection->timer, g_source_remove);
  if (connection->closes)
    tcp_conn_finish (connection->tcp_conn);
  else if (connection->server->script->resets)
    tcp_conn_reset (connection->tcp_conn);
  else
    tcp_conn_close (connection->tcp_conn);
  http_reader_free (connection->http_reader);
  g_free (connection);
}

static void
drop_connection (struct scripted_connection *connection)
{
  g_ptr_array_remove_fast (connection->server->connections, connection);
}

/* Writes the head of a response to request ID.  */
static void
write_head (struct scripted_connection *connection, const char *status,
            const char *id, const char *fields)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s", status,
                          id, fields);
  server_hints_append_fields (connection->server->hints, status[0] == '5',
                              text);
  g_string_append (text, "\r\n");
  tcp_conn_write (connection->tcp_conn, text->str, text->len);
  g_string_free (text, TRUE);
}

static void
write_stream_head (struct scripted_connection *connection)
{
  write_head (connection, "200 OK", connection->response.id,
              "X-Signature: s\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n");
}

/* Writes the next event, and the end of the stream after the last one.  */
static void
write_event (struct scripted_connection *connection)
{
  const struct scripted_response *response = &connection->response;
  GString *text = g_string_new (NULL);
  if (connection->next_event <= response->last_event)
    {
      connection->server->script->append_part (response->request,
                                               connection->next_event++, text);
      char *size = g_strdup_printf ("%zx\r\n", text->len);
      g_string_prepend (text, size);
      g_string_append (text, "\r\n");
      g_free (size);
    }
  if (connection->next_event > response->last_event)
    g_string_append (text, "0\r\n\r\n");
  tcp_conn_write (connection->tcp_conn, text->str, text->len);
  g_string_free (text, TRUE);
}

/* Breaks the stream off instead of sending its next event.  */
static void
break_stream (struct scripted_connection *connection)
{
  const struct scripted_server *server = connection->server;
  const struct scripted_response *response = &connection->response;
  if (response->break_inside)
    {
      GString *event = g_string_new (NULL);
      server->script->append_part (response->request, connection->next_event,
                                   event);
      gsize half = event->len / 2;
      char *chunk
          = g_strdup_printf ("%zx\r\n%.*s\r\n", half, (int)half, event->str);
      tcp_conn_write (connection->tcp_conn, chunk, strlen (chunk));
      g_free (chunk);
      g_string_free (event, TRUE);
    }
  if (server->script->broke != NULL)
    server->script->broke (server->ctx, response->request);
  connection->closes = response->broken == SCRIPTED_BREAK_CLOSE;
  if (response->broken != SCRIPTED_BREAK_SILENCE)
    drop_connection (connection);
}

/* Writes the head and the body, or the first half of the body if FIRST and its
   second half if SECOND.  */
static void
write_buffered (struct scripted_connection *connection, gboolean first,
                gboolean second)
{
  const struct scripted_response *response = &connection->response;
  GString *body = g_string_new (NULL);
  connection->server->script->append_part (response->request, 0, body);
  gsize from = first ? 0 : body->len / 2;
  gsize to = second ? body->len : body->len / 2;
  if (first)
    {
      char *fields = g_strdup_printf (
          "X-Signature: s\r\nContent-Length: %zu\r\n", body->len);
      write_head (connection, "200 OK", response->id, fields);
      g_free (fields);
    }
  tcp_conn_write (connection->tcp_conn, body->str + from, to - from);
  g_string_free (body, TRUE);
}

static gboolean on_part (gpointer data);

static void
schedule_part (struct scripted_connection *connection)
{
  const struct scripted_server *server = connection->server;
  guint ms
      = server->script->delay_ms (server->ctx, connection->response.request);
  connection->timer = g_timeout_add (ms, on_part, connection);
}

/* Sends the rest of a body, or the next event of a stream.  */
static gboolean
on_part (gpointer data)
{
  struct scripted_connection *connection = data;
  const struct scripted_server *server = connection->server;
  const struct scripted_response *response = &connection->response;
  connection->timer = 0;
  if (response->broken != SCRIPTED_BREAK_NONE
      && connection->next_event == response->break_event)
    {
      break_stream (connection);
      return G_SOURCE_REMOVE;
    }
  if (server->script->drops != NULL
      && server->script->drops (server->ctx, response->request))
    {
      drop_connection (connection);
      return G_SOURCE_REMOVE;
    }
  if (response->stream)
    write_event (connection);
  else
    write_buffered (connection, !response->half_first, TRUE);
  if (response->stream && connection->next_event <= response->last_event)
    schedule_part (connection);
  else
    end_response (connection, TRUE);
  return G_SOURCE_REMOVE;
}

void
scripted_server_respond (struct scripted_connection *connection,
                         const struct scripted_response *response)
{
  connection->response = *response;
  connection->next_event = response->first_event;
  if (response->stream)
    write_stream_head (connection);
  else if (response->half_first)
    write_buffered (connection, TRUE, FALSE);
  schedule_part (connection);
}

void
scripted_server_reject (struct scripted_connection *connection, const char *id,
                        const struct server_hints_sender *sender)
{
  if (sender != NULL)
    server_hints_rejected (connection->server->hints, sender,
                           g_get_monotonic_time ());
  write_head (connection, "503 Service Unavailable", id,
              "X-Not-Run: 1\r\nContent-Length: 0\r\n");
}

static void
on_request_complete (void *ctx)
{
  struct scripted_connection *connection = ctx;
  const struct scripted_server *server = connection->server;
  if (connection->response.request != NULL)
    server->script->unexpected (server->ctx,
                                "a request before the end of a response");
  else
    server->script->received (server->ctx, connection,
                              http_reader_head (connection->http_reader));
}

static const struct http_reader_handler request_handler
    = { NULL, NULL, on_request_complete };

static void
on_request_data (void *ctx, struct str data)
{
  struct scripted_connection *connection = ctx;
  const struct scripted_server *server = connection->server;
  while (data.n > 0)
    {
      struct err err = { 0 };
      gssize n = http_reader_feed (connection->http_reader, data, &err);
      if (n < 0)
        {
          server->script->unexpected (server->ctx, "a malformed request");
          drop_connection (connection);
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
      if (!http_reader_in_message (connection->http_reader))
        http_reader_next (connection->http_reader, FALSE);
    }
}

static void
on_connection_ended (void *ctx)
{
  drop_connection (ctx);
}

static void
on_connection_failed (void *ctx, const struct err *err)
{
  (void)err;
  drop_connection (ctx);
}

static const struct tcp_conn_handler connection_handler
    = { .data = on_request_data,
        .ended = on_connection_ended,
        .failed = on_connection_failed };

static void
on_accepted (void *ctx, int fd, const char *peer)
{
  struct scripted_server *server = ctx;
  struct scripted_connection *connection
      = g_new0 (struct scripted_connection, 1);
  const struct tcp_conn_options options
      = { .handler = &connection_handler, .ctx = connection };
  (void)peer;
  connection->server = server;
  connection->http_reader
      = http_reader_new (FALSE, &request_handler, connection);
  connection->tcp_conn = tcp_conn_adopt (fd, &options);
  g_ptr_array_add (server->connections, connection);
}

static void
start_listening (struct scripted_server *server)
{
  struct err err = { 0 };
  server->listener
      = tcp_listener_new (server->address, on_accepted, server, &err);
  if (server->listener == NULL)
    g_error ("%s: %s", err.step, err.text);
}

struct scripted_server *
scripted_server_new (const struct scripted_server_script *script, void *ctx,
                     struct server_hints *hints)
{
  struct scripted_server *server = g_new0 (struct scripted_server, 1);
  server->script = script;
  server->ctx = ctx;
  server->hints = hints;
  server->connections = g_ptr_array_new_with_free_func (connection_free);
  server->port = reserved_port_open (&server->reserved_fd);
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
              server->port);
  start_listening (server);
  return server;
}

struct server_hints *
scripted_server_hints (const struct scripted_server *server)
{
  return server->hints;
}

struct server_hints *
scripted_connection_hints (const struct scripted_connection *connection)
{
  return connection->server->hints;
}

void
scripted_server_free (struct scripted_server *server)
{
  g_ptr_array_unref (server->connections);
  tcp_listener_free (server->listener);
  close (server->reserved_fd);
  server_hints_free (server->hints);
  g_free (server);
}

guint
scripted_server_port (const struct scripted_server *server)
{
  return server->port;
}

void
scripted_server_set_down (struct scripted_server *server, gboolean down)
{
  g_ptr_array_set_size (server->connections, 0);
  if (down)
    g_clear_pointer (&server->listener, tcp_listener_free);
  else if (server->listener == NULL)
    start_listening (server);
}
