#include "wire/wir.h"
#include "base/json_add.h"
#include "base/log.h"
#include "wire/wir_conn.h"

#include <string.h>

#define PENDING_MAX 64  /* accepted connections that proved nothing yet */
#define ACCEPT_BATCH 16 /* connections accepted in one turn */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 2000
#define BACKLOG 128

/* An instance with at least one open connection. */
struct peer
{
  struct str_id id;
  GPtrArray *conns; /* borrowed; the newest is last */
  guint64 refused;  /* messages, since the queue was full */
};

/* An address to which a connection is kept up. */
struct target
{
  struct wir *wir; /* borrowed */
  char *address;   /* IP:PORT, owned */
  GSocketAddress *to;
  struct wir_conn *conn; /* borrowed; NULL while waiting */
  guint failures;        /* in a row */
  gint64 failing_since;  /* monotonic, microseconds; set while failures > 0 */
  GSource *retry;        /* NULL unless waiting */
};

struct wir
{
  struct wir_options options;
  char *key; /* owned */
  struct wir_conn_hooks hooks;
  GSocket *listener;
  GSource *acceptable;
  GSource *flush;      /* ready while some connection is in queued */
  GPtrArray *conns;    /* struct wir_conn, referenced */
  GQueue pending;      /* accepted, not open; borrowed, oldest first */
  GPtrArray *queued;   /* connections with messages to flush, referenced */
  GHashTable *peers;   /* id -> struct peer, owned */
  GHashTable *targets; /* address -> struct target, owned */
  GByteArray *scratch; /* the message being encoded */
  struct wir_arena *arena;
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
  if (target->retry != NULL)
    {
      g_source_destroy (target->retry);
      g_source_unref (target->retry);
    }
  g_object_unref (target->to);
  g_free (target->address);
  g_free (target);
}

/* Reads IP:PORT or [IP]:PORT. Returns NULL if it is neither.  */
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

static struct target *
target_of (const struct wir *wir, const struct wir_conn *conn)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, wir->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct target *)value)->conn == conn)
      return value;
  return NULL;
}

static int
on_opened (void *ctx, struct wir_conn *conn, struct err *err)
{
  struct wir *wir = ctx;
  const char *id = wir_conn_peer (conn);
  struct peer *peer = g_hash_table_lookup (wir->peers, id);
  if (peer == NULL && g_hash_table_size (wir->peers) >= WIR_PEERS_MAX)
    return err_set (err, ERR_LIMIT, "wire.handshake", id, "too many peers");
  gboolean first = peer == NULL;
  if (first)
    {
      peer = g_new0 (struct peer, 1);
      str_id_set (&peer->id, str_of (id));
      peer->conns = g_ptr_array_new ();
      g_hash_table_insert (wir->peers, peer->id.s, peer);
    }
  g_ptr_array_add (peer->conns, conn);
  g_queue_remove (&wir->pending, conn);
  struct target *target = target_of (wir, conn);
  if (target != NULL)
    target->failures = 0;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "peer.open",
                                  .step = "wire.handshake",
                                  .peer = id },
             "%s", target ? target->address : "accepted");
  if (first && wir->options.up != NULL)
    wir->options.up (wir->options.ctx, id);
  return 0;
}

/* A message that cannot be read, as from a newer release, is skipped: its
   frame was proved, so the connection goes on.  */
static void
on_message (void *ctx, struct wir_conn *conn, struct str body)
{
  struct wir *wir = ctx;
  struct msg msg;
  struct err err;
  if (wir_decode (body, &msg, wir->arena, &err) == 0)
    {
      counter_add (wir->options.counter_set, COUNTER_MSG_IN, 1);
      wir->options.receive (wir->options.ctx, wir_conn_peer (conn), &msg);
      return;
    }
  counter_add (wir->options.counter_set, COUNTER_FRAME_INVALID, 1);
  log_write (&(struct log_entry){ .level = LOG_WARN,
                                  .event = "peer.message",
                                  .step = err.step,
                                  .peer = wir_conn_peer (conn) },
             "%s: %s", err_name (err.code), err.text);
}

static void
on_queued (void *ctx, struct wir_conn *conn)
{
  struct wir *wir = ctx;
  g_ptr_array_add (wir->queued, wir_conn_ref (conn));
  g_source_set_ready_time (wir->flush, 0);
}

static gboolean
on_flush (gpointer data)
{
  struct wir *wir = data;
  g_source_set_ready_time (wir->flush, -1);
  while (wir->queued->len > 0)
    {
      struct wir_conn *conn
          = g_ptr_array_steal_index (wir->queued, wir->queued->len - 1);
      wir_conn_flush (conn);
      wir_conn_unref (conn);
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
  g_clear_pointer (&target->retry, g_source_unref);
  start_dial (target);
  return G_SOURCE_REMOVE;
}

static gboolean
is_kept (const struct target *target)
{
  const char *const *keep = target->wir->options.keep;
  return keep == NULL || g_strv_contains (keep, target->address);
}

/* Drops TARGET if it has been out of reach for too long, as are the addresses
   of instances that were replaced.  */
static gboolean
give_up (struct target *target)
{
  struct wir *wir = target->wir;
  gint64 limit = (gint64)wir->options.give_up_ms * G_TIME_SPAN_MILLISECOND;
  if (target->failures == 0 || is_kept (target)
      || g_get_monotonic_time () - target->failing_since < limit)
    return FALSE;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "peer.given_up",
                                  .step = "wire.dial",
                                  .peer = target->address },
             "not reached in %u ms", wir->options.give_up_ms);
  g_hash_table_remove (wir->targets, target->address);
  return TRUE;
}

/* Dials again after a delay that doubles with each failure in a row; half of
   it is jitter.  */
static void
retry_later (struct target *target, const char *reason)
{
  if (give_up (target))
    return;
  if (target->failures == 0)
    target->failing_since = g_get_monotonic_time ();
  guint shift = MIN (target->failures, 5);
  guint delay = MIN (BACKOFF_MIN_MS << shift, BACKOFF_MAX_MS);
  delay = (guint)g_random_int_range ((gint32)delay / 2, (gint32)delay + 1);
  if (target->failures++ == 0)
    log_write (&(struct log_entry){ .level = LOG_WARN,
                                    .event = "peer.retry",
                                    .step = "wire.dial",
                                    .peer = target->address },
               "%s; dialling until it is up", reason);
  target->conn = NULL;
  target->retry = g_timeout_source_new (delay);
  g_source_set_callback (target->retry, on_retry, target, NULL);
  g_source_attach (target->retry, g_main_context_get_thread_default ());
}

static void
start_dial (struct target *target)
{
  struct wir *wir = target->wir;
  struct err err;
  target->conn = wir_conn_dial (&wir->hooks, target->address, target->to, &err);
  if (target->conn == NULL)
    retry_later (target, err.text);
  else
    g_ptr_array_add (wir->conns, target->conn);
}

/* Takes CONN from its peer. Returns TRUE if it was the last one.  */
static gboolean
leave_peer (struct wir *wir, struct wir_conn *conn)
{
  const char *id = wir_conn_peer (conn);
  struct peer *peer = g_hash_table_lookup (wir->peers, id);
  if (peer == NULL || !g_ptr_array_remove (peer->conns, conn)
      || peer->conns->len > 0)
    return FALSE;
  g_hash_table_remove (wir->peers, id);
  return TRUE;
}

static void
on_closed (void *ctx, struct wir_conn *conn, gboolean was_open)
{
  struct wir *wir = ctx;
  wir_conn_ref (conn);
  g_ptr_array_remove_fast (wir->conns, conn);
  g_ptr_array_remove (wir->queued, conn);
  g_queue_remove (&wir->pending, conn);
  gboolean last = leave_peer (wir, conn);
  struct target *target = target_of (wir, conn);
  if (target != NULL && !wir->closing)
    retry_later (target, "connection closed");
  if (last && was_open && !wir->closing)
    wir->options.lost (wir->options.ctx, wir_conn_peer (conn));
  wir_conn_unref (conn);
}

/* Starts the handshake with an accepted socket. If too many are in it, the
   oldest goes: an honest one is through in two round trips.  */
static void
add_pending (struct wir *wir, GSocket *socket)
{
  if (wir->pending.length >= PENDING_MAX)
    {
      counter_add (wir->options.counter_set, COUNTER_PEER_REJECTED, 1);
      wir_conn_close (g_queue_peek_head (&wir->pending),
                      "too many connections in the handshake");
    }
  struct wir_conn *conn = wir_conn_accept (&wir->hooks, socket);
  if (conn == NULL)
    return;
  g_ptr_array_add (wir->conns, conn);
  g_queue_push_tail (&wir->pending, conn);
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
      add_pending (data, socket);
      g_object_unref (socket);
    }
  return G_SOURCE_CONTINUE;
}

static int
listen_on (struct wir *wir, const char *address, struct err *err)
{
  GError *error = NULL;
  GSocketAddress *at = parse_address (address);
  if (at == NULL)
    return err_set (err, ERR_INVALID, "wire.listen", address,
                    "not of the form IP:PORT");
  wir->listener
      = g_socket_new (g_socket_address_get_family (at), G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, &error);
  gboolean ok = wir->listener != NULL;
  if (ok)
    {
      g_socket_set_blocking (wir->listener, FALSE);
      g_socket_set_listen_backlog (wir->listener, BACKLOG);
      ok = g_socket_bind (wir->listener, at, TRUE, &error)
           && g_socket_listen (wir->listener, &error);
    }
  g_object_unref (at);
  if (ok)
    return 0;
  err_set (err, ERR_IO, "wire.listen", address, "%s", error->message);
  g_error_free (error);
  return ERR_IO;
}

static void
start_sources (struct wir *wir)
{
  static GSourceFuncs flush_funcs = { .dispatch = dispatch_flush };
  GMainContext *context = g_main_context_get_thread_default ();
  wir->acceptable = g_socket_create_source (wir->listener, G_IO_IN, NULL);
  g_source_set_callback (wir->acceptable, G_SOURCE_FUNC (on_acceptable), wir,
                         NULL);
  g_source_attach (wir->acceptable, context);
  wir->flush = g_source_new (&flush_funcs, sizeof (GSource));
  g_source_set_priority (wir->flush, G_PRIORITY_HIGH);
  g_source_set_callback (wir->flush, on_flush, wir, NULL);
  g_source_attach (wir->flush, context);
}

static void
unref_conn (gpointer conn)
{
  wir_conn_unref (conn);
}

/* Starts listening. Returns 0 with *WIR for the caller to free; ERR_INVALID
   for a bad address, id or key; ERR_IO if the socket cannot be set up.  */
int
wir_new (const struct wir_options *options, struct wir **wir, struct err *err)
{
  *wir = NULL;
  if (options->key.n < WIR_KEY_MIN)
    return err_set (err, ERR_INVALID, "wire.new", "",
                    "the shared key is shorter than %d bytes", WIR_KEY_MIN);
  if (!str_id_ok (str_of (options->self.s)))
    return err_set (err, ERR_INVALID, "wire.new", "", "bad instance id");
  struct wir *w = g_new0 (struct wir, 1);
  w->options = *options;
  if (w->options.give_up_ms == 0)
    w->options.give_up_ms = WIR_GIVE_UP_MS;
  w->key = str_dup (options->key);
  w->conns = g_ptr_array_new_with_free_func (unref_conn);
  w->queued = g_ptr_array_new_with_free_func (unref_conn);
  w->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  w->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, target_free);
  w->scratch = g_byte_array_new ();
  w->arena = wir_arena_new ();
  w->hooks = (struct wir_conn_hooks){
    .key = { w->key, options->key.n },
    .self = options->self,
    .handshake_ms
    = options->handshake_ms ? options->handshake_ms : WIR_HANDSHAKE_MS,
    .counter_set = options->counter_set,
    .opened = on_opened,
    .message = on_message,
    .queued = on_queued,
    .closed = on_closed,
    .ctx = w,
  };
  int r = listen_on (w, options->listen, err);
  if (r < 0)
    {
      wir_free (w);
      return r;
    }
  start_sources (w);
  *wir = w;
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

void
wir_free (struct wir *wir)
{
  if (wir == NULL)
    return;
  wir->closing = TRUE;
  if (wir->flush != NULL)
    on_flush (wir);
  while (wir->conns->len > 0)
    wir_conn_close (g_ptr_array_index (wir->conns, wir->conns->len - 1),
                    "this instance ends");
  stop_source (wir->acceptable);
  stop_source (wir->flush);
  g_clear_object (&wir->listener);
  g_ptr_array_unref (wir->queued);
  g_ptr_array_unref (wir->conns);
  g_hash_table_unref (wir->targets);
  g_hash_table_unref (wir->peers);
  g_byte_array_unref (wir->scratch);
  wir_arena_free (wir->arena);
  g_free (wir->key);
  g_free (wir);
}

/* Returns the port that WIR listens on, 0 if that is not known.  */
guint
wir_port (const struct wir *wir)
{
  GSocketAddress *at = g_socket_get_local_address (wir->listener, NULL);
  guint port = 0;
  if (at != NULL)
    {
      port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (at));
      g_object_unref (at);
    }
  return port;
}

void
wir_dial (struct wir *wir, const char *address)
{
  if (g_hash_table_contains (wir->targets, address)
      || g_hash_table_size (wir->targets) >= WIR_PEERS_MAX)
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
  target->wir = wir;
  target->address = g_strdup (address);
  target->to = to;
  g_hash_table_insert (wir->targets, target->address, target);
  start_dial (target);
}

/* Ends the connection that wir_dial keeps to ADDRESS; those that its instance
   dialled stay.  */
void
wir_hang_up (struct wir *wir, const char *address)
{
  struct target *target = g_hash_table_lookup (wir->targets, address);
  if (target == NULL)
    return;
  struct wir_conn *conn = target->conn;
  g_hash_table_remove (wir->targets, address);
  if (conn != NULL)
    wir_conn_close (conn, "hung up");
}

static void
encode (struct wir *wir, const struct msg *msg)
{
  g_byte_array_set_size (wir->scratch, 0);
  wir_encode (msg, wir->scratch);
}

/* Queues the message in scratch for PEER.  */
static int
send_encoded (struct wir *wir, struct peer *peer)
{
  struct wir_conn *conn = g_ptr_array_index (peer->conns, peer->conns->len - 1);
  struct str message = { (const char *)wir->scratch->data, wir->scratch->len };
  int r = wir_conn_queue (conn, message);
  if (r == 0)
    counter_add (wir->options.counter_set, COUNTER_MSG_OUT, 1);
  else if (r == ERR_LIMIT)
    peer->refused++;
  return r;
}

int
wir_send (struct wir *wir, const char *to, const struct msg *msg)
{
  struct peer *peer = g_hash_table_lookup (wir->peers, to);
  if (peer == NULL)
    return ERR_CLOSED;
  encode (wir, msg);
  return send_encoded (wir, peer);
}

void
wir_broadcast (struct wir *wir, const struct msg *msg)
{
  GHashTableIter iter;
  gpointer value;
  encode (wir, msg);
  g_hash_table_iter_init (&iter, wir->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_encoded (wir, value);
}

static void
dump_peers (const struct wir *wir, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer value;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, wir->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      json_builder_begin_object (json);
      json_add_str (json, "id", peer->id.s);
      json_add_int (json, "connections", peer->conns->len);
      json_add_int (json, "queue_full", (gint64)peer->refused);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

static void
dump_targets (const struct wir *wir, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer value;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, wir->targets);
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

/* Adds the peers, dialled addresses and connections to JSON as an object.  */
void
wir_dump (const struct wir *wir, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "peers");
  dump_peers (wir, json);
  json_builder_set_member_name (json, "dialled");
  dump_targets (wir, json);
  json_builder_set_member_name (json, "connections");
  json_builder_begin_array (json);
  for (guint i = 0; i < wir->conns->len; i++)
    wir_conn_dump (g_ptr_array_index (wir->conns, i), json);
  json_builder_end_array (json);
  json_builder_end_object (json);
}
