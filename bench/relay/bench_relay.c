/* Measures one instance between clients and emulated engines: the latency that
   it adds to a request, its highest rate of requests, and its processor time
   and memory with many streams. Prints lines "name value unit".

   The added latency is measured with short requests without streaming. The
   clients pause between requests so that no process is saturated. Rounds
   directly to the engines and rounds through the instance alternate.  */
#include "load/traffic.h"
#include "harness/harness.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ENGINES 4
#define TEAM_KEY "bench-key"
#define CLIENTS 32
#define THINK_TIME_US 20000 /* pause of a client between requests */
#define SHORT_TOKENS 4
#define ENGINE_STEP_US "200" /* time of an engine step, without a fault */
#define SLOW_FACTOR 155      /* makes an engine step 31 ms long */
#define ROUNDS 3
#define ROUND_US 2000000
#define WARMUP_US 500000
#define STREAMS 200
#define STREAM_TOKENS 450
/* Responses of streams have up to this many tokens more or less. */
#define STREAM_SPREAD 400
#define STREAM_WARMUP_US 6000000
#define STREAM_US 10000000

struct bench
{
  struct harness *harness;
  struct harness_process *platform;
  struct harness_process *engines[ENGINES];
  struct harness_process *daemon;
  char *engine_targets[ENGINES + 1]; /* NULL-terminated */
  char *daemon_target[2];
};

/* Resource usage of the daemon at one moment. */
struct daemon_usage
{
  gint64 t;      /* monotonic, microseconds */
  double cpu_s;  /* since its start */
  double rss_mb; /* resident */
};

/* Starts a process and waits until it is ready. Returns NULL on failure.  */
static struct harness_process *
start_ready (struct bench *bench, const char *name, const char *const *argv)
{
  struct harness_process *proc = harness_start (bench->harness, name, argv);
  return proc != NULL && harness_wait_ready (proc) ? proc : NULL;
}

static gboolean
start_emulators (struct bench *bench)
{
  const char *engine[] = { "emulator/standin/standin_engine",
                           "--base-us",
                           ENGINE_STEP_US,
                           "--seq-us",
                           "0",
                           "--prefill-per-s",
                           "10000000",
                           "--history",
                           "/dev/null",
                           NULL };
  const char *platform[]
      = { "emulator/standin/standin_platform", "--history", "/dev/null", NULL };
  bench->platform = start_ready (bench, "platform", platform);
  gboolean ok = bench->platform != NULL;
  for (guint i = 0; i < ENGINES && ok; i++)
    {
      bench->engines[i] = start_ready (bench, "engine", engine);
      ok = bench->engines[i] != NULL;
      if (ok)
        bench->engine_targets[i]
            = g_strdup_printf ("127.0.0.1:%d", bench->engines[i]->port);
    }
  return ok;
}

static char *
port_text (const struct harness_process *proc)
{
  return g_strdup_printf ("%d", proc->port);
}

/* Stores the configuration on the platform.  */
static gboolean
put_config (struct bench *bench)
{
  char *digest
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, TEAM_KEY, -1);
  char *ports[ENGINES];
  for (guint i = 0; i < ENGINES; i++)
    ports[i] = port_text (bench->engines[i]);
  const char *values[]
      = { "KEY_SHA256", digest,   "ENGINE_1", ports[0], "ENGINE_2", ports[1],
          "ENGINE_3",   ports[2], "ENGINE_4", ports[3], NULL };
  char *path = harness_fill_template (
      bench->harness, JW_SOURCE_DIR "/bench/relay/relay_config.ini",
      "config.ini", values);
  char *body = NULL;
  gboolean ok = path != NULL && g_file_get_contents (path, &body, NULL, NULL);
  const char *headers[] = { "If-None-Match", "*", NULL };
  struct harness_request call = { .method = "PUT",
                                  .port = bench->platform->port,
                                  .path = "/objects/config",
                                  .headers = headers,
                                  .body = body };
  if (ok)
    {
      struct harness_response *reply = harness_request (&call);
      ok = reply->status == 200;
      harness_response_free (reply);
    }
  for (guint i = 0; i < ENGINES; i++)
    g_free (ports[i]);
  g_free (digest);
  g_free (path);
  g_free (body);
  return ok;
}

/* Returns whether the daemon serves a completion request.  */
static gboolean
daemon_serves_requests (void *ctx)
{
  const struct bench *bench = ctx;
  const char *headers[] = { "Authorization", "Bearer " TEAM_KEY, NULL };
  struct harness_request call = { .port = bench->daemon->http_port,
                                  .path = "/v1/completions",
                                  .headers = headers,
                                  .body = "{\"model\":\"m\",\"prompt\":\"p\","
                                          "\"max_tokens\":1}" };
  struct harness_response *reply = harness_request (&call);
  gboolean ready = reply->status == 200;
  harness_response_free (reply);
  return ready;
}

static gboolean
start_daemon (struct bench *bench)
{
  const char *none[] = { NULL };
  char *key = harness_fill_template (
      bench->harness, JW_SOURCE_DIR "/bench/relay/relay.key", "peer.key", none);
  char *port = port_text (bench->platform);
  static const char charts[] = JW_SOURCE_DIR "/charts";
  const char *values[]
      = { "CHARTS", charts, "KEY_FILE", key, "PLATFORM", port, NULL };
  char *settings = harness_fill_template (
      bench->harness, JW_SOURCE_DIR "/bench/relay/relay.ini", "relay.ini",
      values);
  const char *argv[]
      = { "packages/jacinthward/jacinthward", "--settings", settings, NULL };
  bench->daemon = start_ready (bench, "jacinthward", argv);
  g_free (key);
  g_free (port);
  g_free (settings);
  if (bench->daemon == NULL)
    return FALSE;
  bench->daemon_target[0]
      = g_strdup_printf ("127.0.0.1:%d", bench->daemon->http_port);
  return harness_wait_until (daemon_serves_requests, bench, HARNESS_TIMEOUT_MS);
}

static struct traffic_options
short_requests (char **targets)
{
  return (struct traffic_options){ .targets = (const char *const *)targets,
                                   .key = TEAM_KEY,
                                   .model = "m",
                                   .clients = CLIENTS,
                                   .tokens = SHORT_TOKENS,
                                   .prefixes = 16,
                                   .seed = 1,
                                   .warmup_us = WARMUP_US,
                                   .duration_us = ROUND_US };
}

/* Prints the errors by code. Returns their number.  */
static guint64
report_errors (const struct traffic_result *result, const char *prefix)
{
  GHashTableIter iter;
  gpointer code;
  gpointer n;
  g_hash_table_iter_init (&iter, result->errors);
  while (g_hash_table_iter_next (&iter, &code, &n))
    g_print ("%serror_%s %zu requests\n", prefix, (const char *)code,
             GPOINTER_TO_SIZE (n));
  return traffic_errors (result);
}

/* Appends the latencies of a round to TOTALS. Returns the number of errors.  */
static guint64
run_round (char **targets, const char *prefix, GArray *totals)
{
  struct traffic_result result;
  struct traffic_options options = short_requests (targets);
  options.think_us = THINK_TIME_US;
  traffic_run (&options, &result);
  g_array_append_vals (totals, result.total_us->data, result.total_us->len);
  guint64 errors = report_errors (&result, prefix);
  traffic_result_clear (&result);
  return errors;
}

static void
print_us (const char *name, gint64 us)
{
  g_print ("%s %" G_GINT64_FORMAT " us\n", name, us);
}

/* Measures the latency that the daemon adds. Returns the number of errors.  */
static guint64
measure_overhead (struct bench *bench)
{
  GArray *direct = g_array_new (FALSE, FALSE, sizeof (gint64));
  GArray *relayed = g_array_new (FALSE, FALSE, sizeof (gint64));
  guint64 errors = 0;
  for (guint i = 0; i < ROUNDS; i++)
    {
      errors += run_round (bench->engine_targets, "direct_", direct);
      errors += run_round (bench->daemon_target, "relayed_", relayed);
    }
  gint64 d50 = traffic_percentile (direct, 0.5);
  gint64 d99 = traffic_percentile (direct, 0.99);
  gint64 r50 = traffic_percentile (relayed, 0.5);
  gint64 r99 = traffic_percentile (relayed, 0.99);
  print_us ("direct_p50_us", d50);
  print_us ("direct_p99_us", d99);
  print_us ("relayed_p50_us", r50);
  print_us ("relayed_p99_us", r99);
  print_us ("relay_overhead_p50_us", r50 - d50);
  print_us ("relay_overhead_p99_us", r99 - d99);
  g_array_unref (direct);
  g_array_unref (relayed);
  return errors;
}

/* Measures the rate of requests when clients do not pause between them.  */
static guint64
measure_rate (char **targets, const char *prefix)
{
  struct traffic_result result;
  struct traffic_options options = short_requests (targets);
  traffic_run (&options, &result);
  g_print ("%srequests_per_s %.0f 1/s\n", prefix,
           (double)result.requests / result.seconds);
  guint64 errors = report_errors (&result, prefix);
  traffic_result_clear (&result);
  return errors;
}

/* Returns a value in KiB from /proc/PID/status; -1: not read.  */
static double
status_kb (int pid, const char *key)
{
  char *path = g_strdup_printf ("/proc/%d/status", pid);
  char *text = NULL;
  double kb = -1;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      const char *at = strstr (text, key);
      if (at != NULL)
        kb = (double)g_ascii_strtoll (at + strlen (key), NULL, 10);
    }
  g_free (text);
  g_free (path);
  return kb;
}

/* Returns the processor time of PID, user and system, in seconds.  */
static double
cpu_seconds (int pid)
{
  enum
  {
    UTIME = 11, /* index after the name in parentheses */
    STIME = 12
  };
  char *path = g_strdup_printf ("/proc/%d/stat", pid);
  char *text = NULL;
  double seconds = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **f = g_strsplit (strrchr (text, ')') + 2, " ", -1);
      seconds = (double)(g_ascii_strtoll (f[UTIME], NULL, 10)
                         + g_ascii_strtoll (f[STIME], NULL, 10))
                / (double)sysconf (_SC_CLK_TCK);
      g_strfreev (f);
    }
  g_free (text);
  g_free (path);
  return seconds;
}

struct usage_sample
{
  int pid;
  struct daemon_usage begin;
  struct daemon_usage end;
};

static struct daemon_usage
measure_usage (int pid)
{
  return (struct daemon_usage){ g_get_monotonic_time (), cpu_seconds (pid),
                                status_kb (pid, "VmRSS:") / 1024 };
}

static gboolean
on_begin (gpointer ctx)
{
  struct usage_sample *usage_sample = ctx;
  usage_sample->begin = measure_usage (usage_sample->pid);
  return G_SOURCE_REMOVE;
}

static gboolean
on_end (gpointer ctx)
{
  struct usage_sample *usage_sample = ctx;
  usage_sample->end = measure_usage (usage_sample->pid);
  return G_SOURCE_REMOVE;
}

/* Measures many streams through the daemon. Their usage covers the time after
   the warm-up. Returns the number of errors.  */
static guint64
measure_streams (struct bench *bench)
{
  struct usage_sample usage_sample = { .pid = harness_pid (bench->daemon) };
  struct traffic_result result;
  struct traffic_options options = short_requests (bench->daemon_target);
  char *fault = g_strdup_printf ("{\"slow_factor\": %d}", SLOW_FACTOR);
  for (guint i = 0; i < ENGINES; i++)
    harness_set_faults (bench->engines[i]->port, fault);
  g_free (fault);
  options.stream = TRUE;
  options.clients = STREAMS;
  options.tokens = STREAM_TOKENS;
  options.spread = STREAM_SPREAD;
  options.warmup_us = STREAM_WARMUP_US;
  options.duration_us = STREAM_US;
  options.abort_at_end = TRUE;
  g_timeout_add (STREAM_WARMUP_US / 1000, on_begin, &usage_sample);
  g_timeout_add ((STREAM_WARMUP_US + STREAM_US) / 1000, on_end, &usage_sample);
  traffic_run (&options, &result);
  double wall_s
      = (double)(usage_sample.end.t - usage_sample.begin.t) / G_USEC_PER_SEC;
  g_print ("tokens_per_s %.0f 1/s\n", (double)result.tokens / result.seconds);
  print_us ("streams_tbt_p50_us", traffic_percentile (result.tbt_us, 0.5));
  print_us ("streams_tbt_p95_us", traffic_percentile (result.tbt_us, 0.95));
  print_us ("streams_tbt_p99_us", traffic_percentile (result.tbt_us, 0.99));
  print_us ("streams_ttft_p95_us", traffic_percentile (result.ttft_us, 0.95));
  g_print ("rss_mb %.1f MB\n", usage_sample.end.rss_mb);
  g_print ("cpu_share %.3f cores\n",
           (usage_sample.end.cpu_s - usage_sample.begin.cpu_s) / wall_s);
  guint64 errors = report_errors (&result, "streams_");
  traffic_result_clear (&result);
  return errors;
}

int
main (void)
{
  struct bench bench = { .harness = harness_new () };
  guint64 errors = 0;
  setvbuf (stdout, NULL, _IOLBF, 0);
  gboolean ok = start_emulators (&bench) && put_config (&bench)
                && start_daemon (&bench);
  if (ok)
    {
      errors += measure_overhead (&bench);
      errors += measure_rate (bench.engine_targets, "direct_");
      errors += measure_rate (bench.daemon_target, "");
      errors += measure_streams (&bench);
    }
  harness_free (bench.harness);
  for (guint i = 0; i < ENGINES; i++)
    g_free (bench.engine_targets[i]);
  g_free (bench.daemon_target[0]);
  return ok && errors == 0 ? 0 : 1;
}
