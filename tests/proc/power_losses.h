/* All instances of a fleet lose power at once, several times, and are back a
   moment later; the store may be away until shortly before each loss.  */
#ifndef POWER_LOSSES_H
#define POWER_LOSSES_H

#include "harness/proxy_fleet.h"

#define POWER_OFF_MS 800
#define POWER_STORE_BACK_MS 200 /* from the store's return to the loss */
#define POWER_RECOVERY_MS 2000  /* from the start of the instances */
#define POWER_LOSSES_MAX 8

/* When it happens, in milliseconds from the begin of the traffic.  */
struct power_plan
{
  guint at_ms[POWER_LOSSES_MAX]; /* ascending; 0: no further one */
  guint store_away_ms;           /* before each; 0: the store stays */
};

enum power_step
{
  POWER_STORE_LEAVES,
  POWER_STORE_RETURNS,
  POWER_FAILS,
  POWER_RETURNS,
  POWER_STEPS
};

struct power_losses
{
  const struct power_plan *plan;
  gint64 start; /* monotonic time */
  guint n;      /* losses that are over */
  enum power_step step;
};

static inline gint64
power_step_ms (const struct power_losses *losses, enum power_step step)
{
  gint64 at = losses->plan->at_ms[losses->n];
  switch (step)
    {
    case POWER_STORE_LEAVES:
      return at - losses->plan->store_away_ms - POWER_STORE_BACK_MS;
    case POWER_STORE_RETURNS:
      return at - POWER_STORE_BACK_MS;
    case POWER_FAILS:
      return at;
    default:
      return at + POWER_OFF_MS;
    }
}

/* Does what is due. Called all the time.  */
static inline void
power_losses_run (struct power_losses *losses, struct proxy_fleet *fleet)
{
  const struct power_plan *plan = losses->plan;
  gint64 ms = (g_get_monotonic_time () - losses->start) / 1000;
  if (losses->n == POWER_LOSSES_MAX || plan->at_ms[losses->n] == 0
      || ms < power_step_ms (losses, losses->step))
    return;
  switch (losses->step)
    {
    case POWER_STORE_LEAVES:
      if (plan->store_away_ms > 0)
        proxy_fleet_set_store_down (fleet, TRUE);
      break;
    case POWER_STORE_RETURNS:
      if (plan->store_away_ms > 0)
        proxy_fleet_set_store_down (fleet, FALSE);
      break;
    case POWER_FAILS:
      proxy_fleet_end_all (fleet);
      break;
    default:
      proxy_fleet_start_all (fleet);
      break;
    }
  if (++losses->step < POWER_STEPS)
    return;
  losses->step = POWER_STORE_LEAVES;
  losses->n++;
}

/* Returns whether a request sent at the monotonic time AT may have failed for a
   loss or the store.  */
static inline gboolean
power_losses_excuse (const struct power_losses *losses, gint64 at)
{
  gint64 ms = (at - losses->start) / 1000;
  struct power_losses each = *losses;
  for (each.n = 0; losses->start > 0 && each.n < losses->n; each.n++)
    if (ms >= power_step_ms (&each, POWER_STORE_LEAVES)
        && ms < power_step_ms (&each, POWER_RETURNS) + POWER_RECOVERY_MS)
      return TRUE;
  return FALSE;
}

#endif
