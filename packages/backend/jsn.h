/* Members of JSON objects that others sent: one that is missing or of another
   type gives the neutral value. Text is borrowed from the object.  */
#ifndef JSN_H
#define JSN_H

#include <json-glib/json-glib.h>

gint64 jsn_int (JsonObject *object, const char *name);       /* 0 */
double jsn_number (JsonObject *object, const char *name);    /* 0 */
gboolean jsn_bool (JsonObject *object, const char *name);    /* FALSE */
const char *jsn_text (JsonObject *object, const char *name); /* NULL */
JsonArray *jsn_array (JsonObject *object, const char *name); /* NULL */

#endif
