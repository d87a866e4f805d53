/* jw_load: sends load to instances or engines and prints what the clients
   measured as lines "name value unit".  */
#include "load/traffic.h"

#include <stdio.h>

#define US_PER_MS 1000

int
main (int argc, char **argv)
{
  static struct traffic_options options
      = { .model = "m", .clients = 32, .prompt_size = 400, .prefixes = 16 };
  char **targets = NULL;
  char **classes = NULL;
  double seconds = 5;
  gint64 warmup_ms = 500;
  gint64 think_ms = 0;
  gint64 seed = 1;
  GOptionEntry entries[] = {
    { "target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &targets,
      "Address to send requests to; may be repeated", "IP:PORT" },
    { "key", 0, 0, G_OPTION_ARG_STRING, &options.key, "The team's key", "KEY" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &options.model, "Model", "NAME" },
    { "class", 0, 0, G_OPTION_ARG_STRING_ARRAY, &classes,
      "Class and its share of the requests; may be repeated", "NAME=SHARE" },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &options.rate_per_s,
      "Arrivals a second (open loop)", "N" },
    { "callers", 0, 0, G_OPTION_ARG_INT, &options.clients,
      "Clients; with --rate, the most requests in progress", "N" },
    { "think-ms", 0, 0, G_OPTION_ARG_INT64, &think_ms,
      "Mean time from a response to the next request", "MS" },
    { "stream", 0, 0, G_OPTION_ARG_NONE, &options.stream, "Streamed responses",
      NULL },
    { "tokens", 0, 0, G_OPTION_ARG_INT, &options.tokens,
      "Tokens of each response; 0: derived from the prompt", "N" },
    { "spread", 0, 0, G_OPTION_ARG_INT, &options.spread,
      "Tokens that a response may have more or less", "N" },
    { "cut", 0, 0, G_OPTION_ARG_NONE, &options.abort_at_end,
      "Disconnect at the end instead of waiting for responses", NULL },
    { "prompt-size", 0, 0, G_OPTION_ARG_INT, &options.prompt_size,
      "Size of a prompt", "BYTES" },
    { "prefixes", 0, 0, G_OPTION_ARG_INT, &options.prefixes,
      "Number of different prefixes", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed", "N" },
    { "warmup-ms", 0, 0, G_OPTION_ARG_INT64, &warmup_ms,
      "Time before the measurement", "MS" },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &seconds, "Measured time", "S" },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context
      = g_option_context_new ("- generate load on instances or engines");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || targets == NULL
      || options.clients < 1 || seconds <= 0)
    {
      fprintf (stderr, "%s\n",
               error != NULL ? error->message : "--target is missing");
      return 2;
    }
  g_option_context_free (context);
  options.targets = (const char *const *)targets;
  options.classes = (const char *const *)classes;
  options.seed = (guint64)seed;
  options.think_us = think_ms * US_PER_MS;
  options.warmup_us = warmup_ms * US_PER_MS;
  options.duration_us = (gint64)(seconds * G_USEC_PER_SEC);
  struct traffic_result result;
  traffic_run (&options, &result);
  traffic_print (&result, "");
  int status = traffic_errors (&result) > 0 ? 1 : 0;
  traffic_result_clear (&result);
  return status;
}
