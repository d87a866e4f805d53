/* JSON responses.  */
#include "admin/admin_internal.h"
#include "base/json_add.h"

#include <string.h>

/* Sets the response of MESSAGE to STATUS with the value of JSON as its body. */
void
admin_respond_json (SoupServerMessage *message, guint status, JsonBuilder *json)
{
  JsonNode *root = json_builder_get_root (json);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_TAKE, text, strlen (text));
}

/* Adds the member "error" to the object that is open in JSON.  */
void
admin_add_error (JsonBuilder *json, const char *code, const struct err *err)
{
  json_builder_set_member_name (json, "error");
  json_builder_begin_object (json);
  json_add_str (json, "message", err->text);
  json_add_str (json, "code", code);
  json_add_str (json, "step", err->step);
  json_add_str (json, "peer", err->peer);
  json_builder_end_object (json);
}

/* Sets the response of MESSAGE to STATUS with the object {"error": ...} as its
   body.  */
void
admin_respond_error (SoupServerMessage *message, guint status, const char *code,
                     const struct err *err)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  json_builder_begin_object (json);
  admin_add_error (json, code, err);
  json_builder_end_object (json);
  admin_respond_json (message, status, json);
}
