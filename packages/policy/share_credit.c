#include "policy/share_credit.h"

#define SHR_ROUNDING 1e-9 /* of sums of shares */

/* Notes a start in the cell while this class had waiting work.  */
void
shr_earn (struct shr *shr)
{
  shr->credit = MIN (shr->credit + shr->share, SHR_CREDIT_MAX);
}

/* Notes a start of this class itself, after shr_earn.  */
void
shr_spend (struct shr *shr)
{
  shr->credit = MAX (shr->credit - 1, -SHR_DEBT_MAX);
}

/* Notes that the class has no waiting work: nothing is due to it.  */
void
shr_idle (struct shr *shr)
{
  shr->credit = MIN (shr->credit, 0);
}

/* Tells whether a start is due.  */
gboolean
shr_due (const struct shr *shr)
{
  return shr->credit >= 1 - SHR_ROUNDING;
}

/* Tells whether several starts are due, so that they must not wait for the
   best place.  */
gboolean
shr_overdue (const struct shr *shr)
{
  return shr->credit >= SHR_OVERDUE - SHR_ROUNDING;
}
