/* Whether an answer of the store shows that a configuration is the newest. The
   store may have come back from an older copy; an instance that has just
   started cannot tell, but its peers may know better.  */
#ifndef START_EVIDENCE_H
#define START_EVIDENCE_H

#include "base/clock.h"

struct start_evidence
{
  gint64 started; /* clock time */
  gboolean heard; /* from a peer that has a fresh confirmation */
  guint64 newest; /* version that a peer has; 0: none heard of */
  gint64 newest_at;
  guint64 pending;   /* version that the store has, which is not proved yet; 0:
                        none */
  gint64 pending_at; /* clock time at which the store was asked */
};

void start_evidence_init (struct start_evidence *evidence, gboolean has_peers,
                          gint64 now);
void start_evidence_of_peer (struct start_evidence *evidence, guint64 version,
                             gint64 age_us, gint64 now);
void start_evidence_of_store (struct start_evidence *evidence, guint64 version,
                              gint64 requested_at);
gboolean start_evidence_take (struct start_evidence *evidence, gint64 now,
                              guint64 *version, gint64 *requested_at);

#endif
