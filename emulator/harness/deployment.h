/* A complete deployment as processes on loopback: platform, engines and plain
   services (stand-ins) and instances, with generated settings and configuration
   or those of an example.  */
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
  const char *limits;  /* lines for the section [limits] of the settings; NULL:
                          only shutdown_grace_ms */
  const char *example; /* folder below examples/ whose configuration and
                          settings are used; NULL: generated */
  gboolean no_config;  /* the platform starts without a configuration */
};

/* A process and its location.  */
struct deployment_process
{
  char name[64];
  const char *domain;
  const char *region;
  int peer_port; /* of an instance; chosen before it starts */
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

/* Starts all processes and waits until each instance has the configuration.
   Returns NULL if one of them did not start. HARNESS owns the processes.  */
struct deployment *deployment_start (struct harness *harness,
                                     const struct deployment_options *options);
void deployment_free (struct deployment *deployment);
/* Starts instance I for the first time or again.  */
gboolean deployment_start_instance (struct deployment *deployment, guint i);
/* Waits until instance I reports itself as ready. */
gboolean deployment_wait_ready (struct deployment *deployment, guint i);
/* Returns the configuration file with PRESET in force, freed by g_free.  */
char *deployment_config (const struct deployment *deployment,
                         const char *preset);

/* Tells whether engine number ENGINE checks fencing numbers if mixed_fences is
   set.  */
gboolean deployment_checks_fence (guint engine);

/* Sends a completion request to instance I. CLASS_NAME may be NULL. The result
   is freed by harness_response_free.  */
struct harness_response *deployment_chat (struct deployment *deployment,
                                          guint i, const char *class_name,
                                          const char *prompt,
                                          gboolean streamed);
/* Sends POST /services/account/activate with BODY to instance I; KEY, its
   idempotency key, may be NULL.  */
struct harness_response *deployment_activate (struct deployment *deployment,
                                              guint i, const char *body,
                                              const char *key);
/* Returns the counter NAME of instance I, or -1 if it does not respond.  */
gint64 deployment_counter (struct deployment *deployment, guint i,
                           const char *name);
/* Returns the member NAME of the object "error" in the body of RESPONSE, freed
   by g_free, or NULL if there is none.  */
char *deployment_error (const struct harness_response *response,
                        const char *name);

#endif
