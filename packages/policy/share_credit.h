/* Minimum share of starts: a weighted deficit for each class. While a class
   has waiting work, each start in the cell earns it its share; its own starts
   cost one. A class with a whole start due goes before the tier order.  */
#ifndef SHARE_CREDIT_H
#define SHARE_CREDIT_H

#include <glib.h>

#define SHARE_CREDIT_MAX 4.0       /* starts earned at most */
#define SHARE_CREDIT_OVERDUE 3.0   /* starts due that go anywhere */
#define SHARE_CREDIT_DEBT_MAX 30.0 /* starts ahead of its share that count */

struct share_credit
{
  double share;  /* of starts, 0 to 1 */
  double credit; /* starts due; negative: ahead of its share */
};

void share_credit_earn (struct share_credit *share_credit);
void share_credit_spend (struct share_credit *share_credit);
void share_credit_idle (struct share_credit *share_credit);
gboolean share_credit_due (const struct share_credit *share_credit);
gboolean share_credit_overdue (const struct share_credit *share_credit);

#endif
