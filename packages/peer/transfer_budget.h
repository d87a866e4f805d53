/* Limits what an instance sends to peers that fetch the configuration or the
   server list. When all instances start at once, hundreds fetch from the first
   ones that have them; over links that also carry the clients' traffic, all of
   these transfers would time out together. Peers that are turned away fetch
   from one of those that were served.  */
#ifndef TRANSFER_BUDGET_H
#define TRANSFER_BUDGET_H

#include "base/clock.h"

struct transfer_budget
{
  double bytes;      /* may be sent; negative after a large transfer */
  gint64 updated_at; /* clock time; 0: never used */
};

gboolean transfer_budget_allows (struct transfer_budget *budget, gint64 now);
void transfer_budget_count (struct transfer_budget *budget, gsize bytes);

#endif
