/* The lease of the duties. Random schedules of suspensions, kills, cuts, lost
   and late requests, restored stores and clock jumps on a fake clock guard
   against two instances that act at the same time, and against reports that
   contradict each other: the rules are checked on the calls that the platform
   would get. JW_SEED and JW_RUNS repeat and prolong them.  */
#include "unit/unit.h"

#include <stdlib.h>
#include <string.h>

#include "duty/duty_lease.h"

#define INSTANCES 4
#define STEP_US (20 * CLK_MS)
#define RUN_US (60 * CLK_S)
#define TERM_US (3 * CLK_S)
#define TURN_US (500 * CLK_MS)
#define CALL_TIMEOUT_US (500 * CLK_MS)
#define WINDOW_US (5 * CLK_S)
#define WINDOWS 12 /* of a run */
#define TRUE_AT_START (G_GINT64_CONSTANT (1700000000) * CLK_S)
#define DEATH_US (20 * CLK_S) /* in a quiet schedule */
#define COPIES 64             /* of the store, one at each second */
#define RUNS 2000
#define RUNS_PLANTED_MAX 4000

/* What the platform must not see. X (NAME) */
#define RULES(X)                                                               \
  X (TOKEN_TWICE)    /* one fencing token from two holders */                  \
  X (TOKEN_LOWER)    /* than one seen before */                                \
  X (ALTERNATION)    /* holders A, B, A within a term */                       \
  X (REPORT_DIFFERS) /* from one accepted before, for the same window */

/* Faults that are planted to show that a rule finds them. X (NAME, the rule by
   which it has to be found) */
#define FAULTS(X)                                                              \
  X (NONE, RULE_N)                                                             \
  X (CLOCK_STOPS, TOKEN_LOWER)    /* while suspended */                        \
  X (CLOCK_FAST, ALTERNATION)     /* that of candidates */                     \
  X (UNCONDITIONAL, TOKEN_LOWER)  /* writes */                                 \
  X (CHECKED_BEFORE, TOKEN_LOWER) /* not at the time of sending */             \
  X (NO_TIMEOUT, TOKEN_LOWER)     /* of calls */                               \
  X (NO_TIME_IN_TOKEN, TOKEN_TWICE)                                            \
  X (ERA_UNKNOWN, REPORT_DIFFERS) /* the store does not state it */            \
  X (SENT_BEFORE_STORED, REPORT_DIFFERS)

enum rule
{
#define RULE_ENUM(id) id,
  RULES (RULE_ENUM)
#undef RULE_ENUM
      RULE_N
};

enum fault
{
#define FAULT_ENUM(id, rule) FAULT_##id,
  FAULTS (FAULT_ENUM)
#undef FAULT_ENUM
      FAULT_N
};

struct object
{
  guint64 version;
  GBytes *body;
};

struct instance
{
  char id[8];
  struct clk_fake clock;
  struct duty_lease *lease; /* NULL: not running */
  gint64 started_at, resume_at, cut_until, deaf_until, next_call_at;
  gint64 true_error;
  guint64 checked_fence; /* FAULT_CHECKED_BEFORE: of the last step */
  guint64 heard_fence;
  gint64 heard_at;
  gboolean pending;      /* a section is not stored yet */
  guint not_before;      /* first window that it may fix */
  guint counts[WINDOWS]; /* fixed; 0: not */
  gboolean stored[WINDOWS], done[WINDOWS];
};

/* A request to the store or a call to the platform on its way.  */
struct message
{
  gint64 at; /* takes effect, or, if it has RESPONSE, gets back */
  gint64 answer_at;
  struct duty_lease *lease; /* the sender's; compared only, except for alive */
  guint instance;
  gboolean is_call, answers;
  guint64 token; /* fencing token of a call */
  struct storage_request request;
  struct storage_response response;
  int window; /* of a report; -1: an order */
  guint count;
};

static struct
{
  GRand *rand;
  enum fault fault;
  gint64 now;
  struct instance instances[INSTANCES];
  GArray *messages; /* of struct message */
  struct object object, copies[COPIES];
  guint64 era;
  gboolean jumps; /* clocks jump; else the store is restored */
  guint n_ids;
  guint broken[RULE_N];
  /* What the platform knows. */
  guint64 highest_token;
  char token_holder[8], last_holder[8];
  GHashTable *last_call_at; /* holder: clock time, as a pointer, in ms */
  guint accepted[WINDOWS];
  guint calls, changes;
  gboolean quiet; /* nothing happens but the death of the first holder */
  gint64 acquired_at;
} world;

static gboolean
one_in (gint n)
{
  return g_rand_int_range (world.rand, 0, n) == 0;
}

/* Returns whether a message gets into trouble.  */
static gboolean
troubled (void)
{
  return !world.quiet && one_in (20);
}

static gint64
random_us (gint64 min, gint64 max)
{
  return min + (gint64)(g_rand_double (world.rand) * (double)(max - min));
}

static gint64
on_true_now (void *ctx)
{
  const struct instance *instance = ctx;
  return world.fault == FAULT_NO_TIME_IN_TOKEN
             ? 0
             : TRUE_AT_START + world.now + instance->true_error;
}

static void
on_start_request (void *ctx, guint64 token,
                  const struct storage_request *request)
{
  struct instance *instance = ctx;
  struct message message = { .at = world.now + random_us (0, 30 * CLK_MS),
                             .lease = instance->lease,
                             .instance = (guint)(instance - world.instances),
                             .token = token,
                             .request = *request };
  gint64 timeout_at = world.now + request->timeout_us;
  message.response.code = ERR_TIMEOUT;
  if (request->body != NULL)
    g_bytes_ref (request->body);
  if (troubled ())
    message.at = world.now + random_us (0, 6 * CLK_S); /* late */
  if (world.now < instance->cut_until || troubled ())
    message.at = G_MAXINT64; /* lost */
  message.answer_at = message.at == G_MAXINT64 || troubled ()
                          ? timeout_at
                          : message.at + random_us (0, 30 * CLK_MS);
  message.answer_at = MIN (message.answer_at, timeout_at);
  g_array_append_val (world.messages, message);
}

static void
on_acquired (void *ctx)
{
  struct instance *instance = ctx;
  gboolean era_changed;
  struct str section
      = duty_lease_section (instance->lease, DUTY_SECTION_USAGE, &era_changed);
  g_autofree char *text = str_dup (section);
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);
  world.changes++;
  world.acquired_at = world.now;
  instance->pending = FALSE;
  memset (instance->stored, 0, sizeof instance->stored);
  memset (instance->counts, 0, sizeof instance->counts);
  memset (instance->done, 0, sizeof instance->done);
  /* The limit is stored with the counts: later holders of the same era need
     it, too. */
  instance->not_before = (guint)g_ascii_strtoull (text, NULL, 10);
  for (guint i = 0; parts[0] != NULL && parts[i + 1] != NULL && i < WINDOWS;
       i++)
    {
      instance->counts[i] = (guint)g_ascii_strtoull (parts[i + 1], NULL, 10);
      instance->stored[i] = instance->counts[i] != 0;
    }
  if (era_changed)
    instance->not_before = (guint)(world.now / WINDOW_US);
}

static void
on_lost (void *ctx, const char *cause)
{
  (void)cause;
  ((struct instance *)ctx)->pending = FALSE;
}

static void
on_stored (void *ctx, enum duty_section section)
{
  struct instance *instance = ctx;
  (void)section;
  instance->pending = FALSE;
  for (guint i = 0; i < WINDOWS; i++)
    instance->stored[i] = instance->counts[i] != 0;
}

static void
start (struct instance *instance)
{
  const struct duty_lease_options options
      = { .clk = &instance->clock.clk,
          .seed = g_rand_int (world.rand),
          .id = instance->id,
          .address = "127.0.0.1:7000",
          .incarnation = g_rand_int (world.rand),
          .term_us = TERM_US,
          .true_now = on_true_now,
          .start_request = on_start_request,
          .acquired = on_acquired,
          .lost = on_lost,
          .stored = on_stored,
          .ctx = instance };
  instance->lease = duty_lease_new (&options);
  instance->started_at = world.now;
  instance->heard_fence = 0;
  instance->heard_at = 0;
}

static void
kill_instance (struct instance *instance)
{
  g_clear_pointer (&instance->lease, duty_lease_free);
  instance->resume_at = world.now + random_us (0, 5 * CLK_S);
  if (one_in (4)) /* another machine takes its place */
    g_snprintf (instance->id, sizeof instance->id, "i%u", world.n_ids++);
}

static void
set_object (struct object *object, guint64 version, GBytes *body)
{
  GBytes *before = object->body;
  object->version = version;
  object->body = body != NULL ? g_bytes_ref (body) : NULL;
  if (before != NULL)
    g_bytes_unref (before);
}

static void
execute (struct message *message)
{
  const struct storage_request *request = &message->request;
  struct storage_response *response = &message->response;
  struct object *object = &world.object;
  gboolean matches = request->expected == object->version
                     || world.fault == FAULT_UNCONDITIONAL;
  if (request->op == STORAGE_PUT && matches)
    {
      set_object (object, object->version + 1, request->body);
      response->code = 0;
    }
  else if (request->op == STORAGE_PUT)
    response->code = ERR_CONFLICT;
  else
    response->code = object->version != 0 ? 0 : ERR_NOT_FOUND;
  response->version = object->version;
  response->era = world.fault == FAULT_ERA_UNKNOWN ? 0 : world.era;
  if (request->op == STORAGE_GET && object->body != NULL)
    response->body = g_bytes_ref (object->body);
}

/* Checks a call that the platform gets.  */
static void
receive_call (const struct message *message, const char *holder)
{
  gint64 ms = world.now / CLK_MS;
  gint64 before
      = GPOINTER_TO_INT (g_hash_table_lookup (world.last_call_at, holder));
  world.calls++;
  if (message->token == world.highest_token
      && strcmp (world.token_holder, holder) != 0)
    world.broken[TOKEN_TWICE]++;
  if (message->token < world.highest_token)
    world.broken[TOKEN_LOWER]++;
  if (before != 0 && strcmp (world.last_holder, holder) != 0
      && ms - before < TERM_US / CLK_MS)
    world.broken[ALTERNATION]++;
  if (message->token > world.highest_token)
    g_strlcpy (world.token_holder, holder, sizeof world.token_holder);
  world.highest_token = MAX (world.highest_token, message->token);
  g_strlcpy (world.last_holder, holder, sizeof world.last_holder);
  g_hash_table_replace (world.last_call_at, g_strdup (holder),
                        GINT_TO_POINTER ((gint)ms));
  if (message->window < 0)
    return;
  guint *accepted = &world.accepted[message->window];
  if (*accepted != 0 && *accepted != message->count)
    world.broken[REPORT_DIFFERS]++;
  *accepted = message->count;
}

/* Sends a call under FENCE, if it is due: a report of a window that is stored
   or, if there is none, an order.  */
static void
send_call (struct instance *instance, guint64 fence)
{
  gint64 delay_max
      = world.fault == FAULT_NO_TIMEOUT ? 2 * TERM_US : CALL_TIMEOUT_US;
  struct message message = { .at = world.now + random_us (0, delay_max),
                             .instance = (guint)(instance - world.instances),
                             .lease = instance->lease,
                             .is_call = TRUE,
                             .token = fence,
                             .window = -1 };
  if (fence == 0 || world.now < instance->next_call_at)
    return;
  for (guint i = 0; i < WINDOWS && message.window < 0; i++)
    if (instance->counts[i] != 0 && !instance->done[i]
        && (instance->stored[i] || world.fault == FAULT_SENT_BEFORE_STORED))
      {
        message.window = (int)i;
        message.count = instance->counts[i];
        instance->done[i] = !one_in (4); /* else it is sent again */
      }
  g_strlcpy (message.request.name, instance->id, sizeof message.request.name);
  instance->next_call_at = message.at + random_us (0, 200 * CLK_MS);
  if (!troubled ())
    g_array_append_val (world.messages, message);
}

/* Fixes the counts of the next window that has ended; each instance would
   count differently.  */
static void
fix_window (struct instance *instance)
{
  guint ended = (guint)MIN (world.now / WINDOW_US, WINDOWS);
  guint i = instance->not_before;
  while (i < ended && instance->counts[i] != 0)
    i++;
  if (i >= ended || instance->pending)
    return;
  GString *text = g_string_new (NULL);
  instance->counts[i] = (guint)g_rand_int_range (world.rand, 1, G_MAXINT32);
  g_string_append_printf (text, "%u", instance->not_before);
  for (guint k = 0; k < WINDOWS; k++)
    g_string_append_printf (text, ",%u", instance->counts[k]);
  duty_lease_set_section (instance->lease, DUTY_SECTION_USAGE,
                          (struct str){ text->str, text->len });
  instance->pending = TRUE;
  g_string_free (text, TRUE);
}

static void
step_instance (struct instance *instance)
{
  gboolean runs = world.now >= instance->resume_at;
  gboolean held
      = instance->lease != NULL && duty_lease_is_held (instance->lease);
  if (runs || world.fault != FAULT_CLOCK_STOPS)
    instance->clock.t += STEP_US;
  if (world.fault == FAULT_CLOCK_FAST && !held)
    instance->clock.t += 5 * STEP_US;
  if (!runs)
    return;
  if (instance->lease == NULL)
    start (instance);
  guint rank = (guint)(instance - world.instances);
  gint64 since = MAX (instance->heard_at, instance->started_at);
  const struct duty_lease_view view
      = { .wanted = held || world.now - since >= TERM_US + rank * TURN_US,
          .heard_fence = instance->heard_fence };
  if (world.fault == FAULT_CHECKED_BEFORE)
    send_call (instance, instance->checked_fence);
  duty_lease_tick (instance->lease, &view);
  instance->checked_fence
      = duty_lease_call_fence (instance->lease, CALL_TIMEOUT_US);
  if (!duty_lease_is_held (instance->lease))
    return;
  for (guint i = 0; i < INSTANCES; i++)
    if (world.now >= instance->deaf_until
        && world.now >= world.instances[i].deaf_until)
      {
        world.instances[i].heard_fence = MAX (
            world.instances[i].heard_fence, duty_lease_fence (instance->lease));
        world.instances[i].heard_at = world.now;
      }
  fix_window (instance);
  send_call (instance, instance->checked_fence);
}

static void
message_clear (struct message *message)
{
  g_clear_pointer (&message->request.body, g_bytes_unref);
  g_clear_pointer (&message->response.body, g_bytes_unref);
}

/* Handles the messages that are due. A response to a suspended instance waits
   until it runs again.  */
static void
step_messages (void)
{
  for (guint i = 0; i < world.messages->len; i++)
    {
      struct message *at = &g_array_index (world.messages, struct message, i);
      struct instance *instance = &world.instances[at->instance];
      if (world.now >= at->at && at->is_call)
        receive_call (at, at->request.name);
      else if (world.now >= at->at && !at->answers)
        {
          execute (at);
          at->answers = TRUE;
        }
      gboolean answered = !at->is_call && world.now >= at->answer_at
                          && world.now >= instance->resume_at;
      gboolean alive = instance->lease == at->lease && at->lease != NULL;
      if (answered && at->lease != NULL)
        {
          struct message copy = *at; /* the array may grow */
          if (!copy.answers)
            copy.response = (struct storage_response){ .code = ERR_TIMEOUT };
          at->lease = NULL;
          if (alive)
            duty_lease_response (instance->lease, copy.token, &copy.response);
          at = &g_array_index (world.messages, struct message, i);
        }
      gboolean over
          = at->is_call
                ? world.now >= at->at
                : at->lease == NULL && (at->answers || at->at == G_MAXINT64);
      if (!over)
        continue;
      message_clear (at);
      g_array_remove_index_fast (world.messages, i--);
    }
}

static void
restore_store (void)
{
  gint64 second = world.now / CLK_S - random_us (1, 15);
  const struct object *copy = &world.copies[MAX (second, 0)];
  set_object (&world.object, copy->version, copy->body);
  world.era++;
}

/* Lets something happen to one instance, or to all.  */
static void
disturb (void)
{
  struct instance *instance
      = &world.instances[g_rand_int_range (world.rand, 0, INSTANCES)];
  gint64 until = world.now + random_us (0, 8 * CLK_S);
  if (one_in (3)) /* the holder is the one that matters */
    for (guint i = 0; i < INSTANCES; i++)
      if (world.instances[i].lease != NULL
          && duty_lease_is_held (world.instances[i].lease))
        instance = &world.instances[i];
  switch (g_rand_int_range (world.rand, 0, 7))
    {
    case 0:
    case 1:
      if (instance->lease != NULL)
        instance->resume_at = MAX (instance->resume_at, until);
      break;
    case 2:
      instance->cut_until = until;
      break;
    case 3:
      instance->deaf_until = until;
      break;
    case 4:
      kill_instance (instance);
      break;
    case 5:
      if (world.jumps)
        instance->true_error = random_us (-5 * CLK_S, 5 * CLK_S);
      else if (one_in (2))
        restore_store ();
      break;
    default:
      for (guint i = 0; i < INSTANCES && one_in (6); i++)
        kill_instance (&world.instances[i]);
      break;
    }
}

/* Ends the holder for good, if there is one.  */
static void
end_holder (void)
{
  for (guint i = 0; i < INSTANCES; i++)
    if (world.instances[i].lease != NULL
        && duty_lease_is_held (world.instances[i].lease))
      {
        kill_instance (&world.instances[i]);
        world.instances[i].resume_at = G_MAXINT64;
      }
}

/* Plays one schedule. Returns how often rules were broken in it.  */
static guint
play (guint32 seed, enum fault fault, gboolean quiet)
{
  guint n = 0;
  memset (&world, 0, sizeof world);
  world.rand = g_rand_new_with_seed (seed);
  world.fault = fault;
  world.quiet = quiet;
  world.era = 1;
  world.now = CLK_S;
  world.jumps = one_in (3);
  world.messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  world.last_call_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &world.instances[i];
      g_snprintf (instance->id, sizeof instance->id, "i%u", world.n_ids++);
      clk_fake_init (&instance->clock, random_us (0, 1000 * CLK_S));
      instance->true_error = random_us (-200 * CLK_MS, 200 * CLK_MS);
    }
  for (; world.now < RUN_US; world.now += STEP_US)
    {
      if (world.now % CLK_S == 0)
        set_object (&world.copies[world.now / CLK_S], world.object.version,
                    world.object.body);
      if (quiet && world.now == DEATH_US)
        end_holder ();
      else if (!quiet && one_in (50))
        disturb ();
      step_messages ();
      for (guint i = 0; i < INSTANCES; i++)
        step_instance (&world.instances[i]);
    }
  for (guint i = 0; i < INSTANCES; i++)
    duty_lease_free (world.instances[i].lease);
  for (guint i = 0; i < world.messages->len; i++)
    message_clear (&g_array_index (world.messages, struct message, i));
  for (guint i = 0; i < COPIES; i++)
    set_object (&world.copies[i], 0, NULL);
  set_object (&world.object, 0, NULL);
  g_array_unref (world.messages);
  g_hash_table_unref (world.last_call_at);
  g_rand_free (world.rand);
  for (guint i = 0; i < RULE_N; i++)
    n += world.broken[i];
  return n;
}

static const char *const rule_names[] = {
#define RULE_NAME(id) #id,
  RULES (RULE_NAME)
#undef RULE_NAME
};

static guint32
number_of (const char *variable, guint32 fallback)
{
  const char *text = g_getenv (variable);
  return text != NULL ? (guint32)strtoul (text, NULL, 10) : fallback;
}

static void
test_schedules (void)
{
  guint32 seed = number_of ("JW_SEED", 1);
  guint32 runs = number_of ("JW_RUNS", g_getenv ("JW_SEED") ? 1 : RUNS);
  guint calls = 0, changes = 0, windows = 0;
  for (guint32 i = 0; i < runs; i++)
    {
      guint n = play (seed + i, FAULT_NONE, FALSE);
      for (guint k = 0; k < RULE_N; k++)
        if (world.broken[k] > 0)
          g_print ("%s: JW_SEED=%u build/tests/test_duty_lease\n",
                   rule_names[k], seed + i);
      CU_ASSERT_EQUAL (n, 0);
      calls += world.calls;
      changes += world.changes;
      for (guint k = 0; k < WINDOWS; k++)
        windows += world.accepted[k] != 0;
    }
  g_print ("%u schedules: %u calls, %u acquisitions, %u windows\n", runs, calls,
           changes, windows);
  /* Enough must happen for the rules to mean something. */
  CU_ASSERT_TRUE (changes >= 2 * runs);
  CU_ASSERT_TRUE (windows >= 4 * runs);
}

static void
test_planted (void)
{
  static const enum rule expected[] = {
#define FAULT_RULE(id, rule) rule,
    FAULTS (FAULT_RULE)
#undef FAULT_RULE
  };
  static const char *const names[] = {
#define FAULT_NAME(id, rule) #id,
    FAULTS (FAULT_NAME)
#undef FAULT_NAME
  };
  for (guint fault = FAULT_NONE + 1; fault < FAULT_N; fault++)
    {
      guint i = 0;
      do
        play (i, fault, FALSE);
      while (world.broken[expected[fault]] == 0 && ++i < RUNS_PLANTED_MAX);
      g_print ("%s: %s after %u schedules\n", names[fault],
               rule_names[expected[fault]], i + 1);
      CU_ASSERT_TRUE (i < RUNS_PLANTED_MAX);
    }
}

/* A death of the holder must not leave the duties undone for longer than two
   terms and a second: reports would be late.  */
static void
test_takeover (void)
{
  for (guint32 seed = 0; seed < 100; seed++)
    {
      CU_ASSERT_EQUAL (play (seed, FAULT_NONE, TRUE), 0);
      CU_ASSERT_EQUAL (world.changes, 2);
      CU_ASSERT_TRUE (world.acquired_at > DEATH_US + TERM_US);
      CU_ASSERT_TRUE (world.acquired_at <= DEATH_US + 2 * TERM_US + CLK_S);
    }
}

static CU_TestInfo tests[] = {
  { "random schedules", test_schedules },
  { "planted faults are found", test_planted },
  { "another instance takes over", test_takeover },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "lease of the duties", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
