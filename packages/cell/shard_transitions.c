/* State transitions of a request: waiting, granted, running, rejected,
   dropped.  */
#include "cell/shard_internal.h"

/* Sends a GRANT for REQUEST, also again if the ingress missed the first
   one.  */
void
shard_send_grant (struct shard_owner *shard,
                  const struct queued_request *request)
{
  struct msg msg = { .kind = MSG_GRANT };
  msg.grant.queue_entry = request->id;
  msg.grant.backend = request->server->cfg.name;
  msg.grant.priority
      = request->class ? request->class->cfg.tier : CLUSTER_TIERS_MAX - 1;
  msg.grant.use_within_us = SHARD_USE_WITHIN_US;
  msg.grant.echo_us = request->sent_us;
  shard->send (shard->ctx, request->ingress->id.s, &msg);
}

/* Sends a rejection of request ID to instance TO. CLASS and TEAM may be
   NULL.  */
void
shard_send_reject (struct shard_owner *shard, const char *to, guint64 id,
                   enum msg_reason reason, const struct class_queue *class,
                   const struct team_state *team)
{
  struct msg msg = { .kind = MSG_REJECT };
  msg.reject.queue_entry = id;
  msg.reject.reason = reason;
  msg.reject.retry_after_us = shard_retry_after (shard, class, team);
  counter_add (shard->counter_set, COUNTER_REJECTIONS, 1);
  shard->send (shard->ctx, to, &msg);
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
attach (struct queued_request *request, struct class_queue *class,
        struct team_state *team)
{
  request->class = class;
  request->team = team;
  request->flow = class ? class_team_flow (class, team) : NULL;
  team->n_requests++;
}

/* Adds REQUEST to the queue of CLASS and TEAM.  */
void
shard_add_waiting (struct shard_owner *shard, struct queued_request *request,
                   struct class_queue *class, struct team_state *team)
{
  attach (request, class, team);
  request->state = QUEUED_WAITING;
  if (class->n_waiting == 0)
    fair_queue_activate (&shard->tier_queues[class->cfg.tier],
                         &class->tier_flow);
  class_push (class, request);
  request->in_deadline
      = g_sequence_insert_sorted (shard->deadlines, request, by_deadline, NULL);
}

/* Reorders a waiting REQUEST after a change of its deadline.  */
void
shard_deadline_changed (struct queued_request *request)
{
  g_sequence_sort_changed (request->in_deadline, by_deadline, NULL);
}

/* Takes a waiting REQUEST out of its queues.  */
void
shard_dequeue (struct shard_owner *shard, struct queued_request *request)
{
  (void)shard;
  class_remove (request->class, request);
  if (request->class->n_waiting == 0)
    share_credit_idle (&request->class->start_share);
  g_sequence_remove (request->in_deadline);
  request->in_deadline = NULL;
}

static void
count_running (struct shard_owner *shard, struct queued_request *request,
               struct shard_server *server)
{
  request->granted = clk_now (shard->clk);
  server_add (server, request, request->granted);
  request->team->n_running++;
  if (request->class)
    request->class->n_running++;
}

static void
charge_start (struct shard_owner *shard, struct queued_request *request)
{
  struct class_queue *class = request->class;
  fair_queue_serve (&shard->tier_queues[class->cfg.tier], &class->tier_flow);
  class_count_start (class, request);
  request->charged
      = request->generated > 0 ? 0 : MAX (1, request->prompt_tokens);
  class_charge (class, request, request->charged);
}

static void
update_start_shares (struct shard_owner *shard, struct class_queue *started)
{
  for (guint i = 0; i < shard->classes->len; i++)
    {
      struct class_queue *class = shard->classes->pdata[i];
      if (class->n_waiting > 0)
        share_credit_earn (&class->start_share);
    }
  share_credit_spend (&started->start_share);
}

/* Grants a waiting REQUEST a slot of SERVER.  */
void
shard_grant (struct shard_owner *shard, struct queued_request *request,
             struct shard_server *server)
{
  /* Resuming after a preemption does not count as a start. */
  if (request->generated == 0)
    update_start_shares (shard, request->class);
  charge_start (shard, request);
  shard_dequeue (shard, request);
  request->state = QUEUED_GRANTED;
  count_running (shard, request, server);
  rate_window_add_start (&shard->rate);
  server_health_probe_started (&server->health, request->granted);
  if (request->prefix != 0)
    affinity_add (shard->affinity, request->prefix, server->affinity_index,
                  request->granted);
  counter_add (shard->counter_set, COUNTER_GRANTS, 1);
  shard_send_grant (shard, request);
}

/* Registers a new REQUEST that already runs on SERVER; CLASS is NULL if
   unknown.  */
void
shard_add_running (struct shard_owner *shard, struct queued_request *request,
                   struct shard_server *server, struct class_queue *class,
                   struct team_state *team)
{
  attach (request, class, team);
  request->state = QUEUED_RUNNING;
  count_running (shard, request, server);
}

/* Frees REQUEST, in any state, without sending a message.  */
void
shard_drop (struct shard_owner *shard, struct queued_request *request)
{
  if (request->state == QUEUED_WAITING)
    shard_dequeue (shard, request);
  else
    {
      server_remove (request->server, request);
      request->team->n_running--;
      if (request->class)
        {
          request->class->n_running--;
          request->class->n_preempted -= request->preempted;
        }
    }
  request->team->n_requests--;
  queued_remove (&shard->requests, request);
}

/* Frees REQUEST and sends its ingress a rejection.  */
void
shard_reject (struct shard_owner *shard, struct queued_request *request,
              enum msg_reason reason)
{
  struct str_id to = request->ingress->id;
  guint64 id = request->id;
  const struct class_queue *class = request->class;
  const struct team_state *team = request->team;
  shard_drop (shard, request);
  shard_send_reject (shard, to.s, id, reason, class, team);
}
