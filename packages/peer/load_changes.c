#include "peer/load_changes.h"

#include <string.h>

/* Time for which it is remembered that a server has no load any more. A peer
   that confirms less than that gets the complete list.  */
#define REMOVAL_KEPT_US (10 * CLK_S)

/* Least change of pending prefill that a list with a tolerance tells, in
 * tokens.
 */
#define PREFILL_CHANGE_MIN 500

/* The load at one server.  */
struct change
{
  struct gossip_message_load load; /* without requests: none any more */
  guint64 number;
  gint64 set_at;   /* clock time */
  gboolean listed; /* since load_changes_begin */
};

struct load_changes
{
  GHashTable *by_key;    /* server key: struct change, owned */
  guint tolerance;       /* 0: exact; otherwise a value that is off by less than
                            one part in so many is not told again */
  guint64 *number;       /* of the last change of all lists; borrowed */
  guint64 latest;        /* change of this list */
  guint64 complete_from; /* who holds less needs the complete list */
};

/* Creates an empty list. NUMBER counts the changes of all lists of an instance;
   it is borrowed for the life of the list. With a TOLERANCE other than 0, loads
   are told again only if a value is off by one part in so many or more.  */
struct load_changes *
load_changes_new (guint64 *number, guint tolerance)
{
  struct load_changes *changes = g_new0 (struct load_changes, 1);
  changes->by_key
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  changes->number = number;
  changes->tolerance = tolerance;
  changes->latest = changes->complete_from = ++*number;
  return changes;
}

void
load_changes_free (struct load_changes *changes)
{
  if (changes == NULL)
    return;
  g_hash_table_unref (changes->by_key);
  g_free (changes);
}

/* Begins a complete list: servers that are not set until load_changes_end have
   no load any more.  */
void
load_changes_begin (struct load_changes *changes)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, changes->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct change *)value)->listed = FALSE;
}

static gboolean
is_off (guint64 told, guint64 now, guint64 min, guint tolerance)
{
  guint64 difference = told > now ? told - now : now - told;
  if (tolerance == 0)
    return difference > 0;
  return difference >= MAX (min, 1) && difference * tolerance >= told;
}

/* Returns whether peers that were told TOLD need to be told NOW.  */
static gboolean
needs_telling (const struct server_load *told, const struct server_load *now,
               guint tolerance)
{
  return (told->requests == 0) != (now->requests == 0)
         || is_off (told->requests, now->requests, 1, tolerance)
         || is_off (told->sensitive, now->sensitive, 1, tolerance)
         || is_off (told->isolated, now->isolated, 1, tolerance)
         || is_off (told->paced, now->paced, 1, tolerance)
         || is_off (told->prefill_tokens, now->prefill_tokens,
                    PREFILL_CHANGE_MIN, tolerance)
         || is_off (told->memory, now->memory, 1, tolerance);
}

/* Sets the load at a server; one without requests removes it.  */
void
load_changes_set (struct load_changes *changes,
                  const struct gossip_message_load *load, gint64 now)
{
  gpointer key = GUINT_TO_POINTER (load->server_key);
  struct change *change = g_hash_table_lookup (changes->by_key, key);
  if (change == NULL)
    {
      if (load->load.requests == 0)
        return;
      change = g_new0 (struct change, 1);
      g_hash_table_insert (changes->by_key, key, change);
    }
  change->listed = TRUE;
  if (change->number > 0
      && !needs_telling (&change->load.load, &load->load, changes->tolerance))
    return;
  change->load = *load;
  change->set_at = now;
  change->number = changes->latest = ++*changes->number;
}

/* Ends a complete list, and forgets removals that all peers have had the time
   to confirm.  */
void
load_changes_end (struct load_changes *changes, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, changes->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct change *change = value;
      if (change->load.load.requests == 0
          && now - change->set_at > REMOVAL_KEPT_US)
        {
          changes->complete_from = MAX (changes->complete_from, change->number);
          g_hash_table_iter_remove (&iter);
        }
      else if (!change->listed && change->load.load.requests > 0)
        {
          memset (&change->load.load, 0, sizeof change->load.load);
          change->set_at = now;
          change->number = changes->latest = ++*changes->number;
        }
    }
}

static gint
compare_numbers (gconstpointer a, gconstpointer b)
{
  guint64 x = (*(struct change *const *)a)->number;
  guint64 y = (*(struct change *const *)b)->number;
  return (x > y) - (x < y);
}

/* Fills LOADS, which holds GOSSIP_MESSAGE_LOADS_MAX, with what has changed for
   a peer that holds the list through change HELD, or with the complete list if
   that does not do. Returns the number of loads and says in RANGE what they
   cover; the oldest changes come first if not all fit.  */
guint
load_changes_since (const struct load_changes *changes, guint64 held,
                    struct gossip_message_load *loads,
                    struct gossip_message_range *range)
{
  GHashTableIter iter;
  gpointer value;
  if (held < changes->complete_from || held > changes->latest)
    held = 0;
  *range = (struct gossip_message_range){ held, changes->latest };
  if (held == changes->latest)
    return 0;
  GPtrArray *found = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, changes->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct change *change = value;
      if (change->number > held && (held > 0 || change->load.load.requests > 0))
        g_ptr_array_add (found, value);
    }
  guint n = found->len;
  if (n > GOSSIP_MESSAGE_LOADS_MAX)
    {
      g_ptr_array_sort (found, compare_numbers);
      n = GOSSIP_MESSAGE_LOADS_MAX;
      range->through = ((struct change *)found->pdata[n - 1])->number;
    }
  for (guint i = 0; i < n; i++)
    loads[i] = ((struct change *)found->pdata[i])->load;
  g_ptr_array_unref (found);
  return n;
}
