#include "capacity/fleet.h"

#include "wire/mesh.h"

#include <math.h>
#include <string.h>
#include <time.h>

#define NEAR_US (1 * CLK_MS) /* one way within a region */
#define FAR_US (30 * CLK_MS) /* one way between regions */
#define TTFT_US (200 * CLK_MS)
#define TOKEN_US (25 * CLK_MS)
#define TOKENS_AT_ONCE 16 /* in one event */
#define SEEDS 2
#define REDIAL_US (1 * CLK_S)

/* The messages of one loop turn, by receiver. */
struct turn
{
  GPtrArray *to[FLEET_NODES_MAX]; /* struct msg *; NULL: none */
  guint bytes[FLEET_NODES_MAX];
  guint touched[FLEET_NODES_MAX];
  guint n;
};

struct parcel
{
  struct fleet_node *from;
  guint life; /* of the receiver */
  guint bytes;
  GPtrArray *messages; /* struct msg *, owned */
};

struct stream
{
  struct fleet_node *node;
  guint life;
  guint64 request;
  guint32 attempt;
  guint left; /* tokens */
};

gint64
fleet_cpu_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * G_GINT64_CONSTANT (1000000000) + t.tv_nsec;
}

/* Returns the bytes of TRAFFIC with the packets' headers.  */
double
fleet_wire_bytes (const struct traffic *traffic)
{
  return (double)traffic->bytes
         + (double)traffic->packets * FLEET_PACKET_OVERHEAD;
}

static void
count (struct traffic *traffic, guint messages, guint bytes)
{
  traffic->messages += messages;
  traffic->bytes += bytes;
  traffic->packets += (bytes + FLEET_PACKET - 1) / FLEET_PACKET;
}

static gint64
delay (const struct fleet_node *a, const struct fleet_node *b)
{
  return a->domain % GEN_REGIONS == b->domain % GEN_REGIONS ? NEAR_US : FAR_US;
}

static gboolean
is_cut (const struct fleet_node *a, const struct fleet_node *b)
{
  const struct fleet *fleet = a->fleet;
  return a->domain != b->domain
         && (fleet->cut[a->domain] || fleet->cut[b->domain]);
}

static void
parcel_free (struct parcel *parcel)
{
  g_ptr_array_unref (parcel->messages);
  g_free (parcel);
}

static void
deliver (void *ctx, void *data)
{
  struct fleet_node *to = ctx;
  struct parcel *parcel = data;
  if (to->core != NULL && to->life == parcel->life
      && !is_cut (parcel->from, to))
    {
      count (&to->in, parcel->messages->len, parcel->bytes);
      for (guint i = 0; i < parcel->messages->len && to->core != NULL; i++)
        {
          struct core_event event = { .kind = CORE_MESSAGE };
          event.message.from = parcel->from->id.s;
          event.message.msg = g_ptr_array_index (parcel->messages, i);
          fleet_handle (to, &event);
        }
    }
  parcel_free (parcel);
}

static void
post (struct fleet_node *from, guint i)
{
  struct fleet *fleet = from->fleet;
  struct turn *turn = fleet->turn;
  struct fleet_node *to = &fleet->nodes[i];
  struct parcel *parcel = g_new (struct parcel, 1);
  parcel->from = from;
  parcel->life = to->life;
  parcel->bytes = turn->bytes[i] + FLEET_FRAME_OVERHEAD;
  parcel->messages = turn->to[i];
  count (&from->out, parcel->messages->len, parcel->bytes);
  queue_add (&fleet->queue, delay (from, to), deliver, to, parcel);
  turn->to[i] = NULL;
  turn->bytes[i] = 0;
}

/* Hands EVENT to NODE and sends what it says, a frame for each receiver.  */
void
fleet_handle (struct fleet_node *node, const struct core_event *event)
{
  struct fleet *fleet = node->fleet;
  fleet->act_ns = 0;
  gint64 start = fleet_cpu_ns ();
  core_handle (node->core, event);
  node->cpu_ns += fleet_cpu_ns () - start - fleet->act_ns;
  for (guint i = 0; i < fleet->turn->n; i++)
    post (node, fleet->turn->touched[i]);
  fleet->turn->n = 0;
}

static void
send_message (struct fleet_node *node, const char *id, const struct msg *msg)
{
  struct fleet *fleet = node->fleet;
  struct turn *turn = fleet->turn;
  struct fleet_node *to = g_hash_table_lookup (fleet->by_id, id);
  if (to == NULL || !fleet->linked[node->index][to->index])
    return;
  GByteArray *bytes = g_byte_array_new ();
  mesh_encode (msg, bytes);
  node->kinds[msg->kind]++;
  node->kind_bytes[msg->kind] += bytes->len;
  if (turn->to[to->index] == NULL)
    {
      turn->to[to->index]
          = g_ptr_array_new_with_free_func ((GDestroyNotify)msg_free);
      turn->touched[turn->n++] = to->index;
    }
  turn->bytes[to->index] += bytes->len;
  g_ptr_array_add (turn->to[to->index], msg_copy (msg));
  g_byte_array_unref (bytes);
}

static void
tell_peer (struct fleet_node *node, const struct fleet_node *peer, gboolean up)
{
  struct core_event event = { .kind = up ? CORE_PEER_UP : CORE_PEER_LOST };
  event.peer_up = peer->id.s; /* the same place as peer_lost */
  if (node->core != NULL)
    fleet_handle (node, &event);
}

static void
connect_nodes (void *ctx, void *data)
{
  struct fleet_node *a = ctx;
  struct fleet_node *b = data;
  struct fleet *fleet = a->fleet;
  if (a->core == NULL || !fleet->dialled[a->index][b->index]
      || fleet->linked[a->index][b->index])
    return;
  if (b->core == NULL || is_cut (a, b))
    {
      queue_add (&fleet->queue, REDIAL_US, connect_nodes, a, b);
      return;
    }
  fleet->linked[a->index][b->index] = fleet->linked[b->index][a->index] = 1;
  tell_peer (a, b, TRUE);
  tell_peer (b, a, TRUE);
}

static void
dial (struct fleet_node *node, const char *address)
{
  struct fleet *fleet = node->fleet;
  struct fleet_node *to = g_hash_table_lookup (fleet->by_address, address);
  if (to == NULL || to == node || fleet->dialled[node->index][to->index])
    return;
  fleet->dialled[node->index][to->index] = 1;
  queue_add (&fleet->queue, 2 * delay (node, to), connect_nodes, node, to);
}

static void
make_tokens (void *ctx, void *data)
{
  struct stream *stream = ctx;
  struct fleet_node *node = stream->node;
  guint n = MIN (stream->left, TOKENS_AT_ONCE);
  struct core_event event = { .kind = CORE_TOKENS };
  (void)data;
  if (node->core == NULL || node->life != stream->life)
    {
      g_free (stream);
      return;
    }
  event.tokens.request = stream->request;
  event.tokens.attempt = stream->attempt;
  event.tokens.count = n;
  fleet_handle (node, &event);
  stream->left -= n;
  if (stream->left > 0)
    {
      queue_add (&node->fleet->queue, n * TOKEN_US, make_tokens, stream, NULL);
      return;
    }
  memset (&event, 0, sizeof event);
  event.kind = CORE_ATTEMPT_END;
  event.attempt_end.request = stream->request;
  event.attempt_end.attempt = stream->attempt;
  event.attempt_end.result = MSG_RESULT_OK;
  event.attempt_end.sent = event.attempt_end.delivered = TRUE;
  event.attempt_end.status = 200;
  fleet_handle (node, &event);
  g_free (stream);
}

static void
open_attempt (struct fleet_node *node, const struct core_action *action)
{
  struct stream *stream = g_new (struct stream, 1);
  stream->node = node;
  stream->life = node->life;
  stream->request = action->open.request;
  stream->attempt = action->open.attempt;
  stream->left = node->stream_tokens;
  queue_add (&node->fleet->queue, TTFT_US, make_tokens, stream, NULL);
}

struct store_call
{
  struct fleet_node *node;
  guint life;
  guint64 token;
};

static void
on_answer (void *ctx, const struct storage_response *answer)
{
  struct store_call *call = ctx;
  struct fleet_node *node = call->node;
  struct core_event event = { .kind = CORE_STORE_RESPONSE };
  event.store_response.token = call->token;
  event.store_response.response = answer;
  if (node->core != NULL && node->life == call->life)
    fleet_handle (node, &event);
  g_free (call);
}

static void
start_store_call (struct fleet_node *node, const struct core_action *action)
{
  struct store_call *call = g_new (struct store_call, 1);
  call->node = node;
  call->life = node->life;
  call->token = action->store.token;
  platform_start (&node->fleet->platform, action->store.call,
                  node->fleet->severed[node->domain], on_answer, call);
}

static void
act (void *ctx, const struct core_action *action)
{
  struct fleet_node *node = ctx;
  struct fleet *fleet = node->fleet;
  gint64 start = fleet_cpu_ns ();
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
      fleet->failed++;
      break;
    case CORE_DO_FINISH:
      fleet->finished++;
      break;
    case CORE_DO_STORE:
      start_store_call (node, action);
      break;
    case CORE_DO_CONFIG:
      node->applied_at = fleet->queue.clk.t;
      break;
    default:
      break;
    }
  fleet->act_ns += fleet_cpu_ns () - start;
}

static void
on_tick (void *ctx, void *data)
{
  struct fleet_node *node = ctx;
  const struct core_event event = { .kind = CORE_TICK };
  if (node->core == NULL || node->life != GPOINTER_TO_UINT (data))
    return;
  fleet_handle (node, &event);
  queue_add (&node->fleet->queue, CORE_TICK_US, on_tick, node, data);
}

static GPtrArray *
seed_addresses (struct fleet *fleet)
{
  guint seeds = fleet->options.seeds ? fleet->options.seeds : SEEDS;
  GPtrArray *list = g_ptr_array_new ();
  for (guint i = 0; i < fleet->n; i++)
    if (i / fleet->options.gen.domains < seeds)
      g_ptr_array_add (list, fleet->nodes[i].address);
  g_ptr_array_add (list, NULL);
  return list;
}

/* Starts node I with no memory of an earlier life.  */
void
fleet_start (struct fleet *fleet, guint i)
{
  struct fleet_node *node = &fleet->nodes[i];
  GPtrArray *seeds = seed_addresses (fleet);
  struct err err;
  struct core_options options = {
    .clk = &fleet->queue.clk.clk,
    .seed = g_rand_int (fleet->rand),
    .counter_set = &node->counter_set,
    .self = node->id,
    .address = node->address,
    .peers = (const char *const *)seeds->pdata,
    .incarnation = (guint64)fleet->queue.clk.t,
    .chart_folder = JW_SOURCE_DIR "/charts",
    .act = act,
    .ctx = node,
  };
  gen_domain (node->domain, &options.domain, &options.region);
  node->life++;
  if (core_new (&options, &node->core, &err) < 0)
    g_error ("%s: %s", err.step, err.text);
  g_ptr_array_unref (seeds);
  queue_add (&fleet->queue,
             g_rand_int_range (fleet->rand, 0, (gint32)CORE_TICK_US), on_tick,
             node, GUINT_TO_POINTER (node->life));
}

void
fleet_kill (struct fleet *fleet, guint i, gboolean crash)
{
  struct fleet_node *node = &fleet->nodes[i];
  core_free (node->core);
  node->core = NULL;
  memset (fleet->dialled[i], 0, sizeof fleet->dialled[i]);
  for (guint k = 0; k < fleet->n; k++)
    {
      if (!fleet->linked[i][k])
        continue;
      fleet->linked[i][k] = fleet->linked[k][i] = 0;
      if (crash)
        tell_peer (&fleet->nodes[k], node, FALSE);
      queue_add (&fleet->queue, REDIAL_US, connect_nodes, &fleet->nodes[k],
                 node);
    }
}

static void
place (struct fleet *fleet)
{
  guint domains = fleet->options.gen.domains;
  fleet->n = domains * fleet->options.per_domain;
  for (guint i = 0; i < fleet->n; i++)
    {
      struct fleet_node *node = &fleet->nodes[i];
      struct str_id domain, region;
      node->fleet = fleet;
      node->index = i;
      node->domain = i % domains;
      gen_domain (node->domain, &domain, &region);
      g_snprintf (node->id.s, sizeof node->id.s, "%s-node-%u", domain.s,
                  i / domains);
      g_snprintf (node->address, sizeof node->address, "10.1.%u.%u:7400",
                  node->domain, i / domains);
      g_hash_table_insert (fleet->by_id, node->id.s, node);
      g_hash_table_insert (fleet->by_address, node->address, node);
    }
}

struct fleet *
fleet_new (const struct fleet_options *options)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);
  queue_init (&fleet->queue);
  platform_init (&fleet->platform, &fleet->queue);
  fleet->rand = g_rand_new_with_seed (1);
  fleet->options = *options;
  fleet->turn = g_new0 (struct turn, 1);
  fleet->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  place (fleet);
  if (!options->no_config)
    {
      GBytes *body = gen_body (&options->gen);
      platform_put (&fleet->platform, "config", body);
      g_bytes_unref (body);
    }
  for (guint i = 0; i < fleet->n; i++)
    fleet_start (fleet, i);
  return fleet;
}

/* Frees FLEET with its nodes; what is still under way is dropped.  */
void
fleet_free (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->n; i++)
    core_free (fleet->nodes[i].core);
  platform_clear (&fleet->platform);
  g_hash_table_unref (fleet->by_id);
  g_hash_table_unref (fleet->by_address);
  g_rand_free (fleet->rand);
  queue_clear (&fleet->queue);
  g_free (fleet->turn);
  g_free (fleet);
}

void
fleet_run (struct fleet *fleet, gint64 us)
{
  queue_run (&fleet->queue, fleet->queue.clk.t + us);
}

void
fleet_request (struct fleet_node *node, guint tokens)
{
  struct fleet *fleet = node->fleet;
  const struct cluster_config *cfg = core_config (node->core);
  struct core_event event = { .kind = CORE_REQUEST };
  event.request.id = ++fleet->next_request;
  event.request.class_index
      = (guint)g_rand_int_range (fleet->rand, 0, (gint32)cfg->n_classes);
  event.request.team_index
      = (guint)g_rand_int_range (fleet->rand, 0, (gint32)cfg->n_teams);
  event.request.pool = (guint)g_rand_int_range (fleet->rand, 0, GEN_MODELS);
  event.request.prefix = g_rand_int (fleet->rand);
  event.request.prompt_tokens = 500;
  event.request.bytes = 2000;
  event.request.streamed = event.request.repeatable = TRUE;
  node->stream_tokens = tokens;
  fleet_handle (node, &event);
}

/* A call of the plain service under a fresh idempotency key.  */
void
fleet_keyed (struct fleet_node *node)
{
  struct fleet *fleet = node->fleet;
  const struct cluster_config *cfg = core_config (node->core);
  struct core_event event = { .kind = CORE_REQUEST };
  int pool = cluster_find_pool (cfg, CLUSTER_SERVICE, STR_LIT ("account"));
  event.request.id = ++fleet->next_request;
  event.request.pool = (guint)pool;
  event.request.bytes = 200;
  event.request.keyed = TRUE;
  for (guint i = 0; i < MSG_KEY_BYTES; i++)
    event.request.key[i] = (guint8)g_rand_int (fleet->rand);
  node->stream_tokens = 1;
  fleet_handle (node, &event);
}

static void
on_arrival (void *ctx, void *data)
{
  struct fleet_node *node = ctx;
  struct fleet *fleet = node->fleet;
  double wait = -log (1.0 - g_rand_double (fleet->rand)) / fleet->load_per_s;
  (void)data;
  if (node->core != NULL && core_ready (node->core))
    {
      if (fleet->load_tokens > 0)
        fleet_request (node, fleet->load_tokens);
      else
        fleet_keyed (node);
    }
  queue_add (&fleet->queue, (gint64)(wait * CLK_S), on_arrival, node, NULL);
}

void
fleet_load (struct fleet *fleet, double per_s, guint tokens)
{
  fleet->load_per_s = per_s;
  fleet->load_tokens = tokens;
  for (guint i = 0; i < fleet->n; i++)
    queue_add (&fleet->queue, g_rand_int_range (fleet->rand, 0, 200000),
               on_arrival, &fleet->nodes[i], NULL);
}

/* Sets all counts of the nodes and the platform to nothing.  */
void
fleet_reset (struct fleet *fleet)
{
  static const struct traffic none;
  platform_reset (&fleet->platform);
  for (guint i = 0; i < fleet->n; i++)
    {
      struct fleet_node *node = &fleet->nodes[i];
      node->out = node->in = none;
      node->cpu_ns = 0;
      memset (node->kinds, 0, sizeof node->kinds);
      memset (node->kind_bytes, 0, sizeof node->kind_bytes);
      memset (&node->counter_set, 0, sizeof node->counter_set);
    }
  fleet->finished = fleet->failed = 0;
}

/* Returns how many live nodes have not got VERSION.  */
guint
fleet_behind (const struct fleet *fleet, guint64 version)
{
  guint n = 0;
  for (guint i = 0; i < fleet->n; i++)
    {
      const struct core *core = fleet->nodes[i].core;
      n += core != NULL
           && (core_config (core) == NULL
               || core_config (core)->version < version);
    }
  return n;
}

guint
fleet_ready (const struct fleet *fleet)
{
  guint n = 0;
  for (guint i = 0; i < fleet->n; i++)
    n += fleet->nodes[i].core != NULL && core_ready (fleet->nodes[i].core);
  return n;
}
