#include "harness/deployment.h"

#include <string.h>

#define PROGRAM_DIR "packages/jacinthward/" /* below the build folder */
#define STANDIN_DIR "emulator/standin/"
#define START_ATTEMPTS_MAX 3
#define NAME_LETTERS 26 /* of DOMAIN-a to DOMAIN-z; then DOMAIN-NUMBER */

static const char config_head[]
    = "[jacinthward]\n"
      "preset=%s\n"
      "[preset:ordinary]\n"
      "spill=anywhere\n"
      "[preset:peak]\n"
      "spill=anywhere\n"
      "class.batch.max_waiting=32\n"
      "[preset:maintenance]\n"
      "spill=anywhere\n"
      "limit_scale=0.5\n"
      "[class:urgent]\n"
      "tier=0\nttft_ms=2000\ntbt_ms=200\ndeadline_ms=60000\nmin_share=0.3\n"
      "max_waiting=256\nreserved_waiting=16\nretry_share=0.5\n"
      "link_bytes_per_s=4000000\nspill=anywhere\n"
      "[class:batch]\n"
      "tier=2\nttft_ms=0\ntbt_ms=0\ndeadline_ms=60000\nmin_share=0.1\n"
      "max_waiting=256\nreserved_waiting=16\nretry_share=0.5\n"
      "link_bytes_per_s=4000000\nspill=anywhere\n"
      "[team:crew]\n"
      "key_sha256=%s\n"
      "weight=1\nmax_running=0\nclasses=urgent;batch\ndefault_class=urgent\n"
      "[operator:ops]\n"
      "token_sha256=%s\n"
      "write=yes\n"
      "[model:assistant]\n"
      "[service:account]\n"
      "repeatable=no\n";

static void
add_backend (GString *text, const struct deployment_process *process,
             const char *pool, guint max_running)
{
  g_string_append_printf (text,
                          "[backend:%s]\n"
                          "address=127.0.0.1:%d\n"
                          "pool=%s\ndomain=%s\nmax_running=%u\n",
                          process->name, process->proc->port, pool,
                          process->domain, max_running);
}

gboolean
deployment_checks_fence (guint engine)
{
  return engine % 2 == 0;
}

static GKeyFile *
read_example (const struct deployment *deployment, const char *name)
{
  GKeyFile *file = g_key_file_new ();
  char *path = g_build_filename (JW_SOURCE_DIR, "examples",
                                 deployment->options.example, name, NULL);
  if (!g_key_file_load_from_file (file, path, G_KEY_FILE_NONE, NULL))
    g_printerr ("%s cannot be read\n", path);
  g_free (path);
  return file;
}

static void
set_digest (GKeyFile *file, const char *group, const char *key,
            const char *secret)
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, secret, -1);
  g_key_file_set_string (file, group, key, digest);
  g_free (digest);
}

static void
set_port (GKeyFile *file, const char *group, const char *key, int port)
{
  char *address = g_strdup_printf ("127.0.0.1:%d", port);
  g_key_file_set_string (file, group, key, address);
  g_free (address);
}

/* Replaces the addresses of the example by those of the N stand-ins. Within a
   failure domain and pool, they are matched by the number in their names.  */
static void
set_backends (GKeyFile *file, const struct deployment_process *processes,
              guint n, const char *kind)
{
  for (guint i = 0; i < n; i++)
    {
      const char *number = strrchr (processes[i].name, '-') + 1;
      char *group = g_strdup_printf ("backend:%s-%s-%s", processes[i].domain,
                                     kind, number);
      set_port (file, group, "address", processes[i].proc->port);
      g_free (group);
    }
}

/* Returns the configuration of the example with the ports of the stand-ins and
   the keys of the tests.  */
static char *
example_config (const struct deployment *deployment, const char *preset)
{
  GKeyFile *file = read_example (deployment, "config.ini");
  set_backends (file, deployment->engines, deployment->n_engines, "engine");
  set_backends (file, deployment->services, deployment->n_services, "account");
  set_digest (file, "team:crew", "key_sha256", DEPLOYMENT_TEAM_KEY);
  set_digest (file, "operator:ops", "token_sha256", DEPLOYMENT_OPERATOR_TOKEN);
  g_key_file_set_string (file, "jacinthward", "preset", preset);
  char *text = g_key_file_to_data (file, NULL, NULL);
  g_key_file_unref (file);
  return text;
}

char *
deployment_config (const struct deployment *deployment, const char *preset)
{
  if (deployment->options.example != NULL)
    return example_config (deployment, preset);
  GString *text = g_string_new (NULL);
  char *key = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                             DEPLOYMENT_TEAM_KEY, -1);
  char *token = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                               DEPLOYMENT_OPERATOR_TOKEN, -1);
  guint max_running = deployment->options.max_running;
  g_string_append_printf (text, config_head, preset, key, token);
  for (const struct deployment_domain *d = deployment->options.domains;
       d->name != NULL; d++)
    g_string_append_printf (text, "[domain:%s]\nregion=%s\n", d->name,
                            d->region);
  for (guint i = 0; i < deployment->n_engines; i++)
    {
      add_backend (text, &deployment->engines[i], "assistant",
                   max_running ? max_running : 64);
      if (deployment->options.mixed_fences)
        g_string_append_printf (text, "checks_fence=%s\n",
                                deployment_checks_fence (i) ? "yes" : "no");
    }
  for (guint i = 0; i < deployment->n_services; i++)
    add_backend (text, &deployment->services[i], "account", 32);
  g_free (key);
  g_free (token);
  return g_string_free (text, FALSE);
}

static gboolean
put_config (struct deployment *deployment)
{
  char *text = deployment_config (deployment, "ordinary");
  static const char *const headers[] = { "If-None-Match", "*", NULL };
  const struct harness_request request = {
    .method = "PUT",
    .port = deployment->platform->port,
    .path = "/objects/config",
    .headers = headers,
    .body = text,
  };
  struct harness_response *response = harness_request (&request);
  gboolean ok = response->status == 200;
  harness_response_free (response);
  g_free (text);
  return ok;
}

static struct harness_process *
start_standin (struct deployment *deployment, const char *program,
               const char *name, const char *const *args)
{
  GPtrArray *argv = g_ptr_array_new ();
  char *path = g_strconcat (STANDIN_DIR, program, NULL);
  char *history_file = g_strdup_printf (
      "%s/%s.history", harness_dir (deployment->harness), name);
  const char *const common_args[]
      = { path, "--name", name, "--history", history_file, NULL };
  for (guint i = 0; common_args[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer)common_args[i]);
  if (deployment->options.mixed_fences
      && strcmp (program, "standin_engine") == 0
      && !deployment_checks_fence (deployment->n_engines - 1))
    {
      g_ptr_array_add (argv, "--checks-fence");
      g_ptr_array_add (argv, "no");
    }
  for (guint i = 0; args != NULL && args[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer)args[i]);
  g_ptr_array_add (argv, NULL);
  struct harness_process *proc = harness_start (
      deployment->harness, name, (const char *const *)argv->pdata);
  g_ptr_array_unref (argv);
  g_free (history_file);
  g_free (path);
  return proc != NULL && harness_wait_ready (proc) ? proc : NULL;
}

static gboolean
start_standins (struct deployment *deployment,
                const struct deployment_domain *domain,
                struct deployment_process *processes, guint *n, guint count,
                const char *kind, const char *const *args)
{
  char *program = g_strconcat ("standin_", kind, NULL);
  gboolean ok = TRUE;
  for (guint i = 0; i < count && ok; i++)
    {
      struct deployment_process *process = &processes[(*n)++];
      process->domain = domain->name;
      process->region = domain->region;
      g_snprintf (process->name, sizeof process->name, "%s-%s-%u", domain->name,
                  kind, i + 1);
      process->proc = start_standin (deployment, program, process->name, args);
      ok = process->proc != NULL;
    }
  g_free (program);
  return ok;
}

static void
add_instances (struct deployment *deployment,
               const struct deployment_domain *domain)
{
  for (guint i = 0; i < domain->instances; i++)
    {
      struct deployment_process *process
          = &deployment->instances[deployment->n_instances++];
      process->domain = domain->name;
      process->region = domain->region;
      process->peer_port = harness_free_port ();
      g_snprintf (process->name, sizeof process->name, "%s-%c", domain->name,
                  'a' + (char)(i % NAME_LETTERS));
      if (i >= NAME_LETTERS)
        g_snprintf (process->name, sizeof process->name, "%s-%u", domain->name,
                    i);
    }
}

/* Returns the settings of the example's instance with the ports of this run. */
static char *
example_settings (const struct deployment *deployment,
                  const struct deployment_process *process, const char *peers,
                  const char *key)
{
  char *name = g_strconcat (process->name, ".ini", NULL);
  GKeyFile *file = read_example (deployment, name);
  g_key_file_set_string (file, "instance", "charts", JW_SOURCE_DIR "/charts");
  set_port (file, "listen", "callers", 0);
  set_port (file, "listen", "admin", 0);
  set_port (file, "listen", "peers", process->peer_port);
  g_key_file_set_string (file, "peers", "addresses", peers);
  g_key_file_set_string (file, "peers", "key_file", key);
  set_port (file, "platform", "address", deployment->platform->port);
  g_key_file_set_string (file, "limits", "shutdown_grace_ms", "300");
  char *text = g_key_file_to_data (file, NULL, NULL);
  g_key_file_unref (file);
  g_free (name);
  return text;
}

static char *
generated_settings (const struct deployment *deployment,
                    const struct deployment_process *process, const char *peers,
                    const char *key)
{
  return g_strdup_printf (
      "[instance]\nid=%s\ndomain=%s\nregion=%s\nlog_level=info\ncharts=%s\n"
      "[listen]\ncallers=127.0.0.1:0\nadmin=127.0.0.1:0\n"
      "peers=127.0.0.1:%d\n"
      "[peers]\naddresses=%s\nkey_file=%s\n"
      "[platform]\naddress=127.0.0.1:%d\n"
      "[limits]\n%s\n",
      process->name, process->domain, process->region, JW_SOURCE_DIR "/charts",
      process->peer_port, peers, key, deployment->platform->port,
      deployment->options.limits ? deployment->options.limits
                                 : "shutdown_grace_ms=300");
}

static char *
write_settings (struct deployment *deployment,
                const struct deployment_process *process)
{
  const char *dir = harness_dir (deployment->harness);
  GString *peers = g_string_new (NULL);
  char *path = g_strdup_printf ("%s/%s.ini", dir, process->name);
  char *key = g_strdup_printf ("%s/peer.key", dir);
  for (guint i = 0; i < deployment->n_instances; i++)
    g_string_append_printf (peers, "127.0.0.1:%d;",
                            deployment->instances[i].peer_port);
  char *text = deployment->options.example != NULL
                   ? example_settings (deployment, process, peers->str, key)
                   : generated_settings (deployment, process, peers->str, key);
  g_file_set_contents (key, "a shared key of the test's instances", -1, NULL);
  g_file_set_contents (path, text, -1, NULL);
  g_string_free (peers, TRUE);
  g_free (text);
  g_free (key);
  return path;
}

static gboolean
start_instance (struct deployment *deployment,
                struct deployment_process *process)
{
  char *settings = write_settings (deployment, process);
  const char *const argv[]
      = { PROGRAM_DIR "jacinthward", "--settings", settings, NULL };
  process->proc = harness_start (deployment->harness, process->name, argv);
  g_free (settings);
  return process->proc != NULL && harness_wait_ready (process->proc);
}

/* Another process may have taken the chosen port in the meantime, so a failed
   start is tried again with a new port.  */
gboolean
deployment_start_instance (struct deployment *deployment, guint i)
{
  struct deployment_process *process = &deployment->instances[i];
  for (guint attempt = 0; attempt < START_ATTEMPTS_MAX; attempt++)
    {
      if (start_instance (deployment, process))
        return TRUE;
      process->peer_port = harness_free_port ();
    }
  return FALSE;
}

static gboolean
is_ready (void *ctx)
{
  const struct deployment_process *process = ctx;
  const struct harness_request request
      = { .port = process->proc->admin_port, .path = "/readyz" };
  struct harness_response *response = harness_request (&request);
  gboolean ready = response->status == 200;
  harness_response_free (response);
  return ready;
}

gboolean
deployment_wait_ready (struct deployment *deployment, guint i)
{
  return harness_wait_until (is_ready, &deployment->instances[i],
                             HARNESS_TIMEOUT_MS);
}

static gboolean
start_all (struct deployment *deployment)
{
  const struct deployment_options *options = &deployment->options;
  deployment->platform
      = start_standin (deployment, "standin_platform", "platform", NULL);
  if (deployment->platform == NULL)
    return FALSE;
  for (const struct deployment_domain *d = options->domains; d->name != NULL;
       d++)
    {
      if (!start_standins (deployment, d, deployment->engines,
                           &deployment->n_engines, d->engines, "engine",
                           options->engine_args)
          || !start_standins (deployment, d, deployment->services,
                              &deployment->n_services, d->services, "service",
                              NULL))
        return FALSE;
      add_instances (deployment, d);
    }
  if (!options->no_config && !put_config (deployment))
    return FALSE;
  for (guint i = 0; i < deployment->n_instances; i++)
    if (!deployment_start_instance (deployment, i))
      return FALSE;
  for (guint i = 0; i < deployment->n_instances && !options->no_config; i++)
    if (!deployment_wait_ready (deployment, i))
      return FALSE;
  return TRUE;
}

struct deployment *
deployment_start (struct harness *harness,
                  const struct deployment_options *options)
{
  struct deployment *deployment = g_new0 (struct deployment, 1);
  deployment->harness = harness;
  deployment->options = *options;
  if (start_all (deployment))
    return deployment;
  deployment_free (deployment);
  return NULL;
}

void
deployment_free (struct deployment *deployment)
{
  g_free (deployment);
}

struct harness_response *
deployment_chat (struct deployment *deployment, guint i, const char *class_name,
                 const char *prompt, gboolean streamed)
{
  char *body = g_strdup_printf (
      "{\"model\":\"assistant\",\"stream\":%s,"
      "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
      streamed ? "true" : "false", prompt);
  const char *const headers[]
      = { "Authorization", DEPLOYMENT_TEAM_BEARER, "Jacinthward-Class",
          class_name ? class_name : "urgent", NULL };
  const struct harness_request request = {
    .port = deployment->instances[i].proc->http_port,
    .path = "/v1/chat/completions",
    .headers = headers,
    .body = body,
    .timeout_ms = 3 * HARNESS_TIMEOUT_MS,
  };
  struct harness_response *response = harness_request (&request);
  g_free (body);
  return response;
}

struct harness_response *
deployment_activate (struct deployment *deployment, guint i, const char *body,
                     const char *key)
{
  const char *const keyed[] = { "Authorization", DEPLOYMENT_TEAM_BEARER,
                                "Idempotency-Key", key, NULL };
  const char *const plain[] = { "Authorization", DEPLOYMENT_TEAM_BEARER, NULL };
  const struct harness_request request = {
    .port = deployment->instances[i].proc->http_port,
    .path = "/services/account/activate",
    .headers = key ? keyed : plain,
    .body = body,
    .timeout_ms = 3 * HARNESS_TIMEOUT_MS,
  };
  return harness_request (&request);
}

gint64
deployment_counter (struct deployment *deployment, guint i, const char *name)
{
  const char *const headers[]
      = { "Authorization", DEPLOYMENT_OPERATOR_BEARER, NULL };
  const struct harness_request request
      = { .port = deployment->instances[i].proc->admin_port,
          .path = "/stats",
          .headers = headers };
  struct harness_response *response = harness_request (&request);
  JsonNode *root = harness_response_json (response);
  gint64 value = -1;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    value = json_object_get_int_member_with_default (
        json_node_get_object (root), name, -1);
  g_clear_pointer (&root, json_node_unref);
  harness_response_free (response);
  return value;
}

char *
deployment_error (const struct harness_response *response, const char *name)
{
  JsonNode *root = harness_response_json (response);
  char *value = NULL;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      JsonObject *object = json_node_get_object (root);
      JsonNode *error = json_object_get_member (object, "error");
      if (error != NULL && JSON_NODE_HOLDS_OBJECT (error))
        value = g_strdup (json_object_get_string_member_with_default (
            json_node_get_object (error), name, NULL));
    }
  g_clear_pointer (&root, json_node_unref);
  return value;
}
