/* At most one execution a key: seeded schedules of entries, shard owners and
   the store, with a check of the whole history.

   LED_SEED=N runs one schedule, LED_SEEDS=N as many instead of 300.  */
#include "unit/sim.h"
#include "unit/unit.h"

#include "ledger/lec.h"
#include "ledger/led.h"

#include <stdlib.h>

#define SEEDS 300
#define OWNERS 3
#define ENTRIES 3
#define KEYS 12
#define REQUESTS 150
#define FAULTY_US (40 * CLK_S)  /* requests arrive and faults happen */
#define HEALING_US (70 * CLK_S) /* afterwards, without faults */
#define RUN_MAX_US (30 * CLK_S)
#define HEAD_MAX 600 /* bytes: a few records, so that segments are closed */
#define MESSAGE_DELAY_US (20 * CLK_MS)

struct world;

/* An instance: an owner of the shard and an entry in one process. */
struct node
{
  struct world *w;
  char name[8];
  guint64 incarnation;
  gint64 paused_until; /* clock time; its events wait until then */
  struct led *led;
  struct lec *lec;
  struct ctr ctr;
};

/* How a request ended for its caller. */
enum told
{
  TOLD_NOTHING, /* still open, or its entry crashed */
  TOLD_NO,      /* it did not run */
  TOLD_YES,     /* its answer */
  TOLD_OTHER    /* in progress, unknown or mismatch */
};

struct request
{
  struct world *w;
  guint id; /* index plus 1 */
  guint key;
  guint body;
  struct node *node;
  guint64 incarnation; /* of the entry */
  guint sends;
  guint verdicts;
  enum told told;
  enum msg_verdict verdict;
  char answer[32];
};

struct key
{
  guint executions;
  gboolean by_crashed; /* an entry crashed with a ticket of it */
  gboolean unended;    /* it ran and the entry lost the answer */
  gboolean bodies[2];  /* asked with */
  char answer[32];     /* of the execution */
};

struct world
{
  struct sim sim;
  struct sim_store store;
  struct node nodes[OWNERS];
  struct request requests[REQUESTS + KEYS];
  guint n_requests;
  struct key keys[KEYS];
  guint owner; /* that most entries believe in */
  gboolean faulty;
  gboolean stopped;
  gboolean answered; /* a request got its answer from the ledger */
  guint errors;
  guint32 seed;
};

static void
fault (struct world *w, const struct request *r, const char *what)
{
  w->errors++;
  g_print ("\nseed %u: request %u, key %u: %s; repeat: LED_SEED=%u "
           "build/tests/test_led\n",
           w->seed, r->id, r->key, what, w->seed);
}

/* A thing that happens to one incarnation of a node. */
struct arrival
{
  struct node *node;
  guint64 incarnation;
  void (*fn) (struct node *node, struct arrival *arrival);
  struct msg msg;
  char from[8];
  char *text; /* of the message, owned */
  char *type; /* of the message, owned */
  guint64 token;
  struct sto_answer answer; /* body owned */
  struct request *request;
};

static void
arrival_free (struct arrival *a)
{
  if (a->answer.body)
    g_bytes_unref (a->answer.body);
  g_free (a->text);
  g_free (a->type);
  g_free (a);
}

/* Hands A over; what is for a paused node waits and then comes out of
   order.  */
static void
arrive (void *ctx)
{
  struct arrival *a = ctx;
  struct sim *sim = &a->node->w->sim;
  gint64 pause = a->node->paused_until - sim->clk.t;
  if (a->node->incarnation != a->incarnation || a->node->w->stopped)
    arrival_free (a);
  else if (pause > 0)
    sim_after (sim, pause + sim_delay (sim, MESSAGE_DELAY_US), arrive, a);
  else
    {
      a->fn (a->node, a);
      arrival_free (a);
    }
}

static struct arrival *
arrival_new (struct node *node, void (*fn) (struct node *, struct arrival *))
{
  struct arrival *a = g_new0 (struct arrival, 1);
  a->node = node;
  a->incarnation = node->incarnation;
  a->fn = fn;
  return a;
}

static void
on_message (struct node *node, struct arrival *a)
{
  switch (a->msg.kind)
    {
    case MSG_LEDGER_INTENT:
      led_intent (node->led, a->from, &a->msg.ledger_intent);
      break;
    case MSG_LEDGER_RESULT:
      led_result (node->led, a->from, &a->msg.ledger_result);
      break;
    case MSG_LEDGER_VERDICT:
      lec_verdict (node->lec, &a->msg.ledger_verdict);
      break;
    default:
      break;
    }
}

/* Sends MSG to whatever incarnation of TO is there; some get lost, come twice
   or late.  */
static void
post (struct node *from, struct node *to, const struct msg *msg,
      struct str type, struct str text)
{
  struct world *w = from->w;
  guint copies = 1;
  if (w->faulty && sim_chance (&w->sim, 0.04))
    copies = sim_chance (&w->sim, 0.5) ? 0 : 2;
  for (; copies > 0; copies--)
    {
      gboolean late = w->faulty && sim_chance (&w->sim, 0.03);
      struct arrival *a = arrival_new (to, on_message);
      a->msg = *msg;
      a->type = str_dup (type);
      a->text = str_dup (text);
      g_strlcpy (a->from, from->name, sizeof a->from);
      if (msg->kind == MSG_LEDGER_RESULT)
        {
          a->msg.ledger_result.content_type.p = a->type;
          a->msg.ledger_result.answer.p = a->text;
        }
      if (msg->kind == MSG_LEDGER_VERDICT)
        {
          a->msg.ledger_verdict.content_type.p = a->type;
          a->msg.ledger_verdict.answer.p = a->text;
        }
      sim_after (&w->sim,
                 sim_delay (&w->sim, late ? 8 * CLK_S : MESSAGE_DELAY_US),
                 arrive, a);
    }
}

static struct node *
pick_owner (struct world *w)
{
  gboolean other = w->faulty && sim_chance (&w->sim, 0.2);
  return &w->nodes[other ? (guint)g_rand_int_range (w->sim.rand, 0, OWNERS)
                         : w->owner];
}

static void
on_lec_intent (void *ctx, const struct msg_ledger_intent *intent)
{
  struct node *node = ctx;
  struct msg msg = { .kind = MSG_LEDGER_INTENT, .ledger_intent = *intent };
  post (node, pick_owner (node->w), &msg, STR_LIT (""), STR_LIT (""));
}

static void
on_lec_result (void *ctx, const struct msg_ledger_result *result)
{
  struct node *node = ctx;
  struct msg msg = { .kind = MSG_LEDGER_RESULT, .ledger_result = *result };
  post (node, pick_owner (node->w), &msg, result->content_type, result->answer);
}

static void
on_led_verdict (void *ctx, const char *to,
                const struct msg_ledger_verdict *verdict)
{
  struct node *node = ctx;
  struct msg msg = { .kind = MSG_LEDGER_VERDICT, .ledger_verdict = *verdict };
  for (guint i = 0; i < OWNERS; i++)
    if (strcmp (node->w->nodes[i].name, to) == 0)
      post (node, &node->w->nodes[i], &msg, verdict->content_type,
            verdict->answer);
}

static void
on_store_answer (struct node *node, struct arrival *a)
{
  led_answer (node->led, a->token, &a->answer);
}

static void
store_done (void *ctx, const struct sto_answer *answer)
{
  struct arrival *a = ctx;
  a->answer = *answer;
  if (answer->body)
    g_bytes_ref (answer->body);
  arrive (a);
}

static void
on_led_store (void *ctx, guint64 token, const struct sto_call *call)
{
  struct node *node = ctx;
  struct arrival *a = arrival_new (node, on_store_answer);
  a->token = token;
  sim_store_start (&node->w->store, call, store_done, a);
}

static void
end_request (struct node *node, struct request *r)
{
  struct key *key = &r->w->keys[r->key];
  if (r->w->faulty && sim_chance (&r->w->sim, 0.1))
    {
      key->unended = TRUE;
      r->told = TOLD_OTHER;
      lec_end (node->lec, r->id, NULL);
      return;
    }
  r->told = TOLD_YES;
  struct msg_ledger_result result = { .status = 200,
                                      .content_type = STR_LIT ("text/plain"),
                                      .answer = str_of (r->answer) };
  lec_end (node->lec, r->id, &result);
}

static void
on_ended (struct node *node, struct arrival *a)
{
  end_request (node, a->request);
}

/* The entry sends the request's call: the server may be unreachable, or it
   runs and the answer comes a little later.  */
static void
on_send (struct node *node, struct arrival *a)
{
  struct request *r = a->request;
  struct world *w = r->w;
  struct key *key = &w->keys[r->key];
  if (++r->sends > 1)
    fault (w, r, "sent twice");
  if (w->faulty && sim_chance (&w->sim, 0.25))
    {
      struct msg_ledger_result result = { .did_not_run = TRUE };
      r->told = TOLD_NO;
      lec_end (node->lec, r->id, &result);
      return;
    }
  if (r->told == TOLD_NO)
    fault (w, r, "runs after its caller was told that it did not");
  if (++key->executions > 1)
    fault (w, r, "the key's second execution");
  g_snprintf (key->answer, sizeof key->answer, "answer %u", r->id);
  g_strlcpy (r->answer, key->answer, sizeof r->answer);
  struct arrival *end = arrival_new (node, on_ended);
  end->request = r;
  sim_after (&w->sim, sim_delay (&w->sim, 2 * CLK_S), arrive, end);
}

static void
check_done (struct request *r, const struct msg_ledger_verdict *verdict)
{
  const struct key *key = &r->w->keys[r->key];
  r->told = TOLD_YES;
  r->w->answered = TRUE;
  if (key->executions != 1 || verdict->status != 200
      || !str_eq (verdict->answer, str_of (key->answer)))
    fault (r->w, r, "the ledger's answer is not that of the execution");
}

static void
on_lec_verdict (void *ctx, guint64 request,
                const struct msg_ledger_verdict *verdict)
{
  struct node *node = ctx;
  struct world *w = node->w;
  struct request *r = &w->requests[request - 1];
  r->verdict = verdict->verdict;
  if (++r->verdicts > 1)
    fault (w, r, "a second verdict");
  switch (verdict->verdict)
    {
    case MSG_VERDICT_FRESH:
      {
        struct arrival *a = arrival_new (node, on_send);
        a->request = r;
        sim_after (&w->sim, sim_delay (&w->sim, CLK_S), arrive, a);
        break;
      }
    case MSG_VERDICT_AWAY:
      r->told = TOLD_NO;
      break;
    case MSG_VERDICT_DONE:
      check_done (r, verdict);
      break;
    case MSG_VERDICT_MISMATCH:
      if (!w->keys[r->key].bodies[!r->body])
        fault (w, r, "a mismatch with a body that never came");
      r->told = TOLD_OTHER;
      break;
    default:
      r->told = TOLD_OTHER;
      break;
    }
}

static void
on_tick (struct node *node, struct arrival *a)
{
  (void)a;
  led_tick (node->led);
  lec_tick (node->lec);
  sim_after (&node->w->sim, LED_TICK_US, arrive, arrival_new (node, on_tick));
}

/* Starts a new incarnation of NODE, with nothing in memory.  */
static void
node_start (struct node *node)
{
  struct world *w = node->w;
  node->incarnation++;
  node->led = led_new (&(struct led_options){ .clk = &w->sim.clk.clk,
                                              .seed = g_rand_int (w->sim.rand),
                                              .ctr = &node->ctr,
                                              .self = { "owner" },
                                              .incarnation = node->incarnation,
                                              .head_max = HEAD_MAX,
                                              .segment_max = 2 * HEAD_MAX,
                                              .run_max_us = RUN_MAX_US,
                                              .store = on_led_store,
                                              .verdict = on_led_verdict,
                                              .ctx = node });
  node->lec = lec_new (&(struct lec_options){ .clk = &w->sim.clk.clk,
                                              .incarnation = node->incarnation,
                                              .intent = on_lec_intent,
                                              .result = on_lec_result,
                                              .verdict = on_lec_verdict,
                                              .ctx = node });
  on_tick (node, NULL);
}

static void
node_stop (struct node *node)
{
  struct world *w = node->w;
  for (guint i = 0; i < w->n_requests; i++)
    if (w->requests[i].node == node
        && w->requests[i].incarnation == node->incarnation)
      w->keys[w->requests[i].key].by_crashed = TRUE;
  led_free (node->led);
  lec_free (node->lec);
  node->led = NULL;
  node->lec = NULL;
}

static void
ask (struct world *w, struct node *node, guint k, guint body)
{
  struct request *r = &w->requests[w->n_requests++];
  guint8 key[MSG_KEY_BYTES] = { 0, (guint8)k, 77 };
  guint8 digest[MSG_KEY_BYTES] = { (guint8)body };
  *r = (struct request){ .w = w,
                         .id = w->n_requests,
                         .key = k,
                         .body = body,
                         .node = node,
                         .incarnation = node->incarnation };
  w->keys[k].bodies[body] = TRUE;
  lec_ask (node->lec, r->id, key, digest);
}

static void
on_request (struct node *node, struct arrival *a)
{
  struct world *w = node->w;
  (void)a;
  if (w->n_requests >= REQUESTS)
    return;
  ask (w, node, (guint)g_rand_int_range (w->sim.rand, 0, KEYS),
       sim_chance (&w->sim, 0.05));
}

static void
on_arrivals (void *ctx)
{
  struct world *w = ctx;
  if (!w->faulty)
    return;
  arrive (arrival_new (&w->nodes[g_rand_int_range (w->sim.rand, 0, ENTRIES)],
                       on_request));
  sim_after (&w->sim, sim_delay (&w->sim, 3 * FAULTY_US / REQUESTS),
             on_arrivals, w);
}

/* Brings about one fault of the world's kinds, then the next. */
static void
on_fault (void *ctx)
{
  struct world *w = ctx;
  struct node *node = &w->nodes[g_rand_int_range (w->sim.rand, 0, OWNERS)];
  if (!w->faulty)
    return;
  switch (g_rand_int_range (w->sim.rand, 0, 7))
    {
    case 0:
      node->paused_until = w->sim.clk.t + sim_delay (&w->sim, 12 * CLK_S);
      break;
    case 1:
      node_stop (node);
      node_start (node);
      break;
    case 2:
      w->store.refusing = !w->store.refusing;
      break;
    case 3:
      w->store.silent = !w->store.silent;
      break;
    case 4:
      w->store.delay = 2 * CLK_MS + sim_delay (&w->sim, 2 * CLK_S);
      break;
    default:
      w->owner = (guint)g_rand_int_range (w->sim.rand, 0, OWNERS);
      w->store.refusing = w->store.silent = FALSE;
      break;
    }
  sim_after (&w->sim, sim_delay (&w->sim, 4 * CLK_S), on_fault, w);
}

static void
world_start (struct world *w, guint32 seed)
{
  memset (w, 0, sizeof *w);
  w->seed = seed;
  sim_init (&w->sim, seed);
  sim_store_init (&w->store, &w->sim);
  w->store.lost_before = 0.05 * g_rand_double (w->sim.rand);
  w->store.lost_after = 0.15 * g_rand_double (w->sim.rand);
  w->store.late = 0.10 * g_rand_double (w->sim.rand);
  w->store.limited = 0.10 * g_rand_double (w->sim.rand);
  w->faulty = TRUE;
  for (guint i = 0; i < OWNERS; i++)
    {
      w->nodes[i].w = w;
      g_snprintf (w->nodes[i].name, sizeof w->nodes[i].name, "n%u", i);
      node_start (&w->nodes[i]);
    }
  on_arrivals (w);
  on_fault (w);
}

/* Ends the faults and waits until no ticket is left. */
static void
world_heal (struct world *w)
{
  sim_run (&w->sim, w->sim.clk.t + FAULTY_US);
  w->faulty = FALSE;
  sim_store_clear_faults (&w->store);
  w->store.delay = 5 * CLK_MS;
  sim_run (&w->sim, w->sim.clk.t + HEALING_US);
}

/* Checks the last try of a key, made in peace. */
static void
check_last (struct world *w, struct request *r)
{
  const struct key *key = &w->keys[r->key];
  enum msg_verdict v = r->verdict;
  if (r->verdicts != 1 || v == MSG_VERDICT_AWAY || v == MSG_VERDICT_IN_PROGRESS)
    fault (w, r, "no final verdict in peace");
  if (!key->by_crashed && key->executions == 0 && v != MSG_VERDICT_FRESH)
    fault (w, r, "a key that never ran is blocked");
  if (!key->by_crashed && !key->unended && key->executions == 1
      && v != MSG_VERDICT_DONE)
    fault (w, r, "the answer of a key that ran was not kept");
}

static guint
world_run (guint32 seed, guint *answers)
{
  struct world *w = g_new0 (struct world, 1);
  world_start (w, seed);
  world_heal (w);
  guint first = w->n_requests;
  for (guint k = 0; k < KEYS; k++)
    ask (w, &w->nodes[k % ENTRIES], k, !w->keys[k].bodies[0]);
  /* The last tries are judged by what they find, before they run. */
  struct key *before = g_memdup2 (w->keys, sizeof w->keys);
  sim_run (&w->sim, w->sim.clk.t + 4 * CLK_S);
  struct key *after = g_memdup2 (w->keys, sizeof w->keys);
  memcpy (w->keys, before, sizeof w->keys);
  for (guint i = first; i < w->n_requests; i++)
    if (w->requests[i].verdict != MSG_VERDICT_MISMATCH)
      check_last (w, &w->requests[i]);
  memcpy (w->keys, after, sizeof w->keys);
  g_free (before);
  g_free (after);
  *answers += w->answered;
  w->stopped = TRUE;
  sim_run (&w->sim, w->sim.clk.t + 1000 * CLK_S);
  for (guint i = 0; i < OWNERS; i++)
    node_stop (&w->nodes[i]);
  sim_store_clear (&w->store);
  sim_clear (&w->sim);
  guint errors = w->errors;
  g_free (w);
  return errors;
}

static void
test_schedules (void)
{
  const char *one = g_getenv ("LED_SEED");
  const char *many = g_getenv ("LED_SEEDS");
  guint32 first = one ? (guint32)strtoul (one, NULL, 10) : 1;
  guint32 n = one ? 1 : many ? (guint32)strtoul (many, NULL, 10) : SEEDS;
  guint errors = 0;
  guint answers = 0;
  for (guint32 seed = first; seed < first + n && errors < 10; seed++)
    errors += world_run (seed, &answers);
  CU_ASSERT_EQUAL (errors, 0);
  CU_ASSERT_TRUE (one || answers > n / 2);
}

static CU_TestInfo tests[] = {
  { "seeded schedules: at most one execution", test_schedules },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "ledger", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
