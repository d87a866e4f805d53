/* Operators' updates: a conditional write whose lost answer is settled by
   reading the object back.  */
#include "config/cft_int.h"

enum upd_state
{
  UPD_WRITING, /* a PUT is under way */
  UPD_READING, /* a GET is under way to settle a lost answer */
  UPD_REWRITE, /* waits to write again */
  UPD_REREAD,  /* waits to read again */
};

struct cft_upd
{
  enum upd_state state;
  guint64 expected;  /* version that the operator read */
  GBytes *body;      /* a reference */
  guint64 token;     /* of the call under way; 0: none */
  gint64 call_limit; /* clock time when its answer counts as lost */
  gint64 limit;      /* clock time when the update ends */
  gboolean in_doubt; /* some PUT may have taken effect, now or later */
  struct cft_backoff backoff;
  struct err last; /* of the last failure */
  cft_done done;
  void *ctx;
};

static void
upd_free (struct cft_upd *upd)
{
  g_bytes_unref (upd->body);
  g_free (upd);
}

/* Ends UPD with RESULT. The instance takes an accepted version over first, so
   that DONE sees it in force.  */
static void
finish (struct cft *cft, struct cft_upd *upd, const struct cft_result *result)
{
  g_ptr_array_remove (cft->updates, upd);
  if (result->outcome == CFT_ACCEPTED && result->version > cft->version)
    cft_take (cft, result->version, upd->body, CFT_FROM_UPDATE);
  upd->done (upd->ctx, result);
  upd_free (upd);
}

static void
finish_accepted (struct cft *cft, struct cft_upd *upd, guint64 version)
{
  struct cft_result result = { .outcome = CFT_ACCEPTED, .version = version };
  finish (cft, upd, &result);
}

/* Ends UPD since the object has another VERSION than the expected one.  */
static void
finish_conflict (struct cft *cft, struct cft_upd *upd, guint64 version)
{
  struct cft_result result = { .outcome = CFT_CONFLICT, .version = version };
  result.may_have_run = upd->in_doubt;
  err_set (
      &result.err, ERR_CONFLICT, "config.update", "platform",
      "version %" G_GUINT64_FORMAT " is newer than %" G_GUINT64_FORMAT "%s",
      version, upd->expected,
      upd->in_doubt ? "; the update may have been in force before it" : "");
  finish (cft, upd, &result);
}

static void
finish_failed (struct cft *cft, struct cft_upd *upd)
{
  struct cft_result result = { .outcome = CFT_REFUSED, .err = upd->last };
  if (upd->in_doubt)
    {
      result.outcome = CFT_UNKNOWN;
      err_set (&result.err, ERR_UNKNOWN_OUTCOME, "config.update", "platform",
               "no sure answer in time: %s", upd->last.text);
    }
  finish (cft, upd, &result);
}

static void
start (struct cft *cft, struct cft_upd *upd, enum upd_state state)
{
  enum storage_op op = state == UPD_WRITING ? STORAGE_PUT : STORAGE_GET;
  upd->state = state;
  upd->call_limit = clk_now (cft->clk) + cft_time_limit (op) + CFT_LOST_US;
  upd->token = cft_call (cft, op, upd->expected,
                         state == UPD_WRITING ? upd->body : NULL);
}

static void
wait (struct cft *cft, struct cft_upd *upd, enum upd_state state,
      const struct storage_response *answer)
{
  upd->state = state;
  cft_backoff_fail (cft, &upd->backoff, answer->retry_after_us);
}

static void
note_failure (struct cft_upd *upd, const char *step, int code)
{
  err_set (&upd->last, code, step, "platform", "%s", err_text (code));
}

static void
on_write (struct cft *cft, struct cft_upd *upd,
          const struct storage_response *answer)
{
  note_failure (upd, "config.put", answer->code);
  switch (answer->code)
    {
    case 0:
      finish_accepted (cft, upd, answer->version);
      return;
    case ERR_CONFLICT:
    case ERR_NOT_FOUND:
      /* The newer version may be that of an own earlier try. */
      if (upd->in_doubt)
        start (cft, upd, UPD_READING);
      else
        finish_conflict (cft, upd, answer->version);
      return;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
      wait (cft, upd, UPD_REWRITE, answer);
      return;
    case ERR_INVALID:
    case ERR_AUTH:
    case ERR_TOO_LARGE:
      finish_failed (cft, upd);
      return;
    default:
      upd->in_doubt = TRUE;
      start (cft, upd, UPD_READING);
    }
}

/* Tells whether ANSWER shows the object as the operator read it. A PUT in
   doubt can still take effect after such an answer: a new PUT then meets it as
   a conflict and reads again.  */
static gboolean
is_unchanged (const struct cft_upd *upd, const struct storage_response *answer)
{
  if (answer->code == ERR_NOT_FOUND)
    return upd->expected == 0;
  return answer->code == 0 && answer->version == upd->expected;
}

static void
on_read (struct cft *cft, struct cft_upd *upd,
         const struct storage_response *answer)
{
  if (is_unchanged (upd, answer))
    wait (cft, upd, UPD_REWRITE, answer);
  else if (answer->code == ERR_NOT_FOUND)
    finish_conflict (cft, upd, 0);
  else if (answer->code != 0)
    {
      note_failure (upd, "config.read_back", answer->code);
      wait (cft, upd, UPD_REREAD, answer);
    }
  else if (answer->body != NULL && g_bytes_equal (answer->body, upd->body))
    finish_accepted (cft, upd, answer->version);
  else
    finish_conflict (cft, upd, answer->version);
}

/* Hands ANSWER to the update that made the call TOKEN. Returns FALSE if there
   is none.  */
gboolean
cft_update_answer (struct cft *cft, guint64 token,
                   const struct storage_response *answer)
{
  for (guint i = 0; i < cft->updates->len; i++)
    {
      struct cft_upd *upd = cft->updates->pdata[i];
      if (upd->token != token || token == 0)
        continue;
      upd->token = 0;
      if (upd->state == UPD_WRITING)
        on_write (cft, upd, answer);
      else
        on_read (cft, upd, answer);
      return TRUE;
    }
  return FALSE;
}

/* Ends UPD with what is sure so far.  */
static void
give_up (struct cft *cft, struct cft_upd *upd, int code)
{
  gboolean writing = upd->token != 0 && upd->state == UPD_WRITING;
  upd->in_doubt |= writing;
  if (writing || upd->last.code == 0)
    note_failure (upd, "config.put", code);
  finish_failed (cft, upd);
}

void
cft_update_end_all (struct cft *cft)
{
  while (cft->updates->len > 0)
    give_up (cft, cft->updates->pdata[0], ERR_CANCELLED);
}

/* Moves UPD on. Returns FALSE if it has ended.  */
static gboolean
step (struct cft *cft, struct cft_upd *upd)
{
  static const struct storage_response lost = { .code = ERR_TIMEOUT };
  gint64 now = clk_now (cft->clk);
  if (now >= upd->limit)
    {
      give_up (cft, upd, ERR_TIMEOUT);
      return FALSE;
    }
  if (upd->token != 0)
    {
      if (now >= upd->call_limit)
        cft_update_answer (cft, upd->token, &lost);
      return TRUE;
    }
  if (now >= upd->backoff.next)
    start (cft, upd, upd->state == UPD_REWRITE ? UPD_WRITING : UPD_READING);
  return TRUE;
}

void
cft_update_tick (struct cft *cft)
{
  guint i = 0;
  while (i < cft->updates->len)
    if (step (cft, cft->updates->pdata[i]))
      i++;
}

/* Writes BODY, which the caller has checked, if the object still has the
   version EXPECTED (0: there is none yet). DONE is called once with CTX, later
   and within CFT_UPDATE_US and a tick. Returns ERR_LIMIT, without a call of
   DONE, if too many updates are in progress.  */
int
cft_update (struct cft *cft, guint64 expected, GBytes *body, cft_done done,
            void *ctx)
{
  if (cft->updates->len >= CFT_UPDATES_MAX)
    return ERR_LIMIT;
  struct cft_upd *upd = g_new0 (struct cft_upd, 1);
  upd->expected = expected;
  upd->body = g_bytes_ref (body);
  upd->limit = clk_now (cft->clk) + CFT_UPDATE_US;
  upd->done = done;
  upd->ctx = ctx;
  g_ptr_array_add (cft->updates, upd);
  start (cft, upd, UPD_WRITING);
  return 0;
}
