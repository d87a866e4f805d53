#include "standin/eng.h"

#define US_PER_S G_GINT64_CONSTANT (1000000)

struct cached
{
  guint64 prefix;
  guint tokens;
};

struct eng
{
  struct eng_options options;
  GPtrArray *running; /* struct eng_seq, owned */
  GPtrArray *waiting; /* struct eng_seq, owned; by priority, then arrival */
  GQueue cache;       /* struct cached, owned; last used first */
  gint64 kv_running;  /* tokens */
  gint64 kv_cached;   /* tokens */
  guint64 arrivals;
  gboolean in_tokens; /* eng_token is being called */
  eng_cache on_cache;
  void *ctx;
};

/* Makes an engine with no work. CACHE is told of each prefix that enters or
   leaves the cache.  */
struct eng *
eng_new (const struct eng_options *options, eng_cache cache, void *ctx)
{
  struct eng *eng = g_new0 (struct eng, 1);
  eng->options = *options;
  eng->running = g_ptr_array_new ();
  eng->waiting = g_ptr_array_new ();
  g_queue_init (&eng->cache);
  eng->on_cache = cache;
  eng->ctx = ctx;
  return eng;
}

void
eng_free (struct eng *eng)
{
  g_ptr_array_set_free_func (eng->running, g_free);
  g_ptr_array_set_free_func (eng->waiting, g_free);
  g_ptr_array_unref (eng->running);
  g_ptr_array_unref (eng->waiting);
  g_queue_clear_full (&eng->cache, g_free);
  g_free (eng);
}

static gint64
kv_of (const struct eng_seq *seq)
{
  return (gint64)seq->request.prompt_tokens + seq->done;
}

static gboolean
goes_before (const struct eng_seq *a, const struct eng_seq *b)
{
  if (a->request.priority != b->request.priority)
    return a->request.priority < b->request.priority;
  return a->order < b->order;
}

static void
insert_waiting (struct eng *eng, struct eng_seq *seq)
{
  guint at = eng->waiting->len;
  while (at > 0 && goes_before (seq, eng->waiting->pdata[at - 1]))
    at--;
  seq->state = ENG_WAITING;
  g_ptr_array_insert (eng->waiting, (gint)at, seq);
}

/* Queues a sequence, which ENG owns until its last token or eng_cancel.
   Returns NULL if too many wait.  */
struct eng_seq *
eng_add (struct eng *eng, const struct eng_request *request)
{
  if ((gint)eng->waiting->len >= eng->options.max_waiting)
    return NULL;
  struct eng_seq *seq = g_new0 (struct eng_seq, 1);
  seq->request = *request;
  seq->done = request->done;
  seq->order = eng->arrivals++;
  insert_waiting (eng, seq);
  return seq;
}

/* Drops SEQ, in whatever state. May be called from an eng_token.  */
void
eng_cancel (struct eng *eng, struct eng_seq *seq)
{
  if (seq->state == ENG_GONE)
    return;
  if (seq->state == ENG_WAITING)
    {
      g_ptr_array_remove (eng->waiting, seq);
      g_free (seq);
      return;
    }
  eng->kv_running -= kv_of (seq);
  seq->state = ENG_GONE;
  if (eng->in_tokens)
    return;
  g_ptr_array_remove (eng->running, seq);
  g_free (seq);
}

static void
shrink_cache (struct eng *eng)
{
  while (eng->kv_running + eng->kv_cached > eng->options.kv_tokens
         && !g_queue_is_empty (&eng->cache))
    {
      struct cached *old = g_queue_pop_tail (&eng->cache);
      eng->kv_cached -= old->tokens;
      eng->on_cache (eng->ctx, old->prefix, FALSE);
      g_free (old);
    }
}

/* Moves the prefix of SEQ to the front of the cache, adding it if it is not
   there. Returns the tokens that need no prefill.  */
static guint
use_cache (struct eng *eng, const struct eng_seq *seq)
{
  for (GList *l = eng->cache.head; l != NULL; l = l->next)
    {
      struct cached *cached = l->data;
      if (cached->prefix != seq->request.prefix)
        continue;
      g_queue_unlink (&eng->cache, l);
      g_queue_push_head_link (&eng->cache, l);
      return MIN (cached->tokens, seq->request.prefix_tokens);
    }
  struct cached *added = g_new (struct cached, 1);
  added->prefix = seq->request.prefix;
  added->tokens = seq->request.prefix_tokens;
  g_queue_push_head (&eng->cache, added);
  eng->kv_cached += added->tokens;
  eng->on_cache (eng->ctx, added->prefix, TRUE);
  return 0;
}

/* Moves waiting sequences into the batch while it has room. Returns the
   tokens of their prefill.  */
static gint64
admit (struct eng *eng)
{
  gint64 prefill = 0;
  while (eng->waiting->len > 0
         && (gint)eng->running->len < eng->options.max_batch)
    {
      struct eng_seq *seq = eng->waiting->pdata[0];
      gint64 kv = kv_of (seq) + 1;
      if (eng->running->len > 0
          && eng->kv_running + kv > eng->options.kv_tokens)
        break;
      g_ptr_array_remove_index (eng->waiting, 0);
      seq->state = ENG_RUNNING;
      g_ptr_array_add (eng->running, seq);
      eng->kv_running += kv_of (seq);
      prefill += kv_of (seq) - use_cache (eng, seq);
    }
  shrink_cache (eng);
  return prefill;
}

/* Fills the batch. Returns the time of the step in microseconds, 0 if there
   is no work.  */
gint64
eng_begin_step (struct eng *eng)
{
  gint64 prefill = admit (eng);
  if (eng->running->len == 0)
    return 0;
  return eng->options.base_us + eng->options.seq_us * eng->running->len
         + prefill * US_PER_S / eng->options.prefill_per_s;
}

/* Puts running sequences, the last to be served first, back to wait until the
   others fit into memory. Their tokens so far need a new prefill.  */
static void
preempt (struct eng *eng)
{
  while (eng->kv_running > eng->options.kv_tokens && eng->running->len > 1)
    {
      struct eng_seq *last = eng->running->pdata[0];
      for (guint i = 1; i < eng->running->len; i++)
        if (goes_before (last, eng->running->pdata[i]))
          last = eng->running->pdata[i];
      g_ptr_array_remove (eng->running, last);
      eng->kv_running -= kv_of (last);
      insert_waiting (eng, last);
    }
}

static void
remove_gone (struct eng *eng)
{
  guint kept = 0;
  for (guint i = 0; i < eng->running->len; i++)
    {
      struct eng_seq *seq = eng->running->pdata[i];
      if (seq->state == ENG_GONE)
        g_free (seq);
      else
        eng->running->pdata[kept++] = seq;
    }
  g_ptr_array_set_size (eng->running, (gint)kept);
}

/* Ends the step: TOKEN is called for each sequence of the batch.  */
void
eng_end_step (struct eng *eng, eng_token token)
{
  eng->in_tokens = TRUE;
  for (guint i = 0; i < eng->running->len; i++)
    {
      struct eng_seq *seq = eng->running->pdata[i];
      if (seq->state == ENG_GONE)
        continue;
      seq->done++;
      eng->kv_running++;
      token (seq);
      if (seq->state != ENG_GONE && seq->done >= seq->request.total)
        {
          eng->kv_running -= kv_of (seq);
          seq->state = ENG_GONE;
        }
    }
  eng->in_tokens = FALSE;
  remove_gone (eng);
  preempt (eng);
  shrink_cache (eng);
}

guint
eng_running (const struct eng *eng)
{
  return eng->running->len;
}

guint
eng_waiting (const struct eng *eng)
{
  return eng->waiting->len;
}

/* Returns the tokens in memory, of running sequences and cached prefixes.  */
gint64
eng_kv_used (const struct eng *eng)
{
  return eng->kv_running + eng->kv_cached;
}
