#include "peer/transfer_budget.h"

#define BYTES_PER_S 1000000.0 /* 8 Mbit/s of a link of 10 to 20 Mbit/s */
#define BURST_BYTES 250000.0

/* Returns whether another transfer may start.  */
gboolean
transfer_budget_allows (struct transfer_budget *budget, gint64 now)
{
  double elapsed_s = (double)(now - budget->updated_at) / (double)CLK_S;
  budget->bytes
      = budget->updated_at == 0
            ? BURST_BYTES
            : MIN (BURST_BYTES, budget->bytes + elapsed_s * BYTES_PER_S);
  budget->updated_at = now;
  return budget->bytes > 0;
}

/* Records a transfer of BYTES.  */
void
transfer_budget_count (struct transfer_budget *budget, gsize bytes)
{
  budget->bytes -= (double)bytes;
}
