/* Kept connections to backend servers. The newest is used first; one on which
   anything comes while it is idle belongs to nobody and is closed.  */
#include "gate/gat_int.h"

#define IDLE_MAX 32 /* kept connections of one server */

struct idle
{
  struct bkp *bkp;
  GQueue *queue; /* the server's, borrowed */
  GList link;
  struct tcp_conn *tcp_conn; /* owned */
  gint64 since;              /* clock time */
  gint64 until;              /* clock time at which the server may close it */
};

struct bkp
{
  const struct clk *clk;
  GHashTable *servers; /* number: GQueue of struct idle, owned */
};

static void
idle_free (struct idle *idle)
{
  g_queue_unlink (idle->queue, &idle->link);
  tcp_conn_close (idle->tcp_conn);
  g_free (idle);
}

static void
queue_free (gpointer data)
{
  GQueue *queue = data;
  struct idle *idle;
  while ((idle = g_queue_peek_head (queue)) != NULL)
    idle_free (idle);
  g_queue_free (queue);
}

struct bkp *
bkp_new (const struct clk *clk)
{
  struct bkp *bkp = g_new0 (struct bkp, 1);
  bkp->clk = clk;
  bkp->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, queue_free);
  return bkp;
}

void
bkp_free (struct bkp *bkp)
{
  if (bkp == NULL)
    return;
  g_hash_table_unref (bkp->servers);
  g_free (bkp);
}

static void
on_data (void *ctx, struct str data)
{
  (void)data;
  idle_free (ctx);
}

static void
on_ended (void *ctx)
{
  idle_free (ctx);
}

static void
on_failed (void *ctx, const struct err *err)
{
  (void)err;
  idle_free (ctx);
}

static const struct tcp_conn_handler waiting
    = { .data = on_data, .ended = on_ended, .failed = on_failed };

static GQueue *
queue_of (const struct bkp *bkp, const struct flt_server *server)
{
  return g_hash_table_lookup (bkp->servers, GUINT_TO_POINTER (server->number));
}

/* Takes a connection to SERVER that has been idle for IDLE_MAX_US at most.
   Returns NULL if there is none; else the caller owns it and sets its
   handler.  */
struct tcp_conn *
bkp_take (struct bkp *bkp, const struct flt_server *server, gint64 idle_max_us)
{
  GQueue *queue = queue_of (bkp, server);
  gint64 now = clk_now (bkp->clk);
  struct idle *idle;
  while (queue != NULL && (idle = g_queue_peek_head (queue)) != NULL)
    {
      if (now >= idle->until || !tcp_conn_is_idle (idle->tcp_conn))
        {
          idle_free (idle);
          continue;
        }
      if (now - idle->since > idle_max_us)
        return NULL; /* those behind it are older */
      struct tcp_conn *tcp_conn = g_steal_pointer (&idle->tcp_conn);
      idle_free (idle);
      return tcp_conn;
    }
  return NULL;
}

/* Keeps CNX, whose server closes it after KEEP_US without a request. Takes
   the connection over.  */
void
bkp_put (struct bkp *bkp, const struct flt_server *server,
         struct tcp_conn *tcp_conn, gint64 keep_us)
{
  GQueue *queue = queue_of (bkp, server);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (bkp->servers, GUINT_TO_POINTER (server->number),
                           queue);
    }
  if (keep_us <= 0 || queue->length >= IDLE_MAX || server->state == FLT_GONE)
    {
      tcp_conn_close (tcp_conn);
      return;
    }
  struct idle *idle = g_new0 (struct idle, 1);
  idle->bkp = bkp;
  idle->queue = queue;
  idle->tcp_conn = tcp_conn;
  idle->since = clk_now (bkp->clk);
  idle->until = idle->since + keep_us;
  idle->link.data = idle;
  g_queue_push_head_link (queue, &idle->link);
  tcp_conn_set_handler (tcp_conn, &waiting, idle);
  tcp_conn_pause (tcp_conn, FALSE);
}

/* Closes the kept connections of SERVER.  */
void
bkp_drop (struct bkp *bkp, const struct flt_server *server)
{
  g_hash_table_remove (bkp->servers, GUINT_TO_POINTER (server->number));
}

/* Counts the kept connections.  */
guint
bkp_idle (const struct bkp *bkp)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer queue;
  g_hash_table_iter_init (&iter, bkp->servers);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    n += ((GQueue *)queue)->length;
  return n;
}
