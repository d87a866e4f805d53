/* The client of the administration API.  */
#include "jacinthctl/jacinthctl.h"
#include "base/json_text.h"

#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#define READ_BYTES 65536 /* of a response, at once */

/* A request in progress. */
struct call
{
  GMainLoop *loop;
  GCancellable *cancellable;
  GInputStream *stream; /* the response; NULL: no response yet */
  GByteArray *received;
  GBytes *body; /* NULL: not complete */
  GError *error;
  gboolean timed_out;
};

static void read_more (struct call *call);

static void
on_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;
  g_autoptr (GBytes) bytes = g_input_stream_read_bytes_finish (
      G_INPUT_STREAM (source), result, &call->error);
  if (bytes == NULL)
    {
      g_main_loop_quit (call->loop);
      return;
    }
  gsize n;
  const void *p = g_bytes_get_data (bytes, &n);
  if (n == 0)
    {
      call->body
          = g_byte_array_free_to_bytes (g_steal_pointer (&call->received));
      g_main_loop_quit (call->loop);
      return;
    }
  if (call->received->len + n > CTL_RESPONSE_MAX)
    {
      g_set_error (&call->error, G_IO_ERROR, G_IO_ERROR_MESSAGE_TOO_LARGE,
                   "the response has more than %d bytes", CTL_RESPONSE_MAX);
      g_main_loop_quit (call->loop);
      return;
    }
  g_byte_array_append (call->received, p, (guint)n);
  read_more (call);
}

static void
read_more (struct call *call)
{
  g_input_stream_read_bytes_async (call->stream, READ_BYTES, G_PRIORITY_DEFAULT,
                                   call->cancellable, on_read, call);
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;
  call->stream
      = soup_session_send_finish (SOUP_SESSION (source), result, &call->error);
  if (call->stream != NULL)
    read_more (call);
  else
    g_main_loop_quit (call->loop);
}

static gboolean
on_timeout (gpointer data)
{
  struct call *call = data;
  call->timed_out = TRUE;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_CONTINUE;
}

/* Sends MESSAGE and runs a main loop until CALL has a body or an error.  */
static void
send_and_wait (struct call *call, SoupMessage *message, guint timeout_ms)
{
  SoupSession *session = soup_session_new ();
  soup_session_set_proxy_resolver (session, NULL);
  call->loop = g_main_loop_new (NULL, FALSE);
  call->cancellable = g_cancellable_new ();
  call->received = g_byte_array_new ();
  guint timer = g_timeout_add (timeout_ms, on_timeout, call);
  soup_session_send_async (session, message, G_PRIORITY_DEFAULT,
                           call->cancellable, on_response, call);
  g_main_loop_run (call->loop);
  g_source_remove (timer);
  g_clear_object (&call->stream);
  g_clear_pointer (&call->received, g_byte_array_unref);
  g_object_unref (call->cancellable);
  g_main_loop_unref (call->loop);
  g_object_unref (session);
}

/* Returns the HTTP message for REQUEST; NULL if the address is not valid.  */
static SoupMessage *
make_message (const struct ctl_options *ctl_options,
              const struct ctl_request *request)
{
  g_autofree char *uri
      = g_strdup_printf ("http://%s%s", ctl_options->address, request->path);
  SoupMessage *message = soup_message_new (request->method, uri);
  if (message == NULL)
    return NULL;
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  g_autofree char *bearer = g_strdup_printf (
      "Bearer %s", ctl_options->token ? ctl_options->token : "");
  g_autofree char *tag
      = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", request->version);
  if (ctl_options->token != NULL)
    soup_message_headers_append (headers, "Authorization", bearer);
  if (request->version >= 0)
    soup_message_headers_append (headers, "If-Match", tag);
  if (request->body != NULL)
    soup_message_set_request_body_from_bytes (
        message, "application/octet-stream", request->body);
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT
                                       | SOUP_MESSAGE_DO_NOT_USE_AUTH_CACHE);
  return message;
}

/* Prints the elements of the member "problems" of OBJECT, if present.  */
static void
print_problems (JsonObject *object)
{
  JsonNode *node = json_object_get_member (object, "problems");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return;
  JsonArray *problems = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (problems); i++)
    g_printerr ("  %s\n", json_array_get_string_element (problems, i));
}

/* Prints the member "error" of an error response, or else its HTTP status.  */
static void
print_error (const struct ctl_response *response)
{
  JsonObject *object = response->json && JSON_NODE_HOLDS_OBJECT (response->json)
                           ? json_node_get_object (response->json)
                           : NULL;
  JsonNode *node = object ? json_object_get_member (object, "error") : NULL;
  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    {
      g_printerr ("jacinthctl: HTTP status %u\n", response->status);
      return;
    }
  JsonObject *error = json_node_get_object (node);
  g_printerr ("jacinthctl: %s (%s; step %s, peer %s)\n",
              json_object_get_string_member_with_default (error, "message", ""),
              json_object_get_string_member_with_default (error, "code", ""),
              json_object_get_string_member_with_default (error, "step", ""),
              json_object_get_string_member_with_default (error, "peer", ""));
  print_problems (object);
}

static enum ctl_exit_code
exit_code_of (guint status)
{
  switch (status)
    {
    case SOUP_STATUS_OK:
      return CTL_EXIT_OK;
    case SOUP_STATUS_UNAUTHORIZED:
    case SOUP_STATUS_FORBIDDEN:
      return CTL_EXIT_AUTH;
    case SOUP_STATUS_CONFLICT:
      return CTL_EXIT_CONFLICT;
    case SOUP_STATUS_GATEWAY_TIMEOUT:
      return CTL_EXIT_UNKNOWN;
    default:
      return CTL_EXIT_REJECTED;
    }
}

/* Returns whether ERROR shows that the request was never sent.  */
static gboolean
not_sent (const GError *error)
{
  return error->domain == G_IO_ERROR
         && (error->code == G_IO_ERROR_CONNECTION_REFUSED
             || error->code == G_IO_ERROR_HOST_UNREACHABLE
             || error->code == G_IO_ERROR_NETWORK_UNREACHABLE);
}

/* Prints why there is no response. A change may have been made unless its
   request was never sent.  */
static enum ctl_exit_code
report_failure (const struct ctl_options *ctl_options,
                const struct ctl_request *request, const struct call *call)
{
  gboolean change = strcmp (request->method, "GET") != 0;
  gboolean unknown = change && !not_sent (call->error);
  g_printerr ("jacinthctl: %s%s (step %s, peer %s)\n",
              call->timed_out ? "no response within the time limit"
                              : call->error->message,
              unknown ? "; the change may have been made" : "",
              not_sent (call->error) ? "ctl.connect" : "ctl.answer",
              ctl_options->address);
  return unknown ? CTL_EXIT_UNKNOWN : CTL_EXIT_UNREACHABLE;
}

/* Returns the version in the ETag of the response to MESSAGE; -1 if there is
   none.  */
static gint64
etag_version (SoupMessage *message)
{
  const char *tag = soup_message_headers_get_one (
      soup_message_get_response_headers (message), "ETag");
  if (tag == NULL || tag[0] != '"')
    return -1;
  return (gint64)g_ascii_strtoull (tag + 1, NULL, 10);
}

/* Fills RESPONSE from MESSAGE and BODY.  */
static void
read_response (SoupMessage *message, GBytes *body,
               struct ctl_response *response)
{
  gsize n;
  const char *text = g_bytes_get_data (body, &n);
  response->status = soup_message_get_status (message);
  response->version = etag_version (message);
  response->body = g_bytes_ref (body);
  g_autoptr (JsonParser) parser = json_parser_new ();
  if (json_text_load (parser, (struct str){ text, n }))
    response->json = json_parser_steal_root (parser);
}

enum ctl_exit_code
ctl_send (const struct ctl_options *ctl_options,
          const struct ctl_request *request, struct ctl_response *response)
{
  struct call call = { 0 };
  enum ctl_exit_code status;
  *response = (struct ctl_response){ .version = -1 };
  g_autoptr (SoupMessage) message = make_message (ctl_options, request);
  if (message == NULL)
    {
      g_printerr ("jacinthctl: \"%s\" is not a valid IP:PORT\n",
                  ctl_options->address);
      return CTL_EXIT_USAGE;
    }
  send_and_wait (&call, message, ctl_options->timeout_ms);
  if (call.body == NULL)
    status = report_failure (ctl_options, request, &call);
  else
    {
      read_response (message, call.body, response);
      status = exit_code_of (response->status);
      if (status != CTL_EXIT_OK)
        print_error (response);
      if (status != CTL_EXIT_OK && ctl_options->json)
        ctl_print_body (response);
    }
  g_clear_error (&call.error);
  g_clear_pointer (&call.body, g_bytes_unref);
  return status;
}

void
ctl_response_clear (struct ctl_response *response)
{
  g_clear_pointer (&response->body, g_bytes_unref);
  g_clear_pointer (&response->json, json_node_unref);
}
