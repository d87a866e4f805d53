/* The configuration object: parsed, checked and immutable. The values are
   those of the preset in force.  */
#ifndef CLUSTER_CONFIG_H
#define CLUSTER_CONFIG_H

#include "base/err.h"
#include "base/str.h"

#define CLUSTER_BODY_MAX (1024 * 1024) /* bytes of the object */
#define CLUSTER_TIERS_MAX 8            /* tiers 0 (highest) to 7 */
#define CLUSTER_CLASSES_MAX 64
#define CLUSTER_TEAMS_MAX 1024
#define CLUSTER_BACKENDS_MAX 2048
#define CLUSTER_POOLS_MAX 64
#define CLUSTER_DOMAINS_MAX 32
#define CLUSTER_PRESETS_MAX 16
#define CLUSTER_OPERATORS_MAX 64
#define CLUSTER_SHARD_SIZE 16 /* backend servers in a cell at most */
#define CLUSTER_DESIRED_MAX                                                    \
  32 /* models, adapters, version and role of an engine */
#define CLUSTER_DIGEST_MAX 64 /* hexadecimal digits of a SHA-256 */

/* X (NAME, "name") */
#define CLUSTER_KINDS(X)                                                       \
  X (ENGINE, "engine")                                                         \
  X (SERVICE, "service")

enum cluster_kind
{
#define CLUSTER_KIND_ENUM(id, name) CLUSTER_##id,
  CLUSTER_KINDS (CLUSTER_KIND_ENUM)
#undef CLUSTER_KIND_ENUM
};

/* How far work may leave its failure domain. */
#define CLUSTER_OVERFLOWS(X)                                                   \
  X (NONE, "none")                                                             \
  X (REGION, "region")                                                         \
  X (ANYWHERE, "anywhere")

enum cluster_overflow
{
#define CLUSTER_OVERFLOW_ENUM(id, name) CLUSTER_OVERFLOW_##id,
  CLUSTER_OVERFLOWS (CLUSTER_OVERFLOW_ENUM)
#undef CLUSTER_OVERFLOW_ENUM
};

/* Which phase of a request an engine serves. X (NAME, "name") */
#define CLUSTER_ROLES(X)                                                       \
  X (PREFILL, "prefill")                                                       \
  X (DECODE, "decode")                                                         \
  X (BOTH, "both")

enum cluster_role
{
  CLUSTER_ROLE_UNSET = -1,
#define CLUSTER_ROLE_ENUM(id, name) CLUSTER_ROLE_##id,
  CLUSTER_ROLES (CLUSTER_ROLE_ENUM)
#undef CLUSTER_ROLE_ENUM
};

struct cluster_class
{
  struct str_id name;
  guint tier;               /* 0 is the highest */
  gint64 ttft_us;           /* target for the first token; 0: none */
  gint64 tbt_us;            /* target between tokens; 0: none */
  gint64 deadline_us;       /* for the whole request */
  double min_share;         /* least share of starts while waiting, 0 to 1 */
  guint max_waiting;        /* tickets waiting in one cell */
  guint reserved_waiting;   /* of these, room that no other class fills */
  double retry_share;       /* retries per first try */
  guint64 link_bytes_per_s; /* over the paid link; 0: none may cross */
  enum cluster_overflow overflow;
};

struct cluster_team
{
  struct str_id name;
  char key_sha256[CLUSTER_DIGEST_MAX + 1];
  double weight;       /* in fair queueing within a class */
  guint max_running;   /* requests in one cell; 0: no limit */
  guint default_class; /* index into classes */
  guint64 classes;     /* bit set of allowed classes */
};

struct cluster_domain
{
  struct str_id name;
  struct str_id region;
};

/* A model or a plain service; a name stands for one of them only, since cells
   and backend servers refer to a pool by its name. */
struct cluster_pool
{
  struct str_id name;
  enum cluster_kind kind;
  gboolean any_method_repeatable; /* FALSE: only GET and HEAD repeat */
};

struct cluster_backend
{
  struct str_id name;
  char address[ERR_PEER_MAX]; /* IP:PORT */
  guint pool;                 /* index into pools */
  guint domain;               /* index into domains */
  guint shard;                /* index into cells */
  guint max_running;          /* hard limit of requests in progress */
  gboolean checks_fence;      /* refuses orders with an old fencing number */
  gboolean drain;             /* set by an operator: no new work */
  /* What an engine should have, by orders. */
  char **models;         /* owned; NULL: none */
  char **adapters;       /* owned; NULL: none */
  struct str_id version; /* "": not said */
  enum cluster_role role;
};

/* Up to CLUSTER_SHARD_SIZE backend servers of one pool in one failure domain.
 */
struct cluster_shard
{
  struct str_id name; /* DOMAIN:POOL:NUMBER */
  guint pool;
  guint domain;
};

struct cluster_operator
{
  struct str_id name;
  char token_sha256[CLUSTER_DIGEST_MAX + 1];
  gboolean may_write;
};

struct cluster_index; /* internal */

struct cluster_config
{
  guint64 version;                /* of the object; higher is newer */
  GBytes *body;                   /* the INI text, owned */
  struct str_id preset;           /* in force */
  double limit_scale;             /* of the adaptive limits, by the preset */
  enum cluster_overflow overflow; /* widest spill of the preset */
  guint refs;

  struct cluster_class *classes;
  struct cluster_team *teams;
  struct cluster_domain *domains;
  struct cluster_pool *pools;
  struct cluster_backend *backends; /* sorted by name */
  struct cluster_shard *shards;
  struct cluster_operator *operators;
  struct str_id *presets;
  guint n_classes;
  guint n_teams;
  guint n_domains;
  guint n_pools;
  guint n_backends;
  guint n_shards;
  guint n_operators;
  guint n_presets;

  struct cluster_index *index; /* hashed look-ups, owned */
};

struct cluster_config *cluster_parse (GBytes *body, guint64 version,
                                      GPtrArray *problems);
struct cluster_config *cluster_ref (struct cluster_config *config);
void cluster_unref (struct cluster_config *config);

int cluster_find_class (const struct cluster_config *config, struct str name);
int cluster_find_team (const struct cluster_config *config, struct str name);
int cluster_find_team_by_key (const struct cluster_config *config,
                              struct str key);
int cluster_find_operator_by_token (const struct cluster_config *config,
                                    struct str token);
int cluster_find_pool (const struct cluster_config *config,
                       enum cluster_kind kind, struct str name);
int cluster_find_backend (const struct cluster_config *config, struct str name);
int cluster_find_shard (const struct cluster_config *config, struct str name);
int cluster_find_domain (const struct cluster_config *config, struct str name);

const char *cluster_kind_name (enum cluster_kind kind);
const char *cluster_overflow_name (enum cluster_overflow overflow);
const char *cluster_role_name (enum cluster_role role);

/* Edits that keep the rest of the text as it is; the caller unrefs the
   result, NULL with ERR set if the group is not there.  */
GBytes *cluster_with_preset (GBytes *body, const char *preset, struct err *err);
GBytes *cluster_with_drain (GBytes *body, const char *backend, gboolean drain,
                            struct err *err);

#endif
