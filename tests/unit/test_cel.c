#include "unit/shard_fixture.h"
#include "unit/unit.h"

/* Of the current test; closed by tear_down. */
static struct shard_fixture fixture;

static void
tear_down (void)
{
  fixture_close (&fixture);
}

static void
test_tier_order (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_BATCH);
  fixture_enqueue (&fixture, 2, FIXTURE_BATCH);
  fixture_enqueue (&fixture, 3, FIXTURE_URGENT);
  fixture_enqueue (&fixture, 4, FIXTURE_URGENT);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 1));
  CU_ASSERT_EQUAL (fixture.n_sent, 1);
  fixture_release (&fixture, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 3));
  fixture_release (&fixture, 3, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 4));
  fixture_release (&fixture, 4, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 2));
}

static void
test_unused_grant_expires (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_NORMAL);
  fixture_enqueue (&fixture, 2, FIXTURE_NORMAL);
  const struct msg *msg = fixture_find (&fixture, MSG_GRANT, 1);
  CU_ASSERT_TRUE (msg && msg->grant.use_within_us <= 2 * CLK_S);
  fixture_advance (&fixture, 2 * CLK_S);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 2));
  CU_ASSERT_EQUAL (fixture.counter_set.v[COUNTER_GRANT_EXPIRED], 1);
}

static void
test_used_grant_stays (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_NORMAL);
  fixture_enqueue (&fixture, 2, FIXTURE_NORMAL);
  for (guint i = 0; i < 20; i++)
    {
      fixture_advance (&fixture, CLK_S);
      fixture_progress (&fixture, 1, 0, 0);
      fixture_progress (&fixture, 2, 0, 0);
    }
  CU_ASSERT_FALSE (fixture_granted (&fixture, 2));
  CU_ASSERT_EQUAL (fixture.counter_set.v[COUNTER_GRANT_EXPIRED], 0);
}

static void
test_deadline_expires (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_NORMAL);
  struct msg_enqueue entry = fixture_entry (&fixture, 2, FIXTURE_NORMAL, "a");
  entry.wait_us = CLK_S;
  shard_enqueue (fixture.shard, "e1", &entry);
  fixture_advance (&fixture, CLK_S);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 2), MSG_REASON_DEADLINE);
  CU_ASSERT_TRUE (fixture_retry_after (&fixture, 2) > 0);
}

static void
test_leaving_server (void)
{
  fixture_open (&fixture, 2, 1);
  for (guint64 id = 1; id <= 4; id++)
    fixture_enqueue (&fixture, id, FIXTURE_NORMAL);
  struct str_id leaving = fixture_id (fixture_server (&fixture, 1));
  struct str_id stays = fixture_id (fixture_server (&fixture, 2));
  CU_ASSERT_STRING_NOT_EQUAL (leaving.s, stays.s);
  shard_set_leaving (fixture.shard, leaving.s, TRUE);
  fixture_release (&fixture, 1, MSG_RESULT_OK);
  CU_ASSERT_FALSE (fixture_granted (&fixture, 3));
  fixture_release (&fixture, 2, MSG_RESULT_LEAVING);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 3), MSG_REASON_NO_SERVER);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 4), MSG_REASON_NO_SERVER);
}

static void
test_enqueue_is_idempotent (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_NORMAL);
  fixture_enqueue (&fixture, 2, FIXTURE_NORMAL);
  fixture_enqueue (&fixture, 2, FIXTURE_NORMAL);
  CU_ASSERT_EQUAL (fixture.n_sent, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_NORMAL);
  CU_ASSERT_EQUAL (fixture.n_sent, 2);
  CU_ASSERT_EQUAL (fixture.sent[1].msg.kind, MSG_GRANT);
  struct msg_shard_summary summary;
  shard_summary (fixture.shard, &summary);
  CU_ASSERT_EQUAL (summary.waiting[1], 1);
  CU_ASSERT_EQUAL (summary.free_slots, 0);
}

static void
test_running_requests_count (void)
{
  fixture_open (&fixture, 1, 1);
  struct msg_enqueue entry = fixture_entry (&fixture, 1, FIXTURE_NORMAL, "a");
  entry.running = fixture_id ("sa");
  shard_enqueue (fixture.shard, "e1", &entry);
  fixture_enqueue (&fixture, 2, FIXTURE_NORMAL);
  CU_ASSERT_EQUAL (fixture.n_sent, 0);
  fixture_release (&fixture, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 2));
}

static void
test_ingress_lost (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_NORMAL);
  fixture_enqueue (&fixture, 2, FIXTURE_NORMAL);
  struct msg_enqueue entry = fixture_entry (&fixture, 2, FIXTURE_NORMAL, "a");
  shard_enqueue (fixture.shard, "e2", &entry);
  shard_ingress_lost (fixture.shard, "e1");
  CU_ASSERT_EQUAL (fixture.n_sent, 2);
  CU_ASSERT_STRING_EQUAL (fixture.sent[1].to.s, "e2");
}

static void
test_silent_ingress (void)
{
  fixture_open (&fixture, 1, 1);
  struct msg_enqueue entry = fixture_entry (&fixture, 1, FIXTURE_NORMAL, "a");
  entry.running = fixture_id ("sa");
  shard_enqueue (fixture.shard, "e1", &entry);
  fixture_advance (&fixture, 9 * CLK_S);
  CU_ASSERT_FALSE (shard_is_idle (fixture.shard));
  struct msg_shard_summary summary;
  shard_summary (fixture.shard, &summary);
  CU_ASSERT_EQUAL (summary.free_slots, 0);
  fixture_advance (&fixture, CLK_S);
  shard_summary (fixture.shard, &summary);
  CU_ASSERT_EQUAL (summary.free_slots, 1);
  CU_ASSERT_TRUE (shard_is_idle (fixture.shard));
}

/* Keeps one slot busy for N starts, each generating TOKENS_A for team a and
   TOKENS_B for team b, and returns how many of the starts were team b's.  */
static guint
starts_of_b (guint n, guint32 tokens_a, guint32 tokens_b)
{
  guint b = 0;
  for (guint i = 0; i < n; i++)
    {
      guint64 id = fixture.sent[fixture.n_sent - 1].msg.grant.queue_entry;
      gboolean is_b = id >= 1000;
      b += is_b;
      fixture_progress (&fixture, id, is_b ? tokens_b : tokens_a, 10 * CLK_MS);
      fixture_release (&fixture, id, MSG_RESULT_OK);
    }
  return b;
}

static void
enqueue_teams (guint n)
{
  for (guint i = 0; i < n; i++)
    fixture_enqueue (&fixture, 1 + i, FIXTURE_NORMAL);
  for (guint i = 0; i < n; i++)
    {
      struct msg_enqueue entry
          = fixture_entry (&fixture, 1000 + i, FIXTURE_NORMAL, "b");
      shard_enqueue (fixture.shard, "e1", &entry);
    }
}

static void
test_teams_share_a_class (void)
{
  fixture_init (&fixture, 1, 1);
  fixture.classes[FIXTURE_NORMAL].max_waiting = 100;
  fixture_start (&fixture);
  enqueue_teams (40);
  guint b = starts_of_b (40, 100, 100);
  CU_ASSERT_TRUE (b >= 19 && b <= 21);
}

static void
test_teams_share_by_tokens (void)
{
  fixture_init (&fixture, 1, 1);
  fixture.classes[FIXTURE_NORMAL].max_waiting = 100;
  fixture_start (&fixture);
  enqueue_teams (40);
  guint b = starts_of_b (40, 300, 0);
  CU_ASSERT_TRUE (b >= 31 && b <= 33); /* 100 against 400 tokens per start */
}

static void
test_teams_share_by_weight (void)
{
  fixture_init (&fixture, 1, 1);
  fixture.classes[FIXTURE_NORMAL].max_waiting = 100;
  fixture.teams[1].weight = 3;
  fixture_start (&fixture);
  enqueue_teams (40);
  guint b = starts_of_b (40, 100, 100);
  CU_ASSERT_TRUE (b >= 29 && b <= 31);
}

static void
test_team_limit (void)
{
  fixture_init (&fixture, 1, 8);
  fixture.teams[0].max_running = 2;
  fixture_start (&fixture);
  for (guint i = 1; i <= 5; i++)
    fixture_enqueue (&fixture, i, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (fixture.n_sent, 2);
  struct msg_enqueue entry = fixture_entry (&fixture, 9, FIXTURE_BATCH, "b");
  shard_enqueue (fixture.shard, "e1", &entry);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 9));
  fixture_release (&fixture, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 3));
  CU_ASSERT_FALSE (fixture_granted (&fixture, 4));
}

/* Enqueues N requests of a class with ids from FIRST on.  */
static void
enqueue_many (guint64 first, guint n, guint class_index)
{
  for (guint i = 0; i < n; i++)
    fixture_enqueue (&fixture, first + i, class_index);
}

/* Releases the request granted last, N times, and counts the starts that follow
   by the thousands of their ids.  */
static void
count_starts (guint n, guint counts[3])
{
  for (guint i = 0; i < n; i++)
    {
      fixture_release (&fixture,
                       fixture.sent[fixture.n_sent - 1].msg.grant.queue_entry,
                       MSG_RESULT_OK);
      counts[fixture.sent[fixture.n_sent - 1].msg.grant.queue_entry / 1000]++;
    }
}

static void
test_minimum_share (void)
{
  fixture_init (&fixture, 1, 1);
  fixture.classes[FIXTURE_URGENT].max_waiting = 200;
  fixture.classes[FIXTURE_NORMAL].min_share = 0.2;
  fixture.classes[FIXTURE_BATCH].min_share = 0.1;
  fixture_start (&fixture);
  enqueue_many (1, 150, FIXTURE_URGENT);
  enqueue_many (1000, 40, FIXTURE_NORMAL);
  enqueue_many (2000, 40, FIXTURE_BATCH);
  guint counts[3] = { 0 };
  count_starts (100, counts);
  CU_ASSERT_TRUE (counts[1] == 19 || counts[1] == 20);
  CU_ASSERT_TRUE (counts[2] == 9 || counts[2] == 10);
}

static void
test_no_share_no_start (void)
{
  fixture_open (&fixture, 1, 1);
  enqueue_many (1, 40, FIXTURE_URGENT);
  enqueue_many (1000, 5, FIXTURE_BATCH);
  guint counts[3] = { 0 };
  count_starts (39, counts);
  CU_ASSERT_EQUAL (counts[0], 39);
}

static void
test_higher_tier_evicts (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_URGENT);
  enqueue_many (100, 50, FIXTURE_NORMAL);
  enqueue_many (200, 50, FIXTURE_BATCH);
  fixture.clock.t += CLK_MS;
  enqueue_many (300, 50, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (fixture.n_sent, 1);
  /* Beyond its own room the urgent class evicts the youngest batch requests
     down to the reserved room, then normal ones; then it is rejected. */
  enqueue_many (400, 45, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 249), MSG_REASON_EVICTED);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 205), MSG_REASON_EVICTED);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 204), MSG_REASON_N);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 149), MSG_REASON_N);
  enqueue_many (500, 45, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 105), MSG_REASON_EVICTED);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 104), MSG_REASON_N);
  CU_ASSERT_EQUAL (fixture.counter_set.v[COUNTER_EVICTED], 90);
  fixture_enqueue (&fixture, 600, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 600), MSG_REASON_OVERLOAD);
}

static void
test_reserved_room (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_URGENT);
  enqueue_many (100, 60, FIXTURE_BATCH);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 149), MSG_REASON_N);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 150), MSG_REASON_OVERLOAD);
  enqueue_many (200, 95, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 104), MSG_REASON_N);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 105), MSG_REASON_EVICTED);
  /* The reserved room of the normal class is still free. */
  enqueue_many (300, 5, FIXTURE_NORMAL);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 304), MSG_REASON_N);
}

static void
test_no_server (void)
{
  fixture_open (&fixture, 1, 1);
  shard_set_leaving (fixture.shard, "sa", TRUE);
  fixture_enqueue (&fixture, 1, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 1), MSG_REASON_NO_SERVER);
}

/* Runs urgent requests for SECONDS on an engine whose time between tokens is 10
   ms plus 1 ms for each request in flight. All stay in flight. Returns how many
   were granted.  */
static guint
settle_limit (guint seconds)
{
  guint granted = 0;
  for (guint i = 0; i < seconds; i++)
    {
      enqueue_many (1 + 100 * i, 20, FIXTURE_URGENT);
      granted = (guint)fixture.counter_set.v[COUNTER_GRANTS];
      for (guint j = 0; j < fixture.n_sent; j++)
        if (fixture.sent[j].msg.kind == MSG_GRANT)
          fixture_progress (&fixture, fixture.sent[j].msg.grant.queue_entry, 50,
                            10 * CLK_MS + granted * CLK_MS);
      fixture_advance (&fixture, CLK_S);
    }
  return granted;
}

static void
test_limit_meets_the_target (void)
{
  fixture_open (&fixture, 1, 64);
  /* 20 requests take 30 ms between tokens; the hard limit is 64. */
  guint granted = settle_limit (8);
  CU_ASSERT_EQUAL (granted, 32); /* the initial limit, all in flight */
  fixture_close (&fixture);
  fixture_open (&fixture, 1, 24);
  granted = settle_limit (8);
  CU_ASSERT_TRUE (granted >= 16 && granted <= 20);
}

static void
test_foreign_load (void)
{
  fixture_open (&fixture, 1, 4);
  struct shard_load load = { .running = 3, .age_us = 0 };
  shard_load_report (fixture.shard, "sa", &load);
  fixture_advance (&fixture, SHARD_TICK_US);
  enqueue_many (1, 4, FIXTURE_NORMAL);
  /* 3 foreign requests, discounted by the report's age. */
  CU_ASSERT_EQUAL (fixture.n_sent, 2);
  fixture_progress (&fixture, 1, 0, 0);
  fixture_progress (&fixture, 2, 0, 0);
  for (guint i = 0; i < 5; i++)
    {
      fixture_advance (&fixture, CLK_S);
      for (guint64 id = 1; id <= 4; id++)
        fixture_progress (&fixture, id, 0, 0);
    }
  CU_ASSERT_TRUE (fixture_granted (&fixture, 4));
}

/* Requests at a time, more than the initial limits of three servers. */
#define ROUND 14

/* Ends request ID if it was granted. Returns whether BAD served it.  */
static gboolean
serve_one (guint64 id, const char *bad, guint32 tbt_us, enum msg_result result)
{
  const struct msg *msg = fixture_find (&fixture, MSG_GRANT, id);
  gboolean is_bad = msg && strcmp (msg->grant.backend.s, bad) == 0;
  if (msg)
    fixture_progress (&fixture, id, 20, is_bad ? tbt_us : 20 * CLK_MS);
  fixture_release (&fixture, id, is_bad ? result : MSG_RESULT_OK);
  return is_bad;
}

/* Runs ROUNDS rounds of short normal requests. The server BAD takes TBT_US
   between tokens and ends its requests with RESULT. Returns how many BAD
   got.  */
static guint
serve_rounds (guint rounds, const char *bad, guint32 tbt_us,
              enum msg_result result)
{
  static guint64 id = 1;
  guint count = 0;
  for (guint i = 0; i < rounds; i++)
    {
      enqueue_many (id, ROUND, FIXTURE_NORMAL);
      for (guint j = 0; j < ROUND; j++)
        count += serve_one (id++, bad, tbt_us, result);
      fixture_advance (&fixture, SHARD_TICK_US);
    }
  return count;
}

static void
test_slow_server_with_good_reports (void)
{
  fixture_open (&fixture, 4, 8);
  for (guint i = 0; i < 8; i++)
    {
      struct shard_load load = { .running = 0, .kv_used = 0.1 };
      shard_load_report (fixture.shard, "sb", &load);
      serve_rounds (2, "sb", 100 * CLK_MS, MSG_RESULT_OK);
    }
  CU_ASSERT_TRUE (fixture.counter_set.v[COUNTER_EJECTIONS] >= 1);
  guint count = serve_rounds (400, "sb", 100 * CLK_MS, MSG_RESULT_OK);
  CU_ASSERT_TRUE (count > 0 && count <= 40);
  serve_rounds (800, "sb", 20 * CLK_MS, MSG_RESULT_OK);
  count = serve_rounds (400, "sb", 20 * CLK_MS, MSG_RESULT_OK);
  CU_ASSERT_TRUE (count >= 700); /* half of an even share of 1400 */
}

static void
test_crashed_server (void)
{
  fixture_open (&fixture, 4, 8);
  guint count = serve_rounds (400, "sb", 0, MSG_RESULT_NOT_SENT);
  CU_ASSERT_TRUE (count <= 20); /* 1400 would be an even share */
}

/* Enqueues request ID with PREFIX and returns the server granted to it.  */
static const char *
enqueue_with_prefix (guint64 id, guint64 prefix, guint32 tokens)
{
  struct msg_enqueue entry = fixture_entry (&fixture, id, FIXTURE_NORMAL, "a");
  entry.prefix = prefix;
  entry.prompt_tokens = tokens;
  shard_enqueue (fixture.shard, "e1", &entry);
  return fixture_server (&fixture, id);
}

static void
test_prefix_returns (void)
{
  guint same = 0;
  fixture_open (&fixture, 4, 8);
  for (guint64 prefix = 1; prefix <= 10; prefix++)
    {
      char first[STR_ID_MAX + 1];
      g_strlcpy (first, enqueue_with_prefix (prefix * 10, prefix, 1000),
                 sizeof first);
      fixture_release (&fixture, prefix * 10, MSG_RESULT_OK);
      for (guint64 id = prefix * 10 + 1; id < prefix * 10 + 5; id++)
        {
          same += strcmp (enqueue_with_prefix (id, prefix, 1000), first) == 0;
          fixture_release (&fixture, id, MSG_RESULT_OK);
        }
    }
  CU_ASSERT_EQUAL (same, 40);
  shard_cache_event (fixture.shard, "sc", 99, TRUE);
  CU_ASSERT_STRING_EQUAL (enqueue_with_prefix (1, 99, 1000), "sc");
}

static void
test_frequent_prefix_spreads (void)
{
  guint counts[4] = { 0 };
  fixture_open (&fixture, 4, 16);
  for (guint64 id = 1; id <= 16; id++)
    counts[enqueue_with_prefix (id, 5, 100000)[1] - 'a']++;
  for (guint i = 0; i < 4; i++)
    CU_ASSERT_TRUE (counts[i] <= 6);
}

static void
test_short_prefix_and_load (void)
{
  fixture_open (&fixture, 2, 4);
  /* 10 ms between tokens: a slot of 4 costs 80 ms over 32 tokens. */
  for (guint64 id = 1; id <= 2; id++)
    {
      fixture_enqueue (&fixture, id, FIXTURE_NORMAL);
      fixture_progress (&fixture, id, 10, 10 * CLK_MS);
      fixture_release (&fixture, id, MSG_RESULT_OK);
    }
  shard_cache_event (fixture.shard, "sa", 5, TRUE);
  CU_ASSERT_STRING_EQUAL (enqueue_with_prefix (11, 5, 100), "sa");
  CU_ASSERT_STRING_EQUAL (enqueue_with_prefix (12, 5, 100), "sb");
}

/* Lets the request granted last run for 500 ms and ends it, N times.  */
static void
serve_slowly (guint n)
{
  for (guint i = 0; i < n; i++)
    {
      guint64 id = fixture.sent[fixture.n_sent - 1].msg.grant.queue_entry;
      fixture_advance (&fixture, 500 * CLK_MS);
      fixture_release (&fixture, id, MSG_RESULT_OK);
    }
}

/* Enqueues a request that may wait 2 s. Returns the reason for which it was
   rejected, or MSG_REASON_N. */
static enum msg_reason
enqueue_short_wait (guint64 id, guint class_index)
{
  struct msg_enqueue entry = fixture_entry (&fixture, id, class_index, "a");
  entry.wait_us = 2 * CLK_S;
  shard_enqueue (fixture.shard, "e1", &entry);
  return fixture_rejected (&fixture, id);
}

static void
test_too_long_wait (void)
{
  fixture_open (&fixture, 1, 1);
  enqueue_many (1, 36, FIXTURE_NORMAL);
  CU_ASSERT_EQUAL (enqueue_short_wait (100, FIXTURE_NORMAL), MSG_REASON_N);
  shard_withdraw (fixture.shard, "e1", 100);
  serve_slowly (8); /* 2 per second; 27 still wait */
  CU_ASSERT_EQUAL (enqueue_short_wait (101, FIXTURE_NORMAL),
                   MSG_REASON_DEADLINE);
  CU_ASSERT_EQUAL (enqueue_short_wait (102, FIXTURE_BATCH),
                   MSG_REASON_DEADLINE);
  CU_ASSERT_EQUAL (enqueue_short_wait (103, FIXTURE_URGENT), MSG_REASON_N);
  /* Team b does not wait for the queue of team a. */
  struct msg_enqueue entry = fixture_entry (&fixture, 105, FIXTURE_NORMAL, "b");
  entry.wait_us = 2 * CLK_S;
  shard_enqueue (fixture.shard, "e1", &entry);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 105), MSG_REASON_N);
  fixture_enqueue (&fixture, 104, FIXTURE_NORMAL);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 104), MSG_REASON_N);
  gint64 retry = fixture_retry_after (&fixture, 101);
  CU_ASSERT_TRUE (retry > 12 * CLK_S && retry < 22 * CLK_S);
  CU_ASSERT_NOT_EQUAL (retry, fixture_retry_after (&fixture, 102));
  struct msg_shard_summary summary;
  shard_summary (fixture.shard, &summary);
  CU_ASSERT_EQUAL (summary.starts_per_s, 1); /* 9 in 10 s */
}

static void
test_team_limit_reason (void)
{
  fixture_init (&fixture, 1, 8);
  fixture.teams[0].max_running = 1;
  fixture_start (&fixture);
  fixture_enqueue (&fixture, 1, FIXTURE_NORMAL);
  CU_ASSERT_EQUAL (enqueue_short_wait (2, FIXTURE_NORMAL), MSG_REASON_N);
  fixture_advance (&fixture, CLK_S);
  fixture_progress (&fixture, 1, 0, 0);
  fixture_advance (&fixture, CLK_S);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 2), MSG_REASON_TEAM_LIMIT);
}

/* Fills 8 slots with batch requests that run for 2 s. Each generates GENERATED
   tokens; request 3 generates half as many.  */
static void
fill_with_batch (gboolean resumable, guint32 generated)
{
  fixture_init (&fixture, 1, 8);
  fixture.classes[FIXTURE_BATCH].min_share = 0.5;
  fixture.pool.kind = CLUSTER_SERVICE; /* no adaptive limit */
  fixture_start (&fixture);
  for (guint64 id = 1; id <= 8; id++)
    {
      struct msg_enqueue entry
          = fixture_entry (&fixture, id, FIXTURE_BATCH, "a");
      entry.resumable = resumable;
      shard_enqueue (fixture.shard, "e1", &entry);
    }
  for (guint i = 0; i < 2; i++)
    {
      fixture_advance (&fixture, CLK_S);
      for (guint64 id = 1; id <= 8; id++)
        fixture_progress (&fixture, id, id == 3 ? generated / 4 : generated / 2,
                          0);
    }
}

static guint64
preempted (void)
{
  return fixture.counter_set.v[COUNTER_PREEMPTED];
}

static void
test_preemption (void)
{
  fill_with_batch (TRUE, 200);
  fixture_enqueue (&fixture, 10, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (preempted (), 1);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&fixture, MSG_PREEMPT, 3));
  fixture_release (&fixture, 3, MSG_RESULT_CANCELLED);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 10));
  /* At most one for each waiting request, and not at once. */
  fixture_enqueue (&fixture, 11, FIXTURE_URGENT);
  CU_ASSERT_EQUAL (preempted (), 1);
  fixture_advance (&fixture, 250 * CLK_MS);
  CU_ASSERT_EQUAL (preempted (), 2);
}

/* A request was resumable when it started but is not when it is preempted,
   which its ingress tells. Another one is preempted instead, and the first one
   not again.  */
static void
test_preemption_refused (void)
{
  fill_with_batch (TRUE, 200);
  fixture_enqueue (&fixture, 10, FIXTURE_URGENT);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&fixture, MSG_PREEMPT, 3));
  struct msg_enqueue entry = fixture_entry (&fixture, 3, FIXTURE_BATCH, "a");
  entry.running = fixture_id ("sa");
  shard_enqueue (fixture.shard, "e1", &entry);
  fixture_advance (&fixture, 150 * CLK_MS);
  CU_ASSERT_EQUAL (preempted (), 2);
  for (guint64 id = 1; id <= 8; id++)
    if (id != 3 && fixture_find (&fixture, MSG_PREEMPT, id) != NULL)
      fixture_release (&fixture, id, MSG_RESULT_CANCELLED);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 10));
  fixture_release (&fixture, 3, MSG_RESULT_OK);
}

static void
test_preemption_keeps_the_share (void)
{
  fill_with_batch (TRUE, 200);
  for (guint64 id = 10; id < 30; id++)
    {
      fixture_enqueue (&fixture, id, FIXTURE_URGENT);
      fixture_advance (&fixture, 250 * CLK_MS);
      for (guint64 b = 1; b <= 8; b++)
        {
          if (fixture_find (&fixture, MSG_PREEMPT, b))
            fixture_release (&fixture, b, MSG_RESULT_CANCELLED);
          fixture_progress (&fixture, b, 0, 0);
        }
      for (guint64 u = 10; u <= id; u++)
        fixture_progress (&fixture, u, 0, 0);
    }
  CU_ASSERT_EQUAL (preempted (), 4);
}

static void
test_no_preemption (void)
{
  fill_with_batch (FALSE, 200);
  fixture_enqueue (&fixture, 10, FIXTURE_URGENT);
  fixture_advance (&fixture, 2 * SHARD_TICK_US);
  CU_ASSERT_EQUAL (preempted (), 0); /* not resumable */
  fixture_close (&fixture);
  fill_with_batch (TRUE, 40000);
  fixture_enqueue (&fixture, 10, FIXTURE_URGENT);
  fixture_advance (&fixture, 2 * SHARD_TICK_US);
  CU_ASSERT_EQUAL (preempted (), 0); /* too much prefill would be repeated */
  fixture_close (&fixture);
  fill_with_batch (TRUE, 200);
  fixture_enqueue (&fixture, 10, FIXTURE_BATCH);
  fixture_enqueue (&fixture, 11, FIXTURE_NORMAL);
  fixture_advance (&fixture, 2 * SHARD_TICK_US);
  CU_ASSERT_EQUAL (preempted (), 0); /* the normal request can still wait 2 s */
}

static void
test_config_removes_a_server (void)
{
  fixture_open (&fixture, 2, 1);
  enqueue_many (1, 3, FIXTURE_NORMAL);
  struct cluster_config reduced = fixture.cfg;
  guint removed = fixture_server (&fixture, 1)[1] == 'a' ? 0 : 1;
  reduced.backends = &fixture.backends[1 - removed];
  reduced.n_backends = 1;
  shard_set_config (fixture.shard, &reduced);
  fixture_release (&fixture, 1, MSG_RESULT_OK);
  CU_ASSERT_FALSE (fixture_granted (&fixture, 3));
  shard_set_config (fixture.shard, &fixture.cfg);
  CU_ASSERT_STRING_EQUAL (fixture_server (&fixture, 3),
                          fixture.backends[removed].name.s);
}

static void
test_removed_server_counts (void)
{
  fixture_open (&fixture, 1, 2);
  enqueue_many (1, 3, FIXTURE_NORMAL);
  struct cluster_config empty = fixture.cfg;
  empty.n_backends = 0;
  shard_set_config (fixture.shard, &empty);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 3), MSG_REASON_NO_SERVER);
  shard_set_config (fixture.shard, &fixture.cfg);
  struct msg_shard_summary summary;
  shard_summary (fixture.shard, &summary);
  CU_ASSERT_EQUAL (summary.free_slots, 0);
}

static void
test_config_removes_a_class (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_BATCH);
  fixture_enqueue (&fixture, 2, FIXTURE_BATCH);
  fixture_enqueue (&fixture, 3, FIXTURE_NORMAL);
  fixture_progress (&fixture, 1, 10, 10 * CLK_MS);
  struct cluster_config reduced = fixture.cfg;
  reduced.n_classes = FIXTURE_BATCH;
  shard_set_config (fixture.shard, &reduced);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 2), MSG_REASON_NO_SERVER);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 3), MSG_REASON_N);
  fixture_progress (&fixture, 1, 10, 10 * CLK_MS);
  fixture_release (&fixture, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 3));
  fixture_enqueue (&fixture, 4, FIXTURE_BATCH);
  CU_ASSERT_EQUAL (fixture_rejected (&fixture, 4), MSG_REASON_NO_SERVER);
  shard_set_config (fixture.shard, &fixture.cfg);
}

static void
test_late_requests_wait (void)
{
  fixture_open (&fixture, 1, 1);
  enqueue_many (1, 2, FIXTURE_NORMAL);
  fixture_progress (&fixture, 1, 1, 0);
  fixture_advance (&fixture, 3 * CLK_S);
  /* Request 2 has missed its target of 2 s. */
  enqueue_many (10, 10, FIXTURE_NORMAL);
  fixture_release (&fixture, 1, MSG_RESULT_OK);
  for (guint64 id = 10; id < 17; id++)
    {
      CU_ASSERT_TRUE (fixture_granted (&fixture, id));
      CU_ASSERT_FALSE (fixture_granted (&fixture, 2));
      fixture_release (&fixture, id, MSG_RESULT_OK);
    }
  CU_ASSERT_TRUE (fixture_granted (&fixture, 2));
}

/* A late request that has lost half of its time, as with a shard owner that was
   frozen, must not be skipped until its deadline.  */
static void
test_due_requests_wait_less (void)
{
  fixture_open (&fixture, 1, 1);
  fixture_enqueue (&fixture, 1, FIXTURE_NORMAL);
  struct msg_enqueue moved = fixture_entry (&fixture, 2, FIXTURE_NORMAL, "a");
  moved.waited_us = 5 * CLK_S;
  moved.wait_us = 3 * CLK_S;
  shard_enqueue (fixture.shard, "gw", &moved);
  fixture_progress (&fixture, 1, 1, 0);
  enqueue_many (10, 10, FIXTURE_NORMAL);
  fixture_release (&fixture, 1, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 10));
  fixture_release (&fixture, 10, MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 2));
}

static void
test_crash_counts_at_once (void)
{
  fixture_open (&fixture, 2, 8);
  enqueue_many (1, 8, FIXTURE_NORMAL);
  for (guint64 id = 1; id <= 8; id++)
    serve_one (id, "sa", 20 * CLK_MS, MSG_RESULT_BROKEN);
  enqueue_many (11, 4, FIXTURE_NORMAL); /* no tick in between */
  CU_ASSERT_TRUE (fixture_granted (&fixture, 11));
  for (guint64 id = 11; id <= 14; id++)
    CU_ASSERT_STRING_NOT_EQUAL (fixture_server (&fixture, id), "sa");
}

/* Slots stay reserved after urgent requests that filled both servers ended.
   Idle servers must accept other requests nevertheless.  */
static void
test_idle_servers_are_not_reserved (void)
{
  fixture_init (&fixture, 2, 8);
  fixture_start (&fixture);
  enqueue_many (1, 16, FIXTURE_URGENT);
  for (guint64 id = 1; id <= 16; id++)
    serve_one (id, "sa", 25 * CLK_MS, MSG_RESULT_OK);
  enqueue_many (101, 2, FIXTURE_BATCH);
  CU_ASSERT_STRING_NOT_EQUAL (fixture_server (&fixture, 101), "");
  CU_ASSERT_STRING_NOT_EQUAL (fixture_server (&fixture, 102), "");
}

/* Resuming a preempted request must not count as a start of its class.  */
static void
test_resuming_is_no_start (void)
{
  fixture_init (&fixture, 1, 1);
  fixture.classes[FIXTURE_BATCH].min_share = 0.5;
  fixture_start (&fixture);
  enqueue_many (1, 20, FIXTURE_URGENT);
  struct msg_enqueue resumed
      = fixture_entry (&fixture, 100, FIXTURE_BATCH, "a");
  resumed.generated = 5;
  resumed.waited_us = CLK_S; /* the oldest of its class */
  shard_enqueue (fixture.shard, "e1", &resumed);
  enqueue_many (101, 5, FIXTURE_BATCH);
  for (guint i = 0; i < 6 && !fixture_granted (&fixture, 100); i++)
    fixture_release (&fixture,
                     fixture.sent[fixture.n_sent - 1].msg.grant.queue_entry,
                     MSG_RESULT_OK);
  CU_ASSERT_TRUE (fixture_granted (&fixture, 100));
  fixture_release (&fixture, 100, MSG_RESULT_OK);
  /* The class is still owed a start. */
  CU_ASSERT_TRUE (fixture_granted (&fixture, 101));
}

/* Serves request ID, of which RESUMED tokens were generated before, on a server
   that takes US_PER_TOKEN for each token before the first new one. Returns the
   server.  */
static const char *
serve_from (guint64 id, guint32 resumed, const char *avoid, gint64 us_per_token)
{
  struct msg_enqueue entry = fixture_entry (&fixture, id, FIXTURE_NORMAL, "a");
  struct msg_release release = { .queue_entry = id, .result = MSG_RESULT_OK };
  entry.generated = resumed;
  entry.avoid[0] = fixture_id (avoid);
  shard_enqueue (fixture.shard, "e1", &entry);
  release.backend = fixture_id (fixture_server (&fixture, id));
  release.ttft_us
      = (guint32)(us_per_token * (500 + entry.prompt_tokens + resumed));
  fixture_progress (&fixture, id, 20, 20 * CLK_MS);
  shard_release (fixture.shard, "e1", &release);
  return fixture_server (&fixture, id);
}

/* A server that got the resumed requests, whose earlier tokens are prefilled
   again, must not be taken for slow.  */
static void
test_resumed_prefill (void)
{
  guint count = 0;
  fixture_open (&fixture, 2, 8);
  for (guint64 id = 1; id <= 60; id += 2)
    {
      serve_from (id, 4000, "sb", 250);
      serve_from (id + 1, 0, "sa", 250);
      fixture_advance (&fixture, SHARD_TICK_US);
    }
  for (guint64 id = 101; id <= 110; id++)
    count += strcmp (serve_from (id, 0, "sb", 250), "sa") == 0;
  CU_ASSERT_EQUAL (count, 10);
}

static CU_TestInfo tests[] = {
  { "the highest tier starts first", test_tier_order },
  { "an unused grant expires", test_unused_grant_expires },
  { "a used grant stays while its ingress reports", test_used_grant_stays },
  { "a request past its deadline is rejected", test_deadline_expires },
  { "a leaving server gets no requests", test_leaving_server },
  { "an entry enqueued twice counts once", test_enqueue_is_idempotent },
  { "a new owner counts running requests", test_running_requests_count },
  { "the requests of a lost ingress are dropped", test_ingress_lost },
  { "the requests of a silent ingress are dropped", test_silent_ingress },
  { "teams share a class evenly", test_teams_share_a_class },
  { "teams share by tokens, not by starts", test_teams_share_by_tokens },
  { "teams share by weight", test_teams_share_by_weight },
  { "a team at its limit waits, others pass", test_team_limit },
  { "a class gets its minimum share of starts", test_minimum_share },
  { "tier order is strict beyond the shares", test_no_share_no_start },
  { "prefill of a resumed request", test_resumed_prefill },
  { "a higher tier evicts the lowest", test_higher_tier_evicts },
  { "reserved room is kept for its class", test_reserved_room },
  { "a shard without servers rejects", test_no_server },
  { "the limit adapts to the tightest target", test_limit_meets_the_target },
  { "foreign load counts while its report is fresh", test_foreign_load },
  { "a slow server is ejected despite good reports",
    test_slow_server_with_good_reports },
  { "a crashed server gets few requests", test_crashed_server },
  { "a prefix returns to its server", test_prefix_returns },
  { "requests of a frequent prefix spread", test_frequent_prefix_spreads },
  { "a short prefix matters less than load", test_short_prefix_and_load },
  { "a too long wait is rejected at once", test_too_long_wait },
  { "a team's limit is given as the reason", test_team_limit_reason },
  { "a running request is preempted for a higher tier", test_preemption },
  { "a preemption is refused", test_preemption_refused },
  { "preemption keeps the minimum share", test_preemption_keeps_the_share },
  { "no preemption without need or use", test_no_preemption },
  { "a removed server gets no requests", test_config_removes_a_server },
  { "a removed server's requests still count", test_removed_server_counts },
  { "a removed class's requests are rejected", test_config_removes_a_class },
  { "late requests wait, but not for ever", test_late_requests_wait },
  { "requests near their deadline wait less", test_due_requests_wait_less },
  { "a crash counts without a tick", test_crash_counts_at_once },
  { "resuming after a preemption is no start", test_resuming_is_no_start },
  { "idle servers are not reserved", test_idle_servers_are_not_reserved },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "shard", NULL, NULL, NULL, tear_down, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
