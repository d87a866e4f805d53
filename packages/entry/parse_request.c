/* Parses a client's HTTP request: its team, its class, its pool of backend
   servers and its estimated cost.  */
#include "entry/ingress_internal.h"
#include "base/json_text.h"

#include <string.h>

#define IDEMPOTENCY_KEY_MAX 255 /* bytes */
#define MAX_TOKENS_LIMIT 1000000

static int
reject (struct ingress_rejection *rejection, guint status, const char *code,
        const char *text)
{
  rejection->status = status;
  rejection->code = code;
  g_strlcpy (rejection->text, text, sizeof rejection->text);
  return ERR_INVALID;
}

static const char *
header (const struct ingress_request *request, const char *name)
{
  return soup_message_headers_get_one (
      soup_server_message_get_request_headers (request->message), name);
}

static int
find_team (const struct ingress_request *request,
           const struct cluster_config *cfg, struct core_request_spec *spec,
           struct ingress_rejection *rejection)
{
  static const char scheme[] = "Bearer ";
  const char *value = header (request, "Authorization");
  int team = -1;
  if (value != NULL
      && g_ascii_strncasecmp (value, scheme, sizeof scheme - 1) == 0)
    team = cluster_find_team_by_key (cfg, str_of (value + sizeof scheme - 1));
  if (team < 0)
    {
      counter_add (request->ingress->options.counter_set, COUNTER_UNKNOWN_KEY,
                   1);
      return reject (rejection, 401, "bad_key", "no team has this key");
    }
  spec->team_index = (guint)team;
  return 0;
}

static int
find_class (const struct ingress_request *request,
            const struct cluster_config *cfg, struct core_request_spec *spec,
            struct ingress_rejection *rejection)
{
  const struct cluster_team *team = &cfg->teams[spec->team_index];
  const char *name = header (request, "Jacinthward-Class");
  spec->class_index = team->default_class;
  if (name == NULL)
    return 0;
  int i = cluster_find_class (cfg, str_of (name));
  if (i < 0 || !(team->classes >> i & 1))
    return reject (rejection, 403, "class_not_allowed",
                   "the team may not use this class");
  spec->class_index = (guint)i;
  return 0;
}

/* Computes a truncated SHA-256 digest of PARTS, which end with NULL, and BYTES,
   which may be NULL. It is the same on every instance.  */
static void
hash_parts (guint8 out[MSG_KEY_BYTES], const char *const *parts, GBytes *bytes)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 sha256[32];
  gsize n = sizeof sha256;
  for (guint i = 0; parts[i] != NULL; i++)
    g_checksum_update (sum, (const guchar *)parts[i],
                       (gssize)strlen (parts[i]) + 1);
  if (bytes != NULL)
    g_checksum_update (sum, g_bytes_get_data (bytes, NULL),
                       (gssize)g_bytes_get_size (bytes));
  g_checksum_get_digest (sum, sha256, &n);
  g_checksum_free (sum);
  memcpy (out, sha256, MSG_KEY_BYTES);
}

static int
read_repeatable (struct ingress_request *request,
                 const struct cluster_config *cfg,
                 struct core_request_spec *spec,
                 struct ingress_rejection *rejection)
{
  const struct cluster_pool *pool = &cfg->pools[spec->pool];
  const char *value = header (request, "Jacinthward-Repeatable");
  const char *key = header (request, "Idempotency-Key");
  gboolean safe = strcmp (request->method, "GET") == 0
                  || strcmp (request->method, "HEAD") == 0;
  spec->repeatable
      = pool->kind == CLUSTER_ENGINE || pool->any_method_repeatable || safe;
  if (value != NULL && g_ascii_strcasecmp (value, "no") == 0)
    spec->repeatable = FALSE;
  else if (value != NULL && g_ascii_strcasecmp (value, "yes") == 0)
    spec->repeatable = TRUE;
  else if (value != NULL)
    return reject (rejection, 400, "bad_request",
                   "Jacinthward-Repeatable: yes or no expected");
  if (spec->repeatable || key == NULL)
    return 0;
  if (*key == '\0' || strlen (key) > IDEMPOTENCY_KEY_MAX)
    return reject (rejection, 400, "bad_request",
                   "Idempotency-Key: 1 to 255 bytes expected");
  if (request->streamed)
    return reject (rejection, 400, "bad_request",
                   "Idempotency-Key: not allowed with a streamed response");
  const char *const key_parts[]
      = { cfg->teams[spec->team_index].name.s, pool->name.s, key, NULL };
  const char *const body_parts[] = { request->method, request->path, NULL };
  spec->keyed = TRUE;
  request->idempotency_key = g_strdup (key);
  hash_parts (spec->key, key_parts, NULL);
  hash_parts (spec->body_digest, body_parts, request->body);
  return 0;
}

/* Returns a hash of the model and the beginning of the prompt, by which servers
   are found that may have the prefix cached.  */
static guint64
prefix_hash (const char *prompt, const char *model)
{
  gsize n = strnlen (prompt, INGRESS_PREFIX_BYTES);
  return str_hash ((struct str){ prompt, n }, str_hash (str_of (model), 0));
}

/* Returns the text that is hashed as the prompt: "prompt", or with CHAT the
   content of the first message ("" if it is not a plain value). Returns NULL if
   there is none.  */
static const char *
prompt_text (JsonObject *object, gboolean chat)
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
  return *value >= 1 && *value <= MAX_TOKENS_LIMIT;
}

/* Whether OBJECT asks for several choices, or for a text that begins with the
   prompt. The position of a resumed stream names neither.  */
static gboolean
asks_for_other_text (JsonObject *object)
{
  return json_object_get_int_member_with_default (object, "n", 1) != 1
         || json_object_get_boolean_member_with_default (object, "echo", FALSE);
}

static int
read_body (struct ingress_request *request, const struct cluster_config *cfg,
           JsonObject *object, gboolean chat, struct core_request_spec *spec,
           struct ingress_rejection *rejection)
{
  JsonNode *model = json_object_get_member (object, "model");
  JsonNode *stream = json_object_get_member (object, "stream");
  gint64 max_tokens = 0;
  if (model == NULL || !JSON_NODE_HOLDS_VALUE (model)
      || json_node_get_value_type (model) != G_TYPE_STRING)
    return reject (rejection, 400, "bad_request", "model: a string expected");
  if (stream != NULL && !json_node_is_null (stream)
      && (!JSON_NODE_HOLDS_VALUE (stream)
          || json_node_get_value_type (stream) != G_TYPE_BOOLEAN))
    return reject (rejection, 400, "bad_request",
                   "stream: true or false expected");
  if (!read_int (object, "max_tokens", &max_tokens)
      || !read_int (object, "max_completion_tokens", &max_tokens))
    return reject (rejection, 400, "bad_request",
                   "max_tokens: a number from 1 to 1000000 expected");
  if (json_object_has_member (object, INGRESS_RESUME_MEMBER))
    return reject (rejection, 400, "bad_request",
                   INGRESS_RESUME_MEMBER ": not allowed");
  const char *text = prompt_text (object, chat);
  if (text == NULL)
    return reject (rejection, 400, "bad_request",
                   chat ? "messages: a list of messages expected"
                        : "prompt: a string expected");
  const char *name = json_node_get_string (model);
  int pool = cluster_find_pool (cfg, CLUSTER_ENGINE, str_of (name));
  if (pool < 0)
    return reject (rejection, 404, "unknown_model", "no such model");
  spec->pool = (guint)pool;
  request->streamed = stream != NULL && !json_node_is_null (stream)
                      && json_node_get_boolean (stream);
  spec->streamed = request->streamed;
  if (asks_for_other_text (object))
    request->not_resumable = "several choices or the prompt asked for";
  spec->max_tokens = (guint32)max_tokens;
  spec->prefix = prefix_hash (text, name);
  spec->prompt_tokens
      = (guint32)(g_bytes_get_size (request->body) / INGRESS_BYTES_PER_TOKEN);
  return 0;
}

static int
parse_completion (struct ingress_request *request,
                  const struct cluster_config *cfg, gboolean chat,
                  struct core_request_spec *spec,
                  struct ingress_rejection *rejection)
{
  JsonParser *parser = json_parser_new ();
  gsize n;
  const char *text = g_bytes_get_data (request->body, &n);
  int code;
  if (strcmp (request->method, "POST") != 0)
    code = reject (rejection, 405, "bad_request", "POST expected");
  else if (n == 0 || !g_utf8_validate (text, (gssize)n, NULL)
           || !json_text_load (parser, (struct str){ text, n })
           || !JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    code = reject (rejection, 400, "bad_request",
                   "the body is not a JSON object");
  else
    code = read_body (request, cfg,
                      json_node_get_object (json_parser_get_root (parser)),
                      chat, spec, rejection);
  g_object_unref (parser);
  return code;
}

/* Finds the pool NAME of the path "/services/NAME/REST" and leaves "/REST" as
   the path at the backend server.  */
static int
parse_service_request (struct ingress_request *request,
                       const struct cluster_config *cfg,
                       struct core_request_spec *spec,
                       struct ingress_rejection *rejection)
{
  const char *name = request->path + strlen ("/services/");
  gsize n = strcspn (name, "/?");
  int pool = cluster_find_pool (cfg, CLUSTER_SERVICE, (struct str){ name, n });
  if (pool < 0)
    return reject (rejection, 404, "unknown_service", "no such service");
  char *rest = name[n] == '/' ? g_strdup (name + n)
                              : g_strconcat ("/", name + n, NULL);
  g_free (request->path);
  request->path = rest;
  spec->pool = (guint)pool;
  char *uri = g_strconcat ("http://127.0.0.1", request->path, NULL);
  gboolean valid = g_uri_is_valid (uri, SOUP_HTTP_URI_FLAGS, NULL);
  g_free (uri);
  if (!valid)
    return reject (rejection, 400, "bad_request",
                   "the path is not a valid URI");
  return 0;
}

/* Fills SPEC and some fields of REQUEST from its HTTP message. Returns 0, or
   < 0 with REJECTION set.  */
int
ingress_parse_request (struct ingress_request *request,
                       struct core_request_spec *spec,
                       struct ingress_rejection *rejection)
{
  const struct cluster_config *cfg
      = core_config (request->ingress->options.core);
  gboolean chat = g_str_has_prefix (request->path, "/v1/chat/completions");
  int code;
  if (cfg == NULL)
    return reject (rejection, 503, "no_config", "no configuration yet");
  code = find_team (request, cfg, spec, rejection);
  if (code == 0)
    code = find_class (request, cfg, spec, rejection);
  if (code < 0)
    return code;
  if (chat || g_str_has_prefix (request->path, "/v1/completions"))
    {
      request->to_engine = TRUE;
      code = parse_completion (request, cfg, chat, spec, rejection);
    }
  else if (g_str_has_prefix (request->path, "/services/"))
    code = parse_service_request (request, cfg, spec, rejection);
  else
    code = reject (rejection, 404, "unknown_path", "no such path");
  if (code == 0)
    code = read_repeatable (request, cfg, spec, rejection);
  spec->bytes = g_bytes_get_size (request->body);
  request->keyed = spec->keyed;
  request->repeatable = spec->repeatable;
  return code;
}
