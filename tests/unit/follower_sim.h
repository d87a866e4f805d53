/* A simulation for test_cft_sched.c: followers in several failure domains, a
   fake platform and a fake network. Depending on a seed, calls, responses and
   messages are delayed, duplicated, reordered or lost.  */
#ifndef FOLLOWER_SIM_H
#define FOLLOWER_SIM_H

#include "config/follower.h"

#include <string.h>

#define DOMAINS 3
#define NODES 8               /* 3, 3 and 2 in the failure domains */
#define PLATFORM_SIDE DOMAINS /* index of the platform in partitioned_until */
#define HEARTBEAT_US (400 * CLK_MS)
#define DOWN_US (1600 * CLK_MS) /* without a heartbeat: peer is down */
#define JOIN_US (600 * CLK_MS)  /* from the start to the first watch */

enum event_kind
{
  EVENT_CALL,     /* a call reaches the platform */
  EVENT_RESPONSE, /* its response reaches the instance */
  EVENT_HEARTBEAT,
  EVENT_REQUEST, /* requests a newer version */
  EVENT_BODY     /* a version, pushed or requested */
};

struct event
{
  gint64 at;      /* clock time */
  guint64 serial; /* breaks ties */
  enum event_kind kind;
  guint from;
  guint to;
  guint incarnation; /* of the instance that made the call */
  guint64 token;
  struct storage_request call;
  struct storage_response response;
  guint64 version;
  GBytes *body; /* owned reference or NULL */
};

struct watch
{
  gboolean waiting;
  guint incarnation;
  guint64 token;
  guint64 expected;
  gint64 until;
};

struct node
{
  struct sim *sim;
  guint index;
  guint domain;
  guint incarnation; /* starts so far */
  struct follower *follower;
  struct counter_set counter_set;
  guint64 applied_version; /* since the last start */
  gint64 heard_at[NODES];
  gint64 started;
  gint64 next_heartbeat;
};

/* An operator's update. */
struct attempt
{
  struct sim *sim;
  GBytes *body;
  gboolean completed;
  struct follower_result result;
};

struct sim
{
  struct clk_fake clk;
  GRand *rand;
  GSequence *events;
  guint64 serial;
  guint64 schedule_hash; /* of all events so far */
  gboolean faults;       /* messages may be lost and new faults may start */
  struct node nodes[NODES];
  struct watch watches[NODES];
  GPtrArray *history; /* GBytes of versions 1, 2, ... */
  GPtrArray *attempts;
  /* Clock times at which faults of the platform and partitions end. */
  gint64 store_down_until;
  gint64 store_slow_until;
  gint64 store_loses_until; /* loses responses to writes */
  gint64 partitioned_until[DOMAINS + 1][DOMAINS + 1];
  guint next_body;
  guint reads;
  guint writes;
  guint watch_calls;
  guint outcomes[4];
  gboolean failed;
};

static void
report_violation (struct sim *sim, const char *description)
{
  if (!sim->failed)
    g_print ("violated: %s\n", description);
  sim->failed = TRUE;
}

static gint64
random_between (struct sim *sim, gint64 low, gint64 high)
{
  return low + (gint64)(g_rand_double (sim->rand) * (double)(high - low));
}

static gboolean
random_chance (struct sim *sim, double p)
{
  return g_rand_double (sim->rand) < p;
}

static void
event_free (gpointer data)
{
  struct event *event = data;
  if (event->body != NULL)
    g_bytes_unref (event->body);
  g_free (event);
}

static int
event_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;
  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->serial < y->serial ? -1 : 1;
}

static void
schedule_event (struct sim *sim, const struct event *template, gint64 delay)
{
  struct event *event = g_memdup2 (template, sizeof *event);
  event->at = sim->clk.t + delay;
  event->serial = sim->serial++;
  const guint64 fields[] = { (guint64)event->at, event->kind, event->from,
                             event->to, event->version };
  sim->schedule_hash = str_hash (
      (struct str){ (const char *)fields, sizeof fields }, sim->schedule_hash);
  if (event->body != NULL)
    g_bytes_ref (event->body);
  g_sequence_insert_sorted (sim->events, event, event_compare, NULL);
}

static gboolean
is_partitioned (const struct sim *sim, guint a, guint b)
{
  return sim->partitioned_until[a][b] > sim->clk.t;
}

/* Sends a message between instances. It may be delayed, duplicated or lost.  */
static void
send_message (struct sim *sim, const struct event *event)
{
  guint from = sim->nodes[event->from].domain;
  guint to = sim->nodes[event->to].domain;
  if (is_partitioned (sim, from, to)
      || (sim->faults && random_chance (sim, 0.05)))
    return;
  schedule_event (
      sim, event,
      random_between (sim, CLK_MS, from == to ? 5 * CLK_MS : 60 * CLK_MS));
  if (sim->faults && random_chance (sim, 0.1))
    schedule_event (sim, event, random_between (sim, CLK_MS, 3 * CLK_S));
}

static guint64
newest (const struct sim *sim)
{
  return sim->history->len;
}

static GBytes *
body_of (const struct sim *sim, guint64 version)
{
  return sim->history->pdata[version - 1];
}

static void
respond (struct sim *sim, const struct event *call,
         struct storage_response result, gint64 delay)
{
  struct event event = *call;
  event.kind = EVENT_RESPONSE;
  event.response = result;
  event.response.body = NULL;
  event.body = result.body;
  schedule_event (sim, &event, delay);
}

static void
respond_code (struct sim *sim, const struct event *call, int code, gint64 delay)
{
  struct storage_response result = { .code = code };
  respond (sim, call, result, delay);
}

/* Responds with the newest version and its value.  */
static void
respond_value (struct sim *sim, const struct event *call)
{
  struct storage_response result = { .code = 0, .version = newest (sim) };
  if (result.version == 0)
    result.code = ERR_NOT_FOUND;
  else
    result.body = body_of (sim, result.version);
  respond (sim, call, result, CLK_MS);
}

/* Ends the watch of instance TARGET (NODES: all watches) with CODE; 0 sends the
   newest version.  */
static void
end_watches (struct sim *sim, guint target, int code)
{
  for (guint i = 0; i < NODES; i++)
    {
      struct watch *watch = &sim->watches[i];
      if (!watch->waiting || (target != NODES && target != i))
        continue;
      struct event call = { .to = i,
                            .incarnation = watch->incarnation,
                            .token = watch->token };
      watch->waiting = FALSE;
      if (code == 0)
        respond_value (sim, &call);
      else
        respond_code (sim, &call, code, CLK_MS);
    }
}

static void
store_write (struct sim *sim, GBytes *body)
{
  g_ptr_array_add (sim->history, g_bytes_ref (body));
  end_watches (sim, NODES, 0);
}

static void
store_put (struct sim *sim, const struct event *call)
{
  struct storage_response result = { .version = newest (sim) };
  if (call->call.expected != newest (sim))
    result.code = ERR_CONFLICT;
  else
    {
      store_write (sim, call->body);
      result.version = newest (sim);
    }
  if (sim->store_loses_until > sim->clk.t && random_chance (sim, 0.7))
    {
      int code = random_chance (sim, 0.5) ? ERR_IO : ERR_TIMEOUT;
      respond_code (sim, call, code,
                    random_between (sim, CLK_MS, FOLLOWER_WRITE_US));
    }
  else
    respond (sim, call, result, CLK_MS);
}

static void
store_watch (struct sim *sim, const struct event *call)
{
  struct watch *watch = &sim->watches[call->to];
  watch->waiting = TRUE;
  watch->incarnation = call->incarnation;
  watch->token = call->token;
  watch->expected = call->call.expected;
  watch->until = sim->clk.t + call->call.timeout_us;
  if (newest (sim) > watch->expected)
    end_watches (sim, call->to, 0);
}

static void
store_call (struct sim *sim, const struct event *call)
{
  if (sim->store_down_until > sim->clk.t)
    {
      respond_code (sim, call, ERR_UNAVAILABLE, CLK_MS);
      return;
    }
  if (sim->faults && random_chance (sim, 0.02))
    {
      respond_code (sim, call, ERR_LIMIT, CLK_MS);
      return;
    }
  switch (call->call.op)
    {
    case STORAGE_GET:
      respond_value (sim, call);
      break;
    case STORAGE_PUT:
      store_put (sim, call);
      break;
    case STORAGE_WATCH:
      store_watch (sim, call);
      break;
    case STORAGE_LIST:
      break; /* the follower lists nothing */
    }
}

/* Sends a call to the platform. If the platform is slow, the call times out but
   still takes effect, possibly after the time-out.  */
static void
node_store (void *ctx, guint64 token, const struct storage_request *call)
{
  struct node *node = ctx;
  struct sim *sim = node->sim;
  struct event event = { .kind = EVENT_CALL,
                         .to = node->index,
                         .incarnation = node->incarnation };
  event.token = token;
  event.call = *call;
  event.body = call->body;
  sim->reads += call->op == STORAGE_GET;
  sim->writes += call->op == STORAGE_PUT;
  sim->watch_calls += call->op == STORAGE_WATCH;
  if (is_partitioned (sim, node->domain, PLATFORM_SIDE))
    {
      respond_code (sim, &event, ERR_TIMEOUT, call->timeout_us);
      return;
    }
  if (sim->store_slow_until > sim->clk.t && call->op != STORAGE_WATCH)
    {
      schedule_event (sim, &event, random_between (sim, CLK_MS, 4 * CLK_S));
      respond_code (sim, &event, ERR_TIMEOUT, call->timeout_us);
      return;
    }
  schedule_event (sim, &event, random_between (sim, CLK_MS, 20 * CLK_MS));
}

/* Checks VERSION against the platform's history. A version that did not come
   from a peer is pushed to all instances of the own failure domain.  */
static gboolean
node_accept (void *ctx, guint64 version, GBytes *body,
             enum follower_source source)
{
  struct node *node = ctx;
  struct sim *sim = node->sim;
  if (*(const char *)g_bytes_get_data (body, NULL) == '!')
    return FALSE;
  if (version <= node->applied_version)
    report_violation (sim,
                      "an applied version is not newer than the one before");
  if (version > newest (sim) || !g_bytes_equal (body, body_of (sim, version)))
    report_violation (sim,
                      "an applied version is not in the platform's history");
  node->applied_version = version;
  struct event event
      = { .kind = EVENT_BODY, .from = node->index, .version = version };
  event.body = body;
  for (event.to = 0; event.to < NODES && source != FOLLOWER_FROM_PEER;
       event.to++)
    if (event.to != node->index && sim->nodes[event.to].domain == node->domain)
      send_message (sim, &event);
  return TRUE;
}

static void
node_request (void *ctx, const char *peer, guint64 version)
{
  struct node *node = ctx;
  struct event event
      = { .kind = EVENT_REQUEST, .from = node->index, .version = version };
  event.to = (guint)(peer[0] - 'a');
  send_message (node->sim, &event);
}

static void
node_start (struct sim *sim, guint index)
{
  struct node *node = &sim->nodes[index];
  if (node->follower != NULL)
    follower_free (node->follower);
  node->sim = sim;
  node->index = index;
  node->domain = index / 3;
  node->incarnation++;
  node->applied_version = 0;
  node->started = sim->clk.t;
  for (guint i = 0; i < NODES; i++)
    node->heard_at[i] = G_MININT64 / 2;
  struct follower_options o
      = { .clk = &sim->clk.clk, .counter_set = &node->counter_set };
  o.seed = g_rand_int (sim->rand);
  o.object = "config";
  o.store = node_store;
  o.accept = node_accept;
  o.request = node_request;
  o.ctx = node;
  node->follower = follower_new (&o);
}

/* Sends heartbeats to the own failure domain and to one random instance.  */
static void
send_heartbeats (struct sim *sim, struct node *node)
{
  if (sim->clk.t < node->next_heartbeat)
    return;
  node->next_heartbeat = sim->clk.t + HEARTBEAT_US;
  struct event event = { .kind = EVENT_HEARTBEAT, .from = node->index };
  event.version = follower_version (node->follower);
  guint far = (guint)g_rand_int_range (sim->rand, 0, NODES);
  for (event.to = 0; event.to < NODES; event.to++)
    if (event.to != node->index
        && (event.to == far || sim->nodes[event.to].domain == node->domain))
      send_message (sim, &event);
}

/* The watchers of a failure domain are its two live instances with the lowest
   indices, as seen by each instance itself.  */
static void
update_watcher_role (struct sim *sim, struct node *node)
{
  guint lower = 0;
  for (guint i = 0; i < node->index; i++)
    lower += sim->nodes[i].domain == node->domain
             && sim->clk.t - node->heard_at[i] < DOWN_US;
  follower_set_watcher (node->follower,
                        lower < 2 && sim->clk.t - node->started >= JOIN_US);
}

static void
deliver (struct sim *sim, struct event *event)
{
  struct node *node = &sim->nodes[event->to];
  char peer[2] = { (char)('a' + event->from), '\0' };
  struct event reply
      = { .kind = EVENT_BODY, .from = event->to, .to = event->from };
  switch (event->kind)
    {
    case EVENT_CALL:
      store_call (sim, event);
      break;
    case EVENT_RESPONSE:
      event->response.body = event->body;
      if (is_partitioned (sim, node->domain, PLATFORM_SIDE))
        event->response = (struct storage_response){ .code = ERR_TIMEOUT };
      if (node->incarnation == event->incarnation)
        follower_complete (node->follower, event->token, &event->response);
      break;
    case EVENT_HEARTBEAT:
      node->heard_at[event->from] = sim->clk.t;
      follower_peer_has (node->follower, peer, event->version);
      break;
    case EVENT_REQUEST:
      reply.version = follower_version (node->follower);
      reply.body = follower_body (node->follower);
      if (reply.version > event->version)
        send_message (sim, &reply);
      break;
    case EVENT_BODY:
      follower_receive (node->follower, event->version, event->body);
      break;
    }
}

/* Returns a body that differs from all others. It is invalid if FIRST is '!'.
 */
static GBytes *
new_body (struct sim *sim, char first)
{
  char *text = g_strdup_printf ("%cbody %u", first, sim->next_body++);
  return g_bytes_new_take (text, strlen (text));
}

static void
step (struct sim *sim)
{
  sim->clk.t += FOLLOWER_TICK_US;
  GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
  while (!g_sequence_iter_is_end (first))
    {
      struct event *event = g_sequence_get (first);
      if (event->at > sim->clk.t)
        break;
      deliver (sim, event);
      g_sequence_remove (first);
      first = g_sequence_get_begin_iter (sim->events);
    }
  for (guint i = 0; i < NODES; i++)
    {
      if (sim->watches[i].waiting && sim->watches[i].until <= sim->clk.t)
        end_watches (sim, i, ERR_TIMEOUT);
      send_heartbeats (sim, &sim->nodes[i]);
      update_watcher_role (sim, &sim->nodes[i]);
      follower_tick (sim->nodes[i].follower);
    }
}

static void
sim_init (struct sim *sim, guint32 seed)
{
  memset (sim, 0, sizeof *sim);
  clk_fake_init (&sim->clk, 100 * CLK_S);
  sim->rand = g_rand_new_with_seed (seed);
  sim->events = g_sequence_new (event_free);
  sim->history = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  sim->attempts = g_ptr_array_new ();
  for (guint i = 0; i < NODES; i++)
    node_start (sim, i);
  g_autoptr (GBytes) first = new_body (sim, 'b');
  store_write (sim, first);
}

static void
sim_clear (struct sim *sim)
{
  for (guint i = 0; i < NODES; i++)
    follower_free (sim->nodes[i].follower);
  for (guint i = 0; i < sim->attempts->len; i++)
    {
      struct attempt *attempt = sim->attempts->pdata[i];
      g_bytes_unref (attempt->body);
      g_free (attempt);
    }
  g_ptr_array_unref (sim->attempts);
  g_ptr_array_unref (sim->history);
  g_sequence_free (sim->events);
  g_rand_free (sim->rand);
}

#endif
