#include "unit/unit.h"

#include "member/membership.h"

#include <string.h>

#define NODES 6
#define SEEDS 300
#define DELAY_MAX_MS 900 /* delay of a heartbeat in the faulty phase */
#define FAULT_STEPS 200  /* steps of STEP_MS in the faulty phase */
#define STEP_MS 100
#define NAMES 500

static struct statechart *chart;

static int
load_chart (void)
{
  return member_chart_load (JW_SOURCE_DIR "/charts", &chart, NULL);
}

static int
free_chart (void)
{
  statechart_free (chart);
  return 0;
}

static struct membership *
make_membership (const struct clk *clk, const char *id, const char *domain,
                 guint64 incarnation)
{
  struct member_options options = { .clk = clk, .chart = chart };
  str_id_set (&options.self.id, str_of (id));
  str_id_set (&options.self.domain, str_of (domain));
  options.self.incarnation = incarnation;
  return member_new (&options);
}

static struct msg_heartbeat
make_heartbeat (guint64 incarnation, guint64 sequence, gboolean leaving)
{
  return (struct msg_heartbeat){ .incarnation = incarnation,
                                 .sequence = sequence,
                                 .domain = { "kgn-a" },
                                 .leaving = leaving };
}

static int
receive (struct membership *membership, const char *from,
         struct msg_heartbeat heartbeat, struct member_change *change)
{
  return member_heartbeat (membership, from, &heartbeat, change);
}

/* Advances the clock by US with regular ticks, stopping at the first change;
   CHANGE is that of the last tick.  */
static void
advance (struct membership *membership, struct clk_fake *clk, gint64 us,
         struct member_change *change)
{
  memset (change, 0, sizeof *change);
  for (gint64 end = clk->t + us; clk->t < end && !change->view;)
    {
      clk->t += MIN (STEP_MS * CLK_MS, end - clk->t);
      member_tick (membership, change);
    }
}

static void
test_state_changes (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 1);
  CU_ASSERT_TRUE (member_find (membership, "a")->live);
  CU_ASSERT_EQUAL (
      receive (membership, "b", make_heartbeat (5, 1, FALSE), &change), 0);
  CU_ASSERT_TRUE (change.view);
  receive (membership, "b", make_heartbeat (5, 2, FALSE), &change);
  CU_ASSERT_FALSE (change.view);
  receive (membership, "b", make_heartbeat (5, 3, TRUE), &change);
  CU_ASSERT_TRUE (change.view);
  CU_ASSERT_EQUAL (member_find (membership, "b")->state, MEMBER_LEAVING);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "");
  advance (membership, &clk, MEMBER_SUSPECT_US - 1, &change);
  CU_ASSERT_FALSE (change.view);
  advance (membership, &clk, 1, &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "b");
  CU_ASSERT_EQUAL (member_find (membership, "b")->state, MEMBER_DOWN);
  /* A repeated heartbeat is ignored. */
  receive (membership, "b", make_heartbeat (5, 3, FALSE), &change);
  CU_ASSERT_FALSE (member_find (membership, "b")->live);
  advance (membership, &clk, MEMBER_FORGET_US, &change);
  CU_ASSERT_FALSE (change.view);
  CU_ASSERT_PTR_NULL (member_find (membership, "b"));
  CU_ASSERT_TRUE (member_find (membership, "a")->live);
  member_free (membership);
}

static void
test_incarnations (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 7);
  receive (membership, "b", make_heartbeat (5, 9, FALSE), &change);
  receive (membership, "b", make_heartbeat (4, 10, TRUE), &change);
  CU_ASSERT_EQUAL (member_find (membership, "b")->sequence, 9);
  CU_ASSERT_EQUAL (member_find (membership, "b")->state, MEMBER_LIVE);
  receive (membership, "b", make_heartbeat (6, 1, FALSE), &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "b");
  CU_ASSERT_TRUE (change.view);
  CU_ASSERT_TRUE (member_find (membership, "b")->live);
  CU_ASSERT_EQUAL (
      receive (membership, "a", make_heartbeat (7, 3, FALSE), &change), 0);
  CU_ASSERT_EQUAL (
      receive (membership, "a", make_heartbeat (8, 1, FALSE), &change),
      ERR_CONFLICT);
  CU_ASSERT_EQUAL (
      receive (membership, "", make_heartbeat (8, 1, FALSE), &change),
      ERR_INVALID);
  member_free (membership);
}

/* An instance that resumes after a pause marks no other one down, unless that
   one stays silent.  */
static void
test_pause (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 1);
  receive (membership, "b", make_heartbeat (1, 1, FALSE), &change);
  receive (membership, "c", make_heartbeat (1, 1, FALSE), &change);
  advance (membership, &clk, MEMBER_SUSPECT_US / 2, &change);
  clk.t += 2 * MEMBER_SUSPECT_US;
  member_tick (membership, &change);
  CU_ASSERT_FALSE (change.view);
  receive (membership, "b", make_heartbeat (1, 2, FALSE), &change);
  CU_ASSERT_FALSE (change.view);
  advance (membership, &clk, MEMBER_SUSPECT_US / 2 - 1, &change);
  CU_ASSERT_FALSE (change.view);
  advance (membership, &clk, 1, &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "c");
  CU_ASSERT_TRUE (member_find (membership, "b")->live);
  member_free (membership);
}

/* A disconnected peer is marked down soon, unless it reconnects.  */
static void
test_disconnected (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 1);
  receive (membership, "b", make_heartbeat (1, 1, FALSE), &change);
  receive (membership, "c", make_heartbeat (1, 1, FALSE), &change);
  member_disconnected (membership, "a");
  member_disconnected (membership, "b");
  member_disconnected (membership, "c");
  member_disconnected (membership, "unknown");
  advance (membership, &clk, MEMBER_RECONNECT_US - 1, &change);
  CU_ASSERT_FALSE (change.view);
  receive (membership, "b", make_heartbeat (1, 2, FALSE), &change);
  advance (membership, &clk, 1, &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "c");
  advance (membership, &clk, MEMBER_SUSPECT_US - 2, &change);
  CU_ASSERT_FALSE (change.view);
  CU_ASSERT_TRUE (member_find (membership, "a")->live);
  member_free (membership);
}

/* A longer silence is allowed to instances of other failure domains.  */
static void
test_remote_silence (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "mbj-a", 1);
  receive (membership, "b", make_heartbeat (1, 1, FALSE), &change);
  advance (membership, &clk, MEMBER_REMOTE_SUSPECT_US - 1, &change);
  CU_ASSERT_FALSE (change.view);
  CU_ASSERT_EQUAL (member_live_count (membership), 1);
  advance (membership, &clk, 1, &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "b");
  member_free (membership);
}

/* In a large failure domain heartbeats are sent less often and a longer silence
   is allowed. The interval stays short enough that an instance which knows few
   peers does not take it for silence.  */
static void
test_heartbeat_interval (void)
{
  struct clk_fake clk;
  struct member_change change;
  char id[16];
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 1);
  CU_ASSERT_EQUAL (member_heartbeat_interval (membership, FALSE),
                   MEMBER_HEARTBEAT_US);
  for (guint i = 1; i <= 30; i++)
    {
      g_snprintf (id, sizeof id, "n%u", i);
      receive (membership, id, make_heartbeat (1, 1, FALSE), &change);
    }
  gint64 interval = member_heartbeat_interval (membership, FALSE);
  CU_ASSERT_EQUAL (interval, 30 * MEMBER_HEARTBEAT_PER_PEER_US);
  CU_ASSERT_EQUAL (member_heartbeat_interval (membership, TRUE),
                   MEMBER_REMOTE_HEARTBEAT_US);
  advance (membership, &clk, MEMBER_SUSPECT_INTERVALS * interval - 1, &change);
  CU_ASSERT_FALSE (change.view);
  advance (membership, &clk, 1, &change);
  CU_ASSERT_TRUE (change.view);
  for (guint i = 31; i <= 60; i++)
    {
      g_snprintf (id, sizeof id, "n%u", i);
      receive (membership, id, make_heartbeat (1, 1, FALSE), &change);
    }
  CU_ASSERT_EQUAL (member_heartbeat_interval (membership, FALSE),
                   MEMBER_HEARTBEAT_MAX_US);
  member_free (membership);
}

static void
test_limit (void)
{
  struct clk_fake clk;
  struct member_change change;
  char id[16];
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 1);
  for (guint i = 1; i < MEMBER_DOMAIN_MAX; i++)
    {
      g_snprintf (id, sizeof id, "n%u", i);
      CU_ASSERT_EQUAL (
          receive (membership, id, make_heartbeat (1, 1, FALSE), &change), 0);
    }
  CU_ASSERT_EQUAL (
      receive (membership, "z", make_heartbeat (1, 1, FALSE), &change),
      ERR_LIMIT);
  member_free (membership);
}

static void
format_name (guint i, char *text, gsize size)
{
  g_snprintf (text, (gulong)size, "kgn-a.chat.%u", i);
}

static const char *
owner_id (const struct membership *membership, guint name, guint rank)
{
  char text[32];
  format_name (name, text, sizeof text);
  const struct member_instance *owner
      = member_owner (membership, str_of (text), rank);
  return owner ? owner->id.s : "";
}

/* Only instances of the own failure domain that are live and not leaving own
   names; each of them has one rank for a name.  */
static void
test_owner_candidates (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 1);
  CU_ASSERT_STRING_EQUAL (owner_id (membership, 1, 0), "a");
  CU_ASSERT_STRING_EQUAL (owner_id (membership, 1, 1), "");
  struct msg_heartbeat remote = make_heartbeat (1, 1, FALSE);
  str_id_set (&remote.domain, STR_LIT ("mbj-a"));
  receive (membership, "far", remote, &change);
  receive (membership, "b", make_heartbeat (1, 1, FALSE), &change);
  receive (membership, "c", make_heartbeat (1, 1, TRUE), &change);
  for (guint i = 0; i < NAMES; i++)
    {
      const char *first = owner_id (membership, i, 0);
      const char *second = owner_id (membership, i, 1);
      CU_ASSERT_TRUE (strcmp (first, "a") == 0 || strcmp (first, "b") == 0);
      CU_ASSERT_TRUE (strcmp (second, "a") == 0 || strcmp (second, "b") == 0);
      CU_ASSERT_STRING_NOT_EQUAL (first, second);
      CU_ASSERT_STRING_EQUAL (owner_id (membership, i, 2), "");
    }
  member_set_leaving (membership, TRUE);
  CU_ASSERT_STRING_EQUAL (owner_id (membership, 1, 0), "b");
  receive (membership, "b", make_heartbeat (1, 2, TRUE), &change);
  CU_ASSERT_STRING_EQUAL (owner_id (membership, 1, 0), "a");
  member_free (membership);
}

/* When an instance is lost, its names move to their second choice and no others
   move. Names are spread evenly.  */
static void
test_owner_moves (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 1);
  receive (membership, "b", make_heartbeat (1, 1, FALSE), &change);
  receive (membership, "c", make_heartbeat (1, 1, FALSE), &change);
  receive (membership, "d", make_heartbeat (1, 1, FALSE), &change);
  char before[NAMES][2][8];
  guint owned = 0;
  for (guint i = 0; i < NAMES; i++)
    for (guint rank = 0; rank < 2; rank++)
      g_strlcpy (before[i][rank], owner_id (membership, i, rank), 8);
  receive (membership, "b", make_heartbeat (1, 2, TRUE), &change);
  for (guint i = 0; i < NAMES; i++)
    {
      gboolean was_lost = strcmp (before[i][0], "b") == 0;
      owned += was_lost;
      CU_ASSERT_STRING_EQUAL (owner_id (membership, i, 0),
                              before[i][was_lost ? 1 : 0]);
    }
  CU_ASSERT_TRUE (owned > NAMES / 8 && owned < NAMES / 2);
  member_free (membership);
}

/* A heartbeat in transit. */
struct in_transit
{
  gint64 due;
  guint from;
  guint to;
  struct msg_heartbeat heartbeat;
};

/* Several instances with one clock and a network with faults drawn from a
   seed.  */
struct cluster
{
  struct clk_fake clk;
  GRand *rand;
  struct membership *membership[NODES]; /* NULL: not running */
  guint64 incarnation[NODES];
  GArray *in_transit_list; /* struct in_transit */
  gboolean faulty;
};

static const char *const ids[NODES] = { "a", "b", "c", "d", "e", "f" };

static void
start (struct cluster *cluster, guint node)
{
  cluster->incarnation[node]++;
  cluster->membership[node] = make_membership (
      &cluster->clk.clk, ids[node], "kgn-a", cluster->incarnation[node]);
}

static void
send_one (struct cluster *cluster, guint from, guint to,
          const struct msg_heartbeat *heartbeat)
{
  guint copies = 1;
  if (cluster->faulty && g_rand_int_range (cluster->rand, 0, 100) < 30)
    /* Lost or duplicated. */
    copies = (guint)g_rand_int_range (cluster->rand, 0, 2) * 2;
  for (guint i = 0; i < copies; i++)
    {
      gint32 delay_ms = cluster->faulty
                            ? g_rand_int_range (cluster->rand, 0, DELAY_MAX_MS)
                            : 1;
      struct in_transit in_transit
          = { cluster->clk.t + delay_ms * CLK_MS, from, to, *heartbeat };
      g_array_append_val (cluster->in_transit_list, in_transit);
    }
}

static void
send_all (struct cluster *cluster, guint from)
{
  struct msg_heartbeat heartbeat;
  member_fill_heartbeat (cluster->membership[from], &heartbeat);
  for (guint to = 0; to < NODES; to++)
    if (to != from)
      send_one (cluster, from, to, &heartbeat);
}

/* Delivers a heartbeat. The receiver must never return to an older
   incarnation.  */
static void
deliver (struct cluster *cluster, const struct in_transit *in_transit)
{
  struct membership *membership = cluster->membership[in_transit->to];
  struct member_change change;
  if (membership == NULL)
    return;
  const struct member_instance *instance
      = member_find (membership, ids[in_transit->from]);
  guint64 before = instance ? instance->incarnation : 0;
  CU_ASSERT_EQUAL (member_heartbeat (membership, ids[in_transit->from],
                                     &in_transit->heartbeat, &change),
                   0);
  instance = member_find (membership, ids[in_transit->from]);
  CU_ASSERT_TRUE (instance->incarnation >= before);
}

/* After a tick, no instance may be live that has been silent for too long.  */
static void
check_not_silent (void *ctx, const struct member_instance *instance)
{
  const struct clk_fake *clk = ctx;
  CU_ASSERT_TRUE (!instance->live
                  || clk->t - instance->last_heard < MEMBER_SUSPECT_US);
}

static void
step (struct cluster *cluster)
{
  cluster->clk.t += STEP_MS * CLK_MS;
  for (guint i = cluster->in_transit_list->len; i-- > 0;)
    {
      struct in_transit in_transit
          = g_array_index (cluster->in_transit_list, struct in_transit, i);
      if (in_transit.due > cluster->clk.t)
        continue;
      g_array_remove_index_fast (cluster->in_transit_list, i);
      deliver (cluster, &in_transit);
    }
  gboolean heartbeat_due = cluster->clk.t % MEMBER_HEARTBEAT_US == 0;
  for (guint i = 0; i < NODES; i++)
    {
      struct member_change change = { 0 };
      if (cluster->membership[i] == NULL)
        continue;
      if (heartbeat_due)
        send_all (cluster, i);
      do
        member_tick (cluster->membership[i], &change);
      while (change.view);
      member_each (cluster->membership[i], check_not_silent, &cluster->clk);
    }
}

static void
change_random_node (struct cluster *cluster)
{
  guint node = (guint)g_rand_int_range (cluster->rand, 0, NODES);
  if (cluster->membership[node] == NULL)
    start (cluster, node);
  else if (g_rand_boolean (cluster->rand))
    g_clear_pointer (&cluster->membership[node], member_free);
  else
    member_set_leaving (cluster->membership[node],
                        g_rand_boolean (cluster->rand));
}

/* Returns whether MEMBERSHIP shows node J in its actual state.  */
static gboolean
matches_node (const struct cluster *cluster,
              const struct membership *membership, guint j)
{
  const struct member_instance *instance = member_find (membership, ids[j]);
  gboolean live = instance != NULL && instance->live;
  if (live != (cluster->membership[j] != NULL))
    return FALSE;
  return !live
         || (instance->incarnation == cluster->incarnation[j]
             && instance->leaving
                    == member_find (cluster->membership[j], ids[j])->leaving);
}

static gboolean
same_owners (const struct membership *a, const struct membership *b)
{
  for (guint name = 0; name < 20; name++)
    if (strcmp (owner_id (a, name, 0), owner_id (b, name, 0)) != 0)
      return FALSE;
  return TRUE;
}

/* Returns whether every running instance sees exactly the running nodes as live
   and determines the same owners; owners differ if all are leaving.  */
static gboolean
converged (const struct cluster *cluster)
{
  const struct membership *reference = NULL;
  for (guint i = 0; i < NODES; i++)
    if (cluster->membership[i] != NULL
        && !member_find (cluster->membership[i], ids[i])->leaving)
      reference = cluster->membership[i];
  for (guint i = 0; i < NODES; i++)
    {
      if (cluster->membership[i] == NULL)
        continue;
      for (guint j = 0; j < NODES; j++)
        if (!matches_node (cluster, cluster->membership[i], j))
          return FALSE;
      if (reference != NULL && !same_owners (reference, cluster->membership[i]))
        return FALSE;
    }
  return TRUE;
}

static gboolean
run_seed (guint32 seed)
{
  struct cluster cluster
      = { .rand = g_rand_new_with_seed (seed), .faulty = TRUE };
  clk_fake_init (&cluster.clk, 0);
  cluster.in_transit_list
      = g_array_new (FALSE, FALSE, sizeof (struct in_transit));
  for (guint i = 0; i < NODES; i++)
    start (&cluster, i);
  for (guint i = 0; i < FAULT_STEPS; i++)
    {
      step (&cluster);
      if (g_rand_int_range (cluster.rand, 0, 10) == 0)
        change_random_node (&cluster);
    }
  cluster.faulty = FALSE;
  gint64 settle_us
      = DELAY_MAX_MS * CLK_MS + MEMBER_SUSPECT_US + MEMBER_HEARTBEAT_US;
  for (gint64 t = 0; t <= settle_us; t += STEP_MS * CLK_MS)
    step (&cluster);
  gboolean ok = converged (&cluster);
  for (guint i = 0; i < NODES; i++)
    member_free (cluster.membership[i]);
  g_array_unref (cluster.in_transit_list);
  g_rand_free (cluster.rand);
  return ok;
}

static void
test_schedules (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    if (!run_seed (seed))
      {
        g_print ("seed %u does not converge\n", seed);
        CU_FAIL ("views differ after the faults stopped");
      }
}

static void
test_dump (void)
{
  struct clk_fake clk;
  clk_fake_init (&clk, 0);
  struct membership *membership = make_membership (&clk.clk, "a", "kgn-a", 1);
  JsonBuilder *json = json_builder_new ();
  member_dump (membership, json);
  JsonNode *root = json_builder_get_root (json);
  JsonObject *self
      = json_array_get_object_element (json_node_get_array (root), 0);
  CU_ASSERT_STRING_EQUAL (json_object_get_string_member (self, "state"),
                          "live");
  json_node_unref (root);
  g_object_unref (json);
  member_free (membership);
}

static CU_TestInfo tests[] = {
  { "an instance joins, leaves, falls silent and is removed",
    test_state_changes },
  { "restarts and duplicate ids are reported", test_incarnations },
  { "a pause of this process is not silence of others", test_pause },
  { "a disconnected instance is marked down soon", test_disconnected },
  { "other failure domains are allowed a longer silence", test_remote_silence },
  { "the heartbeat interval grows with the peers", test_heartbeat_interval },
  { "the instances of a failure domain are limited", test_limit },
  { "owners are live, not leaving and of the domain", test_owner_candidates },
  { "a lost instance's names move, no others", test_owner_moves },
  { "views converge after faults", test_schedules },
  { "the dump has the name of the state", test_dump },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "member", load_chart, free_chart, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
