#include "unit/shard_fixture.h"
#include "unit/unit.h"

static struct fix fix; /* of the test; closed after it */

static void
tear_down (void)
{
  fix_close (&fix);
}

static void
test_tier_order (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_BATCH);
  fix_offer (&fix, 2, FIX_BATCH);
  fix_offer (&fix, 3, FIX_URGENT);
  fix_offer (&fix, 4, FIX_URGENT);
  CU_ASSERT_TRUE (fix_granted (&fix, 1));
  CU_ASSERT_EQUAL (fix.n_sent, 1);
  fix_release (&fix, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fix_granted (&fix, 3));
  fix_release (&fix, 3, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fix_granted (&fix, 4));
  fix_release (&fix, 4, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fix_granted (&fix, 2));
}

static void
test_unused_grant_expires (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_NORMAL);
  fix_offer (&fix, 2, FIX_NORMAL);
  const struct msg *msg = fix_find (&fix, MSG_GRANT, 1);
  CU_ASSERT_TRUE (msg && msg->grant.use_within_us <= 2 * CLK_S);
  fix_wait (&fix, 2 * CLK_S);
  CU_ASSERT_TRUE (fix_granted (&fix, 2));
  CU_ASSERT_EQUAL (fix.ctr.v[CTR_GRANT_EXPIRED], 1);
}

static void
test_used_grant_stays (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_NORMAL);
  fix_offer (&fix, 2, FIX_NORMAL);
  for (guint i = 0; i < 20; i++)
    {
      fix_wait (&fix, CLK_S);
      fix_progress (&fix, 1, 0, 0);
      fix_progress (&fix, 2, 0, 0);
    }
  CU_ASSERT_FALSE (fix_granted (&fix, 2));
  CU_ASSERT_EQUAL (fix.ctr.v[CTR_GRANT_EXPIRED], 0);
}

static void
test_deadline (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_NORMAL);
  struct msg_offer offer = fix_offer_of (&fix, 2, FIX_NORMAL, "a");
  offer.wait_us = CLK_S;
  shard_enqueue (fix.shard_owner, "e1", &offer);
  fix_wait (&fix, CLK_S);
  CU_ASSERT_EQUAL (fix_refused (&fix, 2), MSG_REASON_DEADLINE);
  CU_ASSERT_TRUE (fix_retry_after (&fix, 2) > 0);
}

static void
test_leaving_gets_nothing (void)
{
  fix_open (&fix, 2, 1);
  for (guint64 t = 1; t <= 4; t++)
    fix_offer (&fix, t, FIX_NORMAL);
  struct str_id left = fix_id (fix_backend (&fix, 1));
  struct str_id stays = fix_id (fix_backend (&fix, 2));
  CU_ASSERT_STRING_NOT_EQUAL (left.s, stays.s);
  shard_set_leaving (fix.shard_owner, left.s, TRUE);
  fix_release (&fix, 1, MSG_RESULT_OK);
  CU_ASSERT_FALSE (fix_granted (&fix, 3));
  fix_release (&fix, 2, MSG_RESULT_LEAVING);
  CU_ASSERT_EQUAL (fix_refused (&fix, 3), MSG_REASON_NO_SERVER);
  CU_ASSERT_EQUAL (fix_refused (&fix, 4), MSG_REASON_NO_SERVER);
}

static void
test_offers_are_idempotent (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_NORMAL);
  fix_offer (&fix, 2, FIX_NORMAL);
  fix_offer (&fix, 2, FIX_NORMAL);
  CU_ASSERT_EQUAL (fix.n_sent, 1);
  fix_offer (&fix, 1, FIX_NORMAL);
  CU_ASSERT_EQUAL (fix.n_sent, 2);
  CU_ASSERT_EQUAL (fix.sent[1].msg.kind, MSG_GRANT);
  struct msg_cell_summary summary;
  shard_summary (fix.shard_owner, &summary);
  CU_ASSERT_EQUAL (summary.waiting[1], 1);
  CU_ASSERT_EQUAL (summary.free_slots, 0);
}

static void
test_reoffer_counts_running_work (void)
{
  fix_open (&fix, 1, 1);
  struct msg_offer offer = fix_offer_of (&fix, 1, FIX_NORMAL, "a");
  offer.running = fix_id ("sa");
  shard_enqueue (fix.shard_owner, "e1", &offer);
  fix_offer (&fix, 2, FIX_NORMAL);
  CU_ASSERT_EQUAL (fix.n_sent, 0);
  fix_release (&fix, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fix_granted (&fix, 2));
}

static void
test_entry_lost (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_NORMAL);
  fix_offer (&fix, 2, FIX_NORMAL);
  struct msg_offer offer = fix_offer_of (&fix, 2, FIX_NORMAL, "a");
  shard_enqueue (fix.shard_owner, "e2", &offer);
  shard_ingress_lost (fix.shard_owner, "e1");
  CU_ASSERT_EQUAL (fix.n_sent, 2);
  CU_ASSERT_STRING_EQUAL (fix.sent[1].to.s, "e2");
}

static void
test_silent_entry (void)
{
  fix_open (&fix, 1, 1);
  struct msg_offer offer = fix_offer_of (&fix, 1, FIX_NORMAL, "a");
  offer.running = fix_id ("sa");
  shard_enqueue (fix.shard_owner, "e1", &offer);
  fix_wait (&fix, 9 * CLK_S);
  CU_ASSERT_FALSE (shard_is_idle (fix.shard_owner));
  struct msg_cell_summary summary;
  shard_summary (fix.shard_owner, &summary);
  CU_ASSERT_EQUAL (summary.free_slots, 0);
  fix_wait (&fix, CLK_S);
  shard_summary (fix.shard_owner, &summary);
  CU_ASSERT_EQUAL (summary.free_slots, 1);
  CU_ASSERT_TRUE (shard_is_idle (fix.shard_owner));
}

/* Keeps one slot busy for N starts, each generating TOKENS_A for team a and
   TOKENS_B for team b, and returns how many of the starts were team b's.  */
static guint
starts_of_b (guint n, guint32 tokens_a, guint32 tokens_b)
{
  guint b = 0;
  for (guint i = 0; i < n; i++)
    {
      guint64 ticket = fix.sent[fix.n_sent - 1].msg.grant.ticket;
      gboolean is_b = ticket >= 1000;
      b += is_b;
      fix_progress (&fix, ticket, is_b ? tokens_b : tokens_a, 10 * CLK_MS);
      fix_release (&fix, ticket, MSG_RESULT_OK);
    }
  return b;
}

static void
offer_teams (guint n)
{
  for (guint i = 0; i < n; i++)
    fix_offer (&fix, 1 + i, FIX_NORMAL);
  for (guint i = 0; i < n; i++)
    {
      struct msg_offer offer = fix_offer_of (&fix, 1000 + i, FIX_NORMAL, "b");
      shard_enqueue (fix.shard_owner, "e1", &offer);
    }
}

static void
test_teams_share_a_class (void)
{
  fix_init (&fix, 1, 1);
  fix.classes[FIX_NORMAL].max_waiting = 100;
  fix_start (&fix);
  offer_teams (40);
  guint b = starts_of_b (40, 100, 100);
  CU_ASSERT_TRUE (b >= 19 && b <= 21);
}

static void
test_teams_share_by_tokens (void)
{
  fix_init (&fix, 1, 1);
  fix.classes[FIX_NORMAL].max_waiting = 100;
  fix_start (&fix);
  offer_teams (40);
  guint b = starts_of_b (40, 300, 0);
  CU_ASSERT_TRUE (b >= 31 && b <= 33); /* 100 to 400 tokens a start */
}

static void
test_teams_share_by_weight (void)
{
  fix_init (&fix, 1, 1);
  fix.classes[FIX_NORMAL].max_waiting = 100;
  fix.teams[1].weight = 3;
  fix_start (&fix);
  offer_teams (40);
  guint b = starts_of_b (40, 100, 100);
  CU_ASSERT_TRUE (b >= 29 && b <= 31);
}

static void
test_team_limit (void)
{
  fix_init (&fix, 1, 8);
  fix.teams[0].max_running = 2;
  fix_start (&fix);
  for (guint i = 1; i <= 5; i++)
    fix_offer (&fix, i, FIX_URGENT);
  CU_ASSERT_EQUAL (fix.n_sent, 2);
  struct msg_offer offer = fix_offer_of (&fix, 9, FIX_BATCH, "b");
  shard_enqueue (fix.shard_owner, "e1", &offer);
  CU_ASSERT_TRUE (fix_granted (&fix, 9));
  fix_release (&fix, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fix_granted (&fix, 3));
  CU_ASSERT_FALSE (fix_granted (&fix, 4));
}

/* Offers N tickets of a class whose numbers start at FIRST.  */
static void
offer_many (guint64 first, guint n, guint class_index)
{
  for (guint i = 0; i < n; i++)
    fix_offer (&fix, first + i, class_index);
}

/* Ends the work granted last, N times, and counts the starts that follow by
   the thousands of their tickets' numbers.  */
static void
count_starts (guint n, guint counts[3])
{
  for (guint i = 0; i < n; i++)
    {
      fix_release (&fix, fix.sent[fix.n_sent - 1].msg.grant.ticket,
                   MSG_RESULT_OK);
      counts[fix.sent[fix.n_sent - 1].msg.grant.ticket / 1000]++;
    }
}

static void
test_minimum_share (void)
{
  fix_init (&fix, 1, 1);
  fix.classes[FIX_URGENT].max_waiting = 200;
  fix.classes[FIX_NORMAL].min_share = 0.2;
  fix.classes[FIX_BATCH].min_share = 0.1;
  fix_start (&fix);
  offer_many (1, 150, FIX_URGENT);
  offer_many (1000, 40, FIX_NORMAL);
  offer_many (2000, 40, FIX_BATCH);
  guint counts[3] = { 0 };
  count_starts (100, counts);
  CU_ASSERT_TRUE (counts[1] == 19 || counts[1] == 20);
  CU_ASSERT_TRUE (counts[2] == 9 || counts[2] == 10);
}

static void
test_no_share_no_start (void)
{
  fix_open (&fix, 1, 1);
  offer_many (1, 40, FIX_URGENT);
  offer_many (1000, 5, FIX_BATCH);
  guint counts[3] = { 0 };
  count_starts (39, counts);
  CU_ASSERT_EQUAL (counts[0], 39);
}

static void
test_higher_tier_displaces (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_URGENT);
  offer_many (100, 50, FIX_NORMAL);
  offer_many (200, 50, FIX_BATCH);
  fix.clock.t += CLK_MS;
  offer_many (300, 50, FIX_URGENT);
  CU_ASSERT_EQUAL (fix.n_sent, 1);
  /* Beyond its own room the urgent class takes the youngest batch work down
     to the reserved room, then normal work, then is refused.  */
  offer_many (400, 45, FIX_URGENT);
  CU_ASSERT_EQUAL (fix_refused (&fix, 249), MSG_REASON_DISPLACED);
  CU_ASSERT_EQUAL (fix_refused (&fix, 205), MSG_REASON_DISPLACED);
  CU_ASSERT_EQUAL (fix_refused (&fix, 204), MSG_REASON_N);
  CU_ASSERT_EQUAL (fix_refused (&fix, 149), MSG_REASON_N);
  offer_many (500, 45, FIX_URGENT);
  CU_ASSERT_EQUAL (fix_refused (&fix, 105), MSG_REASON_DISPLACED);
  CU_ASSERT_EQUAL (fix_refused (&fix, 104), MSG_REASON_N);
  CU_ASSERT_EQUAL (fix.ctr.v[CTR_DISPLACED], 90);
  fix_offer (&fix, 600, FIX_URGENT);
  CU_ASSERT_EQUAL (fix_refused (&fix, 600), MSG_REASON_OVERLOAD);
}

static void
test_reserved_room (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_URGENT);
  offer_many (100, 60, FIX_BATCH);
  CU_ASSERT_EQUAL (fix_refused (&fix, 149), MSG_REASON_N);
  CU_ASSERT_EQUAL (fix_refused (&fix, 150), MSG_REASON_OVERLOAD);
  offer_many (200, 95, FIX_URGENT);
  CU_ASSERT_EQUAL (fix_refused (&fix, 104), MSG_REASON_N);
  CU_ASSERT_EQUAL (fix_refused (&fix, 105), MSG_REASON_DISPLACED);
  /* The normal class's reserved room is left to it. */
  offer_many (300, 5, FIX_NORMAL);
  CU_ASSERT_EQUAL (fix_refused (&fix, 304), MSG_REASON_N);
}

static void
test_no_server (void)
{
  fix_open (&fix, 1, 1);
  shard_set_leaving (fix.shard_owner, "sa", TRUE);
  fix_offer (&fix, 1, FIX_URGENT);
  CU_ASSERT_EQUAL (fix_refused (&fix, 1), MSG_REASON_NO_SERVER);
}

/* Serves urgent work for SECONDS on an engine whose time between tokens is
   10 ms and 1 ms more for each request in flight; all stay in flight.  */
static guint
settle_limit (guint seconds)
{
  guint granted = 0;
  for (guint i = 0; i < seconds; i++)
    {
      offer_many (1 + 100 * i, 20, FIX_URGENT);
      granted = (guint)fix.ctr.v[CTR_GRANTS];
      for (guint j = 0; j < fix.n_sent; j++)
        if (fix.sent[j].msg.kind == MSG_GRANT)
          fix_progress (&fix, fix.sent[j].msg.grant.ticket, 50,
                        10 * CLK_MS + granted * CLK_MS);
      fix_wait (&fix, CLK_S);
    }
  return granted;
}

static void
test_limit_meets_the_target (void)
{
  fix_open (&fix, 1, 64);
  /* 20 requests take 30 ms between tokens; the hard limit is 64. */
  guint granted = settle_limit (8);
  CU_ASSERT_EQUAL (granted, 32); /* the start; all stay in flight */
  fix_close (&fix);
  fix_open (&fix, 1, 24);
  granted = settle_limit (8);
  CU_ASSERT_TRUE (granted >= 16 && granted <= 20);
}

static void
test_foreign_load (void)
{
  fix_open (&fix, 1, 4);
  struct shard_load load = { .running = 3, .age_us = 0 };
  shard_load_report (fix.shard_owner, "sa", &load);
  fix_wait (&fix, SHARD_TICK_US);
  offer_many (1, 4, FIX_NORMAL);
  CU_ASSERT_EQUAL (fix.n_sent, 2); /* others' 3, discounted by age */
  fix_progress (&fix, 1, 0, 0);
  fix_progress (&fix, 2, 0, 0);
  for (guint i = 0; i < 5; i++)
    {
      fix_wait (&fix, CLK_S);
      for (guint64 t = 1; t <= 4; t++)
        fix_progress (&fix, t, 0, 0);
    }
  CU_ASSERT_TRUE (fix_granted (&fix, 4));
}

#define ROUND 14 /* requests at once, more than three servers start with */

/* Ends ticket TICKET if it was granted. Returns whether BAD had it.  */
static gboolean
serve_one (guint64 ticket, const char *bad, guint32 tbt_us,
           enum msg_result result)
{
  const struct msg *msg = fix_find (&fix, MSG_GRANT, ticket);
  gboolean is_bad = msg && strcmp (msg->grant.backend.s, bad) == 0;
  if (msg)
    fix_progress (&fix, ticket, 20, is_bad ? tbt_us : 20 * CLK_MS);
  fix_release (&fix, ticket, is_bad ? result : MSG_RESULT_OK);
  return is_bad;
}

/* Serves ROUNDS rounds of short requests of normal work; the server BAD takes
   TBT_US between tokens and ends with RESULT. Returns how many BAD got.  */
static guint
serve_rounds (guint rounds, const char *bad, guint32 tbt_us,
              enum msg_result result)
{
  static guint64 ticket = 1;
  guint count = 0;
  for (guint i = 0; i < rounds; i++)
    {
      offer_many (ticket, ROUND, FIX_NORMAL);
      for (guint j = 0; j < ROUND; j++)
        count += serve_one (ticket++, bad, tbt_us, result);
      fix_wait (&fix, SHARD_TICK_US);
    }
  return count;
}

static void
test_straggler_with_good_reports (void)
{
  fix_open (&fix, 4, 8);
  for (guint i = 0; i < 8; i++)
    {
      struct shard_load load = { .running = 0, .kv_used = 0.1 };
      shard_load_report (fix.shard_owner, "sb", &load);
      serve_rounds (2, "sb", 100 * CLK_MS, MSG_RESULT_OK);
    }
  CU_ASSERT_TRUE (fix.ctr.v[CTR_EJECTIONS] >= 1);
  guint count = serve_rounds (400, "sb", 100 * CLK_MS, MSG_RESULT_OK);
  CU_ASSERT_TRUE (count > 0 && count <= 40);
  serve_rounds (800, "sb", 20 * CLK_MS, MSG_RESULT_OK);
  count = serve_rounds (400, "sb", 20 * CLK_MS, MSG_RESULT_OK);
  CU_ASSERT_TRUE (count >= 700); /* half its even part of 1400 */
}

static void
test_crashed_server (void)
{
  fix_open (&fix, 4, 8);
  guint count = serve_rounds (400, "sb", 0, MSG_RESULT_NOT_SENT);
  CU_ASSERT_TRUE (count <= 20); /* 1400 by an even share */
}

/* Offers ticket TICKET with PREFIX and returns where it was granted.  */
static const char *
offer_prefix (guint64 ticket, guint64 prefix, guint32 tokens)
{
  struct msg_offer offer = fix_offer_of (&fix, ticket, FIX_NORMAL, "a");
  offer.prefix = prefix;
  offer.prompt_tokens = tokens;
  shard_enqueue (fix.shard_owner, "e1", &offer);
  return fix_backend (&fix, ticket);
}

static void
test_prefix_returns (void)
{
  guint same = 0;
  fix_open (&fix, 4, 8);
  for (guint64 prefix = 1; prefix <= 10; prefix++)
    {
      char first[STR_ID_MAX + 1];
      g_strlcpy (first, offer_prefix (prefix * 10, prefix, 1000), sizeof first);
      fix_release (&fix, prefix * 10, MSG_RESULT_OK);
      for (guint64 t = prefix * 10 + 1; t < prefix * 10 + 5; t++)
        {
          same += strcmp (offer_prefix (t, prefix, 1000), first) == 0;
          fix_release (&fix, t, MSG_RESULT_OK);
        }
    }
  CU_ASSERT_EQUAL (same, 40);
  shard_cache_event (fix.shard_owner, "sc", 99, TRUE);
  CU_ASSERT_STRING_EQUAL (offer_prefix (1, 99, 1000), "sc");
}

static void
test_hot_prefix_is_bounded (void)
{
  guint counts[4] = { 0 };
  fix_open (&fix, 4, 16);
  for (guint64 t = 1; t <= 16; t++)
    counts[offer_prefix (t, 5, 100000)[1] - 'a']++;
  for (guint i = 0; i < 4; i++)
    CU_ASSERT_TRUE (counts[i] <= 6);
}

static void
test_short_prefix_yields_to_load (void)
{
  fix_open (&fix, 2, 4);
  /* 10 ms between tokens: a slot of 4 costs 80 ms over 32 tokens. */
  for (guint64 t = 1; t <= 2; t++)
    {
      fix_offer (&fix, t, FIX_NORMAL);
      fix_progress (&fix, t, 10, 10 * CLK_MS);
      fix_release (&fix, t, MSG_RESULT_OK);
    }
  shard_cache_event (fix.shard_owner, "sa", 5, TRUE);
  CU_ASSERT_STRING_EQUAL (offer_prefix (11, 5, 100), "sa");
  CU_ASSERT_STRING_EQUAL (offer_prefix (12, 5, 100), "sb");
}

/* Serves what was granted last for 500 ms, N times.  */
static void
serve_slowly (guint n)
{
  for (guint i = 0; i < n; i++)
    {
      guint64 ticket = fix.sent[fix.n_sent - 1].msg.grant.ticket;
      fix_wait (&fix, 500 * CLK_MS);
      fix_release (&fix, ticket, MSG_RESULT_OK);
    }
}

/* Offers a ticket that can wait 2 s; returns the reason it was refused. */
static enum msg_reason
offer_short (guint64 ticket, guint class_index)
{
  struct msg_offer offer = fix_offer_of (&fix, ticket, class_index, "a");
  offer.wait_us = 2 * CLK_S;
  shard_enqueue (fix.shard_owner, "e1", &offer);
  return fix_refused (&fix, ticket);
}

static void
test_hopeless_wait (void)
{
  fix_open (&fix, 1, 1);
  offer_many (1, 36, FIX_NORMAL);
  CU_ASSERT_EQUAL (offer_short (100, FIX_NORMAL), MSG_REASON_N);
  shard_withdraw (fix.shard_owner, "e1", 100);
  serve_slowly (8); /* two a second; 27 wait */
  CU_ASSERT_EQUAL (offer_short (101, FIX_NORMAL), MSG_REASON_DEADLINE);
  CU_ASSERT_EQUAL (offer_short (102, FIX_BATCH), MSG_REASON_DEADLINE);
  CU_ASSERT_EQUAL (offer_short (103, FIX_URGENT), MSG_REASON_N);
  /* Team b is not behind the queue of team a. */
  struct msg_offer offer = fix_offer_of (&fix, 105, FIX_NORMAL, "b");
  offer.wait_us = 2 * CLK_S;
  shard_enqueue (fix.shard_owner, "e1", &offer);
  CU_ASSERT_EQUAL (fix_refused (&fix, 105), MSG_REASON_N);
  fix_offer (&fix, 104, FIX_NORMAL);
  CU_ASSERT_EQUAL (fix_refused (&fix, 104), MSG_REASON_N);
  gint64 retry = fix_retry_after (&fix, 101);
  CU_ASSERT_TRUE (retry > 12 * CLK_S && retry < 22 * CLK_S);
  CU_ASSERT_NOT_EQUAL (retry, fix_retry_after (&fix, 102));
  struct msg_cell_summary summary;
  shard_summary (fix.shard_owner, &summary);
  CU_ASSERT_EQUAL (summary.starts_per_s, 1); /* 9 in 10 s */
}

static void
test_team_limit_reason (void)
{
  fix_init (&fix, 1, 8);
  fix.teams[0].max_running = 1;
  fix_start (&fix);
  fix_offer (&fix, 1, FIX_NORMAL);
  CU_ASSERT_EQUAL (offer_short (2, FIX_NORMAL), MSG_REASON_N);
  fix_wait (&fix, CLK_S);
  fix_progress (&fix, 1, 0, 0);
  fix_wait (&fix, CLK_S);
  CU_ASSERT_EQUAL (fix_refused (&fix, 2), MSG_REASON_TEAM_LIMIT);
}

/* Fills 8 slots with batch work that runs for 2 s; each of its requests has
   GENERATED tokens, ticket 3 has the fewest.  */
static void
fill_with_batch (gboolean resumable, guint32 generated)
{
  fix_init (&fix, 1, 8);
  fix.classes[FIX_BATCH].min_share = 0.5;
  fix.pool.kind = CFG_SERVICE; /* no adaptive limit */
  fix_start (&fix);
  for (guint64 t = 1; t <= 8; t++)
    {
      struct msg_offer offer = fix_offer_of (&fix, t, FIX_BATCH, "a");
      offer.resumable = resumable;
      shard_enqueue (fix.shard_owner, "e1", &offer);
    }
  for (guint i = 0; i < 2; i++)
    {
      fix_wait (&fix, CLK_S);
      for (guint64 t = 1; t <= 8; t++)
        fix_progress (&fix, t, t == 3 ? generated / 4 : generated / 2, 0);
    }
}

static guint64
preempted (void)
{
  return fix.ctr.v[CTR_PREEMPTED];
}

static void
test_preemption (void)
{
  fill_with_batch (TRUE, 200);
  fix_offer (&fix, 10, FIX_URGENT);
  CU_ASSERT_EQUAL (preempted (), 1);
  CU_ASSERT_PTR_NOT_NULL (fix_find (&fix, MSG_PREEMPT, 3));
  fix_release (&fix, 3, MSG_RESULT_CANCELLED);
  CU_ASSERT_TRUE (fix_granted (&fix, 10));
  /* One for each ticket, and not all at once. */
  fix_offer (&fix, 11, FIX_URGENT);
  CU_ASSERT_EQUAL (preempted (), 1);
  fix_wait (&fix, 250 * CLK_MS);
  CU_ASSERT_EQUAL (preempted (), 2);
}

static void
test_preemption_keeps_the_share (void)
{
  fill_with_batch (TRUE, 200);
  for (guint64 t = 10; t < 30; t++)
    {
      fix_offer (&fix, t, FIX_URGENT);
      fix_wait (&fix, 250 * CLK_MS);
      for (guint64 b = 1; b <= 8; b++)
        {
          if (fix_find (&fix, MSG_PREEMPT, b))
            fix_release (&fix, b, MSG_RESULT_CANCELLED);
          fix_progress (&fix, b, 0, 0);
        }
      for (guint64 u = 10; u <= t; u++)
        fix_progress (&fix, u, 0, 0);
    }
  CU_ASSERT_EQUAL (preempted (), 4);
}

static void
test_no_preemption (void)
{
  fill_with_batch (FALSE, 200);
  fix_offer (&fix, 10, FIX_URGENT);
  fix_wait (&fix, 2 * SHARD_TICK_US);
  CU_ASSERT_EQUAL (preempted (), 0); /* cannot be resumed */
  fix_close (&fix);
  fill_with_batch (TRUE, 40000);
  fix_offer (&fix, 10, FIX_URGENT);
  fix_wait (&fix, 2 * SHARD_TICK_US);
  CU_ASSERT_EQUAL (preempted (), 0); /* would throw too much away */
  fix_close (&fix);
  fill_with_batch (TRUE, 200);
  fix_offer (&fix, 10, FIX_BATCH);
  fix_offer (&fix, 11, FIX_NORMAL);
  fix_wait (&fix, 2 * SHARD_TICK_US);
  CU_ASSERT_EQUAL (preempted (), 0); /* has 2 s left */
}

static void
test_config_removes_a_server (void)
{
  fix_open (&fix, 2, 1);
  offer_many (1, 3, FIX_NORMAL);
  struct cfg less = fix.cfg;
  guint gone = fix_backend (&fix, 1)[1] == 'a' ? 0 : 1;
  less.backends = &fix.backends[1 - gone];
  less.n_backends = 1;
  shard_set_config (fix.shard_owner, &less);
  fix_release (&fix, 1, MSG_RESULT_OK);
  CU_ASSERT_FALSE (fix_granted (&fix, 3));
  shard_set_config (fix.shard_owner, &fix.cfg);
  CU_ASSERT_STRING_EQUAL (fix_backend (&fix, 3), fix.backends[gone].name.s);
}

static void
test_removed_server_counts_its_work (void)
{
  fix_open (&fix, 1, 2);
  offer_many (1, 3, FIX_NORMAL);
  struct cfg none = fix.cfg;
  none.n_backends = 0;
  shard_set_config (fix.shard_owner, &none);
  CU_ASSERT_EQUAL (fix_refused (&fix, 3), MSG_REASON_NO_SERVER);
  shard_set_config (fix.shard_owner, &fix.cfg);
  struct msg_cell_summary summary;
  shard_summary (fix.shard_owner, &summary);
  CU_ASSERT_EQUAL (summary.free_slots, 0);
}

static void
test_config_removes_a_class (void)
{
  fix_open (&fix, 1, 1);
  fix_offer (&fix, 1, FIX_BATCH);
  fix_offer (&fix, 2, FIX_BATCH);
  fix_offer (&fix, 3, FIX_NORMAL);
  fix_progress (&fix, 1, 10, 10 * CLK_MS);
  struct cfg less = fix.cfg;
  less.n_classes = FIX_BATCH;
  shard_set_config (fix.shard_owner, &less);
  CU_ASSERT_EQUAL (fix_refused (&fix, 2), MSG_REASON_NO_SERVER);
  CU_ASSERT_EQUAL (fix_refused (&fix, 3), MSG_REASON_N);
  fix_progress (&fix, 1, 10, 10 * CLK_MS);
  fix_release (&fix, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fix_granted (&fix, 3));
  fix_offer (&fix, 4, FIX_BATCH);
  CU_ASSERT_EQUAL (fix_refused (&fix, 4), MSG_REASON_NO_SERVER);
  shard_set_config (fix.shard_owner, &fix.cfg);
}

static void
test_late_tickets_yield (void)
{
  fix_open (&fix, 1, 1);
  offer_many (1, 2, FIX_NORMAL);
  fix_progress (&fix, 1, 1, 0);
  fix_wait (&fix, 3 * CLK_S); /* ticket 2 missed its 2 s */
  offer_many (10, 10, FIX_NORMAL);
  fix_release (&fix, 1, MSG_RESULT_OK);
  for (guint64 t = 10; t < 17; t++)
    {
      CU_ASSERT_TRUE (fix_granted (&fix, t));
      CU_ASSERT_FALSE (fix_granted (&fix, 2));
      fix_release (&fix, t, MSG_RESULT_OK);
    }
  CU_ASSERT_TRUE (fix_granted (&fix, 2));
}

static void
test_crash_counts_at_once (void)
{
  fix_open (&fix, 2, 8);
  offer_many (1, 8, FIX_NORMAL);
  for (guint64 t = 1; t <= 8; t++)
    serve_one (t, "sa", 20 * CLK_MS, MSG_RESULT_BROKEN);
  offer_many (11, 4, FIX_NORMAL); /* without a tick between */
  CU_ASSERT_TRUE (fix_granted (&fix, 11));
  for (guint64 t = 11; t <= 14; t++)
    CU_ASSERT_STRING_NOT_EQUAL (fix_backend (&fix, t), "sa");
}

/* Urgent work takes all of both servers and ends; what was reserved for it
   must not keep other work from idle servers.  */
static void
test_idle_servers_are_not_reserved (void)
{
  fix_init (&fix, 2, 8);
  fix_start (&fix);
  offer_many (1, 16, FIX_URGENT);
  for (guint64 t = 1; t <= 16; t++)
    serve_one (t, "sa", 25 * CLK_MS, MSG_RESULT_OK);
  offer_many (101, 2, FIX_BATCH);
  CU_ASSERT_STRING_NOT_EQUAL (fix_backend (&fix, 101), "");
  CU_ASSERT_STRING_NOT_EQUAL (fix_backend (&fix, 102), "");
}

/* A preempted request that goes on is no start of its class.  */
static void
test_going_on_is_no_start (void)
{
  fix_init (&fix, 1, 1);
  fix.classes[FIX_BATCH].min_share = 0.5;
  fix_start (&fix);
  offer_many (1, 20, FIX_URGENT);
  struct msg_offer again = fix_offer_of (&fix, 100, FIX_BATCH, "a");
  again.generated = 5;
  again.waited_us = CLK_S; /* the oldest of its class */
  shard_enqueue (fix.shard_owner, "e1", &again);
  offer_many (101, 5, FIX_BATCH);
  for (guint i = 0; i < 6 && !fix_granted (&fix, 100); i++)
    fix_release (&fix, fix.sent[fix.n_sent - 1].msg.grant.ticket,
                 MSG_RESULT_OK);
  CU_ASSERT_TRUE (fix_granted (&fix, 100));
  fix_release (&fix, 100, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fix_granted (&fix, 101)); /* still due */
}

static CU_TestInfo tests[] = {
  { "the highest tier starts first", test_tier_order },
  { "an unused grant expires", test_unused_grant_expires },
  { "a used grant stays while its entry speaks", test_used_grant_stays },
  { "a ticket past its deadline is refused", test_deadline },
  { "a leaving server gets nothing", test_leaving_gets_nothing },
  { "an offer sent twice counts once", test_offers_are_idempotent },
  { "a new owner counts running work", test_reoffer_counts_running_work },
  { "a lost entry's tickets go", test_entry_lost },
  { "a silent entry's tickets go", test_silent_entry },
  { "teams share a class evenly", test_teams_share_a_class },
  { "teams share by tokens, not by starts", test_teams_share_by_tokens },
  { "teams share by weight", test_teams_share_by_weight },
  { "a team at its limit waits, others pass", test_team_limit },
  { "a class gets its minimum share of starts", test_minimum_share },
  { "tier order is strict beyond the shares", test_no_share_no_start },
  { "a higher tier displaces the lowest", test_higher_tier_displaces },
  { "reserved room is left to its class", test_reserved_room },
  { "a cell without servers refuses", test_no_server },
  { "the limit meets the tightest target", test_limit_meets_the_target },
  { "others' load counts while its report is fresh", test_foreign_load },
  { "good reports do not save a straggler", test_straggler_with_good_reports },
  { "a crashed server gets few requests", test_crashed_server },
  { "a prefix returns to its server", test_prefix_returns },
  { "a hot prefix spreads", test_hot_prefix_is_bounded },
  { "a short prefix yields to load", test_short_prefix_yields_to_load },
  { "a hopeless wait is refused at once", test_hopeless_wait },
  { "a team's limit is told as the reason", test_team_limit_reason },
  { "a running request yields to a higher tier", test_preemption },
  { "preemption keeps the minimum share", test_preemption_keeps_the_share },
  { "preemption has its limits", test_no_preemption },
  { "a removed server gets nothing", test_config_removes_a_server },
  { "a removed server's work counts", test_removed_server_counts_its_work },
  { "a removed class's tickets are refused", test_config_removes_a_class },
  { "late tickets yield, but not for ever", test_late_tickets_yield },
  { "a crash counts without a tick", test_crash_counts_at_once },
  { "going on after a preemption is no start", test_going_on_is_no_start },
  { "idle servers are not reserved", test_idle_servers_are_not_reserved },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "cell", NULL, NULL, NULL, tear_down, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
