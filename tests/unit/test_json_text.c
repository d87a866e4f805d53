/* JSON texts from outside. The library recurses, so deeply nested arrays in a
   client's request, a server's response or the store would end the process.  */
#include "unit/unit.h"

#include "base/json_text.h"

#include <string.h>

static gboolean
loads (const char *text)
{
  JsonParser *parser = json_parser_new_immutable ();
  gboolean ok = json_text_load (parser, str_of (text));
  g_object_unref (parser);
  return ok;
}

/* Returns N arrays inside each other, with TEXT in the middle.  */
static char *
nest (guint n, const char *text)
{
  g_autofree char *open = g_strnfill (n, '[');
  g_autofree char *close = g_strnfill (n, ']');
  return g_strconcat (open, text, close, NULL);
}

static void
test_load (void)
{
  static const char *const valid[]
      = { "{}", " [1, 2]", "\"a]\"", "7", "{\"a\":\"\\\"[[\"}\n" };
  static const char *const invalid[]
      = { "", " ", "{", "]", ",", "[1,2", "\"a", "{}}", "{} {}", "nothing" };
  for (guint i = 0; i < G_N_ELEMENTS (valid); i++)
    CU_ASSERT_TRUE (loads (valid[i]));
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    CU_ASSERT_FALSE (loads (invalid[i]));
}

static void
test_depth (void)
{
  static const struct
  {
    guint n;
    gboolean ok;
  } cases[] = { { JSON_TEXT_DEPTH_MAX, TRUE },
                { JSON_TEXT_DEPTH_MAX + 1, FALSE },
                { 1000000, FALSE } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = nest (cases[i].n, "");
      CU_ASSERT_EQUAL (loads (text), cases[i].ok);
      text[strlen (text) / 2] = '\0'; /* nothing closes */
      CU_ASSERT_FALSE (loads (text));
      g_free (text);
    }
  char *quoted = nest (JSON_TEXT_DEPTH_MAX, "\"[[[[\"");
  CU_ASSERT_TRUE (loads (quoted));
  g_free (quoted);
}

static void
test_parts (void)
{
  struct str object = STR_LIT (
      "{ \"a\" : {\"b\":[1,{\"items\":7}]} ,\"items\":[ {\"x\":\"]\"} , 2,"
      "[[[}]] ,\"\\\"\" ] , \"last\": true }");
  struct str value;
  struct str element;
  CU_ASSERT_FALSE (json_text_member (object, "b", &value));
  CU_ASSERT_TRUE_FATAL (json_text_member (object, "last", &value));
  CU_ASSERT_TRUE (str_eq (value, STR_LIT ("true")));
  CU_ASSERT_TRUE_FATAL (json_text_member (object, "items", &value));
  static const char *const elements[]
      = { "{\"x\":\"]\"}", "2", "[[[}]]", "\"\\\"\"" };
  for (guint i = 0; i < G_N_ELEMENTS (elements); i++)
    {
      CU_ASSERT_TRUE_FATAL (json_text_next_element (&value, &element));
      CU_ASSERT_TRUE (str_eq (element, str_of (elements[i])));
    }
  CU_ASSERT_FALSE (json_text_next_element (&value, &element));
  CU_ASSERT_TRUE (str_eq (value, STR_LIT ("]")));
}

/* Corrupted texts: no crash, and each call makes progress.  */
static void
test_corruption (void)
{
  static const char text[]
      = "{\"items\":[{\"metadata\":{\"name\":\"i-1\"},\"spec\":{\"a\":[1,2]}},"
        "{\"metadata\":{\"name\":\"\\\"\"}}],\"is_last\":true,\"at\":9}";
  static const char bytes[] = "{}[]\",:\\ \t0a\xff";
  GRand *rand = g_rand_new_with_seed (42);
  for (guint i = 0; i < 50000; i++)
    {
      char copy[sizeof text];
      struct str value;
      struct str element;
      memcpy (copy, text, sizeof text);
      for (guint k = 0; k < 1 + i % 5; k++)
        copy[g_rand_int_range (rand, 0, sizeof text - 1)]
            = bytes[g_rand_int_range (rand, 0, sizeof bytes - 1)];
      struct str corrupted
          = { copy, (gsize)g_rand_int_range (rand, 0, sizeof text) };
      guint n = 0;
      if (json_text_member (corrupted, "items", &value))
        while (json_text_next_element (&value, &element))
          CU_ASSERT_TRUE_FATAL (n++ < sizeof text);
      loads (copy);
    }
  g_rand_free (rand);
}

static CU_TestInfo tests[] = {
  { "valid and invalid texts", test_load },
  { "nesting", test_depth },
  { "members and elements", test_parts },
  { "corrupted texts", test_corruption },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "json text", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
