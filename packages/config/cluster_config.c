#include "config/cluster_config.h"

#include <string.h>

#include "config/cluster_read.h"

static struct cluster_index *
index_new (void)
{
  struct cluster_index *index = g_new0 (struct cluster_index, 1);
  GHashTable **tables = (GHashTable **)index;
  for (gsize i = 0; i < sizeof *index / sizeof *tables; i++)
    tables[i] = g_hash_table_new (g_str_hash, g_str_equal);
  return index;
}

static void
index_free (struct cluster_index *index)
{
  GHashTable **tables = (GHashTable **)index;
  for (gsize i = 0; i < sizeof *index / sizeof *tables; i++)
    g_hash_table_unref (tables[i]);
  g_free (index);
}

/* Parses and validates BODY, the INI text of VERSION. Returns a configuration
   with one reference. Returns NULL if the text is invalid, with each problem
   added to PROBLEMS as a newly allocated string.  */
struct cluster_config *
cluster_parse (GBytes *body, guint64 version, GPtrArray *problems)
{
  guint before = problems->len;
  gsize n;
  const char *text = g_bytes_get_data (body, &n);
  if (n > CLUSTER_BODY_MAX)
    {
      g_ptr_array_add (
          problems,
          g_strdup_printf ("the configuration has %zu bytes; allowed: "
                           "at most %d",
                           n, CLUSTER_BODY_MAX));
      return NULL;
    }
  struct ini ini = { .problems = problems };
  struct cluster_config *config = g_new0 (struct cluster_config, 1);
  config->refs = 1;
  config->version = version;
  config->body = g_bytes_ref (body);
  config->index = index_new ();
  if (ini_open (&ini, text, n) == 0)
    cluster_read (config, &ini);
  ini_close (&ini);
  if (problems->len > before)
    g_clear_pointer (&config, cluster_unref);
  return config;
}

/* Adds a reference to CONFIG and returns it.  */
struct cluster_config *
cluster_ref (struct cluster_config *config)
{
  config->refs++;
  return config;
}

/* Drops a reference; NULL is allowed.  */
void
cluster_unref (struct cluster_config *config)
{
  if (config == NULL || --config->refs > 0)
    return;
  index_free (config->index);
  g_bytes_unref (config->body);
  g_free (config->classes);
  g_free (config->teams);
  g_free (config->domains);
  g_free (config->pools);
  for (guint i = 0; i < config->n_backends; i++)
    {
      g_strfreev (config->backends[i].models);
      g_strfreev (config->backends[i].adapters);
    }
  g_free (config->backends);
  g_free (config->shards);
  g_free (config->operators);
  g_free (config->presets);
  g_free (config);
}

/* Returns the index of NAME in TABLE, or ERR_NOT_FOUND.  */
static int
lookup_name (GHashTable *table, struct str name)
{
  struct str_id key;
  if (name.n == 0 || memchr (name.p, '\0', name.n) != NULL
      || !str_id_set (&key, name))
    return ERR_NOT_FOUND;
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (table, key.s));
  return found > 0 ? (int)found - 1 : ERR_NOT_FOUND;
}

/* Returns the index of the SHA-256 of SECRET in TABLE, or ERR_NOT_FOUND.  */
static int
lookup_secret (GHashTable *table, struct str secret)
{
  if (secret.n == 0)
    return ERR_NOT_FOUND;
  g_autofree char *digest = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, (const guchar *)secret.p, secret.n);
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (table, digest));
  return found > 0 ? (int)found - 1 : ERR_NOT_FOUND;
}

/* Returns the index of class NAME, or ERR_NOT_FOUND.  */
int
cluster_find_class (const struct cluster_config *config, struct str name)
{
  return lookup_name (config->index->classes, name);
}

/* Returns the index of team NAME, or ERR_NOT_FOUND.  */
int
cluster_find_team (const struct cluster_config *config, struct str name)
{
  return lookup_name (config->index->teams, name);
}

/* Returns the index of the team with API key KEY, or ERR_NOT_FOUND.  */
int
cluster_find_team_by_key (const struct cluster_config *config, struct str key)
{
  return lookup_secret (config->index->team_keys, key);
}

/* Returns the index of the operator with TOKEN, or ERR_NOT_FOUND.  */
int
cluster_find_operator_by_token (const struct cluster_config *config,
                                struct str token)
{
  return lookup_secret (config->index->operator_tokens, token);
}

/* Returns the index of pool NAME; ERR_NOT_FOUND if there is none of KIND.  */
int
cluster_find_pool (const struct cluster_config *config, enum cluster_kind kind,
                   struct str name)
{
  int i = lookup_name (config->index->pools, name);
  return i >= 0 && config->pools[i].kind != kind ? ERR_NOT_FOUND : i;
}

/* Returns the index of backend server NAME, or ERR_NOT_FOUND.  */
int
cluster_find_backend (const struct cluster_config *config, struct str name)
{
  return lookup_name (config->index->backends, name);
}

/* Returns the index of shard NAME, or ERR_NOT_FOUND.  */
int
cluster_find_shard (const struct cluster_config *config, struct str name)
{
  return lookup_name (config->index->shards, name);
}

/* Returns the index of failure domain NAME, or ERR_NOT_FOUND.  */
int
cluster_find_domain (const struct cluster_config *config, struct str name)
{
  return lookup_name (config->index->domains, name);
}

/* Returns the name of KIND, a static string.  */
const char *
cluster_kind_name (enum cluster_kind kind)
{
  switch (kind)
    {
#define KIND_CASE(id, name)                                                    \
  case CLUSTER_##id:                                                           \
    return name;
      CLUSTER_KINDS (KIND_CASE)
#undef KIND_CASE
    }
  return "";
}

/* Returns the name of OVERFLOW in the INI text, a static string.  */
const char *
cluster_overflow_name (enum cluster_overflow overflow)
{
  switch (overflow)
    {
#define OVERFLOW_CASE(id, name)                                                \
  case CLUSTER_OVERFLOW_##id:                                                  \
    return name;
      CLUSTER_OVERFLOWS (OVERFLOW_CASE)
#undef OVERFLOW_CASE
    }
  return "";
}

/* Returns the name of ROLE in the INI text, a static string; "" if unset.  */
const char *
cluster_role_name (enum cluster_role role)
{
  switch (role)
    {
#define ROLE_CASE(id, name)                                                    \
  case CLUSTER_ROLE_##id:                                                      \
    return name;
      CLUSTER_ROLES (ROLE_CASE)
#undef ROLE_CASE
    case CLUSTER_ROLE_UNSET:
      break;
    }
  return "";
}

/* Returns whether LINE, already stripped of surrounding blanks, sets KEY.  */
static gboolean
sets_key (const char *line, const char *key)
{
  gsize n = strlen (key);
  if (strncmp (line, key, n) != 0)
    return FALSE;
  return line[n + strspn (line + n, " \t")] == '=';
}

/* Sets KEY of group "[GROUP]" in LINES. A new key goes after the last
   non-blank, non-comment line of the group. Returns FALSE if there is no such
   group.  */
static gboolean
edit_lines (char **lines, const char *group, const char *key, const char *value)
{
  g_autofree char *header = g_strdup_printf ("[%s]", group);
  gboolean in_group = FALSE;
  int last = -1;
  for (int i = 0; lines[i] != NULL; i++)
    {
      g_autofree char *line = g_strstrip (g_strdup (lines[i]));
      if (line[0] == '[')
        in_group = strcmp (line, header) == 0;
      if (!in_group || line[0] == '#' || line[0] == '\0')
        continue;
      last = i;
      if (sets_key (line, key))
        {
          g_free (lines[i]);
          lines[i] = g_strdup_printf ("%s=%s", key, value);
          return TRUE;
        }
    }
  if (last < 0)
    return FALSE;
  char *old = lines[last];
  lines[last] = g_strdup_printf ("%s\n%s=%s", old, key, value);
  g_free (old);
  return TRUE;
}

/* Returns BODY with KEY of GROUP set to VALUE and all other lines unchanged;
   NULL with ERR set if BODY has no group REQUIRED_GROUP or no group GROUP.
   Writing the text back from a GKeyFile would move blank lines and
   comments.  */
static GBytes *
edit_key (GBytes *body, const char *required_group, const char *group,
          const char *key, const char *value, struct err *err)
{
  gsize n;
  const char *data = g_bytes_get_data (body, &n);
  g_autofree char *text = g_strndup (data, n);
  g_autoptr (GKeyFile) file = g_key_file_new ();
  g_autoptr (GError) error = NULL;
  if (!g_key_file_load_from_data (file, text, n, G_KEY_FILE_NONE, &error))
    {
      err_set (err, ERR_INVALID, "config.edit", NULL, "%s", error->message);
      return NULL;
    }
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  if (!g_key_file_has_group (file, required_group)
      || !edit_lines (lines, group, key, value))
    {
      err_set (err, ERR_NOT_FOUND, "config.edit", NULL,
               "the configuration has no group [%s]", required_group);
      return NULL;
    }
  char *edited = g_strjoinv ("\n", lines);
  return g_bytes_new_take (edited, strlen (edited));
}

/* Returns a copy of BODY with PRESET as the active preset; the caller unrefs
   it. Returns NULL with ERR set if there is no such preset.  */
GBytes *
cluster_with_preset (GBytes *body, const char *preset, struct err *err)
{
  g_autofree char *required_group = g_strdup_printf ("preset:%s", preset);
  return edit_key (body, required_group, "jacinthward", "preset", preset, err);
}

/* Returns a copy of BODY with the drain flag of BACKEND set to DRAIN; the
   caller unrefs it. Returns NULL with ERR set if there is no such backend
   server.  */
GBytes *
cluster_with_drain (GBytes *body, const char *backend, gboolean drain,
                    struct err *err)
{
  g_autofree char *group = g_strdup_printf ("backend:%s", backend);
  return edit_key (body, group, group, "drain", drain ? "yes" : "no", err);
}
