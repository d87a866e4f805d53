/* Leases on platform objects, and the fencing number for orders to engines.
   A pure state machine for one lease.

   The object names its holder. A holder counts its term from the moment at
   which it sent the write that took or renewed the lease; others count from
   the moment at which they first saw the object's version, and add the
   margin. So a holder's term is over, by its own clock, before another takes
   the lease, as long as clocks run at rates that differ by less than the
   margin in a term. No wall clock is compared.

   The fencing number is the object's version at acquisition. Versions only
   grow, so a later holder's number is higher. It stays the same over
   renewals: engines need no order between renewals of one holder, and a
   renewal whose answer is lost leaves the number known. A holder that lets
   its term lapse acquires anew, with a new number.

   An answer that was lost is settled by reading back: the object is this
   incarnation's at a higher version, or the write did not take effect so far
   and is repeated for the same version, so that one of them at most can.  */
#ifndef LSE_H
#define LSE_H

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/str.h"
#include "chart/statechart.h"
#include "store/sto.h"

#define LSE_TERM_US (15 * CLK_S)        /* a lease without renewal */
#define LSE_RENEW_US (5 * CLK_S)        /* between renewals */
#define LSE_ORDER_FLIGHT_US (3 * CLK_S) /* an order's longest flight */
#define LSE_MARGIN_US (1 * CLK_S)       /* for clock rates that differ */
#define LSE_CALL_US (2 * CLK_S)         /* time limit of a store call */
#define LSE_TICK_US (100 * CLK_MS)      /* longest time between ticks */

/* States of charts/lease.chart. X (NAME, "name") */
#define LSE_STATES(X)                                                          \
  X (IDLE, "idle")       /* not wanted */                                      \
  X (LOOKING, "looking") /* the object is to be read */                        \
  X (WAITING, "waiting") /* another holds it */                                \
  X (TAKING, "taking")                                                         \
  X (HELD, "held")                                                             \
  X (RELEASING, "releasing")

enum lse_state
{
#define LSE_STATE_ENUM(id, name) LSE_##id,
  LSE_STATES (LSE_STATE_ENUM)
#undef LSE_STATE_ENUM
      LSE_STATE_N
};

struct lse;

struct lse_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  const struct statechart *chart; /* of lse_chart_load, borrowed */
  struct str_id self;
  guint64 incarnation;
  const char *object; /* name of the platform object, copied */
  void (*store) (void *ctx, guint64 token, const struct sto_call *call);
  void *ctx;
};

/* Loads lease.chart from FOLDER; the caller frees it by statechart_free. */
int lse_chart_load (const char *folder, struct statechart **chart,
                    struct err *err);
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
enum lse_state lse_state (const struct lse *lse);
void lse_dump (const struct lse *lse, JsonBuilder *json);

#endif
