/* The registry of backend servers, freshness of the configuration, the
   schedule of reads from the store, and the topology.  */
#include "unit/unit.h"

#include "fleet/registry.h"
#include "fleet/freshness.h"
#include "fleet/read_schedule.h"
#include "fleet/topology.h"

static guint changes[3];

static void
on_change (void *ctx, const struct registry_change *change)
{
  (void)ctx;
  changes[change->kind]++;
}

static struct registry *
set_up (void)
{
  changes[0] = changes[1] = changes[2] = 0;
  return registry_new (on_change, NULL);
}

static struct registry_entry
make_entry (const char *id, gint64 start_time_ms, gboolean leaving)
{
  struct registry_entry e
      = { .start_time_ms = start_time_ms, .slots = 4, .leaving = leaving };
  g_strlcpy (e.id, id, sizeof e.id);
  g_strlcpy (e.service, "pool", sizeof e.service);
  g_strlcpy (e.address, "10.0.0.1:80", sizeof e.address);
  g_strlcpy (e.domain, "a", sizeof e.domain);
  return e;
}

/* Once a server is leaving, an older entry does not make it ready again; only
   a restart does.  */
static void
test_leaving_persists (void)
{
  struct registry *registry = set_up ();
  struct registry_entry e = make_entry ("s", 5, FALSE);
  registry_update (registry, &e, 1, 1);
  e.leaving = TRUE;
  registry_update (registry, &e, 1, 2);
  CU_ASSERT_EQUAL (registry_find (registry, "s")->state, REGISTRY_LEAVING);
  e.leaving = FALSE; /* an older entry that arrived late */
  registry_update (registry, &e, 1, 3);
  CU_ASSERT_EQUAL (registry_find (registry, "s")->state, REGISTRY_LEAVING);
  CU_ASSERT_EQUAL (changes[REGISTRY_SERVER_LEAVING], 1);
  e.start_time_ms = 6; /* it has restarted */
  registry_update (registry, &e, 1, 4);
  CU_ASSERT_EQUAL (registry_find (registry, "s")->state, REGISTRY_READY);
  e.start_time_ms = 5; /* an entry from before the restart is ignored */
  e.leaving = TRUE;
  registry_update (registry, &e, 1, 5);
  CU_ASSERT_EQUAL (registry_find (registry, "s")->state, REGISTRY_READY);
  CU_ASSERT_EQUAL (registry_find (registry, "s")->entry.start_time_ms, 6);
  registry_free (registry);
}

static void
test_removal (void)
{
  struct registry *registry = set_up ();
  struct registry_entry e[]
      = { make_entry ("s", 5, FALSE), make_entry ("t", 5, FALSE) };
  registry_update (registry, e, 2, 1);
  registry_update (registry, e, 1, 2);
  CU_ASSERT_PTR_NULL (registry_find (registry, "t"));
  CU_ASSERT_EQUAL (changes[REGISTRY_SERVER_REMOVED], 1);
  registry_free (registry);
}

/* Entries expire while the store is unavailable: those missing from the first
   list afterwards have two seconds to reappear, and no more.  */
static void
test_lapsed_entries (void)
{
  struct registry *registry = set_up ();
  struct registry_entry e[]
      = { make_entry ("s", 5, FALSE), make_entry ("t", 5, FALSE) };
  registry_update (registry, e, 2, 1);
  registry_store_failed (registry, 10 * CLK_S);
  registry_tick (registry, 11 * CLK_S);
  CU_ASSERT_PTR_NOT_NULL (registry_find (registry, "t"));
  registry_update (registry, e, 0, 12 * CLK_S);
  CU_ASSERT_PTR_NOT_NULL (registry_find (registry, "s"));
  registry_update (registry, e, 1, 13 * CLK_S); /* s is back */
  registry_tick (registry, 14 * CLK_S + 1);
  CU_ASSERT_PTR_NOT_NULL (registry_find (registry, "s"));
  CU_ASSERT_PTR_NULL (registry_find (registry, "t"));
  CU_ASSERT_EQUAL (changes[REGISTRY_SERVER_ADDED], 2);
  registry_free (registry);
}

/* A server that was leaving gets no time to reappear.  */
static void
test_leaving_entry_lapses (void)
{
  struct registry *registry = set_up ();
  struct registry_entry e = make_entry ("s", 5, TRUE);
  registry_update (registry, &e, 1, 1);
  registry_store_failed (registry, 2);
  registry_update (registry, &e, 0, 3);
  CU_ASSERT_PTR_NULL (registry_find (registry, "s"));
  registry_free (registry);
}

/* A changed address or service means another server.  */
static void
test_id_reused (void)
{
  struct registry *registry = set_up ();
  struct registry_entry e = make_entry ("s", 5, FALSE);
  registry_update (registry, &e, 1, 1);
  guint number = registry_find (registry, "s")->number;
  guint64 digest = registry_digest (registry);
  g_strlcpy (e.service, "other", sizeof e.service);
  registry_update (registry, &e, 1, 2);
  CU_ASSERT_NOT_EQUAL (registry_find (registry, "s")->number, number);
  e.leaving = TRUE;
  registry_update (registry, &e, 1, 3);
  CU_ASSERT_NOT_EQUAL (registry_digest (registry), digest);
  registry_free (registry);
}

/* An unreachable server is avoided for longer each time; a peer's report
   counts unless this instance had contact with the server just now.  */
static void
test_unreachable (void)
{
  struct registry *registry = set_up ();
  struct registry_entry e = make_entry ("s", 5, FALSE);
  gint64 now = 100 * CLK_S;
  registry_update (registry, &e, 1, now);
  struct registry_server *server = registry_find (registry, "s");
  gint64 last = 0;
  for (guint i = 0; i < 6; i++)
    {
      registry_mark_unreachable (server, now);
      CU_ASSERT_TRUE (registry_is_unreachable (server, now));
      CU_ASSERT_TRUE (server->avoid_until - now >= last);
      last = server->avoid_until - now;
      now = server->avoid_until;
    }
  CU_ASSERT_EQUAL (last, 4 * CLK_S);
  registry_mark_reached (server, now);
  CU_ASSERT_FALSE (registry_is_unreachable (server, now));
  registry_peer_found_unreachable (server, now + 100 * CLK_MS);
  CU_ASSERT_TRUE (server->avoid_until <= now);
  registry_peer_found_unreachable (server, now + CLK_S);
  CU_ASSERT_TRUE (server->avoid_until > now + CLK_S);
  /* A peer's report is not passed on as this instance's own experience. */
  CU_ASSERT_FALSE (registry_is_unreachable (server, now + CLK_S));
  registry_free (registry);
}

static void
test_freshness (void)
{
  struct freshness freshness = { 0 };
  CU_ASSERT_FALSE (freshness_is_within (&freshness, 100, 1000));
  freshness_confirm (&freshness, 3, 100);
  CU_ASSERT_TRUE (freshness_is_within (&freshness, 1099, 1000));
  CU_ASSERT_FALSE (freshness_is_within (&freshness, 1100, 1000));
  freshness_confirm (&freshness, 3, 50); /* older, but arrived later */
  CU_ASSERT_EQUAL (freshness_age (&freshness, 1100), 1000);
  freshness_confirm (&freshness, 2, 1000); /* proves nothing about 3 */
  CU_ASSERT_EQUAL (freshness_age (&freshness, 1100), 1000);
  freshness_confirm (&freshness, 4, 80);
  CU_ASSERT_EQUAL (freshness.version, 4);
  CU_ASSERT_EQUAL (freshness_age (&freshness, 1100), 1020);
}

/* The designated reader of a domain reads; the next instance takes over when
   its data is not confirmed.  */
static void
test_read_schedule (void)
{
  struct read_schedule read_schedule = { 0 };
  CU_ASSERT_TRUE (read_schedule_is_due (&read_schedule, 0, G_MAXINT64, 3));
  CU_ASSERT_FALSE (read_schedule_is_due (&read_schedule, 0, 500 * CLK_MS, 0));
  CU_ASSERT_TRUE (read_schedule_is_due (&read_schedule, 0, 1000 * CLK_MS, 0));
  CU_ASSERT_FALSE (read_schedule_is_due (&read_schedule, 0, 1000 * CLK_MS, 1));
  CU_ASSERT_TRUE (read_schedule_is_due (&read_schedule, 0, 2000 * CLK_MS, 1));
  read_schedule.newer_known = TRUE;
  CU_ASSERT_TRUE (read_schedule_is_due (&read_schedule, 0, 0, 5));
  read_schedule_started (&read_schedule, 1);
  CU_ASSERT_FALSE (read_schedule_is_due (&read_schedule, 2, G_MAXINT64, 0));
  read_schedule_done (&read_schedule, 10, FALSE);
  CU_ASSERT_FALSE (read_schedule_is_due (&read_schedule, 11, G_MAXINT64, 0));
  CU_ASSERT_TRUE (read_schedule_is_due (&read_schedule, CLK_S, G_MAXINT64, 0));
}

static void
test_distance (void)
{
  struct topology *topology = topology_new ("a", "north");
  topology_add (topology, "a", "north");
  topology_add (topology, "b", "north");
  topology_add (topology, "c", "south");
  CU_ASSERT_EQUAL (topology_distance (topology, "a"), TOPOLOGY_SAME_DOMAIN);
  CU_ASSERT_EQUAL (topology_distance (topology, "b"), TOPOLOGY_SAME_REGION);
  CU_ASSERT_EQUAL (topology_distance (topology, "c"), TOPOLOGY_OTHER_REGION);
  CU_ASSERT_EQUAL (topology_distance (topology, "unknown"),
                   TOPOLOGY_OTHER_REGION);
  topology_free (topology);
}

static CU_TestInfo tests[] = {
  { "a server is leaving until it restarts", test_leaving_persists },
  { "unlisted servers are removed", test_removal },
  { "expired while the store was unavailable", test_lapsed_entries },
  { "leaving and expired", test_leaving_entry_lapses },
  { "an id that is used again", test_id_reused },
  { "unreachable servers", test_unreachable },
  { "freshness", test_freshness },
  { "the schedule of reads", test_read_schedule },
  { "distances", test_distance },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "fleet", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
