/* The steps of a ticket's life: waiting, granted, running, refused, gone.  */
#include "cell/cel_int.h"

/* Sends the grant of TKT, also when its entry has not heard of it.  */
void
cel_send_grant (struct cel *cel, const struct tkt *tkt)
{
  struct msg msg = { .kind = MSG_GRANT };
  msg.grant.ticket = tkt->id;
  msg.grant.backend = tkt->srv->cfg.name;
  msg.grant.priority = tkt->cls ? tkt->cls->cfg.tier : CLUSTER_TIERS_MAX - 1;
  msg.grant.use_within_us = CEL_USE_WITHIN_US;
  msg.grant.echo_us = tkt->sent_us;
  cel->send (cel->ctx, tkt->ent->id.s, &msg);
}

/* Sends a refusal for TICKET of instance TO; CLS is NULL if unknown.  */
void
cel_send_refuse (struct cel *cel, const char *to, guint64 ticket,
                 enum msg_reason reason, const struct cls *cls,
                 const struct tem *team)
{
  struct msg msg = { .kind = MSG_REFUSE };
  msg.refuse.ticket = ticket;
  msg.refuse.reason = reason;
  msg.refuse.retry_after_us = cel_retry_after (cel, cls, team);
  counter_add (cel->counter_set, COUNTER_REJECTIONS, 1);
  cel->send (cel->ctx, to, &msg);
}

static gint
by_deadline (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct tkt *x = a;
  const struct tkt *y = b;
  return (x->deadline > y->deadline) - (x->deadline < y->deadline);
}

static void
attach (struct tkt *tkt, struct cls *cls, struct tem *team)
{
  tkt->cls = cls;
  tkt->team = team;
  tkt->flw = cls ? cls_flow (cls, team) : NULL;
  team->n_tickets++;
}

/* Makes TKT wait in the queue of CLS for TEAM.  */
void
cel_enqueue (struct cel *cel, struct tkt *tkt, struct cls *cls,
             struct tem *team)
{
  attach (tkt, cls, team);
  tkt->state = TKT_WAITING;
  if (cls->n_waiting == 0)
    fair_queue_activate (&cel->tiers[cls->cfg.tier], &cls->own);
  cls_push (cls, tkt);
  tkt->in_deadline
      = g_sequence_insert_sorted (cel->deadlines, tkt, by_deadline, NULL);
}

/* Notes that the deadline of a waiting TKT changed.  */
void
cel_reschedule (struct tkt *tkt)
{
  g_sequence_sort_changed (tkt->in_deadline, by_deadline, NULL);
}

/* Takes a waiting TKT out of its queues.  */
void
cel_unqueue (struct cel *cel, struct tkt *tkt)
{
  (void)cel;
  cls_remove (tkt->cls, tkt);
  if (tkt->cls->n_waiting == 0)
    share_credit_idle (&tkt->cls->share_credit);
  g_sequence_remove (tkt->in_deadline);
  tkt->in_deadline = NULL;
}

static void
count_running (struct cel *cel, struct tkt *tkt, struct srv *srv)
{
  tkt->granted = clk_now (cel->clk);
  srv_take (srv, tkt, tkt->granted);
  tkt->team->n_running++;
  if (tkt->cls)
    tkt->cls->n_running++;
}

static void
charge_start (struct cel *cel, struct tkt *tkt)
{
  struct cls *cls = tkt->cls;
  fair_queue_serve (&cel->tiers[cls->cfg.tier], &cls->own);
  cls_serve (cls, tkt);
  tkt->charged = tkt->generated > 0 ? 0 : MAX (1, tkt->prompt_tokens);
  cls_charge (cls, tkt, tkt->charged);
}

static void
count_shares (struct cel *cel, struct cls *started)
{
  for (guint i = 0; i < cel->classes->len; i++)
    {
      struct cls *cls = cel->classes->pdata[i];
      if (cls->n_waiting > 0)
        share_credit_earn (&cls->share_credit);
    }
  share_credit_spend (&started->share_credit);
}

/* Grants a waiting TKT a slot of SRV.  */
void
cel_start (struct cel *cel, struct tkt *tkt, struct srv *srv)
{
  if (tkt->generated == 0) /* going on after a preemption is no start */
    count_shares (cel, tkt->cls);
  charge_start (cel, tkt);
  cel_unqueue (cel, tkt);
  tkt->state = TKT_GRANTED;
  count_running (cel, tkt, srv);
  rate_window_add_start (&cel->rate);
  server_health_probe_started (&srv->server_health, tkt->granted);
  if (tkt->prefix != 0)
    prefix_affinity_add (cel->prefix_affinity, tkt->prefix, srv->slot,
                         tkt->granted);
  counter_add (cel->counter_set, COUNTER_GRANTS, 1);
  cel_send_grant (cel, tkt);
}

/* Counts a new TKT that already runs on SRV; CLS is NULL if unknown.  */
void
cel_adopt (struct cel *cel, struct tkt *tkt, struct srv *srv, struct cls *cls,
           struct tem *team)
{
  attach (tkt, cls, team);
  tkt->state = TKT_RUNNING;
  count_running (cel, tkt, srv);
}

/* Forgets TKT in whatever state it is, without a message.  */
void
cel_drop (struct cel *cel, struct tkt *tkt)
{
  if (tkt->state == TKT_WAITING)
    cel_unqueue (cel, tkt);
  else
    {
      srv_drop (tkt->srv, tkt);
      tkt->team->n_running--;
      if (tkt->cls)
        {
          tkt->cls->n_running--;
          tkt->cls->n_preempted -= tkt->preempted;
        }
    }
  tkt->team->n_tickets--;
  tkt_remove (&cel->tickets, tkt);
}

/* Gives TKT its final word: a refusal.  */
void
cel_refuse (struct cel *cel, struct tkt *tkt, enum msg_reason reason)
{
  struct str_id to = tkt->ent->id;
  guint64 id = tkt->id;
  const struct cls *cls = tkt->cls;
  const struct tem *team = tkt->team;
  cel_drop (cel, tkt);
  cel_send_refuse (cel, to.s, id, reason, cls, team);
}
