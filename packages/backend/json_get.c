#include "backend/json_get.h"

static JsonNode *
find_value (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && JSON_NODE_HOLDS_VALUE (node) ? node : NULL;
}

/* The default value is 0.  */
gint64
json_get_int (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name);
  return node != NULL ? json_node_get_int (node) : 0;
}

/* The default value is 0.  */
double
json_get_number (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name);
  return node != NULL ? json_node_get_double (node) : 0;
}

/* The default value is FALSE.  */
gboolean
json_get_bool (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name);
  return node != NULL && json_node_get_boolean (node);
}

/* The default value is NULL.  */
const char *
json_get_text (JsonObject *object, const char *name)
{
  JsonNode *node = find_value (object, name);
  return node != NULL ? json_node_get_string (node) : NULL;
}

/* The default value is NULL.  */
JsonArray *
json_get_array (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && JSON_NODE_HOLDS_ARRAY (node)
             ? json_node_get_array (node)
             : NULL;
}
