/* Operators' updates: conditional writes. If the response to a write is lost,
   the object is read back to find out whether the write took effect.  */
#include "config/follower_internal.h"

enum update_state
{
  UPDATE_WRITING, /* a PUT is in progress */
  UPDATE_READING, /* a GET reads the object back after a lost response */
  UPDATE_REWRITE, /* waits until the next PUT */
  UPDATE_REREAD,  /* waits until the next GET */
};

struct pending_update
{
  enum update_state state;
  guint64 expected;        /* version that the operator read */
  GBytes *body;            /* owned reference */
  guint64 token;           /* of the call in progress; 0: none */
  gint64 call_deadline;    /* clock time when its response counts as lost */
  gint64 deadline;         /* clock time when the update ends */
  gboolean may_be_applied; /* a PUT may have taken effect or may still do so */
  struct follower_backoff backoff;
  struct err last_error; /* of the last failure */
  follower_done done;
  void *ctx;
};

static void
update_free (struct pending_update *update)
{
  g_bytes_unref (update->body);
  g_free (update);
}

/* Ends UPDATE with RESULT. An accepted version is applied first, so that the
   callback finds it applied.  */
static void
finish (struct follower *follower, struct pending_update *update,
        const struct follower_result *result)
{
  g_ptr_array_remove (follower->updates, update);
  if (result->outcome == FOLLOWER_ACCEPTED
      && result->version > follower->version)
    follower_apply (follower, result->version, update->body,
                    FOLLOWER_FROM_UPDATE);
  update->done (update->ctx, result);
  update_free (update);
}

static void
finish_accepted (struct follower *follower, struct pending_update *update,
                 guint64 version)
{
  struct follower_result result
      = { .outcome = FOLLOWER_ACCEPTED, .version = version };
  finish (follower, update, &result);
}

/* Ends UPDATE because the object has VERSION instead of the expected one.  */
static void
finish_conflict (struct follower *follower, struct pending_update *update,
                 guint64 version)
{
  struct follower_result result
      = { .outcome = FOLLOWER_CONFLICT, .version = version };
  result.may_have_run = update->may_be_applied;
  err_set (
      &result.err, ERR_CONFLICT, "config.update", "platform",
      "version %" G_GUINT64_FORMAT " is newer than %" G_GUINT64_FORMAT "%s",
      version, update->expected,
      update->may_be_applied ? "; the update may have been applied before it"
                             : "");
  finish (follower, update, &result);
}

static void
finish_failed (struct follower *follower, struct pending_update *update)
{
  struct follower_result result
      = { .outcome = FOLLOWER_REJECTED, .err = update->last_error };
  if (update->may_be_applied)
    {
      result.outcome = FOLLOWER_UNKNOWN;
      err_set (&result.err, ERR_UNKNOWN_OUTCOME, "config.update", "platform",
               "no definite response in time: %s", update->last_error.text);
    }
  finish (follower, update, &result);
}

static void
start (struct follower *follower, struct pending_update *update,
       enum update_state state)
{
  enum storage_op op = state == UPDATE_WRITING ? STORAGE_PUT : STORAGE_GET;
  update->state = state;
  update->call_deadline
      = clk_now (follower->clk) + follower_time_limit (op) + FOLLOWER_GRACE_US;
  update->token = follower_call (follower, op, update->expected,
                                 state == UPDATE_WRITING ? update->body : NULL);
}

static void
retry_later (struct follower *follower, struct pending_update *update,
             enum update_state state, const struct storage_response *response)
{
  update->state = state;
  follower_backoff_fail (follower, &update->backoff, response->retry_after_us);
}

static void
record_failure (struct pending_update *update, const char *step, int code)
{
  err_set (&update->last_error, code, step, "platform", "%s", err_text (code));
}

static void
on_write_response (struct follower *follower, struct pending_update *update,
                   const struct storage_response *response)
{
  record_failure (update, "config.put", response->code);
  switch (response->code)
    {
    case 0:
      finish_accepted (follower, update, response->version);
      return;
    case ERR_CONFLICT:
    case ERR_NOT_FOUND:
      /* The newer version may come from an earlier PUT of this update. */
      if (update->may_be_applied)
        start (follower, update, UPDATE_READING);
      else
        finish_conflict (follower, update, response->version);
      return;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
      retry_later (follower, update, UPDATE_REWRITE, response);
      return;
    case ERR_INVALID:
    case ERR_AUTH:
    case ERR_TOO_LARGE:
      finish_failed (follower, update);
      return;
    default:
      update->may_be_applied = TRUE;
      start (follower, update, UPDATE_READING);
    }
}

/* Returns whether RESPONSE shows the version that the operator read. A PUT with
   an unknown outcome can still take effect after that; the next PUT then fails
   with a conflict and the object is read back again.  */
static gboolean
is_unchanged (const struct pending_update *update,
              const struct storage_response *response)
{
  if (response->code == ERR_NOT_FOUND)
    return update->expected == 0;
  return response->code == 0 && response->version == update->expected;
}

static void
on_read_response (struct follower *follower, struct pending_update *update,
                  const struct storage_response *response)
{
  if (is_unchanged (update, response))
    retry_later (follower, update, UPDATE_REWRITE, response);
  else if (response->code == ERR_NOT_FOUND)
    finish_conflict (follower, update, 0);
  else if (response->code != 0)
    {
      record_failure (update, "config.read_back", response->code);
      retry_later (follower, update, UPDATE_REREAD, response);
    }
  else if (response->body != NULL
           && g_bytes_equal (response->body, update->body))
    finish_accepted (follower, update, response->version);
  else
    finish_conflict (follower, update, response->version);
}

/* Passes RESPONSE to the update that made the call TOKEN. Returns FALSE if
   there is none.  */
gboolean
follower_update_complete (struct follower *follower, guint64 token,
                          const struct storage_response *response)
{
  for (guint i = 0; i < follower->updates->len; i++)
    {
      struct pending_update *update = follower->updates->pdata[i];
      if (update->token != token || token == 0)
        continue;
      update->token = 0;
      if (update->state == UPDATE_WRITING)
        on_write_response (follower, update, response);
      else
        on_read_response (follower, update, response);
      return TRUE;
    }
  return FALSE;
}

/* Ends UPDATE with the most definite outcome that is known so far.  */
static void
abandon (struct follower *follower, struct pending_update *update, int code)
{
  gboolean writing = update->token != 0 && update->state == UPDATE_WRITING;
  update->may_be_applied |= writing;
  if (writing || update->last_error.code == 0)
    record_failure (update, "config.put", code);
  finish_failed (follower, update);
}

void
follower_update_cancel_all (struct follower *follower)
{
  while (follower->updates->len > 0)
    abandon (follower, follower->updates->pdata[0], ERR_CANCELLED);
}

/* Runs the timers of UPDATE. Returns FALSE if UPDATE has ended.  */
static gboolean
advance (struct follower *follower, struct pending_update *update)
{
  static const struct storage_response no_response = { .code = ERR_TIMEOUT };
  gint64 now = clk_now (follower->clk);
  if (now >= update->deadline)
    {
      abandon (follower, update, ERR_TIMEOUT);
      return FALSE;
    }
  if (update->token != 0)
    {
      if (now >= update->call_deadline)
        follower_update_complete (follower, update->token, &no_response);
      return TRUE;
    }
  if (now >= update->backoff.next)
    start (follower, update,
           update->state == UPDATE_REWRITE ? UPDATE_WRITING : UPDATE_READING);
  return TRUE;
}

void
follower_update_tick (struct follower *follower)
{
  guint i = 0;
  while (i < follower->updates->len)
    if (advance (follower, follower->updates->pdata[i]))
      i++;
}

/* Writes BODY, which the caller has validated, if the object still has the
   version EXPECTED (0: the object must not exist). DONE is called once with
   CTX, after this returns and within FOLLOWER_UPDATE_US plus a tick. Returns
   ERR_LIMIT, without a call of DONE, if too many updates are in progress.  */
int
follower_update (struct follower *follower, guint64 expected, GBytes *body,
                 follower_done done, void *ctx)
{
  if (follower->updates->len >= FOLLOWER_UPDATES_MAX)
    return ERR_LIMIT;
  struct pending_update *update = g_new0 (struct pending_update, 1);
  update->expected = expected;
  update->body = g_bytes_ref (body);
  update->deadline = clk_now (follower->clk) + FOLLOWER_UPDATE_US;
  update->done = done;
  update->ctx = ctx;
  g_ptr_array_add (follower->updates, update);
  start (follower, update, UPDATE_WRITING);
  return 0;
}
