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
#ifndef LEASE_H
#define LEASE_H

#include "base/clk.h"
#include "base/ctr.h"
#include "base/err.h"
#include "base/str.h"
#include "chart/chr.h"
#include "store/storage.h"

#define LEASE_TERM_US (15 * CLK_S) /* a lease without renewal */
#define LEASE_RENEW_US (5 * CLK_S) /* between renewals */
/* An order's longest flight. */
#define LEASE_ORDER_DELIVERY_MAX_US (3 * CLK_S)
#define LEASE_CLOCK_MARGIN_US (1 * CLK_S)  /* for clock rates that differ */
#define LEASE_STORE_TIMEOUT_US (2 * CLK_S) /* time limit of a store call */
#define LEASE_TICK_US (100 * CLK_MS)       /* longest time between ticks */

/* States of charts/lease.chart. X (NAME, "name") */
#define LEASE_STATES(X)                                                        \
  X (IDLE, "idle")       /* not wanted */                                      \
  X (READING, "looking") /* the object is to be read */                        \
  X (WAITING, "waiting") /* another holds it */                                \
  X (ACQUIRING, "taking")                                                      \
  X (HELD, "held")                                                             \
  X (RELEASING, "releasing")

enum lease_state
{
#define LEASE_STATE_ENUM(id, name) LEASE_##id,
  LEASE_STATES (LEASE_STATE_ENUM)
#undef LEASE_STATE_ENUM
      LEASE_STATE_N
};

struct lease_lock;

struct lease_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  const struct chr *chart; /* of lease_chart_load, borrowed */
  struct str_id self;
  guint64 incarnation;
  const char *object; /* name of the platform object, copied */
  void (*start_request) (void *ctx, guint64 token,
                         const struct storage_request *request);
  void *ctx;
};

/* Loads lease.chart from FOLDER; the caller frees it by chr_free. */
int lease_chart_load (const char *folder, struct chr **chart, struct err *err);
struct lease_lock *lease_new (const struct lease_options *options);
void lease_free (struct lease_lock *lock);
/* Whether this instance should try to hold the lease. */
void lease_want (struct lease_lock *lock, gboolean want);
void lease_store_response (struct lease_lock *lock, guint64 token,
                           const struct storage_response *response);
void lease_tick (struct lease_lock *lock);
/* Returns the fencing number if an order may leave now, 0 if not: the lease
   is held with more time left than an order's longest flight and the margin.
   Engines that do not check the number (CHECKS_FENCE false) need in addition
   that the previous holder's last order has landed. */
guint64 lease_order_fence (const struct lease_lock *lock,
                           gboolean checks_fence);
enum lease_state lease_state (const struct lease_lock *lock);
void lease_dump (const struct lease_lock *lock, JsonBuilder *json);

#endif
