/* Members of JSON objects in one call each, for dumps and answers.  */
#ifndef JSB_H
#define JSB_H

#include <json-glib/json-glib.h>

void jsb_int (JsonBuilder *json, const char *name, gint64 value);
void jsb_double (JsonBuilder *json, const char *name, double value);
void jsb_bool (JsonBuilder *json, const char *name, gboolean value);
/* NULL is written as an empty string. */
void jsb_str (JsonBuilder *json, const char *name, const char *value);

#endif
