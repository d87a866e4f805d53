/* Steps of the batch: each lasts as long as the batcher says, and gives the
   running sequences a token at its end.  */
#include "standin/engine_internal.h"

#include <glib-unix.h>
#include <sys/timerfd.h>
#include <unistd.h>

/* Starts the next step unless one is running or the engine is frozen.
   Back-to-back steps are timed from the scheduled end of the previous one, so
   that timer delays do not add up.  */
void
engine_schedule (struct engine *engine)
{
  if (engine->step_running || engine->standin.frozen)
    return;
  gint64 duration_us = batcher_begin_step (engine->batcher);
  if (duration_us == 0)
    return;
  if (engine->faults.slow_factor > 0)
    duration_us = (gint64)((double)duration_us * engine->faults.slow_factor);
  gint64 now = g_get_monotonic_time ();
  engine->step_us = duration_us;
  engine->step_end = MAX (engine->step_end, now - duration_us) + duration_us;
  gint64 wait = MAX (engine->step_end - now, 1);
  struct itimerspec at
      = { .it_value = { .tv_sec = wait / G_USEC_PER_SEC,
                        .tv_nsec = wait % G_USEC_PER_SEC * 1000 } };
  timerfd_settime (engine->step_timer, 0, &at, NULL);
  engine->step_running = TRUE;
}

static gboolean
on_step (gint fd, GIOCondition condition, gpointer ctx)
{
  (void)condition;
  struct engine *engine = ctx;
  guint64 expirations;
  if (read (fd, &expirations, sizeof expirations) < 0)
    return G_SOURCE_CONTINUE;
  engine->step_running = FALSE;
  if (!engine->standin.frozen)
    batcher_end_step (engine->batcher, engine->on_token);
  engine_schedule (engine);
  return G_SOURCE_CONTINUE;
}

/* Prepares the timer of the steps. ON_TOKEN is called at the end of each.  */
void
engine_steps_init (struct engine *engine, engine_token_handler on_token)
{
  engine->on_token = on_token;
  engine->step_timer
      = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  g_unix_fd_add (engine->step_timer, G_IO_IN, on_step, engine);
}
