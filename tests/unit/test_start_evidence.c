/* When an answer of the store proves that a configuration is the newest. Guards
   against an instance that accepts a key that was taken away, because it starts
   while the store comes back from a copy that still has the key.  */
#include "unit/unit.h"

#include "fleet/start_evidence.h"

#define NEW 9 /* took the key away */
#define OLD 7
#define START (100 * CLK_S)

/* Returns the version that counts as proved at NOW; 0: none.  */
static guint64
proved (struct start_evidence *evidence, gint64 now)
{
  guint64 version;
  gint64 requested_at;
  return start_evidence_take (evidence, now, &version, &requested_at) ? version
                                                                      : 0;
}

/* The store answers first, with the older copy, then a peer is heard that knows
   the newer version.  */
static void
test_older_copy (void)
{
  struct start_evidence evidence;
  start_evidence_init (&evidence, TRUE, START);
  start_evidence_of_store (&evidence, OLD, START);
  CU_ASSERT_EQUAL (proved (&evidence, START + 5 * CLK_MS), 0);
  start_evidence_of_peer (&evidence, NEW, 800 * CLK_MS, START + 60 * CLK_MS);
  CU_ASSERT_EQUAL (proved (&evidence, START + 60 * CLK_MS), 0);
  CU_ASSERT_EQUAL (proved (&evidence, START + CLK_S), 0);
  start_evidence_of_store (&evidence, OLD, START + 2 * CLK_S);
  start_evidence_of_peer (&evidence, NEW, 800 * CLK_MS, START + 2 * CLK_S);
  CU_ASSERT_EQUAL (proved (&evidence, START + 4 * CLK_S), 0);
  start_evidence_of_store (&evidence, NEW, START + 5 * CLK_S);
  CU_ASSERT_EQUAL (proved (&evidence, START + 5 * CLK_S), NEW);
}

/* Another instance that has just started knows no more.  */
static void
test_peers_that_start (void)
{
  struct start_evidence evidence;
  start_evidence_init (&evidence, TRUE, START);
  start_evidence_of_store (&evidence, OLD, START);
  start_evidence_of_peer (&evidence, 0, -1, START + 10 * CLK_MS);
  start_evidence_of_peer (&evidence, OLD, -1, START + 20 * CLK_MS);
  CU_ASSERT_EQUAL (proved (&evidence, START + 20 * CLK_MS), 0);
  start_evidence_of_peer (&evidence, NEW, CLK_S, START + 90 * CLK_MS);
  CU_ASSERT_EQUAL (proved (&evidence, START + 400 * CLK_MS), 0);
}

/* A peer that has the same version proved, or an older one, ends the wait.  */
static void
test_peer_agrees (void)
{
  struct start_evidence evidence;
  start_evidence_init (&evidence, TRUE, START);
  start_evidence_of_store (&evidence, NEW, START);
  start_evidence_of_peer (&evidence, NEW, 10 * CLK_S, START + 30 * CLK_MS);
  CU_ASSERT_EQUAL (proved (&evidence, START + 30 * CLK_MS), 0);
  start_evidence_of_peer (&evidence, OLD, CLK_S, START + 40 * CLK_MS);
  CU_ASSERT_EQUAL (proved (&evidence, START + 40 * CLK_MS), NEW);
  CU_ASSERT_EQUAL (proved (&evidence, START + 50 * CLK_MS), 0); /* once */
  start_evidence_of_store (&evidence, NEW, START + CLK_S);
  CU_ASSERT_EQUAL (proved (&evidence, START + CLK_S), NEW);
}

/* All have started at once, or there is no other: the store is all there is. */
static void
test_alone (void)
{
  struct start_evidence evidence;
  guint64 version;
  gint64 requested_at;
  start_evidence_init (&evidence, TRUE, START);
  start_evidence_of_store (&evidence, NEW, START + CLK_MS);
  CU_ASSERT_FALSE (start_evidence_take (&evidence, START + 299 * CLK_MS,
                                        &version, &requested_at));
  CU_ASSERT_TRUE (start_evidence_take (&evidence, START + 300 * CLK_MS,
                                       &version, &requested_at));
  CU_ASSERT_EQUAL (version, NEW);
  CU_ASSERT_EQUAL (requested_at, START + CLK_MS);
  start_evidence_init (&evidence, FALSE, START);
  start_evidence_of_store (&evidence, NEW, START);
  CU_ASSERT_EQUAL (proved (&evidence, START + CLK_MS), NEW);
}

/* A damaged word of a version that does not exist ends.  */
static void
test_damaged_word (void)
{
  struct start_evidence evidence;
  start_evidence_init (&evidence, TRUE, START);
  start_evidence_of_peer (&evidence, NEW, CLK_S, START);
  start_evidence_of_peer (&evidence, 1000000, CLK_S, START + CLK_S);
  start_evidence_of_peer (&evidence, NEW, CLK_S, START + 2 * CLK_S);
  start_evidence_of_store (&evidence, NEW, START + 2 * CLK_S);
  CU_ASSERT_EQUAL (proved (&evidence, START + 2 * CLK_S), 0);
  CU_ASSERT_EQUAL (proved (&evidence, START + 4 * CLK_S), NEW);
}

static CU_TestInfo tests[] = {
  { "a store that is back from an older copy", test_older_copy },
  { "peers that start as well", test_peers_that_start },
  { "a peer that agrees", test_peer_agrees },
  { "no peer that runs", test_alone },
  { "a damaged word", test_damaged_word },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "start evidence", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
