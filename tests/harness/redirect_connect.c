/* Preloaded into an instance, so that a test can cut the way of one instance to
   the backend servers: connections to a port that the file named by
   JW_REDIRECTS lists go to another port. A line has the two port numbers.  */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>

/* Returns the port to which connections to PORT go.  */
static unsigned
redirected (unsigned port)
{
  const char *path = getenv ("JW_REDIRECTS");
  FILE *file = path != NULL ? fopen (path, "re") : NULL;
  unsigned from;
  unsigned to;
  unsigned result = port;
  if (file == NULL)
    return port;
  while (fscanf (file, "%u %u", &from, &to) == 2)
    if (from == port)
      result = to;
  fclose (file);
  return result;
}

int redirect_connect (int fd, const struct sockaddr *address,
                      socklen_t size) __asm__("connect");

int
redirect_connect (int fd, const struct sockaddr *address, socklen_t size)
{
  static int (*real) (int, const struct sockaddr *, socklen_t);
  struct sockaddr_in changed;
  if (real == NULL)
    *(void **)&real = dlsym (RTLD_NEXT, "connect");
  if (address->sa_family != AF_INET || size < sizeof changed)
    return real (fd, address, size);
  changed = *(const struct sockaddr_in *)(const void *)address;
  changed.sin_port = htons ((in_port_t)redirected (ntohs (changed.sin_port)));
  return real (fd, (struct sockaddr *)&changed, sizeof changed);
}
