#include "backend/jsn.h"

static JsonNode *
find_value (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && JSON_NODE_HOLDS_VALUE (node) ? node : NULL;
}

gint64
jsn_int (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name);
  return node != NULL ? json_node_get_int (node) : 0;
}

double
jsn_number (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name);
  return node != NULL ? json_node_get_double (node) : 0;
}

gboolean
jsn_bool (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name);
  return node != NULL && json_node_get_boolean (node);
}

const char *
jsn_text (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name);
  return node != NULL ? json_node_get_string (node) : NULL;
}

JsonArray *
jsn_array (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && JSON_NODE_HOLDS_ARRAY (node)
             ? json_node_get_array (node)
             : NULL;
}
