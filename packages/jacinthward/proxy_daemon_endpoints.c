/* HTTP endpoints of the daemon other than the proxy itself: readiness, metrics
   and a state dump, and for peers the configuration and the server list.  */
#include "jacinthward/proxy_daemon_internal.h"

#include "base/json_add.h"

#include <string.h>

static gboolean
targets_path (const struct http_head *head, const char *path)
{
  return str_eq (http_head_target (head), str_of (path));
}

static void
on_ready_request (void *ctx, const struct http_head *head,
                  struct http_server_response *response)
{
  struct proxy_daemon *daemon = ctx;
  if (targets_path (head,
                    proxy_daemon_header_names (daemon->settings)->ready_path))
    response->status = proxy_is_ready (daemon->reverse_proxy) ? 200 : 503;
}

/* Appends the member "config" to JSON: the configuration in force, and what is
   on its way.  */
static void
dump_config (const struct proxy_daemon *daemon, JsonBuilder *json)
{
  gint64 now = clk_now (daemon->clk);
  json_builder_set_member_name (json, "config");
  json_builder_begin_object (json);
  json_add_int (json, "version",
                (gint64)proxy_config_version (daemon->reverse_proxy));
  json_add_int (json, "bytes",
                daemon->config_text != NULL
                    ? (gint64)g_bytes_get_size (daemon->config_text)
                    : 0);
  json_add_int (json, "in_force_ms",
                daemon->config_applied_at != 0
                    ? (now - daemon->config_applied_at) / CLK_MS
                    : -1);
  json_add_int (json, "arriving_version", (gint64)daemon->config_arriving);
  json_add_int (json, "earlier_bytes",
                (gint64)text_history_kept (daemon->config_history));
  json_builder_end_object (json);
}

static void
write_dump (const struct proxy_daemon *daemon, GString *out)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  proxy_dump (daemon->reverse_proxy, json);
  duty_keeper_dump (daemon->duty_keeper, json);
  dump_config (daemon, json);
  version_keeper_dump (daemon->version_keeper, json);
  stream_keeper_dump (daemon->stream_keeper, json);
  json_builder_set_member_name (json, "counters");
  counter_set_dump (&daemon->counter_set, json);
  usage_keeper_dump (daemon->usage_keeper, json);
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *text = json_to_string (root, TRUE);
  g_string_append (out, text);
  g_string_append_c (out, '\n');
  g_free (text);
  json_node_unref (root);
  g_object_unref (json);
}

static void
on_metrics_request (void *ctx, const struct http_head *head,
                    struct http_server_response *response)
{
  struct proxy_daemon *daemon = ctx;
  if (targets_path (head, "/metrics"))
    {
      *response
          = (struct http_server_response){ 200, "text/plain; version=0.0.4",
                                           response->body };
      counter_set_prometheus (&daemon->counter_set, response->body);
      histogram_set_prometheus (&daemon->histogram_set, response->body);
      proxy_gauges (daemon->reverse_proxy, response->body);
    }
  else if (targets_path (head, "/dump"))
    {
      *response = (struct http_server_response){ 200, "application/json",
                                                 response->body };
      write_dump (daemon, response->body);
    }
}

/* Returns the digest that follows PATH in the target of a request for changes;
   0 if it is not such a request.  */
static guint64
digest_after (struct str target, const char *path)
{
  gsize n = strlen (path);
  guint64 digest = 0;
  if (target.n <= n || memcmp (target.p, path, n) != 0)
    return 0;
  g_autofree char *text = g_strndup (target.p + n, target.n - n);
  g_ascii_string_to_unsigned (text, 16, 0, G_MAXUINT64, &digest, NULL);
  return digest;
}

static gboolean
targets (const struct http_head *head, const char *path, const char *since_path)
{
  gsize n = strlen (since_path);
  struct str target = http_head_target (head);
  return targets_path (head, path)
         || (target.n > n && memcmp (target.p, since_path, n) == 0);
}

/* Appends the server list, or only what has changed since the list that the
   peer already has.  */
static void
write_servers (const struct proxy_daemon *daemon, struct str target,
               GString *out)
{
  GByteArray *bytes = g_byte_array_new ();
  gint64 now = clk_now (daemon->clk);
  guint64 base_digest = digest_after (target, PROXY_DAEMON_SERVERS_SINCE_PATH);
  if (base_digest == 0
      || !server_list_history_encode (daemon->server_list_history, base_digest,
                                      &daemon->server_list, now, bytes))
    server_list_encode (&daemon->server_list, now, bytes);
  g_string_append_len (out, (const char *)bytes->data, (gssize)bytes->len);
  g_byte_array_unref (bytes);
}

static void
append_bytes (GBytes *bytes, GString *out)
{
  gsize n;
  const char *text = g_bytes_get_data (bytes, &n);
  g_string_append_len (out, text, (gssize)n);
}

/* Appends the configuration, or only what has changed since that which the peer
   already has; RESPONSE says which.  */
static void
write_config (struct proxy_daemon *daemon, struct str target,
              struct http_server_response *response)
{
  guint64 base_digest = digest_after (target, PROXY_DAEMON_CONFIG_SINCE_PATH);
  GBytes *delta = base_digest != 0
                      ? text_history_delta (daemon->config_history, base_digest)
                      : NULL;
  response->type = delta != NULL ? PROXY_DAEMON_CHANGES_TYPE : NULL;
  append_bytes (delta != NULL ? delta : daemon->config_text, response->body);
  counter_add (&daemon->counter_set,
               delta != NULL ? COUNTER_CONFIG_CHANGES_SENT
                             : COUNTER_CONFIG_WHOLE_SENT,
               response->body->len);
}

static void
on_peer_request (void *ctx, const struct http_head *head,
                 struct http_server_response *response)
{
  struct proxy_daemon *daemon = ctx;
  struct str target = http_head_target (head);
  gboolean wants_config
      = targets (head, PROXY_DAEMON_CONFIG_PATH, PROXY_DAEMON_CONFIG_SINCE_PATH)
        && daemon->config_text != NULL;
  gboolean wants_servers = targets (head, PROXY_DAEMON_SERVERS_PATH,
                                    PROXY_DAEMON_SERVERS_SINCE_PATH)
                           && daemon->server_list.entries != NULL;
  g_autoptr (GBytes) versions
      = targets_path (head, PROXY_DAEMON_VERSIONS_PATH)
            ? version_table_text (stream_versions_table (
                stream_keeper_versions (daemon->stream_keeper)))
            : NULL;
  struct transfer_budget *budget
      = wants_config ? &daemon->config_budget : &daemon->servers_budget;
  if (!wants_config && !wants_servers && versions == NULL)
    return;
  if (!transfer_budget_allows (budget, clk_now (daemon->clk)))
    {
      response->status = 503;
      return;
    }
  response->status = 200;
  if (wants_config)
    write_config (daemon, target, response);
  else if (versions != NULL)
    append_bytes (versions, response->body);
  else
    write_servers (daemon, target, response->body);
  transfer_budget_count (budget, response->body->len);
}

static struct http_server *
open_endpoints (struct proxy_daemon *daemon, const char *address,
                http_server_handler handler, struct err *err)
{
  const struct http_server_options options
      = { .address = address, .handler = handler, .ctx = daemon };
  return http_server_new (&options, err);
}

int
proxy_daemon_endpoints_open (struct proxy_daemon *daemon, struct err *err)
{
  const struct proxy_settings *settings = daemon->settings;
  daemon->ready_endpoints
      = open_endpoints (daemon, settings->listen_ready, on_ready_request, err);
  daemon->peer_endpoints
      = open_endpoints (daemon, settings->listen_peers, on_peer_request, err);
  if (settings->listen_metrics[0] != '\0')
    daemon->metrics_endpoints = open_endpoints (
        daemon, settings->listen_metrics, on_metrics_request, err);
  gboolean ok = daemon->ready_endpoints != NULL
                && daemon->peer_endpoints != NULL
                && (settings->listen_metrics[0] == '\0'
                    || daemon->metrics_endpoints != NULL);
  return ok ? 0 : ERR_IO;
}

void
proxy_daemon_endpoints_free (struct proxy_daemon *daemon)
{
  http_server_free (daemon->ready_endpoints);
  http_server_free (daemon->metrics_endpoints);
  http_server_free (daemon->peer_endpoints);
}
