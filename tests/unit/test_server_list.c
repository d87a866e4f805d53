/* The server list as instances send it to each other: digests, changes since a
   list that the receiver has, and the limit on transfers.  */
#include "unit/unit.h"

#include "peer/peer_server_list.h"
#include "peer/transfer_budget.h"

#include <string.h>

#define SERVERS 3000

static struct registry_entry
make_entry (guint i)
{
  struct registry_entry entry = { .start_time_ms = 1000 + i, .slots = 6 };
  g_snprintf (entry.id, sizeof entry.id, "i-%08x", i * 2654435761u);
  g_strlcpy (entry.service, "llm", sizeof entry.service);
  g_snprintf (entry.address, sizeof entry.address, "10.1.%u.%u:80", i / 250,
              i % 250);
  g_strlcpy (entry.domain, "a", sizeof entry.domain);
  return entry;
}

static struct registry_entry *
entry_of (const struct peer_server_list *list, guint i)
{
  return &g_array_index (list->entries, struct registry_entry, i);
}

static void
update_digest (struct peer_server_list *list)
{
  list->digest = server_list_digest (entry_of (list, 0), list->entries->len);
}

static struct peer_server_list
make_list (guint n, gint64 requested_at)
{
  struct peer_server_list list
      = { .entries = g_array_new (FALSE, FALSE, sizeof (struct registry_entry)),
          .requested_at = requested_at };
  for (guint i = 0; i < n; i++)
    {
      struct registry_entry entry = make_entry (i);
      g_array_append_val (list.entries, entry);
    }
  update_digest (&list);
  return list;
}

static struct peer_server_list
copy_list (const struct peer_server_list *list, gint64 requested_at)
{
  struct peer_server_list copy = *list;
  copy.entries = g_array_copy (list->entries);
  copy.requested_at = requested_at;
  return copy;
}

static void
test_digest (void)
{
  struct peer_server_list list = make_list (3, 1);
  guint64 digest = list.digest;
  entry_of (&list, 1)->leaving = TRUE;
  update_digest (&list);
  CU_ASSERT_NOT_EQUAL (list.digest, digest);
  entry_of (&list, 1)->leaving = FALSE;
  entry_of (&list, 1)->start_time_ms++;
  update_digest (&list);
  CU_ASSERT_NOT_EQUAL (list.digest, digest);
  g_array_unref (list.entries);
}

/* Of a list of 3,000 servers in which one begins to leave, one ends and one
   joins, a peer that has the list before gets just these. Sent whole to 300
   instances, the list would fill the links, and instances would learn of a
   leaving server after the time that it still serves.  */
static void
test_changes (void)
{
  struct server_list_history *history = server_list_history_new ();
  struct peer_server_list first = make_list (SERVERS, 10 * CLK_S);
  struct peer_server_list second = copy_list (&first, 11 * CLK_S);
  struct peer_server_list decoded;
  GByteArray *bytes = g_byte_array_new ();
  struct err err = { 0 };
  entry_of (&second, 7)->leaving = TRUE;
  g_array_remove_index (second.entries, 20);
  struct registry_entry joined = make_entry (SERVERS);
  g_array_append_val (second.entries, joined);
  update_digest (&second);
  server_list_history_add (history, &first, &second);
  struct peer_server_list third = copy_list (&second, 12 * CLK_S);
  entry_of (&third, 8)->leaving = TRUE;
  update_digest (&third);
  server_list_history_add (history, &second, &third);
  CU_ASSERT_TRUE_FATAL (server_list_history_encode (history, first.digest,
                                                    &third, 13 * CLK_S, bytes));
  CU_ASSERT_TRUE (bytes->len <= 512);
  struct str encoded = { (const char *)bytes->data, bytes->len };
  CU_ASSERT_EQUAL_FATAL (
      server_list_decode (encoded, 50 * CLK_S, &first, &decoded, &err), 0);
  CU_ASSERT_EQUAL (decoded.digest, third.digest);
  CU_ASSERT_EQUAL (decoded.entries->len, SERVERS);
  CU_ASSERT_EQUAL (decoded.requested_at, 49 * CLK_S);
  g_array_unref (decoded.entries);
  /* Without the list that they refer to, the changes are of no use. */
  CU_ASSERT_TRUE (server_list_decode (encoded, 50 * CLK_S, NULL, &decoded, &err)
                  < 0);
  g_byte_array_set_size (bytes, 0);
  CU_ASSERT_TRUE (server_list_history_encode (history, third.digest, &third,
                                              13 * CLK_S, bytes));
  CU_ASSERT_TRUE (bytes->len <= 64);
  CU_ASSERT_FALSE (
      server_list_history_encode (history, 12345, &third, 0, bytes));
  server_list_history_free (history);
  g_byte_array_unref (bytes);
  g_array_unref (first.entries);
  g_array_unref (second.entries);
  g_array_unref (third.entries);
}

/* The stated end of a spot server survives the way to another instance whose
   clock differs. Entries of regular servers are encoded as before, and digests
   do not tell the kinds apart, so that older instances go on agreeing.  */
static void
test_spot_entries (void)
{
  struct peer_server_list list = make_list (3, 10 * CLK_S);
  struct peer_server_list decoded;
  GByteArray *regular = g_byte_array_new ();
  GByteArray *spot = g_byte_array_new ();
  struct err err = { 0 };
  guint64 digest = list.digest;
  server_list_encode (&list, 10 * CLK_S, regular);
  entry_of (&list, 1)->is_spot = TRUE;
  entry_of (&list, 1)->leaving_at = 13 * CLK_S;
  update_digest (&list);
  CU_ASSERT_EQUAL (list.digest, digest);
  server_list_encode (&list, 10 * CLK_S, spot);
  CU_ASSERT_TRUE (spot->len > regular->len);
  struct str encoded = { (const char *)spot->data, spot->len };
  CU_ASSERT_EQUAL_FATAL (
      server_list_decode (encoded, 50 * CLK_S, NULL, &decoded, &err), 0);
  CU_ASSERT_TRUE (entry_of (&decoded, 1)->is_spot);
  CU_ASSERT_EQUAL (entry_of (&decoded, 1)->leaving_at, 53 * CLK_S);
  CU_ASSERT_FALSE (entry_of (&decoded, 0)->is_spot);
  CU_ASSERT_EQUAL (entry_of (&decoded, 2)->leaving_at, 0);
  g_array_unref (decoded.entries);
  g_array_unref (list.entries);
  g_byte_array_unref (regular);
  g_byte_array_unref (spot);
}

/* The version of a server's software survives the way to another instance. The
   digest does not contain it, unless nothing else tells two lives apart.  */
static void
test_versions (void)
{
  struct peer_server_list list = make_list (3, 10 * CLK_S);
  struct peer_server_list decoded;
  GByteArray *bytes = g_byte_array_new ();
  struct err err = { 0 };
  guint64 digest = list.digest;
  strcpy (entry_of (&list, 0)->version, "v1.1");
  update_digest (&list);
  CU_ASSERT_EQUAL (list.digest, digest);
  entry_of (&list, 0)->start_time_ms = 0;
  update_digest (&list);
  digest = list.digest;
  strcpy (entry_of (&list, 0)->version, "v1.2");
  update_digest (&list);
  CU_ASSERT_NOT_EQUAL (list.digest, digest);
  server_list_encode (&list, 10 * CLK_S, bytes);
  struct str encoded = { (const char *)bytes->data, bytes->len };
  CU_ASSERT_EQUAL_FATAL (
      server_list_decode (encoded, 50 * CLK_S, NULL, &decoded, &err), 0);
  CU_ASSERT_STRING_EQUAL (entry_of (&decoded, 0)->version, "v1.2");
  CU_ASSERT_STRING_EQUAL (entry_of (&decoded, 1)->version, "");
  g_array_unref (decoded.entries);
  g_array_unref (list.entries);
  g_byte_array_unref (bytes);
}

/* Lists change at random, back to earlier states too. Whichever list a peer
   still has, the changes lead to the newest one, or it gets the whole list.  */
static void
test_changes_random (void)
{
  enum
  {
    LISTS = 100
  };
  struct peer_server_list lists[LISTS];
  struct server_list_history *history = server_list_history_new ();
  GRand *rand = g_rand_new_with_seed (11);
  GByteArray *bytes = g_byte_array_new ();
  struct err err = { 0 };
  guint known = 0;
  lists[0] = make_list (12, 0);
  for (guint i = 1; i < LISTS; i++)
    {
      lists[i] = copy_list (&lists[i - 1], i);
      guint k = (guint)g_rand_int_range (rand, 0, (gint)lists[i].entries->len);
      if (g_rand_boolean (rand))
        entry_of (&lists[i], k)->leaving ^= 1;
      else if (lists[i].entries->len > 6)
        g_array_remove_index (lists[i].entries, k);
      else
        {
          struct registry_entry entry = make_entry (100 + i);
          g_array_append_val (lists[i].entries, entry);
        }
      update_digest (&lists[i]);
      server_list_history_add (history, &lists[i - 1], &lists[i]);
      for (guint from = 0; from <= i; from++)
        {
          struct peer_server_list decoded;
          g_byte_array_set_size (bytes, 0);
          if (!server_list_history_encode (history, lists[from].digest,
                                           &lists[i], i, bytes))
            continue;
          known++;
          CU_ASSERT_EQUAL_FATAL (
              server_list_decode (
                  (struct str){ (const char *)bytes->data, bytes->len }, i,
                  &lists[from], &decoded, &err),
              0);
          CU_ASSERT_EQUAL (decoded.digest, lists[i].digest);
          CU_ASSERT_EQUAL (decoded.entries->len, lists[i].entries->len);
          g_array_unref (decoded.entries);
        }
    }
  CU_ASSERT_TRUE (known > LISTS * 20);
  for (guint i = 0; i < LISTS; i++)
    g_array_unref (lists[i].entries);
  server_list_history_free (history);
  g_byte_array_unref (bytes);
  g_rand_free (rand);
}

/* Truncated changes are rejected, and damaged ones cause no memory error.  */
static void
test_damaged_changes (void)
{
  struct server_list_history *history = server_list_history_new ();
  struct peer_server_list first = make_list (10, CLK_S);
  struct peer_server_list second = copy_list (&first, 2 * CLK_S);
  struct peer_server_list decoded;
  GByteArray *bytes = g_byte_array_new ();
  GRand *rand = g_rand_new_with_seed (5);
  struct err err = { 0 };
  entry_of (&second, 1)->leaving = TRUE;
  g_array_remove_index (second.entries, 2);
  update_digest (&second);
  server_list_history_add (history, &first, &second);
  CU_ASSERT_TRUE_FATAL (server_list_history_encode (history, first.digest,
                                                    &second, 3 * CLK_S, bytes));
  for (gsize n = 0; n < bytes->len; n++)
    CU_ASSERT_TRUE (
        server_list_decode ((struct str){ (const char *)bytes->data, n }, 0,
                            &first, &decoded, &err)
        < 0);
  for (guint i = 0; i < 5000; i++)
    {
      guint8 *copy = g_memdup2 (bytes->data, bytes->len);
      for (guint k = 0; k < 1 + i % 3; k++)
        {
          gint at = g_rand_int_range (rand, 0, (gint)bytes->len);
          copy[at] = (guint8)g_rand_int_range (rand, 0, 256);
        }
      if (server_list_decode ((struct str){ (char *)copy, bytes->len }, 0,
                              &first, &decoded, &err)
          == 0)
        g_array_unref (decoded.entries);
      g_free (copy);
    }
  server_list_history_free (history);
  g_byte_array_unref (bytes);
  g_rand_free (rand);
  g_array_unref (first.entries);
  g_array_unref (second.entries);
}

/* 300 instances fetch a list of 300 KB that three of them have. Each serves as
   many as its budget allows, and those that were served serve others. All have
   it within the three seconds of the target for a start of the whole fleet.  */
static void
test_transfers_spread (void)
{
  enum
  {
    INSTANCES = 300,
    HOLDERS = 3,
    LIST_BYTES = 300000
  };
  struct transfer_budget budgets[INSTANCES] = { 0 };
  gint64 has_from[INSTANCES]; /* clock time; 0: not yet */
  GRand *rand = g_rand_new_with_seed (3);
  gint64 start = 100 * CLK_S;
  gint64 now = start;
  guint missing = INSTANCES - HOLDERS;
  for (guint i = 0; i < INSTANCES; i++)
    has_from[i] = i < HOLDERS ? start : 0;
  for (; missing > 0 && now < start + 10 * CLK_S; now += 50 * CLK_MS)
    for (guint i = 0; i < INSTANCES; i++)
      {
        guint from = (guint)g_rand_int_range (rand, 0, INSTANCES);
        if (has_from[i] != 0 || has_from[from] == 0 || has_from[from] > now
            || !transfer_budget_allows (&budgets[from], now))
          continue;
        transfer_budget_count (&budgets[from], LIST_BYTES);
        has_from[i] = now + 200 * CLK_MS;
        missing--;
      }
  CU_ASSERT_TRUE (now - start <= 3 * CLK_S);
  /* No instance sends more than its budget over any longer time. */
  struct transfer_budget budget = { 0 };
  guint served = 0;
  for (gint64 t = start; t < start + 10 * CLK_S; t += 10 * CLK_MS)
    if (transfer_budget_allows (&budget, t))
      {
        transfer_budget_count (&budget, LIST_BYTES);
        served++;
      }
  CU_ASSERT_TRUE (served <= 36);
  g_rand_free (rand);
}

static CU_TestInfo tests[] = {
  { "digest", test_digest },
  { "changes since a list", test_changes },
  { "entries of spot servers", test_spot_entries },
  { "versions of the software", test_versions },
  { "random changes", test_changes_random },
  { "damaged changes", test_damaged_changes },
  { "a list spreads over a fleet that starts", test_transfers_spread },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "server list", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
