#include "node/core_internal.h"
#include "base/json_add.h"

#include <string.h>

const char core_backend_failed[] = "backend_failed";
const char core_outcome_unknown[] = "outcome_unknown";

/* Returns the name of RAN that is sent to clients.  */
const char *
core_ran_name (enum core_ran ran)
{
  static const char *const names[] = {
#define RAN_NAME(id, name) name,
    CORE_RAN_VALUES (RAN_NAME)
#undef RAN_NAME
  };
  return ran < G_N_ELEMENTS (names) ? names[ran] : "?";
}

/* Sends MSG to instance TO. A message to this instance itself is queued and
   handled before core_handle returns.  */
void
core_send (struct core *core, const char *to, const struct msg *msg)
{
  if (strcmp (to, core->self.s) == 0)
    {
      g_queue_push_tail (&core->self_messages, msg_copy (msg));
      return;
    }
  struct core_action action = { .kind = CORE_DO_SEND };
  action.send.to = to;
  action.send.msg = msg;
  core->act (core->ctx, &action);
}

/* Connects to ADDRESS (IP:PORT), unless it is this instance's own address,
   and has the shell keep the connection up.  */
void
core_dial (struct core *core, const char *address)
{
  char own[64];
  member_self_address (core->membership, own);
  if (address[0] == '\0' || strcmp (address, own) == 0)
    return;
  struct core_action action = { .kind = CORE_DO_DIAL };
  action.dial = address;
  core->act (core->ctx, &action);
}

/* Starts a call to the platform's store. The response is passed to ORIGIN
   together with TOKEN.  */
void
core_start_store_call (struct core *core, guint origin, guint64 token,
                       const struct storage_request *call)
{
  struct core_store_call *waiting = g_new0 (struct core_store_call, 1);
  guint64 *id = g_new (guint64, 1);
  waiting->origin = origin;
  waiting->token = token;
  *id = ++core->next_token;
  g_hash_table_insert (core->store_calls, id, waiting);
  struct core_action action = { .kind = CORE_DO_STORE };
  action.store.token = *id;
  action.store.call = call;
  core->act (core->ctx, &action);
}

static void
dispatch_store_response (struct core *core, guint64 id,
                         const struct storage_response *response)
{
  struct core_store_call *waiting
      = g_hash_table_lookup (core->store_calls, &id);
  if (waiting == NULL)
    return;
  struct core_store_call call = *waiting;
  g_hash_table_remove (core->store_calls, &id);
  if (call.origin < CORE_ORIGIN_OBJECT)
    core_ledger_store_response (core, call.origin, call.token, response);
  else if (call.origin == CORE_ORIGIN_LEASE)
    core_lease_store_response (core, call.token, response);
  else if (call.origin == CORE_ORIGIN_HOLDER)
    core_lease_config_read (core, call.token, response);
  else
    core_object_store_response (core, call.origin - CORE_ORIGIN_OBJECT,
                                call.token, response);
}

/* Creates the decision core of an instance. Returns 0, or < 0 with ERR set if
   a state chart cannot be loaded.  */
int
core_new (const struct core_options *options, struct core **result,
          struct err *err)
{
  struct core *core = g_new0 (struct core, 1);
  core->clk = options->clk;
  core->counter_set = options->counter_set;
  core->self = options->self;
  core->domain = options->domain;
  core->region = options->region;
  core->incarnation = options->incarnation;
  core->act = options->act;
  core->ctx = options->ctx;
  core->rand = g_rand_new_with_seed (options->seed);
  core->started = core->resumed_at = clk_now (core->clk);
  core->last_event_at = core->started; /* also a pause before the first event */
  core->heard_from_peer = TRUE;
  core_budget_init (core);
  g_queue_init (&core->self_messages);
  core->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          core_request_free);
  core->queue_entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  core->shards = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)shard_free);
  core->shard_infos
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->leaving_servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  core->listed_leaving
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  core->store_calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  int code = core_request_init (core, options->chart_folder, err);
  if (code < 0)
    goto fail;
  code = core_peer_init (core, options, err);
  if (code < 0)
    goto fail;
  code = core_lease_init (core, options->chart_folder, err);
  if (code < 0)
    goto fail;
  core_ledger_init (core);
  core_object_init (core);
  *result = core;
  return 0;

fail:
  core_free (core);
  return code;
}

/* Frees CORE. Requests in progress get no response.  */
void
core_free (struct core *core)
{
  if (core == NULL)
    return;
  g_hash_table_unref (core->store_calls);
  core_ledger_free (core);
  core_object_free (core);
  core_lease_free (core);
  g_hash_table_unref (core->queue_entries);
  g_hash_table_unref (core->requests);
  g_hash_table_unref (core->shards);
  g_hash_table_unref (core->shard_infos);
  g_hash_table_unref (core->leaving_servers);
  g_hash_table_unref (core->listed_leaving);
  g_queue_clear_full (&core->self_messages, (GDestroyNotify)msg_free);
  core_peer_free (core);
  statechart_free (core->chart);
  cluster_unref (core->cfg);
  g_rand_free (core->rand);
  g_free (core);
}

static void
dispatch_message (struct core *core, const char *from, const struct msg *msg)
{
  switch (msg->kind)
    {
    case MSG_HEARTBEAT:
      core->heard_from_peer = TRUE;
      core_peer_heartbeat (core, from, &msg->heartbeat);
      break;
    case MSG_MEMBERS:
      core_peer_members (core, &msg->members);
      break;
    case MSG_ENQUEUE:
    case MSG_WITHDRAW:
    case MSG_PROGRESS:
    case MSG_RELEASE:
      core_shards_message (core, from, msg);
      break;
    case MSG_GRANT:
      core_queue_grant (core, from, &msg->grant);
      break;
    case MSG_REJECT:
      core_queue_rejected (core, from, &msg->reject);
      break;
    case MSG_PREEMPT:
      core_queue_preempt (core, from, &msg->preempt);
      break;
    case MSG_SUMMARY:
      core_shard_summary_received (core, from, &msg->summary);
      break;
    case MSG_OBJECT_REQUEST:
      core_object_requested (core, from, &msg->object_request);
      break;
    case MSG_OBJECT_BODY:
      core_object_received (core, &msg->object_body);
      break;
    case MSG_LEDGER_RECORD:
      core_ledger_record (core, from, &msg->ledger_record);
      break;
    case MSG_LEDGER_REPLY:
      claims_reply (core->claims, &msg->ledger_reply);
      break;
    case MSG_LEDGER_RESULT:
      core_ledger_result (core, from, &msg->ledger_result);
      break;
    case MSG_N:
      break;
    }
}

static void
report_drained (struct core *core)
{
  if (!core->leaving || core->drained || core_in_progress (core) > 0
      || !core_shards_idle (core))
    return;
  struct core_action action = { .kind = CORE_DO_DRAINED };
  core->drained = TRUE;
  core->act (core->ctx, &action);
}

static void
tick (struct core *core)
{
  gint64 now = clk_now (core->clk);
  core_budget_refill (core);
  core_object_tick (core);
  core_peer_tick (core);
  core_request_tick (core);
  core_ledger_tick (core);
  core_lease_tick (core);
  if (now >= core->shard_tick_at)
    {
      core->shard_tick_at = now + SHARD_TICK_US;
      core_shards_tick (core);
    }
  report_drained (core);
}

static void
shut_down (struct core *core)
{
  core->leaving = TRUE;
  member_set_leaving (core->membership, TRUE);
  core->heartbeat_at = 0;
  core->remote_heartbeat_at = 0;
  core_queue_view_changed (core, NULL);
}

static void
count_instance (void *ctx, const struct member_instance *instance)
{
  (void)instance;
  (*(guint *)ctx)++;
}

/* Detects that the process was suspended: no event arrived for longer than is
   possible while it runs. Its view of shard owners, servers and configuration
   may be out of date then, and the instance warms up again.  */
static void
detect_pause (struct core *core)
{
  gint64 now = clk_now (core->clk);
  gint64 gap = now - core->last_event_at;
  guint instances = 0;
  if (gap > 2 * CORE_TICK_US
      && core->last_event_at - core->resumed_at < CORE_WARMUP_US)
    core->resumed_at += gap; /* time without events is no warm-up */
  core->last_event_at = now;
  if (gap < CORE_PAUSE_MIN_US)
    return;
  member_each (core->membership, count_instance, &instances);
  core->resumed_at = now;
  core->heard_from_peer = instances < 2; /* itself */
  counter_add (core->counter_set, COUNTER_PAUSES, 1);
}

/* Whether this instance was started or suspended so recently that its view
   may be out of date. It starts no attempts and accepts no queue entries
   then.  */
gboolean
core_is_warming_up (const struct core *core)
{
  gint64 age = clk_now (core->clk) - core->resumed_at;
  if (age >= CORE_WARMUP_MAX_US)
    return FALSE;
  return age < CORE_WARMUP_US || !core->heard_from_peer;
}

static void
dispatch (struct core *core, const struct core_event *event)
{
  switch (event->kind)
    {
    case CORE_REQUEST:
      core_request_arrive (core, &event->request);
      break;
    case CORE_CLIENT_DISCONNECTED:
      core_request_client_disconnected (core, event->client_disconnected);
      break;
    case CORE_TOKENS:
      core_attempt_tokens (core, event->tokens.request, event->tokens.attempt,
                           event->tokens.count, event->tokens.bytes,
                           event->tokens.resumable);
      break;
    case CORE_ATTEMPT_END:
      core_attempt_ended (core, &event->attempt_end);
      break;
    case CORE_MESSAGE:
      dispatch_message (core, event->message.from, event->message.msg);
      break;
    case CORE_PEER_UP:
      core_peer_send_heartbeat (core, event->peer_up);
      core_queue_reenqueue_after (core, event->peer_up, 0);
      break;
    case CORE_PEER_LOST:
      member_disconnected (core->membership, event->peer_lost);
      core_queue_reenqueue_after (core, event->peer_lost,
                                  CORE_RECONNECT_DELAY_US);
      break;
    case CORE_STORE_RESPONSE:
      dispatch_store_response (core, event->store_response.token,
                               event->store_response.response);
      break;
    case CORE_LOAD:
      core_shard_load_report (core, event->load.backend, &event->load.load,
                              event->load.leaving);
      break;
    case CORE_CACHE:
      core_shard_cache_event (core, event->cache.backend, event->cache.prefix,
                              event->cache.cached);
      break;
    case CORE_ORDER_RESPONSE:
      core_lease_order_response (core, event->order_response.token,
                                 event->order_response.response);
      break;
    case CORE_SHUTDOWN:
      shut_down (core);
      break;
    case CORE_TICK:
      tick (core);
      break;
    }
}

/* Handles one event. The resulting actions are passed to the act callback
   before this returns.  */
void
core_handle (struct core *core, const struct core_event *event)
{
  struct msg *msg;
  detect_pause (core);
  dispatch (core, event);
  while ((msg = g_queue_pop_head (&core->self_messages)) != NULL)
    {
      dispatch_message (core, core->self.s, msg);
      msg_free (msg);
    }
}

/* Returns the configuration in force, borrowed; NULL if there is none.  */
const struct cluster_config *
core_config (const struct core *core)
{
  return core->cfg;
}

/* Returns the view of the instances, borrowed.  */
const struct membership *
core_members (const struct core *core)
{
  return core->membership;
}

gboolean
core_serves (const struct core *core, const struct cluster_backend *backend)
{
  return g_hash_table_contains (core->shards,
                                core->cfg->shards[backend->shard].name.s);
}

gboolean
core_ready (const struct core *core)
{
  return core->cfg != NULL && !core->leaving
         && clk_now (core->clk) >= core->ready_at;
}

/* Returns the number of requests in progress plus the number of responses
   that the ledger has not stored yet. Without the latter, a repeated request
   with the same idempotency key could not be answered.  */
guint
core_in_progress (const struct core *core)
{
  return g_hash_table_size (core->requests)
         + claims_unacknowledged (core->claims);
}

static void
dump_other_shards (const struct core *core, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer value;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, core->shard_infos);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct core_shard_info *info = value;
      json_builder_begin_object (json);
      json_add_str (json, "cell", info->summary.shard.s);
      json_add_str (json, "owner", info->summary.owner.s);
      json_add_int (json, "free_slots", info->summary.free_slots);
      json_add_int (json, "age_ms",
                    (clk_now (core->clk) - info->received_at) / CLK_MS);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

/* Adds the complete state of the instance to JSON as one object. It contains
   no team keys, no operator tokens and no content of requests.  */
void
core_dump (const struct core *core, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "instance", core->self.s);
  json_add_str (json, "domain", core->domain.s);
  json_add_str (json, "region", core->region.s);
  json_add_bool (json, "leaving", core->leaving);
  json_add_int (json, "config_version",
                core->cfg ? (gint64)core->cfg->version : 0);
  json_add_str (json, "preset", core->cfg ? core->cfg->preset.s : "");
  json_builder_set_member_name (json, "counters");
  counter_set_dump (core->counter_set, json);
  json_builder_set_member_name (json, "members");
  member_dump (core->membership, json);
  json_builder_set_member_name (json, "followed");
  core_object_dump (core, json);
  json_builder_set_member_name (json, "requests");
  core_request_dump (core, json);
  json_builder_set_member_name (json, "cells");
  core_shards_dump (core, json);
  json_builder_set_member_name (json, "other_cells");
  dump_other_shards (core, json);
  json_builder_set_member_name (json, "ledger");
  core_ledger_dump (core, json);
  json_builder_set_member_name (json, "orders");
  core_lease_dump (core, json);
  json_builder_end_object (json);
}
