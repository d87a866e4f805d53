#include "policy/rate_window.h"

/* Backlogged time in the window below which there is no drain rate.  */
#define RATE_WINDOW_BACKLOGGED_MIN_US (2 * CLK_S)

void
rate_window_init (struct rate_window *rate_window, gint64 now)
{
  *rate_window = (struct rate_window){ .current_start = now, .updated = now };
}

/* Begins a new bucket in place of the oldest one.  */
static void
rotate (struct rate_window *rate_window)
{
  rate_window->current = (rate_window->current + 1) % RATE_WINDOW_BUCKETS;
  rate_window->current_start += RATE_WINDOW_BUCKET_US;
  rate_window->buckets[rate_window->current] = (struct rate_window_bucket){ 0 };
}

/* Accounts the time up to UNTIL to the current bucket.  */
static void
account_time (struct rate_window *rate_window, gint64 until)
{
  if (rate_window->backlogged)
    rate_window->buckets[rate_window->current].backlogged_us
        += until - rate_window->updated;
  rate_window->updated = until;
}

/* Accounts the time up to NOW, and sets whether requests wait for a free slot
   from now on.  */
void
rate_window_update (struct rate_window *rate_window, gint64 now,
                    gboolean backlogged)
{
  if (now - rate_window->updated > RATE_WINDOW_BUCKETS * RATE_WINDOW_BUCKET_US)
    rate_window_init (rate_window, now);
  while (now >= rate_window->current_start + RATE_WINDOW_BUCKET_US)
    {
      account_time (rate_window,
                    rate_window->current_start + RATE_WINDOW_BUCKET_US);
      rotate (rate_window);
    }
  account_time (rate_window, now);
  rate_window->backlogged = backlogged;
}

/* Counts a start. Call rate_window_update first.  */
void
rate_window_add_start (struct rate_window *rate_window)
{
  rate_window->buckets[rate_window->current].starts++;
  rate_window->buckets[rate_window->current].drained += rate_window->backlogged;
}

double
rate_window_starts_per_s (const struct rate_window *rate_window)
{
  guint starts = 0;
  for (guint i = 0; i < RATE_WINDOW_BUCKETS; i++)
    starts += rate_window->buckets[i].starts;
  return (double)starts * CLK_S / (RATE_WINDOW_BUCKETS * RATE_WINDOW_BUCKET_US);
}

/* Returns the starts per second of backlogged time, or 0 if there was less than
   RATE_WINDOW_BACKLOGGED_MIN_US of it.  */
double
rate_window_drain_per_s (const struct rate_window *rate_window)
{
  guint drained = 0;
  gint64 backlogged = 0;
  for (guint i = 0; i < RATE_WINDOW_BUCKETS; i++)
    {
      drained += rate_window->buckets[i].drained;
      backlogged += rate_window->buckets[i].backlogged_us;
    }
  if (backlogged < RATE_WINDOW_BACKLOGGED_MIN_US)
    return 0;
  return (double)drained * CLK_S / (double)backlogged;
}
