/* Latency histograms of one process. The list is the one source of the enum,
   the names in /metrics and the help texts.  */
#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>

/* X (NAME, "name", "help") */
#define HISTOGRAM_LIST(X)                                                      \
  X (REQUEST, "request",                                                       \
     "from the whole head of a request to its last answer")                    \
  X (WAIT, "wait", "from a request's head to its first attempt")               \
  X (FIRST_EVENT, "first_event", "from an attempt to its first event")         \
  X (GAP, "event_gap", "between two events of a stream, as they come")         \
  X (ATTEMPT, "attempt", "of attempts at plain servers, answered in full")     \
  X (STORE, "store_read", "of reads of the store that were answered")

enum histogram_id
{
#define HISTOGRAM_ENUM(id, name, help) HISTOGRAM_##id,
  HISTOGRAM_LIST (HISTOGRAM_ENUM)
#undef HISTOGRAM_ENUM
      HISTOGRAM_N
};

#define HISTOGRAM_BUCKETS                                                      \
  15 /* upper bounds from 1 ms, doubling, and the rest */

struct histogram
{
  guint64 buckets[HISTOGRAM_BUCKETS]; /* counts, not cumulative */
  guint64 n;
  gint64 sum_us;
};

struct histogram_set
{
  struct histogram one[HISTOGRAM_N];
};

void histogram_add (struct histogram_set *histogram_set, enum histogram_id id,
                    gint64 us);
void histogram_set_prometheus (const struct histogram_set *histogram_set,
                               GString *out);

#endif
