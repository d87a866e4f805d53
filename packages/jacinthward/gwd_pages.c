/* What the daemon serves besides callers: readiness, metrics and a dump, and
   to its peers the configuration and the list of servers.  */
#include "jacinthward/gwd_int.h"

static gboolean
asks_for (const struct http_head *head, const char *path)
{
  return str_eq (http_head_target (head), str_of (path));
}

static void
on_ready_call (void *ctx, const struct http_head *head,
               struct http_server_response *reply)
{
  struct gwd *gwd = ctx;
  if (asks_for (head, gwd_dialect (gwd->settings)->ready_path))
    reply->status = gat_is_ready (gwd->gat) ? 200 : 503;
}

static void
put_dump (const struct gwd *gwd, GString *out)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  gat_dump (gwd->gat, json);
  json_builder_set_member_name (json, "counters");
  counter_set_dump (&gwd->counter_set, json);
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
on_metrics_call (void *ctx, const struct http_head *head,
                 struct http_server_response *reply)
{
  struct gwd *gwd = ctx;
  if (asks_for (head, "/metrics"))
    {
      *reply = (struct http_server_response){ 200, "text/plain; version=0.0.4",
                                              reply->body };
      counter_set_prometheus (&gwd->counter_set, reply->body);
      histogram_set_prometheus (&gwd->histogram_set, reply->body);
      gat_gauges (gwd->gat, reply->body);
    }
  else if (asks_for (head, "/dump"))
    {
      *reply = (struct http_server_response){ 200, "application/json",
                                              reply->body };
      put_dump (gwd, reply->body);
    }
}

static void
on_peer_call (void *ctx, const struct http_head *head,
              struct http_server_response *reply)
{
  struct gwd *gwd = ctx;
  if (asks_for (head, "/config") && gwd->config_text != NULL)
    {
      gsize n;
      const char *text = g_bytes_get_data (gwd->config_text, &n);
      reply->status = 200;
      g_string_append_len (reply->body, text, (gssize)n);
    }
  else if (asks_for (head, "/servers") && gwd->servers.entries != NULL)
    {
      GByteArray *bytes = g_byte_array_new ();
      pfl_encode (&gwd->servers, clk_now (gwd->clk), bytes);
      reply->status = 200;
      g_string_append_len (reply->body, (const char *)bytes->data,
                           (gssize)bytes->len);
      g_byte_array_unref (bytes);
    }
}

int
gwd_pages_open (struct gwd *gwd, struct err *err)
{
  const struct gst_settings *settings = gwd->settings;
  gwd->ready_pages = http_server_new (settings->ready, on_ready_call, gwd, err);
  gwd->peer_pages = http_server_new (settings->peers, on_peer_call, gwd, err);
  if (settings->metrics[0] != '\0')
    gwd->metrics_pages
        = http_server_new (settings->metrics, on_metrics_call, gwd, err);
  gboolean ok = gwd->ready_pages != NULL && gwd->peer_pages != NULL
                && (settings->metrics[0] == '\0' || gwd->metrics_pages != NULL);
  return ok ? 0 : ERR_IO;
}

void
gwd_pages_free (struct gwd *gwd)
{
  http_server_free (gwd->ready_pages);
  http_server_free (gwd->metrics_pages);
  http_server_free (gwd->peer_pages);
}
