#include "unit/unit.h"

#include "member/membership.h"

#include <string.h>

#define NODES 6
#define SEEDS 300
#define DELAY_MAX_MS 900 /* of a heartbeat while faults last */
#define FAULT_STEPS 200  /* of STEP_MS */
#define STEP_MS 100
#define NAMES 500

static struct chr *chart;

static int
load_chart (void)
{
  return member_chart_load (JW_SOURCE_DIR "/charts", &chart, NULL);
}

static int
free_chart (void)
{
  chr_free (chart);
  return 0;
}

static struct membership *
make (const struct clk *clk, const char *id, const char *domain,
      guint64 incarnation)
{
  struct member_options options = { .clk = clk, .chart = chart };
  str_id_set (&options.self.id, str_of (id));
  str_id_set (&options.self.domain, str_of (domain));
  options.self.incarnation = incarnation;
  return member_new (&options);
}

static struct msg_heartbeat
beat (guint64 incarnation, guint64 sequence, gboolean leaving)
{
  return (struct msg_heartbeat){ .incarnation = incarnation,
                                 .sequence = sequence,
                                 .domain = { "kgn-a" },
                                 .leaving = leaving };
}

static int
hear (struct membership *membership, const char *from,
      struct msg_heartbeat heartbeat, struct member_change *change)
{
  return member_heartbeat (membership, from, &heartbeat, change);
}

/* Lets US pass with ticks on the way; CHANGE is that of the last tick.  */
static void
pass (struct membership *membership, struct clk_fake *clk, gint64 us,
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
test_life (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 1);
  CU_ASSERT_TRUE (member_find (membership, "a")->live);
  CU_ASSERT_EQUAL (hear (membership, "b", beat (5, 1, FALSE), &change), 0);
  CU_ASSERT_TRUE (change.view);
  hear (membership, "b", beat (5, 2, FALSE), &change);
  CU_ASSERT_FALSE (change.view);
  hear (membership, "b", beat (5, 3, TRUE), &change);
  CU_ASSERT_TRUE (change.view);
  CU_ASSERT_EQUAL (member_find (membership, "b")->state, MEMBER_LEAVING);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "");
  pass (membership, &clk, MEMBER_SUSPECT_US - 1, &change);
  CU_ASSERT_FALSE (change.view);
  pass (membership, &clk, 1, &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "b");
  CU_ASSERT_EQUAL (member_find (membership, "b")->state, MEMBER_DOWN);
  hear (membership, "b", beat (5, 3, FALSE),
        &change); /* a repeat changes nothing */
  CU_ASSERT_FALSE (member_find (membership, "b")->live);
  pass (membership, &clk, MEMBER_FORGET_US, &change);
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
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 7);
  hear (membership, "b", beat (5, 9, FALSE), &change);
  hear (membership, "b", beat (4, 10, TRUE), &change);
  CU_ASSERT_EQUAL (member_find (membership, "b")->sequence, 9);
  CU_ASSERT_EQUAL (member_find (membership, "b")->state, MEMBER_LIVE);
  hear (membership, "b", beat (6, 1, FALSE), &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "b");
  CU_ASSERT_TRUE (change.view);
  CU_ASSERT_TRUE (member_find (membership, "b")->live);
  CU_ASSERT_EQUAL (hear (membership, "a", beat (7, 3, FALSE), &change), 0);
  CU_ASSERT_EQUAL (hear (membership, "a", beat (8, 1, FALSE), &change),
                   ERR_CONFLICT);
  CU_ASSERT_EQUAL (hear (membership, "", beat (8, 1, FALSE), &change),
                   ERR_INVALID);
  member_free (membership);
}

/* Whoever wakes from a pause holds none of the others for lost, unless they
   stay silent.  */
static void
test_pause (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 1);
  hear (membership, "b", beat (1, 1, FALSE), &change);
  hear (membership, "c", beat (1, 1, FALSE), &change);
  pass (membership, &clk, MEMBER_SUSPECT_US / 2, &change);
  clk.t += 2 * MEMBER_SUSPECT_US;
  member_tick (membership, &change);
  CU_ASSERT_FALSE (change.view);
  hear (membership, "b", beat (1, 2, FALSE), &change);
  CU_ASSERT_FALSE (change.view);
  pass (membership, &clk, MEMBER_SUSPECT_US / 2 - 1, &change);
  CU_ASSERT_FALSE (change.view);
  pass (membership, &clk, 1, &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "c");
  CU_ASSERT_TRUE (member_find (membership, "b")->live);
  member_free (membership);
}

/* A peer without a connection is down soon, one that comes back is not.  */
static void
test_disconnected (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 1);
  hear (membership, "b", beat (1, 1, FALSE), &change);
  hear (membership, "c", beat (1, 1, FALSE), &change);
  member_disconnected (membership, "a");
  member_disconnected (membership, "b");
  member_disconnected (membership, "c");
  member_disconnected (membership, "unknown");
  pass (membership, &clk, MEMBER_RECONNECT_US - 1, &change);
  CU_ASSERT_FALSE (change.view);
  hear (membership, "b", beat (1, 2, FALSE), &change);
  pass (membership, &clk, 1, &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "c");
  pass (membership, &clk, MEMBER_SUSPECT_US - 2, &change);
  CU_ASSERT_FALSE (change.view);
  CU_ASSERT_TRUE (member_find (membership, "a")->live);
  member_free (membership);
}

/* Other failure domains' instances are given longer.  */
static void
test_far_silence (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make (&clk.clk, "a", "mbj-a", 1);
  hear (membership, "b", beat (1, 1, FALSE), &change);
  pass (membership, &clk, MEMBER_REMOTE_SUSPECT_US - 1, &change);
  CU_ASSERT_FALSE (change.view);
  CU_ASSERT_EQUAL (member_live_count (membership), 1);
  pass (membership, &clk, 1, &change);
  CU_ASSERT_STRING_EQUAL (change.lost.s, "b");
  member_free (membership);
}

/* At the size of a large failure domain heartbeats are rarer and silence is
   borne longer, but never so rare that a small view takes it for silence.  */
static void
test_interval_grows (void)
{
  struct clk_fake clk;
  struct member_change change;
  char id[16];
  clk_fake_init (&clk, 0);
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 1);
  CU_ASSERT_EQUAL (member_heartbeat_interval (membership, FALSE),
                   MEMBER_HEARTBEAT_US);
  for (guint i = 1; i <= 30; i++)
    {
      g_snprintf (id, sizeof id, "n%u", i);
      hear (membership, id, beat (1, 1, FALSE), &change);
    }
  gint64 interval = member_heartbeat_interval (membership, FALSE);
  CU_ASSERT_EQUAL (interval, 30 * MEMBER_HEARTBEAT_PER_PEER_US);
  CU_ASSERT_EQUAL (member_heartbeat_interval (membership, TRUE),
                   MEMBER_REMOTE_HEARTBEAT_US);
  pass (membership, &clk, MEMBER_SUSPECT_INTERVALS * interval - 1, &change);
  CU_ASSERT_FALSE (change.view);
  pass (membership, &clk, 1, &change);
  CU_ASSERT_TRUE (change.view);
  for (guint i = 31; i <= 60; i++)
    {
      g_snprintf (id, sizeof id, "n%u", i);
      hear (membership, id, beat (1, 1, FALSE), &change);
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
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 1);
  for (guint i = 1; i < MEMBER_DOMAIN_MAX; i++)
    {
      g_snprintf (id, sizeof id, "n%u", i);
      CU_ASSERT_EQUAL (hear (membership, id, beat (1, 1, FALSE), &change), 0);
    }
  CU_ASSERT_EQUAL (hear (membership, "z", beat (1, 1, FALSE), &change),
                   ERR_LIMIT);
  member_free (membership);
}

static void
name_of (guint i, char *text, gsize size)
{
  g_snprintf (text, (gulong)size, "kgn-a.chat.%u", i);
}

static const char *
owner_id (const struct membership *membership, guint name, guint rank)
{
  char text[32];
  name_of (name, text, sizeof text);
  const struct member_instance *owner
      = member_owner (membership, str_of (text), rank);
  return owner ? owner->id.s : "";
}

/* Only live, not leaving instances of the own failure domain own names; the
   ranks name each of them once.  */
static void
test_owner_candidates (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 1);
  CU_ASSERT_STRING_EQUAL (owner_id (membership, 1, 0), "a");
  CU_ASSERT_STRING_EQUAL (owner_id (membership, 1, 1), "");
  struct msg_heartbeat far = beat (1, 1, FALSE);
  str_id_set (&far.domain, STR_LIT ("mbj-a"));
  hear (membership, "far", far, &change);
  hear (membership, "b", beat (1, 1, FALSE), &change);
  hear (membership, "c", beat (1, 1, TRUE), &change);
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
  hear (membership, "b", beat (1, 2, TRUE), &change);
  CU_ASSERT_STRING_EQUAL (owner_id (membership, 1, 0), "a");
  member_free (membership);
}

/* The loss of an instance moves its names, and only these, to their second
   choice; the shares are near even.  */
static void
test_owner_moves (void)
{
  struct clk_fake clk;
  struct member_change change;
  clk_fake_init (&clk, 0);
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 1);
  hear (membership, "b", beat (1, 1, FALSE), &change);
  hear (membership, "c", beat (1, 1, FALSE), &change);
  hear (membership, "d", beat (1, 1, FALSE), &change);
  char before[NAMES][2][8];
  guint owned = 0;
  for (guint i = 0; i < NAMES; i++)
    for (guint rank = 0; rank < 2; rank++)
      g_strlcpy (before[i][rank], owner_id (membership, i, rank), 8);
  hear (membership, "b", beat (1, 2, TRUE), &change);
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

/* A heartbeat on its way. */
struct flight
{
  gint64 due;
  guint from;
  guint to;
  struct msg_heartbeat heartbeat;
};

/* Several cores, one clock, and a network that a seed makes faulty. */
struct fleet
{
  struct clk_fake clk;
  GRand *rand;
  struct membership *membership[NODES]; /* NULL: down */
  guint64 incarnation[NODES];
  GArray *flights; /* struct flight */
  gboolean faulty;
};

static const char *const ids[NODES] = { "a", "b", "c", "d", "e", "f" };

static void
start (struct fleet *fleet, guint node)
{
  fleet->incarnation[node]++;
  fleet->membership[node]
      = make (&fleet->clk.clk, ids[node], "kgn-a", fleet->incarnation[node]);
}

static void
send_one (struct fleet *fleet, guint from, guint to,
          const struct msg_heartbeat *heartbeat)
{
  guint copies = 1;
  if (fleet->faulty && g_rand_int_range (fleet->rand, 0, 100) < 30)
    copies = (guint)g_rand_int_range (fleet->rand, 0, 2) * 2; /* 0 or 2 */
  for (guint i = 0; i < copies; i++)
    {
      gint32 delay_ms
          = fleet->faulty ? g_rand_int_range (fleet->rand, 0, DELAY_MAX_MS) : 1;
      struct flight flight
          = { fleet->clk.t + delay_ms * CLK_MS, from, to, *heartbeat };
      g_array_append_val (fleet->flights, flight);
    }
}

static void
send_all (struct fleet *fleet, guint from)
{
  struct msg_heartbeat heartbeat;
  member_fill_heartbeat (fleet->membership[from], &heartbeat);
  for (guint to = 0; to < NODES; to++)
    if (to != from)
      send_one (fleet, from, to, &heartbeat);
}

/* The view never goes back to an older incarnation.  */
static void
deliver (struct fleet *fleet, const struct flight *flight)
{
  struct membership *membership = fleet->membership[flight->to];
  struct member_change change;
  if (membership == NULL)
    return;
  const struct member_instance *known
      = member_find (membership, ids[flight->from]);
  guint64 before = known ? known->incarnation : 0;
  CU_ASSERT_EQUAL (member_heartbeat (membership, ids[flight->from],
                                     &flight->heartbeat, &change),
                   0);
  known = member_find (membership, ids[flight->from]);
  CU_ASSERT_TRUE (known->incarnation >= before);
}

/* After a tick nobody who is silent for too long is live.  */
static void
check_not_silent (void *ctx, const struct member_instance *instance)
{
  const struct clk_fake *clk = ctx;
  CU_ASSERT_TRUE (!instance->live
                  || clk->t - instance->heard < MEMBER_SUSPECT_US);
}

static void
step (struct fleet *fleet)
{
  fleet->clk.t += STEP_MS * CLK_MS;
  for (guint i = fleet->flights->len; i-- > 0;)
    {
      struct flight flight = g_array_index (fleet->flights, struct flight, i);
      if (flight.due > fleet->clk.t)
        continue;
      g_array_remove_index_fast (fleet->flights, i);
      deliver (fleet, &flight);
    }
  gboolean beat_due = fleet->clk.t % MEMBER_HEARTBEAT_US == 0;
  for (guint i = 0; i < NODES; i++)
    {
      struct member_change change = { 0 };
      if (fleet->membership[i] == NULL)
        continue;
      if (beat_due)
        send_all (fleet, i);
      do
        member_tick (fleet->membership[i], &change);
      while (change.view);
      member_each (fleet->membership[i], check_not_silent, &fleet->clk);
    }
}

static void
restart_some (struct fleet *fleet)
{
  guint node = (guint)g_rand_int_range (fleet->rand, 0, NODES);
  if (fleet->membership[node] == NULL)
    start (fleet, node);
  else if (g_rand_boolean (fleet->rand))
    g_clear_pointer (&fleet->membership[node], member_free);
  else
    member_set_leaving (fleet->membership[node], g_rand_boolean (fleet->rand));
}

/* Tells whether MEM shows node J as it is.  */
static gboolean
shows (const struct fleet *fleet, const struct membership *membership, guint j)
{
  const struct member_instance *at = member_find (membership, ids[j]);
  gboolean live = at != NULL && at->live;
  if (live != (fleet->membership[j] != NULL))
    return FALSE;
  return !live
         || (at->incarnation == fleet->incarnation[j]
             && at->leaving
                    == member_find (fleet->membership[j], ids[j])->leaving);
}

static gboolean
same_owners (const struct membership *a, const struct membership *b)
{
  for (guint name = 0; name < 20; name++)
    if (strcmp (owner_id (a, name, 0), owner_id (b, name, 0)) != 0)
      return FALSE;
  return TRUE;
}

/* Every running view holds the same live set, that of the running nodes, and
   the same owners, unless all are leaving.  */
static gboolean
converged (const struct fleet *fleet)
{
  const struct membership *staying = NULL;
  for (guint i = 0; i < NODES; i++)
    if (fleet->membership[i] != NULL
        && !member_find (fleet->membership[i], ids[i])->leaving)
      staying = fleet->membership[i];
  for (guint i = 0; i < NODES; i++)
    {
      if (fleet->membership[i] == NULL)
        continue;
      for (guint j = 0; j < NODES; j++)
        if (!shows (fleet, fleet->membership[i], j))
          return FALSE;
      if (staying != NULL && !same_owners (staying, fleet->membership[i]))
        return FALSE;
    }
  return TRUE;
}

static gboolean
run_seed (guint32 seed)
{
  struct fleet fleet = { .rand = g_rand_new_with_seed (seed), .faulty = TRUE };
  clk_fake_init (&fleet.clk, 0);
  fleet.flights = g_array_new (FALSE, FALSE, sizeof (struct flight));
  for (guint i = 0; i < NODES; i++)
    start (&fleet, i);
  for (guint i = 0; i < FAULT_STEPS; i++)
    {
      step (&fleet);
      if (g_rand_int_range (fleet.rand, 0, 10) == 0)
        restart_some (&fleet);
    }
  fleet.faulty = FALSE;
  gint64 quiet
      = DELAY_MAX_MS * CLK_MS + MEMBER_SUSPECT_US + MEMBER_HEARTBEAT_US;
  for (gint64 t = 0; t <= quiet; t += STEP_MS * CLK_MS)
    step (&fleet);
  gboolean ok = converged (&fleet);
  for (guint i = 0; i < NODES; i++)
    member_free (fleet.membership[i]);
  g_array_unref (fleet.flights);
  g_rand_free (fleet.rand);
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
  struct membership *membership = make (&clk.clk, "a", "kgn-a", 1);
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
  { "an instance comes, leaves, falls silent and is forgotten", test_life },
  { "restarts and own-id conflicts are told", test_incarnations },
  { "a pause of the own process is no silence of others", test_pause },
  { "a disconnected instance is down soon", test_disconnected },
  { "other failure domains are given longer", test_far_silence },
  { "heartbeats are rarer among many", test_interval_grows },
  { "a failure domain's instances are bounded", test_limit },
  { "owners are live, staying and of the domain", test_owner_candidates },
  { "a loss moves only the lost one's names", test_owner_moves },
  { "views converge after faults", test_schedules },
  { "the dump shows the state's name", test_dump },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "member", load_chart, free_chart, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
