/* The registry of backend servers, freshness of the configuration, the
   schedule of reads from the store, and the topology.  */
#include "unit/unit.h"

#include "fleet/registry.h"
#include "fleet/freshness.h"
#include "fleet/health_review.h"
#include "fleet/read_schedule.h"
#include "fleet/store_era.h"
#include "fleet/topology.h"

#include <time.h>

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

/* After an outage in which the list did not change, peers tell that it has been
   read again. A server that is removed later has left: it must not be kept as
   if its entry had expired.  */
static void
test_removed_after_outage (void)
{
  struct registry *registry = set_up ();
  struct registry_entry e[]
      = { make_entry ("s", 5, FALSE), make_entry ("t", 5, FALSE) };
  registry_update (registry, e, 2, 1);
  registry_store_failed (registry, 10 * CLK_S);
  registry_list_confirmed (registry, 14 * CLK_S, 14 * CLK_S + CLK_MS);
  registry_update (registry, e, 1, 20 * CLK_S);
  CU_ASSERT_PTR_NULL (registry_find (registry, "t"));
  CU_ASSERT_PTR_NOT_NULL (registry_find (registry, "s"));
  registry_free (registry);
}

/* A list that a peer has read before the outage says nothing of its end, and
   entries may be missing for a moment after it.  */
static void
test_missing_soon_after_outage (void)
{
  struct registry *registry = set_up ();
  struct registry_entry e[]
      = { make_entry ("s", 5, FALSE), make_entry ("t", 5, FALSE) };
  registry_update (registry, e, 2, 1);
  registry_store_failed (registry, 10 * CLK_S);
  registry_list_confirmed (registry, 9 * CLK_S, 10 * CLK_S + CLK_MS);
  registry_list_confirmed (registry, 14 * CLK_S, 14 * CLK_S + CLK_MS);
  registry_update (registry, e, 1, 15 * CLK_S);
  CU_ASSERT_PTR_NOT_NULL (registry_find (registry, "t"));
  registry_tick (registry, 17 * CLK_S);
  CU_ASSERT_PTR_NULL (registry_find (registry, "t"));
  registry_store_failed (registry, 20 * CLK_S);
  registry_list_confirmed (registry, 19 * CLK_S, 20 * CLK_S + CLK_MS);
  registry_update (registry, e, 0, 30 * CLK_S);
  CU_ASSERT_PTR_NOT_NULL (registry_find (registry, "s"));
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
  g_strlcpy (e.service, "other", sizeof e.service);
  registry_update (registry, &e, 1, 2);
  CU_ASSERT_NOT_EQUAL (registry_find (registry, "s")->number, number);
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
  CU_ASSERT_TRUE (server->peer_avoid_until <= now);
  registry_peer_found_unreachable (server, now + CLK_S);
  CU_ASSERT_TRUE (server->peer_avoid_until > now + CLK_S);
  /* A peer's report is not passed on as this instance's own experience. */
  CU_ASSERT_FALSE (registry_is_unreachable (server, now + CLK_S));
  registry_mark_reached (server, now + CLK_S);
  CU_ASSERT_TRUE (server->peer_avoid_until <= now + CLK_S);
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

static struct read_schedule
make_schedule (gint64 now, guint32 seed, gboolean is_seed)
{
  struct read_schedule schedule;
  const struct read_schedule_options options
      = { .now = now, .seed = seed, .is_seed = is_seed };
  read_schedule_init (&schedule, &options);
  return schedule;
}

/* The designated reader of a domain reads; the next instance takes over when
   its data is not confirmed.  */
static void
test_read_schedule (void)
{
  const struct read_schedule_peers first = { 0, 7, TRUE };
  const struct read_schedule_peers second = { 1, 7, TRUE };
  const struct read_schedule_peers sixth = { 5, 7, TRUE };
  gint64 now = 100 * CLK_S;
  struct read_schedule schedule = make_schedule (0, 1, FALSE);
  CU_ASSERT_TRUE (read_schedule_is_due (&schedule, now, G_MAXINT64, &second));
  CU_ASSERT_FALSE (read_schedule_is_due (&schedule, now, 500 * CLK_MS, &first));
  CU_ASSERT_TRUE (read_schedule_is_due (&schedule, now, 1000 * CLK_MS, &first));
  CU_ASSERT_FALSE (
      read_schedule_is_due (&schedule, now, 1000 * CLK_MS, &second));
  CU_ASSERT_TRUE (
      read_schedule_is_due (&schedule, now, 2000 * CLK_MS, &second));
  read_schedule_peers_failed (&schedule, now);
  CU_ASSERT_TRUE (
      read_schedule_is_due (&schedule, now + 35 * CLK_MS, 0, &sixth));
  read_schedule_started (&schedule, now);
  CU_ASSERT_FALSE (
      read_schedule_is_due (&schedule, now + 1, G_MAXINT64, &first));
  read_schedule_done (&schedule, now + 10, FALSE);
  CU_ASSERT_FALSE (
      read_schedule_is_due (&schedule, now + 11, G_MAXINT64, &first));
  CU_ASSERT_TRUE (
      read_schedule_is_due (&schedule, now + CLK_S, G_MAXINT64, &first));
}

#define FLEET 295
#define FLEET_SEEDS 3
#define FLEET_STEP_US (50 * CLK_MS)
#define FLEET_SPREAD_US (700 * CLK_MS) /* until all have what one has read */

/* Instances that share what they read. Those from SERVED on are served by the
   store while it is up, the others always get an error.  */
struct fleet_run
{
  guint served;
  gint64 up_from;  /* clock time from which the store serves at all */
  gint64 until;    /* clock time of the end */
  guint reads;     /* calls to the store */
  gint64 oldest;   /* longest time without any confirmation */
  gint64 first_at; /* clock time of the first confirmation; 0: none */
};

static void
run_fleet (struct fleet_run *run)
{
  static struct read_schedule schedules[FLEET];
  gint64 last = 0;
  for (guint i = 0; i < FLEET; i++)
    schedules[i] = make_schedule (1, 7 * i + 1, i < FLEET_SEEDS);
  for (gint64 now = 1; now < run->until; now += FLEET_STEP_US)
    {
      run->oldest = MAX (run->oldest, now - last);
      for (guint i = 0; i < FLEET; i++)
        {
          const struct read_schedule_peers peers
              = { i, FLEET, now > 200 * CLK_MS };
          gint64 age = last == 0 ? G_MAXINT64 : now - last;
          if (last != 0 && age < FLEET_SPREAD_US)
            age = 0;
          if (!read_schedule_is_due (&schedules[i], now, age, &peers))
            continue;
          gboolean ok = now >= run->up_from && i >= run->served;
          run->reads++;
          read_schedule_started (&schedules[i], now);
          read_schedule_done (&schedules[i], now, ok);
          if (!ok)
            continue;
          last = now;
          run->first_at = run->first_at ? run->first_at : now;
        }
    }
}

/* 295 instances start at once, as they do when all were killed. Each of them
   that read the store itself would make hundreds of calls and transfer the
   list hundreds of times.  */
static void
test_fleet_starts (void)
{
  struct fleet_run run = { .until = 10 * CLK_S };
  run_fleet (&run);
  /* The seeds, then one reader every 0.9 s. */
  CU_ASSERT_TRUE (run.reads <= FLEET_SEEDS + 12);
  CU_ASSERT_TRUE (run.first_at <= 100 * CLK_MS);
}

/* While the store is down, the calls of the whole fleet stay at a rate that
   does not grow with the instances, and its return is noticed at once.  */
static void
test_fleet_without_store (void)
{
  struct fleet_run run = { .up_from = 10 * CLK_S, .until = 12 * CLK_S };
  run_fleet (&run);
  /* The first seven retry every 0.6 s, all others make 20 calls a second. */
  CU_ASSERT_TRUE (run.reads <= 10 * (7 * 2 + 25));
  CU_ASSERT_TRUE (run.first_at <= 10 * CLK_S + 300 * CLK_MS);
}

/* The store turns the first 100 instances away. One of the others must have
   read it before the keys expire at 4.7 s.  */
static void
test_fleet_turned_away (void)
{
  struct fleet_run run = { .served = 100, .until = 30 * CLK_S };
  run_fleet (&run);
  CU_ASSERT_TRUE (run.oldest <= 3500 * CLK_MS);
}

/* An instance of a large fleet that gets no confirmation through its peers
   although they have fresh ones, since only one direction is cut, reads the
   store before its keys expire.  */
static void
test_unconfirmed_instance (void)
{
  const struct read_schedule_peers peers = { 200, FLEET, TRUE };
  struct read_schedule schedule = make_schedule (0, 5, FALSE);
  gint64 now = 100 * CLK_S;
  const struct read_schedule_confirmation cut_off
      = { 3600 * CLK_MS, 20 * CLK_S, 100 * CLK_MS };
  const struct read_schedule_confirmation just_arrived
      = { G_MAXINT64, 500 * CLK_MS, 100 * CLK_MS };
  const struct read_schedule_confirmation store_away
      = { 3600 * CLK_MS, 20 * CLK_S, 1200 * CLK_MS };
  CU_ASSERT_TRUE (read_schedule_is_cut_off (&cut_off));
  CU_ASSERT_FALSE (read_schedule_is_cut_off (&just_arrived));
  CU_ASSERT_FALSE (read_schedule_is_cut_off (&store_away));
  read_schedule_peers_failed (&schedule, now);
  CU_ASSERT_TRUE (read_schedule_is_due (&schedule, now + 1500 * CLK_MS,
                                        4000 * CLK_MS, &peers));
}

/* Each instance of a large fleet applies a list of thousands of servers
   whenever one of them changes. With the tenth of .12 of a core that it may
   spend on that, a list every 0.9 s leaves 10 ms.  */
static void
test_large_list (void)
{
  enum
  {
    SERVERS = 4000,
    LISTS = 50
  };
  struct registry *registry = set_up ();
  struct registry_entry *entries = g_new0 (struct registry_entry, SERVERS);
  for (guint i = 0; i < SERVERS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "i-%08x", i * 2654435761u);
      entries[i] = make_entry (id, 5, FALSE);
    }
  registry_update (registry, entries, SERVERS, 1);
  clock_t before = clock ();
  for (guint i = 0; i < LISTS; i++)
    {
      entries[i].leaving = TRUE;
      registry_update (registry, entries, SERVERS, 2 + i);
    }
  double ms = 1e3 * (double)(clock () - before) / CLOCKS_PER_SEC;
  CU_ASSERT_EQUAL (changes[REGISTRY_SERVER_LEAVING], LISTS);
  CU_ASSERT_TRUE (ms / LISTS <= 10);
  registry_free (registry);
  g_free (entries);
}

static void
count_ejected (void *ctx, const char *service, guint ejected, guint reviewed)
{
  (void)service;
  (void)reviewed;
  *(guint *)ctx += ejected;
}

/* Of a service with more servers than are compared at once, a failing one is
   found wherever it stands in the list.  */
static void
test_review_of_many_servers (void)
{
  enum
  {
    SERVERS = 160
  };
  for (guint failing = 0; failing < SERVERS; failing += 53)
    {
      struct registry *registry = set_up ();
      struct registry_entry entries[SERVERS];
      GRand *rand = g_rand_new_with_seed (1);
      guint ejected = 0;
      guint n;
      for (guint i = 0; i < SERVERS; i++)
        {
          char id[16];
          g_snprintf (id, sizeof id, "i-%03u", i);
          entries[i] = make_entry (id, 5, FALSE);
        }
      registry_update (registry, entries, SERVERS, 1);
      struct registry_server *const *servers = registry_servers (registry, &n);
      for (guint i = 0; i < n; i++)
        for (guint k = 0; k < 10; k++)
          server_health_add_result (&servers[i]->server_health,
                                    i == failing ? SERVER_HEALTH_FAILURE
                                                 : SERVER_HEALTH_SUCCESS);
      health_review (registry, CLK_S, rand, count_ejected, &ejected);
      CU_ASSERT_EQUAL (ejected, 1);
      CU_ASSERT_EQUAL (servers[failing]->server_health.state,
                       SERVER_HEALTH_EJECTED);
      g_rand_free (rand);
      registry_free (registry);
    }
}

/* Only a newer era replaces the known one. Answers of an older one arrive late
   or from peers that do not know yet; the first one known is no change.  */
static void
test_store_era (void)
{
  struct store_era era = { 0 };
  CU_ASSERT_EQUAL (store_era_of_store (&era, 0), STORE_ERA_SAME);
  CU_ASSERT_EQUAL (store_era_of_store (&era, 4), STORE_ERA_SAME);
  CU_ASSERT_EQUAL (store_era_of_store (&era, 4), STORE_ERA_SAME);
  CU_ASSERT_EQUAL (store_era_of_store (&era, 3), STORE_ERA_OLDER);
  CU_ASSERT_EQUAL (era.known, 4);
  CU_ASSERT_EQUAL (store_era_of_peer (&era, 7), STORE_ERA_NEWER);
  CU_ASSERT_EQUAL (store_era_of_store (&era, 5), STORE_ERA_OLDER);
  CU_ASSERT_EQUAL (store_era_of_peer (&era, 0), STORE_ERA_SAME);
  CU_ASSERT_EQUAL (store_era_of_peer (&era, 5), STORE_ERA_OLDER);
  CU_ASSERT_EQUAL (era.known, 7);
}

/* A peer's damaged message states an era that the store never had. The store's
   answers must not be dropped for good; peers alone cannot take the era back.
 */
static void
test_store_era_goes_back (void)
{
  struct store_era era = { .known = 4 };
  guint dropped = 0;
  CU_ASSERT_EQUAL (store_era_of_peer (&era, 1000000), STORE_ERA_NEWER);
  for (guint i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (store_era_of_peer (&era, 4), STORE_ERA_OLDER);
  while (store_era_of_store (&era, 4) == STORE_ERA_OLDER)
    dropped++;
  CU_ASSERT_EQUAL (dropped, 2);
  CU_ASSERT_EQUAL (era.known, 4);
  CU_ASSERT_EQUAL (store_era_of_store (&era, 4), STORE_ERA_SAME);
  /* Peers that still believe in it change nothing any more. */
  for (guint i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (store_era_of_peer (&era, 1000000), STORE_ERA_SAME);
  CU_ASSERT_EQUAL (era.known, 4);
  /* Late answers between those of the present era never add up. */
  CU_ASSERT_EQUAL (store_era_of_store (&era, 5), STORE_ERA_NEWER);
  for (guint i = 0; i < 10; i++)
    {
      CU_ASSERT_EQUAL (store_era_of_store (&era, 4), STORE_ERA_OLDER);
      CU_ASSERT_EQUAL (store_era_of_store (&era, 5), STORE_ERA_SAME);
    }
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
  { "a server that leaves some time after an outage",
    test_removed_after_outage },
  { "entries that are missing soon after an outage",
    test_missing_soon_after_outage },
  { "leaving and expired", test_leaving_entry_lapses },
  { "an id that is used again", test_id_reused },
  { "unreachable servers", test_unreachable },
  { "freshness", test_freshness },
  { "the schedule of reads", test_read_schedule },
  { "all instances start at once", test_fleet_starts },
  { "a large fleet without a store", test_fleet_without_store },
  { "a store that turns instances away", test_fleet_turned_away },
  { "an instance that is not confirmed", test_unconfirmed_instance },
  { "a list of thousands of servers", test_large_list },
  { "failing servers among many", test_review_of_many_servers },
  { "eras of the store", test_store_era },
  { "an era that goes back", test_store_era_goes_back },
  { "distances", test_distance },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "fleet", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
