/* Followers of several failure domains with a fake platform and fake peers,
   for test_cft_sched.c: delivers calls, answers and messages late, twice, out
   of order or never, from a seed.  */
#ifndef CFT_SIM_H
#define CFT_SIM_H

#include "config/cft.h"

#include <string.h>

#define DOMAINS 3
#define NODES 8            /* 3 + 3 + 2 */
#define STORE_SIDE DOMAINS /* the platform's side in a partition */
#define HEARTBEAT_US (400 * CLK_MS)
#define DOWN_US (1600 * CLK_MS)  /* silence after which a peer is down */
#define GATHER_US (600 * CLK_MS) /* after a start, before the first watch */

enum ev_kind
{
  EV_STORE,  /* a call reaches the platform */
  EV_ANSWER, /* its answer reaches the instance */
  EV_BEAT,   /* a heartbeat */
  EV_ASK,
  EV_BODY /* a pushed or asked for version */
};

struct ev
{
  gint64 at;
  guint64 serial;
  enum ev_kind kind;
  guint from;
  guint to;
  guint life; /* of the instance that the call belongs to */
  guint64 token;
  struct storage_request call;
  struct storage_response answer;
  guint64 version;
  GBytes *body; /* a reference or NULL */
};

struct watch
{
  gboolean waiting;
  guint life;
  guint64 token;
  guint64 expected;
  gint64 until;
};

struct node
{
  struct sim *sim;
  guint index;
  guint domain;
  guint life; /* counts restarts */
  struct cft *cft;
  struct ctr ctr;
  guint64 in_force; /* in this life */
  gint64 heard[NODES];
  gint64 started;
  gint64 next_beat;
};

struct attempt
{
  struct sim *sim;
  GBytes *body;
  gboolean ended;
  struct cft_result result;
};

struct sim
{
  struct clk_fake clk;
  GRand *rand;
  GSequence *events;
  guint64 serial;
  gboolean faults; /* may start new ones */
  struct node nodes[NODES];
  struct watch watches[NODES];
  GPtrArray *history; /* GBytes of versions 1, 2, ... */
  GPtrArray *attempts;
  gint64 store_down;                    /* until */
  gint64 store_slow;                    /* until */
  gint64 store_loses;                   /* until */
  gint64 cut[DOMAINS + 1][DOMAINS + 1]; /* until */
  guint next_body;
  guint reads;
  guint writes;
  guint watch_calls;
  guint outcomes[4];
  gboolean failed;
};

static void
fault (struct sim *sim, const char *what)
{
  if (!sim->failed)
    g_print ("violated: %s\n", what);
  sim->failed = TRUE;
}

static gint64
between (struct sim *sim, gint64 low, gint64 high)
{
  return low + (gint64)(g_rand_double (sim->rand) * (double)(high - low));
}

static gboolean
chance (struct sim *sim, double p)
{
  return g_rand_double (sim->rand) < p;
}

static void
ev_free (gpointer data)
{
  struct ev *ev = data;
  if (ev->body != NULL)
    g_bytes_unref (ev->body);
  g_free (ev);
}

static int
ev_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ev *x = a;
  const struct ev *y = b;
  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->serial < y->serial ? -1 : 1;
}

static void
post (struct sim *sim, const struct ev *template, gint64 delay)
{
  struct ev *ev = g_memdup2 (template, sizeof *ev);
  ev->at = sim->clk.t + delay;
  ev->serial = sim->serial++;
  if (ev->body != NULL)
    g_bytes_ref (ev->body);
  g_sequence_insert_sorted (sim->events, ev, ev_compare, NULL);
}

static gboolean
is_cut (const struct sim *sim, guint a, guint b)
{
  return sim->cut[a][b] > sim->clk.t;
}

/* Sends a message between instances: late, twice, out of order or never.  */
static void
send (struct sim *sim, const struct ev *ev)
{
  guint from = sim->nodes[ev->from].domain;
  guint to = sim->nodes[ev->to].domain;
  if (is_cut (sim, from, to) || (sim->faults && chance (sim, 0.05)))
    return;
  post (sim, ev, between (sim, CLK_MS, from == to ? 5 * CLK_MS : 60 * CLK_MS));
  if (sim->faults && chance (sim, 0.1))
    post (sim, ev, between (sim, CLK_MS, 3 * CLK_S));
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
answer (struct sim *sim, const struct ev *call, struct storage_response result,
        gint64 delay)
{
  struct ev ev = *call;
  ev.kind = EV_ANSWER;
  ev.answer = result;
  ev.answer.body = NULL;
  ev.body = result.body;
  post (sim, &ev, delay);
}

static void
answer_code (struct sim *sim, const struct ev *call, int code, gint64 delay)
{
  struct storage_response result = { .code = code };
  answer (sim, call, result, delay);
}

/* Answers with the newest version and its value.  */
static void
answer_value (struct sim *sim, const struct ev *call)
{
  struct storage_response result = { .code = 0, .version = newest (sim) };
  if (result.version == 0)
    result.code = ERR_NOT_FOUND;
  else
    result.body = body_of (sim, result.version);
  answer (sim, call, result, CLK_MS);
}

/* Ends the watches that WHO (NODES: all) has: with news, or by CODE.  */
static void
end_watches (struct sim *sim, guint who, int code)
{
  for (guint i = 0; i < NODES; i++)
    {
      struct watch *watch = &sim->watches[i];
      if (!watch->waiting || (who != NODES && who != i))
        continue;
      struct ev call = { .to = i, .life = watch->life, .token = watch->token };
      watch->waiting = FALSE;
      if (code == 0)
        answer_value (sim, &call);
      else
        answer_code (sim, &call, code, CLK_MS);
    }
}

static void
store_write (struct sim *sim, GBytes *body)
{
  g_ptr_array_add (sim->history, g_bytes_ref (body));
  end_watches (sim, NODES, 0);
}

static void
store_put (struct sim *sim, const struct ev *call)
{
  struct storage_response result = { .version = newest (sim) };
  if (call->call.expected != newest (sim))
    result.code = ERR_CONFLICT;
  else
    {
      store_write (sim, call->body);
      result.version = newest (sim);
    }
  if (sim->store_loses > sim->clk.t && chance (sim, 0.7))
    answer_code (sim, call, chance (sim, 0.5) ? ERR_IO : ERR_TIMEOUT,
                 between (sim, CLK_MS, CFT_WRITE_US));
  else
    answer (sim, call, result, CLK_MS);
}

static void
store_watch (struct sim *sim, const struct ev *call)
{
  struct watch *watch = &sim->watches[call->to];
  watch->waiting = TRUE;
  watch->life = call->life;
  watch->token = call->token;
  watch->expected = call->call.expected;
  watch->until = sim->clk.t + call->call.timeout_us;
  if (newest (sim) > watch->expected)
    end_watches (sim, call->to, 0);
}

static void
store_call (struct sim *sim, const struct ev *call)
{
  if (sim->store_down > sim->clk.t)
    {
      answer_code (sim, call, ERR_UNAVAILABLE, CLK_MS);
      return;
    }
  if (sim->faults && chance (sim, 0.02))
    {
      answer_code (sim, call, ERR_LIMIT, CLK_MS);
      return;
    }
  switch (call->call.op)
    {
    case STORAGE_GET:
      answer_value (sim, call);
      break;
    case STORAGE_PUT:
      store_put (sim, call);
      break;
    case STORAGE_WATCH:
      store_watch (sim, call);
      break;
    }
}

/* The instance's shell: carries a call to the platform. A slow platform gets
   it after the caller has given up.  */
static void
node_store (void *ctx, guint64 token, const struct storage_request *call)
{
  struct node *node = ctx;
  struct sim *sim = node->sim;
  struct ev ev = { .kind = EV_STORE, .to = node->index, .life = node->life };
  ev.token = token;
  ev.call = *call;
  ev.body = call->body;
  sim->reads += call->op == STORAGE_GET;
  sim->writes += call->op == STORAGE_PUT;
  sim->watch_calls += call->op == STORAGE_WATCH;
  if (is_cut (sim, node->domain, STORE_SIDE))
    {
      answer_code (sim, &ev, ERR_TIMEOUT, call->timeout_us);
      return;
    }
  if (sim->store_slow > sim->clk.t && call->op != STORAGE_WATCH)
    {
      post (sim, &ev, between (sim, CLK_MS, 4 * CLK_S));
      answer_code (sim, &ev, ERR_TIMEOUT, call->timeout_us);
      return;
    }
  post (sim, &ev, between (sim, CLK_MS, 20 * CLK_MS));
}

/* Pushes to the own failure domain what did not come from a peer.  */
static gboolean
node_accept (void *ctx, guint64 version, GBytes *body, enum cft_source source)
{
  struct node *node = ctx;
  struct sim *sim = node->sim;
  if (*(const char *)g_bytes_get_data (body, NULL) == '!')
    return FALSE;
  if (version <= node->in_force)
    fault (sim, "a version went back");
  if (version > newest (sim) || !g_bytes_equal (body, body_of (sim, version)))
    fault (sim, "a version in force is not the platform's");
  node->in_force = version;
  struct ev ev = { .kind = EV_BODY, .from = node->index, .version = version };
  ev.body = body;
  for (ev.to = 0; ev.to < NODES && source != CFT_FROM_PEER; ev.to++)
    if (ev.to != node->index && sim->nodes[ev.to].domain == node->domain)
      send (sim, &ev);
  return TRUE;
}

static void
node_ask (void *ctx, const char *peer, guint64 version)
{
  struct node *node = ctx;
  struct ev ev = { .kind = EV_ASK, .from = node->index, .version = version };
  ev.to = (guint)(peer[0] - 'a');
  send (node->sim, &ev);
}

static void
node_start (struct sim *sim, guint index)
{
  struct node *node = &sim->nodes[index];
  if (node->cft != NULL)
    cft_free (node->cft);
  node->sim = sim;
  node->index = index;
  node->domain = index / 3;
  node->life++;
  node->in_force = 0;
  node->started = sim->clk.t;
  for (guint i = 0; i < NODES; i++)
    node->heard[i] = G_MININT64 / 2;
  struct cft_options o = { .clk = &sim->clk.clk, .ctr = &node->ctr };
  o.seed = g_rand_int (sim->rand);
  o.object = "config";
  o.store = node_store;
  o.accept = node_accept;
  o.ask = node_ask;
  o.ctx = node;
  node->cft = cft_new (&o);
}

/* Sends heartbeats to the own failure domain and, at times, to one other
   instance.  */
static void
node_beat (struct sim *sim, struct node *node)
{
  if (sim->clk.t < node->next_beat)
    return;
  node->next_beat = sim->clk.t + HEARTBEAT_US;
  struct ev ev = { .kind = EV_BEAT, .from = node->index };
  ev.version = cft_version (node->cft);
  guint far = (guint)g_rand_int_range (sim->rand, 0, NODES);
  for (ev.to = 0; ev.to < NODES; ev.to++)
    if (ev.to != node->index
        && (ev.to == far || sim->nodes[ev.to].domain == node->domain))
      send (sim, &ev);
}

/* The two lowest live instances of a failure domain, as each sees it, are its
   watchers.  */
static void
node_watch (struct sim *sim, struct node *node)
{
  guint lower = 0;
  for (guint i = 0; i < node->index; i++)
    lower += sim->nodes[i].domain == node->domain
             && sim->clk.t - node->heard[i] < DOWN_US;
  cft_set_watcher (node->cft,
                   lower < 2 && sim->clk.t - node->started >= GATHER_US);
}

static void
deliver (struct sim *sim, struct ev *ev)
{
  struct node *node = &sim->nodes[ev->to];
  char peer[2] = { (char)('a' + ev->from), '\0' };
  struct ev reply = { .kind = EV_BODY, .from = ev->to, .to = ev->from };
  switch (ev->kind)
    {
    case EV_STORE:
      store_call (sim, ev);
      break;
    case EV_ANSWER:
      ev->answer.body = ev->body;
      if (is_cut (sim, node->domain, STORE_SIDE))
        ev->answer = (struct storage_response){ .code = ERR_TIMEOUT };
      if (node->life == ev->life)
        cft_answer (node->cft, ev->token, &ev->answer);
      break;
    case EV_BEAT:
      node->heard[ev->from] = sim->clk.t;
      cft_peer_has (node->cft, peer, ev->version);
      break;
    case EV_ASK:
      reply.version = cft_version (node->cft);
      reply.body = cft_body (node->cft);
      if (reply.version > ev->version)
        send (sim, &reply);
      break;
    case EV_BODY:
      cft_offer (node->cft, ev->version, ev->body);
      break;
    }
}

static GBytes *
new_body (struct sim *sim, char first)
{
  char *text = g_strdup_printf ("%cbody %u", first, sim->next_body++);
  return g_bytes_new_take (text, strlen (text));
}

static void
step (struct sim *sim)
{
  sim->clk.t += CFT_TICK_US;
  GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
  while (!g_sequence_iter_is_end (first))
    {
      struct ev *ev = g_sequence_get (first);
      if (ev->at > sim->clk.t)
        break;
      deliver (sim, ev);
      g_sequence_remove (first);
      first = g_sequence_get_begin_iter (sim->events);
    }
  for (guint i = 0; i < NODES; i++)
    {
      if (sim->watches[i].waiting && sim->watches[i].until <= sim->clk.t)
        end_watches (sim, i, ERR_TIMEOUT);
      node_beat (sim, &sim->nodes[i]);
      node_watch (sim, &sim->nodes[i]);
      cft_tick (sim->nodes[i].cft);
    }
}

static void
sim_init (struct sim *sim, guint32 seed)
{
  memset (sim, 0, sizeof *sim);
  clk_fake_init (&sim->clk, 100 * CLK_S);
  sim->rand = g_rand_new_with_seed (seed);
  sim->events = g_sequence_new (ev_free);
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
    cft_free (sim->nodes[i].cft);
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
