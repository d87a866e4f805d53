/* Prefix affinity: which servers probably hold a prompt prefix in their
   cache. A bounded table of hints, the least recently used go first.  */
#ifndef AFF_H
#define AFF_H

#include "base/clock.h"

#define AFF_PREFIXES_MAX 8192
#define AFF_HOLD_US (300 * CLK_S) /* age at which a hint is worthless */
#define AFF_SLOTS 64              /* servers are numbered 0 to AFF_SLOTS - 1 */

struct aff;

struct aff *aff_new (guint max);
void aff_free (struct aff *aff);
void aff_note (struct aff *aff, guint64 prefix, guint slot, gint64 now);
void aff_drop (struct aff *aff, guint64 prefix, guint slot);
void aff_drop_slot (struct aff *aff, guint slot);
guint64 aff_holders (const struct aff *aff, guint64 prefix, gint64 now);
guint aff_size (const struct aff *aff);

#endif
