#include "fleet/read_schedule.h"

/* Addresses this load pattern: a store with paid and limited calls that many
   instances read. The first instance of a failure domain is the designated
   reader, and its peers get the data from it. Another instance takes over if
   its data has not been confirmed for a while.  */

#define DESIGNATED_READ_US                                                     \
  (900 * CLK_MS) /* the designated reader reads at this age */
#define TAKE_OVER_US (1500 * CLK_MS)     /* age at which others take over */
#define TAKE_OVER_STEP_US (150 * CLK_MS) /* each further rank waits longer */
#define TAKE_OVER_RANK_MAX 6
#define RETRY_US (150 * CLK_MS) /* after a failure, doubling */
#define RETRY_DOUBLINGS 2

/* Returns whether a read is due. AGE is the time since the data was last
   confirmed to be the newest, RANK the number of instances of the domain that
   take precedence.  */
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

/* Records the start of a read.  */
void
read_schedule_started (struct read_schedule *schedule, gint64 now)
{
  schedule->started_at = now;
  schedule->newer_known = FALSE;
}

/* Records the end of the read, OK if it succeeded.  */
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
