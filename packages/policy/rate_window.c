#include "policy/rate_window.h"

#define RTE_BUSY_MIN_US (2 * CLK_S) /* that make the drain rate count */

void
rte_init (struct rte *rte, gint64 now)
{
  *rte = (struct rte){ .current_start = now, .updated = now };
}

static void
rotate (struct rte *rte)
{
  rte->current = (rte->current + 1) % RTE_BUCKETS;
  rte->current_start += RTE_BUCKET_US;
  rte->buckets[rte->current] = (struct rte_bucket){ 0 };
}

static void
pass_time (struct rte *rte, gint64 until)
{
  if (rte->busy)
    rte->buckets[rte->current].busy += until - rte->updated;
  rte->updated = until;
}

/* Accounts the time up to NOW; from now on work waits for a slot if BUSY.  */
void
rte_update (struct rte *rte, gint64 now, gboolean busy)
{
  if (now - rte->updated > RTE_BUCKETS * RTE_BUCKET_US)
    rte_init (rte, now);
  while (now >= rte->current_start + RTE_BUCKET_US)
    {
      pass_time (rte, rte->current_start + RTE_BUCKET_US);
      rotate (rte);
    }
  pass_time (rte, now);
  rte->busy = busy;
}

/* Counts a start; rte_update comes before it.  */
void
rte_start (struct rte *rte)
{
  rte->buckets[rte->current].starts++;
  rte->buckets[rte->current].drained += rte->busy;
}

/* Returns all starts a second over the window.  */
double
rte_starts_per_s (const struct rte *rte)
{
  guint starts = 0;
  for (guint i = 0; i < RTE_BUCKETS; i++)
    starts += rte->buckets[i].starts;
  return (double)starts * CLK_S / (RTE_BUCKETS * RTE_BUCKET_US);
}

/* Returns the starts a second while work waited; 0 if it waited too little
   to tell.  */
double
rte_drain_per_s (const struct rte *rte)
{
  guint drained = 0;
  gint64 busy = 0;
  for (guint i = 0; i < RTE_BUCKETS; i++)
    {
      drained += rte->buckets[i].drained;
      busy += rte->buckets[i].busy;
    }
  if (busy < RTE_BUSY_MIN_US)
    return 0;
  return (double)drained * CLK_S / (double)busy;
}
