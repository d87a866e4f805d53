/* The ledger of non-repeatable requests with an idempotency key. One struct
   led serves one shard of keys: it holds the shard's recent keys in memory
   and records intents and answers by conditional updates of the shard's
   objects, many in one write. A pure state machine.

   Safety rests on the conditional update alone: two instances that both serve
   a shard lose each other's writes to a conflict, read the object again and
   decide anew.  */
#ifndef LED_H
#define LED_H

#include "base/clk.h"
#include "base/ctr.h"
#include "msg/msg.h"
#include "store/sto.h"

#define LED_SHARDS 64

struct led;

struct led_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct ctr *ctr; /* borrowed */
  struct str_id self;
  guint64 incarnation;
  guint shard; /* 0 to LED_SHARDS - 1 */
  /* Starts a call to the platform; its answer comes by led_answer with the
     same TOKEN. */
  void (*store) (void *ctx, guint64 token, const struct sto_call *call);
  /* Sends a verdict to entry TO. */
  void (*verdict) (void *ctx, const char *to,
                   const struct msg_ledger_verdict *verdict);
  void *ctx;
};

struct led *led_new (const struct led_options *options);
void led_free (struct led *led);
guint led_shard_of (const guint8 key[MSG_KEY_BYTES]);
void led_intent (struct led *led, const char *from,
                 const struct msg_ledger_intent *intent);
void led_result (struct led *led, const char *from,
                 const struct msg_ledger_result *result);
void led_answer (struct led *led, guint64 token,
                 const struct sto_answer *answer);
/* Due at least every LED_TICK_US: timeouts and group commit. */
#define LED_TICK_US (20 * CLK_MS)
void led_tick (struct led *led);
void led_dump (const struct led *led, JsonBuilder *json);

#endif
