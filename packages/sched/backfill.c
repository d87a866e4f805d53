#include "sched/backfill.h"

/* Addresses this load pattern: long prompts at the head of the queues of many
   instances, while the engines have gaps that are large enough for short
   prompts only. If all requests behind a long prompt waited for it, the gaps
   would pass unused, and short prompts, among them more urgent ones that arrive
   next, would be rejected for overload. A prompt that is less than half as long
   as all that wait before it may therefore start before them. One of similar
   length may not: it would take the gap that they wait for.  */

#define LENGTH_FACTOR 2

/* Starts with an empty queue.  */
void
backfill_init (struct backfill *backfill)
{
  backfill->shortest = G_MAXUINT;
}

/* Adds a request with a prompt of TOKENS that has to wait; 0: it has none.  */
void
backfill_add_waiting (struct backfill *backfill, guint tokens)
{
  backfill->shortest = MIN (backfill->shortest, tokens);
}

/* Returns whether a request with a prompt of TOKENS may start before those
   added.  */
gboolean
backfill_allows (const struct backfill *backfill, guint tokens)
{
  return backfill->shortest == G_MAXUINT
         || (guint64)tokens * LENGTH_FACTOR < backfill->shortest;
}
