#include "base/log.h"

#include <log4c.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static struct
{
  log4c_category_t *category; /* NULL while closed; log4c owns it */
  enum log_level level;
  char *instance; /* owned */
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

/* The message of an event is already a JSON object; ends it with a newline.
   log4c keeps no copy, so the text lives in a static buffer.  */
static const char *
json_line_format (const log4c_layout_t *layout,
                  const log4c_logging_event_t *event)
{
  static GString *line;
  (void)layout;
  if (line == NULL)
    line = g_string_new (NULL);
  g_string_assign (line, event->evt_msg);
  g_string_append_c (line, '\n');
  return line->str;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr);
}

/* log4c's own stream type puts the appender's name before each line.  */
static const log4c_appender_type_t line_appender_type
    = { "json_line", NULL, append_line, NULL };

static const log4c_layout_type_t json_line_type
    = { "json_line", json_line_format };

/* Opens the log on standard error for INSTANCE, passing LEVEL and above.
   log4c's own configuration files are not read. Returns 0 or a negative
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
  g_free (state.instance);
  state.instance = g_strdup (instance);
  return 0;
}

/* Ends logging; later events are dropped.  */
void
log_close (void)
{
  if (state.category == NULL)
    return;
  state.category = NULL;
  g_clear_pointer (&state.instance, g_free);
  log4c_fini ();
}

/* Tells whether an event of LEVEL would be written.  */
gboolean
log_enabled (enum log_level level)
{
  return state.category != NULL && level <= state.level;
}

static void
add_member (JsonBuilder *json, const char *name, const char *value)
{
  if (value == NULL || *value == '\0')
    return;
  json_builder_set_member_name (json, name);
  if (g_utf8_validate (value, -1, NULL))
    {
      json_builder_add_string_value (json, value);
      return;
    }
  char *valid = g_utf8_make_valid (value, -1);
  json_builder_add_string_value (json, valid);
  g_free (valid);
}

/* Writes ENTRY with the formatted text as its "text" member.  */
void
log_write (const struct log_entry *entry, const char *format, ...)
{
  if (!log_enabled (entry->level))
    return;
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  GDateTime *now = g_date_time_new_now_utc ();
  char *time = g_date_time_format_iso8601 (now);
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  add_member (json, "time", time);
  add_member (json, "level", levels[entry->level].name);
  add_member (json, "instance", state.instance);
  add_member (json, "event", entry->event);
  add_member (json, "request_id", entry->request_id);
  add_member (json, "step", entry->step);
  add_member (json, "peer", entry->peer);
  add_member (json, "text", text);
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *line = json_to_string (root, FALSE);
  log4c_category_log (state.category, levels[entry->level].priority, "%s",
                      line);
  g_free (line);
  json_node_unref (root);
  g_object_unref (json);
  g_free (time);
  g_date_time_unref (now);
  g_free (text);
}

/* Reads a level by NAME. Returns FALSE if there is none such.  */
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
