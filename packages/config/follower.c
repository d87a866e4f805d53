#include "config/follower.h"
#include "base/json_add.h"

#include "config/follower_internal.h"

#define BACKOFF_DOUBLINGS_MAX 8

/* A clock time before all others, which differences do not overflow. */
static const gint64 never = G_MININT64 / 2;

/* Returns a follower without a version; the caller frees it with
   follower_free.  */
struct follower *
follower_new (const struct follower_options *options)
{
  struct follower *follower = g_new0 (struct follower, 1);
  follower->clk = options->clk;
  follower->rand = g_rand_new_with_seed (options->seed);
  follower->counter_set = options->counter_set;
  g_strlcpy (follower->object, options->object, sizeof follower->object);
  follower->store = options->store;
  follower->accept = options->accept;
  follower->request = options->request;
  follower->ctx = options->ctx;
  follower->started = clk_now (follower->clk);
  follower->peer_version_at = never;
  follower->requested_at = never;
  follower->updates = g_ptr_array_new ();
  return follower;
}

void
follower_free (struct follower *follower)
{
  if (follower == NULL)
    return;
  follower_update_cancel_all (follower);
  g_ptr_array_unref (follower->updates);
  if (follower->body != NULL)
    g_bytes_unref (follower->body);
  g_rand_free (follower->rand);
  g_free (follower);
}

static void
count (struct follower *follower, enum counter_id id)
{
  if (follower->counter_set != NULL)
    counter_add (follower->counter_set, id, 1);
}

/* Returns the newest version that was applied or failed validation; neither is
   read again.  */
static guint64
newest_checked (const struct follower *follower)
{
  return MAX (follower->version, follower->rejected);
}

/* Returns the time limit of a call, microseconds.  */
gint64
follower_time_limit (enum storage_op op)
{
  switch (op)
    {
    case STORAGE_GET:
    case STORAGE_LIST:
      return FOLLOWER_READ_US;
    case STORAGE_PUT:
      return FOLLOWER_WRITE_US;
    case STORAGE_WATCH:
      return FOLLOWER_WATCH_US;
    }
  return FOLLOWER_READ_US;
}

/* Starts a call to the platform for the object and returns its token.  */
guint64
follower_call (struct follower *follower, enum storage_op op, guint64 expected,
               GBytes *body)
{
  struct storage_request call
      = { .op = op, .expected = expected, .body = body };
  g_strlcpy (call.name, follower->object, sizeof call.name);
  call.timeout_us = follower_time_limit (op);
  guint64 token = ++follower->last_token;
  follower->store (follower->ctx, token, &call);
  return token;
}

/* Applies BODY if VERSION is newer than the applied version and BODY is valid.
   Returns whether it did.  */
gboolean
follower_apply (struct follower *follower, guint64 version, GBytes *body,
                enum follower_source source)
{
  if (version <= follower->version || version == follower->rejected)
    {
      count (follower, COUNTER_CONFIG_STALE);
      return FALSE;
    }
  if (!follower->accept (follower->ctx, version, body, source))
    {
      count (follower, COUNTER_CONFIG_REJECTED);
      follower->rejected = MAX (follower->rejected, version);
      return FALSE;
    }
  count (follower, COUNTER_CONFIG_APPLIED);
  g_bytes_ref (body);
  if (follower->body != NULL)
    g_bytes_unref (follower->body);
  follower->body = body;
  follower->version = version;
  return TRUE;
}

/* Schedules the next attempt after a failure, no earlier than after
   RETRY_AFTER_US. The delay doubles with each failure; half of it is random, so
   that instances do not retry at the same time.  */
void
follower_backoff_fail (struct follower *follower,
                       struct follower_backoff *backoff, gint64 retry_after_us)
{
  guint doublings = MIN (backoff->failures, BACKOFF_DOUBLINGS_MAX);
  gint64 wait
      = MIN (FOLLOWER_BACKOFF_MIN_US << doublings, FOLLOWER_BACKOFF_MAX_US);
  gint64 jitter = (gint64)(g_rand_double (follower->rand) * (double)wait / 2);
  backoff->failures++;
  backoff->next
      = clk_now (follower->clk) + MAX (wait / 2, retry_after_us) + jitter;
}

void
follower_backoff_reset (struct follower_backoff *backoff)
{
  backoff->failures = 0;
  backoff->next = 0;
}

/* Sets whether this instance is one of the watchers of its failure domain. To
   be called only once the peers are known; otherwise all instances of a failure
   domain that starts would read at the same time. The watch in progress of a
   former watcher is not cancelled.  */
void
follower_set_watcher (struct follower *follower, gboolean watcher)
{
  gint64 soon = clk_now (follower->clk) + FOLLOWER_BACKOFF_MAX_US;
  if (watcher && !follower->watcher)
    follower->read_backoff.next = MIN (follower->read_backoff.next, soon);
  follower->watcher = watcher;
}

/* Handles VERSION with BODY received from a peer. Returns whether it was
   applied; versions that are not newer are ignored.  */
gboolean
follower_receive (struct follower *follower, guint64 version, GBytes *body)
{
  follower->peer_version_at = clk_now (follower->clk);
  return follower_apply (follower, version, body, FOLLOWER_FROM_PEER);
}

/* Notes that PEER has applied VERSION. If it is newer, requests it from PEER;
   at most one request is sent every FOLLOWER_REQUEST_GAP_US.  */
void
follower_peer_has (struct follower *follower, const char *peer, guint64 version)
{
  gint64 now = clk_now (follower->clk);
  if (version == 0)
    return;
  follower->peer_version_at = now;
  if (version <= follower->version || version == follower->rejected
      || now - follower->requested_at < FOLLOWER_REQUEST_GAP_US)
    return;
  follower->requested_at = now;
  follower->request (follower->ctx, peer, follower->version);
}

/* Returns whether this instance must read the object itself although it is not
   a watcher: it has no version, and no peer reported one within
   FOLLOWER_ISOLATED_US.  */
static gboolean
is_isolated (const struct follower *follower)
{
  gint64 now = clk_now (follower->clk);
  return follower->version == 0
         && now - follower->started >= FOLLOWER_ISOLATED_US
         && now - follower->peer_version_at >= FOLLOWER_ISOLATED_US;
}

static void
start_read (struct follower *follower)
{
  guint64 from = newest_checked (follower);
  follower->read_op = from == 0 ? STORAGE_GET : STORAGE_WATCH;
  follower->read_started = clk_now (follower->clk);
  follower->read_token
      = follower_call (follower, follower->read_op, from, NULL);
}

/* Returns whether a watch reached its time limit without a newer version.  */
static gboolean
is_watch_timeout (const struct follower *follower,
                  const struct storage_response *response)
{
  gint64 took = clk_now (follower->clk) - follower->read_started;
  return follower->read_op == STORAGE_WATCH && response->code == ERR_TIMEOUT
         && took >= FOLLOWER_WATCH_MIN_US;
}

/* Returns the minimum delay until the next read, microseconds. If the object
   does not exist, all instances are isolated, so only the watchers read it
   often.  */
static gint64
min_retry_delay (const struct follower *follower,
                 const struct storage_response *response)
{
  if (response->code != ERR_NOT_FOUND)
    return response->retry_after_us;
  return follower->watcher ? FOLLOWER_BACKOFF_MAX_US : FOLLOWER_MISSING_US;
}

/* Ends the read in progress. A successful response without a newer version
   counts as a failure, so that a store that went back to an older version is
   not read in a tight loop.  */
static void
end_read (struct follower *follower, const struct storage_response *response)
{
  follower->read_token = 0;
  if (is_watch_timeout (follower, response))
    {
      follower_backoff_reset (&follower->read_backoff);
      return;
    }
  gboolean is_newer
      = response->code == 0 && response->version > newest_checked (follower);
  if (response->code == 0 && response->body != NULL)
    follower_apply (follower, response->version, response->body,
                    FOLLOWER_FROM_STORE);
  if (is_newer)
    follower_backoff_reset (&follower->read_backoff);
  else
    follower_backoff_fail (follower, &follower->read_backoff,
                           min_retry_delay (follower, response));
}

/* Handles the platform's response to the call TOKEN. Responses to calls that
   were given up are ignored.  */
void
follower_complete (struct follower *follower, guint64 token,
                   const struct storage_response *response)
{
  if (token == follower->read_token && token != 0)
    end_read (follower, response);
  else
    follower_update_complete (follower, token, response);
  follower_tick (follower);
}

/* Gives up a read without a response FOLLOWER_GRACE_US after its time limit,
   starts the next read if it is due, and runs the timers of the updates.  */
void
follower_tick (struct follower *follower)
{
  static const struct storage_response no_response = { .code = ERR_IO };
  gint64 now = clk_now (follower->clk);
  if (follower->read_token != 0
      && now - follower->read_started
             >= follower_time_limit (follower->read_op) + FOLLOWER_GRACE_US)
    end_read (follower, &no_response);
  if (follower->read_token == 0 && now >= follower->read_backoff.next
      && (follower->watcher || is_isolated (follower)))
    start_read (follower);
  follower_update_tick (follower);
}

guint64
follower_version (const struct follower *follower)
{
  return follower->version;
}

GBytes *
follower_body (const struct follower *follower)
{
  return follower->body;
}

/* Adds the state of FOLLOWER to JSON as one object.  */
void
follower_dump (const struct follower *follower, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "object", follower->object);
  json_add_int (json, "version", (gint64)follower->version);
  json_add_int (json, "rejected_version", (gint64)follower->rejected);
  json_add_bool (json, "watcher", follower->watcher);
  json_builder_set_member_name (json, "reading");
  json_builder_add_string_value (json, follower->read_token != 0
                                           ? storage_op_name (follower->read_op)
                                           : "");
  json_add_int (json, "read_failures", follower->read_backoff.failures);
  json_add_int (json, "updates", follower->updates->len);
  json_builder_end_object (json);
}

/* Returns the name of OUTCOME, a static string.  */
const char *
follower_outcome_name (enum follower_outcome outcome)
{
  switch (outcome)
    {
#define OUTCOME_CASE(id, name)                                                 \
  case FOLLOWER_##id:                                                          \
    return name;
      FOLLOWER_OUTCOMES (OUTCOME_CASE)
#undef OUTCOME_CASE
    }
  return "";
}

/* Returns the name of SOURCE, a static string.  */
const char *
follower_source_name (enum follower_source source)
{
  switch (source)
    {
#define SOURCE_CASE(id, name)                                                  \
  case FOLLOWER_FROM_##id:                                                     \
    return name;
      FOLLOWER_SOURCES (SOURCE_CASE)
#undef SOURCE_CASE
    }
  return "";
}
