#include "wire/mesh_connection.h"

#include "base/json_add.h"
#include "base/log.h"
#include "base/msgpack_check.h"
#include "wire/mesh.h"
#include "wire/mesh_codec.h"
#include "wire/mesh_handshake.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define LENGTH_BYTES 4          /* of the length before a frame body */
#define READ_BYTES 65536        /* read from a socket at once */
#define BUFFER_KEEP_BYTES 16384 /* larger buffers are freed when empty */
#define NO_OPEN_FRAME G_MAXUINT /* no frame is being filled */
#define ADDRESS_BYTES 64        /* with the NUL */

/* X (NAME, "name") */
#define CONN_STATES(X)                                                         \
  X (CONNECTING, "connecting")                                                 \
  X (HELLO, "hello") /* waiting for the peer's HELLO */                        \
  X (PROOF, "proof") /* waiting for the peer's PROOF */                        \
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

struct mesh_conn
{
  const struct mesh_conn_hooks *hooks; /* borrowed */
  guint refs;
  enum conn_state state;
  enum mesh_role role;
  char address[ADDRESS_BYTES]; /* IP:PORT of the peer's socket */
  GSocket *socket;             /* owned */
  struct mesh_hello hellos[MESH_ROLE_N];
  GHmac *send_key;         /* owned; NULL before OPEN */
  GHmac *receive_key;      /* owned; NULL before OPEN */
  guint64 frames_sent;     /* with a tag */
  guint64 frames_received; /* with a tag */
  GByteArray *input;       /* received, not yet processed */
  GByteArray *output;      /* complete frames, then at most one being filled */
  guint out_written;       /* bytes of output already written */
  guint frame_start;       /* offset in output of the frame being filled */
  GSource *read_source;
  GSource *write_source; /* NULL unless waiting for the socket to be writable */
  GSource *handshake_timer; /* NULL once open */
};

static enum mesh_role
other_role (enum mesh_role role)
{
  return role == MESH_DIALER ? MESH_LISTENER : MESH_DIALER;
}

gboolean
mesh_conn_is_open (const struct mesh_conn *conn)
{
  return conn->state == CONN_OPEN;
}

/* Returns the peer's id once it is authenticated, before that its address. The
   text is borrowed from CONN.  */
const char *
mesh_conn_peer_name (const struct mesh_conn *conn)
{
  return conn->receive_key ? conn->hellos[other_role (conn->role)].id.s
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

struct mesh_conn *
mesh_conn_ref (struct mesh_conn *conn)
{
  conn->refs++;
  return conn;
}

/* Drops a reference; CONN, which must be closed, is freed with the last
   one.  */
void
mesh_conn_unref (struct mesh_conn *conn)
{
  if (--conn->refs > 0)
    return;
  g_clear_object (&conn->socket);
  g_clear_pointer (&conn->send_key, g_hmac_unref);
  g_clear_pointer (&conn->receive_key, g_hmac_unref);
  g_byte_array_unref (conn->input);
  g_byte_array_unref (conn->output);
  g_free (conn);
}

/* Closes CONN without a log line. The closed hook may free it.  */
static void
close_silently (struct mesh_conn *conn)
{
  gboolean was_open = conn->state == CONN_OPEN;
  if (conn->state == CONN_CLOSED)
    return;
  conn->state = CONN_CLOSED;
  drop_source (&conn->read_source);
  drop_source (&conn->write_source);
  drop_source (&conn->handshake_timer);
  g_socket_close (conn->socket, NULL);
  conn->hooks->closed (conn->hooks->ctx, conn, was_open);
}

static void
close_with_error (struct mesh_conn *conn, const struct err *err)
{
  if (conn->state == CONN_CLOSED)
    return;
  enum log_level level = conn->state == CONN_CONNECTING ? LOG_DEBUG : LOG_WARN;
  log_write (&(struct log_entry){ .level = level,
                                  .event = "peer.failed",
                                  .step = err->step,
                                  .peer = mesh_conn_peer_name (conn) },
             "%s: %s", err_name (err->code), err->text);
  close_silently (conn);
}

/* Counts and closes a connection whose peer violated the protocol or failed the
   handshake.  */
static void
reject_peer (struct mesh_conn *conn, const struct err *err)
{
  if (conn->state == CONN_CLOSED)
    return;
  if (conn->state != CONN_OPEN)
    counter_add (conn->hooks->counter_set, COUNTER_PEER_REJECTED, 1);
  if (err->code == ERR_PROTOCOL || err->code == ERR_TOO_LARGE)
    counter_add (conn->hooks->counter_set, COUNTER_FRAME_INVALID, 1);
  close_with_error (conn, err);
}

/* Closes CONN and logs REASON.  */
void
mesh_conn_close (struct mesh_conn *conn, const char *reason)
{
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "peer.closed",
                                  .step = "wire.close",
                                  .peer = mesh_conn_peer_name (conn) },
             "%s", reason);
  close_silently (conn);
}

static void
close_with_io_error (struct mesh_conn *conn, const char *step, GError *error)
{
  struct err err;
  err_set (&err, ERR_IO, step, conn->address, "%s", error->message);
  g_error_free (error);
  close_with_error (conn, &err);
}

static void
attach (GSource *source, GSourceFunc func, struct mesh_conn *conn)
{
  g_source_set_callback (source, func, conn, NULL);
  g_source_attach (source, g_main_context_get_thread_default ());
}

static void
begin_frame (struct mesh_conn *conn)
{
  static const guint8 length[LENGTH_BYTES];
  conn->frame_start = conn->output->len;
  g_byte_array_append (conn->output, length, sizeof length);
}

/* Completes the frame being filled: appends the tag, if the handshake is over,
   and sets the length.  */
static void
seal_frame (struct mesh_conn *conn)
{
  guint at = conn->frame_start + LENGTH_BYTES;
  if (conn->frame_start == NO_OPEN_FRAME)
    return;
  if (conn->state == CONN_OPEN)
    {
      guint8 tag[MESH_TAG_BYTES];
      struct str body
          = { (const char *)conn->output->data + at, conn->output->len - at };
      mesh_frame_tag (conn->send_key, conn->frames_sent++, body, tag);
      g_byte_array_append (conn->output, tag, sizeof tag);
    }
  guint32 length = GUINT32_TO_BE (conn->output->len - at);
  memcpy (conn->output->data + conn->frame_start, &length, sizeof length);
  conn->frame_start = NO_OPEN_FRAME;
}

static gboolean on_writable (GSocket *socket, GIOCondition condition,
                             gpointer data);

static void
watch_writable (struct mesh_conn *conn)
{
  if (conn->write_source != NULL)
    return;
  conn->write_source = g_socket_create_source (conn->socket, G_IO_OUT, NULL);
  attach (conn->write_source, G_SOURCE_FUNC (on_writable), conn);
}

static void
clear_buffer (GByteArray **bytes)
{
  if ((*bytes)->len > BUFFER_KEEP_BYTES)
    {
      g_byte_array_unref (*bytes);
      *bytes = g_byte_array_new ();
    }
  g_byte_array_set_size (*bytes, 0);
}

/* Removes the written bytes from the output once they are more than half of
   it.  */
static void
drop_written (struct mesh_conn *conn)
{
  if (conn->out_written == conn->output->len)
    {
      clear_buffer (&conn->output);
      conn->out_written = 0;
    }
  else if (conn->out_written > conn->output->len / 2)
    {
      g_byte_array_remove_range (conn->output, 0, conn->out_written);
      if (conn->frame_start != NO_OPEN_FRAME)
        conn->frame_start -= conn->out_written;
      conn->out_written = 0;
    }
}

/* Writes the completed frames until none is left or the socket would block.  */
static void
write_output (struct mesh_conn *conn)
{
  guint sealed = conn->frame_start == NO_OPEN_FRAME ? conn->output->len
                                                    : conn->frame_start;
  while (conn->out_written < sealed)
    {
      GError *error = NULL;
      gssize n = g_socket_send (
          conn->socket, (const char *)conn->output->data + conn->out_written,
          sealed - conn->out_written, NULL, &error);
      if (n < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          g_error_free (error);
          watch_writable (conn);
          break;
        }
      if (n < 0)
        {
          close_with_io_error (conn, "wire.write", error);
          return;
        }
      conn->out_written += (guint)n;
      counter_add (conn->hooks->counter_set, COUNTER_BYTES_OUT, (guint64)n);
    }
  drop_written (conn);
}

/* Completes the frame being filled and writes as much as the socket accepts;
   the rest follows when the socket is writable.  */
void
mesh_conn_flush (struct mesh_conn *conn)
{
  if (conn->state != CONN_OPEN)
    return;
  seal_frame (conn);
  if (conn->write_source == NULL)
    write_output (conn);
}

/* Queues the encoded MESSAGE. Returns 0, ERR_CLOSED if CONN is not open,
   ERR_LIMIT if the queue is full because the peer reads too slowly,
   ERR_TOO_LARGE if MESSAGE does not fit into a frame.  */
int
mesh_conn_queue (struct mesh_conn *conn, struct str message)
{
  if (conn->state != CONN_OPEN)
    return ERR_CLOSED;
  if (message.n > MESH_FRAME_MAX - MESH_TAG_BYTES)
    return ERR_TOO_LARGE;
  if (conn->output->len - conn->out_written + message.n > MESH_QUEUE_MAX)
    return ERR_LIMIT;
  gboolean first = conn->frame_start == NO_OPEN_FRAME;
  if (!first
      && conn->output->len - conn->frame_start + message.n
             > MESH_BATCH_BYTES_MAX)
    seal_frame (conn);
  if (conn->frame_start == NO_OPEN_FRAME)
    begin_frame (conn);
  g_byte_array_append (conn->output, (const guint8 *)message.p,
                       (guint)message.n);
  if (first)
    conn->hooks->queued (conn->hooks->ctx, conn);
  return 0;
}

static int
send_hello (struct mesh_conn *conn, struct err *err)
{
  struct mesh_hello *hello = &conn->hellos[conn->role];
  hello->id = conn->hooks->self;
  if (mesh_fill_nonce (hello->nonce) < 0)
    return err_set (err, ERR_IO, "wire.hello", conn->address,
                    "no random bytes from the kernel");
  begin_frame (conn);
  mesh_encode_hello (hello, conn->output);
  seal_frame (conn);
  /* The frame is written from the main loop: if writing failed here, the closed
     hook would be called before the owner has CONN. */
  watch_writable (conn);
  return 0;
}

static void
send_proof (struct mesh_conn *conn)
{
  guint8 proof[MESH_PROOF_BYTES];
  mesh_make_proof (conn->hooks->key, conn->role, conn->hellos, proof);
  begin_frame (conn);
  mesh_encode_proof (proof, conn->output);
  seal_frame (conn);
  write_output (conn);
}

static int
read_hello (struct mesh_conn *conn, struct str body, struct err *err)
{
  struct mesh_hello *peer = &conn->hellos[other_role (conn->role)];
  int r = mesh_decode_hello (body, peer, err);
  if (r < 0)
    return r;
  if (strcmp (peer->id.s, conn->hooks->self.s) == 0)
    return err_set (err, ERR_CONFLICT, "wire.hello", conn->address,
                    "the peer uses the id of this instance");
  conn->state = CONN_PROOF;
  if (conn->role == MESH_DIALER)
    send_proof (conn);
  return 0;
}

static int
open_conn (struct mesh_conn *conn, struct err *err)
{
  enum mesh_role peer = other_role (conn->role);
  struct str key = conn->hooks->key;
  conn->send_key = mesh_frame_key (key, conn->role, conn->hellos);
  conn->receive_key = mesh_frame_key (key, peer, conn->hellos);
  conn->state = CONN_OPEN; /* before the hook, which may send */
  drop_source (&conn->handshake_timer);
  int r = conn->hooks->opened (conn->hooks->ctx, conn, err);
  if (r < 0)
    counter_add (conn->hooks->counter_set, COUNTER_PEER_REJECTED, 1);
  return r;
}

/* Verifies the peer's PROOF. The listener sends its own only after that, so
   that nobody without the key gets a proof from it.  */
static int
read_proof (struct mesh_conn *conn, struct str body, struct err *err)
{
  guint8 received_proof[MESH_PROOF_BYTES];
  guint8 expected[MESH_PROOF_BYTES];
  int r = mesh_decode_proof (body, received_proof, err);
  if (r < 0)
    return r;
  mesh_make_proof (conn->hooks->key, other_role (conn->role), conn->hellos,
                   expected);
  if (!mesh_equal_constant_time (received_proof, expected, MESH_PROOF_BYTES))
    return err_set (err, ERR_AUTH, "wire.proof", conn->address,
                    "invalid proof of the shared key");
  if (conn->role == MESH_LISTENER)
    send_proof (conn);
  return conn->state == CONN_CLOSED ? 0 : open_conn (conn, err);
}

static int
read_messages (struct mesh_conn *conn, struct str body, struct err *err)
{
  guint8 tag[MESH_TAG_BYTES];
  if (body.n < MESH_TAG_BYTES)
    return err_set (err, ERR_PROTOCOL, "wire.read", "", "frame without a tag");
  body.n -= MESH_TAG_BYTES;
  mesh_frame_tag (conn->receive_key, conn->frames_received++, body, tag);
  if (!mesh_equal_constant_time (tag, (const guint8 *)body.p + body.n,
                                 MESH_TAG_BYTES))
    return err_set (err, ERR_PROTOCOL, "wire.read", "", "invalid frame tag");
  while (body.n > 0 && conn->state == CONN_OPEN)
    {
      gsize n = msgpack_check (body);
      if (n == 0)
        return err_set (err, ERR_PROTOCOL, "wire.read", "",
                        "frame content is not msgpack");
      conn->hooks->message (conn->hooks->ctx, conn, (struct str){ body.p, n });
      body.p += n;
      body.n -= n;
    }
  return 0;
}

static int
read_frame (struct mesh_conn *conn, struct str body, struct err *err)
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

/* Processes the complete frames in CONN's input.  */
static void
read_frames (struct mesh_conn *conn)
{
  struct err err = { 0 };
  guint at = 0;
  int r = 0;
  while (r == 0 && conn->state != CONN_CLOSED
         && conn->input->len - at >= LENGTH_BYTES)
    {
      guint32 n;
      gsize max = conn->state == CONN_OPEN ? MESH_FRAME_MAX
                                           : MESH_HANDSHAKE_FRAME_MAX;
      memcpy (&n, conn->input->data + at, sizeof n);
      n = GUINT32_FROM_BE (n);
      if (n > max)
        r = err_set (&err, ERR_TOO_LARGE, "wire.read", "",
                     "frame of %" G_GUINT32_FORMAT " bytes exceeds the limit",
                     n);
      if (r < 0 || conn->input->len - at - LENGTH_BYTES < n)
        break;
      const char *body = (const char *)conn->input->data + at + LENGTH_BYTES;
      r = read_frame (conn, (struct str){ body, n }, &err);
      at += LENGTH_BYTES + n;
    }
  if (r < 0)
    reject_peer (conn, &err);
  else if (at == conn->input->len)
    clear_buffer (&conn->input);
  else if (at > 0)
    g_byte_array_remove_range (conn->input, 0, at);
}

static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  static char buffer[READ_BYTES];
  struct mesh_conn *conn = mesh_conn_ref (data);
  GError *error = NULL;
  (void)condition;
  gssize n = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);
  if (n > 0)
    {
      counter_add (conn->hooks->counter_set, COUNTER_BYTES_IN, (guint64)n);
      g_byte_array_append (conn->input, (const guint8 *)buffer, (guint)n);
      read_frames (conn);
    }
  else if (n == 0)
    mesh_conn_close (conn, conn->state == CONN_OPEN
                               ? "closed by the peer"
                               : "closed by the peer in the handshake");
  else if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    g_error_free (error);
  else
    close_with_io_error (conn, "wire.read", error);
  gboolean keep = conn->state != CONN_CLOSED;
  mesh_conn_unref (conn);
  return keep ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static int
start_handshake (struct mesh_conn *conn, struct err *err)
{
  conn->state = CONN_HELLO;
  conn->read_source = g_socket_create_source (conn->socket, G_IO_IN, NULL);
  attach (conn->read_source, G_SOURCE_FUNC (on_readable), conn);
  return send_hello (conn, err);
}

static void
finish_connect (struct mesh_conn *conn)
{
  GError *error = NULL;
  struct err err;
  if (!g_socket_check_connect_result (conn->socket, &error))
    close_with_io_error (conn, "wire.connect", error);
  else if (start_handshake (conn, &err) < 0)
    close_with_error (conn, &err);
}

static gboolean
on_writable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct mesh_conn *conn = mesh_conn_ref (data);
  (void)socket;
  (void)condition;
  drop_source (&conn->write_source);
  if (conn->state == CONN_CONNECTING)
    finish_connect (conn);
  else
    write_output (conn);
  mesh_conn_unref (conn);
  return G_SOURCE_REMOVE;
}

static gboolean
on_handshake_timeout (gpointer data)
{
  struct mesh_conn *conn = mesh_conn_ref (data);
  struct err err;
  err_set (&err, ERR_TIMEOUT, "wire.handshake", conn->address,
           "handshake not completed within %u ms, state %s",
           conn->hooks->handshake_ms, state_names[conn->state]);
  if (conn->state == CONN_CONNECTING)
    close_with_error (conn, &err);
  else
    reject_peer (conn, &err);
  mesh_conn_unref (conn);
  return G_SOURCE_REMOVE;
}

static struct mesh_conn *
conn_new (const struct mesh_conn_hooks *hooks, GSocket *socket,
          enum mesh_role role)
{
  struct mesh_conn *conn = g_new0 (struct mesh_conn, 1);
  conn->hooks = hooks;
  conn->refs = 1;
  conn->role = role;
  conn->frame_start = NO_OPEN_FRAME;
  conn->socket = g_object_ref (socket);
  conn->input = g_byte_array_new ();
  conn->output = g_byte_array_new ();
  conn->handshake_timer = g_timeout_source_new (hooks->handshake_ms);
  attach (conn->handshake_timer, on_handshake_timeout, conn);
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                       MESH_USER_TIMEOUT_MS, NULL);
  return conn;
}

/* Frees CONN, which was not handed to an owner, without calling the hooks.  */
static void
discard_unowned (struct mesh_conn *conn)
{
  conn->state = CONN_CLOSED;
  drop_source (&conn->read_source);
  drop_source (&conn->write_source);
  drop_source (&conn->handshake_timer);
  mesh_conn_unref (conn);
}

/* Starts the handshake on the accepted SOCKET, to which a reference is taken.
   Returns the only reference to the connection, NULL if the kernel gave no
   random bytes.  */
struct mesh_conn *
mesh_conn_accept (const struct mesh_conn_hooks *hooks, GSocket *socket)
{
  struct mesh_conn *conn = conn_new (hooks, socket, MESH_LISTENER);
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
  discard_unowned (conn);
  return NULL;
}

/* Starts connecting to TO; ADDRESS is its text for log lines. Returns the only
   reference to the connection, or NULL with ERR set if the attempt fails at
   once.  */
struct mesh_conn *
mesh_conn_dial (const struct mesh_conn_hooks *hooks, const char *address,
                GSocketAddress *to, struct err *err)
{
  GError *error = NULL;
  GSocket *socket
      = g_socket_new (g_socket_address_get_family (to), G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, &error);
  if (socket == NULL)
    goto fail;
  struct mesh_conn *conn = conn_new (hooks, socket, MESH_DIALER);
  g_object_unref (socket);
  g_strlcpy (conn->address, address, sizeof conn->address);
  conn->state = CONN_CONNECTING;
  if (g_socket_connect (conn->socket, to, NULL, &error)
      || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING))
    {
      g_clear_error (&error);
      watch_writable (conn);
      return conn;
    }
  discard_unowned (conn);
fail:
  err_set (err, ERR_IO, "wire.connect", address, "%s", error->message);
  g_error_free (error);
  return NULL;
}

/* Adds CONN to JSON as an object.  */
void
mesh_conn_dump (const struct mesh_conn *conn, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "peer",
                conn->receive_key ? mesh_conn_peer_name (conn) : "");
  json_add_str (json, "address", conn->address);
  json_add_str (json, "direction", conn->role == MESH_DIALER ? "out" : "in");
  json_add_str (json, "state", state_names[conn->state]);
  json_add_int (json, "queue_bytes", conn->output->len - conn->out_written);
  json_builder_end_object (json);
}
