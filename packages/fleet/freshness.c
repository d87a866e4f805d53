#include "fleet/freshness.h"

/* Takes the word that VERSION was the newest at some moment after ASKED. Word
   of an older version than known proves nothing.  */
void
freshness_confirm (struct freshness *freshness, guint64 version,
                   gint64 asked_at)
{
  if (version < freshness->version)
    return;
  if (version > freshness->version)
    {
      freshness->version = version;
      freshness->confirmed_at = asked_at;
    }
  else if (asked_at > freshness->confirmed_at)
    freshness->confirmed_at = asked_at;
}

/* Microseconds since the last proof; G_MAXINT64 if there was none.  */
gint64
freshness_age (const struct freshness *freshness, gint64 now)
{
  return freshness->confirmed_at == 0 ? G_MAXINT64
                                      : now - freshness->confirmed_at;
}

/* Tells whether the configuration was the newest at some moment less than
   LIMIT_US ago.  */
gboolean
freshness_is_within (const struct freshness *freshness, gint64 now,
                     gint64 limit_us)
{
  return freshness_age (freshness, now) < limit_us;
}
