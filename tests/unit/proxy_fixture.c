#include "unit/proxy_fixture.h"

#include "harness/reserved_port.h"

struct proxy_test proxy_test;
struct suspects *proxy_test_suspects;
struct stream_versions *proxy_test_stream_versions;
gint64 (*proxy_test_peers_sure_at) (void *ctx);
gboolean (*proxy_test_choose_peer) (void *ctx, const struct proxy_peer *tried,
                                    guint n_tried, struct proxy_peer *peer);
void (*proxy_test_used) (void *ctx, const struct proxy_usage *usage);
gint64 proxy_test_shutdown_limit_us = 8 * CLK_S;
gsize proxy_test_body_limit = 5000;
const char *proxy_test_versions[PROXY_TEST_SERVERS];
gint64 proxy_test_timeout_us = 1500 * CLK_MS;

gint64
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

const char *
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
          g_error ("the proxy has sent a malformed request");
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
void
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
void
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

void
proxy_test_respond_ok (struct proxy_test_link *link,
                       struct proxy_test_request *request)
{
  proxy_test_respond (link, request, "200 OK", PROXY_TEST_SIGNED, "done");
}

void
proxy_test_never_respond (struct proxy_test_link *link,
                          struct proxy_test_request *request)
{
  (void)link;
  (void)request;
}

void
proxy_test_reset_link (struct proxy_test_link *link,
                       struct proxy_test_request *request)
{
  (void)request;
  tcp_conn_reset (g_steal_pointer (&link->tcp_conn));
  link->request = NULL;
}

void
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
                                 .timeout_us = proxy_test_timeout_us,
                                 .target_us = proxy_test_timeout_us * 2 / 3,
                                 .attempts = attempts,
                                 .priority = 2 };
  route.shares = g_array_new (FALSE, FALSE, sizeof (struct routing_share));
  g_array_append_val (route.shares, share);
  routing_table_add_route (routing_table, &route);
}

/* Creates a routing table with a route of each kind and, if KEY is not NULL, a
   team with that key.  */
struct routing_table *
proxy_test_table (guint64 version, const char *key)
{
  struct routing_table *routing_table = routing_table_new (version);
  struct routing_service service = { .name = g_strdup ("pool") };
  const struct routing_limits limits = { .header_bytes = 2000,
                                         .body_bytes = proxy_test_body_limit,
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

void
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
void
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
      if (proxy_test_versions[i] != NULL)
        g_strlcpy (entry->version, proxy_test_versions[i],
                   sizeof entry->version);
      entry->slots = 8;
      entry->leaving = leaving >> i & 1;
    }
  registry_update (proxy_test.registry, entries, n, proxy_test_now (NULL));
}

void
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
          .suspects = proxy_test_suspects,
          .versions = proxy_test_stream_versions,
          .peers_sure_at = proxy_test_peers_sure_at,
          .choose_peer = proxy_test_choose_peer,
          .used = proxy_test_used,
          .limits
          = { .budget = { .ratio = 0.2, .slack = 20, .window_us = 10 * CLK_S },
              .key_freshness_limit_us = 2 * CLK_S,
              .shutdown_limit_us = proxy_test_shutdown_limit_us },
          .shutdown_done = proxy_test_on_shutdown_done };
  g_assert_cmpint (proxy_new (&options, &proxy_test.reverse_proxy, &err), ==,
                   0);
  for (guint i = 0; i < PROXY_TEST_SERVERS; i++)
    {
      struct proxy_test_server *server = &proxy_test.servers[i];
      server->links = g_ptr_array_new_with_free_func (proxy_test_link_free);
      server->script = proxy_test_respond_ok;
      g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
                  reserved_port_open (&server->reserved_fd));
      server->listener = tcp_listener_new (server->address, proxy_test_accepted,
                                           server, &err);
      g_assert_nonnull (server->listener);
      g_snprintf (server->id, sizeof server->id, "s-%u", i);
    }
  if (n_servers > 0)
    proxy_test_list_servers (0, n_servers - 1, 0);
}

/* Resets the connections of server I, which refuses new ones from now on.  */
void
proxy_test_close_server (guint i)
{
  struct proxy_test_server *server = &proxy_test.servers[i];
  g_clear_pointer (&server->listener, tcp_listener_free);
  for (guint k = 0; k < server->links->len; k++)
    {
      struct proxy_test_link *link = g_ptr_array_index (server->links, k);
      if (link->tcp_conn != NULL)
        tcp_conn_reset (link->tcp_conn);
      link->tcp_conn = NULL;
    }
}

/* Lets server I accept connections again.  */
void
proxy_test_open_server (guint i)
{
  struct err err = { 0 };
  struct proxy_test_server *server = &proxy_test.servers[i];
  server->listener
      = tcp_listener_new (server->address, proxy_test_accepted, server, &err);
  g_assert_nonnull (server->listener);
}

void
proxy_test_stop (void)
{
  proxy_free (proxy_test.reverse_proxy);
  for (guint i = 0; i < PROXY_TEST_SERVERS; i++)
    {
      g_ptr_array_unref (proxy_test.servers[i].links);
      tcp_listener_free (proxy_test.servers[i].listener);
      close (proxy_test.servers[i].reserved_fd);
    }
  scheduler_free (proxy_test.scheduler);
  registry_free (proxy_test.registry);
  topology_free (proxy_test.topology);
  g_ptr_array_unref (proxy_test.requests);
}

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
gboolean
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

void
proxy_test_run_for (gint64 ms)
{
  proxy_test_wait_until (proxy_test_never, NULL, ms);
}
