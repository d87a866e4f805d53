/* Completion requests of the stand-in engine: the responses, streamed or not,
   and the faults in them.  */
#include "standin/completion.h"
#include "standin/engine_internal.h"
#include "standin/faketext.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define EXIT_CRASHED 70     /* exit status of the fault exit_after_tokens */
#define CHUNK_FAULT_EVERY 8 /* every eighth chunk is late or repeated */

/* The response to a completion request, streamed or not. Freed when libsoup
   has finished its message.  */
struct response
{
  struct engine *engine;
  SoupServerMessage *msg;  /* ref */
  struct batcher_seq *seq; /* NULL once it is done or cancelled */
  struct completion completion;
  char *attempt; /* may be NULL */
  GSource *client_source;
  GString *pending;     /* bytes that are not passed to libsoup yet */
  guint delay_timer;    /* ends the delay of a late chunk; 0: none */
  gboolean resumed;     /* the request names a position */
  guint resumed_tokens; /* tokens that the client already had */
  gint64 crash_after;
  gboolean complete; /* all bytes are in pending or passed to libsoup */
};

static void
record_event (struct response *response, const char *kind, gint64 n)
{
  struct standin_event event = { .kind = kind,
                                 .id = response->completion.id,
                                 .attempt = response->attempt,
                                 .n = n };
  standin_history (&response->engine->standin, &event);
}

static void
stop_watching_client (struct response *response)
{
  if (response->client_source == NULL)
    return;
  g_source_destroy (response->client_source);
  g_clear_pointer (&response->client_source, g_source_unref);
}

static void
cancel (struct response *response)
{
  if (response->seq == NULL)
    return;
  record_event (response, "cancel", response->seq->generated);
  response->engine->counts.cancelled++;
  batcher_cancel (response->engine->batcher, response->seq);
  response->seq = NULL;
}

/* Sends the bytes written since the last call as one TCP segment. If CORK is
   1, the kernel holds back further bytes until the next call.  */
static void
push_segment (SoupServerMessage *msg, int cork)
{
  GSocket *socket = soup_server_message_get_socket (msg);
  static const int off = 0;
  if (socket == NULL)
    return;
  int fd = g_socket_get_fd (socket);
  setsockopt (fd, IPPROTO_TCP, TCP_CORK, &off, sizeof off);
  if (cork)
    setsockopt (fd, IPPROTO_TCP, TCP_CORK, &cork, sizeof cork);
}

/* libsoup writes a chunk in three pieces, which are sent together here.  */
static void
on_wrote_chunk (SoupServerMessage *msg, gpointer ctx)
{
  const struct response *response = ctx;
  push_segment (msg, !response->complete);
}

/* libsoup is done with the response, complete or not.  */
static void
on_finished (SoupServerMessage *msg, gpointer ctx)
{
  struct response *response = ctx;
  push_segment (msg, 0);
  cancel (response);
  stop_watching_client (response);
  if (response->delay_timer != 0)
    g_source_remove (response->delay_timer);
  g_signal_handlers_disconnect_by_data (response->msg, response);
  g_object_unref (response->msg);
  g_string_free (response->pending, TRUE);
  completion_clear (&response->completion);
  g_free (response->attempt);
  g_free (response);
}

/* The client sent something or disconnected while it waits for its response.
   Only a disconnect cancels the request.  */
static gboolean
on_client_event (GSocket *socket, GIOCondition condition, gpointer ctx)
{
  (void)condition;
  struct response *response = ctx;
  char byte;
  gboolean open
      = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  stop_watching_client (response);
  if (open)
    return G_SOURCE_REMOVE;
  cancel (response);
  standin_drop (response->msg);
  return G_SOURCE_REMOVE;
}

static void
watch_client (struct response *response)
{
  GSocket *socket = soup_server_message_get_socket (response->msg);
  response->client_source = g_socket_create_source (
      socket, (GIOCondition)(G_IO_IN | G_IO_HUP | G_IO_ERR), NULL);
  g_source_set_callback (response->client_source,
                         G_SOURCE_FUNC (on_client_event), response, NULL);
  g_source_attach (response->client_source, NULL);
}

/* Passes the pending bytes to libsoup.  */
static void
flush (struct response *response)
{
  SoupMessageBody *body = soup_server_message_get_response_body (response->msg);
  if (response->pending->len > 0)
    soup_message_body_append (body, SOUP_MEMORY_COPY, response->pending->str,
                              response->pending->len);
  g_string_truncate (response->pending, 0);
  if (response->complete)
    {
      stop_watching_client (response);
      soup_message_body_complete (body);
    }
  soup_server_message_unpause (response->msg);
}

static gboolean
on_delay_elapsed (gpointer ctx)
{
  struct response *response = ctx;
  response->delay_timer = 0;
  flush (response);
  return G_SOURCE_REMOVE;
}

/* Sends a response that is not streamed.  */
static void
send_complete (struct response *response)
{
  GString *out = g_string_new (NULL);
  completion_object (&response->completion, response->resumed_tokens, out);
  stop_watching_client (response);
  standin_respond (response->msg, SOUP_STATUS_OK, out->str);
  g_string_free (out, TRUE);
}

/* Counts a generated token. Ends the process at the one that the fault
   exit_after_tokens names.  */
static void
count_token (struct engine *engine)
{
  engine->counts.tokens++;
  if (engine->tokens_until_exit > 0 && --engine->tokens_until_exit == 0)
    {
      struct standin_event event = { .kind = "crash" };
      standin_history (&engine->standin, &event);
      _exit (EXIT_CRASHED);
    }
}

/* Writes token number N to the stream, with the faults of late and repeated
   chunks. Chunks that follow a late one wait with it.  */
static void
write_chunk (struct response *response, guint n)
{
  struct faults *faults = &response->engine->faults;
  gboolean faulty = n % CHUNK_FAULT_EVERY == CHUNK_FAULT_EVERY - 1;
  completion_chunk (&response->completion, n, response->pending);
  if (faults->repeat_chunk && faulty)
    completion_chunk (&response->completion, n, response->pending);
  if (n + 1 == response->completion.response_tokens)
    {
      completion_last_chunk (&response->completion, response->pending);
      response->complete = TRUE;
    }
  if (faults->late_chunk_ms > 0 && faulty && response->delay_timer == 0)
    response->delay_timer = g_timeout_add ((guint)faults->late_chunk_ms,
                                           on_delay_elapsed, response);
  if (response->delay_timer == 0)
    flush (response);
}

void
engine_on_token (struct batcher_seq *seq)
{
  struct response *response = seq->request.ctx;
  struct engine *engine = response->engine;
  count_token (engine);
  if (response->crash_after > 0 && seq->generated >= response->crash_after)
    {
      cancel (response);
      stop_watching_client (response);
      standin_drop (response->msg);
      return;
    }
  gboolean last = seq->generated >= seq->request.response_tokens;
  if (last)
    {
      record_event (response, "done", seq->generated);
      engine->counts.done++;
      response->seq = NULL;
    }
  if (response->completion.stream)
    write_chunk (response, seq->generated - 1);
  else if (last)
    send_complete (response);
}

/* Reads from the request body OBJECT the tokens that the client of a resumed
   response already has. Returns FALSE if they are not the beginning of this
   response.  */
static gboolean
parse_resume (struct response *response, JsonObject *object)
{
  JsonNode *node = json_object_get_member (object, "jacinthward_resume");
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return FALSE;
  JsonObject *resume = json_node_get_object (node);
  gint64 tokens
      = json_object_get_int_member_with_default (resume, "tokens", -1);
  const char *text
      = json_object_get_string_member_with_default (resume, "text", "");
  if (tokens < 0 || tokens > response->completion.response_tokens)
    return FALSE;
  response->resumed = TRUE;
  response->resumed_tokens = (guint)tokens;
  response->engine->counts.resumed++;
  GString *expected = g_string_new (NULL);
  faketext_append (expected, response->completion.prompt_hash, 0,
                   response->resumed_tokens);
  gboolean ok = strcmp (expected->str, text) == 0;
  g_string_free (expected, TRUE);
  return ok;
}

static void
begin_stream (struct response *response)
{
  SoupServerMessage *msg = response->msg;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (msg);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_replace (headers, "Content-Type", "text/event-stream");
  soup_message_headers_replace (headers, "Cache-Control", "no-cache");
  if (response->resumed)
    {
      char *tokens = g_strdup_printf ("%u", response->resumed_tokens);
      soup_message_headers_replace (headers, "Jacinthward-Resumed", tokens);
      g_free (tokens);
    }
  soup_message_body_set_accumulate (soup_server_message_get_response_body (msg),
                                    FALSE);
  push_segment (msg, 1);
  g_signal_connect (msg, "wrote-chunk", G_CALLBACK (on_wrote_chunk), response);
}

/* Returns whether to reject a request because of the fault "refuse". Its share
   of rejected requests is spread evenly.  */
static gboolean
should_reject (struct engine *engine)
{
  engine->rejection_credit += engine->faults.refuse;
  if (engine->rejection_credit < 1)
    return FALSE;
  engine->rejection_credit -= 1;
  return TRUE;
}

/* Responds to MSG with an error if a fault makes the engine reject it. Returns
   whether it did.  */
static gboolean
reject (struct engine *engine, SoupServerMessage *msg)
{
  if (engine->faults.leaving)
    {
      soup_message_headers_replace (
          soup_server_message_get_response_headers (msg), "Jacinthward-Leaving",
          "yes");
      standin_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "leaving");
    }
  else if (should_reject (engine))
    standin_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "refused");
  else
    return FALSE;
  engine->counts.rejected++;
  return TRUE;
}

static guint
request_priority (SoupServerMessage *msg)
{
  const char *text = standin_header (msg, "Jacinthward-Priority");
  return text == NULL ? 0 : (guint)g_ascii_strtoull (text, NULL, 10);
}

static void
enqueue (struct response *response)
{
  struct engine *engine = response->engine;
  const struct completion *completion = &response->completion;
  struct batcher_request request
      = { .priority = request_priority (response->msg),
          .prefix_hash = completion->prefix_hash,
          .prefix_tokens = completion->prefix_tokens,
          .prompt_tokens = completion->prompt_tokens,
          .resumed_tokens = response->resumed_tokens,
          .response_tokens = completion->response_tokens,
          .ctx = response };
  response->seq = batcher_add (engine->batcher, &request);
  if (response->seq == NULL)
    {
      engine->counts.rejected++;
      standin_error (response->msg, STANDIN_TOO_MANY_REQUESTS, "full");
      return;
    }
  if (engine->faults.crash_requests > 0)
    {
      engine->faults.crash_requests--;
      response->crash_after = engine->faults.crash_after_tokens;
    }
  record_event (response, "start", response->resumed_tokens);
  engine->counts.started++;
  watch_client (response);
  if (completion->stream)
    begin_stream (response);
  engine_schedule (engine);
}

/* Handles a completion request, of the chat interface if CHAT.  */
void
engine_handle_completion (struct engine *engine, SoupServerMessage *msg,
                          gboolean chat)
{
  if (reject (engine, msg))
    return;
  struct completion completion;
  JsonNode *body = standin_body (msg);
  gboolean ok = body != NULL
                && completion_parse (&completion, json_node_get_object (body),
                                     chat, ++engine->last_id);
  if (!ok)
    {
      g_clear_pointer (&body, json_node_unref);
      standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_request");
      return;
    }
  struct response *response = g_new0 (struct response, 1);
  response->engine = engine;
  response->msg = g_object_ref (msg);
  response->completion = completion;
  response->attempt = g_strdup (standin_header (msg, "Jacinthward-Attempt"));
  response->pending = g_string_new (NULL);
  g_signal_connect (msg, "finished", G_CALLBACK (on_finished), response);
  if (!parse_resume (response, json_node_get_object (body))
      || response->resumed_tokens >= completion.response_tokens)
    standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_resume");
  else
    enqueue (response);
  json_node_unref (body);
}
