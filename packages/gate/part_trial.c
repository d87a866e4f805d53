/* Requests whose prompts have parts that are suspected of crashing servers:
   they wait for the trial of the part, or are rejected.  */
#include "gate/exchange_internal.h"

#define CHECK_INTERVAL_MS 20 /* while requests wait for a trial */

static gboolean
on_check_due (gpointer data)
{
  struct reverse_proxy *reverse_proxy = data;
  part_trial_check (reverse_proxy);
  if (reverse_proxy->awaiting_parts.length > 0)
    return G_SOURCE_CONTINUE;
  reverse_proxy->parts_source = 0;
  return G_SOURCE_REMOVE;
}

/* Lets the request wait for the trial of one of its parts.  */
static void
wait_for_trial (struct exchange *exchange)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  struct log_entry e
      = exchange_log_record (exchange, "request.awaits_trial", NULL);
  log_write (&e, "parts=%s", exchange_logged_parts (exchange).text);
  exchange->parts_link.data = exchange;
  g_queue_push_tail_link (&reverse_proxy->awaiting_parts,
                          &exchange->parts_link);
  if (reverse_proxy->parts_source == 0)
    reverse_proxy->parts_source
        = g_timeout_add (CHECK_INTERVAL_MS, on_check_due, reverse_proxy);
}

/* Returns whether the request has ended a server as the trial of a part that is
   still suspected: it is not sent to a further one.  */
static gboolean
has_failed_trial (const struct exchange *exchange)
{
  return exchange->trial_broke
         && suspects_confirmed (exchange->reverse_proxy->options.suspects,
                                &exchange->queue_entry.request.parts);
}

/* Returns whether one of the servers that have broken off the request is being
   checked, and it depends on the result if the request is sent on.  */
static gboolean
awaits_check (const struct exchange *exchange)
{
  const struct suspects *suspects = exchange->reverse_proxy->options.suspects;
  if (exchange->n_broken_servers < PART_TRIAL_SERVERS_MAX)
    return FALSE;
  for (guint i = 0; i < PART_TRIAL_SERVERS_MAX; i++)
    if (suspects_is_checking (suspects, exchange->broken_servers[i]))
      return TRUE;
  return FALSE;
}

/* Returns whether as many servers have ended under the request as may.  */
static gboolean
has_ended_servers (const struct exchange *exchange)
{
  const struct suspects *suspects = exchange->reverse_proxy->options.suspects;
  if (exchange->n_broken_servers < PART_TRIAL_SERVERS_MAX)
    return FALSE;
  for (guint i = 0; i < PART_TRIAL_SERVERS_MAX; i++)
    if (!suspects_has_ended (suspects, exchange->broken_servers[i]))
      return FALSE;
  return TRUE;
}

/* Rejects the request for a held part. A repeat would not help, so the client
   is told when the part may be tried again. Frees EXCHANGE.  */
static void
reject_held (struct exchange *exchange)
{
  static const char reason[] = "part_crashes_servers";
  const struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  gint64 now = exchange_now (exchange);
  gint64 until
      = suspects_held_until (reverse_proxy->options.suspects,
                             &exchange->queue_entry.request.parts, now);
  struct log_entry e = exchange_log_record (exchange, "request.refused", NULL);
  log_write (&e, "reason=%s parts=%s retry_after_ms=%" G_GINT64_FORMAT, reason,
             exchange_logged_parts (exchange).text, (until - now) / CLK_MS);
  counter_add (reverse_proxy->options.counter_set, COUNTER_PART_REJECTED, 1);
  if (exchange->head_sent)
    exchange_abort (exchange, reason);
  else
    exchange_reject (exchange, 503, reason, MAX (until - now, CLK_S));
}

/* Returns whether the request, which is about to be sent to SERVER, may be.
   Otherwise it waits, or it is rejected and EXCHANGE is freed.  */
gboolean
part_trial_allows (struct exchange *exchange,
                   const struct registry_server *server)
{
  struct suspects *suspects = exchange->reverse_proxy->options.suspects;
  if (suspects == NULL)
    return TRUE;
  if (awaits_check (exchange))
    {
      wait_for_trial (exchange);
      return FALSE;
    }
  if (has_ended_servers (exchange))
    {
      reject_held (exchange);
      return FALSE;
    }
  switch (suspects_check (suspects, &exchange->queue_entry.request.parts,
                          registry_life_key (server), exchange_now (exchange)))
    {
    case SUSPECTS_FREE:
      return TRUE;
    case SUSPECTS_TRIAL:
      if (!has_failed_trial (exchange))
        return TRUE;
      reject_held (exchange);
      return FALSE;
    case SUSPECTS_WAIT:
      wait_for_trial (exchange);
      return FALSE;
    case SUSPECTS_HELD:
      reject_held (exchange);
      return FALSE;
    }
  return TRUE;
}

/* Ends the wait of the request, if it waits.  */
void
part_trial_cancel (struct exchange *exchange)
{
  if (exchange->parts_link.data == NULL)
    return;
  exchange->parts_link.data = NULL;
  g_queue_unlink (&exchange->reverse_proxy->awaiting_parts,
                  &exchange->parts_link);
}

/* Submits the waiting requests again that need not wait any longer.  */
void
part_trial_check (struct reverse_proxy *reverse_proxy)
{
  guint n = reverse_proxy->awaiting_parts.length;
  struct exchange *exchange;
  if (n == 0)
    return;
  gint64 now = clk_now (reverse_proxy->options.clk);
  while (n-- > 0
         && (exchange = g_queue_peek_head (&reverse_proxy->awaiting_parts))
                != NULL)
    {
      part_trial_cancel (exchange);
      if (suspects_check (reverse_proxy->options.suspects,
                          &exchange->queue_entry.request.parts, 0, now)
          != SUSPECTS_WAIT)
        exchange_enqueue (exchange);
      else
        {
          exchange->parts_link.data = exchange;
          g_queue_push_tail_link (&reverse_proxy->awaiting_parts,
                                  &exchange->parts_link);
        }
    }
}

/* The request is being sent to SERVER.  */
void
part_trial_begin (struct exchange *exchange,
                  const struct registry_server *server)
{
  struct suspects *suspects = exchange->reverse_proxy->options.suspects;
  if (suspects != NULL)
    suspects_begin (suspects, &exchange->suspects_attempt,
                    &exchange->queue_entry.request.parts,
                    registry_life_key (server), exchange_now (exchange));
}

/* The server has written on the prompt of the request.  */
void
part_trial_wrote (struct exchange *exchange)
{
  struct suspects *suspects = exchange->reverse_proxy->options.suspects;
  if (suspects != NULL)
    suspects_wrote (suspects, &exchange->suspects_attempt,
                    exchange_now (exchange));
}

/* The attempt has ended.  */
void
part_trial_end (struct exchange *exchange)
{
  struct suspects *suspects = exchange->reverse_proxy->options.suspects;
  if (suspects != NULL)
    suspects_end (suspects, &exchange->suspects_attempt);
}

/* The attempt in progress has lost its server because of ERR. If the server has
   written nothing on the prompt, checks whether it has ended. A server that was
   about to leave has not crashed.  */
void
part_trial_broke (struct exchange *exchange, const struct err *err)
{
  struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  struct registry_server *server = exchange->queue_entry.server;
  if (reverse_proxy->options.suspects == NULL || server == NULL
      || exchange->upstream == NULL || err->code != ERR_CLOSED
      || server->state != REGISTRY_READY || registry_is_leaving (server))
    return;
  enum suspects_evidence evidence
      = exchange->route->kind != ROUTING_STREAM          ? SUSPECTS_PLAIN
        : upstream_response_started (exchange->upstream) ? SUSPECTS_HEAD
                                                         : SUSPECTS_NO_HEAD;
  exchange->trial_broke |= suspects_was_trial (&exchange->suspects_attempt);
  if (exchange->n_broken_servers < PART_TRIAL_SERVERS_MAX)
    exchange->broken_servers[exchange->n_broken_servers++]
        = registry_life_key (server);
  if (suspects_broke (reverse_proxy->options.suspects,
                      &exchange->suspects_attempt, evidence,
                      exchange_now (exchange)))
    server_check_start (reverse_proxy, server);
}

/* The check of SERVER, which has broken off a response, has shown whether it
   has ENDED.  */
void
part_trial_checked (struct reverse_proxy *reverse_proxy,
                    const struct registry_server *server, gboolean ended)
{
  struct suspects *suspects = reverse_proxy->options.suspects;
  if (ended)
    suspects_server_ended (suspects, registry_life_key (server),
                           clk_now (reverse_proxy->options.clk));
  else
    suspects_server_lives (suspects, registry_life_key (server));
  proxy_schedule_poll (reverse_proxy);
}
