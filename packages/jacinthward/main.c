/* jacinthward: the router's daemon.  */
#include <glib-unix.h>
#include <signal.h>
#include <stdlib.h>

#include "base/log.h"
#include "jacinthward/dmn.h"

#define EXIT_SETTINGS 2 /* settings or command line are wrong */
#define EXIT_START 3    /* a listener or a state chart failed */

struct arguments
{
  char *settings; /* path */
  gboolean check;
  gboolean version;
};

static gboolean
read_arguments (int *argc, char ***argv, struct arguments *arguments)
{
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &arguments->settings,
      "Settings of this instance (INI)", "FILE" },
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
  else if (!arguments->version && arguments->settings == NULL)
    {
      g_printerr ("jacinthward: --settings FILE is needed\n");
      ok = FALSE;
    }
  g_clear_error (&error);
  g_option_context_free (context);
  return ok;
}

static gboolean
read_settings (const char *path, struct set_settings *settings)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  gboolean ok = set_read (settings, path, problems) >= 0;
  for (guint i = 0; i < problems->len; i++)
    g_printerr ("jacinthward: %s\n",
                (const char *)g_ptr_array_index (problems, i));
  g_ptr_array_unref (problems);
  return ok;
}

static gboolean
on_terminate (gpointer data)
{
  dmn_shut_down (data);
  return G_SOURCE_CONTINUE;
}

static int
run (const struct set_settings *settings)
{
  struct dmn *dmn;
  struct err err = { 0 };
  if (log_open (settings->id.s, settings->log_level) < 0)
    g_printerr ("jacinthward: logs cannot be opened\n");
  if (dmn_new (settings, &dmn, &err) < 0)
    {
      g_printerr ("jacinthward: %s: %s: %s\n", err.step, err.peer, err.text);
      return EXIT_START;
    }
  signal (SIGPIPE, SIG_IGN);
  g_unix_signal_add (SIGTERM, on_terminate, dmn);
  g_unix_signal_add (SIGINT, on_terminate, dmn);
  dmn_announce (dmn);
  dmn_run (dmn);
  dmn_free (dmn);
  log_close ();
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };
  struct set_settings settings = { 0 };
  int status = EXIT_SUCCESS;
  if (!read_arguments (&argc, &argv, &arguments))
    status = EXIT_SETTINGS;
  else if (arguments.version)
    g_print ("jacinthward %s\n", JW_VERSION);
  else if (!read_settings (arguments.settings, &settings))
    status = EXIT_SETTINGS;
  else if (arguments.check)
    g_print ("%s: no problems\n", arguments.settings);
  else
    status = run (&settings);
  set_clear (&settings);
  g_free (arguments.settings);
  return status;
}
