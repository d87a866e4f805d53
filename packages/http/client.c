#include "http/client.h"

#include "http/reader.h"
#include "net/tcp_conn.h"

#include <string.h>

#define IDLE_MAX 4 /* kept connections */

struct call
{
  struct http_client *http_client; /* borrowed */
  struct tcp_conn *tcp_conn;       /* owned */
  struct http_reader *http_reader; /* owned */
  GString *body;                   /* of the answer, owned */
  http_client_done done;           /* NULL while the connection is idle */
  void *ctx;
  guint timer;       /* GLib source; 0: none */
  gboolean whole;    /* the answer is */
  struct err failed; /* why the call could not start */
};

struct http_client
{
  char *address;
  char *token; /* NULL: none */
  struct http_client_options options;
  GPtrArray *calls; /* of struct call, owned: running ones and idle ones */
};

static void
call_free (gpointer data)
{
  struct call *call = data;
  g_clear_handle_id (&call->timer, g_source_remove);
  tcp_conn_close (call->tcp_conn);
  http_reader_free (call->http_reader);
  g_string_free (call->body, TRUE);
  g_free (call);
}

/* Ends CALL with an error and drops its connection.  */
static void
fail_call (struct call *call, const struct err *err)
{
  http_client_done done = call->done;
  void *ctx = call->ctx;
  const struct err copy = *err; /* may lie in CALL */
  g_ptr_array_remove_fast (call->http_client->calls, call);
  if (done == NULL)
    return;
  const struct http_client_response answer
      = { .code = copy.code, .err = &copy };
  done (ctx, &answer);
}

static void
on_failed (void *ctx, const struct err *err)
{
  fail_call (ctx, err);
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct call *call = ctx;
  if (call->body->len + bytes.n > call->http_client->options.body_max)
    return FALSE;
  g_string_append_len (call->body, bytes.p, (gssize)bytes.n);
  return TRUE;
}

static void
on_end (void *ctx)
{
  ((struct call *)ctx)->whole = TRUE;
}

static const struct http_reader_handler reader = { NULL, on_body, on_end };

static gboolean
on_failed_start (gpointer data)
{
  struct call *call = data;
  call->timer = 0;
  fail_call (call, &call->failed);
  return G_SOURCE_REMOVE;
}

static guint
count_idle (const struct http_client *http_client)
{
  guint n = 0;
  for (guint i = 0; i < http_client->calls->len; i++)
    n += ((struct call *)g_ptr_array_index (http_client->calls, i))->done
         == NULL;
  return n;
}

/* Hands over the whole answer. The connection is kept if it may serve again.
   The callback may free the client, so nothing is touched after it.  */
static void
deliver (struct call *call, gboolean reusable)
{
  struct http_client *http_client = call->http_client;
  const struct http_head *head = http_reader_head (call->http_reader);
  http_client_done done = call->done;
  void *ctx = call->ctx;
  struct http_head copy = *head;
  GString *text = g_string_new_len (head->text->str, (gssize)head->text->len);
  GArray *fields = g_array_copy (head->fields);
  GString *body = call->body;
  call->body = g_string_new (NULL);
  copy.text = text;
  copy.fields = fields;
  call->done = NULL;
  g_clear_handle_id (&call->timer, g_source_remove);
  if (reusable && head->keep_alive && count_idle (http_client) <= IDLE_MAX)
    http_reader_next (call->http_reader, FALSE);
  else
    g_ptr_array_remove_fast (http_client->calls, call);
  const struct http_client_response answer
      = { .head = &copy, .body = { body->str, body->len } };
  done (ctx, &answer);
  g_string_free (body, TRUE);
  g_string_free (text, TRUE);
  g_array_free (fields, TRUE);
}

static void
on_data (void *ctx, struct str data)
{
  struct call *call = ctx;
  struct err err = { 0 };
  if (call->done == NULL)
    {
      err_set (&err, ERR_PROTOCOL, "http.call", call->http_client->address,
               "bytes without a request");
      fail_call (call, &err);
      return;
    }
  call->whole = FALSE;
  gssize n = http_reader_feed (call->http_reader, data, &err);
  if (n < 0)
    fail_call (call, &err);
  else if (call->whole)
    deliver (call, (gsize)n == data.n);
}

static void
on_ended (void *ctx)
{
  struct call *call = ctx;
  struct err err = { 0 };
  call->whole = FALSE;
  if (call->done != NULL && http_reader_finish (call->http_reader, &err) == 0
      && call->whole)
    {
      deliver (call, FALSE);
      return;
    }
  if (err.code == 0)
    err_set (&err, ERR_CLOSED, "http.call", call->http_client->address,
             "closed without an answer");
  fail_call (call, &err);
}

static const struct tcp_conn_handler connection
    = { .data = on_data, .ended = on_ended, .failed = on_failed };

static gboolean
on_timeout (gpointer data)
{
  struct call *call = data;
  struct err err = { 0 };
  call->timer = 0;
  err_set (&err, ERR_TIMEOUT, "http.call", call->http_client->address,
           "no whole answer in time");
  fail_call (call, &err);
  return G_SOURCE_REMOVE;
}

/* Makes a client of the server at OPTIONS->address.  */
struct http_client *
http_client_new (const struct http_client_options *options)
{
  struct http_client *http_client = g_new0 (struct http_client, 1);
  http_client->options = *options;
  http_client->address = g_strdup (options->address);
  http_client->options.address = http_client->address;
  http_client->token = g_strdup (options->token);
  http_client->calls = g_ptr_array_new_with_free_func (call_free);
  return http_client;
}

/* Drops all calls without calling their callbacks.  */
void
http_client_free (struct http_client *http_client)
{
  if (http_client == NULL)
    return;
  g_ptr_array_unref (http_client->calls);
  g_free (http_client->address);
  g_free (http_client->token);
  g_free (http_client);
}

/* Closes the connections that wait for a call, for instance because the
   server was found silent on another.  */
void
http_client_close_idle (struct http_client *http_client)
{
  for (guint i = http_client->calls->len; i-- > 0;)
    if (((struct call *)g_ptr_array_index (http_client->calls, i))->done
        == NULL)
      g_ptr_array_remove_index_fast (http_client->calls, i);
}

static struct call *
take_idle (struct http_client *http_client)
{
  for (guint i = http_client->calls->len; i-- > 0;)
    {
      struct call *call = g_ptr_array_index (http_client->calls, i);
      if (call->done != NULL)
        continue;
      if (tcp_conn_is_idle (call->tcp_conn))
        return call;
      g_ptr_array_remove_index_fast (http_client->calls, i);
    }
  return NULL;
}

static struct call *
open_call (struct http_client *http_client, struct err *err)
{
  struct call *call = g_new0 (struct call, 1);
  const struct tcp_conn_options options
      = { .handler = &connection,
          .ctx = call,
          .silence_ms = http_client->options.silence_ms,
          .connect_ms = http_client->options.connect_ms };
  call->http_client = http_client;
  call->body = g_string_new (NULL);
  call->http_reader = http_reader_new (TRUE, &reader, call);
  call->tcp_conn = tcp_conn_connect (http_client->address, &options, err);
  if (call->tcp_conn == NULL)
    {
      call_free (call);
      return NULL;
    }
  g_ptr_array_add (http_client->calls, call);
  return call;
}

static void
send_request (struct call *call, const struct http_client_request *request)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", request->method,
                          request->target);
  http_put_field (text, "Host", "%s", call->http_client->address);
  if (call->http_client->token != NULL)
    http_put_field (text, "Authorization", "Bearer %s",
                    call->http_client->token);
  if (request->body.n > 0)
    {
      http_put_field (text, "Content-Type", "%s", request->type);
      http_put_field (text, "Content-Length", "%" G_GSIZE_FORMAT,
                      request->body.n);
    }
  g_string_append (text, "\r\n");
  g_string_append_len (text, request->body.p, (gssize)request->body.n);
  tcp_conn_write (call->tcp_conn, text->str, text->len);
  g_string_free (text, TRUE);
}

/* A call that could not start, answered from the loop.  */
static void
fail_later (struct http_client *http_client, const struct err *err,
            http_client_done done, void *ctx)
{
  struct call *call = g_new0 (struct call, 1);
  call->http_client = http_client;
  call->body = g_string_new (NULL);
  call->done = done;
  call->ctx = ctx;
  call->failed = *err;
  call->timer = g_idle_add (on_failed_start, call);
  g_ptr_array_add (http_client->calls, call);
}

/* Starts a call. DONE is called once, from the loop.  */
void
http_client_send (struct http_client *http_client,
                  const struct http_client_request *request,
                  http_client_done done, void *ctx)
{
  struct err err = { 0 };
  struct call *call = take_idle (http_client);
  if (call == NULL)
    call = open_call (http_client, &err);
  if (call == NULL)
    {
      fail_later (http_client, &err, done, ctx);
      return;
    }
  call->done = done;
  call->ctx = ctx;
  if (request->timeout_ms > 0)
    call->timer = g_timeout_add (request->timeout_ms, on_timeout, call);
  g_string_truncate (call->body, 0);
  send_request (call, request);
}
