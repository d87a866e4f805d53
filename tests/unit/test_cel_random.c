/* Random schedules, compared with a model of what the ingress instances know.
   The model checks every message of the shard owner. JW_SEED=N runs only seed
   N.  */
#include "unit/shard_fixture.h"
#include "policy/share_credit.h"
#include "unit/unit.h"

#include <stdlib.h>

#define SEEDS 240
#define STEPS 1500
#define REQUESTS_MAX 4000
#define INGRESSES 3
#define SERVERS 4

enum phase
{
  NONE,
  WAITING,
  GRANTED, /* granted, not used yet */
  RUNNING,
  ENDED /* released, rejected, withdrawn or lost */
};

struct model_request
{
  enum phase phase;
  guint class_index;
  guint team;
  guint ingress;
  guint server;
  gint64 arrived;
  gint64 granted;
  gboolean adopted; /* enqueued as already running */
};

struct model
{
  struct shard_fixture fixture;
  GRand *rand;
  struct model_request requests[REQUESTS_MAX];
  guint n_requests;
  gboolean leaving[SERVERS];      /* the server announced that it is leaving */
  double credit[FIXTURE_CLASSES]; /* starts owed by the minimum share */
  guint enqueued_class;           /* class of the request being enqueued */
  gboolean with_faults;           /* attempts may fail */
  gint64 last_progress;           /* clock time of the last progress report */
  char violation[200];            /* the first violated invariant */
};

static const char *const ingress_names[INGRESSES] = { "e1", "e2", "e3" };

#define CHECK(model, condition, text)                                          \
  do                                                                           \
    if (!(condition) && !(model)->violation[0])                                \
      g_strlcpy ((model)->violation, text, sizeof (model)->violation);         \
  while (0)

static guint
random_below (struct model *m, guint n)
{
  return (guint)g_rand_int_range (m->rand, 0, (gint32)n);
}

static guint
count (const struct model *m, enum phase phase, guint class_index)
{
  guint n = 0;
  for (guint i = 0; i < m->n_requests; i++)
    n += m->requests[i].phase == phase
         && m->requests[i].class_index == class_index;
  return n;
}

static gboolean
in_flight (const struct model *m, const struct model_request *request)
{
  return request->phase == RUNNING
         || (request->phase == GRANTED
             && m->fixture.clock.t - request->granted < 2 * CLK_S);
}

static guint
on_server (const struct model *m, guint server)
{
  guint n = 0;
  for (guint i = 0; i < m->n_requests; i++)
    n += in_flight (m, &m->requests[i]) && m->requests[i].server == server;
  return n;
}

static gboolean
team_at_limit (const struct model *m, guint team)
{
  guint n = 0;
  for (guint i = 0; i < m->n_requests; i++)
    n += in_flight (m, &m->requests[i]) && m->requests[i].team == team;
  guint limit = m->fixture.teams[team].max_running;
  return limit > 0 && n >= limit;
}

/* Returns whether a request of the class waits whose team is below its
   limit.  */
static gboolean
startable (const struct model *m, guint class_index)
{
  for (guint i = 0; i < m->n_requests; i++)
    if (m->requests[i].phase == WAITING
        && m->requests[i].class_index == class_index
        && !team_at_limit (m, m->requests[i].team))
      return TRUE;
  return FALSE;
}

static void
check_order (struct model *m, guint class_index)
{
  gboolean due = m->credit[class_index] >= 1 - 1e-6;
  for (guint c = 0; c < class_index; c++)
    CHECK (m, due || !startable (m, c), "a lower tier started first");
  for (guint c = 0; c < FIXTURE_CLASSES; c++)
    if (count (m, WAITING, c) > 0)
      m->credit[c] = MIN (m->credit[c] + m->fixture.classes[c].min_share,
                          SHARE_CREDIT_MAX);
  m->credit[class_index]
      = MAX (m->credit[class_index] - 1, -SHARE_CREDIT_DEBT_MAX);
}

static void
update_idle_credit (struct model *m)
{
  for (guint c = 0; c < FIXTURE_CLASSES; c++)
    if (count (m, WAITING, c) == 0)
      m->credit[c] = MIN (m->credit[c], 0);
}

static gboolean
rejects_work (const struct model *m, guint server)
{
  return m->leaving[server] || m->fixture.backends[server].drain;
}

static void
on_grant (struct model *m, struct model_request *request,
          const struct msg_grant *grant)
{
  guint server = (guint)(grant->backend.s[1] - 'a');
  CHECK (m, request->phase == WAITING || request->phase == GRANTED,
         "a grant for a request that does not wait");
  CHECK (m, grant->use_within_us <= 2 * CLK_S,
         "a grant with too long a time to use it");
  if (request->phase == GRANTED && request->server == server)
    {
      CHECK (m, !rejects_work (m, server), "a grant to a leaving server");
      request->granted = m->fixture.clock.t;
      return;
    }
  CHECK (m, request->phase == WAITING, "a request granted twice");
  CHECK (m, !rejects_work (m, server), "a grant to a leaving server");
  if (!m->with_faults)
    check_order (m, request->class_index);
  request->phase = GRANTED;
  request->server = server;
  request->granted = m->fixture.clock.t;
  CHECK (m, on_server (m, server) <= m->fixture.backends[server].max_running,
         "in flight above max_running");
  update_idle_credit (m);
}

/* Returns the class of the lowest tier below that of CLASS_INDEX with waiting
   requests beyond its reserved room, or FIXTURE_CLASSES. Classes are ordered by
   tier.  */
static guint
lowest_evictable (const struct model *m, guint class_index)
{
  for (guint c = FIXTURE_CLASSES; c-- > class_index + 1;)
    if (count (m, WAITING, c) > m->fixture.classes[c].reserved_waiting)
      return c;
  return FIXTURE_CLASSES;
}

static void
check_eviction (struct model *m, const struct model_request *request)
{
  CHECK (m, m->enqueued_class < request->class_index,
         "evicted, but not for a higher tier");
  CHECK (m, lowest_evictable (m, m->enqueued_class) == request->class_index,
         "evicted, but not from the lowest tier");
  for (guint i = 0; i < m->n_requests; i++)
    CHECK (m,
           m->requests[i].phase != WAITING
               || m->requests[i].class_index != request->class_index
               || m->requests[i].arrived <= request->arrived,
           "evicted, but not the youngest");
}

static void
on_reject (struct model *m, struct model_request *request,
           const struct msg_reject *rejection)
{
  CHECK (m, request->phase == WAITING,
         "a rejection of a request that does not wait");
  CHECK (m, rejection->retry_after_us > 0, "a rejection without a retry time");
  request->phase = request->phase == WAITING ? ENDED : request->phase;
  if (rejection->reason == MSG_REASON_OVERLOAD)
    {
      CHECK (m, lowest_evictable (m, request->class_index) == FIXTURE_CLASSES,
             "rejected although a lower tier could be evicted");
      CHECK (m,
             count (m, WAITING, request->class_index)
                 >= m->fixture.classes[request->class_index].reserved_waiting,
             "rejected within the reserved room");
    }
  if (rejection->reason == MSG_REASON_EVICTED)
    {
      request->phase = WAITING;
      check_eviction (m, request);
      request->phase = ENDED;
    }
  update_idle_credit (m);
}

static void
on_sent (void *ctx, const char *to, const struct msg *msg)
{
  struct model *m = ctx;
  guint64 id = msg->kind == MSG_GRANT    ? msg->grant.queue_entry
               : msg->kind == MSG_REJECT ? msg->reject.queue_entry
                                         : msg->preempt.queue_entry;
  CHECK (m, id < m->n_requests, "a message for an unknown request");
  if (id >= m->n_requests)
    return;
  struct model_request *request = &m->requests[id];
  CHECK (m, strcmp (to, ingress_names[request->ingress]) == 0,
         "a message to the wrong ingress");
  if (msg->kind == MSG_GRANT)
    on_grant (m, request, &msg->grant);
  else if (msg->kind == MSG_REJECT)
    on_reject (m, request, &msg->reject);
  else
    CHECK (m, request->phase == RUNNING || request->phase == ENDED,
           "a preemption of a request that does not run");
}

static struct msg_enqueue
entry_of (const struct model *m, guint id)
{
  const struct model_request *request = &m->requests[id];
  struct msg_enqueue entry
      = fixture_entry (&m->fixture, id, request->class_index,
                       m->fixture.teams[request->team].name.s);
  entry.wait_us = (gint64)(1 + id % 20) * CLK_S;
  entry.waited_us = m->fixture.clock.t - request->arrived;
  entry.prefix = id % 7;
  entry.resumable = id % 2 == 0;
  if (request->adopted)
    entry.running = m->fixture.backends[request->server].name;
  return entry;
}

static void
do_enqueue (struct model *m, guint class_index)
{
  if (m->n_requests == REQUESTS_MAX)
    return;
  guint id = m->n_requests++;
  struct model_request *request = &m->requests[id];
  guint team = random_below (m, 3);
  guint ingress = random_below (m, INGRESSES);
  *request = (struct model_request){ .phase = WAITING,
                                     .class_index = class_index,
                                     .team = team,
                                     .ingress = ingress,
                                     .arrived = m->fixture.clock.t };
  if (random_below (m, 50) == 0)
    {
      request->phase = RUNNING;
      request->adopted = TRUE;
      request->server = random_below (m, SERVERS);
    }
  m->enqueued_class = class_index;
  struct msg_enqueue entry = entry_of (m, id);
  shard_enqueue (m->fixture.shard, ingress_names[request->ingress], &entry);
  m->enqueued_class = FIXTURE_CLASSES;
}

/* Returns the id of a random request in PHASE, or n_requests. */
static guint
pick (struct model *m, enum phase phase)
{
  guint first = random_below (m, MAX (m->n_requests, 1));
  for (guint i = 0; i < m->n_requests; i++)
    {
      guint id = (first + i) % m->n_requests;
      if (m->requests[id].phase == phase)
        return id;
    }
  return m->n_requests;
}

static void
do_release (struct model *m, guint id, enum msg_result result)
{
  struct model_request *request = &m->requests[id];
  struct msg_release release
      = { .queue_entry = id,
          .result = result,
          .backend = m->fixture.backends[request->server].name,
          .ttft_us = 100 * CLK_MS,
          .tbt_us = 20 * CLK_MS,
          .tokens = 10 };
  request->phase = ENDED;
  if (result == MSG_RESULT_LEAVING)
    m->leaving[request->server] = TRUE;
  shard_release (m->fixture.shard, ingress_names[request->ingress], &release);
}

/* Reports the progress of all requests of all ingress instances. */
static void
do_progress (struct model *m)
{
  for (guint i = 0; i < m->n_requests; i++)
    {
      const struct model_request *request = &m->requests[i];
      if (request->phase == NONE || request->phase == ENDED)
        continue;
      struct msg_progress_item item = { .queue_entry = i };
      if (request->phase == RUNNING)
        item = (struct msg_progress_item){ i, 5, 20 * CLK_MS };
      struct msg_progress progress = { &item, 1 };
      if (request->phase != GRANTED)
        shard_progress (m->fixture.shard, ingress_names[request->ingress],
                        &progress);
    }
  m->last_progress = m->fixture.clock.t;
}

/* Ends grants that the ingress instances did not use in time. */
static void
expire (struct model *m)
{
  for (guint i = 0; i < m->n_requests; i++)
    if (m->requests[i].phase == GRANTED
        && m->fixture.clock.t - m->requests[i].granted >= 2 * CLK_S)
      m->requests[i].phase = ENDED;
}

static void
do_advance (struct model *m, gint64 us)
{
  m->fixture.clock.t += us;
  expire (m);
  shard_tick (m->fixture.shard);
  if (m->fixture.clock.t - m->last_progress >= CLK_S)
    do_progress (m);
}

static void
do_ingress_lost (struct model *m)
{
  guint ingress = random_below (m, INGRESSES);
  for (guint i = 0; i < m->n_requests; i++)
    if (m->requests[i].ingress == ingress)
      m->requests[i].phase = ENDED;
  update_idle_credit (m);
  shard_ingress_lost (m->fixture.shard, ingress_names[ingress]);
}

static void
do_leaving (struct model *m)
{
  guint server = random_below (m, SERVERS);
  gboolean is_leaving = random_below (m, 3) == 0;
  if (random_below (m, 2))
    {
      m->leaving[server] = is_leaving;
      shard_set_leaving (m->fixture.shard, m->fixture.backends[server].name.s,
                         is_leaving);
    }
  else
    {
      m->fixture.backends[server].drain = is_leaving;
      shard_set_config (m->fixture.shard, &m->fixture.cfg);
    }
}

static enum msg_result
random_result (struct model *m)
{
  static const enum msg_result failures[]
      = { MSG_RESULT_NOT_SENT, MSG_RESULT_BUSY, MSG_RESULT_BROKEN,
          MSG_RESULT_LEAVING, MSG_RESULT_TIMED_OUT };
  if (m->with_faults && random_below (m, 3) == 0)
    return failures[random_below (m, G_N_ELEMENTS (failures))];
  return random_below (m, 8) ? MSG_RESULT_OK : MSG_RESULT_CANCELLED;
}

static void
do_server_report (struct model *m)
{
  const char *backend = m->fixture.backends[random_below (m, SERVERS)].name.s;
  struct shard_load load = { .running = random_below (m, 8) };
  load.waiting = random_below (m, 2);
  load.kv_used = 0.2 * random_below (m, 5);
  load.age_us = random_below (m, 6000) * CLK_MS;
  shard_load_report (m->fixture.shard, backend, &load);
  guint block = 1 + random_below (m, 6);
  gboolean stored = random_below (m, 2) != 0;
  shard_cache_event (m->fixture.shard, backend, block, stored);
}

/* Enqueues a request again, as if the ingress had missed its grant. */
static void
enqueue_again (struct model *m, guint id)
{
  struct model_request *request = &m->requests[id];
  struct msg_enqueue entry = entry_of (m, id);
  if (request->phase == GRANTED && rejects_work (m, request->server))
    request->phase = WAITING;
  m->enqueued_class = request->class_index;
  shard_enqueue (m->fixture.shard, ingress_names[request->ingress], &entry);
  m->enqueued_class = FIXTURE_CLASSES;
}

static void
step_request (struct model *m, guint choice)
{
  guint running = pick (m, RUNNING);
  guint granted = pick (m, GRANTED);
  guint waiting = pick (m, WAITING);
  guint id = choice < 14 ? running : choice < 34 ? granted : waiting;
  if (id == m->n_requests)
    return;
  struct model_request *request = &m->requests[id];
  if (id == running)
    do_release (m, id, random_result (m));
  else if (id == granted && choice < 30)
    {
      struct msg_progress_item item = { id, 1, 20 * CLK_MS };
      struct msg_progress progress = { &item, 1 };
      request->phase = RUNNING;
      shard_progress (m->fixture.shard, ingress_names[request->ingress],
                      &progress);
    }
  else if (id == granted && choice < 32)
    do_release (m, id, MSG_RESULT_UNUSED);
  else if (choice < 36)
    enqueue_again (m, id);
  else
    {
      request->phase = ENDED;
      update_idle_credit (m);
      shard_withdraw (m->fixture.shard, ingress_names[request->ingress], id);
    }
}

static void
step (struct model *m)
{
  guint choice = random_below (m, 100);
  if (choice < 40)
    do_enqueue (m, random_below (m, FIXTURE_CLASSES));
  else if (choice < 78)
    step_request (m, choice - 40);
  else if (choice < 97)
    do_advance (m, (1 + random_below (m, 100)) * CLK_MS);
  else if (choice == 97 && random_below (m, 10) == 0)
    do_ingress_lost (m);
  else if (choice == 98)
    do_leaving (m);
  else
    do_server_report (m);
}

/* Ends all requests and checks that none is left. */
static void
finish (struct model *m)
{
  guint id;
  for (guint i = 0; i < 100; i++)
    {
      while ((id = pick (m, GRANTED)) < m->n_requests)
        do_release (m, id, MSG_RESULT_OK);
      while ((id = pick (m, RUNNING)) < m->n_requests)
        do_release (m, id, MSG_RESULT_OK);
      do_advance (m, 500 * CLK_MS);
    }
  for (guint i = 0; i < m->n_requests; i++)
    CHECK (m, m->requests[i].phase == ENDED, "a request that did not end");
  CHECK (m, shard_is_idle (m->fixture.shard), "requests left in the shard");
}

static void
model_init (struct model *m, guint32 seed)
{
  m->rand = g_rand_new_with_seed (seed);
  m->with_faults = seed % 2;
  m->enqueued_class = FIXTURE_CLASSES;
  fixture_init (&m->fixture, SERVERS, 1 + random_below (m, 6));
  for (guint c = 0; c < FIXTURE_CLASSES; c++)
    {
      struct cluster_class *class = &m->fixture.classes[c];
      class->min_share = 0.05 * random_below (m, 6);
      class->max_waiting = 4 + random_below (m, 12);
      class->reserved_waiting = 1 + random_below (m, 3);
    }
  for (guint i = 0; i < 3; i++)
    m->fixture.teams[i].max_running
        = random_below (m, 2) ? 0 : 1 + random_below (m, 6);
  struct shard_options options = { .clk = &m->fixture.clock.clk,
                                   .seed = seed,
                                   .counter_set = &m->fixture.counter_set,
                                   .cfg = &m->fixture.cfg,
                                   .name = m->fixture.shard_cfg.name,
                                   .send = on_sent,
                                   .ctx = m };
  m->fixture.shard = shard_new (&options);
}

static void
model_close (struct model *m)
{
  fixture_close (&m->fixture);
  g_rand_free (m->rand);
  g_free (m);
}

/* Runs one random schedule. Returns whether no invariant was violated. */
static gboolean
run_seed (guint32 seed)
{
  struct model *m = g_new0 (struct model, 1);
  model_init (m, seed);
  for (guint i = 0; i < STEPS && !m->violation[0]; i++)
    step (m);
  for (guint s = 0; s < SERVERS; s++)
    {
      m->leaving[s] = m->fixture.backends[s].drain = FALSE;
      shard_set_leaving (m->fixture.shard, m->fixture.backends[s].name.s,
                         FALSE);
    }
  shard_set_config (m->fixture.shard, &m->fixture.cfg);
  if (!m->violation[0])
    finish (m);
  gboolean passed = !m->violation[0];
  if (!passed)
    g_print ("\nseed %u: %s; repeat: JW_SEED=%u build/tests/test_cel_random\n",
             seed, m->violation, seed);
  model_close (m);
  return passed;
}

/* Keeps requests of every class waiting and counts the starts of each. */
static gboolean
run_shares (guint32 seed)
{
  struct model *m = g_new0 (struct model, 1);
  guint starts[FIXTURE_CLASSES] = { 0 };
  const guint n = 400;
  model_init (m, seed & ~1U); /* without faults */
  for (guint i = 0; i < n && !m->violation[0]; i++)
    {
      for (guint c = 0; c < FIXTURE_CLASSES; c++)
        while (count (m, WAITING, c) < 4)
          do_enqueue (m, c);
      guint id = pick (m, GRANTED);
      starts[m->requests[id].class_index] += id < m->n_requests;
      if (id < m->n_requests)
        do_release (m, id, MSG_RESULT_OK);
      while ((id = pick (m, RUNNING)) < m->n_requests)
        do_release (m, id, MSG_RESULT_OK);
      m->fixture.clock.t += CLK_MS;
    }
  for (guint c = 0; c < FIXTURE_CLASSES; c++)
    CHECK (m, starts[c] + 12 >= n * m->fixture.classes[c].min_share,
           "a class below its minimum share");
  gboolean passed = !m->violation[0];
  if (!passed)
    g_print ("\nseed %u: %s; repeat: JW_SEED=%u build/tests/test_cel_random\n",
             seed, m->violation, seed);
  model_close (m);
  return passed;
}

static void
run_seeds (gboolean (*run) (guint32 seed))
{
  const char *only = g_getenv ("JW_SEED");
  if (only)
    {
      CU_ASSERT_TRUE (run ((guint32)strtoul (only, NULL, 10)));
      return;
    }
  guint failed = 0;
  for (guint32 seed = 1; seed <= SEEDS && failed < 5; seed++)
    failed += !run (seed);
  CU_ASSERT_EQUAL (failed, 0);
}

static void
test_schedules (void)
{
  run_seeds (run_seed);
}

static void
test_shares (void)
{
  run_seeds (run_shares);
}

static CU_TestInfo tests[] = {
  { "random schedules keep the invariants", test_schedules },
  { "every class gets its minimum share", test_shares },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "shard, random", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
