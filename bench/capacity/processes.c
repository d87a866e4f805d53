/* Real processes on loopback: idle traffic, processor time and memory of an
   instance as its failure domain grows, and the cost of requests and tokens at
   the ingress (the instance that the client connects to).  */
#include "load/traffic.h"
#include "capacity/benchmarks.h"
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

/* Returns the processor time of the process PID, microseconds.  */
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

/* Returns the resident memory of the process PID in KiB.  */
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

/* Counters and processor time at one moment, summed over the instances. */
struct sample
{
#define COUNTER_MEMBER(member, name) double member;
  COUNTERS (COUNTER_MEMBER)
#undef COUNTER_MEMBER
  double cpu;         /* microseconds */
  double ingress_cpu; /* of instance 0, microseconds */
  gint64 t;           /* monotonic, microseconds */
};

static void
sample_cpu (struct deployment *deployment, struct sample *s)
{
  s->t = g_get_monotonic_time ();
  for (guint i = 0; i < deployment->n_instances; i++)
    {
      double cpu = cpu_us (harness_pid (deployment->instances[i].proc));
      s->cpu += cpu;
      if (i == 0)
        s->ingress_cpu = cpu;
    }
}

static void
sample_counters (struct deployment *deployment, struct sample *s)
{
  for (guint i = 0; i < deployment->n_instances; i++)
    {
#define COUNTER_ADD(member, name)                                              \
  s->member += (double)deployment_counter (deployment, i, name);
      COUNTERS (COUNTER_ADD)
#undef COUNTER_ADD
    }
}

/* The requests that read the counters use processor time of the instances, so
   the counters are read before the first and after the last processor time.  */
static struct sample
sample_begin (struct deployment *deployment)
{
  struct sample s = { 0 };
  sample_counters (deployment, &s);
  sample_cpu (deployment, &s);
  return s;
}

static struct sample
sample_end (struct deployment *deployment)
{
  struct sample s = { 0 };
  sample_cpu (deployment, &s);
  sample_counters (deployment, &s);
  return s;
}

static struct sample
difference (const struct sample *a, const struct sample *b)
{
  struct sample d = { .t = b->t - a->t };
#define COUNTER_SUBTRACT(member, name) d.member = b->member - a->member;
  COUNTERS (COUNTER_SUBTRACT)
#undef COUNTER_SUBTRACT
  d.cpu = b->cpu - a->cpu;
  d.ingress_cpu = b->ingress_cpu - a->ingress_cpu;
  return d;
}

/* Starts instances and engines in one failure domain.  */
static struct deployment *
start_deployment (struct harness *harness, guint instances)
{
  const struct deployment_options options = {
    .domains = { { "here", "region", instances, ENGINES, 0 } },
    .max_running = 256,
    .engine_args = engine_args,
  };
  struct deployment *deployment = deployment_start (harness, &options);
  if (deployment == NULL)
    g_error ("%u instances did not become ready", instances);
  return deployment;
}

struct fits
{
  struct fit bytes, messages, cpu, cpu_by_messages, rss;
};

static void
measure_idle (guint instances, struct fits *fits)
{
  struct harness *harness = harness_new ();
  struct deployment *deployment = start_deployment (harness, instances);
  g_usleep (SETTLE_US);
  struct sample a = sample_begin (deployment);
  g_usleep (MEASURE_US);
  struct sample b = sample_end (deployment);
  struct sample d = difference (&a, &b);
  double node_s = (double)d.t / G_USEC_PER_SEC * instances;
  double rss = 0;
  for (guint i = 0; i < instances; i++)
    rss += rss_kb (harness_pid (deployment->instances[i].proc)) / KB
           / instances;
  fit_print_point ("procs_idle_bytes_out", instances, d.bytes_out / node_s,
                   "bytes/s");
  fit_print_point ("procs_idle_bytes_in", instances, d.bytes_in / node_s,
                   "bytes/s");
  fit_print_point ("procs_idle_msg_out", instances, d.msg_out / node_s, "1/s");
  fit_print_point ("procs_idle_cpu", instances, d.cpu / node_s, "us/s");
  fit_print_point ("procs_idle_rss", instances, rss, "MB");
  fit_print_point ("procs_idle_watches", instances,
                   d.watches / node_s * instances, "1/s");
  fit_print_point ("procs_idle_reads", instances, d.reads / node_s * instances,
                   "1/s");
  fit_add (&fits->bytes, instances, d.bytes_out / node_s);
  fit_add (&fits->messages, instances, d.msg_out / node_s);
  fit_add (&fits->cpu, instances, d.cpu / node_s);
  fit_add (&fits->cpu_by_messages, (d.msg_out + d.msg_in) / node_s,
           d.cpu / node_s);
  fit_add (&fits->rss, instances, rss);
  deployment_free (deployment);
  harness_free (harness);
}

/* Measures streams through instance 0; the other instances only serve as shard
   owners. IDLE is the processor time of an idle instance in microseconds per
   second, which is subtracted.  */
static void
measure_load (struct deployment *deployment, double idle, guint tokens,
              struct fit *ingress, struct fit *others)
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
  struct sample a = sample_begin (deployment);
  traffic_run (&options, &result);
  struct sample b = sample_end (deployment);
  struct sample d = difference (&a, &b);
  double s = (double)d.t / G_USEC_PER_SEC;
  char *name = g_strdup_printf ("procs_load_tokens_%u", tokens);
  double requests = (double)result.requests;
  double ingress_cpu = (d.ingress_cpu - idle * s) / requests;
  double others_cpu
      = (d.cpu - d.ingress_cpu - idle * s * (deployment->n_instances - 1))
        / requests;
  g_print ("%s_requests %.4g requests\n", name, requests);
  g_print ("%s_errors %" G_GUINT64_FORMAT " requests\n", name,
           traffic_errors (&result));
  g_print ("%s_entry_cpu %.4g us/request\n", name, ingress_cpu);
  g_print ("%s_others_cpu %.4g us/request\n", name, others_cpu);
  g_print ("%s_bytes %.4g bytes/request\n", name, d.bytes_out / requests);
  g_print ("%s_seconds %.4g s\n", name, s);
  fit_add (ingress, tokens, ingress_cpu);
  fit_add (others, tokens, others_cpu);
  traffic_result_clear (&result);
  g_free (name);
  g_free (target);
}

/* Measures the processor time of idle instances, then of streams.  */
static void
measure_loads (void)
{
  static const guint tokens[] = { 20, 80, 160, 320 };
  struct harness *harness = harness_new ();
  struct deployment *deployment = start_deployment (harness, 5);
  struct fit ingress = { 0 }, others = { 0 };
  g_usleep (SETTLE_US);
  struct sample a = sample_begin (deployment);
  g_usleep (MEASURE_US);
  struct sample b = sample_end (deployment);
  struct sample d = difference (&a, &b);
  double idle
      = d.cpu / ((double)d.t / G_USEC_PER_SEC) / deployment->n_instances;
  for (guint i = 0; i < G_N_ELEMENTS (tokens); i++)
    measure_load (deployment, idle, tokens[i], &ingress, &others);
  fit_print (&ingress, "procs_load_entry_cpu", "us/request", "token",
             TARGET_TOKENS_PER_S / TARGET_REQUESTS_PER_S);
  fit_print (&others, "procs_load_others_cpu", "us/request", "token",
             TARGET_TOKENS_PER_S / TARGET_REQUESTS_PER_S);
  deployment_free (deployment);
  harness_free (harness);
}

void
processes_run (void)
{
  static const guint instances[] = { 5, 10, 20, 40 };
  struct fits fits = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (instances); i++)
    measure_idle (instances[i], &fits);
  fit_print (&fits.bytes, "procs_idle_bytes_out", "bytes/s", "node",
             TARGET_DOMAIN_NODES);
  fit_print (&fits.messages, "procs_idle_msg_out", "1/s", "node",
             TARGET_DOMAIN_NODES);
  fit_print (&fits.cpu, "procs_idle_cpu", "us/s", "node", TARGET_DOMAIN_NODES);
  /* Each instance sends and receives a heartbeat of each other per 0.4 s. */
  fit_print (&fits.cpu_by_messages, "procs_idle_cpu_messages", "us/s",
             "(message/s)", 2 * TARGET_DOMAIN_NODES / 0.4);
  fit_print (&fits.rss, "procs_idle_rss", "MB", "node", TARGET_NODES);
  measure_loads ();
}
