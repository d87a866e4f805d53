/* Requests that crash servers, told apart by their fingerprints. If a crash is
   charged to what a sound request shares with the deadly one, or forgotten
   because a check came too early, the wrong requests are rejected.  */
#include "unit/unit.h"

#include "policy/crash_suspects.h"

#define SETTLED_US (250 * CLK_MS) /* after a crash a trial may begin */

static struct counter_set counter_set;

static struct suspects *
new_suspects (void)
{
  const struct suspects_options options
      = { .seed = 1, .counter_set = &counter_set };
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

/* Sends a request to SERVER, which breaks it off.  */
static void
break_off (struct suspects *suspects, const char *text, const char *keys,
           guint64 server, enum suspects_evidence evidence, gint64 now)
{
  const struct prompt_parts parts = request_of (text, keys);
  struct suspects_attempt attempt = { .server = 0 };
  suspects_begin (suspects, &attempt, &parts, server, now);
  if (evidence == SUSPECTS_BEGUN)
    suspects_wrote (suspects, &attempt, now);
  CU_ASSERT_TRUE (suspects_broke (suspects, &attempt, evidence, now));
}

static void
crash (struct suspects *suspects, const char *text, const char *keys,
       guint64 server, enum suspects_evidence evidence, gint64 now)
{
  break_off (suspects, text, keys, server, evidence, now);
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

static void
test_third_crash (void)
{
  struct suspects *suspects = new_suspects ();
  for (guint i = 1; i <= 3; i++)
    {
      CU_ASSERT_NOT_EQUAL (check (suspects, "", "r", i * CLK_S), SUSPECTS_HELD);
      crash (suspects, "", "r", i, SUSPECTS_PLAIN, i * CLK_S);
    }
  CU_ASSERT_EQUAL (check (suspects, "", "r", 4 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_EQUAL (check (suspects, "", "s", 4 * CLK_S), SUSPECTS_FREE);
  suspects_free (suspects);
}

/* With others on the server each time, whose repeats are served.  */
static void
test_beside_others (void)
{
  struct suspects *suspects = new_suspects ();
  for (guint i = 1; i <= 3; i++)
    {
      break_off (suspects, "", "r", i, SUSPECTS_PLAIN, i * CLK_S);
      break_off (suspects, "", "s", i, SUSPECTS_PLAIN, i * CLK_S);
      crash (suspects, "", "t", i, SUSPECTS_PLAIN, i * CLK_S);
      complete (suspects, "", "s", i * CLK_S + 1);
      complete (suspects, "", "t", i * CLK_S + 1);
    }
  CU_ASSERT_EQUAL (check (suspects, "", "r", 4 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_EQUAL (check (suspects, "", "s", 4 * CLK_S), SUSPECTS_FREE);
  suspects_free (suspects);
}

/* Events of a stream clear the parts of its prompt, and not the request: it may
   end its server later.  */
static void
test_stream (void)
{
  struct suspects *suspects = new_suspects ();
  for (guint i = 1; i <= 3; i++)
    crash (suspects, "a", "r", i, SUSPECTS_BEGUN, i * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "a", "r", 4 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_EQUAL (check (suspects, "a", "s", 4 * CLK_S), SUSPECTS_FREE);
  suspects_free (suspects);
}

static void
test_response_clears (void)
{
  struct suspects *suspects = new_suspects ();
  crash (suspects, "", "r", 1, SUSPECTS_PLAIN, CLK_S);
  crash (suspects, "", "r", 2, SUSPECTS_PLAIN, 2 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 3 * CLK_S), SUSPECTS_TRIAL);
  complete (suspects, "", "r", 3 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 6 * CLK_S), SUSPECTS_FREE);
  suspects_free (suspects);
}

/* The narrowest explanation that holds for all crashes is blamed: the request
   with its query, or without if the queries differ; a part of the prompt if the
   requests do.  */
static void
test_narrowest (void)
{
  struct suspects *suspects = new_suspects ();
  for (guint i = 1; i <= 3; i++)
    crash (suspects, "a", "rx", i, SUSPECTS_HEAD, i * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "a", "rx", 4 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_NOT_EQUAL (check (suspects, "a", "ry", 4 * CLK_S), SUSPECTS_HELD);
  suspects_free (suspects);
  suspects = new_suspects ();
  crash (suspects, "", "rx", 1, SUSPECTS_PLAIN, CLK_S);
  crash (suspects, "", "ry", 2, SUSPECTS_PLAIN, 2 * CLK_S);
  crash (suspects, "", "rz", 3, SUSPECTS_PLAIN, 3 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "", "rw", 4 * CLK_S), SUSPECTS_HELD);
  suspects_free (suspects);
  suspects = new_suspects ();
  crash (suspects, "a", "r", 1, SUSPECTS_HEAD, CLK_S);
  crash (suspects, "a", "s", 2, SUSPECTS_HEAD, 2 * CLK_S);
  crash (suspects, "a", "t", 3, SUSPECTS_HEAD, 3 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "a", "u", 4 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_NOT_EQUAL (check (suspects, "", "t", 4 * CLK_S), SUSPECTS_HELD);
  suspects_free (suspects);
}

/* No server can be reached: the request waits until the list, or a peer, tells
   whether its server has ended.  */
static void
test_unknown (void)
{
  struct suspects *suspects = new_suspects ();
  break_off (suspects, "", "r", 1, SUSPECTS_PLAIN, CLK_S);
  suspects_server_checked (suspects, 1, SUSPECTS_SERVER_UNKNOWN, CLK_S);
  suspects_expire (suspects, 4 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 4 * CLK_S), SUSPECTS_WAIT);
  suspects_server_checked (suspects, 1, SUSPECTS_SERVER_ENDED, 4 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 4 * CLK_S), SUSPECTS_TRIAL);
  suspects_free (suspects);
}

static void
test_peer_tells (void)
{
  struct suspects *suspects = new_suspects ();
  struct suspects_crash told
      = { .id = 5, .server = 1, .at = CLK_S, .parts = request_of ("", "s") };
  told.weights[0] = 2;
  break_off (suspects, "", "r", 1, SUSPECTS_PLAIN, CLK_S);
  suspects_server_checked (suspects, 1, SUSPECTS_SERVER_UNKNOWN, CLK_S);
  suspects_merge (suspects, &told);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 2 * CLK_S), SUSPECTS_TRIAL);
  suspects_free (suspects);
}

/* A server that was back before it was checked: the list tells.  */
static void
test_settled (void)
{
  struct suspects *suspects = new_suspects ();
  break_off (suspects, "", "r", 1, SUSPECTS_PLAIN, CLK_S);
  suspects_server_checked (suspects, 1, SUSPECTS_SERVER_LIVES, CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 2 * CLK_S), SUSPECTS_FREE);
  suspects_server_checked (suspects, 1, SUSPECTS_SERVER_ENDED, 3 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "", "r", 3 * CLK_S), SUSPECTS_TRIAL);
  break_off (suspects, "", "s", 2, SUSPECTS_PLAIN, 4 * CLK_S);
  suspects_server_checked (suspects, 2, SUSPECTS_SERVER_LIVES, 4 * CLK_S);
  suspects_expire (suspects, 11 * CLK_S);
  suspects_server_checked (suspects, 2, SUSPECTS_SERVER_ENDED, 11 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "", "s", 12 * CLK_S), SUSPECTS_FREE);
  suspects_free (suspects);
}

/* Many different requests a minute take no room from parts known as sound.  */
static void
test_many_requests (void)
{
  struct suspects *suspects = new_suspects ();
  struct suspects_attempt attempt = { .server = 0 };
  const struct prompt_parts popular = request_of ("a", "");
  complete (suspects, "a", "", CLK_S);
  for (guint i = 0; i < 100000; i++)
    {
      struct prompt_parts parts
          = { .keys = { prompt_part_request_key ((guint64)i << 1) }, .n = 1 };
      struct suspects_attempt other = { .server = 0 };
      suspects_begin (suspects, &other, &parts, 1, CLK_S);
      suspects_completed (suspects, &other, CLK_S);
    }
  crash (suspects, "b", "r", 1, SUSPECTS_HEAD, 2 * CLK_S);
  suspects_begin (suspects, &attempt, &popular, 2, 2 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "a", "", 2 * CLK_S), SUSPECTS_FREE);
  suspects_end (suspects, &attempt);
  suspects_free (suspects);
}

static void
test_last_server (void)
{
  struct suspects *suspects = new_suspects ();
  const struct prompt_parts request = request_of ("", "r");
  const struct prompt_parts part = request_of ("a", "");
  crash (suspects, "", "r", 1, SUSPECTS_PLAIN, CLK_S);
  CU_ASSERT_FALSE (suspects_takes_last_server (suspects, &request));
  crash (suspects, "", "r", 2, SUSPECTS_PLAIN, 2 * CLK_S);
  CU_ASSERT_TRUE (suspects_takes_last_server (suspects, &request));
  crash (suspects, "a", "", 3, SUSPECTS_HEAD, 3 * CLK_S);
  crash (suspects, "a", "", 4, SUSPECTS_HEAD, 4 * CLK_S);
  CU_ASSERT_FALSE (suspects_takes_last_server (suspects, &part));
  suspects_free (suspects);
}

static CU_TestInfo tests[] = {
  { "the third crash in a row", test_third_crash },
  { "others on the same servers", test_beside_others },
  { "events of a stream", test_stream },
  { "a complete response", test_response_clears },
  { "the narrowest explanation", test_narrowest },
  { "no server can be reached", test_unknown },
  { "a peer knows of the crash", test_peer_tells },
  { "a server that is back at once", test_settled },
  { "100,000 requests", test_many_requests },
  { "the last server", test_last_server },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "suspect requests", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
