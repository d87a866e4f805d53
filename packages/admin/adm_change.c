/* Requests that change the configuration object.  */
#include "admin/adm_int.h"
#include "base/jsb.h"

#include "base/log.h"

/* One change between its check and its answer. */
struct adm_change
{
  struct adm *adm;            /* NULL: it was freed */
  SoupServerMessage *message; /* a reference; NULL with ADM */
};

/* Lets go of the changes in progress; their updates go on.  */
void
adm_forget_changes (struct adm *adm)
{
  for (guint i = 0; i < adm->changes->len; i++)
    {
      struct adm_change *change = adm->changes->pdata[i];
      change->adm = NULL;
      g_clear_object (&change->message);
    }
  g_ptr_array_set_size (adm->changes, 0);
}

static void
reply_version (SoupServerMessage *message, guint64 version)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  json_builder_begin_object (json);
  jsb_int (json, "version", (gint64)version);
  json_builder_end_object (json);
  adm_reply_json (message, SOUP_STATUS_OK, json);
}

static void
reply_conflict (SoupServerMessage *message,
                const struct follower_result *result)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  json_builder_begin_object (json);
  jsb_int (json, "version", (gint64)result->version);
  jsb_bool (json, "may_have_run", result->may_have_run);
  adm_add_error (json, "conflict", &result->err);
  json_builder_end_object (json);
  adm_reply_json (message, SOUP_STATUS_CONFLICT, json);
}

static void
reply_result (SoupServerMessage *message, const struct follower_result *result)
{
  switch (result->outcome)
    {
    case FOLLOWER_ACCEPTED:
      reply_version (message, result->version);
      break;
    case FOLLOWER_CONFLICT:
      reply_conflict (message, result);
      break;
    case FOLLOWER_REJECTED:
      adm_reply_error (message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                       "platform_away", &result->err);
      break;
    case FOLLOWER_UNKNOWN:
      adm_reply_error (message, SOUP_STATUS_GATEWAY_TIMEOUT, "outcome_unknown",
                       &result->err);
      break;
    }
}

static void
on_done (void *ctx, const struct follower_result *result)
{
  struct adm_change *change = ctx;
  log_event (LOG_INFO, "admin.change_end",
             "outcome %s, version %" G_GUINT64_FORMAT,
             follower_outcome_name (result->outcome), result->version);
  if (change->adm != NULL)
    {
      g_ptr_array_remove_fast (change->adm->changes, change);
      reply_result (change->message, result);
      soup_server_message_unpause (change->message);
      g_object_unref (change->message);
    }
  g_free (change);
}

static void
reply_problems (const struct adm_request *request, const GPtrArray *problems)
{
  struct err err = { 0 };
  g_autoptr (JsonBuilder) json = json_builder_new ();
  err_set (&err, ERR_INVALID, "config.check", request->adm->options.self,
           "the configuration has %u problems; nothing was changed",
           problems->len);
  json_builder_begin_object (json);
  adm_add_error (json, "invalid", &err);
  json_builder_set_member_name (json, "problems");
  json_builder_begin_array (json);
  for (guint i = 0; i < problems->len; i++)
    json_builder_add_string_value (json, problems->pdata[i]);
  json_builder_end_array (json);
  json_builder_end_object (json);
  adm_reply_json (request->message, SOUP_STATUS_UNPROCESSABLE_ENTITY, json);
}

/* Adds every problem of BODY, also one that only matters here: an object
   without an operator who may write could never be changed by this API
   again.  */
static void
check_body (GBytes *body, GPtrArray *problems)
{
  struct cluster_config *cfg = cluster_parse (body, 1, problems);
  gboolean may_write = FALSE;
  for (guint i = 0; cfg != NULL && i < cfg->n_operators; i++)
    may_write |= cfg->operators[i].may_write;
  if (cfg != NULL && !may_write)
    g_ptr_array_add (problems,
                     g_strdup ("group [operator:NAME]: nobody may write; "
                               "allowed: at least one operator with "
                               "write=yes"));
  cluster_unref (cfg);
}

static void
start_change (const struct adm_request *request, guint64 expected, GBytes *body)
{
  struct adm *adm = request->adm;
  struct adm_change *change = g_new0 (struct adm_change, 1);
  change->adm = adm;
  change->message = g_object_ref (request->message);
  g_ptr_array_add (adm->changes, change);
  soup_server_message_pause (request->message);
  int code
      = adm->options.update (adm->options.ctx, expected, body, on_done, change);
  if (code == 0)
    return;
  struct follower_result refused = { .outcome = FOLLOWER_REJECTED };
  err_set (&refused.err, code, "config.update", adm->options.self, "%s",
           err_text (code));
  on_done (change, &refused);
}

/* Checks BODY and starts its update from version EXPECTED.  */
static void
change_config (const struct adm_request *request, guint64 expected,
               GBytes *body, const char *what)
{
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  check_body (body, problems);
  log_event (LOG_INFO, "admin.change",
             "operator %s, %s, from version %" G_GUINT64_FORMAT ", %u problems",
             request->operator_name, what, expected, problems->len);
  if (problems->len > 0)
    reply_problems (request, problems);
  else
    start_change (request, expected, body);
}

/* Reads the version in If-Match. Returns FALSE if there is none.  */
static gboolean
read_if_match (SoupServerMessage *message, guint64 *version)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  const char *tag = soup_message_headers_get_one (headers, "If-Match");
  gsize n = tag ? strlen (tag) : 0;
  if (n < 3 || tag[0] != '"' || tag[n - 1] != '"')
    return FALSE;
  g_autofree char *digits = g_strndup (tag + 1, n - 2);
  return g_ascii_string_to_unsigned (digits, 10, 0, G_MAXINT64, version, NULL);
}

static GBytes *
request_body (SoupServerMessage *message)
{
  return soup_message_body_flatten (
      soup_server_message_get_request_body (message));
}

/* PUT /config  */
void
adm_put_config (const struct adm_request *request)
{
  struct err err = { 0 };
  guint64 expected;
  if (!read_if_match (request->message, &expected))
    {
      err_set (&err, ERR_INVALID, "admin.request", request->adm->options.self,
               "the header If-Match: \"VERSION\" is missing");
      adm_reply_error (request->message, 428, "version_missing", &err);
      return;
    }
  g_autoptr (GBytes) body = request_body (request->message);
  change_config (request, expected, body, "config");
}

/* Answers an edit of a version that is not the one in force here.  */
static void
reply_not_in_force (const struct adm_request *request, guint64 expected)
{
  struct follower_result result = { .outcome = FOLLOWER_CONFLICT };
  result.version = request->cfg->version;
  err_set (&result.err, ERR_CONFLICT, "admin.edit", request->adm->options.self,
           "version %" G_GUINT64_FORMAT
           " is in force here, not %" G_GUINT64_FORMAT,
           request->cfg->version, expected);
  reply_conflict (request->message, &result);
}

/* Starts the update of an EDITED text of the version in force, which a header
   If-Match must name if there is one; NULL with ERR set answers 404.  */
static void
change_edited (const struct adm_request *request, GBytes *edited,
               const char *what, struct err *err)
{
  guint64 version = request->cfg->version;
  guint64 expected = version;
  read_if_match (request->message, &expected);
  if (expected != version)
    reply_not_in_force (request, expected);
  else if (edited == NULL)
    {
      g_strlcpy (err->peer, request->adm->options.self, sizeof err->peer);
      adm_reply_error (request->message, SOUP_STATUS_NOT_FOUND, "unknown_name",
                       err);
    }
  else
    change_config (request, version, edited, what);
}

/* Returns the member "preset" of the body; g_free. NULL if there is none.  */
static char *
read_preset (SoupServerMessage *message)
{
  g_autoptr (GBytes) body = request_body (message);
  g_autoptr (JsonParser) parser = json_parser_new ();
  gsize n;
  const char *text = g_bytes_get_data (body, &n);
  if (n == 0 || !json_parser_load_from_data (parser, text, (gssize)n, NULL))
    return NULL;
  JsonNode *root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  return g_strdup (json_object_get_string_member_with_default (
      json_node_get_object (root), "preset", NULL));
}

/* PUT /preset  */
void
adm_put_preset (const struct adm_request *request)
{
  struct err err = { 0 };
  g_autofree char *preset = read_preset (request->message);
  if (preset == NULL)
    {
      err_set (&err, ERR_INVALID, "admin.request", request->adm->options.self,
               "expected {\"preset\": NAME}");
      adm_reply_error (request->message, SOUP_STATUS_BAD_REQUEST, "bad_request",
                       &err);
      return;
    }
  g_autoptr (GBytes) edited
      = cluster_with_preset (request->cfg->body, preset, &err);
  change_edited (request, edited, "preset", &err);
}

static void
put_drain (const struct adm_request *request, gboolean drain)
{
  struct err err = { 0 };
  g_autoptr (GBytes) edited
      = cluster_with_drain (request->cfg->body, request->name, drain, &err);
  change_edited (request, edited, drain ? "drain" : "undrain", &err);
}

/* PUT /backends/NAME/drain  */
void
adm_put_drain (const struct adm_request *request)
{
  put_drain (request, TRUE);
}

/* PUT /backends/NAME/undrain  */
void
adm_put_undrain (const struct adm_request *request)
{
  put_drain (request, FALSE);
}
