/* Responses that the reverse proxy generates itself.  */
#include "gate/reverse_proxy_internal.h"

/* Sends LOCAL_RESPONSE to the client as a complete response with a JSON body.
   ID is the request id; NULL or "" if there is none.  */
void
local_response_send (struct downstream *downstream, const char *id,
                     const struct local_response *local_response)
{
  const struct header_names *header_names
      = downstream->reverse_proxy->header_names;
  GString *out = g_string_new (NULL);
  GString *body = g_string_new (NULL);
  g_string_append_printf (body, "{\"code\":\"%s\",\"ran\":\"%s\"",
                          local_response->code, local_response->ran);
  if (local_response->retry_after_us > 0)
    g_string_append_printf (body, ",\"retry_after_ms\":%" G_GINT64_FORMAT,
                            local_response->retry_after_us / CLK_MS);
  g_string_append (body, "}\n");
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", local_response->status,
                          http_reason_phrase (local_response->status));
  if (id != NULL && *id != '\0')
    http_put_field (out, header_names->request_id, "%s", id);
  if (local_response->retry_after_us > 0)
    http_put_field (out, "Retry-After", "%.3f",
                    (double)local_response->retry_after_us / 1e6);
  http_put_field (out, "Content-Type", "application/json");
  http_put_field (out, "Content-Length", "%" G_GSIZE_FORMAT, body->len);
  if (local_response->close || downstream->closing
      || downstream->reverse_proxy->shutdown_started != 0)
    http_put_field (out, "Connection", "close");
  g_string_append (out, "\r\n");
  g_string_append_len (out, body->str, (gssize)body->len);
  tcp_conn_write (downstream->tcp_conn, out->str, out->len);
  g_string_free (out, TRUE);
  g_string_free (body, TRUE);
}
