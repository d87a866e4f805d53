#include "fleet/freshness.h"

/* Takes the word that VERSION was the newest at some moment after ASKED. Word
   of an older version than known proves nothing.  */
void
freshness_confirm (struct freshness *freshness, guint64 version, gint64 asked)
{
  if (version < freshness->version)
    return;
  if (version > freshness->version)
    {
      freshness->version = version;
      freshness->proved = asked;
    }
  else if (asked > freshness->proved)
    freshness->proved = asked;
}

/* Microseconds since the last proof; G_MAXINT64 if there was none.  */
gint64
freshness_age (const struct freshness *freshness, gint64 now)
{
  return freshness->proved == 0 ? G_MAXINT64 : now - freshness->proved;
}

/* Tells whether the configuration was the newest at some moment less than
   LIMIT_US ago.  */
gboolean
freshness_is_within (const struct freshness *freshness, gint64 now,
                     gint64 limit_us)
{
  return freshness_age (freshness, now) < limit_us;
}
