#include "capacity/testbed.h"

#include "wire/mesh.h"

#include <math.h>
#include <string.h>
#include <time.h>

#define REGION_DELAY_US (1 * CLK_MS)        /* one way within a region */
#define CROSS_REGION_DELAY_US (30 * CLK_MS) /* one way between regions */
#define TTFT_US (200 * CLK_MS)              /* time to first token */
#define TOKEN_US (25 * CLK_MS)              /* between tokens */
#define TOKENS_AT_ONCE 16        /* tokens of a stream in one event */
#define SEEDS 2                  /* default of testbed_options.seeds */
#define RECONNECT_US (1 * CLK_S) /* before the next try to connect */

/* The messages that a node sends while it handles one event, by receiver. */
struct outbox
{
  GPtrArray *messages[TESTBED_NODES_MAX]; /* struct msg *; NULL: none */
  guint bytes[TESTBED_NODES_MAX];
  guint receivers[TESTBED_NODES_MAX]; /* the N receivers with messages */
  guint n;
};

/* A frame on its way. */
struct frame
{
  struct testbed_node *from;
  guint generation; /* of the receiver when the frame was sent */
  guint bytes;
  GPtrArray *messages; /* struct msg *, owned */
};

/* A response that an engine generates. */
struct stream
{
  struct testbed_node *node;
  guint generation;
  guint64 request;
  guint32 attempt;
  guint left; /* tokens */
};

gint64
testbed_cpu_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * G_GINT64_CONSTANT (1000000000) + t.tv_nsec;
}

double
testbed_wire_bytes (const struct traffic *traffic)
{
  return (double)traffic->bytes
         + (double)traffic->packets * TESTBED_PACKET_OVERHEAD;
}

static void
count (struct traffic *traffic, guint messages, guint bytes)
{
  traffic->messages += messages;
  traffic->bytes += bytes;
  traffic->packets
      += (bytes + TESTBED_PACKET_PAYLOAD - 1) / TESTBED_PACKET_PAYLOAD;
}

/* Returns the one-way delay between two nodes, microseconds.  */
static gint64
delay (const struct testbed_node *a, const struct testbed_node *b)
{
  return a->domain % GENERATOR_REGIONS == b->domain % GENERATOR_REGIONS
             ? REGION_DELAY_US
             : CROSS_REGION_DELAY_US;
}

static gboolean
is_partitioned (const struct testbed_node *a, const struct testbed_node *b)
{
  const struct testbed *testbed = a->testbed;
  return a->domain != b->domain
         && (testbed->partitioned[a->domain]
             || testbed->partitioned[b->domain]);
}

static void
frame_free (struct frame *frame)
{
  g_ptr_array_unref (frame->messages);
  g_free (frame);
}

/* Drops the frame if the receiver has stopped or restarted since.  */
static void
deliver (void *ctx, void *data)
{
  struct testbed_node *to = ctx;
  struct frame *frame = data;
  if (to->core != NULL && to->generation == frame->generation
      && !is_partitioned (frame->from, to))
    {
      count (&to->received, frame->messages->len, frame->bytes);
      for (guint i = 0; i < frame->messages->len && to->core != NULL; i++)
        {
          struct core_event event = { .kind = CORE_MESSAGE };
          event.message.from = frame->from->id.s;
          event.message.msg = g_ptr_array_index (frame->messages, i);
          testbed_handle (to, &event);
        }
    }
  frame_free (frame);
}

/* Sends the messages for node I that are in the outbox as one frame.  */
static void
send_frame (struct testbed_node *from, guint i)
{
  struct testbed *testbed = from->testbed;
  struct outbox *outbox = testbed->outbox;
  struct testbed_node *to = &testbed->nodes[i];
  struct frame *frame = g_new (struct frame, 1);
  frame->from = from;
  frame->generation = to->generation;
  frame->bytes = outbox->bytes[i] + TESTBED_FRAME_OVERHEAD;
  frame->messages = outbox->messages[i];
  count (&from->sent, frame->messages->len, frame->bytes);
  event_queue_add (&testbed->events, delay (from, to), deliver, to, frame);
  outbox->messages[i] = NULL;
  outbox->bytes[i] = 0;
}

void
testbed_handle (struct testbed_node *node, const struct core_event *event)
{
  struct testbed *testbed = node->testbed;
  testbed->callback_ns = 0;
  gint64 start = testbed_cpu_ns ();
  core_handle (node->core, event);
  node->cpu_ns += testbed_cpu_ns () - start - testbed->callback_ns;
  for (guint i = 0; i < testbed->outbox->n; i++)
    send_frame (node, testbed->outbox->receivers[i]);
  testbed->outbox->n = 0;
}

/* Puts MSG into the outbox if NODE is connected to instance ID.  */
static void
send_message (struct testbed_node *node, const char *id, const struct msg *msg)
{
  struct testbed *testbed = node->testbed;
  struct outbox *outbox = testbed->outbox;
  struct testbed_node *to = g_hash_table_lookup (testbed->by_id, id);
  if (to == NULL || !testbed->connected[node->index][to->index])
    return;
  GByteArray *bytes = g_byte_array_new ();
  mesh_encode (msg, bytes);
  node->messages_by_kind[msg->kind]++;
  node->bytes_by_kind[msg->kind] += bytes->len;
  if (outbox->messages[to->index] == NULL)
    {
      outbox->messages[to->index]
          = g_ptr_array_new_with_free_func ((GDestroyNotify)msg_free);
      outbox->receivers[outbox->n++] = to->index;
    }
  outbox->bytes[to->index] += bytes->len;
  g_ptr_array_add (outbox->messages[to->index], msg_copy (msg));
  g_byte_array_unref (bytes);
}

static void
notify_peer (struct testbed_node *node, const struct testbed_node *peer,
             gboolean up)
{
  struct core_event event = { .kind = up ? CORE_PEER_UP : CORE_PEER_LOST };
  event.peer_up = peer->id.s; /* shares the union with peer_lost */
  if (node->core != NULL)
    testbed_handle (node, &event);
}

/* Connects A and B, or tries again later while B cannot be reached.  */
static void
connect_nodes (void *ctx, void *data)
{
  struct testbed_node *a = ctx;
  struct testbed_node *b = data;
  struct testbed *testbed = a->testbed;
  if (a->core == NULL || !testbed->dialled[a->index][b->index]
      || testbed->connected[a->index][b->index])
    return;
  if (b->core == NULL || is_partitioned (a, b))
    {
      event_queue_add (&testbed->events, RECONNECT_US, connect_nodes, a, b);
      return;
    }
  testbed->connected[a->index][b->index]
      = testbed->connected[b->index][a->index] = 1;
  notify_peer (a, b, TRUE);
  notify_peer (b, a, TRUE);
}

static void
dial (struct testbed_node *node, const char *address)
{
  struct testbed *testbed = node->testbed;
  struct testbed_node *to = g_hash_table_lookup (testbed->by_address, address);
  if (to == NULL || to == node || testbed->dialled[node->index][to->index])
    return;
  testbed->dialled[node->index][to->index] = 1;
  event_queue_add (&testbed->events, 2 * delay (node, to), connect_nodes, node,
                   to);
}

/* Reports the next tokens of a stream to the core, and its end.  */
static void
deliver_tokens (void *ctx, void *data)
{
  struct stream *stream = ctx;
  struct testbed_node *node = stream->node;
  guint n = MIN (stream->left, TOKENS_AT_ONCE);
  struct core_event event = { .kind = CORE_TOKENS };
  (void)data;
  if (node->core == NULL || node->generation != stream->generation)
    {
      g_free (stream);
      return;
    }
  event.tokens.request = stream->request;
  event.tokens.attempt = stream->attempt;
  event.tokens.count = n;
  testbed_handle (node, &event);
  stream->left -= n;
  if (stream->left > 0)
    {
      event_queue_add (&node->testbed->events, n * TOKEN_US, deliver_tokens,
                       stream, NULL);
      return;
    }
  memset (&event, 0, sizeof event);
  event.kind = CORE_ATTEMPT_END;
  event.attempt_end.request = stream->request;
  event.attempt_end.attempt = stream->attempt;
  event.attempt_end.result = MSG_RESULT_OK;
  event.attempt_end.sent = event.attempt_end.delivered = TRUE;
  event.attempt_end.status = 200;
  testbed_handle (node, &event);
  g_free (stream);
}

static void
open_attempt (struct testbed_node *node, const struct core_action *action)
{
  struct stream *stream = g_new (struct stream, 1);
  stream->node = node;
  stream->generation = node->generation;
  stream->request = action->open.request;
  stream->attempt = action->open.attempt;
  stream->left = node->stream_tokens;
  event_queue_add (&node->testbed->events, TTFT_US, deliver_tokens, stream,
                   NULL);
}

/* A call to the platform that a node has started. */
struct store_call
{
  struct testbed_node *node;
  guint generation;
  guint64 token;
};

static void
on_store_response (void *ctx, const struct storage_response *response)
{
  struct store_call *call = ctx;
  struct testbed_node *node = call->node;
  struct core_event event = { .kind = CORE_STORE_RESPONSE };
  event.store_response.token = call->token;
  event.store_response.response = response;
  if (node->core != NULL && node->generation == call->generation)
    testbed_handle (node, &event);
  g_free (call);
}

static void
start_store_call (struct testbed_node *node, const struct core_action *action)
{
  struct store_call *call = g_new (struct store_call, 1);
  call->node = node;
  call->generation = node->generation;
  call->token = action->store.token;
  platform_start_request (&node->testbed->platform, action->store.call,
                          node->testbed->no_platform[node->domain],
                          on_store_response, call);
}

/* Carries out an action of a core. Its time is not counted for the node.  */
static void
execute_action (void *ctx, const struct core_action *action)
{
  struct testbed_node *node = ctx;
  struct testbed *testbed = node->testbed;
  gint64 start = testbed_cpu_ns ();
  switch (action->kind)
    {
    case CORE_DO_SEND:
      send_message (node, action->send.to, action->send.msg);
      break;
    case CORE_DO_DIAL:
      dial (node, action->dial);
      break;
    case CORE_DO_OPEN:
      open_attempt (node, action);
      break;
    case CORE_DO_FAIL:
      testbed->failed++;
      break;
    case CORE_DO_FINISH:
      testbed->finished++;
      break;
    case CORE_DO_STORE:
      start_store_call (node, action);
      break;
    case CORE_DO_CONFIG:
      node->applied_at = testbed->events.clk.t;
      break;
    default:
      break;
    }
  testbed->callback_ns += testbed_cpu_ns () - start;
}

static void
on_tick (void *ctx, void *data)
{
  struct testbed_node *node = ctx;
  const struct core_event event = { .kind = CORE_TICK };
  if (node->core == NULL || node->generation != GPOINTER_TO_UINT (data))
    return;
  testbed_handle (node, &event);
  event_queue_add (&node->testbed->events, CORE_TICK_US, on_tick, node, data);
}

/* Returns the NULL-terminated list of addresses that each node dials at its
   start.  */
static GPtrArray *
seed_addresses (struct testbed *testbed)
{
  guint seeds = testbed->options.seeds ? testbed->options.seeds : SEEDS;
  GPtrArray *list = g_ptr_array_new ();
  for (guint i = 0; i < testbed->n; i++)
    if (i / testbed->options.config.domains < seeds)
      g_ptr_array_add (list, testbed->nodes[i].address);
  g_ptr_array_add (list, NULL);
  return list;
}

void
testbed_start_node (struct testbed *testbed, guint i)
{
  struct testbed_node *node = &testbed->nodes[i];
  GPtrArray *seeds = seed_addresses (testbed);
  struct err err;
  struct core_options options = {
    .clk = &testbed->events.clk.clk,
    .seed = g_rand_int (testbed->rand),
    .counter_set = &node->counter_set,
    .self = node->id,
    .address = node->address,
    .peers = (const char *const *)seeds->pdata,
    .incarnation = (guint64)testbed->events.clk.t,
    .chart_folder = JW_SOURCE_DIR "/charts",
    .act = execute_action,
    .ctx = node,
  };
  generator_domain (node->domain, &options.domain, &options.region);
  node->generation++;
  if (core_new (&options, &node->core, &err) < 0)
    g_error ("%s: %s", err.step, err.text);
  g_ptr_array_unref (seeds);
  event_queue_add (&testbed->events,
                   g_rand_int_range (testbed->rand, 0, (gint32)CORE_TICK_US),
                   on_tick, node, GUINT_TO_POINTER (node->generation));
}

void
testbed_stop_node (struct testbed *testbed, guint i, gboolean crash)
{
  struct testbed_node *node = &testbed->nodes[i];
  core_free (node->core);
  node->core = NULL;
  memset (testbed->dialled[i], 0, sizeof testbed->dialled[i]);
  for (guint k = 0; k < testbed->n; k++)
    {
      if (!testbed->connected[i][k])
        continue;
      testbed->connected[i][k] = testbed->connected[k][i] = 0;
      if (crash)
        notify_peer (&testbed->nodes[k], node, FALSE);
      event_queue_add (&testbed->events, RECONNECT_US, connect_nodes,
                       &testbed->nodes[k], node);
    }
}

/* Spreads the nodes over the failure domains and names them.  */
static void
place_nodes (struct testbed *testbed)
{
  guint domains = testbed->options.config.domains;
  testbed->n = domains * testbed->options.per_domain;
  for (guint i = 0; i < testbed->n; i++)
    {
      struct testbed_node *node = &testbed->nodes[i];
      struct str_id domain, region;
      node->testbed = testbed;
      node->index = i;
      node->domain = i % domains;
      generator_domain (node->domain, &domain, &region);
      g_snprintf (node->id.s, sizeof node->id.s, "%s-node-%u", domain.s,
                  i / domains);
      g_snprintf (node->address, sizeof node->address, "10.1.%u.%u:7400",
                  node->domain, i / domains);
      g_hash_table_insert (testbed->by_id, node->id.s, node);
      g_hash_table_insert (testbed->by_address, node->address, node);
    }
}

struct testbed *
testbed_new (const struct testbed_options *options)
{
  struct testbed *testbed = g_new0 (struct testbed, 1);
  event_queue_init (&testbed->events);
  platform_init (&testbed->platform, &testbed->events);
  testbed->rand = g_rand_new_with_seed (1);
  testbed->options = *options;
  testbed->outbox = g_new0 (struct outbox, 1);
  testbed->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  testbed->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  place_nodes (testbed);
  if (!options->no_config)
    {
      GBytes *body = generator_body (&options->config);
      platform_put (&testbed->platform, "config", body);
      g_bytes_unref (body);
    }
  for (guint i = 0; i < testbed->n; i++)
    testbed_start_node (testbed, i);
  return testbed;
}

void
testbed_free (struct testbed *testbed)
{
  for (guint i = 0; i < testbed->n; i++)
    core_free (testbed->nodes[i].core);
  platform_clear (&testbed->platform);
  g_hash_table_unref (testbed->by_id);
  g_hash_table_unref (testbed->by_address);
  g_rand_free (testbed->rand);
  event_queue_clear (&testbed->events);
  g_free (testbed->outbox);
  g_free (testbed);
}

void
testbed_run (struct testbed *testbed, gint64 us)
{
  event_queue_run (&testbed->events, testbed->events.clk.t + us);
}

void
testbed_request (struct testbed_node *node, guint tokens)
{
  struct testbed *testbed = node->testbed;
  const struct cluster_config *cfg = core_config (node->core);
  struct core_event event = { .kind = CORE_REQUEST };
  event.request.id = ++testbed->last_request;
  event.request.class_index
      = (guint)g_rand_int_range (testbed->rand, 0, (gint32)cfg->n_classes);
  event.request.team_index
      = (guint)g_rand_int_range (testbed->rand, 0, (gint32)cfg->n_teams);
  event.request.pool
      = (guint)g_rand_int_range (testbed->rand, 0, GENERATOR_MODELS);
  event.request.prefix = g_rand_int (testbed->rand);
  event.request.prompt_tokens = 500;
  event.request.bytes = 2000;
  event.request.streamed = event.request.repeatable = TRUE;
  node->stream_tokens = tokens;
  testbed_handle (node, &event);
}

void
testbed_request_keyed (struct testbed_node *node)
{
  struct testbed *testbed = node->testbed;
  const struct cluster_config *cfg = core_config (node->core);
  struct core_event event = { .kind = CORE_REQUEST };
  int pool = cluster_find_pool (cfg, CLUSTER_SERVICE, STR_LIT ("account"));
  event.request.id = ++testbed->last_request;
  event.request.pool = (guint)pool;
  event.request.bytes = 200;
  event.request.keyed = TRUE;
  for (guint i = 0; i < MSG_KEY_BYTES; i++)
    event.request.key[i] = (guint8)g_rand_int (testbed->rand);
  node->stream_tokens = 1;
  testbed_handle (node, &event);
}

static void
on_arrival (void *ctx, void *data)
{
  struct testbed_node *node = ctx;
  struct testbed *testbed = node->testbed;
  double wait = -log (1.0 - g_rand_double (testbed->rand))
                / testbed->load_requests_per_s;
  (void)data;
  if (node->core != NULL && core_ready (node->core))
    {
      if (testbed->load_tokens > 0)
        testbed_request (node, testbed->load_tokens);
      else
        testbed_request_keyed (node);
    }
  event_queue_add (&testbed->events, (gint64)(wait * CLK_S), on_arrival, node,
                   NULL);
}

void
testbed_start_load (struct testbed *testbed, double per_s, guint tokens)
{
  testbed->load_requests_per_s = per_s;
  testbed->load_tokens = tokens;
  for (guint i = 0; i < testbed->n; i++)
    event_queue_add (&testbed->events,
                     g_rand_int_range (testbed->rand, 0, 200000), on_arrival,
                     &testbed->nodes[i], NULL);
}

void
testbed_reset_counts (struct testbed *testbed)
{
  static const struct traffic none;
  platform_reset_counts (&testbed->platform);
  for (guint i = 0; i < testbed->n; i++)
    {
      struct testbed_node *node = &testbed->nodes[i];
      node->sent = node->received = none;
      node->cpu_ns = 0;
      memset (node->messages_by_kind, 0, sizeof node->messages_by_kind);
      memset (node->bytes_by_kind, 0, sizeof node->bytes_by_kind);
      memset (&node->counter_set, 0, sizeof node->counter_set);
    }
  testbed->finished = testbed->failed = 0;
}

guint
testbed_count_outdated (const struct testbed *testbed, guint64 version)
{
  guint n = 0;
  for (guint i = 0; i < testbed->n; i++)
    {
      const struct core *core = testbed->nodes[i].core;
      n += core != NULL
           && (core_config (core) == NULL
               || core_config (core)->version < version);
    }
  return n;
}

guint
testbed_count_ready (const struct testbed *testbed)
{
  guint n = 0;
  for (guint i = 0; i < testbed->n; i++)
    n += testbed->nodes[i].core != NULL && core_ready (testbed->nodes[i].core);
  return n;
}
