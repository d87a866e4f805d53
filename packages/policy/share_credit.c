#include "policy/share_credit.h"

/* Allowance for rounding errors in sums of shares.  */
#define SHARE_CREDIT_ROUNDING 1e-9

/* Called for each start in the shard while this class has waiting requests.  */
void
share_credit_earn (struct share_credit *share_credit)
{
  share_credit->credit
      = MIN (share_credit->credit + share_credit->share, SHARE_CREDIT_MAX);
}

/* Called for each start of this class, after share_credit_earn.  */
void
share_credit_spend (struct share_credit *share_credit)
{
  share_credit->credit = MAX (share_credit->credit - 1, -SHARE_CREDIT_DEBT_MAX);
}

/* Drops the credit, but no debt, when the class has no waiting requests.  */
void
share_credit_idle (struct share_credit *share_credit)
{
  share_credit->credit = MIN (share_credit->credit, 0);
}

gboolean
share_credit_due (const struct share_credit *share_credit)
{
  return share_credit->credit >= 1 - SHARE_CREDIT_ROUNDING;
}

/* Returns whether so many starts are due that the next one must not wait for
   the best server.  */
gboolean
share_credit_overdue (const struct share_credit *share_credit)
{
  return share_credit->credit >= SHARE_CREDIT_OVERDUE - SHARE_CREDIT_ROUNDING;
}
