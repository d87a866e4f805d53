/* Servers that say in a response that they are leaving: in which order the
   response, the list and a restart arrive, and what the scheduler does. If the
   word were taken back by a list that is older or says nothing of it, requests
   would reach the server after it has ended.  */
#include "unit/unit.h"

#include "fleet/registry.h"
#include "sched/scheduler.h"

#include <string.h>

#define DRAIN_US (3 * CLK_S)
#define SAID_AT (10 * CLK_S)

static struct
{
  guint changes[3];
  guint leaving_from[3]; /* changes REGISTRY_SERVER_LEAVING, by source */
  struct registry *registry;
} world;

static void
on_change (void *ctx, const struct registry_change *change)
{
  (void)ctx;
  world.changes[change->kind]++;
  if (change->kind == REGISTRY_SERVER_LEAVING)
    world.leaving_from[change->source]++;
}

static void
set_up (void)
{
  memset (&world, 0, sizeof world);
  world.registry = registry_new (on_change, NULL);
  registry_set_drain_time (world.registry, DRAIN_US);
}

static void
tear_down (void)
{
  registry_free (world.registry);
}

static struct registry_entry
make_entry (const char *id, gint64 start_time_ms)
{
  struct registry_entry e = { .start_time_ms = start_time_ms, .slots = 4 };
  g_strlcpy (e.id, id, sizeof e.id);
  g_strlcpy (e.service, "pool", sizeof e.service);
  g_strlcpy (e.address, "10.0.0.1:80", sizeof e.address);
  g_strlcpy (e.domain, "a", sizeof e.domain);
  return e;
}

static struct registry_server *
find (const char *id)
{
  return registry_find (world.registry, id);
}

/* Lists one server and lets it say that it is leaving.  */
static void
list_and_mark (const struct registry_entry *e)
{
  registry_update (world.registry, e, 1, SAID_AT - CLK_S);
  registry_mark_leaving (world.registry, find (e->id), SAID_AT);
}

/* The response precedes the list: an older list does not take it back, and one
   that has the server as leaving ends the drain time.  */
static void
test_response_before_list (void)
{
  set_up ();
  struct registry_entry e = make_entry ("s", 5);
  list_and_mark (&e);
  CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
  registry_update (world.registry, &e, 1, SAID_AT + CLK_S);
  CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
  CU_ASSERT_TRUE (registry_may_serve (find ("s"), SAID_AT + DRAIN_US));
  CU_ASSERT_FALSE (registry_may_serve (find ("s"), SAID_AT + DRAIN_US + 1));
  e.leaving = TRUE;
  registry_update (world.registry, &e, 1, SAID_AT + 2 * CLK_S);
  CU_ASSERT_FALSE (registry_may_serve (find ("s"), SAID_AT + 2 * CLK_S));
  CU_ASSERT_EQUAL (world.leaving_from[REGISTRY_FROM_RESPONSE], 1);
  CU_ASSERT_EQUAL (world.leaving_from[REGISTRY_FROM_LIST], 1);
  tear_down ();
}

/* The list precedes the response, which gives the server no drain time.  */
static void
test_response_after_list (void)
{
  set_up ();
  struct registry_entry e = make_entry ("s", 5);
  e.leaving = TRUE;
  list_and_mark (&e);
  CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
  CU_ASSERT_FALSE (registry_may_serve (find ("s"), SAID_AT));
  tear_down ();
}

/* The drain time counts from the first response and is not extended by later
   ones.  */
static void
test_repeated_responses (void)
{
  set_up ();
  struct registry_entry e = make_entry ("s", 5);
  list_and_mark (&e);
  registry_mark_leaving (world.registry, find ("s"), SAID_AT + 2 * CLK_S);
  CU_ASSERT_FALSE (registry_may_serve (find ("s"), SAID_AT + DRAIN_US + 1));
  CU_ASSERT_EQUAL (world.changes[REGISTRY_SERVER_LEAVING], 1);
  tear_down ();
}

/* Cut off from the store nothing is removed; the server's word holds and the
   drain time ends all the same, also if the process does not run meanwhile.  */
static void
test_cut_off_and_frozen (void)
{
  set_up ();
  struct registry_entry e = make_entry ("s", 5);
  registry_update (world.registry, &e, 1, SAID_AT - CLK_S);
  registry_store_failed (world.registry, SAID_AT - 1);
  registry_mark_leaving (world.registry, find ("s"), SAID_AT);
  registry_tick (world.registry, SAID_AT + CLK_S);
  CU_ASSERT_TRUE (registry_may_serve (find ("s"), SAID_AT + CLK_S));
  registry_tick (world.registry, SAID_AT + 20 * CLK_S);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find ("s"));
  CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
  CU_ASSERT_FALSE (registry_may_serve (find ("s"), SAID_AT + 20 * CLK_S));
  /* Missing from the first list: it is not expected to reappear. */
  registry_update (world.registry, &e, 0, SAID_AT + 21 * CLK_S);
  CU_ASSERT_PTR_NULL (find ("s"));
  tear_down ();
}

/* An entry that was removed and comes back, for example from an older copy of
   the store, concerns the same life, as does one with an earlier start.  */
static void
test_entry_comes_back (void)
{
  const gint64 starts[] = { 5, 3 };
  for (guint i = 0; i < G_N_ELEMENTS (starts); i++)
    {
      set_up ();
      struct registry_entry e = make_entry ("s", 5);
      list_and_mark (&e);
      registry_update (world.registry, &e, 0, SAID_AT + CLK_S);
      CU_ASSERT_PTR_NULL (find ("s"));
      e.start_time_ms = starts[i];
      registry_update (world.registry, &e, 1, SAID_AT + 2 * CLK_S);
      CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
      CU_ASSERT_FALSE (registry_may_serve (find ("s"), SAID_AT + DRAIN_US + 1));
      tear_down ();
    }
}

/* The same life at another address: the entry is wrong or was changed.  */
static void
test_same_life_elsewhere (void)
{
  set_up ();
  struct registry_entry e = make_entry ("s", 5);
  list_and_mark (&e);
  g_strlcpy (e.address, "10.0.0.2:80", sizeof e.address);
  registry_update (world.registry, &e, 1, SAID_AT + CLK_S);
  CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
  tear_down ();
}

/* The response arrives after the server was removed from the list.  */
static void
test_response_after_removal (void)
{
  set_up ();
  struct registry_entry e = make_entry ("s", 5);
  registry_update (world.registry, &e, 1, SAID_AT - CLK_S);
  struct registry_server *server = registry_server_ref (find ("s"));
  registry_update (world.registry, &e, 0, SAID_AT - 1);
  registry_mark_leaving (world.registry, server, SAID_AT);
  registry_server_unref (server);
  registry_update (world.registry, &e, 1, SAID_AT + 1);
  CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
  tear_down ();
}

/* A restart ends it, under the same id or a new one at the same address; a late
   response of the life before says nothing about the new one.  */
static void
test_new_life (void)
{
  set_up ();
  struct registry_entry e = make_entry ("s", 5);
  list_and_mark (&e);
  struct registry_server *before = registry_server_ref (find ("s"));
  e.start_time_ms = 6;
  registry_update (world.registry, &e, 1, SAID_AT + CLK_S);
  CU_ASSERT_FALSE (registry_is_leaving (find ("s")));
  registry_mark_leaving (world.registry, before, SAID_AT + 2 * CLK_S);
  registry_server_unref (before);
  CU_ASSERT_FALSE (registry_is_leaving (find ("s")));
  struct registry_entry other = make_entry ("t", 7);
  registry_update (world.registry, &other, 1, SAID_AT + 3 * CLK_S);
  CU_ASSERT_FALSE (registry_is_leaving (find ("t")));
  CU_ASSERT_TRUE (registry_may_serve (find ("t"), SAID_AT + 99 * CLK_S));
  tear_down ();
}

/* Without start times the address identifies the life.  */
static void
test_unknown_start (void)
{
  set_up ();
  struct registry_entry e = make_entry ("s", 0);
  list_and_mark (&e);
  registry_update (world.registry, &e, 0, SAID_AT + 1);
  registry_update (world.registry, &e, 1, SAID_AT + 2);
  CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
  g_strlcpy (e.address, "10.0.0.2:80", sizeof e.address);
  registry_update (world.registry, &e, 1, SAID_AT + 3);
  CU_ASSERT_FALSE (registry_is_leaving (find ("s")));
  tear_down ();
}

/* What a server has said is kept while it is listed, however long, and for an
   hour after that; it does not accumulate.  */
static void
test_records_expire (void)
{
  const gint64 hour = 3600 * CLK_S;
  set_up ();
  struct registry_entry e = make_entry ("s", 5);
  list_and_mark (&e);
  registry_update (world.registry, &e, 1, SAID_AT + 2 * hour);
  registry_update (world.registry, &e, 0, SAID_AT + 2 * hour + 1);
  registry_update (world.registry, &e, 1, SAID_AT + 2 * hour + 2);
  CU_ASSERT_TRUE (registry_is_leaving (find ("s")));
  registry_update (world.registry, &e, 0, SAID_AT + 2 * hour + 3);
  registry_update (world.registry, &e, 0, SAID_AT + 4 * hour);
  registry_update (world.registry, &e, 1, SAID_AT + 4 * hour + 1);
  CU_ASSERT_FALSE (registry_is_leaving (find ("s")));
  tear_down ();
}

/* A scheduler over two servers, a and b.  */
static struct
{
  struct topology *topology;
  struct scheduler *scheduler;
  struct registry_entry entries[2];
} pair;

static void
set_up_pair (void)
{
  set_up ();
  pair.topology = topology_new ("a", "north");
  const struct scheduler_options options
      = { .registry = world.registry, .topology = pair.topology, .seed = 7 };
  pair.scheduler = scheduler_new (&options, 0);
  pair.entries[0] = make_entry ("a", 5);
  pair.entries[1] = make_entry ("b", 5);
  registry_update (world.registry, pair.entries, 2, SAID_AT - CLK_S);
}

static void
tear_down_pair (void)
{
  scheduler_free (pair.scheduler);
  topology_free (pair.topology);
  tear_down ();
}

/* Submits a request at NOW, which ends at once. Returns the id of its server;
   NULL if it was rejected.  */
static const char *
place (gint64 now, guint64 affinity_hash, enum scheduler_reason *reason)
{
  struct scheduler_entry entry
      = { .arrived = now, .target = now + CLK_S, .deadline = now + 2 * CLK_S };
  struct scheduler_decision decision;
  g_strlcpy (entry.service, "pool", sizeof entry.service);
  entry.request.affinity_hash = affinity_hash;
  scheduler_submit (pair.scheduler, &entry, now, &decision);
  if (reason != NULL)
    *reason = decision.reason;
  scheduler_withdraw (pair.scheduler, &entry);
  return decision.verdict == SCHEDULER_START ? decision.choice.server->entry.id
                                             : NULL;
}

/* From its word on, a leaving server gets no request that another one can
   take.  */
static void
test_no_new_placement (void)
{
  set_up_pair ();
  guint to_a = 0;
  for (guint i = 0; i < 20; i++)
    to_a += g_str_equal (place (SAID_AT, i, NULL), "a");
  CU_ASSERT_TRUE (to_a > 0);
  registry_mark_leaving (world.registry, find ("a"), SAID_AT);
  for (guint i = 0; i < 20; i++)
    CU_ASSERT_STRING_EQUAL (place (SAID_AT, i, NULL), "b");
  tear_down_pair ();
}

/* With all servers leaving, requests are placed for the drain time and rejected
   after it, as having no server.  */
static void
test_all_leaving (void)
{
  enum scheduler_reason reason;
  set_up_pair ();
  registry_mark_leaving (world.registry, find ("a"), SAID_AT);
  registry_mark_leaving (world.registry, find ("b"), SAID_AT + CLK_S);
  CU_ASSERT_PTR_NOT_NULL (place (SAID_AT + DRAIN_US, 1, NULL));
  for (guint i = 0; i < 20; i++)
    {
      const char *id = place (SAID_AT + DRAIN_US + 1, i, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (id);
      CU_ASSERT_STRING_EQUAL (id, "b"); /* a's drain time is over */
    }
  CU_ASSERT_PTR_NULL (place (SAID_AT + CLK_S + DRAIN_US + 1, 1, &reason));
  CU_ASSERT_EQUAL (reason, SCHEDULER_NO_SERVER);
  tear_down_pair ();
}

/* A peer's word makes a server the last resort, without a limit, and is not
   taken back by the list either. A restart ends it.  */
static void
test_word_of_a_peer (void)
{
  set_up_pair ();
  registry_peer_found_leaving (world.registry, find ("a"));
  registry_peer_found_leaving (world.registry, find ("a"));
  CU_ASSERT_EQUAL (world.leaving_from[REGISTRY_FROM_PEER], 1);
  registry_update (world.registry, pair.entries, 2, SAID_AT);
  for (guint i = 0; i < 20; i++)
    CU_ASSERT_STRING_EQUAL (place (SAID_AT, i, NULL), "b");
  registry_peer_found_leaving (world.registry, find ("b"));
  CU_ASSERT_PTR_NOT_NULL (place (SAID_AT + 2 * DRAIN_US, 1, NULL));
  pair.entries[0].start_time_ms = 6;
  registry_update (world.registry, pair.entries, 2, SAID_AT);
  for (guint i = 0; i < 20; i++)
    CU_ASSERT_STRING_EQUAL (place (SAID_AT, i, NULL), "a");
  tear_down_pair ();
}

/* The other server is full: requests wait for it and do not go to the leaving
   one, which may end before they do.  */
static void
test_other_server_full (void)
{
  struct scheduler_decision decision;
  struct scheduler_entry running[8]; /* a server with 4 slots queues 4 more */
  struct scheduler_entry next;
  set_up_pair ();
  registry_mark_leaving (world.registry, find ("a"), SAID_AT);
  memset (running, 0, sizeof running);
  memset (&next, 0, sizeof next);
  for (guint i = 0; i <= G_N_ELEMENTS (running); i++)
    {
      struct scheduler_entry *entry
          = i < G_N_ELEMENTS (running) ? &running[i] : &next;
      entry->target = entry->deadline = SAID_AT + 5 * CLK_S;
      entry->arrived = SAID_AT;
      g_strlcpy (entry->service, "pool", sizeof entry->service);
      scheduler_submit (pair.scheduler, entry, SAID_AT, &decision);
      if (i == G_N_ELEMENTS (running))
        break;
      CU_ASSERT_EQUAL_FATAL (decision.verdict, SCHEDULER_START);
      scheduler_started (pair.scheduler, entry, &decision.choice, SAID_AT);
    }
  CU_ASSERT_EQUAL (decision.verdict, SCHEDULER_WAIT);
  scheduler_withdraw (pair.scheduler, &next);
  for (guint i = 0; i < G_N_ELEMENTS (running); i++)
    scheduler_ended (pair.scheduler, &running[i]);
  tear_down_pair ();
}

/* Starts a request with a large shared prefix. Returns the choice.  */
static struct placement_choice
start_with_prefix (struct scheduler_entry *entry, guint own_key, gint64 now)
{
  struct scheduler_decision decision;
  memset (entry, 0, sizeof *entry);
  g_strlcpy (entry->service, "pool", sizeof entry->service);
  entry->arrived = now;
  entry->target = entry->deadline = now + 5 * CLK_S;
  entry->request.prompt
      = (struct prefix_prompt){ .blocks = { { 77, 6000 }, { own_key, 100 } },
                                .n = 2 };
  entry->request.prompt_tokens = 6100;
  entry->request.output_tokens = 50;
  entry->request.affinity_hash = 77;
  scheduler_submit (pair.scheduler, entry, now, &decision);
  CU_ASSERT_EQUAL_FATAL (decision.verdict, SCHEDULER_START);
  scheduler_started (pair.scheduler, entry, &decision.choice, now);
  return decision.choice;
}

/* Starts a request that reads again a prefix which only a leaving server has
   cached, AFTER_US after its word. Returns whether it is fetched from that
   server.  */
static gboolean
is_fetched_after (gint64 after_us)
{
  struct scheduler_entry entry;
  set_up_pair ();
  struct routing_table *routing_table = routing_table_new (1);
  struct routing_service service = {
    .name = g_strdup ("pool"),
    .has_engine = TRUE,
    .engine
    = { .batch = 16, .memory = 200000, .stride = 5, .can_fetch_prefixes = TRUE }
  };
  routing_table_add_service (routing_table, &service);
  scheduler_set_table (pair.scheduler, routing_table);
  struct registry_server *first
      = start_with_prefix (&entry, 1000, SAID_AT - 1).server;
  scheduler_first_event (pair.scheduler, &entry, 50 * CLK_MS);
  scheduler_ended (pair.scheduler, &entry);
  registry_mark_leaving (world.registry, first, SAID_AT);
  struct placement_choice choice
      = start_with_prefix (&entry, 1001, SAID_AT + after_us);
  CU_ASSERT_PTR_NOT_EQUAL (choice.server, first);
  gboolean fetched = choice.fetch_from == first;
  scheduler_ended (pair.scheduler, &entry);
  routing_table_unref (routing_table);
  tear_down_pair ();
  return fetched;
}

static void
test_cached_prefixes_move (void)
{
  CU_ASSERT_TRUE (is_fetched_after (DRAIN_US));
  CU_ASSERT_FALSE (is_fetched_after (DRAIN_US + 1));
}

static CU_TestInfo tests[] = {
  { "the response precedes the list", test_response_before_list },
  { "the response follows the list", test_response_after_list },
  { "repeated responses", test_repeated_responses },
  { "cut off from the store, and frozen", test_cut_off_and_frozen },
  { "an entry that comes back", test_entry_comes_back },
  { "the same life at another address", test_same_life_elsewhere },
  { "a response after the removal", test_response_after_removal },
  { "a new life", test_new_life },
  { "unknown start times", test_unknown_start },
  { "records expire", test_records_expire },
  { "no new placement", test_no_new_placement },
  { "all servers are leaving", test_all_leaving },
  { "the word of a peer", test_word_of_a_peer },
  { "the other server is full", test_other_server_full },
  { "cached prefixes move", test_cached_prefixes_move },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "registry_leaving", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
