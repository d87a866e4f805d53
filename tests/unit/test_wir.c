#include "unit/unit.h"

#include "wire/wir.h"
#include "wire/wir_hello.h"

#include <string.h>

#define KEY "a shared key of the test"
#define OTHER_KEY "another key of the test"
#define WAIT_US (30 * G_USEC_PER_SEC) /* a wait that is longer has failed */
#define STEP_US 100                   /* between looks at a condition */
#define SILENCE_MS 50                 /* handshake of the silence test */
#define BODY_BYTES 100000             /* of a message to a slow reader */

/* One instance's end and what came in. */
struct end
{
  struct wir *wir;
  struct counter_set counter_set;
  guint received;
  guint lost;
  char from[STR_ID_MAX + 1];
  guint64 ticket; /* of the last message */
};

/* Relays one connection to a port, records what the dialler sends and can
   stop reading or change bytes. Runs by proxy_step.  */
struct proxy
{
  GSocket *listener;
  GSocket *near; /* of the dialler; NULL before it comes */
  GSocket *far;
  guint port;       /* relayed to */
  GByteArray *sent; /* by the dialler */
  GByteArray *to_far;
  GByteArray *to_near;
  gboolean paused;
  gboolean flip; /* a bit of the next bytes to far */
};

static struct proxy *active; /* NULL: none */

static void
on_receive (void *ctx, const char *from, const struct msg *msg)
{
  struct end *end = ctx;
  end->received++;
  g_strlcpy (end->from, from, sizeof end->from);
  end->ticket = msg->kind == MSG_OBJECT_BODY ? msg->object_body.version
                                             : msg->withdraw.ticket;
}

static void
on_lost (void *ctx, const char *id)
{
  (void)id;
  ((struct end *)ctx)->lost++;
}

static void
open_end (struct end *end, const char *id, const char *key, guint handshake_ms)
{
  struct wir_options options = {
    .listen = "127.0.0.1:0",
    .key = str_of (key),
    .counter_set = &end->counter_set,
    .handshake_ms = handshake_ms,
    .receive = on_receive,
    .lost = on_lost,
    .ctx = end,
  };
  struct err err;
  memset (end, 0, sizeof *end);
  str_id_set (&options.self, str_of (id));
  CU_ASSERT_EQUAL_FATAL (wir_new (&options, &end->wir, &err), 0);
}

static GSocket *
tcp_socket (void)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static GSocket *
tcp_connect (guint port)
{
  GSocket *socket = tcp_socket ();
  GSocketAddress *to
      = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  g_socket_set_blocking (socket, TRUE);
  CU_ASSERT_TRUE_FATAL (g_socket_connect (socket, to, NULL, NULL));
  g_socket_set_blocking (socket, FALSE);
  g_object_unref (to);
  return socket;
}

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
  if (record != NULL && active->flip)
    queue->data[queue->len - 1] ^= 1;
  active->flip = active->flip && record == NULL;
  n = g_socket_send (to, (char *)queue->data, queue->len, NULL, NULL);
  if (n > 0)
    g_byte_array_remove_range (queue, 0, (guint)n);
}

static void
proxy_step (struct proxy *proxy)
{
  if (proxy->near == NULL)
    {
      proxy->near = g_socket_accept (proxy->listener, NULL, NULL);
      if (proxy->near == NULL)
        return;
      g_socket_set_blocking (proxy->near, FALSE);
      proxy->far = tcp_connect (proxy->port);
    }
  if (!proxy->paused)
    relay (proxy->near, proxy->to_far, proxy->far, proxy->sent);
  relay (proxy->far, proxy->to_near, proxy->near, NULL);
}

static void
turn (void)
{
  g_main_context_iteration (NULL, FALSE);
  if (active != NULL)
    proxy_step (active);
  g_usleep (STEP_US);
}

#define UNTIL(condition)                                                       \
  do                                                                           \
    {                                                                          \
      gint64 until_limit = g_get_monotonic_time () + WAIT_US;                  \
      gboolean until_met;                                                      \
      while (!(until_met = (condition))                                        \
             && g_get_monotonic_time () < until_limit)                         \
        turn ();                                                               \
      CU_ASSERT_TRUE_FATAL (until_met);                                        \
    }                                                                          \
  while (0)

static void
dial_port (struct end *end, guint port)
{
  char address[32];
  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  wir_dial (end->wir, address);
}

static void
open_proxy (struct proxy *proxy, guint port)
{
  GSocketAddress *at = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  memset (proxy, 0, sizeof *proxy);
  proxy->listener = tcp_socket ();
  CU_ASSERT_TRUE_FATAL (g_socket_bind (proxy->listener, at, FALSE, NULL));
  CU_ASSERT_TRUE_FATAL (g_socket_listen (proxy->listener, NULL));
  g_object_unref (at);
  proxy->port = port;
  proxy->sent = g_byte_array_new ();
  proxy->to_far = g_byte_array_new ();
  proxy->to_near = g_byte_array_new ();
  active = proxy;
}

static void
proxy_cut (struct proxy *proxy)
{
  g_clear_object (&proxy->near);
  g_clear_object (&proxy->far);
  g_byte_array_set_size (proxy->to_far, 0);
  g_byte_array_set_size (proxy->to_near, 0);
}

static void
close_proxy (struct proxy *proxy)
{
  active = NULL;
  proxy_cut (proxy);
  g_object_unref (proxy->listener);
  g_byte_array_unref (proxy->sent);
  g_byte_array_unref (proxy->to_far);
  g_byte_array_unref (proxy->to_near);
}

static void
dial_proxy (struct end *end, const struct proxy *proxy)
{
  GSocketAddress *at = g_socket_get_local_address (proxy->listener, NULL);
  dial_port (end, g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (at)));
  g_object_unref (at);
}

static int
send_ticket (struct end *end, const char *to, guint64 ticket)
{
  struct msg msg = { .kind = MSG_WITHDRAW, .withdraw = { ticket } };
  return wir_send (end->wir, to, &msg);
}

/* Sends from A to B and back, over whatever connection there is.  */
static void
exchange (struct end *a, struct end *b)
{
  guint at_a = a->received;
  guint at_b = b->received;
  UNTIL (send_ticket (a, "b", 7) == 0);
  UNTIL (b->received > at_b);
  UNTIL (send_ticket (b, "a", 8) == 0);
  UNTIL (a->received > at_a);
  CU_ASSERT_STRING_EQUAL (b->from, "a");
  CU_ASSERT_STRING_EQUAL (a->from, "b");
  CU_ASSERT_EQUAL (b->ticket, 7);
}

/* Returns the dump of END, freed by json_node_unref.  */
static JsonNode *
dump (const struct end *end)
{
  JsonBuilder *json = json_builder_new ();
  wir_dump (end->wir, json);
  JsonNode *root = json_builder_get_root (json);
  g_object_unref (json);
  return root;
}

static guint
connections_of_peer (const struct end *end)
{
  JsonNode *root = dump (end);
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
open_pair (struct end *a, struct end *b)
{
  open_end (a, "a", KEY, 0);
  open_end (b, "b", KEY, 0);
  dial_port (a, wir_port (b->wir));
  exchange (a, b);
}

static void
close_pair (struct end *a, struct end *b)
{
  wir_free (a->wir);
  wir_free (b->wir);
}

static void
test_pair (void)
{
  struct end a;
  struct end b;
  open_pair (&a, &b);
  CU_ASSERT_EQUAL (send_ticket (&a, "c", 1), ERR_CLOSED);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_MSG_OUT], 1);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_MSG_IN], 1);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_BYTES_OUT],
                   b.counter_set.v[COUNTER_BYTES_IN]);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_BYTES_IN],
                   b.counter_set.v[COUNTER_BYTES_OUT]);
  wir_free (b.wir);
  UNTIL (a.lost == 1);
  CU_ASSERT_EQUAL (send_ticket (&a, "b", 1), ERR_CLOSED);
  wir_free (a.wir);
}

/* Messages of one turn share a length (4 bytes) and a tag (16 bytes).  */
static void
test_turn_is_one_frame (void)
{
  struct end a;
  struct end b;
  open_pair (&a, &b);
  guint64 before = a.counter_set.v[COUNTER_BYTES_OUT];
  for (guint i = 0; i < 50; i++)
    CU_ASSERT_EQUAL (send_ticket (&a, "b", i), 0);
  UNTIL (b.received == 51);
  CU_ASSERT_EQUAL (b.ticket, 49);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_BYTES_OUT] - before, 50 * 3 + 20);
  close_pair (&a, &b);
}

/* Sends BYTES to B from a socket that is no instance; B must turn it away
   and go on with A.  */
static void
attack (struct end *a, struct end *b, const void *bytes, gsize n)
{
  guint64 rejected = b->counter_set.v[COUNTER_PEER_REJECTED];
  guint received = b->received;
  GSocket *socket = tcp_connect (wir_port (b->wir));
  g_socket_send (socket, bytes, n, NULL, NULL);
  UNTIL (b->counter_set.v[COUNTER_PEER_REJECTED] == rejected + 1);
  CU_ASSERT_EQUAL (b->received, received);
  CU_ASSERT_EQUAL (b->lost, 0);
  exchange (a, b);
  g_object_unref (socket);
}

static void
test_garbage (void)
{
  struct end a;
  struct end b;
  char zeros[300] = { 0 };
  open_pair (&a, &b);
  attack (&a, &b, "GET / HTTP/1.1\r\n\r\n", 18);
  attack (&a, &b, "\xff\xff\xff\xff", 4);
  attack (&a, &b, "\x00\x00\x01\x01", 4); /* over the handshake's limit */
  attack (&a, &b, zeros, sizeof zeros);
  attack (&a, &b, "\x00\x00\x00\x05\xdd\xff\xff\xff\xff", 9);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], 5);
  close_pair (&a, &b);
}

static void
test_silence (void)
{
  struct end b;
  open_end (&b, "b", KEY, SILENCE_MS);
  GSocket *socket = tcp_connect (wir_port (b.wir));
  UNTIL (b.counter_set.v[COUNTER_PEER_REJECTED] == 1);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], 0);
  g_object_unref (socket);
  wir_free (b.wir);
}

static void
test_wrong_key (void)
{
  struct end a;
  struct end b;
  struct end mallory;
  open_pair (&a, &b);
  open_end (&mallory, "c", OTHER_KEY, 0);
  dial_port (&mallory, wir_port (b.wir));
  UNTIL (b.counter_set.v[COUNTER_PEER_REJECTED] == 1);
  CU_ASSERT_EQUAL (send_ticket (&mallory, "b", 1), ERR_CLOSED);
  CU_ASSERT_EQUAL (send_ticket (&b, "c", 1), ERR_CLOSED);
  exchange (&a, &b);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], 0);
  wir_free (mallory.wir);
  close_pair (&a, &b);
}

static void
test_replayed_handshake (void)
{
  struct end a;
  struct end b;
  struct proxy proxy;
  open_end (&a, "a", KEY, 0);
  open_end (&b, "b", KEY, 0);
  open_proxy (&proxy, wir_port (b.wir));
  dial_proxy (&a, &proxy);
  exchange (&a, &b);
  attack (&a, &b, proxy.sent->data, proxy.sent->len);
  close_proxy (&proxy);
  close_pair (&a, &b);
}

/* Opens a pair whose connection runs over PROXY.  */
static void
open_proxied (struct end *a, struct end *b, struct proxy *proxy)
{
  open_end (a, "a", KEY, 0);
  open_end (b, "b", KEY, 0);
  open_proxy (proxy, wir_port (b->wir));
  dial_proxy (a, proxy);
  exchange (a, b);
}

/* B must drop the connection on the changed stream, take no message from it,
   and A comes back by itself.  */
static void
expect_tampering_seen (struct end *a, struct end *b, struct proxy *proxy)
{
  guint received = b->received;
  UNTIL (b->counter_set.v[COUNTER_FRAME_INVALID] == 1);
  CU_ASSERT_EQUAL (b->received, received);
  UNTIL (b->lost == 1);
  proxy_cut (proxy);
  UNTIL (a->lost == 1);
  exchange (a, b);
  close_proxy (proxy);
  close_pair (a, b);
}

static void
test_repeated_frame (void)
{
  struct end a;
  struct end b;
  struct proxy proxy;
  open_proxied (&a, &b, &proxy);
  guint frame = 4 + 3 + 16; /* length, withdraw, tag */
  g_byte_array_append (proxy.to_far, proxy.sent->data + proxy.sent->len - frame,
                       frame);
  expect_tampering_seen (&a, &b, &proxy);
}

static void
test_changed_frame (void)
{
  struct end a;
  struct end b;
  struct proxy proxy;
  open_proxied (&a, &b, &proxy);
  proxy.flip = TRUE;
  CU_ASSERT_EQUAL (send_ticket (&a, "b", 9), 0);
  expect_tampering_seen (&a, &b, &proxy);
}

/* A frame recorded on an earlier connection is not taken on a new one, though
   its number fits.  */
static void
test_frame_of_other_connection (void)
{
  struct end a;
  struct end b;
  struct proxy proxy;
  open_proxied (&a, &b, &proxy);
  guint8 frame[4 + 3 + 16]; /* length, withdraw, tag */
  memcpy (frame, proxy.sent->data + proxy.sent->len - sizeof frame,
          sizeof frame);
  proxy_cut (&proxy);
  UNTIL (a.lost == 1 && b.lost == 1);
  UNTIL (proxy.near != NULL && connections_of_peer (&b) == 1);
  b.lost = a.lost = 0;
  g_byte_array_append (proxy.to_far, frame, sizeof frame);
  expect_tampering_seen (&a, &b, &proxy);
}

/* Receives what is there behind the N bytes in BUFFER and returns the new
   N.  */
static gsize
receive_more (GSocket *socket, char *buffer, gsize size, gsize *n)
{
  gssize got = g_socket_receive (socket, buffer + *n, size - *n, NULL, NULL);
  if (got > 0)
    *n += (gsize)got;
  return *n;
}

/* A listener without the key sends the dialler's own proof back.  */
static void
test_reflected_proof (void)
{
  struct end a;
  struct proxy mallory;
  struct wir_side side = { .id = { "c" }, .nonce = { 1 } };
  GByteArray *hello = g_byte_array_new ();
  char got[512];
  gsize n = 0;
  g_byte_array_append (hello, (const guint8 *)"\0\0\0", 4);
  wir_encode_hello (&side, hello);
  hello->data[3] = (guint8)(hello->len - 4);
  open_end (&a, "a", KEY, 0);
  open_proxy (&mallory, 0);
  active = NULL;
  dial_proxy (&a, &mallory);
  UNTIL ((mallory.near = g_socket_accept (mallory.listener, NULL, NULL))
         != NULL);
  g_socket_set_blocking (mallory.near, FALSE);
  g_socket_send (mallory.near, (char *)hello->data, hello->len, NULL, NULL);
  guint mine = hello->len; /* A's id is as long */
  guint proof = 4 + 3 + WIR_PROOF_BYTES;
  UNTIL (receive_more (mallory.near, got, sizeof got, &n) == mine + proof);
  g_socket_send (mallory.near, got + n - proof, proof, NULL, NULL);
  UNTIL (a.counter_set.v[COUNTER_PEER_REJECTED] == 1);
  CU_ASSERT_EQUAL (a.counter_set.v[COUNTER_FRAME_INVALID], 0);
  CU_ASSERT_EQUAL (send_ticket (&a, "c", 1), ERR_CLOSED);
  close_proxy (&mallory);
  g_byte_array_unref (hello);
  wir_free (a.wir);
}

/* A message over a field's limit is skipped; the connection stays.  */
static void
test_unreadable_message (void)
{
  struct end a;
  struct end b;
  char answer[MSG_RESPONSE_MAX + 1] = { 0 };
  struct msg msg = { .kind = MSG_LEDGER_RESULT };
  msg.ledger_result.answer = (struct str){ answer, sizeof answer };
  open_pair (&a, &b);
  CU_ASSERT_EQUAL (wir_send (a.wir, "b", &msg), 0);
  exchange (&a, &b);
  CU_ASSERT_EQUAL (b.counter_set.v[COUNTER_FRAME_INVALID], 1);
  CU_ASSERT_EQUAL (b.lost, 0);
  close_pair (&a, &b);
}

/* A peer that does not read is bounded; what was taken arrives in order once
   it reads again.  */
static void
test_slow_reader (void)
{
  struct end a;
  struct end b;
  struct proxy proxy;
  char *body = g_malloc0 (BODY_BYTES);
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  msg.object_body.body = (struct str){ body, BODY_BYTES };
  open_proxied (&a, &b, &proxy);
  proxy.paused = TRUE;
  int r;
  guint taken = 0;
  gint64 limit = g_get_monotonic_time () + WAIT_US;
  while ((r = wir_send (a.wir, "b", &msg)) == 0
         && g_get_monotonic_time () < limit)
    {
      msg.object_body.version = ++taken;
      turn ();
    }
  CU_ASSERT_EQUAL (r, ERR_LIMIT);
  CU_ASSERT_TRUE (taken >= WIR_QUEUE_MAX / BODY_BYTES - 1);
  proxy.paused = FALSE;
  guint before = b.received;
  UNTIL (b.received == before + taken);
  CU_ASSERT_EQUAL (b.ticket, taken - 1);
  exchange (&a, &b);
  close_proxy (&proxy);
  close_pair (&a, &b);
  g_free (body);
}

static void
hang_up (struct end *end, const struct end *from)
{
  char address[32];
  g_snprintf (address, sizeof address, "127.0.0.1:%u", wir_port (from->wir));
  wir_hang_up (end->wir, address);
}

static void
test_both_dial (void)
{
  struct end a;
  struct end b;
  open_pair (&a, &b);
  dial_port (&b, wir_port (a.wir));
  UNTIL (connections_of_peer (&a) == 2 && connections_of_peer (&b) == 2);
  exchange (&a, &b);
  hang_up (&a, &b);
  UNTIL (connections_of_peer (&b) == 1);
  exchange (&a, &b);
  CU_ASSERT_EQUAL (a.lost + b.lost, 0);
  hang_up (&b, &a);
  UNTIL (a.lost == 1 && b.lost == 1);
  close_pair (&a, &b);
}

/* Silent connections fill the room for handshakes; an instance still gets
   in.  */
static void
test_flood (void)
{
  struct end a;
  struct end b;
  GSocket *sockets[100];
  open_end (&a, "a", KEY, 0);
  open_end (&b, "b", KEY, 0);
  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    sockets[i] = tcp_connect (wir_port (b.wir));
  UNTIL (b.counter_set.v[COUNTER_PEER_REJECTED] >= G_N_ELEMENTS (sockets) - 64);
  dial_port (&a, wir_port (b.wir));
  exchange (&a, &b);
  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    g_object_unref (sockets[i]);
  close_pair (&a, &b);
}

static void
test_own_id (void)
{
  struct end a;
  struct end b;
  struct end twin;
  open_pair (&a, &b);
  open_end (&twin, "b", KEY, 0);
  dial_port (&twin, wir_port (b.wir));
  UNTIL (b.counter_set.v[COUNTER_PEER_REJECTED] == 1);
  exchange (&a, &b);
  wir_free (twin.wir);
  close_pair (&a, &b);
}

static void
test_dump (void)
{
  struct end a;
  struct end b;
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
dialled (const struct end *end)
{
  JsonNode *root = dump (end);
  guint n = json_array_get_length (
      json_object_get_array_member (json_node_get_object (root), "dialled"));
  json_node_unref (root);
  return n;
}

/* Of two addresses that nobody listens on, only the kept one is dialled for
   ever; the other may be dialled anew.  */
static void
test_give_up (void)
{
  const char *const keep[] = { "127.0.0.1:1", NULL };
  struct end a;
  struct wir_options options = { .listen = "127.0.0.1:0",
                                 .key = STR_LIT (KEY),
                                 .self = { "a" },
                                 .counter_set = &a.counter_set,
                                 .give_up_ms = 1,
                                 .keep = keep,
                                 .receive = on_receive,
                                 .lost = on_lost,
                                 .ctx = &a };
  memset (&a, 0, sizeof a);
  CU_ASSERT_EQUAL_FATAL (wir_new (&options, &a.wir, NULL), 0);
  dial_port (&a, 1);
  dial_port (&a, 2);
  CU_ASSERT_EQUAL (dialled (&a), 2);
  UNTIL (dialled (&a) == 1);
  dial_port (&a, 2);
  CU_ASSERT_EQUAL (dialled (&a), 2);
  UNTIL (dialled (&a) == 1);
  dial_port (&a, 1);
  CU_ASSERT_EQUAL (dialled (&a), 1); /* the kept one is there */
  wir_free (a.wir);
}

static CU_TestInfo tests[] = {
  { "a pair exchanges messages and counts them", test_pair },
  { "messages of one turn share a frame", test_turn_is_one_frame },
  { "garbage is turned away", test_garbage },
  { "silence in the handshake ends it", test_silence },
  { "a wrong key is turned away", test_wrong_key },
  { "a replayed handshake is turned away", test_replayed_handshake },
  { "a repeated frame ends the connection", test_repeated_frame },
  { "a changed frame ends the connection", test_changed_frame },
  { "a frame of another connection ends it", test_frame_of_other_connection },
  { "a reflected proof is turned away", test_reflected_proof },
  { "an unreadable message is skipped", test_unreadable_message },
  { "the queue for a slow reader is bounded", test_slow_reader },
  { "both may dial", test_both_dial },
  { "a flood of handshakes does not lock out instances", test_flood },
  { "a second instance of the own id is turned away", test_own_id },
  { "the dump lists connections", test_dump },
  { "an address out of reach is dropped unless kept", test_give_up },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "wire", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
