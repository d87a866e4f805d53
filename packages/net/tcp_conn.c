#define _GNU_SOURCE /* accept4 */
#include "net/tcp_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEEPALIVE_S 1       /* idle time before the first probe, and between */
#define LINGER_MS 2000      /* longest wait for the peer's end after ours */
#define COMPACT_BYTES 65536 /* of sent output before the queue is moved */

struct tcp_conn
{
  GSource *source; /* owned; NULL once closed */
  gpointer tag;    /* of the descriptor in SOURCE */
  int fd;
  struct tcp_conn_handler handler;
  void *ctx;
  GByteArray *out;     /* owned */
  gsize out_sent;      /* bytes of OUT that have left */
  guint64 sent;        /* bytes handed to the kernel in all */
  guint connect_timer; /* GLib source; 0: none */
  guint linger_timer;  /* GLib source; 0: none */
  int broken;          /* errno of a failed write, not yet told; 0: none */
  gboolean connecting;
  gboolean paused;
  gboolean ended;     /* the peer sends no more */
  gboolean finishing; /* closes once the output has left */
  gboolean lingering; /* our end is sent; input is discarded */
};

struct tcp_conn_source
{
  GSource base;
  struct tcp_conn *tcp_conn; /* borrowed */
};

static void
tcp_conn_clear (gpointer data)
{
  struct tcp_conn *tcp_conn = data;
  g_byte_array_unref (tcp_conn->out);
}

static void
tcp_conn_unref (struct tcp_conn *tcp_conn)
{
  g_rc_box_release_full (tcp_conn, tcp_conn_clear);
}

static void
watch (struct tcp_conn *tcp_conn)
{
  if (tcp_conn->source == NULL)
    return;
  GIOCondition wanted = 0;
  if (!tcp_conn->paused && !tcp_conn->ended && !tcp_conn->connecting)
    wanted |= G_IO_IN;
  if (tcp_conn->connecting || tcp_conn->out->len > tcp_conn->out_sent)
    wanted |= G_IO_OUT;
  g_source_modify_unix_fd (tcp_conn->source, tcp_conn->tag, wanted);
}

/* Ends the socket; the memory stays until the last reference goes.  */
static void
release (struct tcp_conn *tcp_conn)
{
  if (tcp_conn->source == NULL)
    return;
  g_clear_handle_id (&tcp_conn->connect_timer, g_source_remove);
  g_clear_handle_id (&tcp_conn->linger_timer, g_source_remove);
  g_source_destroy (tcp_conn->source);
  g_source_unref (tcp_conn->source);
  tcp_conn->source = NULL;
  close (tcp_conn->fd);
  tcp_conn->fd = -1;
}

/* Tells the owner that the connection is of no more use.  */
static void
fail (struct tcp_conn *tcp_conn, const char *step, int error)
{
  struct err err = { 0 };
  int code = error == ECONNREFUSED ? ERR_UNAVAILABLE
             : error == ETIMEDOUT  ? ERR_TIMEOUT
                                   : ERR_CLOSED;
  err_set (&err, code, step, "", "%s", g_strerror (error));
  void (*failed) (void *, const struct err *) = tcp_conn->handler.failed;
  void *ctx = tcp_conn->ctx;
  gboolean tell = !tcp_conn->lingering && !tcp_conn->finishing;
  release (tcp_conn);
  if (tell && failed != NULL)
    failed (ctx, &err);
  else if (!tell)
    tcp_conn_unref (tcp_conn);
}

static void
flush (struct tcp_conn *tcp_conn)
{
  while (tcp_conn->out_sent < tcp_conn->out->len)
    {
      gssize n = send (tcp_conn->fd, tcp_conn->out->data + tcp_conn->out_sent,
                       tcp_conn->out->len - tcp_conn->out_sent, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (n < 0)
        {
          tcp_conn->broken = errno;
          g_source_set_ready_time (tcp_conn->source, 0);
          return;
        }
      tcp_conn->out_sent += (gsize)n;
      tcp_conn->sent += (guint64)n;
    }
  if (tcp_conn->out_sent == tcp_conn->out->len)
    {
      g_byte_array_set_size (tcp_conn->out, 0);
      tcp_conn->out_sent = 0;
    }
  else if (tcp_conn->out_sent > COMPACT_BYTES)
    {
      g_byte_array_remove_range (tcp_conn->out, 0, (guint)tcp_conn->out_sent);
      tcp_conn->out_sent = 0;
    }
}

static gboolean
on_linger_timeout (gpointer data)
{
  struct tcp_conn *tcp_conn = data;
  tcp_conn->linger_timer = 0;
  release (tcp_conn);
  tcp_conn_unref (tcp_conn);
  return G_SOURCE_REMOVE;
}

/* Sends our end and discards input until the peer's, so that the kernel does
   not reset a connection whose last answer is still under way.  */
static void
start_linger (struct tcp_conn *tcp_conn)
{
  tcp_conn->lingering = TRUE;
  shutdown (tcp_conn->fd, SHUT_WR);
  if (tcp_conn->ended)
    {
      release (tcp_conn);
      tcp_conn_unref (tcp_conn);
      return;
    }
  tcp_conn->paused = FALSE;
  if (tcp_conn->linger_timer == 0)
    tcp_conn->linger_timer
        = g_timeout_add (LINGER_MS, on_linger_timeout, tcp_conn);
  watch (tcp_conn);
}

static void
on_writable (struct tcp_conn *tcp_conn)
{
  flush (tcp_conn);
  if (tcp_conn->broken != 0)
    return;
  if (tcp_conn->out->len == 0 && tcp_conn->finishing && !tcp_conn->lingering)
    {
      start_linger (tcp_conn);
      return;
    }
  if (tcp_conn->out->len == 0 && tcp_conn->handler.drained != NULL
      && !tcp_conn->finishing)
    tcp_conn->handler.drained (tcp_conn->ctx);
}

static void
on_connected (struct tcp_conn *tcp_conn)
{
  int error = 0;
  socklen_t n = sizeof error;
  if (getsockopt (tcp_conn->fd, SOL_SOCKET, SO_ERROR, &error, &n) < 0)
    error = errno;
  if (error != 0)
    {
      fail (tcp_conn, "connect", error);
      return;
    }
  tcp_conn->connecting = FALSE;
  g_clear_handle_id (&tcp_conn->connect_timer, g_source_remove);
  if (tcp_conn->handler.opened != NULL)
    tcp_conn->handler.opened (tcp_conn->ctx);
  if (tcp_conn->source != NULL)
    flush (tcp_conn);
}

static void
on_readable (struct tcp_conn *tcp_conn)
{
  static char buffer[TCP_CONN_READ_MAX];
  gssize n = recv (tcp_conn->fd, buffer, sizeof buffer, 0);
  if (n < 0 && (errno == EINTR || errno == EAGAIN || errno == EWOULDBLOCK))
    return;
  if (n < 0)
    {
      fail (tcp_conn, "read", errno);
      return;
    }
  if (n == 0)
    {
      tcp_conn->ended = TRUE;
      if (tcp_conn->lingering)
        {
          release (tcp_conn);
          tcp_conn_unref (tcp_conn);
        }
      else if (tcp_conn->handler.ended != NULL && !tcp_conn->finishing)
        tcp_conn->handler.ended (tcp_conn->ctx);
      return;
    }
  if (!tcp_conn->lingering && !tcp_conn->finishing
      && tcp_conn->handler.data != NULL)
    tcp_conn->handler.data (tcp_conn->ctx, (struct str){ buffer, (gsize)n });
}

/* True if the owner was told of an error, so that nothing may follow.  */
static gboolean
report_broken (struct tcp_conn *tcp_conn)
{
  if (tcp_conn->broken == 0)
    return FALSE;
  int error = tcp_conn->broken;
  tcp_conn->broken = 0;
  fail (tcp_conn, "write", error);
  return TRUE;
}

static gboolean
dispatch (GSource *base, GSourceFunc callback, gpointer data)
{
  (void)callback;
  (void)data;
  struct tcp_conn *tcp_conn
      = g_rc_box_acquire (((struct tcp_conn_source *)base)->tcp_conn);
  g_source_set_ready_time (base, -1);
  GIOCondition seen = g_source_query_unix_fd (base, tcp_conn->tag);
  if (tcp_conn->connecting)
    {
      if (seen != 0)
        on_connected (tcp_conn);
    }
  else
    {
      /* What the peer sent before a reset still counts, so read first. */
      if ((seen & (G_IO_IN | G_IO_HUP | G_IO_ERR)) && !tcp_conn->paused
          && !tcp_conn->ended)
        on_readable (tcp_conn);
      else if (seen & (G_IO_HUP | G_IO_ERR))
        tcp_conn->broken = ECONNRESET;
      if (tcp_conn->source != NULL && (seen & G_IO_OUT)
          && tcp_conn->broken == 0)
        on_writable (tcp_conn);
    }
  if (tcp_conn->source != NULL && !report_broken (tcp_conn)
      && tcp_conn->source != NULL)
    watch (tcp_conn);
  tcp_conn_unref (tcp_conn);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { NULL, NULL, dispatch, NULL };

static void
set_number (int fd, int level, int name, int value)
{
  if (setsockopt (fd, level, name, &value, sizeof value) < 0)
    g_debug ("setsockopt %d: %s", name, g_strerror (errno));
}

/* Makes the kernel notice peers that fall silent: with data under way by the
   user timeout, without by probes.  */
static void
watch_silence (int fd, guint silence_ms)
{
  set_number (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)silence_ms);
  set_number (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_number (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_S);
  set_number (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_S);
  set_number (fd, IPPROTO_TCP, TCP_KEEPCNT,
              MAX (1, (int)silence_ms / 1000 / KEEPALIVE_S));
}

static struct tcp_conn *
new_cnx (int fd, const struct tcp_conn_options *options, gboolean connecting)
{
  struct tcp_conn *tcp_conn = g_rc_box_new0 (struct tcp_conn);
  tcp_conn->fd = fd;
  tcp_conn->handler = *options->handler;
  tcp_conn->ctx = options->ctx;
  tcp_conn->out = g_byte_array_new ();
  tcp_conn->connecting = connecting;
  set_number (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (options->silence_ms > 0)
    watch_silence (fd, options->silence_ms);
  tcp_conn->source
      = g_source_new (&source_funcs, sizeof (struct tcp_conn_source));
  ((struct tcp_conn_source *)tcp_conn->source)->tcp_conn = tcp_conn;
  tcp_conn->tag = g_source_add_unix_fd (tcp_conn->source, fd, 0);
  g_source_attach (tcp_conn->source, g_main_context_get_thread_default ());
  watch (tcp_conn);
  return tcp_conn;
}

static gboolean
on_connect_timeout (gpointer data)
{
  struct tcp_conn *tcp_conn = data;
  tcp_conn->connect_timer = 0;
  fail (tcp_conn, "connect", ETIMEDOUT);
  return G_SOURCE_REMOVE;
}

/* Reads "IP:PORT". Returns 0 or ERR_INVALID.  */
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

/* Starts to connect to ADDRESS (IP:PORT); the handler learns the outcome from
   the loop. Returns NULL with ERR if the connect cannot start.  */
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
  struct tcp_conn *tcp_conn = new_cnx (fd, options, TRUE);
  if (options->connect_ms > 0)
    tcp_conn->connect_timer
        = g_timeout_add (options->connect_ms, on_connect_timeout, tcp_conn);
  return tcp_conn;
}

/* Takes over the connected socket FD.  */
struct tcp_conn *
tcp_conn_adopt (int fd, const struct tcp_conn_options *options)
{
  return new_cnx (fd, options, FALSE);
}

/* Gives the connection to another owner.  */
void
tcp_conn_set_handler (struct tcp_conn *tcp_conn,
                      const struct tcp_conn_handler *handler, void *ctx)
{
  tcp_conn->handler = *handler;
  tcp_conn->ctx = ctx;
}

/* Queues N bytes; what the kernel takes leaves at once.  */
void
tcp_conn_write (struct tcp_conn *tcp_conn, const void *bytes, gsize n)
{
  if (tcp_conn->source == NULL || tcp_conn->finishing || n == 0)
    return;
  g_byte_array_append (tcp_conn->out, bytes, (guint)n);
  if (!tcp_conn->connecting && tcp_conn->broken == 0)
    flush (tcp_conn);
  watch (tcp_conn);
}

/* Bytes that wait for the kernel to take them.  */
gsize
tcp_conn_queued (const struct tcp_conn *tcp_conn)
{
  return tcp_conn->out->len - tcp_conn->out_sent;
}

/* Bytes that the kernel has taken; the peer may have seen as many.  */
guint64
tcp_conn_sent (const struct tcp_conn *tcp_conn)
{
  return tcp_conn->sent;
}

/* Stops or resumes reading.  */
void
tcp_conn_pause (struct tcp_conn *tcp_conn, gboolean paused)
{
  if (tcp_conn->paused == paused)
    return;
  tcp_conn->paused = paused;
  watch (tcp_conn);
}

/* Tells whether nothing has come since the last read: no bytes, no end and no
   error wait in the socket.  */
gboolean
tcp_conn_is_idle (const struct tcp_conn *tcp_conn)
{
  char byte;
  if (tcp_conn->source == NULL || tcp_conn->ended || tcp_conn->broken != 0)
    return FALSE;
  gssize n = recv (tcp_conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Closes at once; what is queued is lost. Frees the connection.  */
void
tcp_conn_close (struct tcp_conn *tcp_conn)
{
  if (tcp_conn == NULL)
    return;
  release (tcp_conn);
  tcp_conn_unref (tcp_conn);
}

/* Closes with a reset, so that the peer cannot take what it has for a whole
   answer. Frees the connection.  */
void
tcp_conn_reset (struct tcp_conn *tcp_conn)
{
  if (tcp_conn == NULL)
    return;
  const struct linger now = { .l_onoff = 1, .l_linger = 0 };
  if (tcp_conn->source != NULL
      && setsockopt (tcp_conn->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now) < 0)
    g_debug ("SO_LINGER: %s", g_strerror (errno));
  tcp_conn_close (tcp_conn);
}

/* Closes in order once all that is queued has left. The handler is not told
   any more; the connection frees itself.  */
void
tcp_conn_finish (struct tcp_conn *tcp_conn)
{
  if (tcp_conn == NULL)
    return;
  if (tcp_conn->source == NULL || tcp_conn->broken != 0 || tcp_conn->connecting)
    {
      tcp_conn_close (tcp_conn);
      return;
    }
  tcp_conn->finishing = TRUE;
  if (tcp_conn->out->len == 0)
    start_linger (tcp_conn);
  else
    tcp_conn->linger_timer
        = g_timeout_add (LINGER_MS, on_linger_timeout, tcp_conn);
}

struct tcp_listener
{
  int fd;
  guint source; /* GLib source */
  tcp_listener_accepted accepted;
  void *ctx;
};

#define ACCEPTS_MAX 64 /* in one turn of the loop, so that others get one */

static gboolean
on_acceptable (gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  struct tcp_listener *listener = data;
  for (guint i = 0; i < ACCEPTS_MAX; i++)
    {
      struct sockaddr_in from = { 0 };
      socklen_t n = sizeof from;
      int client = accept4 (fd, (struct sockaddr *)&from, &n,
                            SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (client < 0)
        break;
      guint32 ip = ntohl (from.sin_addr.s_addr);
      char text[ERR_PEER_MAX];
      g_snprintf (text, sizeof text, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
                  ip >> 8 & 255, ip & 255);
      listener->accepted (listener->ctx, client, text);
    }
  return G_SOURCE_CONTINUE;
}

/* Listens on ADDRESS (IP:PORT; port 0: the kernel's choice).  */
struct tcp_listener *
tcp_listener_new (const char *address, tcp_listener_accepted accepted,
                  void *ctx, struct err *err)
{
  struct sockaddr_in at;
  int fd = -1;
  if (tcp_address_parse (address, &at, err) < 0)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    goto fail;
  set_number (fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) < 0
      || listen (fd, SOMAXCONN) < 0)
    goto fail;
  struct tcp_listener *listener = g_new0 (struct tcp_listener, 1);
  listener->fd = fd;
  listener->accepted = accepted;
  listener->ctx = ctx;
  listener->source = g_unix_fd_add (fd, G_IO_IN, on_acceptable, listener);
  return listener;
fail:
  err_set (err, ERR_IO, "net.listen", address, "%s", g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return NULL;
}

/* The port in use.  */
guint
tcp_listener_port (const struct tcp_listener *listener)
{
  struct sockaddr_in at = { 0 };
  socklen_t n = sizeof at;
  if (getsockname (listener->fd, (struct sockaddr *)&at, &n) < 0)
    return 0;
  return ntohs (at.sin_port);
}

void
tcp_listener_free (struct tcp_listener *listener)
{
  if (listener == NULL)
    return;
  g_source_remove (listener->source);
  close (listener->fd);
  g_free (listener);
}
