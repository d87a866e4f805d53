/* A whole deployment as processes on loopback: platform, engines, plain
   services and instances, with a configuration made for them.  */
#ifndef DEP_H
#define DEP_H

#include "harness/har.h"

#define DEP_DOMAINS_MAX 4
#define DEP_PROCS_MAX 64
#define DEP_TEAM_KEY "crew-key"
#define DEP_TEAM_BEARER "Bearer crew-key"
#define DEP_OPERATOR_TOKEN "ops-token"
#define DEP_OPERATOR_BEARER "Bearer ops-token"

struct dep_domain
{
  const char *name; /* NULL: end of the list */
  const char *region;
  guint entries;
  guint engines;
  guint services;
};

struct dep_options
{
  struct dep_domain domains[DEP_DOMAINS_MAX + 1];
  guint max_running;              /* of an engine; 0: 64 */
  const char *const *engine_args; /* NULL-terminated; NULL: none */
  gboolean mixed_fences; /* every second engine ignores fencing numbers */
  const char *limits;    /* lines of the settings' [limits]; or NULL */
  const char *example;   /* folder of examples/ whose configuration and
                            settings are used; NULL: made up */
  gboolean no_config;    /* the platform starts without one */
};

/* A process and where it stands. */
struct dep_node
{
  char name[64];
  const char *domain;
  const char *region;
  int peer_port; /* of an instance, chosen before its start */
  struct har_proc *proc;
};

struct dep
{
  struct har *har;
  struct dep_options options;
  struct har_proc *platform;
  struct dep_node engines[DEP_PROCS_MAX];
  guint n_engines;
  struct dep_node services[DEP_PROCS_MAX];
  guint n_services;
  struct dep_node entries[DEP_PROCS_MAX];
  guint n_entries;
};

/* Starts everything and waits until each instance has the configuration.
   Returns NULL if something did not come up. HAR owns the processes. */
struct dep *dep_start (struct har *har, const struct dep_options *options);
void dep_free (struct dep *dep);
/* Starts instance I, anew if it ran before. */
gboolean dep_start_entry (struct dep *dep, guint i);
gboolean dep_wait_ready (struct dep *dep, guint i);
/* The text of the configuration with PRESET in force; freed by g_free. */
char *dep_config (const struct dep *dep, const char *preset);

/* With mixed_fences: whether engine number ENGINE checks fencing numbers. */
gboolean dep_checks_fence (guint engine);

/* A completion through instance I. CLASS may be NULL. */
struct har_reply *dep_chat (struct dep *dep, guint i, const char *class_name,
                            const char *prompt, gboolean streamed);
/* POST /services/account/activate with BODY; KEY may be NULL. */
struct har_reply *dep_activate (struct dep *dep, guint i, const char *body,
                                const char *key);
/* A number of instance I's counters, -1 if it does not answer. */
gint64 dep_counter (struct dep *dep, guint i, const char *name);
/* The "error" member NAME of REPLY's body; freed by g_free; NULL if none. */
char *dep_error (const struct har_reply *reply, const char *name);

#endif
