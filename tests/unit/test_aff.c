#include "unit/unit.h"

#include "policy/prefix_affinity.h"

static void
test_holders (void)
{
  struct aff *aff = aff_new (10);
  aff_note (aff, 7, 0, 0);
  aff_note (aff, 7, 63, 0);
  CU_ASSERT_EQUAL (aff_holders (aff, 7, 1), 1 | G_GUINT64_CONSTANT (1) << 63);
  aff_drop (aff, 7, 0);
  CU_ASSERT_EQUAL (aff_holders (aff, 7, 1), G_GUINT64_CONSTANT (1) << 63);
  aff_drop_slot (aff, 63);
  CU_ASSERT_EQUAL (aff_holders (aff, 7, 1), 0);
  CU_ASSERT_EQUAL (aff_size (aff), 0);
  aff_free (aff);
}

static void
test_bound (void)
{
  struct aff *aff = aff_new (10);
  for (guint64 p = 1; p <= 11; p++)
    {
      aff_note (aff, p, 1, 0);
      aff_note (aff, 1, 1, 0);
    }
  CU_ASSERT_EQUAL (aff_size (aff), 10);
  CU_ASSERT_EQUAL (aff_holders (aff, 1, 0), 2);
  CU_ASSERT_EQUAL (aff_holders (aff, 2, 0), 0);
  aff_free (aff);
}

static void
test_age (void)
{
  struct aff *aff = aff_new (10);
  aff_note (aff, 1, 1, 0);
  CU_ASSERT_EQUAL (aff_holders (aff, 1, AFF_HOLD_US), 0);
  aff_note (aff, 1, 2, AFF_HOLD_US);
  CU_ASSERT_EQUAL (aff_holders (aff, 1, AFF_HOLD_US), 4);
  aff_free (aff);
}

static CU_TestInfo tests[] = {
  { "holders are noted and dropped", test_holders },
  { "the least recently noted goes first", test_bound },
  { "old hints are worthless", test_age },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "aff", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
