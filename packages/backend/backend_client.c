#include "backend/backend_client.h"

#include "backend/body_stream.h"
#include "base/clock.h"

#include <string.h>

#define CONNECTIONS_MAX 512 /* to one backend server */
#define IDLE_TIMEOUT_S 1    /* of connections that have served their call */
#define READ_BYTES 16384    /* most bytes of one data callback */

struct backend_client
{
  GHashTable *sessions; /* address -> SoupSession *, owned */
  GHashTable *calls;    /* set of struct backend_call *, owned */
};

struct backend_call
{
  /* NULL: finished, to be freed when the pending callback returns. */
  struct backend_client *client;
  /* Only callbacks, limits and ctx are used; the pointers may be stale. */
  struct backend_call_options options;
  char backend_name[ERR_PEER_MAX]; /* for error messages */
  SoupMessage *message;
  GInputStream *stream; /* NULL before the response head */
  GCancellable *cancellable;
  guint deadline_timer; /* GLib source; 0: none */
  guint stall_timer;
  gint64 last_byte_us; /* monotonic */
  gint64 send_by_us;   /* monotonic; G_MAXINT64: no limit */
  gboolean sent;
  gboolean reading; /* a read is pending */
  gboolean paused;
  gboolean busy; /* libsoup or a callback still uses the call */
  char buffer[READ_BYTES];
};

struct backend_client *
backend_client_new (void)
{
  struct backend_client *client = g_new0 (struct backend_client, 1);
  client->sessions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  client->calls = g_hash_table_new (NULL, NULL);
  return client;
}

/* Cancels the open calls; no callback is called afterwards.  */
void
backend_client_free (struct backend_client *client)
{
  if (client == NULL)
    return;
  GList *calls = g_hash_table_get_keys (client->calls);
  for (GList *l = calls; l != NULL; l = l->next)
    backend_call_cancel (l->data);
  g_list_free (calls);
  g_hash_table_unref (client->calls);
  g_hash_table_unref (client->sessions);
  g_free (client);
}

/* Returns the session of the server at ADDRESS. libsoup polls each idle
   connection of a session for every request, so each server has a session of
   its own.  */
static SoupSession *
session_for (struct backend_client *client, const char *address)
{
  SoupSession *session = g_hash_table_lookup (client->sessions, address);
  if (session != NULL)
    return session;
  session = soup_session_new_with_options (
      "max-conns", CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_MAX,
      "idle-timeout", IDLE_TIMEOUT_S, "timeout", 0, "proxy-resolver", NULL,
      "user-agent", "jacinthward", NULL);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_AUTH_MANAGER);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  g_hash_table_insert (client->sessions, g_strdup (address), session);
  return session;
}

static void
free_call (struct backend_call *call)
{
  g_clear_object (&call->stream);
  g_object_unref (call->message);
  g_object_unref (call->cancellable);
  g_free (call);
}

/* Cancels CALL and removes it from its client. CALL is freed now, or by the
   pending callback if there is one.  */
static void
finish_call (struct backend_call *call)
{
  g_hash_table_remove (call->client->calls, call);
  call->client = NULL;
  g_clear_handle_id (&call->deadline_timer, g_source_remove);
  g_clear_handle_id (&call->stall_timer, g_source_remove);
  g_signal_handlers_disconnect_by_data (call->message, call);
  g_cancellable_cancel (call->cancellable);
  if (!call->busy)
    free_call (call);
}

/* Finishes CALL and calls its end callback; TEXT describes the error.  */
static void
end_call (struct backend_call *call, enum msg_result result, const char *text)
{
  struct err err = { 0 };
  struct backend_call_options options = call->options;
  gboolean sent = call->sent;
  if (result != MSG_RESULT_OK)
    err_set (&err,
             result == MSG_RESULT_TIMED_OUT || result == MSG_RESULT_UNUSED
                 ? ERR_TIMEOUT
                 : ERR_IO,
             sent ? "backend.read" : "backend.connect", call->backend_name,
             "%s", text);
  finish_call (call);
  options.end (options.ctx, result, sent, &err);
}

/* Closes the connection, which cancels the work of the server. No callback is
   called. CALL must not be used afterwards, nor after its end callback.  */
void
backend_call_cancel (struct backend_call *call)
{
  if (call != NULL && call->client != NULL)
    finish_call (call);
}

static void start_read (struct backend_call *call);

/* Whether the response of CALL, which libsoup takes for ended, lacks its last
   chunk. libsoup reports no error if the connection is closed between two
   chunks, but its stream of the body would read on then. So a read that is
   cancelled beforehand, and thus takes nothing from the connection, fails;
   after the last chunk it returns 0.  */
static gboolean
is_cut (const struct backend_call *call)
{
  char rest[64];
  if (!G_IS_FILTER_INPUT_STREAM (call->stream)
      || soup_message_headers_get_encoding (
             soup_message_get_response_headers (call->message))
             != SOUP_ENCODING_CHUNKED)
    return FALSE;
  GInputStream *body = g_filter_input_stream_get_base_stream (
      G_FILTER_INPUT_STREAM (call->stream));
  GCancellable *cancelled = g_cancellable_new ();
  g_cancellable_cancel (cancelled);
  gssize n = g_input_stream_read (body, rest, sizeof rest, cancelled, NULL);
  g_object_unref (cancelled);
  return n != 0;
}

static void
on_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct backend_call *call = data;
  GError *error = NULL;
  gssize n
      = g_input_stream_read_finish (G_INPUT_STREAM (source), result, &error);
  call->busy = FALSE;
  call->reading = FALSE;
  if (call->client == NULL)
    free_call (call);
  else if (n < 0)
    end_call (call, MSG_RESULT_BROKEN, error->message);
  else if (n == 0 && is_cut (call))
    end_call (call, MSG_RESULT_BROKEN, "connection closed between two chunks");
  else if (n == 0)
    end_call (call, MSG_RESULT_OK, "");
  else
    {
      struct str chunk = { call->buffer, (gsize)n };
      call->last_byte_us = g_get_monotonic_time ();
      call->busy = TRUE; /* a cancel within the callback must not free CALL */
      call->options.data (call->options.ctx, chunk);
      call->busy = FALSE;
      if (call->client == NULL)
        free_call (call);
      else if (!call->paused)
        start_read (call);
    }
  g_clear_error (&error);
}

static void
start_read (struct backend_call *call)
{
  call->reading = TRUE;
  call->busy = TRUE;
  g_input_stream_read_async (call->stream, call->buffer, sizeof call->buffer,
                             G_PRIORITY_DEFAULT, call->cancellable, on_read,
                             call);
}

static void
on_head (GObject *source, GAsyncResult *result, gpointer data)
{
  struct backend_call *call = data;
  GError *error = NULL;
  call->stream
      = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  call->busy = FALSE;
  if (call->client == NULL)
    free_call (call);
  else if (body_stream_is_late (error))
    end_call (call, MSG_RESULT_UNUSED, error->message);
  else if (call->stream == NULL)
    end_call (call, call->sent ? MSG_RESULT_BROKEN : MSG_RESULT_NOT_SENT,
              error->message);
  else
    {
      call->last_byte_us = g_get_monotonic_time ();
      call->busy = TRUE;
      call->options.head (call->options.ctx,
                          soup_message_get_status (call->message),
                          soup_message_get_response_headers (call->message));
      call->busy = FALSE;
      if (call->client == NULL)
        free_call (call);
      else if (!call->paused)
        start_read (call);
    }
  g_clear_error (&error);
}

/* libsoup is about to send the request again. The call ends instead: whether to
   retry is decided elsewhere.  */
static void
on_restarted (SoupMessage *message, gpointer data)
{
  (void)message;
  end_call (data, MSG_RESULT_BROKEN, "the server closed the connection");
}

/* Part of the request may be sent from here on. A process that was suspended
   while the connection was made, also within this iteration of the main loop,
   must not send a request that was decided on before. Ending the call cancels
   it, so that libsoup writes nothing. The body is checked by its stream.  */
static void
on_starting (SoupMessage *message, gpointer data)
{
  struct backend_call *call = data;
  (void)message;
  if (g_get_monotonic_time () > call->send_by_us)
    end_call (call, MSG_RESULT_UNUSED, "not sent within the time limit");
  else
    call->sent = TRUE;
}

static gboolean
on_deadline (gpointer data)
{
  struct backend_call *call = data;
  call->deadline_timer = 0;
  end_call (call, MSG_RESULT_TIMED_OUT, "deadline");
  return G_SOURCE_REMOVE;
}

static gboolean
on_stall_check (gpointer data)
{
  struct backend_call *call = data;
  gint64 silent_us = g_get_monotonic_time () - call->last_byte_us;
  if (call->paused || silent_us < call->options.stall_us)
    return G_SOURCE_CONTINUE;
  call->stall_timer = 0;
  end_call (call, MSG_RESULT_TIMED_OUT,
            "no data from the server within the stall limit");
  return G_SOURCE_REMOVE;
}

static void
copy_header (const char *name, const char *value, gpointer data)
{
  soup_message_headers_append (data, name, value);
}

static void
set_body (SoupMessage *message, const struct backend_call_options *options,
          gint64 send_by_us)
{
  GInputStream *body = body_stream_new (options->body, send_by_us);
  soup_message_set_request_body (message, options->content_type, body,
                                 (gssize)g_bytes_get_size (options->body));
  g_object_unref (body);
}

static SoupMessage *
make_message (const struct backend_call_options *options, gint64 send_by_us)
{
  char *uri = g_strdup_printf ("http://%s%s", options->backend->address,
                               options->path);
  SoupMessage *message = soup_message_new (options->method, uri);
  g_free (uri);
  if (message == NULL)
    return NULL;
  /* Responses do not say to which request they belong, so a late copy of one
     would be taken for the next one on the connection. */
  soup_message_set_flags (message, SOUP_MESSAGE_NO_REDIRECT
                                       | SOUP_MESSAGE_DO_NOT_USE_AUTH_CACHE
                                       | SOUP_MESSAGE_NEW_CONNECTION);
  soup_message_headers_foreach (options->headers, copy_header,
                                soup_message_get_request_headers (message));
  if (options->body != NULL)
    set_body (message, options, send_by_us);
  return message;
}

/* Starts a call. Returns NULL if the path is not valid in a URI.  */
struct backend_call *
backend_call_open (struct backend_client *client,
                   const struct backend_call_options *options)
{
  gint64 now = g_get_monotonic_time ();
  gint64 send_by_us = options->send_within_us > 0
                          ? now + options->send_within_us
                          : G_MAXINT64;
  SoupMessage *message = make_message (options, send_by_us);
  if (message == NULL)
    return NULL;
  struct backend_call *call = g_new0 (struct backend_call, 1);
  call->client = client;
  call->options = *options;
  call->message = message;
  call->cancellable = g_cancellable_new ();
  call->last_byte_us = now;
  call->send_by_us = send_by_us;
  g_strlcpy (call->backend_name, options->backend->name.s,
             sizeof call->backend_name);
  g_hash_table_add (client->calls, call);
  g_signal_connect (message, "starting", G_CALLBACK (on_starting), call);
  g_signal_connect (message, "restarted", G_CALLBACK (on_restarted), call);
  /* Higher priority than socket events: a process that was suspended past the
     time limit must cancel the call before it writes more of the request. */
  call->deadline_timer = g_timeout_add_full (
      G_PRIORITY_HIGH, (guint)(options->timeout_us / CLK_MS), on_deadline, call,
      NULL);
  /* Checks about four times per stall limit, and at least every second. */
  call->stall_timer
      = g_timeout_add ((guint)CLAMP (options->stall_us / CLK_MS / 4, 10, 1000),
                       on_stall_check, call);
  call->busy = TRUE;
  soup_session_send_async (session_for (client, options->backend->address),
                           message, G_PRIORITY_DEFAULT, call->cancellable,
                           on_head, call);
  return call;
}

/* Stops or resumes reading the response. While paused, stall_us does not
   apply.  */
void
backend_call_pause (struct backend_call *call, gboolean paused)
{
  if (call->paused == paused)
    return;
  call->paused = paused;
  call->last_byte_us = g_get_monotonic_time ();
  if (!paused && call->stream != NULL && !call->reading && !call->busy)
    start_read (call);
}
