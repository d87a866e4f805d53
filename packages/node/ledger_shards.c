/* Ledger shards served by this instance, and the side of the ledger that sends
   write-ahead records and results to the owners of shards. Any instance may
   serve any shard: conditional updates of the store keep that correct, and
   rendezvous hashing makes it rare that two serve the same one.  */
#include "node/core_internal.h"

#include <string.h>

static void
start_store_call (void *ctx, guint64 token, const struct storage_request *call)
{
  struct core_ledger_shard *shard = ctx;
  core_start_store_call (shard->core, shard->number, token, call);
}

static void
send_reply (void *ctx, const char *to, const struct msg_ledger_reply *reply)
{
  struct core_ledger_shard *shard = ctx;
  struct msg msg = { .kind = MSG_LEDGER_REPLY };
  msg.ledger_reply = *reply;
  core_send (shard->core, to, &msg);
}

static struct ledger_shard *
get_shard (struct core *core, const guint8 *key)
{
  guint number = ledger_shard_of (key);
  struct core_ledger_shard *shard = &core->ledger_shards[number];
  if (shard->ledger_shard != NULL)
    return shard->ledger_shard;
  shard->core = core;
  shard->number = number;
  const struct ledger_options options = {
    .clk = core->clk,
    .seed = g_rand_int (core->rand),
    .counter_set = core->counter_set,
    .self = core->self,
    .incarnation = core->incarnation,
    .shard = number,
    .start_request = start_store_call,
    .send_reply = send_reply,
    .ctx = shard,
  };
  shard->ledger_shard = ledger_new (&options);
  return shard->ledger_shard;
}

/* Returns the id of the instance that owns the ledger shard of KEY.  */
static const char *
owner_of (const struct core *core, const guint8 *key)
{
  char name[32];
  g_snprintf (name, sizeof name, "ledger/%u", ledger_shard_of (key));
  const struct member_instance *owner
      = member_owner (core->membership, str_of (name), 0);
  return owner ? owner->id.s : core->self.s;
}

static void
send_record (void *ctx, const struct msg_ledger_record *record)
{
  struct msg msg = { .kind = MSG_LEDGER_RECORD };
  msg.ledger_record = *record;
  core_send (ctx, owner_of (ctx, record->key), &msg);
}

static void
send_result (void *ctx, const struct msg_ledger_result *result)
{
  struct msg msg = { .kind = MSG_LEDGER_RESULT };
  msg.ledger_result = *result;
  core_send (ctx, owner_of (ctx, result->key), &msg);
}

static void
on_verdict (void *ctx, guint64 request, const struct msg_ledger_reply *reply)
{
  core_attempt_ledger_verdict (ctx, request, reply);
}

/* Creates the client side of the ledger; shards are created on first use.  */
void
core_ledger_init (struct core *core)
{
  const struct claims_options options = {
    .clk = core->clk,
    .incarnation = core->incarnation,
    .send_record = send_record,
    .send_result = send_result,
    .on_verdict = on_verdict,
    .ctx = core,
  };
  core->claims = claims_new (&options);
}

/* Handles a write-ahead record from instance FROM for a shard served here.  */
void
core_ledger_record (struct core *core, const char *from,
                    const struct msg_ledger_record *record)
{
  ledger_add_record (get_shard (core, record->key), from, record);
}

/* Handles the result of a recorded call, sent by instance FROM.  */
void
core_ledger_result (struct core *core, const char *from,
                    const struct msg_ledger_result *result)
{
  ledger_add_result (get_shard (core, result->key), from, result);
}

/* Passes a response of the platform's store to shard NUMBER.  */
void
core_ledger_store_response (struct core *core, guint number, guint64 token,
                            const struct storage_response *response)
{
  if (number < LEDGER_SHARDS
      && core->ledger_shards[number].ledger_shard != NULL)
    ledger_store_response (core->ledger_shards[number].ledger_shard, token,
                           response);
}

/* Runs the timers of the client side and of all shards.  */
void
core_ledger_tick (struct core *core)
{
  claims_tick (core->claims);
  for (guint i = 0; i < LEDGER_SHARDS; i++)
    if (core->ledger_shards[i].ledger_shard != NULL)
      ledger_tick (core->ledger_shards[i].ledger_shard);
}

/* Frees the client side and all shards.  */
void
core_ledger_free (struct core *core)
{
  claims_free (core->claims);
  for (guint i = 0; i < LEDGER_SHARDS; i++)
    g_clear_pointer (&core->ledger_shards[i].ledger_shard, ledger_free);
}

/* Adds the client side and the shards served here to JSON.  */
void
core_ledger_dump (const struct core *core, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "entry");
  claims_dump (core->claims, json);
  json_builder_set_member_name (json, "shards");
  json_builder_begin_array (json);
  for (guint i = 0; i < LEDGER_SHARDS; i++)
    if (core->ledger_shards[i].ledger_shard != NULL)
      ledger_dump (core->ledger_shards[i].ledger_shard, json);
  json_builder_end_array (json);
  json_builder_end_object (json);
}
