/* Prefix affinity: which servers probably hold a prompt prefix in their
   cache. A bounded table of hints, the least recently used go first.  */
#ifndef PREFIX_AFFINITY_H
#define PREFIX_AFFINITY_H

#include "base/clk.h"

#define PREFIX_AFFINITY_PREFIXES_MAX 8192
#define PREFIX_AFFINITY_MAX_AGE_US                                             \
  (300 * CLK_S) /* age at which a hint is worthless */
#define PREFIX_AFFINITY_SLOTS_MAX                                              \
  64 /* servers are numbered 0 to PREFIX_AFFINITY_SLOTS_MAX - 1 */

struct prefix_affinity;

struct prefix_affinity *prefix_affinity_new (guint max);
void prefix_affinity_free (struct prefix_affinity *prefix_affinity);
void prefix_affinity_add (struct prefix_affinity *prefix_affinity,
                          guint64 prefix, guint slot, gint64 now);
void prefix_affinity_remove (struct prefix_affinity *prefix_affinity,
                             guint64 prefix, guint slot);
void prefix_affinity_remove_slot (struct prefix_affinity *prefix_affinity,
                                  guint slot);
guint64
prefix_affinity_cached_slots (const struct prefix_affinity *prefix_affinity,
                              guint64 prefix, gint64 now);
guint prefix_affinity_size (const struct prefix_affinity *prefix_affinity);

#endif
