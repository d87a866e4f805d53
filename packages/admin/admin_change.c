/* Requests that change the configuration.  */
#include "admin/admin_internal.h"
#include "base/json_add.h"
#include "base/log.h"
#include "base/json_text.h"

#define PRECONDITION_REQUIRED 428 /* libsoup has no constant for it */

/* An update of the configuration in progress, for which a request waits. */
struct admin_change
{
  struct admin_server *admin_server; /* NULL: the server was freed */
  SoupServerMessage *message; /* a reference; NULL if the server was freed */
};

/* Drops the requests that wait for an update. The updates themselves continue,
   and on_update_done frees each struct admin_change.  */
void
admin_abandon_changes (struct admin_server *admin_server)
{
  for (guint i = 0; i < admin_server->changes->len; i++)
    {
      struct admin_change *change = admin_server->changes->pdata[i];
      change->admin_server = NULL;
      g_clear_object (&change->message);
    }
  g_ptr_array_set_size (admin_server->changes, 0);
}

static void
respond_version (SoupServerMessage *message, guint64 version)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_int (json, "version", (gint64)version);
  json_builder_end_object (json);
  admin_respond_json (message, SOUP_STATUS_OK, json);
}

static void
respond_conflict (SoupServerMessage *message,
                  const struct follower_result *result)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_int (json, "version", (gint64)result->version);
  json_add_bool (json, "may_have_run", result->may_have_run);
  admin_add_error (json, "conflict", &result->err);
  json_builder_end_object (json);
  admin_respond_json (message, SOUP_STATUS_CONFLICT, json);
}

static void
respond_result (SoupServerMessage *message,
                const struct follower_result *result)
{
  switch (result->outcome)
    {
    case FOLLOWER_ACCEPTED:
      respond_version (message, result->version);
      break;
    case FOLLOWER_CONFLICT:
      respond_conflict (message, result);
      break;
    case FOLLOWER_REJECTED:
      admin_respond_error (message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                           "platform_away", &result->err);
      break;
    case FOLLOWER_UNKNOWN:
      admin_respond_error (message, SOUP_STATUS_GATEWAY_TIMEOUT,
                           "outcome_unknown", &result->err);
      break;
    }
}

/* Called once, when the update of CTX, a struct admin_change, has ended or
   could not be started; frees it.  */
static void
on_update_done (void *ctx, const struct follower_result *result)
{
  struct admin_change *change = ctx;
  log_event (LOG_INFO, "admin.change_end",
             "outcome %s, version %" G_GUINT64_FORMAT,
             follower_outcome_name (result->outcome), result->version);
  if (change->admin_server != NULL)
    {
      g_ptr_array_remove_fast (change->admin_server->changes, change);
      respond_result (change->message, result);
      soup_server_message_unpause (change->message);
      g_object_unref (change->message);
    }
  g_free (change);
}

static void
respond_problems (const struct admin_request *request,
                  const GPtrArray *problems)
{
  struct err err = { 0 };
  g_autoptr (JsonBuilder) json = json_builder_new ();
  err_set (
      &err, ERR_INVALID, "config.check", request->admin_server->options.self,
      "the configuration has %u problems; nothing was changed", problems->len);
  json_builder_begin_object (json);
  admin_add_error (json, "invalid", &err);
  json_builder_set_member_name (json, "problems");
  json_builder_begin_array (json);
  for (guint i = 0; i < problems->len; i++)
    json_builder_add_string_value (json, problems->pdata[i]);
  json_builder_end_array (json);
  json_builder_end_object (json);
  admin_respond_json (request->message, SOUP_STATUS_UNPROCESSABLE_ENTITY, json);
}

/* Adds all problems of the configuration BODY to PROBLEMS. In addition to what
   cluster_parse checks, it requires an operator with write access, because
   without one this API could never change the configuration again.  */
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

/* Starts the update and pauses the response until it has ended.  */
static void
start_change (const struct admin_request *request, guint64 expected,
              GBytes *body)
{
  struct admin_server *admin_server = request->admin_server;
  struct admin_change *change = g_new0 (struct admin_change, 1);
  change->admin_server = admin_server;
  change->message = g_object_ref (request->message);
  g_ptr_array_add (admin_server->changes, change);
  soup_server_message_pause (request->message);
  int code = admin_server->options.update (admin_server->options.ctx, expected,
                                           body, on_update_done, change);
  if (code == 0)
    return;
  struct follower_result rejected = { .outcome = FOLLOWER_REJECTED };
  err_set (&rejected.err, code, "config.update", admin_server->options.self,
           "%s", err_text (code));
  on_update_done (change, &rejected);
}

/* Checks BODY and starts an update from version EXPECTED to it. WHAT names the
   kind of change in the log.  */
static void
apply_config (const struct admin_request *request, guint64 expected,
              GBytes *body, const char *what)
{
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  check_body (body, problems);
  log_event (LOG_INFO, "admin.change",
             "operator %s, change %s, from version %" G_GUINT64_FORMAT
             ", %u problems",
             request->operator_name, what, expected, problems->len);
  if (problems->len > 0)
    respond_problems (request, problems);
  else
    start_change (request, expected, body);
}

/* Reads the version in the header If-Match. Returns FALSE and leaves *VERSION
   as it is if the header is missing or malformed.  */
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
admin_put_config (const struct admin_request *request)
{
  struct err err = { 0 };
  guint64 expected;
  if (!read_if_match (request->message, &expected))
    {
      err_set (&err, ERR_INVALID, "admin.request",
               request->admin_server->options.self,
               "header If-Match: \"VERSION\" is missing or malformed");
      admin_respond_error (request->message, PRECONDITION_REQUIRED,
                           "version_missing", &err);
      return;
    }
  g_autoptr (GBytes) body = request_body (request->message);
  apply_config (request, expected, body, "config");
}

/* Responds with a conflict: the edit is based on version EXPECTED, which is not
   the one in force on this instance.  */
static void
respond_not_in_force (const struct admin_request *request, guint64 expected)
{
  struct follower_result result = { .outcome = FOLLOWER_CONFLICT };
  result.version = request->cfg->version;
  err_set (&result.err, ERR_CONFLICT, "admin.edit",
           request->admin_server->options.self,
           "version %" G_GUINT64_FORMAT
           " is in force on this instance, not %" G_GUINT64_FORMAT,
           request->cfg->version, expected);
  respond_conflict (request->message, &result);
}

/* Starts an update to EDITED, an edit of the configuration in force. A header
   If-Match is optional; if present, it must name the version in force. If
   EDITED is NULL, responds with 404 and ERR.  */
static void
apply_edited (const struct admin_request *request, GBytes *edited,
              const char *what, struct err *err)
{
  guint64 version = request->cfg->version;
  guint64 expected = version;
  read_if_match (request->message, &expected);
  if (expected != version)
    respond_not_in_force (request, expected);
  else if (edited == NULL)
    {
      g_strlcpy (err->peer, request->admin_server->options.self,
                 sizeof err->peer);
      admin_respond_error (request->message, SOUP_STATUS_NOT_FOUND,
                           "unknown_name", err);
    }
  else
    apply_config (request, version, edited, what);
}

/* Returns the member "preset" of the JSON body, to be freed with g_free; NULL
   if there is none or the body is malformed.  */
static char *
read_preset (SoupServerMessage *message)
{
  g_autoptr (GBytes) body = request_body (message);
  g_autoptr (JsonParser) parser = json_parser_new ();
  gsize n;
  const char *text = g_bytes_get_data (body, &n);
  if (!json_text_load (parser, (struct str){ text, n }))
    return NULL;
  JsonNode *root = json_parser_get_root (parser);
  if (!JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  return g_strdup (json_object_get_string_member_with_default (
      json_node_get_object (root), "preset", NULL));
}

/* PUT /preset  */
void
admin_put_preset (const struct admin_request *request)
{
  struct err err = { 0 };
  g_autofree char *preset = read_preset (request->message);
  if (preset == NULL)
    {
      err_set (&err, ERR_INVALID, "admin.request",
               request->admin_server->options.self,
               "expected {\"preset\": NAME}");
      admin_respond_error (request->message, SOUP_STATUS_BAD_REQUEST,
                           "bad_request", &err);
      return;
    }
  g_autoptr (GBytes) edited
      = cluster_with_preset (request->cfg->body, preset, &err);
  apply_edited (request, edited, "preset", &err);
}

static void
put_drain (const struct admin_request *request, gboolean drain)
{
  struct err err = { 0 };
  g_autoptr (GBytes) edited
      = cluster_with_drain (request->cfg->body, request->name, drain, &err);
  apply_edited (request, edited, drain ? "drain" : "undrain", &err);
}

/* PUT /backends/NAME/drain  */
void
admin_put_drain (const struct admin_request *request)
{
  put_drain (request, TRUE);
}

/* PUT /backends/NAME/undrain  */
void
admin_put_undrain (const struct admin_request *request)
{
  put_drain (request, FALSE);
}
