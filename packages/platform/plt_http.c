#include "platform/plt_http.h"

#include <libsoup/soup.h>
#include <string.h>

#define CALL_CONNECTIONS 16           /* to the platform, short calls */
#define WATCH_CONNECTIONS 8           /* to the platform, watches */
#define IDLE_TIMEOUT_S 5              /* of a kept connection */
#define WATCH_GRACE_US (2 * CLK_S)    /* beyond the watch's own limit */
#define RETRY_AFTER_MAX_S 3600        /* longer advice is cut */
#define READ_BYTES (64 * (gsize)1024) /* of one read */
#define TIMEOUT_MIN_US (1 * CLK_MS)   /* shortest time limit of a call */
#define TIMEOUT_MAX_US (3600 * CLK_S) /* longest time limit of a call */
#define STATUS_TOO_MANY_REQUESTS 429  /* not named by libsoup */
#define VERSION_HEADER_MAX 32         /* bytes of a quoted version */

struct plt_http
{
  SoupSession *calls;
  SoupSession *watches;
  char *address;
  char *authorization; /* header value; NULL: none */
  struct ctr *ctr;     /* borrowed */
  GQueue open;         /* of struct call, through their links */
};

/* One call. It outlives its answer until libsoup has let go of it, since a
   cancelled operation still calls back.  */
struct call
{
  struct plt_http *plt; /* NULL once the call is answered or PLT is freed */
  GList link;           /* in plt->open */
  enum sto_op op;
  SoupMessage *message;
  GCancellable *cancel;
  GInputStream *stream; /* of the answer; NULL before its headers */
  GByteArray *body;
  guint timer;
  int early; /* code that is known without asking the platform */
  sto_done done;
  void *ctx;
};

static SoupSession *
session_new (guint connections)
{
  SoupSession *session = soup_session_new_with_options (
      "max-conns", (int)connections, "max-conns-per-host", (int)connections,
      "idle-timeout", IDLE_TIMEOUT_S, "timeout", 0, NULL);
  soup_session_set_proxy_resolver (session, NULL);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_AUTH_MANAGER);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  return session;
}

/* Returns a client for the platform at OPTIONS->address that the caller frees
   by plt_http_free. Nothing is connected yet.  */
struct plt_http *
plt_http_new (const struct plt_http_options *options)
{
  struct plt_http *plt = g_new0 (struct plt_http, 1);
  plt->calls = session_new (CALL_CONNECTIONS);
  plt->watches = session_new (WATCH_CONNECTIONS);
  plt->address = g_strdup (options->address);
  if (options->token)
    plt->authorization = g_strconcat ("Bearer ", options->token, NULL);
  plt->ctr = options->ctr;
  g_queue_init (&plt->open);
  return plt;
}

/* Takes CALL out of its client. Afterwards no answer is given.  */
static void
call_detach (struct call *call)
{
  g_queue_unlink (&call->plt->open, &call->link);
  call->plt = NULL;
  if (call->timer)
    g_source_remove (call->timer);
  call->timer = 0;
}

static void
call_free (struct call *call)
{
  g_clear_object (&call->message);
  g_clear_object (&call->stream);
  g_clear_object (&call->cancel);
  if (call->body)
    g_byte_array_unref (call->body);
  g_free (call);
}

void
plt_http_free (struct plt_http *plt)
{
  if (!plt)
    return;
  while (plt->open.head)
    {
      struct call *call = plt->open.head->data;
      gboolean early = call->early != 0;
      call_detach (call);
      g_cancellable_cancel (call->cancel);
      if (early)
        call_free (call);
    }
  g_object_unref (plt->calls);
  g_object_unref (plt->watches);
  g_free (plt->address);
  g_free (plt->authorization);
  g_free (plt);
}

/* Tells whether an answer with CODE to OP is a failure of the platform.  */
static gboolean
is_failure (enum sto_op op, int code)
{
  switch (code)
    {
    case 0:
    case ERR_NOT_FOUND:
    case ERR_CONFLICT:
      return FALSE;
    case ERR_TIMEOUT:
      return op != STO_WATCH;
    default:
      return TRUE;
    }
}

/* Gives ANSWER to the owner of CALL, once. DONE may free the client.  */
static void
call_answer (struct call *call, const struct sto_answer *answer)
{
  if (!call->plt)
    return;
  if (is_failure (call->op, answer->code))
    ctr_add (call->plt->ctr, CTR_PLATFORM_ERRORS, 1);
  call_detach (call);
  call->done (call->ctx, answer);
}

static void
call_fail (struct call *call, int code)
{
  call_answer (call, &(struct sto_answer){ .code = code });
}

/* Returns the code for ERROR in transport. Only a refused connection is sure
   to have changed nothing.  */
static int
code_of_error (const GError *error)
{
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
    return ERR_UNAVAILABLE;
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
    return ERR_TIMEOUT;
  return ERR_IO;
}

/* Returns the code for HTTP status STATUS of an answer to OP.  */
static int
code_of_status (enum sto_op op, guint status)
{
  switch (status)
    {
    case SOUP_STATUS_OK:
      return 0;
    case SOUP_STATUS_NO_CONTENT:
      return op == STO_WATCH ? ERR_TIMEOUT : ERR_IO;
    case SOUP_STATUS_NOT_FOUND:
      return ERR_NOT_FOUND;
    case SOUP_STATUS_PRECONDITION_FAILED:
      return ERR_CONFLICT;
    case STATUS_TOO_MANY_REQUESTS:
      return ERR_LIMIT;
    case SOUP_STATUS_SERVICE_UNAVAILABLE:
      return ERR_UNAVAILABLE;
    case SOUP_STATUS_BAD_REQUEST:
      return ERR_INVALID;
    case SOUP_STATUS_UNAUTHORIZED:
    case SOUP_STATUS_FORBIDDEN:
      return ERR_AUTH;
    case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
      return ERR_TOO_LARGE;
    default:
      return ERR_IO;
    }
}

/* Returns the version in the ETag of HEADERS; 0 if there is none.  */
static guint64
version_of (SoupMessageHeaders *headers)
{
  const char *tag = soup_message_headers_get_one (headers, "ETag");
  guint64 version;
  if (!tag || tag[0] != '"')
    return 0;
  char digits[VERSION_HEADER_MAX];
  gsize n = strcspn (tag + 1, "\"");
  if (tag[n + 1] != '"' || tag[n + 2] != '\0' || n >= sizeof digits)
    return 0;
  memcpy (digits, tag + 1, n);
  digits[n] = '\0';
  if (!g_ascii_string_to_unsigned (digits, 10, 1, G_MAXUINT64, &version, NULL))
    return 0;
  return version;
}

/* Returns the advice in Retry-After, microseconds; 0 if there is none.  */
static gint64
retry_after_of (SoupMessageHeaders *headers)
{
  const char *text = soup_message_headers_get_one (headers, "Retry-After");
  guint64 seconds;
  if (!text
      || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT32, &seconds, NULL))
    return 0;
  return (gint64)MIN (seconds, RETRY_AFTER_MAX_S) * CLK_S;
}

/* Answers CALL, whose response has arrived in full.  */
static void
call_complete (struct call *call)
{
  SoupMessageHeaders *headers
      = soup_message_get_response_headers (call->message);
  struct sto_answer answer = {
    .code = code_of_status (call->op, soup_message_get_status (call->message)),
    .version = version_of (headers),
    .retry_after_us = retry_after_of (headers),
  };
  GBytes *body = NULL;
  if (answer.code == 0 && answer.version == 0)
    answer.code = ERR_IO;
  if (answer.code == 0 && call->op != STO_PUT)
    {
      body = g_byte_array_free_to_bytes (call->body);
      call->body = NULL;
      answer.body = body;
    }
  call_answer (call, &answer);
  if (body)
    g_bytes_unref (body);
}

static void call_read (struct call *call);

static void
on_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;
  GError *error = NULL;
  GBytes *bytes = g_input_stream_read_bytes_finish (G_INPUT_STREAM (source),
                                                    result, &error);
  gsize n = bytes ? g_bytes_get_size (bytes) : 0;
  if (n > 0)
    g_byte_array_append (call->body, g_bytes_get_data (bytes, NULL), (guint)n);
  if (bytes)
    g_bytes_unref (bytes);
  if (error)
    call_fail (call, code_of_error (error));
  else if (call->body->len > STO_OBJECT_MAX)
    call_fail (call, ERR_IO);
  else if (n == 0)
    call_complete (call);
  g_clear_error (&error);
  if (call->plt)
    call_read (call);
  else
    call_free (call);
}

static void
call_read (struct call *call)
{
  g_input_stream_read_bytes_async (call->stream, READ_BYTES, G_PRIORITY_DEFAULT,
                                   call->cancel, on_read, call);
}

static void
on_sent (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;
  GError *error = NULL;
  call->stream
      = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  if (!call->stream)
    call_fail (call, code_of_error (error));
  g_clear_error (&error);
  if (call->plt)
    call_read (call);
  else
    call_free (call);
}

/* The time limit: the call is answered now and given up. */
static gboolean
on_timeout (gpointer data)
{
  struct call *call = data;
  GCancellable *cancel = g_object_ref (call->cancel);
  call->timer = 0;
  call_fail (call, call->op == STO_WATCH ? ERR_IO : ERR_TIMEOUT);
  g_cancellable_cancel (cancel);
  g_object_unref (cancel);
  return G_SOURCE_REMOVE;
}

/* Answers a call that never reached the platform. */
static gboolean
on_early (gpointer data)
{
  struct call *call = data;
  call->timer = 0;
  call_fail (call, call->early);
  call_free (call);
  return G_SOURCE_REMOVE;
}

static char *
uri_of (const struct plt_http *plt, const struct sto_call *call)
{
  char *name = g_uri_escape_string (call->name, "/", FALSE);
  GString *uri = g_string_new (NULL);
  g_string_printf (uri, "http://%s/objects/%s", plt->address, name);
  if (call->op == STO_WATCH)
    g_string_append_printf (
        uri, "?watch=%" G_GUINT64_FORMAT "&timeout_ms=%" G_GINT64_FORMAT,
        call->expected, call->timeout_us / CLK_MS);
  g_free (name);
  return g_string_free (uri, FALSE);
}

/* Sets the condition and the value of a write. The write gets a connection of
   its own: on a kept one libsoup would send it again if the platform hung up,
   and the second try would answer "conflict" for the first one's effect.  */
static void
message_set_put (SoupMessage *message, const struct sto_call *call)
{
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  char tag[VERSION_HEADER_MAX];
  g_snprintf (tag, sizeof tag, "\"%" G_GUINT64_FORMAT "\"", call->expected);
  if (call->expected)
    soup_message_headers_replace (headers, "If-Match", tag);
  else
    soup_message_headers_replace (headers, "If-None-Match", "*");
  soup_message_headers_replace (headers, "Connection", "close");
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
  soup_message_set_request_body_from_bytes (message, "application/octet-stream",
                                            call->body);
}

/* Returns the request for CALL, or NULL if it is not valid.  */
static SoupMessage *
message_new (const struct plt_http *plt, const struct sto_call *call)
{
  char *uri = uri_of (plt, call);
  SoupMessage *message
      = soup_message_new (call->op == STO_PUT ? "PUT" : "GET", uri);
  g_free (uri);
  if (!message)
    return NULL;
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  if (plt->authorization)
    soup_message_headers_replace (soup_message_get_request_headers (message),
                                  "Authorization", plt->authorization);
  if (call->op == STO_PUT)
    message_set_put (message, call);
  return message;
}

/* Returns 0 or the code of a call that need not be sent.  */
static int
call_check (const struct sto_call *call)
{
  if (call->name[0] == '\0')
    return ERR_INVALID;
  if (call->op != STO_PUT)
    return 0;
  if (!call->body)
    return ERR_INVALID;
  return g_bytes_get_size (call->body) > STO_OBJECT_MAX ? ERR_TOO_LARGE : 0;
}

static void
count (struct ctr *ctr, enum sto_op op)
{
  switch (op)
    {
    case STO_GET:
      ctr_add (ctr, CTR_PLATFORM_READS, 1);
      break;
    case STO_PUT:
      ctr_add (ctr, CTR_PLATFORM_WRITES, 1);
      break;
    case STO_WATCH:
      ctr_add (ctr, CTR_PLATFORM_WATCHES, 1);
      break;
    }
}

/* Sends CALL, whose message is set, with its time limit in microseconds.  */
static void
call_send (struct call *call, gint64 timeout_us)
{
  gboolean watch = call->op == STO_WATCH;
  gint64 limit = CLAMP (timeout_us, TIMEOUT_MIN_US, TIMEOUT_MAX_US);
  if (watch)
    limit += WATCH_GRACE_US;
  call->body = g_byte_array_new ();
  call->timer = g_timeout_add ((guint)(limit / CLK_MS), on_timeout, call);
  count (call->plt->ctr, call->op);
  soup_session_send_async (watch ? call->plt->watches : call->plt->calls,
                           call->message, G_PRIORITY_DEFAULT, call->cancel,
                           on_sent, call);
}

/* Starts the call REQUEST, whose body may be freed after return. DONE gets
   the answer from the loop with CTX, unless PLT is freed before.  */
void
plt_http_start (struct plt_http *plt, const struct sto_call *request,
                sto_done done, void *ctx)
{
  struct call *call = g_new0 (struct call, 1);
  call->plt = plt;
  call->op = request->op;
  call->done = done;
  call->ctx = ctx;
  call->cancel = g_cancellable_new ();
  call->link.data = call;
  g_queue_push_tail_link (&plt->open, &call->link);
  call->early = call_check (request);
  if (call->early == 0)
    call->message = message_new (plt, request);
  if (call->message)
    {
      call_send (call, request->timeout_us);
      return;
    }
  if (call->early == 0)
    call->early = ERR_INVALID;
  call->timer = g_idle_add (on_early, call);
}
