#include "fleet/read_schedule.h"

/* Load pattern answered: a store whose calls are paid for and limited, read by
   many instances. The first instance of a domain reads regularly and its peers
   hear from it; another steps in when it has heard nothing new for a while.  */

#define READ_US (900 * CLK_MS)      /* age at which the first reads again */
#define STAND_IN_US (1500 * CLK_MS) /* age at which the next one does */
#define RANK_US (150 * CLK_MS)      /* and so much later each further one */
#define RANK_MAX 6
#define RETRY_US (150 * CLK_MS) /* after a failure, doubling */
#define RETRY_DOUBLINGS 2

/* Tells whether to read now. KNOWN_AGE is the time since what is known was
   last found to be the newest, RANK the number of instances of the domain that
   go first.  */
gboolean
read_schedule_is_due (const struct read_schedule *read_schedule, gint64 now,
                      gint64 known_age, guint rank)
{
  if (read_schedule->started != 0 || now < read_schedule->next)
    return FALSE;
  if (read_schedule->wanted)
    return TRUE;
  gint64 limit
      = rank == 0 ? READ_US : STAND_IN_US + RANK_US * MIN (rank, RANK_MAX);
  return known_age >= limit;
}

void
read_schedule_started (struct read_schedule *read_schedule, gint64 now)
{
  read_schedule->started = now;
  read_schedule->wanted = FALSE;
}

/* The read has ended.  */
void
read_schedule_done (struct read_schedule *read_schedule, gint64 now,
                    gboolean ok)
{
  read_schedule->started = 0;
  read_schedule->failures = ok ? 0 : read_schedule->failures + 1;
  read_schedule->next = now;
  if (!ok)
    read_schedule->next
        += RETRY_US << MIN (read_schedule->failures - 1, RETRY_DOUBLINGS);
}
