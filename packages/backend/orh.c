#include "backend/orh.h"
#include "base/json_add.h"

#include "backend/bkd.h"
#include "backend/jsn.h"

#include <string.h>

#define ANSWER_MAX (64 * 1024) /* bytes */
#define PATH "/orders"
#define TOO_MANY_REQUESTS 429 /* libsoup has no name for it */

struct orh
{
  struct orh_options options;
  struct bkd *bkd;
  GHashTable *calls; /* set of struct call *, owned */
};

struct call
{
  struct orh *orh; /* borrowed */
  guint64 token;
  gboolean post;
  guint status;      /* HTTP status; 0: none yet */
  GString *body;     /* as far as it came, at most ANSWER_MAX */
  gboolean too_long; /* the rest of it was dropped */
};

static void
free_call (void *data)
{
  struct call *call = data;
  g_string_free (call->body, TRUE);
  g_free (call);
}

struct orh *
orh_new (const struct orh_options *options)
{
  struct orh *orh = g_new0 (struct orh, 1);
  orh->options = *options;
  orh->bkd = bkd_new ();
  orh->calls = g_hash_table_new_full (NULL, NULL, free_call, NULL);
  return orh;
}

void
orh_free (struct orh *orh)
{
  if (orh == NULL)
    return;
  bkd_free (orh->bkd);
  g_hash_table_unref (orh->calls);
  g_free (orh);
}

static void
on_head (void *ctx, guint status, SoupMessageHeaders *headers)
{
  (void)headers;
  ((struct call *)ctx)->status = status;
}

static void
on_data (void *ctx, struct str data)
{
  struct call *call = ctx;
  if (call->body->len + data.n > ANSWER_MAX)
    call->too_long = TRUE;
  else
    g_string_append_len (call->body, data.p, (gssize)data.n);
}

static int
code_of_result (enum msg_result result, gboolean sent)
{
  if (!sent)
    return ERR_UNAVAILABLE;
  return result == MSG_RESULT_TIMED_OUT ? ERR_TIMEOUT : ERR_IO;
}

static int
code_of_status (const struct call *call)
{
  switch (call->status)
    {
    case SOUP_STATUS_OK:
      return call->too_long ? ERR_TOO_LARGE : 0;
    case SOUP_STATUS_CONFLICT:
      return call->post ? ERR_CONFLICT : ERR_PROTOCOL;
    case TOO_MANY_REQUESTS:
      return ERR_LIMIT;
    case SOUP_STATUS_SERVICE_UNAVAILABLE:
      return ERR_UNAVAILABLE;
    default:
      return ERR_PROTOCOL;
    }
}

/* Returns the names in ARRAY, NULL-terminated, for g_free; their text is
   borrowed.  */
static const char **
get_names (JsonArray *array)
{
  guint n = array != NULL ? json_array_get_length (array) : 0;
  const char **names = g_new0 (const char *, n + 1);
  guint kept = 0;
  for (guint i = 0; i < n; i++)
    {
      JsonNode *node = json_array_get_element (array, i);
      if (json_node_get_value_type (node) == G_TYPE_STRING)
        names[kept++] = json_node_get_string (node);
    }
  return names;
}

/* Reads the members of OBJECT that are due into ANSWER.  */
static void
read_members (const struct call *call, JsonObject *object,
              struct reconciler_response *answer)
{
  answer->fence = (guint64)MAX (jsn_int (object, "fence"), 0);
  if (answer->code != 0)
    return;
  if (call->post && !jsn_bool (object, "applied"))
    answer->code = ERR_PROTOCOL;
  answer->last_id = jsn_text (object, "last_id");
  answer->role = jsn_text (object, "role");
}

static void
deliver (const struct call *call, struct reconciler_response *answer)
{
  const struct orh_options *options = &call->orh->options;
  options->answer (options->ctx, call->token, answer);
}

/* Delivers ANSWER with what the body says.  */
static void
deliver_body (const struct call *call, struct reconciler_response *answer)
{
  JsonParser *parser = json_parser_new_immutable ();
  const char **models = NULL;
  if (json_parser_load_from_data (parser, call->body->str,
                                  (gssize)call->body->len, NULL)
      && json_parser_get_root (parser) != NULL
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    {
      JsonObject *object = json_node_get_object (json_parser_get_root (parser));
      read_members (call, object, answer);
      models = get_names (jsn_array (object, "models"));
      answer->models = models;
    }
  else if (answer->code == 0)
    answer->code = ERR_PROTOCOL;
  deliver (call, answer);
  g_free (models);
  g_object_unref (parser);
}

static void
on_end (void *ctx, enum msg_result result, gboolean sent, const struct err *err)
{
  struct call *call = ctx;
  struct reconciler_response answer = { 0 };
  (void)err;
  g_hash_table_steal (call->orh->calls, call);
  if (result == MSG_RESULT_OK)
    {
      answer.code = code_of_status (call);
      deliver_body (call, &answer);
    }
  else
    {
      answer.code = code_of_result (result, sent);
      deliver (call, &answer);
    }
  free_call (call);
}

static GBytes *
encode (const struct reconciler_request *call)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_int (json, "fence", (gint64)call->fence);
  json_add_str (json, "id", call->id);
  json_add_str (json, "kind", reconciler_kind_name (call->kind));
  json_add_str (json, "name", call->name.s);
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (json);
  return g_bytes_new_take (text, strlen (text));
}

/* Starts CALL to BACKEND.  */
void
orh_start (struct orh *orh, guint64 token,
           const struct cluster_backend *backend,
           const struct reconciler_request *call)
{
  struct call *waiting = g_new0 (struct call, 1);
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  GBytes *body = call->post ? encode (call) : NULL;
  gint64 timeout_us = MIN (call->timeout_us, LEASE_ORDER_DELIVERY_MAX_US);
  waiting->orh = orh;
  waiting->token = token;
  waiting->post = call->post;
  waiting->body = g_string_new (NULL);
  g_hash_table_add (orh->calls, waiting);
  const struct bkd_options options = {
    .backend = backend,
    .method = call->post ? "POST" : "GET",
    .path = PATH,
    .headers = headers,
    .body = body,
    .content_type = "application/json",
    .fresh = TRUE,
    .timeout_us = timeout_us,
    .stall_us = timeout_us,
    .head = on_head,
    .data = on_data,
    .end = on_end,
    .ctx = waiting,
  };
  bkd_open (orh->bkd, &options);
  g_clear_pointer (&body, g_bytes_unref);
  soup_message_headers_unref (headers);
}
