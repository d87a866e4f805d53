#include "harness/fleet_clients.h"

#include "unit/unit.h"

#include <string.h>

static gboolean
on_head (void *ctx, const struct http_head *head)
{
  ((struct fleet_request *)ctx)->status = head->status;
  return TRUE;
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  g_string_append_len (((struct fleet_request *)ctx)->body, bytes.p,
                       (gssize)bytes.n);
  return TRUE;
}

static void
on_end (void *ctx)
{
  ((struct fleet_request *)ctx)->answered = TRUE;
}

static const struct http_reader_handler response_handler
    = { on_head, on_body, on_end };

static void
on_data (void *ctx, struct str data)
{
  struct fleet_request *request = ctx;
  struct err err = { 0 };
  CU_ASSERT_TRUE (http_reader_feed (request->http_reader, data, &err) >= 0);
}

static void
on_gone (void *ctx)
{
  struct fleet_request *request = ctx;
  g_clear_pointer (&request->tcp_conn, tcp_conn_close);
}

static void
on_failed (void *ctx, const struct err *err)
{
  (void)err;
  on_gone (ctx);
}

static const struct tcp_conn_handler connection
    = { .data = on_data, .ended = on_gone, .failed = on_failed };

static void
request_free (gpointer data)
{
  struct fleet_request *request = data;
  g_clear_pointer (&request->tcp_conn, tcp_conn_close);
  http_reader_free (request->http_reader);
  g_string_free (request->body, TRUE);
  g_free (request);
}

void
fleet_clients_init (struct fleet_clients *clients, struct proxy_fleet *fleet,
                    const char *path, guint timeout_ms, guint requests_per_s,
                    guint32 seed)
{
  *clients = (struct fleet_clients){
    .fleet = fleet,
    .path = path,
    .timeout_ms = timeout_ms,
    .requests_per_s = requests_per_s,
    .rand = g_rand_new_with_seed (seed),
    .requests = g_ptr_array_new_with_free_func (request_free),
    .by_id = g_hash_table_new (g_str_hash, g_str_equal)
  };
}

void
fleet_clients_clear (struct fleet_clients *clients)
{
  g_ptr_array_unref (clients->requests);
  g_hash_table_unref (clients->by_id);
  g_rand_free (clients->rand);
}

#define CHUNK_BYTES 10000

/* Appends BODY and the fields that frame it.  */
static void
append_body (struct str body, gboolean chunked, GString *out)
{
  if (!chunked)
    {
      g_string_append_printf (out, "Content-Length: %zu\r\n\r\n", body.n);
      g_string_append_len (out, body.p, (gssize)body.n);
      return;
    }
  g_string_append (out, "Transfer-Encoding: chunked\r\n\r\n");
  for (gsize at = 0; at < body.n; at += CHUNK_BYTES)
    {
      gsize n = MIN (CHUNK_BYTES, body.n - at);
      g_string_append_printf (out, "%zx\r\n", n);
      g_string_append_len (out, body.p + at, (gssize)n);
      g_string_append (out, "\r\n");
    }
  g_string_append (out, "0\r\n\r\n");
}

struct fleet_request *
fleet_clients_send (struct fleet_clients *clients,
                    const struct fleet_message *message)
{
  struct fleet_request *request = g_new0 (struct fleet_request, 1);
  struct err err = { 0 };
  const struct tcp_conn_options options
      = { .handler = &connection, .ctx = request };
  request->kind = message->kind;
  request->body = g_string_new (NULL);
  request->instance
      = message->instance >= 0
            ? (guint)message->instance
            : (guint)g_rand_int_range (clients->rand, 0, PROXY_FLEET_INSTANCES);
  request->sent_at = g_get_monotonic_time ();
  g_snprintf (request->id, sizeof request->id, "r-%u", clients->requests->len);
  request->http_reader = http_reader_new (TRUE, &response_handler, request);
  g_ptr_array_add (clients->requests, request);
  g_hash_table_insert (clients->by_id, request->id, request);
  request->tcp_conn = tcp_conn_connect (
      clients->fleet->instances[request->instance].address, &options, &err);
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
      "Authorization: Bearer %s\r\nX-Deadline-Ms: %u\r\n"
      "Connection: close\r\n",
      message->path, request->id, message->key, message->timeout_ms);
  if (message->prompt != NULL)
    g_string_append_printf (text, "X-Prompt-Parts: %s\r\nX-Tokens: 400,40\r\n",
                            message->prompt);
  if (message->resumes != NULL)
    g_string_append_printf (text, "X-Resumes: %s\r\nLast-Event-ID: %u\r\n",
                            message->resumes, message->last_event);
  append_body (message->body, message->chunked, text);
  if (request->tcp_conn != NULL)
    tcp_conn_write (request->tcp_conn, text->str, text->len);
  g_string_free (text, TRUE);
  return request;
}

static void
send_request (struct fleet_clients *clients)
{
  guint n = clients->requests->len;
  char *prompt = g_strdup_printf ("p%u:300,own%u:100", n % 40, n);
  const struct fleet_message message = { .path = clients->path,
                                         .key = "key-steady",
                                         .prompt = prompt,
                                         .timeout_ms = clients->timeout_ms,
                                         .instance = -1 };
  fleet_clients_send (clients, &message);
  g_free (prompt);
}

void
fleet_clients_run (struct fleet_clients *clients, guint ms)
{
  gint64 start = g_get_monotonic_time ();
  guint sent = 0;
  gint64 us;
  while ((us = g_get_monotonic_time () - start) < (gint64)ms * 1000)
    {
      for (; sent < us * clients->requests_per_s / G_USEC_PER_SEC; sent++)
        send_request (clients);
      if (!g_main_context_iteration (NULL, FALSE))
        g_usleep (200);
    }
}

struct fleet_request *
fleet_clients_find (const struct fleet_clients *clients,
                    const struct http_head *head)
{
  struct str id;
  CU_ASSERT_TRUE_FATAL (http_head_get (head, "x-request-id", &id));
  char *text = str_dup (id);
  struct fleet_request *request = g_hash_table_lookup (clients->by_id, text);
  g_free (text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (request);
  return request;
}

gboolean
fleet_request_is_served (const struct fleet_request *request)
{
  return request->status == 200 && request->answered;
}
