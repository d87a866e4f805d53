#include "fleet/store_era.h"

/* Compares ERA (0: unknown) with the newest known one, *KNOWN (0: none yet),
   and replaces that by a newer one. The first era that becomes known is no
   change of era.  */
enum store_era_order
store_era_observe (guint64 *known, guint64 era)
{
  guint64 before = *known;
  if (era == 0 || era == before)
    return STORE_ERA_SAME;
  if (era < before)
    return STORE_ERA_OLDER;
  *known = era;
  return before == 0 ? STORE_ERA_SAME : STORE_ERA_NEWER;
}
