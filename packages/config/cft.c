#include "config/cft.h"
#include "base/jsb.h"

#include "config/cft_int.h"

#define BACKOFF_DOUBLINGS_MAX 8

static const gint64 never = G_MININT64 / 2;

/* Returns a follower without a version that the caller frees by cft_free.  */
struct cft *
cft_new (const struct cft_options *options)
{
  struct cft *cft = g_new0 (struct cft, 1);
  cft->clk = options->clk;
  cft->rand = g_rand_new_with_seed (options->seed);
  cft->ctr = options->ctr;
  g_strlcpy (cft->object, options->object, sizeof cft->object);
  cft->store = options->store;
  cft->accept = options->accept;
  cft->ask = options->ask;
  cft->ctx = options->ctx;
  cft->started = clk_now (cft->clk);
  cft->peer_heard = never;
  cft->asked = never;
  cft->updates = g_ptr_array_new ();
  return cft;
}

void
cft_free (struct cft *cft)
{
  if (cft == NULL)
    return;
  cft_update_end_all (cft);
  g_ptr_array_unref (cft->updates);
  if (cft->body != NULL)
    g_bytes_unref (cft->body);
  g_rand_free (cft->rand);
  g_free (cft);
}

static void
count (struct cft *cft, enum ctr_id id)
{
  if (cft->ctr != NULL)
    ctr_add (cft->ctr, id, 1);
}

/* Returns the highest version that needs no second read.  */
static guint64
known (const struct cft *cft)
{
  return MAX (cft->version, cft->rejected);
}

/* Returns the time limit of a call, microseconds.  */
gint64
cft_time_limit (enum storage_op op)
{
  switch (op)
    {
    case STORAGE_GET:
      return CFT_READ_US;
    case STORAGE_PUT:
      return CFT_WRITE_US;
    case STORAGE_WATCH:
      return CFT_WATCH_US;
    }
  return CFT_READ_US;
}

/* Starts a call on the object and returns its token.  */
guint64
cft_call (struct cft *cft, enum storage_op op, guint64 expected, GBytes *body)
{
  struct storage_request call
      = { .op = op, .expected = expected, .body = body };
  g_strlcpy (call.name, cft->object, sizeof call.name);
  call.timeout_us = cft_time_limit (op);
  guint64 token = ++cft->last_token;
  cft->store (cft->ctx, token, &call);
  return token;
}

/* Puts BODY in force if VERSION is newer than the version in force and BODY is
   valid. Returns whether it did.  */
gboolean
cft_take (struct cft *cft, guint64 version, GBytes *body,
          enum cft_source source)
{
  if (version <= cft->version || version == cft->rejected)
    {
      count (cft, CTR_CONFIG_STALE);
      return FALSE;
    }
  if (!cft->accept (cft->ctx, version, body, source))
    {
      count (cft, CTR_CONFIG_REJECTED);
      cft->rejected = MAX (cft->rejected, version);
      return FALSE;
    }
  count (cft, CTR_CONFIG_APPLIED);
  g_bytes_ref (body);
  if (cft->body != NULL)
    g_bytes_unref (cft->body);
  cft->body = body;
  cft->version = version;
  return TRUE;
}

/* Sets the time of the next try after a failure: the doubled wait, at least
   RETRY_AFTER_US, half of it at random so that instances do not come back
   together.  */
void
cft_backoff_fail (struct cft *cft, struct cft_backoff *backoff,
                  gint64 retry_after_us)
{
  guint doublings = MIN (backoff->failures, BACKOFF_DOUBLINGS_MAX);
  gint64 wait = MIN (CFT_BACKOFF_MIN_US << doublings, CFT_BACKOFF_MAX_US);
  gint64 jitter = (gint64)(g_rand_double (cft->rand) * (double)wait / 2);
  backoff->failures++;
  backoff->next = clk_now (cft->clk) + MAX (wait / 2, retry_after_us) + jitter;
}

void
cft_backoff_reset (struct cft_backoff *backoff)
{
  backoff->failures = 0;
  backoff->next = 0;
}

/* Tells this instance whether it is one of the watchers of its failure
   domain; to be told once it has heard its peers, lest all of a failure domain
   read at its start. One that no longer is lets its last watch run out.  */
void
cft_set_watcher (struct cft *cft, gboolean watcher)
{
  gint64 soon = clk_now (cft->clk) + CFT_BACKOFF_MAX_US;
  if (watcher && !cft->watcher)
    cft->read_backoff.next = MIN (cft->read_backoff.next, soon);
  cft->watcher = watcher;
}

/* Takes VERSION with BODY from a peer. Returns whether it is now in force;
   older and equal ones are ignored.  */
gboolean
cft_offer (struct cft *cft, guint64 version, GBytes *body)
{
  cft->peer_heard = clk_now (cft->clk);
  return cft_take (cft, version, body, CFT_FROM_PEER);
}

/* Hears that PEER has VERSION in force, and asks for it if it is news, at most
   once every CFT_ASK_US.  */
void
cft_peer_has (struct cft *cft, const char *peer, guint64 version)
{
  gint64 now = clk_now (cft->clk);
  if (version == 0)
    return;
  cft->peer_heard = now;
  if (version <= cft->version || version == cft->rejected
      || now - cft->asked < CFT_ASK_US)
    return;
  cft->asked = now;
  cft->ask (cft->ctx, peer, cft->version);
}

/* Tells whether this instance reads the object itself without being a
   watcher: it has no version, and no peer had one of late.  */
static gboolean
is_alone (const struct cft *cft)
{
  gint64 now = clk_now (cft->clk);
  return cft->version == 0 && now - cft->started >= CFT_ALONE_US
         && now - cft->peer_heard >= CFT_ALONE_US;
}

static void
start_read (struct cft *cft)
{
  guint64 from = known (cft);
  cft->read_op = from == 0 ? STORAGE_GET : STORAGE_WATCH;
  cft->read_started = clk_now (cft->clk);
  cft->reading = cft_call (cft, cft->read_op, from, NULL);
}

/* Tells whether a watch ended because its time was over without news.  */
static gboolean
watch_ran_out (const struct cft *cft, const struct storage_response *answer)
{
  gint64 took = clk_now (cft->clk) - cft->read_started;
  return cft->read_op == STORAGE_WATCH && answer->code == ERR_TIMEOUT
         && took >= CFT_WATCH_MIN_US;
}

/* Returns the least time until the next read, microseconds. Where there is no
   object, all instances count as alone: only the watchers look often.  */
static gint64
least_wait (const struct cft *cft, const struct storage_response *answer)
{
  if (answer->code != ERR_NOT_FOUND)
    return answer->retry_after_us;
  return cft->watcher ? CFT_BACKOFF_MAX_US : CFT_ABSENT_US;
}

/* Ends the read under way. An answer without news where there had to be some
   counts as a failure, lest a store that went back is asked in a tight
   loop.  */
static void
end_read (struct cft *cft, const struct storage_response *answer)
{
  cft->reading = 0;
  if (watch_ran_out (cft, answer))
    {
      cft_backoff_reset (&cft->read_backoff);
      return;
    }
  gboolean news = answer->code == 0 && answer->version > known (cft);
  if (answer->code == 0 && answer->body != NULL)
    cft_take (cft, answer->version, answer->body, CFT_FROM_STORE);
  if (news)
    cft_backoff_reset (&cft->read_backoff);
  else
    cft_backoff_fail (cft, &cft->read_backoff, least_wait (cft, answer));
}

/* Takes the platform's answer to the call with TOKEN. Answers to calls that
   have been given up are ignored.  */
void
cft_answer (struct cft *cft, guint64 token,
            const struct storage_response *answer)
{
  if (token == cft->reading && token != 0)
    end_read (cft, answer);
  else
    cft_update_answer (cft, token, answer);
  cft_tick (cft);
}

/* Gives up a read that got no answer long after its time limit, starts the
   next one if it is due, and moves the updates on.  */
void
cft_tick (struct cft *cft)
{
  static const struct storage_response lost = { .code = ERR_IO };
  gint64 now = clk_now (cft->clk);
  if (cft->reading != 0
      && now - cft->read_started >= cft_time_limit (cft->read_op) + CFT_LOST_US)
    end_read (cft, &lost);
  if (cft->reading == 0 && now >= cft->read_backoff.next
      && (cft->watcher || is_alone (cft)))
    start_read (cft);
  cft_update_tick (cft);
}

guint64
cft_version (const struct cft *cft)
{
  return cft->version;
}

GBytes *
cft_body (const struct cft *cft)
{
  return cft->body;
}

/* Adds the state to JSON as one object.  */
void
cft_dump (const struct cft *cft, JsonBuilder *json)
{
  json_builder_begin_object (json);
  jsb_str (json, "object", cft->object);
  jsb_int (json, "version", (gint64)cft->version);
  jsb_int (json, "rejected_version", (gint64)cft->rejected);
  jsb_bool (json, "watcher", cft->watcher);
  json_builder_set_member_name (json, "reading");
  json_builder_add_string_value (
      json, cft->reading != 0 ? storage_op_name (cft->read_op) : "");
  jsb_int (json, "read_failures", cft->read_backoff.failures);
  jsb_int (json, "updates", cft->updates->len);
  json_builder_end_object (json);
}

/* Returns the name of OUTCOME; static.  */
const char *
cft_outcome_name (enum cft_outcome outcome)
{
  switch (outcome)
    {
#define OUTCOME_CASE(id, name)                                                 \
  case CFT_##id:                                                               \
    return name;
      CFT_OUTCOMES (OUTCOME_CASE)
#undef OUTCOME_CASE
    }
  return "";
}

/* Returns the name of SOURCE; static.  */
const char *
cft_source_name (enum cft_source source)
{
  switch (source)
    {
#define SOURCE_CASE(id, name)                                                  \
  case CFT_FROM_##id:                                                          \
    return name;
      CFT_SOURCES (SOURCE_CASE)
#undef SOURCE_CASE
    }
  return "";
}
