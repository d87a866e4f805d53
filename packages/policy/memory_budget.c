#include "policy/memory_budget.h"

/* Addresses these load patterns: servers that send bodies without end, under
   many requests at once; clients that send long bodies and stop before the end;
   many clients that take their responses slowly. Each alone is within its
   limits, all together are not.  */

/* From here on less is taken; the rest is for what arrives meanwhile. */
#define TIGHT_SHARE 0.75
/* A holder with so much of what the largest one has may give up for it, if its
   request is less urgent. */
#define COMPARABLE_SHARE 0.5

void
memory_budget_init (struct memory_budget *budget, gsize limit)
{
  *budget = (struct memory_budget){ .limit = limit };
  g_queue_init (&budget->holders);
}

static gsize
outstanding (const struct memory_holder *holder)
{
  return holder->promised > holder->kept ? holder->promised - holder->kept : 0;
}

/* Adds HOLDER, which keeps nothing yet. It is borrowed until it is removed.  */
void
memory_budget_add (struct memory_budget *budget, struct memory_holder *holder)
{
  holder->kept = holder->promised = 0;
  holder->link = (GList){ .data = holder };
  g_queue_push_tail_link (&budget->holders, &holder->link);
}

/* Removes HOLDER with what it keeps, if it is there.  */
void
memory_budget_remove (struct memory_budget *budget,
                      struct memory_holder *holder)
{
  if (holder->link.data == NULL)
    return;
  memory_budget_end_promise (budget, holder);
  memory_budget_set (budget, holder, 0);
  g_queue_unlink (&budget->holders, &holder->link);
  holder->link.data = NULL;
}

/* HOLDER keeps KEPT bytes now.  */
void
memory_budget_set (struct memory_budget *budget, struct memory_holder *holder,
                   gsize kept)
{
  if (holder->link.data == NULL)
    return;
  budget->promised -= outstanding (holder);
  budget->kept += kept - holder->kept;
  holder->kept = kept;
  budget->promised += outstanding (holder);
}

/* Promises HOLDER that it may come to keep BYTES. Returns FALSE if there is no
   room for that; then it should wait. What is promised is taken into account
   from then on, so that of several that grow at once some come to their end.
 */
gboolean
memory_budget_promise (struct memory_budget *budget,
                       struct memory_holder *holder, gsize bytes)
{
  gsize more = bytes > holder->kept ? bytes - holder->kept : 0;
  if (holder->promised >= bytes)
    return TRUE;
  if (budget->limit > 0
      && (double)(budget->kept + budget->promised - outstanding (holder) + more)
             > TIGHT_SHARE * (double)budget->limit)
    return FALSE;
  budget->promised -= outstanding (holder);
  holder->promised = bytes;
  budget->promised += outstanding (holder);
  return TRUE;
}

/* HOLDER will not grow any further for what it was promised.  */
void
memory_budget_end_promise (struct memory_budget *budget,
                           struct memory_holder *holder)
{
  budget->promised -= outstanding (holder);
  holder->promised = 0;
}

/* Returns whether no more should be taken than needed.  */
gboolean
memory_budget_is_tight (const struct memory_budget *budget)
{
  return budget->limit > 0
         && (double)budget->kept > TIGHT_SHARE * (double)budget->limit;
}

/* Returns whether more is kept than may be.  */
gboolean
memory_budget_is_over (const struct memory_budget *budget)
{
  return budget->limit > 0 && budget->kept > budget->limit;
}

gsize
memory_holder_kept (const struct memory_holder *holder)
{
  return holder->kept;
}

/* Returns the holder that is to give up what it keeps: of the largest ones the
   one with the least urgent request; NULL if none keeps anything.  */
struct memory_holder *
memory_budget_victim (const struct memory_budget *budget)
{
  struct memory_holder *victim = NULL;
  gsize most = 0;
  for (const GList *l = budget->holders.head; l != NULL; l = l->next)
    most = MAX (most, ((const struct memory_holder *)l->data)->kept);
  for (const GList *l = budget->holders.head; l != NULL; l = l->next)
    {
      struct memory_holder *holder = l->data;
      if (holder->kept == 0
          || (double)holder->kept < COMPARABLE_SHARE * (double)most)
        continue;
      if (victim == NULL || holder->tier > victim->tier
          || (holder->tier == victim->tier && holder->kept > victim->kept))
        victim = holder;
    }
  return victim;
}
