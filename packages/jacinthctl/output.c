/* Output of responses.  */
#include "jacinthctl/jacinthctl.h"

#include <string.h>

#define COLUMN_GAP 2 /* spaces between two columns */

/* Prints the body unchanged, with a newline at its end.  */
void
ctl_print_body (const struct ctl_response *response)
{
  gsize n = 0;
  const char *text
      = response->body ? g_bytes_get_data (response->body, &n) : "";
  g_print ("%.*s%s", (int)n, text, n > 0 && text[n - 1] == '\n' ? "" : "\n");
}

static void
append_element (JsonArray *array, guint index, JsonNode *node, gpointer data)
{
  GString *text = data;
  (void)array;
  g_string_append_printf (text, "%s%s", index ? ";" : "",
                          json_node_get_string (node));
}

/* Returns NODE as text: an array of strings joined by ";", "-" for null and
   "..." for an object. Free it with g_free.  */
static char *
value_text (JsonNode *node)
{
  if (node == NULL || json_node_is_null (node))
    return g_strdup ("-");
  if (JSON_NODE_HOLDS_ARRAY (node))
    {
      GString *text = g_string_new (NULL);
      json_array_foreach_element (json_node_get_array (node), append_element,
                                  text);
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
row_value_text (JsonArray *rows, guint row, const char *column)
{
  JsonObject *object = json_array_get_object_element (rows, row);
  return value_text (json_object_get_member (object, column));
}

static gsize
column_width (JsonArray *rows, const char *column)
{
  gsize width = strlen (column);
  for (guint row = 0; row < json_array_get_length (rows); row++)
    {
      g_autofree char *text = row_value_text (rows, row, column);
      width = MAX (width, strlen (text));
    }
  return width;
}

/* Prints TEXT padded to its column, or the LAST one of a row with a newline. */
static void
print_column (const char *text, gsize width, gboolean last)
{
  g_print ("%-*s%s", last ? 0 : (int)(width + COLUMN_GAP), text,
           last ? "\n" : "");
}

/* Prints a table of the objects in ROWS, a heading and one row each. COLUMNS
   are the names of the members to print, NULL-terminated.  */
void
ctl_print_table (JsonArray *rows, const char *const *columns)
{
  guint n = g_strv_length ((char **)columns);
  gsize *widths = g_new0 (gsize, n + 1);
  for (guint i = 0; i < n; i++)
    {
      widths[i] = column_width (rows, columns[i]);
      g_autofree char *title = g_ascii_strup (columns[i], -1);
      print_column (title, widths[i], i + 1 == n);
    }
  for (guint row = 0; row < json_array_get_length (rows); row++)
    for (guint i = 0; i < n; i++)
      {
        g_autofree char *text = row_value_text (rows, row, columns[i]);
        print_column (text, widths[i], i + 1 == n);
      }
  g_free (widths);
}

/* Returns the array MEMBER of RESPONSE, borrowed; NULL after an error message
   if there is none.  */
static JsonArray *
response_list (const struct ctl_response *response, const char *member)
{
  JsonNode *node = NULL;
  if (response->json != NULL && JSON_NODE_HOLDS_OBJECT (response->json))
    node = json_object_get_member (json_node_get_object (response->json),
                                   member);
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    {
      g_printerr ("jacinthctl: the response has no list \"%s\"\n", member);
      return NULL;
    }
  return json_node_get_array (node);
}

/* Requests LIST and prints it as a table, or as JSON.  */
enum ctl_exit_code
ctl_show_list (const struct ctl_options *ctl_options,
               const struct ctl_list *list)
{
  struct ctl_request request = { "GET", list->path, -1, NULL };
  struct ctl_response response;
  enum ctl_exit_code status = ctl_send (ctl_options, &request, &response);
  JsonArray *rows;
  if (status == CTL_EXIT_OK && ctl_options->json)
    ctl_print_body (&response);
  else if (status == CTL_EXIT_OK
           && (rows = response_list (&response, list->member)) != NULL)
    ctl_print_table (rows, list->columns);
  else if (status == CTL_EXIT_OK)
    status = CTL_EXIT_REJECTED;
  ctl_response_clear (&response);
  return status;
}

static void
print_member (JsonObject *object, const char *name, JsonNode *node,
              gpointer data)
{
  g_autofree char *text = value_text (node);
  (void)object;
  g_print ("%-*s%s\n", (int)*(gsize *)data + COLUMN_GAP, name, text);
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

/* Requests the object at PATH and prints it as a TABLE of its members or as
   indented JSON; with --json, as it was received.  */
enum ctl_exit_code
ctl_show_object (const struct ctl_options *ctl_options, const char *path,
                 gboolean table)
{
  struct ctl_request request = { "GET", path, -1, NULL };
  struct ctl_response response;
  enum ctl_exit_code status = ctl_send (ctl_options, &request, &response);
  if (status == CTL_EXIT_OK && (ctl_options->json || response.json == NULL))
    ctl_print_body (&response);
  else if (status == CTL_EXIT_OK && table
           && JSON_NODE_HOLDS_OBJECT (response.json))
    print_members (json_node_get_object (response.json));
  else if (status == CTL_EXIT_OK)
    {
      g_autofree char *text = json_to_string (response.json, TRUE);
      g_print ("%s\n", text);
    }
  ctl_response_clear (&response);
  return status;
}
