/* Freshness of the configuration: when it was last proved to be the newest. A
   proof dates from the moment at which the question was sent, so it can only
   be older than the truth, never younger.  */
#ifndef FRS_H
#define FRS_H

#include "base/clock.h"

struct frs
{
  guint64 version; /* the newest version known; 0: none */
  gint64 proved;   /* clock time, counting suspension; 0: never */
};

void frs_take (struct frs *frs, guint64 version, gint64 asked);
gint64 frs_age (const struct frs *frs, gint64 now);
gboolean frs_holds (const struct frs *frs, gint64 now, gint64 limit_us);

#endif
