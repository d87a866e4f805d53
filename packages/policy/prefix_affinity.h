/* Prefix affinity: a bounded table of hints about which servers probably have a
   prompt prefix in their cache. The least recently updated prefix is evicted
   first.  */
#ifndef PREFIX_AFFINITY_H
#define PREFIX_AFFINITY_H

#include "base/clock.h"

#define AFFINITY_PREFIXES_MAX 8192

/* A hint that was not updated for this time is ignored.  */
#define AFFINITY_MAX_AGE_US (300 * CLK_S)

/* Each server has a slot from 0 to AFFINITY_SLOTS_MAX - 1, so that a set
   of servers fits into 64 bits.  */
#define AFFINITY_SLOTS_MAX 64

struct prefix_affinity;

struct prefix_affinity *affinity_new (guint max);
void affinity_free (struct prefix_affinity *prefix_affinity);
void affinity_add (struct prefix_affinity *prefix_affinity, guint64 prefix,
                   guint slot, gint64 now);
void affinity_remove (struct prefix_affinity *prefix_affinity, guint64 prefix,
                      guint slot);
void affinity_remove_slot (struct prefix_affinity *prefix_affinity, guint slot);
guint64 affinity_cached_slots (const struct prefix_affinity *prefix_affinity,
                               guint64 prefix, gint64 now);
guint affinity_size (const struct prefix_affinity *prefix_affinity);

#endif
