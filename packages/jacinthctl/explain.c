/* Reading of logs for the command explain.  */
#include "jacinthctl/explain.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Events that change the state of an instance and can affect any request. */
static const char *const state_change_events[]
    = { "config.applied",  "config.rejected",  "store.lost",
        "store.regained",  "server.leaving",   "server.gone",
        "server.appeared", "server.ejected",   "peer.joined",
        "process.start",   "process.stopping", "process.paused",
        "part.held",       "part.released",    "log.dropped" };

/* Members that are printed at the start of a line, or not at all. */
static const char *const header_members[]
    = { "time", "instance", "event", "request_id", "level" };

struct log_line
{
  char *time;
  char *instance;
  char *event;
  char *request_id; /* "" if none */
  char *text;       /* the JSON object as it was read */
};

static void
log_line_free (gpointer data)
{
  struct log_line *log_line = data;
  g_free (log_line->time);
  g_free (log_line->instance);
  g_free (log_line->event);
  g_free (log_line->request_id);
  g_free (log_line->text);
  g_free (log_line);
}

/* Returns the string member NAME of OBJECT, "" if there is none, to be freed
   with g_free.  */
static char *
dup_string_member (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return g_strdup (node != NULL && JSON_NODE_HOLDS_VALUE (node)
                           && json_node_get_value_type (node) == G_TYPE_STRING
                       ? json_node_get_string (node)
                       : "");
}

/* Adds TEXT to LINES if it contains a JSON object. Anything before the first
   brace is skipped, such as the prefix of a log collector.  */
static void
parse_line (GPtrArray *lines, const char *text)
{
  const char *brace = strchr (text, '{');
  JsonNode *root = brace ? json_from_string (brace, NULL) : NULL;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      JsonObject *object = json_node_get_object (root);
      struct log_line *log_line = g_new0 (struct log_line, 1);
      log_line->time = dup_string_member (object, "time");
      log_line->instance = dup_string_member (object, "instance");
      log_line->event = dup_string_member (object, "event");
      log_line->request_id = dup_string_member (object, "request_id");
      log_line->text = g_strdup (brace);
      g_ptr_array_add (lines, log_line);
    }
  g_clear_pointer (&root, json_node_unref);
}

/* Adds the lines of file PATH to LINES. Returns FALSE with an error message in
   OUT if it cannot be read.  */
static gboolean
read_file (const char *path, GPtrArray *lines, GString *out)
{
  char *text = NULL;
  gsize n;
  GError *error = NULL;
  const char *name = strcmp (path, "-") == 0 ? "/dev/stdin" : path;
  if (!g_file_get_contents (name, &text, &n, &error))
    {
      g_string_append_printf (out, "%s\n", error->message);
      g_error_free (error);
      return FALSE;
    }
  char **split = g_strsplit (text, "\n", -1);
  for (guint i = 0; split[i] != NULL; i++)
    parse_line (lines, split[i]);
  g_strfreev (split);
  g_free (text);
  return TRUE;
}

/* Times are compared as text: all have the same UTC format.  */
static gint
compare_time (gconstpointer a, gconstpointer b)
{
  const struct log_line *x = *(struct log_line *const *)a;
  const struct log_line *y = *(struct log_line *const *)b;
  return strcmp (x->time, y->time);
}

static gboolean
is_state_change (const struct log_line *log_line)
{
  for (guint i = 0; i < G_N_ELEMENTS (state_change_events); i++)
    if (strcmp (log_line->event, state_change_events[i]) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
is_header_member (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (header_members); i++)
    if (strcmp (name, header_members[i]) == 0)
      return TRUE;
  return FALSE;
}

/* Appends all members but header_members to OUT, as NAME=VALUE.  */
static void
append_members (const struct log_line *log_line, GString *out)
{
  JsonNode *root = json_from_string (log_line->text, NULL);
  JsonObject *object = json_node_get_object (root);
  GList *names = json_object_get_members (object);
  for (GList *name = names; name != NULL; name = name->next)
    if (!is_header_member (name->data))
      {
        char *value = json_to_string (
            json_object_get_member (object, name->data), FALSE);
        g_string_append_printf (out, " %s=%s", (const char *)name->data, value);
        g_free (value);
      }
  g_list_free (names);
  json_node_unref (root);
}

/* Appends LOG_LINE to OUT: as JSON, or as text with LABEL before the event.  */
static void
append_line (const struct log_line *log_line, const char *label, gboolean json,
             GString *out)
{
  if (json)
    {
      g_string_append_printf (out, "%s\n", log_line->text);
      return;
    }
  g_string_append_printf (out, "%s %s %s%s", log_line->time, log_line->instance,
                          label, log_line->event);
  append_members (log_line, out);
  g_string_append_c (out, '\n');
}

/* The lines of one instance about the request; indices in the sorted lines. */
struct range
{
  guint first;
  guint last;
};

/* Returns a map from instance to struct range of its lines about request ID,
   and adds the number of these lines to *N. Its keys belong to LINES.  */
static GHashTable *
find_ranges (const GPtrArray *lines, const char *id, guint *n)
{
  GHashTable *ranges
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < lines->len; i++)
    {
      const struct log_line *log_line = g_ptr_array_index (lines, i);
      if (strcmp (log_line->request_id, id) != 0)
        continue;
      struct range *range = g_hash_table_lookup (ranges, log_line->instance);
      if (range == NULL)
        {
          range = g_new (struct range, 1);
          range->first = i;
          g_hash_table_insert (ranges, log_line->instance, range);
        }
      range->last = i;
      (*n)++;
    }
  return ranges;
}

/* Appends the last lines before index END in which INSTANCE logged the state of
   its configuration and of its connection to the store. The event
   store.read_failed is not a change of that state.  */
static void
append_current_state (const GPtrArray *lines, const char *instance, guint end,
                      gboolean json, GString *out)
{
  const struct log_line *config = NULL;
  const struct log_line *store = NULL;
  for (guint i = 0; i < end; i++)
    {
      const struct log_line *log_line = g_ptr_array_index (lines, i);
      if (strcmp (log_line->instance, instance) != 0)
        continue;
      if (strcmp (log_line->event, "config.applied") == 0)
        config = log_line;
      else if (g_str_has_prefix (log_line->event, "store.")
               && strcmp (log_line->event, "store.read_failed") != 0)
        store = log_line;
    }
  if (config != NULL)
    append_line (config, "believed since: ", json, out);
  if (store != NULL)
    append_line (store, "believed since: ", json, out);
}

int
explain_request (const char *id, char *const *files, gboolean json,
                 GString *out)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (log_line_free);
  guint n = 0;
  for (guint i = 0; files[i] != NULL; i++)
    if (!read_file (files[i], lines, out))
      {
        g_ptr_array_unref (lines);
        return -1;
      }
  g_ptr_array_sort (lines, compare_time);
  GHashTable *ranges = find_ranges (lines, id, &n);
  for (guint i = 0; i < lines->len; i++)
    {
      const struct log_line *log_line = g_ptr_array_index (lines, i);
      const struct range *range
          = g_hash_table_lookup (ranges, log_line->instance);
      if (range == NULL || i < range->first || i > range->last)
        continue;
      if (i == range->first)
        append_current_state (lines, log_line->instance, i, json, out);
      if (strcmp (log_line->request_id, id) == 0)
        append_line (log_line, "", json, out);
      else if (is_state_change (log_line))
        append_line (log_line, "meanwhile: ", json, out);
    }
  g_hash_table_unref (ranges);
  g_ptr_array_unref (lines);
  return (int)n;
}
