/* The steps of a ticket's life: waiting, granted, running, refused, gone.  */
#include "cell/shard_internal.h"

/* Sends the grant of TKT, also when its entry has not heard of it.  */
void
shard_send_grant (struct shard_owner *shard_owner,
                  const struct queued_request *queued_request)
{
  struct msg msg = { .kind = MSG_GRANT };
  msg.grant.ticket = queued_request->id;
  msg.grant.backend = queued_request->shard_server->cfg.name;
  msg.grant.priority = queued_request->class_queue
                           ? queued_request->class_queue->cfg.tier
                           : CFG_TIERS_MAX - 1;
  msg.grant.use_within_us = SHARD_USE_WITHIN_US;
  msg.grant.echo_us = queued_request->sent_us;
  shard_owner->send (shard_owner->ctx, queued_request->ent->id.s, &msg);
}

/* Sends a refusal for TICKET of instance TO; CLS is NULL if unknown.  */
void
shard_send_reject (struct shard_owner *shard_owner, const char *to,
                   guint64 ticket, enum msg_reason reason,
                   const struct class_queue *class_queue,
                   const struct team_state *team)
{
  struct msg msg = { .kind = MSG_REFUSE };
  msg.refuse.ticket = ticket;
  msg.refuse.reason = reason;
  msg.refuse.retry_after_us
      = shard_retry_after (shard_owner, class_queue, team);
  ctr_add (shard_owner->ctr, CTR_REFUSALS, 1);
  shard_owner->send (shard_owner->ctx, to, &msg);
}

static gint
by_deadline (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct queued_request *x = a;
  const struct queued_request *y = b;
  return (x->deadline > y->deadline) - (x->deadline < y->deadline);
}

static void
attach (struct queued_request *queued_request, struct class_queue *class_queue,
        struct team_state *team)
{
  queued_request->class_queue = class_queue;
  queued_request->team = team;
  queued_request->team_flow
      = class_queue ? class_team_flow (class_queue, team) : NULL;
  team->n_tickets++;
}

/* Makes TKT wait in the queue of CLS for TEAM.  */
void
shard_add_waiting (struct shard_owner *shard_owner,
                   struct queued_request *queued_request,
                   struct class_queue *class_queue, struct team_state *team)
{
  attach (queued_request, class_queue, team);
  queued_request->state = QUEUED_WAITING;
  if (class_queue->n_waiting == 0)
    dfq_wake (&shard_owner->tiers[class_queue->cfg.tier], &class_queue->own);
  class_push (class_queue, queued_request);
  queued_request->in_deadline = g_sequence_insert_sorted (
      shard_owner->deadlines, queued_request, by_deadline, NULL);
}

/* Notes that the deadline of a waiting TKT changed.  */
void
shard_deadline_changed (struct queued_request *queued_request)
{
  g_sequence_sort_changed (queued_request->in_deadline, by_deadline, NULL);
}

/* Takes a waiting TKT out of its queues.  */
void
shard_dequeue (struct shard_owner *shard_owner,
               struct queued_request *queued_request)
{
  (void)shard_owner;
  class_remove (queued_request->class_queue, queued_request);
  if (queued_request->class_queue->n_waiting == 0)
    shr_idle (&queued_request->class_queue->shr);
  g_sequence_remove (queued_request->in_deadline);
  queued_request->in_deadline = NULL;
}

static void
count_running (struct shard_owner *shard_owner,
               struct queued_request *queued_request,
               struct shard_server *shard_server)
{
  queued_request->granted = clk_now (shard_owner->clk);
  server_add (shard_server, queued_request, queued_request->granted);
  queued_request->team->n_running++;
  if (queued_request->class_queue)
    queued_request->class_queue->n_running++;
}

static void
charge_start (struct shard_owner *shard_owner,
              struct queued_request *queued_request)
{
  struct class_queue *class_queue = queued_request->class_queue;
  dfq_serve (&shard_owner->tiers[class_queue->cfg.tier], &class_queue->own);
  class_count_start (class_queue, queued_request);
  queued_request->charged = queued_request->generated > 0
                                ? 0
                                : MAX (1, queued_request->prompt_tokens);
  class_charge (class_queue, queued_request, queued_request->charged);
}

static void
count_shares (struct shard_owner *shard_owner, struct class_queue *started)
{
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      struct class_queue *class_queue = shard_owner->classes->pdata[i];
      if (class_queue->n_waiting > 0)
        shr_earn (&class_queue->shr);
    }
  shr_spend (&started->shr);
}

/* Grants a waiting TKT a slot of SRV.  */
void
shard_grant (struct shard_owner *shard_owner,
             struct queued_request *queued_request,
             struct shard_server *shard_server)
{
  if (queued_request->generated
      == 0) /* going on after a preemption is no start */
    count_shares (shard_owner, queued_request->class_queue);
  charge_start (shard_owner, queued_request);
  shard_dequeue (shard_owner, queued_request);
  queued_request->state = QUEUED_GRANTED;
  count_running (shard_owner, queued_request, shard_server);
  rte_start (&shard_owner->rate);
  hea_probe (&shard_server->hea, queued_request->granted);
  if (queued_request->prefix != 0)
    aff_note (shard_owner->aff, queued_request->prefix, shard_server->slot,
              queued_request->granted);
  ctr_add (shard_owner->ctr, CTR_GRANTS, 1);
  shard_send_grant (shard_owner, queued_request);
}

/* Counts a new TKT that already runs on SRV; CLS is NULL if unknown.  */
void
shard_add_running (struct shard_owner *shard_owner,
                   struct queued_request *queued_request,
                   struct shard_server *shard_server,
                   struct class_queue *class_queue, struct team_state *team)
{
  attach (queued_request, class_queue, team);
  queued_request->state = QUEUED_RUNNING;
  count_running (shard_owner, queued_request, shard_server);
}

/* Forgets TKT in whatever state it is, without a message.  */
void
shard_drop (struct shard_owner *shard_owner,
            struct queued_request *queued_request)
{
  if (queued_request->state == QUEUED_WAITING)
    shard_dequeue (shard_owner, queued_request);
  else
    {
      server_remove (queued_request->shard_server, queued_request);
      queued_request->team->n_running--;
      if (queued_request->class_queue)
        {
          queued_request->class_queue->n_running--;
          queued_request->class_queue->n_preempted -= queued_request->preempted;
        }
    }
  queued_request->team->n_tickets--;
  queued_remove (&shard_owner->tickets, queued_request);
}

/* Gives TKT its final word: a refusal.  */
void
shard_reject (struct shard_owner *shard_owner,
              struct queued_request *queued_request, enum msg_reason reason)
{
  struct str_id to = queued_request->ent->id;
  guint64 id = queued_request->id;
  const struct class_queue *class_queue = queued_request->class_queue;
  const struct team_state *team = queued_request->team;
  shard_drop (shard_owner, queued_request);
  shard_send_reject (shard_owner, to.s, id, reason, class_queue, team);
}
