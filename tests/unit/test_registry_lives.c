/* A server that begins a new life under its id: its responses before this
   instance has read the new entry are received for the life before. If they
   counted for that alone, a new life that is leaving would get requests for
   longer than its drain time; if they counted for the new one without doubt, a
   sound server would lose its work.  */
#include "unit/unit.h"

#include "fleet/registry.h"

#include <string.h>

#define DRAIN_US (3 * CLK_S)
#define WALL_OFFSET (G_GINT64_CONSTANT (1700000000) * CLK_S)
#define BORN_AT (100 * CLK_S)            /* start of the new life, clock time */
#define SAID_AT (BORN_AT + 200 * CLK_MS) /* it says that it is leaving */
#define READ_AT (BORN_AT + 900 * CLK_MS) /* its entry is read */
#define LIST_BEFORE_AT (BORN_AT - 100 * CLK_MS)

static struct
{
  struct registry *registry;
  struct registry_entry entry;
  struct registry_server *before; /* the life before, referenced */
  guint leaving;                  /* changes REGISTRY_SERVER_LEAVING */
} world;

static void
on_change (void *ctx, const struct registry_change *change)
{
  (void)ctx;
  world.leaving += change->kind == REGISTRY_SERVER_LEAVING;
}

static struct registry_server *
server (void)
{
  return registry_find (world.registry, "s");
}

/* Lists a server that started at clock time BORN_AT. The store had the list
   before at clock time BEFORE_AT.  */
static void
list (gint64 born_at, gint64 before_at, gint64 now)
{
  world.entry.start_time_ms = (born_at + WALL_OFFSET) / CLK_MS;
  registry_set_times (world.registry, before_at, WALL_OFFSET);
  registry_update (world.registry, &world.entry, 1, now);
}

/* Lists the life before.  */
static void
set_up (void)
{
  memset (&world, 0, sizeof world);
  world.registry = registry_new (on_change, NULL);
  registry_set_drain_time (world.registry, DRAIN_US);
  world.entry.slots = 4;
  g_strlcpy (world.entry.id, "s", sizeof world.entry.id);
  g_strlcpy (world.entry.service, "pool", sizeof world.entry.service);
  g_strlcpy (world.entry.address, "10.0.0.1:80", sizeof world.entry.address);
  list (CLK_S, 0, 2 * CLK_S);
  world.before = registry_server_ref (server ());
}

static void
tear_down (void)
{
  registry_server_unref (world.before);
  registry_free (world.registry);
}

static void
check_unlimited (void)
{
  CU_ASSERT_FALSE (registry_is_leaving (server ()));
  CU_ASSERT_TRUE (registry_may_serve (server (), READ_AT + 1000 * DRAIN_US));
}

/* The present life may get requests until END, and none later.  */
static void
check_ends_at (gint64 end)
{
  CU_ASSERT_TRUE (registry_may_serve (server (), end));
  CU_ASSERT_FALSE (registry_may_serve (server (), end + 1));
}

/* The new life has said that it is leaving before its entry was read. It gets
   work like any other until it says so again, and the drain time counts from
   its first word.  */
static void
test_said_before_entry (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), SAID_AT);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  CU_ASSERT_PTR_NOT_EQUAL (server (), world.before);
  CU_ASSERT_FALSE (registry_is_leaving (server ()));
  world.leaving = 0;
  registry_mark_leaving (world.registry, server (), READ_AT + 2 * CLK_S);
  CU_ASSERT_TRUE (registry_is_leaving (server ()));
  CU_ASSERT_EQUAL (world.leaving, 1);
  check_ends_at (SAID_AT + DRAIN_US);
  /* Its entry goes and comes back. */
  registry_update (world.registry, &world.entry, 0, READ_AT + 4 * CLK_S);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT + 5 * CLK_S);
  check_ends_at (SAID_AT + DRAIN_US);
  tear_down ();
}

/* Nothing is sent to it for longer than the drain time after its word, so that
   no response tells whether that was of the new life.  */
static void
test_no_further_response (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), SAID_AT);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  CU_ASSERT_FALSE (registry_is_leaving (server ()));
  check_ends_at (SAID_AT + DRAIN_US);
  list (BORN_AT, READ_AT, READ_AT + CLK_S);
  check_ends_at (SAID_AT + DRAIN_US);
  tear_down ();
}

/* The entry of the new life goes and comes back, before a response tells
   whether the word was its own and after it.  */
static void
test_entry_comes_back (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), SAID_AT);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  registry_update (world.registry, &world.entry, 0, READ_AT + 10 * CLK_S);
  list (BORN_AT, READ_AT + 10 * CLK_S, READ_AT + 11 * CLK_S);
  CU_ASSERT_FALSE (registry_is_leaving (server ()));
  check_ends_at (SAID_AT + DRAIN_US);
  registry_mark_not_leaving (world.registry, server (), READ_AT + 11 * CLK_S,
                             READ_AT + 12 * CLK_S);
  registry_update (world.registry, &world.entry, 0, READ_AT + 13 * CLK_S);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT + 14 * CLK_S);
  check_unlimited ();
  tear_down ();
}

/* The life before said it too: the drain time of the new life counts from its
   start at the earliest.  */
static void
test_both_lives_leave (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), BORN_AT - 5 * CLK_S);
  registry_mark_leaving (world.registry, server (), BORN_AT - 4 * CLK_S);
  registry_mark_leaving (world.registry, server (), SAID_AT);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  check_ends_at (BORN_AT + DRAIN_US);
  tear_down ();
}

/* An attempt at the life before is answered after the new entry was read.  */
static void
test_answer_after_entry (void)
{
  set_up ();
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  check_unlimited ();
  registry_mark_leaving (world.registry, world.before, READ_AT + CLK_S);
  CU_ASSERT_FALSE (registry_is_leaving (server ()));
  check_ends_at (READ_AT + CLK_S + DRAIN_US);
  tear_down ();
}

/* Two lives begin between two reads of the list.  */
static void
test_third_life (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), SAID_AT);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  registry_mark_leaving (world.registry, server (), READ_AT + CLK_S);
  list (READ_AT + 500 * CLK_MS, READ_AT, READ_AT + 2 * CLK_S);
  CU_ASSERT_FALSE (registry_is_leaving (server ()));
  check_ends_at (READ_AT + 500 * CLK_MS + DRAIN_US);
  tear_down ();
}

/* Only the life before has said it: the new one gets work at once and goes on
   getting it.  */
static void
test_sound_new_life (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), BORN_AT - CLK_S);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  check_unlimited ();
  registry_mark_not_leaving (world.registry, server (), READ_AT, READ_AT + 1);
  check_unlimited ();
  tear_down ();
}

/* A response that does not say it shows that the word was not this life's, if
   its request was sent after the word was received; others prove nothing.  */
static void
test_word_of_life_before (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), SAID_AT);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  registry_mark_not_leaving (world.registry, world.before, READ_AT, READ_AT);
  registry_mark_not_leaving (world.registry, server (), SAID_AT - CLK_MS,
                             READ_AT + CLK_MS);
  check_ends_at (SAID_AT + DRAIN_US);
  registry_mark_not_leaving (world.registry, server (), READ_AT,
                             READ_AT + 2 * CLK_MS);
  check_unlimited ();
  /* Received late; this life may have begun to leave when that request had been
     sent. Again shown not to be its word. */
  registry_mark_leaving (world.registry, world.before, READ_AT + CLK_S);
  check_ends_at (READ_AT + DRAIN_US);
  registry_mark_not_leaving (world.registry, server (), READ_AT + 2 * CLK_S,
                             READ_AT + 3 * CLK_S);
  check_unlimited ();
  tear_down ();
}

/* What a life has said itself is not taken back by a response without it.  */
static void
test_own_word_stays (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), SAID_AT);
  registry_mark_not_leaving (world.registry, server (), SAID_AT + CLK_S,
                             SAID_AT + 2 * CLK_S);
  CU_ASSERT_TRUE (registry_is_leaving (server ()));
  check_ends_at (SAID_AT + DRAIN_US);
  tear_down ();
}

/* The clock of this machine is ten seconds ahead, so that the new life seems to
   have begun before the life before said that it is leaving. The list of a time
   long after that did not have it.  */
static void
test_clock_ahead (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), BORN_AT - 5 * CLK_S);
  list (BORN_AT - 10 * CLK_S, LIST_BEFORE_AT, READ_AT);
  check_unlimited ();
  tear_down ();
}

/* Elsewhere, or without a start time, nothing is known of the new life.  */
static void
test_not_comparable (void)
{
  set_up ();
  registry_mark_leaving (world.registry, server (), SAID_AT);
  g_strlcpy (world.entry.address, "10.0.0.2:80", sizeof world.entry.address);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  check_unlimited ();
  tear_down ();
  set_up ();
  registry_mark_leaving (world.registry, server (), SAID_AT);
  registry_update (world.registry, &world.entry, 0, SAID_AT + 1);
  world.entry.start_time_ms = 0;
  g_strlcpy (world.entry.address, "10.0.0.2:80", sizeof world.entry.address);
  registry_update (world.registry, &world.entry, 1, READ_AT);
  check_unlimited ();
  tear_down ();
}

/* The new life has asked for nothing before its entry was read; or the life
   before has, or another server at the address of then.  */
static void
test_asked_before_entry (void)
{
  set_up ();
  registry_back_off (server (), SAID_AT, 5 * CLK_S);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  CU_ASSERT_PTR_NOT_EQUAL (server (), world.before);
  CU_ASSERT_TRUE (registry_is_backing_off (server (), SAID_AT + 5 * CLK_S - 1));
  CU_ASSERT_FALSE (registry_is_backing_off (server (), SAID_AT + 5 * CLK_S));
  tear_down ();
  set_up ();
  registry_back_off (server (), BORN_AT - CLK_S, 5 * CLK_S);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  CU_ASSERT_FALSE (registry_is_backing_off (server (), READ_AT));
  tear_down ();
  set_up ();
  registry_back_off (server (), SAID_AT, 5 * CLK_S);
  g_strlcpy (world.entry.address, "10.0.0.2:80", sizeof world.entry.address);
  list (BORN_AT, LIST_BEFORE_AT, READ_AT);
  CU_ASSERT_FALSE (registry_is_backing_off (server (), READ_AT));
  tear_down ();
}

static CU_TestInfo tests[] = {
  { "said before the entry was read", test_said_before_entry },
  { "no further response", test_no_further_response },
  { "the new entry comes back", test_entry_comes_back },
  { "both lives leave", test_both_lives_leave },
  { "an answer after the entry was read", test_answer_after_entry },
  { "a third life", test_third_life },
  { "a sound new life", test_sound_new_life },
  { "the word was of the life before", test_word_of_life_before },
  { "its own word stays", test_own_word_stays },
  { "a clock that is ahead", test_clock_ahead },
  { "lives that cannot be compared", test_not_comparable },
  { "asked for nothing before the entry was read", test_asked_before_entry },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "registry_lives", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
