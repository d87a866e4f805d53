/* Parts of prompts that may crash servers. If a part that does were not held,
   it would end server after server; if a sound one were, its requests would be
   rejected for nothing.  */
#include "unit/gossip_world.h"
#include "unit/unit.h"

#include "policy/crash_suspects.h"

#define MINUTE_US (60 * CLK_S)
#define INSTANCES_MAX 32
#define SETTLED_US (250 * CLK_MS) /* from a crash to any trial of its parts */
#define CRASHES_KNOWN 40          /* more than one message holds */
#define LOADED_PARTS 40 /* different ones of an attacker, per test step */

static struct counter_set counter_set;

static struct suspects *
new_suspects (guint32 seed)
{
  const struct suspects_options options
      = { .seed = seed, .counter_set = &counter_set };
  return suspects_new (&options);
}

/* Returns the parts with the names in TEXT, one letter each.  */
static struct prompt_parts
parts_of (const char *text)
{
  struct prompt_parts parts = { .n = 0 };
  for (; *text != '\0'; text++)
    parts.keys[parts.n++] = prompt_part_key ((struct str){ text, 1 });
  return parts;
}

/* Returns the verdict on a request that arrives at NOW, after the time in which
   a trial is claimed.  */
static enum suspects_verdict
check_parts (struct suspects *suspects, const struct prompt_parts *parts,
             gint64 now)
{
  suspects_check (suspects, parts, 0, now);
  return suspects_check (suspects, parts, 0, now + SETTLED_US);
}

static enum suspects_verdict
check (struct suspects *suspects, const char *text, gint64 now)
{
  const struct prompt_parts parts = parts_of (text);
  return check_parts (suspects, &parts, now);
}

/* Sends a request with the parts TEXT to SERVER, which ends under it.  */
static void
crash (struct suspects *suspects, const char *text, guint64 server, gint64 now)
{
  const struct prompt_parts parts = parts_of (text);
  struct suspects_attempt attempt = { .server = 0 };
  suspects_begin (suspects, &attempt, &parts, server, now);
  CU_ASSERT_TRUE (suspects_broke (suspects, &attempt, SUSPECTS_HEAD, now));
  suspects_server_checked (suspects, server, SUSPECTS_SERVER_ENDED, now);
}

/* Sends a request with the parts TEXT and receives an event.  */
static void
write_on (struct suspects *suspects, const char *text, guint64 server)
{
  const struct prompt_parts parts = parts_of (text);
  struct suspects_attempt attempt = { .server = 0 };
  suspects_begin (suspects, &attempt, &parts, server, 0);
  suspects_wrote (suspects, &attempt, 0);
  suspects_end (suspects, &attempt);
}

/* The third crash in a row holds the part that the requests share, wherever it
   stands, and no other.  */
static void
test_holds_the_shared_part (void)
{
  struct suspects *suspects = new_suspects (1);
  crash (suspects, "ax", 1, CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "bx", CLK_S), SUSPECTS_TRIAL);
  crash (suspects, "bx", 2, 2 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "xc", 2 * CLK_S), SUSPECTS_TRIAL);
  crash (suspects, "xc", 3, 3 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "dx", 3 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_NOT_EQUAL (check (suspects, "a", 3 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_NOT_EQUAL (check (suspects, "b", 3 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_NOT_EQUAL (check (suspects, "c", 3 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_EQUAL (check (suspects, "d", 3 * CLK_S), SUSPECTS_FREE);
  suspects_free (suspects);
}

/* Of parts that are always together the last one is held, until a crash without
   it shows that it was another one.  */
static void
test_parts_together (void)
{
  struct suspects *suspects = new_suspects (2);
  for (guint i = 1; i <= 3; i++)
    crash (suspects, "xa", i, i * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "a", 3 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_EQUAL (check (suspects, "xb", 3 * CLK_S), SUSPECTS_TRIAL);
  crash (suspects, "xb", 4, 4 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "xb", 4 * CLK_S), SUSPECTS_HELD);
  CU_ASSERT_EQUAL (check (suspects, "a", 4 * CLK_S), SUSPECTS_TRIAL);
  suspects_free (suspects);
}

/* An event clears the parts of its request, as a sound part gets between two
   crashes of chance.  */
static void
test_event_clears (void)
{
  struct suspects *suspects = new_suspects (3);
  for (guint i = 1; i <= 20; i++)
    {
      crash (suspects, "ab", i, i * CLK_S);
      CU_ASSERT_EQUAL (check (suspects, "ab", i * CLK_S), SUSPECTS_TRIAL);
      write_on (suspects, "a", 99);
      write_on (suspects, "b", 99);
      CU_ASSERT_EQUAL (check (suspects, "ab", i * CLK_S), SUSPECTS_FREE);
    }
  suspects_free (suspects);
}

/* Crashes that were not known when their attempts began count once: many
   servers that end together say no more than one.  */
static void
test_crashes_together (void)
{
  struct suspects *suspects = new_suspects (4);
  const struct prompt_parts parts = parts_of ("ab");
  struct suspects_attempt attempts[6] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (attempts); i++)
    suspects_begin (suspects, &attempts[i], &parts, i + 1, CLK_S);
  for (guint i = 0; i < G_N_ELEMENTS (attempts); i++)
    {
      suspects_broke (suspects, &attempts[i], SUSPECTS_HEAD, CLK_S);
      suspects_server_checked (suspects, i + 1, SUSPECTS_SERVER_ENDED, CLK_S);
    }
  CU_ASSERT_EQUAL (check (suspects, "a", CLK_S), SUSPECTS_TRIAL);
  CU_ASSERT_EQUAL (check (suspects, "b", CLK_S), SUSPECTS_TRIAL);
  suspects_free (suspects);
}

/* A request that shares nothing but the server with a trial is no trial itself:
   two parts that end servers together again and again explain none of it.  */
static void
test_two_on_one_server (void)
{
  struct suspects *suspects = new_suspects (5);
  const struct prompt_parts bad = parts_of ("x");
  const struct prompt_parts sound = parts_of ("a");
  for (guint i = 1; i <= 3; i++)
    {
      struct suspects_attempt attempts[2] = { 0 };
      suspects_begin (suspects, &attempts[0], &bad, i, i * CLK_S);
      if (i > 1)
        CU_ASSERT_EQUAL (suspects_check (suspects, &sound, i, i * CLK_S),
                         SUSPECTS_WAIT);
      suspects_begin (suspects, &attempts[1], &sound, i, i * CLK_S);
      suspects_broke (suspects, &attempts[0], SUSPECTS_HEAD, i * CLK_S);
      suspects_broke (suspects, &attempts[1], SUSPECTS_HEAD, i * CLK_S);
      suspects_server_checked (suspects, i, SUSPECTS_SERVER_ENDED, i * CLK_S);
    }
  CU_ASSERT_EQUAL (check (suspects, "a", 3 * CLK_S), SUSPECTS_TRIAL);
  write_on (suspects, "a", 9);
  CU_ASSERT_EQUAL (check (suspects, "a", 3 * CLK_S), SUSPECTS_FREE);
  CU_ASSERT_EQUAL (check (suspects, "x", 3 * CLK_S), SUSPECTS_HELD);
  suspects_free (suspects);
}

/* One trial at a time; while a server is being checked, none.  */
static void
test_one_trial (void)
{
  struct suspects *suspects = new_suspects (6);
  const struct prompt_parts parts = parts_of ("ax");
  struct suspects_attempt attempt = { 0 };
  crash (suspects, "ax", 1, CLK_S);
  suspects_begin (suspects, &attempt, &parts, 2, CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "x", CLK_S), SUSPECTS_WAIT);
  suspects_broke (suspects, &attempt, SUSPECTS_HEAD, CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "x", CLK_S), SUSPECTS_WAIT);
  suspects_server_checked (suspects, 2, SUSPECTS_SERVER_LIVES, 0);
  CU_ASSERT_EQUAL (check (suspects, "x", CLK_S), SUSPECTS_TRIAL);
  const struct suspects_trial trial
      = { .part = prompt_part_key (STR_LIT ("x")), .server = 3 };
  suspects_set_peer_trials (suspects, 7, &trial, 1, CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "x", CLK_S), SUSPECTS_WAIT);
  CU_ASSERT_EQUAL (check (suspects, "x", 3 * CLK_S), SUSPECTS_TRIAL);
  suspects_set_peer_trials (suspects, 7, &trial, 1, 4 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "x", 4 * CLK_S), SUSPECTS_WAIT);
  suspects_set_peer_trials (suspects, 7, NULL, 0, 4 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "x", 4 * CLK_S), SUSPECTS_TRIAL);
  suspects_free (suspects);
}

/* Of several instances that want to try a part the one with the lowest claim
   does, some time after it has told the others. A request with fewer doubtful
   parts goes before one with more.  */
static void
test_claims (void)
{
  struct suspects *suspects = new_suspects (14);
  const struct prompt_parts both = parts_of ("ax");
  const struct prompt_parts one = parts_of ("x");
  struct suspects_trial trials[SUSPECTS_TRIALS_MAX];
  gint64 now = CLK_S;
  crash (suspects, "ax", 1, now);
  now += SETTLED_US;
  CU_ASSERT_EQUAL (suspects_check (suspects, &both, 0, now), SUSPECTS_WAIT);
  CU_ASSERT_EQUAL (suspects_trials (suspects, trials, SUSPECTS_TRIALS_MAX, now),
                   1);
  struct suspects_trial peer = trials[0];
  CU_ASSERT_EQUAL (peer.server, 0);
  CU_ASSERT_EQUAL (peer.part, prompt_part_key (STR_LIT ("x")));
  peer.order--;
  suspects_set_peer_trials (suspects, 7, &peer, 1, now);
  now += 100 * CLK_MS;
  CU_ASSERT_EQUAL (suspects_check (suspects, &both, 0, now), SUSPECTS_WAIT);
  CU_ASSERT_EQUAL (suspects_check (suspects, &one, 0, now), SUSPECTS_WAIT);
  now += 100 * CLK_MS;
  CU_ASSERT_EQUAL (suspects_check (suspects, &both, 0, now), SUSPECTS_WAIT);
  CU_ASSERT_EQUAL (suspects_check (suspects, &one, 0, now), SUSPECTS_TRIAL);
  suspects_set_peer_trials (suspects, 7, NULL, 0, now);
  now += 2 * CLK_S;
  suspects_expire (suspects, now);
  CU_ASSERT_EQUAL (suspects_trials (suspects, trials, SUSPECTS_TRIALS_MAX, now),
                   0);
  suspects_free (suspects);
}

/* A response that takes minutes does not keep the requests with a suspected
   part waiting for as long.  */
static void
test_long_attempt (void)
{
  struct suspects *suspects = new_suspects (16);
  const struct prompt_parts parts = parts_of ("ab");
  struct suspects_attempt attempt = { 0 };
  suspects_begin (suspects, &attempt, &parts, 1, CLK_S);
  crash (suspects, "a", 2, 2 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "a", 2 * CLK_S), SUSPECTS_WAIT);
  CU_ASSERT_EQUAL (check (suspects, "a", 4 * CLK_S), SUSPECTS_TRIAL);
  suspects_end (suspects, &attempt);
  suspects_free (suspects);
}

/* Five servers that have ended under a part and one trial hold it, as much as
   three in a row.  */
static void
test_many_servers (void)
{
  struct suspects *suspects = new_suspects (15);
  const struct prompt_parts parts = parts_of ("x");
  struct suspects_attempt attempts[4] = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (attempts); i++)
    suspects_begin (suspects, &attempts[i], &parts, i + 1, CLK_S);
  for (guint i = 0; i < G_N_ELEMENTS (attempts); i++)
    {
      suspects_broke (suspects, &attempts[i], SUSPECTS_HEAD, CLK_S);
      suspects_server_checked (suspects, i + 1, SUSPECTS_SERVER_ENDED, CLK_S);
    }
  CU_ASSERT_EQUAL (check (suspects, "x", CLK_S), SUSPECTS_TRIAL);
  crash (suspects, "x", 9, 2 * CLK_S);
  CU_ASSERT_EQUAL (check (suspects, "x", 2 * CLK_S), SUSPECTS_HELD);
  suspects_free (suspects);
}

/* A server that lives says nothing about the streams that it has reset.  */
static void
test_resets (void)
{
  struct suspects *suspects = new_suspects (7);
  const struct prompt_parts parts = parts_of ("ab");
  for (guint i = 1; i <= 10; i++)
    {
      struct suspects_attempt attempt = { 0 };
      suspects_begin (suspects, &attempt, &parts, i, i * CLK_S);
      suspects_broke (suspects, &attempt, SUSPECTS_HEAD, i * CLK_S);
      if (i % 2 == 0)
        suspects_server_checked (suspects, i, SUSPECTS_SERVER_LIVES, 0);
      else
        suspects_expire (suspects, (i + 1) * CLK_S);
      CU_ASSERT_EQUAL (check (suspects, "ab", i * CLK_S), SUSPECTS_FREE);
    }
  suspects_free (suspects);
}

/* A held part is tried again after a minute, then two, four ..., by the
   instance that saw its last crash; once it is sound, it is free.  */
static void
test_hold_ends (void)
{
  struct suspects *suspects = new_suspects (8);
  gint64 now = CLK_S;
  guint trials = 0;
  for (guint i = 1; i <= 3; i++)
    crash (suspects, "x", i, now);
  for (; now < 16 * MINUTE_US; now += CLK_S)
    {
      suspects_expire (suspects, now);
      if (check (suspects, "x", now) == SUSPECTS_HELD)
        continue;
      CU_ASSERT_EQUAL (check (suspects, "x", now), SUSPECTS_TRIAL);
      crash (suspects, "x", 10 + trials++, now);
    }
  CU_ASSERT_EQUAL (trials, 4);
  now += 16 * MINUTE_US;
  CU_ASSERT_EQUAL (check (suspects, "x", now), SUSPECTS_TRIAL);
  write_on (suspects, "x", 99);
  CU_ASSERT_EQUAL (check (suspects, "x", now), SUSPECTS_FREE);
  suspects_free (suspects);
}

/* A request without a head is weak evidence, and none beside others.  */
static void
test_without_head (void)
{
  struct suspects *suspects = new_suspects (9);
  const struct prompt_parts parts = parts_of ("x");
  guint crashes = 0;
  while (check (suspects, "x", CLK_S) != SUSPECTS_HELD && crashes < 9)
    {
      struct suspects_attempt attempt = { 0 };
      suspects_begin (suspects, &attempt, &parts, ++crashes, CLK_S);
      suspects_broke (suspects, &attempt, SUSPECTS_NO_HEAD, CLK_S);
      suspects_server_checked (suspects, crashes, SUSPECTS_SERVER_ENDED, CLK_S);
    }
  CU_ASSERT_EQUAL (crashes, 5);
  suspects_free (suspects);
}

/* An attacker who makes up parts fills the table, which stays bounded; a held
   part stays held.  */
static void
test_many_parts (void)
{
  struct suspects *suspects = new_suspects (10);
  for (guint i = 1; i <= 3; i++)
    crash (suspects, "x", i, CLK_S);
  for (guint i = 0; i < 1000; i++)
    {
      struct prompt_parts parts = { .n = 2 };
      struct suspects_attempt attempt = { 0 };
      parts.keys[0] = 1000 + i;
      parts.keys[1] = 5000 + i;
      suspects_begin (suspects, &attempt, &parts, 100 + i, CLK_S);
      suspects_broke (suspects, &attempt, SUSPECTS_HEAD, CLK_S);
      suspects_server_checked (suspects, 100 + i, SUSPECTS_SERVER_ENDED, CLK_S);
    }
  CU_ASSERT_EQUAL (check (suspects, "x", CLK_S), SUSPECTS_HELD);
  CU_ASSERT_EQUAL (check (suspects, "a", CLK_S), SUSPECTS_FREE);
  suspects_free (suspects);
}

static struct suspects *fleet[INSTANCES_MAX];

static void
start_fleet (guint n, guint domains, guint32 seed)
{
  for (guint i = 0; i < n; i++)
    fleet[i] = new_suspects (100 + i);
  net.suspects = fleet;
  start (n, domains, seed);
  step (2 * CLK_S);
}

static void
stop_fleet (guint n)
{
  stop ();
  for (guint i = 0; i < n; i++)
    suspects_free (fleet[i]);
}

static guint
count_verdict (guint n, const char *text, enum suspects_verdict verdict)
{
  guint found = 0;
  for (guint i = 0; i < n; i++)
    found += check (fleet[i], text, net.now) == verdict;
  return found;
}

/* What instances have seen, each a part of it, reaches all, in a small and in a
   large fleet and over a lossy network; so does what clears it.  */
static void
check_fleet (guint n, guint domains, double loss)
{
  start_fleet (n, domains, 11);
  net.loss = loss;
  for (guint i = 0; i < 3; i++)
    {
      crash (fleet[i * n / 3], "ax", i + 1, net.now);
      step (4 * CLK_S);
    }
  CU_ASSERT_EQUAL (count_verdict (n, "bx", SUSPECTS_HELD), n);
  CU_ASSERT_EQUAL (count_verdict (n, "a", SUSPECTS_HELD), 0);
  write_on (fleet[n - 1], "x", 9);
  step (4 * CLK_S);
  CU_ASSERT_EQUAL (count_verdict (n, "x", SUSPECTS_FREE), n);
  CU_ASSERT_EQUAL (net.undecodable, 0);
  stop_fleet (n);
}

static void
test_small_fleet (void)
{
  check_fleet (7, 3, 0);
}

static void
test_lossy_fleet (void)
{
  check_fleet (7, 3, 0.3);
}

static void
test_large_fleet (void)
{
  check_fleet (30, 3, 0.1);
}

/* An instance that has started again learns what is held within the time after
   which it counts as in touch, also if those that saw it are gone.  */
static void
test_restart (void)
{
  start_fleet (7, 3, 12);
  for (guint i = 0; i < CRASHES_KNOWN; i++)
    {
      const char text[] = { (char)(1 + i), '\0' };
      crash (fleet[0], text, 100 + i, net.now);
    }
  for (guint i = 0; i < 3; i++)
    {
      crash (fleet[i], "ax", i + 1, net.now);
      step (CLK_S);
    }
  for (guint i = 0; i < 3; i++)
    net.nodes[i].stopped = TRUE;
  halt (6);
  suspects_free (fleet[6]);
  fleet[6] = new_suspects (500);
  boot (6, 3);
  CU_ASSERT_EQUAL (check (fleet[6], "x", net.now), SUSPECTS_FREE);
  step (2 * CLK_S);
  CU_ASSERT_EQUAL (check (fleet[6], "x", net.now), SUSPECTS_HELD);
  stop_fleet (7);
}

/* A message that is longer than an instance reads would be lost for ever.  */
static void
test_long_messages (void)
{
  start_fleet (4, 2, 13);
  for (guint i = 0; i < LOADED_PARTS; i++)
    {
      struct prompt_parts parts = { .n = PROMPT_PARTS_MAX };
      struct suspects_attempt attempt = { 0 };
      for (guint j = 0; j < PROMPT_PARTS_MAX; j++)
        parts.keys[j] = G_MAXUINT64 - i * PROMPT_PARTS_MAX - j;
      suspects_begin (fleet[0], &attempt, &parts, 100 + i, net.now);
      suspects_broke (fleet[0], &attempt, SUSPECTS_HEAD, net.now);
      suspects_server_checked (fleet[0], 100 + i, SUSPECTS_SERVER_ENDED,
                               net.now);
    }
  step (6 * CLK_S);
  struct prompt_parts last = { .n = 1 };
  last.keys[0] = G_MAXUINT64 - LOADED_PARTS * PROMPT_PARTS_MAX + 1;
  for (guint i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (check_parts (fleet[i], &last, net.now), SUSPECTS_TRIAL);
  CU_ASSERT_EQUAL (net.undecodable, 0);
  stop_fleet (4);
}

/* A damaged message that decodes changes what is suspected, but causes no
   memory error.  */
static void
test_damaged_messages (void)
{
  static struct gossip_message message;
  static struct gossip_message read;
  struct gossip_message_suspects *told = &message.suspects;
  struct suspects *suspects = new_suspects (17);
  GRand *rand = g_rand_new_with_seed (17);
  GByteArray *bytes = g_byte_array_new ();
  struct err err = { 0 };
  guint n_merged = 0;
  g_strlcpy (message.id, "n1", sizeof message.id);
  g_strlcpy (message.domain, "d1", sizeof message.domain);
  told->range.through = told->n_crashes = 3;
  for (guint i = 0; i < told->n_crashes; i++)
    told->crashes[i]
        = (struct suspects_crash){ .id = i + 1,
                                   .server = i + 1,
                                   .at = i * CLK_S,
                                   .parts = { .keys = { 7, 8 + i }, .n = 2 },
                                   .weights = { 2 * (i + 1), 2 } };
  told->trials[told->n_trials++] = (struct suspects_trial){ 7, 1, 0 };
  told->trials[told->n_trials++] = (struct suspects_trial){ 8, 0, 1U << 25 };
  gossip_message_encode (&message, bytes);
  for (gint64 now = CLK_S; now < 30000 * CLK_MS; now += CLK_MS)
    {
      const struct prompt_parts parts
          = { .keys = { g_rand_int (rand) % 16, 7 }, .n = 2 };
      guint8 *copy = g_memdup2 (bytes->data, bytes->len);
      for (guint k = 0; k < 1 + now / CLK_MS % 3; k++)
        {
          gint at = g_rand_int_range (rand, 0, (gint)bytes->len);
          copy[at] = (guint8)g_rand_int_range (rand, 0, 256);
        }
      const struct str text = { (const char *)copy, bytes->len };
      gboolean ok = gossip_message_decode (text, &read, &err) == 0;
      g_free (copy);
      if (!ok)
        continue;
      for (guint i = 0; i < read.suspects.n_crashes; i++, n_merged++)
        {
          struct suspects_crash crash = read.suspects.crashes[i];
          crash.at = now - crash.at;
          suspects_merge (suspects, &crash);
        }
      suspects_set_peer_trials (suspects, g_rand_int (rand) % 8,
                                read.suspects.trials, read.suspects.n_trials,
                                now);
      suspects_check (suspects, &parts, 0, now);
      suspects_expire (suspects, now);
    }
  CU_ASSERT_TRUE (n_merged > 1000);
  g_byte_array_unref (bytes);
  g_rand_free (rand);
  suspects_free (suspects);
}

static CU_TestInfo tests[] = {
  { "the shared part is held", test_holds_the_shared_part },
  { "parts that are always together", test_parts_together },
  { "an event clears", test_event_clears },
  { "servers that end together", test_crashes_together },
  { "two suspects on one server", test_two_on_one_server },
  { "one trial at a time", test_one_trial },
  { "several claim a trial", test_claims },
  { "a long attempt", test_long_attempt },
  { "many servers at once, then a trial", test_many_servers },
  { "streams reset by servers that live", test_resets },
  { "a hold ends", test_hold_ends },
  { "requests without a head", test_without_head },
  { "many parts", test_many_parts },
  { "a small fleet", test_small_fleet },
  { "a lossy fleet", test_lossy_fleet },
  { "a large fleet", test_large_fleet },
  { "an instance that starts again", test_restart },
  { "long messages", test_long_messages },
  { "damaged messages", test_damaged_messages },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "suspects", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
