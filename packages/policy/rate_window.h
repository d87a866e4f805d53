/* Rates over a sliding window: starts a second, and the drain rate, which
   counts only the time in which work waited for a slot.  */
#ifndef RATE_WINDOW_H
#define RATE_WINDOW_H

#include "base/clk.h"

#define RATE_WINDOW_BUCKETS 10
#define RATE_WINDOW_BUCKET_US CLK_S

struct rate_window_bucket
{
  guint starts;         /* all */
  guint drained;        /* those while work waited */
  gint64 backlogged_us; /* microseconds in which work waited */
};

struct rate_window
{
  struct rate_window_bucket buckets[RATE_WINDOW_BUCKETS];
  guint current;
  gint64 current_start; /* clock time */
  gint64 updated;       /* clock time */
  gboolean backlogged;  /* work waits for a slot */
};

void rate_window_init (struct rate_window *rate_window, gint64 now);
void rate_window_update (struct rate_window *rate_window, gint64 now,
                         gboolean backlogged);
void rate_window_add_start (struct rate_window *rate_window);
double rate_window_starts_per_s (const struct rate_window *rate_window);
double rate_window_drain_per_s (const struct rate_window *rate_window);

#endif
