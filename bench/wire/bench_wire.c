/* Costs of the message codec, of connections over loopback and of membership.
   Prints lines "name value unit". Both ends run in this process, so the
   processor time of a message includes sender and receiver.  */
#include "member/membership.h"
#include "wire/mesh.h"

#include <malloc.h>
#include <string.h>
#include <sys/resource.h>

#define CODEC_ROUNDS 200000
#define BATCHES 2000
#define BATCH_SIZE 100 /* messages sent in one iteration of the main loop */
#define ROUND_TRIPS 20000
#define CONNECTIONS 200
#define DOMAIN_NODES 36 /* instances of one failure domain */
#define SMALL_DOMAIN_NODES 7
#define WARM_UP_US (4 * CLK_S)
#define DOMAIN_RUN_US (10 * CLK_S)
#define NODE_TICK_MS 20
#define OWNER_ROUNDS 100000
#define START_US G_GUINT64_CONSTANT (1764800000000000) /* wall clock */
#define DAY_US (24 * 3600 * CLK_S)                     /* monotonic */
#define PEER_KEY "a shared key of the bench"

/* Two connected endpoints and the messages that they received. */
static struct
{
  struct mesh *a;
  struct mesh *b;
  struct counter_set counters_a;
  struct counter_set counters_b;
  guint received_a;
  guint received_b;
} pair;

static const struct msg_progress_item items[10];
static const struct msg_shard_summary shards[] = { { { "kgn-a.chat-large.0" },
                                                     { "kgn-a-1" },
                                                     "10.20.30.41:7400",
                                                     12,
                                                     8,
                                                     { 1, 2, 3 },
                                                     40 } };

static const struct msg_member members[]
    = { { { "kgn-a-1" }, { "kgn-a" }, "10.20.30.41:7400" } };

static const struct msg samples[MSG_N] = {
  [MSG_HEARTBEAT] = { MSG_HEARTBEAT, .heartbeat = { START_US,
                                                    100000,
                                                    { "kgn-a" },
                                                    { "kgn" },
                                                    "10.20.30.41:7400",
                                                    FALSE,
                                                    1200,
                                                    3000 } },
  [MSG_ENQUEUE]
  = { MSG_ENQUEUE, .enqueue = { 1000000,
                                { "kgn-a.chat-large.0" },
                                { "urgent" },
                                { "crew-support" },
                                2000000,
                                3000,
                                G_GUINT64_CONSTANT (0x1234567890abcdef),
                                900,
                                600,
                                0,
                                TRUE,
                                .sent_us = DAY_US } },
  [MSG_WITHDRAW] = { MSG_WITHDRAW, .withdraw = { 1000000 } },
  [MSG_GRANT]
  = { MSG_GRANT,
      .grant = { 1000000, { "engine-kgn-a-12" }, 1, 2000000, DAY_US } },
  [MSG_REJECT]
  = { MSG_REJECT, .reject = { 1000000, MSG_REASON_OVERLOAD, 300000 } },
  [MSG_PREEMPT] = { MSG_PREEMPT, .preempt = { 1000000 } },
  [MSG_PROGRESS]
  = { MSG_PROGRESS, .progress = { items, G_N_ELEMENTS (items), DAY_US } },
  [MSG_RELEASE]
  = { MSG_RELEASE,
      .release
      = { 1000000, { "engine-kgn-a-12" }, MSG_RESULT_OK, 200000, 25000, 400 } },
  [MSG_MEMBERS]
  = { MSG_MEMBERS, .members = { members, G_N_ELEMENTS (members) } },
  [MSG_SUMMARY]
  = { MSG_SUMMARY, .summary = { { "kgn-a" }, shards, G_N_ELEMENTS (shards) } },
  [MSG_OBJECT_REQUEST]
  = { MSG_OBJECT_REQUEST, .object_request = { { "config" }, 1200 } },
  [MSG_OBJECT_BODY]
  = { MSG_OBJECT_BODY, .object_body = { { "config" }, 1200, { NULL, 0 } } },
  [MSG_LEDGER_RECORD]
  = { MSG_LEDGER_RECORD, .ledger_record = { START_US, 1000000 } },
  [MSG_LEDGER_REPLY]
  = { MSG_LEDGER_REPLY,
      .ledger_reply = { START_US, 1000000, MSG_VERDICT_RECORDED } },
  [MSG_LEDGER_RESULT]
  = { MSG_LEDGER_RESULT,
      .ledger_result = { START_US, 1000000, .status = 200 } },
};

static void
print (const char *what, const char *of, double value, const char *unit)
{
  g_print ("%s%s%s %.3f %s\n", what, *of ? "_" : "", of, value, unit);
}

static double
cpu_us (void)
{
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6
         + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static void
bench_codec (void)
{
  GByteArray *out = g_byte_array_new ();
  struct mesh_arena *arena = mesh_arena_new ();
  for (int kind = 0; kind < MSG_N; kind++)
    {
      const char *name = msg_kind_name ((enum msg_kind)kind);
      double start = cpu_us ();
      for (guint i = 0; i < CODEC_ROUNDS; i++)
        {
          struct msg msg;
          g_byte_array_set_size (out, 0);
          mesh_encode (&samples[kind], out);
          if (mesh_decode ((struct str){ (char *)out->data, out->len }, &msg,
                           arena, NULL)
              != 0)
            g_error ("%s cannot be decoded", name);
        }
      print ("codec", name, (cpu_us () - start) * 1000 / CODEC_ROUNDS, "ns");
      print ("size", name, out->len, "bytes");
    }
  mesh_arena_free (arena);
  g_byte_array_unref (out);
}

static void
on_receive (void *ctx, const char *from, const struct msg *msg)
{
  (void)from;
  (void)msg;
  (*(guint *)ctx)++;
}

static void
on_lost (void *ctx, const char *id)
{
  (void)ctx;
  (void)id;
}

static struct mesh *
open_endpoint (const char *id, const char *listen,
               struct counter_set *counter_set, guint *received)
{
  struct mesh_options options = {
    .listen = listen,
    .key = STR_LIT (PEER_KEY),
    .counter_set = counter_set,
    .receive = on_receive,
    .disconnected = on_lost,
    .ctx = received,
  };
  struct mesh *mesh;
  struct err err;
  str_id_set (&options.self, str_of (id));
  if (mesh_new (&options, &mesh, &err) < 0)
    g_error ("%s: %s", err.step, err.text);
  return mesh;
}

static void
dial (const char *ip)
{
  char address[32];
  g_snprintf (address, sizeof address, "%s:%u", ip, mesh_port (pair.b));
  mesh_dial (pair.a, address);
}

/* Opens both endpoints and connects them.  */
static void
open_pair (void)
{
  memset (&pair, 0, sizeof pair);
  pair.a = open_endpoint ("kgn-a-1", "127.0.0.1:0", &pair.counters_a,
                          &pair.received_a);
  pair.b = open_endpoint ("kgn-a-2", "0.0.0.0:0", &pair.counters_b,
                          &pair.received_b);
  dial ("127.0.0.1");
  while (mesh_send (pair.a, "kgn-a-2", &samples[MSG_WITHDRAW]) < 0
         || mesh_send (pair.b, "kgn-a-1", &samples[MSG_WITHDRAW]) < 0)
    g_main_context_iteration (NULL, TRUE);
  while (pair.received_a == 0 || pair.received_b == 0)
    g_main_context_iteration (NULL, TRUE);
}

static void
close_pair (void)
{
  mesh_free (pair.a);
  mesh_free (pair.b);
}

/* Batches of messages in one direction.  */
static void
bench_batches (void)
{
  open_pair ();
  double start_cpu = cpu_us ();
  gint64 start = g_get_monotonic_time ();
  guint64 bytes = pair.counters_a.v[COUNTER_BYTES_OUT];
  guint sent = pair.received_b;
  for (guint i = 0; i < BATCHES; i++)
    {
      for (guint j = 0; j < BATCH_SIZE; j++)
        if (mesh_send (pair.a, "kgn-a-2", &samples[MSG_ENQUEUE]) == 0)
          sent++;
      while (pair.received_b < sent)
        g_main_context_iteration (NULL, TRUE);
    }
  double n = BATCHES * (double)BATCH_SIZE;
  print ("batch_offer", "rate",
         n * 1e6 / (double)(g_get_monotonic_time () - start), "messages/s");
  print ("batch_offer", "cpu", (cpu_us () - start_cpu) / n, "us/message");
  print ("batch_offer", "bytes",
         (double)(pair.counters_a.v[COUNTER_BYTES_OUT] - bytes) / n,
         "bytes/message");
  close_pair ();
}

/* One message per frame in each direction, the most expensive case.  */
static void
bench_single (void)
{
  open_pair ();
  double start_cpu = cpu_us ();
  gint64 start = g_get_monotonic_time ();
  guint64 bytes = pair.counters_a.v[COUNTER_BYTES_OUT];
  for (guint i = 0; i < ROUND_TRIPS; i++)
    {
      guint next_a = pair.received_a + 1;
      guint next_b = pair.received_b + 1;
      mesh_send (pair.a, "kgn-a-2", &samples[MSG_ENQUEUE]);
      while (pair.received_b < next_b)
        g_main_context_iteration (NULL, TRUE);
      mesh_send (pair.b, "kgn-a-1", &samples[MSG_GRANT]);
      while (pair.received_a < next_a)
        g_main_context_iteration (NULL, TRUE);
    }
  double n = 2.0 * ROUND_TRIPS;
  print ("single", "rate", n * 1e6 / (double)(g_get_monotonic_time () - start),
         "messages/s");
  print ("single", "cpu", (cpu_us () - start_cpu) / n, "us/message");
  print ("single_offer", "bytes",
         (double)(pair.counters_a.v[COUNTER_BYTES_OUT] - bytes) / ROUND_TRIPS,
         "bytes/message");
  close_pair ();
}

/* Cost of the handshake and heap of a connection, without buffers in the
   kernel. */
static void
bench_connections (void)
{
  open_pair ();
  gsize before = mallinfo2 ().uordblks;
  double start_cpu = cpu_us ();
  guint64 bytes = pair.counters_a.v[COUNTER_BYTES_OUT];
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      char ip[32];
      g_snprintf (ip, sizeof ip, "127.0.1.%u", i + 1);
      dial (ip);
    }
  guint64 handshake = 38 + 6 + 39; /* HELLO with a 7-byte id, PROOF */
  while (pair.counters_a.v[COUNTER_BYTES_IN]
             + pair.counters_a.v[COUNTER_BYTES_OUT] - bytes
         < 2 * handshake * CONNECTIONS)
    g_main_context_iteration (NULL, TRUE);
  double ends = 2.0 * CONNECTIONS;
  print ("handshake", "cpu", (cpu_us () - start_cpu) / ends, "us/end");
  print ("handshake", "bytes",
         (double)(pair.counters_a.v[COUNTER_BYTES_OUT] - bytes) / CONNECTIONS,
         "bytes/end");
  print ("connection", "heap", (double)(mallinfo2 ().uordblks - before) / ends,
         "bytes/end");
  close_pair ();
}

/* Returns the membership of one instance in a domain of DOMAIN_NODES. */
static struct membership *
make_members (const struct clk *clk, const struct statechart *chart)
{
  struct member_options options = { .clk = clk, .chart = chart };
  struct msg_heartbeat heartbeat = samples[MSG_HEARTBEAT].heartbeat;
  options.self.domain = heartbeat.domain;
  str_id_set (&options.self.id, STR_LIT ("kgn-a-0"));
  struct membership *membership = member_new (&options);
  for (guint i = 1; i < DOMAIN_NODES; i++)
    {
      struct member_change change;
      char id[16];
      g_snprintf (id, sizeof id, "kgn-a-%u", i);
      member_heartbeat (membership, id, &heartbeat, &change);
    }
  return membership;
}

static void
bench_member (void)
{
  struct clk_fake clk;
  struct statechart *chart;
  struct member_change change;
  struct msg_heartbeat heartbeat = samples[MSG_HEARTBEAT].heartbeat;
  clk_fake_init (&clk, 0);
  if (member_chart_load (JW_SOURCE_DIR "/charts", &chart, NULL) < 0)
    g_error ("cannot load the state chart of membership");
  struct membership *membership = make_members (&clk.clk, chart);
  double start = cpu_us ();
  for (guint i = 0; i < OWNER_ROUNDS; i++)
    member_owner (membership, STR_LIT ("kgn-a.chat-large.0"), 0);
  print ("mem_owner_36", "cpu", (cpu_us () - start) * 1000 / OWNER_ROUNDS,
         "ns");
  start = cpu_us ();
  for (guint i = 0; i < OWNER_ROUNDS; i++)
    {
      heartbeat.sequence++;
      member_heartbeat (membership, "kgn-a-7", &heartbeat, &change);
    }
  print ("mem_heartbeat_36", "cpu", (cpu_us () - start) * 1000 / OWNER_ROUNDS,
         "ns");
  member_free (membership);
  statechart_free (chart);
}

/* An instance that only sends and receives heartbeats. */
struct node
{
  struct mesh *mesh;
  struct membership *membership;
  struct counter_set counter_set;
  gint64 heartbeat_due; /* microseconds */
};

static void
on_heartbeat (void *ctx, const char *from, const struct msg *msg)
{
  struct node *node = ctx;
  struct member_change change;
  member_heartbeat (node->membership, from, &msg->heartbeat, &change);
}

static void
on_disconnected (void *ctx, const char *id)
{
  struct node *node = ctx;
  member_disconnected (node->membership, id);
}

static gboolean
on_tick (gpointer data)
{
  struct node *node = data;
  struct member_change change;
  gint64 now = clk_now (clk_system ());
  member_tick (node->membership, &change);
  if (now < node->heartbeat_due)
    return G_SOURCE_CONTINUE;
  node->heartbeat_due
      = now + member_heartbeat_interval (node->membership, FALSE);
  struct msg msg = { .kind = MSG_HEARTBEAT };
  member_fill_heartbeat (node->membership, &msg.heartbeat);
  mesh_broadcast (node->mesh, &msg);
  return G_SOURCE_CONTINUE;
}

static void
start_node (struct node *node, guint i, const struct statechart *chart)
{
  struct member_options membership = { .clk = clk_system (), .chart = chart };
  struct mesh_options mesh = { .listen = "127.0.0.1:0",
                               .key = STR_LIT (PEER_KEY),
                               .counter_set = &node->counter_set,
                               .receive = on_heartbeat,
                               .disconnected = on_disconnected,
                               .ctx = node };
  struct err err;
  g_snprintf (mesh.self.s, sizeof mesh.self.s, "kgn-a-%u", i);
  if (mesh_new (&mesh, &node->mesh, &err) < 0)
    g_error ("%s: %s", err.step, err.text);
  membership.self.id = mesh.self;
  membership.self.incarnation = START_US;
  str_id_set (&membership.self.domain, STR_LIT ("kgn-a"));
  str_id_set (&membership.self.region, STR_LIT ("kgn"));
  g_strlcpy (membership.self.address, "10.20.30.41:7400",
             sizeof membership.self.address);
  node->membership = member_new (&membership);
  node->heartbeat_due = 0;
}

/* Returns how many of N instances regard ID as live. */
static guint
count_seeing_live (const struct node *nodes, guint n, const char *id)
{
  guint live = 0;
  for (guint i = 0; i < n; i++)
    live += member_find (nodes[i].membership, id)->live;
  return live;
}

/* Closes the connections of the first of N instances and prints how long the
   others take to regard it as down.  */
static void
bench_crash (struct node *nodes, guint n, const char *name)
{
  gint64 start = clk_now (clk_system ());
  mesh_free (nodes[0].mesh);
  nodes[0].mesh = NULL;
  while (count_seeing_live (nodes + 1, n - 1, "kgn-a-0") > 0)
    g_main_context_iteration (NULL, TRUE);
  print (name, "crash_seen", (double)(clk_now (clk_system ()) - start) / 1000,
         "ms");
}

static void
run_until (gint64 end)
{
  while (clk_now (clk_system ()) < end)
    g_main_context_iteration (NULL, TRUE);
}

/* Heartbeats of a failure domain of N instances, each of which dials all
   others; the printed values are for one instance.  */
static void
bench_domain (guint n, const char *name)
{
  struct node *nodes = g_new0 (struct node, n);
  guint *ticks = g_new0 (guint, n);
  struct statechart *chart;
  guint64 bytes = 0;
  guint64 frames = 0;
  if (member_chart_load (JW_SOURCE_DIR "/charts", &chart, NULL) < 0)
    g_error ("cannot load the state chart of membership");
  for (guint i = 0; i < n; i++)
    start_node (&nodes[i], i, chart);
  for (guint i = 0; i < n; i++)
    for (guint j = 0; j < n; j++)
      {
        char address[32];
        g_snprintf (address, sizeof address, "127.0.0.1:%u",
                    mesh_port (nodes[j].mesh));
        if (i != j)
          mesh_dial (nodes[i].mesh, address);
      }
  for (guint i = 0; i < n; i++)
    ticks[i] = g_timeout_add (NODE_TICK_MS, on_tick, &nodes[i]);
  gint64 start = clk_now (clk_system ()) + WARM_UP_US;
  run_until (start);
  for (guint i = 0; i < n; i++)
    memset (&nodes[i].counter_set, 0, sizeof nodes[i].counter_set);
  double start_cpu = cpu_us ();
  run_until (start + DOMAIN_RUN_US);
  double cpu = cpu_us () - start_cpu;
  for (guint i = 0; i < n; i++)
    {
      bytes += nodes[i].counter_set.v[COUNTER_BYTES_OUT];
      frames += nodes[i].counter_set.v[COUNTER_MSG_OUT];
      if (member_live_count (nodes[i].membership) != n)
        g_error ("instance %u does not regard all instances as live", i);
    }
  double seconds = (double)DOMAIN_RUN_US / 1e6;
  print (name, "bytes_out", (double)bytes / n / seconds, "bytes/s");
  print (name, "messages_out", (double)frames / n / seconds, "messages/s");
  print (name, "cpu", cpu / n / seconds / 1e4, "percent");
  g_source_remove (ticks[0]);
  bench_crash (nodes, n, name);
  for (guint i = 1; i < n; i++)
    g_source_remove (ticks[i]);
  for (guint i = 1; i < n; i++)
    mesh_free (nodes[i].mesh);
  for (guint i = 0; i < n; i++)
    member_free (nodes[i].membership);
  statechart_free (chart);
  g_free (ticks);
  g_free (nodes);
}

int
main (void)
{
  bench_codec ();
  bench_batches ();
  bench_single ();
  bench_connections ();
  bench_member ();
  bench_domain (SMALL_DOMAIN_NODES, "heartbeats_7");
  bench_domain (DOMAIN_NODES, "heartbeats_36");
  return 0;
}
