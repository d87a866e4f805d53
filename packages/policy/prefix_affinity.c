#include "policy/prefix_affinity.h"

struct hint
{
  guint64 prefix;
  guint64 holders; /* bit set of slots */
  gint64 noted;    /* clock time of the last note */
  GList link;      /* in by_use */
};

struct aff
{
  GHashTable *hints; /* prefix -> struct hint, owned */
  GQueue by_use;     /* of struct hint, the least recently noted first */
  guint max;
};

/* Returns an empty table of at most MAX prefixes; freed by aff_free.  */
struct aff *
aff_new (guint max)
{
  struct aff *aff = g_new0 (struct aff, 1);
  aff->hints
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&aff->by_use);
  aff->max = max;
  return aff;
}

void
aff_free (struct aff *aff)
{
  g_hash_table_destroy (aff->hints);
  g_free (aff);
}

static void
forget (struct aff *aff, struct hint *hint)
{
  g_queue_unlink (&aff->by_use, &hint->link);
  g_hash_table_remove (aff->hints, &hint->prefix);
}

static struct hint *
hint_add (struct aff *aff, guint64 prefix)
{
  if (g_hash_table_size (aff->hints) >= aff->max)
    forget (aff, aff->by_use.head->data);
  struct hint *hint = g_new0 (struct hint, 1);
  hint->prefix = prefix;
  hint->link.data = hint;
  g_hash_table_insert (aff->hints, &hint->prefix, hint);
  g_queue_push_tail_link (&aff->by_use, &hint->link);
  return hint;
}

/* Notes that SLOT holds PREFIX, which is not 0.  */
void
aff_note (struct aff *aff, guint64 prefix, guint slot, gint64 now)
{
  struct hint *hint = g_hash_table_lookup (aff->hints, &prefix);
  if (!hint)
    hint = hint_add (aff, prefix);
  if (now - hint->noted >= AFF_HOLD_US)
    hint->holders = 0;
  hint->holders |= G_GUINT64_CONSTANT (1) << slot;
  hint->noted = now;
  g_queue_unlink (&aff->by_use, &hint->link);
  g_queue_push_tail_link (&aff->by_use, &hint->link);
}

/* Notes that SLOT does not hold PREFIX.  */
void
aff_drop (struct aff *aff, guint64 prefix, guint slot)
{
  struct hint *hint = g_hash_table_lookup (aff->hints, &prefix);
  if (!hint)
    return;
  hint->holders &= ~(G_GUINT64_CONSTANT (1) << slot);
  if (hint->holders == 0)
    forget (aff, hint);
}

/* Forgets all that SLOT holds; its server is gone or starts anew.  */
void
aff_drop_slot (struct aff *aff, guint slot)
{
  for (GList *l = aff->by_use.head, *next; l; l = next)
    {
      struct hint *hint = l->data;
      next = l->next;
      hint->holders &= ~(G_GUINT64_CONSTANT (1) << slot);
      if (hint->holders == 0)
        forget (aff, hint);
    }
}

/* Returns the bit set of slots that probably hold PREFIX.  */
guint64
aff_holders (const struct aff *aff, guint64 prefix, gint64 now)
{
  const struct hint *hint = g_hash_table_lookup (aff->hints, &prefix);
  return hint && now - hint->noted < AFF_HOLD_US ? hint->holders : 0;
}

/* Returns the number of prefixes in the table.  */
guint
aff_size (const struct aff *aff)
{
  return g_hash_table_size (aff->hints);
}
