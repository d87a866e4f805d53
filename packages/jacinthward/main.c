/* The Jacinthward daemon's command line. Depending on its settings file the
   process runs as a router or as a reverse proxy.  */
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>

#include "base/log.h"
#include "jacinthward/router_daemon.h"
#include "jacinthward/proxy_daemon.h"
#include "net/signal_watch.h"

#define EXIT_SETTINGS 2 /* invalid settings or command line */
#define SETTINGS_VARIABLE "JACINTHWARD_CONFIG" /* path of the settings file */
#define MMAP_THRESHOLD_BYTES (128 * 1024)
#define EXIT_START 3 /* a listener or a state chart failed to open */

struct arguments
{
  char *settings; /* path of the settings file */
  gboolean check;
  gboolean version;
};

static gboolean
read_arguments (int *argc, char ***argv, struct arguments *arguments)
{
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &arguments->settings,
      "Settings file of this instance (INI)", "FILE" },
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, &arguments->check,
      "Check the settings and exit", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &arguments->version,
      "Print the version and exit", NULL },
    { NULL },
  };
  GError *error = NULL;
  GOptionContext *context
      = g_option_context_new ("- route language-model traffic");
  g_option_context_add_main_entries (context, entries, NULL);
  gboolean ok = g_option_context_parse (context, argc, argv, &error);
  if (!ok)
    g_printerr ("jacinthward: %s\n", error->message);
  if (ok && arguments->settings == NULL)
    arguments->settings = g_strdup (g_getenv (SETTINGS_VARIABLE));
  if (ok && !arguments->version && arguments->settings == NULL)
    {
      g_printerr ("jacinthward: --settings FILE is required\n");
      ok = FALSE;
    }
  g_clear_error (&error);
  g_option_context_free (context);
  return ok;
}

static gboolean
read_router_settings (const char *path, struct router_settings *settings)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  gboolean ok = router_settings_read (settings, path, problems) >= 0;
  for (guint i = 0; i < problems->len; i++)
    g_printerr ("jacinthward: %s\n",
                (const char *)g_ptr_array_index (problems, i));
  g_ptr_array_unref (problems);
  return ok;
}

/* SIGINT first: if it comes together with SIGTERM, it is no further one. */
static const int watched_signals[] = { SIGINT, SIGTERM, SIGHUP, 0 };

/* A further SIGTERM must not shorten a shutdown, as requests are in progress; a
   further SIGINT comes from a person at the terminal and ends the process.  */
static void
on_router_signal (void *ctx, int signal, gint64 arrived_at)
{
  struct router_daemon *daemon = *(struct router_daemon **)ctx;
  (void)arrived_at;
  if (signal == SIGHUP)
    log_event (LOG_INFO, "process.reload",
               "nothing was reloaded: settings are read at startup only");
  else if (signal == SIGINT && router_daemon_is_stopping (daemon))
    router_daemon_quit (daemon);
  else
    router_daemon_shut_down (daemon);
}

static int
run_router (const struct router_settings *settings)
{
  struct router_daemon *daemon = NULL;
  struct signal_watch *signal_watch = NULL;
  struct err err = { 0 };
  const struct signal_watch_options options = { .signals = watched_signals,
                                                .clk = clk_boottime (),
                                                .handler = on_router_signal,
                                                .ctx = &daemon };
  int status = EXIT_START;
  if (log_open (settings->id.s, settings->log_level) < 0)
    g_printerr ("jacinthward: cannot open the log\n");
  signal_watch = signal_watch_new (&options, &err);
  if (signal_watch == NULL || router_daemon_new (settings, &daemon, &err) < 0)
    {
      g_printerr ("jacinthward: %s: %s: %s\n", err.step, err.peer, err.text);
      goto fail;
    }
  router_daemon_announce (daemon);
  router_daemon_run (daemon);
  router_daemon_free (daemon);
  status = EXIT_SUCCESS;
fail:
  signal_watch_free (signal_watch);
  log_close ();
  return status;
}

/* What the handler of a reverse proxy's signals needs.  */
struct proxy_process
{
  struct proxy_daemon *daemon;
  const char *settings_path; /* borrowed */
};

/* As on_router_signal, but SIGHUP reloads the limits.  */
static void
on_proxy_signal (void *ctx, int signal, gint64 arrived_at)
{
  const struct proxy_process *process = ctx;
  struct proxy_daemon *daemon = process->daemon;
  if (signal == SIGHUP)
    proxy_daemon_reload (daemon, process->settings_path);
  else if (signal == SIGINT && proxy_daemon_is_stopping (daemon))
    proxy_daemon_quit (daemon);
  else
    proxy_daemon_shut_down (daemon, arrived_at);
}

/* Runs a reverse proxy with SETTINGS, which were read from PATH. TOLERATED
   tells which of them have their defaults because they are wrong.  */
static int
run_proxy (const struct proxy_settings *settings, const char *path,
           const GPtrArray *tolerated)
{
  struct proxy_process process = { .settings_path = path };
  struct signal_watch *signal_watch = NULL;
  struct err err = { 0 };
  const struct signal_watch_options options = { .signals = watched_signals,
                                                .clk = clk_boottime (),
                                                .handler = on_proxy_signal,
                                                .ctx = &process };
  int status = EXIT_START;
  if (log_open (settings->id.s, settings->log_level) < 0)
    g_printerr ("jacinthward: cannot open the log\n");
  for (guint i = 0; i < tolerated->len; i++)
    log_event (LOG_ERROR, "settings.replaced", "%s",
               (const char *)g_ptr_array_index (tolerated, i));
  signal_watch = signal_watch_new (&options, &err);
  if (signal_watch == NULL
      || proxy_daemon_new (settings, &process.daemon, &err) < 0)
    {
      g_printerr ("jacinthward: %s: %s: %s\n", err.step, err.peer, err.text);
      goto fail;
    }
  proxy_daemon_run (process.daemon);
  proxy_daemon_free (process.daemon);
  status = EXIT_SUCCESS;
fail:
  signal_watch_free (signal_watch);
  log_close ();
  return status;
}

/* Reads the settings of a reverse proxy and runs it, unless only the check of
   the settings was requested.  */
static int
main_proxy (const struct arguments *arguments)
{
  struct proxy_settings settings = { 0 };
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *tolerated = g_ptr_array_new_with_free_func (g_free);
  int status = EXIT_SUCCESS;
  if (proxy_settings_read (&settings, arguments->settings, problems,
                           arguments->check ? problems : tolerated)
          < 0
      || (arguments->check && problems->len > 0))
    status = EXIT_SETTINGS;
  for (guint i = 0; i < problems->len; i++)
    g_printerr ("jacinthward: %s\n",
                (const char *)g_ptr_array_index (problems, i));
  if (status == EXIT_SUCCESS && arguments->check)
    g_print ("%s: no problems\n", arguments->settings);
  else if (status == EXIT_SUCCESS)
    status = run_proxy (&settings, arguments->settings, tolerated);
  g_ptr_array_unref (problems);
  g_ptr_array_unref (tolerated);
  proxy_settings_clear (&settings);
  return status;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };
  struct router_settings settings = { 0 };
  int status = EXIT_SUCCESS;
  /* A fixed threshold: large buffers go back to the system when they are
     freed, instead of leaving the heap in pieces. */
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  signal (SIGPIPE, SIG_IGN);
  /* Until it is watched, SIGHUP would end the process. */
  signal (SIGHUP, SIG_IGN);
  if (!read_arguments (&argc, &argv, &arguments))
    status = EXIT_SETTINGS;
  else if (arguments.version)
    g_print ("jacinthward %s\n", JW_VERSION);
  else if (proxy_settings_detect (arguments.settings))
    status = main_proxy (&arguments);
  else if (!read_router_settings (arguments.settings, &settings))
    status = EXIT_SETTINGS;
  else if (arguments.check)
    g_print ("%s: no problems\n", arguments.settings);
  else
    status = run_router (&settings);
  router_settings_clear (&settings);
  g_free (arguments.settings);
  return status;
}
