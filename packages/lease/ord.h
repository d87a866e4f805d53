/* Orders to engines under the fencing number of a lease: what each engine
   should have loaded, turned into one order at a time per engine. A pure state
   machine; the shell carries the calls out over HTTP.

   An order leaves only while lse_order_fence allows it. It is repeated under
   the same id until reading back shows that it was applied. After an order
   without answer the next other one waits until the first must have landed.

   What remains for engines that ignore the number: the check and the sending
   are two steps, and the time limit of a call bounds the wait for its answer,
   not its stay in a buffer on the way or in the engine. A holder that is
   paused between the two steps, or an order held up for longer than
   LSE_ORDER_FLIGHT_US plus LSE_MARGIN_US, can reach such an engine after a
   later holder's order. The engine then does what the older order says until
   the later holder reads its state again, every ORD_REREAD_US, and repeats its
   own. Adapters and versions cannot be read; for them a changed last id is
   taken as the sign.  */
#ifndef ORD_H
#define ORD_H

#include "lease/lse.h"

#define ORD_REREAD_US (30 * CLK_S) /* between reads of a settled engine */
#define ORD_OPEN_MAX 16            /* calls open at a time */
#define ORD_WANTS_MAX 32           /* things an engine should have */
#define ORD_TICK_US (100 * CLK_MS) /* longest time between ticks */
#define ORD_ID_MAX 64              /* bytes of an order's id with the NUL */

/* X (KIND, "name") */
#define ORD_KINDS(X)                                                           \
  X (LOAD_MODEL, "load_model")                                                 \
  X (LOAD_ADAPTER, "load_adapter")                                             \
  X (LOAD_VERSION, "load_version")                                             \
  X (SET_ROLE, "set_role")

enum ord_kind
{
#define ORD_KIND_ENUM(id, name) ORD_##id,
  ORD_KINDS (ORD_KIND_ENUM)
#undef ORD_KIND_ENUM
};

/* States of charts/order.chart. X (NAME, "name") */
#define ORD_STATES(X)                                                          \
  X (LOOKING, "looking")                                                       \
  X (ORDERING, "ordering")                                                     \
  X (SETTLED, "settled")                                                       \
  X (OUTRANKED, "outranked")

enum ord_state
{
#define ORD_STATE_ENUM(id, name) ORD_##id,
  ORD_STATES (ORD_STATE_ENUM)
#undef ORD_STATE_ENUM
      ORD_STATE_N
};

/* Something an engine should have. */
struct ord_want
{
  enum ord_kind kind;
  struct str_id name; /* of the model, adapter, version or role */
};

/* A call to an engine: GET /orders, or POST /orders if POST. */
struct ord_call
{
  struct str_id backend;
  gboolean post;
  guint64 fence;
  char id[ORD_ID_MAX];
  enum ord_kind kind;
  struct str_id name;
  gint64 timeout_us;
};

struct ord_answer
{
  int code;      /* 0; ERR_CONFLICT: the engine knows a newer number; ERR_LIMIT,
                    ERR_UNAVAILABLE: nothing changed; others: an order may have
                    been applied */
  guint64 fence; /* newest that the engine knows; 0: not told */
  const char *last_id;       /* of GET, borrowed; NULL: none */
  const char *const *models; /* of GET, borrowed, NULL-terminated */
  const char *role;          /* of GET, borrowed; NULL: none */
};

struct ord;

struct ord_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  const struct statechart *chart; /* of ord_chart_load, borrowed */
  const struct lse *lse;          /* borrowed */
  /* Starts CALL; its answer comes by ord_answer with the same TOKEN. */
  void (*call) (void *ctx, guint64 token, const struct ord_call *call);
  void *ctx;
};

/* Loads order.chart from FOLDER; the caller frees it by statechart_free. */
int ord_chart_load (const char *folder, struct statechart **chart,
                    struct err *err);
struct ord *ord_new (const struct ord_options *options);
void ord_free (struct ord *ord);
/* Sets what BACKEND should have; a model or adapter that is no longer named
   stays loaded. Returns ERR_LIMIT if N is above ORD_WANTS_MAX. */
int ord_set (struct ord *ord, const char *backend, gboolean checks_fence,
             const struct ord_want *wants, guint n);
void ord_forget (struct ord *ord, const char *backend);
void ord_answer (struct ord *ord, guint64 token,
                 const struct ord_answer *answer);
void ord_tick (struct ord *ord);
/* BACKEND was seen to have all that it should. */
gboolean ord_settled (const struct ord *ord, const char *backend);
const char *ord_kind_name (enum ord_kind kind);
void ord_dump (const struct ord *ord, JsonBuilder *json);

#endif
