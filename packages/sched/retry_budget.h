/* Budget for the retries of one service over a sliding window, shared by all
   instances. Each instance may use what its own requests earn and its share of
   the common allowance. A retry is an attempt beyond the first.  */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "base/clock.h"

#define RETRY_BUDGET_BUCKETS 10

struct retry_budget_options
{
  double ratio;     /* retries allowed for each request */
  double slack;     /* further retries of all instances together in a window */
  gint64 window_us; /* length of the window */
};

struct retry_budget_bucket
{
  guint requests;
  guint retries;
};

struct retry_budget
{
  struct retry_budget_options options;
  struct retry_budget_bucket buckets[RETRY_BUDGET_BUCKETS];
  guint current;
  gint64 current_start; /* clock time */
};

void retry_budget_init (struct retry_budget *budget,
                        const struct retry_budget_options *options, gint64 now);
void retry_budget_count_request (struct retry_budget *budget, gint64 now);
gboolean retry_budget_allows (struct retry_budget *budget, guint instances,
                              gint64 now);
void retry_budget_count_retry (struct retry_budget *budget, gint64 now);

#endif
