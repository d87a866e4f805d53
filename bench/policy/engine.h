/* A model engine at its interface: continuous batching, token times that grow
   with the batch, a prefix cache, priorities, load reports with a lag.  */
#ifndef ENGINE_H
#define ENGINE_H

#include "policy/event_queue.h"

#define ENGINE_STEP_BASE_US 12000         /* of a step */
#define ENGINE_STEP_SEQUENCE_US 550       /* of a step, for each sequence */
#define ENGINE_PREFILL_TOKENS_PER_S 20000 /* prompt tokens */
#define ENGINE_BATCH_MAX 32               /* sequences that fit into memory */
#define ENGINE_WAITING_MAX 128            /* then it refuses */
#define ENGINE_PREFIXES_MAX 8             /* cached prompt prefixes */
#define ENGINE_PREFIX_SHARE 0.5           /* of a prompt that is its prefix */
#define ENGINE_REPORT_LAG_US (1 * CLK_S)  /* of load reports */
#define ENGINE_REPORT_INTERVAL_US (250 * CLK_MS)

/* One sequence on an engine. */
struct sequence
{
  guint priority;  /* 0 is the highest */
  guint prompt;    /* tokens */
  guint output;    /* tokens that it will have in all */
  guint generated; /* tokens, those before a resumption included */
  guint64 prefix;
  gint64 arrived;
  gboolean running;
  struct engine *engine; /* NULL: ended */
  void (*on_token) (void *ctx);
  void (*on_end) (void *ctx, gboolean complete);
  void *ctx;
};

struct engine
{
  struct event_queue *events;
  GPtrArray *running;     /* struct sequence *, borrowed */
  GPtrArray *waiting;     /* struct sequence *, borrowed */
  GQueue cached_prefixes; /* guint64 *, the latest used first */
  double slowdown;        /* factor on times; 1: healthy */
  gboolean reports_idle;  /* reports an idle engine */
  gboolean down;          /* crashed */
  gboolean step_in_progress;
  guint load_reports[8]; /* running and waiting, the oldest first */
  guint64 generated;     /* tokens in all */
};

void engine_init (struct engine *engine, struct event_queue *queue);
void engine_clear (struct engine *engine);
/* Returns FALSE if the engine refuses. */
gboolean engine_start (struct engine *engine, struct sequence *sequence);
void engine_cancel (struct sequence *sequence);
/* Ends all sequences, or comes back empty. */
void engine_set_down (struct engine *engine, gboolean down);
/* Running and waiting sequences as the engine reports them, with a lag. */
guint engine_load (const struct engine *engine);

#endif
