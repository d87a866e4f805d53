#include "wire/wir_conn.h"

#include "base/json_add.h"
#include "base/log.h"
#include "base/msgpack_check.h"
#include "wire/wir.h"
#include "wire/wir_codec.h"
#include "wire/wir_hello.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define LENGTH_BYTES 4
#define READ_BYTES 65536   /* taken from a socket at once */
#define KEEP_BYTES 16384   /* larger buffers are freed once empty */
#define NO_FRAME G_MAXUINT /* no frame is being filled */
#define ADDRESS_BYTES 64   /* with the NUL */

/* X (NAME, "name") */
#define CONN_STATES(X)                                                         \
  X (CONNECTING, "connecting")                                                 \
  X (HELLO, "hello") /* the peer's HELLO is due */                             \
  X (PROOF, "proof") /* the peer's PROOF is due */                             \
  X (OPEN, "open")                                                             \
  X (CLOSED, "closed")

enum conn_state
{
#define CONN_ENUM(id, name) CONN_##id,
  CONN_STATES (CONN_ENUM)
#undef CONN_ENUM
};

#define CONN_NAME(id, name) name,
static const char *const state_names[] = { CONN_STATES (CONN_NAME) };
#undef CONN_NAME

struct wir_conn
{
  const struct wir_conn_hooks *hooks; /* borrowed */
  guint refs;
  enum conn_state state;
  enum wir_role role;
  char address[ADDRESS_BYTES]; /* of the peer's socket, IP:PORT */
  GSocket *socket;             /* owned */
  struct wir_side sides[WIR_ROLE_N];
  GHmac *send_key;    /* owned; NULL before OPEN */
  GHmac *receive_key; /* owned; NULL before OPEN */
  guint64 sent;       /* tagged frames */
  guint64 received;   /* tagged frames */
  GByteArray *in;     /* bytes of frames not yet whole */
  GByteArray *out;    /* whole frames, then at most one being filled */
  guint out_done;     /* bytes of out already written */
  guint frame;        /* offset in out of the frame being filled */
  GSource *readable;
  GSource *writable; /* NULL unless the socket is full or connecting */
  GSource *deadline; /* of the handshake */
};

static enum wir_role
other (enum wir_role role)
{
  return role == WIR_DIALER ? WIR_LISTENER : WIR_DIALER;
}

gboolean
wir_conn_is_open (const struct wir_conn *conn)
{
  return conn->state == CONN_OPEN;
}

/* Returns the peer's id once it has proved the key, before that its
   address.  */
const char *
wir_conn_peer (const struct wir_conn *conn)
{
  return conn->receive_key ? conn->sides[other (conn->role)].id.s
                           : conn->address;
}

static void
drop_source (GSource **source)
{
  if (*source == NULL)
    return;
  g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

/* Takes a reference to CONN.  */
struct wir_conn *
wir_conn_ref (struct wir_conn *conn)
{
  conn->refs++;
  return conn;
}

/* Gives up a reference; the last one frees CONN, which must be closed.  */
void
wir_conn_unref (struct wir_conn *conn)
{
  if (--conn->refs > 0)
    return;
  g_clear_object (&conn->socket);
  g_clear_pointer (&conn->send_key, g_hmac_unref);
  g_clear_pointer (&conn->receive_key, g_hmac_unref);
  g_byte_array_unref (conn->in);
  g_byte_array_unref (conn->out);
  g_free (conn);
}

/* Ends CONN without a word to the log. The hook may free it.  */
static void
end (struct wir_conn *conn)
{
  gboolean was_open = conn->state == CONN_OPEN;
  if (conn->state == CONN_CLOSED)
    return;
  conn->state = CONN_CLOSED;
  drop_source (&conn->readable);
  drop_source (&conn->writable);
  drop_source (&conn->deadline);
  g_socket_close (conn->socket, NULL);
  conn->hooks->closed (conn->hooks->ctx, conn, was_open);
}

static void
fail (struct wir_conn *conn, const struct err *err)
{
  if (conn->state == CONN_CLOSED)
    return;
  enum log_level level = conn->state == CONN_CONNECTING ? LOG_DEBUG : LOG_WARN;
  log_write (&(struct log_entry){ .level = level,
                                  .event = "peer.failed",
                                  .step = err->step,
                                  .peer = wir_conn_peer (conn) },
             "%s: %s", err_name (err->code), err->text);
  end (conn);
}

/* Counts and closes a peer that broke the protocol or failed to prove the
   key.  */
static void
reject (struct wir_conn *conn, const struct err *err)
{
  if (conn->state == CONN_CLOSED)
    return;
  if (conn->state != CONN_OPEN)
    counter_add (conn->hooks->counter_set, COUNTER_PEER_REJECTED, 1);
  if (err->code == ERR_PROTOCOL || err->code == ERR_TOO_LARGE)
    counter_add (conn->hooks->counter_set, COUNTER_FRAME_INVALID, 1);
  fail (conn, err);
}

/* Closes CONN for REASON.  */
void
wir_conn_close (struct wir_conn *conn, const char *reason)
{
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "peer.closed",
                                  .step = "wire.close",
                                  .peer = wir_conn_peer (conn) },
             "%s", reason);
  end (conn);
}

static void
fail_io (struct wir_conn *conn, const char *step, GError *error)
{
  struct err err;
  err_set (&err, ERR_IO, step, conn->address, "%s", error->message);
  g_error_free (error);
  fail (conn, &err);
}

static void
attach (GSource *source, GSourceFunc func, struct wir_conn *conn)
{
  g_source_set_callback (source, func, conn, NULL);
  g_source_attach (source, g_main_context_get_thread_default ());
}

static void
begin_frame (struct wir_conn *conn)
{
  static const guint8 length[LENGTH_BYTES];
  conn->frame = conn->out->len;
  g_byte_array_append (conn->out, length, sizeof length);
}

/* Ends the frame being filled: tag, if the peer is proved, and length.  */
static void
seal_frame (struct wir_conn *conn)
{
  guint at = conn->frame + LENGTH_BYTES;
  if (conn->frame == NO_FRAME)
    return;
  if (conn->state == CONN_OPEN)
    {
      guint8 tag[WIR_TAG_BYTES];
      struct str body
          = { (const char *)conn->out->data + at, conn->out->len - at };
      wir_tag (conn->send_key, conn->sent++, body, tag);
      g_byte_array_append (conn->out, tag, sizeof tag);
    }
  guint32 length = GUINT32_TO_BE (conn->out->len - at);
  memcpy (conn->out->data + conn->frame, &length, sizeof length);
  conn->frame = NO_FRAME;
}

static gboolean on_writable (GSocket *socket, GIOCondition condition,
                             gpointer data);

static void
want_writable (struct wir_conn *conn)
{
  if (conn->writable != NULL)
    return;
  conn->writable = g_socket_create_source (conn->socket, G_IO_OUT, NULL);
  attach (conn->writable, G_SOURCE_FUNC (on_writable), conn);
}

static void
empty (GByteArray **bytes)
{
  if ((*bytes)->len > KEEP_BYTES)
    {
      g_byte_array_unref (*bytes);
      *bytes = g_byte_array_new ();
    }
  g_byte_array_set_size (*bytes, 0);
}

/* Frees the written part of the queue once it is the larger one.  */
static void
compact (struct wir_conn *conn)
{
  if (conn->out_done == conn->out->len)
    {
      empty (&conn->out);
      conn->out_done = 0;
    }
  else if (conn->out_done > conn->out->len / 2)
    {
      g_byte_array_remove_range (conn->out, 0, conn->out_done);
      if (conn->frame != NO_FRAME)
        conn->frame -= conn->out_done;
      conn->out_done = 0;
    }
}

/* Writes whole frames until they are gone or the socket is full.  */
static void
write_out (struct wir_conn *conn)
{
  guint whole = conn->frame == NO_FRAME ? conn->out->len : conn->frame;
  while (conn->out_done < whole)
    {
      GError *error = NULL;
      gssize n = g_socket_send (conn->socket,
                                (const char *)conn->out->data + conn->out_done,
                                whole - conn->out_done, NULL, &error);
      if (n < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          g_error_free (error);
          want_writable (conn);
          break;
        }
      if (n < 0)
        {
          fail_io (conn, "wire.write", error);
          return;
        }
      conn->out_done += (guint)n;
      counter_add (conn->hooks->counter_set, COUNTER_BYTES_OUT, (guint64)n);
    }
  compact (conn);
}

/* Sends what is queued as far as the socket takes it.  */
void
wir_conn_flush (struct wir_conn *conn)
{
  if (conn->state != CONN_OPEN)
    return;
  seal_frame (conn);
  if (conn->writable == NULL)
    write_out (conn);
}

/* Queues MESSAGE, the body of one message. Returns 0, ERR_CLOSED, ERR_LIMIT if
   the peer reads too slowly, ERR_TOO_LARGE.  */
int
wir_conn_queue (struct wir_conn *conn, struct str message)
{
  if (conn->state != CONN_OPEN)
    return ERR_CLOSED;
  if (message.n > WIR_FRAME_MAX - WIR_TAG_BYTES)
    return ERR_TOO_LARGE;
  if (conn->out->len - conn->out_done + message.n > WIR_QUEUE_MAX)
    return ERR_LIMIT;
  gboolean first = conn->frame == NO_FRAME;
  if (!first && conn->out->len - conn->frame + message.n > WIR_BATCH_MAX)
    seal_frame (conn);
  if (conn->frame == NO_FRAME)
    begin_frame (conn);
  g_byte_array_append (conn->out, (const guint8 *)message.p, (guint)message.n);
  if (first)
    conn->hooks->queued (conn->hooks->ctx, conn);
  return 0;
}

static int
send_hello (struct wir_conn *conn, struct err *err)
{
  struct wir_side *side = &conn->sides[conn->role];
  side->id = conn->hooks->self;
  if (wir_nonce (side->nonce) < 0)
    return err_set (err, ERR_IO, "wire.hello", conn->address,
                    "no random numbers");
  begin_frame (conn);
  wir_encode_hello (side, conn->out);
  seal_frame (conn);
  want_writable (conn); /* the owner may not know CONN yet */
  return 0;
}

static void
send_proof (struct wir_conn *conn)
{
  guint8 proof[WIR_PROOF_BYTES];
  wir_prove (conn->hooks->key, conn->role, conn->sides, proof);
  begin_frame (conn);
  wir_encode_proof (proof, conn->out);
  seal_frame (conn);
  write_out (conn);
}

static int
read_hello (struct wir_conn *conn, struct str body, struct err *err)
{
  struct wir_side *peer = &conn->sides[other (conn->role)];
  int r = wir_decode_hello (body, peer, err);
  if (r < 0)
    return r;
  if (strcmp (peer->id.s, conn->hooks->self.s) == 0)
    return err_set (err, ERR_CONFLICT, "wire.hello", conn->address,
                    "the peer has this instance's id");
  conn->state = CONN_PROOF;
  if (conn->role == WIR_DIALER)
    send_proof (conn);
  return 0;
}

static int
open_conn (struct wir_conn *conn, struct err *err)
{
  enum wir_role peer = other (conn->role);
  struct str key = conn->hooks->key;
  conn->send_key = wir_frame_key (key, conn->role, conn->sides);
  conn->receive_key = wir_frame_key (key, peer, conn->sides);
  conn->state = CONN_OPEN; /* the hook may send */
  drop_source (&conn->deadline);
  int r = conn->hooks->opened (conn->hooks->ctx, conn, err);
  if (r < 0)
    counter_add (conn->hooks->counter_set, COUNTER_PEER_REJECTED, 1);
  return r;
}

/* A listener answers a proof by its own, so that only holders of the key ever
   see one.  */
static int
read_proof (struct wir_conn *conn, struct str body, struct err *err)
{
  guint8 theirs[WIR_PROOF_BYTES];
  guint8 expected[WIR_PROOF_BYTES];
  int r = wir_decode_proof (body, theirs, err);
  if (r < 0)
    return r;
  wir_prove (conn->hooks->key, other (conn->role), conn->sides, expected);
  if (!wir_equal (theirs, expected, WIR_PROOF_BYTES))
    return err_set (err, ERR_AUTH, "wire.proof", conn->address,
                    "wrong proof of the shared key");
  if (conn->role == WIR_LISTENER)
    send_proof (conn);
  return conn->state == CONN_CLOSED ? 0 : open_conn (conn, err);
}

static int
read_messages (struct wir_conn *conn, struct str body, struct err *err)
{
  guint8 tag[WIR_TAG_BYTES];
  if (body.n < WIR_TAG_BYTES)
    return err_set (err, ERR_PROTOCOL, "wire.read", "", "frame without a tag");
  body.n -= WIR_TAG_BYTES;
  wir_tag (conn->receive_key, conn->received++, body, tag);
  if (!wir_equal (tag, (const guint8 *)body.p + body.n, WIR_TAG_BYTES))
    return err_set (err, ERR_PROTOCOL, "wire.read", "", "frame's tag is wrong");
  while (body.n > 0 && conn->state == CONN_OPEN)
    {
      gsize n = msgpack_check (body);
      if (n == 0)
        return err_set (err, ERR_PROTOCOL, "wire.read", "", "no message");
      conn->hooks->message (conn->hooks->ctx, conn, (struct str){ body.p, n });
      body.p += n;
      body.n -= n;
    }
  return 0;
}

static int
read_frame (struct wir_conn *conn, struct str body, struct err *err)
{
  switch (conn->state)
    {
    case CONN_HELLO:
      return read_hello (conn, body, err);
    case CONN_PROOF:
      return read_proof (conn, body, err);
    case CONN_OPEN:
      return read_messages (conn, body, err);
    case CONN_CONNECTING:
    case CONN_CLOSED:
      break;
    }
  return 0;
}

/* Reads the whole frames of CONN's input.  */
static void
read_frames (struct wir_conn *conn)
{
  struct err err = { 0 };
  guint at = 0;
  int r = 0;
  while (r == 0 && conn->state != CONN_CLOSED
         && conn->in->len - at >= LENGTH_BYTES)
    {
      guint32 n;
      gsize max
          = conn->state == CONN_OPEN ? WIR_FRAME_MAX : WIR_HANDSHAKE_FRAME_MAX;
      memcpy (&n, conn->in->data + at, sizeof n);
      n = GUINT32_FROM_BE (n);
      if (n > max)
        r = err_set (&err, ERR_TOO_LARGE, "wire.read", "",
                     "frame of %" G_GUINT32_FORMAT " bytes", n);
      if (r < 0 || conn->in->len - at - LENGTH_BYTES < n)
        break;
      const char *body = (const char *)conn->in->data + at + LENGTH_BYTES;
      r = read_frame (conn, (struct str){ body, n }, &err);
      at += LENGTH_BYTES + n;
    }
  if (r < 0)
    reject (conn, &err);
  else if (at == conn->in->len)
    empty (&conn->in);
  else if (at > 0)
    g_byte_array_remove_range (conn->in, 0, at);
}

static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  static char buffer[READ_BYTES];
  struct wir_conn *conn = wir_conn_ref (data);
  GError *error = NULL;
  (void)condition;
  gssize n = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);
  if (n > 0)
    {
      counter_add (conn->hooks->counter_set, COUNTER_BYTES_IN, (guint64)n);
      g_byte_array_append (conn->in, (const guint8 *)buffer, (guint)n);
      read_frames (conn);
    }
  else if (n == 0)
    wir_conn_close (conn, conn->state == CONN_OPEN
                              ? "closed by the peer"
                              : "closed by the peer in the handshake");
  else if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    g_error_free (error);
  else
    fail_io (conn, "wire.read", error);
  gboolean keep = conn->state != CONN_CLOSED;
  wir_conn_unref (conn);
  return keep ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static int
start_handshake (struct wir_conn *conn, struct err *err)
{
  conn->state = CONN_HELLO;
  conn->readable = g_socket_create_source (conn->socket, G_IO_IN, NULL);
  attach (conn->readable, G_SOURCE_FUNC (on_readable), conn);
  return send_hello (conn, err);
}

static void
finish_connect (struct wir_conn *conn)
{
  GError *error = NULL;
  struct err err;
  if (!g_socket_check_connect_result (conn->socket, &error))
    fail_io (conn, "wire.connect", error);
  else if (start_handshake (conn, &err) < 0)
    fail (conn, &err);
}

static gboolean
on_writable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct wir_conn *conn = wir_conn_ref (data);
  (void)socket;
  (void)condition;
  drop_source (&conn->writable);
  if (conn->state == CONN_CONNECTING)
    finish_connect (conn);
  else
    write_out (conn);
  wir_conn_unref (conn);
  return G_SOURCE_REMOVE;
}

static gboolean
on_deadline (gpointer data)
{
  struct wir_conn *conn = wir_conn_ref (data);
  struct err err;
  err_set (&err, ERR_TIMEOUT, "wire.handshake", conn->address,
           "no handshake in %u ms, state %s", conn->hooks->handshake_ms,
           state_names[conn->state]);
  if (conn->state == CONN_CONNECTING)
    fail (conn, &err);
  else
    reject (conn, &err);
  wir_conn_unref (conn);
  return G_SOURCE_REMOVE;
}

static struct wir_conn *
conn_new (const struct wir_conn_hooks *hooks, GSocket *socket,
          enum wir_role role)
{
  struct wir_conn *conn = g_new0 (struct wir_conn, 1);
  conn->hooks = hooks;
  conn->refs = 1;
  conn->role = role;
  conn->frame = NO_FRAME;
  conn->socket = g_object_ref (socket);
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  conn->deadline = g_timeout_source_new (hooks->handshake_ms);
  attach (conn->deadline, on_deadline, conn);
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                       WIR_USER_TIMEOUT_MS, NULL);
  return conn;
}

/* Closes and frees CONN before its owner knows of it.  */
static void
discard (struct wir_conn *conn)
{
  conn->state = CONN_CLOSED;
  drop_source (&conn->readable);
  drop_source (&conn->writable);
  drop_source (&conn->deadline);
  wir_conn_unref (conn);
}

/* Starts the handshake on the accepted SOCKET, of which a reference is taken.
   Returns NULL if the kernel gives no random numbers. The caller gets the
   only reference.  */
struct wir_conn *
wir_conn_accept (const struct wir_conn_hooks *hooks, GSocket *socket)
{
  struct wir_conn *conn = conn_new (hooks, socket, WIR_LISTENER);
  GSocketAddress *from = g_socket_get_remote_address (socket, NULL);
  if (from != NULL)
    {
      char *text = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (from));
      g_strlcpy (conn->address, text, sizeof conn->address);
      g_free (text);
      g_object_unref (from);
    }
  struct err err;
  if (start_handshake (conn, &err) == 0)
    return conn;
  discard (conn);
  return NULL;
}

/* Starts connecting to TO, named ADDRESS. Returns NULL with ERR filled if the
   attempt fails at once. The caller gets the only reference.  */
struct wir_conn *
wir_conn_dial (const struct wir_conn_hooks *hooks, const char *address,
               GSocketAddress *to, struct err *err)
{
  GError *error = NULL;
  GSocket *socket
      = g_socket_new (g_socket_address_get_family (to), G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, &error);
  if (socket == NULL)
    goto fail;
  struct wir_conn *conn = conn_new (hooks, socket, WIR_DIALER);
  g_object_unref (socket);
  g_strlcpy (conn->address, address, sizeof conn->address);
  conn->state = CONN_CONNECTING;
  if (g_socket_connect (conn->socket, to, NULL, &error)
      || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING))
    {
      g_clear_error (&error);
      want_writable (conn);
      return conn;
    }
  discard (conn);
fail:
  err_set (err, ERR_IO, "wire.connect", address, "%s", error->message);
  g_error_free (error);
  return NULL;
}

/* Adds CONN to JSON as an object.  */
void
wir_conn_dump (const struct wir_conn *conn, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "peer", conn->receive_key ? wir_conn_peer (conn) : "");
  json_add_str (json, "address", conn->address);
  json_add_str (json, "direction", conn->role == WIR_DIALER ? "out" : "in");
  json_add_str (json, "state", state_names[conn->state]);
  json_add_int (json, "queue_bytes", conn->out->len - conn->out_done);
  json_builder_end_object (json);
}
