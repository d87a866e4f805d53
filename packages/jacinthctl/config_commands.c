/* Commands that read or change the configuration.  */
#include "jacinthctl/jacinthctl.h"
#include "base/json_add.h"

#include <stdio.h>
#include <string.h>

#include "jacinthctl/config_check.h"
#include "jacinthctl/diff.h"

/* Reads the configuration in force; its version and text are in RESPONSE.  */
static enum ctl_exit_code
read_config (const struct ctl_options *ctl_options,
             struct ctl_response *response)
{
  struct ctl_request request = { "GET", "/config", -1, NULL };
  return ctl_send (ctl_options, &request, response);
}

/* Returns a NUL-terminated copy of BODY, to be freed with g_free.  */
static char *
dup_body_text (GBytes *body)
{
  gsize n;
  const char *text = g_bytes_get_data (body, &n);
  return g_strndup (text ? text : "", n);
}

/* Prints the value of JSON on one line and frees JSON.  */
static void
print_json (JsonBuilder *json)
{
  JsonNode *root = json_builder_get_root (json);
  g_autofree char *text = json_to_string (root, FALSE);
  g_print ("%s\n", text);
  json_node_unref (root);
  g_object_unref (json);
}

/* Begins an object with the member "version" and leaves it open.  */
static JsonBuilder *
json_with_version (gint64 version)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_int (json, "version", version);
  return json;
}

/* config get: prints the text on standard output and its version on standard
   error, or both as JSON on standard output.  */
enum ctl_exit_code
ctl_config_get (const struct ctl_options *ctl_options, const char *unused)
{
  struct ctl_response response;
  enum ctl_exit_code status = read_config (ctl_options, &response);
  (void)unused;
  if (status == CTL_EXIT_OK && ctl_options->json)
    {
      g_autofree char *text = dup_body_text (response.body);
      JsonBuilder *json = json_with_version (response.version);
      json_add_str (json, "text", text);
      json_builder_end_object (json);
      print_json (json);
    }
  else if (status == CTL_EXIT_OK)
    {
      ctl_print_body (&response);
      g_printerr ("version %" G_GINT64_FORMAT "\n", response.version);
    }
  ctl_response_clear (&response);
  return status;
}

/* Returns the content of FILE ("-": standard input), to be freed with g_free.
   Returns NULL after an error message if it cannot be read.  */
static char *
read_file (const char *file, gsize *n)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;
  const char *path = strcmp (file, "-") == 0 ? "/dev/stdin" : file;
  if (!g_file_get_contents (path, &text, n, &error))
    g_printerr ("jacinthctl: %s\n", error->message);
  return text;
}

/* Sends a request for a change and prints the version that results from it.  */
static enum ctl_exit_code
send_change (const struct ctl_options *ctl_options,
             const struct ctl_request *request)
{
  struct ctl_response response;
  enum ctl_exit_code status = ctl_send (ctl_options, request, &response);
  if (status == CTL_EXIT_OK && ctl_options->json)
    ctl_print_body (&response);
  else if (status == CTL_EXIT_OK && response.json != NULL
           && JSON_NODE_HOLDS_OBJECT (response.json))
    g_print ("accepted: version %" G_GINT64_FORMAT "\n",
             json_object_get_int_member_with_default (
                 json_node_get_object (response.json), "version", -1));
  ctl_response_clear (&response);
  return status;
}

/* config apply FILE: replaces the configuration if the version given by
   --expect is in force; without --expect, if the version in force does not
   change meanwhile.  */
enum ctl_exit_code
ctl_config_apply (const struct ctl_options *ctl_options, const char *file)
{
  gsize n;
  char *text = read_file (file, &n);
  if (text == NULL)
    return CTL_EXIT_USAGE;
  g_autoptr (GBytes) body = g_bytes_new_take (text, n);
  struct ctl_request request = { "PUT", "/config", ctl_options->version, body };
  if (ctl_options->version < 0)
    {
      struct ctl_response response;
      enum ctl_exit_code status = read_config (ctl_options, &response);
      request.version = response.version;
      ctl_response_clear (&response);
      if (status != CTL_EXIT_OK)
        return status;
    }
  return send_change (ctl_options, &request);
}

static void
add_diff_json (JsonBuilder *json, const GArray *lines)
{
  json_builder_set_member_name (json, "lines");
  json_builder_begin_array (json);
  for (guint i = 0; i < lines->len; i++)
    {
      const struct diff_line *line
          = &g_array_index (lines, struct diff_line, i);
      char sign[2] = { line->sign, '\0' };
      json_builder_begin_object (json);
      json_add_str (json, "sign", sign);
      json_add_int (json, "number", line->number);
      json_add_str (json, "text", line->text);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}

static void
print_diff_json (const GArray *lines, gint64 version)
{
  JsonBuilder *json = json_with_version (version);
  add_diff_json (json, lines);
  json_builder_end_object (json);
  print_json (json);
}

/* Prints LINES, by which a text differs from the one called OTHER.  */
static void
print_diff (const GArray *lines, const char *other)
{
  if (lines->len == 0)
    g_print ("no differences from %s\n", other);
  for (guint i = 0; i < lines->len; i++)
    {
      const struct diff_line *line
          = &g_array_index (lines, struct diff_line, i);
      g_print ("%c%u: %s\n", line->sign, line->number, line->text);
    }
}

/* config diff FILE: prints the lines by which FILE differs from the
   configuration in force.  */
enum ctl_exit_code
ctl_config_diff (const struct ctl_options *ctl_options, const char *file)
{
  gsize n;
  g_autofree char *new_text = read_file (file, &n);
  if (new_text == NULL)
    return CTL_EXIT_USAGE;
  struct ctl_response response;
  enum ctl_exit_code status = read_config (ctl_options, &response);
  if (status == CTL_EXIT_OK)
    {
      g_autofree char *old_text = dup_body_text (response.body);
      g_auto (GStrv) old_lines = g_strsplit (old_text, "\n", -1);
      g_auto (GStrv) new_lines = g_strsplit (new_text, "\n", -1);
      g_autoptr (GArray) lines = diff_lines (old_lines, new_lines);
      if (ctl_options->json)
        print_diff_json (lines, response.version);
      else
        {
          g_autofree char *other
              = g_strdup_printf ("version %" G_GINT64_FORMAT, response.version);
          print_diff (lines, other);
        }
    }
  ctl_response_clear (&response);
  return status;
}

/* Prints FINDINGS, and by what NEW_TEXT differs from OLD_TEXT, which is called
   OTHER; NULL: nothing is compared.  */
static void
print_check (const struct ctl_options *ctl_options, const GPtrArray *findings,
             const char *old_text, const char *other, const char *new_text)
{
  g_auto (GStrv) old_lines = g_strsplit (old_text ? old_text : "", "\n", -1);
  g_auto (GStrv) new_lines = g_strsplit (new_text, "\n", -1);
  g_autoptr (GArray) lines
      = old_text != NULL ? diff_lines (old_lines, new_lines) : NULL;
  if (!ctl_options->json)
    {
      for (guint i = 0; i < findings->len; i++)
        g_print ("%s\n", (const char *)g_ptr_array_index (findings, i));
      if (lines != NULL)
        print_diff (lines, other);
      else
        g_printerr ("jacinthctl: not compared with another version\n");
      return;
    }
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "findings");
  json_builder_begin_array (json);
  for (guint i = 0; i < findings->len; i++)
    json_builder_add_string_value (json, g_ptr_array_index (findings, i));
  json_builder_end_array (json);
  json_add_str (json, "against", other);
  if (lines != NULL)
    add_diff_json (json, lines);
  json_builder_end_object (json);
  print_json (json);
}

/* Reads the text to compare with, a file or the configuration in force, and its
   name; both are NULL if neither is given. They are freed with g_free.  */
static enum ctl_exit_code
read_other (const struct ctl_options *ctl_options, char **text, char **name)
{
  gsize n;
  *text = *name = NULL;
  if (ctl_options->against != NULL)
    {
      *text = read_file (ctl_options->against, &n);
      *name = g_strdup (ctl_options->against);
      return *text != NULL ? CTL_EXIT_OK : CTL_EXIT_USAGE;
    }
  if (ctl_options->address == NULL)
    return CTL_EXIT_OK;
  struct ctl_response response;
  enum ctl_exit_code status = read_config (ctl_options, &response);
  if (status == CTL_EXIT_OK)
    {
      *text = dup_body_text (response.body);
      *name = g_strdup_printf ("version %" G_GINT64_FORMAT, response.version);
    }
  ctl_response_clear (&response);
  return status;
}

/* config check FILE: prints what is wrong or without effect in FILE, and by
   what lines it differs from another file or from the configuration in force.
   The exit code says whether there are findings; differences are none.  */
enum ctl_exit_code
ctl_config_check (const struct ctl_options *ctl_options, const char *file)
{
  gsize n;
  g_autofree char *text = read_file (file, &n);
  g_autofree char *old_text = NULL;
  g_autofree char *other = NULL;
  g_autoptr (GPtrArray) findings = g_ptr_array_new_with_free_func (g_free);
  if (text == NULL)
    return CTL_EXIT_USAGE;
  if (!config_check ((struct str){ text, n }, findings))
    {
      g_printerr ("jacinthctl: %s is neither INI nor JSON text\n", file);
      return CTL_EXIT_USAGE;
    }
  enum ctl_exit_code status = read_other (ctl_options, &old_text, &other);
  print_check (ctl_options, findings, old_text, other, text);
  if (status != CTL_EXIT_OK)
    return status;
  return findings->len > 0 ? CTL_EXIT_REJECTED : CTL_EXIT_OK;
}

/* Adds the boolean member "behind" to each of INSTANCES: its version is older
   than the newest one in the list. Returns the newest version.  */
static gint64
add_behind_members (JsonArray *instances)
{
  gint64 newest = 0;
  guint n = json_array_get_length (instances);
  for (guint i = 0; i < n; i++)
    newest = MAX (newest, json_object_get_int_member_with_default (
                              json_array_get_object_element (instances, i),
                              "version", 0));
  for (guint i = 0; i < n; i++)
    {
      JsonObject *instance = json_array_get_object_element (instances, i);
      gint64 version
          = json_object_get_int_member_with_default (instance, "version", 0);
      json_object_set_boolean_member (instance, "behind", version < newest);
    }
  return newest;
}

/* config status: prints the version in force at each instance, and which
   instances are behind the newest one.  */
enum ctl_exit_code
ctl_config_status (const struct ctl_options *ctl_options, const char *unused)
{
  static const char *const columns[]
      = { "id", "domain", "live", "leaving", "version", "behind", NULL };
  struct ctl_request request = { "GET", "/config/status", -1, NULL };
  struct ctl_response response;
  enum ctl_exit_code status = ctl_send (ctl_options, &request, &response);
  (void)unused;
  if (status == CTL_EXIT_OK && ctl_options->json)
    ctl_print_body (&response);
  else if (status == CTL_EXIT_OK && response.json != NULL
           && JSON_NODE_HOLDS_OBJECT (response.json))
    {
      JsonObject *object = json_node_get_object (response.json);
      JsonArray *instances = json_object_get_array_member (object, "instances");
      gint64 newest = add_behind_members (instances);
      g_print (
          "here: version %" G_GINT64_FORMAT ", preset %s; newest: "
          "version %" G_GINT64_FORMAT "\n",
          json_object_get_int_member_with_default (object, "version", 0),
          json_object_get_string_member_with_default (object, "preset", ""),
          newest);
      ctl_print_table (instances, columns);
    }
  ctl_response_clear (&response);
  return status;
}

/* preset use NAME: puts a preset in force.  */
enum ctl_exit_code
ctl_preset_use (const struct ctl_options *ctl_options, const char *name)
{
  g_autoptr (JsonBuilder) json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_str (json, "preset", name);
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));
  struct ctl_request request = { "PUT", "/preset", ctl_options->version, body };
  return send_change (ctl_options, &request);
}

static enum ctl_exit_code
put_drain (const struct ctl_options *ctl_options, const char *name,
           const char *verb)
{
  g_autofree char *escaped = g_uri_escape_string (name, NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/backends/%s/%s", escaped, verb);
  struct ctl_request request = { "PUT", path, ctl_options->version, NULL };
  return send_change (ctl_options, &request);
}

/* drain NAME: sends no new requests to a backend server.  */
enum ctl_exit_code
ctl_drain (const struct ctl_options *ctl_options, const char *name)
{
  return put_drain (ctl_options, name, "drain");
}

/* undrain NAME: ends the drain of a backend server.  */
enum ctl_exit_code
ctl_undrain (const struct ctl_options *ctl_options, const char *name)
{
  return put_drain (ctl_options, name, "undrain");
}
