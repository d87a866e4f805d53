/* jacinthctl: the command-line client of the administration API.  */
#include <locale.h>
#include <stdlib.h>
#include <string.h>

#include "config/ini.h"
#include "jacinthctl/jacinthctl.h"
#include "jacinthctl/explain.h"

#define ADDRESS_VARIABLE "JACINTHCTL_ADDRESS"
#define TOKEN_VARIABLE "JACINTHCTL_TOKEN"
#define TIMEOUT_MAX_MS 600000

struct command
{
  const char *group;    /* first word of the command */
  const char *verb;     /* second word; NULL: none */
  const char *argument; /* its name in the help text; NULL: no argument */
  enum ctl_exit_code (*run) (const struct ctl_options *ctl_options,
                             const char *argument);
  const char *help;
  gboolean works_offline; /* it needs no address */
};

static enum ctl_exit_code
preset_list (const struct ctl_options *ctl_options, const char *unused)
{
  static const char *const columns[] = { "name", "in_force", NULL };
  static const struct ctl_list list = { "/presets", "presets", columns };
  (void)unused;
  return ctl_show_list (ctl_options, &list);
}

static enum ctl_exit_code
class_list (const struct ctl_options *ctl_options, const char *unused)
{
  static const char *const columns[] = { "name",        "tier",
                                         "ttft_ms",     "tbt_ms",
                                         "deadline_ms", "min_share",
                                         "max_waiting", "reserved_waiting",
                                         "retry_share", "link_bytes_per_s",
                                         "spill",       NULL };
  static const struct ctl_list list = { "/classes", "classes", columns };
  (void)unused;
  return ctl_show_list (ctl_options, &list);
}

static enum ctl_exit_code
team_list (const struct ctl_options *ctl_options, const char *unused)
{
  static const char *const columns[]
      = { "name", "weight", "max_running", "default_class", "classes", NULL };
  static const struct ctl_list list = { "/teams", "teams", columns };
  (void)unused;
  return ctl_show_list (ctl_options, &list);
}

static enum ctl_exit_code
backend_list (const struct ctl_options *ctl_options, const char *unused)
{
  static const char *const columns[]
      = { "name",        "address",      "pool",  "kind", "cell",
          "max_running", "checks_fence", "drain", NULL };
  static const struct ctl_list list = { "/backends", "backends", columns };
  (void)unused;
  return ctl_show_list (ctl_options, &list);
}

static enum ctl_exit_code
instance_list (const struct ctl_options *ctl_options, const char *unused)
{
  static const char *const columns[]
      = { "id",   "domain",  "region",  "address",
          "live", "leaving", "version", NULL };
  static const struct ctl_list list = { "/instances", "instances", columns };
  (void)unused;
  return ctl_show_list (ctl_options, &list);
}

static enum ctl_exit_code
dump_state (const struct ctl_options *ctl_options, const char *unused)
{
  (void)unused;
  return ctl_show_object (ctl_options, "/dump", FALSE);
}

static enum ctl_exit_code
show_stats (const struct ctl_options *ctl_options, const char *unused)
{
  (void)unused;
  return ctl_show_object (ctl_options, "/stats", TRUE);
}

static const struct command commands[] = {
  { "config", "get", NULL, ctl_config_get, "the configuration in force" },
  { "config", "apply", "FILE", ctl_config_apply, "put FILE in force" },
  { "config", "diff", "FILE", ctl_config_diff,
    "how FILE differs from the one in force" },
  { "config", "check", "FILE", ctl_config_check,
    "what is wrong or without effect in FILE", TRUE },
  { "config", "status", NULL, ctl_config_status,
    "which version each instance has" },
  { "preset", "list", NULL, preset_list, "presets and which is in force" },
  { "preset", "use", "NAME", ctl_preset_use, "put a preset in force" },
  { "class", "list", NULL, class_list, "classes as the preset sets them" },
  { "team", "list", NULL, team_list, "teams" },
  { "backend", "list", NULL, backend_list, "backend servers" },
  { "drain", NULL, "NAME", ctl_drain,
    "send no new requests to a backend server" },
  { "undrain", NULL, "NAME", ctl_undrain, "send requests to it again" },
  { "instances", NULL, NULL, instance_list,
    "instances that the addressed one knows" },
  { "dump", NULL, NULL, dump_state, "the state of the instance" },
  { "stats", NULL, NULL, show_stats, "the counters of the instance" },
};

/* Returns the list of commands and exit codes for --help, to be freed with
   g_free.  */
static char *
help_description (void)
{
  GString *text = g_string_new ("Commands:\n");
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct command *c = &commands[i];
      g_autofree char *words
          = g_strjoin (" ", c->group,
                       c->verb       ? c->verb
                       : c->argument ? c->argument
                                     : "",
                       c->verb && c->argument ? c->argument : "", NULL);
      g_string_append_printf (text, "  %-20s %s\n", words, c->help);
    }
  g_string_append (text, "  explain ID FILE...   the events of a request, from "
                         "log files; needs no instance\n"
                         "\nExit status:\n");
#define EXIT_LINE(id, number, meaning)                                         \
  g_string_append_printf (text, "  %d  %s\n", number, meaning);
  CTL_EXIT_CODES (EXIT_LINE)
#undef EXIT_LINE
  return g_string_free (text, FALSE);
}

/* Finds the command for the N WORDS of the command line and sets *ARGUMENT to
   its argument, NULL if it takes none. Returns NULL if there is no such command
   or the number of words is wrong.  */
static const struct command *
find_command (char **words, guint n, const char **argument)
{
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct command *c = &commands[i];
      guint command_words = c->verb ? 2 : 1;
      if (n != command_words + (c->argument ? 1 : 0)
          || strcmp (words[0], c->group) != 0
          || (c->verb != NULL && strcmp (words[1], c->verb) != 0))
        continue;
      *argument = c->argument ? words[command_words] : NULL;
      return c;
    }
  return NULL;
}

/* Values of the options; strings are owned. */
struct arguments
{
  char *address;
  char *token_file;
  char *against;
  gboolean json;
  gboolean show_version;
  int timeout_ms;
  gint64 expected_version; /* -1: the one in force */
};

/* Parses the options and removes them from ARGV. Returns FALSE after an error
   message if they are invalid.  */
static gboolean
read_options (int *argc, char ***argv, struct arguments *a)
{
  const GOptionEntry entries[] = {
    { "address", 'a', 0, G_OPTION_ARG_STRING, &a->address,
      "Administration address of an instance; default: $" ADDRESS_VARIABLE,
      "IP:PORT" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &a->token_file,
      "File with the operator's token; default: $" TOKEN_VARIABLE, "FILE" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &a->json, "Print JSON", NULL },
    { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &a->timeout_ms,
      "Time limit of a request", "N" },
    { "expect", 0, 0, G_OPTION_ARG_INT64, &a->expected_version,
      "Apply only to this version; default: the one in force", "VERSION" },
    { "against", 0, 0, G_OPTION_ARG_FILENAME, &a->against,
      "config check: compare with this file; default: the version in force",
      "FILE" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &a->show_version,
      "Print the version of jacinthctl and exit", NULL },
    { NULL },
  };
  g_autoptr (GError) error = NULL;
  g_autofree char *description = help_description ();
  GOptionContext *context = g_option_context_new ("COMMAND");
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (context, description);
  gboolean ok = g_option_context_parse (context, argc, argv, &error);
  if (!ok)
    g_printerr ("jacinthctl: %s\n", error->message);
  g_option_context_free (context);
  return ok;
}

/* Returns the operator's token from FILE, or from the environment if FILE is
   NULL, to be freed with g_free; NULL if there is none. Sets *OK to FALSE after
   an error message if FILE cannot be read.  */
static char *
read_token (const char *file, gboolean *ok)
{
  g_autoptr (GError) error = NULL;
  char *token = NULL;
  *ok = TRUE;
  if (file == NULL)
    return g_strdup (g_getenv (TOKEN_VARIABLE));
  if (g_file_get_contents (file, &token, NULL, &error))
    return g_strstrip (token);
  g_printerr ("jacinthctl: %s\n", error->message);
  *ok = FALSE;
  return NULL;
}

/* Returns FALSE after an error message if ADDRESS or the time limit is not
   valid.  */
static gboolean
check_arguments (const struct arguments *a, const char *address)
{
  if (address == NULL || !ini_address_ok (address, FALSE))
    g_printerr ("jacinthctl: --address \"%s\" is wrong; allowed: IP:PORT\n",
                address ? address : "");
  else if (a->timeout_ms < 1 || a->timeout_ms > TIMEOUT_MAX_MS)
    g_printerr ("jacinthctl: --timeout-ms %d is wrong; allowed: 1 to %d\n",
                a->timeout_ms, TIMEOUT_MAX_MS);
  else
    return TRUE;
  return FALSE;
}

/* The command explain. It reads log files only, so that it needs neither an
   address nor a token. Returns the exit code.  */
static int
explain_from_logs (const struct arguments *a, const char *id,
                   char *const *files)
{
  GString *out = g_string_new (NULL);
  int n = explain_request (id, files, a->json, out);
  int status = n > 0    ? CTL_EXIT_OK
               : n == 0 ? CTL_EXIT_REJECTED
                        : CTL_EXIT_USAGE;
  if (n < 0)
    g_printerr ("jacinthctl: %s", out->str);
  else if (n == 0)
    g_printerr ("jacinthctl: no log line about request %s\n", id);
  else
    g_print ("%s", out->str);
  g_string_free (out, TRUE);
  return status;
}

/* Runs the command in ARGV, which contains no options. Returns the exit
   code.  */
static int
run (const struct arguments *a, int argc, char **argv)
{
  if (argc > 3 && strcmp (argv[1], "explain") == 0)
    return explain_from_logs (a, argv[2], argv + 3);
  const char *argument = NULL;
  gboolean ok;
  const struct command *command
      = argc > 1 ? find_command (argv + 1, (guint)argc - 1, &argument) : NULL;
  if (command == NULL)
    {
      g_printerr ("jacinthctl: no such command; see --help\n");
      return CTL_EXIT_USAGE;
    }
  const char *address = a->address ? a->address : g_getenv (ADDRESS_VARIABLE);
  gboolean is_offline
      = command->works_offline && (address == NULL || a->against != NULL);
  if (!is_offline && !check_arguments (a, address))
    return CTL_EXIT_USAGE;
  g_autofree char *token = read_token (a->token_file, &ok);
  if (!ok)
    return CTL_EXIT_USAGE;
  struct ctl_options ctl_options
      = { address,   token, a->json, a->expected_version, (guint)a->timeout_ms,
          a->against };
  return (int)command->run (&ctl_options, argument);
}

int
main (int argc, char **argv)
{
  struct arguments a = { .timeout_ms = CTL_TIMEOUT_MS, .expected_version = -1 };
  int status = CTL_EXIT_OK;
  setlocale (LC_CTYPE, "");
  if (!read_options (&argc, &argv, &a))
    status = CTL_EXIT_USAGE;
  else if (a.show_version)
    g_print ("jacinthctl %s\n", JW_VERSION);
  else
    status = run (&a, argc, argv);
  g_free (a.address);
  g_free (a.token_file);
  g_free (a.against);
  return status;
}
