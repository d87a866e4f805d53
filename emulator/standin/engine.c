/* The stand-in for a model engine: a process that speaks the engines' side of
   docs/INTERFACES.md and generates texts that a test can compute.  */
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

#define EXIT_CRASHED 70     /* status of a crash by exit_after_tokens */
#define CHUNK_FAULT_EVERY 8 /* tokens between late or repeated chunks */
#define US_PER_MS 1000

struct faults
{
  double slow_factor;        /* of the time of a step; 0: 1 */
  double refuse;             /* share of requests answered by 503 */
  gint64 crash_after_tokens; /* drops the connection after so many; 0: no */
  gint64 crash_requests;     /* requests that are still to be dropped */
  gint64 exit_after_tokens;  /* ends the process after so many; 0: no */
  gint64 late_chunk_ms;      /* holds every eighth chunk back */
  gboolean repeat_chunk;     /* sends every eighth chunk twice */
  gboolean leaving;          /* draining: 503 and Jacinthward-Leaving */
  gboolean lying_load;       /* GET /load gives the next three */
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
  gint64 t; /* monotonic, microseconds */
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
  gint64 refused;
  gint64 tokens;
  gint64 resumed;
};

struct engine
{
  struct standin standin; /* first, so that a struct std leads to it */
  struct batcher_options options;
  struct batcher *batcher;
  struct receiver receiver;
  struct faults faults;
  struct counts counts;
  struct load reported; /* what GET /load gives */
  struct eventlog events;
  gint64 load_lag_ms;
  char *checks_fence;
  guint64 requests;
  double refuse_sum; /* shares of refusals since the last one */
  gint64 exit_left;  /* tokens until the process ends */
  int timer;         /* timerfd of the step */
  gboolean stepping;
  gint64 step_us;
  gint64 step_end; /* monotonic, microseconds */
};

/* A completion in progress; freed when libsoup has finished its message. */
struct stream
{
  struct engine *engine;
  SoupServerMessage *msg;  /* ref */
  struct batcher_seq *seq; /* NULL once it is done or cancelled */
  struct completion completion;
  char *attempt; /* may be NULL */
  GSource *hangup;
  GString *pending; /* bytes that are held back */
  guint late;       /* timeout that ends the hold; 0: none */
  guint first;      /* tokens that the caller had */
  gint64 crash_after;
  gboolean ended; /* all bytes are handed to libsoup */
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
stream_event (struct stream *stream, const char *kind, gint64 n)
{
  struct standin_event event = { .kind = kind,
                                 .id = stream->completion.id,
                                 .attempt = stream->attempt,
                                 .n = n };
  standin_history (&stream->engine->standin, &event);
}

static void
stop_watching (struct stream *stream)
{
  if (stream->hangup == NULL)
    return;
  g_source_destroy (stream->hangup);
  g_clear_pointer (&stream->hangup, g_source_unref);
}

static void
cancel (struct stream *stream)
{
  if (stream->seq == NULL)
    return;
  stream_event (stream, "cancel", stream->seq->done);
  stream->engine->counts.cancelled++;
  batcher_cancel (stream->engine->batcher, stream->seq);
  stream->seq = NULL;
}

/* Sends what is written since the last call as one segment, and holds further
   bytes back if CORK.  */
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

/* libsoup writes a chunk in three pieces.  */
static void
on_wrote_chunk (SoupServerMessage *msg, gpointer ctx)
{
  const struct stream *stream = ctx;
  push_segment (msg, !stream->ended);
}

static void
on_finished (SoupServerMessage *msg, gpointer ctx)
{
  struct stream *stream = ctx;
  push_segment (msg, 0);
  cancel (stream);
  stop_watching (stream);
  if (stream->late != 0)
    g_source_remove (stream->late);
  g_signal_handlers_disconnect_by_data (stream->msg, stream);
  g_object_unref (stream->msg);
  g_string_free (stream->pending, TRUE);
  completion_clear (&stream->completion);
  g_free (stream->attempt);
  g_free (stream);
}

/* The caller sent something or hung up while it waits for its answer.  */
static gboolean
on_hangup (GSocket *socket, GIOCondition condition, gpointer ctx)
{
  (void)condition;
  struct stream *stream = ctx;
  char byte;
  gboolean open
      = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  stop_watching (stream);
  if (open)
    return G_SOURCE_REMOVE;
  cancel (stream);
  standin_drop (stream->msg);
  return G_SOURCE_REMOVE;
}

static void
watch_hangup (struct stream *stream)
{
  GSocket *socket = soup_server_message_get_socket (stream->msg);
  stream->hangup = g_socket_create_source (
      socket, (GIOCondition)(G_IO_IN | G_IO_HUP | G_IO_ERR), NULL);
  g_source_set_callback (stream->hangup, G_SOURCE_FUNC (on_hangup), stream,
                         NULL);
  g_source_attach (stream->hangup, NULL);
}

static void
flush (struct stream *stream)
{
  SoupMessageBody *body = soup_server_message_get_response_body (stream->msg);
  if (stream->pending->len > 0)
    soup_message_body_append (body, SOUP_MEMORY_COPY, stream->pending->str,
                              stream->pending->len);
  g_string_truncate (stream->pending, 0);
  if (stream->ended)
    {
      stop_watching (stream);
      soup_message_body_complete (body);
    }
  soup_server_message_unpause (stream->msg);
}

static gboolean
on_late (gpointer ctx)
{
  struct stream *stream = ctx;
  stream->late = 0;
  flush (stream);
  return G_SOURCE_REMOVE;
}

static void
end_whole (struct stream *stream)
{
  GString *out = g_string_new (NULL);
  completion_object (&stream->completion, stream->first, out);
  stop_watching (stream);
  standin_reply (stream->msg, SOUP_STATUS_OK, out->str);
  g_string_free (out, TRUE);
}

static void
count_token (struct engine *engine)
{
  engine->counts.tokens++;
  if (engine->exit_left > 0 && --engine->exit_left == 0)
    {
      struct standin_event event = { .kind = "crash" };
      standin_history (&engine->standin, &event);
      _exit (EXIT_CRASHED);
    }
}

static void
write_chunk (struct stream *stream, guint n)
{
  struct faults *faults = &stream->engine->faults;
  gboolean faulty = n % CHUNK_FAULT_EVERY == CHUNK_FAULT_EVERY - 1;
  completion_chunk (&stream->completion, n, stream->pending);
  if (faults->repeat_chunk && faulty)
    completion_chunk (&stream->completion, n, stream->pending);
  if (n + 1 == stream->completion.total)
    {
      completion_last_chunk (&stream->completion, stream->pending);
      stream->ended = TRUE;
    }
  if (faults->late_chunk_ms > 0 && faulty && stream->late == 0)
    stream->late
        = g_timeout_add ((guint)faults->late_chunk_ms, on_late, stream);
  if (stream->late == 0)
    flush (stream);
}

static void
on_token (struct batcher_seq *seq)
{
  struct stream *stream = seq->request.ctx;
  struct engine *engine = stream->engine;
  count_token (engine);
  if (stream->crash_after > 0 && seq->done >= stream->crash_after)
    {
      cancel (stream);
      stop_watching (stream);
      standin_drop (stream->msg);
      return;
    }
  gboolean last = seq->done >= seq->request.total;
  if (last)
    {
      stream_event (stream, "done", seq->done);
      engine->counts.done++;
      stream->seq = NULL;
    }
  if (stream->completion.stream)
    write_chunk (stream, seq->done - 1);
  else if (last)
    end_whole (stream);
}

static gboolean
on_step (gint fd, GIOCondition condition, gpointer ctx)
{
  (void)condition;
  struct engine *engine = ctx;
  guint64 expirations;
  if (read (fd, &expirations, sizeof expirations) < 0)
    return G_SOURCE_CONTINUE;
  engine->stepping = FALSE;
  if (!engine->standin.frozen)
    batcher_end_step (engine->batcher, on_token);
  schedule (engine);
  return G_SOURCE_CONTINUE;
}

/* Starts the next step unless one is under way. Steps that follow each other
   are timed from the end that the last one should have had.  */
static void
schedule (struct engine *engine)
{
  if (engine->stepping || engine->standin.frozen)
    return;
  gint64 us = batcher_begin_step (engine->batcher);
  if (us == 0)
    return;
  if (engine->faults.slow_factor > 0)
    us = (gint64)((double)us * engine->faults.slow_factor);
  gint64 now = g_get_monotonic_time ();
  engine->step_us = us;
  engine->step_end = MAX (engine->step_end, now - us) + us;
  gint64 wait = MAX (engine->step_end - now, 1);
  struct itimerspec at
      = { .it_value = { .tv_sec = wait / G_USEC_PER_SEC,
                        .tv_nsec = wait % G_USEC_PER_SEC * 1000 } };
  timerfd_settime (engine->timer, 0, &at, NULL);
  engine->stepping = TRUE;
}

static void
on_cache (void *ctx, guint64 prefix, gboolean held)
{
  struct engine *engine = ctx;
  eventlog_add (&engine->events, g_get_monotonic_time (), prefix, held);
}

/* Takes over what the caller has of a resumed answer, from the request's
   OBJECT. Returns FALSE if it is not the beginning of this answer.  */
static gboolean
parse_resume (struct stream *stream, JsonObject *object)
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
  if (tokens < 0 || tokens > stream->completion.total)
    return FALSE;
  stream->first = (guint)tokens;
  stream->engine->counts.resumed++;
  GString *expected = g_string_new (NULL);
  faketext_append (expected, stream->completion.hash, 0, stream->first);
  gboolean ok = strcmp (expected->str, text) == 0;
  g_string_free (expected, TRUE);
  return ok;
}

static void
begin_stream (struct stream *stream)
{
  SoupServerMessage *msg = stream->msg;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (msg);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_replace (headers, "Content-Type", "text/event-stream");
  soup_message_headers_replace (headers, "Cache-Control", "no-cache");
  soup_message_body_set_accumulate (soup_server_message_get_response_body (msg),
                                    FALSE);
  push_segment (msg, 1);
  g_signal_connect (msg, "wrote-chunk", G_CALLBACK (on_wrote_chunk), stream);
}

static gboolean
refuses (struct engine *engine)
{
  engine->refuse_sum += engine->faults.refuse;
  if (engine->refuse_sum < 1)
    return FALSE;
  engine->refuse_sum -= 1;
  return TRUE;
}

/* Answers MSG if the engine takes no work now. Returns whether it did.  */
static gboolean
refuse (struct engine *engine, SoupServerMessage *msg)
{
  if (engine->faults.leaving)
    {
      soup_message_headers_replace (
          soup_server_message_get_response_headers (msg), "Jacinthward-Leaving",
          "yes");
      standin_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "leaving");
    }
  else if (refuses (engine))
    standin_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "refused");
  else
    return FALSE;
  engine->counts.refused++;
  return TRUE;
}

static guint
priority_of (SoupServerMessage *msg)
{
  const char *text = standin_header (msg, "Jacinthward-Priority");
  return text == NULL ? 0 : (guint)g_ascii_strtoull (text, NULL, 10);
}

static void
enqueue (struct stream *stream)
{
  struct engine *engine = stream->engine;
  const struct completion *completion = &stream->completion;
  struct batcher_request request = { .priority = priority_of (stream->msg),
                                     .prefix = completion->prefix,
                                     .prefix_tokens = completion->prefix_tokens,
                                     .prompt_tokens = completion->prompt_tokens,
                                     .done = stream->first,
                                     .total = completion->total,
                                     .ctx = stream };
  stream->seq = batcher_add (engine->batcher, &request);
  if (stream->seq == NULL)
    {
      engine->counts.refused++;
      standin_error (stream->msg, STANDIN_TOO_MANY_REQUESTS, "full");
      return;
    }
  if (engine->faults.crash_requests > 0)
    {
      engine->faults.crash_requests--;
      stream->crash_after = engine->faults.crash_after_tokens;
    }
  stream_event (stream, "start", stream->first);
  engine->counts.started++;
  watch_hangup (stream);
  if (completion->stream)
    begin_stream (stream);
  schedule (engine);
}

static void
handle_completion (struct engine *engine, SoupServerMessage *msg, gboolean chat)
{
  if (refuse (engine, msg))
    return;
  struct completion completion;
  JsonNode *body = standin_body (msg);
  gboolean ok = body != NULL
                && completion_parse (&completion, json_node_get_object (body),
                                     chat, ++engine->requests);
  if (!ok)
    {
      g_clear_pointer (&body, json_node_unref);
      standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_request");
      return;
    }
  struct stream *stream = g_new0 (struct stream, 1);
  stream->engine = engine;
  stream->msg = g_object_ref (msg);
  stream->completion = completion;
  stream->attempt = g_strdup (standin_header (msg, "Jacinthward-Attempt"));
  stream->pending = g_string_new (NULL);
  g_signal_connect (msg, "finished", G_CALLBACK (on_finished), stream);
  if (!parse_resume (stream, json_node_get_object (body))
      || stream->first >= completion.total)
    standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_resume");
  else
    enqueue (stream);
  json_node_unref (body);
}

static struct load
take_load (struct engine *engine)
{
  double kv = (double)batcher_kv_used (engine->batcher);
  return (struct load){ .t = g_get_monotonic_time (),
                        .running = batcher_running (engine->batcher),
                        .waiting = batcher_waiting (engine->batcher),
                        .kv_used = kv / (double)engine->options.kv_tokens,
                        .tbt_us = engine->step_us };
}

static gboolean
on_load_timer (gpointer ctx)
{
  struct engine *engine = ctx;
  engine->reported = take_load (engine);
  return G_SOURCE_CONTINUE;
}

static void
handle_load (struct engine *engine, SoupServerMessage *msg)
{
  struct load load = engine->reported;
  struct faults *faults = &engine->faults;
  if (engine->load_lag_ms == 0)
    load = take_load (engine);
  gint64 age_ms = (g_get_monotonic_time () - load.t) / US_PER_MS;
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
  standin_reply (msg, SOUP_STATUS_OK, json);
  g_free (json);
}

static void
handle_events (struct engine *engine, SoupServerMessage *msg, GHashTable *query)
{
  const char *after = query ? g_hash_table_lookup (query, "after") : NULL;
  char *json = eventlog_to_json (
      &engine->events, after != NULL ? g_ascii_strtoull (after, NULL, 10) : 0,
      g_get_monotonic_time ());
  standin_reply (msg, SOUP_STATUS_OK, json);
  g_free (json);
}

static void
answer_order (struct engine *engine, SoupServerMessage *msg,
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
      standin_reply (msg, SOUP_STATUS_OK, "{\"applied\": true}");
      break;
    case RECEIVER_OLD_FENCE:
      json = g_strdup_printf ("{\"fence\": %" G_GUINT64_FORMAT "}",
                              engine->receiver.fence);
      standin_reply (msg, SOUP_STATUS_CONFLICT, json);
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
      standin_reply (msg, SOUP_STATUS_OK, json);
      g_free (json);
      return;
    }
  struct receiver_order order;
  JsonNode *body = standin_body (msg);
  if (body != NULL && receiver_parse (&order, json_node_get_object (body)))
    answer_order (engine, msg, &order);
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
changed (struct standin *standin)
{
  struct engine *engine = (struct engine *)standin;
  struct faults *faults = &engine->faults;
  engine->exit_left = faults->exit_after_tokens;
  if (faults->crash_after_tokens > 0 && faults->crash_requests == 0)
    faults->crash_requests = 1;
  schedule (engine);
}

static char *
counts_json (struct standin *standin)
{
  const struct engine *engine = (const struct engine *)standin;
  const struct counts *c = &engine->counts;
  return g_strdup_printf (
      "{\"started\": %" G_GINT64_FORMAT ", \"done\": %" G_GINT64_FORMAT
      ", \"cancelled\": %" G_GINT64_FORMAT ", \"refused\": %" G_GINT64_FORMAT
      ", \"tokens\": %" G_GINT64_FORMAT ", \"resumed\": %" G_GINT64_FORMAT
      ", \"running\": %u, \"waiting\": %u}",
      c->started, c->done, c->cancelled, c->refused, c->tokens, c->resumed,
      batcher_running (engine->batcher), batcher_waiting (engine->batcher));
}

static gboolean
prepare (struct standin *standin)
{
  struct engine *engine = (struct engine *)standin;
  const char *checks = engine->checks_fence;
  const struct batcher_options *o = &engine->options;
  if (o->base_us < 0 || o->seq_us < 0 || o->prefill_per_s < 1
      || engine->load_lag_ms < 0)
    return FALSE;
  engine->batcher = batcher_new (&engine->options, on_cache, engine);
  receiver_init (&engine->receiver,
                 checks == NULL || strcmp (checks, "yes") == 0);
  engine->timer = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  g_unix_fd_add (engine->timer, G_IO_IN, on_step, engine);
  engine->reported = take_load (engine);
  if (engine->load_lag_ms > 0)
    g_timeout_add ((guint)engine->load_lag_ms, on_load_timer, engine);
  return TRUE;
}

int
main (int argc, char **argv)
{
  struct engine *e = &the_engine;
  GOptionEntry entries[] = {
    { "base-us", 0, 0, G_OPTION_ARG_INT64, &e->options.base_us,
      "Time of a step with an empty batch", "US" },
    { "seq-us", 0, 0, G_OPTION_ARG_INT64, &e->options.seq_us,
      "Time that each sequence adds to a step", "US" },
    { "prefill-per-s", 0, 0, G_OPTION_ARG_INT64, &e->options.prefill_per_s,
      "Prompt tokens processed a second", "N" },
    { "max-batch", 0, 0, G_OPTION_ARG_INT, &e->options.max_batch,
      "Sequences in a batch", "N" },
    { "max-waiting", 0, 0, G_OPTION_ARG_INT, &e->options.max_waiting,
      "Sequences that may wait", "N" },
    { "kv-tokens", 0, 0, G_OPTION_ARG_INT64, &e->options.kv_tokens,
      "Tokens that fit into memory", "N" },
    { "load-lag-ms", 0, 0, G_OPTION_ARG_INT64, &e->load_lag_ms,
      "Age that the load report reaches; 0: it is live", "MS" },
    { "events-delay-ms", 0, 0, G_OPTION_ARG_INT64, &e->events.delay_ms,
      "Delay of cache events", "MS" },
    { "events-gap", 0, 0, G_OPTION_ARG_INT64, &e->events.gap,
      "Loses every Nth cache event", "N" },
    { "checks-fence", 0, 0, G_OPTION_ARG_STRING, &e->checks_fence,
      "Whether orders with an old fencing number are refused", "yes|no" },
    G_OPTION_ENTRY_NULL,
  };
  struct standin_options options = { .kind = "engine",
                                     .entries = entries,
                                     .handler = handle,
                                     .prepare = prepare,
                                     .counts = counts_json,
                                     .changed = changed,
                                     .faults = &e->faults,
                                     .fields = fields,
                                     .n_fields = G_N_ELEMENTS (fields) };
  return standin_main (&e->standin, &options, argc, argv);
}
