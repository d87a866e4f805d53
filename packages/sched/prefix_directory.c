#include "sched/prefix_directory.h"

/* Load pattern answered: thousands of long prompts that share most of their
   tokens with a few hundred others. Reading a shared part again costs an engine
   as much as several answers, so who holds it matters more than exact load.  */

#define HOLD_US (60 * CLK_S)  /* age at which an entry is worthless */
#define HOLD_SHARE 0.7        /* of a server's memory that cached parts get */
#define SEEN_US (20 * CLK_S)  /* age at which a use is forgotten */
#define ENTRIES_MAX 20000     /* parts remembered of one server */
#define RECENT_US (2 * CLK_S) /* time constant of the recent reading */

struct entry
{
  guint64 inserted; /* the server's count of read tokens at the last use */
  gint64 used;      /* clock time */
};

struct holder
{
  GHashTable *entries; /* key: struct entry, owned */
  guint64 inserted;    /* tokens read since the server's start, as known */
  guint64 memory;      /* tokens */
  double recent;       /* tokens read, decaying */
  gint64 recent_at;    /* clock time to which RECENT has decayed */
};

#define KNOWN_WEIGHT 0.02 /* of a new sample */

struct prefix_directory
{
  GHashTable *holders; /* number: struct holder, owned */
  GHashTable *seen;    /* key of a whole shared beginning: struct seen, owned */
  double known;        /* share of large shared parts that were in use lately */
};

/* The last use of a shared beginning anywhere.  */
struct seen
{
  gint64 at; /* clock time */
  guint server;
};

static void
holder_free (gpointer data)
{
  struct holder *holder = data;
  g_hash_table_unref (holder->entries);
  g_free (holder);
}

struct prefix_directory *
prefix_directory_new (void)
{
  struct prefix_directory *prefix_directory
      = g_new0 (struct prefix_directory, 1);
  prefix_directory->seen
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  prefix_directory->holders = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, NULL, holder_free);
  return prefix_directory;
}

void
prefix_directory_free (struct prefix_directory *prefix_directory)
{
  if (prefix_directory == NULL)
    return;
  g_hash_table_unref (prefix_directory->holders);
  g_hash_table_unref (prefix_directory->seen);
  g_free (prefix_directory);
}

/* The key of all parts that other requests may share; 0: there are none.  */
guint32
prefix_shared_key (const struct prefix_prompt *prompt)
{
  return prompt->n < 2 ? 0 : prompt->parts[prompt->n - 2].key;
}

/* Extends the key of the chain BEFORE (0: none) by the part called PART.  */
guint32
prefix_chain_key (guint32 before, struct str part)
{
  guint64 hash = str_hash (part, before + 1);
  return (guint32)(hash ^ (hash >> 32));
}

static struct holder *
find (const struct prefix_directory *prefix_directory, guint server)
{
  return g_hash_table_lookup (prefix_directory->holders,
                              GUINT_TO_POINTER (server));
}

static struct holder *
find_or_add (struct prefix_directory *prefix_directory, guint server,
             guint64 memory, gint64 now)
{
  struct holder *holder = find (prefix_directory, server);
  if (holder == NULL)
    {
      holder = g_new0 (struct holder, 1);
      holder->entries
          = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
      holder->recent_at = now;
      g_hash_table_insert (prefix_directory->holders, GUINT_TO_POINTER (server),
                           holder);
    }
  if (memory > 0)
    holder->memory = memory;
  return holder;
}

static gboolean
is_held (const struct holder *holder, const struct entry *entry, gint64 now)
{
  return now - entry->used < HOLD_US
         && (holder->memory == 0
             || (double)(holder->inserted - entry->inserted)
                    < HOLD_SHARE * (double)holder->memory);
}

struct sweep
{
  const struct holder *holder;
  gint64 now;
};

static gboolean
is_worthless (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  const struct sweep *sweep = data;
  return !is_held (sweep->holder, value, sweep->now);
}

static void
note_part (struct holder *holder, const struct prefix_block *part, gint64 now)
{
  struct entry *entry
      = g_hash_table_lookup (holder->entries, GUINT_TO_POINTER (part->key));
  if (entry == NULL)
    {
      if (g_hash_table_size (holder->entries) >= ENTRIES_MAX)
        {
          struct sweep sweep = { holder, now };
          g_hash_table_foreach_remove (holder->entries, is_worthless, &sweep);
        }
      if (g_hash_table_size (holder->entries) >= ENTRIES_MAX)
        return;
      entry = g_new0 (struct entry, 1);
      g_hash_table_insert (holder->entries, GUINT_TO_POINTER (part->key),
                           entry);
    }
  else if (is_held (holder, entry, now))
    {
      entry->inserted = holder->inserted;
      entry->used = now;
      return;
    }
  holder->inserted += part->tokens;
  entry->inserted = holder->inserted;
  entry->used = now;
}

static double
decayed (const struct holder *holder, gint64 now)
{
  gint64 age = CLAMP (now - holder->recent_at, 0, 20 * RECENT_US);
  /* Linear steps are enough for a measure of recent load. */
  double left = 1.0 - (double)age / (double)(2 * RECENT_US);
  return holder->recent * MAX (left, 0);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return *(gint64 *)now - ((struct seen *)value)->at > SEEN_US;
}

static void
note_seen (struct prefix_directory *prefix_directory, guint server,
           const struct prefix_prompt *prompt, gint64 now)
{
  if (prompt->n < 2)
    return;
  gpointer key = GUINT_TO_POINTER (prefix_shared_key (prompt));
  if (g_hash_table_size (prefix_directory->seen) >= ENTRIES_MAX)
    g_hash_table_foreach_remove (prefix_directory->seen, is_old, &now);
  if (g_hash_table_size (prefix_directory->seen) < ENTRIES_MAX)
    {
      const struct seen seen = { now, server };
      g_hash_table_replace (prefix_directory->seen, key,
                            g_memdup2 (&seen, sizeof seen));
    }
}

/* Finds the server to which a prompt with the same shared beginning was last
   sent, as known here, whether it still holds that or not. Returns FALSE if
   none was lately.  */
gboolean
prefix_directory_last_server (const struct prefix_directory *prefix_directory,
                              const struct prefix_prompt *prompt, gint64 now,
                              guint *server)
{
  if (prompt->n < 2)
    return FALSE;
  const struct seen *seen = g_hash_table_lookup (
      prefix_directory->seen, GUINT_TO_POINTER (prefix_shared_key (prompt)));
  if (seen == NULL || now - seen->at > SEEN_US)
    return FALSE;
  *server = seen->server;
  return TRUE;
}

/* Notes that PROMPT was sent to SERVER, which has MEMORY tokens (0: unknown).
   The last part is read but not kept in the directory.  */
void
prefix_directory_record (struct prefix_directory *prefix_directory,
                         guint server, guint64 memory,
                         const struct prefix_prompt *prompt, gint64 now)
{
  struct holder *holder = find_or_add (prefix_directory, server, memory, now);
  guint held
      = prefix_directory_cached_tokens (prefix_directory, server, prompt, now);
  note_seen (prefix_directory, server, prompt, now);
  for (guint i = 0; i + 1 < prompt->n; i++)
    note_part (holder, &prompt->parts[i], now);
  guint own = prompt->n ? prompt->parts[prompt->n - 1].tokens : 0;
  holder->inserted += own;
  holder->recent = decayed (holder, now) + prefix_prompt_tokens (prompt) - held;
  holder->recent_at = now;
}

/* A prompt of this domain is about to be noted. Learns how often a large shared
   part was in use lately.  */
void
prefix_directory_sample_reuse (struct prefix_directory *prefix_directory,
                               const struct prefix_prompt *prompt, gint64 now)
{
  guint server;
  if (prefix_shared_tokens (prompt) < PREFIX_LARGE_TOKENS)
    return;
  double known
      = prefix_directory_last_server (prefix_directory, prompt, now, &server)
            ? 1.0
            : 0.0;
  prefix_directory->known += KNOWN_WEIGHT * (known - prefix_directory->known);
}

/* Share of large shared parts that were in use lately. Until anything is known
   all parts count as new.  */
double
prefix_directory_reuse_share (const struct prefix_directory *prefix_directory)
{
  return prefix_directory->known;
}

/* Returns how many tokens at the start of PROMPT SERVER probably holds.  */
guint
prefix_directory_cached_tokens (const struct prefix_directory *prefix_directory,
                                guint server,
                                const struct prefix_prompt *prompt, gint64 now)
{
  const struct holder *holder = find (prefix_directory, server);
  guint held = 0;
  if (holder == NULL)
    return 0;
  for (guint i = 0; i + 1 < prompt->n; i++)
    {
      const struct entry *entry = g_hash_table_lookup (
          holder->entries, GUINT_TO_POINTER (prompt->parts[i].key));
      if (entry == NULL || !is_held (holder, entry, now))
        break;
      held += prompt->parts[i].tokens;
    }
  return held;
}

/* SERVER has gone or started anew.  */
void
prefix_directory_forget (struct prefix_directory *prefix_directory,
                         guint server)
{
  g_hash_table_remove (prefix_directory->holders, GUINT_TO_POINTER (server));
}

/* Tokens that SERVER had to read in the last seconds, as known here.  */
guint64
prefix_directory_recent_prefill (
    const struct prefix_directory *prefix_directory, guint server, gint64 now)
{
  const struct holder *holder = find (prefix_directory, server);
  return holder ? (guint64)decayed (holder, now) : 0;
}

/* Tokens of the parts that other requests may share.  */
guint
prefix_shared_tokens (const struct prefix_prompt *prompt)
{
  guint tokens = 0;
  for (guint i = 0; i + 1 < prompt->n; i++)
    tokens += prompt->parts[i].tokens;
  return tokens;
}

/* Tokens of the whole prompt.  */
guint
prefix_prompt_tokens (const struct prefix_prompt *prompt)
{
  guint tokens = 0;
  for (guint i = 0; i < prompt->n; i++)
    tokens += prompt->parts[i].tokens;
  return tokens;
}
