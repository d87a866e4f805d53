#include "fleet/store_era.h"

/* Consecutive answers of the store with an older era than the known one after
   which its era counts. Fewer may be late answers: one read of the
   configuration and one of the server list are in progress at most. */
#define OLDER_ANSWERS_MAX 3

/* Compares ERA (0: unknown) with the known one and replaces that by a newer
   one. The first era that becomes known is no change of era.  */
static enum store_era_order
observe (struct store_era *store_era, guint64 era)
{
  guint64 before = store_era->known;
  if (era == 0 || era == before)
    return STORE_ERA_SAME;
  if (era < before)
    return STORE_ERA_OLDER;
  store_era->known = era;
  return before == 0 ? STORE_ERA_SAME : STORE_ERA_NEWER;
}

/* Orders the era that a peer states. One that the store has overruled here says
   nothing, or it would be taken for a new one each time a peer repeats it.  */
enum store_era_order
store_era_of_peer (struct store_era *store_era, guint64 era)
{
  if (era > store_era->known && era <= store_era->overruled)
    return STORE_ERA_SAME;
  return observe (store_era, era);
}

/* Orders the era of an answer of the store. If the store keeps to an older one,
   the known one was wrong, for example from a peer's damaged message, or the
   store itself went back: its era then counts as a new one, so that its answers
   are not dropped for good.  */
enum store_era_order
store_era_of_store (struct store_era *store_era, guint64 era)
{
  enum store_era_order order = observe (store_era, era);
  if (order != STORE_ERA_OLDER)
    {
      store_era->n_older = era != 0 ? 0 : store_era->n_older;
      return order;
    }
  if (++store_era->n_older < OLDER_ANSWERS_MAX)
    return STORE_ERA_OLDER;
  *store_era
      = (struct store_era){ .known = era, .overruled = store_era->known };
  return STORE_ERA_NEWER;
}
