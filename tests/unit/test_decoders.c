/* Damaged input from the store and from peers must not end the process, which
   would end each instance that gets it. Mutates the corpus of the fuzz target;
   JW_SECONDS=N goes on for so long, JW_SEED=N begins elsewhere. Of use mostly
   under AddressSanitizer (make sanitize).  */
#include "fuzz/fuzz_decoders.h"
#include "unit/unit.h"

#include <stdlib.h>
#include <string.h>

#define CORPUS JW_SOURCE_DIR "/platform/corpus"
#define MUTANTS 20000 /* of the whole corpus */

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
load_corpus (void)
{
  GPtrArray *corpus
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GDir *dir = g_dir_open (CORPUS, 0, NULL);
  const char *name;
  CU_ASSERT_PTR_NOT_NULL_FATAL (dir);
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  while ((name = g_dir_read_name (dir)) != NULL)
    g_ptr_array_add (names, g_strdup (name));
  g_dir_close (dir);
  g_ptr_array_sort (names, by_name);
  for (guint i = 0; i < names->len; i++)
    {
      g_autofree char *path = g_build_filename (CORPUS, names->pdata[i], NULL);
      char *bytes;
      gsize n;
      CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &bytes, &n, NULL));
      g_ptr_array_add (corpus, g_bytes_new_take (bytes, n));
    }
  g_ptr_array_unref (names);
  return corpus;
}

/* Changes a few bytes of TEXT, repeats or drops a part of it, or cuts it off;
   the first byte stays.  */
static void
mutate (GByteArray *text, GRand *rand)
{
  static const guint8 tokens[] = "{}[]\",:\\0e-\x00\x7f\x80\xc1\xff\xdf\xdd";
  for (guint left = 1 + g_rand_int (rand) % 4; left > 0 && text->len > 2;
       left--)
    {
      guint at = (guint)g_rand_int_range (rand, 1, (gint)text->len);
      guint drawn = 1 + g_rand_int (rand) % 24;
      guint n = MIN (text->len - at, drawn);
      switch (g_rand_int (rand) % 5)
        {
        case 0:
          text->data[at] = (guint8)g_rand_int (rand);
          break;
        case 1:
          text->data[at] = tokens[g_rand_int (rand) % (sizeof tokens - 1)];
          break;
        case 2:
          g_byte_array_remove_range (text, at, n);
          break;
        case 3:
          {
            g_autofree guint8 *copy = g_memdup2 (text->data + at, n);
            g_byte_array_append (text, copy, n);
            break;
          }
        default:
          g_byte_array_set_size (text, at + 1);
          break;
        }
    }
}

/* Calls the decoders with a copy of exactly the size, so that a read beyond its
   end is found.  */
static void
decode (const guint8 *bytes, gsize n)
{
  g_autofree guint8 *copy = g_memdup2 (bytes, n);
  LLVMFuzzerTestOneInput (copy, n);
}

static void
test_mutants (void)
{
  const char *seconds = g_getenv ("JW_SECONDS");
  const char *seed = g_getenv ("JW_SEED");
  GRand *rand = g_rand_new_with_seed (
      seed != NULL ? (guint32)strtoul (seed, NULL, 10) : 42);
  gint64 end = g_get_monotonic_time ()
               + (seconds != NULL ? atol (seconds) * G_USEC_PER_SEC : 0);
  GPtrArray *corpus = load_corpus ();
  guint mutants = 0;
  CU_ASSERT_TRUE_FATAL (corpus->len > 0);
  guint n_inputs = MAX (corpus->len, 1);
  for (guint i = 0; i < corpus->len; i++)
    {
      gsize n;
      const guint8 *bytes = g_bytes_get_data (corpus->pdata[i], &n);
      decode (bytes, n);
    }
  for (; mutants < MUTANTS || g_get_monotonic_time () < end; mutants++)
    {
      gsize n;
      const guint8 *bytes
          = g_bytes_get_data (corpus->pdata[mutants % n_inputs], &n);
      GByteArray *text = g_byte_array_new ();
      g_byte_array_append (text, bytes, (guint)n);
      mutate (text, rand);
      decode (text->data, text->len);
      g_byte_array_unref (text);
    }
  g_print ("%u mutants of %u inputs\n", mutants, corpus->len);
  g_ptr_array_unref (corpus);
  g_rand_free (rand);
}

static CU_TestInfo tests[] = {
  { "damaged input", test_mutants },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "decoders", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
