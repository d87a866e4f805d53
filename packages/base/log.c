#include "base/log.h"

#include <errno.h>
#include <log4c.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES                                                         \
  4000                   /* writes of up to PIPE_BUF (4,096) bytes are atomic */
#define LINES_PER_S 500  /* sustained rate; further lines are dropped */
#define BURST_LINES 1500 /* size of the token bucket */
#define US_PER_S G_GINT64_CONSTANT (1000000)

static struct
{
  log4c_category_t *category; /* NULL while closed; log4c owns it */
  enum log_level level;
  char *instance;        /* owned */
  GString *line;         /* owned; buffer for the line being written */
  double tokens;         /* token bucket: lines that may be written now */
  gint64 refilled_at;    /* of the bucket; monotonic, microseconds */
  guint64 dropped;       /* lines since the last "log.dropped" event */
  guint64 dropped_total; /* lines since log_open */
} state;

static const struct
{
  const char *name;
  int priority;
} levels[] = {
  [LOG_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
  [LOG_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [LOG_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [LOG_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

/* The message of a log4c event is already a complete JSON line.  */
static const char *
json_line_format (const log4c_layout_t *layout,
                  const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

/* Writes a complete line or drops it, so that a slow reader of the log never
   blocks the process.  */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  gsize n = strlen (event->evt_rendered_msg);
  (void)appender;
  if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT)
      && write (STDOUT_FILENO, event->evt_rendered_msg, n) == (gssize)n)
    return (int)n;
  state.dropped++;
  state.dropped_total++;
  return -1;
}

/* Replaces log4c's stream appender, which prefixes each line with its name.  */
static const log4c_appender_type_t line_appender_type
    = { "json_line", NULL, append_line, NULL };

static const log4c_layout_type_t json_line_type
    = { "json_line", json_line_format };

/* Opens the log of INSTANCE on standard output for events of LEVEL and more
   severe ones, without reading log4c's configuration files. Returns a negative
   number if log4c cannot be set up.  */
int
log_open (const char *instance, enum log_level level)
{
  log4c_rc->config.reread = 0;
  if (log4c_layout_type_set (&json_line_type) == NULL
      && log4c_layout_type_get ("json_line") == NULL)
    return -1;
  log4c_layout_t *layout = log4c_layout_get ("json_line");
  log4c_layout_set_type (layout, &json_line_type);
  log4c_appender_t *appender = log4c_appender_get ("json_line");
  if (layout == NULL || appender == NULL)
    return -1;
  log4c_appender_set_type (appender, &line_appender_type);
  log4c_appender_set_layout (appender, layout);
  state.category = log4c_category_get ("jacinthward");
  log4c_category_set_appender (state.category, appender);
  log4c_category_set_priority (state.category, levels[level].priority);
  log4c_category_set_additivity (state.category, 0);
  state.level = level;
  state.tokens = BURST_LINES;
  state.refilled_at = g_get_monotonic_time ();
  state.dropped = state.dropped_total = 0;
  if (state.line == NULL)
    state.line = g_string_new (NULL);
  g_free (state.instance);
  state.instance = g_strdup (instance);
  return 0;
}

/* Closes the log; later events are discarded without being counted.  */
void
log_close (void)
{
  if (state.category == NULL)
    return;
  state.category = NULL;
  g_clear_pointer (&state.instance, g_free);
  g_string_free (state.line, TRUE);
  state.line = NULL;
  log4c_fini ();
}

/* Returns whether an event of LEVEL would be written.  */
gboolean
log_enabled (enum log_level level)
{
  return state.category != NULL && level <= state.level;
}

/* Returns the number of lines dropped since the log was opened.  */
guint64
log_dropped (void)
{
  return state.dropped_total;
}

/* Appends TEXT as a JSON string, with U+FFFD in place of invalid UTF-8.  */
static void
add_string (GString *line, struct str text)
{
  char *valid = NULL;
  if (!g_utf8_validate_len (text.p, text.n, NULL))
    {
      valid = g_utf8_make_valid (text.p, (gssize)text.n);
      text = str_of (valid);
    }
  g_string_append_c (line, '"');
  for (gsize i = 0; i < text.n; i++)
    {
      guchar c = (guchar)text.p[i];
      if (c == '"' || c == '\\')
        g_string_append_c (line, '\\');
      if (c < 0x20 || c == 0x7f)
        g_string_append_printf (line, "\\u%04x", c);
      else
        g_string_append_c (line, (char)c);
    }
  g_string_append_c (line, '"');
  g_free (valid);
}

static void
add_member (GString *line, const char *name, const char *value)
{
  if (value == NULL || *value == '\0')
    return;
  g_string_append_printf (line, ",\"%s\":", name);
  add_string (line, str_of (value));
}

static void
add_time (GString *line)
{
  gint64 now = g_get_real_time ();
  time_t seconds = (time_t)(now / US_PER_S);
  struct tm tm;
  char text[32];
  gmtime_r (&seconds, &tm);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm);
  g_string_append_printf (line, "{\"time\":\"%s.%06dZ\"", text,
                          (int)(now % US_PER_S));
}

static gboolean
is_number (struct str s)
{
  gsize digits = 0;
  gsize points = 0;
  for (gsize i = 0; i < s.n; i++)
    {
      digits += g_ascii_isdigit (s.p[i]) != 0;
      points += s.p[i] == '.';
      if (!g_ascii_isdigit (s.p[i]) && s.p[i] != '.'
          && !(s.p[i] == '-' && i == 0))
        return FALSE;
    }
  gsize first = s.n > 0 && *s.p == '-';
  return digits > 0 && points <= 1 && g_ascii_isdigit (s.p[first])
         && g_ascii_isdigit (s.p[s.n - 1])
         && (s.p[first] != '0' || s.n == first + 1 || s.p[first + 1] == '.');
}

/* Removes NAME=VALUE from the start of TEXT. A value may be in double quotes.
   Returns FALSE if TEXT does not start with such a pair.  */
static gboolean
take_pair (struct str *text, struct str *name, struct str *value)
{
  gsize n = 0;
  while (n < text->n && (g_ascii_isalnum (text->p[n]) || text->p[n] == '_'))
    n++;
  if (n == 0 || n >= text->n || text->p[n] != '=')
    return FALSE;
  *name = (struct str){ text->p, n };
  struct str rest = { text->p + n + 1, text->n - n - 1 };
  char end = ' ';
  if (rest.n > 0 && *rest.p == '"')
    {
      end = '"';
      rest.p++;
      rest.n--;
    }
  const char *stop = memchr (rest.p, end, rest.n);
  if (end == '"' && stop == NULL)
    return FALSE;
  *value = (struct str){ rest.p, stop ? (gsize)(stop - rest.p) : rest.n };
  gsize used = value->n + (stop != NULL);
  rest.p += used;
  rest.n -= used;
  while (rest.n > 0 && *rest.p == ' ')
    rest.p++, rest.n--;
  *text = rest;
  return TRUE;
}

/* Adds each NAME=VALUE pair of TEXT as a member. If something else follows, it
   and all the text after it become the member "text".  */
static void
add_pairs (GString *line, struct str text)
{
  struct str name;
  struct str value;
  while (text.n > 0 && take_pair (&text, &name, &value))
    {
      g_string_append_printf (line, ",\"" STR_FMT "\":", STR_ARG (name));
      if (is_number (value))
        g_string_append_len (line, value.p, (gssize)value.n);
      else
        add_string (line, value);
    }
  if (text.n > 0)
    {
      g_string_append (line, ",\"text\":");
      add_string (line, text);
    }
}

static void
emit (enum log_level level)
{
  log4c_category_log (state.category, levels[level].priority, "%s",
                      state.line->str);
}

/* Takes a token for a line of LEVEL. Returns FALSE and counts a dropped line if
   there is none; errors are always written.  */
static gboolean
take_token (enum log_level level)
{
  gint64 now = g_get_monotonic_time ();
  double refill
      = (double)(now - state.refilled_at) * LINES_PER_S / (double)US_PER_S;
  state.tokens = MIN (state.tokens + refill, BURST_LINES);
  state.refilled_at = now;
  if (state.tokens < 1 && level != LOG_ERROR)
    {
      state.dropped++;
      state.dropped_total++;
      return FALSE;
    }
  state.tokens -= 1;
  return TRUE;
}

static void
log_dropped_lines (void)
{
  guint64 dropped = state.dropped;
  if (dropped == 0)
    return;
  state.dropped = 0;
  g_string_truncate (state.line, 0);
  add_time (state.line);
  add_member (state.line, "level", "warn");
  add_member (state.line, "instance", state.instance);
  add_member (state.line, "event", "log.dropped");
  g_string_append_printf (state.line, ",\"lines\":%" G_GUINT64_FORMAT "}\n",
                          dropped);
  emit (LOG_WARN);
}

/* Writes the event ENTRY. The formatted text should consist of NAME=VALUE
   pairs, which become members of the JSON object; it is truncated to less than
   LINE_MAX_BYTES / 2 bytes.  */
void
log_write (const struct log_entry *entry, const char *format, ...)
{
  if (!log_enabled (entry->level) || !take_token (entry->level))
    return;
  char text[LINE_MAX_BYTES / 2];
  va_list args;
  va_start (args, format);
  g_vsnprintf (text, sizeof text, format, args);
  va_end (args);
  log_dropped_lines ();
  GString *line = state.line;
  g_string_truncate (line, 0);
  add_time (line);
  add_member (line, "level", levels[entry->level].name);
  add_member (line, "instance", state.instance);
  add_member (line, "event", entry->event);
  add_member (line, "request_id", entry->request_id);
  add_member (line, "step", entry->step);
  add_member (line, "peer", entry->peer);
  add_pairs (line, str_of (text));
  if (line->len > LINE_MAX_BYTES - 2)
    {
      /* Escaping made the line too long for an atomic write: write only the
         members that identify the event. */
      g_string_truncate (line, 0);
      add_time (line);
      add_member (line, "level", levels[entry->level].name);
      add_member (line, "event", entry->event);
      add_member (line, "text", "omitted: line too long");
    }
  g_string_append (line, "}\n");
  emit (entry->level);
}

/* Finds the level called NAME. Returns FALSE if there is none.  */
gboolean
log_level_parse (const char *name, enum log_level *level)
{
  for (guint i = 0; i < G_N_ELEMENTS (levels); i++)
    if (strcmp (levels[i].name, name) == 0)
      {
        *level = (enum log_level)i;
        return TRUE;
      }
  return FALSE;
}
