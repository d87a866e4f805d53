/* The configuration object: parsed, checked and immutable. The values are
   those of the preset in force.  */
#ifndef CFG_H
#define CFG_H

#include "base/err.h"
#include "base/str.h"

#define CFG_BODY_MAX (1024 * 1024) /* bytes of the object */
#define CFG_TIERS_MAX 8            /* tiers 0 (highest) to 7 */
#define CFG_CLASSES_MAX 64
#define CFG_TEAMS_MAX 1024
#define CFG_BACKENDS_MAX 2048
#define CFG_POOLS_MAX 64
#define CFG_DOMAINS_MAX 32
#define CFG_PRESETS_MAX 16
#define CFG_OPERATORS_MAX 64
#define CFG_CELL_SIZE 16  /* backend servers in a cell at most */
#define CFG_WANTS_MAX 32  /* models, adapters, version and role of an engine */
#define CFG_DIGEST_MAX 64 /* hexadecimal digits of a SHA-256 */

/* X (NAME, "name") */
#define CFG_KINDS(X)                                                           \
  X (ENGINE, "engine")                                                         \
  X (SERVICE, "service")

enum cfg_kind
{
#define CFG_KIND_ENUM(id, name) CFG_##id,
  CFG_KINDS (CFG_KIND_ENUM)
#undef CFG_KIND_ENUM
};

/* How far work may leave its failure domain. */
#define CFG_SPILLS(X)                                                          \
  X (NONE, "none")                                                             \
  X (REGION, "region")                                                         \
  X (ANYWHERE, "anywhere")

enum cfg_spill
{
#define CFG_SPILL_ENUM(id, name) CFG_SPILL_##id,
  CFG_SPILLS (CFG_SPILL_ENUM)
#undef CFG_SPILL_ENUM
};

/* Which phase of a request an engine serves. X (NAME, "name") */
#define CFG_ROLES(X)                                                           \
  X (PREFILL, "prefill")                                                       \
  X (DECODE, "decode")                                                         \
  X (BOTH, "both")

enum cfg_role
{
  CFG_ROLE_UNSET = -1,
#define CFG_ROLE_ENUM(id, name) CFG_ROLE_##id,
  CFG_ROLES (CFG_ROLE_ENUM)
#undef CFG_ROLE_ENUM
};

struct cfg_class
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
  enum cfg_spill spill;
};

struct cfg_team
{
  struct str_id name;
  char key_sha256[CFG_DIGEST_MAX + 1];
  double weight;       /* in fair queueing within a class */
  guint max_running;   /* requests in one cell; 0: no limit */
  guint default_class; /* index into classes */
  guint64 classes;     /* bit set of allowed classes */
};

struct cfg_domain
{
  struct str_id name;
  struct str_id region;
};

/* A model or a plain service; a name stands for one of them only, since cells
   and backend servers refer to a pool by its name. */
struct cfg_pool
{
  struct str_id name;
  enum cfg_kind kind;
  gboolean any_method_repeatable; /* FALSE: only GET and HEAD repeat */
};

struct cfg_backend
{
  struct str_id name;
  char address[ERR_PEER_MAX]; /* IP:PORT */
  guint pool;                 /* index into pools */
  guint domain;               /* index into domains */
  guint cell;                 /* index into cells */
  guint max_running;          /* hard limit of requests in progress */
  gboolean checks_fence;      /* refuses orders with an old fencing number */
  gboolean drain;             /* set by an operator: no new work */
  /* What an engine should have, by orders. */
  char **models;         /* owned; NULL: none */
  char **adapters;       /* owned; NULL: none */
  struct str_id version; /* "": not said */
  enum cfg_role role;
};

/* Up to CFG_CELL_SIZE backend servers of one pool in one failure domain. */
struct cfg_cell
{
  struct str_id name; /* DOMAIN:POOL:NUMBER */
  guint pool;
  guint domain;
};

struct cfg_operator
{
  struct str_id name;
  char token_sha256[CFG_DIGEST_MAX + 1];
  gboolean may_write;
};

struct cfg_index; /* internal */

struct cfg
{
  guint64 version;      /* of the object; higher is newer */
  GBytes *body;         /* the INI text, owned */
  struct str_id preset; /* in force */
  double limit_scale;   /* of the adaptive limits, by the preset */
  enum cfg_spill spill; /* widest spill of the preset */
  guint refs;

  struct cfg_class *classes;
  struct cfg_team *teams;
  struct cfg_domain *domains;
  struct cfg_pool *pools;
  struct cfg_backend *backends; /* sorted by name */
  struct cfg_cell *cells;
  struct cfg_operator *operators;
  struct str_id *presets;
  guint n_classes;
  guint n_teams;
  guint n_domains;
  guint n_pools;
  guint n_backends;
  guint n_cells;
  guint n_operators;
  guint n_presets;

  struct cfg_index *index; /* hashed look-ups, owned */
};

struct cfg *cfg_parse (GBytes *body, guint64 version, GPtrArray *problems);
struct cfg *cfg_ref (struct cfg *cfg);
void cfg_unref (struct cfg *cfg);

int cfg_find_class (const struct cfg *cfg, struct str name);
int cfg_find_team (const struct cfg *cfg, struct str name);
int cfg_find_team_by_key (const struct cfg *cfg, struct str key);
int cfg_find_operator_by_token (const struct cfg *cfg, struct str token);
int cfg_find_pool (const struct cfg *cfg, enum cfg_kind kind, struct str name);
int cfg_find_backend (const struct cfg *cfg, struct str name);
int cfg_find_cell (const struct cfg *cfg, struct str name);
int cfg_find_domain (const struct cfg *cfg, struct str name);

const char *cfg_kind_name (enum cfg_kind kind);
const char *cfg_spill_name (enum cfg_spill spill);
const char *cfg_role_name (enum cfg_role role);

/* Edits that keep the rest of the text as it is; the caller unrefs the
   result, NULL with ERR set if the group is not there.  */
GBytes *cfg_with_preset (GBytes *body, const char *preset, struct err *err);
GBytes *cfg_with_drain (GBytes *body, const char *backend, gboolean drain,
                        struct err *err);

#endif
