/* Brings engines to their target state (the models and adapters to load, the
   version and the role) by orders: calls that load one thing or set the role.
   One order at a time is sent to an engine, under the fencing number of a
   lease. A pure state machine; its user carries the calls out over HTTP.

   An order is sent only while lease_order_fence allows it. It is repeated with
   the same id until the state read from the engine shows that it was applied.
   After an order without a response, the next different order waits until the
   first must have arrived.

   Engines that do not check the fencing number have a remaining risk: the check
   and the sending are two steps, and the time limit of a call bounds the wait
   for its response, not the time that it may spend in a buffer on the way or
   in the engine. If the holder is paused between the two steps, or an order is
   delayed for longer than LEASE_ORDER_DELIVERY_MAX_US plus
   LEASE_CLOCK_MARGIN_US, such an engine may get the order after one of a later
   holder. The engine then follows the older order until the later holder reads
   its state again, every RECONCILER_REREAD_US, and repeats its own. Adapters
   and versions cannot be read; for them a changed id of the last order counts
   as the sign.  */
#ifndef RECONCILER_H
#define RECONCILER_H

#include "lease/lease.h"

#define RECONCILER_REREAD_US (30 * CLK_S) /* reads of a settled engine */
#define RECONCILER_CALLS_MAX 16           /* open calls at a time */
#define RECONCILER_TARGETS_MAX 32         /* targets of one engine */
#define RECONCILER_TICK_US (100 * CLK_MS) /* longest time between ticks */
#define RECONCILER_ID_MAX 64 /* bytes of an order's id, including the NUL */

/* Kinds of orders. X (KIND, "name") */
#define RECONCILER_KINDS(X)                                                    \
  X (LOAD_MODEL, "load_model")                                                 \
  X (LOAD_ADAPTER, "load_adapter")                                             \
  X (LOAD_VERSION, "load_version")                                             \
  X (SET_ROLE, "set_role")

enum reconciler_kind
{
#define RECONCILER_KIND_ENUM(id, name) RECONCILER_##id,
  RECONCILER_KINDS (RECONCILER_KIND_ENUM)
#undef RECONCILER_KIND_ENUM
};

/* States of charts/order.chart. X (NAME, "name") */
#define RECONCILER_STATES(X)                                                   \
  X (READING, "looking")                                                       \
  X (ORDERING, "ordering")                                                     \
  X (SETTLED, "settled")                                                       \
  X (SUPERSEDED, "outranked")

enum reconciler_state
{
#define RECONCILER_STATE_ENUM(id, name) RECONCILER_##id,
  RECONCILER_STATES (RECONCILER_STATE_ENUM)
#undef RECONCILER_STATE_ENUM
      RECONCILER_STATE_N
};

/* One target of an engine. */
struct reconciler_target
{
  enum reconciler_kind kind;
  struct str_id name; /* of the model, adapter, version or role */
};

/* A call to an engine: POST /orders if POST, else GET /orders. */
struct reconciler_request
{
  struct str_id backend;
  gboolean post;
  guint64 fence;
  char id[RECONCILER_ID_MAX];
  enum reconciler_kind kind;
  struct str_id name;
  gint64 timeout_us;
};

struct reconciler_response
{
  int code; /* 0: success; ERR_CONFLICT: the engine has had a higher fencing
               number; ERR_LIMIT, ERR_UNAVAILABLE: nothing changed; others:
               an order may have been applied */
  guint64 fence;             /* highest that the engine has had; 0: not given */
  const char *last_id;       /* of GET, borrowed; NULL: none */
  const char *const *models; /* of GET, borrowed, NULL-terminated */
  const char *role;          /* of GET, borrowed; NULL: none */
};

struct reconciler;

struct reconciler_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  const struct statechart *chart;      /* of reconciler_chart_load, borrowed */
  const struct lease_lock *lease_lock; /* borrowed */
  /* Starts REQUEST; its response must be passed to reconciler_response with
     the same TOKEN. */
  void (*start_request) (void *ctx, guint64 token,
                         const struct reconciler_request *request);
  void *ctx;
};

/* Loads order.chart from FOLDER; the caller frees it by statechart_free. */
int reconciler_chart_load (const char *folder, struct statechart **chart,
                           struct err *err);
struct reconciler *reconciler_new (const struct reconciler_options *options);
void reconciler_free (struct reconciler *reconciler);
/* Sets the targets of BACKEND; a model or adapter that is no longer a target
   stays loaded. Returns ERR_LIMIT if N is above RECONCILER_TARGETS_MAX. */
int reconciler_set_targets (struct reconciler *reconciler, const char *backend,
                            gboolean checks_fence,
                            const struct reconciler_target *targets, guint n);
void reconciler_remove (struct reconciler *reconciler, const char *backend);
void reconciler_response (struct reconciler *reconciler, guint64 token,
                          const struct reconciler_response *response);
void reconciler_tick (struct reconciler *reconciler);
/* Returns whether BACKEND had all its targets when last read. */
gboolean reconciler_settled (const struct reconciler *reconciler,
                             const char *backend);
const char *reconciler_kind_name (enum reconciler_kind kind);
void reconciler_dump (const struct reconciler *reconciler, JsonBuilder *json);

#endif
