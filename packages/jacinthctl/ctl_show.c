/* Printing of answers.  */
#include "jacinthctl/ctl.h"

#include <string.h>

#define CELL_GAP 2 /* blanks between two columns */

/* Prints the body as it came, with a line end.  */
void
ctl_print_body (const struct ctl_answer *answer)
{
  gsize n = 0;
  const char *text = answer->body ? g_bytes_get_data (answer->body, &n) : "";
  g_print ("%.*s%s", (int)n, text, n > 0 && text[n - 1] == '\n' ? "" : "\n");
}

static void
add_value (JsonArray *array, guint index, JsonNode *node, gpointer data)
{
  GString *text = data;
  (void)array;
  g_string_append_printf (text, "%s%s", index ? ";" : "",
                          json_node_get_string (node));
}

/* Returns NODE as the text of a table's cell; g_free.  */
static char *
cell_text (JsonNode *node)
{
  if (node == NULL || json_node_is_null (node))
    return g_strdup ("-");
  if (JSON_NODE_HOLDS_ARRAY (node))
    {
      GString *text = g_string_new (NULL);
      json_array_foreach_element (json_node_get_array (node), add_value, text);
      return g_string_free (text, FALSE);
    }
  if (!JSON_NODE_HOLDS_VALUE (node))
    return g_strdup ("...");
  switch (json_node_get_value_type (node))
    {
    case G_TYPE_BOOLEAN:
      return g_strdup (json_node_get_boolean (node) ? "yes" : "no");
    case G_TYPE_INT64:
      return g_strdup_printf ("%" G_GINT64_FORMAT, json_node_get_int (node));
    case G_TYPE_DOUBLE:
      return g_strdup_printf ("%g", json_node_get_double (node));
    default:
      return g_strdup (json_node_get_string (node));
    }
}

static char *
row_cell (JsonArray *rows, guint row, const char *column)
{
  JsonObject *object = json_array_get_object_element (rows, row);
  return cell_text (json_object_get_member (object, column));
}

static gsize
column_width (JsonArray *rows, const char *column)
{
  gsize width = strlen (column);
  for (guint row = 0; row < json_array_get_length (rows); row++)
    {
      g_autofree char *text = row_cell (rows, row, column);
      width = MAX (width, strlen (text));
    }
  return width;
}

/* Prints one cell, padded unless it is the LAST of its line.  */
static void
print_cell (const char *text, gsize width, gboolean last)
{
  g_print ("%-*s%s", last ? 0 : (int)(width + CELL_GAP), text,
           last ? "\n" : "");
}

/* Prints the members COLUMNS of the objects in ROWS.  */
void
ctl_print_table (JsonArray *rows, const char *const *columns)
{
  guint n = g_strv_length ((char **)columns);
  gsize *widths = g_new0 (gsize, n + 1);
  for (guint i = 0; i < n; i++)
    {
      widths[i] = column_width (rows, columns[i]);
      g_autofree char *title = g_ascii_strup (columns[i], -1);
      print_cell (title, widths[i], i + 1 == n);
    }
  for (guint row = 0; row < json_array_get_length (rows); row++)
    for (guint i = 0; i < n; i++)
      {
        g_autofree char *text = row_cell (rows, row, columns[i]);
        print_cell (text, widths[i], i + 1 == n);
      }
  g_free (widths);
}

/* Returns the list MEMBER of ANSWER, borrowed; NULL with a message if it is
   none of objects.  */
static JsonArray *
answer_list (const struct ctl_answer *answer, const char *member)
{
  JsonNode *node = NULL;
  if (answer->json != NULL && JSON_NODE_HOLDS_OBJECT (answer->json))
    node = json_object_get_member (json_node_get_object (answer->json), member);
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    {
      g_printerr ("jacinthctl: the answer has no list \"%s\"\n", member);
      return NULL;
    }
  return json_node_get_array (node);
}

/* Shows LIST as a table, or as JSON.  */
enum ctl_exit
ctl_show_list (const struct ctl *ctl, const struct ctl_list *list)
{
  struct ctl_request request = { "GET", list->path, -1, NULL };
  struct ctl_answer answer;
  enum ctl_exit status = ctl_ask (ctl, &request, &answer);
  JsonArray *rows;
  if (status == CTL_OK && ctl->json)
    ctl_print_body (&answer);
  else if (status == CTL_OK
           && (rows = answer_list (&answer, list->member)) != NULL)
    ctl_print_table (rows, list->columns);
  else if (status == CTL_OK)
    status = CTL_REFUSED;
  ctl_answer_clear (&answer);
  return status;
}

static void
print_member (JsonObject *object, const char *name, JsonNode *node,
              gpointer data)
{
  g_autofree char *text = cell_text (node);
  (void)object;
  g_print ("%-*s%s\n", (int)*(gsize *)data + CELL_GAP, name, text);
}

static void
print_members (JsonObject *object)
{
  gsize width = 0;
  GList *names = json_object_get_members (object);
  for (GList *l = names; l != NULL; l = l->next)
    width = MAX (width, strlen (l->data));
  g_list_free (names);
  json_object_foreach_member (object, print_member, &width);
}

/* Shows the object at PATH: as a TABLE of its members, or indented.  */
enum ctl_exit
ctl_show_object (const struct ctl *ctl, const char *path, gboolean table)
{
  struct ctl_request request = { "GET", path, -1, NULL };
  struct ctl_answer answer;
  enum ctl_exit status = ctl_ask (ctl, &request, &answer);
  if (status == CTL_OK && (ctl->json || answer.json == NULL))
    ctl_print_body (&answer);
  else if (status == CTL_OK && table && JSON_NODE_HOLDS_OBJECT (answer.json))
    print_members (json_node_get_object (answer.json));
  else if (status == CTL_OK)
    {
      g_autofree char *text = json_to_string (answer.json, TRUE);
      g_print ("%s\n", text);
    }
  ctl_answer_clear (&answer);
  return status;
}
