#include "standin/published.h"

#include <json-glib/json-glib.h>
#include <string.h>

static gboolean
is_own (const char *kind)
{
  return strcmp (kind, PUBLISHED_OWN_KIND) == 0;
}

/* Returns the object's name in the store, freed by the caller.  */
char *
published_store_name (const char *kind, const char *name)
{
  return is_own (kind) ? g_strdup (name)
                       : g_strdup_printf ("%s/%s", kind, name);
}

/* Objects of this product's own kind are text or bytes, all others JSON.  */
static JsonNode *
make_spec (const struct datastore_object *stored, const char *kind)
{
  gsize n;
  const char *value = g_bytes_get_data (stored->value, &n);
  char *text = g_strndup (value, n);
  JsonNode *node;
  if (!is_own (kind))
    {
      node = json_from_string (text, NULL);
      g_free (text);
      return node ? node : json_node_new (JSON_NODE_NULL);
    }
  gboolean is_text = strlen (text) == n && g_utf8_validate (text, -1, NULL);
  JsonObject *object = json_object_new ();
  char *base64 = g_base64_encode ((const guchar *)value, n);
  json_object_set_string_member (object, is_text ? "text" : "base64",
                                 is_text ? text : base64);
  node = json_node_init_object (json_node_alloc (), object);
  json_object_unref (object);
  g_free (base64);
  g_free (text);
  return node;
}

static JsonObject *
make_object (const struct datastore_object *stored, const char *kind,
             const char *name)
{
  JsonObject *object = json_object_new ();
  JsonObject *metadata = json_object_new ();
  json_object_set_string_member (metadata, "name", name);
  json_object_set_int_member (metadata, "revision", (gint64)stored->version);
  json_object_set_int_member (metadata, "created", (gint64)stored->version);
  json_object_set_array_member (metadata, "finalizers", json_array_new ());
  json_object_set_boolean_member (metadata, "deleting", FALSE);
  json_object_set_object_member (object, "metadata", metadata);
  json_object_set_member (object, "spec", make_spec (stored, kind));
  json_object_set_null_member (object, "status");
  return object;
}

static char *
object_to_text (JsonObject *object)
{
  JsonNode *node = json_node_init_object (json_node_alloc (), object);
  char *text = json_to_string (node, FALSE);
  json_node_unref (node);
  json_object_unref (object);
  return text;
}

/* Returns the object as JSON, freed by the caller.  */
char *
published_object (const struct datastore_object *stored, const char *kind,
                  const char *name)
{
  return object_to_text (make_object (stored, kind, name));
}

/* Returns whether STORED is of KIND. Sets NAME, borrowed; valid only if so.  */
static gboolean
is_of_kind (const struct datastore_object *stored, const char *kind,
            const char **name)
{
  gsize n = strlen (kind);
  if (is_own (kind))
    {
      *name = stored->name;
      return strchr (stored->name, '/') == NULL;
    }
  *name = stored->name + n + 1;
  return strncmp (stored->name, kind, n) == 0 && stored->name[n] == '/';
}

/* Returns a page with all objects of KIND, freed by the caller.  */
char *
published_list (struct datastore *store, const char *kind, guint64 last_version)
{
  GPtrArray *found = datastore_list (store, "");
  JsonObject *page = json_object_new ();
  JsonArray *items = json_array_new ();
  const char *name;
  for (guint i = 0; i < found->len; i++)
    if (is_of_kind (found->pdata[i], kind, &name))
      json_array_add_object_element (items,
                                     make_object (found->pdata[i], kind, name));
  json_object_set_array_member (page, "items", items);
  json_object_set_boolean_member (page, "has_more", FALSE);
  json_object_set_int_member (page, "at", (gint64)last_version);
  g_ptr_array_unref (found);
  return object_to_text (page);
}

/* Returns a page of events, freed by the caller, with the objects of KIND that
   are newer than AFTER_VERSION; NULL if there are none.  */
char *
published_events (struct datastore *store, const char *kind,
                  guint64 after_version, guint64 last_version)
{
  GPtrArray *found = datastore_list (store, "");
  JsonArray *events = json_array_new ();
  const char *name;
  for (guint i = 0; i < found->len; i++)
    {
      const struct datastore_object *stored = found->pdata[i];
      if (!is_of_kind (stored, kind, &name) || stored->version <= after_version)
        continue;
      JsonObject *event = json_object_new ();
      json_object_set_boolean_member (event, "deleted", FALSE);
      json_object_set_object_member (event, "object",
                                     make_object (stored, kind, name));
      json_array_add_object_element (events, event);
    }
  g_ptr_array_unref (found);
  if (json_array_get_length (events) == 0)
    {
      json_array_unref (events);
      return NULL;
    }
  JsonObject *page = json_object_new ();
  json_object_set_array_member (page, "events", events);
  json_object_set_int_member (page, "at", (gint64)last_version);
  return object_to_text (page);
}

/* Returns the value in SPEC, or NULL if it is invalid.  */
static GBytes *
read_spec (const char *kind, JsonNode *spec)
{
  if (!is_own (kind))
    {
      char *text = json_to_string (spec, FALSE);
      return g_bytes_new_take (text, strlen (text));
    }
  if (!JSON_NODE_HOLDS_OBJECT (spec))
    return NULL;
  JsonObject *object = json_node_get_object (spec);
  if (json_object_has_member (object, "text"))
    {
      const char *text = json_object_get_string_member (object, "text");
      return g_bytes_new (text, strlen (text));
    }
  if (!json_object_has_member (object, "base64"))
    return NULL;
  gsize n;
  guchar *bytes
      = g_base64_decode (json_object_get_string_member (object, "base64"), &n);
  return g_bytes_new_take (bytes, n);
}

gboolean
published_read (const char *kind, const char *body, gsize n, char **name,
                guint64 *expected, GBytes **value)
{
  JsonParser *parser = json_parser_new ();
  gboolean ok = json_parser_load_from_data (parser, body, (gssize)n, NULL);
  JsonNode *root = ok ? json_parser_get_root (parser) : NULL;
  *name = NULL;
  *expected = 0;
  *value = NULL;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      JsonObject *object = json_node_get_object (root);
      JsonObject *metadata
          = json_object_has_member (object, "metadata")
                ? json_object_get_object_member (object, "metadata")
                : NULL;
      if (metadata != NULL && json_object_has_member (metadata, "name"))
        *name = g_strdup (json_object_get_string_member (metadata, "name"));
      if (metadata != NULL && json_object_has_member (metadata, "revision"))
        *expected = (guint64)json_object_get_int_member (metadata, "revision");
      if (json_object_has_member (object, "spec"))
        *value = read_spec (kind, json_object_get_member (object, "spec"));
    }
  g_object_unref (parser);
  return *value != NULL;
}
