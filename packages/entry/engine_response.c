/* Reads tokens and text in an engine's responses.  */
#include "entry/ingress_internal.h"
#include "base/json_text.h"

#include <string.h>

/* Whether NODE holds nothing: null, an empty string or an empty array.  */
static gboolean
is_empty (JsonNode *node)
{
  if (JSON_NODE_HOLDS_ARRAY (node))
    return json_array_get_length (json_node_get_array (node)) == 0;
  return json_node_is_null (node)
         || (JSON_NODE_HOLDS_VALUE (node)
             && json_node_get_value_type (node) == G_TYPE_STRING
             && json_node_get_string (node)[0] == '\0');
}

/* Sets TEXT to the string in NODE, which may be NULL or hold nothing. Returns
   FALSE if NODE holds something else.  */
static gboolean
read_text (JsonNode *node, const char **text)
{
  if (node == NULL || is_empty (node))
    return TRUE;
  if (!JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return FALSE;
  *text = json_node_get_string (node);
  return TRUE;
}

/* What an event of a stream holds.  */
struct content
{
  const char *text;  /* "": none */
  gboolean has_role; /* of the author of the text */
};

/* Reads text and role of DELTA. Returns FALSE if it holds anything else, such
   as a tool call.  */
static gboolean
read_delta (JsonObject *delta, struct content *content)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;
  gboolean only_text = TRUE;
  json_object_iter_init (&iter, delta);
  while (json_object_iter_next (&iter, &name, &node))
    if (strcmp (name, "role") == 0)
      content->has_role = !is_empty (node);
    else if (strcmp (name, "content") != 0 && !is_empty (node))
      only_text = FALSE;
  return read_text (json_object_get_member (delta, "content"), &content->text)
         && only_text;
}

/* Reads the contents of CHOICE. Returns NULL, or why no other engine may add to
   the text: it does not hold all of CHOICE, or it is finished.  */
static const char *
read_choice (JsonObject *choice, struct content *content)
{
  JsonNode *delta = json_object_get_member (choice, "delta");
  JsonNode *node;
  gboolean ok;
  if (delta != NULL && JSON_NODE_HOLDS_OBJECT (delta))
    ok = read_delta (json_node_get_object (delta), content);
  else
    ok = read_text (json_object_get_member (choice, "text"), &content->text);
  if (json_object_get_int_member_with_default (choice, "index", 0) != 0)
    return "several choices";
  if (!ok)
    return "not only text";
  node = json_object_get_member (choice, "finish_reason");
  return node == NULL || is_empty (node) ? NULL : "the text is finished";
}

/* Does the same for an event with the data ROOT, which may be NULL.  */
static const char *
read_event (JsonNode *root, struct content *content)
{
  JsonNode *node;
  JsonArray *choices;
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return "not a JSON object";
  node = json_object_get_member (json_node_get_object (root), "choices");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return "no choices";
  choices = json_node_get_array (node);
  if (json_array_get_length (choices) == 0)
    return NULL;
  const char *problem = NULL;
  /* All of them, so that a text in any is found. */
  for (guint i = 0; i < json_array_get_length (choices); i++)
    {
      node = json_array_get_element (choices, i);
      problem = JSON_NODE_HOLDS_OBJECT (node)
                    ? read_choice (json_node_get_object (node), content)
                    : "not a JSON object";
    }
  return json_array_get_length (choices) > 1 ? "several choices" : problem;
}

/* Whether an event with CONTENT only repeats the role that an earlier attempt
   has sent.  */
static gboolean
repeats_role (struct ingress_request *request, const struct content *content)
{
  if (!content->has_role)
    return FALSE;
  if (request->role_attempt == 0)
    request->role_attempt = request->attempt_number;
  return request->role_attempt != request->attempt_number
         && *content->text == '\0';
}

/* Reads DATA, the data of one event that is about to be sent, and adds its text
   to the text that was sent. If that text is not all that the client has then,
   the stream cannot be continued and the reason is stored. Adds to TOKENS one
   for an event with text. Returns FALSE if the event must not be sent, since
   the client has what it holds.  */
gboolean
ingress_record_event (struct ingress_request *request, struct str data,
                      guint32 *tokens)
{
  JsonParser *parser = json_parser_new_immutable ();
  struct content content = { .text = "" };
  const char *problem;
  if (!json_text_load (parser, data))
    problem = "not JSON";
  else if (g_strstr_len (data.p, (gssize)data.n, "\\u0000") != NULL)
    problem = "a NUL in the text"; /* which json-glib would end there */
  else
    problem = read_event (json_parser_get_root (parser), &content);
  if (problem == NULL && !g_utf8_validate (content.text, -1, NULL))
    problem = "not UTF-8"; /* half of a surrogate pair */
  *tokens += *content.text != '\0';
  if (request->not_resumable == NULL)
    request->not_resumable = problem;
  if (request->not_resumable == NULL)
    g_string_append (request->sent_text, content.text);
  if (request->not_resumable == NULL
      && request->sent_text->len > INGRESS_RESUME_MAX)
    request->not_resumable = "too long a text";
  gboolean repeated = problem == NULL && repeats_role (request, &content);
  g_object_unref (parser);
  return !repeated;
}

/* Sets TOKENS to usage.completion_tokens of the JSON object BODY, 0 if it has
   none. Returns FALSE if BODY is not a complete JSON object.  */
gboolean
ingress_read_completion (struct str body, guint32 *tokens)
{
  JsonParser *parser = json_parser_new_immutable ();
  gint64 n = 0;
  gboolean ok = json_text_load (parser, body)
                && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser));
  if (ok)
    {
      JsonNode *usage = json_object_get_member (
          json_node_get_object (json_parser_get_root (parser)), "usage");
      if (usage != NULL && JSON_NODE_HOLDS_OBJECT (usage))
        n = json_object_get_int_member_with_default (
            json_node_get_object (usage), "completion_tokens", 0);
    }
  g_object_unref (parser);
  *tokens = (guint32)CLAMP (n, 0, G_MAXINT32);
  return ok;
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
                          "{\"" INGRESS_RESUME_MEMBER "\":{\"tokens\":%u,"
                          "\"text\":%s},",
                          request->sent_tokens, text);
  g_string_append_len (out, brace + 1, (gssize)(body + n - brace - 1));
  g_free (text);
  return g_string_free_to_bytes (out);
}
