/* Connections of clients that are being closed. They belong to no request any
   more, but a shutdown waits for them, so that the last responses arrive.  */
#include "gate/reverse_proxy_internal.h"

#include "base/log.h"

#define OUTPUT_MAX                                                             \
  (16 * 1024 * 1024) /* bytes queued for all of them; beyond it the oldest are \
                        closed at once */

struct closing_connection
{
  struct reverse_proxy *reverse_proxy;
  struct tcp_conn *tcp_conn; /* frees itself after on_finished */
  GList link;
  struct memory_owner memory;
  char peer[ERR_PEER_MAX]; /* IP number, for the log */
};

static void
closing_free (struct closing_connection *closing)
{
  memory_relief_remove (closing->reverse_proxy, &closing->memory);
  g_queue_unlink (&closing->reverse_proxy->closing, &closing->link);
  g_free (closing);
}

static void
log_closed (const struct closing_connection *closing,
            const struct tcp_conn_remainder *remainder)
{
  if (remainder->unsent > 0)
    counter_add (closing->reverse_proxy->options.counter_set, COUNTER_UNSENT,
                 1);
  if (remainder->unsent > 0 || remainder->discarded > 0)
    log_write (&(struct log_entry){ .level = LOG_INFO,
                                    .event = "client.closed",
                                    .peer = closing->peer },
               "unsent=%" G_GSIZE_FORMAT " discarded=%" G_GSIZE_FORMAT,
               remainder->unsent, remainder->discarded);
}

static void
on_finished (void *ctx, const struct tcp_conn_remainder *remainder)
{
  struct closing_connection *closing = ctx;
  log_closed (closing, remainder);
  closing_free (closing);
}

static void
close_at_once (struct closing_connection *closing)
{
  const struct tcp_conn_remainder remainder
      = { .unsent = tcp_conn_queued (closing->tcp_conn) };
  log_closed (closing, &remainder);
  tcp_conn_close (closing->tcp_conn);
  closing_free (closing);
}

struct tcp_conn *
closing_tcp_conn (const struct closing_connection *closing)
{
  return closing->tcp_conn;
}

/* Closes the connection at once, to free the memory of its output.  */
void
closing_drop (struct closing_connection *closing)
{
  close_at_once (closing);
}

/* Closes connections with queued output, the oldest first, until OUTPUT_MAX is
   kept.  */
static void
limit_output (struct reverse_proxy *reverse_proxy)
{
  gsize queued = 0;
  for (GList *link = reverse_proxy->closing.head; link != NULL;
       link = link->next)
    queued += tcp_conn_queued (
        ((struct closing_connection *)link->data)->tcp_conn);
  for (GList *link = reverse_proxy->closing.head, *next;
       link != NULL && queued > OUTPUT_MAX; link = next)
    {
      struct closing_connection *closing = link->data;
      gsize n = tcp_conn_queued (closing->tcp_conn);
      next = link->next;
      if (n == 0)
        continue;
      queued -= n;
      close_at_once (closing);
    }
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
  closing->memory.closing = closing;
  memory_relief_add (reverse_proxy, &closing->memory);
  tcp_conn_set_handler (tcp_conn, &handler, closing);
  gboolean has_output = tcp_conn_queued (tcp_conn) > 0;
  tcp_conn_finish (tcp_conn);
  if (has_output)
    limit_output (reverse_proxy);
}

/* Closes all of them at once.  */
void
closing_free_all (struct reverse_proxy *reverse_proxy)
{
  for (GList *link = reverse_proxy->closing.head, *next; link != NULL;
       link = next)
    {
      next = link->next;
      close_at_once (link->data);
    }
}
