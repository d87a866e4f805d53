#include "sched/overload_hold.h"

#include "base/str.h"

/* Addresses this load pattern: several times more prompts than the engines can
   prefill, at many instances. Each instance serves its own queue by urgency,
   but one whose queue of urgent prompts is empty starts its less urgent, longer
   ones, while its neighbour rejects urgent prompts because the engines they
   share are full. Instances of a domain therefore tell each other which tiers
   they reject for overload, and for a short time after a rejection nobody
   starts a less urgent prompt of over twice the length. As long as urgent
   prompts are rejected somewhere in the domain, the hold is renewed; once they
   are not, the others go on.  */

/* How long a rejection holds others back: two intervals between the messages of
   neighbours in a domain of ten, so that a lasting overload holds them without
   a break. */
#define HOLD_US (300 * CLK_MS)
#define LENGTH_FACTOR 2.0     /* longer prompts than this are held back */
#define LENGTH_MEAN_WEIGHT .1 /* weight of a new length in the mean */

/* Returns the key of SERVICE in messages.  */
guint32
overload_hold_service_key (const char *service)
{
  return (guint32)str_hash (str_of (service), 0);
}

/* Records that a request of TIER with a prompt of TOKENS was rejected for
   overload at AT.  */
void
overload_hold_record (struct overload_hold *hold, guint tier, guint tokens,
                      gint64 at)
{
  struct overload_hold_tier *t
      = &hold->tiers[MIN (tier, OVERLOAD_HOLD_TIERS - 1)];
  if (t->rejected_at == 0)
    t->tokens = tokens;
  t->tokens += LENGTH_MEAN_WEIGHT * ((double)tokens - t->tokens);
  t->rejected_at = MAX (t->rejected_at, at);
}

/* Returns whether a request of TIER was rejected so recently that it holds
   others back.  */
gboolean
overload_hold_is_recent (const struct overload_hold *hold, guint tier,
                         gint64 now)
{
  gint64 at = hold->tiers[tier].rejected_at;
  return at != 0 && now - at < HOLD_US;
}

/* Returns whether a request of TIER with a prompt of TOKENS must not start
   now.  */
gboolean
overload_hold_applies (const struct overload_hold *hold, guint tier,
                       guint tokens, gint64 now)
{
  for (guint i = 0; i < MIN (tier, OVERLOAD_HOLD_TIERS); i++)
    if (overload_hold_is_recent (hold, i, now)
        && tokens > LENGTH_FACTOR * hold->tiers[i].tokens)
      return TRUE;
  return FALSE;
}
