/* What instances tell each other of crashes, and what is told of peers.  */
#include "policy/crash_suspects_internal.h"

/* Returns the number of the last change.  */
guint64
suspects_n_changes (const struct suspects *suspects)
{
  return suspects->n_changes;
}

/* Finds the crashes that have changed after the change SINCE, in order, MAX at
   most with about PARTS_MAX parts together; without ALL only those that changed
   here. THROUGH is the last change that they cover.  */
guint
suspects_changes_since (const struct suspects *suspects, guint64 since,
                        gboolean all, const struct suspects_crash **found,
                        guint max, guint parts_max, guint64 *through)
{
  guint n = 0;
  guint n_parts = 0;
  guint64 last = since;
  for (;;)
    {
      const struct suspects_crash *next = NULL;
      for (guint i = 0; i < suspects->n_crashes; i++)
        {
          const struct suspects_crash *crash = &suspects->crashes[i];
          if (crash->changed > last && (all || crash->tell)
              && (next == NULL || crash->changed < next->changed))
            next = crash;
        }
      if (next == NULL)
        break;
      if (n == max || n_parts >= parts_max)
        {
          *through = last;
          return n;
        }
      last = next->changed;
      n_parts += next->parts.n;
      found[n++] = next;
    }
  *through = suspects->n_changes;
  return n;
}

/* Returns the crash with ID, NULL if it is not known. Valid until the next
   change.  */
struct suspects_crash *
suspects_find_crash (struct suspects *suspects, guint64 id)
{
  for (guint i = 0; i < suspects->n_crashes; i++)
    if (suspects->crashes[i].id == id)
      return &suspects->crashes[i];
  return NULL;
}

/* Adds what a peer has told. CRASH is copied; its private members count for
   nothing.  */
void
suspects_merge (struct suspects *suspects, const struct suspects_crash *crash)
{
  struct suspects_crash *known = suspects_find_crash (suspects, crash->id);
  gboolean changed = FALSE;
  gboolean is_new = FALSE;
  if (known == NULL)
    {
      known = suspects_add_crash (suspects);
      *known = *crash;
      known->own = known->tell = known->wanted = FALSE;
      known->saved = 0;
      is_new = TRUE;
      suspects->last_crash_at = MAX (suspects->last_crash_at, crash->at);
      changed = TRUE;
    }
  for (guint i = 0; i < MIN (known->parts.n, crash->parts.n); i++)
    {
      changed |= crash->cleared[i] && !known->cleared[i];
      known->cleared[i] |= crash->cleared[i];
    }
  if (!changed)
    return;
  known->changed = ++suspects->n_changes;
  suspects_note_changed (suspects, FALSE);
  /* What broke off here at the same server broke off under the same crash. */
  if (is_new)
    suspects_server_checked (suspects, crash->server, SUSPECTS_SERVER_ENDED,
                             crash->at);
}
