#include "policy/prefix_affinity.h"

struct hint
{
  guint64 prefix;
  guint64 slots;     /* bit set of the servers that have the prefix */
  gint64 last_added; /* clock time */
  GList link;        /* in by_age */
};

struct prefix_affinity
{
  GHashTable *hints; /* prefix: struct hint, owned */
  GQueue by_age;     /* of struct hint, the least recently updated first */
  guint max;         /* number of hints */
};

/* Returns an empty table for at most MAX prefixes.  */
struct prefix_affinity *
affinity_new (guint max)
{
  struct prefix_affinity *prefix_affinity = g_new0 (struct prefix_affinity, 1);
  prefix_affinity->hints
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&prefix_affinity->by_age);
  prefix_affinity->max = max;
  return prefix_affinity;
}

void
affinity_free (struct prefix_affinity *prefix_affinity)
{
  g_hash_table_destroy (prefix_affinity->hints);
  g_free (prefix_affinity);
}

static void
remove_hint (struct prefix_affinity *prefix_affinity, struct hint *hint)
{
  g_queue_unlink (&prefix_affinity->by_age, &hint->link);
  g_hash_table_remove (prefix_affinity->hints, &hint->prefix);
}

/* Adds an empty hint; evicts the least recently updated one if the table is
   full.  */
static struct hint *
add_hint (struct prefix_affinity *prefix_affinity, guint64 prefix)
{
  if (g_hash_table_size (prefix_affinity->hints) >= prefix_affinity->max)
    remove_hint (prefix_affinity, prefix_affinity->by_age.head->data);
  struct hint *hint = g_new0 (struct hint, 1);
  hint->prefix = prefix;
  hint->link.data = hint;
  g_hash_table_insert (prefix_affinity->hints, &hint->prefix, hint);
  g_queue_push_tail_link (&prefix_affinity->by_age, &hint->link);
  return hint;
}

/* Records that the server in SLOT has PREFIX in its cache; PREFIX is not 0.  */
void
affinity_add (struct prefix_affinity *prefix_affinity, guint64 prefix,
              guint slot, gint64 now)
{
  struct hint *hint = g_hash_table_lookup (prefix_affinity->hints, &prefix);
  if (!hint)
    hint = add_hint (prefix_affinity, prefix);
  if (now - hint->last_added >= AFFINITY_MAX_AGE_US)
    hint->slots = 0;
  hint->slots |= G_GUINT64_CONSTANT (1) << slot;
  hint->last_added = now;
  g_queue_unlink (&prefix_affinity->by_age, &hint->link);
  g_queue_push_tail_link (&prefix_affinity->by_age, &hint->link);
}

/* Records that the server in SLOT does not have PREFIX in its cache.  */
void
affinity_remove (struct prefix_affinity *prefix_affinity, guint64 prefix,
                 guint slot)
{
  struct hint *hint = g_hash_table_lookup (prefix_affinity->hints, &prefix);
  if (!hint)
    return;
  hint->slots &= ~(G_GUINT64_CONSTANT (1) << slot);
  if (hint->slots == 0)
    remove_hint (prefix_affinity, hint);
}

/* Clears SLOT in all hints, because its server was removed or restarted.  */
void
affinity_remove_slot (struct prefix_affinity *prefix_affinity, guint slot)
{
  for (GList *l = prefix_affinity->by_age.head, *next; l; l = next)
    {
      struct hint *hint = l->data;
      next = l->next;
      hint->slots &= ~(G_GUINT64_CONSTANT (1) << slot);
      if (hint->slots == 0)
        remove_hint (prefix_affinity, hint);
    }
}

/* Returns the bit set of slots whose servers probably have PREFIX cached.  */
guint64
affinity_cached_slots (const struct prefix_affinity *prefix_affinity,
                       guint64 prefix, gint64 now)
{
  const struct hint *hint
      = g_hash_table_lookup (prefix_affinity->hints, &prefix);
  return hint && now - hint->last_added < AFFINITY_MAX_AGE_US ? hint->slots : 0;
}

guint
affinity_size (const struct prefix_affinity *prefix_affinity)
{
  return g_hash_table_size (prefix_affinity->hints);
}
