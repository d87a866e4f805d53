/* Simulates the continuous batching of an inference engine, without I/O: which
   sequences run in the next step, how long the step takes, and which sequences
   then get a token.  */
#ifndef BATCHER_H
#define BATCHER_H

#include <glib.h>

struct batcher_options
{
  gint64 base_us;       /* duration of a step with an empty batch */
  gint64 seq_us;        /* added for each sequence of the batch */
  gint64 prefill_per_s; /* prompt tokens processed per second */
  int max_batch;        /* sequences */
  int max_waiting;      /* sequences */
  gint64 kv_tokens; /* KV memory for running sequences and cached prefixes */
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
  guint64 prefix_hash; /* of the prompt; key in the prefix cache */
  guint prefix_tokens; /* not prefilled again if the prefix is cached */
  guint prompt_tokens;
  guint resumed_tokens;  /* response tokens that the client already has */
  guint response_tokens; /* length of the complete response */
  void *ctx;             /* borrowed */
};

struct batcher_seq
{
  struct batcher_request request;
  enum batcher_state state;
  guint64 arrival; /* position in the order of arrival */
  guint generated; /* response tokens so far, including resumed_tokens */
};

/* Called for each generated token. SEQ is freed after its last token, once the
   step has ended.  */
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
