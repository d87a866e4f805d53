#include "fleet/read_schedule.h"

/* Load pattern answered: a store whose calls are paid for and limited, read by
   many instances. The first instance of a domain reads regularly and its peers
   hear from it; another steps in when it has heard nothing new for a while.  */

#define DESIGNATED_READ_US                                                     \
  (900 * CLK_MS)                     /* age at which the first reads again */
#define TAKE_OVER_US (1500 * CLK_MS) /* age at which the next one does */
#define TAKE_OVER_STEP_US                                                      \
  (150 * CLK_MS) /* and so much later each further one */
#define TAKE_OVER_RANK_MAX 6
#define RETRY_US (150 * CLK_MS) /* after a failure, doubling */
#define RETRY_DOUBLINGS 2

/* Tells whether to read now. KNOWN_AGE is the time since what is known was
   last found to be the newest, RANK the number of instances of the domain that
   go first.  */
gboolean
read_schedule_is_due (const struct read_schedule *schedule, gint64 now,
                      gint64 age, guint rank)
{
  if (schedule->started_at != 0 || now < schedule->not_before)
    return FALSE;
  if (schedule->newer_known)
    return TRUE;
  gint64 limit
      = rank == 0
            ? DESIGNATED_READ_US
            : TAKE_OVER_US + TAKE_OVER_STEP_US * MIN (rank, TAKE_OVER_RANK_MAX);
  return age >= limit;
}

void
read_schedule_started (struct read_schedule *schedule, gint64 now)
{
  schedule->started_at = now;
  schedule->newer_known = FALSE;
}

/* The read has ended.  */
void
read_schedule_done (struct read_schedule *schedule, gint64 now, gboolean ok)
{
  schedule->started_at = 0;
  schedule->failures = ok ? 0 : schedule->failures + 1;
  schedule->not_before = now;
  if (!ok)
    schedule->not_before += RETRY_US
                            << MIN (schedule->failures - 1, RETRY_DOUBLINGS);
}
