#include "node/nod_int.h"
#include "base/jsb.h"

#include <string.h>

const char nod_backend_failed[] = "backend_failed";
const char nod_outcome_unknown[] = "outcome_unknown";

/* Returns the name of RAN as callers see it.  */
const char *
nod_ran_name (enum nod_ran ran)
{
  static const char *const names[] = {
#define RAN_NAME(id, name) name,
    NOD_RANS (RAN_NAME)
#undef RAN_NAME
  };
  return ran < G_N_ELEMENTS (names) ? names[ran] : "?";
}

/* Sends MSG to instance TO. What goes to this instance itself is handled
   before nod_handle returns, never within the call.  */
void
nod_send (struct nod *nod, const char *to, const struct msg *msg)
{
  if (strcmp (to, nod->self.s) == 0)
    {
      g_queue_push_tail (&nod->local, msg_copy (msg));
      return;
    }
  struct nod_action action = { .kind = NOD_DO_SEND };
  action.send.to = to;
  action.send.msg = msg;
  nod->act (nod->ctx, &action);
}

/* Keeps a connection to ADDRESS (IP:PORT) up from now on.  */
void
nod_dial (struct nod *nod, const char *address)
{
  char own[64];
  member_self_address (nod->membership, own);
  if (address[0] == '\0' || strcmp (address, own) == 0)
    return;
  struct nod_action action = { .kind = NOD_DO_DIAL };
  action.dial = address;
  nod->act (nod->ctx, &action);
}

/* Starts a call to the platform for CALLER, which gets the answer under its
   own TOKEN.  */
void
nod_store (struct nod *nod, guint caller, guint64 token,
           const struct sto_call *call)
{
  struct nod_call *waiting = g_new0 (struct nod_call, 1);
  guint64 *id = g_new (guint64, 1);
  waiting->caller = caller;
  waiting->token = token;
  *id = ++nod->next_token;
  g_hash_table_insert (nod->calls, id, waiting);
  struct nod_action action = { .kind = NOD_DO_STORE };
  action.store.token = *id;
  action.store.call = call;
  nod->act (nod->ctx, &action);
}

static void
take_store_answer (struct nod *nod, guint64 id, const struct sto_answer *answer)
{
  struct nod_call *waiting = g_hash_table_lookup (nod->calls, &id);
  if (waiting == NULL)
    return;
  struct nod_call call = *waiting;
  g_hash_table_remove (nod->calls, &id);
  if (call.caller < NOD_CALLER_OBJECT)
    nod_led_answer (nod, call.caller, call.token, answer);
  else if (call.caller == NOD_CALLER_LEASE)
    nod_lease_answer (nod, call.token, answer);
  else if (call.caller == NOD_CALLER_HOLDER)
    nod_lease_take_config (nod, call.token, answer);
  else
    nod_config_answer (nod, call.caller - NOD_CALLER_OBJECT, call.token,
                       answer);
}

/* Makes the decisions of one instance. Returns 0 or < 0 with ERR set if a
   state chart cannot be loaded.  */
int
nod_new (const struct nod_options *options, struct nod **result,
         struct err *err)
{
  struct nod *nod = g_new0 (struct nod, 1);
  nod->clk = options->clk;
  nod->ctr = options->ctr;
  nod->self = options->self;
  nod->domain = options->domain;
  nod->region = options->region;
  nod->incarnation = options->incarnation;
  nod->act = options->act;
  nod->ctx = options->ctx;
  nod->rand = g_rand_new_with_seed (options->seed);
  nod->started = nod->resumed_at = clk_now (nod->clk);
  nod->caught_up = TRUE;
  nod_budget_init (nod);
  g_queue_init (&nod->local);
  nod->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, nod_req_free);
  nod->tickets = g_hash_table_new (g_int64_hash, g_int64_equal);
  nod->cells = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)shard_free);
  nod->infos = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  nod->leaving_servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  nod->listed_leaving
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  nod->calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  int code = nod_req_init (nod, options->chart_folder, err);
  if (code < 0)
    goto fail;
  code = nod_peer_init (nod, options, err);
  if (code < 0)
    goto fail;
  code = nod_lease_init (nod, options->chart_folder, err);
  if (code < 0)
    goto fail;
  nod_led_init (nod);
  nod_config_init (nod);
  *result = nod;
  return 0;

fail:
  nod_free (nod);
  return code;
}

/* Frees NOD; requests in progress get no answer.  */
void
nod_free (struct nod *nod)
{
  if (nod == NULL)
    return;
  g_hash_table_unref (nod->calls);
  nod_led_free (nod);
  nod_config_free (nod);
  nod_lease_free (nod);
  g_hash_table_unref (nod->tickets);
  g_hash_table_unref (nod->requests);
  g_hash_table_unref (nod->cells);
  g_hash_table_unref (nod->infos);
  g_hash_table_unref (nod->leaving_servers);
  g_hash_table_unref (nod->listed_leaving);
  g_queue_clear_full (&nod->local, (GDestroyNotify)msg_free);
  nod_peer_free (nod);
  chr_free (nod->chart);
  cfg_unref (nod->cfg);
  g_rand_free (nod->rand);
  g_free (nod);
}

static void
take_message (struct nod *nod, const char *from, const struct msg *msg)
{
  switch (msg->kind)
    {
    case MSG_HEARTBEAT:
      nod->caught_up = TRUE;
      nod_peer_heartbeat (nod, from, &msg->heartbeat);
      break;
    case MSG_MEMBERS:
      nod_peer_members (nod, &msg->members);
      break;
    case MSG_OFFER:
    case MSG_WITHDRAW:
    case MSG_PROGRESS:
    case MSG_RELEASE:
      nod_cell_message (nod, from, msg);
      break;
    case MSG_GRANT:
      nod_ticket_grant (nod, from, &msg->grant);
      break;
    case MSG_REFUSE:
      nod_ticket_refuse (nod, from, &msg->refuse);
      break;
    case MSG_PREEMPT:
      nod_ticket_preempt (nod, from, &msg->preempt);
      break;
    case MSG_SUMMARY:
      nod_cell_take_summary (nod, from, &msg->summary);
      break;
    case MSG_OBJECT_ASK:
      nod_config_ask (nod, from, &msg->object_ask);
      break;
    case MSG_OBJECT_BODY:
      nod_config_body (nod, &msg->object_body);
      break;
    case MSG_LEDGER_INTENT:
      nod_led_intent (nod, from, &msg->ledger_intent);
      break;
    case MSG_LEDGER_VERDICT:
      lec_verdict (nod->lec, &msg->ledger_verdict);
      break;
    case MSG_LEDGER_RESULT:
      nod_led_result (nod, from, &msg->ledger_result);
      break;
    case MSG_N:
      break;
    }
}

static void
tell_drained (struct nod *nod)
{
  if (!nod->leaving || nod->drained || nod_in_progress (nod) > 0
      || !nod_cell_idle (nod))
    return;
  struct nod_action action = { .kind = NOD_DO_DRAINED };
  nod->drained = TRUE;
  nod->act (nod->ctx, &action);
}

static void
tick (struct nod *nod)
{
  gint64 now = clk_now (nod->clk);
  nod_budget_refill (nod);
  nod_config_tick (nod);
  nod_peer_tick (nod);
  nod_req_tick (nod);
  nod_led_tick (nod);
  nod_lease_tick (nod);
  if (now >= nod->cell_tick_at)
    {
      nod->cell_tick_at = now + SHARD_TICK_US;
      nod_cell_tick (nod);
    }
  tell_drained (nod);
}

static void
shut_down (struct nod *nod)
{
  nod->leaving = TRUE;
  member_set_leaving (nod->membership, TRUE);
  nod->heartbeat_at = 0;
  nod->far_heartbeat_at = 0;
  nod_ticket_view_changed (nod, NULL);
}

static void
count_others (void *ctx, const struct member_instance *instance)
{
  (void)instance;
  (*(guint *)ctx)++;
}

/* Notices that no event came for longer than a running process goes without
   one: its view of owners, servers and configuration may be out of date.  */
static void
note_pause (struct nod *nod)
{
  gint64 now = clk_now (nod->clk);
  gint64 gap = nod->handled_at != 0 ? now - nod->handled_at : 0;
  guint known = 0;
  if (gap > 2 * NOD_TICK_US && nod->handled_at - nod->resumed_at < NOD_HOLD_US)
    nod->resumed_at += gap; /* a pause is no time to catch up */
  nod->handled_at = now;
  if (gap < NOD_PAUSE_US)
    return;
  member_each (nod->membership, count_others, &known);
  nod->resumed_at = now;
  nod->caught_up = known < 2; /* itself */
  ctr_add (nod->ctr, CTR_PAUSES, 1);
}

/* Whether this instance has started or been paused of late and may not have
   caught up with its peers yet. Then it starts no attempts and serves no
   offers.  */
gboolean
nod_is_held (const struct nod *nod)
{
  gint64 age = clk_now (nod->clk) - nod->resumed_at;
  if (age >= NOD_HOLD_MAX_US)
    return FALSE;
  return age < NOD_HOLD_US || !nod->caught_up;
}

static void
dispatch (struct nod *nod, const struct nod_event *event)
{
  switch (event->kind)
    {
    case NOD_REQUEST:
      nod_req_arrive (nod, &event->request);
      break;
    case NOD_CALLER_GONE:
      nod_req_caller_gone (nod, event->caller_gone);
      break;
    case NOD_TOKENS:
      nod_attempt_tokens (nod, event->tokens.request, event->tokens.attempt,
                          event->tokens.count, event->tokens.bytes,
                          event->tokens.resumable);
      break;
    case NOD_ATTEMPT_END:
      nod_attempt_ended (nod, &event->attempt_end);
      break;
    case NOD_MESSAGE:
      take_message (nod, event->message.from, event->message.msg);
      break;
    case NOD_PEER_UP:
      nod_peer_greet (nod, event->peer_up);
      nod_ticket_reconnect (nod, event->peer_up, 0);
      break;
    case NOD_PEER_LOST:
      member_disconnected (nod->membership, event->peer_lost);
      nod_ticket_reconnect (nod, event->peer_lost, NOD_RECONNECT_US);
      break;
    case NOD_STORE_ANSWER:
      take_store_answer (nod, event->store_answer.token,
                         event->store_answer.answer);
      break;
    case NOD_LOAD:
      nod_cell_load (nod, event->load.backend, &event->load.load,
                     event->load.leaving);
      break;
    case NOD_CACHE:
      nod_cell_cache (nod, event->cache.backend, event->cache.prefix,
                      event->cache.held);
      break;
    case NOD_ORDER_ANSWER:
      nod_lease_order_answer (nod, event->order_answer.token,
                              event->order_answer.answer);
      break;
    case NOD_SHUTDOWN:
      shut_down (nod);
      break;
    case NOD_TICK:
      tick (nod);
      break;
    }
}

/* Takes one event; the actions come by the sink before this returns.  */
void
nod_handle (struct nod *nod, const struct nod_event *event)
{
  struct msg *msg;
  note_pause (nod);
  dispatch (nod, event);
  while ((msg = g_queue_pop_head (&nod->local)) != NULL)
    {
      take_message (nod, nod->self.s, msg);
      msg_free (msg);
    }
}

/* Returns the configuration in force, borrowed; NULL if there is none.  */
const struct cfg *
nod_config (const struct nod *nod)
{
  return nod->cfg;
}

/* Returns the view of the instances, borrowed.  */
const struct membership *
nod_members (const struct nod *nod)
{
  return nod->membership;
}

gboolean
nod_serves (const struct nod *nod, const struct cfg_backend *backend)
{
  return g_hash_table_contains (nod->cells,
                                nod->cfg->cells[backend->cell].name.s);
}

gboolean
nod_ready (const struct nod *nod)
{
  return nod->cfg != NULL && !nod->leaving
         && clk_now (nod->clk) >= nod->ready_at;
}

/* Returns the number of callers' requests in progress.  */
/* Returns the number of requests in progress and of answers that the ledger
   has not stored yet, without which the next try of a key gets no answer.  */
guint
nod_in_progress (const struct nod *nod)
{
  return g_hash_table_size (nod->requests) + lec_unsettled (nod->lec);
}

static void
dump_infos (const struct nod *nod, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer value;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, nod->infos);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct nod_cell_info *info = value;
      json_builder_begin_object (json);
      jsb_str (json, "cell", info->summary.cell.s);
      jsb_str (json, "owner", info->summary.owner.s);
      jsb_int (json, "free_slots", info->summary.free_slots);
      jsb_int (json, "age_ms", (clk_now (nod->clk) - info->heard) / CLK_MS);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

/* Adds the instance's whole state to JSON as one object. Team keys, operator
   tokens and the content of requests are not part of it.  */
void
nod_dump (const struct nod *nod, JsonBuilder *json)
{
  json_builder_begin_object (json);
  jsb_str (json, "instance", nod->self.s);
  jsb_str (json, "domain", nod->domain.s);
  jsb_str (json, "region", nod->region.s);
  jsb_bool (json, "leaving", nod->leaving);
  jsb_int (json, "config_version", nod->cfg ? (gint64)nod->cfg->version : 0);
  jsb_str (json, "preset", nod->cfg ? nod->cfg->preset.s : "");
  json_builder_set_member_name (json, "counters");
  ctr_dump (nod->ctr, json);
  json_builder_set_member_name (json, "members");
  member_dump (nod->membership, json);
  json_builder_set_member_name (json, "followed");
  nod_config_dump (nod, json);
  json_builder_set_member_name (json, "requests");
  nod_req_dump (nod, json);
  json_builder_set_member_name (json, "cells");
  nod_cell_dump (nod, json);
  json_builder_set_member_name (json, "other_cells");
  dump_infos (nod, json);
  json_builder_set_member_name (json, "ledger");
  nod_led_dump (nod, json);
  json_builder_set_member_name (json, "orders");
  nod_lease_dump (nod, json);
  json_builder_end_object (json);
}
