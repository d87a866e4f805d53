/* Engines that send without end: what the poller and the order client read of
   them, keep and wait for is bounded.  */
#include "unit/endless_peer.h"

#include "backend/engine_poller.h"
#include "backend/order_client.h"

#define PIECE_BYTES 65536
#define MARGIN_MS 2000 /* for a busy machine */
#define ORDER_TIMEOUT_MS 1000
#define SOON_MS 600 /* less than that */
#define HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

struct fixture
{
  struct endless_peer peer;
  struct cluster_backend backend;
  struct engine_poller *poller;
  struct order_client *order_client;
  guint loads;
  guint responses; /* to orders */
  int code;        /* of the last one */
  char *piece;
};

static void
on_load (void *ctx, const char *backend, const struct shard_load *load,
         gboolean leaving)
{
  struct fixture *f = ctx;
  (void)backend;
  (void)load;
  (void)leaving;
  f->loads++;
}

static void
on_cache (void *ctx, const char *backend, guint64 prefix, gboolean cached)
{
  (void)ctx;
  (void)backend;
  (void)prefix;
  (void)cached;
}

static void
on_order_response (void *ctx, guint64 token,
                   const struct reconciler_response *response)
{
  struct fixture *f = ctx;
  (void)token;
  f->responses++;
  f->code = response->code;
}

/* Starts an engine that answers with BEGINNING and then repeats UNIT, in large
   pieces unless it drips.  */
static void
start (struct fixture *f, const char *beginning, const char *unit,
       gboolean drips)
{
  const struct engine_poller_options options
      = { .load = on_load, .cache = on_cache, .ctx = f };
  const struct order_client_options order_options
      = { .response = on_order_response, .ctx = f };
  GString *piece = g_string_new (unit);
  memset (f, 0, sizeof *f);
  while (!drips && piece->len > 0 && piece->len < PIECE_BYTES)
    g_string_append (piece, unit);
  gsize n = piece->len;
  f->piece = g_string_free (piece, FALSE);
  endless_peer_start (&f->peer, beginning, (struct str){ f->piece, n }, drips);
  str_id_set (&f->backend.name, STR_LIT ("e1"));
  g_strlcpy (f->backend.address, f->peer.address, sizeof f->backend.address);
  f->poller = engine_poller_new (&options);
  f->order_client = order_client_new (&order_options);
}

static void
stop (struct fixture *f)
{
  engine_poller_free (f->poller);
  order_client_free (f->order_client);
  endless_peer_stop (&f->peer);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_free (f->piece);
}

/* Polls an engine once. The poller must close the connection in time, without
   having read much, and must not report a load.  */
static void
expect_poll_ends (const char *beginning, const char *unit, gboolean drips)
{
  struct fixture f;
  start (&f, beginning, unit, drips);
  engine_poller_poll (f.poller, &f.backend);
  CU_ASSERT_TRUE (endless_wait (&f.peer.closed, 1,
                                ENGINE_POLLER_TIMEOUT_US / CLK_MS + MARGIN_MS));
  CU_ASSERT_EQUAL (f.peer.connections, 1);
  CU_ASSERT_EQUAL (f.loads, 0);
  CU_ASSERT_TRUE (endless_peer_sent (&f.peer) < ENDLESS_KERNEL_MAX);
  /* The next poll is not blocked by this one. */
  engine_poller_poll (f.poller, &f.backend);
  CU_ASSERT_TRUE (endless_wait (&f.peer.connections, 2, MARGIN_MS));
  stop (&f);
}

static void
test_poll_body (void)
{
  expect_poll_ends (HEAD "\r\n{", " ", FALSE);
  expect_poll_ends (HEAD "Content-Length: 1000000000000\r\n\r\n{", " ", FALSE);
  expect_poll_ends (HEAD "Transfer-Encoding: chunked\r\n\r\n", "4\r\n    \r\n",
                    FALSE);
  expect_poll_ends ("HTTP/1.1 500 Error\r\n\r\n", "x", FALSE);
}

static void
test_poll_body_slow (void)
{
  expect_poll_ends (HEAD "\r\n{", " ", TRUE);
}

static void
test_poll_head (void)
{
  expect_poll_ends (HEAD "X-Long: ", "x", FALSE);
  expect_poll_ends (HEAD, "X-Field: x\r\n", FALSE);
  expect_poll_ends ("", "x", FALSE);
}

static void
test_poll_head_slow (void)
{
  expect_poll_ends (HEAD "X-Long: ", "x", TRUE);
}

static void
test_poll_interim (void)
{
  expect_poll_ends ("HTTP/1.1 100 Continue\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\n\r\n", TRUE);
}

/* Sends an order. It must fail with CODE within MS, with its connection closed
   and without having read much.  */
static void
expect_order_fails (const char *beginning, const char *unit, gboolean drips,
                    int code, gint64 ms)
{
  struct fixture f;
  struct reconciler_request order = { .post = TRUE,
                                      .fence = 12,
                                      .id = "12-1",
                                      .kind = RECONCILER_SET_ROLE,
                                      .timeout_us = ORDER_TIMEOUT_MS * CLK_MS };
  start (&f, beginning, unit, drips);
  str_id_set (&order.name, STR_LIT ("decode"));
  order_client_start (f.order_client, 7, &f.backend, &order);
  CU_ASSERT_TRUE (endless_wait (&f.responses, 1, ms));
  CU_ASSERT_EQUAL (f.code, code);
  CU_ASSERT_TRUE (endless_wait (&f.peer.closed, 1, MARGIN_MS));
  CU_ASSERT_TRUE (endless_peer_sent (&f.peer) < ENDLESS_KERNEL_MAX);
  endless_wait (&f.responses, 2, ENDLESS_DRIP_MS);
  CU_ASSERT_EQUAL (f.responses, 1);
  stop (&f);
}

/* An order is not read until its time limit if its body is too long before.  */
static void
test_order_body (void)
{
  expect_order_fails (HEAD "\r\n{", " ", FALSE, ERR_TOO_LARGE, SOON_MS);
  expect_order_fails (HEAD "Transfer-Encoding: chunked\r\n\r\n",
                      "4\r\n    \r\n", FALSE, ERR_TOO_LARGE, SOON_MS);
  expect_order_fails ("HTTP/1.1 409 Conflict\r\n\r\n", " ", FALSE, ERR_CONFLICT,
                      SOON_MS);
}

static void
test_order_slow (void)
{
  expect_order_fails (HEAD "\r\n{", " ", TRUE, ERR_TIMEOUT,
                      ORDER_TIMEOUT_MS + MARGIN_MS);
  expect_order_fails (HEAD "X-Long: ", "x", TRUE, ERR_TIMEOUT,
                      ORDER_TIMEOUT_MS + MARGIN_MS);
}

static void
test_order_head (void)
{
  expect_order_fails (HEAD "X-Long: ", "x", FALSE, ERR_IO,
                      ORDER_TIMEOUT_MS + MARGIN_MS);
  expect_order_fails (HEAD, "X-Field: x\r\n", FALSE, ERR_IO,
                      ORDER_TIMEOUT_MS + MARGIN_MS);
}

/* Complete responses are reported, and the connection is kept.  */
static void
test_polls_in_turn (void)
{
  struct fixture f;
  start (&f, HEAD "Content-Length: 13\r\n\r\n{\"running\":1}", "", FALSE);
  for (guint i = 1; i <= 4; i++)
    {
      engine_poller_poll (f.poller, &f.backend);
      CU_ASSERT_TRUE (endless_wait (&f.loads, i, MARGIN_MS));
    }
  CU_ASSERT_EQUAL (f.peer.connections, 1);
  stop (&f);
}

static CU_TestInfo tests[] = {
  { "polling: requests in turn", test_polls_in_turn },
  { "polling: a body without end", test_poll_body },
  { "polling: a body byte by byte", test_poll_body_slow },
  { "polling: a head without end", test_poll_head },
  { "polling: a head byte by byte", test_poll_head_slow },
  { "polling: interim responses without end", test_poll_interim },
  { "orders: a body without end", test_order_body },
  { "orders: a response byte by byte", test_order_slow },
  { "orders: a head without end", test_order_head },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "engines that send without end", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
