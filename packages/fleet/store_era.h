/* The era of the store: a number that rises each time the store comes back from
   an older copy of its data. What was written after the copy was made is gone
   then until it is written again, so facts of different eras are ordered by
   their eras first.  */
#ifndef STORE_ERA_H
#define STORE_ERA_H

#include <glib.h>

/* X (NAME, "name"): an era compared with the newest one known */
#define STORE_ERA_ORDERS(X)                                                    \
  X (SAME, "same") /* or unknown: the store or the peer states none */         \
  X (NEWER, "newer")                                                           \
  X (OLDER, "older") /* a late answer, or a peer that does not know yet */

enum store_era_order
{
#define STORE_ERA_ENUM(id, name) STORE_ERA_##id,
  STORE_ERA_ORDERS (STORE_ERA_ENUM)
#undef STORE_ERA_ENUM
};

struct store_era
{
  guint64 known; /* newest era; 0: none yet */
  guint n_older; /* answers of the store with an older one since the last with
                    the known one */
  guint64 overruled; /* the store has shown that peers' eras up to this one are
                        wrong; 0: none */
};

enum store_era_order store_era_of_store (struct store_era *store_era,
                                         guint64 era);
enum store_era_order store_era_of_peer (struct store_era *store_era,
                                        guint64 era);

#endif
