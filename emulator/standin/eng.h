/* Continuous batching of a model engine, without I/O: which sequences run in
   the next step, how long the step takes, and who gets a token.  */
#ifndef ENG_H
#define ENG_H

#include <glib.h>

struct eng_options
{
  gint64 base_us;       /* of a step with an empty batch */
  gint64 seq_us;        /* more for each sequence of the batch */
  gint64 prefill_per_s; /* prompt tokens */
  int max_batch;        /* sequences */
  int max_waiting;      /* sequences */
  gint64 kv_tokens;     /* memory of running sequences and cached prefixes */
};

enum eng_state
{
  ENG_WAITING,
  ENG_RUNNING,
  ENG_GONE
};

struct eng_request
{
  guint priority;      /* 0 is the highest */
  guint64 prefix;      /* hash of the prompt's prefix */
  guint prefix_tokens; /* that a cached prefix saves */
  guint prompt_tokens;
  guint done;  /* tokens that the caller has already */
  guint total; /* tokens of the whole answer */
  void *ctx;   /* borrowed */
};

struct eng_seq
{
  struct eng_request request;
  enum eng_state state;
  guint64 order; /* of arrival */
  guint done;    /* tokens generated, with those the caller had */
};

/* Called for each token; the sequence is gone after the last one. */
typedef void (*eng_token) (struct eng_seq *seq);
typedef void (*eng_cache) (void *ctx, guint64 prefix, gboolean held);

struct eng;

struct eng *eng_new (const struct eng_options *options, eng_cache cache,
                     void *ctx);
void eng_free (struct eng *eng);
struct eng_seq *eng_add (struct eng *eng, const struct eng_request *request);
void eng_cancel (struct eng *eng, struct eng_seq *seq);
gint64 eng_begin_step (struct eng *eng);
void eng_end_step (struct eng *eng, eng_token token);
guint eng_running (const struct eng *eng);
guint eng_waiting (const struct eng *eng);
gint64 eng_kv_used (const struct eng *eng);

#endif
