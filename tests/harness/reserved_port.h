/* A port of loopback that no other process gets while a server of a test is
   down: its requests would reach a server of another test.  */
#ifndef RESERVED_PORT_H
#define RESERVED_PORT_H

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Binds a socket, which does not listen, to a port and returns the port. FD,
   which the caller closes, holds it; a listener can share it.  */
static inline guint
reserved_port_open (int *fd)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t size = sizeof at;
  int reuse = 1;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (*fd < 0
      || setsockopt (*fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse) < 0
      || bind (*fd, (struct sockaddr *)&at, sizeof at) < 0
      || getsockname (*fd, (struct sockaddr *)&at, &size) < 0)
    g_error ("reserve a port: %s", g_strerror (errno));
  return ntohs (at.sin_port);
}

#endif
