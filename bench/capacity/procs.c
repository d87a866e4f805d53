/* Real processes on loopback: idle traffic, processor time and memory of an
   instance against the instances of its failure domain, and the cost of
   requests and tokens at their entry.  */
#include "load/traffic.h"
#include "capacity/cap.h"
#include "capacity/fit.h"
#include "harness/deployment.h"

#include <string.h>

#define ENGINES 2
#define SETTLE_US (4 * G_USEC_PER_SEC)
#define MEASURE_US (5 * G_USEC_PER_SEC)
#define KB 1024.0

static const char *const engine_args[]
    = { "--base-us",       "25000",   "--seq-us", "0",
        "--prefill-per-s", "1000000", NULL };

/* Returns the time that PID ran on a processor, in microseconds.  */
static double
cpu_us (int pid)
{
  char *path = g_strdup_printf ("/proc/%d/schedstat", pid);
  char *text = NULL;
  double us = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    us = (double)g_ascii_strtoll (text, NULL, 10) / 1e3;
  g_free (text);
  g_free (path);
  return us;
}

static double
rss_kb (int pid)
{
  char *path = g_strdup_printf ("/proc/%d/status", pid);
  char *text = NULL;
  double kb = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      const char *at = strstr (text, "VmRSS:");
      if (at != NULL)
        kb = (double)g_ascii_strtoll (at + strlen ("VmRSS:"), NULL, 10);
    }
  g_free (text);
  g_free (path);
  return kb;
}

/* X (member, counter) */
#define COUNTERS(X)                                                            \
  X (bytes_out, "peer_bytes_out")                                              \
  X (bytes_in, "peer_bytes_in")                                                \
  X (msg_out, "msg_out")                                                       \
  X (msg_in, "msg_in")                                                         \
  X (watches, "platform_watches")                                              \
  X (reads, "platform_reads")

/* Sums over the instances. */
struct sample
{
#define COUNTER_MEMBER(member, name) double member;
  COUNTERS (COUNTER_MEMBER)
#undef COUNTER_MEMBER
  double cpu;       /* microseconds */
  double entry_cpu; /* of instance 0, microseconds */
  gint64 t;         /* monotonic, microseconds */
};

static void
take_cpu (struct deployment *deployment, struct sample *s)
{
  s->t = g_get_monotonic_time ();
  for (guint i = 0; i < deployment->n_instances; i++)
    {
      double cpu = cpu_us (harness_pid (deployment->instances[i].proc));
      s->cpu += cpu;
      if (i == 0)
        s->entry_cpu = cpu;
    }
}

static void
take_counters (struct deployment *deployment, struct sample *s)
{
  for (guint i = 0; i < deployment->n_instances; i++)
    {
#define COUNTER_TAKE(member, name)                                             \
  s->member += (double)deployment_counter (deployment, i, name);
      COUNTERS (COUNTER_TAKE)
#undef COUNTER_TAKE
    }
}

/* The calls for the counters stay outside of the processor time.  */
static struct sample
take_begin (struct deployment *deployment)
{
  struct sample s = { 0 };
  take_counters (deployment, &s);
  take_cpu (deployment, &s);
  return s;
}

static struct sample
take_end (struct deployment *deployment)
{
  struct sample s = { 0 };
  take_cpu (deployment, &s);
  take_counters (deployment, &s);
  return s;
}

static struct sample
difference (const struct sample *a, const struct sample *b)
{
  struct sample d = { .t = b->t - a->t };
#define COUNTER_MINUS(member, name) d.member = b->member - a->member;
  COUNTERS (COUNTER_MINUS)
#undef COUNTER_MINUS
  d.cpu = b->cpu - a->cpu;
  d.entry_cpu = b->entry_cpu - a->entry_cpu;
  return d;
}

static struct deployment *
start (struct harness *harness, guint entries)
{
  const struct deployment_options options = {
    .domains = { { "here", "region", entries, ENGINES, 0 } },
    .max_running = 256,
    .engine_args = engine_args,
  };
  struct deployment *deployment = deployment_start (harness, &options);
  if (deployment == NULL)
    g_error ("%u instances did not come up", entries);
  return deployment;
}

struct fits
{
  struct fit bytes, messages, cpu, cpu_of_messages, rss;
};

static void
measure_idle (guint entries, struct fits *fits)
{
  struct harness *harness = harness_new ();
  struct deployment *deployment = start (harness, entries);
  g_usleep (SETTLE_US);
  struct sample a = take_begin (deployment);
  g_usleep (MEASURE_US);
  struct sample b = take_end (deployment);
  struct sample d = difference (&a, &b);
  double node_s = (double)d.t / G_USEC_PER_SEC * entries;
  double rss = 0;
  for (guint i = 0; i < entries; i++)
    rss += rss_kb (harness_pid (deployment->instances[i].proc)) / KB / entries;
  out_at ("procs_idle_bytes_out", entries, d.bytes_out / node_s, "bytes/s");
  out_at ("procs_idle_bytes_in", entries, d.bytes_in / node_s, "bytes/s");
  out_at ("procs_idle_msg_out", entries, d.msg_out / node_s, "1/s");
  out_at ("procs_idle_cpu", entries, d.cpu / node_s, "us/s");
  out_at ("procs_idle_rss", entries, rss, "MB");
  out_at ("procs_idle_watches", entries, d.watches / node_s * entries, "1/s");
  out_at ("procs_idle_reads", entries, d.reads / node_s * entries, "1/s");
  fit_add (&fits->bytes, entries, d.bytes_out / node_s);
  fit_add (&fits->messages, entries, d.msg_out / node_s);
  fit_add (&fits->cpu, entries, d.cpu / node_s);
  fit_add (&fits->cpu_of_messages, (d.msg_out + d.msg_in) / node_s,
           d.cpu / node_s);
  fit_add (&fits->rss, entries, rss);
  deployment_free (deployment);
  harness_free (harness);
}

/* Streams through instance 0; the others only answer for their cells. What an
   idle instance needs, IDLE microseconds a second, is taken off.  */
static void
measure_load (struct deployment *deployment, double idle, guint tokens,
              struct fit *entry, struct fit *others)
{
  char *target = g_strdup_printf ("127.0.0.1:%d",
                                  deployment->instances[0].proc->http_port);
  const char *targets[] = { target, NULL };
  static const char *const classes[] = { "urgent=0.5", "batch=0.5", NULL };
  const struct traffic_options options = {
    .targets = targets,
    .key = DEPLOYMENT_TEAM_KEY,
    .model = "assistant",
    .classes = classes,
    .rate_per_s = TARGET_REQUESTS_PER_S,
    .clients = 512,
    .stream = TRUE,
    .tokens = tokens,
    .prompt_size = 400,
    .prefixes = 16,
    .seed = 1,
    .duration_us = MEASURE_US,
  };
  struct traffic_result result;
  struct sample a = take_begin (deployment);
  traffic_run (&options, &result);
  struct sample b = take_end (deployment);
  struct sample d = difference (&a, &b);
  double s = (double)d.t / G_USEC_PER_SEC;
  char *name = g_strdup_printf ("procs_load_tokens_%u", tokens);
  double requests = (double)result.requests;
  double entry_cpu = (d.entry_cpu - idle * s) / requests;
  double others_cpu
      = (d.cpu - d.entry_cpu - idle * s * (deployment->n_instances - 1))
        / requests;
  g_print ("%s_requests %.4g requests\n", name, requests);
  g_print ("%s_errors %" G_GUINT64_FORMAT " requests\n", name,
           traffic_errors (&result));
  g_print ("%s_entry_cpu %.4g us/request\n", name, entry_cpu);
  g_print ("%s_others_cpu %.4g us/request\n", name, others_cpu);
  g_print ("%s_bytes %.4g bytes/request\n", name, d.bytes_out / requests);
  g_print ("%s_seconds %.4g s\n", name, s);
  fit_add (entry, tokens, entry_cpu);
  fit_add (others, tokens, others_cpu);
  traffic_result_clear (&result);
  g_free (name);
  g_free (target);
}

static void
measure_loads (void)
{
  static const guint tokens[] = { 20, 80, 160, 320 };
  struct harness *harness = harness_new ();
  struct deployment *deployment = start (harness, 5);
  struct fit entry = { 0 }, others = { 0 };
  g_usleep (SETTLE_US);
  struct sample a = take_begin (deployment);
  g_usleep (MEASURE_US);
  struct sample b = take_end (deployment);
  struct sample d = difference (&a, &b);
  double idle
      = d.cpu / ((double)d.t / G_USEC_PER_SEC) / deployment->n_instances;
  for (guint i = 0; i < G_N_ELEMENTS (tokens); i++)
    measure_load (deployment, idle, tokens[i], &entry, &others);
  fit_print (&entry, "procs_load_entry_cpu", "us/request", "token",
             TARGET_TOKENS_PER_S / TARGET_REQUESTS_PER_S);
  fit_print (&others, "procs_load_others_cpu", "us/request", "token",
             TARGET_TOKENS_PER_S / TARGET_REQUESTS_PER_S);
  deployment_free (deployment);
  harness_free (harness);
}

void
procs_run (void)
{
  static const guint entries[] = { 5, 10, 20, 40 };
  struct fits fits = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    measure_idle (entries[i], &fits);
  fit_print (&fits.bytes, "procs_idle_bytes_out", "bytes/s", "node",
             TARGET_DOMAIN_NODES);
  fit_print (&fits.messages, "procs_idle_msg_out", "1/s", "node",
             TARGET_DOMAIN_NODES);
  fit_print (&fits.cpu, "procs_idle_cpu", "us/s", "node", TARGET_DOMAIN_NODES);
  fit_print (&fits.cpu_of_messages, "procs_idle_cpu_messages", "us/s",
             "(message/s)", 2 * TARGET_DOMAIN_NODES / 0.4);
  fit_print (&fits.rss, "procs_idle_rss", "MB", "node", TARGET_NODES);
  measure_loads ();
}
