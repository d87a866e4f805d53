/* Checks that a request with an idempotency key runs at most once: seeded
   schedules of ingresses, owners of a ledger shard and the object store with
   lost and late messages, pauses, crashes and outages. The complete history of
   each schedule is checked.

   LED_SEED=N runs one schedule, LED_SEEDS=N runs N schedules instead of 300. */
#include "unit/sim.h"
#include "unit/unit.h"

#include "ledger/claims.h"
#include "ledger/ledger.h"

#include <stdlib.h>

#define SEEDS 300
#define OWNERS 3
#define INGRESSES 3
#define KEYS 12
#define REQUESTS 150
#define FAULTS_US (40 * CLK_S)   /* with requests and faults */
#define RECOVERY_US (70 * CLK_S) /* then, without faults */
#define RUN_MAX_US (30 * CLK_S)
#define HEAD_MAX 600 /* bytes: a few records, so that segments are closed */
#define MESSAGE_DELAY_US (20 * CLK_MS)

struct world;

/* An instance: an owner of the shard and an ingress in one process. */
struct node
{
  struct world *w;
  char name[8];
  guint64 incarnation;
  gint64 paused_until; /* clock time; its events wait until then */
  struct ledger_shard *ledger;
  struct claims *claims;
  struct counter_set counter_set;
};

/* How a request ended for its client. */
enum outcome
{
  OUTCOME_NONE,     /* still open, or its ingress crashed */
  OUTCOME_NOT_RUN,  /* the client knows that it did not run */
  OUTCOME_RESPONSE, /* the client has the response */
  OUTCOME_OTHER     /* in progress, unknown or mismatch */
};

struct request
{
  struct world *w;
  guint id; /* index plus 1 */
  guint key;
  guint body;
  struct node *node;
  guint64 incarnation; /* of the ingress */
  guint sends;
  guint verdicts;
  enum outcome outcome;
  enum msg_verdict verdict;
  char response[32];
};

struct key
{
  guint executions;
  gboolean ingress_crashed; /* an ingress crashed with a request of it */
  gboolean response_lost;   /* it ran and the ingress lost the response */
  gboolean bodies[2];       /* request bodies that were used */
  char response[32];        /* of the execution */
};

struct world
{
  struct sim sim;
  struct sim_store store;
  struct node nodes[OWNERS];
  struct request requests[REQUESTS + KEYS];
  guint n_requests;
  struct key keys[KEYS];
  guint owner; /* that most ingresses send to */
  gboolean faulty;
  gboolean stopped;
  gboolean replayed; /* a request got its response from the ledger */
  guint errors;
  guint32 seed;
};

static void
report_error (struct world *w, const struct request *r, const char *what)
{
  w->errors++;
  g_print ("\nseed %u: request %u, key %u: %s; repeat: LED_SEED=%u "
           "build/tests/test_led\n",
           w->seed, r->id, r->key, what, w->seed);
}

/* An event for one incarnation of a node. */
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
  struct storage_response response; /* body owned */
  struct request *request;
};

static void
arrival_free (struct arrival *a)
{
  if (a->response.body)
    g_bytes_unref (a->response.body);
  g_free (a->text);
  g_free (a->type);
  g_free (a);
}

/* Delivers A. Events for a paused node are delivered after the pause, out of
   order.  */
static void
deliver (void *ctx)
{
  struct arrival *a = ctx;
  struct sim *sim = &a->node->w->sim;
  gint64 pause = a->node->paused_until - sim->clk.t;
  if (a->node->incarnation != a->incarnation || a->node->w->stopped)
    arrival_free (a);
  else if (pause > 0)
    sim_after (sim, pause + sim_delay (sim, MESSAGE_DELAY_US), deliver, a);
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
    case MSG_LEDGER_RECORD:
      ledger_add_record (node->ledger, a->from, &a->msg.ledger_record);
      break;
    case MSG_LEDGER_RESULT:
      ledger_add_result (node->ledger, a->from, &a->msg.ledger_result);
      break;
    case MSG_LEDGER_REPLY:
      claims_reply (node->claims, &a->msg.ledger_reply);
      break;
    default:
      break;
    }
}

/* Sends MSG to the current incarnation of TO; some messages get lost, are
   delivered twice or late.  */
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
          a->msg.ledger_result.response_body.p = a->text;
        }
      if (msg->kind == MSG_LEDGER_REPLY)
        {
          a->msg.ledger_reply.content_type.p = a->type;
          a->msg.ledger_reply.response_body.p = a->text;
        }
      sim_after (&w->sim,
                 sim_delay (&w->sim, late ? 8 * CLK_S : MESSAGE_DELAY_US),
                 deliver, a);
    }
}

static struct node *
choose_owner (struct world *w)
{
  gboolean other = w->faulty && sim_chance (&w->sim, 0.2);
  return &w->nodes[other ? (guint)g_rand_int_range (w->sim.rand, 0, OWNERS)
                         : w->owner];
}

static void
on_claims_record (void *ctx, const struct msg_ledger_record *record)
{
  struct node *node = ctx;
  struct msg msg = { .kind = MSG_LEDGER_RECORD, .ledger_record = *record };
  post (node, choose_owner (node->w), &msg, STR_LIT (""), STR_LIT (""));
}

static void
on_claims_result (void *ctx, const struct msg_ledger_result *result)
{
  struct node *node = ctx;
  struct msg msg = { .kind = MSG_LEDGER_RESULT, .ledger_result = *result };
  post (node, choose_owner (node->w), &msg, result->content_type,
        result->response_body);
}

static void
on_ledger_reply (void *ctx, const char *to,
                 const struct msg_ledger_reply *reply)
{
  struct node *node = ctx;
  struct msg msg = { .kind = MSG_LEDGER_REPLY, .ledger_reply = *reply };
  for (guint i = 0; i < OWNERS; i++)
    if (strcmp (node->w->nodes[i].name, to) == 0)
      post (node, &node->w->nodes[i], &msg, reply->content_type,
            reply->response_body);
}

static void
on_store_response (struct node *node, struct arrival *a)
{
  ledger_store_response (node->ledger, a->token, &a->response);
}

static void
store_done (void *ctx, const struct storage_response *response)
{
  struct arrival *a = ctx;
  a->response = *response;
  if (response->body)
    g_bytes_ref (response->body);
  deliver (a);
}

static void
on_ledger_request (void *ctx, guint64 token, const struct storage_request *call)
{
  struct node *node = ctx;
  struct arrival *a = arrival_new (node, on_store_response);
  a->token = token;
  sim_store_start (&node->w->store, call, store_done, a);
}

static void
handle_response (struct node *node, struct request *r)
{
  struct key *key = &r->w->keys[r->key];
  if (r->w->faulty && sim_chance (&r->w->sim, 0.1))
    {
      key->response_lost = TRUE;
      r->outcome = OUTCOME_OTHER;
      claims_end (node->claims, r->id, NULL);
      return;
    }
  r->outcome = OUTCOME_RESPONSE;
  struct msg_ledger_result result = { .status = 200,
                                      .content_type = STR_LIT ("text/plain"),
                                      .response_body = str_of (r->response) };
  claims_end (node->claims, r->id, &result);
}

static void
on_response (struct node *node, struct arrival *a)
{
  handle_response (node, a->request);
}

/* The ingress sends the request: the backend server may be unreachable, or the
   request runs and the response comes up to 2 s later.  */
static void
send_to_server (struct node *node, struct arrival *a)
{
  struct request *r = a->request;
  struct world *w = r->w;
  struct key *key = &w->keys[r->key];
  if (++r->sends > 1)
    report_error (w, r, "sent twice");
  if (w->faulty && sim_chance (&w->sim, 0.25))
    {
      struct msg_ledger_result result = { .did_not_run = TRUE };
      r->outcome = OUTCOME_NOT_RUN;
      claims_end (node->claims, r->id, &result);
      return;
    }
  if (r->outcome == OUTCOME_NOT_RUN)
    report_error (w, r, "runs after its client was told that it did not");
  if (++key->executions > 1)
    report_error (w, r, "second execution of the key");
  g_snprintf (key->response, sizeof key->response, "answer %u", r->id);
  g_strlcpy (r->response, key->response, sizeof r->response);
  struct arrival *end = arrival_new (node, on_response);
  end->request = r;
  sim_after (&w->sim, sim_delay (&w->sim, 2 * CLK_S), deliver, end);
}

static void
check_stored_response (struct request *r, const struct msg_ledger_reply *reply)
{
  const struct key *key = &r->w->keys[r->key];
  r->outcome = OUTCOME_RESPONSE;
  r->w->replayed = TRUE;
  if (key->executions != 1 || reply->status != 200
      || !str_eq (reply->response_body, str_of (key->response)))
    report_error (r->w, r, "the stored response is not that of the execution");
}

static void
on_claims_verdict (void *ctx, guint64 request,
                   const struct msg_ledger_reply *reply)
{
  struct node *node = ctx;
  struct world *w = node->w;
  struct request *r = &w->requests[request - 1];
  r->verdict = reply->verdict;
  if (++r->verdicts > 1)
    report_error (w, r, "second verdict");
  switch (reply->verdict)
    {
    case MSG_VERDICT_RECORDED:
      {
        struct arrival *a = arrival_new (node, send_to_server);
        a->request = r;
        sim_after (&w->sim, sim_delay (&w->sim, CLK_S), deliver, a);
        break;
      }
    case MSG_VERDICT_UNAVAILABLE:
      r->outcome = OUTCOME_NOT_RUN;
      break;
    case MSG_VERDICT_DONE:
      check_stored_response (r, reply);
      break;
    case MSG_VERDICT_MISMATCH:
      if (!w->keys[r->key].bodies[!r->body])
        report_error (w, r, "mismatch, but no request had another body");
      r->outcome = OUTCOME_OTHER;
      break;
    default:
      r->outcome = OUTCOME_OTHER;
      break;
    }
}

static void
on_tick (struct node *node, struct arrival *a)
{
  (void)a;
  ledger_tick (node->ledger);
  claims_tick (node->claims);
  sim_after (&node->w->sim, LEDGER_TICK_US, deliver,
             arrival_new (node, on_tick));
}

/* Starts a new incarnation of NODE with empty memory.  */
static void
node_start (struct node *node)
{
  struct world *w = node->w;
  node->incarnation++;
  node->ledger = ledger_new (
      &(struct ledger_options){ .clk = &w->sim.clk.clk,
                                .seed = g_rand_int (w->sim.rand),
                                .counter_set = &node->counter_set,
                                .self = { "owner" },
                                .incarnation = node->incarnation,
                                .head_max = HEAD_MAX,
                                .segment_max = 2 * HEAD_MAX,
                                .run_max_us = RUN_MAX_US,
                                .start_request = on_ledger_request,
                                .send_reply = on_ledger_reply,
                                .ctx = node });
  node->claims
      = claims_new (&(struct claims_options){ .clk = &w->sim.clk.clk,
                                              .incarnation = node->incarnation,
                                              .send_record = on_claims_record,
                                              .send_result = on_claims_result,
                                              .on_verdict = on_claims_verdict,
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
      w->keys[w->requests[i].key].ingress_crashed = TRUE;
  ledger_free (node->ledger);
  claims_free (node->claims);
  node->ledger = NULL;
  node->claims = NULL;
}

static void
send_request (struct world *w, struct node *node, guint k, guint body)
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
  claims_request (node->claims, r->id, key, digest);
}

static void
on_new_request (struct node *node, struct arrival *a)
{
  struct world *w = node->w;
  (void)a;
  if (w->n_requests >= REQUESTS)
    return;
  guint key = (guint)g_rand_int_range (w->sim.rand, 0, KEYS);
  send_request (w, node, key, sim_chance (&w->sim, 0.05));
}

static void
on_next_request (void *ctx)
{
  struct world *w = ctx;
  if (!w->faulty)
    return;
  deliver (arrival_new (&w->nodes[g_rand_int_range (w->sim.rand, 0, INGRESSES)],
                        on_new_request));
  sim_after (&w->sim, sim_delay (&w->sim, 3 * FAULTS_US / REQUESTS),
             on_next_request, w);
}

/* Causes one fault or repair chosen at random, and schedules the next. */
static void
inject_fault (void *ctx)
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
  sim_after (&w->sim, sim_delay (&w->sim, 4 * CLK_S), inject_fault, w);
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
  on_next_request (w);
  inject_fault (w);
}

/* Runs with faults, then without until all claims have ended. */
static void
world_recover (struct world *w)
{
  sim_run (&w->sim, w->sim.clk.t + FAULTS_US);
  w->faulty = FALSE;
  sim_store_clear_faults (&w->store);
  w->store.delay = 5 * CLK_MS;
  sim_run (&w->sim, w->sim.clk.t + RECOVERY_US);
}

/* Checks the last request of a key, made after the faults have ended. */
static void
check_last_request (struct world *w, struct request *r)
{
  const struct key *key = &w->keys[r->key];
  enum msg_verdict v = r->verdict;
  if (r->verdicts != 1 || v == MSG_VERDICT_UNAVAILABLE
      || v == MSG_VERDICT_IN_PROGRESS)
    report_error (w, r, "no final verdict after the faults ended");
  if (!key->ingress_crashed && key->executions == 0
      && v != MSG_VERDICT_RECORDED)
    report_error (w, r, "a key that never ran is blocked");
  if (!key->ingress_crashed && !key->response_lost && key->executions == 1
      && v != MSG_VERDICT_DONE)
    report_error (w, r, "the response of a key that ran is not stored");
}

static guint
world_run (guint32 seed, guint *replayed_runs)
{
  struct world *w = g_new0 (struct world, 1);
  world_start (w, seed);
  world_recover (w);
  guint first = w->n_requests;
  for (guint k = 0; k < KEYS; k++)
    send_request (w, &w->nodes[k % INGRESSES], k, !w->keys[k].bodies[0]);
  /* The last requests are checked against the state before they run. */
  struct key *before = g_memdup2 (w->keys, sizeof w->keys);
  sim_run (&w->sim, w->sim.clk.t + 4 * CLK_S);
  struct key *after = g_memdup2 (w->keys, sizeof w->keys);
  memcpy (w->keys, before, sizeof w->keys);
  for (guint i = first; i < w->n_requests; i++)
    if (w->requests[i].verdict != MSG_VERDICT_MISMATCH)
      check_last_request (w, &w->requests[i]);
  memcpy (w->keys, after, sizeof w->keys);
  g_free (before);
  g_free (after);
  *replayed_runs += w->replayed;
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
  guint replayed_runs = 0;
  for (guint32 seed = first; seed < first + n && errors < 10; seed++)
    errors += world_run (seed, &replayed_runs);
  CU_ASSERT_EQUAL (errors, 0);
  CU_ASSERT_TRUE (one || replayed_runs > n / 2);
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
