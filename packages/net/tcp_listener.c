#define _GNU_SOURCE /* accept4 */
#include "net/tcp_listener.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/tcp_conn.h"

#define ACCEPTS_MAX                                                            \
  64 /* per main loop iteration, so that other sources run                     \
      */

struct tcp_listener
{
  int fd;
  guint source; /* GLib source */
  tcp_listener_accepted accepted;
  void *ctx;
};

/* Accepts the next connection of the kernel's queue. Returns FALSE if there is
   none, or no descriptor for it.  */
static gboolean
accept_one (struct tcp_listener *listener)
{
  struct sockaddr_in from = { 0 };
  socklen_t n = sizeof from;
  int client = accept4 (listener->fd, (struct sockaddr *)&from, &n,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0)
    return errno == ECONNABORTED || errno == EINTR;
  guint32 ip = ntohl (from.sin_addr.s_addr);
  char text[ERR_PEER_MAX];
  g_snprintf (text, sizeof text, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
              ip >> 8 & 255, ip & 255);
  listener->accepted (listener->ctx, client, text);
  return TRUE;
}

static gboolean
on_acceptable (gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  for (guint i = 0; i < ACCEPTS_MAX && accept_one (data); i++)
    ;
  return G_SOURCE_CONTINUE;
}

/* Accepts all connections that the kernel has queued. To be called before the
   listener is freed: freeing it resets those that are left.  */
void
tcp_listener_accept_pending (struct tcp_listener *listener)
{
  while (accept_one (listener))
    ;
}

/* Listens on ADDRESS (IP:PORT; with port 0 the kernel chooses one). Returns
   NULL and sets ERR if it cannot.  */
struct tcp_listener *
tcp_listener_new (const char *address, tcp_listener_accepted accepted,
                  void *ctx, struct err *err)
{
  const int reuse = 1;
  struct sockaddr_in at;
  int fd = -1;
  if (tcp_address_parse (address, &at, err) < 0)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    goto fail;
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse) < 0)
    g_debug ("SO_REUSEADDR: %s", g_strerror (errno));
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

/* Returns the port that the listener is bound to, or 0 on failure.  */
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
