/* Error responses to clients, in the JSON format of the OpenAI API with
   additional members.  */
#include "entry/ingress_internal.h"
#include "base/json_add.h"

#include <string.h>

static const char *
error_type (guint status)
{
  if (status == 401)
    return "authentication_error";
  if (status == 403)
    return "permission_error";
  if (status == 429)
    return "rate_limit_error";
  return status < 500 ? "invalid_request_error" : "server_error";
}

static char *
error_body (const char *request_id, const struct ingress_error *error)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "error");
  json_builder_begin_object (json);
  json_add_str (json, "message", error->text);
  json_add_str (json, "type", error_type (error->status));
  json_add_str (json, "code", error->code);
  json_add_str (json, "ran", error->ran);
  json_add_int (json, "retry_after_ms", error->retry_after_us / CLK_MS);
  json_add_str (json, "request_id", request_id);
  json_add_str (json, "step", error->step);
  json_add_str (json, "peer", error->peer);
  json_builder_end_object (json);
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *body = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (json);
  return body;
}

/* Sets the complete response of MESSAGE to ERROR.  */
void
ingress_set_error (SoupServerMessage *message, const char *request_id,
                   const struct ingress_error *error)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (message);
  char *body = error_body (request_id, error);
  if (error->retry_after_us > 0)
    {
      char seconds[24];
      g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                  (error->retry_after_us + CLK_S - 1) / CLK_S);
      soup_message_headers_replace (headers, "Retry-After", seconds);
    }
  soup_message_headers_replace (headers, "Jacinthward-Request-Id", request_id);
  soup_server_message_set_status (message, error->status, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_TAKE, body, strlen (body));
}

/* Returns ERROR as the last event of a stream, freed by g_bytes_unref.  */
GBytes *
ingress_error_event (const char *request_id, const struct ingress_error *error)
{
  char *body = error_body (request_id, error);
  char *event = g_strdup_printf ("data: %s\n\n", body);
  g_free (body);
  return g_bytes_new_take (event, strlen (event));
}
