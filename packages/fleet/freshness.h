/* Freshness of the configuration: when it was last confirmed to be the newest.
   A confirmation dates from the time at which the request for it was sent, so
   that the configuration age may be overestimated but never underestimated.  */
#ifndef FRESHNESS_H
#define FRESHNESS_H

#include "base/clock.h"

struct freshness
{
  guint64 version;     /* newest known version; 0: none */
  gint64 confirmed_at; /* clock time, counting suspension; 0: never */
};

void freshness_confirm (struct freshness *freshness, guint64 version,
                        gint64 requested_at);
gint64 freshness_age (const struct freshness *freshness, gint64 now);
gboolean freshness_is_within (const struct freshness *freshness, gint64 now,
                              gint64 limit_us);

#endif
