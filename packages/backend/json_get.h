/* Lenient access to members of received JSON objects. A member that is missing
   or of the wrong type gives the default value of the function. Text and
   arrays are borrowed from the object.  */
#ifndef JSON_GET_H
#define JSON_GET_H

#include <json-glib/json-glib.h>

gint64 json_get_int (JsonObject *object, const char *name);
double json_get_number (JsonObject *object, const char *name);
gboolean json_get_bool (JsonObject *object, const char *name);
const char *json_get_text (JsonObject *object, const char *name);
JsonArray *json_get_array (JsonObject *object, const char *name);

#endif
