/* Simulated inference engine: continuous batching with priorities, step times
   that grow with the batch, a prefix cache, and load reports that lag behind.
   A step prefills the newly admitted prompts and generates one token for each
   running sequence.  */
#ifndef ENGINE_H
#define ENGINE_H

#include "policy/event_queue.h"

#define ENGINE_STEP_BASE_US 12000         /* time of a step without sequences */
#define ENGINE_STEP_SEQUENCE_US 550       /* more for each running sequence */
#define ENGINE_PREFILL_TOKENS_PER_S 20000 /* rate of prefill */
#define ENGINE_BATCH_MAX 32     /* running sequences that fit into memory */
#define ENGINE_WAITING_MAX 128  /* further sequences are rejected */
#define ENGINE_PREFIXES_MAX 8   /* prompt prefixes in the cache */
#define ENGINE_PREFIX_SHARE 0.5 /* of a prompt that is its shared prefix */
#define ENGINE_REPORT_LAG_US (1 * CLK_S)         /* highest age of a report */
#define ENGINE_REPORT_INTERVAL_US (250 * CLK_MS) /* between load samples */

/* One sequence on an engine, owned by the caller of engine_start. */
struct sequence
{
  guint priority;  /* 0 is the highest */
  guint prompt;    /* tokens */
  guint output;    /* tokens that it has at its end */
  guint generated; /* tokens, with those of earlier attempts */
  guint64 prefix;  /* identifies the shared prefix of the prompt */
  gint64 arrived;  /* microseconds, fake clock */
  gboolean running;
  struct engine *engine; /* NULL: ended or cancelled */
  void (*on_token) (void *ctx);
  /* COMPLETE: all tokens were generated; otherwise the engine crashed. */
  void (*on_end) (void *ctx, gboolean complete);
  void *ctx;
};

struct engine
{
  struct event_queue *events;
  GPtrArray *running;     /* struct sequence *, borrowed */
  GPtrArray *waiting;     /* struct sequence *, borrowed */
  GQueue cached_prefixes; /* guint64 *, most recently used first */
  double slowdown;        /* factor on step times; 1: healthy */
  gboolean reports_idle;  /* faulty: always reports a low load */
  gboolean down;          /* crashed; rejects all sequences */
  gboolean step_in_progress;
  guint load_reports[8]; /* running and waiting sequences, oldest first */
  guint64 generated;     /* tokens of all sequences */
};

void engine_init (struct engine *engine, struct event_queue *queue);
void engine_clear (struct engine *engine);
/* Queues SEQUENCE. Returns FALSE if the engine is down or its queue is full. */
gboolean engine_start (struct engine *engine, struct sequence *sequence);
/* Removes SEQUENCE from its engine without a call of on_end. */
void engine_cancel (struct sequence *sequence);
/* DOWN: crashes the engine, which ends all its sequences as incomplete; else
   restarts it without sequences. */
void engine_set_down (struct engine *engine, gboolean down);
/* Returns the number of running and waiting sequences as reported: up to
   ENGINE_REPORT_LAG_US old. */
guint engine_load (const struct engine *engine);

#endif
