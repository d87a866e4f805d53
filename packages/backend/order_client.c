#include "backend/order_client.h"
#include "base/json_add.h"

#include "backend/backend_client.h"
#include "backend/json_get.h"
#include "base/log.h"
#include "base/json_text.h"

#include <string.h>

#define RESPONSE_MAX (64 * 1024) /* bytes */
#define ORDERS_PATH "/orders"
#define TOO_MANY_REQUESTS 429 /* libsoup has no constant for it */

struct order_client
{
  struct order_client_options options;
  struct backend_client *http;
  GHashTable *requests; /* set of struct request *, owned */
};

struct request
{
  struct order_client *client; /* borrowed */
  struct backend_call *call;   /* borrowed */
  struct str_id backend;
  guint64 token;
  gboolean post;
  guint status;       /* HTTP status; 0: not received yet */
  GString *body;      /* received so far, at most RESPONSE_MAX */
  gboolean too_large; /* the body exceeds RESPONSE_MAX */
};

static void
free_request (void *data)
{
  struct request *request = data;
  g_string_free (request->body, TRUE);
  g_free (request);
}

struct order_client *
order_client_new (const struct order_client_options *options)
{
  struct order_client *client = g_new0 (struct order_client, 1);
  client->options = *options;
  client->http = backend_client_new ();
  client->requests = g_hash_table_new_full (NULL, NULL, free_request, NULL);
  return client;
}

/* Cancels the open requests; no response is delivered afterwards.  */
void
order_client_free (struct order_client *client)
{
  if (client == NULL)
    return;
  backend_client_free (client->http);
  g_hash_table_unref (client->requests);
  g_free (client);
}

static void
on_head (void *ctx, guint status, SoupMessageHeaders *headers)
{
  (void)headers;
  ((struct request *)ctx)->status = status;
}

/* Returns the error code of a request without a complete response. Unless part
   of the request may have been sent, the engine cannot have applied it.  */
static int
get_result_error (enum msg_result result, gboolean sent)
{
  if (!sent)
    return ERR_UNAVAILABLE;
  return result == MSG_RESULT_TIMED_OUT ? ERR_TIMEOUT : ERR_IO;
}

static int
get_status_error (const struct request *request)
{
  switch (request->status)
    {
    case SOUP_STATUS_OK:
      return request->too_large ? ERR_TOO_LARGE : 0;
    case SOUP_STATUS_CONFLICT:
      return request->post ? ERR_CONFLICT : ERR_PROTOCOL;
    case TOO_MANY_REQUESTS:
      return ERR_LIMIT;
    case SOUP_STATUS_SERVICE_UNAVAILABLE:
      return ERR_UNAVAILABLE;
    default:
      return ERR_PROTOCOL;
    }
}

/* Returns the strings in ARRAY, NULL-terminated, without members of other
   types. The list is to be freed with g_free; the strings are borrowed.  */
static const char **
get_strings (JsonArray *array)
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

/* Fills RESPONSE, except for its models, from OBJECT. If the request failed,
   only the fence is read.  */
static void
read_members (const struct request *request, JsonObject *object,
              struct reconciler_response *response)
{
  response->fence = (guint64)MAX (json_get_int (object, "fence"), 0);
  if (response->code != 0)
    return;
  if (request->post && !json_get_bool (object, "applied"))
    response->code = ERR_PROTOCOL;
  response->last_id = json_get_text (object, "last_id");
  response->role = json_get_text (object, "role");
}

static void
deliver_response (const struct request *request,
                  struct reconciler_response *response)
{
  const struct order_client_options *options = &request->client->options;
  if (response->code != 0)
    log_write (&(struct log_entry){ .level = LOG_WARN,
                                    .event = "order.failed",
                                    .step = "backend.order",
                                    .peer = request->backend.s },
               "%s; status=%u received=%" G_GSIZE_FORMAT,
               err_name (response->code), request->status, request->body->len);
  options->response (options->ctx, request->token, response);
}

/* Fills RESPONSE from the response body and delivers it.  */
static void
deliver_body (const struct request *request,
              struct reconciler_response *response)
{
  JsonParser *parser = json_parser_new_immutable ();
  const char **models = NULL;
  if (json_text_load (parser,
                      (struct str){ request->body->str, request->body->len })
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    {
      JsonObject *object = json_node_get_object (json_parser_get_root (parser));
      read_members (request, object, response);
      models = get_strings (json_get_array (object, "models"));
      response->models = models;
    }
  else if (response->code == 0)
    response->code = ERR_PROTOCOL;
  deliver_response (request, response);
  g_free (models);
  g_object_unref (parser);
}

/* Delivers the response, of which the head and some or all of the body have
   been received, and frees REQUEST.  */
static void
finish_with_body (struct request *request)
{
  struct reconciler_response response = { .code = get_status_error (request) };
  g_hash_table_steal (request->client->requests, request);
  deliver_body (request, &response);
  free_request (request);
}

/* Collects the body. One over the limit ends the request, so that an engine
   which goes on sending is not read until the time limit.  */
static void
on_data (void *ctx, struct str data)
{
  struct request *request = ctx;
  request->too_large = request->body->len + data.n > RESPONSE_MAX;
  if (!request->too_large)
    {
      g_string_append_len (request->body, data.p, (gssize)data.n);
      return;
    }
  backend_call_cancel (request->call);
  finish_with_body (request);
}

static void
on_end (void *ctx, enum msg_result result, gboolean sent, const struct err *err)
{
  struct request *request = ctx;
  struct reconciler_response response = { 0 };
  (void)err;
  if (result == MSG_RESULT_OK)
    {
      finish_with_body (request);
      return;
    }
  g_hash_table_steal (request->client->requests, request);
  response.code = get_result_error (result, sent);
  deliver_response (request, &response);
  free_request (request);
}

static GBytes *
encode_order (const struct reconciler_request *order)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_int (json, "fence", (gint64)order->fence);
  json_add_str (json, "id", order->id);
  json_add_str (json, "kind", reconciler_kind_name (order->kind));
  json_add_str (json, "name", order->name.s);
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (json);
  return g_bytes_new_take (text, strlen (text));
}

/* Sends ORDER, or reads the state if its post is FALSE. TOKEN is passed to the
   response callback. The time limit is at most LEASE_ORDER_DELIVERY_MAX_US.  */
void
order_client_start (struct order_client *client, guint64 token,
                    const struct cluster_backend *backend,
                    const struct reconciler_request *order)
{
  struct request *request = g_new0 (struct request, 1);
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  GBytes *body = order->post ? encode_order (order) : NULL;
  gint64 timeout_us = MIN (order->timeout_us, LEASE_ORDER_DELIVERY_MAX_US);
  request->client = client;
  request->backend = backend->name;
  request->token = token;
  request->post = order->post;
  request->body = g_string_new (NULL);
  g_hash_table_add (client->requests, request);
  const struct backend_call_options options = {
    .backend = backend,
    .method = order->post ? "POST" : "GET",
    .path = ORDERS_PATH,
    .headers = headers,
    .body = body,
    .content_type = "application/json",
    .timeout_us = timeout_us,
    .stall_us = timeout_us,
    .head = on_head,
    .data = on_data,
    .end = on_end,
    .ctx = request,
  };
  request->call = backend_call_open (client->http, &options);
  g_clear_pointer (&body, g_bytes_unref);
  soup_message_headers_unref (headers);
}
