#include "fleet/freshness.h"

/* Records a confirmation, requested at REQUESTED_AT, that VERSION is the newest
   one. A confirmation of an older version than the newest known one says
   nothing about that one and is ignored.  */
void
freshness_confirm (struct freshness *freshness, guint64 version,
                   gint64 requested_at)
{
  if (version < freshness->version)
    return;
  if (version > freshness->version)
    {
      freshness->version = version;
      freshness->confirmed_at = requested_at;
    }
  else if (requested_at > freshness->confirmed_at)
    freshness->confirmed_at = requested_at;
}

/* Returns the configuration age: microseconds since the last confirmation was
   requested; G_MAXINT64 if there was none.  */
gint64
freshness_age (const struct freshness *freshness, gint64 now)
{
  return freshness->confirmed_at == 0 ? G_MAXINT64
                                      : now - freshness->confirmed_at;
}

/* Returns whether the configuration was confirmed to be the newest less than
   LIMIT_US ago.  */
gboolean
freshness_is_within (const struct freshness *freshness, gint64 now,
                     gint64 limit_us)
{
  return freshness_age (freshness, now) < limit_us;
}
