#include "http/client.h"

#include "base/clock.h"
#include "base/log.h"
#include "http/reader.h"
#include "net/tcp_conn.h"

#include <string.h>

#define IDLE_MAX 4 /* connections kept open for further requests */

struct client_conn
{
  struct http_client *client; /* borrowed */
  struct tcp_conn *tcp;       /* owned */
  struct http_reader *reader; /* owned */
  GString *body;              /* of the response, owned */
  http_client_done done;      /* NULL while the connection is idle */
  void *ctx;
  guint timer;            /* GLib source; 0: none */
  gint64 started_at;      /* of the request, boot time */
  guint timeout_ms;       /* of the request; 0: none */
  gboolean complete;      /* the response has been read */
  gint64 send_before;     /* boot time; 0: no limit */
  struct err start_error; /* why the request could not be sent */
};

struct http_client
{
  char *address;
  char *token; /* NULL: none */
  struct http_client_options options;
  GPtrArray *conns; /* of struct client_conn, owned: in use and idle */
};

static void
conn_free (gpointer data)
{
  struct client_conn *conn = data;
  g_clear_handle_id (&conn->timer, g_source_remove);
  if (conn->client->options.resets && conn->done != NULL)
    tcp_conn_reset (conn->tcp);
  else
    tcp_conn_close (conn->tcp);
  http_reader_free (conn->reader);
  g_string_free (conn->body, TRUE);
  g_free (conn);
}

/* Fails the request of CONN, if any, and closes the connection.  */
static void
fail_conn (struct client_conn *conn, const struct err *err)
{
  http_client_done done = conn->done;
  void *ctx = conn->ctx;
  const struct err copy = *err; /* ERR may be part of CONN */
  g_ptr_array_remove_fast (conn->client->conns, conn);
  if (done == NULL)
    return;
  const struct http_client_response response
      = { .code = copy.code, .err = &copy };
  done (ctx, &response);
}

static void
on_failed (void *ctx, const struct err *err)
{
  fail_conn (ctx, err);
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct client_conn *conn = ctx;
  if (conn->body->len + bytes.n > conn->client->options.body_max)
    return FALSE;
  g_string_append_len (conn->body, bytes.p, (gssize)bytes.n);
  return TRUE;
}

static void
on_end (void *ctx)
{
  ((struct client_conn *)ctx)->complete = TRUE;
}

static const struct http_reader_handler reader_callbacks
    = { NULL, on_body, on_end };

static gboolean
on_start_error (gpointer data)
{
  struct client_conn *conn = data;
  conn->timer = 0;
  fail_conn (conn, &conn->start_error);
  return G_SOURCE_REMOVE;
}

static guint
count_idle (const struct http_client *client)
{
  guint n = 0;
  for (guint i = 0; i < client->conns->len; i++)
    n += ((struct client_conn *)g_ptr_array_index (client->conns, i))->done
         == NULL;
  return n;
}

/* Passes the complete response to the callback. The connection is kept if it
   can be reused. The callback may free the client, so the client and the
   connection must not be used after it.  */
static void
deliver_response (struct client_conn *conn, gboolean reusable)
{
  struct http_client *client = conn->client;
  const struct http_head *head = http_reader_head (conn->reader);
  http_client_done done = conn->done;
  void *ctx = conn->ctx;
  struct http_head copy = *head;
  GString *text = g_string_new_len (head->text->str, (gssize)head->text->len);
  GArray *fields = g_array_copy (head->fields);
  GString *body = conn->body;
  conn->body = g_string_new (NULL);
  copy.text = text;
  copy.fields = fields;
  conn->done = NULL;
  g_clear_handle_id (&conn->timer, g_source_remove);
  if (reusable && head->keep_alive && count_idle (client) <= IDLE_MAX)
    http_reader_next (conn->reader, FALSE);
  else
    g_ptr_array_remove_fast (client->conns, conn);
  const struct http_client_response response
      = { .head = &copy, .body = { body->str, body->len } };
  done (ctx, &response);
  g_string_free (body, TRUE);
  g_string_free (text, TRUE);
  g_array_free (fields, TRUE);
}

static void
log_surplus (const struct client_conn *conn)
{
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "http.surplus",
                                  .step = "http.call",
                                  .peer = conn->client->address },
             "data received without a request; closing the connection");
}

static void
on_data (void *ctx, struct str data)
{
  struct client_conn *conn = ctx;
  struct err err = { 0 };
  if (conn->done == NULL)
    {
      log_surplus (conn);
      err_set (&err, ERR_PROTOCOL, "http.call", conn->client->address,
               "data received without a request");
      fail_conn (conn, &err);
      return;
    }
  conn->complete = FALSE;
  gssize n = http_reader_feed (conn->reader, data, &err);
  if (n < 0)
    fail_conn (conn, &err);
  else if (conn->complete)
    {
      gboolean has_surplus = (gsize)n < data.n;
      if (has_surplus)
        log_surplus (conn);
      deliver_response (conn, !has_surplus);
    }
}

static void
on_ended (void *ctx)
{
  struct client_conn *conn = ctx;
  struct err err = { 0 };
  conn->complete = FALSE;
  if (conn->done != NULL && http_reader_finish (conn->reader, &err) == 0
      && conn->complete)
    {
      deliver_response (conn, FALSE);
      return;
    }
  if (err.code == 0)
    err_set (&err, ERR_CLOSED, "http.call", conn->client->address,
             "connection closed before a complete response");
  fail_conn (conn, &err);
}

/* A process that was suspended while it connected must not send a request
   whose time is over: timers may not count the suspension, or run later.  */
static void
on_opened (void *ctx)
{
  struct client_conn *conn = ctx;
  struct err err = { 0 };
  if (conn->send_before == 0 || clk_now (clk_boottime ()) < conn->send_before)
    return;
  err_set (&err, ERR_TIMEOUT, "http.call", conn->client->address,
           "connected too late to send the request");
  fail_conn (conn, &err);
}

static const struct tcp_conn_handler tcp_callbacks = {
  .opened = on_opened, .data = on_data, .ended = on_ended, .failed = on_failed
};

/* Returns for how long the request may still take, by what has arrived of the
   response.  */
static gint64
left_us (const struct client_conn *conn)
{
  guint rate = conn->client->options.bytes_per_s_min;
  gint64 allowed = conn->timeout_ms * CLK_MS;
  if (rate > 0)
    allowed += (gint64)conn->body->len * CLK_S / rate;
  return conn->started_at + allowed - clk_now (clk_boottime ());
}

static gboolean
on_timeout (gpointer data)
{
  struct client_conn *conn = data;
  struct err err = { 0 };
  gint64 left = left_us (conn);
  conn->timer = 0;
  if (conn->client->options.bytes_per_s_min > 0 && left > CLK_MS)
    {
      conn->timer = g_timeout_add ((guint)(left / CLK_MS), on_timeout, conn);
      return G_SOURCE_REMOVE;
    }
  err_set (&err, ERR_TIMEOUT, "http.call", conn->client->address,
           "no complete response in time");
  fail_conn (conn, &err);
  return G_SOURCE_REMOVE;
}

/* Makes a client of the server at OPTIONS->address; the strings are copied.  */
struct http_client *
http_client_new (const struct http_client_options *options)
{
  struct http_client *client = g_new0 (struct http_client, 1);
  client->options = *options;
  client->address = g_strdup (options->address);
  client->options.address = client->address;
  client->token = g_strdup (options->token);
  client->conns = g_ptr_array_new_with_free_func (conn_free);
  return client;
}

/* Aborts all requests without calling their callbacks. CLIENT may be NULL.  */
void
http_client_free (struct http_client *client)
{
  if (client == NULL)
    return;
  g_ptr_array_unref (client->conns);
  g_free (client->address);
  g_free (client->token);
  g_free (client);
}

/* Closes the idle connections, for instance because the server did not respond
   on another one.  */
void
http_client_close_idle (struct http_client *client)
{
  for (guint i = client->conns->len; i-- > 0;)
    if (((struct client_conn *)g_ptr_array_index (client->conns, i))->done
        == NULL)
      g_ptr_array_remove_index_fast (client->conns, i);
}

static struct client_conn *
take_idle (struct http_client *client)
{
  for (guint i = client->conns->len; i-- > 0;)
    {
      struct client_conn *conn = g_ptr_array_index (client->conns, i);
      if (conn->done != NULL)
        continue;
      if (tcp_conn_is_idle (conn->tcp))
        return conn;
      g_ptr_array_remove_index_fast (client->conns, i);
    }
  return NULL;
}

static struct client_conn *
open_conn (struct http_client *client, struct err *err)
{
  struct client_conn *conn = g_new0 (struct client_conn, 1);
  const struct tcp_conn_options options
      = { .handler = &tcp_callbacks,
          .ctx = conn,
          .silence_ms = client->options.silence_ms,
          .connect_ms = client->options.connect_ms };
  conn->client = client;
  conn->body = g_string_new (NULL);
  conn->reader = http_reader_new (TRUE, &reader_callbacks, conn);
  conn->tcp = tcp_conn_connect (client->address, &options, err);
  if (conn->tcp == NULL)
    {
      conn_free (conn);
      return NULL;
    }
  g_ptr_array_add (client->conns, conn);
  return conn;
}

static void
send_request (struct client_conn *conn,
              const struct http_client_request *request)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", request->method,
                          request->target);
  http_put_field (text, "Host", "%s", conn->client->address);
  if (conn->client->token != NULL)
    http_put_field (text, "Authorization", "Bearer %s", conn->client->token);
  if (request->body.n > 0)
    {
      http_put_field (text, "Content-Type", "%s", request->type);
      http_put_field (text, "Content-Length", "%" G_GSIZE_FORMAT,
                      request->body.n);
    }
  if (request->fields != NULL)
    g_string_append (text, request->fields);
  g_string_append (text, "\r\n");
  g_string_append_len (text, request->body.p, (gssize)request->body.n);
  tcp_conn_write (conn->tcp, text->str, text->len);
  g_string_free (text, TRUE);
}

/* Reports that a request could not be sent, from the main loop.  */
static void
fail_later (struct http_client *client, const struct err *err,
            http_client_done done, void *ctx)
{
  struct client_conn *conn = g_new0 (struct client_conn, 1);
  conn->client = client;
  conn->body = g_string_new (NULL);
  conn->done = done;
  conn->ctx = ctx;
  conn->start_error = *err;
  conn->timer = g_idle_add (on_start_error, conn);
  g_ptr_array_add (client->conns, conn);
}

/* Sends REQUEST. DONE is called once, from the main loop, unless the client is
   freed before.  */
void
http_client_send (struct http_client *client,
                  const struct http_client_request *request,
                  http_client_done done, void *ctx)
{
  struct err err = { 0 };
  struct client_conn *conn = take_idle (client);
  if (conn == NULL)
    conn = open_conn (client, &err);
  if (conn == NULL)
    {
      fail_later (client, &err, done, ctx);
      return;
    }
  conn->done = done;
  conn->ctx = ctx;
  conn->started_at = clk_now (clk_boottime ());
  conn->timeout_ms = request->timeout_ms;
  if (client->options.resets && request->timeout_ms > 0)
    conn->send_before = conn->started_at + request->timeout_ms * CLK_MS;
  if (request->timeout_ms > 0)
    conn->timer = g_timeout_add (request->timeout_ms, on_timeout, conn);
  g_string_truncate (conn->body, 0);
  send_request (conn, request);
}
