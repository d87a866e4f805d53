/* Changes from one text to the next, which instances send each other instead of
   a whole configuration: a wrong text would route requests wrongly, a long one
   fills the links.  */
#include "unit/unit.h"

#include "transfer/text_delta.h"

#include <string.h>

#define ROUTES 4000
#define TEXT_MAX (8 * 1024 * 1024)
#define GROWTH 1400
#define SMALL_DELTA 400 /* bytes, for one changed route */

/* Returns the text of a configuration with N routes, of which the one numbered
   CHANGED has another time-out.  */
static GBytes *
config_text (guint version, guint n, guint changed)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"spec\":{\"version\":%u,\"routes\":[",
                          version);
  for (guint i = 0; i < n; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r%u\",\"host\":\"a.example\",\"prefix\":\"/r%u/\","
        "\"service\":\"s\",\"timeout\":%u}",
        i > 0 ? "," : "", i, i, i == changed ? 4000 : 3000);
  g_string_append (text, "]}}");
  return g_string_free_to_bytes (text);
}

static struct str
text_of (GBytes *bytes)
{
  gsize n;
  const char *p = g_bytes_get_data (bytes, &n);
  return (struct str){ p, n };
}

/* Changes BASE to TEXT and checks the result. Returns the length of the
   changes.  */
static gsize
check_change (GBytes *base, GBytes *text)
{
  struct err err = { 0 };
  GBytes *delta = text_delta_encode (text_of (base), text_of (text));
  CU_ASSERT_PTR_NOT_NULL_FATAL (delta);
  GBytes *result
      = text_delta_apply (text_of (base), text_of (delta), TEXT_MAX, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (result);
  CU_ASSERT_TRUE (g_bytes_equal (result, text));
  gsize n = g_bytes_get_size (delta);
  g_bytes_unref (result);
  g_bytes_unref (delta);
  return n;
}

static void
test_changes (void)
{
  GBytes *base = config_text (1, ROUTES, ROUTES);
  GBytes *idle = config_text (2, ROUTES, ROUTES);
  GBytes *timeout = config_text (3, ROUTES, ROUTES / 2);
  GBytes *grown = config_text (4, ROUTES + GROWTH, ROUTES);
  CU_ASSERT_TRUE (check_change (base, idle) < SMALL_DELTA);
  CU_ASSERT_TRUE (check_change (base, timeout) < SMALL_DELTA);
  CU_ASSERT_TRUE (check_change (grown, base) < SMALL_DELTA);
  CU_ASSERT_TRUE (check_change (base, grown) * 4
                  < g_bytes_get_size (grown) - g_bytes_get_size (base));
  CU_ASSERT_TRUE (check_change (base, base) < SMALL_DELTA);
  g_bytes_unref (base);
  g_bytes_unref (idle);
  g_bytes_unref (timeout);
  g_bytes_unref (grown);
}

/* Texts without a structure, of any length.  */
static void
test_random_texts (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  for (guint round = 0; round < 300; round++)
    {
      GByteArray *texts[2] = { g_byte_array_new (), g_byte_array_new () };
      for (guint i = 0; i < 2; i++)
        for (gint n = g_rand_int_range (rand, 0, 9000); n > 0; n--)
          {
            guint8 byte = (guint8) "ab}"[g_rand_int_range (rand, 0, 3)];
            g_byte_array_append (texts[i], &byte, 1);
          }
      GBytes *base = g_byte_array_free_to_bytes (texts[0]);
      GBytes *text = g_byte_array_free_to_bytes (texts[1]);
      check_change (base, text);
      g_bytes_unref (base);
      g_bytes_unref (text);
    }
  g_rand_free (rand);
}

/* Damaged changes, and changes to another text, are refused.  */
static void
test_damaged (void)
{
  GRand *rand = g_rand_new_with_seed (2);
  GBytes *base = config_text (1, 50, 50);
  GBytes *text = config_text (2, 60, 7);
  GBytes *delta = text_delta_encode (text_of (base), text_of (text));
  struct str whole = text_of (delta);
  struct err err = { 0 };
  CU_ASSERT_PTR_NULL (text_delta_apply (text_of (text), whole, TEXT_MAX, &err));
  CU_ASSERT_EQUAL (err.code, ERR_PROTOCOL);
  CU_ASSERT_PTR_NULL (text_delta_apply (text_of (base), whole, 100, &err));
  for (guint round = 0; round < 3000; round++)
    {
      g_autofree char *copy = g_memdup2 (whole.p, whole.n);
      gsize n = whole.n;
      if (round % 3 == 0)
        n = (gsize)g_rand_int_range (rand, 0, (gint)n);
      for (guint i = 0; n > 0 && i < 1 + round % 4; i++)
        copy[g_rand_int_range (rand, 0, (gint)n)]
            = (char)g_rand_int_range (rand, 0, 256);
      GBytes *result = text_delta_apply (
          text_of (base), (struct str){ copy, n }, TEXT_MAX, &err);
      CU_ASSERT_TRUE (result == NULL || g_bytes_equal (result, text));
      g_clear_pointer (&result, g_bytes_unref);
    }
  g_bytes_unref (base);
  g_bytes_unref (text);
  g_bytes_unref (delta);
  g_rand_free (rand);
}

/* The history goes back a few texts, and keeps what it was given.  */
static void
test_history (void)
{
  struct text_history *history = text_history_new ();
  struct err err = { 0 };
  guint64 digests[20];
  GBytes *texts[20];
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      texts[i] = config_text (i + 1, 100, i);
      text_history_add (history, texts[i]);
      digests[i] = text_history_digest (history);
    }
  CU_ASSERT_PTR_NULL (text_history_delta (history, digests[0]));
  GBytes *delta = text_history_delta (history, digests[18]);
  CU_ASSERT_PTR_NOT_NULL_FATAL (delta);
  CU_ASSERT_PTR_EQUAL (text_history_delta (history, digests[18]), delta);
  GBytes *result
      = text_delta_apply (text_of (texts[18]), text_of (delta), TEXT_MAX, &err);
  CU_ASSERT_TRUE (result != NULL && g_bytes_equal (result, texts[19]));
  g_clear_pointer (&result, g_bytes_unref);
  text_history_note_delta (history, digests[17], texts[0]);
  CU_ASSERT_PTR_EQUAL (text_history_delta (history, digests[17]), texts[0]);
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    g_bytes_unref (texts[i]);
  text_history_free (history);
}

static CU_TestInfo tests[] = {
  { "changes of a configuration", test_changes },
  { "random texts", test_random_texts },
  { "damaged changes", test_damaged },
  { "the history of texts", test_history },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "text_delta", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
