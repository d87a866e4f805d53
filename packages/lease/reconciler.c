#include "lease/reconciler.h"
#include "base/json_add.h"

#include <string.h>

#define RETRY_DELAY_MIN_US (200 * CLK_MS)
#define RETRY_DOUBLINGS_MAX 6
/* Reads that may show no effect of an accepted order before it is sent anew. */
#define APPLY_READS_MAX 8

/* Events of charts/order.chart. X (NAME, "name") */
#define EVENTS(X)                                                              \
  X (READ, "ask")                                                              \
  X (ORDER, "order")                                                           \
  X (SETTLED, "settled")                                                       \
  X (SUPERSEDED, "outranked")

enum event
{
#define EVENT_ENUM(id, name) EVENT_##id,
  EVENTS (EVENT_ENUM)
#undef EVENT_ENUM
      EVENT_N
};

static const char *const state_names[] = {
#define STATE_NAME(id, name) name,
  RECONCILER_STATES (STATE_NAME)
#undef STATE_NAME
};

static const char *const event_names[] = {
#define EVENT_NAME(id, name) name,
  EVENTS (EVENT_NAME)
#undef EVENT_NAME
};

struct target
{
  struct reconciler_target spec;
  gboolean applied;           /* as far as this instance knows */
  char id[RECONCILER_ID_MAX]; /* of its order; "": no order sent under FENCE */
  guint64 fence;              /* under which ID was made */
};

struct engine
{
  struct str_id backend;
  gboolean checks_fence;
  struct target targets[RECONCILER_TARGETS_MAX];
  guint n;
  enum reconciler_state state;
  guint current;      /* index of the target that is being ordered */
  guint64 open_token; /* of the open call; 0: none */
  gboolean open_is_post;
  guint64 open_fence;       /* of the open call */
  gboolean targets_changed; /* while the call was open */
  gboolean settled;         /* the last read showed all targets */
  gint64 next_call_at;      /* of the next call */
  gint64 delivered_by; /* an order without a response has arrived by then */
  char unanswered_id[RECONCILER_ID_MAX]; /* id of that order */
  char last_id[RECONCILER_ID_MAX]; /* of the engine's last order, as read */
  guint64 newest_fence; /* fencing number of the engine that was higher */
  guint failures;       /* in a row */
};

struct reconciler
{
  struct reconciler_options options;
  GRand *rand;
  GPtrArray *engines; /* struct engine, owned */
  guint64 last_token;
  guint64 last_order_number; /* number in the last order id */
  guint open_calls;
  guint next_engine; /* index of the engine that comes first */
};

const char *
reconciler_kind_name (enum reconciler_kind kind)
{
  static const char *const names[] = {
#define KIND_NAME(id, name) name,
    RECONCILER_KINDS (KIND_NAME)
#undef KIND_NAME
  };
  return kind < G_N_ELEMENTS (names) ? names[kind] : "?";
}

int
reconciler_chart_load (const char *folder, struct statechart **chart,
                       struct err *err)
{
  static const struct statechart_binding binding
      = { state_names, RECONCILER_STATE_N, event_names, EVENT_N };
  char *path = g_build_filename (folder, "order.chart", NULL);
  int r = statechart_load (path, &binding, chart, err);
  g_free (path);
  return r;
}

/* Returns a reconciler without engines that the caller frees by
   reconciler_free.  */
struct reconciler *
reconciler_new (const struct reconciler_options *options)
{
  struct reconciler *reconciler = g_new0 (struct reconciler, 1);
  reconciler->options = *options;
  reconciler->rand = g_rand_new_with_seed (options->seed);
  reconciler->engines = g_ptr_array_new_with_free_func (g_free);
  return reconciler;
}

void
reconciler_free (struct reconciler *reconciler)
{
  if (!reconciler)
    return;
  g_ptr_array_unref (reconciler->engines);
  g_rand_free (reconciler->rand);
  g_free (reconciler);
}

/* Applies EVENT to ENGINE's state machine. An event without a transition from
   the current state is ignored.  */
static void
step (const struct reconciler *reconciler, struct engine *engine,
      enum event event)
{
  int next = statechart_next (reconciler->options.chart, (int)engine->state,
                              (int)event);
  if (next != STATECHART_NONE)
    engine->state = (enum reconciler_state)next;
}

static struct engine *
find_engine (const struct reconciler *reconciler, const char *backend)
{
  for (guint i = 0; i < reconciler->engines->len; i++)
    {
      struct engine *engine = g_ptr_array_index (reconciler->engines, i);
      if (strcmp (engine->backend.s, backend) == 0)
        return engine;
    }
  return NULL;
}

static struct engine *
find_or_add_engine (struct reconciler *reconciler, const char *backend)
{
  struct engine *engine = find_engine (reconciler, backend);
  if (engine)
    return engine;
  engine = g_new0 (struct engine, 1);
  str_id_set (&engine->backend, str_of (backend));
  engine->state
      = (enum reconciler_state)statechart_initial (reconciler->options.chart);
  engine->next_call_at = clk_now (reconciler->options.clk);
  g_ptr_array_add (reconciler->engines, engine);
  return engine;
}

static const struct target *
find_target (const struct target *targets, guint n,
             const struct reconciler_target *spec)
{
  for (guint i = 0; i < n; i++)
    if (targets[i].spec.kind == spec->kind
        && strcmp (targets[i].spec.name.s, spec->name.s) == 0)
      return &targets[i];
  return NULL;
}

int
reconciler_set_targets (struct reconciler *reconciler, const char *backend,
                        gboolean checks_fence,
                        const struct reconciler_target *targets, guint n)
{
  if (n > RECONCILER_TARGETS_MAX)
    return ERR_LIMIT;
  struct engine *engine = find_or_add_engine (reconciler, backend);
  struct target next[RECONCILER_TARGETS_MAX] = { 0 };
  gboolean targets_changed = n != engine->n;
  for (guint i = 0; i < n; i++)
    {
      const struct target *old
          = find_target (engine->targets, engine->n, &targets[i]);
      if (old)
        next[i] = *old;
      else
        next[i].spec = targets[i];
      targets_changed |= !old;
    }
  engine->checks_fence = checks_fence;
  if (!targets_changed)
    return 0;
  memcpy (engine->targets, next, sizeof next);
  engine->n = n;
  engine->targets_changed = engine->open_token != 0;
  engine->settled = FALSE;
  step (reconciler, engine, EVENT_READ);
  engine->next_call_at
      = MIN (engine->next_call_at, clk_now (reconciler->options.clk));
  return 0;
}

void
reconciler_remove (struct reconciler *reconciler, const char *backend)
{
  struct engine *engine = find_engine (reconciler, backend);
  if (!engine)
    return;
  reconciler->open_calls -= engine->open_token != 0;
  g_ptr_array_remove (reconciler->engines, engine);
}

static void
start_call (struct reconciler *reconciler, struct engine *engine,
            struct reconciler_request *request)
{
  request->backend = engine->backend;
  request->timeout_us = LEASE_ORDER_DELIVERY_MAX_US;
  engine->open_token = ++reconciler->last_token;
  engine->open_is_post = request->post;
  engine->open_fence = request->fence;
  engine->targets_changed = FALSE;
  reconciler->open_calls++;
  reconciler->options.start_request (reconciler->options.ctx,
                                     engine->open_token, request);
}

/* Sends the order for ENGINE's current target, unless another order without a
   response may still arrive.  */
static void
send_order (struct reconciler *reconciler, struct engine *engine, guint64 fence)
{
  struct target *target = &engine->targets[engine->current];
  gint64 now = clk_now (reconciler->options.clk);
  if (target->id[0] == '\0' || target->fence != fence)
    {
      target->fence = fence;
      g_snprintf (target->id, sizeof target->id,
                  "%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, fence,
                  ++reconciler->last_order_number);
    }
  if (now < engine->delivered_by
      && strcmp (engine->unanswered_id, target->id) != 0)
    return;
  struct reconciler_request request = { .post = TRUE,
                                        .fence = fence,
                                        .kind = target->spec.kind,
                                        .name = target->spec.name };
  g_strlcpy (request.id, target->id, sizeof request.id);
  g_strlcpy (engine->unanswered_id, target->id, sizeof engine->unanswered_id);
  engine->delivered_by
      = now + LEASE_ORDER_DELIVERY_MAX_US + LEASE_CLOCK_MARGIN_US;
  start_call (reconciler, engine, &request);
}

static void
start_next (struct reconciler *reconciler, struct engine *engine)
{
  guint64 fence = lease_order_fence (reconciler->options.lease_lock,
                                     engine->checks_fence);
  struct reconciler_request read = { .post = FALSE, .fence = fence };
  if (fence == 0 || engine->open_token != 0
      || clk_now (reconciler->options.clk) < engine->next_call_at)
    return;
  if (engine->state == RECONCILER_SUPERSEDED && fence <= engine->newest_fence)
    return;
  if (engine->state == RECONCILER_SUPERSEDED
      || engine->state == RECONCILER_SETTLED)
    step (reconciler, engine, EVENT_READ);
  if (engine->state == RECONCILER_ORDERING)
    send_order (reconciler, engine, fence);
  else
    start_call (reconciler, engine, &read);
}

static void
back_off (struct reconciler *reconciler, struct engine *engine)
{
  gint64 wait = RETRY_DELAY_MIN_US
                << MIN (engine->failures, RETRY_DOUBLINGS_MAX);
  engine->failures++;
  engine->next_call_at
      = clk_now (reconciler->options.clk) + wait / 2
        + (gint64)(g_rand_double (reconciler->rand) * (double)wait);
}

/* Handles an engine that has had fencing number NEWEST_FENCE, which is higher
   than that of this instance.  */
static void
on_superseded (struct reconciler *reconciler, struct engine *engine,
               guint64 newest_fence)
{
  engine->newest_fence = newest_fence;
  step (reconciler, engine, EVENT_SUPERSEDED);
  back_off (reconciler, engine);
}

static gboolean
is_own_order_id (const struct engine *engine, const char *id)
{
  for (guint i = 0; i < engine->n; i++)
    if (engine->targets[i].id[0] && strcmp (engine->targets[i].id, id) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
is_readable (const struct target *target)
{
  return target->spec.kind == RECONCILER_LOAD_MODEL
         || target->spec.kind == RECONCILER_SET_ROLE;
}

static gboolean
is_reported (const struct target *target,
             const struct reconciler_response *response)
{
  if (target->spec.kind == RECONCILER_SET_ROLE)
    return g_strcmp0 (response->role, target->spec.name.s) == 0;
  return response->models
         && g_strv_contains (response->models, target->spec.name.s);
}

/* Updates from RESPONSE which targets ENGINE has. If the last order's id has
   changed to one that is not from this instance, or a model or the role is
   missing, the targets that cannot be read are taken for missing too.  */
static void
update_applied (struct engine *engine,
                const struct reconciler_response *response)
{
  const char *last = response->last_id ? response->last_id : "";
  gboolean reset
      = strcmp (last, engine->last_id) != 0 && !is_own_order_id (engine, last);
  for (guint i = 0; i < engine->n; i++)
    {
      struct target *target = &engine->targets[i];
      if (!is_readable (target))
        continue;
      target->applied = is_reported (target, response);
      reset |= !target->applied;
    }
  for (guint i = 0; i < engine->n; i++)
    {
      struct target *target = &engine->targets[i];
      gboolean is_last_order
          = target->id[0] != '\0' && strcmp (target->id, last) == 0;
      if (!is_readable (target))
        target->applied = (is_last_order || target->applied) && !reset;
      if (is_last_order)
        engine->delivered_by = 0;
    }
  g_strlcpy (engine->last_id, last, sizeof engine->last_id);
}

/* Returns the index of the target to order next, readable ones first, or
   engine->n if none is missing.  */
static guint
first_missing (const struct engine *engine)
{
  guint first = engine->n;
  for (guint i = engine->n; i-- > 0;)
    {
      const struct target *target = &engine->targets[i];
      if (!target->applied
          && (first == engine->n || is_readable (target)
              || !is_readable (&engine->targets[first])))
        first = i;
    }
  return first;
}

/* ENGINE lacks target I: orders it, or continues reading if the engine has
   accepted the order and is not done yet.  */
static void
handle_missing (struct reconciler *reconciler, struct engine *engine, guint i)
{
  struct target *target = &engine->targets[i];
  engine->settled = FALSE;
  gboolean accepted
      = target->id[0] != '\0' && strcmp (target->id, engine->last_id) == 0;
  if (accepted && engine->failures < APPLY_READS_MAX)
    {
      back_off (reconciler, engine);
      return;
    }
  if (accepted)
    target->id[0] = '\0';
  engine->failures = 0;
  engine->current = i;
  engine->next_call_at = clk_now (reconciler->options.clk);
  step (reconciler, engine, EVENT_ORDER);
}

static void
read_done (struct reconciler *reconciler, struct engine *engine,
           const struct reconciler_response *response)
{
  gint64 now = clk_now (reconciler->options.clk);
  if (response->code != 0)
    {
      back_off (reconciler, engine);
      return;
    }
  if (response->fence > engine->open_fence)
    {
      on_superseded (reconciler, engine, response->fence);
      return;
    }
  update_applied (engine, response);
  guint missing = first_missing (engine);
  if (missing < engine->n)
    {
      handle_missing (reconciler, engine, missing);
      return;
    }
  engine->failures = 0;
  engine->settled = TRUE;
  engine->next_call_at = now + RECONCILER_REREAD_US;
  step (reconciler, engine, EVENT_SETTLED);
}

/* Handles the response to an order. Reading the engine then shows whether it
   was applied.  */
static void
order_done (struct reconciler *reconciler, struct engine *engine,
            const struct reconciler_response *response)
{
  struct target *target = &engine->targets[engine->current];
  switch (response->code)
    {
    case 0:
      engine->failures = 0;
      engine->delivered_by = 0;
      engine->next_call_at = clk_now (reconciler->options.clk);
      if (!engine->targets_changed && !is_readable (target))
        {
          target->applied = TRUE;
          g_strlcpy (engine->last_id, target->id, sizeof engine->last_id);
        }
      break;
    case ERR_CONFLICT:
      engine->delivered_by = 0;
      on_superseded (reconciler, engine, response->fence);
      return;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
      engine->delivered_by = 0;
      back_off (reconciler, engine);
      break;
    default:
      back_off (reconciler, engine);
      break;
    }
  step (reconciler, engine, EVENT_READ);
}

/* Handles the response to the call TOKEN; unknown tokens are ignored.  */
void
reconciler_response (struct reconciler *reconciler, guint64 token,
                     const struct reconciler_response *response)
{
  for (guint i = 0; token && i < reconciler->engines->len; i++)
    {
      struct engine *engine = g_ptr_array_index (reconciler->engines, i);
      if (engine->open_token != token)
        continue;
      engine->open_token = 0;
      reconciler->open_calls--;
      if (engine->open_is_post)
        order_done (reconciler, engine, response);
      else
        read_done (reconciler, engine, response);
      reconciler_tick (reconciler);
      return;
    }
}

void
reconciler_tick (struct reconciler *reconciler)
{
  guint n = reconciler->engines->len;
  for (guint i = 0; i < n && reconciler->open_calls < RECONCILER_CALLS_MAX; i++)
    start_next (reconciler,
                g_ptr_array_index (reconciler->engines,
                                   (reconciler->next_engine + i) % n));
  reconciler->next_engine = n ? (reconciler->next_engine + 1) % n : 0;
}

gboolean
reconciler_settled (const struct reconciler *reconciler, const char *backend)
{
  const struct engine *engine = find_engine (reconciler, backend);
  return engine && engine->settled;
}

static void
dump_targets (const struct engine *engine, JsonBuilder *json)
{
  json_builder_begin_array (json);
  for (guint i = 0; i < engine->n; i++)
    {
      const struct target *target = &engine->targets[i];
      json_builder_begin_object (json);
      json_add_str (json, "kind", reconciler_kind_name (target->spec.kind));
      json_add_str (json, "name", target->spec.name.s);
      json_add_bool (json, "applied", target->applied);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

/* Adds an array with each engine's state to JSON: its targets, and whether it
   had them when its state was last read.  */
void
reconciler_dump (const struct reconciler *reconciler, JsonBuilder *json)
{
  json_builder_begin_array (json);
  for (guint i = 0; i < reconciler->engines->len; i++)
    {
      const struct engine *engine = g_ptr_array_index (reconciler->engines, i);
      json_builder_begin_object (json);
      json_add_str (json, "backend", engine->backend.s);
      json_add_str (json, "state", state_names[engine->state]);
      json_add_bool (json, "settled", engine->settled);
      json_builder_set_member_name (json, "wants");
      dump_targets (engine, json);
      json_add_str (json, "last_id", engine->last_id);
      json_add_int (json, "newest_fence", (gint64)engine->newest_fence);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
