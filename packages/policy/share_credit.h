/* Minimum share of starts: a weighted deficit for each class. While a class
   has waiting work, each start in the cell earns it its share; its own starts
   cost one. A class with a whole start due goes before the tier order.  */
#ifndef SHR_H
#define SHR_H

#include <glib.h>

#define SHR_CREDIT_MAX 4.0 /* starts earned at most */
#define SHR_OVERDUE 3.0    /* starts due that go anywhere */
#define SHR_DEBT_MAX 30.0  /* starts ahead of its share that count */

struct shr
{
  double share;  /* of starts, 0 to 1 */
  double credit; /* starts due; negative: ahead of its share */
};

void shr_earn (struct shr *shr);
void shr_spend (struct shr *shr);
void shr_idle (struct shr *shr);
gboolean shr_due (const struct shr *shr);
gboolean shr_overdue (const struct shr *shr);

#endif
