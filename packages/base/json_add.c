#include "base/json_add.h"

void
json_add_int (JsonBuilder *json, const char *name, gint64 value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_int_value (json, value);
}

void
json_add_double (JsonBuilder *json, const char *name, double value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_double_value (json, value);
}

void
json_add_bool (JsonBuilder *json, const char *name, gboolean value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_boolean_value (json, value);
}

void
json_add_str (JsonBuilder *json, const char *name, const char *value)
{
  json_builder_set_member_name (json, name);
  json_builder_add_string_value (json, value ? value : "");
}
