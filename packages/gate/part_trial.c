/* Requests that are suspected of crashing servers, or parts of whose prompts
   are: they wait for the trial of the part, or are rejected.  */
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
  if (!exchange->awaited_trial)
    {
      struct log_entry e
          = exchange_log_record (exchange, "request.awaits_trial", NULL);
      log_write (&e, "parts=%s fingerprints=%s",
                 exchange_logged_parts (exchange).text,
                 exchange_logged_fingerprints (exchange).text);
      exchange->awaited_trial = TRUE;
    }
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
  const struct reverse_proxy *reverse_proxy = exchange->reverse_proxy;
  gint64 now = exchange_now (exchange);
  struct suspects_held_evidence evidence
      = suspects_held_evidence (reverse_proxy->options.suspects,
                                &exchange->queue_entry.request.parts, now);
  const char *reason
      = evidence.part != 0 && !prompt_part_is_request (evidence.part)
            ? "part_crashes_servers"
            : "request_crashes_servers";
  gint64 until
      = suspects_held_until (reverse_proxy->options.suspects,
                             &exchange->queue_entry.request.parts, now);
  struct log_entry e = exchange_log_record (exchange, "request.refused", NULL);
  log_write (
      &e,
      "reason=%s parts=%s fingerprints=%s weight=%u age_ms=%" G_GINT64_FORMAT
      " retry_after_ms=%" G_GINT64_FORMAT,
      reason, exchange_logged_parts (exchange).text,
      exchange_logged_fingerprints (exchange).text, evidence.weight,
      evidence.age_us / CLK_MS, (until - now) / CLK_MS);
  counter_add (reverse_proxy->options.counter_set, COUNTER_PART_REJECTED, 1);
  if (exchange->head_sent)
    exchange_abort (exchange, reason);
  else
    exchange_reject (exchange, 503, reason, MAX (until - now, CLK_S));
}

/* Rejects the request for a trial that has to wait until the store is back.
   Another instance may reach it. Frees EXCHANGE.  */
static void
reject_unsaved (struct exchange *exchange)
{
  static const char reason[] = "crash_not_saved";
  struct log_entry e = exchange_log_record (exchange, "request.refused", NULL);
  log_write (&e, "reason=%s parts=%s fingerprints=%s", reason,
             exchange_logged_parts (exchange).text,
             exchange_logged_fingerprints (exchange).text);
  if (exchange->head_sent)
    exchange_abort (exchange, reason);
  else
    exchange_reject (exchange, 503, reason, CLK_S);
}

/* Returns whether requests may be suspected at all at present.  */
gboolean
part_trial_is_active (const struct reverse_proxy *reverse_proxy)
{
  const struct suspects *suspects = reverse_proxy->options.suspects;
  return suspects != NULL && suspects_is_active (suspects);
}

/* Returns whether the request, which is likely to end its server, would be sent
   to the last one of its service that runs, though more are listed.  */
static gboolean
takes_last_server (const struct exchange *exchange)
{
  const struct proxy_options *options = &exchange->reverse_proxy->options;
  gint64 now = exchange_now (exchange);
  guint n;
  guint listed = 0;
  guint running = 0;
  if (!suspects_takes_last_server (options->suspects,
                                   &exchange->queue_entry.request.parts))
    return FALSE;
  struct registry_server *const *servers
      = registry_servers (options->registry, &n);
  for (guint i = 0; i < n; i++)
    {
      if (!g_str_equal (servers[i]->entry.service,
                        exchange->queue_entry.service))
        continue;
      listed++;
      running += registry_may_serve (servers[i], now)
                 && !registry_is_unreachable (servers[i], now)
                 && !suspects_has_ended (options->suspects,
                                         registry_life_key (servers[i]));
    }
  return listed > 1 && running < 2;
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
      if (has_failed_trial (exchange))
        {
          reject_held (exchange);
          return FALSE;
        }
      if (!takes_last_server (exchange))
        return TRUE;
      wait_for_trial (exchange);
      return FALSE;
    case SUSPECTS_WAIT:
      wait_for_trial (exchange);
      return FALSE;
    case SUSPECTS_UNSAVED:
      reject_unsaved (exchange);
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

/* The server has responded to the request completely.  */
void
part_trial_completed (struct exchange *exchange)
{
  struct suspects *suspects = exchange->reverse_proxy->options.suspects;
  if (suspects != NULL)
    suspects_completed (suspects, &exchange->suspects_attempt,
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

/* The attempt in progress has lost its server because of ERR: checks whether it
   has ended. A server that was about to leave has not crashed.  */
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
        : exchange->suspects_attempt.begun               ? SUSPECTS_BEGUN
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

/* The check of SERVER, which has broken off a response, has shown its STATE.
 */
void
part_trial_checked (struct reverse_proxy *reverse_proxy,
                    const struct registry_server *server,
                    enum suspects_server_state state)
{
  suspects_server_checked (reverse_proxy->options.suspects,
                           registry_life_key (server), state,
                           clk_now (reverse_proxy->options.clk));
  proxy_schedule_poll (reverse_proxy);
}

/* SERVER is no longer listed, or has begun a new life. If it had not said that
   it leaves, it has ended under what it broke off just before.  */
void
part_trial_server_removed (struct reverse_proxy *reverse_proxy,
                           const struct registry_server *server)
{
  if (part_trial_is_active (reverse_proxy) && !server->entry.leaving
      && !registry_is_leaving (server))
    part_trial_checked (reverse_proxy, server, SUSPECTS_SERVER_ENDED);
}
