/* A client's request in progress: its attempts on backend servers and what it
   gets of their responses.  */
#include "entry/ingress_internal.h"

#include "base/log.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#define STATUS_CLIENT_CLOSED 499 /* status of a response that is not sent */

static void
notify_core (struct ingress_request *request, const struct core_event *event)
{
  core_handle (request->ingress->options.core, event);
}

static void
cancel_attempt (struct ingress_request *request)
{
  if (request->attempt != NULL)
    backend_call_cancel (request->attempt);
  request->attempt = NULL;
}

static void
stop_disconnect_watch (struct ingress_request *request)
{
  if (request->disconnect_watch != NULL)
    {
      g_source_destroy (request->disconnect_watch);
      g_source_unref (request->disconnect_watch);
    }
  request->disconnect_watch = NULL;
}

/* Frees a struct ingress_request; for the table of requests.  */
void
ingress_request_free (void *data)
{
  struct ingress_request *request = data;
  cancel_attempt (request);
  stop_disconnect_watch (request);
  g_signal_handlers_disconnect_by_data (request->message, request);
  g_object_unref (request->message);
  g_clear_object (&request->socket);
  g_clear_pointer (&request->body, g_bytes_unref);
  g_free (request->method);
  g_free (request->path);
  g_free (request->content_type);
  g_free (request->idempotency_key);
  g_free (request->response_type);
  g_clear_pointer (&request->response_body, g_byte_array_unref);
  sse_clear (&request->sse);
  g_string_free (request->sent_text, TRUE);
  g_free (request);
}

/* Counts BYTES that are passed to libsoup. The time limit for a client that
   reads nothing begins with the first of them.  */
static void
add_unsent (struct ingress_request *request, gsize bytes)
{
  if (request->unsent_bytes == 0)
    request->last_write = g_get_monotonic_time ();
  request->unsent_bytes += bytes;
}

/* Lets libsoup write what the message holds now.  */
static void
resume_response (struct ingress_request *request)
{
  ingress_close_if_stopped (request->ingress, request->message);
  soup_server_message_unpause (request->message);
}

/* Closes the client's connection. libsoup keeps a message that is paused, so it
   is resumed with a status or a complete body to find the connection closed. */
static void
close_connection (struct ingress_request *request)
{
  g_signal_handlers_disconnect_by_data (request->message, request);
  g_socket_shutdown (request->socket, TRUE, TRUE, NULL);
  if (request->finished)
    return;
  if (request->stream_started)
    soup_message_body_complete (
        soup_server_message_get_response_body (request->message));
  else
    soup_server_message_set_status (request->message, STATUS_CLIENT_CLOSED,
                                    NULL);
  resume_response (request);
}

/* Handles a client that has disconnected: the core cancels the work and the
   request ends. A request with an idempotency key whose attempt is in progress
   goes on, so that its response is recorded for a retry of the client.  */
static void
client_disconnected (struct ingress_request *request)
{
  struct core_event event = { .kind = CORE_CLIENT_DISCONNECTED };
  struct ingress *ingress = request->ingress;
  guint64 id = request->id;
  stop_disconnect_watch (request);
  if (request->keyed && request->attempt != NULL && !request->finished)
    {
      request->detached = TRUE;
      return;
    }
  cancel_attempt (request);
  event.client_disconnected = id;
  if (!request->finished)
    notify_core (request, &event);
  g_hash_table_remove (ingress->requests, &id);
}

static void
on_finished (SoupServerMessage *message, gpointer data)
{
  (void)message;
  g_signal_handlers_disconnect_by_data (message, data);
  client_disconnected (data);
}

static void
on_wrote_data (SoupServerMessage *message, guint bytes, gpointer data)
{
  struct ingress_request *request = data;
  (void)message;
  request->unsent_bytes -= MIN (request->unsent_bytes, bytes);
  request->last_write = g_get_monotonic_time ();
  if (request->attempt != NULL && request->unsent_bytes < INGRESS_UNSENT_LOW)
    backend_call_pause (request->attempt, FALSE);
}

/* libsoup does not poll a connection whose response is due, so a disconnect is
   detected by peeking at the socket.  */
static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct ingress_request *request = data;
  char byte;
  gssize n = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  (void)condition;
  if (n > 0)
    {
      /* The next pipelined request; a disconnect shows on writing. */
      stop_disconnect_watch (request);
      return G_SOURCE_REMOVE;
    }
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return G_SOURCE_CONTINUE;
  close_connection (request);
  client_disconnected (request);
  return G_SOURCE_REMOVE;
}

static void
watch_disconnect (struct ingress_request *request)
{
  request->disconnect_watch
      = g_socket_create_source (request->socket, G_IO_IN | G_IO_HUP, NULL);
  g_source_set_callback (request->disconnect_watch,
                         (GSourceFunc)(void *)on_readable, request, NULL);
  g_source_attach (request->disconnect_watch, NULL);
}

static void
reject_request (struct ingress_request *request,
                const struct ingress_rejection *rejection)
{
  const struct ingress_error error = {
    .status = rejection->status,
    .code = rejection->code,
    .text = rejection->text,
    .ran = "no",
    .retry_after_us = rejection->status == 503 ? CLK_S : 0,
    .step = "request.read",
    .peer = request->ingress->options.self.s,
  };
  counter_add (
      request->ingress->options.counter_set,
      rejection->status == 503 ? COUNTER_REJECTED : COUNTER_INVALID_REQUEST, 1);
  ingress_set_error (request->message, request->request_id, &error);
}

static struct ingress_request *
request_new (struct ingress *ingress, SoupServerMessage *message)
{
  struct ingress_request *request = g_new0 (struct ingress_request, 1);
  GUri *uri = soup_server_message_get_uri (message);
  const char *query = g_uri_get_query (uri);
  const char *path = g_uri_get_path (uri); /* still percent-encoded */
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  request->ingress = ingress;
  request->id = ++ingress->next_id;
  request->message = g_object_ref (message);
  request->method = g_strdup (soup_server_message_get_method (message));
  request->path
      = query ? g_strconcat (path, "?", query, NULL) : g_strdup (path);
  request->content_type
      = g_strdup (soup_message_headers_get_one (headers, "Content-Type"));
  request->body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  request->sent_text = g_string_new (NULL);
  g_snprintf (request->request_id, sizeof request->request_id,
              "%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
              ingress->options.self.s, ingress->start_time, request->id);
  sse_init (&request->sse);
  return request;
}

/* Takes a request whose body has arrived completely; the response is sent
   later.  */
void
ingress_request_start (struct ingress *ingress, SoupServerMessage *message)
{
  struct ingress_request *request = request_new (ingress, message);
  struct core_event event = { .kind = CORE_REQUEST };
  struct ingress_rejection rejection = { 0 };
  GSocket *socket = soup_server_message_get_socket (message);
  event.request.id = request->id;
  int code = ingress_parse_request (request, &event.request, &rejection);
  if (code < 0)
    reject_request (request, &rejection);
  if (code < 0 || socket == NULL)
    {
      ingress_request_free (request);
      return;
    }
  request->socket = g_object_ref (socket);
  g_signal_connect (message, "finished", G_CALLBACK (on_finished), request);
  g_signal_connect (message, "wrote-body-data", G_CALLBACK (on_wrote_data),
                    request);
  g_hash_table_insert (ingress->requests, &request->id, request);
  soup_server_message_pause (message);
  watch_disconnect (request);
  notify_core (request, &event);
}

/* Whether another engine may continue the stream.  */
static gboolean
is_resumable (const struct ingress_request *request)
{
  return !request->done_received && request->not_resumable == NULL;
}

static void
report_attempt_end (struct ingress_request *request, enum msg_result result,
                    gboolean sent, const struct err *err)
{
  struct core_event event = { .kind = CORE_ATTEMPT_END };
  struct core_attempt_end *end = &event.attempt_end;
  if (result != MSG_RESULT_OK && log_enabled (LOG_INFO))
    log_write (&(struct log_entry){ .level = LOG_INFO,
                                    .event = "attempt.end",
                                    .request_id = request->request_id,
                                    .step = err ? err->step : "attempt",
                                    .peer = err ? err->peer : NULL },
               "attempt %u: %s: %s%s%s", request->attempt_number,
               msg_result_name (result), err ? err->text : "",
               request->not_resumable ? "; cannot be resumed: " : "",
               request->not_resumable ? request->not_resumable : "");
  end->request = request->id;
  end->attempt = request->attempt_number;
  end->result = result;
  end->sent = sent;
  end->delivered = request->stream_started;
  end->resumable = is_resumable (request);
  end->status = request->status;
  end->bytes = request->response_body ? request->response_body->len : 0;
  if (request->response_body != NULL && result == MSG_RESULT_OK)
    {
      end->body = (struct str){ (const char *)request->response_body->data,
                                request->response_body->len };
      end->content_type = str_of (request->response_type);
      end->tokens = request->response_tokens;
    }
  notify_core (request, &event);
}

/* Whether HEADERS name the position that the engine was given, if it was. One
   that does not know positions begins anew.  */
static gboolean
confirms_position (const struct ingress_request *request,
                   SoupMessageHeaders *headers)
{
  char expected[16];
  g_snprintf (expected, sizeof expected, "%u", request->sent_tokens);
  return !request->resumed
         || g_strcmp0 (
                soup_message_headers_get_one (headers, INGRESS_RESUMED_HEADER),
                expected)
                == 0;
}

/* Returns why the response with STATUS, TYPE (may be NULL) and HEADERS must not
   be read, or NULL. A stream that has begun can be continued only by events
   after the position that the engine was given: any other response would end
   it without an error.  */
static const char *
find_head_problem (const struct ingress_request *request, guint status,
                   const char *type, SoupMessageHeaders *headers)
{
  if (status >= 500 || (request->stream_started && status != 200))
    return "the status";
  if (!request->streamed || status != 200)
    return NULL;
  if (type != NULL && g_ascii_strcasecmp (type, "text/event-stream") != 0)
    return "the type";
  if (!confirms_position (request, headers))
    return "the position is not confirmed";
  return NULL;
}

/* Returns the result with which an attempt ends at once because of its
   response's STATUS and HEADERS, or MSG_RESULT_OK if the response is read on.
   PROBLEM says why the result is MSG_RESULT_BROKEN.  */
static enum msg_result
classify_head (const struct ingress_request *request, guint status,
               SoupMessageHeaders *headers, const char **problem)
{
  const char *type = soup_message_headers_get_content_type (headers, NULL);
  const char *leaving
      = soup_message_headers_get_one (headers, "Jacinthward-Leaving");
  if (!request->to_engine)
    return status == 503 && request->repeatable ? MSG_RESULT_BUSY
                                                : MSG_RESULT_OK;
  if (status == 503 && leaving != NULL && strcmp (leaving, "yes") == 0)
    return MSG_RESULT_LEAVING;
  if (status == 429 || status == 503)
    return MSG_RESULT_BUSY;
  *problem = find_head_problem (request, status, type, headers);
  return *problem ? MSG_RESULT_BROKEN : MSG_RESULT_OK;
}

static void
on_head (void *ctx, guint status, SoupMessageHeaders *headers)
{
  struct ingress_request *request = ctx;
  const char *type = soup_message_headers_get_one (headers, "Content-Type");
  const char *problem = NULL;
  enum msg_result result = classify_head (request, status, headers, &problem);
  if (result != MSG_RESULT_OK)
    {
      struct err err;
      err_set (&err, ERR_PROTOCOL, "backend.read", request->server.s,
               "status %u, type %.64s%s%s", status, type ? type : "none",
               problem ? ": " : "", problem ? problem : "");
      cancel_attempt (request);
      report_attempt_end (request, result, result == MSG_RESULT_BROKEN, &err);
      return;
    }
  request->status = status;
  g_free (request->response_type);
  request->response_type = g_strdup (type);
  request->buffered = !request->streamed || status != 200;
}

/* Sets the headers of a streamed response, before its first event.  */
static void
start_stream (struct ingress_request *request)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (request->message);
  request->stream_started = TRUE;
  soup_server_message_set_status (request->message, 200, NULL);
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_replace (headers, "Content-Type", "text/event-stream");
  soup_message_headers_replace (headers, "Cache-Control", "no-cache");
  soup_message_headers_replace (headers, "Jacinthward-Request-Id",
                                request->request_id);
  soup_message_body_set_accumulate (
      soup_server_message_get_response_body (request->message), FALSE);
}

static void
send_bytes (struct ingress_request *request, GBytes *bytes)
{
  soup_message_body_append_bytes (
      soup_server_message_get_response_body (request->message), bytes);
  add_unsent (request, g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
  resume_response (request);
  if (request->attempt != NULL && request->unsent_bytes > INGRESS_UNSENT_HIGH)
    backend_call_pause (request->attempt, TRUE);
}

/* Relays the complete events received so far. An event that is cut off never
   reaches the client, so that another engine can resume the stream cleanly.  */
static void
relay_events (struct ingress_request *request)
{
  GString *out = g_string_new (NULL);
  struct str event;
  guint32 tokens = 0;
  while (!request->done_received && sse_next (&request->sse, &event))
    {
      struct str data = sse_data (&request->sse, event);
      if (str_eq (data, STR_LIT ("[DONE]")))
        request->done_received = TRUE;
      else if (data.n > 0 && !ingress_record_event (request, data, &tokens))
        continue;
      g_string_append_len (out, event.p, (gssize)event.n);
    }
  if (out->len == 0)
    {
      g_string_free (out, TRUE);
      return;
    }
  if (!request->stream_started)
    start_stream (request);
  request->sent_tokens += tokens;
  gsize bytes = out->len;
  send_bytes (request, g_string_free_to_bytes (out));
  struct core_event progress = { .kind = CORE_TOKENS };
  progress.tokens.request = request->id;
  progress.tokens.attempt = request->attempt_number;
  progress.tokens.count = tokens;
  progress.tokens.bytes = bytes;
  progress.tokens.resumable = is_resumable (request);
  if (tokens > 0 || !progress.tokens.resumable)
    notify_core (request, &progress);
}

static void
fail_attempt (struct ingress_request *request, const char *text)
{
  struct err err;
  err_set (&err, ERR_PROTOCOL, "backend.read", request->server.s, "%s", text);
  cancel_attempt (request);
  report_attempt_end (request, MSG_RESULT_BROKEN, TRUE, &err);
}

static void
on_data (void *ctx, struct str data)
{
  struct ingress_request *request = ctx;
  if (request->buffered)
    {
      if (request->response_body->len + data.n > INGRESS_RESPONSE_MAX)
        fail_attempt (request, "response too large");
      else
        g_byte_array_append (request->response_body, (const guint8 *)data.p,
                             (guint)data.n);
      return;
    }
  if (request->done_received)
    {
      cancel_attempt (request);
      report_attempt_end (request, MSG_RESULT_OK, TRUE, NULL);
    }
  else if (sse_add (&request->sse, data) < 0)
    fail_attempt (request, "event too large");
  else
    relay_events (request);
}

/* Returns what is missing of a response whose framing is complete, or NULL. A
   response without a length ends whenever the connection is closed.  */
static const char *
find_cut (struct ingress_request *request)
{
  if (!request->to_engine)
    return NULL;
  if (!request->buffered)
    return request->done_received ? NULL : "the stream ended without [DONE]";
  struct str body = { (const char *)request->response_body->data,
                      request->response_body->len };
  gboolean whole = ingress_read_completion (body, &request->response_tokens);
  return whole || request->status != 200 ? NULL : "not a complete JSON object";
}

static void
on_end (void *ctx, enum msg_result result, gboolean sent, const struct err *err)
{
  struct ingress_request *request = ctx;
  struct err truncated;
  request->attempt = NULL;
  if (request->done_received)
    result = MSG_RESULT_OK; /* the client has all of it */
  const char *cut = result == MSG_RESULT_OK ? find_cut (request) : NULL;
  if (cut != NULL)
    {
      result = MSG_RESULT_BROKEN;
      err_set (&truncated, ERR_CLOSED, "backend.read", request->server.s, "%s",
               cut);
      err = &truncated;
    }
  report_attempt_end (request, result, sent, err);
}

/* Headers of the client's request that are forwarded to backend servers.  */
static const char *const forwarded_headers[]
    = { "Accept", "Accept-Language", "User-Agent", "If-None-Match" };

static SoupMessageHeaders *
attempt_headers (const struct ingress_request *request,
                 const struct core_action *action)
{
  SoupMessageHeaders *out
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  SoupMessageHeaders *in
      = soup_server_message_get_request_headers (request->message);
  char value[128];
  for (guint i = 0; i < G_N_ELEMENTS (forwarded_headers); i++)
    {
      const char *v = soup_message_headers_get_one (in, forwarded_headers[i]);
      if (v != NULL)
        soup_message_headers_append (out, forwarded_headers[i], v);
    }
  g_snprintf (value, sizeof value, "%s-%u", request->request_id,
              action->open.attempt);
  soup_message_headers_append (out, "Jacinthward-Attempt", value);
  g_snprintf (value, sizeof value, "%u", action->open.priority);
  soup_message_headers_append (out, "Jacinthward-Priority", value);
  if (request->idempotency_key != NULL)
    soup_message_headers_append (out, "Idempotency-Key",
                                 request->idempotency_key);
  return out;
}

/* Starts the attempt that ACTION asks for.  */
void
ingress_request_open (struct ingress_request *request,
                      const struct core_action *action)
{
  struct backend_call_options options = {
    .backend = action->open.backend,
    .method = request->method,
    .path = request->path,
    .body = g_bytes_get_size (request->body) > 0 ? request->body : NULL,
    .content_type = request->content_type ? request->content_type
                                          : "application/octet-stream",
    .timeout_us = action->open.timeout_us,
    .send_within_us = action->open.send_within_us,
    .stall_us = request->to_engine
                    ? request->ingress->options.limits.backend_stall_us
                    : action->open.timeout_us,
    .head = on_head,
    .data = on_data,
    .end = on_end,
    .ctx = request,
  };
  cancel_attempt (request);
  request->attempt_number = action->open.attempt;
  request->server = action->open.backend->name;
  request->status = 0;
  request->done_received = FALSE;
  request->response_tokens = 0;
  request->buffered = !request->streamed;
  sse_clear (&request->sse);
  sse_init (&request->sse);
  g_clear_pointer (&request->response_body, g_byte_array_unref);
  request->response_body = g_byte_array_new ();
  options.headers = attempt_headers (request, action);
  GBytes *resume = action->open.resume && request->stream_started
                       ? ingress_resume_body (request)
                       : NULL;
  request->resumed = resume != NULL;
  if (resume != NULL)
    options.body = resume;
  request->attempt
      = backend_call_open (request->ingress->options.backend_client, &options);
  g_clear_pointer (&resume, g_bytes_unref);
  soup_message_headers_unref (options.headers);
}

/* Cancels ATTEMPT if it is the current one.  */
void
ingress_request_cancel (struct ingress_request *request, guint32 attempt)
{
  if (request->attempt_number == attempt)
    cancel_attempt (request);
}

/* Marks the response as complete and lets libsoup write it. The request itself
   ends once libsoup has written everything; a detached one ends at once.  */
static void
finish_response (struct ingress_request *request)
{
  request->finished = TRUE;
  cancel_attempt (request);
  if (request->detached)
    {
      g_hash_table_remove (request->ingress->requests, &request->id);
      return;
    }
  if (request->stream_started)
    soup_message_body_complete (
        soup_server_message_get_response_body (request->message));
  resume_response (request);
}

/* Sends the client its final error.  */
void
ingress_request_fail (struct ingress_request *request,
                      const struct core_action *action)
{
  const struct ingress_error error = {
    .status = action->fail.status,
    .code = action->fail.code,
    .text = action->fail.ran == CORE_RAN_NO
                ? "the request did not run"
                : "the request could not be completed",
    .ran = core_ran_name (action->fail.ran),
    .retry_after_us = action->fail.retry_after_us,
    .step = action->fail.err.step,
    .peer = action->fail.err.peer,
  };
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "request.fail",
                                  .request_id = request->request_id,
                                  .step = error.step,
                                  .peer = error.peer },
             "%s, ran: %s", error.code, error.ran);
  if (request->stream_started)
    send_bytes (request, ingress_error_event (request->request_id, &error));
  else
    ingress_set_error (request->message, request->request_id, &error);
  finish_response (request);
}

static void
set_response (struct ingress_request *request, guint status,
              const char *content_type, struct str body)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (request->message);
  char attempts[16];
  g_snprintf (attempts, sizeof attempts, "%u", request->attempt_number);
  soup_message_headers_replace (headers, "Jacinthward-Request-Id",
                                request->request_id);
  soup_message_headers_replace (headers, "Jacinthward-Attempts", attempts);
  soup_server_message_set_status (request->message, status, NULL);
  if (body.n > 0)
    soup_server_message_set_response (request->message,
                                      content_type ? content_type
                                                   : "application/octet-stream",
                                      SOUP_MEMORY_COPY, body.p, body.n);
  add_unsent (request, body.n);
}

/* Sends the client the response that the ledger has recorded.  */
void
ingress_request_replay (struct ingress_request *request,
                        const struct core_action *action)
{
  if (action->replay.status == 0)
    {
      const struct ingress_error error = {
        .status = 409,
        .code = "answer_not_kept",
        .text = "the request ran; its response was too large to be stored",
        .ran = "yes",
        .step = "ledger",
        .peer = request->ingress->options.self.s,
      };
      ingress_set_error (request->message, request->request_id, &error);
    }
  else
    {
      char *type = str_dup (action->replay.content_type);
      set_response (request, action->replay.status, type, action->replay.body);
      g_free (type);
    }
  finish_response (request);
}

/* Completes the response with that of the current attempt.  */
void
ingress_request_finish (struct ingress_request *request)
{
  if (!request->stream_started)
    {
      struct str body = { (const char *)request->response_body->data,
                          request->response_body->len };
      set_response (request, request->status, request->response_type, body);
    }
  finish_response (request);
}

/* Extends the stall time-out by US microseconds in which this process did not
   run.  */
void
ingress_request_extend (struct ingress_request *request, gint64 us)
{
  request->last_write += us;
}

/* Disconnects the client if it has read nothing for too long although bytes are
   waiting for it. NOW is monotonic microseconds.  */
void
ingress_request_check_stall (struct ingress_request *request, gint64 now)
{
  gint64 limit = request->ingress->options.limits.client_stall_us;
  if (request->unsent_bytes == 0 || now - request->last_write < limit)
    return;
  counter_add (request->ingress->options.counter_set, COUNTER_CLIENT_SLOW, 1);
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "caller.slow",
                                  .request_id = request->request_id,
                                  .step = "caller.write" },
             "%" G_GSIZE_FORMAT " bytes not read by the client",
             request->unsent_bytes);
  close_connection (request);
  client_disconnected (request);
}
