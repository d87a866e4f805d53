#include "sched/retry_budget.h"

/* Load pattern answered: a service whose answers get lost or fail in numbers.
   Repeats then multiply the load, so they are bounded by what the requests of
   the same time earn.  */

#define SAFE_SHARE 0.8 /* of the budget; instances see unlike loads */

/* Starts with an empty window.  */
void
retry_budget_init (struct retry_budget *retry_budget,
                   const struct retry_budget_options *options, gint64 now)
{
  *retry_budget
      = (struct retry_budget){ .options = *options, .current_start = now };
}

static void
advance (struct retry_budget *retry_budget, gint64 now)
{
  gint64 length = retry_budget->options.window_us / RETRY_BUDGET_BUCKETS;
  for (guint i = 0;
       i < RETRY_BUDGET_BUCKETS && now - retry_budget->current_start >= length;
       i++)
    {
      retry_budget->current
          = (retry_budget->current + 1) % RETRY_BUDGET_BUCKETS;
      retry_budget->buckets[retry_budget->current]
          = (struct retry_budget_bucket){ 0 };
      retry_budget->current_start += length;
    }
  if (now - retry_budget->current_start >= length)
    retry_budget->current_start = now;
}

/* Counts a caller's request for the service.  */
void
retry_budget_count_request (struct retry_budget *retry_budget, gint64 now)
{
  advance (retry_budget, now);
  retry_budget->buckets[retry_budget->current].requests++;
}

/* Tells whether one of INSTANCES may send an attempt beyond the first.  */
gboolean
retry_budget_allows (struct retry_budget *retry_budget, guint instances,
                     gint64 now)
{
  guint requests = 0;
  guint repeats = 0;
  advance (retry_budget, now);
  for (guint i = 0; i < RETRY_BUDGET_BUCKETS; i++)
    {
      requests += retry_budget->buckets[i].requests;
      repeats += retry_budget->buckets[i].repeats;
    }
  double allowed = retry_budget->options.ratio * requests
                   + (double)retry_budget->options.slack / MAX (instances, 1);
  return repeats + 1 <= SAFE_SHARE * allowed;
}

/* Counts an attempt beyond the first.  */
void
retry_budget_count_retry (struct retry_budget *retry_budget, gint64 now)
{
  advance (retry_budget, now);
  retry_budget->buckets[retry_budget->current].repeats++;
}
