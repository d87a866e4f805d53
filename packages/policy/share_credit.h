/* Minimum share of request starts for a class, as a deficit counter. While the
   class has waiting requests, each start in the shard adds its share to its
   credit, and each start of its own takes one. A class with a credit of one or
   more is served before the order of tiers applies.  */
#ifndef SHARE_CREDIT_H
#define SHARE_CREDIT_H

#include <glib.h>

/* Upper bound of the credit, in starts.  */
#define SHARE_CREDIT_MAX 4.0

/* Credit from which a start takes any free server and does not wait for the
   best one.  */
#define SHARE_CREDIT_OVERDUE 3.0

/* Starts beyond the share that are counted: the lower bound of the credit is
   the negative of it.  */
#define SHARE_CREDIT_DEBT_MAX 30.0

struct share_credit
{
  double share;  /* of all starts, 0 to 1 */
  double credit; /* starts due; negative: starts beyond its share */
};

void share_credit_earn (struct share_credit *share_credit);
void share_credit_spend (struct share_credit *share_credit);
void share_credit_idle (struct share_credit *share_credit);
gboolean share_credit_due (const struct share_credit *share_credit);
gboolean share_credit_overdue (const struct share_credit *share_credit);

#endif
