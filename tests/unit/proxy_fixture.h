/* Test fixture: a reverse proxy between clients that send raw text and scripted
   backend servers, all in one process and on one main loop, over loopback.  */
#ifndef PROXY_FIXTURE_H
#define PROXY_FIXTURE_H

#include "unit/unit.h"

#include <glib-unix.h>
#include <string.h>
#include <sys/socket.h>

#include "gate/reverse_proxy.h"
#include "http/reader.h"
#include "net/tcp_conn.h"
#include "net/tcp_listener.h"

/* Not every test program uses every function. */
#pragma GCC diagnostic ignored "-Wunused-function"

#define PROXY_TEST_SERVERS 3
#define PROXY_TEST_WAIT_MS 5000 /* such a wait normally takes a few ms */
#define PROXY_TEST_KEY "key-of-crew"
#define PROXY_TEST_RECEIVE_BUFFER_BYTES (32 * 1024) /* of a small buffer */
/* Larger than what the kernel buffers between the proxy and a client with a
   small buffer. */
#define PROXY_TEST_LONG_BYTES (7 * 1024 * 1024)

struct proxy_test_server;

/* A request as a backend server received it.  */
struct proxy_test_request
{
  char *method;
  char *target;
  GHashTable *fields; /* headers: name in lower case to value */
  GString *body;
  struct proxy_test_server *server;
  guint connection; /* number of the connection, counted by server */
  gboolean closed;  /* the proxy has closed the connection since */
};

struct proxy_test_link;
typedef void (*proxy_test_script) (struct proxy_test_link *link,
                                   struct proxy_test_request *request);

struct proxy_test_server
{
  struct tcp_listener *listener;
  proxy_test_script script;
  proxy_test_script head_script; /* called before the body has been read; NULL:
                                    none */
  GPtrArray *links;              /* of struct proxy_test_link, owned */
  guint connections;
  char address[ERR_PEER_MAX];
  char id[16];
  gboolean silent; /* ignores all received bytes */
};

/* A connection from the proxy to a backend server.  */
struct proxy_test_link
{
  struct proxy_test_server *server;
  struct tcp_conn *tcp_conn;
  struct http_reader *http_reader;
  /* The request being read; owned by proxy_test.requests. */
  struct proxy_test_request *request;
  guint number;
};

/* A client's connection.  */
struct proxy_test_client
{
  struct tcp_conn *tcp_conn;
  GString *in;
  gboolean ended;
  gboolean reset;
};

static struct
{
  struct clk clk;
  gint64 skew; /* added to the time, microseconds */
  struct counter_set counter_set;
  struct histogram_set histogram_set;
  struct topology *topology;
  struct registry *registry;
  struct scheduler *scheduler;
  struct reverse_proxy *reverse_proxy;
  struct proxy_test_server servers[PROXY_TEST_SERVERS];
  GPtrArray *requests; /* of struct proxy_test_request, owned */
  guint n_ids;
  gboolean shutdown_done;
} proxy_test;

/* Option shutdown_limit_us of proxies started from now on. */
static gint64 proxy_test_shutdown_limit_us = 8 * CLK_S;

static gint64
proxy_test_now (const struct clk *clk)
{
  (void)clk;
  return clk_now (clk_boottime ()) + proxy_test.skew;
}

static void
proxy_test_request_free (gpointer data)
{
  struct proxy_test_request *request = data;
  g_free (request->method);
  g_free (request->target);
  g_hash_table_unref (request->fields);
  g_string_free (request->body, TRUE);
  g_free (request);
}

static const char *
proxy_test_field (const struct proxy_test_request *request, const char *name)
{
  return g_hash_table_lookup (request->fields, name);
}

static gboolean
proxy_test_on_head (void *ctx, const struct http_head *head)
{
  struct proxy_test_link *link = ctx;
  struct proxy_test_request *request = g_new0 (struct proxy_test_request, 1);
  request->method = g_strdup (head->method);
  request->target = str_dup (http_head_target (head));
  request->server = link->server;
  request->connection = link->number;
  request->body = g_string_new (NULL);
  request->fields
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (guint i = 0; i < head->fields->len; i++)
    {
      struct str name = http_head_field_name (head, i);
      g_hash_table_insert (request->fields,
                           g_ascii_strdown (name.p, (gssize)name.n),
                           str_dup (http_head_field_value (head, i)));
    }
  link->request = request;
  g_ptr_array_add (proxy_test.requests, request);
  if (link->server->head_script != NULL)
    link->server->head_script (link, request);
  return TRUE;
}

static gboolean
proxy_test_on_body (void *ctx, struct str bytes)
{
  struct proxy_test_link *link = ctx;
  g_string_append_len (link->request->body, bytes.p, (gssize)bytes.n);
  return TRUE;
}

static const struct http_reader_handler proxy_test_request_reader
    = { proxy_test_on_head, proxy_test_on_body, NULL };

static void
proxy_test_link_free (gpointer data)
{
  struct proxy_test_link *link = data;
  tcp_conn_close (link->tcp_conn);
  http_reader_free (link->http_reader);
  g_free (link);
}

static void
proxy_test_link_data (void *ctx, struct str data)
{
  struct proxy_test_link *link = ctx;
  while (data.n > 0 && !link->server->silent)
    {
      struct err err = { 0 };
      gssize n = http_reader_feed (link->http_reader, data, &err);
      if (n < 0)
        {
          CU_FAIL ("the proxy has sent a malformed request");
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
      if (http_reader_in_message (link->http_reader))
        continue;
      struct proxy_test_request *request = link->request;
      http_reader_next (link->http_reader, FALSE);
      link->server->script (link, request);
      if (link->tcp_conn == NULL)
        return;
    }
}

static void
proxy_test_link_closed (void *ctx)
{
  struct proxy_test_link *link = ctx;
  if (link->request != NULL)
    link->request->closed = TRUE;
  g_ptr_array_remove_fast (link->server->links, link);
}

static void
proxy_test_link_failed (void *ctx, const struct err *err)
{
  (void)err;
  proxy_test_link_closed (ctx);
}

static const struct tcp_conn_handler proxy_test_link_handler
    = { .data = proxy_test_link_data,
        .ended = proxy_test_link_closed,
        .failed = proxy_test_link_failed };

static void
proxy_test_accepted (void *ctx, int fd, const char *peer)
{
  struct proxy_test_server *server = ctx;
  struct proxy_test_link *link = g_new0 (struct proxy_test_link, 1);
  const struct tcp_conn_options options
      = { .handler = &proxy_test_link_handler, .ctx = link };
  (void)peer;
  link->server = server;
  link->number = ++server->connections;
  link->http_reader = http_reader_new (FALSE, &proxy_test_request_reader, link);
  link->tcp_conn = tcp_conn_adopt (fd, &options);
  g_ptr_array_add (server->links, link);
}

/* Writes TEXT to the proxy, with the request id in place of "%I".  */
static void
proxy_test_write (struct proxy_test_link *link,
                  const struct proxy_test_request *request, const char *text)
{
  const char *id = proxy_test_field (request, "x-request-id");
  char **parts = g_strsplit (text, "%I", -1);
  char *filled = g_strjoinv (id ? id : "", parts);
  tcp_conn_write (link->tcp_conn, filled, strlen (filled));
  g_free (filled);
  g_strfreev (parts);
}

/* Sends a complete response to REQUEST. FIELDS are further header lines.  */
static void
proxy_test_respond (struct proxy_test_link *link,
                    const struct proxy_test_request *request,
                    const char *status, const char *fields, const char *body)
{
  char *text = g_strdup_printf ("HTTP/1.1 %s\r\nX-Request-Id: %%I\r\n%s"
                                "Content-Length: %zu\r\n\r\n%s",
                                status, fields, strlen (body), body);
  proxy_test_write (link, request, text);
  g_free (text);
}

#define PROXY_TEST_SIGNED "X-Signature: sig\r\n"

static void
proxy_test_respond_ok (struct proxy_test_link *link,
                       struct proxy_test_request *request)
{
  proxy_test_respond (link, request, "200 OK", PROXY_TEST_SIGNED, "done");
}

static void
proxy_test_never_respond (struct proxy_test_link *link,
                          struct proxy_test_request *request)
{
  (void)link;
  (void)request;
}

static void
proxy_test_reset_link (struct proxy_test_link *link,
                       struct proxy_test_request *request)
{
  (void)request;
  tcp_conn_reset (g_steal_pointer (&link->tcp_conn));
  link->request = NULL;
}

static void
proxy_test_add_route (struct routing_table *routing_table, const char *name,
                      enum routing_kind kind, gboolean resumable,
                      guint attempts, gboolean open)
{
  const struct routing_share share = { g_strdup ("pool"), 1 };
  struct routing_route route = { .name = g_strdup (name),
                                 .host = g_strdup ("a.example"),
                                 .prefix = g_strdup_printf ("/%s/", name),
                                 .kind = kind,
                                 .resumable = resumable,
                                 .is_public = open,
                                 .timeout_us = 1500 * CLK_MS,
                                 .target_us = 1000 * CLK_MS,
                                 .attempts = attempts,
                                 .priority = 2 };
  route.shares = g_array_new (FALSE, FALSE, sizeof (struct routing_share));
  g_array_append_val (route.shares, share);
  routing_table_add_route (routing_table, &route);
}

/* Creates a routing table with a route of each kind and, if KEY is not NULL, a
   team with that key.  */
static struct routing_table *
proxy_test_table (guint64 version, const char *key)
{
  struct routing_table *routing_table = routing_table_new (version);
  struct routing_service service = { .name = g_strdup ("pool") };
  const struct routing_limits limits = { .header_bytes = 2000,
                                         .body_bytes = 5000,
                                         .header_timeout_us = 300 * CLK_MS,
                                         .idle_timeout_us = 2 * CLK_S };
  routing_table_add_service (routing_table, &service);
  routing_table_set_limits (routing_table, &limits);
  proxy_test_add_route (routing_table, "again", ROUTING_IDEMPOTENT, FALSE, 2,
                        FALSE);
  proxy_test_add_route (routing_table, "once", ROUTING_ONCE, FALSE, 1, FALSE);
  proxy_test_add_route (routing_table, "once2", ROUTING_ONCE, FALSE, 2, FALSE);
  proxy_test_add_route (routing_table, "resume", ROUTING_STREAM, TRUE, 2,
                        FALSE);
  proxy_test_add_route (routing_table, "stream", ROUTING_STREAM, FALSE, 1,
                        FALSE);
  proxy_test_add_route (routing_table, "open", ROUTING_IDEMPOTENT, FALSE, 1,
                        TRUE);
  if (key != NULL)
    {
      struct routing_team team
          = { g_strdup ("crew"), ROUTING_TEAM_PRIORITY_NONE };
      const struct str keys[] = { str_of (key) };
      routing_table_add_team (routing_table, &team, keys, 1);
    }
  return routing_table;
}

static void
proxy_test_set_table (guint64 version, const char *key)
{
  struct routing_table *routing_table = proxy_test_table (version, key);
  proxy_set_table (proxy_test.reverse_proxy, routing_table);
  proxy_confirm_version (proxy_test.reverse_proxy, version,
                         proxy_test_now (NULL));
  routing_table_unref (routing_table);
}

static void
proxy_test_server_changed (void *ctx, const struct registry_change *change)
{
  (void)ctx;
  if (proxy_test.reverse_proxy != NULL)
    proxy_server_changed (proxy_test.reverse_proxy, change);
}

static void
proxy_test_on_shutdown_done (void *ctx)
{
  (void)ctx;
  proxy_test.shutdown_done = TRUE;
}

/* Puts the servers FIRST to LAST on the list of servers. Bit i of LEAVING:
   server i is leaving.  */
static void
proxy_test_list_servers (guint first, guint last, guint leaving)
{
  struct registry_entry entries[PROXY_TEST_SERVERS];
  guint n = 0;
  for (guint i = first; i <= last; i++)
    {
      struct registry_entry *entry = &entries[n++];
      memset (entry, 0, sizeof *entry);
      g_strlcpy (entry->id, proxy_test.servers[i].id, sizeof entry->id);
      g_strlcpy (entry->service, "pool", sizeof entry->service);
      g_strlcpy (entry->address, proxy_test.servers[i].address,
                 sizeof entry->address);
      g_strlcpy (entry->domain, "here", sizeof entry->domain);
      entry->slots = 8;
      entry->leaving = leaving >> i & 1;
    }
  registry_update (proxy_test.registry, entries, n, proxy_test_now (NULL));
}

static void
proxy_test_start (guint n_servers)
{
  struct err err = { 0 };
  memset (&proxy_test, 0, sizeof proxy_test);
  proxy_test.clk = (struct clk){ proxy_test_now, clk_boottime ()->wall };
  proxy_test.requests
      = g_ptr_array_new_with_free_func (proxy_test_request_free);
  proxy_test.topology = topology_new ("here", "region");
  proxy_test.registry = registry_new (proxy_test_server_changed, NULL);
  const struct scheduler_options scheduler_options = {
    .registry = proxy_test.registry, .topology = proxy_test.topology, .seed = 1
  };
  proxy_test.scheduler
      = scheduler_new (&scheduler_options, proxy_test_now (NULL));
  const struct proxy_options options
      = { .listen = "127.0.0.1:0",
          .header_names = header_names_default (),
          .clk = &proxy_test.clk,
          .counter_set = &proxy_test.counter_set,
          .histogram_set = &proxy_test.histogram_set,
          .chart = JW_SOURCE_DIR "/charts/exchange.chart",
          .registry = proxy_test.registry,
          .scheduler = proxy_test.scheduler,
          .budget = { .ratio = 0.2, .slack = 20, .window_us = 10 * CLK_S },
          .key_freshness_limit_us = 2 * CLK_S,
          .shutdown_limit_us = proxy_test_shutdown_limit_us,
          .shutdown_done = proxy_test_on_shutdown_done };
  CU_ASSERT_EQUAL_FATAL (proxy_new (&options, &proxy_test.reverse_proxy, &err),
                         0);
  for (guint i = 0; i < PROXY_TEST_SERVERS; i++)
    {
      struct proxy_test_server *server = &proxy_test.servers[i];
      server->links = g_ptr_array_new_with_free_func (proxy_test_link_free);
      server->script = proxy_test_respond_ok;
      server->listener
          = tcp_listener_new ("127.0.0.1:0", proxy_test_accepted, server, &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (server->listener);
      g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
                  tcp_listener_port (server->listener));
      g_snprintf (server->id, sizeof server->id, "s-%u", i);
    }
  if (n_servers > 0)
    proxy_test_list_servers (0, n_servers - 1, 0);
}

static void
proxy_test_stop (void)
{
  proxy_free (proxy_test.reverse_proxy);
  for (guint i = 0; i < PROXY_TEST_SERVERS; i++)
    {
      g_ptr_array_unref (proxy_test.servers[i].links);
      tcp_listener_free (proxy_test.servers[i].listener);
    }
  scheduler_free (proxy_test.scheduler);
  registry_free (proxy_test.registry);
  topology_free (proxy_test.topology);
  g_ptr_array_unref (proxy_test.requests);
}

typedef gboolean (*proxy_test_condition) (void *ctx);

static gboolean
proxy_test_on_tick (gpointer data)
{
  (void)data;
  if (proxy_test.reverse_proxy != NULL)
    proxy_poll (proxy_test.reverse_proxy);
  return G_SOURCE_CONTINUE;
}

/* Runs the main loop until CONDITION holds, for MS at most. Returns whether it
   holds.  */
static gboolean
proxy_test_wait_until (proxy_test_condition condition, void *ctx, gint64 ms)
{
  gint64 end = g_get_monotonic_time () + ms * CLK_MS;
  guint tick = g_timeout_add (10, proxy_test_on_tick, NULL);
  gboolean held = condition (ctx);
  while (!held && g_get_monotonic_time () < end)
    {
      g_main_context_iteration (NULL, TRUE);
      held = condition (ctx);
    }
  g_source_remove (tick);
  return held;
}

static gboolean
proxy_test_never (void *ctx)
{
  (void)ctx;
  return FALSE;
}

static void
proxy_test_run_for (gint64 ms)
{
  proxy_test_wait_until (proxy_test_never, NULL, ms);
}

static void
proxy_test_client_data (void *ctx, struct str data)
{
  struct proxy_test_client *client = ctx;
  g_string_append_len (client->in, data.p, (gssize)data.n);
}

static void
proxy_test_client_ended (void *ctx)
{
  ((struct proxy_test_client *)ctx)->ended = TRUE;
}

static void
proxy_test_client_failed (void *ctx, const struct err *err)
{
  struct proxy_test_client *client = ctx;
  (void)err;
  client->ended = client->reset = TRUE;
}

static gboolean
proxy_test_has_ended (void *ctx)
{
  return ((const struct proxy_test_client *)ctx)->ended;
}

static const struct tcp_conn_handler proxy_test_client_handler
    = { .data = proxy_test_client_data,
        .ended = proxy_test_client_ended,
        .failed = proxy_test_client_failed };

static struct proxy_test_client *
proxy_test_open_client_port (guint port)
{
  struct proxy_test_client *client = g_new0 (struct proxy_test_client, 1);
  struct err err = { 0 };
  char address[ERR_PEER_MAX];
  const struct tcp_conn_options options
      = { .handler = &proxy_test_client_handler, .ctx = client };
  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  client->in = g_string_new (NULL);
  client->tcp_conn = tcp_conn_connect (address, &options, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (client->tcp_conn);
  return client;
}

static struct proxy_test_client *
proxy_test_open_client (void)
{
  return proxy_test_open_client_port (proxy_port (proxy_test.reverse_proxy));
}

static void
proxy_test_close_client (struct proxy_test_client *client)
{
  tcp_conn_close (client->tcp_conn);
  g_string_free (client->in, TRUE);
  g_free (client);
}

static void
proxy_test_send_text (struct proxy_test_client *client, const char *text)
{
  tcp_conn_write (client->tcp_conn, text, strlen (text));
}

/* Sends a request with the team's key and a new request id. FIELDS are further
   header lines.  */
static void
proxy_test_send_request (struct proxy_test_client *client, const char *path,
                         const char *fields)
{
  char *text = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: a.example\r\n"
                                "X-Request-Id: r%u\r\n"
                                "Authorization: Bearer " PROXY_TEST_KEY "\r\n"
                                "%sContent-Length: 4\r\n\r\nbody",
                                path, ++proxy_test.n_ids, fields);
  proxy_test_send_text (client, text);
  g_free (text);
}

struct proxy_test_response
{
  guint status;      /* 0: no head received */
  gboolean complete; /* received to the end, by its framing */
  GString *body;
  char *retry_after; /* NULL: none */
  gboolean closes;   /* has "Connection: close" */
};

static gboolean
proxy_test_response_head (void *ctx, const struct http_head *head)
{
  struct proxy_test_response *response = ctx;
  struct str value;
  response->status = head->status;
  response->closes = http_head_lists (head, "connection", STR_LIT ("close"));
  if (http_head_get (head, "retry-after", &value))
    response->retry_after = str_dup (value);
  return TRUE;
}

static gboolean
proxy_test_response_body (void *ctx, struct str bytes)
{
  struct proxy_test_response *response = ctx;
  g_string_append_len (response->body, bytes.p, (gssize)bytes.n);
  return TRUE;
}

static void
proxy_test_response_end (void *ctx)
{
  ((struct proxy_test_response *)ctx)->complete = TRUE;
}

static void
proxy_test_response_clear (struct proxy_test_response *response)
{
  g_string_free (response->body, TRUE);
  g_free (response->retry_after);
}

/* Parses the first response in the received bytes and, if it is complete,
   removes it from them.  */
static struct proxy_test_response
proxy_test_parse_response (struct proxy_test_client *client)
{
  static const struct http_reader_handler handler
      = { proxy_test_response_head, proxy_test_response_body,
          proxy_test_response_end };
  struct proxy_test_response response = { .body = g_string_new (NULL) };
  struct err err = { 0 };
  struct http_reader *http_reader = http_reader_new (TRUE, &handler, &response);
  gssize n = http_reader_feed (
      http_reader, (struct str){ client->in->str, client->in->len }, &err);
  if (n > 0 && response.complete)
    g_string_erase (client->in, 0, n);
  http_reader_free (http_reader);
  return response;
}

static gboolean
proxy_test_has_response (void *ctx)
{
  struct proxy_test_client *client = ctx;
  gsize n = client->in->len;
  char *copy = g_memdup2 (client->in->str, n + 1);
  struct proxy_test_response response = proxy_test_parse_response (client);
  gboolean complete = response.complete;
  proxy_test_response_clear (&response);
  g_string_truncate (client->in, 0);
  g_string_append_len (client->in, copy, (gssize)n);
  g_free (copy);
  return complete || client->ended;
}

/* Waits for a complete response or the end of the connection.  */
static struct proxy_test_response
proxy_test_wait_response (struct proxy_test_client *client)
{
  CU_ASSERT_TRUE (proxy_test_wait_until (proxy_test_has_response, client,
                                         PROXY_TEST_WAIT_MS));
  return proxy_test_parse_response (client);
}

/* Sends a request on a new connection and returns the response.  */
static struct proxy_test_response
proxy_test_request_once (const char *path, const char *fields)
{
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, path, fields);
  struct proxy_test_response response = proxy_test_wait_response (client);
  proxy_test_close_client (client);
  return response;
}

static guint
proxy_test_request_status (const char *path, const char *fields)
{
  struct proxy_test_response response = proxy_test_request_once (path, fields);
  guint status = response.status;
  proxy_test_response_clear (&response);
  return status;
}

static guint
proxy_test_n_requests (void)
{
  return proxy_test.requests->len;
}

static struct proxy_test_request *
proxy_test_request_at (guint i)
{
  return g_ptr_array_index (proxy_test.requests, i);
}

static void
proxy_test_script_all (proxy_test_script script)
{
  for (guint i = 0; i < PROXY_TEST_SERVERS; i++)
    proxy_test.servers[i].script = script;
}

/* Sends a response of PROXY_TEST_LONG_BYTES.  */
static void
proxy_test_respond_long (struct proxy_test_link *link,
                         struct proxy_test_request *request)
{
  char *body = g_strnfill (PROXY_TEST_LONG_BYTES, 'x');
  proxy_test_respond (link, request, "200 OK", PROXY_TEST_SIGNED, body);
  g_free (body);
}

/* Returns a blocking socket that is connected to the proxy. SMALL_BUFFER: the
   kernel holds few unread bytes for it.  */
static int
proxy_test_connect_socket (gboolean small_buffer)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int bytes = PROXY_TEST_RECEIVE_BUFFER_BYTES;
  const struct timeval read_timeout = { .tv_sec = 1 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  to.sin_port = htons ((guint16)proxy_port (proxy_test.reverse_proxy));
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &read_timeout, sizeof read_timeout);
  if (small_buffer)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

/* Opens a client that reads nothing until its connection is resumed.  */
static struct proxy_test_client *
proxy_test_open_stalled_client (void)
{
  struct proxy_test_client *client = g_new0 (struct proxy_test_client, 1);
  const struct tcp_conn_options options
      = { .handler = &proxy_test_client_handler, .ctx = client };
  int fd = proxy_test_connect_socket (TRUE);
  g_unix_set_fd_nonblocking (fd, TRUE, NULL);
  client->in = g_string_new (NULL);
  client->tcp_conn = tcp_conn_adopt (fd, &options);
  tcp_conn_pause (client->tcp_conn, TRUE);
  return client;
}

#endif
