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
#ifndef LEDGER_H
#define LEDGER_H

#include "base/clk.h"
#include "base/ctr.h"
#include "msg/msg.h"
#include "store/storage.h"

#define LEDGER_SHARDS 64
#define LEDGER_SEGMENT_SLOTS 10000             /* slots for closed segments */
#define LEDGER_HEAD_MAX (16 * (gsize)1024)     /* bytes of the head object */
#define LEDGER_SEGMENT_MAX (256 * (gsize)1024) /* bytes of a segment */
#define LEDGER_WRITE_INTERVAL_US                                               \
  (150 * CLK_MS)                                /* between writes of a shard   \
                                                 */
#define LEDGER_RESULT_DELAY_US (1 * CLK_S)      /* a result waits for company */
#define LEDGER_RECORD_TIMEOUT_US (2 * CLK_S)    /* then AWAY if not recorded */
#define LEDGER_SETTLE_TIMEOUT_US (4 * CLK_S)    /* then AWAY, unsettled */
#define LEDGER_STORE_TIMEOUT_US (1 * CLK_S)     /* time limit of a store call */
#define LEDGER_RUN_MAX_US (120 * CLK_S)         /* then UNKNOWN */
#define LEDGER_RETENTION_US (24 * 3600 * CLK_S) /* of a key, at least */
#define LEDGER_KEYS_MAX 1000000                 /* in memory; then AWAY */
#define LEDGER_QUEUE_MAX 4096       /* waiting intents and results */
#define LEDGER_CONTENT_TYPE_MAX 127 /* bytes of a content type */

struct ledger_shard;

struct ledger_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct ctr *ctr; /* borrowed */
  struct str_id self;
  guint64 incarnation;
  guint shard; /* 0 to LEDGER_SHARDS - 1 */
  /* Limits; 0: the constant of that name. */
  gsize head_max;
  gsize segment_max;
  gint64 write_gap_us;
  gint64 run_max_us;
  gint64 retention_us;
  guint keys_max;
  /* Starts a call to the platform; its answer comes by ledger_store_response
     with the same TOKEN. */
  void (*start_request) (void *ctx, guint64 token,
                         const struct storage_request *request);
  /* Sends a verdict to entry TO; must not call back into the ledger. */
  void (*send_verdict) (void *ctx, const char *to,
                        const struct msg_ledger_verdict *verdict);
  void *ctx;
};

struct ledger_shard *ledger_new (const struct ledger_options *options);
void ledger_free (struct ledger_shard *ledger);
guint ledger_shard_of (const guint8 key[MSG_KEY_BYTES]);
void ledger_add_record (struct ledger_shard *ledger, const char *from,
                        const struct msg_ledger_intent *intent);
void ledger_add_result (struct ledger_shard *ledger, const char *from,
                        const struct msg_ledger_result *result);
void ledger_store_response (struct ledger_shard *ledger, guint64 token,
                            const struct storage_response *response);
/* Due at least every LEDGER_TICK_US: timeouts and group commit. */
#define LEDGER_TICK_US (20 * CLK_MS)
void ledger_tick (struct ledger_shard *ledger);
/* Nothing waits and no call is open; the instance may drop the shard. */
gboolean ledger_idle (const struct ledger_shard *ledger);
void ledger_dump (const struct ledger_shard *ledger, JsonBuilder *json);

#endif
