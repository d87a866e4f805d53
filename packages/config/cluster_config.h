/* The cluster configuration: an INI object that all instances share, parsed,
   validated and immutable. Values that presets may override are those of the
   active preset.  */
#ifndef CLUSTER_CONFIG_H
#define CLUSTER_CONFIG_H

#include "base/err.h"
#include "base/str.h"

#define CLUSTER_BODY_MAX (1024 * 1024) /* size of the INI text, bytes */
#define CLUSTER_TIERS_MAX 8            /* priority tiers 0 (highest) to 7 */
#define CLUSTER_CLASSES_MAX 64
#define CLUSTER_TEAMS_MAX 1024
#define CLUSTER_BACKENDS_MAX 2048
#define CLUSTER_POOLS_MAX 64
#define CLUSTER_DOMAINS_MAX 32
#define CLUSTER_PRESETS_MAX 16
#define CLUSTER_OPERATORS_MAX 64
#define CLUSTER_SHARD_SIZE 16 /* maximum of backend servers in a shard */
/* Maximum of models and adapters of one engine; its version and its role count
   as one each. */
#define CLUSTER_DESIRED_MAX 32
#define CLUSTER_DIGEST_MAX 64 /* hexadecimal digits of a SHA-256 */

/* Kinds of pools. X (NAME, "name") */
#define CLUSTER_KINDS(X)                                                       \
  X (ENGINE, "engine")                                                         \
  X (SERVICE, "service")

enum cluster_kind
{
#define CLUSTER_KIND_ENUM(id, name) CLUSTER_##id,
  CLUSTER_KINDS (CLUSTER_KIND_ENUM)
#undef CLUSTER_KIND_ENUM
};

/* How far from its own failure domain a request may be placed.
   X (NAME, "name") */
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

/* Inference phases that an engine serves. X (NAME, "name") */
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

/* A priority class of requests. */
struct cluster_class
{
  struct str_id name;
  guint tier;               /* priority tier; 0 is the highest */
  gint64 ttft_us;           /* target time to first token; 0: none */
  gint64 tbt_us;            /* target time between tokens; 0: none */
  gint64 deadline_us;       /* of the complete request */
  double min_share;         /* guaranteed fraction of starts, 0 to 1, while
                               requests of this class are queued */
  guint max_waiting;        /* queued requests in one shard */
  guint reserved_waiting;   /* queue entries of max_waiting that other classes
                               cannot use */
  double retry_share;       /* allowed retries per first attempt */
  guint64 link_bytes_per_s; /* over the metered link between regions; 0: this
                               class may not use it */
  enum cluster_overflow overflow;
};

struct cluster_team
{
  struct str_id name;
  char key_sha256[CLUSTER_DIGEST_MAX + 1];
  double weight;       /* for fair queueing within a class */
  guint max_running;   /* running requests in one shard; 0: no limit */
  guint default_class; /* index into classes */
  guint64 classes;     /* bit set of allowed classes */
};

/* A failure domain. */
struct cluster_domain
{
  struct str_id name;
  struct str_id region;
};

/* The backend servers of one model or of one plain HTTP service. Names are
   unique across both kinds, since shards and backend servers refer to a pool by
   name only. */
struct cluster_pool
{
  struct str_id name;
  enum cluster_kind kind;
  gboolean any_method_repeatable; /* FALSE: only GET and HEAD are retried */
};

struct cluster_backend
{
  struct str_id name;
  char address[ERR_PEER_MAX]; /* IP:PORT */
  guint pool;                 /* index into pools */
  guint domain;               /* index into domains */
  guint shard;                /* index into shards */
  guint max_running;          /* hard limit on concurrent requests */
  gboolean checks_fence;      /* rejects orders with an old fencing token */
  gboolean drain;             /* set by an operator: gets no new requests */
  /* Desired state of an engine, brought about by orders to it. */
  char **models;         /* owned; NULL: none */
  char **adapters;       /* owned; NULL: none */
  struct str_id version; /* "": any */
  enum cluster_role role;
};

/* Up to CLUSTER_SHARD_SIZE backend servers of one pool in one failure domain.
 */
struct cluster_shard
{
  struct str_id name; /* DOMAIN:POOL:NUMBER */
  guint pool;         /* index into pools */
  guint domain;       /* index into domains */
};

/* A user of the administration API. */
struct cluster_operator
{
  struct str_id name;
  char token_sha256[CLUSTER_DIGEST_MAX + 1];
  gboolean may_write;
};

struct cluster_index; /* internal, see cluster_read.h */

struct cluster_config
{
  guint64 version;      /* of the object; increases with each change */
  GBytes *body;         /* INI text, owned */
  struct str_id preset; /* the active preset */
  double limit_scale;   /* factor for adaptive limits, by the preset */
  /* Upper bound for all classes, by the preset. */
  enum cluster_overflow overflow;
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

  struct cluster_index *index; /* hash tables for look-ups, owned */
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

/* Return an edited copy of the INI text BODY, in which all other lines are
   unchanged, as a new reference; NULL with ERR set if there is no such preset
   or backend server.  */
GBytes *cluster_with_preset (GBytes *body, const char *preset, struct err *err);
GBytes *cluster_with_drain (GBytes *body, const char *backend, gboolean drain,
                            struct err *err);

#endif
