/* When to read from the store: who reads for the others of its failure domain,
   and how long to wait after a failure. Without I/O.  */
#ifndef READ_SCHEDULE_H
#define READ_SCHEDULE_H

#include "base/clk.h"

struct read_schedule
{
  gint64 next;     /* clock time before which no read starts */
  gint64 started;  /* clock time of the read under way; 0: none */
  guint failures;  /* in a row */
  gboolean wanted; /* a peer knows something newer */
};

gboolean read_schedule_is_due (const struct read_schedule *read_schedule,
                               gint64 now, gint64 known_age, guint rank);
void read_schedule_started (struct read_schedule *read_schedule, gint64 now);
void read_schedule_done (struct read_schedule *read_schedule, gint64 now,
                         gboolean ok);

#endif
