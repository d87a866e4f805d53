#include "sched/pdr.h"

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

struct pdr
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

struct pdr *
pdr_new (void)
{
  struct pdr *pdr = g_new0 (struct pdr, 1);
  pdr->seen
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  pdr->holders = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                        holder_free);
  return pdr;
}

void
pdr_free (struct pdr *pdr)
{
  if (pdr == NULL)
    return;
  g_hash_table_unref (pdr->holders);
  g_hash_table_unref (pdr->seen);
  g_free (pdr);
}

/* The key of all parts that other requests may share; 0: there are none.  */
guint32
pdr_shared_key (const struct pdr_prompt *prompt)
{
  return prompt->n < 2 ? 0 : prompt->parts[prompt->n - 2].key;
}

/* Extends the key of the chain BEFORE (0: none) by the part called PART.  */
guint32
pdr_chain (guint32 before, struct str part)
{
  guint64 hash = str_hash (part, before + 1);
  return (guint32)(hash ^ (hash >> 32));
}

static struct holder *
find (const struct pdr *pdr, guint server)
{
  return g_hash_table_lookup (pdr->holders, GUINT_TO_POINTER (server));
}

static struct holder *
find_or_add (struct pdr *pdr, guint server, guint64 memory, gint64 now)
{
  struct holder *holder = find (pdr, server);
  if (holder == NULL)
    {
      holder = g_new0 (struct holder, 1);
      holder->entries
          = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
      holder->recent_at = now;
      g_hash_table_insert (pdr->holders, GUINT_TO_POINTER (server), holder);
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
note_part (struct holder *holder, const struct pdr_part *part, gint64 now)
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
note_seen (struct pdr *pdr, guint server, const struct pdr_prompt *prompt,
           gint64 now)
{
  if (prompt->n < 2)
    return;
  gpointer key = GUINT_TO_POINTER (pdr_shared_key (prompt));
  if (g_hash_table_size (pdr->seen) >= ENTRIES_MAX)
    g_hash_table_foreach_remove (pdr->seen, is_old, &now);
  if (g_hash_table_size (pdr->seen) < ENTRIES_MAX)
    {
      const struct seen seen = { now, server };
      g_hash_table_replace (pdr->seen, key, g_memdup2 (&seen, sizeof seen));
    }
}

/* Finds the server to which a prompt with the same shared beginning was last
   sent, as known here, whether it still holds that or not. Returns FALSE if
   none was lately.  */
gboolean
pdr_last (const struct pdr *pdr, const struct pdr_prompt *prompt, gint64 now,
          guint *server)
{
  if (prompt->n < 2)
    return FALSE;
  const struct seen *seen = g_hash_table_lookup (
      pdr->seen, GUINT_TO_POINTER (pdr_shared_key (prompt)));
  if (seen == NULL || now - seen->at > SEEN_US)
    return FALSE;
  *server = seen->server;
  return TRUE;
}

/* Notes that PROMPT was sent to SERVER, which has MEMORY tokens (0: unknown).
   The last part is read but not kept in the directory.  */
void
pdr_note (struct pdr *pdr, guint server, guint64 memory,
          const struct pdr_prompt *prompt, gint64 now)
{
  struct holder *holder = find_or_add (pdr, server, memory, now);
  guint held = pdr_held (pdr, server, prompt, now);
  note_seen (pdr, server, prompt, now);
  for (guint i = 0; i + 1 < prompt->n; i++)
    note_part (holder, &prompt->parts[i], now);
  guint own = prompt->n ? prompt->parts[prompt->n - 1].tokens : 0;
  holder->inserted += own;
  holder->recent = decayed (holder, now) + pdr_tokens (prompt) - held;
  holder->recent_at = now;
}

/* A prompt of this domain is about to be noted. Learns how often a large shared
   part was in use lately.  */
void
pdr_sample (struct pdr *pdr, const struct pdr_prompt *prompt, gint64 now)
{
  guint server;
  if (pdr_shared_tokens (prompt) < PDR_LARGE_TOKENS)
    return;
  double known = pdr_last (pdr, prompt, now, &server) ? 1.0 : 0.0;
  pdr->known += KNOWN_WEIGHT * (known - pdr->known);
}

/* Share of large shared parts that were in use lately. Until anything is known
   all parts count as new.  */
double
pdr_known (const struct pdr *pdr)
{
  return pdr->known;
}

/* Returns how many tokens at the start of PROMPT SERVER probably holds.  */
guint
pdr_held (const struct pdr *pdr, guint server, const struct pdr_prompt *prompt,
          gint64 now)
{
  const struct holder *holder = find (pdr, server);
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
pdr_forget (struct pdr *pdr, guint server)
{
  g_hash_table_remove (pdr->holders, GUINT_TO_POINTER (server));
}

/* Tokens that SERVER had to read in the last seconds, as known here.  */
guint64
pdr_read_lately (const struct pdr *pdr, guint server, gint64 now)
{
  const struct holder *holder = find (pdr, server);
  return holder ? (guint64)decayed (holder, now) : 0;
}

/* Tokens of the parts that other requests may share.  */
guint
pdr_shared_tokens (const struct pdr_prompt *prompt)
{
  guint tokens = 0;
  for (guint i = 0; i + 1 < prompt->n; i++)
    tokens += prompt->parts[i].tokens;
  return tokens;
}

/* Tokens of the whole prompt.  */
guint
pdr_tokens (const struct pdr_prompt *prompt)
{
  guint tokens = 0;
  for (guint i = 0; i < prompt->n; i++)
    tokens += prompt->parts[i].tokens;
  return tokens;
}
