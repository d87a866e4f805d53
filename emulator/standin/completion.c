#include "standin/completion.h"
#include "standin/faketext.h"

#include <string.h>

/* Appends the text of CONTENT, which is a string or an array of parts; parts
   without text are skipped.  */
static void
append_content (GString *prompt, JsonNode *content)
{
  if (content == NULL)
    return;
  if (JSON_NODE_HOLDS_VALUE (content))
    {
      const char *text = json_node_get_string (content);
      g_string_append (prompt, text != NULL ? text : "");
      return;
    }
  if (!JSON_NODE_HOLDS_ARRAY (content))
    return;
  JsonArray *parts = json_node_get_array (content);
  for (guint i = 0; i < json_array_get_length (parts); i++)
    {
      JsonNode *part = json_array_get_element (parts, i);
      if (JSON_NODE_HOLDS_OBJECT (part))
        append_content (prompt, json_object_get_member (
                                    json_node_get_object (part), "text"));
    }
}

/* Appends the contents of all messages, separated by newlines. Returns FALSE
   if there is no valid list of messages.  */
static gboolean
append_messages (GString *prompt, JsonObject *object)
{
  JsonNode *node = json_object_get_member (object, "messages");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return FALSE;
  JsonArray *messages = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (messages); i++)
    {
      JsonNode *message = json_array_get_element (messages, i);
      if (!JSON_NODE_HOLDS_OBJECT (message))
        return FALSE;
      if (i > 0)
        g_string_append_c (prompt, '\n');
      append_content (prompt, json_object_get_member (
                                  json_node_get_object (message), "content"));
    }
  return TRUE;
}

static char *
json_quote (const char *text)
{
  JsonNode *node = json_node_init_string (json_node_alloc (), text);
  char *quoted = json_to_string (node, FALSE);
  json_node_unref (node);
  return quoted;
}

static void
set_prompt (struct completion *completion, struct str prompt, gint64 max_tokens)
{
  completion->prompt_hash = faketext_hash (prompt);
  completion->prefix_hash = faketext_prefix_hash (prompt);
  completion->prompt_tokens = faketext_prompt_tokens (prompt);
  completion->prefix_tokens
      = MIN (prompt.n, FAKETEXT_PREFIX_BYTES) / FAKETEXT_BYTES_PER_TOKEN;
  completion->response_tokens
      = faketext_length (prompt, completion->prompt_hash);
  completion->truncated
      = max_tokens > 0 && max_tokens < completion->response_tokens;
  if (completion->truncated)
    completion->response_tokens = (guint)max_tokens;
}

/* Fills COMPLETION, freed by completion_clear, from the request body OBJECT;
   NUMBER goes into its id. Returns FALSE, with nothing to free, if a required
   member is missing.  */
gboolean
completion_parse (struct completion *completion, JsonObject *object,
                  gboolean chat, guint64 number)
{
  memset (completion, 0, sizeof *completion);
  GString *prompt = g_string_new (NULL);
  gboolean ok = TRUE;
  if (chat)
    ok = append_messages (prompt, object);
  else
    append_content (prompt, json_object_get_member (object, "prompt"));
  const char *model
      = json_object_get_string_member_with_default (object, "model", NULL);
  ok = ok && model != NULL;
  if (ok)
    {
      completion->chat = chat;
      completion->stream = json_object_get_boolean_member_with_default (
          object, "stream", FALSE);
      completion->model = json_quote (model);
      completion->id = g_strdup_printf ("cmpl-%" G_GUINT64_FORMAT, number);
      gint64 max_tokens
          = json_object_get_int_member_with_default (object, "max_tokens", 0);
      if (max_tokens == 0)
        max_tokens = json_object_get_int_member_with_default (
            object, "max_completion_tokens", 0);
      set_prompt (completion, (struct str){ prompt->str, prompt->len },
                  max_tokens);
    }
  g_string_free (prompt, TRUE);
  return ok;
}

void
completion_clear (struct completion *completion)
{
  g_free (completion->model);
  g_free (completion->id);
}

static void
append_head (const struct completion *completion, const char *object,
             GString *out)
{
  g_string_append_printf (
      out,
      "{\"id\":\"%s\",\"object\":\"%s\",\"created\":%" G_GINT64_FORMAT
      ",\"model\":%s,\"choices\":"
      "[{\"index\":0,",
      completion->id, object, g_get_real_time () / G_USEC_PER_SEC,
      completion->model);
}

static const char *
chunk_object (const struct completion *completion)
{
  return completion->chat ? "chat.completion.chunk" : "text_completion";
}

/* Appends the stream event of token number N, counted from 0.  */
void
completion_chunk (const struct completion *completion, guint n, GString *out)
{
  char token[FAKETEXT_TOKEN_MAX];
  faketext_token (completion->prompt_hash, n, token);
  g_string_append (out, "data: ");
  append_head (completion, chunk_object (completion), out);
  if (completion->chat)
    g_string_append_printf (out, "\"delta\":{%s\"content\":\"%s\"}",
                            n == 0 ? "\"role\":\"assistant\"," : "", token);
  else
    g_string_append_printf (out, "\"text\":\"%s\"", token);
  g_string_append (out, ",\"finish_reason\":null}]}\n\n");
}

static void
append_tail (const struct completion *completion, GString *out)
{
  g_string_append_printf (
      out,
      ",\"finish_reason\":\"%s\"}],\"usage\":"
      "{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
      "\"total_tokens\":%u}}",
      completion->truncated ? "length" : "stop", completion->prompt_tokens,
      completion->response_tokens,
      completion->prompt_tokens + completion->response_tokens);
}

/* Appends the stream events that follow the last token.  */
void
completion_last_chunk (const struct completion *completion, GString *out)
{
  g_string_append (out, "data: ");
  append_head (completion, chunk_object (completion), out);
  g_string_append (out, completion->chat ? "\"delta\":{}" : "\"text\":\"\"");
  append_tail (completion, out);
  g_string_append (out, "\n\ndata: [DONE]\n\n");
}

/* Appends the response from token FIRST_TOKEN on as one JSON object.  */
void
completion_object (const struct completion *completion, guint first_token,
                   GString *out)
{
  append_head (completion,
               completion->chat ? "chat.completion" : "text_completion", out);
  g_string_append (out,
                   completion->chat
                       ? "\"message\":{\"role\":\"assistant\",\"content\":\""
                       : "\"text\":\"");
  faketext_append (out, completion->prompt_hash, first_token,
                   completion->response_tokens);
  g_string_append (out, completion->chat ? "\"}" : "\"");
  append_tail (completion, out);
}
