/* The cell owner's state, shared by cel.c and cel_dump.c only.  */
#ifndef CEL_INT_H
#define CEL_INT_H

#include "cell/cel.h"
#include "cell/cls.h"
#include "cell/srv.h"
#include "cell/tkt.h"

#define CEL_USE_WITHIN_US (1500 * CLK_MS)   /* told to the entry */
#define CEL_GRANT_EXPIRY_US (2000 * CLK_MS) /* the slot is freed */
#define CEL_USE_SEEN_US (250 * CLK_MS)      /* later progress proves the use */
#define CEL_SILENT_US (10 * CLK_S)          /* silence that drops a ticket */
#define CEL_RETRY_MIN_US (200 * CLK_MS)

struct cel
{
  const struct clk *clk; /* borrowed */
  GRand *rand;
  struct ctr *ctr; /* borrowed */
  struct cfg *cfg; /* a reference */
  struct str_id cell;
  void (*send) (void *ctx, const char *to, const struct msg *msg);
  void *ctx;

  GPtrArray *classes;   /* of struct cls, owned, the highest tier first */
  GPtrArray *servers;   /* of struct srv, owned */
  GSequence *deadlines; /* of waiting struct tkt, the next due first */
  struct tkt_table tickets;
};

#endif
