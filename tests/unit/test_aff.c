#include "unit/unit.h"

#include "policy/prefix_affinity.h"

static void
test_add_and_remove (void)
{
  struct prefix_affinity *prefix_affinity = affinity_new (10);
  affinity_add (prefix_affinity, 7, 0, 0);
  affinity_add (prefix_affinity, 7, 63, 0);
  CU_ASSERT_EQUAL (affinity_cached_slots (prefix_affinity, 7, 1),
                   1 | G_GUINT64_CONSTANT (1) << 63);
  affinity_remove (prefix_affinity, 7, 0);
  CU_ASSERT_EQUAL (affinity_cached_slots (prefix_affinity, 7, 1),
                   G_GUINT64_CONSTANT (1) << 63);
  affinity_remove_slot (prefix_affinity, 63);
  CU_ASSERT_EQUAL (affinity_cached_slots (prefix_affinity, 7, 1), 0);
  CU_ASSERT_EQUAL (affinity_size (prefix_affinity), 0);
  affinity_free (prefix_affinity);
}

static void
test_capacity (void)
{
  struct prefix_affinity *prefix_affinity = affinity_new (10);
  for (guint64 p = 1; p <= 11; p++)
    {
      affinity_add (prefix_affinity, p, 1, 0);
      affinity_add (prefix_affinity, 1, 1, 0);
    }
  CU_ASSERT_EQUAL (affinity_size (prefix_affinity), 10);
  CU_ASSERT_EQUAL (affinity_cached_slots (prefix_affinity, 1, 0), 2);
  CU_ASSERT_EQUAL (affinity_cached_slots (prefix_affinity, 2, 0), 0);
  affinity_free (prefix_affinity);
}

static void
test_expiry (void)
{
  struct prefix_affinity *prefix_affinity = affinity_new (10);
  affinity_add (prefix_affinity, 1, 1, 0);
  CU_ASSERT_EQUAL (
      affinity_cached_slots (prefix_affinity, 1, AFFINITY_MAX_AGE_US), 0);
  affinity_add (prefix_affinity, 1, 2, AFFINITY_MAX_AGE_US);
  CU_ASSERT_EQUAL (
      affinity_cached_slots (prefix_affinity, 1, AFFINITY_MAX_AGE_US), 4);
  affinity_free (prefix_affinity);
}

static CU_TestInfo tests[] = {
  { "slots are added and removed", test_add_and_remove },
  { "the least recently updated prefix is evicted", test_capacity },
  { "hints expire", test_expiry },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "prefix_affinity", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
