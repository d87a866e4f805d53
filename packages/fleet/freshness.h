/* Freshness of the configuration: when it was last proved to be the newest. A
   proof dates from the moment at which the question was sent, so it can only
   be older than the truth, never younger.  */
#ifndef FRESHNESS_H
#define FRESHNESS_H

#include "base/clk.h"

struct freshness
{
  guint64 version;     /* the newest version known; 0: none */
  gint64 confirmed_at; /* clock time, counting suspension; 0: never */
};

void freshness_confirm (struct freshness *freshness, guint64 version,
                        gint64 asked_at);
gint64 freshness_age (const struct freshness *freshness, gint64 now);
gboolean freshness_is_within (const struct freshness *freshness, gint64 now,
                              gint64 limit_us);

#endif
