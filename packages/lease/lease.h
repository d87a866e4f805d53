/* A lease on an object in the platform's object store: a lock with a limited
   term that one instance holds at a time. It is used to let one instance send
   orders to engines; lease_order_fence gives the fencing number for them. A
   pure state machine without I/O for one lease.

   The object names the holder. The holder counts its term from the time at
   which it sent the write that acquired or renewed the lease. Other instances
   count from the time at which they first saw the object's version, and add
   LEASE_CLOCK_MARGIN_US. So the holder's term is over by its own clock before
   another instance acquires the lease, as long as the clocks' rates differ by
   less than the margin in a term. Wall clocks are not compared.

   The fencing number is the object's version at acquisition. Versions only
   grow, so a later holder has a higher number. Renewals keep the number:
   engines need not tell renewals of one holder apart, and the number stays
   known if the response to a renewal is lost. A holder whose term has run out
   acquires the lease anew, with a new number.

   If the response to a write is lost, the object is read. Either it names this
   incarnation at a higher version, so the write took effect; or the write has
   not taken effect so far and is repeated for the same expected version, so
   that at most one of the two can take effect.  */
#ifndef LEASE_H
#define LEASE_H

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/str.h"
#include "chart/statechart.h"
#include "store/storage.h"

#define LEASE_TERM_US (15 * CLK_S) /* from acquisition or renewal */
#define LEASE_RENEW_US (5 * CLK_S) /* between renewals */
/* Longest time from the sending of an order until the engine has it. */
#define LEASE_ORDER_DELIVERY_MAX_US (3 * CLK_S)
#define LEASE_CLOCK_MARGIN_US (1 * CLK_S)  /* for different clock rates */
#define LEASE_STORE_TIMEOUT_US (2 * CLK_S) /* of a request to the store */
#define LEASE_TICK_US (100 * CLK_MS)       /* longest time between ticks */

/* States of charts/lease.chart. X (NAME, "name") */
#define LEASE_STATES(X)                                                        \
  X (IDLE, "idle")       /* not wanted */                                      \
  X (READING, "looking") /* the object must be read */                         \
  X (WAITING, "waiting") /* another instance holds it */                       \
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
  const struct statechart *chart; /* of lease_chart_load, borrowed */
  struct str_id self;
  guint64 incarnation;
  const char *object; /* name of the platform object, copied */
  void (*start_request) (void *ctx, guint64 token,
                         const struct storage_request *request);
  void *ctx;
};

/* Loads lease.chart from FOLDER; the caller frees it by statechart_free. */
int lease_chart_load (const char *folder, struct statechart **chart,
                      struct err *err);
struct lease_lock *lease_new (const struct lease_options *options);
void lease_free (struct lease_lock *lock);
/* Sets whether this instance should try to hold the lease. */
void lease_want (struct lease_lock *lock, gboolean want);
void lease_store_response (struct lease_lock *lock, guint64 token,
                           const struct storage_response *response);
void lease_tick (struct lease_lock *lock);
/* Returns the fencing number if an order may be sent now, else 0. It may if the
   lease is held for longer than LEASE_ORDER_DELIVERY_MAX_US plus
   LEASE_CLOCK_MARGIN_US from now. For engines that do not check the number
   (CHECKS_FENCE false) the lease must also have been held for that long, so
   that the previous holder's last order has arrived. */
guint64 lease_order_fence (const struct lease_lock *lock,
                           gboolean checks_fence);
enum lease_state lease_state (const struct lease_lock *lock);
void lease_dump (const struct lease_lock *lock, JsonBuilder *json);

#endif
