/* TCP connections and listeners on the thread's main loop. Connections queue
   what is written, and notice peers that fall silent.  */
#ifndef TCP_CONN_H
#define TCP_CONN_H

#include <glib.h>
#include <netinet/in.h>

#include "base/err.h"
#include "base/str.h"

#define TCP_CONN_READ_MAX                                                      \
  (64 * 1024) /* bytes taken from a socket at a time                           \
               */

struct tcp_conn;

/* What the owner is told. Each may free the connection. NULL: not told.  */
struct tcp_conn_handler
{
  void (*opened) (void *ctx);                /* the connect has succeeded */
  void (*data) (void *ctx, struct str data); /* borrowed for the call */
  void (*ended) (void *ctx);                 /* the peer sends no more */
  /* Refused, reset or silent; comes once, then nothing else. */
  void (*failed) (void *ctx, const struct err *err);
  void (*drained) (void *ctx); /* all that was written has left */
};

struct tcp_conn_options
{
  const struct tcp_conn_handler *handler; /* borrowed, usually static */
  void *ctx;
  guint silence_ms; /* longest time without an acknowledgement; 0: system's */
  guint connect_ms; /* longest connect; 0: system's */
};

struct tcp_conn *tcp_conn_connect (const char *address,
                                   const struct tcp_conn_options *options,
                                   struct err *err);
struct tcp_conn *tcp_conn_adopt (int fd,
                                 const struct tcp_conn_options *options);
void tcp_conn_set_handler (struct tcp_conn *tcp_conn,
                           const struct tcp_conn_handler *handler, void *ctx);
void tcp_conn_write (struct tcp_conn *tcp_conn, const void *bytes, gsize n);
gsize tcp_conn_queued (const struct tcp_conn *tcp_conn);
guint64 tcp_conn_sent (const struct tcp_conn *tcp_conn);
void tcp_conn_pause (struct tcp_conn *tcp_conn, gboolean paused);
gboolean tcp_conn_is_idle (const struct tcp_conn *tcp_conn);
void tcp_conn_close (struct tcp_conn *tcp_conn);
void tcp_conn_reset (struct tcp_conn *tcp_conn);
void tcp_conn_finish (struct tcp_conn *tcp_conn);

struct tcp_listener;

/* Takes over the accepted socket FD; PEER is its IP number.  */
typedef void (*tcp_listener_accepted) (void *ctx, int fd, const char *peer);

struct tcp_listener *tcp_listener_new (const char *address,
                                       tcp_listener_accepted accepted,
                                       void *ctx, struct err *err);
guint tcp_listener_port (const struct tcp_listener *listener);
void tcp_listener_free (struct tcp_listener *listener);

int tcp_address_parse (const char *address, struct sockaddr_in *result,
                       struct err *err);

#endif
