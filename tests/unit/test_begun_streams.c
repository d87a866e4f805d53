/* What is remembered of streams that have begun: a wrong version joins two
   streams, a lost one ends a stream that could go on.  */
#include "unit/unit.h"

#include "peer/stream_inquiry.h"
#include "streams/stream_versions.h"

#include <string.h>

#define KEEP_US (20 * CLK_S)
#define MIXED_TABLE STR_LIT ("versions 1 1 0\npool ?\n")

static const char *
version_of (const struct begun_streams *streams, guint64 key)
{
  const struct begun_place *place = begun_streams_find (streams, key);
  return place == NULL         ? "unknown"
         : place->is_ambiguous ? "ambiguous"
                               : place->version;
}

static void
test_kept (void)
{
  struct begun_streams *streams = begun_streams_new (0);
  begun_streams_keep_for (streams, KEEP_US);
  for (gint64 now = 0; now < 3 * KEEP_US; now += CLK_S)
    {
      begun_streams_expire (streams, now);
      begun_streams_add (streams, (guint64)now, "pool", "v1", BEGUN_OWN);
      for (gint64 at = 0; at <= now; at += CLK_S)
        {
          if (now - at <= KEEP_US)
            CU_ASSERT_STRING_EQUAL (version_of (streams, (guint64)at), "v1");
          if (now - at > 2 * KEEP_US)
            CU_ASSERT_STRING_EQUAL (version_of (streams, (guint64)at),
                                    "unknown");
        }
    }
  begun_streams_free (streams);
}

/* An id that was used before, at another version.  */
static void
test_ambiguous (void)
{
  struct begun_streams *streams = begun_streams_new (0);
  begun_streams_add (streams, 1, "pool", "v1", BEGUN_OWN);
  begun_streams_add (streams, 1, "pool", "v1", BEGUN_SAVED);
  CU_ASSERT_STRING_EQUAL (version_of (streams, 1), "v1");
  begun_streams_add (streams, 1, "pool", "v2", BEGUN_SAVED);
  CU_ASSERT_STRING_EQUAL (version_of (streams, 1), "ambiguous");
  begun_streams_add (streams, 1, "pool", "v1", BEGUN_OWN);
  CU_ASSERT_STRING_EQUAL (version_of (streams, 1), "ambiguous");
  begun_streams_free (streams);
}

static void
test_saved (void)
{
  struct begun_streams *first = begun_streams_new (0);
  struct begun_streams *second = begun_streams_new (0);
  begun_streams_add (first, 1, "pool", "v1", BEGUN_OWN);
  begun_streams_add (first, G_MAXUINT64, "pool", "", BEGUN_OWN);
  begun_streams_add (first, 3, "pool", "v2", BEGUN_SAVED);
  GBytes *text = begun_streams_write (first);
  gsize n;
  const char *bytes = g_bytes_get_data (text, &n);
  CU_ASSERT_EQUAL (
      begun_streams_read (second, (struct str){ bytes, n }, BEGUN_SAVED), 0);
  CU_ASSERT_STRING_EQUAL (version_of (second, 1), "v1");
  CU_ASSERT_STRING_EQUAL (version_of (second, G_MAXUINT64), "");
  CU_ASSERT_STRING_EQUAL (version_of (second, 3), "unknown");
  g_bytes_unref (text);
  /* What was read is not saved again; what this one was told is. */
  begun_streams_add (second, 4, "pool", "v2", BEGUN_TOLD);
  text = begun_streams_write (second);
  bytes = g_bytes_get_data (text, &n);
  CU_ASSERT_EQUAL (n, strlen ("streams 1\npool v2 AAAAAAAAAAQ=\n"));
  CU_ASSERT_EQUAL (memcmp (bytes, "streams 1\npool v2 AAAAAAAAAAQ=\n", n), 0);
  g_bytes_unref (text);
  const guint64 keys[] = { 1, 2, 4 };
  text = begun_streams_write_keys (second, keys, G_N_ELEMENTS (keys));
  bytes = g_bytes_get_data (text, &n);
  CU_ASSERT_EQUAL (
      begun_streams_read (first, (struct str){ bytes, n }, BEGUN_SAVED), 0);
  CU_ASSERT_STRING_EQUAL (version_of (first, 1), "v1");
  CU_ASSERT_STRING_EQUAL (version_of (first, 2), "unknown");
  CU_ASSERT_STRING_EQUAL (version_of (first, 4), "v2");
  g_bytes_unref (text);
  static const char *const malformed[]
      = { "", "streams 2\n", "streams 1\npool v1\n",
          "streams 1\npool v1 AAAA\n", "streams 1\n/ v1 AAAAAAAAAAA=\n" };
  for (guint i = 0; i < G_N_ELEMENTS (malformed); i++)
    CU_ASSERT_EQUAL (
        begun_streams_read (second, str_of (malformed[i]), BEGUN_SAVED),
        ERR_PROTOCOL);
  const struct str none = { NULL, 0 };
  CU_ASSERT_EQUAL (begun_streams_read (second, none, BEGUN_SAVED),
                   ERR_PROTOCOL);
  begun_streams_free (first);
  begun_streams_free (second);
}

static struct
{
  guint peers; /* that will answer */
  guint questions;
  guint reads;
  guint changes;
  guint confirmations;
} observed;

static guint
ask_peers (void *ctx, guint64 key)
{
  (void)ctx;
  (void)key;
  observed.questions++;
  return observed.peers;
}

static void
read_saved (void *ctx)
{
  (void)ctx;
  observed.reads++;
}

static void
on_changed (void *ctx)
{
  (void)ctx;
  observed.changes++;
}

static struct stream_versions *
versions_new (guint peers)
{
  const struct stream_versions_options options = { .ask_peers = ask_peers,
                                                   .read_saved = read_saved,
                                                   .changed = on_changed };
  struct stream_versions *versions = stream_versions_new (&options, 0);
  memset (&observed, 0, sizeof observed);
  observed.peers = peers;
  CU_ASSERT_EQUAL (
      version_table_read (stream_versions_table (versions), MIXED_TABLE, 0, 0),
      0);
  return versions;
}

static enum stream_search_result
find (struct stream_versions *versions, gint64 now, const char **version)
{
  return stream_versions_find (versions, STR_LIT ("r-1"), "pool", now, version);
}

static void
test_peer_knows (void)
{
  struct stream_versions *versions = versions_new (2);
  const struct begun_place place = { .service = "pool", .version = "v2" };
  guint64 key = begun_streams_key (STR_LIT ("r-1"));
  const char *version;
  CU_ASSERT_EQUAL (find (versions, 0, &version), STREAM_SEARCH_SEARCHING);
  stream_versions_peer_answered (versions, key, NULL);
  CU_ASSERT_EQUAL (find (versions, CLK_MS, &version), STREAM_SEARCH_SEARCHING);
  stream_versions_peer_answered (versions, key, &place);
  CU_ASSERT_EQUAL (find (versions, CLK_MS, &version), STREAM_SEARCH_FOUND);
  CU_ASSERT_STRING_EQUAL (version, "v2");
  CU_ASSERT_EQUAL (observed.questions, 1);
  CU_ASSERT_EQUAL (observed.reads, 0);
  CU_ASSERT_EQUAL (observed.changes, 1);
  stream_versions_free (versions);
}

/* No peer knows it; what is saved is read after the search has begun.  */
static void
test_saved_read (void)
{
  struct stream_versions *versions = versions_new (1);
  const char *version;
  gint64 now = CLK_S;
  CU_ASSERT_EQUAL (find (versions, now, &version), STREAM_SEARCH_SEARCHING);
  stream_versions_peer_answered (versions, begun_streams_key (STR_LIT ("r-1")),
                                 NULL);
  CU_ASSERT_EQUAL (find (versions, now, &version), STREAM_SEARCH_SEARCHING);
  CU_ASSERT_EQUAL (observed.reads, 1);
  stream_versions_saved_read (versions, now - 1);
  CU_ASSERT_EQUAL (find (versions, now, &version), STREAM_SEARCH_SEARCHING);
  stream_versions_saved_read (versions, now + 1);
  CU_ASSERT_EQUAL (find (versions, now, &version), STREAM_SEARCH_ABSENT);
  stream_versions_free (versions);
}

/* Neither peers nor the store answer: the client is told soon.  */
static void
test_no_answer (void)
{
  struct stream_versions *versions = versions_new (3);
  const char *version;
  enum stream_search_result result = STREAM_SEARCH_SEARCHING;
  gint64 now = 0;
  for (; now < 5 * CLK_S && result == STREAM_SEARCH_SEARCHING; now += CLK_MS)
    result = find (versions, now, &version);
  CU_ASSERT_EQUAL (result, STREAM_SEARCH_ABSENT);
  CU_ASSERT_TRUE (now <= 1200 * CLK_MS);
  stream_versions_free (versions);
}

/* A client does not say which stream it resumes, or one of another service.  */
static void
test_not_named (void)
{
  struct stream_versions *versions = versions_new (0);
  const char *version;
  const struct str none = { "", 0 };
  CU_ASSERT_EQUAL (stream_versions_find (versions, none, "pool", 0, &version),
                   STREAM_SEARCH_ABSENT);
  stream_versions_record (versions, STR_LIT ("r-1"), "other", "v1");
  CU_ASSERT_EQUAL (find (versions, 0, &version), STREAM_SEARCH_ABSENT);
  CU_ASSERT_EQUAL (version_table_read (stream_versions_table (versions),
                                       STR_LIT ("versions 1 2 0\npool v1\n"), 0,
                                       0),
                   0);
  CU_ASSERT_EQUAL (stream_versions_find (versions, none, "pool", 0, &version),
                   STREAM_SEARCH_FOUND);
  CU_ASSERT_STRING_EQUAL (version, "v1");
  stream_versions_free (versions);
}

static void
confirm_table (void *ctx)
{
  (void)ctx;
  observed.confirmations++;
}

/* An instance that was cut off or stood still knows of one version only, while
   streams have begun at another one: it does not say where a stream began
   before it knows that its table is the newest.  */
static void
test_old_table (void)
{
  const struct stream_versions_options options
      = { .confirm_table = confirm_table };
  struct stream_versions *versions = stream_versions_new (&options, 0);
  const char *version;
  gint64 now = 10 * CLK_S;
  memset (&observed, 0, sizeof observed);
  CU_ASSERT_EQUAL (version_table_read (stream_versions_table (versions),
                                       STR_LIT ("versions 1 1 0\npool v1\n"), 0,
                                       0),
                   0);
  CU_ASSERT_EQUAL (find (versions, now, &version), STREAM_SEARCH_SEARCHING);
  CU_ASSERT_EQUAL (observed.confirmations, 1);
  stream_versions_confirmed (versions, now);
  CU_ASSERT_EQUAL (find (versions, now + VERSION_TABLE_HOLD_US - 1, &version),
                   STREAM_SEARCH_FOUND);
  CU_ASSERT_STRING_EQUAL (version, "v1");
  CU_ASSERT_EQUAL (observed.confirmations, 1);
  CU_ASSERT_EQUAL (find (versions, now + VERSION_TABLE_HOLD_US, &version),
                   STREAM_SEARCH_SEARCHING);
  CU_ASSERT_EQUAL (observed.confirmations, 2);
  stream_versions_free (versions);
}

static void
check_inquiry (const struct stream_inquiry *inquiry)
{
  GByteArray *bytes = g_byte_array_new ();
  struct stream_inquiry decoded;
  struct err err = { 0 };
  stream_inquiry_encode (inquiry, bytes);
  struct str text = { (const char *)bytes->data, bytes->len };
  CU_ASSERT_EQUAL_FATAL (stream_inquiry_decode (text, &decoded, &err), 0);
  CU_ASSERT_EQUAL (decoded.kind, inquiry->kind);
  CU_ASSERT_EQUAL (decoded.key, inquiry->key);
  CU_ASSERT_TRUE (str_eq (decoded.report, inquiry->report));
  CU_ASSERT_EQUAL (decoded.is_known, inquiry->is_known);
  CU_ASSERT_STRING_EQUAL (decoded.place.version, inquiry->place.version);
  CU_ASSERT_EQUAL (decoded.place.is_ambiguous, inquiry->place.is_ambiguous);
  for (gsize n = 0; n < text.n; n++)
    CU_ASSERT_EQUAL (
        stream_inquiry_decode ((struct str){ text.p, n }, &decoded, &err),
        ERR_PROTOCOL);
  g_byte_array_unref (bytes);
}

static void
test_messages (void)
{
  check_inquiry (&(struct stream_inquiry){ .kind = STREAM_INQUIRY_QUESTION,
                                           .key = G_MAXUINT64 });
  check_inquiry (
      &(struct stream_inquiry){ .kind = STREAM_INQUIRY_ANSWER, .key = 1 });
  check_inquiry (&(struct stream_inquiry){ .kind = STREAM_INQUIRY_REPORT,
                                           .report = STR_LIT ("streams 1\n") });
  check_inquiry (&(struct stream_inquiry){
      .kind = STREAM_INQUIRY_ANSWER,
      .key = 2,
      .is_known = TRUE,
      .place = { .service = "pool", .version = "v1.2" } });
  check_inquiry (&(struct stream_inquiry){ .kind = STREAM_INQUIRY_ANSWER,
                                           .key = 3,
                                           .is_known = TRUE,
                                           .place = { .is_ambiguous = TRUE } });
}

static CU_TestInfo tests[] = {
  { "kept long enough, and not for ever", test_kept },
  { "an id that was used twice", test_ambiguous },
  { "what is saved is read by others", test_saved },
  { "a peer knows it", test_peer_knows },
  { "only the store knows", test_saved_read },
  { "nobody answers", test_no_answer },
  { "a client that names no stream", test_not_named },
  { "a table that is not known to be the newest", test_old_table },
  { "questions and answers", test_messages },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "begun_streams", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
