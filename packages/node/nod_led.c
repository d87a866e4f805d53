/* Ledger shards served by this instance. Any instance may serve any shard;
   the conditional updates make that safe, rendezvous hashing makes it
   rare.  */
#include "node/nod_int.h"

#include <string.h>

static void
start_store_call (void *ctx, guint64 token, const struct sto_call *call)
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

static struct led *
get_shard (struct nod *nod, const guint8 *key)
{
  guint number = led_shard_of (key);
  struct nod_led_shard *shard = &nod->shards[number];
  if (shard->led != NULL)
    return shard->led;
  shard->nod = nod;
  shard->number = number;
  const struct led_options options = {
    .clk = nod->clk,
    .seed = g_rand_int (nod->rand),
    .ctr = nod->ctr,
    .self = nod->self,
    .incarnation = nod->incarnation,
    .shard = number,
    .store = start_store_call,
    .verdict = send_verdict,
    .ctx = shard,
  };
  shard->led = led_new (&options);
  return shard->led;
}

/* Returns the instance that serves the shard of KEY.  */
static const char *
owner_of (const struct nod *nod, const guint8 *key)
{
  char name[32];
  g_snprintf (name, sizeof name, "ledger/%u", led_shard_of (key));
  const struct member_instance *owner
      = member_owner (nod->membership, str_of (name), 0);
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
  const struct lec_options options = {
    .clk = nod->clk,
    .incarnation = nod->incarnation,
    .intent = send_intent,
    .result = send_result,
    .verdict = on_verdict,
    .ctx = nod,
  };
  nod->lec = lec_new (&options);
}

/* Takes an entry's intent for a shard served here.  */
void
nod_led_intent (struct nod *nod, const char *from,
                const struct msg_ledger_intent *intent)
{
  led_intent (get_shard (nod, intent->key), from, intent);
}

/* Takes the result of a recorded call.  */
void
nod_led_result (struct nod *nod, const char *from,
                const struct msg_ledger_result *result)
{
  led_result (get_shard (nod, result->key), from, result);
}

/* Hands a platform's answer to the shard that waits for it.  */
void
nod_led_answer (struct nod *nod, guint number, guint64 token,
                const struct sto_answer *answer)
{
  if (number < LED_SHARDS && nod->shards[number].led != NULL)
    led_answer (nod->shards[number].led, token, answer);
}

/* Runs the shards' timers.  */
void
nod_led_tick (struct nod *nod)
{
  lec_tick (nod->lec);
  for (guint i = 0; i < LED_SHARDS; i++)
    if (nod->shards[i].led != NULL)
      led_tick (nod->shards[i].led);
}

/* Frees this entry's side and all shards.  */
void
nod_led_free (struct nod *nod)
{
  lec_free (nod->lec);
  for (guint i = 0; i < LED_SHARDS; i++)
    g_clear_pointer (&nod->shards[i].led, led_free);
}

/* Adds this entry's tickets and the shards served here to JSON.  */
void
nod_led_dump (const struct nod *nod, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "entry");
  lec_dump (nod->lec, json);
  json_builder_set_member_name (json, "shards");
  json_builder_begin_array (json);
  for (guint i = 0; i < LED_SHARDS; i++)
    if (nod->shards[i].led != NULL)
      led_dump (nod->shards[i].led, json);
  json_builder_end_array (json);
  json_builder_end_object (json);
}
