#include "net/udp.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/socket.h>
#include <string.h>
#include <unistd.h>

#include "net/tcp_conn.h"

/* Per main loop iteration, so that other sources run. */
#define RECEIVES_MAX 64

struct udp
{
  int fd;
  guint source; /* GLib source */
  udp_received received;
  void *ctx;
};

static gboolean
on_readable (gint fd, GIOCondition condition, gpointer data)
{
  static char buffer[UDP_DATAGRAM_MAX];
  struct udp *udp = data;
  (void)condition;
  for (guint i = 0; i < RECEIVES_MAX; i++)
    {
      struct sockaddr_in from = { 0 };
      socklen_t length = sizeof from;
      gssize n = recvfrom (fd, buffer, sizeof buffer, 0,
                           (struct sockaddr *)&from, &length);
      if (n < 0)
        break;
      udp->received (udp->ctx, ntohl (from.sin_addr.s_addr),
                     (struct str){ buffer, (gsize)n });
    }
  return G_SOURCE_CONTINUE;
}

/* Opens a socket bound to ADDRESS (IP:PORT; with port 0 the kernel chooses
   one). Returns NULL and sets ERR if it cannot.  */
struct udp *
udp_new (const char *address, udp_received received, void *ctx, struct err *err)
{
  struct sockaddr_in at;
  if (tcp_address_parse (address, &at, err) < 0)
    return NULL;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&at, sizeof at) < 0)
    {
      err_set (err, ERR_IO, "net.datagrams", address, "%s", g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  struct udp *udp = g_new0 (struct udp, 1);
  udp->fd = fd;
  udp->received = received;
  udp->ctx = ctx;
  udp->source = g_unix_fd_add (fd, G_IO_IN, on_readable, udp);
  return udp;
}

void
udp_free (struct udp *udp)
{
  if (udp == NULL)
    return;
  g_source_remove (udp->source);
  close (udp->fd);
  g_free (udp);
}

/* Sends BYTES as one datagram to IP (host byte order). A datagram that the
   kernel does not accept at once is dropped. Returns 0 or ERR_IO.  */
int
udp_send (struct udp *udp, guint32 ip, guint port, struct str bytes)
{
  const struct sockaddr_in to = { .sin_family = AF_INET,
                                  .sin_port = htons ((guint16)port),
                                  .sin_addr.s_addr = htonl (ip) };
  gssize n = sendto (udp->fd, bytes.p, bytes.n, MSG_DONTWAIT,
                     (const struct sockaddr *)&to, sizeof to);
  return n < 0 ? ERR_IO : 0;
}

guint
udp_port (const struct udp *udp)
{
  struct sockaddr_in at = { 0 };
  socklen_t n = sizeof at;
  if (getsockname (udp->fd, (struct sockaddr *)&at, &n) < 0)
    return 0;
  return ntohs (at.sin_port);
}

/* Parses an IPv4 address into IP (host byte order); a ":PORT" after it is
   ignored.  */
gboolean
udp_ip_parse (const char *text, guint32 *ip)
{
  struct sockaddr_in at;
  char *address
      = strchr (text, ':') ? g_strdup (text) : g_strdup_printf ("%s:1", text);
  gboolean ok = tcp_address_parse (address, &at, NULL) == 0;
  g_free (address);
  if (ok)
    *ip = ntohl (at.sin_addr.s_addr);
  return ok;
}
