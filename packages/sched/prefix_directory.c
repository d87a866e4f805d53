#include "sched/prefix_directory.h"

/* Load pattern answered: thousands of long prompts that share most of their
   tokens with a few hundred others. Reading a shared part again costs an engine
   as much as several answers, so who holds it matters more than exact load.  */

#define CACHED_MAX_US (60 * CLK_S) /* age at which an entry is worthless */
#define CACHED_MEMORY_SHARE                                                    \
  0.7 /* of a server's memory that cached parts get                            \
       */
#define RECENT_USE_US (20 * CLK_S) /* age at which a use is forgotten */
#define REMEMBERED_MAX 20000       /* parts remembered of one server */
#define RECENT_PREFILL_US                                                      \
  (2 * CLK_S) /* time constant of the recent reading                           \
               */

struct cached_block
{
  guint64 prefill_count; /* the server's count of read tokens at the last use */
  gint64 used_at;        /* clock time */
};

struct server_cache
{
  GHashTable *blocks;    /* key: struct entry, owned */
  guint64 prefill_count; /* tokens read since the server's start, as known */
  guint64 memory;        /* tokens */
  double recent_prefill; /* tokens read, decaying */
  gint64 decayed_at;     /* clock time to which RECENT has decayed */
};

#define REUSE_SAMPLE_WEIGHT 0.02 /* of a new sample */

struct prefix_directory
{
  GHashTable *caches; /* number: struct holder, owned */
  GHashTable *uses;   /* key of a whole shared beginning: struct seen, owned */
  double reuse_share; /* share of large shared parts that were in use lately */
};

/* The last use of a shared beginning anywhere.  */
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
prefix_directory_new (void)
{
  struct prefix_directory *directory = g_new0 (struct prefix_directory, 1);
  directory->uses
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  directory->caches
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, cache_free);
  return directory;
}

void
prefix_directory_free (struct prefix_directory *directory)
{
  if (directory == NULL)
    return;
  g_hash_table_unref (directory->caches);
  g_hash_table_unref (directory->uses);
  g_free (directory);
}

/* The key of all parts that other requests may share; 0: there are none.  */
guint32
prefix_shared_key (const struct prefix_prompt *prompt)
{
  return prompt->n < 2 ? 0 : prompt->blocks[prompt->n - 2].key;
}

/* Extends the key of the chain BEFORE (0: none) by the part called PART.  */
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

static double
decayed_prefill (const struct server_cache *cache, gint64 now)
{
  gint64 age = CLAMP (now - cache->decayed_at, 0, 20 * RECENT_PREFILL_US);
  /* Linear steps are enough for a measure of recent load. */
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

/* Finds the server to which a prompt with the same shared beginning was last
   sent, as known here, whether it still holds that or not. Returns FALSE if
   none was lately.  */
gboolean
prefix_directory_last_server (const struct prefix_directory *directory,
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

/* Notes that PROMPT was sent to SERVER, which has MEMORY tokens (0: unknown).
   The last part is read but not kept in the directory.  */
void
prefix_directory_record (struct prefix_directory *directory, guint server,
                         guint64 memory, const struct prefix_prompt *prompt,
                         gint64 now)
{
  struct server_cache *cache
      = find_or_add_cache (directory, server, memory, now);
  guint cached_tokens
      = prefix_directory_cached_tokens (directory, server, prompt, now);
  record_use (directory, server, prompt, now);
  for (guint i = 0; i + 1 < prompt->n; i++)
    record_block (cache, &prompt->blocks[i], now);
  guint own_tokens = prompt->n ? prompt->blocks[prompt->n - 1].tokens : 0;
  cache->prefill_count += own_tokens;
  cache->recent_prefill = decayed_prefill (cache, now)
                          + prefix_prompt_tokens (prompt) - cached_tokens;
  cache->decayed_at = now;
}

/* A prompt of this domain is about to be noted. Learns how often a large shared
   part was in use lately.  */
void
prefix_directory_sample_reuse (struct prefix_directory *directory,
                               const struct prefix_prompt *prompt, gint64 now)
{
  guint server;
  if (prefix_shared_tokens (prompt) < PREFIX_LARGE_TOKENS)
    return;
  double reuse_share
      = prefix_directory_last_server (directory, prompt, now, &server) ? 1.0
                                                                       : 0.0;
  directory->reuse_share
      += REUSE_SAMPLE_WEIGHT * (reuse_share - directory->reuse_share);
}

/* Share of large shared parts that were in use lately. Until anything is known
   all parts count as new.  */
double
prefix_directory_reuse_share (const struct prefix_directory *directory)
{
  return directory->reuse_share;
}

/* Returns how many tokens at the start of PROMPT SERVER probably holds.  */
guint
prefix_directory_cached_tokens (const struct prefix_directory *directory,
                                guint server,
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

/* SERVER has gone or started anew.  */
void
prefix_directory_forget (struct prefix_directory *directory, guint server)
{
  g_hash_table_remove (directory->caches, GUINT_TO_POINTER (server));
}

/* Tokens that SERVER had to read in the last seconds, as known here.  */
guint64
prefix_directory_recent_prefill (const struct prefix_directory *directory,
                                 guint server, gint64 now)
{
  const struct server_cache *cache = find_cache (directory, server);
  return cache ? (guint64)decayed_prefill (cache, now) : 0;
}

/* Tokens of the parts that other requests may share.  */
guint
prefix_shared_tokens (const struct prefix_prompt *prompt)
{
  guint tokens = 0;
  for (guint i = 0; i + 1 < prompt->n; i++)
    tokens += prompt->blocks[i].tokens;
  return tokens;
}

/* Tokens of the whole prompt.  */
guint
prefix_prompt_tokens (const struct prefix_prompt *prompt)
{
  guint tokens = 0;
  for (guint i = 0; i < prompt->n; i++)
    tokens += prompt->blocks[i].tokens;
  return tokens;
}
