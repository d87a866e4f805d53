/* HTTP endpoints of the daemon other than the proxy itself: readiness, metrics
   and a state dump, and for peers the configuration and the server list.  */
#include "jacinthward/proxy_daemon_internal.h"

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

static void
write_dump (const struct proxy_daemon *daemon, GString *out)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  proxy_dump (daemon->reverse_proxy, json);
  duty_keeper_dump (daemon->duty_keeper, json);
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

/* Appends the server list, or only what has changed since the list that the
   peer already has.  */
static void
write_servers (const struct proxy_daemon *daemon, struct str target,
               GString *out)
{
  GByteArray *bytes = g_byte_array_new ();
  gint64 now = clk_now (daemon->clk);
  guint64 base_digest = 0;
  gsize prefix = strlen (PROXY_DAEMON_SERVERS_SINCE_PATH);
  g_autofree char *digest
      = target.n > prefix ? g_strndup (target.p + prefix, target.n - prefix)
                          : NULL;
  gboolean has_base = digest != NULL
                      && g_ascii_string_to_unsigned (digest, 16, 0, G_MAXUINT64,
                                                     &base_digest, NULL);
  if (!has_base
      || !server_list_history_encode (daemon->server_list_history, base_digest,
                                      &daemon->server_list, now, bytes))
    server_list_encode (&daemon->server_list, now, bytes);
  g_string_append_len (out, (const char *)bytes->data, (gssize)bytes->len);
  g_byte_array_unref (bytes);
}

static gboolean
targets_servers (const struct http_head *head)
{
  struct str target = http_head_target (head);
  gsize n = strlen (PROXY_DAEMON_SERVERS_SINCE_PATH);
  return targets_path (head, PROXY_DAEMON_SERVERS_PATH)
         || (target.n > n
             && memcmp (target.p, PROXY_DAEMON_SERVERS_SINCE_PATH, n) == 0);
}

static void
append_bytes (GBytes *bytes, GString *out)
{
  gsize n;
  const char *text = g_bytes_get_data (bytes, &n);
  g_string_append_len (out, text, (gssize)n);
}

static void
on_peer_request (void *ctx, const struct http_head *head,
                 struct http_server_response *response)
{
  struct proxy_daemon *daemon = ctx;
  gboolean wants_config = targets_path (head, PROXY_DAEMON_CONFIG_PATH)
                          && daemon->config_text != NULL;
  gboolean wants_servers
      = targets_servers (head) && daemon->server_list.entries != NULL;
  g_autoptr (GBytes) versions
      = targets_path (head, PROXY_DAEMON_VERSIONS_PATH)
            ? version_table_text (stream_versions_table (
                stream_keeper_versions (daemon->stream_keeper)))
            : NULL;
  if (!wants_config && !wants_servers && versions == NULL)
    return;
  if (!transfer_budget_allows (&daemon->transfer_budget, clk_now (daemon->clk)))
    {
      response->status = 503;
      return;
    }
  response->status = 200;
  if (wants_config)
    append_bytes (daemon->config_text, response->body);
  else if (versions != NULL)
    append_bytes (versions, response->body);
  else
    write_servers (daemon, http_head_target (head), response->body);
  transfer_budget_count (&daemon->transfer_budget, response->body->len);
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
