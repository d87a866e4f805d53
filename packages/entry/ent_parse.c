/* Reads a caller's HTTP request: who asks, for which pool and class, and what
   it is likely to cost.  */
#include "entry/ent_int.h"

#include <string.h>

#define IDEMPOTENCY_KEY_MAX 255 /* bytes */
#define MAX_TOKENS_MAX 1000000

static int
refuse (struct ent_refusal *refusal, guint status, const char *code,
        const char *text)
{
  refusal->status = status;
  refusal->code = code;
  g_strlcpy (refusal->text, text, sizeof refusal->text);
  return ERR_INVALID;
}

static const char *
header (const struct ent_call *call, const char *name)
{
  return soup_message_headers_get_one (
      soup_server_message_get_request_headers (call->message), name);
}

static int
find_team (const struct ent_call *call, const struct cluster_config *cfg,
           struct core_request_spec *request, struct ent_refusal *refusal)
{
  static const char scheme[] = "Bearer ";
  const char *value = header (call, "Authorization");
  int team = -1;
  if (value != NULL
      && g_ascii_strncasecmp (value, scheme, sizeof scheme - 1) == 0)
    team = cluster_find_team_by_key (cfg, str_of (value + sizeof scheme - 1));
  if (team < 0)
    {
      counter_add (call->ent->options.counter_set, COUNTER_UNKNOWN_KEY, 1);
      return refuse (refusal, 401, "bad_key", "no team has this key");
    }
  request->team_index = (guint)team;
  return 0;
}

static int
find_class (const struct ent_call *call, const struct cluster_config *cfg,
            struct core_request_spec *request, struct ent_refusal *refusal)
{
  const struct cluster_team *team = &cfg->teams[request->team_index];
  const char *name = header (call, "Jacinthward-Class");
  request->class_index = team->default_class;
  if (name == NULL)
    return 0;
  int i = cluster_find_class (cfg, str_of (name));
  if (i < 0 || !(team->classes >> i & 1))
    return refuse (refusal, 403, "class_not_allowed",
                   "the team may not use this class");
  request->class_index = (guint)i;
  return 0;
}

/* Digests that are the same on every instance: the key belongs to the team
   and the service, the body digest covers what is asked.  */
static void
digest (guint8 out[MSG_KEY_BYTES], const char *const *parts, GBytes *bytes)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 full[32];
  gsize n = sizeof full;
  for (guint i = 0; parts[i] != NULL; i++)
    g_checksum_update (sum, (const guchar *)parts[i],
                       (gssize)strlen (parts[i]) + 1);
  if (bytes != NULL)
    g_checksum_update (sum, g_bytes_get_data (bytes, NULL),
                       (gssize)g_bytes_get_size (bytes));
  g_checksum_get_digest (sum, full, &n);
  g_checksum_free (sum);
  memcpy (out, full, MSG_KEY_BYTES);
}

static int
read_repeatable (struct ent_call *call, const struct cluster_config *cfg,
                 struct core_request_spec *request, struct ent_refusal *refusal)
{
  const struct cluster_pool *pool = &cfg->pools[request->pool];
  const char *value = header (call, "Jacinthward-Repeatable");
  const char *key = header (call, "Idempotency-Key");
  gboolean safe
      = strcmp (call->method, "GET") == 0 || strcmp (call->method, "HEAD") == 0;
  request->repeatable
      = pool->kind == CLUSTER_ENGINE || pool->any_method_repeatable || safe;
  if (value != NULL && g_ascii_strcasecmp (value, "no") == 0)
    request->repeatable = FALSE;
  else if (value != NULL && g_ascii_strcasecmp (value, "yes") == 0)
    request->repeatable = TRUE;
  else if (value != NULL)
    return refuse (refusal, 400, "bad_request",
                   "Jacinthward-Repeatable: yes or no expected");
  if (request->repeatable || key == NULL)
    return 0;
  if (*key == '\0' || strlen (key) > IDEMPOTENCY_KEY_MAX)
    return refuse (refusal, 400, "bad_request",
                   "Idempotency-Key: 1 to 255 bytes expected");
  if (call->streamed)
    return refuse (refusal, 400, "bad_request",
                   "Idempotency-Key: not with a streamed answer");
  const char *const owner[]
      = { cfg->teams[request->team_index].name.s, pool->name.s, key, NULL };
  const char *const asked[] = { call->method, call->path, NULL };
  request->keyed = TRUE;
  call->idempotency_key = g_strdup (key);
  digest (request->key, owner, NULL);
  digest (request->body_digest, asked, call->body);
  return 0;
}

/* The prompt's beginning decides which servers may have it cached.  */
static guint64
prefix_hash (const char *prompt, const char *model)
{
  gsize n = strnlen (prompt, ENT_PREFIX_BYTES);
  return str_hash ((struct str){ prompt, n }, str_hash (str_of (model), 0));
}

/* Returns the prompt: the text of "prompt", or of the first message and the
   total length of all, estimated from the body.  */
static const char *
first_text (JsonObject *object, gboolean chat)
{
  if (!chat)
    {
      JsonNode *prompt = json_object_get_member (object, "prompt");
      if (prompt == NULL || !JSON_NODE_HOLDS_VALUE (prompt))
        return NULL;
      return json_node_get_string (prompt);
    }
  JsonNode *node = json_object_get_member (object, "messages");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  JsonArray *messages = json_node_get_array (node);
  if (json_array_get_length (messages) == 0)
    return NULL;
  JsonNode *first = json_array_get_element (messages, 0);
  if (!JSON_NODE_HOLDS_OBJECT (first))
    return NULL;
  JsonNode *content
      = json_object_get_member (json_node_get_object (first), "content");
  if (content == NULL)
    return NULL;
  return JSON_NODE_HOLDS_VALUE (content) ? json_node_get_string (content) : "";
}

static gboolean
read_int (JsonObject *object, const char *name, gint64 *value)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || json_node_is_null (node))
    return TRUE;
  if (!JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_INT64)
    return FALSE;
  *value = json_node_get_int (node);
  return *value >= 1 && *value <= MAX_TOKENS_MAX;
}

static int
read_body (struct ent_call *call, const struct cluster_config *cfg,
           JsonObject *object, gboolean chat, struct core_request_spec *request,
           struct ent_refusal *refusal)
{
  JsonNode *model = json_object_get_member (object, "model");
  JsonNode *stream = json_object_get_member (object, "stream");
  gint64 max_tokens = 0;
  if (model == NULL || !JSON_NODE_HOLDS_VALUE (model)
      || json_node_get_value_type (model) != G_TYPE_STRING)
    return refuse (refusal, 400, "bad_request", "model: a string expected");
  if (stream != NULL && !json_node_is_null (stream)
      && (!JSON_NODE_HOLDS_VALUE (stream)
          || json_node_get_value_type (stream) != G_TYPE_BOOLEAN))
    return refuse (refusal, 400, "bad_request",
                   "stream: true or false expected");
  if (!read_int (object, "max_tokens", &max_tokens)
      || !read_int (object, "max_completion_tokens", &max_tokens))
    return refuse (refusal, 400, "bad_request",
                   "max_tokens: a number from 1 to 1000000 expected");
  const char *text = first_text (object, chat);
  if (text == NULL)
    return refuse (refusal, 400, "bad_request",
                   chat ? "messages: a list of messages expected"
                        : "prompt: a string expected");
  const char *name = json_node_get_string (model);
  int pool = cluster_find_pool (cfg, CLUSTER_ENGINE, str_of (name));
  if (pool < 0)
    return refuse (refusal, 404, "unknown_model", "no such model");
  request->pool = (guint)pool;
  call->streamed = stream != NULL && !json_node_is_null (stream)
                   && json_node_get_boolean (stream);
  request->streamed = call->streamed;
  request->max_tokens = (guint32)max_tokens;
  request->prefix = prefix_hash (text, name);
  request->prompt_tokens
      = (guint32)(g_bytes_get_size (call->body) / ENT_BYTES_PER_TOKEN);
  return 0;
}

static int
parse_model_call (struct ent_call *call, const struct cluster_config *cfg,
                  gboolean chat, struct core_request_spec *request,
                  struct ent_refusal *refusal)
{
  JsonParser *parser = json_parser_new ();
  gsize n;
  const char *text = g_bytes_get_data (call->body, &n);
  int code;
  if (strcmp (call->method, "POST") != 0)
    code = refuse (refusal, 405, "bad_request", "POST expected");
  else if (n == 0 || !g_utf8_validate (text, (gssize)n, NULL)
           || !json_parser_load_from_data (parser, text, (gssize)n, NULL)
           || !JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    code = refuse (refusal, 400, "bad_request", "the body is no JSON object");
  else
    code = read_body (call, cfg,
                      json_node_get_object (json_parser_get_root (parser)),
                      chat, request, refusal);
  g_object_unref (parser);
  return code;
}

/* Takes NAME from "/services/NAME/REST" and leaves "/REST" as the path.  */
static int
parse_service_call (struct ent_call *call, const struct cluster_config *cfg,
                    struct core_request_spec *request,
                    struct ent_refusal *refusal)
{
  const char *name = call->path + strlen ("/services/");
  gsize n = strcspn (name, "/?");
  int pool = cluster_find_pool (cfg, CLUSTER_SERVICE, (struct str){ name, n });
  if (pool < 0)
    return refuse (refusal, 404, "unknown_service", "no such service");
  char *rest = name[n] == '/' ? g_strdup (name + n)
                              : g_strconcat ("/", name + n, NULL);
  g_free (call->path);
  call->path = rest;
  request->pool = (guint)pool;
  char *uri = g_strconcat ("http://127.0.0.1", call->path, NULL);
  gboolean valid = g_uri_is_valid (uri, SOUP_HTTP_URI_FLAGS, NULL);
  g_free (uri);
  if (!valid)
    return refuse (refusal, 400, "bad_request", "the path is no valid URI");
  return 0;
}

/* Fills REQUEST from CALL's HTTP request. Returns 0, or < 0 with REFUSAL
   set.  */
int
ent_parse (struct ent_call *call, struct core_request_spec *request,
           struct ent_refusal *refusal)
{
  const struct cluster_config *cfg = core_config (call->ent->options.core);
  gboolean chat = g_str_has_prefix (call->path, "/v1/chat/completions");
  int code;
  if (cfg == NULL)
    return refuse (refusal, 503, "no_config", "no configuration yet");
  code = find_team (call, cfg, request, refusal);
  if (code == 0)
    code = find_class (call, cfg, request, refusal);
  if (code < 0)
    return code;
  if (chat || g_str_has_prefix (call->path, "/v1/completions"))
    {
      call->engine = TRUE;
      code = parse_model_call (call, cfg, chat, request, refusal);
    }
  else if (g_str_has_prefix (call->path, "/services/"))
    code = parse_service_call (call, cfg, request, refusal);
  else
    code = refuse (refusal, 404, "unknown_path", "no such path");
  if (code == 0)
    code = read_repeatable (call, cfg, request, refusal);
  request->bytes = g_bytes_get_size (call->body);
  call->keyed = request->keyed;
  call->repeatable = request->repeatable;
  return code;
}
