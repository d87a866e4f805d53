/* Tickets with cell owners: offers, grants, refusals, progress, and what moves
   them to another owner or cell.  */
#include "node/nod_int.h"

#include <string.h>

/* Forgets REQ's ticket here; the owner is not told.  */
void
nod_ticket_drop (struct nod *nod, struct nod_req *req)
{
  if (req->ticket != 0)
    g_hash_table_remove (nod->tickets, &req->ticket);
  req->ticket = 0;
}

/* Ends the grant of REQ's attempt at its owner with what was seen.  */
void
nod_ticket_release (struct nod *nod, struct nod_req *req,
                    enum msg_result result)
{
  struct msg msg = { .kind = MSG_RELEASE };
  msg.release.ticket = req->ticket;
  msg.release.backend = req->backend;
  msg.release.result = result;
  if (req->first_token != 0)
    msg.release.ttft_us = (guint32)(req->first_token - req->opened);
  msg.release.tbt_us = nod_attempt_mean_tbt (req);
  msg.release.tokens = req->unreported;
  req->unreported = 0;
  nod_send (nod, req->owner.s, &msg);
}

/* Gives back a grant that is not used.  */
static void
send_unused (struct nod *nod, const char *to, const struct msg_grant *grant)
{
  struct msg msg = { .kind = MSG_RELEASE };
  msg.release.ticket = grant->ticket;
  msg.release.backend = grant->backend;
  msg.release.result = MSG_RESULT_UNUSED;
  nod_send (nod, to, &msg);
}

/* Tells owner TO that TICKET is void, whatever its state.  */
void
nod_ticket_withdraw (struct nod *nod, const char *to, guint64 ticket)
{
  struct msg msg = { .kind = MSG_WITHDRAW };
  msg.withdraw.ticket = ticket;
  nod_send (nod, to, &msg);
}

/* Sends REQ's ticket to its owner; a running request is offered as such.  */
static void
send_offer (struct nod *nod, struct nod_req *req)
{
  gint64 now = clk_now (nod->clk);
  struct msg msg = { .kind = MSG_OFFER };
  struct msg_offer *offer = &msg.offer;
  offer->ticket = req->ticket;
  offer->cell = req->cell;
  offer->class_name = nod_req_class (req)->name;
  offer->team = req->cfg->teams[req->spec.team_index].name;
  offer->wait_us = MAX (0, req->deadline - now);
  offer->waited_us = now - req->arrived;
  offer->prefix = req->spec.prefix;
  offer->prompt_tokens = req->spec.prompt_tokens;
  offer->max_tokens = req->spec.max_tokens;
  offer->generated = req->generated;
  offer->resumable = nod_req_is_resumable (req);
  if (req->state != REQ_WAITING)
    offer->running = req->backend;
  offer->sent_us = now;
  memcpy (offer->avoid, req->avoid, sizeof offer->avoid);
  req->offer_at = 0;
  ctr_add (nod->ctr, CTR_OFFERS, 1);
  nod_send (nod, req->owner.s, &msg);
}

/* Chooses a cell for REQ and offers it there under a new ticket. Returns
   FALSE if no cell is left to try.  */
gboolean
nod_ticket_offer_anew (struct nod *nod, struct nod_req *req)
{
  nod_ticket_drop (nod, req);
  if (!nod_route (nod, req))
    return FALSE;
  req->ticket = ++nod->next_ticket;
  g_hash_table_insert (nod->tickets, &req->ticket, req);
  send_offer (nod, req);
  return TRUE;
}

/* A cell's owner granted a server. A grant that is no longer wanted is
   given back at once.  */
void
nod_ticket_grant (struct nod *nod, const char *from,
                  const struct msg_grant *grant)
{
  struct nod_req *req = g_hash_table_lookup (nod->tickets, &grant->ticket);
  gboolean current = req != NULL && strcmp (req->owner.s, from) == 0;
  if (current && req->state != REQ_WAITING)
    return; /* the grant in use, sent again */
  if (!current || !nod_attempt_may_use (nod, grant->echo_us, grant->backend.s))
    {
      send_unused (nod, from, grant);
      if (current)
        req->offer_at = clk_now (nod->clk) + NOD_REQUEUE_US;
      return;
    }
  req->backend = grant->backend;
  req->priority = grant->priority;
  req->grant_echo = grant->echo_us;
  req->offer_at = 0;
  if (req->spec.keyed && !req->recorded)
    {
      if (nod_req_step (nod, req, REQ_EV_GRANT_KEYED))
        claims_request (nod->claims, req->spec.id, req->spec.key,
                        req->spec.body);
    }
  else if (nod_req_step (nod, req, REQ_EV_GRANT))
    nod_attempt_open (nod, req);
}

/* Every server was tried or avoided. A server that failed once may be well by
   now, so all are open once more; attempts are bounded by the retry budget.
   Returns FALSE if this was done before.  */
static gboolean
forgive_servers (struct nod_req *req)
{
  if (req->n_avoid == 0 || req->forgiven)
    return FALSE;
  memset (req->avoid, 0, sizeof req->avoid);
  req->n_avoid = 0;
  req->n_tried = 0;
  req->forgiven = TRUE;
  return TRUE;
}

static void
mark_tried (struct nod_req *req)
{
  if (req->n_tried < NOD_CELLS_TRIED_MAX)
    req->tried[req->n_tried++] = req->cell;
}

/* A cell's owner refused REQ's ticket: another cell is tried where the
   reason allows, else the refusal is final.  */
void
nod_ticket_refuse (struct nod *nod, const char *from,
                   const struct msg_refuse *refuse)
{
  struct nod_req *req = g_hash_table_lookup (nod->tickets, &refuse->ticket);
  if (req == NULL || strcmp (req->owner.s, from) != 0
      || req->state != REQ_WAITING)
    return;
  switch (refuse->reason)
    {
    case MSG_REASON_NOT_OWNER:
    case MSG_REASON_DRAINING:
    case MSG_REASON_NO_CONFIG:
      req->offer_at = clk_now (nod->clk) + NOD_REQUEUE_US;
      return;
    case MSG_REASON_OVERLOAD:
    case MSG_REASON_DISPLACED:
    case MSG_REASON_DEADLINE:
    case MSG_REASON_NO_SERVER:
      mark_tried (req);
      if (req->n_tried < NOD_CELLS_TRIED_MAX
          && clk_now (nod->clk) < req->deadline
          && nod_ticket_offer_anew (nod, req))
        return;
      if (refuse->reason == MSG_REASON_NO_SERVER && forgive_servers (req)
          && nod_ticket_offer_anew (nod, req))
        return;
      break;
    default:
      break;
    }
  nod_req_end_refused (nod, req, refuse->reason, refuse->retry_after_us, from);
}

/* A cell's owner takes a running server back for a higher tier: the attempt
   is cancelled and the request waits to be resumed.  */
void
nod_ticket_preempt (struct nod *nod, const char *from,
                    const struct msg_preempt *preempt)
{
  struct nod_req *req = g_hash_table_lookup (nod->tickets, &preempt->ticket);
  if (req == NULL || strcmp (req->owner.s, from) != 0
      || req->state != REQ_RUNNING || !nod_req_is_resumable (req))
    return;
  nod_req_let_go (nod, req);
  if (nod_req_step (nod, req, REQ_EV_REQUEUE)
      && !nod_ticket_offer_anew (nod, req))
    nod_req_end_refused (nod, req, req->no_route, CLK_S, from);
}

static void
reoffer (struct nod *nod, struct nod_req *req, const char *lost)
{
  const char *owner = nod_owner (nod, str_of (req->cell.s));
  gboolean restarted = lost != NULL && strcmp (req->owner.s, lost) == 0;
  if (owner == NULL && req->state == REQ_WAITING)
    {
      /* The other failure domain cannot be heard any more. */
      mark_tried (req);
      if (!nod_ticket_offer_anew (nod, req))
        nod_req_end_refused (nod, req, req->no_route, CLK_S, nod->self.s);
      return;
    }
  if (owner == NULL || (strcmp (owner, req->owner.s) == 0 && !restarted))
    return;
  if (!restarted)
    nod_ticket_withdraw (nod, req->owner.s, req->ticket);
  str_id_set (&req->owner, str_of (owner));
  ctr_add (nod->ctr, CTR_REOFFERS, 1);
  send_offer (nod, req);
}

/* The view of the instances changed; LOST (may be NULL) went or was
   restarted, so that its tickets are gone. Offers what it had, waiting or
   running, to the owners of now.  */
void
nod_ticket_view_changed (struct nod *nod, const char *lost)
{
  GList *all = g_hash_table_get_values (nod->tickets);
  for (GList *l = all; l != NULL; l = l->next)
    reoffer (nod, l->data, lost);
  g_list_free (all);
}

/* The connection to instance ID went, and with it what was under way, or a new
   one stands: ID's tickets are offered again in DELAY microseconds, which the
   owner takes as a repetition.  */
void
nod_ticket_reconnect (struct nod *nod, const char *id, gint64 delay)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, nod->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct nod_req *req = value;
      if (strcmp (req->owner.s, id) == 0)
        req->offer_at = clk_now (nod->clk) + delay;
    }
}

/* Offers REQ's ticket once more to the owner of now.  */
void
nod_ticket_offer_again (struct nod *nod, struct nod_req *req)
{
  const char *owner = nod_owner (nod, str_of (req->cell.s));
  if (owner != NULL)
    str_id_set (&req->owner, str_of (owner));
  send_offer (nod, req);
}

/* Sends one progress report to each owner: it charges the tokens and keeps
   the tickets alive.  */
void
nod_ticket_progress (struct nod *nod)
{
  GHashTable *by_owner = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                                (GDestroyNotify)g_array_unref);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, nod->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct nod_req *req = value;
      struct msg_progress_item item
          = { req->ticket, req->unreported,
              req->state == REQ_RUNNING ? nod_attempt_mean_tbt (req) : 0 };
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
      msg.progress.sent_us = clk_now (nod->clk);
      msg.progress.items = (struct msg_progress_item *)items->data;
      msg.progress.n_items = items->len;
      nod_send (nod, owner, &msg);
    }
  g_hash_table_unref (by_owner);
}

static gint
by_tier_and_age (gconstpointer a, gconstpointer b)
{
  const struct nod_req *x = *(struct nod_req *const *)a;
  const struct nod_req *y = *(struct nod_req *const *)b;
  guint tier_x = nod_req_class (x)->tier;
  guint tier_y = nod_req_class (y)->tier;
  if (tier_x != tier_y)
    return tier_x < tier_y ? -1 : 1;
  return x->arrived < y->arrived ? -1 : x->arrived > y->arrived;
}

/* Returns the requests that have waited long enough to move, the highest tier
   and the oldest first.  */
static GPtrArray *
find_movable (const struct nod *nod)
{
  GPtrArray *found = g_ptr_array_new ();
  gint64 now = clk_now (nod->clk);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, nod->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct nod_req *req = value;
      if (req->state == REQ_WAITING && now - req->arrived >= NOD_MOVE_US)
        g_ptr_array_add (found, req);
    }
  g_ptr_array_sort (found, by_tier_and_age);
  return found;
}

/* Moves waiting requests from crowded cells to those with free slots, so that
   no server idles while work for it waits elsewhere in the region.  */
void
nod_ticket_rebalance (struct nod *nod)
{
  GPtrArray *movable = find_movable (nod);
  for (guint i = 0; i < movable->len; i++)
    {
      struct nod_req *req = movable->pdata[i];
      struct str_id owner = req->owner;
      guint64 ticket = req->ticket;
      if (!nod_route_move (nod, req))
        continue;
      nod_ticket_withdraw (nod, owner.s, ticket);
      nod_ticket_drop (nod, req);
      req->ticket = ++nod->next_ticket;
      g_hash_table_insert (nod->tickets, &req->ticket, req);
      ctr_add (nod->ctr, CTR_MOVED, 1);
      send_offer (nod, req);
    }
  g_ptr_array_unref (movable);
}
