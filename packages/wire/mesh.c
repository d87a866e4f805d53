#include "wire/mesh.h"
#include "base/json_add.h"
#include "base/log.h"
#include "wire/mesh_connection.h"

#include <string.h>

#define HANDSHAKES_MAX 64 /* accepted connections not yet authenticated */
#define ACCEPT_BATCH 16   /* connections accepted per event */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 2000
#define BACKOFF_SHIFT_MAX 5 /* enough doublings to exceed BACKOFF_MAX_MS */
#define BACKLOG 128         /* of the listening socket, connections */

/* An instance with at least one open connection. */
struct peer
{
  struct str_id id;
  GPtrArray *conns;   /* borrowed; the newest is last */
  guint64 queue_full; /* messages rejected as the queue was full */
};

/* An address that is dialled whenever there is no connection to it. */
struct target
{
  struct mesh *mesh; /* borrowed */
  char *address;     /* IP:PORT, owned */
  GSocketAddress *socket_address;
  struct mesh_conn *conn;  /* borrowed; NULL until the next retry */
  guint failures;          /* since the last open connection */
  gint64 failing_since_us; /* monotonic; valid if failures > 0 */
  GSource *retry_timer;    /* NULL unless a retry is scheduled */
};

struct mesh
{
  struct mesh_options options;
  char *key; /* owned */
  struct mesh_conn_hooks hooks;
  GSocket *listener;
  GSource *accept_source;
  GSource *flush_source; /* ready while unflushed is not empty */
  GPtrArray *conns;      /* struct mesh_conn; holds references */
  GQueue handshaking;    /* accepted, not open yet; borrowed, oldest first */
  GPtrArray *unflushed;  /* with messages to flush; holds references */
  GHashTable *peers;     /* id -> struct peer, owned */
  GHashTable *targets;   /* address -> struct target, owned */
  GByteArray *encoded;   /* buffer for the message being sent */
  struct mesh_arena *arena;
  gboolean closing;
};

static void
peer_free (gpointer data)
{
  struct peer *peer = data;
  g_ptr_array_unref (peer->conns);
  g_free (peer);
}

static void
target_free (gpointer data)
{
  struct target *target = data;
  if (target->retry_timer != NULL)
    {
      g_source_destroy (target->retry_timer);
      g_source_unref (target->retry_timer);
    }
  g_object_unref (target->socket_address);
  g_free (target->address);
  g_free (target);
}

/* Parses IP:PORT or [IP]:PORT. Returns NULL if TEXT is neither.  */
static GSocketAddress *
parse_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  guint64 port;
  if (colon == NULL || colon == text
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port,
                                      NULL))
    return NULL;
  gboolean brackets = text[0] == '[' && colon[-1] == ']';
  char *ip = brackets ? g_strndup (text + 1, (gsize)(colon - text) - 2)
                      : g_strndup (text, (gsize)(colon - text));
  GSocketAddress *address
      = g_inet_socket_address_new_from_string (ip, (guint)port);
  g_free (ip);
  return address;
}

/* Returns the target whose connection is CONN; NULL for accepted ones.  */
static struct target *
find_target (const struct mesh *mesh, const struct mesh_conn *conn)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mesh->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct target *)value)->conn == conn)
      return value;
  return NULL;
}

/* Registers CONN with its peer. Fails with ERR_LIMIT if there are
   MESH_PEERS_MAX peers already.  */
static int
on_opened (void *ctx, struct mesh_conn *conn, struct err *err)
{
  struct mesh *mesh = ctx;
  const char *id = mesh_conn_peer_name (conn);
  struct peer *peer = g_hash_table_lookup (mesh->peers, id);
  if (peer == NULL && g_hash_table_size (mesh->peers) >= MESH_PEERS_MAX)
    return err_set (err, ERR_LIMIT, "wire.handshake", id, "too many peers");
  gboolean first = peer == NULL;
  if (first)
    {
      peer = g_new0 (struct peer, 1);
      str_id_set (&peer->id, str_of (id));
      peer->conns = g_ptr_array_new ();
      g_hash_table_insert (mesh->peers, peer->id.s, peer);
    }
  g_ptr_array_add (peer->conns, conn);
  g_queue_remove (&mesh->handshaking, conn);
  struct target *target = find_target (mesh, conn);
  if (target != NULL)
    target->failures = 0;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "peer.open",
                                  .step = "wire.handshake",
                                  .peer = id },
             "%s", target ? target->address : "accepted");
  if (first && mesh->options.connected != NULL)
    mesh->options.connected (mesh->options.ctx, id);
  return 0;
}

/* Skips a message that cannot be decoded, for example of a newer release. The
   connection stays open, since the tag of the frame was valid.  */
static void
on_message (void *ctx, struct mesh_conn *conn, struct str body)
{
  struct mesh *mesh = ctx;
  struct msg msg;
  struct err err;
  if (mesh_decode (body, &msg, mesh->arena, &err) == 0)
    {
      counter_add (mesh->options.counter_set, COUNTER_MSG_IN, 1);
      mesh->options.receive (mesh->options.ctx, mesh_conn_peer_name (conn),
                             &msg);
      return;
    }
  counter_add (mesh->options.counter_set, COUNTER_FRAME_INVALID, 1);
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "peer.message",
                                  .step = err.step,
                                  .peer = mesh_conn_peer_name (conn) },
             "%s: %s", err_name (err.code), err.text);
}

static void
on_queued (void *ctx, struct mesh_conn *conn)
{
  struct mesh *mesh = ctx;
  g_ptr_array_add (mesh->unflushed, mesh_conn_ref (conn));
  g_source_set_ready_time (mesh->flush_source, 0);
}

static gboolean
on_flush (gpointer data)
{
  struct mesh *mesh = data;
  g_source_set_ready_time (mesh->flush_source, -1);
  while (mesh->unflushed->len > 0)
    {
      struct mesh_conn *conn
          = g_ptr_array_steal_index (mesh->unflushed, mesh->unflushed->len - 1);
      mesh_conn_flush (conn);
      mesh_conn_unref (conn);
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_flush (GSource *source, GSourceFunc func, gpointer data)
{
  (void)source;
  return func (data);
}

static void start_dial (struct target *target);

static gboolean
on_retry (gpointer data)
{
  struct target *target = data;
  g_clear_pointer (&target->retry_timer, g_source_unref);
  start_dial (target);
  return G_SOURCE_REMOVE;
}

static gboolean
is_permanent (const struct target *target)
{
  const char *const *permanent = target->mesh->options.permanent;
  return permanent == NULL || g_strv_contains (permanent, target->address);
}

/* Frees TARGET if it has been unreachable for give_up_ms, as happens to the
   addresses of replaced instances. Returns TRUE if so.  */
static gboolean
drop_if_unreachable (struct target *target)
{
  struct mesh *mesh = target->mesh;
  gint64 limit = (gint64)mesh->options.give_up_ms * G_TIME_SPAN_MILLISECOND;
  if (target->failures == 0 || is_permanent (target)
      || g_get_monotonic_time () - target->failing_since_us < limit)
    return FALSE;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "peer.given_up",
                                  .step = "wire.dial",
                                  .peer = target->address },
             "unreachable for %u ms; no longer dialled",
             mesh->options.give_up_ms);
  g_hash_table_remove (mesh->targets, target->address);
  return TRUE;
}

/* Schedules the next attempt. The delay doubles with each failure up to
   BACKOFF_MAX_MS; up to half of it is taken off at random.  */
static void
retry_later (struct target *target, const char *reason)
{
  if (drop_if_unreachable (target))
    return;
  if (target->failures == 0)
    target->failing_since_us = g_get_monotonic_time ();
  guint shift = MIN (target->failures, BACKOFF_SHIFT_MAX);
  guint delay = MIN (BACKOFF_MIN_MS << shift, BACKOFF_MAX_MS);
  delay = (guint)g_random_int_range ((gint32)delay / 2, (gint32)delay + 1);
  if (target->failures++ == 0)
    log_write (&(struct log_entry){ .level = LOG_WARN,
                                    .event = "peer.retry",
                                    .step = "wire.dial",
                                    .peer = target->address },
               "%s; retrying until connected", reason);
  target->conn = NULL;
  target->retry_timer = g_timeout_source_new (delay);
  g_source_set_callback (target->retry_timer, on_retry, target, NULL);
  g_source_attach (target->retry_timer, g_main_context_get_thread_default ());
}

static void
start_dial (struct target *target)
{
  struct mesh *mesh = target->mesh;
  struct err err;
  target->conn = mesh_conn_dial (&mesh->hooks, target->address,
                                 target->socket_address, &err);
  if (target->conn == NULL)
    retry_later (target, err.text);
  else
    g_ptr_array_add (mesh->conns, target->conn);
}

/* Removes CONN from its peer. Returns TRUE if it was the last connection, in
   which case the peer is freed.  */
static gboolean
remove_from_peer (struct mesh *mesh, struct mesh_conn *conn)
{
  const char *id = mesh_conn_peer_name (conn);
  struct peer *peer = g_hash_table_lookup (mesh->peers, id);
  if (peer == NULL || !g_ptr_array_remove (peer->conns, conn)
      || peer->conns->len > 0)
    return FALSE;
  g_hash_table_remove (mesh->peers, id);
  return TRUE;
}

/* Unregisters CONN. If it was dialled, schedules a retry.  */
static void
on_closed (void *ctx, struct mesh_conn *conn, gboolean was_open)
{
  struct mesh *mesh = ctx;
  mesh_conn_ref (conn);
  g_ptr_array_remove_fast (mesh->conns, conn);
  g_ptr_array_remove (mesh->unflushed, conn);
  g_queue_remove (&mesh->handshaking, conn);
  gboolean last = remove_from_peer (mesh, conn);
  struct target *target = find_target (mesh, conn);
  if (target != NULL && !mesh->closing)
    retry_later (target, "connection closed");
  if (last && was_open && !mesh->closing)
    mesh->options.disconnected (mesh->options.ctx, mesh_conn_peer_name (conn));
  mesh_conn_unref (conn);
}

/* Starts the handshake on an accepted socket. If HANDSHAKES_MAX are under way
   already, the oldest is closed: a real instance completes its handshake within
   two round trips.  */
static void
add_handshaking (struct mesh *mesh, GSocket *socket)
{
  if (mesh->handshaking.length >= HANDSHAKES_MAX)
    {
      counter_add (mesh->options.counter_set, COUNTER_PEER_REJECTED, 1);
      mesh_conn_close (g_queue_peek_head (&mesh->handshaking),
                       "too many handshakes in progress");
    }
  struct mesh_conn *conn = mesh_conn_accept (&mesh->hooks, socket);
  if (conn == NULL)
    return;
  g_ptr_array_add (mesh->conns, conn);
  g_queue_push_tail (&mesh->handshaking, conn);
}

static gboolean
on_acceptable (GSocket *listener, GIOCondition condition, gpointer data)
{
  (void)condition;
  for (int i = 0; i < ACCEPT_BATCH; i++)
    {
      GSocket *socket = g_socket_accept (listener, NULL, NULL);
      if (socket == NULL)
        break;
      add_handshaking (data, socket);
      g_object_unref (socket);
    }
  return G_SOURCE_CONTINUE;
}

static int
listen_on (struct mesh *mesh, const char *address, struct err *err)
{
  GError *error = NULL;
  GSocketAddress *at = parse_address (address);
  if (at == NULL)
    return err_set (err, ERR_INVALID, "wire.listen", address,
                    "not of the form IP:PORT");
  mesh->listener
      = g_socket_new (g_socket_address_get_family (at), G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, &error);
  gboolean ok = mesh->listener != NULL;
  if (ok)
    {
      g_socket_set_blocking (mesh->listener, FALSE);
      g_socket_set_listen_backlog (mesh->listener, BACKLOG);
      ok = g_socket_bind (mesh->listener, at, TRUE, &error)
           && g_socket_listen (mesh->listener, &error);
    }
  g_object_unref (at);
  if (ok)
    return 0;
  err_set (err, ERR_IO, "wire.listen", address, "%s", error->message);
  g_error_free (error);
  return ERR_IO;
}

static void
start_sources (struct mesh *mesh)
{
  static GSourceFuncs flush_funcs = { .dispatch = dispatch_flush };
  GMainContext *context = g_main_context_get_thread_default ();
  mesh->accept_source = g_socket_create_source (mesh->listener, G_IO_IN, NULL);
  g_source_set_callback (mesh->accept_source, G_SOURCE_FUNC (on_acceptable),
                         mesh, NULL);
  g_source_attach (mesh->accept_source, context);
  mesh->flush_source = g_source_new (&flush_funcs, sizeof (GSource));
  g_source_set_priority (mesh->flush_source, G_PRIORITY_HIGH);
  g_source_set_callback (mesh->flush_source, on_flush, mesh, NULL);
  g_source_attach (mesh->flush_source, context);
}

static void
unref_conn (gpointer conn)
{
  mesh_conn_unref (conn);
}

/* Starts listening, on the thread's default main context. Returns 0 with *MESH
   to be freed with mesh_free; ERR_INVALID for an invalid address, id or key;
   ERR_IO if the socket cannot be set up.  */
int
mesh_new (const struct mesh_options *options, struct mesh **mesh,
          struct err *err)
{
  *mesh = NULL;
  if (options->key.n < MESH_KEY_BYTES_MIN)
    return err_set (err, ERR_INVALID, "wire.new", "",
                    "the shared key is shorter than %d bytes",
                    MESH_KEY_BYTES_MIN);
  if (!str_id_ok (str_of (options->self.s)))
    return err_set (err, ERR_INVALID, "wire.new", "", "invalid instance id");
  struct mesh *new_mesh = g_new0 (struct mesh, 1);
  new_mesh->options = *options;
  if (new_mesh->options.give_up_ms == 0)
    new_mesh->options.give_up_ms = MESH_GIVE_UP_MS;
  new_mesh->key = str_dup (options->key);
  new_mesh->conns = g_ptr_array_new_with_free_func (unref_conn);
  new_mesh->unflushed = g_ptr_array_new_with_free_func (unref_conn);
  new_mesh->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  new_mesh->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, target_free);
  new_mesh->encoded = g_byte_array_new ();
  new_mesh->arena = mesh_arena_new ();
  new_mesh->hooks = (struct mesh_conn_hooks){
    .key = { new_mesh->key, options->key.n },
    .self = options->self,
    .handshake_ms
    = options->handshake_ms ? options->handshake_ms : MESH_HANDSHAKE_MS,
    .counter_set = options->counter_set,
    .opened = on_opened,
    .message = on_message,
    .queued = on_queued,
    .closed = on_closed,
    .ctx = new_mesh,
  };
  int r = listen_on (new_mesh, options->listen, err);
  if (r < 0)
    {
      mesh_free (new_mesh);
      return r;
    }
  start_sources (new_mesh);
  *mesh = new_mesh;
  return 0;
}

static void
stop_source (GSource *source)
{
  if (source == NULL)
    return;
  g_source_destroy (source);
  g_source_unref (source);
}

/* Closes all connections without calling the disconnected callback. Must not be
   called from a callback.  */
void
mesh_free (struct mesh *mesh)
{
  if (mesh == NULL)
    return;
  mesh->closing = TRUE;
  if (mesh->flush_source != NULL)
    on_flush (mesh);
  while (mesh->conns->len > 0)
    mesh_conn_close (g_ptr_array_index (mesh->conns, mesh->conns->len - 1),
                     "this instance is shutting down");
  stop_source (mesh->accept_source);
  stop_source (mesh->flush_source);
  g_clear_object (&mesh->listener);
  g_ptr_array_unref (mesh->unflushed);
  g_ptr_array_unref (mesh->conns);
  g_hash_table_unref (mesh->targets);
  g_hash_table_unref (mesh->peers);
  g_byte_array_unref (mesh->encoded);
  mesh_arena_free (mesh->arena);
  g_free (mesh->key);
  g_free (mesh);
}

/* Returns the port that MESH listens on, 0 if it is not known.  */
guint
mesh_port (const struct mesh *mesh)
{
  GSocketAddress *at = g_socket_get_local_address (mesh->listener, NULL);
  guint port = 0;
  if (at != NULL)
    {
      port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (at));
      g_object_unref (at);
    }
  return port;
}

/* Connects to ADDRESS (IP:PORT) and reconnects whenever the connection is lost;
   the handshake tells the id of the instance there. Does nothing if the address
   is dialled already or MESH_PEERS_MAX others are; logs an invalid address. An
   address that is not permanent and stays unreachable for give_up_ms is
   dropped; a later call dials it again.  */
void
mesh_dial (struct mesh *mesh, const char *address)
{
  if (g_hash_table_contains (mesh->targets, address)
      || g_hash_table_size (mesh->targets) >= MESH_PEERS_MAX)
    return;
  GSocketAddress *to = parse_address (address);
  if (to == NULL)
    {
      log_write (&(struct log_entry){ .level = LOG_ERROR,
                                      .event = "peer.address",
                                      .step = "wire.dial",
                                      .peer = address },
                 "not of the form IP:PORT");
      return;
    }
  struct target *target = g_new0 (struct target, 1);
  target->mesh = mesh;
  target->address = g_strdup (address);
  target->socket_address = to;
  g_hash_table_insert (mesh->targets, target->address, target);
  start_dial (target);
}

/* Closes the connection dialled to ADDRESS and does not reconnect; connections
   that the instance there dialled stay open.  */
void
mesh_drop_address (struct mesh *mesh, const char *address)
{
  struct target *target = g_hash_table_lookup (mesh->targets, address);
  if (target == NULL)
    return;
  struct mesh_conn *conn = target->conn;
  g_hash_table_remove (mesh->targets, address);
  if (conn != NULL)
    mesh_conn_close (conn, "address dropped");
}

static void
encode (struct mesh *mesh, const struct msg *msg)
{
  g_byte_array_set_size (mesh->encoded, 0);
  mesh_encode (msg, mesh->encoded);
}

/* Queues the message in MESH->encoded for PEER.  */
static int
send_encoded (struct mesh *mesh, struct peer *peer)
{
  struct mesh_conn *conn
      = g_ptr_array_index (peer->conns, peer->conns->len - 1);
  struct str message
      = { (const char *)mesh->encoded->data, mesh->encoded->len };
  int r = mesh_conn_queue (conn, message);
  if (r == 0)
    counter_add (mesh->options.counter_set, COUNTER_MSG_OUT, 1);
  else if (r == ERR_LIMIT)
    peer->queue_full++;
  return r;
}

/* Queues MSG for instance TO; messages queued in one iteration of the main loop
   are written together. The newest connection to TO is used; messages arrive in
   order unless that connection is replaced or lost. Returns 0, ERR_CLOSED if
   there is no connection, ERR_LIMIT if its queue is full, ERR_TOO_LARGE if MSG
   does not fit into a frame of MESH_FRAME_MAX bytes.  */
int
mesh_send (struct mesh *mesh, const char *to, const struct msg *msg)
{
  struct peer *peer = g_hash_table_lookup (mesh->peers, to);
  if (peer == NULL)
    return ERR_CLOSED;
  encode (mesh, msg);
  return send_encoded (mesh, peer);
}

/* Queues MSG for every connected instance; those whose queue is full do not get
   it.  */
void
mesh_broadcast (struct mesh *mesh, const struct msg *msg)
{
  GHashTableIter iter;
  gpointer value;
  encode (mesh, msg);
  g_hash_table_iter_init (&iter, mesh->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_encoded (mesh, value);
}

static void
dump_peers (const struct mesh *mesh, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer value;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, mesh->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      json_builder_begin_object (json);
      json_add_str (json, "id", peer->id.s);
      json_add_int (json, "connections", peer->conns->len);
      json_add_int (json, "queue_full", (gint64)peer->queue_full);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

static void
dump_targets (const struct mesh *mesh, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer value;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, mesh->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct target *target = value;
      json_builder_begin_object (json);
      json_add_str (json, "address", target->address);
      json_add_int (json, "failures", target->failures);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

/* Adds an object with the peers, the dialled addresses and the connections to
   JSON.  */
void
mesh_dump (const struct mesh *mesh, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "peers");
  dump_peers (mesh, json);
  json_builder_set_member_name (json, "dialled");
  dump_targets (mesh, json);
  json_builder_set_member_name (json, "connections");
  json_builder_begin_array (json);
  for (guint i = 0; i < mesh->conns->len; i++)
    mesh_conn_dump (g_ptr_array_index (mesh->conns, i), json);
  json_builder_end_array (json);
  json_builder_end_object (json);
}
