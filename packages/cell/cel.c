#include "cell/cel.h"

#include "cell/cel_int.h"

#include <string.h>

/* Returns the owner of a cell without tickets; freed by cel_free.  */
struct cel *
cel_new (const struct cel_options *options)
{
  struct cel *cel = g_new0 (struct cel, 1);
  cel->clk = options->clk;
  cel->rand = g_rand_new_with_seed (options->seed);
  cel->counter_set = options->counter_set;
  cel->cell = options->cell;
  cel->send = options->send;
  cel->ctx = options->ctx;
  cel->classes = g_ptr_array_new ();
  cel->servers = g_ptr_array_new ();
  cel->deadlines = g_sequence_new (NULL);
  tkt_table_init (&cel->tickets);
  tem_table_init (&cel->teams);
  rate_window_init (&cel->rate, clk_now (cel->clk));
  cel->prefix_affinity = prefix_affinity_new (PREFIX_AFFINITY_PREFIXES_MAX);
  cel_set_config (cel, options->cfg);
  return cel;
}

void
cel_free (struct cel *cel)
{
  if (!cel)
    return;
  g_sequence_free (cel->deadlines);
  for (guint i = 0; i < cel->classes->len; i++)
    cls_free (cel->classes->pdata[i]);
  for (guint i = 0; i < cel->servers->len; i++)
    srv_free (cel->servers->pdata[i]);
  g_ptr_array_free (cel->classes, TRUE);
  g_ptr_array_free (cel->servers, TRUE);
  tkt_table_clear (&cel->tickets);
  tem_table_clear (&cel->teams);
  prefix_affinity_free (cel->prefix_affinity);
  g_rand_free (cel->rand);
  cluster_unref (cel->cfg);
  g_free (cel);
}

static void
fill_ticket (struct cel *cel, struct tkt *tkt, const struct msg_offer *offer)
{
  gint64 now = clk_now (cel->clk);
  tkt->arrived = now - CLAMP (offer->waited_us, 0, CEL_WAIT_MAX_US);
  tkt->deadline = now + CLAMP (offer->wait_us, 0, CEL_WAIT_MAX_US);
  tkt->prefix = offer->prefix;
  tkt->sent_us = offer->sent_us;
  tkt->prompt_tokens = offer->prompt_tokens;
  tkt->generated = offer->generated;
  tkt->resumable = offer->resumable;
  memcpy (tkt->avoid, offer->avoid, sizeof tkt->avoid);
}

/* Counts work that already runs, as an entry tells a new owner.  */
static void
offer_running (struct cel *cel, const char *from, const struct msg_offer *offer)
{
  struct srv *srv = cel_find_server (cel, offer->running.s);
  struct tkt *tkt
      = srv ? tkt_add (&cel->tickets, from, offer->ticket, clk_now (cel->clk))
            : NULL;
  if (!tkt)
    return;
  fill_ticket (cel, tkt, offer);
  cel_adopt (cel, tkt, srv, cel_find_class (cel, offer->class_name.s),
             tem_find (&cel->teams, offer->team.s));
}

/* Handles an OFFER for a known ticket that runs, maybe by the grant of
   another owner.  */
static void
offer_running_again (struct cel *cel, const char *from, struct tkt *tkt,
                     const struct msg_offer *offer)
{
  if (tkt->srv && strcmp (tkt->srv->cfg.name.s, offer->running.s) == 0)
    {
      tkt->state = TKT_RUNNING;
      return;
    }
  cel_drop (cel, tkt);
  offer_running (cel, from, offer);
  cel_pump (cel);
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
has_server_for (const struct cel *cel, const struct msg_offer *offer)
{
  for (guint i = 0; i < cel->servers->len; i++)
    {
      const struct srv *srv = cel->servers->pdata[i];
      if (srv_takes_work (srv) && !names_to_avoid (offer, srv->cfg.name.s))
        return TRUE;
    }
  return FALSE;
}

/* Returns why a new ticket of CLS is refused, or MSG_REASON_N; may displace
   another one for it.  */
static enum msg_reason
admit (struct cel *cel, const char *from, const struct cls *cls,
       const struct tem *team, const struct msg_offer *offer)
{
  if (!cls || !has_server_for (cel, offer))
    return MSG_REASON_NO_SERVER;
  if (cel_is_hopeless (cel, cls, team, offer->wait_us))
    return MSG_REASON_DEADLINE;
  if (!tkt_room (&cel->tickets, from) || !cel_make_room (cel, cls))
    return MSG_REASON_OVERLOAD;
  return MSG_REASON_N;
}

static void
offer_new (struct cel *cel, const char *from, const struct msg_offer *offer)
{
  struct cls *cls = cel_find_class (cel, offer->class_name.s);
  struct tem *team = tem_find (&cel->teams, offer->team.s);
  enum msg_reason reason = admit (cel, from, cls, team, offer);
  if (reason != MSG_REASON_N)
    {
      cel_send_refuse (cel, from, offer->ticket, reason, cls, team);
      return;
    }
  struct tkt *tkt
      = tkt_add (&cel->tickets, from, offer->ticket, clk_now (cel->clk));
  fill_ticket (cel, tkt, offer);
  cel_enqueue (cel, tkt, cls, team);
  cel_pump (cel);
  cel_preempt (cel);
}

/* Handles an OFFER for a known ticket that waits: it is updated, or its grant,
   of which the entry does not know, is sent again, unless its server takes no
   new work by now.  */
static void
offer_waiting_again (struct cel *cel, const char *from, struct tkt *tkt,
                     const struct msg_offer *offer)
{
  gint64 now = clk_now (cel->clk);
  tkt_touch (&cel->tickets, tkt, now);
  if (tkt->state == TKT_WAITING)
    {
      gint64 arrived = tkt->arrived;
      fill_ticket (cel, tkt, offer);
      tkt->arrived = arrived;
      cel_reschedule (tkt);
      cel_pump (cel);
      return;
    }
  if (!srv_takes_work (tkt->srv))
    {
      cel_drop (cel, tkt);
      offer_new (cel, from, offer);
      return;
    }
  tkt->state = TKT_GRANTED;
  tkt->granted = now;
  tkt->sent_us = offer->sent_us;
  cel_send_grant (cel, tkt);
}

/* Takes a ticket: queues it, grants it, or refuses it at once.  */
void
cel_offer (struct cel *cel, const char *from, const struct msg_offer *offer)
{
  struct tkt *tkt = tkt_find (&cel->tickets, from, offer->ticket);
  if (strcmp (offer->cell.s, cel->cell.s) != 0)
    cel_send_refuse (cel, from, offer->ticket, MSG_REASON_NOT_OWNER, NULL,
                     NULL);
  else if (tkt && offer->running.s[0])
    offer_running_again (cel, from, tkt, offer);
  else if (tkt)
    offer_waiting_again (cel, from, tkt, offer);
  else if (offer->running.s[0])
    offer_running (cel, from, offer);
  else
    offer_new (cel, from, offer);
}

/* Forgets a ticket that its entry gave up.  */
void
cel_withdraw (struct cel *cel, const char *from, guint64 ticket)
{
  struct tkt *tkt = tkt_find (&cel->tickets, from, ticket);
  if (!tkt)
    return;
  cel_drop (cel, tkt);
  cel_free_idle_gone (cel);
  cel_pump (cel);
}

/* Charges TOKENS that TKT generated since its last report and learns their
   mean distance TBT_US, 0 if none was seen.  */
static void
note_tokens (struct cel *cel, struct tkt *tkt, guint32 tokens, guint32 tbt_us)
{
  if (tkt->state == TKT_WAITING)
    return;
  srv_tokens (tkt->srv, tbt_us, tokens, clk_now (cel->clk));
  tkt->generated += tokens;
  if (tkt->cls)
    cls_charge (tkt->cls, tkt, tokens);
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
cel_progress (struct cel *cel, const char *from,
              const struct msg_progress *progress)
{
  gint64 now = clk_now (cel->clk);
  for (guint i = 0; i < progress->n_items; i++)
    {
      struct tkt *tkt
          = tkt_find (&cel->tickets, from, progress->items[i].ticket);
      if (!tkt)
        continue;
      tkt_touch (&cel->tickets, tkt, now);
      tkt->sent_us = progress->sent_us;
      if (tkt->state == TKT_GRANTED
          && (progress->items[i].tokens > 0
              || now - tkt->granted >= CEL_USE_SEEN_US))
        tkt->state = TKT_RUNNING;
      note_tokens (cel, tkt, progress->items[i].tokens,
                   progress->items[i].tbt_us);
    }
}

/* Learns how long a prompt token takes from the time to first token.  */
static void
learn_prefill (struct cel *cel, const struct tkt *tkt, guint32 ttft_us)
{
  if (ttft_us > 0 && tkt->prompt_tokens >= CEL_PREFILL_TOKENS_MIN)
    server_health_mean_add (&cel->prefill, (double)ttft_us / tkt->prompt_tokens,
                            CEL_PREFILL_WEIGHT);
}

static void
review_health (struct cel *cel)
{
  struct server_health *peers[CEL_SERVERS_MAX];
  guint n = 0;
  for (guint i = 0; i < cel->servers->len && n < CEL_SERVERS_MAX; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      if (srv_takes_work (srv))
        peers[n++] = &srv->server_health;
    }
  counter_add (cel->counter_set, COUNTER_EJECTIONS,
               server_health_review (peers, n, clk_now (cel->clk), cel->rand));
}

/* Learns from the end of an attempt on SRV. What the start of one that did
   not run counted is taken back.  */
static void
learn_end (struct cel *cel, struct tkt *tkt, struct srv *srv,
           const struct msg_release *release)
{
  note_tokens (cel, tkt, release->tokens, release->tbt_us);
  srv_result (srv, tkt, release);
  learn_prefill (cel, tkt, release->ttft_us);
  if (!did_not_run (release->result))
    return;
  if (tkt->cls)
    cls_charge (tkt->cls, tkt, -(double)tkt->charged);
  prefix_affinity_remove (cel->prefix_affinity, tkt->prefix, srv->slot);
}

/* Frees the slot of a ticket whose attempt ended.  */
void
cel_release (struct cel *cel, const char *from,
             const struct msg_release *release)
{
  struct tkt *tkt = tkt_find (&cel->tickets, from, release->ticket);
  if (!tkt)
    return;
  if (tkt->srv)
    learn_end (cel, tkt, tkt->srv, release);
  if (tkt->srv && tkt->srv->server_health.consecutive_failures > 0)
    review_health (cel);
  cel_drop (cel, tkt);
  cel_free_idle_gone (cel);
  cel_refuse_unless_served (cel);
  cel_pump (cel);
}

/* Drops all tickets of an entry instance that is down or was restarted.  */
void
cel_entry_lost (struct cel *cel, const char *from)
{
  struct ent *ent;
  while ((ent = tkt_entry (&cel->tickets, from)))
    cel_drop (cel, ent->tickets.head->data);
  cel_free_idle_gone (cel);
  cel_pump (cel);
}

/* Marks BACKEND leaving or back; a leaving one gets no new work.  */
void
cel_set_leaving (struct cel *cel, const char *backend, gboolean leaving)
{
  struct srv *srv = cel_find_server (cel, backend);
  if (!srv)
    return;
  srv->leaving = leaving;
  cel_refuse_unless_served (cel);
  cel_pump (cel);
}

/* Takes BACKEND's own load report, a hint that lags.  */
void
cel_load_report (struct cel *cel, const char *backend,
                 const struct cel_load *load)
{
  struct srv *srv = cel_find_server (cel, backend);
  if (srv)
    srv_load (srv, load, clk_now (cel->clk));
}

/* Takes a hint that BACKEND's cache holds, or no longer holds, PREFIX.  */
void
cel_cache_event (struct cel *cel, const char *backend, guint64 prefix,
                 gboolean held)
{
  const struct srv *srv = cel_find_server (cel, backend);
  if (!srv || prefix == 0)
    return;
  if (held)
    prefix_affinity_add (cel->prefix_affinity, prefix, srv->slot,
                         clk_now (cel->clk));
  else
    prefix_affinity_remove (cel->prefix_affinity, prefix, srv->slot);
}

static void
expire_deadlines (struct cel *cel, gint64 now)
{
  while (!g_sequence_is_empty (cel->deadlines))
    {
      struct tkt *tkt
          = g_sequence_get (g_sequence_get_begin_iter (cel->deadlines));
      if (tkt->deadline > now)
        return;
      cel_refuse (cel, tkt,
                  tem_at_limit (tkt->team) ? MSG_REASON_TEAM_LIMIT
                                           : MSG_REASON_DEADLINE);
    }
}

static void
expire_silent (struct cel *cel, gint64 now)
{
  GList *l;
  while ((l = cel->tickets.by_heard.head))
    {
      struct tkt *tkt = l->data;
      if (now - tkt->heard < CEL_SILENT_US)
        return;
      cel_drop (cel, tkt);
    }
}

static void
expire_grants (struct cel *cel, gint64 now)
{
  for (guint i = 0; i < cel->servers->len; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      for (GList *l = srv->in_flight.head, *next; l; l = next)
        {
          struct tkt *tkt = l->data;
          next = l->next;
          if (tkt->state != TKT_GRANTED
              || now - tkt->granted < CEL_GRANT_EXPIRY_US)
            continue;
          counter_add (cel->counter_set, COUNTER_GRANT_EXPIRED, 1);
          cel_drop (cel, tkt);
        }
    }
}

/* Expires deadlines, grants and silent tickets, reviews the servers.  */
void
cel_tick (struct cel *cel)
{
  gint64 now = clk_now (cel->clk);
  expire_deadlines (cel, now);
  expire_grants (cel, now);
  expire_silent (cel, now);
  for (guint i = 0; i < cel->servers->len; i++)
    srv_tick (cel->servers->pdata[i], now);
  review_health (cel);
  cel_free_idle_gone (cel);
  cel_pump (cel);
  cel_preempt (cel);
}

/* Tells whether no ticket waits or runs, so that the owner may be freed.  */
gboolean
cel_is_idle (const struct cel *cel)
{
  return g_hash_table_size (cel->tickets.tickets) == 0;
}
