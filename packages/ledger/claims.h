/* Client side of the ledger, used by an ingress: it claims an idempotency key
   before a request that must not run twice is sent. It alone decides whether a
   claim's request may be sent, and decides once: upon the first RECORDED that
   comes within CLAIMS_REPLY_TIMEOUT_US of the write-ahead record. A claim that
   ends unsent is released in the ledger by a result with did_not_run. A pure
   state machine without I/O; ledger.h is the server side.

   A request that certainly did not run (connecting failed) may be sent to
   another backend server under the same claim. An ingress that crashes leaves
   its records behind; later requests with their keys get IN_PROGRESS, then
   UNKNOWN.  */
#ifndef CLAIMS_H
#define CLAIMS_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "msg/msg.h"

/* Wait for a verdict; then UNAVAILABLE. */
#define CLAIMS_REPLY_TIMEOUT_US (5 * CLK_S)
#define CLAIMS_RESEND_US (1 * CLK_S) /* first; doubles with each try */
/* Longest wait for the acknowledgement of a result. */
#define CLAIMS_RESULT_TIMEOUT_US (60 * CLK_S)
#define CLAIMS_MAX 10000 /* at a time; further ones are UNAVAILABLE */

struct claims;

struct claims_options
{
  const struct clk *clk; /* borrowed */
  guint64 incarnation;
  /* Send to the current owner of the key's shard. */
  void (*send_record) (void *ctx, const struct msg_ledger_record *record);
  void (*send_result) (void *ctx, const struct msg_ledger_result *result);
  /* Reports the verdict on REQUEST, once, never from within claims_request.
     RECORDED: the request may be sent now, and claims_end must be called.
     Others: it must not be sent, and the claim has ended.  */
  void (*on_verdict) (void *ctx, guint64 request,
                      const struct msg_ledger_reply *reply);
  void *ctx;
};

struct claims *claims_new (const struct claims_options *options);
void claims_free (struct claims *claims);
/* Claims KEY for REQUEST, a number chosen by the user of this module that has
   no open claim. BODY_DIGEST is the digest of what would be sent. */
void claims_request (struct claims *claims, guint64 request,
                     const guint8 key[MSG_KEY_BYTES],
                     const guint8 body_digest[MSG_KEY_BYTES]);
/* REQUEST will not be sent; no verdict follows. Only before RECORDED. */
void claims_withdraw (struct claims *claims, guint64 request);
/* Ends REQUEST after RECORDED. Of RESULT, did_not_run, status, content_type and
   response_body are used. did_not_run must be certain. If RESULT is NULL the
   outcome stays unknown. */
void claims_end (struct claims *claims, guint64 request,
                 const struct msg_ledger_result *result);
void claims_reply (struct claims *claims, const struct msg_ledger_reply *reply);
#define CLAIMS_TICK_US (20 * CLK_MS)
void claims_tick (struct claims *claims);
/* Returns the number of claims, including released ones that are kept only
   because a late RECORDED may come. */
guint claims_count (const struct claims *claims);
/* Returns the number of results that the ledger has not acknowledged. */
guint claims_unacknowledged (const struct claims *claims);
void claims_dump (const struct claims *claims, JsonBuilder *json);

#endif
