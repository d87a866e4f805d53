/* Latency histograms of one process. HISTOGRAM_LIST defines the enum, the names
   in /metrics and the help texts.  */
#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>

/* X (NAME, "name", "help") */
#define HISTOGRAM_LIST(X)                                                      \
  X (REQUEST, "request",                                                       \
     "from a complete request head to the end of the response")                \
  X (WAIT, "wait", "from a request head to its first attempt")                 \
  X (FIRST_EVENT, "first_event", "from an attempt to its first event")         \
  X (GAP, "event_gap", "between the arrivals of two events of a stream")       \
  X (ATTEMPT, "attempt",                                                       \
     "of attempts at non-engine servers with a complete response")             \
  X (STORE, "store_read", "of successful reads of the store")

enum histogram_id
{
#define HISTOGRAM_ENUM(id, name, help) HISTOGRAM_##id,
  HISTOGRAM_LIST (HISTOGRAM_ENUM)
#undef HISTOGRAM_ENUM
      HISTOGRAM_N
};

/* The first bucket is up to 1 ms, each further one up to twice as much, and the
   last one has no bound.  */
#define HISTOGRAM_BUCKETS 15

struct histogram
{
  guint64 buckets[HISTOGRAM_BUCKETS]; /* counts, not cumulative */
  guint64 count;
  gint64 sum_us;
};

struct histogram_set
{
  struct histogram items[HISTOGRAM_N];
};

void histogram_add (struct histogram_set *histograms, enum histogram_id id,
                    gint64 us);
void histogram_set_prometheus (const struct histogram_set *histograms,
                               GString *out);

#endif
