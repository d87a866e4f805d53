/* Connections of clients that are being closed. They belong to no request any
   more, but a shutdown waits for them, so that the last responses arrive.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

struct closing_connection
{
  struct reverse_proxy *reverse_proxy;
  struct tcp_conn *tcp_conn; /* frees itself after on_finished */
  GList link;
  char peer[ERR_PEER_MAX]; /* IP number, for the log */
};

static void
closing_free (struct closing_connection *closing)
{
  g_queue_unlink (&closing->reverse_proxy->closing, &closing->link);
  g_free (closing);
}

static void
on_finished (void *ctx, const struct tcp_conn_remainder *remainder)
{
  struct closing_connection *closing = ctx;
  if (remainder->unsent > 0)
    counter_add (closing->reverse_proxy->options.counter_set, COUNTER_UNSENT,
                 1);
  if (remainder->unsent > 0 || remainder->discarded > 0)
    log_write (&(struct log_entry){ .level = LOG_INFO,
                                    .event = "client.closed",
                                    .peer = closing->peer },
               "unsent=%" G_GSIZE_FORMAT " discarded=%" G_GSIZE_FORMAT,
               remainder->unsent, remainder->discarded);
  closing_free (closing);
}

static const struct tcp_conn_handler handler = { .finished = on_finished };

/* Closes TCP_CONN, which it takes over, once its output has been sent.  */
void
closing_start (struct reverse_proxy *reverse_proxy, struct tcp_conn *tcp_conn,
               const char *peer)
{
  struct closing_connection *closing = g_new0 (struct closing_connection, 1);
  closing->reverse_proxy = reverse_proxy;
  closing->tcp_conn = tcp_conn;
  g_strlcpy (closing->peer, peer, sizeof closing->peer);
  closing->link.data = closing;
  g_queue_push_tail_link (&reverse_proxy->closing, &closing->link);
  tcp_conn_set_handler (tcp_conn, &handler, closing);
  tcp_conn_finish (tcp_conn);
}

/* Closes all of them at once.  */
void
closing_free_all (struct reverse_proxy *reverse_proxy)
{
  while (reverse_proxy->closing.head != NULL)
    {
      struct closing_connection *closing = reverse_proxy->closing.head->data;
      tcp_conn_close (closing->tcp_conn);
      closing_free (closing);
    }
}
