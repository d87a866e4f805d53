/* Functions that add a named member to a JSON object in one call.  */
#ifndef JSON_ADD_H
#define JSON_ADD_H

#include <json-glib/json-glib.h>

void json_add_int (JsonBuilder *json, const char *name, gint64 value);
void json_add_double (JsonBuilder *json, const char *name, double value);
void json_add_bool (JsonBuilder *json, const char *name, gboolean value);
/* A NULL value is written as an empty string. */
void json_add_str (JsonBuilder *json, const char *name, const char *value);

#endif
