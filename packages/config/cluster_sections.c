#include "config/cluster_sections.h"

#include <string.h>

#define HOUR_MS 3600000.0 /* milliseconds */

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

#define TARGET struct cluster_raw_main
static const struct ini_key main_keys[] = {
  KEY (ID, "preset", preset, REQUIRED),
};
#undef TARGET

#define TARGET struct cluster_raw_preset
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
  KEY (NUMBER, "min_share", min_share, REQUIRED, 0.01, CLUSTER_SHARE_SUM_MAX,
       0),
  KEY (COUNT, "max_waiting", max_waiting, REQUIRED, 1, 100000, 0),
  KEY (COUNT, "reserved_waiting", reserved_waiting, OPTIONAL, 1, 100000, 1),
  KEY (NUMBER, "retry_share", retry_share, OPTIONAL, 0, 1, 0.1),
  KEY (BYTES, "link_bytes_per_s", link_bytes_per_s, OPTIONAL, 0, 1e10, 0),
  KEY (CHOICE, "spill", overflow, OPTIONAL, 0, 0, CLUSTER_OVERFLOW_REGION,
       overflow_names),
};
#undef TARGET

#define TARGET struct cluster_raw_team
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

#define TARGET struct cluster_raw_backend
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
  CLUSTER_SECTIONS (SECTION_ROW)
#undef SECTION_ROW
};

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
void *
cluster_section_read (struct ini *ini, enum cluster_section id, guint *n)
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
                      id == CLUSTER_SECTION_PRESET ? CLUSTER_OVERRIDE_PREFIX
                                                   : NULL,
                      element);
    }
  return array;
}

/* Returns the name of the group of section ID for NAME; the caller frees it. */
char *
cluster_section_group (enum cluster_section id, const char *name)
{
  return g_strdup_printf ("%s:%s", sections[id].prefix, name);
}

/* Adds a problem for each group that belongs to no section.  */
void
cluster_sections_check (struct ini *ini)
{
  g_auto (GStrv) groups = g_key_file_get_groups (ini->file, NULL);
  for (guint i = 0; groups[i] != NULL; i++)
    {
      gboolean known = strcmp (groups[i], CLUSTER_MAIN_GROUP) == 0;
      for (guint s = 0; s < CLUSTER_SECTION_N && !known; s++)
        known = section_name (&sections[s], groups[i]) != NULL;
      if (!known)
        ini_problem (ini, groups[i], NULL,
                     "is unknown; allowed: " CLUSTER_MAIN_GROUP
                     ", preset:NAME, domain:NAME, class:NAME, team:NAME, "
                     "model:NAME, service:NAME, backend:NAME, operator:NAME");
    }
}

/* Reads the group CLUSTER_MAIN_GROUP.  */
void
cluster_section_read_main (struct ini *ini, struct cluster_raw_main *result)
{
  ini_read_group (ini, CLUSTER_MAIN_GROUP, main_keys, G_N_ELEMENTS (main_keys),
                  NULL, result);
}

/* Returns the key NAME of a class; NULL if classes have no such key.  */
const struct ini_key *
cluster_class_key (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (class_keys); i++)
    if (strcmp (class_keys[i].name, name) == 0)
      return &class_keys[i];
  return NULL;
}
