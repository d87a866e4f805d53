/* Stand-in for an inference engine: a process that implements the engine side
   of docs/INTERFACES.md and generates texts that a test can compute.  */
#include "standin/completion.h"
#include "standin/batcher.h"
#include "standin/eventlog.h"
#include "standin/order_receiver.h"
#include "standin/standin.h"
#include "standin/faketext.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define EXIT_CRASHED 70     /* exit status of the fault exit_after_tokens */
#define CHUNK_FAULT_EVERY 8 /* every eighth chunk is late or repeated */
#define US_PER_MS 1000

struct faults
{
  double slow_factor;        /* multiplies the duration of a step; 0: none */
  double refuse;             /* share of requests rejected with 503 */
  gint64 crash_after_tokens; /* closes the connection after that many; 0: no */
  gint64 crash_requests;     /* further requests that it applies to */
  gint64 exit_after_tokens;  /* ends the process after that many; 0: no */
  gint64 late_chunk_ms;      /* delays every eighth chunk */
  gboolean repeat_chunk;     /* sends every eighth chunk twice */
  gboolean leaving;    /* draining: rejects with 503 and Jacinthward-Leaving */
  gboolean lying_load; /* GET /load reports the next three values */
  gint64 running;
  gint64 waiting;
  gint64 tbt_us;
};

static struct standin_field fields[] = {
  STANDIN_FIELD (slow_factor, STANDIN_DOUBLE),
  STANDIN_FIELD (refuse, STANDIN_DOUBLE),
  STANDIN_FIELD (crash_after_tokens, STANDIN_INT),
  STANDIN_FIELD (crash_requests, STANDIN_INT),
  STANDIN_FIELD (exit_after_tokens, STANDIN_INT),
  STANDIN_FIELD (late_chunk_ms, STANDIN_INT),
  STANDIN_FIELD (repeat_chunk, STANDIN_BOOL),
  STANDIN_FIELD (leaving, STANDIN_BOOL),
  STANDIN_FIELD (lying_load, STANDIN_BOOL),
  STANDIN_FIELD (running, STANDIN_INT),
  STANDIN_FIELD (waiting, STANDIN_INT),
  STANDIN_FIELD (tbt_us, STANDIN_INT),
};

struct load
{
  gint64 time_us; /* monotonic */
  guint running;
  guint waiting;
  double kv_used;
  gint64 tbt_us;
};

struct counts
{
  gint64 started;
  gint64 done;
  gint64 cancelled;
  gint64 rejected;
  gint64 tokens;
  gint64 resumed;
};

struct engine
{
  struct standin standin; /* first, so that callbacks can cast from it */
  struct batcher_options options;
  struct batcher *batcher;
  struct receiver receiver;
  struct faults faults;
  struct counts counts;
  struct load load_report; /* for GET /load; unused if load_lag_ms is 0 */
  struct eventlog events;
  gint64 load_lag_ms;
  char *checks_fence;
  guint64 last_id;
  double rejection_credit;  /* sum of the shares since the last rejection */
  gint64 tokens_until_exit; /* by the fault exit_after_tokens; 0: no */
  int step_timer;           /* timerfd; fires at the end of the step */
  gboolean step_running;
  gint64 step_us;
  gint64 step_end; /* monotonic */
};

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
  guint resumed_tokens; /* tokens that the client already had */
  gint64 crash_after;
  gboolean complete; /* all bytes are in pending or passed to libsoup */
};

static struct engine the_engine = {
  .options = { .base_us = 5000,
               .seq_us = 50,
               .prefill_per_s = 20000,
               .max_batch = 256,
               .max_waiting = 1024,
               .kv_tokens = 200000 },
};

static void schedule (struct engine *engine);

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

static void
on_token (struct batcher_seq *seq)
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

static gboolean
on_step (gint fd, GIOCondition condition, gpointer ctx)
{
  (void)condition;
  struct engine *engine = ctx;
  guint64 expirations;
  if (read (fd, &expirations, sizeof expirations) < 0)
    return G_SOURCE_CONTINUE;
  engine->step_running = FALSE;
  if (!engine->standin.frozen)
    batcher_end_step (engine->batcher, on_token);
  schedule (engine);
  return G_SOURCE_CONTINUE;
}

/* Starts the next step unless one is running or the engine is frozen.
   Back-to-back steps are timed from the scheduled end of the previous one, so
   that timer delays do not add up.  */
static void
schedule (struct engine *engine)
{
  if (engine->step_running || engine->standin.frozen)
    return;
  gint64 duration_us = batcher_begin_step (engine->batcher);
  if (duration_us == 0)
    return;
  if (engine->faults.slow_factor > 0)
    duration_us = (gint64)((double)duration_us * engine->faults.slow_factor);
  gint64 now = g_get_monotonic_time ();
  engine->step_us = duration_us;
  engine->step_end = MAX (engine->step_end, now - duration_us) + duration_us;
  gint64 wait = MAX (engine->step_end - now, 1);
  struct itimerspec at
      = { .it_value = { .tv_sec = wait / G_USEC_PER_SEC,
                        .tv_nsec = wait % G_USEC_PER_SEC * 1000 } };
  timerfd_settime (engine->step_timer, 0, &at, NULL);
  engine->step_running = TRUE;
}

static void
on_cache_change (void *ctx, guint64 prefix_hash, gboolean cached)
{
  struct engine *engine = ctx;
  eventlog_add (&engine->events, g_get_monotonic_time (), prefix_hash, cached);
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
  schedule (engine);
}

static void
handle_completion (struct engine *engine, SoupServerMessage *msg, gboolean chat)
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

static struct load
measure_load (struct engine *engine)
{
  double kv = (double)batcher_kv_used (engine->batcher);
  return (struct load){ .time_us = g_get_monotonic_time (),
                        .running = batcher_running (engine->batcher),
                        .waiting = batcher_waiting (engine->batcher),
                        .kv_used = kv / (double)engine->options.kv_tokens,
                        .tbt_us = engine->step_us };
}

static gboolean
on_load_timer (gpointer ctx)
{
  struct engine *engine = ctx;
  engine->load_report = measure_load (engine);
  return G_SOURCE_CONTINUE;
}

static void
handle_load (struct engine *engine, SoupServerMessage *msg)
{
  struct load load = engine->load_report;
  struct faults *faults = &engine->faults;
  if (engine->load_lag_ms == 0)
    load = measure_load (engine);
  gint64 age_ms = (g_get_monotonic_time () - load.time_us) / US_PER_MS;
  gboolean lying = faults->lying_load;
  char kv[G_ASCII_DTOSTR_BUF_SIZE];
  g_ascii_formatd (kv, sizeof kv, "%.4f", MIN (load.kv_used, 1));
  char *json = g_strdup_printf (
      "{\"running\": %" G_GINT64_FORMAT ", \"waiting\": %" G_GINT64_FORMAT
      ", \"kv_used\": %s, \"tbt_us\": %" G_GINT64_FORMAT
      ", \"age_ms\": %" G_GINT64_FORMAT ", \"leaving\": %s}",
      lying ? faults->running : load.running,
      lying ? faults->waiting : load.waiting, kv,
      lying ? faults->tbt_us : load.tbt_us, lying ? 0 : age_ms,
      faults->leaving ? "true" : "false");
  standin_respond (msg, SOUP_STATUS_OK, json);
  g_free (json);
}

static void
handle_events (struct engine *engine, SoupServerMessage *msg, GHashTable *query)
{
  const char *after = query ? g_hash_table_lookup (query, "after") : NULL;
  char *json = eventlog_to_json (
      &engine->events, after != NULL ? g_ascii_strtoull (after, NULL, 10) : 0,
      g_get_monotonic_time ());
  standin_respond (msg, SOUP_STATUS_OK, json);
  g_free (json);
}

static void
respond_order (struct engine *engine, SoupServerMessage *msg,
               const struct receiver_order *order)
{
  static const char *const kinds[]
      = { "order_applied", "order_repeated", "order_refused", "order_invalid" };
  enum receiver_result result = receiver_apply (&engine->receiver, order);
  struct standin_event event = { .kind = kinds[result],
                                 .id = order->id,
                                 .name = order->name,
                                 .version = order->fence };
  standin_history (&engine->standin, &event);
  char *json;
  switch (result)
    {
    case RECEIVER_APPLIED:
    case RECEIVER_REPEATED:
      standin_respond (msg, SOUP_STATUS_OK, "{\"applied\": true}");
      break;
    case RECEIVER_OLD_FENCE:
      json = g_strdup_printf ("{\"fence\": %" G_GUINT64_FORMAT "}",
                              engine->receiver.fence);
      standin_respond (msg, SOUP_STATUS_CONFLICT, json);
      g_free (json);
      break;
    case RECEIVER_INVALID:
      standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_order");
      break;
    }
}

static void
handle_orders (struct engine *engine, SoupServerMessage *msg)
{
  if (strcmp (soup_server_message_get_method (msg), "GET") == 0)
    {
      char *json = receiver_to_json (&engine->receiver);
      standin_respond (msg, SOUP_STATUS_OK, json);
      g_free (json);
      return;
    }
  struct receiver_order order;
  JsonNode *body = standin_body (msg);
  if (body != NULL && receiver_parse (&order, json_node_get_object (body)))
    respond_order (engine, msg, &order);
  else
    standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_order");
  g_clear_pointer (&body, json_node_unref);
}

static void
handle (struct standin *standin, SoupServerMessage *msg, const char *path,
        GHashTable *query)
{
  struct engine *engine = (struct engine *)standin;
  if (strcmp (path, "/v1/chat/completions") == 0)
    handle_completion (engine, msg, TRUE);
  else if (strcmp (path, "/v1/completions") == 0)
    handle_completion (engine, msg, FALSE);
  else if (strcmp (path, "/load") == 0)
    handle_load (engine, msg);
  else if (strcmp (path, "/events") == 0)
    handle_events (engine, msg, query);
  else if (strcmp (path, "/orders") == 0)
    handle_orders (engine, msg);
  else
    standin_error (msg, SOUP_STATUS_NOT_FOUND, "unknown_path");
}

static void
on_faults_changed (struct standin *standin)
{
  struct engine *engine = (struct engine *)standin;
  struct faults *faults = &engine->faults;
  engine->tokens_until_exit = faults->exit_after_tokens;
  if (faults->crash_after_tokens > 0 && faults->crash_requests == 0)
    faults->crash_requests = 1;
  schedule (engine);
}

static char *
counts_json (struct standin *standin)
{
  const struct engine *engine = (const struct engine *)standin;
  const struct counts *counts = &engine->counts;
  return g_strdup_printf (
      "{\"started\": %" G_GINT64_FORMAT ", \"done\": %" G_GINT64_FORMAT
      ", \"cancelled\": %" G_GINT64_FORMAT ", \"refused\": %" G_GINT64_FORMAT
      ", \"tokens\": %" G_GINT64_FORMAT ", \"resumed\": %" G_GINT64_FORMAT
      ", \"running\": %u, \"waiting\": %u}",
      counts->started, counts->done, counts->cancelled, counts->rejected,
      counts->tokens, counts->resumed, batcher_running (engine->batcher),
      batcher_waiting (engine->batcher));
}

static gboolean
prepare (struct standin *standin)
{
  struct engine *engine = (struct engine *)standin;
  const char *checks = engine->checks_fence;
  const struct batcher_options *options = &engine->options;
  if (options->base_us < 0 || options->seq_us < 0 || options->prefill_per_s < 1
      || engine->load_lag_ms < 0)
    return FALSE;
  engine->batcher = batcher_new (&engine->options, on_cache_change, engine);
  receiver_init (&engine->receiver,
                 checks == NULL || strcmp (checks, "yes") == 0);
  engine->step_timer
      = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  g_unix_fd_add (engine->step_timer, G_IO_IN, on_step, engine);
  engine->load_report = measure_load (engine);
  if (engine->load_lag_ms > 0)
    g_timeout_add ((guint)engine->load_lag_ms, on_load_timer, engine);
  return TRUE;
}

int
main (int argc, char **argv)
{
  struct engine *engine = &the_engine;
  GOptionEntry entries[] = {
    { "base-us", 0, 0, G_OPTION_ARG_INT64, &engine->options.base_us,
      "Duration of a step with an empty batch", "US" },
    { "seq-us", 0, 0, G_OPTION_ARG_INT64, &engine->options.seq_us,
      "Time that each sequence adds to a step", "US" },
    { "prefill-per-s", 0, 0, G_OPTION_ARG_INT64, &engine->options.prefill_per_s,
      "Prompt tokens processed per second", "N" },
    { "max-batch", 0, 0, G_OPTION_ARG_INT, &engine->options.max_batch,
      "Sequences in a batch", "N" },
    { "max-waiting", 0, 0, G_OPTION_ARG_INT, &engine->options.max_waiting,
      "Sequences in the queue", "N" },
    { "kv-tokens", 0, 0, G_OPTION_ARG_INT64, &engine->options.kv_tokens,
      "KV memory in tokens", "N" },
    { "load-lag-ms", 0, 0, G_OPTION_ARG_INT64, &engine->load_lag_ms,
      "Interval between load reports; 0: always current", "MS" },
    { "events-delay-ms", 0, 0, G_OPTION_ARG_INT64, &engine->events.delay_ms,
      "Delay of cache events", "MS" },
    { "events-gap", 0, 0, G_OPTION_ARG_INT64, &engine->events.drop_every,
      "Loses every Nth cache event", "N" },
    { "checks-fence", 0, 0, G_OPTION_ARG_STRING, &engine->checks_fence,
      "Whether to reject orders with an old fencing number", "yes|no" },
    G_OPTION_ENTRY_NULL,
  };
  struct standin_options options = { .kind = "engine",
                                     .entries = entries,
                                     .handler = handle,
                                     .prepare = prepare,
                                     .counts = counts_json,
                                     .changed = on_faults_changed,
                                     .faults = &engine->faults,
                                     .fields = fields,
                                     .n_fields = G_N_ELEMENTS (fields) };
  return standin_main (&engine->standin, &options, argc, argv);
}
