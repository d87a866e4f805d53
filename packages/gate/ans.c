/* Answers of the gate itself.  */
#include "gate/gat_int.h"

/* Sends ANS to the caller as a whole response with a JSON body. ID is that of
   the request; NULL if there is none.  */
void
ans_send (struct gcl *gcl, const char *id, const struct ans *ans)
{
  const struct dia *dia = gcl->gat->dia;
  GString *out = g_string_new (NULL);
  GString *body = g_string_new (NULL);
  g_string_append_printf (body, "{\"code\":\"%s\",\"ran\":\"%s\"", ans->code,
                          ans->ran);
  if (ans->retry_after_us > 0)
    g_string_append_printf (body, ",\"retry_after_ms\":%" G_GINT64_FORMAT,
                            ans->retry_after_us / CLK_MS);
  g_string_append (body, "}\n");
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", ans->status,
                          http_reason_phrase (ans->status));
  if (id != NULL && *id != '\0')
    http_put_field (out, dia->request_id, "%s", id);
  if (ans->retry_after_us > 0)
    http_put_field (out, "Retry-After", "%.3f",
                    (double)ans->retry_after_us / 1e6);
  http_put_field (out, "Content-Type", "application/json");
  http_put_field (out, "Content-Length", "%" G_GSIZE_FORMAT, body->len);
  if (ans->close || gcl->ending || gcl->gat->stopping != 0)
    http_put_field (out, "Connection", "close");
  g_string_append (out, "\r\n");
  g_string_append_len (out, body->str, (gssize)body->len);
  tcp_conn_write (gcl->tcp_conn, out->str, out->len);
  g_string_free (out, TRUE);
  g_string_free (body, TRUE);
}
