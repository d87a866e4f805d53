#include "policy/share_credit.h"

#define SHARE_CREDIT_ROUNDING 1e-9 /* of sums of shares */

/* Notes a start in the cell while this class had waiting work.  */
void
share_credit_earn (struct share_credit *share_credit)
{
  share_credit->credit
      = MIN (share_credit->credit + share_credit->share, SHARE_CREDIT_MAX);
}

/* Notes a start of this class itself, after share_credit_earn.  */
void
share_credit_spend (struct share_credit *share_credit)
{
  share_credit->credit = MAX (share_credit->credit - 1, -SHARE_CREDIT_DEBT_MAX);
}

/* Notes that the class has no waiting work: nothing is due to it.  */
void
share_credit_idle (struct share_credit *share_credit)
{
  share_credit->credit = MIN (share_credit->credit, 0);
}

/* Tells whether a start is due.  */
gboolean
share_credit_due (const struct share_credit *share_credit)
{
  return share_credit->credit >= 1 - SHARE_CREDIT_ROUNDING;
}

/* Tells whether several starts are due, so that they must not wait for the
   best place.  */
gboolean
share_credit_overdue (const struct share_credit *share_credit)
{
  return share_credit->credit >= SHARE_CREDIT_OVERDUE - SHARE_CREDIT_ROUNDING;
}
