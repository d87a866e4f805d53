/* Test fixture: a peer on loopback that answers the first bytes of each
   connection with a beginning and then sends a piece again and again, until the
   other side closes. Without a piece it answers each request.  */
#ifndef ENDLESS_PEER_H
#define ENDLESS_PEER_H

#include "unit/unit.h"

#include <string.h>

#include "base/clock.h"
#include "net/tcp_conn.h"
#include "net/tcp_listener.h"

/* Not every test program uses every function. */
#pragma GCC diagnostic ignored "-Wunused-function"

#define ENDLESS_DRIP_MS 10 /* between two pieces of a slow peer */
/* Bytes that the kernel takes for a connection that is not read. */
#define ENDLESS_KERNEL_MAX (12 * 1024 * 1024)

struct endless_peer
{
  struct tcp_listener *listener;
  char address[ERR_PEER_MAX];
  const char *beginning;
  struct str piece;  /* empty: none follows */
  gboolean drips;    /* sends the piece every ENDLESS_DRIP_MS, else as fast as
                        it is read */
  GPtrArray *conns;  /* of struct endless_conn, owned */
  guint connections; /* accepted */
  guint closed;      /* by the other side */
  guint requests;    /* reads that brought bytes */
  guint64 sent;      /* bytes on closed connections */
};

struct endless_conn
{
  struct endless_peer *peer;
  struct tcp_conn *tcp_conn;
  guint timer;
  gboolean begun;
};

static void
endless_conn_free (gpointer data)
{
  struct endless_conn *conn = data;
  g_clear_handle_id (&conn->timer, g_source_remove);
  tcp_conn_close (conn->tcp_conn);
  g_free (conn);
}

static gboolean
endless_on_drip (gpointer data)
{
  struct endless_conn *conn = data;
  tcp_conn_write (conn->tcp_conn, conn->peer->piece.p, conn->peer->piece.n);
  return G_SOURCE_CONTINUE;
}

/* Writes pieces until the kernel takes no more; drained follows.  */
static void
endless_flood (struct endless_conn *conn)
{
  const struct str piece = conn->peer->piece;
  for (gsize n = 0; piece.n > 0 && tcp_conn_queued (conn->tcp_conn) == 0
                    && n < ENDLESS_KERNEL_MAX;
       n += piece.n)
    tcp_conn_write (conn->tcp_conn, piece.p, piece.n);
}

static void
endless_on_drained (void *ctx)
{
  struct endless_conn *conn = ctx;
  if (conn->begun && !conn->peer->drips)
    endless_flood (conn);
}

static void
endless_on_data (void *ctx, struct str data)
{
  struct endless_conn *conn = ctx;
  struct endless_peer *peer = conn->peer;
  (void)data;
  peer->requests++;
  if (conn->begun && peer->piece.n > 0)
    return;
  conn->begun = TRUE;
  tcp_conn_write (conn->tcp_conn, peer->beginning, strlen (peer->beginning));
  if (peer->drips)
    conn->timer = g_timeout_add (ENDLESS_DRIP_MS, endless_on_drip, conn);
  else
    endless_flood (conn);
}

static void
endless_on_closed (void *ctx)
{
  struct endless_conn *conn = ctx;
  conn->peer->closed++;
  conn->peer->sent += tcp_conn_sent (conn->tcp_conn);
  g_ptr_array_remove_fast (conn->peer->conns, conn);
}

static void
endless_on_failed (void *ctx, const struct err *err)
{
  (void)err;
  endless_on_closed (ctx);
}

static const struct tcp_conn_handler endless_conn_handler
    = { .data = endless_on_data,
        .ended = endless_on_closed,
        .failed = endless_on_failed,
        .drained = endless_on_drained };

static void
endless_on_accepted (void *ctx, int fd, const char *from)
{
  struct endless_peer *peer = ctx;
  struct endless_conn *conn = g_new0 (struct endless_conn, 1);
  const struct tcp_conn_options options
      = { .handler = &endless_conn_handler, .ctx = conn };
  (void)from;
  peer->connections++;
  conn->peer = peer;
  conn->tcp_conn = tcp_conn_adopt (fd, &options);
  g_ptr_array_add (peer->conns, conn);
}

static void
endless_peer_start (struct endless_peer *peer, const char *beginning,
                    struct str piece, gboolean drips)
{
  struct err err = { 0 };
  *peer = (struct endless_peer){ .beginning = beginning,
                                 .piece = piece,
                                 .drips = drips };
  peer->conns = g_ptr_array_new_with_free_func (endless_conn_free);
  peer->listener
      = tcp_listener_new ("127.0.0.1:0", endless_on_accepted, peer, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (peer->listener);
  g_snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u",
              tcp_listener_port (peer->listener));
}

static void
endless_peer_stop (struct endless_peer *peer)
{
  g_ptr_array_unref (peer->conns);
  tcp_listener_free (peer->listener);
}

/* Returns the bytes that the kernel has taken from the peer.  */
static guint64
endless_peer_sent (const struct endless_peer *peer)
{
  guint64 sent = peer->sent;
  for (guint i = 0; i < peer->conns->len; i++)
    sent += tcp_conn_sent (
        ((struct endless_conn *)g_ptr_array_index (peer->conns, i))->tcp_conn);
  return sent;
}

static gboolean
endless_on_tick (gpointer data)
{
  (void)data;
  return G_SOURCE_CONTINUE;
}

/* Runs the main loop until *COUNT is at least N, for MS at most. Returns
   whether it is.  */
static gboolean
endless_wait (const guint *count, guint n, gint64 ms)
{
  gint64 end = g_get_monotonic_time () + ms * CLK_MS;
  guint tick = g_timeout_add (ENDLESS_DRIP_MS, endless_on_tick, NULL);
  while (*count < n && g_get_monotonic_time () < end)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (tick);
  return *count >= n;
}

#endif
