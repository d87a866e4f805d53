#include "policy/brittle_share.h"

/* Addresses this load pattern: servers in need let fewer requests wait, without
   saying how few, and fall over if many instances find that out by being turned
   away. The room of a server is divided into places; each belongs to one
   instance, which all find by rendezvous hashing, without a message, so that
   the sum stays within the room whichever instances are killed or resume. The
   room grows in small steps, and only while it is used. When a server turns a
   request away, all instances take less room; unless that was to be expected,
   they leave the server alone for a second, and its places open one after the
   other then, so that an excess shows by one rejection instead of many.  */

#define PLACES_MAX 64 /* of a server; with more slots a place has several */
/* One part in so many of a server's slots is its room at first, before it is
   known how many requests it still takes. */
#define FIRST_SHARE 2
/* From the first word on until the room grows: it may shrink some seconds
   after.  */
#define FIRST_HOLD_US (6 * CLK_S)
#define RAISE_INTERVAL_US (400 * CLK_MS)
/* One part in so many of a server's slots is a step of growth, but no more than
   the rejections that it bears.  */
#define RAISE_SHARE 16
#define HOLD_US                                                                \
  (4 * CLK_S) /* after a rejection; longer after each further one */
#define HOLD_MAX_US (32 * CLK_S)
#define PAUSE_US CLK_S /* after a rejection */
/* After one that followed on growth: the room before is known to be there.  */
#define SHORT_PAUSE_US (200 * CLK_MS)
#define REOPEN_INTERVAL_US (50 * CLK_MS) /* between two places */
#define WAIT_US (50 * CLK_MS) /* estimate of the time until a place is free */

/* The server, which runs SLOTS requests at once, says that it is brittle.  */
void
brittle_share_begin (struct brittle_share *share, guint slots, gint64 now)
{
  if (share->room > 0)
    return;
  share->room = MAX (slots / FIRST_SHARE, 1);
  share->raised_at = now;
  share->hold_us = FIRST_HOLD_US;
}

/* Lets the room grow if it is used up.  */
static void
raise_room (struct brittle_share *share, const struct brittle_query *query)
{
  gint64 since = query->now - share->raised_at;
  if (share->room >= query->slots || query->in_progress + 1 < share->room
      || since < (share->grows ? RAISE_INTERVAL_US : share->hold_us))
    return;
  guint step
      = CLAMP (query->slots / RAISE_SHARE, 1, MAX (query->rejections_per_s, 1));
  share->room = MIN (share->room + step, query->slots);
  share->grows = TRUE;
  share->raised_at = query->now;
}

/* Returns how many of the first N places belong to this instance.  */
static guint
count_own (struct brittle_share *share, const struct brittle_query *query,
           guint n)
{
  guint64 version
      = query->limit.members->version + query->limit.domains->version;
  guint own = 0;
  if (share->version != version)
    share->n_known = 0;
  share->version = version;
  if (share->n_known == 0)
    share->own = 0;
  guint n_local
      = share->n_known < n ? limit_share_count_local (&query->limit) : 0;
  for (; share->n_known < n; share->n_known++)
    if (limit_share_owns (&query->limit, n_local, share->n_known))
      share->own |= G_GUINT64_CONSTANT (1) << share->n_known;
  for (guint i = 0; i < n; i++)
    own += share->own >> i & 1;
  return own;
}

/* Returns the time until this instance may probably send a request to the
   server, in microseconds; 0: now.  */
gint64
brittle_share_wait (struct brittle_share *share,
                    const struct brittle_query *query)
{
  guint slots_per_place = (query->slots + PLACES_MAX - 1) / PLACES_MAX;
  brittle_share_begin (share, query->slots, query->now);
  if (query->now < share->resume_at)
    return share->resume_at - query->now;
  raise_room (share, query);
  guint places = MAX (share->room / MAX (slots_per_place, 1), 1);
  if (share->reopens)
    {
      gint64 open = 1 + (query->now - share->resume_at) / REOPEN_INTERVAL_US;
      share->reopens = open < places;
      places = (guint)MIN (open, places);
    }
  guint own = count_own (share, query, MIN (places, PLACES_MAX))
              * MAX (slots_per_place, 1);
  return query->own_in_progress < own ? 0 : WAIT_US;
}

/* The server has turned a request away at AT, when IN_PROGRESS requests were
   there with it, as far as known.  */
void
brittle_share_full (struct brittle_share *share, guint in_progress, gint64 at)
{
  if (share->room == 0 || at <= share->full_at)
    return;
  gboolean expected = share->grows && !share->reopens;
  share->room = MAX (MIN (share->room, in_progress), 2) - 1;
  share->hold_us
      = share->full_at == 0 ? HOLD_US : MIN (2 * share->hold_us, HOLD_MAX_US);
  share->grows = FALSE;
  share->full_at = share->raised_at = at;
  share->resume_at = at + (expected ? SHORT_PAUSE_US : PAUSE_US);
  share->reopens = !expected;
}

/* The room is at most ROOM, as a peer has found out.  */
void
brittle_share_lower (struct brittle_share *share, guint room)
{
  share->room = MIN (share->room, MAX (room, 1));
}
