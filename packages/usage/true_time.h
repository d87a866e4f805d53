/* An estimate of true time: the instance's own clock, which also runs while the
   machine is suspended, plus the median of the offsets that it and its peers
   had to their wall clocks when they started. A wall clock that jumps later has
   no effect; one that was wrong at the start is outvoted. No I/O.  */
#ifndef TRUE_TIME_H
#define TRUE_TIME_H

#include "base/clock.h"

struct true_time;

struct true_time *true_time_new (gint64 wall, gint64 now);
void true_time_free (struct true_time *true_time);
void true_time_heard (struct true_time *true_time, guint32 ip,
                      gboolean is_median, gint64 stated, gint64 now);
gint64 true_time_own (const struct true_time *true_time, gint64 now);
gint64 true_time_at (struct true_time *true_time, gint64 now);
gboolean true_time_is_settled (const struct true_time *true_time, gint64 now);

#endif
