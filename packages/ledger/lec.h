/* The ledger of non-repeatable requests: the entry's side. It decides alone
   whether a ticket's call may be sent, and decides once: upon the first FRESH
   that comes within LEC_WAIT_US of the intent. A ticket that was closed
   unsent is freed in the ledger by a result that says "did not run". A pure
   state machine.

   A call that certainly did not run (connecting failed) may be tried again on
   another server under the same ticket. A lost entry leaves its intents
   behind; later tries of their keys get IN_PROGRESS, then UNKNOWN.  */
#ifndef LEC_H
#define LEC_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "msg/msg.h"

#define LEC_WAIT_US (5 * CLK_S)   /* for a verdict, then AWAY */
#define LEC_RESEND_US (1 * CLK_S) /* first; doubles with each try */
#define LEC_END_US (60 * CLK_S)   /* for a result's acknowledgement */
#define LEC_TICKETS_MAX 10000     /* at a time; then AWAY */

struct lec;

struct lec_options
{
  const struct clk *clk; /* borrowed */
  guint64 incarnation;
  /* Send to the present owner of the key's shard. */
  void (*intent) (void *ctx, const struct msg_ledger_record *intent);
  void (*result) (void *ctx, const struct msg_ledger_result *result);
  /* The outcome of REQUEST's intent, once, never from within lec_ask. FRESH:
     the call may be sent now, and lec_end is due. Others: it must not be
     sent, and the request's ticket is over.  */
  void (*verdict) (void *ctx, guint64 request,
                   const struct msg_ledger_reply *verdict);
  void *ctx;
};

struct lec *lec_new (const struct lec_options *options);
void lec_free (struct lec *lec);
/* Asks for leave to send the call of REQUEST, a number of the caller's that
   is not in use here. */
void lec_ask (struct lec *lec, guint64 request, const guint8 key[MSG_KEY_BYTES],
              const guint8 body[MSG_KEY_BYTES]);
/* REQUEST will not be sent; no verdict follows. Before FRESH only. */
void lec_withdraw (struct lec *lec, guint64 request);
/* Ends REQUEST after FRESH: RESULT's did_not_run, status, content type and
   answer; the rest is filled in. did_not_run must be certain. Without RESULT
   the outcome stays unknown. */
void lec_end (struct lec *lec, guint64 request,
              const struct msg_ledger_result *result);
void lec_verdict (struct lec *lec, const struct msg_ledger_reply *verdict);
#define LEC_TICK_US (20 * CLK_MS)
void lec_tick (struct lec *lec);
/* Tickets, also those that are only remembered for a late FRESH. */
guint lec_open (const struct lec *lec);
/* Results that are not acknowledged yet. */
guint lec_unsettled (const struct lec *lec);
void lec_dump (const struct lec *lec, JsonBuilder *json);

#endif
