#include "standin/cmp.h"
#include "standin/txt.h"

#include <string.h>

/* Appends the text of a message: a string, or parts of type text.  */
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

/* Appends the messages' texts, each with a newline but the last.  */
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
quote (const char *text)
{
  JsonNode *node = json_node_init_string (json_node_alloc (), text);
  char *quoted = json_to_string (node, FALSE);
  json_node_unref (node);
  return quoted;
}

static void
set_prompt (struct cmp *cmp, struct str prompt, gint64 max_tokens)
{
  cmp->hash = txt_hash (prompt);
  cmp->prefix = txt_prefix_hash (prompt);
  cmp->prompt_tokens = txt_prompt_tokens (prompt);
  cmp->prefix_tokens = MIN (prompt.n, TXT_PREFIX_BYTES) / TXT_BYTES_PER_TOKEN;
  cmp->total = txt_length (prompt, cmp->hash);
  cmp->cut = max_tokens > 0 && max_tokens < cmp->total;
  if (cmp->cut)
    cmp->total = (guint)max_tokens;
}

/* Fills CMP from the request's body OBJECT; NUMBER makes its id. Returns FALSE
   if a member is missing.  */
gboolean
cmp_parse (struct cmp *cmp, JsonObject *object, gboolean chat, guint64 number)
{
  memset (cmp, 0, sizeof *cmp);
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
      cmp->chat = chat;
      cmp->stream = json_object_get_boolean_member_with_default (
          object, "stream", FALSE);
      cmp->model = quote (model);
      cmp->id = g_strdup_printf ("cmpl-%" G_GUINT64_FORMAT, number);
      gint64 most
          = json_object_get_int_member_with_default (object, "max_tokens", 0);
      if (most == 0)
        most = json_object_get_int_member_with_default (
            object, "max_completion_tokens", 0);
      set_prompt (cmp, (struct str){ prompt->str, prompt->len }, most);
    }
  g_string_free (prompt, TRUE);
  return ok;
}

void
cmp_clear (struct cmp *cmp)
{
  g_free (cmp->model);
  g_free (cmp->id);
}

static void
append_head (const struct cmp *cmp, const char *object, GString *out)
{
  g_string_append_printf (
      out,
      "{\"id\":\"%s\",\"object\":\"%s\",\"created\":%" G_GINT64_FORMAT
      ",\"model\":%s,\"choices\":"
      "[{\"index\":0,",
      cmp->id, object, g_get_real_time () / G_USEC_PER_SEC, cmp->model);
}

static const char *
chunk_object (const struct cmp *cmp)
{
  return cmp->chat ? "chat.completion.chunk" : "text_completion";
}

/* Appends the event of token number N, counted from 0.  */
void
cmp_chunk (const struct cmp *cmp, guint n, GString *out)
{
  char token[TXT_TOKEN_MAX];
  txt_token (cmp->hash, n, token);
  g_string_append (out, "data: ");
  append_head (cmp, chunk_object (cmp), out);
  if (cmp->chat)
    g_string_append_printf (out, "\"delta\":{%s\"content\":\"%s\"}",
                            n == 0 ? "\"role\":\"assistant\"," : "", token);
  else
    g_string_append_printf (out, "\"text\":\"%s\"", token);
  g_string_append (out, ",\"finish_reason\":null}]}\n\n");
}

static void
append_tail (const struct cmp *cmp, GString *out)
{
  g_string_append_printf (out,
                          ",\"finish_reason\":\"%s\"}],\"usage\":"
                          "{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
                          "\"total_tokens\":%u}}",
                          cmp->cut ? "length" : "stop", cmp->prompt_tokens,
                          cmp->total, cmp->prompt_tokens + cmp->total);
}

/* Appends the events that end a stream.  */
void
cmp_last_chunk (const struct cmp *cmp, GString *out)
{
  g_string_append (out, "data: ");
  append_head (cmp, chunk_object (cmp), out);
  g_string_append (out, cmp->chat ? "\"delta\":{}" : "\"text\":\"\"");
  append_tail (cmp, out);
  g_string_append (out, "\n\ndata: [DONE]\n\n");
}

/* Appends the whole answer, from token FIRST on, as one JSON object.  */
void
cmp_whole (const struct cmp *cmp, guint first, GString *out)
{
  append_head (cmp, cmp->chat ? "chat.completion" : "text_completion", out);
  g_string_append (
      out, cmp->chat ? "\"message\":{\"role\":\"assistant\",\"content\":\""
                     : "\"text\":\"");
  txt_append (out, cmp->hash, first, cmp->total);
  g_string_append (out, cmp->chat ? "\"}" : "\"");
  append_tail (cmp, out);
}
