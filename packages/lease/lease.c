#include "lease/lease.h"
#include "base/json_add.h"

#include <string.h>

#define GROUP "lease"
/* Longest random wait before a free lease is acquired. */
#define ACQUIRE_JITTER_MAX_US (500 * CLK_MS)
#define RETRY_DELAY_MIN_US (100 * CLK_MS)
#define RETRY_DOUBLINGS_MAX 5
#define RETRY_AFTER_MAX_US (10 * CLK_S) /* longer values are cut */

/* Events of charts/lease.chart. X (NAME, "name") */
#define EVENTS(X)                                                              \
  X (WANT, "want")                                                             \
  X (UNWANT, "unwant")                                                         \
  X (HELD_BY_OTHER, "taken")                                                   \
  X (FREE, "free")                                                             \
  X (ACQUIRED, "won")                                                          \
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
  LEASE_STATES (STATE_NAME)
#undef STATE_NAME
};

static const char *const event_names[] = {
#define EVENT_NAME(id, name) name,
  EVENTS (EVENT_NAME)
#undef EVENT_NAME
};

struct lease_lock
{
  const struct clk *clk;
  const struct statechart *chart;
  GRand *rand;
  struct str_id self;
  guint64 incarnation;
  char *object;
  void (*start_request) (void *ctx, guint64 token,
                         const struct storage_request *request);
  void *ctx;
  enum lease_state state;
  gboolean wanted;
  guint64 last_token;
  guint64 open_token; /* of the open request; 0: none */
  gboolean open_is_write;
  gint64 request_sent_at; /* of the open request */
  guint64 version;        /* of the object when read or written last; 0: none */
  gint64 version_seen_at; /* when VERSION was first seen; 0: not yet */
  /* When the first write that expects VERSION and has had no response was sent;
     0: none. */
  gint64 unconfirmed_since;
  gboolean read_first;  /* read the object before the next write */
  gboolean object_seen; /* the object was there at least once */
  guint64 fence;        /* while HELD */
  gint64 acquired_at;   /* while HELD */
  gint64 valid_until;   /* while HELD */
  gint64 next_call_at;  /* of the next request */
  guint failures;       /* in a row */
};

/* What the object says of its holder. */
struct lease_content
{
  gboolean is_own;
  gboolean released;
};

int
lease_chart_load (const char *folder, struct statechart **chart,
                  struct err *err)
{
  static const struct statechart_binding binding
      = { state_names, LEASE_STATE_N, event_names, EVENT_N };
  char *path = g_build_filename (folder, "lease.chart", NULL);
  int r = statechart_load (path, &binding, chart, err);
  g_free (path);
  return r;
}

/* Returns a lease in the state "idle" that the caller frees by lease_free.  */
struct lease_lock *
lease_new (const struct lease_options *options)
{
  struct lease_lock *lock = g_new0 (struct lease_lock, 1);
  lock->clk = options->clk;
  lock->chart = options->chart;
  lock->rand = g_rand_new_with_seed (options->seed);
  lock->self = options->self;
  lock->incarnation = options->incarnation;
  lock->object = g_strdup (options->object);
  lock->start_request = options->start_request;
  lock->ctx = options->ctx;
  lock->state = (enum lease_state)statechart_initial (options->chart);
  return lock;
}

void
lease_free (struct lease_lock *lock)
{
  if (!lock)
    return;
  g_rand_free (lock->rand);
  g_free (lock->object);
  g_free (lock);
}

/* Applies EVENT to the state machine. An event without a transition from the
   current state is ignored.  */
static void
step (struct lease_lock *lock, enum event event)
{
  int next = statechart_next (lock->chart, (int)lock->state, (int)event);
  if (next != STATECHART_NONE)
    lock->state = (enum lease_state)next;
}

/* Returns the object's value (INI, group "lease"); the caller unrefs it.  */
static GBytes *
encode (const struct lease_lock *lock, gboolean released)
{
  GKeyFile *file = g_key_file_new ();
  gsize n;
  g_key_file_set_string (file, GROUP, "holder", lock->self.s);
  g_key_file_set_uint64 (file, GROUP, "incarnation", lock->incarnation);
  g_key_file_set_boolean (file, GROUP, "released", released);
  char *text = g_key_file_to_data (file, &n, NULL);
  g_key_file_unref (file);
  return g_bytes_new_take (text, n);
}

/* Decodes BODY. An unreadable value counts as another instance's lease.  */
static struct lease_content
decode (const struct lease_lock *lock, GBytes *body)
{
  struct lease_content content = { FALSE, FALSE };
  GKeyFile *file = g_key_file_new ();
  gsize n = 0;
  const char *p = body ? g_bytes_get_data (body, &n) : NULL;
  if (p && g_key_file_load_from_data (file, p, n, G_KEY_FILE_NONE, NULL))
    {
      char *holder = g_key_file_get_string (file, GROUP, "holder", NULL);
      guint64 incarnation
          = g_key_file_get_uint64 (file, GROUP, "incarnation", NULL);
      content.released = g_key_file_get_boolean (file, GROUP, "released", NULL);
      content.is_own = g_strcmp0 (holder, lock->self.s) == 0
                       && incarnation == lock->incarnation;
      g_free (holder);
    }
  g_key_file_unref (file);
  return content;
}

static void
start_call (struct lease_lock *lock, GBytes *body)
{
  struct storage_request request = { .op = body ? STORAGE_PUT : STORAGE_GET,
                                     .expected = lock->version,
                                     .body = body,
                                     .timeout_us = LEASE_STORE_TIMEOUT_US };
  g_strlcpy (request.name, lock->object, sizeof request.name);
  lock->open_token = ++lock->last_token;
  lock->open_is_write = body != NULL;
  lock->request_sent_at = clk_now (lock->clk);
  lock->start_request (lock->ctx, lock->open_token, &request);
}

static void
write_object (struct lease_lock *lock, gboolean released)
{
  GBytes *body = encode (lock, released);
  start_call (lock, body);
  g_bytes_unref (body);
}

static gint64
jitter (struct lease_lock *lock, gint64 max)
{
  return (gint64)(g_rand_double (lock->rand) * (double)max);
}

/* Delays the next request after a failure.  */
static void
back_off (struct lease_lock *lock, const struct storage_response *response)
{
  gint64 wait = RETRY_DELAY_MIN_US << MIN (lock->failures, RETRY_DOUBLINGS_MAX);
  wait = wait / 2 + jitter (lock, wait);
  wait = MAX (wait, MIN (response->retry_after_us, RETRY_AFTER_MAX_US));
  lock->failures++;
  lock->next_call_at = clk_now (lock->clk) + wait;
}

/* Sets the object's VERSION. Writes that expected an older one can no longer
   take effect.  */
static void
set_version (struct lease_lock *lock, guint64 version)
{
  if (version == lock->version && lock->version_seen_at != 0)
    return;
  lock->version = version;
  lock->object_seen |= version != 0;
  lock->version_seen_at = clk_now (lock->clk);
  lock->unconfirmed_since = 0;
}

/* Handles acquisition or renewal by a write that was sent at SENT.  */
static void
on_acquired (struct lease_lock *lock, gint64 sent)
{
  gint64 until = sent + LEASE_TERM_US;
  if (lock->state != LEASE_HELD)
    {
      lock->fence = lock->version;
      lock->acquired_at = clk_now (lock->clk);
    }
  lock->valid_until = until;
  lock->next_call_at = sent + LEASE_RENEW_US;
  step (lock, EVENT_ACQUIRED);
}

static void
lose_lease (struct lease_lock *lock)
{
  lock->fence = 0;
  lock->next_call_at = clk_now (lock->clk);
  step (lock, EVENT_LOST);
}

/* Handles an object that does not give this instance the lease: it is waited
   for until its term is over, or acquired if it is free.  */
static void
on_not_held (struct lease_lock *lock, const struct lease_content *content)
{
  gint64 now = clk_now (lock->clk);
  gint64 over = lock->version_seen_at + LEASE_TERM_US + LEASE_CLOCK_MARGIN_US;
  if (lock->state == LEASE_HELD)
    lose_lease (lock);
  if (!lock->object_seen || content->released || content->is_own || now >= over)
    {
      lock->next_call_at
          = now + (content->is_own ? 0 : jitter (lock, ACQUIRE_JITTER_MAX_US));
      step (lock, EVENT_FREE);
      return;
    }
  lock->next_call_at
      = MIN (now + LEASE_RENEW_US, over) + jitter (lock, ACQUIRE_JITTER_MAX_US);
  step (lock, EVENT_HELD_BY_OTHER);
}

/* Handles a successful read: the object, or that there is none.  */
static void
handle_object (struct lease_lock *lock, const struct storage_response *response)
{
  struct lease_content content = { FALSE, FALSE };
  gint64 since = lock->unconfirmed_since;
  guint64 version = response->code == 0 ? response->version : 0;
  gboolean moved = version != lock->version;
  if (response->code == 0)
    content = decode (lock, response->body);
  set_version (lock, version);
  if (!moved && lock->state == LEASE_HELD)
    lock->next_call_at = clk_now (lock->clk);
  else if (moved && content.is_own && !content.released && since != 0
           && clk_now (lock->clk) < since + LEASE_TERM_US)
    on_acquired (lock, since);
  else
    on_not_held (lock, &content);
}

static void
read_done (struct lease_lock *lock, const struct storage_response *response)
{
  if (response->code == 0 || response->code == ERR_NOT_FOUND)
    {
      lock->failures = 0;
      lock->read_first = FALSE;
      handle_object (lock, response);
    }
  else
    back_off (lock, response);
}

/* Handles a failed write. Either another instance wrote first, or nothing has
   changed, or the write may still take effect. In the first and the last case
   the object is read next.  */
static void
write_failed (struct lease_lock *lock, const struct storage_response *response)
{
  switch (response->code)
    {
    case ERR_CONFLICT:
      lock->next_call_at = clk_now (lock->clk);
      lock->read_first = TRUE;
      if (lock->state == LEASE_HELD && lock->unconfirmed_since == 0)
        lose_lease (lock);
      break;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
    case ERR_INVALID:
    case ERR_AUTH:
    case ERR_TOO_LARGE:
      back_off (lock, response);
      break;
    default:
      if (lock->unconfirmed_since == 0)
        lock->unconfirmed_since = lock->request_sent_at;
      lock->read_first = TRUE;
      back_off (lock, response);
      break;
    }
  step (lock, EVENT_RETRY);
}

static void
write_done (struct lease_lock *lock, const struct storage_response *response)
{
  gint64 sent = lock->request_sent_at;
  if (lock->state == LEASE_RELEASING)
    {
      lock->version_seen_at = 0;
      step (lock, EVENT_DONE);
    }
  else if (response->code == 0)
    {
      lock->failures = 0;
      set_version (lock, response->version);
      on_acquired (lock, sent);
    }
  else
    write_failed (lock, response);
}

/* Handles the response to the store request TOKEN; unknown tokens are
   ignored.  */
void
lease_store_response (struct lease_lock *lock, guint64 token,
                      const struct storage_response *response)
{
  if (token == 0 || token != lock->open_token)
    return;
  lock->open_token = 0;
  if (lock->open_is_write)
    write_done (lock, response);
  else
    read_done (lock, response);
  lease_tick (lock);
}

void
lease_want (struct lease_lock *lock, gboolean want)
{
  lock->wanted = want;
  lease_tick (lock);
}

/* Starts the request of the current state. A holder whose write had no response
   reads first, to find out whether it took effect.  */
static void
start_next (struct lease_lock *lock)
{
  switch (lock->state)
    {
    case LEASE_READING:
    case LEASE_WAITING:
      start_call (lock, NULL);
      break;
    case LEASE_ACQUIRING:
      write_object (lock, FALSE);
      break;
    case LEASE_HELD:
      if (lock->read_first)
        start_call (lock, NULL);
      else
        write_object (lock, FALSE);
      break;
    case LEASE_RELEASING:
      write_object (lock, TRUE);
      break;
    default:
      break;
    }
}

void
lease_tick (struct lease_lock *lock)
{
  gint64 now = clk_now (lock->clk);
  if (lock->state == LEASE_HELD && now >= lock->valid_until)
    lose_lease (lock);
  if (lock->open_token != 0)
    return;
  enum lease_state before = lock->state;
  if (lock->state == LEASE_HELD && !lock->wanted)
    lock->fence = 0;
  step (lock, lock->wanted ? EVENT_WANT : EVENT_UNWANT);
  if (lock->state != before)
    lock->next_call_at = now;
  if (now >= lock->next_call_at)
    start_next (lock);
}

guint64
lease_order_fence (const struct lease_lock *lock, gboolean checks_fence)
{
  gint64 now = clk_now (lock->clk);
  gint64 delivery_max_us = LEASE_ORDER_DELIVERY_MAX_US + LEASE_CLOCK_MARGIN_US;
  if (lock->state != LEASE_HELD || !lock->wanted
      || lock->valid_until - now <= delivery_max_us)
    return 0;
  if (!checks_fence && now - lock->acquired_at < delivery_max_us)
    return 0;
  return lock->fence;
}

enum lease_state
lease_state (const struct lease_lock *lock)
{
  return lock->state;
}

/* Adds one object with the lease's state to JSON.  */
void
lease_dump (const struct lease_lock *lock, JsonBuilder *json)
{
  gint64 left = lock->valid_until - clk_now (lock->clk);
  json_builder_begin_object (json);
  json_add_str (json, "object", lock->object);
  json_add_str (json, "state", state_names[lock->state]);
  json_add_int (json, "version", (gint64)lock->version);
  json_add_int (json, "fence", (gint64)lock->fence);
  json_add_int (json, "left_ms", lock->state == LEASE_HELD ? left / CLK_MS : 0);
  json_builder_end_object (json);
}
