#include "standin/batcher.h"

#define US_PER_S G_GINT64_CONSTANT (1000000)

struct cache_entry
{
  guint64 prefix_hash;
  guint tokens;
};

struct batcher
{
  struct batcher_options options;
  GPtrArray *running; /* struct batcher_seq, owned */
  GPtrArray *waiting; /* struct batcher_seq, owned; by priority, then arrival */
  GQueue cache;       /* struct cache_entry, owned; most recently used first */
  gint64 kv_running;  /* tokens */
  gint64 kv_cached;   /* tokens */
  guint64 next_arrival;
  gboolean in_token_callback; /* a batcher_token_func is being called */
  batcher_cache_func on_cache_change;
  void *ctx;
};

/* Returns an idle batcher. ON_CACHE_CHANGE is called for each prefix that
   enters or leaves the prefix cache.  */
struct batcher *
batcher_new (const struct batcher_options *options,
             batcher_cache_func on_cache_change, void *ctx)
{
  struct batcher *batcher = g_new0 (struct batcher, 1);
  batcher->options = *options;
  batcher->running = g_ptr_array_new ();
  batcher->waiting = g_ptr_array_new ();
  g_queue_init (&batcher->cache);
  batcher->on_cache_change = on_cache_change;
  batcher->ctx = ctx;
  return batcher;
}

void
batcher_free (struct batcher *batcher)
{
  g_ptr_array_set_free_func (batcher->running, g_free);
  g_ptr_array_set_free_func (batcher->waiting, g_free);
  g_ptr_array_unref (batcher->running);
  g_ptr_array_unref (batcher->waiting);
  g_queue_clear_full (&batcher->cache, g_free);
  g_free (batcher);
}

static gint64
seq_kv_tokens (const struct batcher_seq *seq)
{
  return (gint64)seq->request.prompt_tokens + seq->generated;
}

static gboolean
precedes (const struct batcher_seq *a, const struct batcher_seq *b)
{
  if (a->request.priority != b->request.priority)
    return a->request.priority < b->request.priority;
  return a->arrival < b->arrival;
}

static void
insert_waiting (struct batcher *batcher, struct batcher_seq *seq)
{
  guint position = batcher->waiting->len;
  while (position > 0 && precedes (seq, batcher->waiting->pdata[position - 1]))
    position--;
  seq->state = BATCHER_WAITING;
  g_ptr_array_insert (batcher->waiting, (gint)position, seq);
}

/* Queues a sequence, which BATCHER owns and frees after its last token or on
   batcher_cancel. Returns NULL if the queue is full.  */
struct batcher_seq *
batcher_add (struct batcher *batcher, const struct batcher_request *request)
{
  if ((gint)batcher->waiting->len >= batcher->options.max_waiting)
    return NULL;
  struct batcher_seq *seq = g_new0 (struct batcher_seq, 1);
  seq->request = *request;
  seq->generated = request->resumed_tokens;
  seq->arrival = batcher->next_arrival++;
  insert_waiting (batcher, seq);
  return seq;
}

/* Removes SEQ, whatever its state. May be called from a batcher_token_func.  */
void
batcher_cancel (struct batcher *batcher, struct batcher_seq *seq)
{
  if (seq->state == BATCHER_REMOVED)
    return;
  if (seq->state == BATCHER_WAITING)
    {
      g_ptr_array_remove (batcher->waiting, seq);
      g_free (seq);
      return;
    }
  batcher->kv_running -= seq_kv_tokens (seq);
  seq->state = BATCHER_REMOVED;
  if (batcher->in_token_callback)
    return;
  g_ptr_array_remove (batcher->running, seq);
  g_free (seq);
}

static void
evict_prefixes (struct batcher *batcher)
{
  while (batcher->kv_running + batcher->kv_cached > batcher->options.kv_tokens
         && !g_queue_is_empty (&batcher->cache))
    {
      struct cache_entry *oldest = g_queue_pop_tail (&batcher->cache);
      batcher->kv_cached -= oldest->tokens;
      batcher->on_cache_change (batcher->ctx, oldest->prefix_hash, FALSE);
      g_free (oldest);
    }
}

/* Marks the prefix of SEQ as the most recently used one, adding it to the
   cache if needed. Returns the number of tokens that need no prefill.  */
static guint
cache_prefix (struct batcher *batcher, const struct batcher_seq *seq)
{
  for (GList *l = batcher->cache.head; l != NULL; l = l->next)
    {
      struct cache_entry *entry = l->data;
      if (entry->prefix_hash != seq->request.prefix_hash)
        continue;
      g_queue_unlink (&batcher->cache, l);
      g_queue_push_head_link (&batcher->cache, l);
      return MIN (entry->tokens, seq->request.prefix_tokens);
    }
  struct cache_entry *added = g_new (struct cache_entry, 1);
  added->prefix_hash = seq->request.prefix_hash;
  added->tokens = seq->request.prefix_tokens;
  g_queue_push_head (&batcher->cache, added);
  batcher->kv_cached += added->tokens;
  batcher->on_cache_change (batcher->ctx, added->prefix_hash, TRUE);
  return 0;
}

/* Moves waiting sequences into the batch while there is room; a sequence that
   does not fit into memory may only run alone. Returns their pending prefill
   tokens.  */
static gint64
admit (struct batcher *batcher)
{
  gint64 prefill = 0;
  while (batcher->waiting->len > 0
         && (gint)batcher->running->len < batcher->options.max_batch)
    {
      struct batcher_seq *seq = batcher->waiting->pdata[0];
      gint64 kv = seq_kv_tokens (seq) + 1;
      if (batcher->running->len > 0
          && batcher->kv_running + kv > batcher->options.kv_tokens)
        break;
      g_ptr_array_remove_index (batcher->waiting, 0);
      seq->state = BATCHER_RUNNING;
      g_ptr_array_add (batcher->running, seq);
      batcher->kv_running += seq_kv_tokens (seq);
      prefill += seq_kv_tokens (seq) - cache_prefix (batcher, seq);
    }
  evict_prefixes (batcher);
  return prefill;
}

/* Fills the batch. Returns the duration of the step in microseconds, 0 if
   there is no work.  */
gint64
batcher_begin_step (struct batcher *batcher)
{
  gint64 prefill = admit (batcher);
  if (batcher->running->len == 0)
    return 0;
  return batcher->options.base_us
         + batcher->options.seq_us * batcher->running->len
         + prefill * US_PER_S / batcher->options.prefill_per_s;
}

/* Moves running sequences, those of the lowest priority and latest arrival
   first, back to the queue until the others fit into memory. All their tokens
   so far need a new prefill.  */
static void
preempt (struct batcher *batcher)
{
  while (batcher->kv_running > batcher->options.kv_tokens
         && batcher->running->len > 1)
    {
      struct batcher_seq *last = batcher->running->pdata[0];
      for (guint i = 1; i < batcher->running->len; i++)
        if (precedes (last, batcher->running->pdata[i]))
          last = batcher->running->pdata[i];
      g_ptr_array_remove (batcher->running, last);
      batcher->kv_running -= seq_kv_tokens (last);
      insert_waiting (batcher, last);
    }
}

static void
free_removed (struct batcher *batcher)
{
  guint kept = 0;
  for (guint i = 0; i < batcher->running->len; i++)
    {
      struct batcher_seq *seq = batcher->running->pdata[i];
      if (seq->state == BATCHER_REMOVED)
        g_free (seq);
      else
        batcher->running->pdata[kept++] = seq;
    }
  g_ptr_array_set_size (batcher->running, (gint)kept);
}

/* Ends the step. TOKEN is called for each sequence of the batch.  */
void
batcher_end_step (struct batcher *batcher, batcher_token_func token)
{
  batcher->in_token_callback = TRUE;
  for (guint i = 0; i < batcher->running->len; i++)
    {
      struct batcher_seq *seq = batcher->running->pdata[i];
      if (seq->state == BATCHER_REMOVED)
        continue;
      seq->generated++;
      batcher->kv_running++;
      token (seq);
      if (seq->state != BATCHER_REMOVED
          && seq->generated >= seq->request.response_tokens)
        {
          batcher->kv_running -= seq_kv_tokens (seq);
          seq->state = BATCHER_REMOVED;
        }
    }
  batcher->in_token_callback = FALSE;
  free_removed (batcher);
  preempt (batcher);
  evict_prefixes (batcher);
}

guint
batcher_running (const struct batcher *batcher)
{
  return batcher->running->len;
}

guint
batcher_waiting (const struct batcher *batcher)
{
  return batcher->waiting->len;
}

/* Returns the number of tokens in memory: running sequences and cached
   prefixes.  */
gint64
batcher_kv_used (const struct batcher *batcher)
{
  return batcher->kv_running + batcher->kv_cached;
}
