#include "jacinthward/crash_keeper.h"

#include "base/log.h"
#include "platform/object_client.h"
#include "policy/crash_records.h"

#include <string.h>

#define OBJECT_NAME "crashes"
#define CRASHES_MAX 64     /* in the object */
#define HURRY_MS 5         /* for further crashes to be saved with the first */
#define TIMEOUT_MIN_MS 400 /* of a call; doubled with each failure in a row */
#define TIMEOUT_DOUBLINGS 3
/* Between two tries, while the store may be back at any moment. */
#define RETRY_US (100 * CLK_MS)
#define RETRIES_QUICK 100
#define RETRY_SLOW_US (1 * CLK_S)
/* After a definite refusal, doubled with each one in a row. */
#define REFUSED_DOUBLINGS 5
/* Failures in a row from which on saving counts as failing. */
#define FAILURES_MIN 2

struct crash_keeper
{
  struct crash_keeper_options options;
  struct object_client *client;
  gboolean busy;           /* a call is in progress */
  gboolean is_known;       /* VERSION is that of the object */
  guint64 version;         /* 0: there is no object */
  guint64 through;         /* last change that the call in progress saves */
  guint max;               /* crashes that the store has room for */
  guint failures;          /* in a row */
  gboolean save_failed;    /* the last save, and no call since has shown that it
                              would work */
  gint64 not_before;       /* clock time of the next call */
  gint64 started_at;       /* clock time of the call in progress */
  gboolean is_responsible; /* as told last */
  guint source;            /* GLib source: on_hurry; 0: none */
};

struct crash_keeper *
crash_keeper_new (const struct crash_keeper_options *options)
{
  struct crash_keeper *keeper = g_new0 (struct crash_keeper, 1);
  const struct object_client_options client_options
      = { .address = options->store_address,
          .counter_set = options->counter_set };
  keeper->options = *options;
  keeper->max = CRASHES_MAX;
  keeper->client = object_client_new (&client_options);
  return keeper;
}

void
crash_keeper_free (struct crash_keeper *keeper)
{
  if (keeper == NULL)
    return;
  g_clear_handle_id (&keeper->source, g_source_remove);
  object_client_free (keeper->client);
  g_free (keeper);
}

static gint64
wall_offset (const struct crash_keeper *keeper, gint64 now)
{
  return clk_wall (keeper->options.clk) - now;
}

/* Returns whether a call with the result CODE may succeed if it is simply
   repeated.  */
static gboolean
is_transient (int code)
{
  return code == ERR_TIMEOUT || code == ERR_IO || code == ERR_UNAVAILABLE
         || code == ERR_CLOSED;
}

static gint64
retry_delay_us (const struct crash_keeper *keeper,
                const struct storage_response *response)
{
  if (response->retry_after_us > 0)
    return response->retry_after_us;
  if (!is_transient (response->code))
    return RETRY_US << MIN (keeper->failures, REFUSED_DOUBLINGS);
  return keeper->failures < RETRIES_QUICK ? RETRY_US : RETRY_SLOW_US;
}

static void
note_failure (struct crash_keeper *keeper, const char *what,
              const struct storage_response *response)
{
  gint64 now = clk_now (keeper->options.clk);
  gint64 delay = retry_delay_us (keeper, response);
  counter_add (keeper->options.counter_set, COUNTER_CRASHES_UNSAVED, 1);
  if (keeper->failures++ == 0)
    log_event (LOG_WARN, "crashes.store_failed",
               "what=%s cause=%s retry_ms=%" G_GINT64_FORMAT, what,
               err_name (response->code), delay / CLK_MS);
  keeper->not_before = now + delay;
  crash_records_set_failing (keeper->options.suspects,
                             keeper->failures >= FAILURES_MIN);
}

static void
note_success (struct crash_keeper *keeper)
{
  if (keeper->failures > 0)
    log_event (LOG_INFO, "crashes.store_regained", "failures=%u",
               keeper->failures);
  keeper->failures = 0;
  keeper->save_failed = FALSE;
  keeper->not_before = 0;
  crash_records_set_failing (keeper->options.suspects, FALSE);
}

/* Takes over what the object has. Another writer may have left anything there;
   it is replaced by the next save.  */
static void
load (struct crash_keeper *keeper, GBytes *body)
{
  gint64 now = clk_now (keeper->options.clk);
  gsize n_bytes = 0;
  const char *text = body != NULL ? g_bytes_get_data (body, &n_bytes) : "";
  int n = crash_records_load (keeper->options.suspects,
                              (struct str){ text, n_bytes },
                              wall_offset (keeper, now), now);
  if (n < 0)
    log_event (LOG_WARN, "crashes.unreadable",
               "bytes=%" G_GSIZE_FORMAT " version=%" G_GUINT64_FORMAT, n_bytes,
               keeper->version);
  else
    log_event (LOG_INFO, "crashes.loaded",
               "crashes=%d version=%" G_GUINT64_FORMAT " ms=%" G_GINT64_FORMAT,
               n, keeper->version, (now - keeper->started_at) / CLK_MS);
}

static void
on_loaded (void *ctx, const struct storage_response *response)
{
  struct crash_keeper *keeper = ctx;
  gboolean is_absent = response->code == ERR_NOT_FOUND;
  /* An object without a value that can be read has a version nevertheless. */
  gboolean is_there = response->code == 0 || response->version > 0;
  keeper->busy = FALSE;
  if (!is_absent && !is_there)
    {
      note_failure (keeper, "load", response);
      return;
    }
  keeper->is_known = TRUE;
  keeper->version = is_absent ? 0 : response->version;
  if (is_there)
    load (keeper, response->body);
  if (!keeper->save_failed)
    note_success (keeper);
  crash_records_loaded (keeper->options.suspects);
  keeper->options.loaded (keeper->options.ctx);
}

static void
on_saved (void *ctx, const struct storage_response *response)
{
  struct crash_keeper *keeper = ctx;
  gint64 now = clk_now (keeper->options.clk);
  keeper->busy = FALSE;
  switch (response->code)
    {
    case 0:
      keeper->version = response->version;
      crash_records_saved (keeper->options.suspects, keeper->through);
      counter_add (keeper->options.counter_set, COUNTER_CRASHES_SAVED, 1);
      log_event (LOG_INFO, "crashes.saved",
                 "version=%" G_GUINT64_FORMAT " ms=%" G_GINT64_FORMAT,
                 keeper->version, (now - keeper->started_at) / CLK_MS);
      note_success (keeper);
      keeper->options.loaded (keeper->options.ctx);
      return;
    case ERR_CONFLICT:
      keeper->is_known = response->version > 0;
      keeper->version = response->version;
      if (response->body != NULL)
        load (keeper, response->body);
      else
        keeper->is_known = FALSE;
      note_success (keeper);
      crash_keeper_hurry (keeper);
      return;
    case ERR_TOO_LARGE:
      keeper->max = MAX (keeper->max / 2, 1);
      break;
    case ERR_NOT_FOUND:
      /* Somebody has removed the object. */
      keeper->is_known = FALSE;
      break;
    default:
      break;
    }
  keeper->save_failed = TRUE;
  note_failure (keeper, "save", response);
}

static void
start_call (struct crash_keeper *keeper, enum storage_op op, GBytes *body,
            storage_callback done)
{
  guint doublings = MIN (keeper->failures, TIMEOUT_DOUBLINGS);
  struct storage_request request
      = { .op = op,
          .expected = keeper->version,
          .body = body,
          .timeout_us = (TIMEOUT_MIN_MS << doublings) * CLK_MS };
  g_strlcpy (request.name, OBJECT_NAME, sizeof request.name);
  keeper->busy = TRUE;
  keeper->started_at = clk_now (keeper->options.clk);
  object_client_start (keeper->client, &request, done, keeper);
}

static void
save (struct crash_keeper *keeper)
{
  gint64 now = clk_now (keeper->options.clk);
  struct crash_records_written written;
  GBytes *text
      = crash_records_write (keeper->options.suspects,
                             wall_offset (keeper, now), keeper->max, &written);
  keeper->through = written.through;
  start_call (keeper, STORAGE_PUT, text, on_saved);
  g_bytes_unref (text);
}

/* Starts the call that is due, if one is. Called regularly. IS_RESPONSIBLE:
   this instance saves what the others have left.  */
void
crash_keeper_step (struct crash_keeper *keeper, gboolean is_responsible)
{
  gint64 now = clk_now (keeper->options.clk);
  keeper->is_responsible = is_responsible;
  if (keeper->busy || now < keeper->not_before)
    return;
  if (!keeper->is_known)
    start_call (keeper, STORAGE_GET, NULL, on_loaded);
  else if (crash_records_are_due (keeper->options.suspects, is_responsible,
                                  now))
    save (keeper);
}

static gboolean
on_hurry (gpointer data)
{
  struct crash_keeper *keeper = data;
  keeper->source = 0;
  crash_keeper_step (keeper, keeper->is_responsible);
  return G_SOURCE_REMOVE;
}

/* Something is to be saved soon.  */
void
crash_keeper_hurry (struct crash_keeper *keeper)
{
  if (keeper->source == 0)
    keeper->source = g_timeout_add (HURRY_MS, on_hurry, keeper);
}

/* The store has come back from an older copy: what was saved may be lost.  */
void
crash_keeper_store_changed (struct crash_keeper *keeper)
{
  crash_records_lost (keeper->options.suspects);
  keeper->is_known = FALSE;
  crash_keeper_hurry (keeper);
}
