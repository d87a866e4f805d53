/* Budget of attempts beyond the first, over a sliding window, for one service
   and shared by all instances: each takes the part that its own requests earn
   and its share of the allowance that all have together.  */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "base/clk.h"

#define RETRY_BUDGET_BUCKETS 10

struct retry_budget_options
{
  double ratio;     /* attempts beyond the first for each request */
  guint slack;      /* further attempts of all instances in a window */
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
