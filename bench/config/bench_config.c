/* What a configuration costs an instance, from its bytes until it is in force:
   time on the main loop, memory, and bytes between instances. Prints one line
   for each size, with the routes at one host and at many.  */
#include "base/clock.h"
#include "transfer/text_delta.h"
#include "platform/config_decode.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define STEP_BUDGET 1200 /* as in platform/config_source.c */
#define GROWTH 1400
#define FINDS 20000
#define TEXT_MAX (64 * 1024 * 1024)
#define BYTES_PER_KB 1024.0
#define BYTES_PER_MB (1024.0 * 1024.0)

static const guint sizes[] = { 100, 1400, 5600, 20000 };
static const guint instances[] = { 80, 295, 390 };

/* Returns the processor time of this thread, in microseconds: other processes
   do not count.  */
static gint64
cpu_now (void)
{
  struct timespec t;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return t.tv_sec * CLK_S + t.tv_nsec / (CLK_S / CLK_MS);
}

static double
elapsed_ms (gint64 since)
{
  return (double)(cpu_now () - since) / (double)CLK_MS;
}

static struct str
text_of (GBytes *bytes)
{
  gsize n;
  const char *p = g_bytes_get_data (bytes, &n);
  return (struct str){ p, n };
}

/* Returns the text of the route template, owned by the caller.  */
static char *
read_template (void)
{
  char *text = NULL;
  g_assert (g_file_get_contents (JW_SOURCE_DIR "/platform/test_route.json",
                                 &text, NULL, NULL));
  return g_strchomp (text);
}

/* Returns a number for route I that does not compress like those in order.  */
static guint
scatter (guint i)
{
  return (i + 1) * 2654435769u;
}

static void
append_route (GString *text, const char *template, guint i, gboolean one_host,
              guint timeout_ms)
{
  GString *route = g_string_new (template);
  const char *fields[] = { "@NAME@", "@HOST@", "@PREFIX@", "@TIMEOUT_MS@" };
  char *values[] = { g_strdup_printf ("r-%08x", scatter (i)),
                     g_strdup_printf ("host%u.example", one_host ? 0 : i),
                     g_strdup_printf ("%08x", ~scatter (i)),
                     g_strdup_printf ("%u", timeout_ms) };
  for (guint k = 0; k < G_N_ELEMENTS (fields); k++)
    {
      g_string_replace (route, fields[k], values[k], 0);
      g_free (values[k]);
    }
  g_string_append_printf (text, "%s%s", i > 0 ? "," : "", route->str);
  g_string_free (route, TRUE);
}

/* Returns a configuration with N routes; the time-out of the one in the middle
   is TIMEOUT_MS.  */
static GBytes *
config_text (guint version, guint n, gboolean one_host, guint timeout_ms)
{
  g_autofree char *template = read_template ();
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "{\"metadata\":{\"name\":\"main\",\"revision\":%u},\"spec\":{"
      "\"version\":%u,\"services\":[{\"name\":\"pool\"}],\"routes\":[",
      version, version);
  for (guint i = 0; i < n; i++)
    append_route (text, template, i, one_host, i == n / 2 ? timeout_ms : 2000);
  g_string_append (text, "]}}");
  return g_string_free_to_bytes (text);
}

struct decoded
{
  struct routing_table *table;
  struct config_routes *routes;
  double total_ms;
  double longest_ms; /* step */
  guint steps;
};

static struct decoded
decode (GBytes *text, const struct config_routes *earlier)
{
  struct decoded decoded = { 0 };
  struct config_decoder *decoder = config_decoder_new (text, earlier);
  struct err err = { 0 };
  int code;
  do
    {
      gint64 start = cpu_now ();
      code = config_decoder_step (decoder, STEP_BUDGET, &err);
      double ms = elapsed_ms (start);
      decoded.total_ms += ms;
      decoded.longest_ms = MAX (decoded.longest_ms, ms);
      decoded.steps++;
    }
  while (code > 0);
  if (code < 0)
    printf ("refused: %s\n", err.text);
  else
    decoded.table = config_decoder_take (decoder, &decoded.routes);
  config_decoder_free (decoder);
  return decoded;
}

static void
decoded_clear (struct decoded *decoded)
{
  routing_table_unref (decoded->table);
  config_routes_free (decoded->routes);
}

static double
find_us (const struct routing_table *table, guint n, gboolean one_host)
{
  gint64 start = cpu_now ();
  guint found = 0;
  for (guint k = 0; k < FINDS; k++)
    {
      char host[32];
      char path[32];
      guint i = k * 7919 % n;
      g_snprintf (host, sizeof host, "host%u.example", one_host ? 0 : i);
      g_snprintf (path, sizeof path, "/%08x/item", ~scatter (i));
      found += routing_table_find (table, str_of (host), str_of (path)) != NULL;
    }
  g_assert (found == FINDS);
  return elapsed_ms (start) * (double)CLK_MS / FINDS;
}

struct change
{
  gsize bytes;
  double encode_ms;
  double apply_ms;
};

static struct change
measure_change (GBytes *base, GBytes *text)
{
  struct change change = { 0 };
  struct err err = { 0 };
  gint64 start = cpu_now ();
  GBytes *delta = text_delta_encode (text_of (base), text_of (text));
  change.encode_ms = elapsed_ms (start);
  change.bytes = g_bytes_get_size (delta);
  start = cpu_now ();
  GBytes *result
      = text_delta_apply (text_of (base), text_of (delta), TEXT_MAX, &err);
  change.apply_ms = elapsed_ms (start);
  g_assert (result != NULL && g_bytes_equal (result, text));
  g_bytes_unref (result);
  g_bytes_unref (delta);
  return change;
}

static void
print_change (const char *what, const struct change *change, gsize whole)
{
  printf ("  %s: %.1f kB (whole %.1f), made in %.2f ms, applied in %.2f;"
          " to all",
          what, (double)change->bytes / BYTES_PER_KB,
          (double)whole / BYTES_PER_KB, change->encode_ms, change->apply_ms);
  for (guint i = 0; i < G_N_ELEMENTS (instances); i++)
    printf (" %u: %.2f MB (%.0f)", instances[i],
            (double)change->bytes * instances[i] / BYTES_PER_MB,
            (double)whole * instances[i] / BYTES_PER_MB);
  printf ("\n");
}

static void
measure (guint n, gboolean one_host)
{
  GBytes *first = config_text (1, n, one_host, 2000);
  GBytes *second = config_text (2, n, one_host, 3000);
  GBytes *grown = config_text (3, n + GROWTH, one_host, 2000);
  gsize whole = g_bytes_get_size (first);
  gsize before = mallinfo2 ().uordblks;
  struct decoded fresh = decode (first, NULL);
  double memory = (double)(mallinfo2 ().uordblks - before) / BYTES_PER_KB;
  if (fresh.table == NULL)
    return;
  struct decoded changed = decode (second, fresh.routes);
  printf ("%u routes of %s, %.0f kB: decoded in %.2f ms (%u steps, longest"
          " %.2f), %.0f kB; one route changed: %.2f ms (%u steps, longest"
          " %.2f); a route found in %.2f us\n",
          n, one_host ? "one host" : "as many hosts",
          (double)whole / BYTES_PER_KB, fresh.total_ms, fresh.steps,
          fresh.longest_ms, memory, changed.total_ms, changed.steps,
          changed.longest_ms, find_us (fresh.table, n, one_host));
  struct change one = measure_change (first, second);
  struct change growth = measure_change (first, grown);
  print_change ("one route changed", &one, whole);
  print_change ("1,400 routes more", &growth, g_bytes_get_size (grown));
  decoded_clear (&changed);
  decoded_clear (&fresh);
  g_bytes_unref (first);
  g_bytes_unref (second);
  g_bytes_unref (grown);
}

int
main (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      measure (sizes[i], TRUE);
      measure (sizes[i], FALSE);
    }
  return 0;
}
