/* Decides when to read from the store: which instance reads for its failure
   domain, and how long to wait after a failure. It does no I/O.  */
#ifndef READ_SCHEDULE_H
#define READ_SCHEDULE_H

#include "base/clock.h"

struct read_schedule
{
  gint64 not_before;    /* clock time before which no read starts */
  gint64 started_at;    /* clock time; 0: no read in progress */
  guint failures;       /* consecutive failures */
  gboolean newer_known; /* a peer has newer data, but fetching it failed */
};

gboolean read_schedule_is_due (const struct read_schedule *schedule, gint64 now,
                               gint64 age, guint rank);
void read_schedule_started (struct read_schedule *schedule, gint64 now);
void read_schedule_done (struct read_schedule *schedule, gint64 now,
                         gboolean ok);

#endif
