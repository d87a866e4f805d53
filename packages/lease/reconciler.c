#include "lease/reconciler.h"
#include "base/jsb.h"

#include <string.h>

#define BACKOFF_MIN_US (200 * CLK_MS)
#define BACKOFF_DOUBLINGS 6 /* at most */
#define PATIENCE 8 /* reads without effect of an order that was taken */

/* Events of charts/order.chart. X (NAME, "name") */
#define EVENTS(X)                                                              \
  X (ASK, "ask")                                                               \
  X (ORDER, "order")                                                           \
  X (SETTLED, "settled")                                                       \
  X (OUTRANKED, "outranked")

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

struct want
{
  struct reconciler_target want;
  gboolean applied;           /* as far as is known */
  char id[RECONCILER_ID_MAX]; /* of its order; "": none sent under FENCE */
  guint64 fence;              /* of the id */
};

struct engine
{
  struct str_id backend;
  gboolean checks_fence;
  struct want wants[RECONCILER_TARGETS_MAX];
  guint n;
  enum reconciler_state state;
  guint current; /* want that is being ordered */
  guint64 open;  /* token of the open call; 0: none */
  gboolean open_post;
  guint64 open_fence; /* of the open call */
  gboolean changed;   /* the wants changed while the call was open */
  gboolean settled;   /* the last read showed all wants */
  gint64 next_at;     /* of the next call */
  gint64 landed_at;   /* by then an order without answer has landed */
  char unanswered[RECONCILER_ID_MAX]; /* id of that order */
  char last_id[RECONCILER_ID_MAX];    /* the engine's, as read */
  guint64 newest;                     /* fencing number that outranked ours */
  guint failures;                     /* in a row */
};

struct reconciler
{
  struct reconciler_options options;
  GRand *rand;
  GPtrArray *engines; /* struct engine, owned */
  guint64 last_token;
  guint64 last_order; /* number of the last id */
  guint open;         /* calls */
  guint turn;         /* engine that is served first */
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
reconciler_chart_load (const char *folder, struct chr **chart, struct err *err)
{
  static const struct chr_binding binding
      = { state_names, RECONCILER_STATE_N, event_names, EVENT_N };
  char *path = g_build_filename (folder, "order.chart", NULL);
  int r = chr_load (path, &binding, chart, err);
  g_free (path);
  return r;
}

/* Returns a sender of orders that the caller frees by reconciler_free.  */
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

/* Moves ENGINE on by EVENT; one that the state does not take is ignored.  */
static void
step (const struct reconciler *reconciler, struct engine *engine,
      enum event event)
{
  int next
      = chr_next (reconciler->options.chart, (int)engine->state, (int)event);
  if (next != CHR_NONE)
    engine->state = (enum reconciler_state)next;
}

static struct engine *
find (const struct reconciler *reconciler, const char *backend)
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
obtain (struct reconciler *reconciler, const char *backend)
{
  struct engine *engine = find (reconciler, backend);
  if (engine)
    return engine;
  engine = g_new0 (struct engine, 1);
  str_id_set (&engine->backend, str_of (backend));
  engine->state
      = (enum reconciler_state)chr_initial (reconciler->options.chart);
  engine->next_at = clk_now (reconciler->options.clk);
  g_ptr_array_add (reconciler->engines, engine);
  return engine;
}

static const struct want *
find_want (const struct want *wants, guint n,
           const struct reconciler_target *want)
{
  for (guint i = 0; i < n; i++)
    if (wants[i].want.kind == want->kind
        && strcmp (wants[i].want.name.s, want->name.s) == 0)
      return &wants[i];
  return NULL;
}

int
reconciler_set_targets (struct reconciler *reconciler, const char *backend,
                        gboolean checks_fence,
                        const struct reconciler_target *wants, guint n)
{
  if (n > RECONCILER_TARGETS_MAX)
    return ERR_LIMIT;
  struct engine *engine = obtain (reconciler, backend);
  struct want next[RECONCILER_TARGETS_MAX] = { 0 };
  gboolean changed = n != engine->n;
  for (guint i = 0; i < n; i++)
    {
      const struct want *old = find_want (engine->wants, engine->n, &wants[i]);
      if (old)
        next[i] = *old;
      else
        next[i].want = wants[i];
      changed |= !old;
    }
  engine->checks_fence = checks_fence;
  if (!changed)
    return 0;
  memcpy (engine->wants, next, sizeof next);
  engine->n = n;
  engine->changed = engine->open != 0;
  engine->settled = FALSE;
  step (reconciler, engine, EVENT_ASK);
  engine->next_at = MIN (engine->next_at, clk_now (reconciler->options.clk));
  return 0;
}

void
reconciler_remove (struct reconciler *reconciler, const char *backend)
{
  struct engine *engine = find (reconciler, backend);
  if (!engine)
    return;
  reconciler->open -= engine->open != 0;
  g_ptr_array_remove (reconciler->engines, engine);
}

static void
start (struct reconciler *reconciler, struct engine *engine,
       struct reconciler_request *call)
{
  call->backend = engine->backend;
  call->timeout_us = LEASE_ORDER_DELIVERY_MAX_US;
  engine->open = ++reconciler->last_token;
  engine->open_post = call->post;
  engine->open_fence = call->fence;
  engine->changed = FALSE;
  reconciler->open++;
  reconciler->options.call (reconciler->options.ctx, engine->open, call);
}

/* Sends the order that ENGINE lacks, unless another one without answer may
   yet land.  */
static void
send_order (struct reconciler *reconciler, struct engine *engine, guint64 fence)
{
  struct want *want = &engine->wants[engine->current];
  gint64 now = clk_now (reconciler->options.clk);
  if (want->id[0] == '\0' || want->fence != fence)
    {
      want->fence = fence;
      g_snprintf (want->id, sizeof want->id,
                  "%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, fence,
                  ++reconciler->last_order);
    }
  if (now < engine->landed_at && strcmp (engine->unanswered, want->id) != 0)
    return;
  struct reconciler_request call = { .post = TRUE,
                                     .fence = fence,
                                     .kind = want->want.kind,
                                     .name = want->want.name };
  g_strlcpy (call.id, want->id, sizeof call.id);
  g_strlcpy (engine->unanswered, want->id, sizeof engine->unanswered);
  engine->landed_at = now + LEASE_ORDER_DELIVERY_MAX_US + LEASE_CLOCK_MARGIN_US;
  start (reconciler, engine, &call);
}

static void
serve (struct reconciler *reconciler, struct engine *engine)
{
  guint64 fence = lease_order_fence (reconciler->options.lease_lock,
                                     engine->checks_fence);
  struct reconciler_request read = { .post = FALSE, .fence = fence };
  if (fence == 0 || engine->open != 0
      || clk_now (reconciler->options.clk) < engine->next_at)
    return;
  if (engine->state == RECONCILER_SUPERSEDED && fence <= engine->newest)
    return;
  if (engine->state == RECONCILER_SUPERSEDED
      || engine->state == RECONCILER_SETTLED)
    step (reconciler, engine, EVENT_ASK);
  if (engine->state == RECONCILER_ORDERING)
    send_order (reconciler, engine, fence);
  else
    start (reconciler, engine, &read);
}

static void
back_off (struct reconciler *reconciler, struct engine *engine)
{
  gint64 wait = BACKOFF_MIN_US << MIN (engine->failures, BACKOFF_DOUBLINGS);
  engine->failures++;
  engine->next_at = clk_now (reconciler->options.clk) + wait / 2
                    + (gint64)(g_rand_double (reconciler->rand) * (double)wait);
}

/* The engine knows fencing number NEWEST, which is above ours.  */
static void
outrank (struct reconciler *reconciler, struct engine *engine, guint64 newest)
{
  engine->newest = newest;
  step (reconciler, engine, EVENT_OUTRANKED);
  back_off (reconciler, engine);
}

static gboolean
is_own_id (const struct engine *engine, const char *id)
{
  for (guint i = 0; i < engine->n; i++)
    if (engine->wants[i].id[0] && strcmp (engine->wants[i].id, id) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
is_readable (const struct want *want)
{
  return want->want.kind == RECONCILER_LOAD_MODEL
         || want->want.kind == RECONCILER_SET_ROLE;
}

static gboolean
is_shown (const struct want *want, const struct reconciler_response *answer)
{
  if (want->want.kind == RECONCILER_SET_ROLE)
    return g_strcmp0 (answer->role, want->want.name.s) == 0;
  return answer->models && g_strv_contains (answer->models, want->want.name.s);
}

/* Updates from ENGINE's own words what it has. A last id that is not ours, or
   a model or role that is missing, says that what cannot be read may be
   missing too.  */
static void
compare (struct engine *engine, const struct reconciler_response *answer)
{
  const char *last = answer->last_id ? answer->last_id : "";
  gboolean reset
      = strcmp (last, engine->last_id) != 0 && !is_own_id (engine, last);
  for (guint i = 0; i < engine->n; i++)
    {
      struct want *want = &engine->wants[i];
      if (!is_readable (want))
        continue;
      want->applied = is_shown (want, answer);
      reset |= !want->applied;
    }
  for (guint i = 0; i < engine->n; i++)
    {
      struct want *want = &engine->wants[i];
      gboolean ours = want->id[0] != '\0' && strcmp (want->id, last) == 0;
      if (!is_readable (want))
        want->applied = (ours || want->applied) && !reset;
      if (ours)
        engine->landed_at = 0;
    }
  g_strlcpy (engine->last_id, last, sizeof engine->last_id);
}

/* Returns the want to order next, what can be read first; engine->n if none
   is missing.  */
static guint
first_missing (const struct engine *engine)
{
  guint first = engine->n;
  for (guint i = engine->n; i-- > 0;)
    {
      const struct want *want = &engine->wants[i];
      if (!want->applied
          && (first == engine->n || is_readable (want)
              || !is_readable (&engine->wants[first])))
        first = i;
    }
  return first;
}

/* ENGINE lacks want I: orders it, or goes on reading if the engine has taken
   the order and is not done.  */
static void
order (struct reconciler *reconciler, struct engine *engine, guint i)
{
  struct want *want = &engine->wants[i];
  engine->settled = FALSE;
  gboolean taken
      = want->id[0] != '\0' && strcmp (want->id, engine->last_id) == 0;
  if (taken && engine->failures < PATIENCE)
    {
      back_off (reconciler, engine);
      return;
    }
  if (taken)
    want->id[0] = '\0';
  engine->failures = 0;
  engine->current = i;
  engine->next_at = clk_now (reconciler->options.clk);
  step (reconciler, engine, EVENT_ORDER);
}

static void
got_read (struct reconciler *reconciler, struct engine *engine,
          const struct reconciler_response *answer)
{
  gint64 now = clk_now (reconciler->options.clk);
  if (answer->code != 0)
    {
      back_off (reconciler, engine);
      return;
    }
  if (answer->fence > engine->open_fence)
    {
      outrank (reconciler, engine, answer->fence);
      return;
    }
  compare (engine, answer);
  guint missing = first_missing (engine);
  if (missing < engine->n)
    {
      order (reconciler, engine, missing);
      return;
    }
  engine->failures = 0;
  engine->settled = TRUE;
  engine->next_at = now + RECONCILER_REREAD_US;
  step (reconciler, engine, EVENT_SETTLED);
}

/* Takes the answer to an order; reading back tells whether it was applied.  */
static void
got_order (struct reconciler *reconciler, struct engine *engine,
           const struct reconciler_response *answer)
{
  struct want *want = &engine->wants[engine->current];
  switch (answer->code)
    {
    case 0:
      engine->failures = 0;
      engine->landed_at = 0;
      engine->next_at = clk_now (reconciler->options.clk);
      if (!engine->changed && !is_readable (want))
        {
          want->applied = TRUE;
          g_strlcpy (engine->last_id, want->id, sizeof engine->last_id);
        }
      break;
    case ERR_CONFLICT:
      engine->landed_at = 0;
      outrank (reconciler, engine, answer->fence);
      return;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
      engine->landed_at = 0;
      back_off (reconciler, engine);
      break;
    default:
      back_off (reconciler, engine);
      break;
    }
  step (reconciler, engine, EVENT_ASK);
}

/* Takes the answer to the call TOKEN; unknown ones are ignored.  */
void
reconciler_response (struct reconciler *reconciler, guint64 token,
                     const struct reconciler_response *answer)
{
  for (guint i = 0; token && i < reconciler->engines->len; i++)
    {
      struct engine *engine = g_ptr_array_index (reconciler->engines, i);
      if (engine->open != token)
        continue;
      engine->open = 0;
      reconciler->open--;
      if (engine->open_post)
        got_order (reconciler, engine, answer);
      else
        got_read (reconciler, engine, answer);
      reconciler_tick (reconciler);
      return;
    }
}

void
reconciler_tick (struct reconciler *reconciler)
{
  guint n = reconciler->engines->len;
  for (guint i = 0; i < n && reconciler->open < RECONCILER_CALLS_MAX; i++)
    serve (reconciler,
           g_ptr_array_index (reconciler->engines, (reconciler->turn + i) % n));
  reconciler->turn = n ? (reconciler->turn + 1) % n : 0;
}

gboolean
reconciler_settled (const struct reconciler *reconciler, const char *backend)
{
  const struct engine *engine = find (reconciler, backend);
  return engine && engine->settled;
}

static void
dump_wants (const struct engine *engine, JsonBuilder *json)
{
  json_builder_begin_array (json);
  for (guint i = 0; i < engine->n; i++)
    {
      const struct want *want = &engine->wants[i];
      json_builder_begin_object (json);
      jsb_str (json, "kind", reconciler_kind_name (want->want.kind));
      jsb_str (json, "name", want->want.name.s);
      jsb_bool (json, "applied", want->applied);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

/* Adds an array with each engine's state to JSON: what it should have, and
   whether it was seen to have it when its state was last read.  */
void
reconciler_dump (const struct reconciler *reconciler, JsonBuilder *json)
{
  json_builder_begin_array (json);
  for (guint i = 0; i < reconciler->engines->len; i++)
    {
      const struct engine *engine = g_ptr_array_index (reconciler->engines, i);
      json_builder_begin_object (json);
      jsb_str (json, "backend", engine->backend.s);
      jsb_str (json, "state", state_names[engine->state]);
      jsb_bool (json, "settled", engine->settled);
      json_builder_set_member_name (json, "wants");
      dump_wants (engine, json);
      jsb_str (json, "last_id", engine->last_id);
      jsb_int (json, "newest_fence", (gint64)engine->newest);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
