#include "net/signal_watch.h"

#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#define SIGNALS_MAX 65 /* numbers, from 0 */

struct signal_watch
{
  struct signal_watch_options options;
  int pipe[2];  /* a byte wakes the main loop */
  guint source; /* GLib source */
};

/* Shared with the signal handler. A time of 0: no signal to report.  */
static struct
{
  const struct clk *clk;
  int wake_fd;
  _Atomic long long arrived_at[SIGNALS_MAX];
} pending;

G_STATIC_ASSERT (ATOMIC_LLONG_LOCK_FREE == 2);

/* Only async-signal-safe calls are allowed here.  */
static void
on_signal (int signal)
{
  int saved = errno;
  long long none = 0;
  atomic_compare_exchange_strong (&pending.arrived_at[signal], &none,
                                  clk_now (pending.clk));
  /* If the pipe is full, the loop wakes anyway. */
  gssize n = write (pending.wake_fd, "", 1);
  (void)n;
  errno = saved;
}

static gboolean
on_wake (gint fd, GIOCondition condition, gpointer data)
{
  const struct signal_watch_options *options
      = &((struct signal_watch *)data)->options;
  char bytes[SIGNALS_MAX];
  (void)condition;
  while (read (fd, bytes, sizeof bytes) > 0)
    ;
  for (const int *signal = options->signals; *signal != 0; signal++)
    {
      gint64 arrived_at = atomic_exchange (&pending.arrived_at[*signal], 0);
      if (arrived_at != 0)
        options->handler (options->ctx, *signal, arrived_at);
    }
  return G_SOURCE_CONTINUE;
}

/* Begins to watch the signals, which no longer end the process. Signals of one
   number that arrive before the loop handles them are reported once. A process
   has one watch at a time. Returns NULL and sets ERR if it cannot.  */
struct signal_watch *
signal_watch_new (const struct signal_watch_options *options, struct err *err)
{
  struct signal_watch *signal_watch = g_new0 (struct signal_watch, 1);
  struct sigaction action = { .sa_handler = on_signal, .sa_flags = SA_RESTART };
  GError *error = NULL;
  signal_watch->options = *options;
  signal_watch->pipe[0] = signal_watch->pipe[1] = -1;
  if (!g_unix_open_pipe (signal_watch->pipe, FD_CLOEXEC, &error)
      || !g_unix_set_fd_nonblocking (signal_watch->pipe[0], TRUE, &error)
      || !g_unix_set_fd_nonblocking (signal_watch->pipe[1], TRUE, &error))
    {
      err_set (err, ERR_LIMIT, "signal.watch", "", "%s", error->message);
      g_error_free (error);
      goto fail;
    }
  pending.clk = options->clk;
  pending.wake_fd = signal_watch->pipe[1];
  for (const int *signal = options->signals; *signal != 0; signal++)
    sigaction (*signal, &action, NULL);
  signal_watch->source
      = g_unix_fd_add_full (G_PRIORITY_HIGH, signal_watch->pipe[0], G_IO_IN,
                            on_wake, signal_watch, NULL);
  return signal_watch;
fail:
  if (signal_watch->pipe[0] >= 0)
    {
      close (signal_watch->pipe[0]);
      close (signal_watch->pipe[1]);
    }
  g_free (signal_watch);
  return NULL;
}

/* Ends the watch. The signals are ignored from now on: the process is about to
   end, and its exit status must not depend on them.  */
void
signal_watch_free (struct signal_watch *signal_watch)
{
  if (signal_watch == NULL)
    return;
  for (const int *number = signal_watch->options.signals; *number != 0;
       number++)
    signal (*number, SIG_IGN);
  g_source_remove (signal_watch->source);
  close (signal_watch->pipe[0]);
  close (signal_watch->pipe[1]);
  g_free (signal_watch);
}
