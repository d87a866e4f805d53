/* Rates of request starts over a sliding window: the starts per second, and the
   drain rate, which counts only the time during which requests waited for a
   free slot.  */
#ifndef RATE_WINDOW_H
#define RATE_WINDOW_H

#include "base/clock.h"

#define RATE_WINDOW_BUCKETS 10
#define RATE_WINDOW_BUCKET_US CLK_S

struct rate_window_bucket
{
  guint starts;         /* all starts */
  guint drained;        /* starts while requests waited */
  gint64 backlogged_us; /* time during which requests waited */
};

struct rate_window
{
  struct rate_window_bucket buckets[RATE_WINDOW_BUCKETS];
  guint current;        /* index of the bucket in use */
  gint64 current_start; /* clock time */
  gint64 updated;       /* clock time */
  gboolean backlogged;  /* requests wait for a free slot */
};

void rate_window_init (struct rate_window *rate_window, gint64 now);
void rate_window_update (struct rate_window *rate_window, gint64 now,
                         gboolean backlogged);
void rate_window_add_start (struct rate_window *rate_window);
double rate_window_starts_per_s (const struct rate_window *rate_window);
double rate_window_drain_per_s (const struct rate_window *rate_window);

#endif
