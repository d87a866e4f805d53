#include "config/cluster_read.h"

#include <stdlib.h>
#include <string.h>

#include "config/cluster_sections.h"

#define SHARE_ROUNDING 1e-9 /* tolerated rounding error of the sum */

/* Adds KEY to TABLE with INDEX. Returns FALSE if TABLE has KEY already. KEY is
   borrowed.  */
static gboolean
index_add (GHashTable *table, const char *key, guint index)
{
  if (g_hash_table_contains (table, key))
    return FALSE;
  return g_hash_table_insert (table, (gpointer)key,
                              GUINT_TO_POINTER (index + 1));
}

/* Returns the index of KEY in TABLE, or -1.  */
static int
index_find (GHashTable *table, const char *key)
{
  return (int)GPOINTER_TO_UINT (g_hash_table_lookup (table, key)) - 1;
}

static void
read_domains (struct cluster_config *config, struct ini *ini)
{
  config->domains
      = cluster_section_read (ini, CLUSTER_SECTION_DOMAIN, &config->n_domains);
  for (guint i = 0; i < config->n_domains; i++)
    index_add (config->index->domains, config->domains[i].name.s, i);
  if (config->n_domains == 0)
    ini_problem (ini, "domain:NAME", NULL, "is missing; allowed: at least one");
}

static void
read_classes (struct cluster_config *config, struct ini *ini)
{
  config->classes
      = cluster_section_read (ini, CLUSTER_SECTION_CLASS, &config->n_classes);
  for (guint i = 0; i < config->n_classes; i++)
    index_add (config->index->classes, config->classes[i].name.s, i);
  if (config->n_classes == 0)
    ini_problem (ini, "class:NAME", NULL, "is missing; allowed: at least one");
}

/* Applies the override "class.NAME.KEY" of GROUP to CLASSES.  */
static void
read_override (const struct cluster_config *config, struct ini *ini,
               const char *group, const char *override,
               struct cluster_class *classes)
{
  const char *name = override + strlen (CLUSTER_OVERRIDE_PREFIX);
  const char *dot = strrchr (name, '.');
  if (dot == NULL)
    {
      ini_problem (ini, group, override,
                   "is unknown; allowed: class.NAME.KEY with a key of a class");
      return;
    }
  g_autofree char *class_name = g_strndup (name, (gsize)(dot - name));
  int class_index = index_find (config->index->classes, class_name);
  if (class_index < 0)
    {
      ini_problem (ini, group, override,
                   "refers to the undefined class %s; allowed: a class of "
                   "this configuration",
                   class_name);
      return;
    }
  const struct ini_key *key = cluster_class_key (dot + 1);
  if (key != NULL)
    {
      ini_read_key (ini, group, override, key, &classes[class_index]);
      return;
    }
  ini_problem (ini, group, override,
               "does not name a key of a class; allowed: tier, "
               "ttft_ms, tbt_ms, deadline_ms, min_share, max_waiting, "
               "reserved_waiting, retry_share, link_bytes_per_s, spill");
}

/* Checks constraints across the keys of CLASSES, with the overrides of preset
   group GROUP applied.  */
static void
check_classes (const struct cluster_config *config, struct ini *ini,
               const char *group, const struct cluster_class *classes)
{
  double sum = 0;
  for (guint i = 0; i < config->n_classes; i++)
    {
      sum += classes[i].min_share;
      if (classes[i].reserved_waiting > classes[i].max_waiting)
        ini_problem (ini, group, NULL,
                     "class %s has reserved_waiting %u above max_waiting %u; "
                     "allowed: at most max_waiting",
                     classes[i].name.s, classes[i].reserved_waiting,
                     classes[i].max_waiting);
    }
  if (sum > CLUSTER_SHARE_SUM_MAX + SHARE_ROUNDING)
    ini_problem (ini, group, NULL,
                 "min_share of all classes adds up to %.6g; allowed: at most "
                 "%.6g",
                 sum, CLUSTER_SHARE_SUM_MAX);
}

/* Returns a copy of the classes with the overrides of PRESET applied; the
   caller frees it.  */
static struct cluster_class *
classes_of_preset (const struct cluster_config *config, struct ini *ini,
                   const struct cluster_raw_preset *preset)
{
  struct cluster_class *classes
      = g_memdup2 (config->classes, config->n_classes * sizeof *classes);
  g_autofree char *group
      = cluster_section_group (CLUSTER_SECTION_PRESET, preset->name.s);
  g_auto (GStrv) keys = g_key_file_get_keys (ini->file, group, NULL, NULL);
  for (guint i = 0; keys != NULL && keys[i] != NULL; i++)
    if (g_str_has_prefix (keys[i], CLUSTER_OVERRIDE_PREFIX))
      read_override (config, ini, group, keys[i], classes);
  check_classes (config, ini, group, classes);
  return classes;
}

static void
check_preset_names (const struct cluster_config *config, struct ini *ini)
{
  static const char *const needed[] = { "ordinary", "peak", "maintenance" };
  for (guint i = 0; i < G_N_ELEMENTS (needed); i++)
    {
      gboolean found = FALSE;
      for (guint p = 0; p < config->n_presets && !found; p++)
        found = strcmp (config->presets[p].s, needed[i]) == 0;
      g_autofree char *group
          = cluster_section_group (CLUSTER_SECTION_PRESET, needed[i]);
      if (!found)
        ini_problem (
            ini, group, NULL,
            "is missing; allowed: preset:ordinary, "
            "preset:peak and preset:maintenance in every configuration");
    }
}

/* Makes PRESET the active preset, with its CLASSES. The array of classes is
   overwritten in place, since the index borrows the names in it.  */
static void
apply_preset (struct cluster_config *config,
              const struct cluster_raw_preset *preset,
              const struct cluster_class *classes)
{
  config->overflow = (enum cluster_overflow)preset->overflow;
  config->limit_scale = preset->limit_scale;
  for (guint i = 0; i < config->n_classes; i++)
    config->classes[i] = classes[i];
}

/* Reads and checks all presets and applies the active one.  */
static void
read_presets (struct cluster_config *config, struct ini *ini)
{
  struct cluster_raw_main main_group = { 0 };
  cluster_section_read_main (ini, &main_group);
  config->preset = main_group.preset;
  struct cluster_raw_preset *raw
      = cluster_section_read (ini, CLUSTER_SECTION_PRESET, &config->n_presets);
  config->presets = g_new0 (struct str_id, config->n_presets + 1);
  struct cluster_class **classes
      = g_new0 (struct cluster_class *, config->n_presets + 1);
  int active = -1;
  for (guint i = 0; i < config->n_presets; i++)
    {
      config->presets[i] = raw[i].name;
      classes[i] = classes_of_preset (config, ini, &raw[i]);
      if (strcmp (raw[i].name.s, config->preset.s) == 0)
        active = (int)i;
    }
  check_preset_names (config, ini);
  if (active >= 0)
    apply_preset (config, &raw[active], classes[active]);
  else if (config->preset.s[0] != '\0')
    ini_problem (ini, CLUSTER_MAIN_GROUP, "preset",
                 "\"%s\" is not defined; allowed: the NAME of a group "
                 "preset:NAME",
                 config->preset.s);
  for (guint i = 0; i < config->n_presets; i++)
    g_free (classes[i]);
  g_free (classes);
  g_free (raw);
}

/* Converts the class names of RAW to the bit set of its team.  */
static void
resolve_team (const struct cluster_config *config, struct ini *ini,
              struct cluster_raw_team *raw)
{
  g_autofree char *group
      = cluster_section_group (CLUSTER_SECTION_TEAM, raw->team.name.s);
  for (guint i = 0; raw->classes != NULL && raw->classes[i] != NULL; i++)
    {
      int class_index = index_find (config->index->classes, raw->classes[i]);
      if (class_index < 0)
        ini_problem (ini, group, "classes",
                     "refers to the undefined class %.63s; allowed: classes of "
                     "this configuration",
                     raw->classes[i]);
      else
        raw->team.classes |= G_GUINT64_CONSTANT (1) << class_index;
    }
  if (raw->classes != NULL && raw->classes[0] == NULL)
    ini_problem (ini, group, "classes",
                 "is empty; allowed: at least one class");
  if (raw->default_class.s[0] == '\0')
    return;
  int index = index_find (config->index->classes, raw->default_class.s);
  if (index < 0 || (raw->team.classes >> index & 1) == 0)
    ini_problem (ini, group, "default_class",
                 "refers to the class %s, which the team may not use; allowed: "
                 "one of its classes",
                 raw->default_class.s);
  else
    raw->team.default_class = (guint)index;
}

static void
read_teams (struct cluster_config *config, struct ini *ini)
{
  struct cluster_raw_team *raw
      = cluster_section_read (ini, CLUSTER_SECTION_TEAM, &config->n_teams);
  config->teams = g_new0 (struct cluster_team, config->n_teams + 1);
  for (guint i = 0; i < config->n_teams; i++)
    {
      struct cluster_team *team = &config->teams[i];
      resolve_team (config, ini, &raw[i]);
      *team = raw[i].team;
      g_strfreev (raw[i].classes);
      index_add (config->index->teams, team->name.s, i);
      g_autofree char *group
          = cluster_section_group (CLUSTER_SECTION_TEAM, team->name.s);
      if (team->key_sha256[0] != '\0'
          && !index_add (config->index->team_keys, team->key_sha256, i))
        ini_problem (ini, group, "key_sha256",
                     "is the key of another team; allowed: a unique key");
    }
  g_free (raw);
}

static void
add_pool (struct cluster_config *config, struct ini *ini,
          struct cluster_pool pool, enum cluster_kind kind)
{
  guint i = config->n_pools;
  enum cluster_section id = kind == CLUSTER_ENGINE ? CLUSTER_SECTION_MODEL
                                                   : CLUSTER_SECTION_SERVICE;
  g_autofree char *group = cluster_section_group (id, pool.name.s);
  if (i == CLUSTER_POOLS_MAX)
    {
      ini_problem (ini, group, NULL,
                   "exceeds the limit; allowed: at most %d models and services",
                   CLUSTER_POOLS_MAX);
      return;
    }
  pool.kind = kind;
  pool.any_method_repeatable |= kind == CLUSTER_ENGINE;
  config->pools[i] = pool;
  if (!index_add (config->index->pools, config->pools[i].name.s, i))
    ini_problem (
        ini, group, NULL,
        "has the name of a model; allowed: a name that no model and no "
        "other service has");
  config->n_pools++;
}

static void
read_pools (struct cluster_config *config, struct ini *ini)
{
  guint n_models;
  guint n_services;
  struct cluster_pool *models
      = cluster_section_read (ini, CLUSTER_SECTION_MODEL, &n_models);
  struct cluster_pool *services
      = cluster_section_read (ini, CLUSTER_SECTION_SERVICE, &n_services);
  config->pools = g_new0 (struct cluster_pool, CLUSTER_POOLS_MAX);
  for (guint i = 0; i < n_models; i++)
    add_pool (config, ini, models[i], CLUSTER_ENGINE);
  for (guint i = 0; i < n_services; i++)
    add_pool (config, ini, services[i], CLUSTER_SERVICE);
  g_free (services);
  g_free (models);
}

/* Resolves the pool and the domain of RAW. Returns FALSE if either is
   undefined.  */
static gboolean
resolve_backend (const struct cluster_config *config, struct ini *ini,
                 struct cluster_raw_backend *raw)
{
  g_autofree char *group
      = cluster_section_group (CLUSTER_SECTION_BACKEND, raw->backend.name.s);
  int pool = index_find (config->index->pools, raw->pool.s);
  int domain = index_find (config->index->domains, raw->domain.s);
  if (pool < 0 && raw->pool.s[0] != '\0')
    ini_problem (ini, group, "pool",
                 "\"%s\" is not defined; allowed: the NAME "
                 "of a group model:NAME or service:NAME",
                 raw->pool.s);
  if (domain < 0 && raw->domain.s[0] != '\0')
    ini_problem (ini, group, "domain",
                 "\"%s\" is not defined; allowed: the NAME "
                 "of a group domain:NAME",
                 raw->domain.s);
  raw->backend.pool = (guint)MAX (pool, 0);
  raw->backend.domain = (guint)MAX (domain, 0);
  return pool >= 0 && domain >= 0;
}

static int
compare_backends (const void *a, const void *b)
{
  const struct cluster_raw_backend *x = a;
  const struct cluster_raw_backend *y = b;
  return strcmp (x->backend.name.s, y->backend.name.s);
}

static void
check_address (GHashTable *used, struct ini *ini,
               const struct cluster_backend *backend)
{
  g_autofree char *group
      = cluster_section_group (CLUSTER_SECTION_BACKEND, backend->name.s);
  if (backend->address[0] != '\0'
      && !g_hash_table_add (used, (gpointer)backend->address))
    ini_problem (ini, group, "address",
                 "%s is the address of another backend "
                 "server; allowed: a unique address",
                 backend->address);
}

/* Checks the names in LIST, which may be NULL, and returns their number.  */
static guint
check_names (struct ini *ini, const char *group, const char *key,
             const char *const *list)
{
  guint n = 0;
  for (; list != NULL && list[n] != NULL; n++)
    {
      if (!str_id_ok (str_of (list[n])))
        ini_problem (ini, group, key,
                     "has the invalid name \"%.80s\"; allowed: 1 to 63 of "
                     "A-Z a-z 0-9 . _ -",
                     list[n]);
      for (guint i = 0; i < n; i++)
        if (strcmp (list[i], list[n]) == 0)
          ini_problem (ini, group, key,
                       "lists %.63s twice; allowed: each name once", list[n]);
    }
  return n;
}

/* Checks the desired models, adapters, version and role of RAW.  */
static void
check_desired_state (const struct cluster_config *config, struct ini *ini,
                     const struct cluster_raw_backend *raw)
{
  const struct cluster_backend *backend = &raw->backend;
  int pool = index_find (config->index->pools, raw->pool.s);
  g_autofree char *group
      = cluster_section_group (CLUSTER_SECTION_BACKEND, backend->name.s);
  guint n = check_names (ini, group, "models",
                         (const char *const *)backend->models);
  n += check_names (ini, group, "adapters",
                    (const char *const *)backend->adapters);
  n += backend->version.s[0] != '\0';
  n += backend->role != CLUSTER_ROLE_UNSET;
  if (n > CLUSTER_DESIRED_MAX)
    ini_problem (ini, group, NULL,
                 "has %u desired models, adapters, version and role; allowed: "
                 "at most %d together",
                 n, CLUSTER_DESIRED_MAX);
  if (n > 0 && pool >= 0 && config->pools[pool].kind == CLUSTER_SERVICE)
    ini_problem (ini, group, NULL,
                 "belongs to a service, which has no desired state; allowed: "
                 "models, adapters, version and role for engines only");
}

/* Adds shard NUMBER of the pool and domain of BACKEND.  */
static void
add_shard (struct cluster_config *config, struct ini *ini,
           const struct cluster_backend *backend, guint number)
{
  struct cluster_shard *shard = &config->shards[config->n_shards];
  const char *domain = config->domains[backend->domain].name.s;
  const char *pool = config->pools[backend->pool].name.s;
  g_autofree char *name = g_strdup_printf ("%s:%s:%u", domain, pool, number);
  shard->pool = backend->pool;
  shard->domain = backend->domain;
  if (!str_id_set (&shard->name, str_of (name)))
    ini_problem (ini, NULL, NULL,
                 "the shard name %s has %zu bytes; allowed: "
                 "names of domain and pool that make at most %d bytes",
                 name, strlen (name), STR_ID_MAX);
  index_add (config->index->shards, shard->name.s, config->n_shards);
  config->n_shards++;
}

/* Assigns the backend servers of each pool and domain, sorted by name, to
   shards of up to CLUSTER_SHARD_SIZE servers.  */
static void
make_shards (struct cluster_config *config, struct ini *ini)
{
  guint n_pairs = config->n_domains * config->n_pools;
  guint *n_servers = g_new0 (guint, n_pairs + 1);
  guint *last_shard = g_new0 (guint, n_pairs + 1);
  config->shards = g_new0 (struct cluster_shard, config->n_backends + 1);
  for (guint i = 0; i < config->n_backends; i++)
    {
      struct cluster_backend *backend = &config->backends[i];
      guint pair = backend->domain * config->n_pools + backend->pool;
      if (n_servers[pair] % CLUSTER_SHARD_SIZE == 0)
        {
          last_shard[pair] = config->n_shards;
          add_shard (config, ini, backend,
                     n_servers[pair] / CLUSTER_SHARD_SIZE);
        }
      backend->shard = last_shard[pair];
      n_servers[pair]++;
    }
  g_free (last_shard);
  g_free (n_servers);
}

static void
read_backends (struct cluster_config *config, struct ini *ini)
{
  struct cluster_raw_backend *raw = cluster_section_read (
      ini, CLUSTER_SECTION_BACKEND, &config->n_backends);
  g_autoptr (GHashTable) addresses = g_hash_table_new (g_str_hash, g_str_equal);
  gboolean resolved = TRUE;
  config->backends = g_new0 (struct cluster_backend, config->n_backends + 1);
  qsort (raw, config->n_backends, sizeof *raw, compare_backends);
  for (guint i = 0; i < config->n_backends; i++)
    {
      resolved &= resolve_backend (config, ini, &raw[i]);
      config->backends[i] = raw[i].backend;
      check_address (addresses, ini, &config->backends[i]);
      check_desired_state (config, ini, &raw[i]);
      index_add (config->index->backends, config->backends[i].name.s, i);
    }
  if (resolved)
    make_shards (config, ini);
  g_free (raw);
}

static void
read_operators (struct cluster_config *config, struct ini *ini)
{
  config->operators = cluster_section_read (ini, CLUSTER_SECTION_OPERATOR,
                                            &config->n_operators);
  for (guint i = 0; i < config->n_operators; i++)
    {
      const struct cluster_operator *op = &config->operators[i];
      g_autofree char *group
          = cluster_section_group (CLUSTER_SECTION_OPERATOR, op->name.s);
      index_add (config->index->operators, op->name.s, i);
      if (op->token_sha256[0] != '\0'
          && !index_add (config->index->operator_tokens, op->token_sha256, i))
        ini_problem (
            ini, group, "token_sha256",
            "is the token of another operator; allowed: a unique token");
    }
}

/* Fills CONFIG from INI. Each section is read after those that it refers to. */
void
cluster_read (struct cluster_config *config, struct ini *ini)
{
  cluster_sections_check (ini);
  read_domains (config, ini);
  read_classes (config, ini);
  read_presets (config, ini);
  read_teams (config, ini);
  read_pools (config, ini);
  read_backends (config, ini);
  read_operators (config, ini);
}
