/* The groups of the configuration file and their keys; internal to
   packages/config.  */
#ifndef CLUSTER_SECTIONS_H
#define CLUSTER_SECTIONS_H

#include "config/cluster_config.h"
#include "config/ini.h"

#define CLUSTER_MAIN_GROUP "jacinthward"
#define CLUSTER_OVERRIDE_PREFIX "class." /* of keys of a preset */
#define CLUSTER_SHARE_SUM_MAX 0.9 /* maximum of the sum of all min_share */

/* The raw_ structs hold groups as read, before names become indices. */
struct cluster_raw_preset
{
  struct str_id name;
  int overflow;
  double limit_scale;
};

struct cluster_raw_team
{
  struct cluster_team team; /* first member, since it starts with the name */
  struct str_id default_class;
  char **classes;
};

struct cluster_raw_backend
{
  struct cluster_backend backend; /* first member, as for teams */
  struct str_id pool;
  struct str_id domain;
};

struct cluster_raw_main
{
  struct str_id preset;
};

/* Types of groups "[PREFIX:NAME]". The groups of a type are read into an array;
   each element starts with a struct str_id for its name. The tables of keys are
   in cluster_sections.c.
   X (ID, "prefix", element, keys, n_keys, max) */
#define CLUSTER_SECTIONS(X)                                                    \
  X (DOMAIN, "domain", struct cluster_domain, domain_keys,                     \
     G_N_ELEMENTS (domain_keys), CLUSTER_DOMAINS_MAX)                          \
  X (CLASS, "class", struct cluster_class, class_keys,                         \
     G_N_ELEMENTS (class_keys), CLUSTER_CLASSES_MAX)                           \
  X (PRESET, "preset", struct cluster_raw_preset, preset_keys,                 \
     G_N_ELEMENTS (preset_keys), CLUSTER_PRESETS_MAX)                          \
  X (TEAM, "team", struct cluster_raw_team, team_keys,                         \
     G_N_ELEMENTS (team_keys), CLUSTER_TEAMS_MAX)                              \
  X (MODEL, "model", struct cluster_pool, NULL, 0, CLUSTER_POOLS_MAX)          \
  X (SERVICE, "service", struct cluster_pool, service_keys,                    \
     G_N_ELEMENTS (service_keys), CLUSTER_POOLS_MAX)                           \
  X (BACKEND, "backend", struct cluster_raw_backend, backend_keys,             \
     G_N_ELEMENTS (backend_keys), CLUSTER_BACKENDS_MAX)                        \
  X (OPERATOR, "operator", struct cluster_operator, operator_keys,             \
     G_N_ELEMENTS (operator_keys), CLUSTER_OPERATORS_MAX)

enum cluster_section
{
#define SECTION_ENUM(id, prefix, element, keys, n_keys, max)                   \
  CLUSTER_SECTION_##id,
  CLUSTER_SECTIONS (SECTION_ENUM)
#undef SECTION_ENUM
      CLUSTER_SECTION_N
};

void cluster_sections_check (struct ini *ini);
void cluster_section_read_main (struct ini *ini,
                                struct cluster_raw_main *result);
void *cluster_section_read (struct ini *ini, enum cluster_section id, guint *n);
char *cluster_section_group (enum cluster_section id, const char *name);
const struct ini_key *cluster_class_key (const char *name);

#endif
