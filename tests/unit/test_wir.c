#include "unit/unit.h"

#include "wire/mesh.h"
#include "wire/mesh_handshake.h"

#include <string.h>

#define KEY "a shared key of the test"
#define OTHER_KEY "another key of the test"
#define WAIT_US (30 * G_USEC_PER_SEC) /* a longer wait fails the test */
#define POLL_US 100                   /* between checks of a condition */
#define HANDSHAKE_TIMEOUT_MS 50       /* limit in test_handshake_timeout */
#define BODY_BYTES 100000             /* of a message in test_slow_reader */

/* The mesh of one instance and what its callbacks received. */
struct endpoint
{
  struct mesh *mesh;
  struct counter_set counter_set;
  guint received;
  guint disconnected;
  char from[STR_ID_MAX + 1];
  guint64 last_number; /* ticket or object version of the last message */
};

/* Relays one connection to a port and records what the dialer sends. It can
   stop reading from the dialer or change a bit. Each proxy_step relays what is
   available.  */
struct proxy
{
  GSocket *listener;
  GSocket *dialer;        /* connection of the dialer; NULL before */
  GSocket *listener_side; /* connection to port */
  guint port;             /* relayed to */
  GByteArray *sent;       /* by the dialer */
  GByteArray *to_listener;
  GByteArray *to_dialer;
  gboolean paused;
  gboolean flip_bit; /* in the next bytes to the listener */
};

static struct proxy *active_proxy; /* NULL: none */

static void
on_receive (void *ctx, const char *from, const struct msg *msg)
{
  struct endpoint *endpoint = ctx;
  endpoint->received++;
  g_strlcpy (endpoint->from, from, sizeof endpoint->from);
  endpoint->last_number = msg->kind == MSG_OBJECT_BODY
                              ? msg->object_body.version
                              : msg->withdraw.queue_entry;
}

static void
on_disconnected (void *ctx, const char *id)
{
  (void)id;
  ((struct endpoint *)ctx)->disconnected++;
}

static void
open_endpoint (struct endpoint *endpoint, const char *id, const char *key,
               guint handshake_ms)
{
  struct mesh_options options = {
    .listen = "127.0.0.1:0",
    .key = str_of (key),
    .counter_set = &endpoint->counter_set,
    .handshake_ms = handshake_ms,
    .receive = on_receive,
    .disconnected = on_disconnected,
    .ctx = endpoint,
  };
  struct err err;
  memset (endpoint, 0, sizeof *endpoint);
  str_id_set (&options.self, str_of (id));
  CU_ASSERT_EQUAL_FATAL (mesh_new (&options, &endpoint->mesh, &err), 0);
}

static GSocket *
new_tcp_socket (void)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static GSocket *
tcp_connect (guint port)
{
  GSocket *socket = new_tcp_socket ();
  GSocketAddress *to
      = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  g_socket_set_blocking (socket, TRUE);
  CU_ASSERT_TRUE_FATAL (g_socket_connect (socket, to, NULL, NULL));
  g_socket_set_blocking (socket, FALSE);
  g_object_unref (to);
  return socket;
}

/* Moves available bytes from FROM by way of QUEUE to TO. RECORD, not NULL in
   the direction of the dialer to the listener, gets a copy.  */
static void
relay (GSocket *from, GByteArray *queue, GSocket *to, GByteArray *record)
{
  static char buffer[65536];
  gssize n = g_socket_receive (from, buffer, sizeof buffer, NULL, NULL);
  if (n > 0)
    g_byte_array_append (queue, (guint8 *)buffer, (guint)n);
  if (n > 0 && record != NULL)
    g_byte_array_append (record, (guint8 *)buffer, (guint)n);
  if (queue->len == 0)
    return;
  if (record != NULL && active_proxy->flip_bit)
    queue->data[queue->len - 1] ^= 1;
  active_proxy->flip_bit = active_proxy->flip_bit && record == NULL;
  n = g_socket_send (to, (char *)queue->data, queue->len, NULL, NULL);
  if (n > 0)
    g_byte_array_remove_range (queue, 0, (guint)n);
}

static void
proxy_step (struct proxy *proxy)
{
  if (proxy->dialer == NULL)
    {
      proxy->dialer = g_socket_accept (proxy->listener, NULL, NULL);
      if (proxy->dialer == NULL)
        return;
      g_socket_set_blocking (proxy->dialer, FALSE);
      proxy->listener_side = tcp_connect (proxy->port);
    }
  if (!proxy->paused)
    relay (proxy->dialer, proxy->to_listener, proxy->listener_side,
           proxy->sent);
  relay (proxy->listener_side, proxy->to_dialer, proxy->dialer, NULL);
}

static void
run_loop_once (void)
{
  g_main_context_iteration (NULL, FALSE);
  if (active_proxy != NULL)
    proxy_step (active_proxy);
  g_usleep (POLL_US);
}

#define WAIT_UNTIL(condition)                                                  \
  do                                                                           \
    {                                                                          \
      gint64 wait_deadline = g_get_monotonic_time () + WAIT_US;                \
      gboolean wait_met;                                                       \
      while (!(wait_met = (condition))                                         \
             && g_get_monotonic_time () < wait_deadline)                       \
        run_loop_once ();                                                      \
      CU_ASSERT_TRUE_FATAL (wait_met);                                         \
    }                                                                          \
  while (0)

static void
dial_port (struct endpoint *endpoint, guint port)
{
  char address[32];
  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  mesh_dial (endpoint->mesh, address);
}

static void
open_proxy (struct proxy *proxy, guint port)
{
  GSocketAddress *at = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  memset (proxy, 0, sizeof *proxy);
  proxy->listener = new_tcp_socket ();
  CU_ASSERT_TRUE_FATAL (g_socket_bind (proxy->listener, at, FALSE, NULL));
  CU_ASSERT_TRUE_FATAL (g_socket_listen (proxy->listener, NULL));
  g_object_unref (at);
  proxy->port = port;
  proxy->sent = g_byte_array_new ();
  proxy->to_listener = g_byte_array_new ();
  proxy->to_dialer = g_byte_array_new ();
  active_proxy = proxy;
}

/* Closes both connections; the next proxy_step accepts a new one.  */
static void
proxy_cut (struct proxy *proxy)
{
  g_clear_object (&proxy->dialer);
  g_clear_object (&proxy->listener_side);
  g_byte_array_set_size (proxy->to_listener, 0);
  g_byte_array_set_size (proxy->to_dialer, 0);
}

static void
close_proxy (struct proxy *proxy)
{
  active_proxy = NULL;
  proxy_cut (proxy);
  g_object_unref (proxy->listener);
  g_byte_array_unref (proxy->sent);
  g_byte_array_unref (proxy->to_listener);
  g_byte_array_unref (proxy->to_dialer);
}

static void
dial_proxy (struct endpoint *endpoint, const struct proxy *proxy)
{
  GSocketAddress *at = g_socket_get_local_address (proxy->listener, NULL);
  dial_port (endpoint,
             g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (at)));
  g_object_unref (at);
}

static int
send_withdraw (struct endpoint *endpoint, const char *to, guint64 ticket)
{
  struct msg msg = { .kind = MSG_WITHDRAW, .withdraw = { ticket } };
  return mesh_send (endpoint->mesh, to, &msg);
}

/* Sends a message from A to B and one back, over any connection.  */
static void
exchange (struct endpoint *a, struct endpoint *b)
{
  guint at_a = a->received;
  guint at_b = b->received;
  WAIT_UNTIL (send_withdraw (a, "b", 7) == 0);
  WAIT_UNTIL (b->received > at_b);
  WAIT_UNTIL (send_withdraw (b, "a", 8) == 0);
  WAIT_UNTIL (a->received > at_a);
  CU_ASSERT_STRING_EQUAL (b->from, "a");
  CU_ASSERT_STRING_EQUAL (a->from, "b");
  CU_ASSERT_EQUAL (b->last_number, 7);
}

/* Returns the dump of ENDPOINT; to be freed with json_node_unref.  */
static JsonNode *
dump (const struct endpoint *endpoint)
{
  JsonBuilder *json = json_builder_new ();
  mesh_dump (endpoint->mesh, json);
  JsonNode *root = json_builder_get_root (json);
  g_object_unref (json);
  return root;
}

static guint
count_peer_connections (const struct endpoint *endpoint)
{
  JsonNode *root = dump (endpoint);
  JsonArray *peers
      = json_object_get_array_member (json_node_get_object (root), "peers");
  guint n = 0;
  if (json_array_get_length (peers) > 0)
    n = (guint)json_object_get_int_member (
        json_array_get_object_element (peers, 0), "connections");
  json_node_unref (root);
  return n;
}

static void
open_pair (struct endpoint *a, struct endpoint *b)
{
  open_endpoint (a, "a", KEY, 0);
  open_endpoint (b, "b", KEY, 0);
  dial_port (a, mesh_port (b->mesh));
  exchange (a, b);
}

static void
close_pair (struct endpoint *a, struct endpoint *b)
{
  mesh_free (a->mesh);
  mesh_free (b->mesh);
}

static void
test_pair (void)
{
  struct endpoint a;
  struct endpoint b;
  open_pair (&a, &b);
  CU_ASSERT_EQUAL (send_withdraw (&a, "c", 1), ERR_CLOSED);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_MSG_OUT], 1);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_MSG_IN], 1);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_BYTES_OUT],
                   b.counter_set.v[COUNTER_BYTES_IN]);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_BYTES_IN],
                   b.counter_set.v[COUNTER_BYTES_OUT]);
  mesh_free (b.mesh);
  WAIT_UNTIL (a.disconnected == 1);
  CU_ASSERT_EQUAL (send_withdraw (&a, "b", 1), ERR_CLOSED);
  mesh_free (a.mesh);
}

/* Messages queued in one iteration of the main loop share one frame, with one
   length (4 bytes) and one tag (16 bytes).  */
static void
test_iteration_is_one_frame (void)
{
  struct endpoint a;
  struct endpoint b;
  open_pair (&a, &b);
  guint64 before = a.counter_set.v[COUNTER_BYTES_OUT];
  for (guint i = 0; i < 50; i++)
    CU_ASSERT_EQUAL (send_withdraw (&a, "b", i), 0);
  WAIT_UNTIL (b.received == 51);
  CU_ASSERT_EQUAL (b.last_number, 49);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_BYTES_OUT] - before, 50 * 3 + 20);
  close_pair (&a, &b);
}

/* Sends BYTES to B over a plain socket. B must reject the connection and still
   exchange messages with A.  */
static void
expect_rejected (struct endpoint *a, struct endpoint *b, const void *bytes,
                 gsize n)
{
  guint64 rejected = b->counter_set.v[COUNTER_PEER_REJECTED];
  guint received = b->received;
  GSocket *socket = tcp_connect (mesh_port (b->mesh));
  g_socket_send (socket, bytes, n, NULL, NULL);
  WAIT_UNTIL (b->counter_set.v[COUNTER_PEER_REJECTED] == rejected + 1);
  CU_ASSERT_EQUAL (b->received, received);
  CU_ASSERT_EQUAL (b->disconnected, 0);
  exchange (a, b);
  g_object_unref (socket);
}

static void
test_invalid_handshake_bytes (void)
{
  struct endpoint a;
  struct endpoint b;
  char zeros[300] = { 0 };
  open_pair (&a, &b);
  expect_rejected (&a, &b, "GET / HTTP/1.1\r\n\r\n", 18);
  expect_rejected (&a, &b, "\xff\xff\xff\xff", 4);
  expect_rejected (&a, &b, "\x00\x00\x01\x01",
                   4); /* over the limit of a handshake frame */
  expect_rejected (&a, &b, zeros, sizeof zeros);
  expect_rejected (&a, &b, "\x00\x00\x00\x05\xdd\xff\xff\xff\xff", 9);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], 5);
  close_pair (&a, &b);
}

static void
test_handshake_timeout (void)
{
  struct endpoint b;
  open_endpoint (&b, "b", KEY, HANDSHAKE_TIMEOUT_MS);
  GSocket *socket = tcp_connect (mesh_port (b.mesh));
  WAIT_UNTIL (b.counter_set.v[COUNTER_PEER_REJECTED] == 1);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], 0);
  g_object_unref (socket);
  mesh_free (b.mesh);
}

static void
test_wrong_key (void)
{
  struct endpoint a;
  struct endpoint b;
  struct endpoint attacker;
  open_pair (&a, &b);
  open_endpoint (&attacker, "c", OTHER_KEY, 0);
  dial_port (&attacker, mesh_port (b.mesh));
  WAIT_UNTIL (b.counter_set.v[COUNTER_PEER_REJECTED] == 1);
  CU_ASSERT_EQUAL (send_withdraw (&attacker, "b", 1), ERR_CLOSED);
  CU_ASSERT_EQUAL (send_withdraw (&b, "c", 1), ERR_CLOSED);
  exchange (&a, &b);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], 0);
  mesh_free (attacker.mesh);
  close_pair (&a, &b);
}

static void
test_replayed_handshake (void)
{
  struct endpoint a;
  struct endpoint b;
  struct proxy proxy;
  open_endpoint (&a, "a", KEY, 0);
  open_endpoint (&b, "b", KEY, 0);
  open_proxy (&proxy, mesh_port (b.mesh));
  dial_proxy (&a, &proxy);
  exchange (&a, &b);
  expect_rejected (&a, &b, proxy.sent->data, proxy.sent->len);
  close_proxy (&proxy);
  close_pair (&a, &b);
}

/* Opens a pair that is connected through PROXY.  */
static void
open_proxied (struct endpoint *a, struct endpoint *b, struct proxy *proxy)
{
  open_endpoint (a, "a", KEY, 0);
  open_endpoint (b, "b", KEY, 0);
  open_proxy (proxy, mesh_port (b->mesh));
  dial_proxy (a, proxy);
  exchange (a, b);
}

/* After the stream was tampered with, B must close the connection without
   accepting a message, and A must reconnect by itself.  */
static void
expect_tampering_detected (struct endpoint *a, struct endpoint *b,
                           struct proxy *proxy)
{
  guint received = b->received;
  WAIT_UNTIL (b->counter_set.v[COUNTER_FRAME_INVALID] == 1);
  CU_ASSERT_EQUAL (b->received, received);
  WAIT_UNTIL (b->disconnected == 1);
  proxy_cut (proxy);
  WAIT_UNTIL (a->disconnected == 1);
  exchange (a, b);
  close_proxy (proxy);
  close_pair (a, b);
}

static void
test_repeated_frame (void)
{
  struct endpoint a;
  struct endpoint b;
  struct proxy proxy;
  open_proxied (&a, &b, &proxy);
  guint frame = 4 + 3 + 16; /* length, withdraw, tag */
  g_byte_array_append (proxy.to_listener,
                       proxy.sent->data + proxy.sent->len - frame, frame);
  expect_tampering_detected (&a, &b, &proxy);
}

static void
test_changed_frame (void)
{
  struct endpoint a;
  struct endpoint b;
  struct proxy proxy;
  open_proxied (&a, &b, &proxy);
  proxy.flip_bit = TRUE;
  CU_ASSERT_EQUAL (send_withdraw (&a, "b", 9), 0);
  expect_tampering_detected (&a, &b, &proxy);
}

/* A frame recorded on an earlier connection is rejected on a new one, even if
   it has the expected frame number: each connection has its own keys.  */
static void
test_frame_of_other_connection (void)
{
  struct endpoint a;
  struct endpoint b;
  struct proxy proxy;
  open_proxied (&a, &b, &proxy);
  guint8 frame[4 + 3 + 16]; /* length, withdraw, tag */
  memcpy (frame, proxy.sent->data + proxy.sent->len - sizeof frame,
          sizeof frame);
  proxy_cut (&proxy);
  WAIT_UNTIL (a.disconnected == 1 && b.disconnected == 1);
  WAIT_UNTIL (proxy.dialer != NULL && count_peer_connections (&b) == 1);
  b.disconnected = a.disconnected = 0;
  g_byte_array_append (proxy.to_listener, frame, sizeof frame);
  expect_tampering_detected (&a, &b, &proxy);
}

/* Appends the available bytes to the N bytes in BUFFER. Returns the new N.  */
static gsize
receive_more (GSocket *socket, char *buffer, gsize size, gsize *n)
{
  gssize received
      = g_socket_receive (socket, buffer + *n, size - *n, NULL, NULL);
  if (received > 0)
    *n += (gsize)received;
  return *n;
}

/* A listener without the key sends the dialer's own proof back. The dialer must
   reject it.  */
static void
test_reflected_proof (void)
{
  struct endpoint a;
  struct proxy attacker;
  struct mesh_hello hello = { .id = { "c" }, .nonce = { 1 } };
  GByteArray *hello_frame = g_byte_array_new ();
  char received_bytes[512];
  gsize n = 0;
  g_byte_array_append (hello_frame, (const guint8 *)"\0\0\0", 4);
  mesh_encode_hello (&hello, hello_frame);
  hello_frame->data[3] = (guint8)(hello_frame->len - 4);
  open_endpoint (&a, "a", KEY, 0);
  open_proxy (&attacker, 0);
  active_proxy = NULL;
  dial_proxy (&a, &attacker);
  WAIT_UNTIL (
      (attacker.dialer = g_socket_accept (attacker.listener, NULL, NULL))
      != NULL);
  g_socket_set_blocking (attacker.dialer, FALSE);
  g_socket_send (attacker.dialer, (char *)hello_frame->data, hello_frame->len,
                 NULL, NULL);
  guint hello_frame_bytes = hello_frame->len; /* A's HELLO has the same size */
  guint proof_frame_bytes = 4 + 3 + MESH_PROOF_BYTES;
  WAIT_UNTIL (
      receive_more (attacker.dialer, received_bytes, sizeof received_bytes, &n)
      == hello_frame_bytes + proof_frame_bytes);
  g_socket_send (attacker.dialer, received_bytes + n - proof_frame_bytes,
                 proof_frame_bytes, NULL, NULL);
  WAIT_UNTIL (a.counter_set.v[COUNTER_PEER_REJECTED] == 1);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_FRAME_INVALID], 0);
  CU_ASSERT_EQUAL (send_withdraw (&a, "c", 1), ERR_CLOSED);
  close_proxy (&attacker);
  g_byte_array_unref (hello_frame);
  mesh_free (a.mesh);
}

/* A message that exceeds the limit of a field is skipped; the connection stays
   open.  */
static void
test_unreadable_message (void)
{
  struct endpoint a;
  struct endpoint b;
  char response_body[MSG_RESPONSE_MAX + 1] = { 0 };
  struct msg msg = { .kind = MSG_LEDGER_RESULT };
  msg.ledger_result.response_body
      = (struct str){ response_body, sizeof response_body };
  open_pair (&a, &b);
  CU_ASSERT_EQUAL (mesh_send (a.mesh, "b", &msg), 0);
  exchange (&a, &b);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], 1);
  CU_ASSERT_EQUAL (b.disconnected, 0);
  close_pair (&a, &b);
}

/* The queue for a peer that does not read is bounded. The accepted messages
   arrive in order once it reads again.  */
static void
test_slow_reader (void)
{
  struct endpoint a;
  struct endpoint b;
  struct proxy proxy;
  char *body = g_malloc0 (BODY_BYTES);
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  msg.object_body.body = (struct str){ body, BODY_BYTES };
  open_proxied (&a, &b, &proxy);
  proxy.paused = TRUE;
  int r;
  guint accepted = 0;
  gint64 limit = g_get_monotonic_time () + WAIT_US;
  while ((r = mesh_send (a.mesh, "b", &msg)) == 0
         && g_get_monotonic_time () < limit)
    {
      msg.object_body.version = ++accepted;
      run_loop_once ();
    }
  CU_ASSERT_EQUAL (r, ERR_LIMIT);
  CU_ASSERT_TRUE (accepted >= MESH_QUEUE_MAX / BODY_BYTES - 1);
  proxy.paused = FALSE;
  guint before = b.received;
  WAIT_UNTIL (b.received == before + accepted);
  CU_ASSERT_EQUAL (b.last_number, accepted - 1);
  exchange (&a, &b);
  close_proxy (&proxy);
  close_pair (&a, &b);
  g_free (body);
}

static void
drop_address (struct endpoint *endpoint, const struct endpoint *from)
{
  char address[32];
  g_snprintf (address, sizeof address, "127.0.0.1:%u", mesh_port (from->mesh));
  mesh_drop_address (endpoint->mesh, address);
}

static void
test_both_dial (void)
{
  struct endpoint a;
  struct endpoint b;
  open_pair (&a, &b);
  dial_port (&b, mesh_port (a.mesh));
  WAIT_UNTIL (count_peer_connections (&a) == 2
              && count_peer_connections (&b) == 2);
  exchange (&a, &b);
  drop_address (&a, &b);
  WAIT_UNTIL (count_peer_connections (&b) == 1);
  exchange (&a, &b);
  CU_ASSERT_EQUAL (a.disconnected + b.disconnected, 0);
  drop_address (&b, &a);
  WAIT_UNTIL (a.disconnected == 1 && b.disconnected == 1);
  close_pair (&a, &b);
}

/* Idle connections use up the limit of 64 pending handshakes; an instance must
   still get through.  */
static void
test_flood (void)
{
  struct endpoint a;
  struct endpoint b;
  GSocket *sockets[100];
  open_endpoint (&a, "a", KEY, 0);
  open_endpoint (&b, "b", KEY, 0);
  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    sockets[i] = tcp_connect (mesh_port (b.mesh));
  WAIT_UNTIL (b.counter_set.v[COUNTER_PEER_REJECTED]
              >= G_N_ELEMENTS (sockets) - 64);
  dial_port (&a, mesh_port (b.mesh));
  exchange (&a, &b);
  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    g_object_unref (sockets[i]);
  close_pair (&a, &b);
}

static void
test_own_id (void)
{
  struct endpoint a;
  struct endpoint b;
  struct endpoint same_id;
  open_pair (&a, &b);
  open_endpoint (&same_id, "b", KEY, 0);
  dial_port (&same_id, mesh_port (b.mesh));
  WAIT_UNTIL (b.counter_set.v[COUNTER_PEER_REJECTED] == 1);
  exchange (&a, &b);
  mesh_free (same_id.mesh);
  close_pair (&a, &b);
}

static void
test_dump (void)
{
  struct endpoint a;
  struct endpoint b;
  open_pair (&a, &b);
  JsonNode *root = dump (&a);
  JsonObject *connection = json_array_get_object_element (
      json_object_get_array_member (json_node_get_object (root), "connections"),
      0);
  CU_ASSERT_STRING_EQUAL (json_object_get_string_member (connection, "peer"),
                          "b");
  CU_ASSERT_STRING_EQUAL (
      json_object_get_string_member (connection, "direction"), "out");
  CU_ASSERT_EQUAL (json_object_get_int_member (connection, "queue_bytes"), 0);
  json_node_unref (root);
  close_pair (&a, &b);
}

static guint
count_dialled (const struct endpoint *endpoint)
{
  JsonNode *root = dump (endpoint);
  guint n = json_array_get_length (
      json_object_get_array_member (json_node_get_object (root), "dialled"));
  json_node_unref (root);
  return n;
}

/* Of two addresses without a listener only the permanent one stays dialled; the
   other is dropped and may be dialled again.  */
static void
test_give_up (void)
{
  const char *const permanent[] = { "127.0.0.1:1", NULL };
  struct endpoint a;
  struct mesh_options options = { .listen = "127.0.0.1:0",
                                  .key = STR_LIT (KEY),
                                  .self = { "a" },
                                  .counter_set = &a.counter_set,
                                  .give_up_ms = 1,
                                  .permanent = permanent,
                                  .receive = on_receive,
                                  .disconnected = on_disconnected,
                                  .ctx = &a };
  memset (&a, 0, sizeof a);
  CU_ASSERT_EQUAL_FATAL (mesh_new (&options, &a.mesh, NULL), 0);
  dial_port (&a, 1);
  dial_port (&a, 2);
  CU_ASSERT_EQUAL (count_dialled (&a), 2);
  WAIT_UNTIL (count_dialled (&a) == 1);
  dial_port (&a, 2);
  CU_ASSERT_EQUAL (count_dialled (&a), 2);
  WAIT_UNTIL (count_dialled (&a) == 1);
  dial_port (&a, 1);
  CU_ASSERT_EQUAL (count_dialled (&a), 1); /* was dialled all the time */
  mesh_free (a.mesh);
}

static CU_TestInfo tests[] = {
  { "a pair exchanges messages and counts them", test_pair },
  { "messages of one loop iteration share a frame",
    test_iteration_is_one_frame },
  { "invalid handshake bytes are rejected", test_invalid_handshake_bytes },
  { "a handshake without data times out", test_handshake_timeout },
  { "a wrong key is rejected", test_wrong_key },
  { "a replayed handshake is rejected", test_replayed_handshake },
  { "a repeated frame closes the connection", test_repeated_frame },
  { "a modified frame closes the connection", test_changed_frame },
  { "a frame of another connection closes it", test_frame_of_other_connection },
  { "a reflected proof is rejected", test_reflected_proof },
  { "an invalid message is skipped", test_unreadable_message },
  { "the queue for a slow reader is bounded", test_slow_reader },
  { "both instances may dial", test_both_dial },
  { "a flood of handshakes does not lock out instances", test_flood },
  { "a peer with the own id is rejected", test_own_id },
  { "the dump lists connections", test_dump },
  { "an unreachable address is dropped unless permanent", test_give_up },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "wire", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
