#include "unit/unit.h"

#include "base/clock.h"
#include "base/err.h"
#include "base/str.h"

#include <string.h>

static void
test_str_id (void)
{
  struct str_id id;
  char longest[STR_ID_MAX + 2];
  memset (longest, 'a', sizeof longest);
  CU_ASSERT_TRUE (str_id_set (&id, (struct str){ longest, STR_ID_MAX }));
  CU_ASSERT_FALSE (str_id_set (&id, (struct str){ longest, STR_ID_MAX + 1 }));
  CU_ASSERT_EQUAL (id.s[0], '\0');
  CU_ASSERT_TRUE (str_id_ok (STR_LIT ("kgn-1.a_b")));
  CU_ASSERT_FALSE (str_id_ok (STR_LIT ("a b")));
  CU_ASSERT_FALSE (str_id_ok (STR_LIT ("")));
}

static void
test_str_hash_differs (void)
{
  CU_ASSERT_NOT_EQUAL (str_hash (STR_LIT ("a"), 0),
                       str_hash (STR_LIT ("b"), 0));
  CU_ASSERT_NOT_EQUAL (str_hash (STR_LIT ("a"), 0),
                       str_hash (STR_LIT ("a"), 1));
}

static void
test_err_has_step_and_peer (void)
{
  struct err err;
  CU_ASSERT_EQUAL (err_set (&err, ERR_TIMEOUT, "wire.read", "kgn-1-a", "%d", 7),
                   ERR_TIMEOUT);
  CU_ASSERT_STRING_EQUAL (err.step, "wire.read");
  CU_ASSERT_STRING_EQUAL (err.peer, "kgn-1-a");
  CU_ASSERT_STRING_EQUAL (err.text, "7");
  CU_ASSERT_STRING_EQUAL (err_name (ERR_TIMEOUT), "TIMEOUT");
}

static void
test_clk_fake_moves_only_when_set (void)
{
  struct clk_fake fake;
  clk_fake_init (&fake, 5);
  CU_ASSERT_EQUAL (clk_now (&fake.clk), 5);
  fake.t += CLK_S;
  CU_ASSERT_EQUAL (clk_now (&fake.clk), CLK_S + 5);
}

static CU_TestInfo tests[] = {
  { "identifiers are limited in length and characters", test_str_id },
  { "hashes differ by text and by seed", test_str_hash_differs },
  { "an error has its step and peer", test_err_has_step_and_peer },
  { "a fake clock advances only when it is set",
    test_clk_fake_moves_only_when_set },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "base", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
