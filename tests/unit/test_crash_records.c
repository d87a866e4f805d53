/* Crashes as they are kept in the store. Guards against instances that forget
   what ends servers when all of them have ended, that believe what the store
   should not have, or that go on trying while nothing can be saved.  */
#include "unit/unit.h"

#include "policy/crash_records.h"

#include <string.h>

#define SETTLED_US (250 * CLK_MS) /* after a crash a trial may begin */
#define WALL_US (1700000000 * CLK_S)
#define ALL 64

static struct counter_set counter_set;
static guint n_saves; /* calls of on_save */

static void
on_save (void *ctx)
{
  (void)ctx;
  n_saves++;
}

static struct suspects *
new_suspects (guint32 seed)
{
  const struct suspects_options options
      = { .seed = seed, .counter_set = &counter_set, .save = on_save };
  n_saves = 0;
  return suspects_new (&options);
}

/* Returns the parts of a request: each letter of TEXT is a part of its prompt,
   those of KEYS are its fingerprints.  */
static struct prompt_parts
request_of (const char *text, const char *keys)
{
  struct prompt_parts parts = { .n = 0 };
  for (; *text != '\0'; text++)
    parts.keys[parts.n++] = prompt_part_key ((struct str){ text, 1 });
  for (; *keys != '\0'; keys++)
    parts.keys[parts.n++]
        = prompt_part_request_key (str_hash ((struct str){ keys, 1 }, 7));
  return parts;
}

static enum suspects_verdict
check (struct suspects *suspects, const char *text, const char *keys,
       gint64 now)
{
  const struct prompt_parts parts = request_of (text, keys);
  suspects_check (suspects, &parts, 0, now);
  return suspects_check (suspects, &parts, 0, now + SETTLED_US);
}

static void
crash (struct suspects *suspects, const char *text, const char *keys,
       guint64 server, gint64 now)
{
  const struct prompt_parts parts = request_of (text, keys);
  struct suspects_attempt attempt = { .server = 0 };
  suspects_begin (suspects, &attempt, &parts, server, now);
  CU_ASSERT_TRUE (suspects_broke (suspects, &attempt, SUSPECTS_PLAIN, now));
  suspects_server_checked (suspects, server, SUSPECTS_SERVER_ENDED, now);
}

static void
complete (struct suspects *suspects, const char *text, const char *keys,
          gint64 now)
{
  const struct prompt_parts parts = request_of (text, keys);
  struct suspects_attempt attempt = { .server = 0 };
  suspects_begin (suspects, &attempt, &parts, 99, now);
  suspects_completed (suspects, &attempt, now);
}

/* Writes what SUSPECTS knows, and tells it that this is saved.  */
static GBytes *
save (struct suspects *suspects)
{
  struct crash_records_written written;
  GBytes *text = crash_records_write (suspects, WALL_US, ALL, &written);
  crash_records_saved (suspects, written.through);
  return text;
}

static int
load (struct suspects *suspects, GBytes *text, gint64 wall_offset, gint64 now)
{
  gsize n;
  const char *bytes = g_bytes_get_data (text, &n);
  return crash_records_load (suspects, (struct str){ bytes, n }, wall_offset,
                             now);
}

/* A request that was held is held by an instance that starts, until its next
   trial is due, and those that share nothing with it are free.  */
static void
test_restart (void)
{
  struct suspects *before = new_suspects (1);
  struct suspects *after = new_suspects (2);
  for (guint i = 1; i <= 3; i++)
    crash (before, "a", "r", i, i * CLK_S);
  CU_ASSERT_EQUAL (check (before, "a", "r", 4 * CLK_S), SUSPECTS_HELD);
  GBytes *text = save (before);
  CU_ASSERT_EQUAL (load (after, text, WALL_US + 3 * CLK_S, 2 * CLK_S), 3);
  CU_ASSERT_EQUAL (check (after, "a", "r", 2 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_EQUAL (check (after, "b", "s", 2 * CLK_S), SUSPECTS_FREE);
  CU_ASSERT_FALSE (crash_records_are_due (after, TRUE, 10 * CLK_S));
  g_bytes_unref (text);
  suspects_free (before);
  suspects_free (after);
}

/* However often all end, and whenever: what was found out before counts.  */
static void
test_losses_between_crashes (void)
{
  GBytes *text = NULL;
  for (guint i = 1; i <= 4; i++)
    {
      struct suspects *suspects = new_suspects (i);
      if (text != NULL)
        CU_ASSERT_EQUAL (load (suspects, text, WALL_US, i * CLK_S), (int)i - 1);
      if (i == 4)
        CU_ASSERT_EQUAL (check (suspects, "", "r", i * CLK_S), SUSPECTS_HELD)
      else
        {
          CU_ASSERT_NOT_EQUAL (check (suspects, "", "r", i * CLK_S),
                               SUSPECTS_HELD);
          crash (suspects, "", "r", i, i * CLK_S + SETTLED_US);
        }
      if (text != NULL)
        g_bytes_unref (text);
      text = save (suspects);
      suspects_free (suspects);
    }
  g_bytes_unref (text);
}

/* The next trial waits until the crash before it is saved.  */
static void
test_trial_waits (void)
{
  struct suspects *suspects = new_suspects (1);
  crash (suspects, "", "r", 1, CLK_S);
  CU_ASSERT_FALSE (crash_records_are_due (suspects, FALSE, CLK_S));
  CU_ASSERT_EQUAL (check (suspects, "", "r", 2 * CLK_S), SUSPECTS_WAIT);
  CU_ASSERT_EQUAL (n_saves, 1);
  CU_ASSERT_TRUE (crash_records_are_due (suspects, FALSE, 2 * CLK_S));
  CU_ASSERT_EQUAL (check (suspects, "", "s", 2 * CLK_S), SUSPECTS_FREE);
  g_bytes_unref (save (suspects));
  CU_ASSERT_EQUAL (check (suspects, "", "r", 3 * CLK_S), SUSPECTS_TRIAL);
  CU_ASSERT_FALSE (crash_records_are_due (suspects, TRUE, 9 * CLK_S));
  suspects_free (suspects);
}

/* While nothing can be saved, the request is rejected at once; after a time it
   is tried all the same, as it may be sound.  */
static void
test_store_away (void)
{
  struct suspects *suspects = new_suspects (1);
  crash (suspects, "", "r", 1, CLK_S);
  crash_records_set_failing (suspects, TRUE);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 2 * CLK_S), SUSPECTS_UNSAVED);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 20 * CLK_S), SUSPECTS_UNSAVED);
  CU_ASSERT_EQUAL (check (suspects, "", "s", 20 * CLK_S), SUSPECTS_FREE);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 21 * CLK_S), SUSPECTS_TRIAL);
  suspects_free (suspects);
}

/* Further crashes of a series are saved at once by who has seen them, and what
   nobody saves by the responsible instance.  */
static void
test_who_saves (void)
{
  struct suspects *seer = new_suspects (1);
  struct suspects *other = new_suspects (2);
  const struct suspects_crash *crashes[ALL];
  guint64 through;
  crash (seer, "", "r", 1, CLK_S);
  CU_ASSERT_FALSE (crash_records_are_due (seer, FALSE, 9 * CLK_S));
  crash (seer, "", "r", 2, 2 * CLK_S);
  CU_ASSERT_EQUAL (n_saves, 1);
  CU_ASSERT_TRUE (crash_records_are_due (seer, FALSE, 2 * CLK_S));
  guint n
      = suspects_changes_since (seer, 0, TRUE, crashes, ALL, 1000, &through);
  for (guint i = 0; i < n; i++)
    suspects_merge (other, crashes[i]);
  CU_ASSERT_FALSE (crash_records_are_due (other, FALSE, 9 * CLK_S));
  CU_ASSERT_FALSE (crash_records_are_due (other, TRUE, CLK_S + CLK_S / 2));
  CU_ASSERT_TRUE (crash_records_are_due (other, TRUE, 3 * CLK_S));
  suspects_free (seer);
  suspects_free (other);
}

/* A service that was mended is not refused after a restart: what a sound
   response has cleared is saved as cleared.  */
static void
test_cleared (void)
{
  struct suspects *before = new_suspects (1);
  struct suspects *after = new_suspects (2);
  for (guint i = 1; i <= 3; i++)
    crash (before, "", "r", i, i * CLK_S);
  g_bytes_unref (save (before));
  CU_ASSERT_FALSE (crash_records_are_due (before, TRUE, 9 * CLK_S));
  complete (before, "", "r", 70 * CLK_S);
  CU_ASSERT_TRUE (crash_records_are_due (before, TRUE, 70 * CLK_S));
  GBytes *text = save (before);
  load (after, text, WALL_US, 71 * CLK_S);
  CU_ASSERT_EQUAL (check (after, "", "r", 71 * CLK_S), SUSPECTS_FREE);
  g_bytes_unref (text);
  suspects_free (before);
  suspects_free (after);
}

/* What is known here and what the store has are joined; a save is due for what
   the store lacks.  */
static void
test_join (void)
{
  struct suspects *one = new_suspects (1);
  struct suspects *two = new_suspects (2);
  crash (one, "", "r", 1, CLK_S);
  crash (one, "", "r", 2, 2 * CLK_S);
  GBytes *text = save (one);
  crash (two, "", "s", 3, CLK_S);
  crash (two, "", "s", 4, 2 * CLK_S);
  load (two, text, WALL_US, 3 * CLK_S);
  CU_ASSERT_TRUE (crash_records_are_due (two, FALSE, 3 * CLK_S));
  g_bytes_unref (text);
  text = save (two);
  CU_ASSERT_EQUAL (load (one, text, WALL_US, 4 * CLK_S), 4);
  CU_ASSERT_FALSE (crash_records_are_due (one, TRUE, 9 * CLK_S));
  complete (one, "", "s", 5 * CLK_S);
  CU_ASSERT_TRUE (crash_records_are_due (one, TRUE, 9 * CLK_S));
  g_bytes_unref (text);
  suspects_free (one);
  suspects_free (two);
}

/* A store that has gone back to an older copy gets all of it again.  */
static void
test_older_copy (void)
{
  struct suspects *suspects = new_suspects (1);
  crash (suspects, "", "r", 1, CLK_S);
  crash (suspects, "", "r", 2, 2 * CLK_S);
  g_bytes_unref (save (suspects));
  CU_ASSERT_FALSE (crash_records_are_due (suspects, TRUE, 4 * CLK_S));
  crash_records_lost (suspects);
  CU_ASSERT_TRUE (crash_records_are_due (suspects, TRUE, 4 * CLK_S));
  suspects_free (suspects);
}

/* Old entries count for nothing, whenever they were left, and a time that has
   not come holds no request for longer than others.  */
static void
test_times (void)
{
  struct suspects *before = new_suspects (1);
  struct suspects *late = new_suspects (2);
  struct suspects *ahead = new_suspects (3);
  for (guint i = 1; i <= 3; i++)
    crash (before, "", "r", i, i * CLK_S);
  GBytes *text = save (before);
  load (late, text, WALL_US, 900 * CLK_S);
  CU_ASSERT_EQUAL (check (late, "", "r", 900 * CLK_S), SUSPECTS_FREE);
  load (ahead, text, WALL_US - 3600 * CLK_S, 10 * CLK_S);
  CU_ASSERT_EQUAL (check (ahead, "", "r", 10 * CLK_S), SUSPECTS_HELD);
  suspects_expire (ahead, 900 * CLK_S);
  CU_ASSERT_EQUAL (check (ahead, "", "r", 900 * CLK_S), SUSPECTS_FREE);
  g_bytes_unref (text);
  suspects_free (before);
  suspects_free (late);
  suspects_free (ahead);
}

/* Requests wait until what was saved is loaded, but not for long.  */
static void
test_wait_for_load (void)
{
  const struct suspects_options options = { .seed = 1,
                                            .counter_set = &counter_set,
                                            .save = on_save,
                                            .load_until = 2 * CLK_S };
  struct suspects *suspects = suspects_new (&options);
  const struct prompt_parts parts = request_of ("", "r");
  CU_ASSERT_EQUAL (suspects_check (suspects, &parts, 0, CLK_S), SUSPECTS_WAIT);
  CU_ASSERT_EQUAL (suspects_check (suspects, &parts, 0, 2 * CLK_S),
                   SUSPECTS_FREE);
  crash_records_loaded (suspects);
  CU_ASSERT_EQUAL (suspects_check (suspects, &parts, 0, CLK_S), SUSPECTS_FREE);
  suspects_free (suspects);
}

/* Other writers may have left anything.  */
static void
test_spoiled (void)
{
  static const struct
  {
    const char *text;
    int lines; /* < 0: an error */
  } texts[] = {
    { "", -1 },
    { "crashes", -1 },
    { "crashes 2\n1 2 3 4:5\n", -1 },
    { "crashes 1", 0 },
    { "crashes 1\n\n\n", 0 },
    { "crashes 1\n1 2 1700000000000\n", 0 },
    { "crashes 1\n0 2 1700000000000 8:6\n", 0 },
    { "crashes 1\nx 2 1700000000000 8:6\n", 0 },
    { "crashes 1\n1 2 -5 8:6\n", 0 },
    { "crashes 1\n1 2 99999999999999999999 8:6\n", 0 },
    { "crashes 1\n1 2 1700000000000 8:256\n", 0 },
    { "crashes 1\n1 2 1700000000000 8:\n", 0 },
    { "crashes 1\n1 2 1700000000000 8:-1\n", 0 },
    { "crashes 1\n1 2 1700000000000 8:6x\n", 0 },
    { "crashes 1\n1 2 1700000000000 8:6 9\n", 0 },
    { "crashes 1\n1 2 1700000000000 8:6\n1 2 1700000000000 8:6c\n", 2 },
    { "crashes 1\n1 2 1700000000000 8:6 9:0c", 1 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct suspects *suspects = new_suspects (1);
      int n = crash_records_load (suspects, str_of (texts[i].text), WALL_US,
                                  CLK_S);
      if (n != texts[i].lines && !(n < 0 && texts[i].lines < 0))
        g_print ("text %u: %d lines\n", i, n);
      CU_ASSERT_TRUE (n == texts[i].lines || (n < 0 && texts[i].lines < 0));
      suspects_free (suspects);
    }
}

/* Random bytes, and sound text with random bytes in it, do no harm; many lines
   take no more room than the crashes of a fleet.  */
static void
test_random (void)
{
  static const char sound[] = "crashes 1\n1f 2a 1700000000000 8:6 9:2c\n";
  GRand *rand = g_rand_new_with_seed (48);
  for (guint i = 0; i < 20000; i++)
    {
      struct suspects *suspects = new_suspects (1);
      char text[sizeof sound];
      memcpy (text, sound, sizeof sound);
      for (gint32 n = g_rand_int_range (rand, 1, 6); n > 0; n--)
        text[g_rand_int_range (rand, 0, (gint32)sizeof sound - 1)]
            = (char)g_rand_int_range (rand, 0, 256);
      crash_records_load (suspects, (struct str){ text, sizeof sound - 1 },
                          WALL_US, CLK_S);
      suspects_free (suspects);
    }
  GString *many = g_string_new ("crashes 1\n");
  for (guint i = 1; i < 5000; i++)
    g_string_append_printf (many, "%x %x 1700000000000 %x:6\n", i, i, 2 * i);
  struct suspects *suspects = new_suspects (1);
  CU_ASSERT_EQUAL (crash_records_load (suspects,
                                       (struct str){ many->str, many->len },
                                       WALL_US, CLK_S),
                   64);
  suspects_free (suspects);
  g_string_free (many, TRUE);
  g_rand_free (rand);
}

/* What is stored tells nothing of the request, and room for less than all goes
   to what is suspected most.  */
static void
test_room (void)
{
  struct suspects *suspects = new_suspects (1);
  struct suspects *after = new_suspects (2);
  struct crash_records_written written;
  for (guint i = 0; i < 20; i++)
    {
      char key[] = { (char)('A' + i), '\0' };
      crash (suspects, "", key, 100 + i, CLK_S);
    }
  for (guint i = 1; i <= 3; i++)
    crash (suspects, "", "r", i, i * CLK_S);
  GBytes *text = crash_records_write (suspects, WALL_US, 2, &written);
  CU_ASSERT_EQUAL (written.n, 2);
  CU_ASSERT_EQUAL (load (after, text, WALL_US, 4 * CLK_S), 2);
  CU_ASSERT_EQUAL (check (after, "", "r", 4 * CLK_S), SUSPECTS_HELD);
  g_bytes_unref (text);
  suspects_free (suspects);
  suspects_free (after);
}

static CU_TestInfo tests[] = {
  { "an instance that starts", test_restart },
  { "all end between two crashes", test_losses_between_crashes },
  { "a trial waits for the save", test_trial_waits },
  { "nothing can be saved", test_store_away },
  { "who saves", test_who_saves },
  { "cleared parts", test_cleared },
  { "two writers", test_join },
  { "a store that comes back from an older copy", test_older_copy },
  { "old entries and clocks", test_times },
  { "requests before the load", test_wait_for_load },
  { "text of other writers", test_spoiled },
  { "random text", test_random },
  { "room for few", test_room },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "crash_records", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
