#include "config/ini.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

#define MS_US 1000     /* microseconds in a millisecond */
#define SECOND_MS 1000 /* milliseconds in a second */
/* Microseconds by which the product of a decimal fraction may be off. */
#define ROUNDING_US 1e-3

/* Adds "group [GROUP], key KEY: TEXT" to LIST, preceded by the source of INI if
   there is one. GROUP and KEY may be NULL.  */
static void add_entry (const struct ini *ini, GPtrArray *list,
                       const char *group, const char *key, const char *format,
                       va_list args) G_GNUC_PRINTF (5, 0);

static void
add_entry (const struct ini *ini, GPtrArray *list, const char *group,
           const char *key, const char *format, va_list args)
{
  GString *line = g_string_new (NULL);
  if (ini->source != NULL)
    g_string_append_printf (line, "file %s%s", ini->source,
                            group ? ", " : ": ");
  if (group != NULL)
    g_string_append_printf (line, "group [%s]%s", group, key ? ", " : ": ");
  if (group != NULL && key != NULL)
    g_string_append_printf (line, "key %s: ", key);
  g_string_append_vprintf (line, format, args);
  g_ptr_array_add (list, g_string_free (line, FALSE));
}

/* Adds a problem. GROUP and KEY may be NULL.  */
void
ini_problem (struct ini *ini, const char *group, const char *key,
             const char *format, ...)
{
  va_list args;
  va_start (args, format);
  add_entry (ini, ini->problems, group, key, format, args);
  va_end (args);
}

static void tolerate (struct ini *ini, const char *group, const char *key,
                      const char *format, ...) G_GNUC_PRINTF (4, 5);

/* Adds what is wrong with a key whose fallback value is used.  */
static void
tolerate (struct ini *ini, const char *group, const char *key,
          const char *format, ...)
{
  va_list args;
  va_start (args, format);
  add_entry (ini, ini->tolerated, group, key, format, args);
  va_end (args);
}

/* Returns whether TEXT is IP:PORT, with an IPv6 address in brackets. Port 0 is
   allowed if ANY_PORT.  */
gboolean
ini_address_ok (const char *text, gboolean any_port)
{
  const char *colon = strrchr (text, ':');
  if (colon == NULL || strlen (text) >= ERR_PEER_MAX)
    return FALSE;
  guint64 port;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, any_port ? 0 : 1, G_MAXUINT16,
                                   &port, NULL))
    return FALSE;
  g_autofree char *host = g_strndup (text, (gsize)(colon - text));
  gsize n = strlen (host);
  if (n > 2 && host[0] == '[' && host[n - 1] == ']')
    {
      host[n - 1] = '\0';
      return strchr (host + 1, ':') != NULL
             && g_hostname_is_ip_address (host + 1);
    }
  return strchr (host, ':') == NULL && g_hostname_is_ip_address (host);
}

/* Reports duplicate groups and keys, since GKeyFile silently merges duplicate
   groups and keeps the last value of a key.  */
static void
check_duplicates (struct ini *ini, const char *text)
{
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autofree char *group = g_strdup ("");
  for (guint i = 0; lines[i] != NULL; i++)
    {
      char *line = g_strstrip (lines[i]);
      char *equals = strchr (line, '=');
      if (line[0] == '[' && strrchr (line, ']') != NULL)
        {
          *strrchr (line, ']') = '\0';
          g_free (group);
          group = g_strdup (line + 1);
          if (!g_hash_table_add (seen, g_strdup (group)))
            ini_problem (ini, group, NULL, "is defined twice; allowed: once");
        }
      else if (line[0] != '#' && equals != NULL)
        {
          *equals = '\0';
          char *name = g_strchomp (line);
          if (!g_hash_table_add (seen, g_strdup_printf ("%s]%s", group, name)))
            ini_problem (ini, group, name, "is defined twice; allowed: once");
        }
    }
}

/* Parses TEXT of N bytes; the caller has set the source and problems of INI and
   calls ini_close in either case. Returns ERR_INVALID, with a problem added, if
   it is not valid INI text. Duplicates only add problems.  */
int
ini_open (struct ini *ini, const char *text, gsize n)
{
  ini->file = g_key_file_new ();
  if (n > 0 && !g_utf8_validate_len (text, n, NULL))
    {
      ini_problem (ini, NULL, NULL,
                   "is not valid text; allowed: UTF-8 without NUL");
      return ERR_INVALID;
    }
  g_autoptr (GError) error = NULL;
  if (!g_key_file_load_from_data (ini->file, n > 0 ? text : "", n,
                                  G_KEY_FILE_KEEP_TRANSLATIONS, &error))
    {
      ini_problem (ini, NULL, NULL, "is not valid INI text: %s",
                   error->message);
      return ERR_INVALID;
    }
  g_autofree char *copy = g_strndup (text, n);
  check_duplicates (ini, copy);
  return 0;
}

/* Opens the file named by the source of INI, of MAX bytes at most. Returns
   ERR_NOT_FOUND if it cannot be read, ERR_INVALID if it is too long or not
   valid INI text, with a problem added. Blocks, so it is for start-up only.  */
int
ini_load (struct ini *ini, gsize max)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  gsize n;
  if (!g_file_get_contents (ini->source, &text, &n, &error))
    {
      ini_problem (ini, NULL, NULL, "%s", error->message);
      return ERR_NOT_FOUND;
    }
  if (n <= max)
    return ini_open (ini, text, n);
  ini_problem (ini, NULL, NULL, "has %zu bytes; allowed: at most %zu", n, max);
  return ERR_INVALID;
}

void
ini_close (struct ini *ini)
{
  g_clear_pointer (&ini->file, g_key_file_unref);
}

static const char *
type_allowed (enum ini_type type)
{
  switch (type)
    {
#define TYPE_CASE(id, allowed)                                                 \
  case INI_##id:                                                               \
    return allowed;
      INI_TYPES (TYPE_CASE)
#undef TYPE_CASE
    }
  return "";
}

static gboolean
is_number (const struct ini_key *key)
{
  return key->type >= INI_COUNT && key->type <= INI_NUMBER;
}

/* Returns the allowed values of KEY for messages; the caller frees the text. */
static char *
allowed_text (const struct ini_key *key)
{
  if (key->type == INI_CHOICE)
    return g_strjoinv (", ", (char **)key->choices);
  if (is_number (key))
    return g_strdup_printf ("%s from %.12g to %.12g", type_allowed (key->type),
                            key->min, key->max);
  return g_strdup (type_allowed (key->type));
}

static void
store_number (const struct ini_key *key, double value, void *field)
{
  switch (key->type)
    {
    case INI_COUNT:
      *(guint *)field = (guint)value;
      break;
    case INI_BYTES:
      *(guint64 *)field = (guint64)value;
      break;
    case INI_MS:
      /* Rounded down: most times are upper bounds. */
      *(gint64 *)field = (gint64)(value * MS_US + ROUNDING_US);
      break;
    case INI_NUMBER:
      *(double *)field = value;
      break;
    case INI_BOOL:
    case INI_CHOICE:
      *(int *)field = (int)value;
      break;
    default:
      break;
    }
}

/* Parses a decimal number without sign, with or without a fraction and an
   exponent.  */
static gboolean
parse_decimal (const char *text, double *value)
{
  char *end;
  if (!g_ascii_isdigit (text[0]) || strpbrk (text, "xX") != NULL)
    return FALSE;
  *value = g_ascii_strtod (text, &end);
  return *end == '\0' && isfinite (*value);
}

/* Stores the number in TEXT, multiplied by SCALE to have the unit of KEY.  */
static gboolean
parse_number (const struct ini_key *key, const char *text, double scale,
              void *field)
{
  double value;
  if (!parse_decimal (text, &value))
    return FALSE;
  value *= scale;
  if (value < key->min || value > key->max)
    return FALSE;
  if ((key->type == INI_COUNT || key->type == INI_BYTES)
      && value != (double)(guint64)value)
    return FALSE;
  store_number (key, value, field);
  return TRUE;
}

static gboolean
parse_choice (const struct ini_key *key, const char *text, void *field)
{
  for (int i = 0; key->choices[i] != NULL; i++)
    if (strcmp (key->choices[i], text) == 0)
      {
        *(int *)field = i;
        return TRUE;
      }
  return FALSE;
}

static gboolean
parse_bool (const char *text, void *field)
{
  gboolean yes = strcmp (text, "yes") == 0;
  *(gboolean *)field = yes;
  return yes || strcmp (text, "no") == 0;
}

static gboolean
parse_digest (const char *text, char *field)
{
  for (gsize i = 0; i < INI_DIGEST_BYTES - 1; i++)
    if (!g_ascii_isxdigit (text[i]))
      return FALSE;
  if (text[INI_DIGEST_BYTES - 1] != '\0')
    return FALSE;
  for (gsize i = 0; i < INI_DIGEST_BYTES; i++)
    field[i] = g_ascii_tolower (text[i]);
  return TRUE;
}

static gboolean
parse_address (const char *text, gboolean any_port, char *field)
{
  if (!ini_address_ok (text, any_port))
    return FALSE;
  g_strlcpy (field, text, ERR_PEER_MAX);
  return TRUE;
}

/* Splits TEXT at ';', strips blanks and drops empty entries. The caller frees
 *FIELD with g_strfreev.  */
static void
parse_list (const char *text, char ***field)
{
  g_auto (GStrv) parts = g_strsplit (text, ";", -1);
  GPtrArray *list = g_ptr_array_new ();
  for (guint i = 0; parts[i] != NULL; i++)
    if (*g_strstrip (parts[i]) != '\0')
      g_ptr_array_add (list, g_strdup (parts[i]));
  g_ptr_array_add (list, NULL);
  *field = (char **)g_ptr_array_free (list, FALSE);
}

/* Stores TEXT in FIELD, converted to the type of KEY. Returns FALSE if KEY does
   not allow it.  */
static gboolean
parse_value (const struct ini_key *key, const char *text, void *field)
{
  switch (key->type)
    {
    case INI_BOOL:
      return parse_bool (text, field);
    case INI_COUNT:
    case INI_BYTES:
    case INI_MS:
    case INI_NUMBER:
      return parse_number (key, text, 1, field);
    case INI_CHOICE:
      return parse_choice (key, text, field);
    case INI_ID:
      return str_id_ok (str_of (text)) && str_id_set (field, str_of (text));
    case INI_ADDRESS:
    case INI_LISTEN:
      return parse_address (text, key->type == INI_LISTEN, field);
    case INI_DIGEST:
      return parse_digest (text, field);
    case INI_PATH:
      *(char **)field = g_strdup (text);
      return *text != '\0';
    case INI_LIST:
      parse_list (text, field);
      return TRUE;
    }
  return FALSE;
}

/* Reads the time KEY of GROUP into FIELD if it is given in seconds. Returns
   FALSE if it is not. Otherwise TEXT, which the caller frees, is the value, and
   VALID tells whether it could be stored.  */
static gboolean
read_seconds (struct ini *ini, const char *group, const char *name,
              const struct ini_key *key, void *field, char **text,
              gboolean *valid)
{
  if (key->in_seconds == NULL)
    return FALSE;
  *text = g_key_file_get_value (ini->file, group, key->in_seconds, NULL);
  if (*text == NULL)
    return FALSE;
  if (g_key_file_has_key (ini->file, group, name, NULL))
    ini_problem (ini, group, key->in_seconds,
                 "is given in milliseconds too; allowed: one of both");
  *valid = parse_number (key, g_strstrip (*text), SECOND_MS, field);
  return TRUE;
}

/* Reads key NAME of GROUP into the field of TARGET that KEY describes. An
   absent key gets its fallback value; if it is required, a problem is added
   too.  */
void
ini_read_key (struct ini *ini, const char *group, const char *name,
              const struct ini_key *key, void *target)
{
  void *field = (char *)target + key->offset;
  g_autofree char *text = NULL;
  gboolean valid = FALSE;
  if (read_seconds (ini, group, name, key, field, &text, &valid))
    name = key->in_seconds;
  else
    {
      text = g_key_file_get_value (ini->file, group, name, NULL);
      valid = text != NULL && parse_value (key, g_strstrip (text), field);
    }
  if (valid)
    return;
  if (text == NULL)
    {
      store_number (key, key->fallback, field);
      if (!key->required)
        return;
    }
  g_autofree char *allowed = allowed_text (key);
  if (ini->tolerated != NULL && text != NULL && !key->required
      && is_number (key))
    {
      store_number (key, key->fallback, field);
      tolerate (ini, group, name, "\"%.80s\" is replaced by %.12g; allowed: %s",
                text, key->fallback, allowed);
      return;
    }
  /* The value is left out: it may be a secret entered in place of its digest,
     which must not be logged. */
  if (text == NULL)
    ini_problem (ini, group, name, "is missing; allowed: %s", allowed);
  else if (key->type == INI_DIGEST)
    ini_problem (ini, group, name, "is not a digest; allowed: %s", allowed);
  else
    ini_problem (ini, group, name, "\"%.80s\" is wrong; allowed: %s", text,
                 allowed);
}

static gboolean
is_known_key (const struct ini_key *keys, guint n_keys, const char *name)
{
  for (guint i = 0; i < n_keys; i++)
    if (strcmp (keys[i].name, name) == 0
        || g_strcmp0 (keys[i].in_seconds, name) == 0)
      return TRUE;
  return FALSE;
}

static void
report_unknown_key (struct ini *ini, const char *group, const char *name,
                    const struct ini_key *keys, guint n_keys)
{
  GString *allowed = g_string_new (NULL);
  for (guint i = 0; i < n_keys; i++)
    g_string_append_printf (allowed, "%s%s", i ? ", " : "", keys[i].name);
  ini_problem (ini, group, name, "is unknown; allowed: %s", allowed->str);
  g_string_free (allowed, TRUE);
}

/* Reads GROUP into TARGET as described by the table KEYS. Reports keys that are
   not in the table, except for those that start with IGNORED_PREFIX (NULL:
   none). An absent group is treated as an empty one.  */
void
ini_read_group (struct ini *ini, const char *group, const struct ini_key *keys,
                guint n_keys, const char *ignored_prefix, void *target)
{
  for (guint i = 0; i < n_keys; i++)
    ini_read_key (ini, group, keys[i].name, &keys[i], target);
  g_auto (GStrv) names = g_key_file_get_keys (ini->file, group, NULL, NULL);
  for (guint i = 0; names != NULL && names[i] != NULL; i++)
    if (!is_known_key (keys, n_keys, names[i])
        && !(ignored_prefix != NULL
             && g_str_has_prefix (names[i], ignored_prefix)))
      report_unknown_key (ini, group, names[i], keys, n_keys);
}
