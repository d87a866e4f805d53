#include "lease/lse.h"
#include "base/json_add.h"

#include <string.h>

#define GROUP "lease"
#define JITTER_US (500 * CLK_MS) /* before a free lease is taken, at most */
#define BACKOFF_MIN_US (100 * CLK_MS)
#define BACKOFF_DOUBLINGS 5             /* at most */
#define RETRY_AFTER_MAX_US (10 * CLK_S) /* longer advice is cut */

/* Events of charts/lease.chart. X (NAME, "name") */
#define EVENTS(X)                                                              \
  X (WANT, "want")                                                             \
  X (UNWANT, "unwant")                                                         \
  X (TAKEN, "taken")                                                           \
  X (FREE, "free")                                                             \
  X (WON, "won")                                                               \
  X (LOST, "lost")                                                             \
  X (RETRY, "retry")                                                           \
  X (DONE, "done")

enum event
{
#define EVENT_ENUM(id, name) EVENT_##id,
  EVENTS (EVENT_ENUM)
#undef EVENT_ENUM
      EVENT_N
};

static const char *const state_names[] = {
#define STATE_NAME(id, name) name,
  LSE_STATES (STATE_NAME)
#undef STATE_NAME
};

static const char *const event_names[] = {
#define EVENT_NAME(id, name) name,
  EVENTS (EVENT_NAME)
#undef EVENT_NAME
};

struct lse
{
  const struct clk *clk;
  const struct statechart *chart;
  GRand *rand;
  struct str_id self;
  guint64 incarnation;
  char *object;
  void (*store) (void *ctx, guint64 token, const struct sto_call *call);
  void *ctx;
  enum lse_state state;
  gboolean wanted;
  guint64 last_token;
  guint64 open;        /* token of the open call; 0: none */
  gboolean open_put;   /* it is a write */
  gint64 sent_at;      /* of the open call */
  guint64 version;     /* seen last; 0: not there */
  gint64 seen_at;      /* when VERSION was seen first */
  gint64 open_since;   /* first write for VERSION without answer; 0: none */
  gboolean unsure;     /* read before the next write */
  gboolean ever_there; /* the object was seen */
  guint64 fence;       /* while HELD */
  gint64 held_at;      /* acquisition */
  gint64 valid_until;  /* while HELD */
  gint64 next_at;      /* of the next call */
  guint failures;      /* in a row */
};

/* Who holds the object, as it says. */
struct content
{
  gboolean mine;
  gboolean released;
};

int
lse_chart_load (const char *folder, struct statechart **chart, struct err *err)
{
  static const struct statechart_binding binding
      = { state_names, LSE_STATE_N, event_names, EVENT_N };
  char *path = g_build_filename (folder, "lease.chart", NULL);
  int r = statechart_load (path, &binding, chart, err);
  g_free (path);
  return r;
}

/* Returns a lease that is not wanted yet; the caller frees it by
   lse_free.  */
struct lse *
lse_new (const struct lse_options *options)
{
  struct lse *lse = g_new0 (struct lse, 1);
  lse->clk = options->clk;
  lse->chart = options->chart;
  lse->rand = g_rand_new_with_seed (options->seed);
  lse->self = options->self;
  lse->incarnation = options->incarnation;
  lse->object = g_strdup (options->object);
  lse->store = options->store;
  lse->ctx = options->ctx;
  lse->state = (enum lse_state)statechart_initial (options->chart);
  return lse;
}

void
lse_free (struct lse *lse)
{
  if (!lse)
    return;
  g_rand_free (lse->rand);
  g_free (lse->object);
  g_free (lse);
}

/* Moves on by EVENT; one that the state does not take is ignored.  */
static void
step (struct lse *lse, enum event event)
{
  int next = statechart_next (lse->chart, (int)lse->state, (int)event);
  if (next != STATECHART_NONE)
    lse->state = (enum lse_state)next;
}

/* Returns the object's value: INI, group "lease".  */
static GBytes *
encode (const struct lse *lse, gboolean released)
{
  GKeyFile *file = g_key_file_new ();
  gsize n;
  g_key_file_set_string (file, GROUP, "holder", lse->self.s);
  g_key_file_set_uint64 (file, GROUP, "incarnation", lse->incarnation);
  g_key_file_set_boolean (file, GROUP, "released", released);
  char *text = g_key_file_to_data (file, &n, NULL);
  g_key_file_unref (file);
  return g_bytes_new_take (text, n);
}

/* Reads BODY. What cannot be read is another's.  */
static struct content
decode (const struct lse *lse, GBytes *body)
{
  struct content content = { FALSE, FALSE };
  GKeyFile *file = g_key_file_new ();
  gsize n = 0;
  const char *p = body ? g_bytes_get_data (body, &n) : NULL;
  if (p && g_key_file_load_from_data (file, p, n, G_KEY_FILE_NONE, NULL))
    {
      char *holder = g_key_file_get_string (file, GROUP, "holder", NULL);
      guint64 incarnation
          = g_key_file_get_uint64 (file, GROUP, "incarnation", NULL);
      content.released = g_key_file_get_boolean (file, GROUP, "released", NULL);
      content.mine = g_strcmp0 (holder, lse->self.s) == 0
                     && incarnation == lse->incarnation;
      g_free (holder);
    }
  g_key_file_unref (file);
  return content;
}

static void
start (struct lse *lse, GBytes *body)
{
  struct sto_call call = { .op = body ? STO_PUT : STO_GET,
                           .expected = lse->version,
                           .body = body,
                           .timeout_us = LSE_CALL_US };
  g_strlcpy (call.name, lse->object, sizeof call.name);
  lse->open = ++lse->last_token;
  lse->open_put = body != NULL;
  lse->sent_at = clk_now (lse->clk);
  lse->store (lse->ctx, lse->open, &call);
}

static void
write_object (struct lse *lse, gboolean released)
{
  GBytes *body = encode (lse, released);
  start (lse, body);
  g_bytes_unref (body);
}

static gint64
jitter (struct lse *lse, gint64 max)
{
  return (gint64)(g_rand_double (lse->rand) * (double)max);
}

/* Puts the next call off after a failure.  */
static void
back_off (struct lse *lse, const struct sto_answer *answer)
{
  gint64 wait = BACKOFF_MIN_US << MIN (lse->failures, BACKOFF_DOUBLINGS);
  wait = wait / 2 + jitter (lse, wait);
  wait = MAX (wait, MIN (answer->retry_after_us, RETRY_AFTER_MAX_US));
  lse->failures++;
  lse->next_at = clk_now (lse->clk) + wait;
}

/* Notes the object's VERSION. Writes that expected an older one can no longer
   take effect.  */
static void
see (struct lse *lse, guint64 version)
{
  if (version == lse->version && lse->seen_at != 0)
    return;
  lse->version = version;
  lse->ever_there |= version != 0;
  lse->seen_at = clk_now (lse->clk);
  lse->open_since = 0;
}

/* The object is this instance's by a write sent at SENT.  */
static void
hold (struct lse *lse, gint64 sent)
{
  gint64 until = sent + LSE_TERM_US;
  if (lse->state != LSE_HELD)
    {
      lse->fence = lse->version;
      lse->held_at = clk_now (lse->clk);
    }
  lse->valid_until = until;
  lse->next_at = sent + LSE_RENEW_US;
  step (lse, EVENT_WON);
}

static void
lose (struct lse *lse)
{
  lse->fence = 0;
  lse->next_at = clk_now (lse->clk);
  step (lse, EVENT_LOST);
}

/* Another holds the object, or did.  */
static void
wait_for_term (struct lse *lse, const struct content *content)
{
  gint64 now = clk_now (lse->clk);
  gint64 over = lse->seen_at + LSE_TERM_US + LSE_MARGIN_US;
  if (lse->state == LSE_HELD)
    lose (lse);
  if (!lse->ever_there || content->released || content->mine || now >= over)
    {
      lse->next_at = now + (content->mine ? 0 : jitter (lse, JITTER_US));
      step (lse, EVENT_FREE);
      return;
    }
  lse->next_at = MIN (now + LSE_RENEW_US, over) + jitter (lse, JITTER_US);
  step (lse, EVENT_TAKEN);
}

/* Takes what reading gave: the object, or that it is not there.  */
static void
take_read (struct lse *lse, const struct sto_answer *answer)
{
  struct content content = { FALSE, FALSE };
  gint64 since = lse->open_since;
  guint64 version = answer->code == 0 ? answer->version : 0;
  gboolean moved = version != lse->version;
  if (answer->code == 0)
    content = decode (lse, answer->body);
  see (lse, version);
  if (!moved && lse->state == LSE_HELD)
    lse->next_at = clk_now (lse->clk);
  else if (moved && content.mine && !content.released && since != 0
           && clk_now (lse->clk) < since + LSE_TERM_US)
    hold (lse, since);
  else
    wait_for_term (lse, &content);
}

static void
got_read (struct lse *lse, const struct sto_answer *answer)
{
  if (answer->code == 0 || answer->code == ERR_NOT_FOUND)
    {
      lse->failures = 0;
      lse->unsure = FALSE;
      take_read (lse, answer);
    }
  else
    back_off (lse, answer);
}

/* A write failed: another's came first, nothing changed, or it may yet take
   effect. All but the second are settled by reading.  */
static void
write_failed (struct lse *lse, const struct sto_answer *answer)
{
  switch (answer->code)
    {
    case ERR_CONFLICT:
      lse->next_at = clk_now (lse->clk);
      lse->unsure = TRUE;
      if (lse->state == LSE_HELD && lse->open_since == 0)
        lose (lse);
      break;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
    case ERR_INVALID:
    case ERR_AUTH:
    case ERR_TOO_LARGE:
      back_off (lse, answer);
      break;
    default:
      if (lse->open_since == 0)
        lse->open_since = lse->sent_at;
      lse->unsure = TRUE;
      back_off (lse, answer);
      break;
    }
  step (lse, EVENT_RETRY);
}

static void
got_write (struct lse *lse, const struct sto_answer *answer)
{
  gint64 sent = lse->sent_at;
  if (lse->state == LSE_RELEASING)
    {
      lse->seen_at = 0;
      step (lse, EVENT_DONE);
    }
  else if (answer->code == 0)
    {
      lse->failures = 0;
      see (lse, answer->version);
      hold (lse, sent);
    }
  else
    write_failed (lse, answer);
}

/* Takes the answer to the store call TOKEN; unknown ones are ignored.  */
void
lse_answer (struct lse *lse, guint64 token, const struct sto_answer *answer)
{
  if (token == 0 || token != lse->open)
    return;
  lse->open = 0;
  if (lse->open_put)
    got_write (lse, answer);
  else
    got_read (lse, answer);
  lse_tick (lse);
}

void
lse_want (struct lse *lse, gboolean want)
{
  lse->wanted = want;
  lse_tick (lse);
}

/* Starts the call that the state asks for. A holder whose write had no answer
   reads first, to learn whether it took effect.  */
static void
act (struct lse *lse)
{
  switch (lse->state)
    {
    case LSE_LOOKING:
    case LSE_WAITING:
      start (lse, NULL);
      break;
    case LSE_TAKING:
      write_object (lse, FALSE);
      break;
    case LSE_HELD:
      if (lse->unsure)
        start (lse, NULL);
      else
        write_object (lse, FALSE);
      break;
    case LSE_RELEASING:
      write_object (lse, TRUE);
      break;
    default:
      break;
    }
}

void
lse_tick (struct lse *lse)
{
  gint64 now = clk_now (lse->clk);
  if (lse->state == LSE_HELD && now >= lse->valid_until)
    lose (lse);
  if (lse->open != 0)
    return;
  enum lse_state before = lse->state;
  if (lse->state == LSE_HELD && !lse->wanted)
    lse->fence = 0;
  step (lse, lse->wanted ? EVENT_WANT : EVENT_UNWANT);
  if (lse->state != before)
    lse->next_at = now;
  if (now >= lse->next_at)
    act (lse);
}

guint64
lse_order_fence (const struct lse *lse, gboolean checks_fence)
{
  gint64 now = clk_now (lse->clk);
  gint64 landing = LSE_ORDER_FLIGHT_US + LSE_MARGIN_US;
  if (lse->state != LSE_HELD || !lse->wanted
      || lse->valid_until - now <= landing)
    return 0;
  if (!checks_fence && now - lse->held_at < landing)
    return 0;
  return lse->fence;
}

enum lse_state
lse_state (const struct lse *lse)
{
  return lse->state;
}

/* Adds one object with the lease's state to JSON.  */
void
lse_dump (const struct lse *lse, JsonBuilder *json)
{
  gint64 left = lse->valid_until - clk_now (lse->clk);
  json_builder_begin_object (json);
  json_add_str (json, "object", lse->object);
  json_add_str (json, "state", state_names[lse->state]);
  json_add_int (json, "version", (gint64)lse->version);
  json_add_int (json, "fence", (gint64)lse->fence);
  json_add_int (json, "left_ms", lse->state == LSE_HELD ? left / CLK_MS : 0);
  json_builder_end_object (json);
}
