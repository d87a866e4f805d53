#include "lease/ord.h"
#include "base/json_add.h"

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
  ORD_STATES (STATE_NAME)
#undef STATE_NAME
};

static const char *const event_names[] = {
#define EVENT_NAME(id, name) name,
  EVENTS (EVENT_NAME)
#undef EVENT_NAME
};

struct want
{
  struct ord_want want;
  gboolean applied;    /* as far as is known */
  char id[ORD_ID_MAX]; /* of its order; "": none sent under FENCE */
  guint64 fence;       /* of the id */
};

struct engine
{
  struct str_id backend;
  gboolean checks_fence;
  struct want wants[ORD_WANTS_MAX];
  guint n;
  enum ord_state state;
  guint current; /* want that is being ordered */
  guint64 open;  /* token of the open call; 0: none */
  gboolean open_post;
  guint64 open_fence;          /* of the open call */
  gboolean changed;            /* the wants changed while the call was open */
  gboolean settled;            /* the last read showed all wants */
  gint64 next_at;              /* of the next call */
  gint64 landed_at;            /* by then an order without answer has landed */
  char unanswered[ORD_ID_MAX]; /* id of that order */
  char last_id[ORD_ID_MAX];    /* the engine's, as read */
  guint64 newest;              /* fencing number that outranked ours */
  guint failures;              /* in a row */
};

struct ord
{
  struct ord_options options;
  GRand *rand;
  GPtrArray *engines; /* struct engine, owned */
  guint64 last_token;
  guint64 last_order; /* number of the last id */
  guint open;         /* calls */
  guint turn;         /* engine that is served first */
};

const char *
ord_kind_name (enum ord_kind kind)
{
  static const char *const names[] = {
#define KIND_NAME(id, name) name,
    ORD_KINDS (KIND_NAME)
#undef KIND_NAME
  };
  return kind < G_N_ELEMENTS (names) ? names[kind] : "?";
}

int
ord_chart_load (const char *folder, struct statechart **chart, struct err *err)
{
  static const struct statechart_binding binding
      = { state_names, ORD_STATE_N, event_names, EVENT_N };
  char *path = g_build_filename (folder, "order.chart", NULL);
  int r = statechart_load (path, &binding, chart, err);
  g_free (path);
  return r;
}

/* Returns a sender of orders that the caller frees by ord_free.  */
struct ord *
ord_new (const struct ord_options *options)
{
  struct ord *ord = g_new0 (struct ord, 1);
  ord->options = *options;
  ord->rand = g_rand_new_with_seed (options->seed);
  ord->engines = g_ptr_array_new_with_free_func (g_free);
  return ord;
}

void
ord_free (struct ord *ord)
{
  if (!ord)
    return;
  g_ptr_array_unref (ord->engines);
  g_rand_free (ord->rand);
  g_free (ord);
}

/* Moves ENGINE on by EVENT; one that the state does not take is ignored.  */
static void
step (const struct ord *ord, struct engine *engine, enum event event)
{
  int next
      = statechart_next (ord->options.chart, (int)engine->state, (int)event);
  if (next != STATECHART_NONE)
    engine->state = (enum ord_state)next;
}

static struct engine *
find (const struct ord *ord, const char *backend)
{
  for (guint i = 0; i < ord->engines->len; i++)
    {
      struct engine *engine = g_ptr_array_index (ord->engines, i);
      if (strcmp (engine->backend.s, backend) == 0)
        return engine;
    }
  return NULL;
}

static struct engine *
obtain (struct ord *ord, const char *backend)
{
  struct engine *engine = find (ord, backend);
  if (engine)
    return engine;
  engine = g_new0 (struct engine, 1);
  str_id_set (&engine->backend, str_of (backend));
  engine->state = (enum ord_state)statechart_initial (ord->options.chart);
  engine->next_at = clk_now (ord->options.clk);
  g_ptr_array_add (ord->engines, engine);
  return engine;
}

static const struct want *
find_want (const struct want *wants, guint n, const struct ord_want *want)
{
  for (guint i = 0; i < n; i++)
    if (wants[i].want.kind == want->kind
        && strcmp (wants[i].want.name.s, want->name.s) == 0)
      return &wants[i];
  return NULL;
}

int
ord_set (struct ord *ord, const char *backend, gboolean checks_fence,
         const struct ord_want *wants, guint n)
{
  if (n > ORD_WANTS_MAX)
    return ERR_LIMIT;
  struct engine *engine = obtain (ord, backend);
  struct want next[ORD_WANTS_MAX] = { 0 };
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
  step (ord, engine, EVENT_ASK);
  engine->next_at = MIN (engine->next_at, clk_now (ord->options.clk));
  return 0;
}

void
ord_forget (struct ord *ord, const char *backend)
{
  struct engine *engine = find (ord, backend);
  if (!engine)
    return;
  ord->open -= engine->open != 0;
  g_ptr_array_remove (ord->engines, engine);
}

static void
start (struct ord *ord, struct engine *engine, struct ord_call *call)
{
  call->backend = engine->backend;
  call->timeout_us = LSE_ORDER_FLIGHT_US;
  engine->open = ++ord->last_token;
  engine->open_post = call->post;
  engine->open_fence = call->fence;
  engine->changed = FALSE;
  ord->open++;
  ord->options.call (ord->options.ctx, engine->open, call);
}

/* Sends the order that ENGINE lacks, unless another one without answer may
   yet land.  */
static void
send_order (struct ord *ord, struct engine *engine, guint64 fence)
{
  struct want *want = &engine->wants[engine->current];
  gint64 now = clk_now (ord->options.clk);
  if (want->id[0] == '\0' || want->fence != fence)
    {
      want->fence = fence;
      g_snprintf (want->id, sizeof want->id,
                  "%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, fence,
                  ++ord->last_order);
    }
  if (now < engine->landed_at && strcmp (engine->unanswered, want->id) != 0)
    return;
  struct ord_call call = { .post = TRUE,
                           .fence = fence,
                           .kind = want->want.kind,
                           .name = want->want.name };
  g_strlcpy (call.id, want->id, sizeof call.id);
  g_strlcpy (engine->unanswered, want->id, sizeof engine->unanswered);
  engine->landed_at = now + LSE_ORDER_FLIGHT_US + LSE_MARGIN_US;
  start (ord, engine, &call);
}

static void
serve (struct ord *ord, struct engine *engine)
{
  guint64 fence = lse_order_fence (ord->options.lse, engine->checks_fence);
  struct ord_call read = { .post = FALSE, .fence = fence };
  if (fence == 0 || engine->open != 0
      || clk_now (ord->options.clk) < engine->next_at)
    return;
  if (engine->state == ORD_OUTRANKED && fence <= engine->newest)
    return;
  if (engine->state == ORD_OUTRANKED || engine->state == ORD_SETTLED)
    step (ord, engine, EVENT_ASK);
  if (engine->state == ORD_ORDERING)
    send_order (ord, engine, fence);
  else
    start (ord, engine, &read);
}

static void
back_off (struct ord *ord, struct engine *engine)
{
  gint64 wait = BACKOFF_MIN_US << MIN (engine->failures, BACKOFF_DOUBLINGS);
  engine->failures++;
  engine->next_at = clk_now (ord->options.clk) + wait / 2
                    + (gint64)(g_rand_double (ord->rand) * (double)wait);
}

/* The engine knows fencing number NEWEST, which is above ours.  */
static void
outrank (struct ord *ord, struct engine *engine, guint64 newest)
{
  engine->newest = newest;
  step (ord, engine, EVENT_OUTRANKED);
  back_off (ord, engine);
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
  return want->want.kind == ORD_LOAD_MODEL || want->want.kind == ORD_SET_ROLE;
}

static gboolean
is_shown (const struct want *want, const struct ord_answer *answer)
{
  if (want->want.kind == ORD_SET_ROLE)
    return g_strcmp0 (answer->role, want->want.name.s) == 0;
  return answer->models && g_strv_contains (answer->models, want->want.name.s);
}

/* Updates from ENGINE's own words what it has. A last id that is not ours, or
   a model or role that is missing, says that what cannot be read may be
   missing too.  */
static void
compare (struct engine *engine, const struct ord_answer *answer)
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
order (struct ord *ord, struct engine *engine, guint i)
{
  struct want *want = &engine->wants[i];
  engine->settled = FALSE;
  gboolean taken
      = want->id[0] != '\0' && strcmp (want->id, engine->last_id) == 0;
  if (taken && engine->failures < PATIENCE)
    {
      back_off (ord, engine);
      return;
    }
  if (taken)
    want->id[0] = '\0';
  engine->failures = 0;
  engine->current = i;
  engine->next_at = clk_now (ord->options.clk);
  step (ord, engine, EVENT_ORDER);
}

static void
got_read (struct ord *ord, struct engine *engine,
          const struct ord_answer *answer)
{
  gint64 now = clk_now (ord->options.clk);
  if (answer->code != 0)
    {
      back_off (ord, engine);
      return;
    }
  if (answer->fence > engine->open_fence)
    {
      outrank (ord, engine, answer->fence);
      return;
    }
  compare (engine, answer);
  guint missing = first_missing (engine);
  if (missing < engine->n)
    {
      order (ord, engine, missing);
      return;
    }
  engine->failures = 0;
  engine->settled = TRUE;
  engine->next_at = now + ORD_REREAD_US;
  step (ord, engine, EVENT_SETTLED);
}

/* Takes the answer to an order; reading back tells whether it was applied.  */
static void
got_order (struct ord *ord, struct engine *engine,
           const struct ord_answer *answer)
{
  struct want *want = &engine->wants[engine->current];
  switch (answer->code)
    {
    case 0:
      engine->failures = 0;
      engine->landed_at = 0;
      engine->next_at = clk_now (ord->options.clk);
      if (!engine->changed && !is_readable (want))
        {
          want->applied = TRUE;
          g_strlcpy (engine->last_id, want->id, sizeof engine->last_id);
        }
      break;
    case ERR_CONFLICT:
      engine->landed_at = 0;
      outrank (ord, engine, answer->fence);
      return;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
      engine->landed_at = 0;
      back_off (ord, engine);
      break;
    default:
      back_off (ord, engine);
      break;
    }
  step (ord, engine, EVENT_ASK);
}

/* Takes the answer to the call TOKEN; unknown ones are ignored.  */
void
ord_answer (struct ord *ord, guint64 token, const struct ord_answer *answer)
{
  for (guint i = 0; token && i < ord->engines->len; i++)
    {
      struct engine *engine = g_ptr_array_index (ord->engines, i);
      if (engine->open != token)
        continue;
      engine->open = 0;
      ord->open--;
      if (engine->open_post)
        got_order (ord, engine, answer);
      else
        got_read (ord, engine, answer);
      ord_tick (ord);
      return;
    }
}

void
ord_tick (struct ord *ord)
{
  guint n = ord->engines->len;
  for (guint i = 0; i < n && ord->open < ORD_OPEN_MAX; i++)
    serve (ord, g_ptr_array_index (ord->engines, (ord->turn + i) % n));
  ord->turn = n ? (ord->turn + 1) % n : 0;
}

gboolean
ord_settled (const struct ord *ord, const char *backend)
{
  const struct engine *engine = find (ord, backend);
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
      json_add_str (json, "kind", ord_kind_name (want->want.kind));
      json_add_str (json, "name", want->want.name.s);
      json_add_bool (json, "applied", want->applied);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

/* Adds an array with each engine's state to JSON: what it should have, and
   whether it was seen to have it when its state was last read.  */
void
ord_dump (const struct ord *ord, JsonBuilder *json)
{
  json_builder_begin_array (json);
  for (guint i = 0; i < ord->engines->len; i++)
    {
      const struct engine *engine = g_ptr_array_index (ord->engines, i);
      json_builder_begin_object (json);
      json_add_str (json, "backend", engine->backend.s);
      json_add_str (json, "state", state_names[engine->state]);
      json_add_bool (json, "settled", engine->settled);
      json_builder_set_member_name (json, "wants");
      dump_wants (engine, json);
      json_add_str (json, "last_id", engine->last_id);
      json_add_int (json, "newest_fence", (gint64)engine->newest);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
