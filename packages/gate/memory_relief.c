/* Keeps the memory for clients and servers within its limit: takes less while
   it is tight, and gives up the largest requests if it is over.  */
#include "gate/exchange_internal.h"

#define LARGE_BODY_MIN (64 * 1024)   /* of a request; smaller ones never wait */
#define OUTPUT_TIGHT_MAX (32 * 1024) /* instead of DOWNSTREAM_QUEUE_MAX */
#define BODY_CHECK_MS 50
#define BODY_WAIT_US (2 * CLK_S) /* for memory */
/* While others wait, a body that does not arrive any further is given up. */
#define BODY_STALLED_US (3 * CLK_S)
#define RETRY_US (1 * CLK_S)
#define PROMISE_SHARE 4 /* of the limit, at most for one body */

static const char reason[] = "memory_short";

void
memory_relief_add (struct reverse_proxy *reverse_proxy,
                   struct memory_owner *owner)
{
  memory_budget_add (&reverse_proxy->memory, &owner->holder);
}

void
memory_relief_remove (struct reverse_proxy *reverse_proxy,
                      struct memory_owner *owner)
{
  memory_budget_remove (&reverse_proxy->memory, &owner->holder);
}

gboolean
memory_relief_is_tight (const struct reverse_proxy *reverse_proxy)
{
  return memory_budget_is_tight (&reverse_proxy->memory);
}

/* Returns how many bytes may be queued for a client before reading from its
   server pauses.  */
gsize
memory_relief_output_max (const struct reverse_proxy *reverse_proxy)
{
  return memory_relief_is_tight (reverse_proxy) ? OUTPUT_TIGHT_MAX
                                                : DOWNSTREAM_QUEUE_MAX;
}

static gsize
downstream_kept (const struct downstream *downstream)
{
  const struct exchange *exchange = downstream->exchange;
  gsize n = downstream->read_ahead->len
            + http_reader_head (downstream->http_reader)->text->allocated_len;
  if (downstream->tcp_conn != NULL)
    n += tcp_conn_kept (downstream->tcp_conn);
  if (exchange != NULL)
    n += exchange->body->len + exchange->event_splitter.text->allocated_len;
  if (exchange != NULL && exchange->upstream != NULL)
    n += upstream_kept (exchange->upstream);
  return n;
}

/* Returns the tier of what DOWNSTREAM keeps memory for. A response that is
   being delivered comes first, a request that has not arrived yet last.  */
static guint
tier_of (const struct downstream *downstream)
{
  const struct exchange *exchange = downstream->exchange;
  if (exchange != NULL)
    return exchange->state == EXCHANGE_RECEIVING ? G_MAXUINT : exchange->tier;
  return downstream->tcp_conn != NULL
                 && tcp_conn_queued (downstream->tcp_conn) > 0
             ? 0
             : G_MAXUINT;
}

static void
update (struct reverse_proxy *reverse_proxy, struct memory_owner *owner)
{
  struct downstream *downstream = owner->downstream;
  owner->holder.tier = downstream != NULL ? tier_of (downstream) : 0;
  memory_budget_set (&reverse_proxy->memory, &owner->holder,
                     downstream != NULL
                         ? downstream_kept (downstream)
                         : tcp_conn_kept (closing_tcp_conn (owner->closing)));
}

static void
log_given_up (const struct reverse_proxy *reverse_proxy,
              const struct memory_owner *owner)
{
  const struct downstream *downstream = owner->downstream;
  const struct exchange *exchange
      = downstream != NULL ? downstream->exchange : NULL;
  counter_add (reverse_proxy->options.counter_set, COUNTER_MEMORY_SHORT, 1);
  log_write (
      &(struct log_entry){ .level = LOG_WARN,
                           .event = "memory.short",
                           .request_id = exchange ? exchange->id : NULL,
                           .peer = downstream ? downstream->peer : NULL },
      "state=%s tier=%u bytes=%" G_GSIZE_FORMAT
      " body=%u response=%" G_GSIZE_FORMAT " kept=%" G_GSIZE_FORMAT
      " limit=%" G_GSIZE_FORMAT,
      exchange ? exchange_state_name (exchange->state) : "none",
      owner->holder.tier, memory_holder_kept (&owner->holder),
      exchange ? exchange->body->len : 0,
      exchange && exchange->upstream ? upstream_buffered (exchange->upstream)
                                     : 0,
      reverse_proxy->memory.kept, reverse_proxy->memory.limit);
}

/* Ends what DOWNSTREAM keeps memory for. What has not run is told to return
   later; a response that is too long is the failure of its server, and another
   one may be tried. May free DOWNSTREAM.  */
static void
give_up (struct downstream *downstream)
{
  struct exchange *exchange = downstream->exchange;
  struct upstream *upstream = exchange != NULL ? exchange->upstream : NULL;
  if (exchange == NULL)
    downstream_reset (downstream);
  else if (exchange->state == EXCHANGE_RECEIVING)
    downstream_give_up_body (downstream, 503, reason, RETRY_US);
  else if (exchange->head_sent)
    exchange_abort (exchange, reason);
  else if (upstream != NULL
           && upstream_buffered (upstream) > exchange->body->len)
    upstream_give_up (upstream);
  else if (upstream != NULL && upstream_request_was_sent (upstream))
    exchange_send_outcome_unknown (exchange, 502, reason);
  else
    exchange_reject (exchange, 503, reason, RETRY_US);
}

/* Takes stock, and lets holders give up until the limit is kept.  */
static gboolean
on_relief (gpointer data)
{
  struct reverse_proxy *reverse_proxy = data;
  struct memory_budget *memory = &reverse_proxy->memory;
  reverse_proxy->memory_source = 0;
  for (const GList *l = memory->holders.head; l != NULL; l = l->next)
    update (reverse_proxy, l->data);
  while (memory_budget_is_over (memory))
    {
      struct memory_owner *owner
          = (struct memory_owner *)(void *)memory_budget_victim (memory);
      gsize before = memory->kept;
      if (owner == NULL)
        break;
      log_given_up (reverse_proxy, owner);
      if (owner->downstream != NULL)
        {
          struct downstream *downstream = owner->downstream;
          memory_budget_set (memory, &owner->holder, 0);
          give_up (downstream);
        }
      else
        closing_drop (owner->closing);
      if (memory->kept >= before)
        break;
    }
  return G_SOURCE_REMOVE;
}

/* DOWNSTREAM, or its attempt at a server, keeps more or less than before. What
   is to be given up for it is given up soon, but not before the caller
   returns.  */
void
memory_relief_note (struct downstream *downstream)
{
  struct reverse_proxy *reverse_proxy = downstream->reverse_proxy;
  update (reverse_proxy, &downstream->memory);
  if (memory_budget_is_over (&reverse_proxy->memory)
      && reverse_proxy->memory_source == 0)
    reverse_proxy->memory_source
        = g_idle_add_full (G_PRIORITY_HIGH, on_relief, reverse_proxy, NULL);
}

/* Returns how much memory the body of the request that is being received may
   come to need.  */
static gsize
expected_body (const struct downstream *downstream)
{
  const struct reverse_proxy *reverse_proxy = downstream->reverse_proxy;
  const struct http_head *head = downstream->exchange->head;
  gsize longest = reverse_proxy->memory.limit / PROMISE_SHARE;
  gsize expected
      = head->has_length ? (gsize)head->length
        : reverse_proxy->routing_table != NULL
            ? routing_limits (reverse_proxy->routing_table)->body_bytes
            : longest;
  return MIN (expected, longest);
}

static gboolean
is_stalled (const struct downstream *downstream, gint64 now)
{
  return downstream->memory.holder.promised > 0 && downstream->exchange != NULL
         && downstream->exchange->state == EXCHANGE_RECEIVING
         && now - downstream->body_read_at >= BODY_STALLED_US;
}

/* Lets the body of DOWNSTREAM go on if there is memory for it now, or gives it
   up if it has waited too long, or stalls while others wait. Returns whether
   anything was done, which may have freed DOWNSTREAM and others.  */
static gboolean
step_body (struct downstream *downstream, gint64 now)
{
  struct memory_budget *memory = &downstream->reverse_proxy->memory;
  if (!downstream->body_waits)
    {
      if (!is_stalled (downstream, now))
        return FALSE;
      log_given_up (downstream->reverse_proxy, &downstream->memory);
      downstream_give_up_body (downstream, 408, "slow_request", 0);
      return TRUE;
    }
  if (memory_budget_promise (memory, &downstream->memory.holder,
                             expected_body (downstream)))
    {
      downstream_read_on (downstream);
      return TRUE;
    }
  if (now - downstream->body_waits_since < BODY_WAIT_US)
    return FALSE;
  log_given_up (downstream->reverse_proxy, &downstream->memory);
  downstream_give_up_body (downstream, 503, reason, RETRY_US);
  return TRUE;
}

/* Acts on the first connection, the oldest ones first, whose body need not wait
   any longer. Returns whether there was one; WAITING: whether one waits on.  */
static gboolean
step_bodies (struct reverse_proxy *reverse_proxy, gint64 now, gboolean *waiting)
{
  *waiting = FALSE;
  for (GList *link = reverse_proxy->clients.head; link != NULL;
       link = link->next)
    {
      struct downstream *downstream = link->data;
      if (step_body (downstream, now))
        return TRUE;
      *waiting |= downstream->body_waits;
    }
  return FALSE;
}

static gboolean
on_bodies_due (gpointer data)
{
  struct reverse_proxy *reverse_proxy = data;
  gint64 now = clk_now (reverse_proxy->options.clk);
  gboolean waiting;
  while (step_bodies (reverse_proxy, now, &waiting))
    continue;
  if (waiting)
    return G_SOURCE_CONTINUE;
  reverse_proxy->body_timer = 0;
  return G_SOURCE_REMOVE;
}

/* Returns whether the body of a request, of which RECEIVED bytes have arrived,
   may be read on. If not, it goes on, or is given up, later.  */
gboolean
memory_relief_admits (struct downstream *downstream, gsize received)
{
  struct reverse_proxy *reverse_proxy = downstream->reverse_proxy;
  downstream->body_read_at = clk_now (reverse_proxy->options.clk);
  if (received <= LARGE_BODY_MIN
      || memory_budget_promise (&reverse_proxy->memory,
                                &downstream->memory.holder,
                                expected_body (downstream)))
    return TRUE;
  if (!downstream->body_waits)
    {
      downstream->body_waits_since = downstream->body_read_at;
      counter_add (reverse_proxy->options.counter_set, COUNTER_MEMORY_WAITS, 1);
    }
  if (reverse_proxy->body_timer == 0)
    reverse_proxy->body_timer
        = g_timeout_add (BODY_CHECK_MS, on_bodies_due, reverse_proxy);
  return FALSE;
}

/* The body has arrived completely.  */
void
memory_relief_body_ended (struct downstream *downstream)
{
  memory_budget_end_promise (&downstream->reverse_proxy->memory,
                             &downstream->memory.holder);
}
