/* Costs of requests at their entry and at the owner of a cell, of tokens, and
   of a cell against its servers and its waiting tickets.  */
#include "capacity/cap.h"
#include "capacity/fit.h"
#include "capacity/fleet.h"

#include <string.h>

#define NODES 12
#define BACKENDS 21
#define ANSWER_TOKENS 454
#define SETTLE_US (30 * CLK_S)
#define MEASURE_S 20
#define ROUNDS 20000
#define TICKET_TIME_US (600 * CLK_S)

static double
total (const struct fleet *fleet, double (*of) (const struct fleet_node *))
{
  double sum = 0;
  for (guint i = 0; i < fleet->n; i++)
    sum += of (&fleet->nodes[i]);
  return sum;
}

static double
sent_bytes (const struct fleet_node *node)
{
  return fleet_wire_bytes (&node->out);
}

static double
sent_messages (const struct fleet_node *node)
{
  return (double)node->out.messages;
}

static double
cpu_us (const struct fleet_node *node)
{
  return (double)node->cpu_ns / 1e3;
}

static double
ticket_bytes (const struct fleet_node *node)
{
  static const enum msg_kind kinds[]
      = { MSG_ENQUEUE, MSG_GRANT, MSG_PROGRESS, MSG_RELEASE };
  double sum = 0;
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    sum += (double)node->kind_bytes[kinds[i]];
  return sum;
}

/* Traffic and cost a node at RATE requests a second and node.  */
static void
measure_rate (double rate, struct fit *bytes, struct fit *messages,
              struct fit *cpu)
{
  const struct fleet_options options
      = { .gen = { 1, BACKENDS, TARGET_TEAMS }, .per_domain = NODES };
  struct fleet *fleet = fleet_new (&options);
  fleet_run (fleet, 5 * CLK_S);
  if (rate > 0)
    fleet_load (fleet, rate, ANSWER_TOKENS);
  fleet_run (fleet, SETTLE_US);
  fleet_reset (fleet);
  fleet_run (fleet, MEASURE_S * CLK_S);
  double node_s = NODES * MEASURE_S;
  guint size = (guint)rate;
  guint open = 0;
  for (guint i = 0; i < fleet->n; i++)
    open += core_in_progress (fleet->nodes[i].core);
  double done = (double)fleet->finished / node_s;
  fit_add (bytes, done, total (fleet, sent_bytes) / node_s);
  fit_add (messages, done, total (fleet, sent_messages) / node_s);
  fit_add (cpu, done, total (fleet, cpu_us) / node_s);
  out_at ("work_rate_done", size, done, "1/s");
  out_at ("work_rate_failed", size, (double)fleet->failed / node_s, "1/s");
  out_at ("work_rate_open", size, (double)open / NODES, "streams");
  out_at ("work_rate_out", size, total (fleet, sent_bytes) / node_s, "bytes/s");
  out_at ("work_rate_cpu", size, total (fleet, cpu_us) / node_s, "us/s");
  if (fleet->finished > 0)
    out_at ("work_rate_ticket_bytes", size,
            total (fleet, ticket_bytes) / (double)fleet->finished,
            "bytes/request");
  fleet_free (fleet);
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

/* The decision core's cost of a token against the open streams.  */
static void
measure_tokens (void)
{
  static const guint streams[] = { 50, 100, 200, 400 };
  struct fit fit = { 0 };
  for (guint k = 0; k < G_N_ELEMENTS (streams); k++)
    {
      const struct fleet_options options
          = { .gen = { 1, BACKENDS, TARGET_TEAMS }, .per_domain = 1 };
      struct fleet *fleet = fleet_new (&options);
      struct fleet_node *node = &fleet->nodes[0];
      struct core_event event = { .kind = CORE_TOKENS };
      fleet_run (fleet, 5 * CLK_S);
      for (guint i = 0; i < streams[k]; i++)
        fleet_request (node, 100000);
      fleet_run (fleet, CLK_S);
      event.tokens.attempt = 1;
      event.tokens.count = 1;
      gint64 start = fleet_cpu_ns ();
      for (guint i = 0; i < ROUNDS * 10; i++)
        {
          event.tokens.request = 1 + i % streams[k];
          core_handle (node->core, &event);
        }
      double us = (double)(fleet_cpu_ns () - start) / 1e3 / ROUNDS / 10;
      out_at ("token_core_cpu", streams[k], us, "us/token");
      fit_add (&fit, streams[k], us);
      fleet_free (fleet);
    }
  fit_print (&fit, "token_core_cpu", "us/token", "stream",
             TARGET_TOKENS_PER_S * 0.031);
}

struct bed
{
  struct clk_fake clk;
  struct cluster_config *cfg;
  struct counter_set counter_set;
  struct shard_owner *shard_owner;
  guint64 next;    /* ticket */
  GArray *running; /* struct msg_grant */
};

static void
on_send (void *ctx, const char *to, const struct msg *msg)
{
  struct bed *bed = ctx;
  (void)to;
  if (msg->kind == MSG_GRANT)
    g_array_append_val (bed->running, msg->grant);
}

static void
offer (struct bed *bed)
{
  struct msg_enqueue offer = { .queue_entry = ++bed->next };
  offer.shard = bed->cfg->shards[0].name;
  offer.class_name = bed->cfg->classes[bed->next % GEN_TIERS].name;
  offer.team = bed->cfg->teams[bed->next % bed->cfg->n_teams].name;
  offer.wait_us = TICKET_TIME_US;
  offer.prompt_tokens = 500;
  offer.sent_us = bed->clk.t;
  shard_enqueue (bed->shard_owner, "entry", &offer);
}

static void
release_first (struct bed *bed)
{
  struct msg_release release = { .result = MSG_RESULT_OK };
  const struct msg_grant *grant
      = &g_array_index (bed->running, struct msg_grant, 0);
  release.queue_entry = grant->queue_entry;
  release.backend = grant->backend;
  release.ttft_us = 200 * CLK_MS;
  release.tbt_us = 25 * CLK_MS;
  release.tokens = ANSWER_TOKENS;
  g_array_remove_index (bed->running, 0);
  shard_release (bed->shard_owner, "entry", &release);
}

/* Makes a cell of SERVERS, all full, before which WAITING tickets wait.  */
static void
fill (struct bed *bed, guint servers, guint waiting)
{
  const struct gen gen = { 1, servers * GEN_MODELS, TARGET_TEAMS };
  memset (bed, 0, sizeof *bed);
  clk_fake_init (&bed->clk, CLK_S);
  bed->cfg = gen_config (&gen);
  bed->running = g_array_new (FALSE, FALSE, sizeof (struct msg_grant));
  const struct shard_options options = { .clk = &bed->clk.clk,
                                         .seed = 1,
                                         .counter_set = &bed->counter_set,
                                         .cfg = bed->cfg,
                                         .name = bed->cfg->shards[0].name,
                                         .send = on_send,
                                         .ctx = bed };
  bed->shard_owner = shard_new (&options);
  guint before;
  do
    {
      before = bed->running->len;
      offer (bed);
    }
  while (bed->running->len > before);
  for (guint i = 1; i < waiting; i++)
    offer (bed);
}

static void
clear (struct bed *bed)
{
  shard_free (bed->shard_owner);
  cluster_unref (bed->cfg);
  g_array_unref (bed->running);
}

/* Cost of one request at the owner of a full cell: its offer, its grant and
   its release; and of the cell's timer.  */
static void
measure_cell (guint servers, guint waiting, const char *name, guint size,
              struct fit *request, struct fit *tick)
{
  struct bed bed;
  fill (&bed, servers, waiting);
  guint rounds = ROUNDS / 10;
  gint64 start = fleet_cpu_ns ();
  for (guint i = 0; i < rounds && bed.running->len > 0; i++)
    {
      bed.clk.t += CLK_MS;
      release_first (&bed);
      offer (&bed);
    }
  double us = (double)(fleet_cpu_ns () - start) / 1e3 / rounds;
  start = fleet_cpu_ns ();
  for (guint i = 0; i < rounds; i++)
    shard_tick (bed.shard_owner);
  double tick_us = (double)(fleet_cpu_ns () - start) / 1e3 / rounds;
  char *cost = g_strdup_printf ("cell_request_cpu_%s", name);
  char *timer = g_strdup_printf ("cell_tick_cpu_%s", name);
  out_at (cost, size, us, "us/request");
  out_at (timer, size, tick_us, "us/tick");
  fit_add (request, size, us);
  fit_add (tick, size, tick_us);
  g_free (cost);
  g_free (timer);
  clear (&bed);
}

static void
measure_cells (void)
{
  static const guint waiting[] = { 1, 64, 256, 1024 };
  static const guint servers[] = { 2, 4, 8, 16 };
  struct fit request = { 0 }, tick = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (waiting); i++)
    measure_cell (CLUSTER_SHARD_SIZE, waiting[i], "waiting", waiting[i],
                  &request, &tick);
  fit_print (&request, "cell_request_cpu_waiting", "us/request", "ticket", 256);
  fit_print (&tick, "cell_tick_cpu_waiting", "us/tick", "ticket", 256);
  memset (&request, 0, sizeof request);
  memset (&tick, 0, sizeof tick);
  for (guint i = 0; i < G_N_ELEMENTS (servers); i++)
    measure_cell (servers[i], 64, "servers", servers[i], &request, &tick);
  fit_print (&request, "cell_request_cpu_servers", "us/request", "server",
             CLUSTER_SHARD_SIZE);
  fit_print (&tick, "cell_tick_cpu_servers", "us/tick", "server",
             CLUSTER_SHARD_SIZE);
}

void
work_run (void)
{
  measure_requests ();
  measure_tokens ();
  measure_cells ();
}
