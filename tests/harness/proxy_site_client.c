/* Clients of a proxy site, which keep their connections open.  */
#include "harness/proxy_site.h"

#include <string.h>

struct piece
{
  struct proxy_site_client *client;
  struct proxy_site_request *request;
  const char *text; /* static */
};

struct delayed_call
{
  struct proxy_site_client *client;
  struct proxy_site_call call;
};

static void
close_client (struct proxy_site_client *client)
{
  tcp_conn_close (g_steal_pointer (&client->tcp_conn));
  struct proxy_site_request *request;
  while ((request = g_queue_pop_head (&client->requests)) != NULL)
    {
      request->done_at = g_get_monotonic_time ();
      request->open_at = client->instance->site->polled_at;
    }
}

void
proxy_site_client_free (gpointer data)
{
  struct proxy_site_client *client = data;
  close_client (client);
  http_reader_free (client->http_reader);
  g_free (client);
}

/* Records a response in which the server says that it is leaving.  */
static void
note_leaving (const struct proxy_site_request *request,
              const struct http_head *head)
{
  struct proxy_site_instance *instance = request->instance;
  const struct server_hints_sender sender = proxy_site_sender (instance);
  struct server_hints_life life;
  if (server_hints_read (head, &life) && life.server < PROXY_SITE_SERVERS)
    server_hints_passed_on (
        scripted_server_hints (instance->site->servers[life.server]), &sender,
        &life, g_get_monotonic_time ());
}

static gboolean
on_head (void *ctx, const struct http_head *head)
{
  struct proxy_site_client *client = ctx;
  struct proxy_site_request *request = g_queue_peek_head (&client->requests);
  if (request == NULL)
    return FALSE;
  note_leaving (request, head);
  request->status = head->status;
  request->closes = http_head_lists (head, "connection", STR_LIT ("close"));
  return TRUE;
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct proxy_site_client *client = ctx;
  struct proxy_site_request *request = g_queue_peek_head (&client->requests);
  g_string_append_len (request->body, bytes.p, (gssize)bytes.n);
  return TRUE;
}

static void
on_complete (void *ctx)
{
  struct proxy_site_client *client = ctx;
  struct proxy_site_request *request = g_queue_peek_head (&client->requests);
  request->complete = TRUE;
  request->done_at = g_get_monotonic_time ();
}

static const struct http_reader_handler response_handler
    = { on_head, on_body, on_complete };

/* A response that cannot be parsed ends the connection, so that the request
   counts as one without a complete response.  */
static void
on_data (void *ctx, struct str data)
{
  struct proxy_site_client *client = ctx;
  while (data.n > 0 && client->tcp_conn != NULL)
    {
      struct err err = { 0 };
      gssize n = http_reader_feed (client->http_reader, data, &err);
      if (n < 0)
        {
          g_printerr ("malformed response: %s\n", err.text);
          close_client (client);
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
      if (http_reader_in_message (client->http_reader))
        continue;
      struct proxy_site_request *request = g_queue_pop_head (&client->requests);
      http_reader_next (client->http_reader, FALSE);
      if (request->closes && g_queue_is_empty (&client->requests))
        close_client (client);
      if (client->answered != NULL)
        client->answered (client, request);
    }
}

/* What was to be sent before the connection was open is sent now.  */
static void
on_opened (void *ctx)
{
  struct proxy_site_client *client = ctx;
  client->opened = TRUE;
  for (GList *link = client->requests.head; link != NULL; link = link->next)
    {
      struct proxy_site_request *request = link->data;
      request->last_byte_at = g_get_monotonic_time ();
    }
}

static void
on_ended (void *ctx)
{
  close_client (ctx);
}

static void
on_failed (void *ctx, const struct err *err)
{
  (void)err;
  close_client (ctx);
}

static const struct tcp_conn_handler client_handler = {
  .opened = on_opened, .data = on_data, .ended = on_ended, .failed = on_failed
};

/* Opens a connection to INSTANCE.  */
struct proxy_site_client *
proxy_site_open (struct proxy_site_instance *instance)
{
  struct proxy_site *site = instance->site;
  struct proxy_site_client *client = g_new0 (struct proxy_site_client, 1);
  struct err err = { 0 };
  const struct tcp_conn_options options
      = { .handler = &client_handler, .ctx = client };
  client->instance = instance;
  client->number = site->clients->len;
  g_queue_init (&client->requests);
  client->http_reader = http_reader_new (TRUE, &response_handler, client);
  client->tcp_conn = tcp_conn_connect (instance->address, &options, &err);
  g_ptr_array_add (site->clients, client);
  return client;
}

static void
send_piece (gpointer data)
{
  const struct piece *piece = data;
  if (piece->client->tcp_conn != NULL && piece->request->done_at == 0)
    {
      piece->request->last_byte_at = g_get_monotonic_time ();
      piece->request->sent_whole = TRUE;
      tcp_conn_write (piece->client->tcp_conn, piece->text,
                      strlen (piece->text));
    }
}

void
proxy_site_send (struct proxy_site_client *client,
                 const struct proxy_site_call *call)
{
  static const char body[] = "body";
  static const char head_end_and_body[] = "\nbody";
  struct proxy_site *site = client->instance->site;
  if (client->tcp_conn == NULL)
    return;
  struct proxy_site_request *request = g_new0 (struct proxy_site_request, 1);
  request->instance = client->instance;
  request->call = *call;
  request->body = g_string_new (NULL);
  g_snprintf (request->id, sizeof request->id, "q-%u", site->requests->len);
  g_ptr_array_add (site->requests, request);
  g_hash_table_insert (site->by_id, request->id, request);
  g_queue_push_tail (&client->requests, request);
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n",
      call->path, request->id);
  if (call->key != NULL)
    g_string_append_printf (text, "Authorization: Bearer %s\r\n", call->key);
  g_string_append_printf (text, "Content-Length: %zu\r\n\r\n", strlen (body));
  const char *rest = NULL;
  switch (call->pieces)
    {
    case PROXY_SITE_WHOLE:
      g_string_append (text, body);
      break;
    case PROXY_SITE_SPLIT_HEAD:
      g_string_truncate (text, text->len - 1);
      rest = head_end_and_body;
      break;
    case PROXY_SITE_BODY_LATER:
      rest = body;
      break;
    case PROXY_SITE_PIECES_N:
      break;
    }
  request->begun_at = request->last_byte_at = g_get_monotonic_time ();
  request->sent_whole = rest == NULL;
  tcp_conn_write (client->tcp_conn, text->str, text->len);
  g_string_free (text, TRUE);
  if (rest == NULL)
    return;
  struct piece *piece = g_new (struct piece, 1);
  *piece = (struct piece){ client, request, rest };
  proxy_site_at (site, request->begun_at + (gint64)call->piece_ms * 1000,
                 send_piece, piece, g_free);
}

static void
send_delayed (gpointer data)
{
  const struct delayed_call *delayed = data;
  proxy_site_send (delayed->client, &delayed->call);
}

void
proxy_site_send_at (struct proxy_site_client *client,
                    const struct proxy_site_call *call, gint64 at)
{
  struct delayed_call *delayed = g_new (struct delayed_call, 1);
  *delayed = (struct delayed_call){ client, *call };
  proxy_site_at (client->instance->site, at, send_delayed, delayed, g_free);
}
