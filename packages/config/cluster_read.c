#include "config/cluster_read.h"

#include <stdlib.h>
#include <string.h>

#define SHARE_SUM_MAX 0.9   /* maximum of the sum of all min_share */
#define SHARE_ROUNDING 1e-9 /* tolerated rounding error of the sum */
#define HOUR_MS 3600000.0   /* milliseconds */

/* An entry of a table of keys, whose value goes to FIELD of struct TARGET. The
   optional arguments are the last members of struct ini_key, from min on.  */
#define KEY(type, name, field, required, ...)                                  \
  {                                                                            \
    name, INI_##type, required, offsetof (TARGET, field), __VA_ARGS__          \
  }
#define REQUIRED TRUE
#define OPTIONAL FALSE

static const char *const overflow_names[] = {
#define OVERFLOW_NAME(id, name) name,
  CLUSTER_OVERFLOWS (OVERFLOW_NAME)
#undef OVERFLOW_NAME
      NULL
};

static const char *const role_names[] = {
#define ROLE_NAME(id, name) name,
  CLUSTER_ROLES (ROLE_NAME)
#undef ROLE_NAME
      NULL
};

/* The raw_ structs hold groups as read, before names become indices. */
struct raw_preset
{
  struct str_id name;
  int overflow;
  double limit_scale;
};

struct raw_team
{
  struct cluster_team team; /* first member, since it starts with the name */
  struct str_id default_class;
  char **classes;
};

struct raw_backend
{
  struct cluster_backend backend; /* first member, as for teams */
  struct str_id pool;
  struct str_id domain;
};

struct raw_main
{
  struct str_id preset;
};

#define TARGET struct raw_main
static const struct ini_key main_keys[] = {
  KEY (ID, "preset", preset, REQUIRED),
};
#undef TARGET

#define TARGET struct raw_preset
static const struct ini_key preset_keys[] = {
  KEY (CHOICE, "spill", overflow, REQUIRED, 0, 0, 0, overflow_names),
  KEY (NUMBER, "limit_scale", limit_scale, OPTIONAL, 0.1, 2, 1),
};
#undef TARGET

#define TARGET struct cluster_domain
static const struct ini_key domain_keys[] = {
  KEY (ID, "region", region, REQUIRED),
};
#undef TARGET

#define TARGET struct cluster_class
static const struct ini_key class_keys[] = {
  KEY (COUNT, "tier", tier, REQUIRED, 0, CLUSTER_TIERS_MAX - 1, 0),
  KEY (MS, "ttft_ms", ttft_us, OPTIONAL, 0, HOUR_MS, 0),
  KEY (MS, "tbt_ms", tbt_us, OPTIONAL, 0, HOUR_MS, 0),
  KEY (MS, "deadline_ms", deadline_us, REQUIRED, 1, 24 * HOUR_MS, 0),
  KEY (NUMBER, "min_share", min_share, REQUIRED, 0.01, SHARE_SUM_MAX, 0),
  KEY (COUNT, "max_waiting", max_waiting, REQUIRED, 1, 100000, 0),
  KEY (COUNT, "reserved_waiting", reserved_waiting, OPTIONAL, 1, 100000, 1),
  KEY (NUMBER, "retry_share", retry_share, OPTIONAL, 0, 1, 0.1),
  KEY (BYTES, "link_bytes_per_s", link_bytes_per_s, OPTIONAL, 0, 1e10, 0),
  KEY (CHOICE, "spill", overflow, OPTIONAL, 0, 0, CLUSTER_OVERFLOW_REGION,
       overflow_names),
};
#undef TARGET

#define TARGET struct raw_team
static const struct ini_key team_keys[] = {
  KEY (DIGEST, "key_sha256", team.key_sha256, REQUIRED),
  KEY (NUMBER, "weight", team.weight, OPTIONAL, 0.01, 1000, 1),
  KEY (COUNT, "max_running", team.max_running, OPTIONAL, 0, 100000, 0),
  KEY (LIST, "classes", classes, REQUIRED),
  KEY (ID, "default_class", default_class, REQUIRED),
};
#undef TARGET

#define TARGET struct cluster_pool
static const struct ini_key service_keys[] = {
  KEY (BOOL, "repeatable", any_method_repeatable, OPTIONAL, 0, 0, FALSE),
};
#undef TARGET

#define TARGET struct raw_backend
static const struct ini_key backend_keys[] = {
  KEY (ADDRESS, "address", backend.address, REQUIRED),
  KEY (ID, "pool", pool, REQUIRED),
  KEY (ID, "domain", domain, REQUIRED),
  KEY (COUNT, "max_running", backend.max_running, REQUIRED, 1, 4096, 0),
  KEY (BOOL, "checks_fence", backend.checks_fence, OPTIONAL, 0, 0, FALSE),
  KEY (BOOL, "drain", backend.drain, OPTIONAL, 0, 0, FALSE),
  KEY (LIST, "models", backend.models, OPTIONAL),
  KEY (LIST, "adapters", backend.adapters, OPTIONAL),
  KEY (ID, "version", backend.version, OPTIONAL),
  KEY (CHOICE, "role", backend.role, OPTIONAL, 0, 0, CLUSTER_ROLE_UNSET,
       role_names),
};
#undef TARGET

#define TARGET struct cluster_operator
static const struct ini_key operator_keys[] = {
  KEY (DIGEST, "token_sha256", token_sha256, REQUIRED),
  KEY (BOOL, "write", may_write, OPTIONAL, 0, 0, FALSE),
};
#undef TARGET

/* Types of groups "[PREFIX:NAME]". The groups of a type are read into an array;
   each element starts with a struct str_id for its name.
   X (ID, "prefix", element, keys, n_keys, max) */
#define SECTIONS(X)                                                            \
  X (DOMAIN, "domain", struct cluster_domain, domain_keys,                     \
     G_N_ELEMENTS (domain_keys), CLUSTER_DOMAINS_MAX)                          \
  X (CLASS, "class", struct cluster_class, class_keys,                         \
     G_N_ELEMENTS (class_keys), CLUSTER_CLASSES_MAX)                           \
  X (PRESET, "preset", struct raw_preset, preset_keys,                         \
     G_N_ELEMENTS (preset_keys), CLUSTER_PRESETS_MAX)                          \
  X (TEAM, "team", struct raw_team, team_keys, G_N_ELEMENTS (team_keys),       \
     CLUSTER_TEAMS_MAX)                                                        \
  X (MODEL, "model", struct cluster_pool, NULL, 0, CLUSTER_POOLS_MAX)          \
  X (SERVICE, "service", struct cluster_pool, service_keys,                    \
     G_N_ELEMENTS (service_keys), CLUSTER_POOLS_MAX)                           \
  X (BACKEND, "backend", struct raw_backend, backend_keys,                     \
     G_N_ELEMENTS (backend_keys), CLUSTER_BACKENDS_MAX)                        \
  X (OPERATOR, "operator", struct cluster_operator, operator_keys,             \
     G_N_ELEMENTS (operator_keys), CLUSTER_OPERATORS_MAX)

enum section_id
{
#define SECTION_ENUM(id, prefix, element, keys, n_keys, max) SECTION_##id,
  SECTIONS (SECTION_ENUM)
#undef SECTION_ENUM
      SECTION_N
};

struct section
{
  const char *prefix;
  gsize size; /* of an array element, bytes */
  const struct ini_key *keys;
  guint n_keys;
  guint max; /* number of groups allowed */
};

static const struct section sections[] = {
#define SECTION_ROW(id, prefix, element, keys, n_keys, max)                    \
  { prefix, sizeof (element), keys, n_keys, max },
  SECTIONS (SECTION_ROW)
#undef SECTION_ROW
};

#define MAIN_GROUP "jacinthward"

/* Returns the NAME of a group "[PREFIX:NAME]" of section S, a part of GROUP;
   NULL if GROUP belongs to another section.  */
static const char *
section_name (const struct section *s, const char *group)
{
  gsize n = strlen (s->prefix);
  if (strncmp (group, s->prefix, n) != 0 || group[n] != ':')
    return NULL;
  return group + n + 1;
}

/* Reads all groups of section ID in file order. Returns an array of *N elements
   that the caller frees.  */
static void *
read_section (struct ini *ini, enum section_id id, guint *n)
{
  const struct section *s = &sections[id];
  g_auto (GStrv) groups = g_key_file_get_groups (ini->file, NULL);
  char *array = g_malloc0_n (g_strv_length (groups) + 1, s->size);
  *n = 0;
  for (guint i = 0; groups[i] != NULL; i++)
    {
      const char *name = section_name (s, groups[i]);
      if (name == NULL)
        continue;
      if (*n == s->max)
        {
          ini_problem (ini, groups[i], NULL,
                       "exceeds the limit; allowed: at most %u %s groups",
                       s->max, s->prefix);
          break;
        }
      char *element = array + (gsize)(*n)++ * s->size;
      if (!str_id_ok (str_of (name)))
        ini_problem (
            ini, groups[i], NULL,
            "has an invalid name; allowed: 1 to 63 of A-Z a-z 0-9 . _ -");
      str_id_set ((struct str_id *)element, str_of (name));
      ini_read_group (ini, groups[i], s->keys, s->n_keys,
                      id == SECTION_PRESET ? "class." : NULL, element);
    }
  return array;
}

static char *
group_name (enum section_id id, const char *name)
{
  return g_strdup_printf ("%s:%s", sections[id].prefix, name);
}

static void
check_groups (struct ini *ini)
{
  g_auto (GStrv) groups = g_key_file_get_groups (ini->file, NULL);
  for (guint i = 0; groups[i] != NULL; i++)
    {
      gboolean known = strcmp (groups[i], MAIN_GROUP) == 0;
      for (guint s = 0; s < SECTION_N && !known; s++)
        known = section_name (&sections[s], groups[i]) != NULL;
      if (!known)
        ini_problem (ini, groups[i], NULL,
                     "is unknown; allowed: " MAIN_GROUP
                     ", preset:NAME, domain:NAME, class:NAME, team:NAME, "
                     "model:NAME, service:NAME, backend:NAME, operator:NAME");
    }
}

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
  config->domains = read_section (ini, SECTION_DOMAIN, &config->n_domains);
  for (guint i = 0; i < config->n_domains; i++)
    index_add (config->index->domains, config->domains[i].name.s, i);
  if (config->n_domains == 0)
    ini_problem (ini, "domain:NAME", NULL, "is missing; allowed: at least one");
}

static void
read_classes (struct cluster_config *config, struct ini *ini)
{
  config->classes = read_section (ini, SECTION_CLASS, &config->n_classes);
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
  const char *name = override + strlen ("class.");
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
  for (guint i = 0; i < G_N_ELEMENTS (class_keys); i++)
    if (strcmp (class_keys[i].name, dot + 1) == 0)
      {
        ini_read_key (ini, group, override, &class_keys[i],
                      &classes[class_index]);
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
  if (sum > SHARE_SUM_MAX + SHARE_ROUNDING)
    ini_problem (ini, group, NULL,
                 "min_share of all classes adds up to %.6g; allowed: at most "
                 "%.6g",
                 sum, SHARE_SUM_MAX);
}

/* Returns a copy of the classes with the overrides of PRESET applied; the
   caller frees it.  */
static struct cluster_class *
classes_of_preset (const struct cluster_config *config, struct ini *ini,
                   const struct raw_preset *preset)
{
  struct cluster_class *classes
      = g_memdup2 (config->classes, config->n_classes * sizeof *classes);
  g_autofree char *group = group_name (SECTION_PRESET, preset->name.s);
  g_auto (GStrv) keys = g_key_file_get_keys (ini->file, group, NULL, NULL);
  for (guint i = 0; keys != NULL && keys[i] != NULL; i++)
    if (g_str_has_prefix (keys[i], "class."))
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
      g_autofree char *group = group_name (SECTION_PRESET, needed[i]);
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
apply_preset (struct cluster_config *config, const struct raw_preset *preset,
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
  struct raw_main main_group = { 0 };
  ini_read_group (ini, MAIN_GROUP, main_keys, G_N_ELEMENTS (main_keys), NULL,
                  &main_group);
  config->preset = main_group.preset;
  struct raw_preset *raw
      = read_section (ini, SECTION_PRESET, &config->n_presets);
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
    ini_problem (ini, MAIN_GROUP, "preset",
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
              struct raw_team *raw)
{
  g_autofree char *group = group_name (SECTION_TEAM, raw->team.name.s);
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
  struct raw_team *raw = read_section (ini, SECTION_TEAM, &config->n_teams);
  config->teams = g_new0 (struct cluster_team, config->n_teams + 1);
  for (guint i = 0; i < config->n_teams; i++)
    {
      struct cluster_team *team = &config->teams[i];
      resolve_team (config, ini, &raw[i]);
      *team = raw[i].team;
      g_strfreev (raw[i].classes);
      index_add (config->index->teams, team->name.s, i);
      g_autofree char *group = group_name (SECTION_TEAM, team->name.s);
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
  enum section_id id = kind == CLUSTER_ENGINE ? SECTION_MODEL : SECTION_SERVICE;
  g_autofree char *group = group_name (id, pool.name.s);
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
  struct cluster_pool *models = read_section (ini, SECTION_MODEL, &n_models);
  struct cluster_pool *services
      = read_section (ini, SECTION_SERVICE, &n_services);
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
                 struct raw_backend *raw)
{
  g_autofree char *group = group_name (SECTION_BACKEND, raw->backend.name.s);
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
  const struct raw_backend *x = a;
  const struct raw_backend *y = b;
  return strcmp (x->backend.name.s, y->backend.name.s);
}

static void
check_address (GHashTable *used, struct ini *ini,
               const struct cluster_backend *backend)
{
  g_autofree char *group = group_name (SECTION_BACKEND, backend->name.s);
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

/* Checks the desired models, adapters, version and role of BACKEND.  */
static void
check_desired_state (const struct cluster_config *config, struct ini *ini,
                     const struct cluster_backend *backend)
{
  g_autofree char *group = group_name (SECTION_BACKEND, backend->name.s);
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
  if (n > 0 && config->pools[backend->pool].kind == CLUSTER_SERVICE)
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
  struct raw_backend *raw
      = read_section (ini, SECTION_BACKEND, &config->n_backends);
  g_autoptr (GHashTable) addresses = g_hash_table_new (g_str_hash, g_str_equal);
  gboolean resolved = TRUE;
  config->backends = g_new0 (struct cluster_backend, config->n_backends + 1);
  qsort (raw, config->n_backends, sizeof *raw, compare_backends);
  for (guint i = 0; i < config->n_backends; i++)
    {
      resolved &= resolve_backend (config, ini, &raw[i]);
      config->backends[i] = raw[i].backend;
      check_address (addresses, ini, &config->backends[i]);
      check_desired_state (config, ini, &config->backends[i]);
      index_add (config->index->backends, config->backends[i].name.s, i);
    }
  if (resolved)
    make_shards (config, ini);
  g_free (raw);
}

static void
read_operators (struct cluster_config *config, struct ini *ini)
{
  config->operators
      = read_section (ini, SECTION_OPERATOR, &config->n_operators);
  for (guint i = 0; i < config->n_operators; i++)
    {
      const struct cluster_operator *op = &config->operators[i];
      g_autofree char *group = group_name (SECTION_OPERATOR, op->name.s);
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
  check_groups (ini);
  read_domains (config, ini);
  read_classes (config, ini);
  read_presets (config, ini);
  read_teams (config, ini);
  read_pools (config, ini);
  read_backends (config, ini);
  read_operators (config, ini);
}
