/* Fingerprints of requests. If two requests are taken for one, a sound one is
   rejected for the other; if a repeat is not recognized, it ends one server
   more.  */
#include "unit/unit.h"

#include "policy/request_fingerprint.h"
#include "policy/prompt_parts.h"

#include <string.h>

static const struct fingerprint_input plain = { .caller = { "key-1", 5 },
                                                .method = { "POST", 4 },
                                                .target = { "/a/b", 4 },
                                                .body = { "body", 4 } };

/* Returns the narrowest fingerprint of INPUT, which has N.  */
static guint64
narrowest (const struct fingerprint_input *input, guint n)
{
  guint64 keys[FINGERPRINTS_MAX];
  CU_ASSERT_EQUAL (fingerprint_request (input, keys), n);
  for (guint i = 0; i < n; i++)
    CU_ASSERT_TRUE (prompt_part_is_request (keys[i]));
  return keys[n - 1];
}

static void
test_same (void)
{
  struct fingerprint_input copy = plain;
  char body[] = "body";
  copy.body.p = body;
  CU_ASSERT_EQUAL (narrowest (&plain, 1), narrowest (&copy, 1));
  CU_ASSERT_EQUAL (narrowest (&plain, 1) & 1, 1);
  CU_ASSERT_FALSE (prompt_part_is_request (prompt_part_key (STR_LIT ("p"))));
}

/* One byte differs, or stands in another field.  */
static void
test_different (void)
{
  struct fingerprint_input inputs[] = { plain, plain, plain, plain, plain };
  struct fingerprint_input moved = { .caller = plain.caller,
                                     .method = plain.method,
                                     .target = { "/a/bb", 5 },
                                     .body = { "ody", 3 } };
  guint64 seen[7];
  guint n = 0;
  inputs[0].caller = STR_LIT ("key-2");
  inputs[1].method = STR_LIT ("PUT");
  inputs[2].target = STR_LIT ("/a/c");
  inputs[3].body = STR_LIT ("bodY");
  inputs[4].body = (struct str){ NULL, 0 };
  seen[n++] = narrowest (&plain, 1);
  seen[n++] = narrowest (&moved, 1);
  for (guint i = 0; i < G_N_ELEMENTS (inputs); i++)
    seen[n++] = narrowest (&inputs[i], 1);
  for (guint i = 0; i < n; i++)
    for (guint j = 0; j < i; j++)
      CU_ASSERT_NOT_EQUAL (seen[i], seen[j]);
}

/* A query or the parts of a prompt make a request narrower than path, caller
   and body; the broad fingerprint stays the same.  */
static void
test_query (void)
{
  struct fingerprint_input a = plain;
  struct fingerprint_input b = plain;
  struct fingerprint_input c = plain;
  guint64 keys[3][FINGERPRINTS_MAX];
  a.target = STR_LIT ("/a/b?x=1");
  b.target = STR_LIT ("/a/b?x=2");
  c.prompt = STR_LIT ("p1:20,own:3");
  CU_ASSERT_EQUAL_FATAL (fingerprint_request (&a, keys[0]), 2);
  CU_ASSERT_EQUAL_FATAL (fingerprint_request (&b, keys[1]), 2);
  CU_ASSERT_EQUAL_FATAL (fingerprint_request (&c, keys[2]), 2);
  CU_ASSERT_EQUAL (keys[0][0], keys[1][0]);
  CU_ASSERT_EQUAL (keys[0][0], keys[2][0]);
  CU_ASSERT_EQUAL (keys[0][0], narrowest (&plain, 1));
  CU_ASSERT_NOT_EQUAL (keys[0][1], keys[1][1]);
  CU_ASSERT_NOT_EQUAL (keys[0][1], keys[2][1]);
}

static CU_TestInfo tests[] = {
  { "a request that is sent again", test_same },
  { "one byte differs", test_different },
  { "a query and a prompt", test_query },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "request fingerprint", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
