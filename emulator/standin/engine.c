/* Stand-in for an inference engine: a process that implements the engine side
   of docs/INTERFACES.md and generates texts that a test can compute.  */
#include "standin/engine_internal.h"

#include <string.h>

#define US_PER_MS 1000

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

static struct engine the_engine = {
  .options = { .base_us = 5000,
               .seq_us = 50,
               .prefill_per_s = 20000,
               .max_batch = 256,
               .max_waiting = 1024,
               .kv_tokens = 200000 },
};

static void
on_cache_change (void *ctx, guint64 prefix_hash, gboolean cached)
{
  struct engine *engine = ctx;
  eventlog_add (&engine->events, g_get_monotonic_time (), prefix_hash, cached);
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
    engine_handle_completion (engine, msg, TRUE);
  else if (strcmp (path, "/v1/completions") == 0)
    engine_handle_completion (engine, msg, FALSE);
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
  engine_schedule (engine);
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
  engine_steps_init (engine, engine_on_token);
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
