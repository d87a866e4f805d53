/* Peers that send without end before they are authenticated: what the mesh
   reads of them and keeps, and how long it waits for them, is bounded, and
   other instances still connect.  */
#include "unit/endless_peer.h"
#include "unit/proxy_fixture.h"

#include "wire/mesh.h"
#include "wire/mesh_handshake.h"

#define KEY "a shared key of the test"
#define HANDSHAKE_MS 300
#define MARGIN_MS 2000  /* for a busy machine */
#define RETRY_MIN_MS 50 /* shortest time between two connections to a peer */
#define FLOOD_BYTES 65536
#define HELLO_LENGTH "\0\0\0\100" /* 64 bytes; fewer follow */

struct endpoint
{
  struct mesh *mesh;
  struct counter_set counter_set;
  guint received;
  guint connected;
};

static void
on_receive (void *ctx, const char *from, const struct msg *msg)
{
  (void)from;
  (void)msg;
  ((struct endpoint *)ctx)->received++;
}

static void
on_connected (void *ctx, const char *id)
{
  (void)id;
  ((struct endpoint *)ctx)->connected++;
}

static void
open_endpoint (struct endpoint *endpoint, const char *id)
{
  struct mesh_options options = { .listen = "127.0.0.1:0",
                                  .key = STR_LIT (KEY),
                                  .counter_set = &endpoint->counter_set,
                                  .handshake_ms = HANDSHAKE_MS,
                                  .receive = on_receive,
                                  .connected = on_connected,
                                  .ctx = endpoint };
  struct err err = { 0 };
  memset (endpoint, 0, sizeof *endpoint);
  str_id_set (&options.self, str_of (id));
  CU_ASSERT_EQUAL_FATAL (mesh_new (&options, &endpoint->mesh, &err), 0);
}

/* Another instance connects to ENDPOINT.  */
static void
expect_connects (struct endpoint *endpoint)
{
  struct endpoint other;
  char address[32];
  open_endpoint (&other, "other");
  g_snprintf (address, sizeof address, "127.0.0.1:%u",
              mesh_port (endpoint->mesh));
  mesh_dial (other.mesh, address);
  CU_ASSERT_TRUE (endless_wait (&endpoint->connected, 1, MARGIN_MS));
  CU_ASSERT_TRUE (endless_wait (&other.connected, 1, MARGIN_MS));
  mesh_free (other.mesh);
}

/* Returns a HELLO frame of an instance "c".  */
static GString *
hello_frame (void)
{
  const struct mesh_hello hello = { .id = { "c" }, .nonce = { 1 } };
  GByteArray *body = g_byte_array_new ();
  GString *frame = g_string_new_len ("\0\0\0", 3);
  mesh_encode_hello (&hello, body);
  g_string_append_c (frame, (char)body->len);
  g_string_append_len (frame, (const char *)body->data, body->len);
  g_byte_array_unref (body);
  return frame;
}

/* Connects, sends BEGINNING and then PIECE every ENDLESS_DRIP_MS. The instance
   must close the connection in time and count it.  */
static void
expect_closed (struct str beginning, struct str piece, gboolean invalid)
{
  struct endpoint b;
  open_endpoint (&b, "b");
  struct proxy_test_client *client
      = proxy_test_open_client_port (mesh_port (b.mesh));
  gint64 end = g_get_monotonic_time () + (HANDSHAKE_MS + MARGIN_MS) * CLK_MS;
  tcp_conn_write (client->tcp_conn, beginning.p, beginning.n);
  while (!client->ended && g_get_monotonic_time () < end)
    {
      tcp_conn_write (client->tcp_conn, piece.p, piece.n);
      proxy_test_wait_until (proxy_test_has_ended, client, ENDLESS_DRIP_MS);
    }
  CU_ASSERT_TRUE (client->ended);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_PEER_REJECTED], 1);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], invalid);
  CU_ASSERT_EQUAL (b.connected, 0);
  CU_ASSERT_EQUAL (b.received, 0);
  expect_connects (&b);
  proxy_test_close_client (client);
  mesh_free (b.mesh);
}

static void
test_accepted (void)
{
  char *flood = g_malloc0 (FLOOD_BYTES);
  GString *hello = hello_frame ();
  struct str frame = { hello->str, hello->len };
  /* One frame byte by byte; the time-out is that of the whole handshake. */
  expect_closed ((struct str){ HELLO_LENGTH, 4 }, STR_LIT ("x"), FALSE);
  expect_closed (frame, (struct str){ "", 0 }, FALSE);
  /* Empty frames, zeros, and HELLO again and again. */
  expect_closed ((struct str){ flood, 4 }, (struct str){ flood, 4 }, TRUE);
  expect_closed ((struct str){ flood, FLOOD_BYTES },
                 (struct str){ flood, FLOOD_BYTES }, TRUE);
  expect_closed (frame, frame, TRUE);
  g_string_free (hello, TRUE);
  g_free (flood);
}

/* An instance dials an address at which something else answers with PIECE,
   without end. It must close each connection, read little and try again after
   a delay.  */
static void
expect_dialled_closed (struct str piece, gboolean drips)
{
  struct endpoint a;
  struct endless_peer peer;
  open_endpoint (&a, "a");
  endless_peer_start (&peer, "", piece, drips);
  gint64 start = g_get_monotonic_time ();
  mesh_dial (a.mesh, peer.address);
  CU_ASSERT_TRUE (endless_wait (&peer.closed, 3, 4 * HANDSHAKE_MS + MARGIN_MS));
  gint64 elapsed_ms = (g_get_monotonic_time () - start) / CLK_MS;
  CU_ASSERT_TRUE (peer.connections <= 1 + elapsed_ms / RETRY_MIN_MS);
  CU_ASSERT_TRUE (endless_peer_sent (&peer)
                  < peer.connections * (guint64)ENDLESS_KERNEL_MAX);
  CU_ASSERT_TRUE (a.counter_set.v[COUNTER_PEER_REJECTED] >= 3);
  CU_ASSERT_TRUE (a.counter_set.v[COUNTER_BYTES_IN]
                  <= (guint64)peer.connections * 2 * FLOOD_BYTES);
  expect_connects (&a);
  mesh_free (a.mesh);
  endless_peer_stop (&peer);
}

static void
test_dialled (void)
{
  char *flood = g_strnfill (FLOOD_BYTES, 'x');
  expect_dialled_closed ((struct str){ flood, FLOOD_BYTES }, FALSE);
  memset (flood, 0, FLOOD_BYTES);
  expect_dialled_closed ((struct str){ flood, FLOOD_BYTES }, FALSE);
  flood[3] = 100; /* the length of a frame, whose body comes byte by byte */
  expect_dialled_closed ((struct str){ flood, 1 }, TRUE);
  g_free (flood);
}

static CU_TestInfo tests[] = {
  { "accepted peers", test_accepted },
  { "dialled peers", test_dialled },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "mesh peers that send without end", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
