#include "cell/shard.h"

#include "cell/shard_internal.h"

#include <string.h>

/* Returns the owner of a cell without tickets; freed by shard_free.  */
struct shard_owner *
shard_new (const struct shard_options *options)
{
  struct shard_owner *shard_owner = g_new0 (struct shard_owner, 1);
  shard_owner->clk = options->clk;
  shard_owner->rand = g_rand_new_with_seed (options->seed);
  shard_owner->ctr = options->ctr;
  shard_owner->cell = options->cell;
  shard_owner->send = options->send;
  shard_owner->ctx = options->ctx;
  shard_owner->classes = g_ptr_array_new ();
  shard_owner->servers = g_ptr_array_new ();
  shard_owner->deadlines = g_sequence_new (NULL);
  queued_table_init (&shard_owner->tickets);
  team_table_init (&shard_owner->teams);
  rte_init (&shard_owner->rate, clk_now (shard_owner->clk));
  shard_owner->aff = aff_new (AFF_PREFIXES_MAX);
  shard_set_config (shard_owner, options->cfg);
  return shard_owner;
}

void
shard_free (struct shard_owner *shard_owner)
{
  if (!shard_owner)
    return;
  g_sequence_free (shard_owner->deadlines);
  for (guint i = 0; i < shard_owner->classes->len; i++)
    class_free (shard_owner->classes->pdata[i]);
  for (guint i = 0; i < shard_owner->servers->len; i++)
    server_free (shard_owner->servers->pdata[i]);
  g_ptr_array_free (shard_owner->classes, TRUE);
  g_ptr_array_free (shard_owner->servers, TRUE);
  queued_table_clear (&shard_owner->tickets);
  team_table_clear (&shard_owner->teams);
  aff_free (shard_owner->aff);
  g_rand_free (shard_owner->rand);
  cfg_unref (shard_owner->cfg);
  g_free (shard_owner);
}

static void
fill_ticket (struct shard_owner *shard_owner,
             struct queued_request *queued_request,
             const struct msg_offer *offer)
{
  gint64 now = clk_now (shard_owner->clk);
  queued_request->arrived
      = now - CLAMP (offer->waited_us, 0, SHARD_WAIT_MAX_US);
  queued_request->deadline = now + CLAMP (offer->wait_us, 0, SHARD_WAIT_MAX_US);
  queued_request->prefix = offer->prefix;
  queued_request->sent_us = offer->sent_us;
  queued_request->prompt_tokens = offer->prompt_tokens;
  queued_request->generated = offer->generated;
  queued_request->resumable = offer->resumable;
  memcpy (queued_request->avoid, offer->avoid, sizeof queued_request->avoid);
}

/* Counts work that already runs, as an entry tells a new owner.  */
static void
offer_running (struct shard_owner *shard_owner, const char *from,
               const struct msg_offer *offer)
{
  struct shard_server *shard_server
      = shard_find_server (shard_owner, offer->running.s);
  struct queued_request *queued_request
      = shard_server ? queued_add (&shard_owner->tickets, from, offer->ticket,
                                   clk_now (shard_owner->clk))
                     : NULL;
  if (!queued_request)
    return;
  fill_ticket (shard_owner, queued_request, offer);
  shard_add_running (shard_owner, queued_request, shard_server,
                     shard_find_class (shard_owner, offer->class_name.s),
                     team_find (&shard_owner->teams, offer->team.s));
}

/* Handles an OFFER for a known ticket that runs, maybe by the grant of
   another owner.  */
static void
offer_running_again (struct shard_owner *shard_owner, const char *from,
                     struct queued_request *queued_request,
                     const struct msg_offer *offer)
{
  if (queued_request->shard_server
      && strcmp (queued_request->shard_server->cfg.name.s, offer->running.s)
             == 0)
    {
      queued_request->state = QUEUED_RUNNING;
      return;
    }
  shard_drop (shard_owner, queued_request);
  offer_running (shard_owner, from, offer);
  shard_dispatch (shard_owner);
}

static gboolean
names_to_avoid (const struct msg_offer *offer, const char *server)
{
  for (guint i = 0; i < MSG_AVOID_MAX; i++)
    if (strcmp (offer->avoid[i].s, server) == 0)
      return TRUE;
  return FALSE;
}

/* Tells whether some server that takes work is not among those to avoid; else
   the entry should look elsewhere.  */
static gboolean
has_server_for (const struct shard_owner *shard_owner,
                const struct msg_offer *offer)
{
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      const struct shard_server *shard_server = shard_owner->servers->pdata[i];
      if (server_accepts (shard_server)
          && !names_to_avoid (offer, shard_server->cfg.name.s))
        return TRUE;
    }
  return FALSE;
}

/* Returns why a new ticket of CLS is refused, or MSG_REASON_N; may displace
   another one for it.  */
static enum msg_reason
admit (struct shard_owner *shard_owner, const char *from,
       const struct class_queue *class_queue, const struct team_state *team,
       const struct msg_offer *offer)
{
  if (!class_queue || !has_server_for (shard_owner, offer))
    return MSG_REASON_NO_SERVER;
  if (shard_is_wait_too_long (shard_owner, class_queue, team, offer->wait_us))
    return MSG_REASON_DEADLINE;
  if (!queued_has_room (&shard_owner->tickets, from)
      || !shard_make_room (shard_owner, class_queue))
    return MSG_REASON_OVERLOAD;
  return MSG_REASON_N;
}

static void
offer_new (struct shard_owner *shard_owner, const char *from,
           const struct msg_offer *offer)
{
  struct class_queue *class_queue
      = shard_find_class (shard_owner, offer->class_name.s);
  struct team_state *team = team_find (&shard_owner->teams, offer->team.s);
  enum msg_reason reason = admit (shard_owner, from, class_queue, team, offer);
  if (reason != MSG_REASON_N)
    {
      shard_send_reject (shard_owner, from, offer->ticket, reason, class_queue,
                         team);
      return;
    }
  struct queued_request *queued_request = queued_add (
      &shard_owner->tickets, from, offer->ticket, clk_now (shard_owner->clk));
  fill_ticket (shard_owner, queued_request, offer);
  shard_add_waiting (shard_owner, queued_request, class_queue, team);
  shard_dispatch (shard_owner);
  shard_preempt (shard_owner);
}

/* Handles an OFFER for a known ticket that waits: it is updated, or its grant,
   of which the entry does not know, is sent again, unless its server takes no
   new work by now.  */
static void
offer_waiting_again (struct shard_owner *shard_owner, const char *from,
                     struct queued_request *queued_request,
                     const struct msg_offer *offer)
{
  gint64 now = clk_now (shard_owner->clk);
  queued_touch (&shard_owner->tickets, queued_request, now);
  if (queued_request->state == QUEUED_WAITING)
    {
      gint64 arrived = queued_request->arrived;
      fill_ticket (shard_owner, queued_request, offer);
      queued_request->arrived = arrived;
      shard_deadline_changed (queued_request);
      shard_dispatch (shard_owner);
      return;
    }
  if (!server_accepts (queued_request->shard_server))
    {
      shard_drop (shard_owner, queued_request);
      offer_new (shard_owner, from, offer);
      return;
    }
  queued_request->state = QUEUED_GRANTED;
  queued_request->granted = now;
  queued_request->sent_us = offer->sent_us;
  shard_send_grant (shard_owner, queued_request);
}

/* Takes a ticket: queues it, grants it, or refuses it at once.  */
void
shard_enqueue (struct shard_owner *shard_owner, const char *from,
               const struct msg_offer *offer)
{
  struct queued_request *queued_request
      = queued_find (&shard_owner->tickets, from, offer->ticket);
  if (strcmp (offer->cell.s, shard_owner->cell.s) != 0)
    shard_send_reject (shard_owner, from, offer->ticket, MSG_REASON_NOT_OWNER,
                       NULL, NULL);
  else if (queued_request && offer->running.s[0])
    offer_running_again (shard_owner, from, queued_request, offer);
  else if (queued_request)
    offer_waiting_again (shard_owner, from, queued_request, offer);
  else if (offer->running.s[0])
    offer_running (shard_owner, from, offer);
  else
    offer_new (shard_owner, from, offer);
}

/* Forgets a ticket that its entry gave up.  */
void
shard_withdraw (struct shard_owner *shard_owner, const char *from,
                guint64 ticket)
{
  struct queued_request *queued_request
      = queued_find (&shard_owner->tickets, from, ticket);
  if (!queued_request)
    return;
  shard_drop (shard_owner, queued_request);
  shard_free_removed_servers (shard_owner);
  shard_dispatch (shard_owner);
}

/* Charges TOKENS that TKT generated since its last report and learns their
   mean distance TBT_US, 0 if none was seen.  */
static void
note_tokens (struct shard_owner *shard_owner,
             struct queued_request *queued_request, guint32 tokens,
             guint32 tbt_us)
{
  if (queued_request->state == QUEUED_WAITING)
    return;
  server_add_tokens (queued_request->shard_server, tbt_us, tokens,
                     clk_now (shard_owner->clk));
  queued_request->generated += tokens;
  if (queued_request->class_queue)
    class_charge (queued_request->class_queue, queued_request, tokens);
}

/* Tells whether RESULT shows that the request did not run.  */
static gboolean
did_not_run (enum msg_result result)
{
  return result == MSG_RESULT_UNUSED || result == MSG_RESULT_NOT_SENT
         || result == MSG_RESULT_BUSY || result == MSG_RESULT_LEAVING;
}

/* Keeps an entry's tickets alive and learns what its streams produced.  */
void
shard_progress (struct shard_owner *shard_owner, const char *from,
                const struct msg_progress *progress)
{
  gint64 now = clk_now (shard_owner->clk);
  for (guint i = 0; i < progress->n_items; i++)
    {
      struct queued_request *queued_request = queued_find (
          &shard_owner->tickets, from, progress->items[i].ticket);
      if (!queued_request)
        continue;
      queued_touch (&shard_owner->tickets, queued_request, now);
      queued_request->sent_us = progress->sent_us;
      if (queued_request->state == QUEUED_GRANTED
          && (progress->items[i].tokens > 0
              || now - queued_request->granted >= SHARD_USE_CONFIRM_US))
        queued_request->state = QUEUED_RUNNING;
      note_tokens (shard_owner, queued_request, progress->items[i].tokens,
                   progress->items[i].tbt_us);
    }
}

/* Learns how long a prompt token takes from the time to first token.  */
static void
learn_prefill (struct shard_owner *shard_owner,
               const struct queued_request *queued_request, guint32 ttft_us)
{
  if (ttft_us > 0 && queued_request->prompt_tokens >= SHARD_PREFILL_TOKENS_MIN)
    hea_mean_add (&shard_owner->prefill,
                  (double)ttft_us / queued_request->prompt_tokens,
                  SHARD_PREFILL_WEIGHT);
}

static void
review_health (struct shard_owner *shard_owner)
{
  struct hea *peers[SHARD_SERVERS_MAX];
  guint n = 0;
  for (guint i = 0; i < shard_owner->servers->len && n < SHARD_SERVERS_MAX; i++)
    {
      struct shard_server *shard_server = shard_owner->servers->pdata[i];
      if (server_accepts (shard_server))
        peers[n++] = &shard_server->hea;
    }
  ctr_add (
      shard_owner->ctr, CTR_EJECTIONS,
      hea_review (peers, n, clk_now (shard_owner->clk), shard_owner->rand));
}

/* Learns from the end of an attempt on SRV. What the start of one that did
   not run counted is taken back.  */
static void
learn_end (struct shard_owner *shard_owner,
           struct queued_request *queued_request,
           struct shard_server *shard_server, const struct msg_release *release)
{
  note_tokens (shard_owner, queued_request, release->tokens, release->tbt_us);
  server_add_result (shard_server, queued_request, release);
  learn_prefill (shard_owner, queued_request, release->ttft_us);
  if (!did_not_run (release->result))
    return;
  if (queued_request->class_queue)
    class_charge (queued_request->class_queue, queued_request,
                  -(double)queued_request->charged);
  aff_drop (shard_owner->aff, queued_request->prefix, shard_server->slot);
}

/* Frees the slot of a ticket whose attempt ended.  */
void
shard_release (struct shard_owner *shard_owner, const char *from,
               const struct msg_release *release)
{
  struct queued_request *queued_request
      = queued_find (&shard_owner->tickets, from, release->ticket);
  if (!queued_request)
    return;
  if (queued_request->shard_server)
    learn_end (shard_owner, queued_request, queued_request->shard_server,
               release);
  if (queued_request->shard_server
      && queued_request->shard_server->hea.failed_in_row > 0)
    review_health (shard_owner);
  shard_drop (shard_owner, queued_request);
  shard_free_removed_servers (shard_owner);
  shard_reject_if_unserved (shard_owner);
  shard_dispatch (shard_owner);
}

/* Drops all tickets of an entry instance that is down or was restarted.  */
void
shard_ingress_lost (struct shard_owner *shard_owner, const char *from)
{
  struct ent *ent;
  while ((ent = queued_find_ingress (&shard_owner->tickets, from)))
    shard_drop (shard_owner, ent->tickets.head->data);
  shard_free_removed_servers (shard_owner);
  shard_dispatch (shard_owner);
}

/* Marks BACKEND leaving or back; a leaving one gets no new work.  */
void
shard_set_leaving (struct shard_owner *shard_owner, const char *backend,
                   gboolean leaving)
{
  struct shard_server *shard_server = shard_find_server (shard_owner, backend);
  if (!shard_server)
    return;
  shard_server->leaving = leaving;
  shard_reject_if_unserved (shard_owner);
  shard_dispatch (shard_owner);
}

/* Takes BACKEND's own load report, a hint that lags.  */
void
shard_load_report (struct shard_owner *shard_owner, const char *backend,
                   const struct shard_load *load)
{
  struct shard_server *shard_server = shard_find_server (shard_owner, backend);
  if (shard_server)
    server_set_load (shard_server, load, clk_now (shard_owner->clk));
}

/* Takes a hint that BACKEND's cache holds, or no longer holds, PREFIX.  */
void
shard_cache_event (struct shard_owner *shard_owner, const char *backend,
                   guint64 prefix, gboolean held)
{
  const struct shard_server *shard_server
      = shard_find_server (shard_owner, backend);
  if (!shard_server || prefix == 0)
    return;
  if (held)
    aff_note (shard_owner->aff, prefix, shard_server->slot,
              clk_now (shard_owner->clk));
  else
    aff_drop (shard_owner->aff, prefix, shard_server->slot);
}

static void
expire_deadlines (struct shard_owner *shard_owner, gint64 now)
{
  while (!g_sequence_is_empty (shard_owner->deadlines))
    {
      struct queued_request *queued_request
          = g_sequence_get (g_sequence_get_begin_iter (shard_owner->deadlines));
      if (queued_request->deadline > now)
        return;
      shard_reject (shard_owner, queued_request,
                    team_is_at_limit (queued_request->team)
                        ? MSG_REASON_TEAM_LIMIT
                        : MSG_REASON_DEADLINE);
    }
}

static void
expire_silent (struct shard_owner *shard_owner, gint64 now)
{
  GList *l;
  while ((l = shard_owner->tickets.by_heard.head))
    {
      struct queued_request *queued_request = l->data;
      if (now - queued_request->heard < SHARD_SILENCE_MAX_US)
        return;
      shard_drop (shard_owner, queued_request);
    }
}

static void
expire_grants (struct shard_owner *shard_owner, gint64 now)
{
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      struct shard_server *shard_server = shard_owner->servers->pdata[i];
      for (GList *l = shard_server->in_flight.head, *next; l; l = next)
        {
          struct queued_request *queued_request = l->data;
          next = l->next;
          if (queued_request->state != QUEUED_GRANTED
              || now - queued_request->granted < SHARD_GRANT_EXPIRY_US)
            continue;
          ctr_add (shard_owner->ctr, CTR_GRANT_EXPIRED, 1);
          shard_drop (shard_owner, queued_request);
        }
    }
}

/* Expires deadlines, grants and silent tickets, reviews the servers.  */
void
shard_tick (struct shard_owner *shard_owner)
{
  gint64 now = clk_now (shard_owner->clk);
  expire_deadlines (shard_owner, now);
  expire_grants (shard_owner, now);
  expire_silent (shard_owner, now);
  for (guint i = 0; i < shard_owner->servers->len; i++)
    server_tick (shard_owner->servers->pdata[i], now);
  review_health (shard_owner);
  shard_free_removed_servers (shard_owner);
  shard_dispatch (shard_owner);
  shard_preempt (shard_owner);
}

/* Tells whether no ticket waits or runs, so that the owner may be freed.  */
gboolean
shard_is_idle (const struct shard_owner *shard_owner)
{
  return g_hash_table_size (shard_owner->tickets.tickets) == 0;
}
