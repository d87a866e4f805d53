/* Rates over a sliding window: starts a second, and the drain rate, which
   counts only the time in which work waited for a slot.  */
#ifndef RTE_H
#define RTE_H

#include "base/clock.h"

#define RTE_BUCKETS 10
#define RTE_BUCKET_US CLK_S

struct rte_bucket
{
  guint starts;  /* all */
  guint drained; /* those while work waited */
  gint64 busy;   /* microseconds in which work waited */
};

struct rte
{
  struct rte_bucket buckets[RTE_BUCKETS];
  guint current;
  gint64 current_start; /* clock time */
  gint64 updated;       /* clock time */
  gboolean busy;        /* work waits for a slot */
};

void rte_init (struct rte *rte, gint64 now);
void rte_update (struct rte *rte, gint64 now, gboolean busy);
void rte_start (struct rte *rte);
double rte_starts_per_s (const struct rte *rte);
double rte_drain_per_s (const struct rte *rte);

#endif
