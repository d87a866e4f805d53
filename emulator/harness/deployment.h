/* A whole deployment as processes on loopback: platform, engines, plain
   services and instances, with a configuration made for them.  */
#ifndef DEPLOYMENT_H
#define DEPLOYMENT_H

#include "harness/harness.h"

#define DEPLOYMENT_DOMAINS_MAX 4
#define DEPLOYMENT_PROCESSES_MAX 64
#define DEPLOYMENT_TEAM_KEY "crew-key"
#define DEPLOYMENT_TEAM_BEARER "Bearer crew-key"
#define DEPLOYMENT_OPERATOR_TOKEN "ops-token"
#define DEPLOYMENT_OPERATOR_BEARER "Bearer ops-token"

struct deployment_domain
{
  const char *name; /* NULL: end of the list */
  const char *region;
  guint instances;
  guint engines;
  guint services;
};

struct deployment_options
{
  struct deployment_domain domains[DEPLOYMENT_DOMAINS_MAX + 1];
  guint max_running;              /* of an engine; 0: 64 */
  const char *const *engine_args; /* NULL-terminated; NULL: none */
  gboolean mixed_fences; /* every second engine ignores fencing numbers */
  const char *limits;    /* lines of the settings' [limits]; or NULL */
  const char *example;   /* folder of examples/ whose configuration and
                            settings are used; NULL: made up */
  gboolean no_config;    /* the platform starts without one */
};

/* A process and where it stands. */
struct deployment_process
{
  char name[64];
  const char *domain;
  const char *region;
  int peer_port; /* of an instance, chosen before its start */
  struct harness_process *proc;
};

struct deployment
{
  struct harness *harness;
  struct deployment_options options;
  struct harness_process *platform;
  struct deployment_process engines[DEPLOYMENT_PROCESSES_MAX];
  guint n_engines;
  struct deployment_process services[DEPLOYMENT_PROCESSES_MAX];
  guint n_services;
  struct deployment_process instances[DEPLOYMENT_PROCESSES_MAX];
  guint n_instances;
};

/* Starts everything and waits until each instance has the configuration.
   Returns NULL if something did not come up. HAR owns the processes. */
struct deployment *deployment_start (struct harness *harness,
                                     const struct deployment_options *options);
void deployment_free (struct deployment *deployment);
/* Starts instance I, anew if it ran before. */
gboolean deployment_start_instance (struct deployment *deployment, guint i);
gboolean deployment_wait_ready (struct deployment *deployment, guint i);
/* The text of the configuration with PRESET in force; freed by g_free. */
char *deployment_config (const struct deployment *deployment,
                         const char *preset);

/* With mixed_fences: whether engine number ENGINE checks fencing numbers. */
gboolean deployment_checks_fence (guint engine);

/* A completion through instance I. CLASS may be NULL. */
struct harness_response *deployment_chat (struct deployment *deployment,
                                          guint i, const char *class_name,
                                          const char *prompt,
                                          gboolean streamed);
/* POST /services/account/activate with BODY; KEY may be NULL. */
struct harness_response *deployment_activate (struct deployment *deployment,
                                              guint i, const char *body,
                                              const char *key);
/* A number of instance I's counters, -1 if it does not answer. */
gint64 deployment_counter (struct deployment *deployment, guint i,
                           const char *name);
/* The "error" member NAME of REPLY's body; freed by g_free; NULL if none. */
char *deployment_error (const struct harness_response *response,
                        const char *name);

#endif
