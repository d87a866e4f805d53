/* Reads, writes and watches of objects at a store that sends without end: each
   ends in time with an error, and little is read.  */
#include "unit/endless_peer.h"

#include "platform/object_client.h"

#define TIMEOUT_MS 300
#define WATCH_GRACE_MS 2000 /* beyond the time-out of a watch */
#define MARGIN_MS 1000      /* for a busy machine */
#define HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"

static struct
{
  guint results;
  int code;
} observed;

static void
on_done (void *ctx, const struct storage_response *response)
{
  (void)ctx;
  observed.results++;
  observed.code = response->code;
}

/* Starts OP at a store that answers with BEGINNING and then repeats UNIT. It
   must fail in time with CODE, without much having been read, and the
   connection be closed.  */
static void
expect_fails (enum storage_op op, const char *beginning, const char *unit,
              gboolean drips, int code)
{
  struct endless_peer peer;
  struct counter_set counter_set = { 0 };
  struct storage_request request
      = { .op = op, .expected = 3, .timeout_us = TIMEOUT_MS * CLK_MS };
  GString *piece = g_string_new (unit);
  while (!drips && piece->len < TCP_CONN_READ_MAX)
    g_string_append (piece, unit);
  memset (&observed, 0, sizeof observed);
  endless_peer_start (&peer, beginning, (struct str){ piece->str, piece->len },
                      drips);
  struct object_client *client
      = object_client_new (&(struct object_client_options){
          .address = peer.address, .token = "t", .counter_set = &counter_set });
  g_strlcpy (request.name, "ledger/07/head", sizeof request.name);
  if (op == STORAGE_PUT)
    request.body = g_bytes_new_static ("x", 1);
  object_client_start (client, &request, on_done, NULL);
  g_clear_pointer (&request.body, g_bytes_unref);
  CU_ASSERT_TRUE (endless_wait (
      &observed.results, 1,
      TIMEOUT_MS + MARGIN_MS + (op == STORAGE_WATCH ? WATCH_GRACE_MS : 0)));
  CU_ASSERT_EQUAL (observed.code, code);
  CU_ASSERT_TRUE (endless_wait (&peer.closed, 1, MARGIN_MS));
  CU_ASSERT_EQUAL (peer.connections, 1);
  CU_ASSERT_TRUE (endless_peer_sent (&peer) < 2 * ENDLESS_KERNEL_MAX);
  endless_wait (&observed.results, 2, ENDLESS_DRIP_MS);
  CU_ASSERT_EQUAL (observed.results, 1);
  object_client_free (client);
  endless_peer_stop (&peer);
  g_string_free (piece, TRUE);
}

/* ERR_IO: whether a write took effect is not known.  */
static void
test_fast (void)
{
  static const enum storage_op ops[]
      = { STORAGE_GET, STORAGE_PUT, STORAGE_WATCH };
  for (guint i = 0; i < G_N_ELEMENTS (ops); i++)
    {
      expect_fails (ops[i], HEAD "\r\n{", " ", FALSE, ERR_IO);
      expect_fails (ops[i], HEAD "X-Long: ", "x", FALSE, ERR_IO);
      expect_fails (ops[i], HEAD, "X-Field: x\r\n", FALSE, ERR_IO);
      expect_fails (ops[i], INTERIM, INTERIM, FALSE, ERR_IO);
      expect_fails (ops[i], "", "no answer", FALSE, ERR_IO);
    }
}

/* The time-out is that of the whole response: bytes do not start it anew.  */
static void
test_slow (void)
{
  static const enum storage_op ops[]
      = { STORAGE_GET, STORAGE_PUT, STORAGE_WATCH };
  for (guint i = 0; i < G_N_ELEMENTS (ops); i++)
    {
      expect_fails (ops[i], HEAD "\r\n{", " ", TRUE, ERR_TIMEOUT);
      expect_fails (ops[i], HEAD "X-Long: ", "x", TRUE, ERR_TIMEOUT);
      expect_fails (ops[i], INTERIM, INTERIM, TRUE, ERR_TIMEOUT);
    }
}

static CU_TestInfo tests[] = {
  { "as fast as it is read", test_fast },
  { "byte by byte", test_slow },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "objects of a store that sends without end", NULL, NULL, NULL, NULL,
    tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
