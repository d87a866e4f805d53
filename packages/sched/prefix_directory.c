#include "sched/prefix_directory.h"

/* Addresses this load pattern: thousands of long prompts that share most of
   their tokens with a few hundred others. Prefilling a shared prefix again
   costs an engine as much as several responses, so which server has it cached
   matters more than exact load.  */

/* Age at which a block counts as evicted. */
#define CACHED_MAX_US (60 * CLK_S)
/* Share of a server's memory that cached blocks are assumed to get. */
#define CACHED_MEMORY_SHARE 0.7
#define RECENT_USE_US (20 * CLK_S) /* a use counts as recent for so long */
/* Blocks remembered for each server, and shared prefixes whose last use is
   remembered. */
#define REMEMBERED_MAX 20000
/* Time constant of the decay of the recent prefill. */
#define RECENT_PREFILL_US (2 * CLK_S)

/* A block that a server is assumed to have cached.  */
struct cached_block
{
  /* Value of the server's PREFILL_COUNT at the last use. */
  guint64 prefill_count;
  gint64 used_at; /* clock time */
};

/* The estimated state of one server's prefix cache.  */
struct server_cache
{
  GHashTable *blocks;    /* key of a block: struct cached_block, owned */
  guint64 prefill_count; /* estimated tokens since start */
  guint64 memory;        /* tokens; 0: unknown */
  double recent_prefill; /* tokens prefilled, decaying */
  gint64 decayed_at;     /* clock time up to which RECENT_PREFILL has decayed */
};

#define REUSE_SAMPLE_WEIGHT 0.02 /* weight of a new sample */

struct prefix_directory
{
  GHashTable *caches; /* server number: struct server_cache, owned */
  GHashTable *uses;   /* key of a shared prefix: struct prefix_use, owned */
  double reuse_share; /* large prefixes in recent use */
};

/* The last use of a shared prefix at any server.  */
struct prefix_use
{
  gint64 used_at; /* clock time */
  guint server;
};

static void
cache_free (gpointer data)
{
  struct server_cache *cache = data;
  g_hash_table_unref (cache->blocks);
  g_free (cache);
}

struct prefix_directory *
directory_new (void)
{
  struct prefix_directory *directory = g_new0 (struct prefix_directory, 1);
  directory->uses
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  directory->caches
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, cache_free);
  return directory;
}

void
directory_free (struct prefix_directory *directory)
{
  if (directory == NULL)
    return;
  g_hash_table_unref (directory->caches);
  g_hash_table_unref (directory->uses);
  g_free (directory);
}

/* Returns the key of all blocks that other requests may share; 0: there are
   none.  */
guint32
prefix_shared_key (const struct prefix_prompt *prompt)
{
  return prompt->n < 2 ? 0 : prompt->blocks[prompt->n - 2].key;
}

/* Extends the key of a chain of blocks, BEFORE (0: empty chain), by BLOCK.  */
guint32
prefix_chain_key (guint32 before, struct str block)
{
  guint64 hash = str_hash (block, before + 1);
  return (guint32)(hash ^ (hash >> 32));
}

static struct server_cache *
find_cache (const struct prefix_directory *directory, guint server)
{
  return g_hash_table_lookup (directory->caches, GUINT_TO_POINTER (server));
}

static struct server_cache *
find_or_add_cache (struct prefix_directory *directory, guint server,
                   guint64 memory, gint64 now)
{
  struct server_cache *cache = find_cache (directory, server);
  if (cache == NULL)
    {
      cache = g_new0 (struct server_cache, 1);
      cache->blocks
          = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
      cache->decayed_at = now;
      g_hash_table_insert (directory->caches, GUINT_TO_POINTER (server), cache);
    }
  if (memory > 0)
    cache->memory = memory;
  return cache;
}

/* Returns whether SERVER probably still has the block: it was used within
   CACHED_MAX_US, and since then the server has prefilled less than the memory
   for cached blocks holds.  */
static gboolean
is_cached (const struct server_cache *cache, const struct cached_block *cached,
           gint64 now)
{
  return now - cached->used_at < CACHED_MAX_US
         && (cache->memory == 0
             || (double)(cache->prefill_count - cached->prefill_count)
                    < CACHED_MEMORY_SHARE * (double)cache->memory);
}

struct sweep
{
  const struct server_cache *cache;
  gint64 now;
};

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  const struct sweep *sweep = data;
  return !is_cached (sweep->cache, value, sweep->now);
}

/* Records that BLOCK was sent. If it was not cached, the server prefills it. A
   new block is dropped if too many are remembered.  */
static void
record_block (struct server_cache *cache, const struct prefix_block *block,
              gint64 now)
{
  struct cached_block *cached
      = g_hash_table_lookup (cache->blocks, GUINT_TO_POINTER (block->key));
  if (cached == NULL)
    {
      if (g_hash_table_size (cache->blocks) >= REMEMBERED_MAX)
        {
          struct sweep sweep = { cache, now };
          g_hash_table_foreach_remove (cache->blocks, is_expired, &sweep);
        }
      if (g_hash_table_size (cache->blocks) >= REMEMBERED_MAX)
        return;
      cached = g_new0 (struct cached_block, 1);
      g_hash_table_insert (cache->blocks, GUINT_TO_POINTER (block->key),
                           cached);
    }
  else if (is_cached (cache, cached, now))
    {
      cached->prefill_count = cache->prefill_count;
      cached->used_at = now;
      return;
    }
  cache->prefill_count += block->tokens;
  cached->prefill_count = cache->prefill_count;
  cached->used_at = now;
}

/* Returns the recent prefill as of NOW, in tokens.  */
static double
decayed_prefill (const struct server_cache *cache, gint64 now)
{
  gint64 age = CLAMP (now - cache->decayed_at, 0, 20 * RECENT_PREFILL_US);
  /* A linear decay is accurate enough for a measure of recent load. */
  double remaining = 1.0 - (double)age / (double)(2 * RECENT_PREFILL_US);
  return cache->recent_prefill * MAX (remaining, 0);
}

static gboolean
is_stale (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return *(gint64 *)now - ((struct prefix_use *)value)->used_at > RECENT_USE_US;
}

static void
record_use (struct prefix_directory *directory, guint server,
            const struct prefix_prompt *prompt, gint64 now)
{
  if (prompt->n < 2)
    return;
  gpointer key = GUINT_TO_POINTER (prefix_shared_key (prompt));
  if (g_hash_table_size (directory->uses) >= REMEMBERED_MAX)
    g_hash_table_foreach_remove (directory->uses, is_stale, &now);
  if (g_hash_table_size (directory->uses) < REMEMBERED_MAX)
    {
      const struct prefix_use use = { now, server };
      g_hash_table_replace (directory->uses, key, g_memdup2 (&use, sizeof use));
    }
}

/* Finds the server to which a prompt with the same shared prefix was last sent
   according to the directory, whether it still has it cached or not. Returns
   FALSE if there was no recent use.  */
gboolean
directory_last_server (const struct prefix_directory *directory,
                       const struct prefix_prompt *prompt, gint64 now,
                       guint *server)
{
  if (prompt->n < 2)
    return FALSE;
  const struct prefix_use *use = g_hash_table_lookup (
      directory->uses, GUINT_TO_POINTER (prefix_shared_key (prompt)));
  if (use == NULL || now - use->used_at > RECENT_USE_US)
    return FALSE;
  *server = use->server;
  return TRUE;
}

/* Records that PROMPT was sent to SERVER, which has memory for MEMORY tokens
   (0: unknown). The last block counts as prefilled but is not recorded as
   cached, because no other request shares it.  */
void
directory_record (struct prefix_directory *directory, guint server,
                  guint64 memory, const struct prefix_prompt *prompt,
                  gint64 now)
{
  struct server_cache *cache
      = find_or_add_cache (directory, server, memory, now);
  guint cached_tokens
      = directory_cached_tokens (directory, server, prompt, now);
  record_use (directory, server, prompt, now);
  for (guint i = 0; i + 1 < prompt->n; i++)
    record_block (cache, &prompt->blocks[i], now);
  guint own_tokens = prompt->n ? prompt->blocks[prompt->n - 1].tokens : 0;
  cache->prefill_count += own_tokens;
  cache->recent_prefill = decayed_prefill (cache, now)
                          + prefix_prompt_tokens (prompt) - cached_tokens;
  cache->decayed_at = now;
}

/* Updates the share of large shared prefixes that were used recently. Call it
   for each prompt of this domain, before it is recorded.  */
void
directory_sample_reuse (struct prefix_directory *directory,
                        const struct prefix_prompt *prompt, gint64 now)
{
  guint server;
  if (prefix_shared_tokens (prompt) < PREFIX_LARGE_TOKENS)
    return;
  double reuse_share
      = directory_last_server (directory, prompt, now, &server) ? 1.0 : 0.0;
  directory->reuse_share
      += REUSE_SAMPLE_WEIGHT * (reuse_share - directory->reuse_share);
}

/* Returns the share of large shared prefixes that were used recently. Starts
   at 0, so that all prefixes count as new until there are samples.  */
double
directory_reuse_share (const struct prefix_directory *directory)
{
  return directory->reuse_share;
}

/* Returns the estimated number of tokens at the start of PROMPT that SERVER
   has cached.  */
guint
directory_cached_tokens (const struct prefix_directory *directory, guint server,
                         const struct prefix_prompt *prompt, gint64 now)
{
  const struct server_cache *cache = find_cache (directory, server);
  guint cached_tokens = 0;
  if (cache == NULL)
    return 0;
  for (guint i = 0; i + 1 < prompt->n; i++)
    {
      const struct cached_block *cached = g_hash_table_lookup (
          cache->blocks, GUINT_TO_POINTER (prompt->blocks[i].key));
      if (cached == NULL || !is_cached (cache, cached, now))
        break;
      cached_tokens += prompt->blocks[i].tokens;
    }
  return cached_tokens;
}

/* Forgets the cached blocks of SERVER, which was removed or restarted.  */
void
directory_forget (struct prefix_directory *directory, guint server)
{
  g_hash_table_remove (directory->caches, GUINT_TO_POINTER (server));
}

/* Returns the estimated number of tokens that SERVER had to prefill in the
   last seconds.  */
guint64
directory_recent_prefill (const struct prefix_directory *directory,
                          guint server, gint64 now)
{
  const struct server_cache *cache = find_cache (directory, server);
  return cache ? (guint64)decayed_prefill (cache, now) : 0;
}

/* Returns the number of tokens in the blocks that other requests may share.  */
guint
prefix_shared_tokens (const struct prefix_prompt *prompt)
{
  guint tokens = 0;
  for (guint i = 0; i + 1 < prompt->n; i++)
    tokens += prompt->blocks[i].tokens;
  return tokens;
}

/* Returns the number of tokens of the complete prompt.  */
guint
prefix_prompt_tokens (const struct prefix_prompt *prompt)
{
  guint tokens = 0;
  for (guint i = 0; i < prompt->n; i++)
    tokens += prompt->blocks[i].tokens;
  return tokens;
}
