/* Server side of the ledger: it records requests with an idempotency key that
   must not run twice, and the responses to them. Keys are divided into
   LEDGER_SHARDS shards; a struct ledger_shard serves one. It holds the shard's
   keys of the retention period in memory and stores write-ahead records and
   results by conditional updates of the shard's objects in the platform's
   object store, many in one update (group commit). A pure state machine
   without I/O; claims.h is the client side, used by an ingress.

   Only the conditional update and the client keep a request from running
   twice. Several instances may serve a shard at the same time: one whose write
   fails with a conflict reads the objects again and decides anew. A write
   without a response is unresolved until the head object is seen at a version
   above the one that the write expected. From then on the write can no longer
   take effect, and the record id stored with the key shows whether it did.
   Until then the only further writes sent expect the same version, so that at
   most one of them can succeed.

   Verdicts on a write-ahead record (enum msg_verdict):
   RECORDED     the store holds the record with exactly this id. It may be
                sent more than once; the client acts on the first one.
   UNAVAILABLE  this instance will not send RECORDED. The record is not stored
                or, if the reply says "unresolved", may still be stored. In
                the latter case the client, which has not sent the request,
                ends the record by a result with did_not_run.
   others       from the state of the store after the record arrived. DONE, and
                MISMATCH with a key that is done, are final and also come from
                memory.

   A record id that was released never gets RECORDED again. A record without a
   result is IN_PROGRESS for run_max_us and UNKNOWN afterwards; a result that
   comes later is still stored.  */
#ifndef LEDGER_H
#define LEDGER_H

#include "base/clock.h"
#include "base/counter.h"
#include "msg/msg.h"
#include "store/storage.h"

#define LEDGER_SHARDS 64
/* Objects for closed segments of a shard, used in turn. */
#define LEDGER_SEGMENT_SLOTS 10000
#define LEDGER_HEAD_MAX (16 * (gsize)1024)     /* bytes of the head object */
#define LEDGER_SEGMENT_MAX (256 * (gsize)1024) /* bytes of a segment */
/* Shortest time between two writes of a shard. */
#define LEDGER_WRITE_INTERVAL_US (150 * CLK_MS)
/* Longest wait of a result for others to be written with it. */
#define LEDGER_RESULT_DELAY_US (1 * CLK_S)
/* A record that no write carries by then is UNAVAILABLE. */
#define LEDGER_RECORD_TIMEOUT_US (2 * CLK_S)
/* A record whose write is unresolved by then is UNAVAILABLE and
   may still be stored. */
#define LEDGER_RESOLVE_TIMEOUT_US (4 * CLK_S)
#define LEDGER_STORE_TIMEOUT_US (1 * CLK_S) /* of a request to the store */
/* A record without a result for so long is UNKNOWN, not IN_PROGRESS. */
#define LEDGER_RUN_MAX_US (120 * CLK_S)
#define LEDGER_RETENTION_US (24 * 3600 * CLK_S) /* of a key, at least */
#define LEDGER_KEYS_MAX 1000000     /* in memory; new ones are UNAVAILABLE */
#define LEDGER_QUEUE_MAX 4096       /* queued records and results */
#define LEDGER_CONTENT_TYPE_MAX 127 /* bytes of a content type */

struct ledger_shard;

struct ledger_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct counter_set *counter_set; /* borrowed */
  struct str_id self;
  guint64 incarnation;
  guint shard; /* 0 to LEDGER_SHARDS - 1 */
  /* Limits; 0 stands for the constant of the same name. */
  gsize head_max;
  gsize segment_max;
  gint64 write_interval_us;
  gint64 run_max_us;
  gint64 retention_us;
  guint keys_max;
  /* Starts a request to the object store; its response must be passed to
     ledger_store_response with the same TOKEN. */
  void (*start_request) (void *ctx, guint64 token,
                         const struct storage_request *request);
  /* Sends a reply to ingress TO; must not call back into the ledger. */
  void (*send_reply) (void *ctx, const char *to,
                      const struct msg_ledger_reply *reply);
  void *ctx;
};

struct ledger_shard *ledger_new (const struct ledger_options *options);
void ledger_free (struct ledger_shard *ledger);
guint ledger_shard_of (const guint8 key[MSG_KEY_BYTES]);
void ledger_add_record (struct ledger_shard *ledger, const char *from,
                        const struct msg_ledger_record *record);
void ledger_add_result (struct ledger_shard *ledger, const char *from,
                        const struct msg_ledger_result *result);
void ledger_store_response (struct ledger_shard *ledger, guint64 token,
                            const struct storage_response *response);
/* Handles time limits and group commit; call it every LEDGER_TICK_US. */
#define LEDGER_TICK_US (20 * CLK_MS)
void ledger_tick (struct ledger_shard *ledger);
/* Returns whether nothing is queued and no request to the store is open, so
   that the shard can be freed without loss. */
gboolean ledger_idle (const struct ledger_shard *ledger);
void ledger_dump (const struct ledger_shard *ledger, JsonBuilder *json);

#endif
