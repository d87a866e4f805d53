/* JSON texts from outside: loading with a limit to the nesting, which the
   library has not, and finding the parts of a text without loading it, so that
   one of them that cannot be read does not spoil the others.  */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include <json-glib/json-glib.h>

#include "base/str.h"

#define JSON_TEXT_DEPTH_MAX 128 /* objects and arrays inside each other */

gboolean json_text_load (JsonParser *parser, struct str text);
JsonNode *json_text_parse_object (struct str text);
gboolean json_text_member (struct str object, const char *name,
                           struct str *value);
gboolean json_text_next_name (struct str *object, struct str *name);
gboolean json_text_next_value (struct str *object, struct str *value);
gboolean json_text_next_element (struct str *array, struct str *element);

#endif
