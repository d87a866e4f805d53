/* Parts of the stand-in for an inference engine, shared by its files.  */
#ifndef ENGINE_INTERNAL_H
#define ENGINE_INTERNAL_H

#include "standin/batcher.h"
#include "standin/eventlog.h"
#include "standin/order_receiver.h"
#include "standin/standin.h"

struct faults
{
  double slow_factor;        /* multiplies the duration of a step; 0: none */
  double refuse;             /* share of requests rejected with 503 */
  gint64 crash_after_tokens; /* closes the connection after that many; 0: no */
  gint64 crash_requests;     /* further requests that it applies to */
  gint64 exit_after_tokens;  /* ends the process after that many; 0: no */
  gint64 late_chunk_ms;      /* delays every eighth chunk */
  gboolean repeat_chunk;     /* sends every eighth chunk twice */
  gboolean leaving;    /* draining: rejects with 503 and Jacinthward-Leaving */
  gboolean lying_load; /* GET /load reports the next three values */
  gint64 running;
  gint64 waiting;
  gint64 tbt_us;
};

struct load
{
  gint64 time_us; /* monotonic */
  guint running;
  guint waiting;
  double kv_used;
  gint64 tbt_us;
};

struct counts
{
  gint64 started;
  gint64 done;
  gint64 cancelled;
  gint64 rejected;
  gint64 tokens;
  gint64 resumed;
};

/* Called with each sequence that has got a token in a step.  */
typedef void (*engine_token_handler) (struct batcher_seq *seq);

struct engine
{
  struct standin standin; /* first, so that callbacks can cast from it */
  struct batcher_options options;
  struct batcher *batcher;
  struct receiver receiver;
  struct faults faults;
  struct counts counts;
  struct load load_report; /* for GET /load; unused if load_lag_ms is 0 */
  struct eventlog events;
  gint64 load_lag_ms;
  char *checks_fence;
  guint64 last_id;
  double rejection_credit;  /* sum of the shares since the last rejection */
  gint64 tokens_until_exit; /* by the fault exit_after_tokens; 0: no */
  engine_token_handler on_token;
  int step_timer; /* timerfd; fires at the end of the step */
  gboolean step_running;
  gint64 step_us;
  gint64 step_end; /* monotonic */
};

/* engine_steps.c */
void engine_steps_init (struct engine *engine, engine_token_handler on_token);
void engine_schedule (struct engine *engine);

/* engine_completion.c */
void engine_handle_completion (struct engine *engine, SoupServerMessage *msg,
                               gboolean chat);
void engine_on_token (struct batcher_seq *seq);

#endif
