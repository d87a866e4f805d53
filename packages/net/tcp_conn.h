/* TCP connections on the thread's main loop. They buffer their output and can
   detect peers that stop responding.  */
#ifndef TCP_CONN_H
#define TCP_CONN_H

#include <glib.h>
#include <netinet/in.h>

#include "base/err.h"
#include "base/str.h"

#define TCP_CONN_READ_MAX (64 * 1024) /* bytes per read */

struct tcp_conn;

/* What was left of a connection when tcp_conn_finish had closed it.  */
struct tcp_conn_remainder
{
  gsize unsent;    /* bytes of output that were dropped */
  gsize discarded; /* bytes of input that arrived after the finish */
};

/* Callbacks of a connection. Each may be NULL and may free the connection.  */
struct tcp_conn_handler
{
  void (*opened) (void *ctx);                /* the connect succeeded */
  void (*data) (void *ctx, struct str data); /* valid during the call */
  void (*ended) (void *ctx);                 /* the peer has sent its FIN */
  /* The connection was refused or reset, or timed out. No callback follows. */
  void (*failed) (void *ctx, const struct err *err);
  void (*drained) (void *ctx); /* the output buffer is empty */
  /* No output was acknowledged for a quarter of silence_ms. Must not free the
     connection. */
  void (*stalled) (void *ctx);
  /* The connection has been closed after tcp_conn_finish, and is being freed.
     This is the only callback after tcp_conn_finish. */
  void (*finished) (void *ctx, const struct tcp_conn_remainder *remainder);
};

struct tcp_conn_options
{
  const struct tcp_conn_handler *handler; /* borrowed, usually static */
  void *ctx;
  /* Longest time without an acknowledgement; 0: the system's. */
  guint silence_ms;
  guint connect_ms; /* connect timeout; 0: the system's */
};

struct tcp_conn *tcp_conn_connect (const char *address,
                                   const struct tcp_conn_options *options,
                                   struct err *err);
struct tcp_conn *tcp_conn_adopt (int fd,
                                 const struct tcp_conn_options *options);
void tcp_conn_set_handler (struct tcp_conn *conn,
                           const struct tcp_conn_handler *handler, void *ctx);
void tcp_conn_write (struct tcp_conn *conn, const void *bytes, gsize n);
gsize tcp_conn_queued (const struct tcp_conn *conn);
gsize tcp_conn_kept (const struct tcp_conn *conn);
void tcp_conn_read_arrived (struct tcp_conn *conn);
guint64 tcp_conn_sent (const struct tcp_conn *conn);
void tcp_conn_pause (struct tcp_conn *conn, gboolean paused);
gboolean tcp_conn_is_idle (const struct tcp_conn *conn);
gboolean tcp_conn_peer_has_ended (const struct tcp_conn *conn);
gsize tcp_conn_peek (const struct tcp_conn *conn, char *buffer, gsize size);
void tcp_conn_close (struct tcp_conn *conn);
void tcp_conn_reset (struct tcp_conn *conn);
void tcp_conn_finish (struct tcp_conn *conn);

int tcp_address_parse (const char *address, struct sockaddr_in *result,
                       struct err *err);

#endif
