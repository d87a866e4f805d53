#include "policy/server_pace.h"

#include <stdlib.h>

/* Addresses this load pattern: an engine that is 2.5 times slower for some
   600 ms. Streams that start there meanwhile are late, although its average
   over seconds is that of its peers.  */

/* Time for which an event shows the server's pace. */
#define VALID_US (400 * CLK_MS)
/* Weight of a new gap; one late event alone does not make a server slow for
   long. */
#define GAP_WEIGHT 0.5
/* A server is slow above this multiple of the median: less than the 2.5 times
   of a slow moment, so that two events in a row show one. */
#define SLOW_FACTOR 1.8
/* Servers that a median is taken of, at least. */
#define COMPARED_MIN 3

/* Records GAP_US between two events of a stream, at NOW.  */
void
server_pace_add (struct server_pace *pace, gint64 gap_us, gint64 now)
{
  double recent = server_pace_recent (pace, now);
  pace->gap_us = recent > 0 ? recent + GAP_WEIGHT * ((double)gap_us - recent)
                            : (double)gap_us;
  pace->at = now;
}

/* Returns the time between the last events, in microseconds; 0: there were
   none of late.  */
double
server_pace_recent (const struct server_pace *pace, gint64 now)
{
  return pace->at != 0 && now - pace->at <= VALID_US ? pace->gap_us : 0;
}

static int
ascending (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Returns the time between events above which a server is slow against the
   median of the N recent ones GAPS_US, which are sorted; 0: too few.  */
double
server_pace_slow_from (double *gaps_us, guint n)
{
  if (n < COMPARED_MIN)
    return 0;
  qsort (gaps_us, n, sizeof *gaps_us, ascending);
  return SLOW_FACTOR * gaps_us[n / 2];
}
