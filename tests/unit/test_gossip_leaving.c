/* What instances tell each other of servers that say that they are leaving. If
   it did not spread, all instances but one would go on placing requests there;
   if it bound like a response to the instance itself, one wrong message could
   take all servers of a service out of use.  */
#include "unit/gossip_world.h"
#include "unit/unit.h"

#define DRAIN_US (3 * CLK_S)
#define KEY_BYTES 5 /* of the longest encoded server key */

static struct registry_server *
server_of (guint node, guint server)
{
  char id[16];
  g_snprintf (id, sizeof id, "e-%u", server);
  return registry_find (net.nodes[node].registry, id);
}

/* Lets SERVER say to NODE that it is leaving.  */
static void
say_leaving (guint node, guint server)
{
  registry_set_drain_time (net.nodes[node].registry, DRAIN_US);
  registry_mark_leaving (net.nodes[node].registry, server_of (node, server),
                         net.now);
}

/* Returns at how many instances SERVER counts as leaving.  */
static guint
count_informed (guint server)
{
  guint n = 0;
  for (guint i = 0; i < net.n; i++)
    n += registry_is_leaving (server_of (i, server));
  return n;
}

static guint
sent_in_total (void)
{
  guint n = 0;
  for (guint i = 0; i < net.n; i++)
    n += net.nodes[i].sent;
  return n;
}

static guint64
bytes_in_total (void)
{
  guint64 n = 0;
  for (guint i = 0; i < net.n; i++)
    n += net.nodes[i].bytes;
  return n;
}

/* All instances learn it from one, but only that one is bound by it: at the
   others the server remains the last resort.  */
static void
test_small_fleet (void)
{
  start (4, 2, 1);
  step (2 * CLK_S);
  CU_ASSERT_EQUAL (count_informed (0), 0);
  say_leaving (0, 0);
  step (CLK_S);
  CU_ASSERT_EQUAL (count_informed (0), 4);
  CU_ASSERT_EQUAL (count_informed (1), 0);
  step (5 * CLK_S);
  CU_ASSERT_FALSE (registry_may_serve (server_of (0, 0), net.now));
  for (guint i = 1; i < 4; i++)
    CU_ASSERT_TRUE (registry_may_serve (server_of (i, 0), net.now));
  CU_ASSERT_EQUAL (net.undecodable, 0);
  stop ();
}

/* What a peer says does not begin the drain time, and does not change the one
   that the server's own response has begun.  */
static void
test_own_response_after_peer (void)
{
  start (2, 1, 2);
  step (2 * CLK_S);
  say_leaving (0, 0);
  step (10 * CLK_S);
  say_leaving (1, 0);
  gint64 said_at = net.now;
  CU_ASSERT_TRUE (registry_may_serve (server_of (1, 0), said_at + DRAIN_US));
  step (CLK_S);
  CU_ASSERT_FALSE (
      registry_may_serve (server_of (1, 0), said_at + DRAIN_US + 1));
  stop ();
}

/* A server that has started again is another life: messages about the one
   before do not concern it.  */
static void
test_restarted_server (void)
{
  start (2, 1, 3);
  step (2 * CLK_S);
  struct registry_entry entry = server_of (1, 0)->entry;
  entry.start_time_ms = 9;
  registry_update (net.nodes[1].registry, &entry, 1, net.now);
  say_leaving (0, 0);
  step (2 * CLK_S);
  CU_ASSERT_TRUE (registry_is_leaving (server_of (0, 0)));
  CU_ASSERT_FALSE (registry_is_leaving (server_of (1, 0)));
  stop ();
}

/* In a large fleet it passes from domain to domain through the leaders, in
   messages that are sent anyway. The bytes are bounded by what one message
   holds.  */
static void
test_large_fleet (void)
{
  enum
  {
    N = 60,
    DOMAINS = 6
  };
  guint sent[2];
  guint64 bytes[2];
  for (guint run = 0; run < 2; run++)
    {
      start (N, DOMAINS, 4);
      step (5 * CLK_S);
      guint sent_before = sent_in_total ();
      guint64 bytes_before = bytes_in_total ();
      if (run == 1)
        say_leaving (N - 1, 0); /* no leader */
      step (5 * CLK_S);
      CU_ASSERT_EQUAL (count_informed (0), run == 1 ? N : 0);
      sent[run] = sent_in_total () - sent_before;
      bytes[run] = bytes_in_total () - bytes_before;
      CU_ASSERT_EQUAL (net.undecodable, 0);
      stop ();
    }
  CU_ASSERT_EQUAL (sent[1], sent[0]);
  CU_ASSERT_TRUE (bytes[1] <= bytes[0] + (guint64)sent[1] * KEY_BYTES);
}

/* More servers are leaving than one message holds: all get known.  */
static void
test_many_leaving (void)
{
  start (3, 1, 5);
  net.servers = 200;
  for (guint i = 0; i < 3; i++)
    list_servers (&net.nodes[i]);
  step (2 * CLK_S);
  for (guint k = 0; k < 150; k++)
    say_leaving (0, k);
  step (3 * CLK_S);
  for (guint k = 0; k < 200; k++)
    CU_ASSERT_EQUAL (count_informed (k), k < 150 ? 3 : 0);
  CU_ASSERT_EQUAL (net.undecodable, 0);
  stop ();
}

#define FIELD_COUNT_AT 2 /* its low byte, in the header of the array */
#define LATER_FIELDS 7   /* after that of the leaving servers; one byte each */

static int
decode (const GByteArray *bytes, struct gossip_message *message)
{
  struct err err = { 0 };
  return gossip_message_decode (
      (struct str){ (const char *)bytes->data, bytes->len }, message, &err);
}

/* Messages of older instances end before the field, and those of later ones
   have further fields; too many servers are an error.  */
static void
test_versions (void)
{
  static const guint8 further = 0x90; /* an empty array */
  static const guint8 key[KEY_BYTES] = { 0xce, 1, 2, 3, 4 };
  static struct gossip_message message;
  static struct gossip_message read;
  g_strlcpy (message.id, "n", sizeof message.id);
  g_strlcpy (message.domain, "d", sizeof message.domain);
  GByteArray *bytes = g_byte_array_new ();
  gossip_message_encode (&message, bytes);
  CU_ASSERT_EQUAL (decode (bytes, &read), 0);
  guint8 fields = bytes->data[FIELD_COUNT_AT];
  g_byte_array_append (bytes, &further, 1);
  bytes->data[FIELD_COUNT_AT] = fields + 1;
  CU_ASSERT_EQUAL (decode (bytes, &read), 0);
  for (guint i = 0; i <= LATER_FIELDS; i++)
    {
      g_byte_array_set_size (bytes, bytes->len - (i == 0 ? 2 : 1));
      bytes->data[FIELD_COUNT_AT] = fields - 1 - i;
      read.n_leaving = 7;
      CU_ASSERT_EQUAL (decode (bytes, &read), 0);
      CU_ASSERT_EQUAL (read.n_leaving, 0);
    }
  g_byte_array_set_size (bytes, 0);
  message.n_leaving = GOSSIP_MESSAGE_LEAVING_MAX;
  memset (message.leaving, 0xff, sizeof message.leaving);
  gossip_message_encode (&message, bytes);
  CU_ASSERT_EQUAL (decode (bytes, &read), 0);
  CU_ASSERT_EQUAL (read.n_leaving, GOSSIP_MESSAGE_LEAVING_MAX);
  CU_ASSERT_EQUAL (memcmp (read.leaving, message.leaving, sizeof read.leaving),
                   0);
  bytes->data[bytes->len - GOSSIP_MESSAGE_LEAVING_MAX * KEY_BYTES - 1]++;
  g_byte_array_append (bytes, key, sizeof key);
  CU_ASSERT_EQUAL (decode (bytes, &read), ERR_PROTOCOL);
  g_byte_array_unref (bytes);
}

static CU_TestInfo tests[] = {
  { "a small fleet", test_small_fleet },
  { "the own response after a peer's", test_own_response_after_peer },
  { "a server that has started again", test_restarted_server },
  { "a large fleet", test_large_fleet },
  { "many leaving servers", test_many_leaving },
  { "versions of messages", test_versions },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "gossip_leaving", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
