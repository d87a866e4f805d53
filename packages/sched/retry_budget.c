#include "sched/retry_budget.h"

/* Addresses this load pattern: a service whose responses are lost or fail in
   large numbers. Retries then multiply the load, so they are limited in
   proportion to the requests of the same time.  */

/* Share of the budget that is used: the load differs between instances, and
   together they must stay within the budget. */
#define USABLE_SHARE 0.8

/* Starts with an empty window.  */
void
retry_budget_init (struct retry_budget *budget,
                   const struct retry_budget_options *options, gint64 now)
{
  *budget = (struct retry_budget){ .options = *options, .current_start = now };
}

/* Moves the window to NOW and clears the buckets that have expired.  */
static void
advance (struct retry_budget *budget, gint64 now)
{
  gint64 length = budget->options.window_us / RETRY_BUDGET_BUCKETS;
  for (guint i = 0;
       i < RETRY_BUDGET_BUCKETS && now - budget->current_start >= length; i++)
    {
      budget->current = (budget->current + 1) % RETRY_BUDGET_BUCKETS;
      budget->buckets[budget->current] = (struct retry_budget_bucket){ 0 };
      budget->current_start += length;
    }
  if (now - budget->current_start >= length)
    budget->current_start = now;
}

/* Counts a client's request for the service.  */
void
retry_budget_count_request (struct retry_budget *budget, gint64 now)
{
  advance (budget, now);
  budget->buckets[budget->current].requests++;
}

/* Returns whether one of INSTANCES instances may send a retry.  */
gboolean
retry_budget_allows (struct retry_budget *budget, guint instances, gint64 now)
{
  guint requests = 0;
  guint retries = 0;
  advance (budget, now);
  for (guint i = 0; i < RETRY_BUDGET_BUCKETS; i++)
    {
      requests += budget->buckets[i].requests;
      retries += budget->buckets[i].retries;
    }
  double allowed = budget->options.ratio * requests
                   + budget->options.slack / MAX (instances, 1);
  return retries + 1 <= USABLE_SHARE * allowed;
}

/* Counts a retry, that is, an attempt beyond the first.  */
void
retry_budget_count_retry (struct retry_budget *budget, gint64 now)
{
  advance (budget, now);
  budget->buckets[budget->current].retries++;
}
