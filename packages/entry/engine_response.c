/* Reads tokens and text in an engine's responses.  */
#include "entry/ingress_internal.h"

#include <string.h>

static JsonObject *
first_choice (JsonNode *root)
{
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  JsonNode *node
      = json_object_get_member (json_node_get_object (root), "choices");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node)
      || json_array_get_length (json_node_get_array (node)) == 0)
    return NULL;
  node = json_array_get_element (json_node_get_array (node), 0);
  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static const char *
get_string (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static const char *
choice_text (JsonObject *choice)
{
  JsonNode *delta = json_object_get_member (choice, "delta");
  if (delta != NULL && JSON_NODE_HOLDS_OBJECT (delta))
    return get_string (json_node_get_object (delta), "content");
  return get_string (choice, "text");
}

/* Adds the text in DATA, the data of one event, to the text that was sent.
   Returns the number of tokens: one for an event with text, else 0.  */
guint32
ingress_record_event (struct ingress_request *request, struct str data)
{
  JsonParser *parser = json_parser_new_immutable ();
  guint32 tokens = 0;
  if (json_parser_load_from_data (parser, data.p, (gssize)data.n, NULL))
    {
      JsonObject *choice = first_choice (json_parser_get_root (parser));
      const char *text = choice ? choice_text (choice) : NULL;
      if (text != NULL && *text != '\0')
        {
          tokens = 1;
          if (request->sent_text->len <= INGRESS_RESUME_MAX)
            g_string_append (request->sent_text, text);
        }
    }
  g_object_unref (parser);
  return tokens;
}

/* Returns usage.completion_tokens of the JSON text BODY, 0 if it has none.  */
guint32
ingress_completion_tokens (struct str body)
{
  JsonParser *parser = json_parser_new_immutable ();
  gint64 tokens = 0;
  if (json_parser_load_from_data (parser, body.p, (gssize)body.n, NULL)
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    {
      JsonNode *usage = json_object_get_member (
          json_node_get_object (json_parser_get_root (parser)), "usage");
      if (usage != NULL && JSON_NODE_HOLDS_OBJECT (usage))
        tokens = json_object_get_int_member_with_default (
            json_node_get_object (usage), "completion_tokens", 0);
    }
  g_object_unref (parser);
  return (guint32)CLAMP (tokens, 0, G_MAXINT32);
}

static char *
json_quote (const char *text)
{
  JsonNode *node = json_node_init_string (json_node_alloc (), text);
  char *quoted = json_to_string (node, FALSE);
  json_node_unref (node);
  return quoted;
}

/* Returns the request body with a member added that holds the tokens and the
   text sent so far, from which another engine goes on. It is freed by
   g_bytes_unref. The new member stands first; the rest of the JSON object stays
   as it is, byte for byte.  */
GBytes *
ingress_resume_body (const struct ingress_request *request)
{
  gsize n;
  const char *body = g_bytes_get_data (request->body, &n);
  const char *brace = memchr (body, '{', n);
  char *text = json_quote (request->sent_text->str);
  GString *out = g_string_new (NULL);
  g_string_append_printf (out,
                          "{\"jacinthward_resume\":{\"tokens\":%u,"
                          "\"text\":%s},",
                          request->sent_tokens, text);
  g_string_append_len (out, brace + 1, (gssize)(body + n - brace - 1));
  g_free (text);
  return g_string_free_to_bytes (out);
}
