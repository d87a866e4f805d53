/* The ledger of non-repeatable requests with an idempotency key: the side of
   the instance that serves a shard of keys. One struct led serves one shard:
   it holds the shard's keys of the retention period in memory and records
   intents and answers by conditional updates of the shard's objects, many in
   one write. A pure state machine; lec.h is the entry's side.

   Safety rests on the conditional update and on the entry alone. Instances
   that serve a shard at the same time lose each other's writes to a conflict,
   read the objects again and decide anew. A write whose answer was lost is
   open until the head object is seen at a higher version than the write
   expected; from then on it can no longer take effect, and whether it did is
   seen by the ticket's record. Until then only further writes that expect the
   same version are sent, of which at most one can succeed.

   Verdicts:
   FRESH     the store holds the intent of exactly this ticket. It may be given
             more than once; the entry uses the first (lec.h).
   AWAY      no FRESH follows from this instance. The intent is not recorded,
             or with UNSETTLED may yet be: then the entry, which has not sent,
             ends its ticket by a result that says "did not run".
   others    from the state of the store after the intent arrived; DONE and the
             mismatch with an ended key, which are final, also from memory.

   A ticket whose intent was freed never gets FRESH again. An intent without
   result is IN_PROGRESS for run_max_us and UNKNOWN afterwards; a result that
   comes later is still taken.  */
#ifndef LED_H
#define LED_H

#include "base/clock.h"
#include "base/counter.h"
#include "msg/msg.h"
#include "store/sto.h"

#define LED_SHARDS 64
#define LED_SEGMENTS 10000                   /* slots for closed segments */
#define LED_HEAD_MAX (16 * (gsize)1024)      /* bytes of the head object */
#define LED_SEGMENT_MAX (256 * (gsize)1024)  /* bytes of a segment */
#define LED_WRITE_GAP_US (150 * CLK_MS)      /* between writes of a shard */
#define LED_RESULT_WAIT_US (1 * CLK_S)       /* a result waits for company */
#define LED_INTENT_WAIT_US (2 * CLK_S)       /* then AWAY if not recorded */
#define LED_SETTLE_US (4 * CLK_S)            /* then AWAY, unsettled */
#define LED_CALL_US (1 * CLK_S)              /* time limit of a store call */
#define LED_RUN_MAX_US (120 * CLK_S)         /* then UNKNOWN */
#define LED_RETENTION_US (24 * 3600 * CLK_S) /* of a key, at least */
#define LED_KEYS_MAX 1000000                 /* in memory; then AWAY */
#define LED_QUEUE_MAX 4096                   /* waiting intents and results */
#define LED_TYPE_MAX 127                     /* bytes of a content type */

struct led;

struct led_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct counter_set *counter_set; /* borrowed */
  struct str_id self;
  guint64 incarnation;
  guint shard; /* 0 to LED_SHARDS - 1 */
  /* Limits; 0: the constant of that name. */
  gsize head_max;
  gsize segment_max;
  gint64 write_gap_us;
  gint64 run_max_us;
  gint64 retention_us;
  guint keys_max;
  /* Starts a call to the platform; its answer comes by led_answer with the
     same TOKEN. */
  void (*store) (void *ctx, guint64 token, const struct sto_call *call);
  /* Sends a verdict to entry TO; must not call back into the ledger. */
  void (*verdict) (void *ctx, const char *to,
                   const struct msg_ledger_reply *verdict);
  void *ctx;
};

struct led *led_new (const struct led_options *options);
void led_free (struct led *led);
guint led_shard_of (const guint8 key[MSG_KEY_BYTES]);
void led_intent (struct led *led, const char *from,
                 const struct msg_ledger_record *intent);
void led_result (struct led *led, const char *from,
                 const struct msg_ledger_result *result);
void led_answer (struct led *led, guint64 token,
                 const struct sto_answer *answer);
/* Due at least every LED_TICK_US: timeouts and group commit. */
#define LED_TICK_US (20 * CLK_MS)
void led_tick (struct led *led);
/* Nothing waits and no call is open; the instance may drop the shard. */
gboolean led_idle (const struct led *led);
void led_dump (const struct led *led, JsonBuilder *json);

#endif
