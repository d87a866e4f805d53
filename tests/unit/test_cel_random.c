/* Random schedules against a model of what the entries know. The model checks
   every message of the owner. JW_SEED=N runs seed N alone.  */
#include "unit/shard_fixture.h"
#include "policy/shr.h"
#include "unit/unit.h"

#include <stdlib.h>

#define SEEDS 240
#define STEPS 1500
#define TICKETS_MAX 4000
#define ENTRIES 3
#define SERVERS 4

enum phase
{
  NONE,
  WAITING,
  GRANTED, /* not used yet */
  RUNNING,
  ENDED /* released, refused, withdrawn or lost */
};

struct ticket
{
  enum phase phase;
  guint class_index;
  guint team;
  guint entry;
  guint server;
  gint64 arrived;
  gint64 granted;
  gboolean adopted; /* offered as running */
};

struct model
{
  struct fix fix;
  GRand *rand;
  struct ticket tickets[TICKETS_MAX];
  guint n_tickets;
  gboolean left[SERVERS];     /* leaving */
  double credit[FIX_CLASSES]; /* starts due by the minimum share */
  guint offering;             /* class of the offer in progress */
  gboolean faults;            /* results may be failures */
  gint64 reported;            /* last progress */
  char problem[200];          /* the first one */
};

static const char *const entry_names[ENTRIES] = { "e1", "e2", "e3" };

#define CHECK(model, condition, text)                                          \
  do                                                                           \
    if (!(condition) && !(model)->problem[0])                                  \
      g_strlcpy ((model)->problem, text, sizeof (model)->problem);             \
  while (0)

static guint
below (struct model *m, guint n)
{
  return (guint)g_rand_int_range (m->rand, 0, (gint32)n);
}

static guint
count (const struct model *m, enum phase phase, guint class_index)
{
  guint n = 0;
  for (guint i = 0; i < m->n_tickets; i++)
    n += m->tickets[i].phase == phase
         && m->tickets[i].class_index == class_index;
  return n;
}

static gboolean
in_flight (const struct model *m, const struct ticket *t)
{
  return t->phase == RUNNING
         || (t->phase == GRANTED && m->fix.clock.t - t->granted < 2 * CLK_S);
}

static guint
on_server (const struct model *m, guint server)
{
  guint n = 0;
  for (guint i = 0; i < m->n_tickets; i++)
    n += in_flight (m, &m->tickets[i]) && m->tickets[i].server == server;
  return n;
}

static gboolean
team_at_limit (const struct model *m, guint team)
{
  guint n = 0;
  for (guint i = 0; i < m->n_tickets; i++)
    n += in_flight (m, &m->tickets[i]) && m->tickets[i].team == team;
  guint limit = m->fix.teams[team].max_running;
  return limit > 0 && n >= limit;
}

/* Tells whether a ticket of the class waits and its team may start it. */
static gboolean
startable (const struct model *m, guint class_index)
{
  for (guint i = 0; i < m->n_tickets; i++)
    if (m->tickets[i].phase == WAITING
        && m->tickets[i].class_index == class_index
        && !team_at_limit (m, m->tickets[i].team))
      return TRUE;
  return FALSE;
}

static void
check_order (struct model *m, guint class_index)
{
  gboolean due = m->credit[class_index] >= 1 - 1e-6;
  for (guint c = 0; c < class_index; c++)
    CHECK (m, due || !startable (m, c), "a lower tier started first");
  for (guint c = 0; c < FIX_CLASSES; c++)
    if (count (m, WAITING, c) > 0)
      m->credit[c]
          = MIN (m->credit[c] + m->fix.classes[c].min_share, SHR_CREDIT_MAX);
  m->credit[class_index] = MAX (m->credit[class_index] - 1, -SHR_DEBT_MAX);
}

static void
note_idle (struct model *m)
{
  for (guint c = 0; c < FIX_CLASSES; c++)
    if (count (m, WAITING, c) == 0)
      m->credit[c] = MIN (m->credit[c], 0);
}

static gboolean
is_closed (const struct model *m, guint server)
{
  return m->left[server] || m->fix.backends[server].drain;
}

static void
on_grant (struct model *m, struct ticket *t, const struct msg_grant *grant)
{
  guint server = (guint)(grant->backend.s[1] - 'a');
  CHECK (m, t->phase == WAITING || t->phase == GRANTED,
         "a grant for a ticket that does not wait");
  CHECK (m, grant->use_within_us <= 2 * CLK_S, "a grant for too long");
  if (t->phase == GRANTED && t->server == server)
    {
      CHECK (m, !is_closed (m, server), "a grant to a leaving server");
      t->granted = m->fix.clock.t;
      return;
    }
  CHECK (m, t->phase == WAITING, "a ticket granted twice");
  CHECK (m, !is_closed (m, server), "a grant to a leaving server");
  if (!m->faults)
    check_order (m, t->class_index);
  t->phase = GRANTED;
  t->server = server;
  t->granted = m->fix.clock.t;
  CHECK (m, on_server (m, server) <= m->fix.backends[server].max_running,
         "in flight above max_running");
  note_idle (m);
}

/* Tells whether a ticket of tier below that of CLASS_INDEX waits beyond its
   class's reserved room; classes are in the order of tiers.  */
static guint
lowest_displaceable (const struct model *m, guint class_index)
{
  for (guint c = FIX_CLASSES; c-- > class_index + 1;)
    if (count (m, WAITING, c) > m->fix.classes[c].reserved_waiting)
      return c;
  return FIX_CLASSES;
}

static void
check_displaced (struct model *m, const struct ticket *t)
{
  CHECK (m, m->offering < t->class_index, "displaced for no higher tier");
  CHECK (m, lowest_displaceable (m, m->offering) == t->class_index,
         "displaced, but not of the lowest tier");
  for (guint i = 0; i < m->n_tickets; i++)
    CHECK (m,
           m->tickets[i].phase != WAITING
               || m->tickets[i].class_index != t->class_index
               || m->tickets[i].arrived <= t->arrived,
           "displaced, but not the youngest");
}

static void
on_refuse (struct model *m, struct ticket *t, const struct msg_refuse *refuse)
{
  CHECK (m, t->phase == WAITING, "a refusal for a ticket that does not wait");
  CHECK (m, refuse->retry_after_us > 0, "a refusal without retry-after");
  t->phase = t->phase == WAITING ? ENDED : t->phase;
  if (refuse->reason == MSG_REASON_OVERLOAD)
    {
      CHECK (m, lowest_displaceable (m, t->class_index) == FIX_CLASSES,
             "refused while a lower tier could be displaced");
      CHECK (m,
             count (m, WAITING, t->class_index)
                 >= m->fix.classes[t->class_index].reserved_waiting,
             "refused within the reserved room");
    }
  if (refuse->reason == MSG_REASON_DISPLACED)
    {
      t->phase = WAITING;
      check_displaced (m, t);
      t->phase = ENDED;
    }
  note_idle (m);
}

static void
on_sent (void *ctx, const char *to, const struct msg *msg)
{
  struct model *m = ctx;
  guint64 id = msg->kind == MSG_GRANT    ? msg->grant.ticket
               : msg->kind == MSG_REFUSE ? msg->refuse.ticket
                                         : msg->preempt.ticket;
  CHECK (m, id < m->n_tickets, "a message for an unknown ticket");
  if (id >= m->n_tickets)
    return;
  struct ticket *t = &m->tickets[id];
  CHECK (m, strcmp (to, entry_names[t->entry]) == 0, "the wrong entry");
  if (msg->kind == MSG_GRANT)
    on_grant (m, t, &msg->grant);
  else if (msg->kind == MSG_REFUSE)
    on_refuse (m, t, &msg->refuse);
  else
    CHECK (m, t->phase == RUNNING || t->phase == ENDED,
           "a preemption of a ticket that does not run");
}

static struct msg_offer
offer_of (const struct model *m, guint id)
{
  const struct ticket *t = &m->tickets[id];
  struct msg_offer offer = fix_offer_of (&m->fix, id, t->class_index,
                                         m->fix.teams[t->team].name.s);
  offer.wait_us = (gint64)(1 + id % 20) * CLK_S;
  offer.waited_us = m->fix.clock.t - t->arrived;
  offer.prefix = id % 7;
  offer.resumable = id % 2 == 0;
  if (t->adopted)
    offer.running = m->fix.backends[t->server].name;
  return offer;
}

static void
do_offer (struct model *m, guint class_index)
{
  if (m->n_tickets == TICKETS_MAX)
    return;
  guint id = m->n_tickets++;
  struct ticket *t = &m->tickets[id];
  *t = (struct ticket){ .phase = WAITING,
                        .class_index = class_index,
                        .team = below (m, 3),
                        .entry = below (m, ENTRIES),
                        .arrived = m->fix.clock.t };
  if (below (m, 50) == 0)
    {
      t->phase = RUNNING;
      t->adopted = TRUE;
      t->server = below (m, SERVERS);
    }
  m->offering = class_index;
  struct msg_offer offer = offer_of (m, id);
  shard_enqueue (m->fix.shard_owner, entry_names[t->entry], &offer);
  m->offering = FIX_CLASSES;
}

/* Picks a ticket in PHASE at random; returns n_tickets if there is none. */
static guint
pick (struct model *m, enum phase phase)
{
  guint first = below (m, MAX (m->n_tickets, 1));
  for (guint i = 0; i < m->n_tickets; i++)
    {
      guint id = (first + i) % m->n_tickets;
      if (m->tickets[id].phase == phase)
        return id;
    }
  return m->n_tickets;
}

static void
do_release (struct model *m, guint id, enum msg_result result)
{
  struct ticket *t = &m->tickets[id];
  struct msg_release release = { .ticket = id,
                                 .result = result,
                                 .backend = m->fix.backends[t->server].name,
                                 .ttft_us = 100 * CLK_MS,
                                 .tbt_us = 20 * CLK_MS,
                                 .tokens = 10 };
  t->phase = ENDED;
  if (result == MSG_RESULT_LEAVING)
    m->left[t->server] = TRUE;
  shard_release (m->fix.shard_owner, entry_names[t->entry], &release);
}

/* Sends the progress of all tickets of all entries. */
static void
do_progress (struct model *m)
{
  for (guint i = 0; i < m->n_tickets; i++)
    {
      const struct ticket *t = &m->tickets[i];
      if (t->phase == NONE || t->phase == ENDED)
        continue;
      struct msg_progress_item item = { .ticket = i };
      if (t->phase == RUNNING)
        item = (struct msg_progress_item){ i, 5, 20 * CLK_MS };
      struct msg_progress progress = { &item, 1 };
      if (t->phase != GRANTED)
        shard_progress (m->fix.shard_owner, entry_names[t->entry], &progress);
    }
  m->reported = m->fix.clock.t;
}

/* Entries end grants that they did not use within the limit. */
static void
expire (struct model *m)
{
  for (guint i = 0; i < m->n_tickets; i++)
    if (m->tickets[i].phase == GRANTED
        && m->fix.clock.t - m->tickets[i].granted >= 2 * CLK_S)
      m->tickets[i].phase = ENDED;
}

static void
do_time (struct model *m, gint64 us)
{
  m->fix.clock.t += us;
  expire (m);
  shard_tick (m->fix.shard_owner);
  if (m->fix.clock.t - m->reported >= CLK_S)
    do_progress (m);
}

static void
do_entry_lost (struct model *m)
{
  guint entry = below (m, ENTRIES);
  for (guint i = 0; i < m->n_tickets; i++)
    if (m->tickets[i].entry == entry)
      m->tickets[i].phase = ENDED;
  note_idle (m);
  shard_ingress_lost (m->fix.shard_owner, entry_names[entry]);
}

static void
do_leaving (struct model *m)
{
  guint server = below (m, SERVERS);
  gboolean close = below (m, 3) == 0;
  if (below (m, 2))
    {
      m->left[server] = close;
      shard_set_leaving (m->fix.shard_owner, m->fix.backends[server].name.s,
                         close);
    }
  else
    {
      m->fix.backends[server].drain = close;
      shard_set_config (m->fix.shard_owner, &m->fix.cfg);
    }
}

static enum msg_result
random_result (struct model *m)
{
  static const enum msg_result faults[]
      = { MSG_RESULT_NOT_SENT, MSG_RESULT_BUSY, MSG_RESULT_BROKEN,
          MSG_RESULT_LEAVING, MSG_RESULT_TIMED_OUT };
  if (m->faults && below (m, 3) == 0)
    return faults[below (m, G_N_ELEMENTS (faults))];
  return below (m, 8) ? MSG_RESULT_OK : MSG_RESULT_CANCELLED;
}

static void
do_hint (struct model *m)
{
  const char *backend = m->fix.backends[below (m, SERVERS)].name.s;
  struct shard_load load = { .running = below (m, 8),
                             .waiting = below (m, 2),
                             .kv_used = 0.2 * below (m, 5),
                             .age_us = below (m, 6000) * CLK_MS };
  shard_load_report (m->fix.shard_owner, backend, &load);
  shard_cache_event (m->fix.shard_owner, backend, 1 + below (m, 6),
                     below (m, 2));
}

/* Offers a ticket again whose grant, if any, the entry did not get. */
static void
offer_again (struct model *m, guint id)
{
  struct ticket *t = &m->tickets[id];
  struct msg_offer offer = offer_of (m, id);
  if (t->phase == GRANTED && is_closed (m, t->server))
    t->phase = WAITING;
  m->offering = t->class_index;
  shard_enqueue (m->fix.shard_owner, entry_names[t->entry], &offer);
  m->offering = FIX_CLASSES;
}

static void
step_ticket (struct model *m, guint what)
{
  guint running = pick (m, RUNNING);
  guint granted = pick (m, GRANTED);
  guint waiting = pick (m, WAITING);
  guint id = what < 14 ? running : what < 34 ? granted : waiting;
  if (id == m->n_tickets)
    return;
  struct ticket *t = &m->tickets[id];
  if (id == running)
    do_release (m, id, random_result (m));
  else if (id == granted && what < 30)
    {
      struct msg_progress_item item = { id, 1, 20 * CLK_MS };
      struct msg_progress progress = { &item, 1 };
      t->phase = RUNNING;
      shard_progress (m->fix.shard_owner, entry_names[t->entry], &progress);
    }
  else if (id == granted && what < 32)
    do_release (m, id, MSG_RESULT_UNUSED);
  else if (what < 36)
    offer_again (m, id);
  else
    {
      t->phase = ENDED;
      note_idle (m);
      shard_withdraw (m->fix.shard_owner, entry_names[t->entry], id);
    }
}

static void
step (struct model *m)
{
  guint what = below (m, 100);
  if (what < 40)
    do_offer (m, below (m, FIX_CLASSES));
  else if (what < 78)
    step_ticket (m, what - 40);
  else if (what < 97)
    do_time (m, (1 + below (m, 100)) * CLK_MS);
  else if (what == 97 && below (m, 10) == 0)
    do_entry_lost (m);
  else if (what == 98)
    do_leaving (m);
  else
    do_hint (m);
}

/* Ends all work and checks that none is left. */
static void
finish (struct model *m)
{
  guint id;
  for (guint i = 0; i < 100; i++)
    {
      while ((id = pick (m, GRANTED)) < m->n_tickets)
        do_release (m, id, MSG_RESULT_OK);
      while ((id = pick (m, RUNNING)) < m->n_tickets)
        do_release (m, id, MSG_RESULT_OK);
      do_time (m, 500 * CLK_MS);
    }
  for (guint i = 0; i < m->n_tickets; i++)
    CHECK (m, m->tickets[i].phase == ENDED, "a ticket without a final word");
  CHECK (m, shard_is_idle (m->fix.shard_owner), "tickets left in the cell");
}

static void
model_init (struct model *m, guint32 seed)
{
  m->rand = g_rand_new_with_seed (seed);
  m->faults = seed % 2;
  m->offering = FIX_CLASSES;
  fix_init (&m->fix, SERVERS, 1 + below (m, 6));
  for (guint c = 0; c < FIX_CLASSES; c++)
    {
      struct cfg_class *class = &m->fix.classes[c];
      class->min_share = 0.05 * below (m, 6);
      class->max_waiting = 4 + below (m, 12);
      class->reserved_waiting = 1 + below (m, 3);
    }
  for (guint i = 0; i < 3; i++)
    m->fix.teams[i].max_running = below (m, 2) ? 0 : 1 + below (m, 6);
  struct shard_options options = { .clk = &m->fix.clock.clk,
                                   .seed = seed,
                                   .ctr = &m->fix.ctr,
                                   .cfg = &m->fix.cfg,
                                   .cell = m->fix.cell.name,
                                   .send = on_sent,
                                   .ctx = m };
  m->fix.shard_owner = shard_new (&options);
}

static void
model_close (struct model *m)
{
  fix_close (&m->fix);
  g_rand_free (m->rand);
  g_free (m);
}

/* Runs one random schedule. Returns whether all held. */
static gboolean
run_seed (guint32 seed)
{
  struct model *m = g_new0 (struct model, 1);
  model_init (m, seed);
  for (guint i = 0; i < STEPS && !m->problem[0]; i++)
    step (m);
  for (guint s = 0; s < SERVERS; s++)
    {
      m->left[s] = m->fix.backends[s].drain = FALSE;
      shard_set_leaving (m->fix.shard_owner, m->fix.backends[s].name.s, FALSE);
    }
  shard_set_config (m->fix.shard_owner, &m->fix.cfg);
  if (!m->problem[0])
    finish (m);
  gboolean held = !m->problem[0];
  if (!held)
    g_print ("\nseed %u: %s; repeat: JW_SEED=%u build/tests/test_cel_random\n",
             seed, m->problem, seed);
  model_close (m);
  return held;
}

/* Keeps every class waiting and counts the starts of each. */
static gboolean
run_shares (guint32 seed)
{
  struct model *m = g_new0 (struct model, 1);
  guint starts[FIX_CLASSES] = { 0 };
  const guint n = 400;
  model_init (m, seed & ~1U); /* without faults */
  for (guint i = 0; i < n && !m->problem[0]; i++)
    {
      for (guint c = 0; c < FIX_CLASSES; c++)
        while (count (m, WAITING, c) < 4)
          do_offer (m, c);
      guint id = pick (m, GRANTED);
      starts[m->tickets[id].class_index] += id < m->n_tickets;
      if (id < m->n_tickets)
        do_release (m, id, MSG_RESULT_OK);
      while ((id = pick (m, RUNNING)) < m->n_tickets)
        do_release (m, id, MSG_RESULT_OK);
      m->fix.clock.t += CLK_MS;
    }
  for (guint c = 0; c < FIX_CLASSES; c++)
    CHECK (m, starts[c] + 12 >= n * m->fix.classes[c].min_share,
           "a class below its minimum share");
  gboolean held = !m->problem[0];
  if (!held)
    g_print ("\nseed %u: %s; repeat: JW_SEED=%u build/tests/test_cel_random\n",
             seed, m->problem, seed);
  model_close (m);
  return held;
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
  { "cell, random", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
