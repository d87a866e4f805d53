#include "soak/sok_proxy.h"

#include "net/tcp_conn.h"

#define DELAY_MS 80

struct side
{
  struct pair *pair;
  struct tcp_conn *tcp_conn; /* owned; NULL once it has ended */
  GByteArray *held;          /* bytes for the other side */
  gboolean ends;             /* the other side is to end after HELD */
  guint timer;               /* GLib source of a delayed flush; 0: none */
  struct side *other;
};

struct pair
{
  struct sok_proxy *proxy;
  struct side caller;
  struct side server;
};

struct sok_proxy
{
  char *target;
  struct tcp_listener *listener;
  GPtrArray *pairs; /* of struct pair, owned */
  enum sok_fault fault;
};

static const char *const names[] = {
#define SOK_FAULT_NAME(id, name) name,
  SOK_FAULTS (SOK_FAULT_NAME)
#undef SOK_FAULT_NAME
};

const char *
sok_fault_name (enum sok_fault fault)
{
  return names[fault];
}

static void
side_clear (struct side *side)
{
  g_clear_handle_id (&side->timer, g_source_remove);
  tcp_conn_reset (g_steal_pointer (&side->tcp_conn));
  g_byte_array_unref (side->held);
}

static void
pair_free (gpointer data)
{
  struct pair *pair = data;
  side_clear (&pair->caller);
  side_clear (&pair->server);
  g_free (pair);
}

static gboolean
is_held (const struct side *side)
{
  enum sok_fault fault = side->pair->proxy->fault;
  return fault == SOK_SILENT
         || (fault == SOK_ONE_WAY && side == &side->pair->server);
}

static void
flush (struct side *side)
{
  struct tcp_conn *to = side->other->tcp_conn;
  if (is_held (side))
    return;
  if (to != NULL)
    tcp_conn_write (to, side->held->data, side->held->len);
  g_byte_array_set_size (side->held, 0);
  if (!side->ends)
    return;
  if (to != NULL)
    tcp_conn_finish (g_steal_pointer (&side->other->tcp_conn));
  if (side->tcp_conn == NULL && side->other->tcp_conn == NULL)
    g_ptr_array_remove_fast (side->pair->proxy->pairs, side->pair);
}

static gboolean
on_delay (gpointer data)
{
  struct side *side = data;
  side->timer = 0;
  flush (side);
  return G_SOURCE_REMOVE;
}

static void
pass (struct side *side)
{
  if (side->pair->proxy->fault != SOK_DELAY)
    flush (side);
  else if (side->timer == 0)
    side->timer = g_timeout_add (DELAY_MS, on_delay, side);
}

static void
on_data (void *ctx, struct str data)
{
  struct side *side = ctx;
  g_byte_array_append (side->held, (const guint8 *)data.p, (guint)data.n);
  pass (side);
}

static void
on_ended (void *ctx)
{
  struct side *side = ctx;
  tcp_conn_close (g_steal_pointer (&side->tcp_conn));
  side->ends = TRUE;
  pass (side);
}

static void
on_failed (void *ctx, const struct err *err)
{
  struct side *side = ctx;
  (void)err;
  g_ptr_array_remove_fast (side->pair->proxy->pairs, side->pair);
}

static const struct tcp_conn_handler handler
    = { .data = on_data, .ended = on_ended, .failed = on_failed };

static void
on_accepted (void *ctx, int fd, const char *peer)
{
  struct sok_proxy *proxy = ctx;
  struct pair *pair = g_new0 (struct pair, 1);
  struct err err = { 0 };
  struct tcp_conn_options options
      = { .handler = &handler, .ctx = &pair->caller };
  (void)peer;
  pair->proxy = proxy;
  pair->caller = (struct side){ .pair = pair, .other = &pair->server };
  pair->server = (struct side){ .pair = pair, .other = &pair->caller };
  pair->caller.held = g_byte_array_new ();
  pair->server.held = g_byte_array_new ();
  pair->caller.tcp_conn = tcp_conn_adopt (fd, &options);
  options.ctx = &pair->server;
  if (proxy->fault != SOK_REFUSE)
    pair->server.tcp_conn = tcp_conn_connect (proxy->target, &options, &err);
  if (pair->server.tcp_conn != NULL)
    g_ptr_array_add (proxy->pairs, pair);
  else
    pair_free (pair);
}

/* Listens on a port of its own and passes connections to TARGET (IP:PORT).  */
struct sok_proxy *
sok_proxy_new (const char *target)
{
  struct sok_proxy *proxy = g_new0 (struct sok_proxy, 1);
  struct err err = { 0 };
  proxy->target = g_strdup (target);
  proxy->pairs = g_ptr_array_new_with_free_func (pair_free);
  proxy->listener = tcp_listener_new ("127.0.0.1:0", on_accepted, proxy, &err);
  g_assert (proxy->listener != NULL);
  return proxy;
}

void
sok_proxy_free (struct sok_proxy *proxy)
{
  tcp_listener_free (proxy->listener);
  g_ptr_array_unref (proxy->pairs);
  g_free (proxy->target);
  g_free (proxy);
}

guint
sok_proxy_port (const struct sok_proxy *proxy)
{
  return tcp_listener_port (proxy->listener);
}

/* Begins a fault; what was held passes if the new one lets it.  */
void
sok_proxy_set (struct sok_proxy *proxy, enum sok_fault fault)
{
  proxy->fault = fault;
  for (guint i = proxy->pairs->len; i-- > 0;)
    {
      struct pair *pair = g_ptr_array_index (proxy->pairs, i);
      guint n = proxy->pairs->len;
      flush (&pair->caller);
      if (proxy->pairs->len == n)
        flush (&pair->server);
    }
}

/* Resets all connections.  */
void
sok_proxy_reset (struct sok_proxy *proxy)
{
  g_ptr_array_set_size (proxy->pairs, 0);
}
