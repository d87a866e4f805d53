#include "fleet/start_evidence.h"

#include "fleet/read_schedule.h"

/* Addresses this order of events: a version takes a key away, the store comes
   back from a copy of before, and an instance starts, reads it and takes it for
   the newest, although others know better.  */

/* From the start until the store alone is evidence: peers that run have been
   heard by then, if there are any, also those of other regions. When all start
   at once, requests wait so long. */
#define ALONE_US (300 * CLK_MS)
/* A peer's word of a newer version, which may be damaged, counts so long. */
#define NEWER_KEPT_US (3 * CLK_S)

/* HAS_PEERS: there may be other instances, which are not waited for
   otherwise.  */
void
start_evidence_init (struct start_evidence *evidence, gboolean has_peers,
                     gint64 now)
{
  *evidence = (struct start_evidence){ .started = now, .heard = !has_peers };
}

/* A peer has VERSION (0: none), which was confirmed AGE_US ago as the newest;
   < 0: it was not.  */
void
start_evidence_of_peer (struct start_evidence *evidence, guint64 version,
                        gint64 age_us, gint64 now)
{
  evidence->heard
      |= version > 0 && age_us >= 0 && age_us <= READ_SCHEDULE_FRESH_US;
  if (version < evidence->newest && now - evidence->newest_at < NEWER_KEPT_US)
    return;
  evidence->newest = version;
  evidence->newest_at = now;
}

/* The store has VERSION, as of REQUESTED_AT or later.  */
void
start_evidence_of_store (struct start_evidence *evidence, guint64 version,
                         gint64 requested_at)
{
  evidence->pending = version;
  evidence->pending_at = requested_at;
}

/* Returns whether what the store has said counts as a confirmation of VERSION,
   as of REQUESTED_AT, at NOW. It counts once.  */
gboolean
start_evidence_take (struct start_evidence *evidence, gint64 now,
                     guint64 *version, gint64 *requested_at)
{
  gboolean is_outdated = evidence->newest > evidence->pending
                         && now - evidence->newest_at < NEWER_KEPT_US;
  if (evidence->pending == 0 || is_outdated
      || (!evidence->heard && now - evidence->started < ALONE_US))
    return FALSE;
  *version = evidence->pending;
  *requested_at = evidence->pending_at;
  evidence->pending = 0;
  return TRUE;
}
