/* Requests at a brittle server, of all instances together. Instances that each
   find out for themselves how much room it has would make it fall by turning
   them away.  */
#include "policy/brittle_share.h"
#include "unit/unit.h"

#include "base/hash.h"

#define MAX_INSTANCES 295
#define DOMAINS 3
#define STEP_US (5 * CLK_MS)
#define NEWS_US (50 * CLK_MS)        /* until all know of a rejection */
#define REJECTIONS 3                 /* a second that the server bears */
#define SERVERS 12                   /* of a service */
#define FALLS_MAX (2 + SERVERS / 10) /* the users' rule */
#define SLOTS 16
#define USED_MIN 0.6 /* of the room */

static struct
{
  guint n;
  struct limit_member members[MAX_INSTANCES];
  struct brittle_share shares[MAX_INSTANCES];
  guint own[MAX_INSTANCES]; /* requests in progress */
  guint in_progress;
  guint known_in_progress; /* some time ago */
  guint slots;
  gint64 now;
  GRand *rand;
  GArray *rejected_at; /* of gint64 */
  guint most;          /* rejections within a second */
  guint64 served;
  gint64 told_at; /* clock time at which all are told of a rejection; 0: none */
  guint told_room; /* as its instance has it */
  gint64 told_of;
} world;

static void
start (guint n, guint32 seed)
{
  memset (&world, 0, sizeof world);
  world.n = n;
  world.now = CLK_S;
  world.slots = SLOTS;
  world.rand = g_rand_new_with_seed (seed);
  world.rejected_at = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < n; i++)
    world.members[i] = (struct limit_member){ .hash = hash_mix_bits (i + 1),
                                              .domain_key = i % DOMAINS };
}

static void
stop (void)
{
  g_rand_free (world.rand);
  g_array_unref (world.rejected_at);
}

static gint64
wait_of (guint i)
{
  static const struct limit_domains domains = { .keys = { 0, 1, 2 }, .n = 3 };
  const struct limit_members members
      = { world.members, world.n, world.members[i].hash, 1 };
  const struct brittle_query query = { .limit = { .server_key = 7,
                                                  .domain_key = 0,
                                                  .domains = &domains,
                                                  .members = &members },
                                       .slots = world.slots,
                                       .rejections_per_s = REJECTIONS,
                                       .in_progress = world.known_in_progress,
                                       .own_in_progress = world.own[i],
                                       .now = world.now };
  return brittle_share_wait (&world.shares[i], &query);
}

static void
reject (guint i)
{
  g_array_append_val (world.rejected_at, world.now);
  guint n = 0;
  for (guint k = world.rejected_at->len; k-- > 0;)
    n += world.now - g_array_index (world.rejected_at, gint64, k) < CLK_S;
  world.most = MAX (world.most, n);
  brittle_share_full (&world.shares[i], world.known_in_progress + 1, world.now);
  world.told_at = world.now + NEWS_US;
  world.told_room = world.shares[i].room;
  world.told_of = world.now;
}

static void
tell_all (void)
{
  if (world.told_at == 0 || world.now < world.told_at)
    return;
  for (guint i = 0; i < world.n; i++)
    if (world.shares[i].full_at < world.told_of)
      brittle_share_full (&world.shares[i], world.told_room + 1, world.told_of);
    else
      brittle_share_lower (&world.shares[i], world.told_room);
  world.told_at = 0;
}

/* Runs the instances for US before a server with ROOM whose requests take
   SERVICE_US. DEMAND is the probability that an instance has a request at a
   step.  */
static void
run (gint64 us, guint room, gint64 service_us, double demand)
{
  for (gint64 end = world.now + us; world.now < end; world.now += STEP_US)
    {
      tell_all ();
      if (world.now % (100 * CLK_MS) < STEP_US)
        world.known_in_progress = world.in_progress;
      for (guint k = 0; k < world.n; k++)
        {
          guint i = (guint)((k + world.now / STEP_US) % world.n);
          for (guint own = world.own[i]; own > 0; own--)
            if (g_rand_double (world.rand) < (double)STEP_US / service_us)
              {
                world.own[i]--;
                world.in_progress--;
              }
          if (g_rand_double (world.rand) >= demand || wait_of (i) > 0)
            continue;
          if (world.in_progress >= room)
            {
              reject (i);
              continue;
            }
          world.own[i]++;
          world.in_progress++;
          world.served++;
        }
    }
}

/* Each place belongs to one instance.  */
static void
test_places (void)
{
  static const guint sizes[] = { 1, 7, 60, 295 };
  for (guint k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      guint places = 0;
      start (sizes[k], 1);
      for (guint i = 0; i < world.n; i++)
        {
          wait_of (i);
          for (guint bit = 0; bit < SLOTS / 2; bit++)
            places += world.shares[i].own >> bit & 1;
        }
      CU_ASSERT_EQUAL (places, SLOTS / 2);
      stop ();
    }
}

/* The room shrinks while more is wanted than fits.  */
static void
check_shrinks (guint n, guint room, gint64 service_us)
{
  guint falls = 0;
  guint64 served = 0;
  for (guint32 server = 1; server <= SERVERS; server++)
    {
      start (n, server);
      run (4 * CLK_S, SLOTS, service_us, 0.5);
      CU_ASSERT_EQUAL (world.rejected_at->len, 0);
      world.served = 0;
      run (30 * CLK_S, room, service_us, 0.5);
      falls += world.most > REJECTIONS;
      served += world.served;
      stop ();
    }
  double used
      = (double)served * (double)service_us / (30.0 * CLK_S * SERVERS * room);
  g_print ("%u instances, room %u: %u of %u fall, %.2f used; ", n, room, falls,
           SERVERS, used);
  CU_ASSERT_TRUE (falls <= FALLS_MAX);
  CU_ASSERT_TRUE (used > USED_MIN);
}

static void
test_shrinks (void)
{
  static const guint sizes[] = { 7, 60, 295 };
  for (guint k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      check_shrinks (sizes[k], 6, 330 * CLK_MS);
      check_shrinks (sizes[k], 3, 330 * CLK_MS);
      check_shrinks (sizes[k], 12, 2 * CLK_S);
    }
}

/* A server that takes as many as it has slots is used, after a while.  */
static void
test_grows (void)
{
  start (7, 1);
  run (20 * CLK_S, SLOTS, 330 * CLK_MS, 0.5);
  CU_ASSERT_EQUAL (world.rejected_at->len, 0);
  CU_ASSERT_TRUE (world.in_progress >= SLOTS - 3);
  stop ();
}

/* A server of many slots is used after about the same time.  */
static void
test_grows_large (void)
{
  start (7, 1);
  world.slots = 12 * SLOTS;
  run (30 * CLK_S, world.slots, 330 * CLK_MS, 0.9);
  CU_ASSERT_EQUAL (world.rejected_at->len, 0);
  CU_ASSERT_TRUE (world.shares[0].room > 11 * SLOTS);
  stop ();
}

/* Without demand the room does not grow: a later burst would find out that it
   is not there.  */
static void
test_unused (void)
{
  start (7, 1);
  run (60 * CLK_S, SLOTS, 330 * CLK_MS, 0.01);
  for (guint i = 0; i < 7; i++)
    CU_ASSERT_TRUE (world.shares[i].room <= SLOTS / 2 + 2);
  stop ();
}

/* After an unexpected rejection the server is left alone, and its places open
   one after the other.  */
static void
test_pause (void)
{
  start (1, 1);
  CU_ASSERT_EQUAL (wait_of (0), 0);
  brittle_share_full (&world.shares[0], 7, world.now);
  CU_ASSERT_EQUAL (world.shares[0].room, 6);
  CU_ASSERT_EQUAL (wait_of (0), CLK_S);
  world.now += CLK_S;
  world.own[0] = 1;
  CU_ASSERT_TRUE (wait_of (0) > 0);
  world.now += 60 * CLK_MS;
  CU_ASSERT_EQUAL (wait_of (0), 0);
  world.own[0] = 6;
  world.now += CLK_S;
  CU_ASSERT_TRUE (wait_of (0) > 0);
  /* An older rejection, told late. */
  brittle_share_full (&world.shares[0], 3, world.now - 3 * CLK_S);
  CU_ASSERT_EQUAL (world.shares[0].room, 6);
  stop ();
}

static CU_TestInfo tests[] = {
  { "places", test_places },
  { "the room shrinks", test_shrinks },
  { "the room grows", test_grows },
  { "a large room grows", test_grows_large },
  { "the room is not used", test_unused },
  { "a pause after a rejection", test_pause },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "brittle_share", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
