#include "net/tcp_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEEPALIVE_S 1        /* before the first probe and between probes */
#define ARRIVED_READS_MAX 64 /* of one call of tcp_conn_read_arrived */
#define LINGER_MS 2000       /* longest wait for the peer's FIN after ours */
#define FLUSH_STALL_MS                                                         \
  8000 /* a finished connection is closed if the peer takes no byte of its     \
          output for this time, checked as often */
#define DISCARD_MAX                                                            \
  (4 * 1024 * 1024) /* bytes read of a peer while the last output is sent; as  \
                       many as a request body may have by default */
#define SILENCE_CHECKS 4    /* during the longest silence of a peer */
#define COMPACT_BYTES 65536 /* most sent bytes kept in OUT */

struct tcp_conn
{
  GSource *source;   /* owned; NULL once closed */
  gpointer poll_tag; /* of the descriptor in SOURCE */
  int fd;
  struct tcp_conn_handler handler;
  void *ctx;
  GByteArray *out;      /* owned */
  gsize out_sent;       /* bytes of OUT that the kernel has accepted */
  gsize out_most;       /* highest length of OUT, which has room for as many */
  guint64 sent;         /* total bytes that the kernel has accepted */
  guint connect_timer;  /* GLib source; 0: none */
  guint linger_timer;   /* GLib source; 0: none */
  guint silence_timer;  /* GLib source; runs while output is outstanding */
  guint silence_ms;     /* option of that name */
  guint silent_checks;  /* of the silence timer, since the last progress */
  guint64 taken_before; /* bytes_taken at the last check of a timer */
  gboolean unlimited;   /* TCP_USER_TIMEOUT is lifted */
  gsize discarded;      /* bytes received after the finish */
  int write_error;      /* errno of a failed write, not yet reported; 0: none */
  gboolean connecting;
  gboolean paused;
  gboolean ended;     /* the peer has sent its FIN */
  gboolean finishing; /* to be closed once OUT is empty */
  gboolean lingering; /* our FIN is sent; input is discarded */
};

struct tcp_conn_source
{
  GSource base;
  struct tcp_conn *conn; /* borrowed */
};

static void
tcp_conn_clear (gpointer data)
{
  struct tcp_conn *conn = data;
  g_byte_array_unref (conn->out);
}

static void
tcp_conn_unref (struct tcp_conn *conn)
{
  g_rc_box_release_full (conn, tcp_conn_clear);
}

/* Returns the bytes that the kernel has not accepted yet.  */
gsize
tcp_conn_queued (const struct tcp_conn *conn)
{
  return conn->out->len - conn->out_sent;
}

/* Returns the bytes of memory that the output takes, at least.  */
gsize
tcp_conn_kept (const struct tcp_conn *conn)
{
  return conn->out_most;
}

/* Returns the room that OUT does not need any longer, if it is large.  */
static void
shrink_output (struct tcp_conn *conn)
{
  if (conn->out_most <= COMPACT_BYTES || conn->out->len > conn->out_most / 4)
    return;
  GByteArray *out = g_byte_array_sized_new (conn->out->len);
  g_byte_array_append (out, conn->out->data, conn->out->len);
  g_byte_array_unref (conn->out);
  conn->out = out;
  conn->out_most = out->len;
}

static void
update_poll_events (struct tcp_conn *conn)
{
  if (conn->source == NULL)
    return;
  GIOCondition events = 0;
  if (!conn->paused && !conn->ended && !conn->connecting)
    events |= G_IO_IN;
  if (conn->connecting || conn->out->len > conn->out_sent)
    events |= G_IO_OUT;
  g_source_modify_unix_fd (conn->source, conn->poll_tag, events);
}

static void
set_option (int fd, int level, int name, int value)
{
  if (setsockopt (fd, level, name, &value, sizeof value) < 0)
    g_debug ("setsockopt %d: %s", name, g_strerror (errno));
}

/* Sets the kernel's limit on the time without an acknowledgement, or lifts it.
 */
static void
set_user_timeout (struct tcp_conn *conn, gboolean limited)
{
  if (conn->silence_ms == 0 || conn->unlimited == !limited)
    return;
  conn->unlimited = !limited;
  set_option (conn->fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
              limited ? (int)conn->silence_ms : 0);
}

/* Closes the socket. The memory is freed with the last reference.  */
static void
close_socket (struct tcp_conn *conn)
{
  if (conn->source == NULL)
    return;
  g_clear_handle_id (&conn->connect_timer, g_source_remove);
  g_clear_handle_id (&conn->linger_timer, g_source_remove);
  g_clear_handle_id (&conn->silence_timer, g_source_remove);
  set_user_timeout (conn, TRUE);
  g_source_destroy (conn->source);
  g_source_unref (conn->source);
  conn->source = NULL;
  close (conn->fd);
  conn->fd = -1;
}

/* Closes and frees a connection that is being finished.  */
static void
release_finished (struct tcp_conn *conn)
{
  const struct tcp_conn_remainder remainder
      = { .unsent = tcp_conn_queued (conn), .discarded = conn->discarded };
  void (*finished) (void *, const struct tcp_conn_remainder *)
      = conn->handler.finished;
  void *ctx = conn->ctx;
  close_socket (conn);
  tcp_conn_unref (conn);
  if (finished != NULL)
    finished (ctx, &remainder);
}

/* Closes the socket and reports ERROR, an errno, to the owner. A connection
   that was being finished has no owner any more and is freed.  */
static void
report_failure (struct tcp_conn *conn, const char *step, int error)
{
  struct err err = { 0 };
  int code = error == ECONNREFUSED ? ERR_UNAVAILABLE
             : error == ETIMEDOUT  ? ERR_TIMEOUT
                                   : ERR_CLOSED;
  err_set (&err, code, step, "", "%s", g_strerror (error));
  void (*failed) (void *, const struct err *) = conn->handler.failed;
  void *ctx = conn->ctx;
  if (conn->finishing)
    {
      release_finished (conn);
      return;
    }
  close_socket (conn);
  if (failed != NULL)
    failed (ctx, &err);
}

/* Returns the bytes that the peer has acknowledged. What the kernel accepts is
   no measure: with a slow peer that does not grow for many seconds.  */
static guint64
bytes_taken (const struct tcp_conn *conn)
{
  int unacknowledged = 0;
  if (ioctl (conn->fd, SIOCOUTQ, &unacknowledged) < 0)
    return conn->sent;
  return conn->sent - MIN (conn->sent, (guint64)MAX (unacknowledged, 0));
}

/* Reports a peer that has acknowledged no output for silence_ms, and lifts the
   kernel's limit while it goes on acknowledging: with a window smaller than a
   segment, TCP_USER_TIMEOUT counts from the first probe even if the peer goes
   on reading.  */
static gboolean
on_silence_check (gpointer data)
{
  struct tcp_conn *conn = data;
  guint64 taken = bytes_taken (conn);
  if (taken == conn->sent)
    set_user_timeout (conn, TRUE);
  if (taken == conn->sent && tcp_conn_queued (conn) == 0)
    {
      conn->silence_timer = 0;
      return G_SOURCE_REMOVE;
    }
  if (taken > conn->taken_before && taken < conn->sent)
    set_user_timeout (conn, FALSE);
  if (taken > conn->taken_before || taken == conn->sent)
    {
      conn->taken_before = taken;
      conn->silent_checks = 0;
      return G_SOURCE_CONTINUE;
    }
  if (++conn->silent_checks == 1 && conn->handler.stalled != NULL)
    conn->handler.stalled (conn->ctx);
  if (conn->silent_checks < SILENCE_CHECKS)
    return G_SOURCE_CONTINUE;
  conn->silence_timer = 0;
  report_failure (conn, "write", ETIMEDOUT);
  return G_SOURCE_REMOVE;
}

/* Starts the silence timer if it is not running. TAKEN: bytes_taken before the
   output that is outstanding now.  */
static void
start_silence_timer (struct tcp_conn *conn, guint64 taken)
{
  if (conn->silence_ms == 0 || conn->silence_timer != 0 || conn->finishing)
    return;
  conn->taken_before = taken;
  conn->silent_checks = 0;
  conn->silence_timer = g_timeout_add (conn->silence_ms / SILENCE_CHECKS,
                                       on_silence_check, conn);
}

static void
flush (struct tcp_conn *conn)
{
  guint64 before = conn->sent;
  while (conn->out_sent < conn->out->len)
    {
      gssize n = send (conn->fd, conn->out->data + conn->out_sent,
                       conn->out->len - conn->out_sent, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (n < 0)
        {
          conn->write_error = errno;
          g_source_set_ready_time (conn->source, 0);
          return;
        }
      conn->out_sent += (gsize)n;
      conn->sent += (guint64)n;
    }
  if (conn->sent > before)
    start_silence_timer (conn, before);
  if (conn->out_sent == conn->out->len)
    {
      g_byte_array_set_size (conn->out, 0);
      conn->out_sent = 0;
      shrink_output (conn);
    }
  else if (conn->out_sent > COMPACT_BYTES)
    {
      g_byte_array_remove_range (conn->out, 0, (guint)conn->out_sent);
      conn->out_sent = 0;
      shrink_output (conn);
    }
}

/* Closes the connection unless the peer has taken output since the timer was
   started.  */
static gboolean
on_linger_timeout (gpointer data)
{
  struct tcp_conn *conn = data;
  guint64 taken = bytes_taken (conn);
  if (taken > conn->taken_before)
    {
      conn->taken_before = taken;
      return G_SOURCE_CONTINUE;
    }
  conn->linger_timer = 0;
  release_finished (conn);
  return G_SOURCE_REMOVE;
}

/* Sends our FIN and discards input until the peer's FIN. Closing the socket
   with unread input would make the kernel reset the connection, and the peer
   could lose the last response.  */
static void
start_linger (struct tcp_conn *conn)
{
  conn->lingering = TRUE;
  shutdown (conn->fd, SHUT_WR);
  if (conn->ended)
    {
      release_finished (conn);
      return;
    }
  conn->paused = FALSE;
  g_clear_handle_id (&conn->linger_timer, g_source_remove);
  conn->taken_before = bytes_taken (conn);
  conn->linger_timer = g_timeout_add (LINGER_MS, on_linger_timeout, conn);
  update_poll_events (conn);
}

static void
on_writable (struct tcp_conn *conn)
{
  flush (conn);
  if (conn->write_error != 0)
    return;
  if (conn->out->len == 0 && conn->finishing && !conn->lingering)
    {
      start_linger (conn);
      return;
    }
  if (conn->out->len == 0 && conn->handler.drained != NULL && !conn->finishing)
    conn->handler.drained (conn->ctx);
}

static void
on_connected (struct tcp_conn *conn)
{
  int error = 0;
  socklen_t n = sizeof error;
  if (getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &n) < 0)
    error = errno;
  if (error != 0)
    {
      report_failure (conn, "connect", error);
      return;
    }
  conn->connecting = FALSE;
  g_clear_handle_id (&conn->connect_timer, g_source_remove);
  if (conn->handler.opened != NULL)
    conn->handler.opened (conn->ctx);
  if (conn->source != NULL)
    flush (conn);
}

/* Reads once. Returns FALSE if nothing has arrived.  */
static gboolean
on_readable (struct tcp_conn *conn)
{
  static char buffer[TCP_CONN_READ_MAX];
  gssize n = recv (conn->fd, buffer, sizeof buffer, 0);
  if (n < 0 && (errno == EINTR || errno == EAGAIN || errno == EWOULDBLOCK))
    return FALSE;
  if (n < 0)
    {
      report_failure (conn, "read", errno);
      return TRUE;
    }
  if (n == 0)
    {
      conn->ended = TRUE;
      if (conn->lingering)
        release_finished (conn);
      else if (conn->handler.ended != NULL && !conn->finishing)
        conn->handler.ended (conn->ctx);
      return TRUE;
    }
  if (conn->finishing)
    {
      conn->discarded += (gsize)n;
      /* Lingering, which resumes reading, ends soon; sending may take long. */
      if (!conn->lingering && conn->discarded > DISCARD_MAX)
        conn->paused = TRUE;
    }
  else if (conn->handler.data != NULL)
    conn->handler.data (conn->ctx, (struct str){ buffer, (gsize)n });
  return TRUE;
}

/* Reports a pending write error. Returns TRUE if there was one; the connection
   must not be used then.  */
static gboolean
report_write_error (struct tcp_conn *conn)
{
  if (conn->write_error == 0)
    return FALSE;
  int error = conn->write_error;
  conn->write_error = 0;
  report_failure (conn, "write", error);
  return TRUE;
}

static gboolean
dispatch (GSource *base, GSourceFunc callback, gpointer data)
{
  (void)callback;
  (void)data;
  struct tcp_conn *conn
      = g_rc_box_acquire (((struct tcp_conn_source *)base)->conn);
  g_source_set_ready_time (base, -1);
  GIOCondition ready = g_source_query_unix_fd (base, conn->poll_tag);
  if (conn->connecting)
    {
      if (ready != 0)
        on_connected (conn);
    }
  else
    {
      /* Read first: data that arrived before a reset is still valid. */
      if ((ready & (G_IO_IN | G_IO_HUP | G_IO_ERR)) && !conn->paused
          && !conn->ended)
        on_readable (conn);
      else if (ready & (G_IO_HUP | G_IO_ERR))
        conn->write_error = ECONNRESET;
      if (conn->source != NULL && (ready & G_IO_OUT) && conn->write_error == 0)
        on_writable (conn);
    }
  if (conn->source != NULL && !report_write_error (conn)
      && conn->source != NULL)
    update_poll_events (conn);
  tcp_conn_unref (conn);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { NULL, NULL, dispatch, NULL };

/* Makes the kernel detect peers that stop responding: by the user timeout while
   data is unacknowledged, else by keep-alive probes.  */
static void
set_silence_timeout (int fd, guint silence_ms)
{
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)silence_ms);
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT,
              MAX (1, (int)silence_ms / 1000 / KEEPALIVE_S));
}

static struct tcp_conn *
new_conn (int fd, const struct tcp_conn_options *options, gboolean connecting)
{
  struct tcp_conn *conn = g_rc_box_new0 (struct tcp_conn);
  conn->fd = fd;
  conn->handler = *options->handler;
  conn->ctx = options->ctx;
  conn->out = g_byte_array_new ();
  conn->silence_ms = options->silence_ms;
  conn->connecting = connecting;
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (options->silence_ms > 0)
    set_silence_timeout (fd, options->silence_ms);
  conn->source = g_source_new (&source_funcs, sizeof (struct tcp_conn_source));
  ((struct tcp_conn_source *)conn->source)->conn = conn;
  conn->poll_tag = g_source_add_unix_fd (conn->source, fd, 0);
  g_source_attach (conn->source, g_main_context_get_thread_default ());
  update_poll_events (conn);
  return conn;
}

static gboolean
on_connect_timeout (gpointer data)
{
  struct tcp_conn *conn = data;
  conn->connect_timer = 0;
  report_failure (conn, "connect", ETIMEDOUT);
  return G_SOURCE_REMOVE;
}

/* Parses "IP:PORT" (IPv4). Returns 0 or ERR_INVALID; ERR may be NULL.  */
int
tcp_address_parse (const char *address, struct sockaddr_in *result,
                   struct err *err)
{
  struct err ignored;
  if (err == NULL)
    err = &ignored;
  const char *colon = strrchr (address, ':');
  guint64 port = 0;
  char ip[INET_ADDRSTRLEN] = "";
  if (colon != NULL && (gsize)(colon - address) < sizeof ip)
    memcpy (ip, address, (gsize)(colon - address));
  *result = (struct sockaddr_in){ .sin_family = AF_INET };
  if (inet_pton (AF_INET, ip, &result->sin_addr) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, 65535, &port, NULL))
    return err_set (err, ERR_INVALID, "net.address", address,
                    "not an IPv4 address with a port");
  result->sin_port = htons ((guint16)port);
  return 0;
}

/* Starts to connect to ADDRESS (IP:PORT). The handler is notified of the result
   from the main loop. Returns NULL and sets ERR if the connect cannot start. */
struct tcp_conn *
tcp_conn_connect (const char *address, const struct tcp_conn_options *options,
                  struct err *err)
{
  struct sockaddr_in to;
  if (tcp_address_parse (address, &to, err) < 0)
    return NULL;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      err_set (err, ERR_LIMIT, "net.socket", address, "%s", g_strerror (errno));
      return NULL;
    }
  if (connect (fd, (struct sockaddr *)&to, sizeof to) < 0
      && errno != EINPROGRESS)
    {
      err_set (err, ERR_UNAVAILABLE, "net.connect", address, "%s",
               g_strerror (errno));
      close (fd);
      return NULL;
    }
  struct tcp_conn *conn = new_conn (fd, options, TRUE);
  if (options->connect_ms > 0)
    conn->connect_timer
        = g_timeout_add (options->connect_ms, on_connect_timeout, conn);
  return conn;
}

/* Makes a connection of the connected, non-blocking socket FD, which it then
   owns.  */
struct tcp_conn *
tcp_conn_adopt (int fd, const struct tcp_conn_options *options)
{
  return new_conn (fd, options, FALSE);
}

/* Replaces the handler and its context.  */
void
tcp_conn_set_handler (struct tcp_conn *conn,
                      const struct tcp_conn_handler *handler, void *ctx)
{
  conn->handler = *handler;
  conn->ctx = ctx;
}

/* Sends N bytes, or queues what the kernel does not accept now.  */
void
tcp_conn_write (struct tcp_conn *conn, const void *bytes, gsize n)
{
  if (conn->source == NULL || conn->finishing || n == 0)
    return;
  g_byte_array_append (conn->out, bytes, (guint)n);
  conn->out_most = MAX (conn->out_most, conn->out->len);
  if (!conn->connecting && conn->write_error == 0)
    flush (conn);
  update_poll_events (conn);
}

/* Reads what has arrived, up to a limit, and calls the handler, which may free
   CONN. Not to be called by a handler of any connection.  */
void
tcp_conn_read_arrived (struct tcp_conn *conn)
{
  g_rc_box_acquire (conn);
  for (guint i = 0;
       i < ARRIVED_READS_MAX && conn->source != NULL && !conn->connecting
       && !conn->paused && !conn->ended && !conn->finishing;
       i++)
    if (!on_readable (conn))
      break;
  if (conn->source != NULL)
    update_poll_events (conn);
  tcp_conn_unref (conn);
}

/* Returns the bytes that the kernel has accepted. The peer may have received up
   to as many.  */
guint64
tcp_conn_sent (const struct tcp_conn *conn)
{
  return conn->sent;
}

/* Stops or resumes reading.  */
void
tcp_conn_pause (struct tcp_conn *conn, gboolean paused)
{
  if (conn->paused == paused)
    return;
  conn->paused = paused;
  update_poll_events (conn);
}

/* Returns whether the socket is open and has no data, FIN or error to be
   read.  */
gboolean
tcp_conn_is_idle (const struct tcp_conn *conn)
{
  char byte;
  if (conn->source == NULL || conn->ended || conn->write_error != 0)
    return FALSE;
  gssize n = recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Returns whether the end of the peer's output has arrived, or the connection
   has failed, although neither may have been read yet. Bytes that have not been
   read either hide it.  */
gboolean
tcp_conn_peer_has_ended (const struct tcp_conn *conn)
{
  char byte;
  if (conn->source == NULL || conn->ended)
    return TRUE;
  gssize n = recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0
         || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK
             && errno != EINTR);
}

/* Copies up to SIZE bytes that have arrived to BUFFER, and leaves them to be
   read. Returns their number.  */
gsize
tcp_conn_peek (const struct tcp_conn *conn, char *buffer, gsize size)
{
  if (conn->source == NULL)
    return 0;
  gssize n = recv (conn->fd, buffer, size, MSG_PEEK | MSG_DONTWAIT);
  return n > 0 ? (gsize)n : 0;
}

/* Closes at once, discarding queued output, and frees the connection.  */
void
tcp_conn_close (struct tcp_conn *conn)
{
  if (conn == NULL)
    return;
  close_socket (conn);
  tcp_conn_unref (conn);
}

/* Closes with a reset and frees the connection. With a FIN instead, the peer
   could take a truncated response without a length for a complete one.  */
void
tcp_conn_reset (struct tcp_conn *conn)
{
  if (conn == NULL)
    return;
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  if (conn->source != NULL
      && setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset) < 0)
    g_debug ("SO_LINGER: %s", g_strerror (errno));
  tcp_conn_close (conn);
}

/* Closes gracefully once the queued output is sent, however long that takes a
   peer that goes on reading. Of the handler only FINISHED is still called,
   perhaps at once; the connection frees itself.  */
void
tcp_conn_finish (struct tcp_conn *conn)
{
  if (conn == NULL)
    return;
  conn->finishing = TRUE;
  g_clear_handle_id (&conn->silence_timer, g_source_remove);
  if (conn->source == NULL || conn->write_error != 0 || conn->connecting)
    {
      release_finished (conn);
      return;
    }
  if (conn->out->len > 0 || bytes_taken (conn) < conn->sent)
    set_user_timeout (conn, FALSE);
  if (conn->out->len == 0)
    {
      start_linger (conn);
      return;
    }
  conn->taken_before = bytes_taken (conn);
  conn->linger_timer = g_timeout_add (FLUSH_STALL_MS, on_linger_timeout, conn);
}
