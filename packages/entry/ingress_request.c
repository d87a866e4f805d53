/* One caller's request: its attempts on backend servers and what the caller
   gets of them.  */
#include "entry/ingress_internal.h"

#include "base/log.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#define STATUS_CALLER_GONE 499 /* never seen by anyone */

static void
raise_event (struct ingress_request *call, const struct core_event *event)
{
  core_handle (call->ingress->options.core, event);
}

static void
drop_attempt (struct ingress_request *call)
{
  if (call->attempt != NULL)
    bkd_cancel (call->attempt);
  call->attempt = NULL;
}

static void
stop_watching (struct ingress_request *call)
{
  if (call->hangup != NULL)
    {
      g_source_destroy (call->hangup);
      g_source_unref (call->hangup);
    }
  call->hangup = NULL;
}

/* Frees a struct ingress_request; for the table of calls.  */
void
ingress_request_free (void *data)
{
  struct ingress_request *call = data;
  drop_attempt (call);
  stop_watching (call);
  g_signal_handlers_disconnect_by_data (call->message, call);
  g_object_unref (call->message);
  g_clear_object (&call->socket);
  g_clear_pointer (&call->body, g_bytes_unref);
  g_free (call->method);
  g_free (call->path);
  g_free (call->content_type);
  g_free (call->idempotency_key);
  g_free (call->answer_type);
  g_clear_pointer (&call->answer, g_byte_array_unref);
  sse_clear (&call->sse);
  g_string_free (call->text, TRUE);
  g_free (call);
}

/* Lets the caller's connection go on with what the message holds now.  */
static void
wake (struct ingress_request *call)
{
  soup_server_message_unpause (call->message);
}

/* Ends the caller's connection. libsoup keeps a message that waits for its
   answer, so it is woken to find that nobody is there.  */
static void
close_connection (struct ingress_request *call)
{
  g_signal_handlers_disconnect_by_data (call->message, call);
  g_socket_shutdown (call->socket, TRUE, TRUE, NULL);
  if (call->finished)
    return;
  if (call->relaying)
    soup_message_body_complete (
        soup_server_message_get_response_body (call->message));
  else
    soup_server_message_set_status (call->message, STATUS_CALLER_GONE, NULL);
  wake (call);
}

/* The caller is gone: the node cancels the work, then the call ends. A call
   under an idempotency key that may run already goes on, so that its answer is
   recorded for the caller's next try.  */
static void
caller_gone (struct ingress_request *call)
{
  struct core_event event = { .kind = CORE_CLIENT_DISCONNECTED };
  struct ingress *ingress = call->ingress;
  guint64 id = call->id;
  stop_watching (call);
  if (call->keyed && call->attempt != NULL && !call->finished)
    {
      call->orphan = TRUE;
      return;
    }
  drop_attempt (call);
  event.client_disconnected = id;
  if (!call->finished)
    raise_event (call, &event);
  g_hash_table_remove (ingress->calls, &id);
}

static void
on_finished (SoupServerMessage *message, gpointer data)
{
  (void)message;
  g_signal_handlers_disconnect_by_data (message, data);
  caller_gone (data);
}

static void
on_wrote_data (SoupServerMessage *message, guint bytes, gpointer data)
{
  struct ingress_request *call = data;
  (void)message;
  call->unsent -= MIN (call->unsent, bytes);
  call->wrote_at = g_get_monotonic_time ();
  if (call->attempt != NULL && call->unsent < INGRESS_UNSENT_LOW)
    bkd_pause (call->attempt, FALSE);
}

/* libsoup does not look at a connection that waits for an answer, so the
   caller's hang-up is found by peeking.  */
static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct ingress_request *call = data;
  char byte;
  gssize n = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  (void)condition;
  if (n > 0)
    {
      /* The next request of the connection; a hang-up shows on writing. */
      stop_watching (call);
      return G_SOURCE_REMOVE;
    }
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return G_SOURCE_CONTINUE;
  close_connection (call);
  caller_gone (call);
  return G_SOURCE_REMOVE;
}

static void
watch_caller (struct ingress_request *call)
{
  call->hangup
      = g_socket_create_source (call->socket, G_IO_IN | G_IO_HUP, NULL);
  g_source_set_callback (call->hangup, (GSourceFunc)(void *)on_readable, call,
                         NULL);
  g_source_attach (call->hangup, NULL);
}

static void
refuse_call (struct ingress_request *call,
             const struct ingress_rejection *refusal)
{
  const struct ingress_error error = {
    .status = refusal->status,
    .code = refusal->code,
    .text = refusal->text,
    .ran = "no",
    .retry_after_us = refusal->status == 503 ? CLK_S : 0,
    .step = "request.read",
    .peer = call->ingress->options.self.s,
  };
  counter_add (
      call->ingress->options.counter_set,
      refusal->status == 503 ? COUNTER_REJECTED : COUNTER_INVALID_REQUEST, 1);
  ingress_set_error (call->message, call->request_id, &error);
}

static struct ingress_request *
new_call (struct ingress *ingress, SoupServerMessage *message)
{
  struct ingress_request *call = g_new0 (struct ingress_request, 1);
  GUri *uri = soup_server_message_get_uri (message);
  const char *query = g_uri_get_query (uri);
  const char *path = g_uri_get_path (uri); /* not decoded */
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  call->ingress = ingress;
  call->id = ++ingress->next_id;
  call->message = g_object_ref (message);
  call->method = g_strdup (soup_server_message_get_method (message));
  call->path = query ? g_strconcat (path, "?", query, NULL) : g_strdup (path);
  call->content_type
      = g_strdup (soup_message_headers_get_one (headers, "Content-Type"));
  call->body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  call->text = g_string_new (NULL);
  g_snprintf (call->request_id, sizeof call->request_id,
              "%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
              ingress->options.self.s, ingress->started, call->id);
  sse_init (&call->sse);
  return call;
}

/* Takes a caller's whole request. The answer comes later.  */
void
ingress_request_start (struct ingress *ingress, SoupServerMessage *message)
{
  struct ingress_request *call = new_call (ingress, message);
  struct core_event event = { .kind = CORE_REQUEST };
  struct ingress_rejection refusal = { 0 };
  GSocket *socket = soup_server_message_get_socket (message);
  event.request.id = call->id;
  int code = ingress_parse_request (call, &event.request, &refusal);
  if (code < 0)
    refuse_call (call, &refusal);
  if (code < 0 || socket == NULL)
    {
      ingress_request_free (call);
      return;
    }
  call->socket = g_object_ref (socket);
  call->wrote_at = g_get_monotonic_time ();
  g_signal_connect (message, "finished", G_CALLBACK (on_finished), call);
  g_signal_connect (message, "wrote-body-data", G_CALLBACK (on_wrote_data),
                    call);
  g_hash_table_insert (ingress->calls, &call->id, call);
  soup_server_message_pause (message);
  watch_caller (call);
  raise_event (call, &event);
}

static void
end_attempt (struct ingress_request *call, enum msg_result result,
             gboolean sent, const struct err *err)
{
  struct core_event event = { .kind = CORE_ATTEMPT_END };
  struct core_attempt_end *end = &event.attempt_end;
  if (result != MSG_RESULT_OK && log_enabled (LOG_INFO))
    log_write (&(struct log_entry){ .level = LOG_INFO,
                                    .event = "attempt.end",
                                    .request_id = call->request_id,
                                    .step = err ? err->step : "attempt",
                                    .peer = err ? err->peer : NULL },
               "attempt %u: %s: %s", call->attempt_number,
               msg_result_name (result), err ? err->text : "");
  end->request = call->id;
  end->attempt = call->attempt_number;
  end->result = result;
  end->sent = sent;
  end->delivered = call->relaying;
  end->resumable = call->text->len <= INGRESS_RESUME_MAX;
  end->status = call->status;
  end->bytes = call->answer ? call->answer->len : 0;
  if (call->answer != NULL && result == MSG_RESULT_OK)
    {
      end->body
          = (struct str){ (const char *)call->answer->data, call->answer->len };
      end->content_type = str_of (call->answer_type);
      if (call->engine && end->body.n > 0)
        end->tokens = ingress_completion_tokens (end->body);
    }
  raise_event (call, &event);
}

static enum msg_result
result_of_head (const struct ingress_request *call, guint status,
                SoupMessageHeaders *headers)
{
  const char *leaving
      = soup_message_headers_get_one (headers, "Jacinthward-Leaving");
  if (!call->engine)
    return status == 503 && call->repeatable ? MSG_RESULT_BUSY : MSG_RESULT_OK;
  if (status == 503 && leaving != NULL && strcmp (leaving, "yes") == 0)
    return MSG_RESULT_LEAVING;
  if (status == 429 || status == 503)
    return MSG_RESULT_BUSY;
  if (status >= 500)
    return MSG_RESULT_BROKEN;
  return MSG_RESULT_OK;
}

static void
on_head (void *ctx, guint status, SoupMessageHeaders *headers)
{
  struct ingress_request *call = ctx;
  enum msg_result result = result_of_head (call, status, headers);
  if (result != MSG_RESULT_OK)
    {
      drop_attempt (call);
      end_attempt (call, result, result == MSG_RESULT_BROKEN, NULL);
      return;
    }
  call->status = status;
  g_free (call->answer_type);
  call->answer_type
      = g_strdup (soup_message_headers_get_one (headers, "Content-Type"));
  call->plain = !call->streamed || status != 200;
}

/* Sends the head of a streamed answer before its first event.  */
static void
start_relaying (struct ingress_request *call)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (call->message);
  call->relaying = TRUE;
  soup_server_message_set_status (call->message, 200, NULL);
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_replace (headers, "Content-Type", "text/event-stream");
  soup_message_headers_replace (headers, "Cache-Control", "no-cache");
  soup_message_headers_replace (headers, "Jacinthward-Request-Id",
                                call->request_id);
  soup_message_body_set_accumulate (
      soup_server_message_get_response_body (call->message), FALSE);
}

static void
send_bytes (struct ingress_request *call, GBytes *bytes)
{
  soup_message_body_append_bytes (
      soup_server_message_get_response_body (call->message), bytes);
  call->unsent += g_bytes_get_size (bytes);
  g_bytes_unref (bytes);
  wake (call);
  if (call->attempt != NULL && call->unsent > INGRESS_UNSENT_HIGH)
    bkd_pause (call->attempt, TRUE);
}

/* Relays the whole events that have arrived; an event that was cut off never
   reaches the caller, so that a resumed stream goes on cleanly.  */
static void
relay_events (struct ingress_request *call)
{
  GString *out = g_string_new (NULL);
  struct str event;
  guint32 tokens = 0;
  while (!call->done_seen && sse_next (&call->sse, &event))
    {
      struct str data = sse_data (event);
      if (str_eq (data, STR_LIT ("[DONE]")))
        call->done_seen = TRUE;
      else if (data.n > 0)
        tokens += ingress_record_event (call, data);
      g_string_append_len (out, event.p, (gssize)event.n);
    }
  if (out->len == 0)
    {
      g_string_free (out, TRUE);
      return;
    }
  if (!call->relaying)
    start_relaying (call);
  call->tokens += tokens;
  gsize bytes = out->len;
  send_bytes (call, g_string_free_to_bytes (out));
  struct core_event note = { .kind = CORE_TOKENS };
  note.tokens.request = call->id;
  note.tokens.attempt = call->attempt_number;
  note.tokens.count = tokens;
  note.tokens.bytes = bytes;
  note.tokens.resumable = call->text->len <= INGRESS_RESUME_MAX;
  if (tokens > 0)
    raise_event (call, &note);
}

static void
break_attempt (struct ingress_request *call, const char *text)
{
  struct err err;
  err_set (&err, ERR_PROTOCOL, "backend.read", call->server.s, "%s", text);
  drop_attempt (call);
  end_attempt (call, MSG_RESULT_BROKEN, TRUE, &err);
}

static void
on_data (void *ctx, struct str data)
{
  struct ingress_request *call = ctx;
  if (call->plain)
    {
      if (call->answer->len + data.n > INGRESS_RESPONSE_MAX)
        break_attempt (call, "answer too large");
      else
        g_byte_array_append (call->answer, (const guint8 *)data.p,
                             (guint)data.n);
      return;
    }
  if (sse_add (&call->sse, data) < 0)
    break_attempt (call, "event too large");
  else
    relay_events (call);
}

static void
on_end (void *ctx, enum msg_result result, gboolean sent, const struct err *err)
{
  struct ingress_request *call = ctx;
  struct err cut;
  call->attempt = NULL;
  if (result == MSG_RESULT_OK && !call->plain && !call->done_seen)
    {
      result = MSG_RESULT_BROKEN;
      err_set (&cut, ERR_CLOSED, "backend.read", call->server.s,
               "the stream ended without its end mark");
      err = &cut;
    }
  end_attempt (call, result, sent, err);
}

/* Headers of the caller that a backend server gets, too. */
static const char *const passed_headers[]
    = { "Accept", "Accept-Language", "User-Agent", "If-None-Match" };

static SoupMessageHeaders *
attempt_headers (const struct ingress_request *call,
                 const struct core_action *action)
{
  SoupMessageHeaders *out
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  SoupMessageHeaders *in
      = soup_server_message_get_request_headers (call->message);
  char value[128];
  for (guint i = 0; i < G_N_ELEMENTS (passed_headers); i++)
    {
      const char *v = soup_message_headers_get_one (in, passed_headers[i]);
      if (v != NULL)
        soup_message_headers_append (out, passed_headers[i], v);
    }
  g_snprintf (value, sizeof value, "%s-%u", call->request_id,
              action->open.attempt);
  soup_message_headers_append (out, "Jacinthward-Attempt", value);
  g_snprintf (value, sizeof value, "%u", action->open.priority);
  soup_message_headers_append (out, "Jacinthward-Priority", value);
  if (call->idempotency_key != NULL)
    soup_message_headers_append (out, "Idempotency-Key", call->idempotency_key);
  return out;
}

/* Starts the attempt that the node asks for.  */
void
ingress_request_open (struct ingress_request *call,
                      const struct core_action *action)
{
  struct bkd_options options = {
    .backend = action->open.backend,
    .method = call->method,
    .path = call->path,
    .body = g_bytes_get_size (call->body) > 0 ? call->body : NULL,
    .content_type
    = call->content_type ? call->content_type : "application/octet-stream",
    .fresh = action->open.fresh,
    .timeout_us = action->open.timeout_us,
    .stall_us = call->engine ? call->ingress->options.limits.backend_stall_us
                             : action->open.timeout_us,
    .head = on_head,
    .data = on_data,
    .end = on_end,
    .ctx = call,
  };
  drop_attempt (call);
  call->attempt_number = action->open.attempt;
  call->server = action->open.backend->name;
  call->status = 0;
  call->done_seen = FALSE;
  call->plain = !call->streamed;
  sse_clear (&call->sse);
  sse_init (&call->sse);
  g_clear_pointer (&call->answer, g_byte_array_unref);
  call->answer = g_byte_array_new ();
  options.headers = attempt_headers (call, action);
  GBytes *resume = action->open.resume && call->relaying
                       ? ingress_resume_body (call)
                       : NULL;
  if (resume != NULL)
    options.body = resume;
  call->attempt = bkd_open (call->ingress->options.bkd, &options);
  g_clear_pointer (&resume, g_bytes_unref);
  soup_message_headers_unref (options.headers);
}

/* Cancels ATTEMPT if it is the running one.  */
void
ingress_request_cancel (struct ingress_request *call, guint32 attempt)
{
  if (call->attempt_number == attempt)
    drop_attempt (call);
}

/* Marks the answer as complete and lets it go out. The call itself ends once
   libsoup has written all.  */
static void
finish (struct ingress_request *call)
{
  call->finished = TRUE;
  drop_attempt (call);
  if (call->orphan)
    {
      g_hash_table_remove (call->ingress->calls, &call->id);
      return;
    }
  if (call->relaying)
    soup_message_body_complete (
        soup_server_message_get_response_body (call->message));
  wake (call);
}

/* Gives the caller its final error.  */
void
ingress_request_fail (struct ingress_request *call,
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
                                  .request_id = call->request_id,
                                  .step = error.step,
                                  .peer = error.peer },
             "%s, ran: %s", error.code, error.ran);
  if (call->relaying)
    send_bytes (call, ingress_error_event (call->request_id, &error));
  else
    ingress_set_error (call->message, call->request_id, &error);
  finish (call);
}

static void
set_answer (struct ingress_request *call, guint status,
            const char *content_type, struct str answer)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (call->message);
  char attempts[16];
  g_snprintf (attempts, sizeof attempts, "%u", call->attempt_number);
  soup_message_headers_replace (headers, "Jacinthward-Request-Id",
                                call->request_id);
  soup_message_headers_replace (headers, "Jacinthward-Attempts", attempts);
  soup_server_message_set_status (call->message, status, NULL);
  if (answer.n > 0)
    soup_server_message_set_response (
        call->message, content_type ? content_type : "application/octet-stream",
        SOUP_MEMORY_COPY, answer.p, answer.n);
  call->unsent += answer.n;
}

/* Gives the caller the answer that the ledger keeps.  */
void
ingress_request_replay (struct ingress_request *call,
                        const struct core_action *action)
{
  if (action->replay.status == 0)
    {
      const struct ingress_error error = {
        .status = 409,
        .code = "answer_not_kept",
        .text = "the request ran; its answer was too large to be kept",
        .ran = "yes",
        .step = "ledger",
        .peer = call->ingress->options.self.s,
      };
      ingress_set_error (call->message, call->request_id, &error);
    }
  else
    {
      char *type = str_dup (action->replay.content_type);
      set_answer (call, action->replay.status, type, action->replay.body);
      g_free (type);
    }
  finish (call);
}

/* The node is satisfied with the running attempt: its answer goes out.  */
void
ingress_request_finish (struct ingress_request *call)
{
  if (!call->relaying)
    {
      struct str answer
          = { (const char *)call->answer->data, call->answer->len };
      set_answer (call, call->status, call->answer_type, answer);
    }
  finish (call);
}

/* Takes US microseconds, in which this instance did not run, off the time for
   which the caller has taken nothing.  */
void
ingress_request_extend (struct ingress_request *call, gint64 us)
{
  call->wrote_at += us;
}

/* Cuts a caller that takes nothing although bytes wait for it.  */
void
ingress_request_check_stall (struct ingress_request *call, gint64 now)
{
  gint64 limit = call->ingress->options.limits.client_stall_us;
  if (call->unsent == 0 || now - call->wrote_at < limit)
    return;
  counter_add (call->ingress->options.counter_set, COUNTER_CLIENT_SLOW, 1);
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "caller.slow",
                                  .request_id = call->request_id,
                                  .step = "caller.write" },
             "%" G_GSIZE_FORMAT " bytes not taken", call->unsent);
  close_connection (call);
  caller_gone (call);
}
