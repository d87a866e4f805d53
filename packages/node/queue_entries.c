/* Queue entries of this instance's requests at the owners of scheduling
   shards. An owner grants a server for an entry, rejects it, or preempts the
   attempt later. Entries are sent again when owners change and may move to
   another shard.  */
#include "node/core_internal.h"

#include <string.h>

/* Removes REQ's queue entry on this instance. The owner is not notified.  */
void
core_queue_remove (struct core *core, struct core_request *req)
{
  if (req->queue_entry != 0)
    g_hash_table_remove (core->queue_entries, &req->queue_entry);
  req->queue_entry = 0;
}

/* Releases the grant of REQ's attempt, which ended with RESULT, and reports
   the measured token times to the shard owner.  */
void
core_queue_release (struct core *core, struct core_request *req,
                    enum msg_result result)
{
  struct msg msg = { .kind = MSG_RELEASE };
  msg.release.queue_entry = req->queue_entry;
  msg.release.backend = req->backend;
  msg.release.result = result;
  if (req->first_token != 0)
    msg.release.ttft_us = (guint32)(req->first_token - req->attempt_started);
  msg.release.tbt_us = core_attempt_mean_tbt (req);
  msg.release.tokens = req->unreported;
  req->unreported = 0;
  core_send (core, req->owner.s, &msg);
}

/* Returns an unused grant to shard owner TO.  */
static void
return_grant (struct core *core, const char *to, const struct msg_grant *grant)
{
  struct msg msg = { .kind = MSG_RELEASE };
  msg.release.queue_entry = grant->queue_entry;
  msg.release.backend = grant->backend;
  msg.release.result = MSG_RESULT_UNUSED;
  core_send (core, to, &msg);
}

/* Withdraws a queue entry at shard owner TO, whatever its state there.  */
void
core_queue_withdraw (struct core *core, const char *to, guint64 queue_entry)
{
  struct msg msg = { .kind = MSG_WITHDRAW };
  msg.withdraw.queue_entry = queue_entry;
  core_send (core, to, &msg);
}

/* Sends REQ's queue entry to its shard owner. For a request that is not
   waiting it names the granted server, so that a new owner can account for
   it.  */
static void
send_enqueue (struct core *core, struct core_request *req)
{
  gint64 now = clk_now (core->clk);
  struct msg msg = { .kind = MSG_ENQUEUE };
  struct msg_enqueue *entry = &msg.enqueue;
  entry->queue_entry = req->queue_entry;
  entry->shard = req->shard;
  entry->class_name = core_request_class (req)->name;
  entry->team = req->cfg->teams[req->spec.team_index].name;
  entry->wait_us = MAX (0, req->deadline - now);
  entry->waited_us = now - req->arrived;
  entry->prefix = req->spec.prefix;
  entry->prompt_tokens = req->spec.prompt_tokens;
  entry->max_tokens = req->spec.max_tokens;
  entry->generated = req->generated - req->unreported;
  entry->resumable = core_request_is_resumable (req);
  if (req->state != REQUEST_WAITING)
    entry->running = req->backend;
  entry->sent_us = now;
  memcpy (entry->avoid, req->avoid, sizeof entry->avoid);
  req->enqueue_at = 0;
  counter_add (core->counter_set, COUNTER_ENQUEUED, 1);
  core_send (core, req->owner.s, &msg);
}

/* Chooses a shard for REQ and enqueues it there under a new number. Returns
   FALSE, with the reason in REQ, if no shard is left to try.  */
gboolean
core_queue_enqueue (struct core *core, struct core_request *req)
{
  core_queue_remove (core, req);
  if (!core_route (core, req))
    return FALSE;
  req->queue_entry = ++core->next_queue_entry;
  g_hash_table_insert (core->queue_entries, &req->queue_entry, req);
  send_enqueue (core, req);
  return TRUE;
}

/* Handles a grant of a server by shard owner FROM: starts the attempt or, for
   the first attempt of a keyed request, writes its record to the ledger. A
   grant that cannot be used is returned at once.  */
void
core_queue_grant (struct core *core, const char *from,
                  const struct msg_grant *grant)
{
  struct core_request *req
      = g_hash_table_lookup (core->queue_entries, &grant->queue_entry);
  gboolean current = req != NULL && strcmp (req->owner.s, from) == 0;
  if (current && req->state != REQUEST_WAITING)
    return; /* duplicate of the grant in use */
  if (!current
      || !core_attempt_may_use (core, grant->echo_us, grant->backend.s))
    {
      return_grant (core, from, grant);
      if (current)
        req->enqueue_at = clk_now (core->clk) + CORE_REQUEUE_DELAY_US;
      return;
    }
  req->backend = grant->backend;
  req->priority = grant->priority;
  req->grant_not_before = grant->echo_us;
  req->enqueue_at = 0;
  if (req->spec.keyed && !req->recorded)
    {
      if (core_request_step (core, req, REQUEST_EV_GRANT_KEYED))
        claims_request (core->claims, req->spec.id, req->spec.key,
                        req->spec.body_digest);
    }
  else if (core_request_step (core, req, REQUEST_EV_GRANT))
    core_attempt_open (core, req);
}

/* Empties REQ's list of servers to avoid, after every server was tried or
   avoided: a server that failed once may work again by now. The retry budget
   still bounds the attempts. Returns FALSE if the list was emptied before.  */
static gboolean
clear_avoided_servers (struct core_request *req)
{
  if (req->n_avoid == 0 || req->avoid_cleared)
    return FALSE;
  memset (req->avoid, 0, sizeof req->avoid);
  req->n_avoid = 0;
  req->n_tried_shards = 0;
  req->avoid_cleared = TRUE;
  return TRUE;
}

static void
mark_shard_tried (struct core_request *req)
{
  if (req->n_tried_shards < CORE_SHARDS_TRIED_MAX)
    req->tried_shards[req->n_tried_shards++] = req->shard;
}

/* Handles the rejection of a queue entry by shard owner FROM. The request is
   sent to the same shard again or to another one where the reason allows it;
   otherwise the rejection ends it.  */
void
core_queue_rejected (struct core *core, const char *from,
                     const struct msg_reject *rejection)
{
  struct core_request *req
      = g_hash_table_lookup (core->queue_entries, &rejection->queue_entry);
  if (req == NULL || strcmp (req->owner.s, from) != 0
      || req->state != REQUEST_WAITING)
    return;
  switch (rejection->reason)
    {
    case MSG_REASON_NOT_OWNER:
    case MSG_REASON_DRAINING:
    case MSG_REASON_NO_CONFIG:
      req->enqueue_at = clk_now (core->clk) + CORE_REQUEUE_DELAY_US;
      return;
    case MSG_REASON_OVERLOAD:
    case MSG_REASON_EVICTED:
    case MSG_REASON_DEADLINE:
    case MSG_REASON_NO_SERVER:
      mark_shard_tried (req);
      if (req->n_tried_shards < CORE_SHARDS_TRIED_MAX
          && clk_now (core->clk) < req->deadline
          && core_queue_enqueue (core, req))
        return;
      if (rejection->reason == MSG_REASON_NO_SERVER
          && clear_avoided_servers (req) && core_queue_enqueue (core, req))
        return;
      break;
    default:
      break;
    }
  core_request_reject (core, req, rejection->reason, rejection->retry_after_us,
                       from);
}

/* Handles a preemption: shard owner FROM needs the server for a higher tier.
   The attempt is cancelled and the request enqueued again to be resumed. If it
   cannot be resumed any more, the owner is told, which may preempt another
   one.  */
void
core_queue_preempt (struct core *core, const char *from,
                    const struct msg_preempt *preempt)
{
  struct core_request *req
      = g_hash_table_lookup (core->queue_entries, &preempt->queue_entry);
  if (req == NULL || strcmp (req->owner.s, from) != 0
      || req->state != REQUEST_RUNNING)
    return;
  if (!core_request_is_resumable (req))
    {
      send_enqueue (core, req);
      return;
    }
  core_request_cancel_work (core, req);
  if (core_request_step (core, req, REQUEST_EV_REQUEUE)
      && !core_queue_enqueue (core, req))
    core_request_reject (core, req, req->no_route_reason, CLK_S, from);
}

/* Sends REQ's queue entry to the current owner of its shard if that is another
   instance than before or LOST (may be NULL). A waiting request whose shard
   has no known owner goes to another shard.  */
static void
follow_owner (struct core *core, struct core_request *req, const char *lost)
{
  const char *owner = core_shard_owner (core, str_of (req->shard.s));
  gboolean restarted = lost != NULL && strcmp (req->owner.s, lost) == 0;
  if (owner == NULL && req->state == REQUEST_WAITING)
    {
      /* The shard was removed from the configuration, or it is in another
         failure domain and has no recent summary or its owner is down. */
      mark_shard_tried (req);
      if (!core_queue_enqueue (core, req))
        core_request_reject (core, req, req->no_route_reason, CLK_S,
                             core->self.s);
      return;
    }
  if (owner == NULL || (strcmp (owner, req->owner.s) == 0 && !restarted))
    return;
  if (!restarted)
    core_queue_withdraw (core, req->owner.s, req->queue_entry);
  str_id_set (&req->owner, str_of (owner));
  counter_add (core->counter_set, COUNTER_REENQUEUED, 1);
  send_enqueue (core, req);
}

/* Handles a change in the view of the instances: sends queue entries, of
   waiting and of running requests, to the current owners of their shards.
   LOST, unless NULL, is an instance that is down or was restarted and has lost
   its queue entries.  */
void
core_queue_view_changed (struct core *core, const char *lost)
{
  GList *all = g_hash_table_get_values (core->queue_entries);
  for (GList *l = all; l != NULL; l = l->next)
    follow_owner (core, l->data, lost);
  g_list_free (all);
}

/* Has the queue entries at instance ID sent again in DELAY microseconds.
   Called when the connection to it was lost, with the messages in transit, or
   established again. The owner recognizes entries that it has already.  */
void
core_queue_reenqueue_after (struct core *core, const char *id, gint64 delay)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->queue_entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_request *req = value;
      if (strcmp (req->owner.s, id) == 0)
        req->enqueue_at = clk_now (core->clk) + delay;
    }
}

/* Sends REQ's queue entry again, to the current owner of its shard.  */
void
core_queue_reenqueue (struct core *core, struct core_request *req)
{
  const char *owner = core_shard_owner (core, str_of (req->shard.s));
  if (owner != NULL)
    str_id_set (&req->owner, str_of (owner));
  send_enqueue (core, req);
}

/* Sends one progress report to each shard owner with the new tokens of all
   queue entries there. Owners drop entries that are not reported.  */
void
core_queue_report_progress (struct core *core)
{
  GHashTable *by_owner = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                                (GDestroyNotify)g_array_unref);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->queue_entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_request *req = value;
      struct msg_progress_item item
          = { req->queue_entry, req->unreported,
              req->state == REQUEST_RUNNING ? core_attempt_mean_tbt (req) : 0 };
      GArray *items = g_hash_table_lookup (by_owner, req->owner.s);
      if (items == NULL)
        {
          items = g_array_new (FALSE, FALSE, sizeof item);
          g_hash_table_insert (by_owner, req->owner.s, items);
        }
      g_array_append_val (items, item);
      req->unreported = 0;
    }
  gpointer owner;
  g_hash_table_iter_init (&iter, by_owner);
  while (g_hash_table_iter_next (&iter, &owner, &value))
    {
      GArray *items = value;
      struct msg msg = { .kind = MSG_PROGRESS };
      msg.progress.sent_us = clk_now (core->clk);
      msg.progress.items = (struct msg_progress_item *)items->data;
      msg.progress.n_items = items->len;
      core_send (core, owner, &msg);
    }
  g_hash_table_unref (by_owner);
}

static gint
by_tier_and_age (gconstpointer a, gconstpointer b)
{
  const struct core_request *x = *(struct core_request *const *)a;
  const struct core_request *y = *(struct core_request *const *)b;
  guint tier_x = core_request_class (x)->tier;
  guint tier_y = core_request_class (y)->tier;
  if (tier_x != tier_y)
    return tier_x < tier_y ? -1 : 1;
  return x->arrived < y->arrived ? -1 : x->arrived > y->arrived;
}

/* Returns the requests that have waited long enough to be moved to another
   shard, sorted by tier, highest first, and then by age, oldest first.  */
static GPtrArray *
find_movable (const struct core *core)
{
  GPtrArray *found = g_ptr_array_new ();
  gint64 now = clk_now (core->clk);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->queue_entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_request *req = value;
      if (req->state == REQUEST_WAITING
          && now - req->arrived >= CORE_MOVE_AFTER_US)
        g_ptr_array_add (found, req);
    }
  g_ptr_array_sort (found, by_tier_and_age);
  return found;
}

/* Moves waiting requests from overloaded shards to shards with free slots, so
   that no server is idle while requests wait elsewhere in the region.  */
void
core_queue_rebalance (struct core *core)
{
  GPtrArray *movable = find_movable (core);
  for (guint i = 0; i < movable->len; i++)
    {
      struct core_request *req = movable->pdata[i];
      struct str_id old_owner = req->owner;
      guint64 old_entry = req->queue_entry;
      if (!core_route_move (core, req))
        continue;
      core_queue_withdraw (core, old_owner.s, old_entry);
      core_queue_remove (core, req);
      req->queue_entry = ++core->next_queue_entry;
      g_hash_table_insert (core->queue_entries, &req->queue_entry, req);
      counter_add (core->counter_set, COUNTER_MOVED, 1);
      send_enqueue (core, req);
    }
  g_ptr_array_unref (movable);
}
