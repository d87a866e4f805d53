/* Accounts of usage and the reports of them: several instances in one process
   on a fake clock, with messages that are lost, repeated and reordered. Each
   test names the failure that it guards against.  */
#include "unit/unit.h"

#include <string.h>

#include "base/err.h"
#include "peer/gossip_message.h"
#include "usage/true_time.h"
#include "usage/usage_reports.h"

#define WINDOW_US (5 * CLK_S)
#define LATE_US (10 * CLK_S)
#define T0 (353445120 * WINDOW_US) /* the start of a window */
#define W0 G_GUINT64_CONSTANT (353445120)

/* An instance, and what the collector that the test looks at has confirmed.  */
struct node
{
  struct usage_account *account;
  guint32 ip;
  guint64 held;
};

static struct node
node_new (guint32 ip, guint32 incarnation, gint64 now)
{
  const struct node node
      = { usage_account_new (WINDOW_US, "node", incarnation), ip, 0 };
  usage_account_tick (node.account, now);
  usage_account_set_interval (node.account, 500 * CLK_MS);
  return node;
}

/* Returns the encoded messages that bring a collector up to date.  */
static GPtrArray *
messages_of (const struct node *node, gint64 now)
{
  GPtrArray *list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  struct usage_message message;
  guint64 since = node->held;
  gboolean is_more = TRUE;
  usage_message_init (&message);
  while (is_more)
    {
      GByteArray *bytes = g_byte_array_new ();
      is_more = usage_account_fill (node->account, since, TRUE, now, &message);
      since = message.through;
      usage_message_encode (&message, bytes);
      g_ptr_array_add (list, bytes);
    }
  usage_message_clear (&message);
  return list;
}

static guint64
deliver (struct usage_account *to, guint32 ip, const GByteArray *bytes,
         gint64 now)
{
  struct usage_message message;
  struct err err = { 0 };
  struct str text = { (const char *)bytes->data, bytes->len };
  usage_message_init (&message);
  CU_ASSERT_TRUE (usage_message_is (text));
  CU_ASSERT_EQUAL (usage_message_decode (text, &message, &err), 0);
  guint64 held = usage_account_merge (to, ip, &message, now);
  usage_message_clear (&message);
  return held;
}

static void
tell (struct node *from, struct usage_account *to, gint64 now)
{
  GPtrArray *list = messages_of (from, now);
  for (guint i = 0; i < list->len; i++)
    from->held = deliver (to, from->ip, g_ptr_array_index (list, i), now);
  g_ptr_array_unref (list);
}

static void
count (const struct node *node, const char *team, guint n, gint64 now)
{
  for (guint i = 0; i < n; i++)
    usage_account_add_request (node->account, str_of (team), now);
}

static guint64
sum_of (struct usage_account *account, guint64 window, const char *team,
        gint64 now)
{
  GArray *counts = g_array_new (FALSE, FALSE, sizeof (struct usage_count));
  guint64 n = 0;
  usage_account_sum (account, window, now, counts);
  for (guint i = 0; i < counts->len; i++)
    if (g_str_equal (g_array_index (counts, struct usage_count, i).team, team))
      n += g_array_index (counts, struct usage_count, i).requests;
  g_array_unref (counts);
  return n;
}

/* A message on its way.  */
struct flight
{
  GByteArray *bytes;
  guint from;
  gint64 arrives;
};

#define MESH_NODES 6
#define MESH_TEAMS 9
#define MESH_WINDOWS 8

/* Delivers what arrives until NOW. The confirmation may be lost, too.  */
static void
fly (GArray *flights, struct node *nodes, struct usage_account *to, GRand *rand,
     gint64 now)
{
  for (guint i = flights->len; i > 0; i--)
    {
      struct flight *flight = &g_array_index (flights, struct flight, i - 1);
      if (flight->arrives > now)
        continue;
      struct node *node = &nodes[flight->from];
      guint64 held = deliver (to, node->ip, flight->bytes, now);
      if (g_rand_double (rand) < 0.7)
        node->held = held;
      if (g_rand_double (rand) < 0.2)
        {
          flight->arrives = now + g_rand_int_range (rand, 1, 4000000);
          continue;
        }
      g_byte_array_unref (flight->bytes);
      g_array_remove_index (flights, i - 1);
    }
}

static void
compare_windows (struct usage_account *collector,
                 guint64 truth[MESH_WINDOWS][MESH_TEAMS], gboolean *seen,
                 gint64 now)
{
  for (guint w = 0; w < MESH_WINDOWS; w++)
    {
      gint64 end = T0 + (w + 1) * WINDOW_US;
      if (seen[w] || now < end
          || usage_account_window_state (collector, W0 + w, now).n_missing > 0)
        continue;
      seen[w] = TRUE;
      for (guint t = 0; t < MESH_TEAMS; t++)
        {
          char team[16];
          g_snprintf (team, sizeof team, "team-%u", t);
          CU_ASSERT_EQUAL (sum_of (collector, W0 + w, team, now), truth[w][t]);
        }
    }
}

/* Guards against counts that are off, above all of teams with few requests, in
   a window that is called complete, when messages and confirmations are lost,
   repeated and reordered.  */
static void
test_complete_is_exact (void)
{
  for (guint32 seed = 1; seed <= 30; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct node nodes[MESH_NODES];
      guint64 truth[MESH_WINDOWS][MESH_TEAMS] = { 0 };
      gboolean seen[MESH_WINDOWS] = { FALSE };
      guint n_seen = 0;
      GArray *flights = g_array_new (FALSE, FALSE, sizeof (struct flight));
      for (guint i = 0; i < MESH_NODES; i++)
        nodes[i] = node_new (i + 1, 100 + i, T0);
      struct usage_account *collector = nodes[0].account;
      for (gint64 now = T0; now < T0 + (MESH_WINDOWS + 3) * WINDOW_US;
           now += 50 * CLK_MS)
        {
          guint w = (guint)((now - T0) / WINDOW_US);
          for (guint i = 0; i < MESH_NODES && w < MESH_WINDOWS; i++)
            if (g_rand_double (rand) < 0.3)
              {
                double draw = g_rand_double (rand);
                guint t = (guint)(draw * draw * draw * MESH_TEAMS);
                char team[16];
                g_snprintf (team, sizeof team, "team-%u", t);
                count (&nodes[i], team, 1, now);
                truth[w][t]++;
              }
          for (guint i = 1; i < MESH_NODES; i++)
            if ((now / CLK_MS + i * 50) % 500 == 0)
              {
                GPtrArray *list = messages_of (&nodes[i], now);
                for (guint k = 0; k < list->len; k++)
                  {
                    const struct flight flight
                        = { g_byte_array_ref (g_ptr_array_index (list, k)), i,
                            now + g_rand_int_range (rand, 0, 1500000) };
                    if (g_rand_double (rand) < 0.3)
                      g_byte_array_unref (flight.bytes);
                    else
                      g_array_append_val (flights, flight);
                  }
                g_ptr_array_unref (list);
              }
          fly (flights, nodes, collector, rand, now);
          compare_windows (collector, truth, seen, now);
        }
      for (guint w = 0; w < MESH_WINDOWS; w++)
        n_seen += seen[w];
      CU_ASSERT_EQUAL (n_seen, MESH_WINDOWS);
      for (guint i = 0; i < flights->len; i++)
        g_byte_array_unref (g_array_index (flights, struct flight, i).bytes);
      g_array_unref (flights);
      for (guint i = 0; i < MESH_NODES; i++)
        usage_account_free (nodes[i].account);
      g_rand_free (rand);
    }
}

/* Guards against a restart that replaces the counts of the life before, and
   against a late message of that life that brings it back.  */
static void
test_restart_keeps_counts (void)
{
  struct node collector = node_new (1, 1, T0);
  struct node node = node_new (2, 7, T0);
  count (&node, "a", 3, T0 + CLK_S);
  GPtrArray *late = messages_of (&node, T0 + CLK_S);
  tell (&node, collector.account, T0 + CLK_S);
  usage_account_free (node.account);
  node = node_new (2, 8, T0 + 2 * CLK_S);
  count (&node, "a", 2, T0 + 2 * CLK_S);
  tell (&node, collector.account, T0 + 6 * CLK_S);
  deliver (collector.account, 2, g_ptr_array_index (late, 0), T0 + 6 * CLK_S);
  CU_ASSERT_EQUAL (sum_of (collector.account, W0, "a", T0 + 6 * CLK_S), 5);
  CU_ASSERT_EQUAL (
      usage_account_window_state (collector.account, W0, T0 + 6 * CLK_S)
          .n_missing,
      0);
  g_ptr_array_unref (late);
  usage_account_free (node.account);
  usage_account_free (collector.account);
}

/* Guards against a collector that has started anew and is taken to hold what
   the one before it held.  */
static void
test_new_collector_gets_all (void)
{
  struct node first = node_new (1, 1, T0);
  struct node node = node_new (2, 7, T0);
  gint64 now = T0 + 6 * CLK_S;
  count (&node, "a", 4, T0 + CLK_S);
  tell (&node, first.account, now);
  struct node second = node_new (1, 2, now);
  gint64 later = now + 6 * CLK_S;
  tell (&node, second.account, later);
  CU_ASSERT_EQUAL (node.held, 0);
  CU_ASSERT_NOT_EQUAL (
      usage_account_window_state (second.account, W0, later).n_missing, 0);
  tell (&node, second.account, later);
  CU_ASSERT_EQUAL (
      usage_account_window_state (second.account, W0, later).n_missing, 0);
  CU_ASSERT_EQUAL (sum_of (second.account, W0, "a", later), 4);
  usage_account_free (first.account);
  usage_account_free (second.account);
  usage_account_free (node.account);
}

/* A holder: its reports, and its section in the store.  */
struct holder
{
  struct usage_reports *reports;
  GString *section;
};

static struct holder
holder_new (const struct node *node, const char *section, gboolean era_changed,
            gint64 now)
{
  const struct usage_reports_options options = { .window_us = WINDOW_US,
                                                 .late_us = LATE_US,
                                                 .account = node->account };
  const struct holder holder
      = { usage_reports_new (&options), g_string_new (NULL) };
  usage_reports_load (holder.reports, str_of (section), era_changed, now);
  return holder;
}

static void
holder_free (struct holder *holder)
{
  usage_reports_free (holder->reports);
  g_string_free (holder->section, TRUE);
}

static gboolean
prepare (struct holder *holder, gint64 now)
{
  g_string_truncate (holder->section, 0);
  return usage_reports_prepare (holder->reports, now, holder->section);
}

/* Returns the counts of the next call as text, without the window; "" if there
   is none.  */
static const char *
next_text (struct holder *holder, gint64 now, struct usage_call *call)
{
  static char text[256];
  text[0] = '\0';
  if (!usage_reports_next (holder->reports, now, call))
    return text;
  gsize at
      = (gsize)g_snprintf (text, sizeof text, "%d:", (int)(call->window - W0));
  for (guint i = 0; i < call->n; i++)
    at += (gsize)g_snprintf (text + at, sizeof text - at,
                             " %s=%" G_GUINT64_FORMAT, call->counts[i].team,
                             call->counts[i].requests);
  return text;
}

/* Guards against a second report of a window that differs, when the holder is
   lost between fixing and sending, and against sending before it is stored.  */
static void
test_fixed_is_repeated (void)
{
  struct usage_call call;
  struct node node = node_new (1, 1, T0 - 60 * CLK_S);
  gint64 now = T0 + WINDOW_US + CLK_S;
  struct holder first = holder_new (&node, "", FALSE, T0 + CLK_S);
  prepare (&first, T0 + CLK_S);
  usage_reports_stored (first.reports, T0 + CLK_S);
  while (usage_reports_next (first.reports, T0 + CLK_S, &call))
    usage_reports_done (first.reports, &call, 0, T0 + CLK_S);
  count (&node, "a \"b\"", 2, T0 + 2 * CLK_S);
  count (&node, "c", 1, T0 + 2 * CLK_S);
  CU_ASSERT_TRUE (prepare (&first, now));
  CU_ASSERT_STRING_EQUAL (next_text (&first, now, &call), "");
  usage_reports_stored (first.reports, now);
  CU_ASSERT_STRING_EQUAL (next_text (&first, now, &call), "0: a \"b\"=2 c=1");
  /* The next one knows of a request that came late. */
  struct node other = node_new (2, 1, T0 - 60 * CLK_S);
  count (&other, "c", 9, T0 + 2 * CLK_S);
  struct holder second
      = holder_new (&other, first.section->str, FALSE, now + CLK_S);
  CU_ASSERT_FALSE (prepare (&second, now + CLK_S));
  CU_ASSERT_STRING_EQUAL (next_text (&second, now + CLK_S, &call),
                          "0: a \"b\"=2 c=1");
  /* It fails, is told to wait, and repeats the same until it is due. */
  usage_reports_done (second.reports, &call, ERR_LIMIT, now + CLK_S);
  CU_ASSERT_STRING_EQUAL (
      next_text (&second, now + CLK_S + 199 * CLK_MS, &call), "");
  CU_ASSERT_STRING_EQUAL (
      next_text (&second, now + CLK_S + 200 * CLK_MS, &call),
      "0: a \"b\"=2 c=1");
  usage_reports_done (second.reports, &call, 0, now + 2 * CLK_S);
  CU_ASSERT_STRING_EQUAL (next_text (&second, now + 4 * CLK_S, &call), "");
  holder_free (&first);
  holder_free (&second);
  usage_account_free (node.account);
  usage_account_free (other.account);
}

/* Guards against reports of windows that a holder may have reported with other
   counts, in the time that the store has lost.  */
static void
test_era_change (void)
{
  struct usage_call call;
  struct node node = node_new (1, 1, T0 - 60 * CLK_S);
  struct holder first = holder_new (&node, "", FALSE, T0);
  prepare (&first, T0);
  usage_reports_stored (first.reports, T0);
  while (usage_reports_next (first.reports, T0, &call))
    usage_reports_done (first.reports, &call, 0, T0);
  prepare (&first, T0);
  char *copy = g_strdup (first.section->str);
  gint64 now = T0 + WINDOW_US + CLK_S;
  count (&node, "a", 1, T0 + CLK_S);
  prepare (&first, now);
  usage_reports_stored (first.reports, now);
  CU_ASSERT_STRING_EQUAL (next_text (&first, now, &call), "0: a=1");
  /* Another instance takes over with the older copy. */
  struct node other = node_new (2, 1, T0 - 60 * CLK_S);
  count (&other, "b", 1, now + CLK_S);
  struct holder second = holder_new (&other, copy, TRUE, now + CLK_S);
  CU_ASSERT_TRUE (prepare (&second, now + CLK_S));
  usage_reports_stored (second.reports, now + CLK_S);
  CU_ASSERT_STRING_EQUAL (next_text (&second, now + CLK_S, &call), "");
  /* The one after it, in the same era, keeps to that. */
  struct holder third
      = holder_new (&other, second.section->str, FALSE, now + 2 * CLK_S);
  prepare (&third, now + 2 * CLK_S);
  CU_ASSERT_STRING_EQUAL (next_text (&third, now + 2 * CLK_S, &call), "");
  prepare (&third, now + WINDOW_US);
  usage_reports_stored (third.reports, now + WINDOW_US);
  CU_ASSERT_STRING_EQUAL (next_text (&third, now + WINDOW_US, &call), "1: b=1");
  /* The first one repeats what it has sent itself, once that is stored. */
  usage_reports_load (first.reports, str_of (copy), TRUE, now + CLK_S);
  CU_ASSERT_STRING_EQUAL (next_text (&first, now + CLK_S, &call), "");
  CU_ASSERT_TRUE (prepare (&first, now + CLK_S));
  usage_reports_stored (first.reports, now + CLK_S);
  CU_ASSERT_STRING_EQUAL (next_text (&first, now + CLK_S, &call), "0: a=1");
  g_free (copy);
  holder_free (&first);
  holder_free (&second);
  holder_free (&third);
  usage_account_free (node.account);
  usage_account_free (other.account);
}

/* Guards against reports that lack a domain which is cut off and comes back in
   time, against reports that come too late as it does not, and against waiting
   for an instance that has ended.  */
static void
test_cut_domain_is_awaited (void)
{
  struct usage_call call;
  struct node node = node_new (1, 1, T0 - 60 * CLK_S);
  struct node cut = node_new (2, 1, T0 - 60 * CLK_S);
  struct node dead = node_new (3, 1, T0 - 60 * CLK_S);
  struct node mate = node_new (4, 1, T0 - 60 * CLK_S);
  struct holder holder = holder_new (&node, "", FALSE, T0);
  gint64 end = T0 + WINDOW_US;
  usage_account_member (node.account, 2, "cut", T0);
  usage_account_member (node.account, 3, "whole", T0);
  usage_account_member (node.account, 4, "whole", T0);
  count (&node, "a", 1, T0 + CLK_S);
  count (&cut, "a", 1, T0 + CLK_S);
  count (&dead, "a", 1, T0 + CLK_S);
  tell (&cut, node.account, T0 + 2 * CLK_S);
  tell (&dead, node.account, T0 + 2 * CLK_S);
  for (gint64 now = T0 + 2 * CLK_S; now < end + 7 * CLK_S; now += CLK_S)
    {
      tell (&mate, node.account, now);
      prepare (&holder, now);
      usage_reports_stored (holder.reports, now);
      while (next_text (&holder, now, &call)[0] != '\0')
        {
          CU_ASSERT_TRUE (call.window < W0);
          usage_reports_done (holder.reports, &call, 0, now);
        }
    }
  CU_ASSERT_EQUAL (
      usage_account_window_state (node.account, W0, end + 6 * CLK_S).n_missing,
      1);
  CU_ASSERT_TRUE (prepare (&holder, end + 7 * CLK_S));
  usage_reports_stored (holder.reports, end + 7 * CLK_S);
  CU_ASSERT_STRING_EQUAL (next_text (&holder, end + 7 * CLK_S, &call),
                          "0: a=3");
  usage_reports_done (holder.reports, &call, 0, end + 7 * CLK_S);
  /* The next window has the domain again before its time. */
  gint64 back = end + 9 * CLK_S;
  tell (&cut, node.account, back);
  tell (&mate, node.account, back);
  CU_ASSERT_TRUE (prepare (&holder, back));
  usage_reports_stored (holder.reports, back);
  CU_ASSERT_STRING_EQUAL (next_text (&holder, back, &call), "1:");
  holder_free (&holder);
  usage_account_free (node.account);
  usage_account_free (cut.account);
  usage_account_free (dead.account);
  usage_account_free (mate.account);
}

/* Guards against reports of windows whose counts are lost with all instances,
   and against stored ones that are not sent again.  */
static void
test_all_instances_lost (void)
{
  struct usage_call call;
  char section[256];
  gint64 back = T0 + 2 * WINDOW_US + CLK_S;
  g_snprintf (section, sizeof section,
              "{\"through\":%" G_GUINT64_FORMAT
              ",\"windows\":[{\"window\":%" G_GUINT64_FORMAT
              ",\"counts\":{\"a\":4}}]}",
              W0, W0);
  struct node node = node_new (1, 1, back);
  struct holder holder = holder_new (&node, section, FALSE, back);
  count (&node, "a", 2, back);
  CU_ASSERT_STRING_EQUAL (next_text (&holder, back, &call), "0: a=4");
  usage_reports_done (holder.reports, &call, 0, back);
  /* The report of window 1, in which nobody was there to count, is not due yet.
   */
  gint64 now = T0 + 3 * WINDOW_US + 3 * CLK_S;
  prepare (&holder, now);
  usage_reports_stored (holder.reports, now);
  CU_ASSERT_STRING_EQUAL (next_text (&holder, now, &call), "2: a=2");
  usage_reports_done (holder.reports, &call, 0, now);
  CU_ASSERT_STRING_EQUAL (next_text (&holder, now, &call), "");
  /* Nobody had a request in the window after it, which is known. */
  now = T0 + 4 * WINDOW_US + CLK_S;
  prepare (&holder, now);
  usage_reports_stored (holder.reports, now);
  CU_ASSERT_STRING_EQUAL (next_text (&holder, now, &call), "3:");
  usage_reports_done (holder.reports, &call, 0, now);
  CU_ASSERT_STRING_EQUAL (next_text (&holder, now, &call), "");
  holder_free (&holder);
  usage_account_free (node.account);
}

/* Guards against counts that move to another window as a wall clock jumps or
   was wrong at the start, and against counts that are added to a window after
   it was called complete.  */
static void
test_clock_jump (void)
{
  gint64 boot = 7 * CLK_S;
  struct true_time *wrong = true_time_new (T0 + 20 * CLK_S, boot);
  for (guint32 ip = 2; ip <= 6; ip++)
    true_time_heard (wrong, ip, FALSE, T0 + ip * CLK_MS, boot);
  CU_ASSERT_EQUAL (true_time_at (wrong, boot + CLK_S) / CLK_S, T0 / CLK_S + 1);
  true_time_free (wrong);
  /* An instance that is no collector hears only the medians of three. */
  wrong = true_time_new (T0 - 20 * CLK_S, boot);
  CU_ASSERT_FALSE (true_time_is_settled (wrong, boot));
  for (guint32 ip = 2; ip <= 4; ip++)
    true_time_heard (wrong, ip, TRUE, T0, boot);
  CU_ASSERT_TRUE (true_time_is_settled (wrong, boot));
  CU_ASSERT_EQUAL (true_time_at (wrong, boot), T0);
  true_time_free (wrong);
  struct node node = node_new (1, 1, T0);
  GPtrArray *list = messages_of (&node, T0 + WINDOW_US);
  count (&node, "a", 1, T0 + CLK_S);
  CU_ASSERT_EQUAL (sum_of (node.account, W0, "a", T0 + 6 * CLK_S), 0);
  CU_ASSERT_EQUAL (sum_of (node.account, W0 + 1, "a", T0 + 11 * CLK_S), 1);
  g_ptr_array_unref (list);
  usage_account_free (node.account);
}

/* Guards against wrong demand when a collector first hears of an instance that
   has run for long.  */
static void
test_demand (void)
{
  struct node node = node_new (2, 1, T0);
  struct node collector = node_new (1, 1, T0);
  const struct usage_totals much = { 1000, 1000000, 1000000, 0 };
  const struct usage_totals some = { 8, 8000, 400, 4 };
  gint64 now = T0 + 100 * CLK_S;
  usage_account_tick (node.account, now);
  usage_account_tick (collector.account, now);
  usage_account_add_totals (node.account, "chat", "east", &much);
  tell (&node, collector.account, now);
  usage_account_add_totals (node.account, "chat", "east", &some);
  tell (&node, collector.account, now + CLK_S);
  struct usage_demand demand
      = usage_account_demand (collector.account, "chat", NULL, now + 3 * CLK_S);
  CU_ASSERT_DOUBLE_EQUAL (demand.requests_per_s, 2, 0.01);
  CU_ASSERT_DOUBLE_EQUAL (demand.uncached_tokens_per_s, 2000, 0.01);
  CU_ASSERT_DOUBLE_EQUAL (demand.rejections_per_s, 1, 0.01);
  demand = usage_account_demand (collector.account, "chat", "west",
                                 now + 3 * CLK_S);
  CU_ASSERT_DOUBLE_EQUAL (demand.requests_per_s, 0, 0.01);
  demand = usage_account_demand (collector.account, "chat", "east",
                                 now + 20 * CLK_S);
  CU_ASSERT_DOUBLE_EQUAL (demand.requests_per_s, 0, 0.01);
  usage_account_free (node.account);
  usage_account_free (collector.account);
}

#define LARGE_NODES 390
#define LARGE_TEAMS 260
#define LARGE_SECONDS 60
#define LARGE_COLLECTORS 4
#define LARGE_BYTES_PER_S (17 * 1024) /* of an instance, on the average */
#define LARGE_ACCOUNT_BYTES (16 * 1024 * 1024)

/* Guards against messages that grow with the windows or the teams beyond what a
   collector can take, and against an account without a bound, at 390 instances
   with 5,500 requests a second of 260 teams.  */
static void
test_large_deployment (void)
{
  GRand *rand = g_rand_new_with_seed (3);
  struct node *nodes = g_new0 (struct node, LARGE_NODES);
  struct node collector = node_new (1000, 1, T0);
  guint64 bytes = 0;
  guint64 messages = 0;
  gsize longest = 0;
  gint64 interval = LARGE_NODES * 10 * CLK_MS;
  for (guint i = 0; i < LARGE_NODES; i++)
    nodes[i] = node_new (i + 1, i, T0);
  for (gint64 now = T0; now < T0 + LARGE_SECONDS * CLK_S; now += 10 * CLK_MS)
    {
      for (guint k = 0; k < 55; k++)
        {
          const struct node *node
              = &nodes[g_rand_int_range (rand, 0, LARGE_NODES)];
          const struct usage_totals totals = { 1, 400, 120, 0 };
          double draw = g_rand_double (rand);
          char name[32];
          g_snprintf (name, sizeof name, "team-%03d",
                      (int)(draw * draw * LARGE_TEAMS));
          count (node, name, 1, now);
          g_snprintf (name, sizeof name, "service-%d",
                      g_rand_int_range (rand, 0, 5));
          usage_account_add_totals (node->account, name, "region-1-a", &totals);
        }
      struct node *node
          = &nodes[(guint)((now - T0) % interval / (10 * CLK_MS))];
      GPtrArray *list = messages_of (node, now);
      for (guint i = 0; i < list->len; i++)
        {
          const GByteArray *part = g_ptr_array_index (list, i);
          node->held = deliver (collector.account, node->ip, part, now);
          longest = MAX (longest, part->len);
          messages += now >= T0 + 10 * CLK_S;
          bytes += now >= T0 + 10 * CLK_S ? part->len : 0;
        }
      g_ptr_array_unref (list);
    }
  gsize kept = usage_account_bytes (collector.account);
  g_print ("390 instances: %.0f messages/s, %.0f bytes/s at a collector, "
           "longest %zu, account %zu bytes\n",
           (double)messages / (LARGE_SECONDS - 10),
           (double)bytes / (LARGE_SECONDS - 10), longest, kept);
  CU_ASSERT_TRUE (messages <= 101 * (LARGE_SECONDS - 10));
  CU_ASSERT_TRUE (longest <= USAGE_MESSAGE_BYTES_MAX);
  CU_ASSERT_TRUE (bytes * LARGE_COLLECTORS / LARGE_NODES
                  <= (guint64)LARGE_BYTES_PER_S * (LARGE_SECONDS - 10));
  CU_ASSERT_TRUE (kept <= LARGE_ACCOUNT_BYTES);
  CU_ASSERT_EQUAL (usage_account_lost (collector.account), 0);
  for (guint i = 0; i < LARGE_NODES; i++)
    usage_account_free (nodes[i].account);
  usage_account_free (collector.account);
  g_free (nodes);
  g_rand_free (rand);
}

/* Guards against datagrams over 8 KB, and against counts called complete of
   which a part is missing.  */
static void
test_parts (void)
{
  struct node node = node_new (2, 1, T0);
  struct node collector = node_new (1, 1, T0 - 60 * CLK_S);
  gint64 now = T0 + WINDOW_US + CLK_S;
  for (guint i = 0; i < 900; i++)
    {
      char name[USAGE_MESSAGE_NAME_MAX + 1];
      g_snprintf (name, sizeof name, "a-team-with-a-rather-long-name-%03u", i);
      count (&node, name, i + 1, T0 + CLK_S);
    }
  GPtrArray *list = messages_of (&node, now);
  CU_ASSERT_TRUE (list->len > 1);
  for (guint i = list->len; i > 0; i--)
    {
      const GByteArray *part = g_ptr_array_index (list, i - 1);
      CU_ASSERT_TRUE (part->len <= USAGE_MESSAGE_BYTES_MAX);
      deliver (collector.account, 2, part, now);
      CU_ASSERT_EQUAL (
          usage_account_window_state (collector.account, W0, now).n_missing, 1);
    }
  for (guint i = 0; i < list->len; i++)
    deliver (collector.account, 2, g_ptr_array_index (list, i), now);
  CU_ASSERT_EQUAL (
      usage_account_window_state (collector.account, W0, now).n_missing, 0);
  CU_ASSERT_EQUAL (
      sum_of (collector.account, W0, "a-team-with-a-rather-long-name-899", now),
      900);
  g_ptr_array_unref (list);
  usage_account_free (node.account);
  usage_account_free (collector.account);
}

/* Guards against gossip that is taken for usage, and against datagrams that
   break the decoder.  */
static void
test_foreign_datagrams (void)
{
  struct gossip_message *gossip = g_new0 (struct gossip_message, 1);
  GByteArray *bytes = g_byte_array_new ();
  GRand *rand = g_rand_new_with_seed (5);
  struct node node = node_new (2, 1, T0);
  struct node collector = node_new (1, 1, T0);
  struct usage_message message;
  g_strlcpy (gossip->id, "node", sizeof gossip->id);
  g_strlcpy (gossip->domain, "east", sizeof gossip->domain);
  gossip_message_encode (gossip, bytes);
  CU_ASSERT_FALSE (
      usage_message_is ((struct str){ (const char *)bytes->data, bytes->len }));
  count (&node, "a", 3, T0 + CLK_S);
  GPtrArray *list = messages_of (&node, T0 + CLK_S);
  const GByteArray *good = g_ptr_array_index (list, 0);
  usage_message_init (&message);
  for (guint i = 0; i < 20000; i++)
    {
      struct err err = { 0 };
      g_byte_array_set_size (bytes, 0);
      g_byte_array_append (bytes, good->data, good->len);
      for (gint k = g_rand_int_range (rand, 1, 4); k > 0; k--)
        bytes->data[g_rand_int_range (rand, 2, (gint32)bytes->len)]
            = (guint8)g_rand_int (rand);
      if (usage_message_decode (
              (struct str){ (const char *)bytes->data, bytes->len }, &message,
              &err)
          == 0)
        usage_account_merge (collector.account, 2, &message, T0 + CLK_S);
    }
  CU_ASSERT_TRUE (usage_account_bytes (collector.account) < 1024 * 1024);
  usage_message_clear (&message);
  g_ptr_array_unref (list);
  g_byte_array_unref (bytes);
  g_rand_free (rand);
  g_free (gossip);
  usage_account_free (node.account);
  usage_account_free (collector.account);
}

#define SCHEDULE_NODES 3
#define SCHEDULE_RUNS 2000
#define SCHEDULE_STEPS 240 /* of 500 ms */
#define SCHEDULE_COPIES 16

/* The object of the lease in the store.  */
struct record
{
  char *section;
  guint era; /* of the last write of a section */
};

/* A deployment whose holders change at any moment, with a store that loses
   responses and comes back from an older copy.  */
struct schedule
{
  GRand *rand;
  struct node nodes[SCHEDULE_NODES];
  struct usage_reports *reports[SCHEDULE_NODES];
  int holder;                            /* -1: none */
  struct record copies[SCHEDULE_COPIES]; /* the last one is in force */
  guint era;
  GHashTable *accepted; /* window: counts as text, owned */
  guint differing;
};

static gboolean
happens (struct schedule *s, double share)
{
  return g_rand_double (s->rand) < share;
}

static void
start_node (struct schedule *s, guint i, guint32 incarnation, gint64 now)
{
  if (s->reports[i] != NULL)
    {
      usage_reports_free (s->reports[i]);
      usage_account_free (s->nodes[i].account);
    }
  s->nodes[i] = node_new (i + 1, incarnation, now);
  const struct usage_reports_options options = {
    .window_us = WINDOW_US, .late_us = LATE_US, .account = s->nodes[i].account
  };
  s->reports[i] = usage_reports_new (&options);
}

static struct record *
record_of (struct schedule *s)
{
  return &s->copies[SCHEDULE_COPIES - 1];
}

static void
write_record (struct schedule *s, const char *section)
{
  g_free (s->copies[0].section);
  memmove (&s->copies[0], &s->copies[1],
           (SCHEDULE_COPIES - 1) * sizeof *s->copies);
  *record_of (s) = (struct record){ g_strdup (section), s->era };
}

static void
load_record (struct schedule *s, gint64 now)
{
  const struct record *record = record_of (s);
  usage_reports_load (s->reports[s->holder], str_of (record->section),
                      record->era != s->era, now);
}

/* Comes back from an older copy. The holder learns of it by the conflict of its
   next write.  */
static void
restore_store (struct schedule *s)
{
  guint from = (guint)g_rand_int_range (s->rand, 0, SCHEDULE_COPIES);
  const struct record copy
      = { g_strdup (s->copies[from].section), s->copies[from].era };
  s->era++;
  write_record (s, copy.section);
  record_of (s)->era = copy.era;
  g_free (copy.section);
}

static void
send_calls (struct schedule *s, gint64 now)
{
  struct usage_call call;
  while (usage_reports_next (s->reports[s->holder], now, &call))
    {
      GString *text = g_string_new (NULL);
      for (guint i = 0; i < call.n; i++)
        g_string_append_printf (text, "%s=%" G_GUINT64_FORMAT " ",
                                call.counts[i].team, call.counts[i].requests);
      gpointer key = GSIZE_TO_POINTER ((gsize)call.window);
      const char *before = g_hash_table_lookup (s->accepted, key);
      gboolean arrives = happens (s, 0.8);
      if (arrives && before != NULL)
        s->differing += !g_str_equal (before, text->str);
      else if (arrives)
        g_hash_table_insert (s->accepted, key, g_strdup (text->str));
      g_string_free (text, TRUE);
      usage_reports_done (s->reports[s->holder], &call,
                          arrives && happens (s, 0.8) ? 0 : ERR_TIMEOUT, now);
    }
}

/* One step of the holder: a write, if one is needed, and the calls.  */
static void
act (struct schedule *s, guint *known_era, gint64 now)
{
  GString *section = g_string_new (NULL);
  gboolean must = usage_reports_prepare (s->reports[s->holder], now, section);
  gboolean lost = happens (s, 0.2);
  if (*known_era != s->era && (must || happens (s, 0.5)))
    s->holder = -1; /* a conflict */
  else if (must && happens (s, 0.8))
    {
      write_record (s, section->str);
      if (lost)
        load_record (s, now);
      else
        usage_reports_stored (s->reports[s->holder], now);
    }
  if (s->holder >= 0)
    send_calls (s, now);
  g_string_free (section, TRUE);
}

static guint
run_schedule (guint32 seed, guint *reported)
{
  struct schedule s = { .rand = g_rand_new_with_seed (seed), .holder = -1 };
  guint known_era = 0;
  s.accepted
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (guint i = 0; i < SCHEDULE_COPIES; i++)
    s.copies[i].section = g_strdup ("");
  for (guint i = 0; i < SCHEDULE_NODES; i++)
    start_node (&s, i, i, T0);
  for (guint step = 0; step < SCHEDULE_STEPS; step++)
    {
      gint64 now = T0 + step * 500 * CLK_MS;
      guint i = (guint)g_rand_int_range (s.rand, 0, SCHEDULE_NODES);
      count (&s.nodes[i], "a", (guint)g_rand_int_range (s.rand, 0, 3), now);
      for (guint k = 0; k < SCHEDULE_NODES; k++)
        if (k != i && happens (&s, 0.3))
          {
            s.nodes[i].held = 0;
            tell (&s.nodes[i], s.nodes[k].account, now);
          }
      if (happens (&s, 0.01))
        restore_store (&s);
      if (happens (&s, 0.05))
        s.holder = -1;
      if (s.holder != (int)i && happens (&s, 0.01))
        start_node (&s, i, 1000 + step, now);
      if (s.holder < 0 && happens (&s, 0.3))
        {
          s.holder = (int)i;
          known_era = s.era;
          load_record (&s, now);
        }
      if (s.holder >= 0)
        act (&s, &known_era, now);
    }
  *reported += g_hash_table_size (s.accepted);
  for (guint i = 0; i < SCHEDULE_NODES; i++)
    {
      usage_reports_free (s.reports[i]);
      usage_account_free (s.nodes[i].account);
    }
  for (guint i = 0; i < SCHEDULE_COPIES; i++)
    g_free (s.copies[i].section);
  g_hash_table_unref (s.accepted);
  g_rand_free (s.rand);
  return s.differing;
}

/* Guards against two accepted reports of a window that differ, whatever becomes
   of holders, writes, calls and the store. The record's era changes only with a
   section that a holder has prepared.  */
static void
test_schedules (void)
{
  const char *only = g_getenv ("JW_SEED");
  guint32 first = only != NULL ? (guint32)g_ascii_strtoull (only, NULL, 10) : 1;
  guint runs = only != NULL ? 1 : SCHEDULE_RUNS;
  guint reported = 0;
  guint broken = 0;
  for (guint32 seed = first; seed < first + runs; seed++)
    {
      gboolean differs = run_schedule (seed, &reported) > 0;
      broken += differs;
      if (differs && broken == 1)
        g_print ("reports differ: JW_SEED=%u build/tests/test_usage\n", seed);
    }
  g_print ("%u of %u runs with differing reports, %u reports\n", broken, runs,
           reported);
  CU_ASSERT_EQUAL (broken, 0);
  /* 24 windows a run, in a store that is disturbed all the time. */
  CU_ASSERT_TRUE (reported > runs * 8);
}

static CU_TestInfo account_tests[]
    = { { "a complete window is exact", test_complete_is_exact },
        { "a restart keeps the counts", test_restart_keeps_counts },
        { "a new collector gets all", test_new_collector_gets_all },
        { "a clock that jumps moves nothing", test_clock_jump },
        { "demand", test_demand },
        { "390 instances", test_large_deployment },
        { "messages in parts", test_parts },
        { "foreign datagrams", test_foreign_datagrams },
        CU_TEST_INFO_NULL };

static CU_TestInfo report_tests[]
    = { { "what is fixed is repeated", test_fixed_is_repeated },
        { "a change of the era", test_era_change },
        { "a domain that is cut off", test_cut_domain_is_awaited },
        { "all instances lost", test_all_instances_lost },
        { "schedules of holders", test_schedules },
        CU_TEST_INFO_NULL };

static CU_SuiteInfo suites[]
    = { { "account", NULL, NULL, NULL, NULL, account_tests },
        { "reports", NULL, NULL, NULL, NULL, report_tests },
        CU_SUITE_INFO_NULL };

UNIT_MAIN (suites)
