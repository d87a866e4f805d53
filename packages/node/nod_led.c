/* Ledger shards served by this instance. Any instance may serve any shard;
   the conditional updates make that safe, rendezvous hashing makes it
   rare.  */
#include "node/nod_int.h"

#include <string.h>

static void
start_store_call (void *ctx, guint64 token, const struct storage_request *call)
{
  struct nod_led_shard *shard = ctx;
  nod_store (shard->nod, shard->number, token, call);
}

static void
send_verdict (void *ctx, const char *to,
              const struct msg_ledger_verdict *verdict)
{
  struct nod_led_shard *shard = ctx;
  struct msg msg = { .kind = MSG_LEDGER_VERDICT };
  msg.ledger_verdict = *verdict;
  nod_send (shard->nod, to, &msg);
}

static struct ledger_shard *
get_shard (struct nod *nod, const guint8 *key)
{
  guint number = ledger_shard_of (key);
  struct nod_led_shard *shard = &nod->shards[number];
  if (shard->ledger_shard != NULL)
    return shard->ledger_shard;
  shard->nod = nod;
  shard->number = number;
  const struct ledger_options options = {
    .clk = nod->clk,
    .seed = g_rand_int (nod->rand),
    .ctr = nod->ctr,
    .self = nod->self,
    .incarnation = nod->incarnation,
    .shard = number,
    .start_request = start_store_call,
    .send_verdict = send_verdict,
    .ctx = shard,
  };
  shard->ledger_shard = ledger_new (&options);
  return shard->ledger_shard;
}

/* Returns the instance that serves the shard of KEY.  */
static const char *
owner_of (const struct nod *nod, const guint8 *key)
{
  char name[32];
  g_snprintf (name, sizeof name, "ledger/%u", ledger_shard_of (key));
  const struct mem_instance *owner = mem_owner (nod->mem, str_of (name), 0);
  return owner ? owner->id.s : nod->self.s;
}

static void
send_intent (void *ctx, const struct msg_ledger_intent *intent)
{
  struct msg msg = { .kind = MSG_LEDGER_INTENT };
  msg.ledger_intent = *intent;
  nod_send (ctx, owner_of (ctx, intent->key), &msg);
}

static void
send_result (void *ctx, const struct msg_ledger_result *result)
{
  struct msg msg = { .kind = MSG_LEDGER_RESULT };
  msg.ledger_result = *result;
  nod_send (ctx, owner_of (ctx, result->key), &msg);
}

static void
on_verdict (void *ctx, guint64 request,
            const struct msg_ledger_verdict *verdict)
{
  nod_attempt_verdict (ctx, request, verdict);
}

/* Makes this entry's side of the ledger.  */
void
nod_led_init (struct nod *nod)
{
  const struct claims_options options = {
    .clk = nod->clk,
    .incarnation = nod->incarnation,
    .send_record = send_intent,
    .send_result = send_result,
    .on_verdict = on_verdict,
    .ctx = nod,
  };
  nod->claims = claims_new (&options);
}

/* Takes an entry's intent for a shard served here.  */
void
nod_led_intent (struct nod *nod, const char *from,
                const struct msg_ledger_intent *intent)
{
  ledger_add_record (get_shard (nod, intent->key), from, intent);
}

/* Takes the result of a recorded call.  */
void
nod_led_result (struct nod *nod, const char *from,
                const struct msg_ledger_result *result)
{
  ledger_add_result (get_shard (nod, result->key), from, result);
}

/* Hands a platform's answer to the shard that waits for it.  */
void
nod_led_answer (struct nod *nod, guint number, guint64 token,
                const struct storage_response *answer)
{
  if (number < LEDGER_SHARDS && nod->shards[number].ledger_shard != NULL)
    ledger_store_response (nod->shards[number].ledger_shard, token, answer);
}

/* Runs the shards' timers.  */
void
nod_led_tick (struct nod *nod)
{
  claims_tick (nod->claims);
  for (guint i = 0; i < LEDGER_SHARDS; i++)
    if (nod->shards[i].ledger_shard != NULL)
      ledger_tick (nod->shards[i].ledger_shard);
}

/* Frees this entry's side and all shards.  */
void
nod_led_free (struct nod *nod)
{
  claims_free (nod->claims);
  for (guint i = 0; i < LEDGER_SHARDS; i++)
    g_clear_pointer (&nod->shards[i].ledger_shard, ledger_free);
}

/* Adds this entry's tickets and the shards served here to JSON.  */
void
nod_led_dump (const struct nod *nod, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "entry");
  claims_dump (nod->claims, json);
  json_builder_set_member_name (json, "shards");
  json_builder_begin_array (json);
  for (guint i = 0; i < LEDGER_SHARDS; i++)
    if (nod->shards[i].ledger_shard != NULL)
      ledger_dump (nod->shards[i].ledger_shard, json);
  json_builder_end_array (json);
  json_builder_end_object (json);
}
