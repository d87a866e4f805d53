/* Leases on platform objects, and orders to engines under a fencing number.
   A pure state machine for one lease.  */
#ifndef LSE_H
#define LSE_H

#include "base/clk.h"
#include "base/ctr.h"
#include "base/str.h"
#include "store/sto.h"

#define LSE_TERM_US (15 * CLK_S)        /* a lease without renewal */
#define LSE_RENEW_US (5 * CLK_S)        /* between renewals */
#define LSE_ORDER_FLIGHT_US (3 * CLK_S) /* an order's longest flight */
#define LSE_MARGIN_US (1 * CLK_S)       /* for clock rates that differ */

struct lse;

struct lse_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct ctr *ctr; /* borrowed */
  struct str_id self;
  guint64 incarnation;
  const char *object; /* name of the platform object, copied */
  void (*store) (void *ctx, guint64 token, const struct sto_call *call);
  void *ctx;
};

struct lse *lse_new (const struct lse_options *options);
void lse_free (struct lse *lse);
/* Whether this instance should try to hold the lease. */
void lse_want (struct lse *lse, gboolean want);
void lse_answer (struct lse *lse, guint64 token,
                 const struct sto_answer *answer);
void lse_tick (struct lse *lse);
/* Returns the fencing number if an order may leave now, 0 if not: the lease
   is held with more time left than an order's longest flight and the margin.
   Engines that do not check the number (CHECKS_FENCE false) need in addition
   that the previous holder's last order has landed. */
guint64 lse_order_fence (const struct lse *lse, gboolean checks_fence);
void lse_dump (const struct lse *lse, JsonBuilder *json);

#endif
