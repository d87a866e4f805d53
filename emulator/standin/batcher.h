/* Continuous batching of a model engine, without I/O: which sequences run in
   the next step, how long the step takes, and who gets a token.  */
#ifndef BATCHER_H
#define BATCHER_H

#include <glib.h>

struct batcher_options
{
  gint64 base_us;       /* of a step with an empty batch */
  gint64 seq_us;        /* more for each sequence of the batch */
  gint64 prefill_per_s; /* prompt tokens */
  int max_batch;        /* sequences */
  int max_waiting;      /* sequences */
  gint64 kv_tokens;     /* memory of running sequences and cached prefixes */
};

enum batcher_state
{
  BATCHER_WAITING,
  BATCHER_RUNNING,
  BATCHER_REMOVED
};

struct batcher_request
{
  guint priority;      /* 0 is the highest */
  guint64 prefix_hash; /* hash of the prompt's prefix */
  guint prefix_tokens; /* that a cached prefix saves */
  guint prompt_tokens;
  guint resumed_tokens; /* tokens that the caller has already */
  guint total_tokens;   /* tokens of the whole answer */
  void *ctx;            /* borrowed */
};

struct batcher_seq
{
  struct batcher_request request;
  enum batcher_state state;
  guint64 arrival; /* of arrival */
  guint generated; /* tokens generated, with those the caller had */
};

/* Called for each token; the sequence is gone after the last one. */
typedef void (*batcher_token_func) (struct batcher_seq *seq);
typedef void (*batcher_cache_func) (void *ctx, guint64 prefix_hash,
                                    gboolean cached);

struct batcher;

struct batcher *batcher_new (const struct batcher_options *options,
                             batcher_cache_func on_cache_change, void *ctx);
void batcher_free (struct batcher *batcher);
struct batcher_seq *batcher_add (struct batcher *batcher,
                                 const struct batcher_request *request);
void batcher_cancel (struct batcher *batcher, struct batcher_seq *seq);
gint64 batcher_begin_step (struct batcher *batcher);
void batcher_end_step (struct batcher *batcher, batcher_token_func token);
guint batcher_running (const struct batcher *batcher);
guint batcher_waiting (const struct batcher *batcher);
gint64 batcher_kv_used (const struct batcher *batcher);

#endif
