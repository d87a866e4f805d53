/* Costs of requests at the ingress and at the shard owner, of tokens, and of a
   shard as its backend servers and queue entries grow in number.  */
#include "capacity/benchmarks.h"
#include "capacity/fit.h"
#include "capacity/testbed.h"

#include <string.h>

#define NODES 12
#define BACKENDS 21
#define RESPONSE_TOKENS 454 /* per request */
#define SETTLE_US (30 * CLK_S)
#define MEASURE_S 20
#define ROUNDS 20000
#define QUEUE_TIME_US (600 * CLK_S) /* that a request may wait */

static double
total (const struct testbed *testbed,
       double (*of) (const struct testbed_node *))
{
  double sum = 0;
  for (guint i = 0; i < testbed->n; i++)
    sum += of (&testbed->nodes[i]);
  return sum;
}

static double
sent_bytes (const struct testbed_node *node)
{
  return testbed_wire_bytes (&node->sent);
}

static double
sent_messages (const struct testbed_node *node)
{
  return (double)node->sent.messages;
}

static double
cpu_us (const struct testbed_node *node)
{
  return (double)node->cpu_ns / 1e3;
}

/* Returns the bytes of the messages between ingress and shard owner.  */
static double
queue_message_bytes (const struct testbed_node *node)
{
  static const enum msg_kind kinds[]
      = { MSG_ENQUEUE, MSG_GRANT, MSG_PROGRESS, MSG_RELEASE };
  double sum = 0;
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    sum += (double)node->bytes_by_kind[kinds[i]];
  return sum;
}

/* Measures traffic and cost per node at RATE requests per second and node.  */
static void
measure_rate (double rate, struct fit *bytes, struct fit *messages,
              struct fit *cpu)
{
  const struct testbed_options options
      = { .config = { 1, BACKENDS, TARGET_TEAMS }, .per_domain = NODES };
  struct testbed *testbed = testbed_new (&options);
  testbed_run (testbed, 5 * CLK_S);
  if (rate > 0)
    testbed_start_load (testbed, rate, RESPONSE_TOKENS);
  testbed_run (testbed, SETTLE_US);
  testbed_reset_counts (testbed);
  testbed_run (testbed, MEASURE_S * CLK_S);
  double node_s = NODES * MEASURE_S;
  guint size = (guint)rate;
  guint open = 0;
  for (guint i = 0; i < testbed->n; i++)
    open += core_in_progress (testbed->nodes[i].core);
  double done = (double)testbed->finished / node_s;
  fit_add (bytes, done, total (testbed, sent_bytes) / node_s);
  fit_add (messages, done, total (testbed, sent_messages) / node_s);
  fit_add (cpu, done, total (testbed, cpu_us) / node_s);
  fit_print_point ("work_rate_done", size, done, "1/s");
  fit_print_point ("work_rate_failed", size, (double)testbed->failed / node_s,
                   "1/s");
  fit_print_point ("work_rate_open", size, (double)open / NODES, "streams");
  fit_print_point ("work_rate_out", size, total (testbed, sent_bytes) / node_s,
                   "bytes/s");
  fit_print_point ("work_rate_cpu", size, total (testbed, cpu_us) / node_s,
                   "us/s");
  if (testbed->finished > 0)
    fit_print_point ("work_rate_ticket_bytes", size,
                     total (testbed, queue_message_bytes)
                         / (double)testbed->finished,
                     "bytes/request");
  testbed_free (testbed);
}

static void
measure_requests (void)
{
  static const double rates[] = { 0, 4, 8, 14, 20 };
  struct fit bytes = { 0 }, messages = { 0 }, cpu = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    measure_rate (rates[i], &bytes, &messages, &cpu);
  fit_print (&bytes, "work_out", "bytes/s", "(request/s)",
             TARGET_REQUESTS_PER_S);
  fit_print (&messages, "work_messages", "1/s", "(request/s)",
             TARGET_REQUESTS_PER_S);
  fit_print (&cpu, "work_cpu", "us/s", "(request/s)", TARGET_REQUESTS_PER_S);
}

/* Measures the cost of a token in the decision core as the number of open
   streams grows. The target assumes 31 ms between the tokens of a stream.  */
static void
measure_tokens (void)
{
  static const guint streams[] = { 50, 100, 200, 400 };
  struct fit fit = { 0 };
  for (guint k = 0; k < G_N_ELEMENTS (streams); k++)
    {
      const struct testbed_options options
          = { .config = { 1, BACKENDS, TARGET_TEAMS }, .per_domain = 1 };
      struct testbed *testbed = testbed_new (&options);
      struct testbed_node *node = &testbed->nodes[0];
      struct core_event event = { .kind = CORE_TOKENS };
      testbed_run (testbed, 5 * CLK_S);
      for (guint i = 0; i < streams[k]; i++)
        testbed_request (node, 100000);
      testbed_run (testbed, CLK_S);
      event.tokens.attempt = 1;
      event.tokens.count = 1;
      gint64 start = testbed_cpu_ns ();
      for (guint i = 0; i < ROUNDS * 10; i++)
        {
          event.tokens.request = 1 + i % streams[k];
          core_handle (node->core, &event);
        }
      double us = (double)(testbed_cpu_ns () - start) / 1e3 / ROUNDS / 10;
      fit_print_point ("token_core_cpu", streams[k], us, "us/token");
      fit_add (&fit, streams[k], us);
      testbed_free (testbed);
    }
  fit_print (&fit, "token_core_cpu", "us/token", "stream",
             TARGET_TOKENS_PER_S * 0.031);
}

/* A shard without its owner's decision core. */
struct shard_bench
{
  struct clk_fake clk;
  struct cluster_config *cfg;
  struct counter_set counter_set;
  struct shard_owner *shard_owner;
  guint64 last_entry; /* id of the latest queue entry */
  GArray *running;    /* struct msg_grant, oldest first */
};

static void
on_send (void *ctx, const char *to, const struct msg *msg)
{
  struct shard_bench *bench = ctx;
  (void)to;
  if (msg->kind == MSG_GRANT)
    g_array_append_val (bench->running, msg->grant);
}

static void
enqueue (struct shard_bench *bench)
{
  struct msg_enqueue offer = { .queue_entry = ++bench->last_entry };
  offer.shard = bench->cfg->shards[0].name;
  offer.class_name
      = bench->cfg->classes[bench->last_entry % GENERATOR_TIERS].name;
  offer.team = bench->cfg->teams[bench->last_entry % bench->cfg->n_teams].name;
  offer.wait_us = QUEUE_TIME_US;
  offer.prompt_tokens = 500;
  offer.sent_us = bench->clk.t;
  shard_enqueue (bench->shard_owner, "entry", &offer);
}

static void
release_oldest (struct shard_bench *bench)
{
  struct msg_release release = { .result = MSG_RESULT_OK };
  const struct msg_grant *grant
      = &g_array_index (bench->running, struct msg_grant, 0);
  release.queue_entry = grant->queue_entry;
  release.backend = grant->backend;
  release.ttft_us = 200 * CLK_MS;
  release.tbt_us = 25 * CLK_MS;
  release.tokens = RESPONSE_TOKENS;
  g_array_remove_index (bench->running, 0);
  shard_release (bench->shard_owner, "entry", &release);
}

/* Makes a shard of SERVERS that are all full, with WAITING queue entries.  */
static void
setup (struct shard_bench *bench, guint servers, guint waiting)
{
  const struct generator_options config
      = { 1, servers * GENERATOR_MODELS, TARGET_TEAMS };
  memset (bench, 0, sizeof *bench);
  clk_fake_init (&bench->clk, CLK_S);
  bench->cfg = generator_config (&config);
  bench->running = g_array_new (FALSE, FALSE, sizeof (struct msg_grant));
  const struct shard_options options = { .clk = &bench->clk.clk,
                                         .seed = 1,
                                         .counter_set = &bench->counter_set,
                                         .cfg = bench->cfg,
                                         .name = bench->cfg->shards[0].name,
                                         .send = on_send,
                                         .ctx = bench };
  bench->shard_owner = shard_new (&options);
  guint before;
  do
    {
      before = bench->running->len;
      enqueue (bench);
    }
  while (bench->running->len > before);
  for (guint i = 1; i < waiting; i++)
    enqueue (bench);
}

static void
teardown (struct shard_bench *bench)
{
  shard_free (bench->shard_owner);
  cluster_unref (bench->cfg);
  g_array_unref (bench->running);
}

/* Measures the cost of one request at the owner of a full shard (enqueue, grant
   and release), and of the timer of the shard.  */
static void
measure_shard (guint servers, guint waiting, const char *name, guint size,
               struct fit *request, struct fit *tick)
{
  struct shard_bench bench;
  setup (&bench, servers, waiting);
  guint rounds = ROUNDS / 10;
  gint64 start = testbed_cpu_ns ();
  for (guint i = 0; i < rounds && bench.running->len > 0; i++)
    {
      bench.clk.t += CLK_MS;
      release_oldest (&bench);
      enqueue (&bench);
    }
  double us = (double)(testbed_cpu_ns () - start) / 1e3 / rounds;
  start = testbed_cpu_ns ();
  for (guint i = 0; i < rounds; i++)
    shard_tick (bench.shard_owner);
  double tick_us = (double)(testbed_cpu_ns () - start) / 1e3 / rounds;
  char *cost = g_strdup_printf ("cell_request_cpu_%s", name);
  char *timer = g_strdup_printf ("cell_tick_cpu_%s", name);
  fit_print_point (cost, size, us, "us/request");
  fit_print_point (timer, size, tick_us, "us/tick");
  fit_add (request, size, us);
  fit_add (tick, size, tick_us);
  g_free (cost);
  g_free (timer);
  teardown (&bench);
}

static void
measure_shards (void)
{
  static const guint waiting[] = { 1, 64, 256, 1024 };
  static const guint servers[] = { 2, 4, 8, 16 };
  struct fit request = { 0 }, tick = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (waiting); i++)
    measure_shard (CLUSTER_SHARD_SIZE, waiting[i], "waiting", waiting[i],
                   &request, &tick);
  fit_print (&request, "cell_request_cpu_waiting", "us/request", "ticket", 256);
  fit_print (&tick, "cell_tick_cpu_waiting", "us/tick", "ticket", 256);
  memset (&request, 0, sizeof request);
  memset (&tick, 0, sizeof tick);
  for (guint i = 0; i < G_N_ELEMENTS (servers); i++)
    measure_shard (servers[i], 64, "servers", servers[i], &request, &tick);
  fit_print (&request, "cell_request_cpu_servers", "us/request", "server",
             CLUSTER_SHARD_SIZE);
  fit_print (&tick, "cell_tick_cpu_servers", "us/tick", "server",
             CLUSTER_SHARD_SIZE);
}

void
requests_run (void)
{
  measure_requests ();
  measure_tokens ();
  measure_shards ();
}
