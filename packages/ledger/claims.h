/* The ledger of non-repeatable requests: the entry's side. It decides alone
   whether a ticket's call may be sent, and decides once: upon the first FRESH
   that comes within CLAIMS_REPLY_TIMEOUT_US of the intent. A ticket that was
   closed unsent is freed in the ledger by a result that says "did not run". A
   pure state machine.

   A call that certainly did not run (connecting failed) may be tried again on
   another server under the same ticket. A lost entry leaves its intents
   behind; later tries of their keys get IN_PROGRESS, then UNKNOWN.  */
#ifndef CLAIMS_H
#define CLAIMS_H

#include <json-glib/json-glib.h>

#include "base/clk.h"
#include "msg/msg.h"

#define CLAIMS_REPLY_TIMEOUT_US (5 * CLK_S) /* for a verdict, then AWAY */
#define CLAIMS_RESEND_US (1 * CLK_S)        /* first; doubles with each try */
#define CLAIMS_RESULT_TIMEOUT_US                                               \
  (60 * CLK_S)           /* for a result's acknowledgement */
#define CLAIMS_MAX 10000 /* at a time; then AWAY */

struct claims;

struct claims_options
{
  const struct clk *clk; /* borrowed */
  guint64 incarnation;
  /* Send to the present owner of the key's shard. */
  void (*send_record) (void *ctx, const struct msg_ledger_intent *record);
  void (*send_result) (void *ctx, const struct msg_ledger_result *result);
  /* The outcome of REQUEST's intent, once, never from within claims_request.
     FRESH: the call may be sent now, and claims_end is due. Others: it must not
     be sent, and the request's ticket is over.  */
  void (*on_verdict) (void *ctx, guint64 request,
                      const struct msg_ledger_verdict *reply);
  void *ctx;
};

struct claims *claims_new (const struct claims_options *options);
void claims_free (struct claims *claims);
/* Asks for leave to send the call of REQUEST, a number of the caller's that
   is not in use here. */
void claims_request (struct claims *claims, guint64 request,
                     const guint8 key[MSG_KEY_BYTES],
                     const guint8 body_digest[MSG_KEY_BYTES]);
/* REQUEST will not be sent; no verdict follows. Before FRESH only. */
void claims_withdraw (struct claims *claims, guint64 request);
/* Ends REQUEST after FRESH: RESULT's did_not_run, status, content type and
   answer; the rest is filled in. did_not_run must be certain. Without RESULT
   the outcome stays unknown. */
void claims_end (struct claims *claims, guint64 request,
                 const struct msg_ledger_result *result);
void claims_reply (struct claims *claims,
                   const struct msg_ledger_verdict *reply);
#define CLAIMS_TICK_US (20 * CLK_MS)
void claims_tick (struct claims *claims);
/* Tickets, also those that are only remembered for a late FRESH. */
guint claims_count (const struct claims *claims);
/* Results that are not acknowledged yet. */
guint claims_unacknowledged (const struct claims *claims);
void claims_dump (const struct claims *claims, JsonBuilder *json);

#endif
