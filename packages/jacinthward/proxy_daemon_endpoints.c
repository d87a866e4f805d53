/* HTTP endpoints of the daemon other than the proxy itself: readiness, metrics
   and a state dump, and for peers the configuration and the server list.  */
#include "jacinthward/proxy_daemon_internal.h"

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
  json_builder_set_member_name (json, "counters");
  counter_set_dump (&daemon->counter_set, json);
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

static void
on_peer_request (void *ctx, const struct http_head *head,
                 struct http_server_response *response)
{
  struct proxy_daemon *daemon = ctx;
  if (targets_path (head, "/config") && daemon->config_text != NULL)
    {
      gsize n;
      const char *text = g_bytes_get_data (daemon->config_text, &n);
      response->status = 200;
      g_string_append_len (response->body, text, (gssize)n);
    }
  else if (targets_path (head, "/servers")
           && daemon->server_list.entries != NULL)
    {
      GByteArray *bytes = g_byte_array_new ();
      server_list_encode (&daemon->server_list, clk_now (daemon->clk), bytes);
      response->status = 200;
      g_string_append_len (response->body, (const char *)bytes->data,
                           (gssize)bytes->len);
      g_byte_array_unref (bytes);
    }
}

int
proxy_daemon_endpoints_open (struct proxy_daemon *daemon, struct err *err)
{
  const struct proxy_settings *settings = daemon->settings;
  daemon->ready_endpoints
      = http_server_new (settings->listen_ready, on_ready_request, daemon, err);
  daemon->peer_endpoints
      = http_server_new (settings->listen_peers, on_peer_request, daemon, err);
  if (settings->listen_metrics[0] != '\0')
    daemon->metrics_endpoints = http_server_new (
        settings->listen_metrics, on_metrics_request, daemon, err);
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
