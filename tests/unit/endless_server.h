/* A backend server that sends bytes without end, as fast as they are taken or a
   piece at a time. It runs in a thread of its own, so that its speed does not
   depend on the main loop under test. Include after proxy_fixture.h.  */
#ifndef ENDLESS_SERVER_H
#define ENDLESS_SERVER_H

#include <poll.h>
#include <unistd.h>

#define ENDLESS_BUFFER_BYTES (64 * 1024) /* of the socket, and of one write */
#define ENDLESS_POLL_MS 20               /* until a stop is noticed */
#define ENDLESS_HEAD_MAX 8192            /* bytes of a request */

/* What such a server sends after a request. "%I" is the id of the request.  */
struct endless_reply
{
  const char *begin;
  guint pause_ms; /* after BEGIN */
  const char *repeated;
  guint piece_pause_ms; /* after each REPEATED; 0: none, and many in a write */
};

struct endless_server
{
  const struct endless_reply *reply;
  int fd; /* listens */
  GThread *thread;
  gint stop;        /* atomic */
  gint connections; /* atomic: with a request */
  gint closed;      /* atomic: of these, closed by the proxy */
  gint kilobytes;   /* atomic: sent on all connections */
};

/* Reads a request. Returns its id, NULL if the connection has closed.  */
static char *
endless_read_request (int fd)
{
  char text[ENDLESS_HEAD_MAX + 1];
  gsize n = 0;
  const char *end = NULL;
  while (n < ENDLESS_HEAD_MAX && end == NULL)
    {
      gssize got = recv (fd, text + n, ENDLESS_HEAD_MAX - n, 0);
      if (got <= 0)
        return NULL;
      n += (gsize)got;
      text[n] = '\0';
      end = strstr (text, "\r\n\r\n");
    }
  const char *id = strstr (text, "X-Request-Id: ");
  if (end == NULL || id == NULL)
    return NULL;
  id += strlen ("X-Request-Id: ");
  return g_strndup (id, (gsize)(strchr (id, '\r') - id));
}

/* Sends TEXT. Returns FALSE if the connection has closed or the server is to
   stop.  */
static gboolean
endless_send (struct endless_server *server, int fd, struct str text)
{
  while (text.n > 0)
    {
      struct pollfd wait = { .fd = fd, .events = POLLOUT };
      if (g_atomic_int_get (&server->stop))
        return FALSE;
      if (poll (&wait, 1, ENDLESS_POLL_MS) == 0)
        continue;
      gssize n = send (fd, text.p, text.n, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN)
        {
          g_atomic_int_inc (&server->closed);
          return FALSE;
        }
      text.p += MAX (n, 0);
      text.n -= (gsize)MAX (n, 0);
    }
  return TRUE;
}

static void
endless_serve (struct endless_server *server, int fd)
{
  const struct endless_reply *reply = server->reply;
  char *id = endless_read_request (fd);
  if (id == NULL)
    return;
  g_atomic_int_inc (&server->connections);
  char **parts = g_strsplit (reply->begin, "%I", -1);
  char *begin = g_strjoinv (id, parts);
  GString *piece = g_string_new (reply->repeated);
  while (reply->piece_pause_ms == 0 && piece->len < ENDLESS_BUFFER_BYTES)
    g_string_append (piece, reply->repeated);
  gboolean open = endless_send (server, fd, str_of (begin));
  g_usleep (reply->pause_ms * 1000);
  for (gsize sent = 0; open; sent += piece->len)
    {
      open = endless_send (server, fd, (struct str){ piece->str, piece->len });
      g_atomic_int_set (&server->kilobytes, (gint)(sent / 1024));
      g_usleep (reply->piece_pause_ms * 1000);
    }
  g_string_free (piece, TRUE);
  g_free (begin);
  g_strfreev (parts);
  g_free (id);
}

static gpointer
endless_run (gpointer data)
{
  struct endless_server *server = data;
  while (!g_atomic_int_get (&server->stop))
    {
      struct pollfd wait = { .fd = server->fd, .events = POLLIN };
      if (poll (&wait, 1, ENDLESS_POLL_MS) <= 0)
        continue;
      int fd = accept (server->fd, NULL, NULL);
      if (fd < 0)
        continue;
      endless_serve (server, fd);
      close (fd);
    }
  return NULL;
}

/* Starts SERVER in place of the fixture's server AT, which must not be listed
   yet.  */
static void
endless_start (struct endless_server *server, const struct endless_reply *reply,
               guint at)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t n = sizeof address;
  const int bytes = ENDLESS_BUFFER_BYTES;
  *server = (struct endless_server){ .reply = reply };
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL_FATAL (
      bind (server->fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (server->fd, SOMAXCONN), 0);
  CU_ASSERT_EQUAL_FATAL (
      getsockname (server->fd, (struct sockaddr *)&address, &n), 0);
  g_snprintf (proxy_test.servers[at].address,
              sizeof proxy_test.servers[at].address, "127.0.0.1:%u",
              ntohs (address.sin_port));
  server->thread = g_thread_new ("endless", endless_run, server);
}

static void
endless_stop (struct endless_server *server)
{
  g_atomic_int_set (&server->stop, 1);
  g_thread_join (server->thread);
  close (server->fd);
}

#endif
